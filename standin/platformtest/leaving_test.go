package platformtest_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/availability"
	"github.com/fuchsiarouter/fuchsiarouter/roster"
	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
)

// leavingHeader is the header line with which a server says that it leaves.
const leavingHeader = "Server-Leaving: 1\r\n"

// withHeader adds header lines to the last response of a reply.
func withHeader(reply, lines string) string {
	at := strings.LastIndex(reply, "HTTP/1.1 ")
	end := at + strings.Index(reply[at:], "\r\n") + 2
	return reply[:end] + lines + reply[end:]
}

// whole returns a whole response to the request for its route.
func whole(request *http.Request) string {
	if strings.HasPrefix(request.URL.Path, "/llm/") || strings.HasPrefix(request.URL.Path, "/once/") {
		return frame(request, "chunked", "200 OK", streamBody(1, 5))
	}
	return frame(request, "length", "200 OK", "booked")
}

// leavingReplies are the responses in which a server may say that it leaves.
var leavingReplies = []struct {
	name, path, service string
	reply               func(request *http.Request) string
}{
	{"success", "/stock/x", "plain", func(request *http.Request) string { return withHeader(whole(request), leavingHeader) }},
	{"failure", "/book/x", "plain", func(request *http.Request) string {
		return withHeader(frame(request, "length", "500 Internal Server Error", "failed"), leavingHeader)
	}},
	{"caller's fault", "/book/x", "plain", func(request *http.Request) string {
		return withHeader(frame(request, "length", "404 Not Found", "none"), leavingHeader)
	}},
	{"refusal", "/book/x", "plain", func(request *http.Request) string {
		return withHeader(frame(request, "length", "503 Service Unavailable\r\nX-Not-Executed: full", ""), leavingHeader)
	}},
	{"failure without proof", "/stock/x", "plain", func(request *http.Request) string {
		return withHeader(frame(request, "length", "503 Service Unavailable", ""), leavingHeader)
	}},
	{"stream", "/llm/x", "llm", func(request *http.Request) string { return withHeader(whole(request), leavingHeader) }},
	{"stream that breaks off", "/llm/x", "llm", func(request *http.Request) string {
		return withHeader(frame(request, "close", "200 OK", streamBody(1, 2)+"id: 3\nda"), leavingHeader)
	}},
	{"unsigned success", "/stock/x", "plain", func(request *http.Request) string {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.Header.Get("X-Attempt-Id") + "\r\n" + leavingHeader + "Content-Length: 0\r\n\r\n"
	}},
	{"response to another request", "/stock/x", "plain", func(request *http.Request) string {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n" + leavingHeader + "Content-Length: 0\r\n\r\n" + whole(request)
	}},
}

// TestLeavingServerGetsNoFurtherRequest guards against requests to a server that has said that it
// leaves, on connections that are still open to it as well.
func TestLeavingServerGetsNoFurtherRequest(t *testing.T) {
	for _, test := range leavingReplies {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := startFleet(t)
			f.removeServers(f.plainServers)
			f.removeServers(f.llmServers)
			var leaves atomic.Bool
			leaving := f.newScriptedServer("s0", test.service, func(request *http.Request) string {
				if leaves.Load() {
					return test.reply(request)
				}
				return whole(request)
			})
			awaitRegistrations()
			for range 3 {
				_, _, _, err := f.send("POST", test.path, "k1", "")
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			leaves.Store(true)
			_, _, header, _ := f.send("POST", test.path, "k1", "")
			g.Expect(header.Get("Server-Leaving")).To(gomega.BeEmpty(), "the header is for the entry only")
			runs := leaving.runs.Load()
			f.newScriptedServer("s1", test.service, whole)
			awaitRegistrations()
			for range 6 {
				status, body, _, err := f.send("POST", test.path, "k1", "")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(status).To(gomega.Equal(http.StatusOK), body)
			}
			g.Expect(leaving.runs.Load()).To(gomega.Equal(runs))
		})
	}
}

