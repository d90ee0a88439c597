package platformtest_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// refusal returns a response that states that the request did not run. Without an ID, it does
// not say which request that is.
func refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + idHeader(id) + "X-Not-Executed: full\r\nContent-Length: 0\r\n\r\n"
}

// idHeader returns the header line with the attempt ID, or nothing without one.
func idHeader(id string) string {
	if id == "" {
		return ""
	}
	return "X-Attempt-Id: " + id + "\r\n"
}

// TestRepeatedRefusalOfEarlierRequest guards against telling a caller that its request did not
// run, or sending it again, because its server wrote the refusal of an earlier request once more
// on the same connection. The server runs all requests of a connection but the first one.
func TestRepeatedRefusalOfEarlierRequest(t *testing.T) {
	notFound := func(id string) string {
		return "HTTP/1.1 404 Not Found\r\n" + idHeader(id) + "Content-Length: 0\r\n\r\n"
	}
	beforeAnswer := func(repeated, answer string) string { return repeated + answer }
	inPlaceOfAnswer := func(repeated, _ string) string { return repeated + closeMark }
	for _, test := range []struct {
		name    string
		refuse  func(id string) string
		hasID   bool
		respond func(repeated, answer string) string
	}{
		{"with ID, before the answer", refusal, true, beforeAnswer},
		{"with ID, in place of the answer", refusal, true, inPlaceOfAnswer},
		{"without ID, before the answer", refusal, false, beforeAnswer},
		{"without ID, in place of the answer", refusal, false, inPlaceOfAnswer},
		{"not found without ID, before the answer", notFound, false, beforeAnswer},
		{"not found without ID, in place of the answer", notFound, false, inPlaceOfAnswer},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := startFleet(t)
			f.removeServers(f.plainServers)
			var mu sync.Mutex
			refused := map[string]string{}
			runs := map[string]int{}
			for index := range 2 {
				f.newScriptedServer(fmt.Sprint("s", index), "plain", func(request *http.Request) string {
					mu.Lock()
					defer mu.Unlock()
					id := request.Header.Get("X-Attempt-Id")
					repeated, isLater := refused[request.RemoteAddr]
					if !isLater {
						refused[request.RemoteAddr] = test.refuse("")
						if test.hasID {
							refused[request.RemoteAddr] = test.refuse(id)
						}
						return test.refuse(id)
					}
					runs[id]++
					return test.respond(repeated, frame(request, "length", "200 OK", "booked"))
				})
			}
			awaitRegistrations()
			for number := range 6 {
				id := fmt.Sprint("request-", number)
				status, body, _, err := f.sendWithID(id, "POST", "/book/x", "k1", "")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				mu.Lock()
				ran := runs[id]
				mu.Unlock()
				g.Expect(ran).To(gomega.BeNumerically("<=", 1))
				switch status {
				case http.StatusOK:
					g.Expect(body).To(gomega.Equal("booked"))
				case http.StatusBadGateway:
				default:
					g.Expect(ran).To(gomega.BeZero(), "the request ran and its caller gets %d %q", status, body)
				}
				// A server gets no request for a while after a refusal.
				time.Sleep(500 * time.Millisecond)
			}
			g.Expect(runs).NotTo(gomega.BeEmpty())
		})
	}
}

// TestErrorOfServerThatResumes guards against the error of a server that was to resume a stream
// inside that stream, or as its regular end.
func TestErrorOfServerThatResumes(t *testing.T) {
	const message = "the error"
	for _, framing := range framings {
		for _, start := range []string{
			"500 Internal Server Error", "503 Service Unavailable", "503 Service Unavailable\r\nX-Not-Executed: full", "404 Not Found", "400 Bad Request",
			"307 Temporary Redirect", "200 OK\r\nContent-Type: application/json",
		} {
			t.Run(framing+", "+strings.Replace(start, "\r\n", " ", 1), func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				f := startFleet(t)
				f.removeServers(f.llmServers)
				for index := range 2 {
					f.newScriptedServer(fmt.Sprint("s", index), "llm", func(request *http.Request) string {
						if request.Header.Get("Last-Event-Id") == "" {
							return strings.TrimSuffix(frame(request, "chunked", "200 OK", streamBody(1, 2)), "0\r\n\r\n") + closeMark
						}
						return frame(request, framing, start, message)
					})
				}
				awaitRegistrations()
				status, received, _, err := f.send("POST", "/llm/x", "k1", "")
				g.Expect(status).To(gomega.Equal(http.StatusOK))
				g.Expect(received).To(gomega.Equal(streamBody(1, 2)))
				g.Expect(err).To(gomega.HaveOccurred(), "the stream ends as if it were complete")
			})
		}
	}
}

