package platformtest_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// withSilence returns a reply in which the server falls silent after the text.
func withSilence(reply, after string) string {
	return strings.Replace(reply, after, after+silenceMark, 1)
}

// TestSilentServer guards against ending a repeatable request with a failure, or cutting its
// stream, since its server, which is sound, falls silent for a while. No other server can take the
// request over.
func TestSilentServer(t *testing.T) {
	const report = "first half, second half"
	for _, example := range []struct {
		name, path, service, body, silentAfter string
	}{
		{"before the second half of a body", "/report/x", "plain", report, "first half"},
		{"before a further event", "/llm/x", "llm", streamBody(1, 5), "data: 2\n\n"},
		{"inside an event", "/llm/x", "llm", streamBody(1, 5), "id: 3\nda"},
	} {
		for name, otherReply := range map[string]func(request *http.Request, body string) string{
			"no other server": nil,
			"the other server refuses": func(request *http.Request, _ string) string {
				return refusal(request.Header.Get("X-Attempt-Id"))
			},
			"the other server ends": func(*http.Request, string) string { return closeMark },
			"the other server is silent as well": func(request *http.Request, body string) string {
				return withSilence(frame(request, "length", "200 OK", body), "\r\n\r\n")
			},
		} {
			t.Run(example.name+", "+name, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				f := startFleet(t)
				f.removeServers(f.llmServers)
				f.removeServers(f.plainServers)
				var sends atomic.Int32
				reply := func(request *http.Request) string {
					if sends.Add(1) == 1 || otherReply == nil {
						return withSilence(frame(request, "length", "200 OK", example.body), example.silentAfter)
					}
					body := example.body
					if request.Header.Get("Last-Event-Id") == "2" {
						body = streamBody(3, 5)
					}
					return otherReply(request, body)
				}
				f.newScriptedServer("s0", example.service, reply)
				if otherReply != nil {
					f.newScriptedServer("s1", example.service, reply)
				}
				awaitRegistrations()
				status, received, _, err := f.send("POST", example.path, "k1", "")
				g.Expect(err).NotTo(gomega.HaveOccurred(), "%d %q", status, received)
				g.Expect(status).To(gomega.Equal(http.StatusOK), received)
				g.Expect(received).To(gomega.Equal(example.body))
			})
		}
	}
}

// TestSilentServersUnderLoad guards against failures and cut streams on all kinds of routes while the
// servers, which are sound, fall silent in turn and the configuration changes. Servers may still be
// too busy for a request, which is then refused.
func TestSilentServersUnderLoad(t *testing.T) {
	const (
		callers           = 16
		requestsPerCaller = 6
	)
	report := strings.Repeat("0123456789", 400)
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.removeServers(f.llmServers)
	f.removeServers(f.plainServers)
	for index := range 4 {
		// A request in three finds its server silent: before the head, in the first half or in
		// the second one.
		silentReply := func(reply string, request int32) string {
			positions := []int{0, len(reply) / 2, len(reply) * 3 / 4}
			if request%3 != 0 {
				return reply
			}
			at := positions[int(request/3)%len(positions)]
			return reply[:at] + silenceMark + reply[at:]
		}
		var plainRequests, llmRequests atomic.Int32
		f.newScriptedServer(fmt.Sprint("p", index), "plain", func(request *http.Request) string {
			return silentReply(frame(request, "length", "200 OK", report), plainRequests.Add(1))
		})
		f.newScriptedServer(fmt.Sprint("s", index), "llm", func(request *http.Request) string {
			last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
			return silentReply(frame(request, "chunked", "200 OK", streamBody(last+1, 5)), llmRequests.Add(1))
		})
	}
	awaitRegistrations()
	var failures []string
	var mu sync.Mutex
	var sending sync.WaitGroup
	for index := range callers {
		sending.Go(func() {
			for request := range requestsPerCaller {
				path := []string{"/report/x", "/llm/x", "/once/x"}[(index+request)%3]
				status, body, _, err := f.sendWithID(fmt.Sprint(index, "-", request), "POST", path, "k1", "")
				if err == nil && (status == http.StatusOK || status == http.StatusServiceUnavailable) {
					continue
				}
				mu.Lock()
				failures = append(failures, fmt.Sprint(path, " ", status, " ", err, " ", len(body), " bytes"))
				mu.Unlock()
			}
		})
	}
	for version := range 6 {
		f.publishConfiguration(2+version, "k1")
		time.Sleep(400 * time.Millisecond)
	}
	sending.Wait()
	g.Expect(failures).To(gomega.BeEmpty())
}

// TestServerThatGoesOnGetsRequests guards against refusing requests because the only server was
// silent for a while and has gone on since.
func TestServerThatGoesOnGetsRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.removeServers(f.llmServers)
	var sends atomic.Int32
	f.newScriptedServer("s0", "llm", func(request *http.Request) string {
		reply := frame(request, "length", "200 OK", streamBody(1, 5))
		if sends.Add(1) == 1 {
			return withSilence(reply, "data: 2\n\n")
		}
		return reply
	})
	awaitRegistrations()
	for range 5 {
		status, body, _, err := f.send("POST", "/llm/x", "k1", "")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status).To(gomega.Equal(http.StatusOK), body)
		g.Expect(body).To(gomega.Equal(streamBody(1, 5)))
	}
}

// TestSlowCallerIsNoStall guards against taking a server for stalled while the caller is slow to read.
func TestSlowCallerIsNoStall(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.removeServers(f.llmServers)
	// The buffers of a connection don't hold the stream.
	var stream strings.Builder
	for event := range 700 {
		_, _ = fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", event+1, strings.Repeat("x", 20000))
	}
	var sends atomic.Int32
	for index := range 2 {
		f.newScriptedServer(fmt.Sprint("s", index), "llm", func(request *http.Request) string {
			sends.Add(1)
			return frame(request, "chunked", "200 OK", stream.String())
		})
	}
	awaitRegistrations()
	request, err := http.NewRequest(http.MethodPost, "http://"+f.callerAddress+"/llm/x", strings.NewReader(""))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", "slow")
	request.Header.Set("X-Model", "m")
	request.Header.Set("Authorization", "Bearer k1")
	response, err := f.client.Do(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	time.Sleep(2 * silence)
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(sends.Load()).To(gomega.BeEquivalentTo(1))
	g.Expect(string(body) == stream.String()).To(gomega.BeTrue())
}