// TestOtherEntriesLearnOfLeavingServer guards against requests of one entry to a server that has
// told only another one that it leaves.
func TestOtherEntriesLearnOfLeavingServer(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.removeServers(f.plainServers)
	leaving := f.newScriptedServer("s0", "plain", func(request *http.Request) string { return withHeader(whole(request), leavingHeader) })
	other := allocateAddress()
	f.newIngress("e2", other, allocateAddress(), allocateAddress())
	awaitRegistrations()
	status, _, _, err := f.send("POST", "/stock/x", "k1", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	f.newScriptedServer("s1", "plain", func(request *http.Request) string {
		time.Sleep(100 * time.Millisecond)
		return whole(request)
	})
	awaitRegistrations()
	f.callerAddress = other
	var callers sync.WaitGroup
	for number := range 8 {
		callers.Go(func() {
			status, body, _, err := f.sendWithID(fmt.Sprint("request-", number), "POST", "/stock/x", "k1", "")
			if err != nil || status != http.StatusOK {
				t.Error(status, body, err)
			}
		})
	}
	callers.Wait()
	g.Expect(leaving.runs.Load()).To(gomega.BeEquivalentTo(1))
}

// TestReturnedServerGetsRequests guards against taking a new incarnation for the one that has left,
// and against sending requests to that one when its registration lapses and returns.
func TestReturnedServerGetsRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.removeServers(f.plainServers)
	var leaves atomic.Bool
	leaves.Store(true)
	server := f.newScriptedServer("s0", "plain", func(request *http.Request) string {
		if leaves.Load() {
			return withHeader(whole(request), leavingHeader)
		}
		return whole(request)
	})
	register := func(born int) {
		f.store.Put(keyedstore.TopicServers, "s0", fmt.Sprintf(
			`{"service":"plain","address":%q,"zone":"z","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"seq":1,"born":%d}`,
			server.listener.Addr().String(), born))
		awaitRegistrations()
	}
	register(1)
	status, _, _, err := f.send("POST", "/stock/x", "k1", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	f.store.Put(keyedstore.TopicServers, "s0", "")
	awaitRegistrations()
	register(1)
	status, _, header, err := f.send("POST", "/stock/x", "k1", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(header.Get("Fuchsiarouter-Result")).To(gomega.Equal("2005 no-server"))
	g.Expect(header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	leaves.Store(false)
	register(2)
	status, _, _, err = f.send("POST", "/stock/x", "k1", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(server.runs.Load()).To(gomega.BeEquivalentTo(2))
}

// TestStreamOfLeavingServerEndsWhole guards against cutting streams in progress when their server
// says in another response that it leaves.
func TestStreamOfLeavingServerEndsWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.removeServers(f.llmServers)
	var requests atomic.Int32
	release := make(chan struct{})
	server := f.newScriptedServer("s0", "llm", func(request *http.Request) string {
		if requests.Add(1) == 1 {
			<-release
			return whole(request)
		}
		return withHeader(whole(request), leavingHeader)
	})
	awaitRegistrations()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	served := make(chan bool, 1)
	go func() { served <- f.sendPrompt(ctx, f.callerAddress, "a", "b") }()
	g.Eventually(requests.Load, waitTimeout).Should(gomega.BeEquivalentTo(1))
	status, _, _, err := f.send("POST", "/llm/x", "k1", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	close(release)
	g.Expect(<-served).To(gomega.BeTrue())
	g.Expect(server.runs.Load()).To(gomega.BeEquivalentTo(2))
}

// TestLoaderReportsLeavingEngine guards against requests to an engine that has told only the loader
// on its VM that it leaves, and against taking the engine for an earlier incarnation.
func TestLoaderReportsLeavingEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.removeServers(f.llmServers)
	engine := f.newScriptedServer("s0", "llm", whole)
	awaitRegistrations()
	report := func(started int64) {
		message := roster.Message{LeavingEngine: &availability.Server{Address: engine.listener.Addr().String(), Started: started}}
		encoded, err := message.Encode()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		conn, err := net.Dial("udp4", f.peerAddress)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer conn.Close()
		_, err = conn.Write(encoded)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	status := func() int {
		status, _, _, err := f.send("POST", "/llm/x", "k1", "")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return status
	}
	report(1)
	g.Consistently(status, 500*time.Millisecond).Should(gomega.Equal(http.StatusOK))
	report(0)
	g.Eventually(status, waitTimeout).Should(gomega.Equal(http.StatusServiceUnavailable))
	runs := engine.runs.Load()
	g.Expect(status()).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(engine.runs.Load()).To(gomega.Equal(runs))
}

// TestStreamIsNotResumedOnLeavingServer guards against resuming a stream on a server that has said
// that it leaves since the stream began.
func TestStreamIsNotResumedOnLeavingServer(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.removeServers(f.llmServers)
	var streamServer atomic.Value
	broken := make(chan struct{})
	var resumedBy sync.Map
	for _, name := range []string{"s0", "s1", "s2"} {
		f.newScriptedServer(name, "llm", func(request *http.Request) string {
			switch {
			case request.Header.Get("Last-Event-Id") != "":
				resumedBy.Store(name, true)
				return frame(request, "chunked", "200 OK", streamBody(3, 5))
			case streamServer.CompareAndSwap(nil, name):
				<-broken
				return strings.TrimSuffix(frame(request, "chunked", "200 OK", streamBody(1, 2)), "0\r\n\r\n") + closeMark
			case name == "s0":
				return whole(request)
			}
			return withHeader(whole(request), leavingHeader)
		})
	}
	awaitRegistrations()
	ended := make(chan string, 1)
	go func() {
		_, body, _, _ := f.send("POST", "/llm/stream", "k1", "")
		ended <- body
	}()
	g.Eventually(streamServer.Load, waitTimeout).ShouldNot(gomega.BeNil())
	for range 8 {
		status, _, _, err := f.send("POST", "/llm/x", "k1", "")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status).To(gomega.Equal(http.StatusOK))
	}
	close(broken)
	g.Expect(<-ended).To(gomega.HavePrefix(streamBody(1, 2)))
	for _, name := range []string{"s1", "s2"} {
		_, resumed := resumedBy.Load(name)
		g.Expect(resumed).To(gomega.BeFalse(), name)
	}
}

// TestRestartedEntryLearnsOfLeavingServer guards against requests of an entry, which was started
// again, to a server that has told the entry that it leaves before.
func TestRestartedEntryLearnsOfLeavingServer(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.removeServers(f.plainServers)
	leaving := f.newScriptedServer("s0", "plain", func(request *http.Request) string { return withHeader(whole(request), leavingHeader) })
	f.newIngress("e2", allocateAddress(), allocateAddress(), allocateAddress())
	awaitRegistrations()
	status, _, _, err := f.send("POST", "/stock/x", "k1", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	f.newScriptedServer("s1", "plain", whole)
	awaitRegistrations()
	restarted := allocateAddress()
	f.newIngress("e3", restarted, allocateAddress(), allocateAddress())
	awaitRegistrations()
	awaitRegistrations()
	f.callerAddress = restarted
	for range 8 {
		status, body, _, err := f.send("POST", "/stock/x", "k1", "")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status).To(gomega.Equal(http.StatusOK), body)
	}
	g.Expect(leaving.runs.Load()).To(gomega.BeEquivalentTo(1))
}