// TestSecondResponseInsideStream guards against passing on the head of another response, which a
// server wrote in the middle of its stream, as an event of the stream.
func TestSecondResponseInsideStream(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.removeServers(f.llmServers)
	for index := range 2 {
		f.newScriptedServer(fmt.Sprint("s", index), "llm", func(request *http.Request) string {
			if request.Header.Get("Last-Event-Id") == "2" {
				return frame(request, "close", "200 OK", streamBody(3, 5))
			}
			second := strings.TrimSuffix(frame(request, "length", "500 Internal Server Error", "the error"), closeMark)
			return frame(request, "close", "200 OK", streamBody(1, 2)+second)
		})
	}
	awaitRegistrations()
	status, received, _, err := f.send("POST", "/llm/x", "k1", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(received).To(gomega.Equal(streamBody(1, 5)))
	status, received, _, err = f.send("POST", "/once/x", "k1", "")
	g.Expect(err).To(gomega.HaveOccurred(), "the stream ends as if it were complete")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(received).To(gomega.Equal(streamBody(1, 2)))
}

// TestHeadThatIsCut guards against passing on a response of which the server wrote only a part of
// the head as a complete one with an empty body.
func TestHeadThatIsCut(t *testing.T) {
	for _, route := range []struct{ path, service string }{{"/stock/x", "plain"}, {"/book/x", "plain"}, {"/llm/x", "llm"}, {"/once/x", "llm"}} {
		for _, framing := range framings {
			t.Run(route.path+", "+framing, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				f := startFleet(t)
				f.removeServers(f.plainServers)
				f.removeServers(f.llmServers)
				for index := range 2 {
					f.newScriptedServer(fmt.Sprint("s", index), route.service, func(request *http.Request) string {
						head, _, _ := strings.Cut(frame(request, framing, "200 OK", streamBody(1, 3)), "\r\n\r\n")
						return head + "\r\n" + closeMark
					})
				}
				awaitRegistrations()
				status, received, _, err := f.send("POST", route.path, "k1", "")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(status).To(gomega.Equal(http.StatusBadGateway), received)
			})
		}
	}
}

// TestResumeAfterTextWithIDField guards against repeating an event, or cutting the stream, when the
// text of the last event before a server was lost contains the name of the field of the ID.
func TestResumeAfterTextWithIDField(t *testing.T) {
	whole := "id: 1\ndata: 1\n\nid: 2\ndata: paid: 7\n\nid: 3\ndata: 3\n\n"
	lost, resumed := whole[:len(whole)-len("id: 3\ndata: 3\n\n")], "id: 3\ndata: 3\n\n"
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		t.Run(strconv.Quote(lineEnd), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := startFleet(t)
			f.removeServers(f.llmServers)
			for index := range 2 {
				f.newScriptedServer(fmt.Sprint("s", index), "llm", func(request *http.Request) string {
					switch request.Header.Get("Last-Event-Id") {
					case "":
						text := frame(request, "chunked", "200 OK", strings.ReplaceAll(lost, "\n", lineEnd))
						return strings.TrimSuffix(text, "0\r\n\r\n") + closeMark
					case "2":
						return frame(request, "chunked", "200 OK", strings.ReplaceAll(resumed, "\n", lineEnd))
					}
					return frame(request, "chunked", "200 OK", strings.ReplaceAll(whole[len("id: 1\ndata: 1\n\n"):], "\n", lineEnd))
				})
			}
			awaitRegistrations()
			status, received, _, err := f.send("POST", "/llm/x", "k1", "")
			g.Expect(err).NotTo(gomega.HaveOccurred(), received)
			g.Expect(status).To(gomega.Equal(http.StatusOK))
			g.Expect(received).To(gomega.Equal(strings.ReplaceAll(whole, "\n", lineEnd)))
		})
	}
}
