package platformtest_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/backendserver"
	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
)

const (
	// closeMark at the end of a reply closes the connection after the bytes before it.
	closeMark = "CLOSE"
	// silenceMark in a reply stands for a silence of the server.
	silenceMark = "SILENCE"
	// silence is the duration of a silence, after which a sound server goes on.
	silence = 1200 * time.Millisecond
	// delayMark in a reply stands for a short delay, so that the reply takes some time.
	delayMark     = "DELAY"
	delayDuration = 25 * time.Millisecond
)

// scriptedServer is a backend server whose replies are written byte for byte, for responses
// that no HTTP library produces.
type scriptedServer struct {
	id       string
	listener net.Listener
	// reply returns the bytes that answer a request.
	reply func(request *http.Request) string
	// runs counts the requests received.
	runs atomic.Int32
}

// newScriptedServer starts a server and registers it for a service.
func (f *testFleet) newScriptedServer(id, service string, reply func(request *http.Request) string) *scriptedServer {
	// The ingresses of earlier tests still poll the addresses of their stores, so a port that
	// the kernel gives out again would receive their reads.
	listener, err := net.Listen("tcp", allocateAddress())
	gomega.NewWithT(f.t).Expect(err).NotTo(gomega.HaveOccurred())
	s := &scriptedServer{id: id, listener: listener, reply: reply}
	f.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	f.registerScriptedServer(id, service, listener.Addr().String())
	return s
}

// registerScriptedServer registers the server at the address for a service.
func (f *testFleet) registerScriptedServer(id, service, address string) {
	f.store.Put(keyedstore.TopicServers, id, scriptedRegistration(service, address))
}

// scriptedRegistration returns the JSON value that registers the server at the address for a service.
func scriptedRegistration(service, address string) string {
	return fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"seq":1,"models":[{"name":"m","version":1}]}`,
		service, address)
}

// serve answers the requests of a connection.
func (s *scriptedServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		request.RemoteAddr = conn.RemoteAddr().String()
		s.runs.Add(1)
		text, closeConn := strings.CutSuffix(s.reply(request), closeMark)
		for index, part := range strings.Split(text, silenceMark) {
			if index > 0 {
				time.Sleep(silence)
			}
			for index, piece := range strings.Split(part, delayMark) {
				if index > 0 {
					time.Sleep(delayDuration)
				}
				if _, err := io.WriteString(conn, piece); err != nil {
					return
				}
			}
		}
		if closeConn {
			return
		}
	}
}

// removeServers removes the registrations of servers.
func (f *testFleet) removeServers(servers []*backendserver.Server) {
	for _, server := range servers {
		f.store.Put(keyedstore.TopicServers, server.ID, "")
	}
}

// awaitRegistrations waits until the ingress has read all registrations.
func awaitRegistrations() {
	// The entry reads them within half a second.
	time.Sleep(700 * time.Millisecond)
}

// frame returns a signed response to the request. start is the status, which further header
// lines may follow. The end of the body is marked as framing says: "length", "chunked" or
// "close".
func frame(request *http.Request, framing, start, body string) string {
	head := "HTTP/1.1 " + start + "\r\nX-Attempt-Id: " + request.Header.Get("X-Attempt-Id") + "\r\nX-Server-Seal: s\r\n"
	switch framing {
	case "length":
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case "chunked":
		chunk := ""
		if body != "" {
			chunk = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n"
	}
	return head + "\r\n" + body + closeMark
}

// framings are the ways to mark the end of a body.
var framings = []string{"length", "chunked", "close"}

// streamReplies returns replies of a server that sends the body to requests for a whole stream,
// and the events after the second one, framed in the same way, to requests that resume it there.
func streamReplies(framing, body string) func(*http.Request) string {
	return func(request *http.Request) string {
		if request.Header.Get("Last-Event-Id") == "2" {
			return frame(request, framing, "200 OK", streamBody(3, 5))
		}
		return frame(request, framing, "200 OK", body)
	}
}

// TestStreamEndingInsideEventIsCut guards against a stream that a server broke off inside an
// event and that looks complete to the caller.
func TestStreamEndingInsideEventIsCut(t *testing.T) {
	for _, framing := range framings {
		for name, body := range map[string]string{
			"first event":            "id: 1\nda",
			"later event":            streamBody(1, 2) + "id: 3\ndata: 3",
			"before the end of line": streamBody(1, 2) + "id: 3\ndata: 3\n",
		} {
			t.Run(framing+", "+name, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				f := startFleet(t)
				f.removeServers(f.llmServers)
				for index := range 2 {
					f.newScriptedServer(fmt.Sprint("s", index), "llm", func(request *http.Request) string { return frame(request, framing, "200 OK", body) })
				}
				awaitRegistrations()
				status, received, _, err := f.send("POST", "/once/x", "k1", "")
				if name == "first event" {
					g.Expect(status).To(gomega.Equal(http.StatusBadGateway), received)
					return
				}
				g.Expect(err).To(gomega.HaveOccurred(), "%d %q", status, received)
				g.Expect(received).To(gomega.Equal(streamBody(1, 2)))
			})
		}
	}
}

// TestStreamEndingInsideEventResumes guards against a resumable stream that ends early because
// its server broke it off inside an event.
func TestStreamEndingInsideEventResumes(t *testing.T) {
	for _, framing := range framings {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := startFleet(t)
			f.removeServers(f.llmServers)
			for index := range 2 {
				f.newScriptedServer(fmt.Sprint("s", index), "llm", streamReplies(framing, streamBody(1, 2)+"id: 3\nda"))
			}
			awaitRegistrations()
			status, received, _, err := f.send("POST", "/llm/x", "k1", "")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(http.StatusOK))
			g.Expect(received).To(gomega.Equal(streamBody(1, 5)))
		})
	}
}

// TestWholeResponsesOnStreamRoutes guards against taking a whole response on a stream route for
// one that was broken off: a stream with any framing and any line ends, a failure, and a success
// that is no stream of events.
func TestWholeResponsesOnStreamRoutes(t *testing.T) {
	for _, framing := range framings {
		for _, example := range []struct {
			name, start, body string
			code              int
		}{
			{"events", "200 OK", streamBody(1, 5), http.StatusOK},
			{"carriage returns", "200 OK", strings.ReplaceAll(streamBody(1, 5), "\n", "\r\n"), http.StatusOK},
			{"stated type", "200 OK\r\nContent-Type: text/event-stream; charset=utf-8", streamBody(1, 5), http.StatusOK},
			{"other type", "200 OK\r\nContent-Type: application/json", `{"text":"whole"}`, http.StatusOK},
			{"failure", "400 Bad Request", `{"error":"no such model"}`, http.StatusBadRequest},
		} {
			t.Run(framing+", "+example.name, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				f := startFleet(t)
				f.removeServers(f.llmServers)
				f.newScriptedServer("s0", "llm", func(request *http.Request) string { return frame(request, framing, example.start, example.body) })
				awaitRegistrations()
				status, received, _, err := f.send("POST", "/llm/x", "k1", "")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(status).To(gomega.Equal(example.code))
				g.Expect(received).To(gomega.Equal(example.body))
			})
		}
	}
}

// TestResumedStreamWithoutFurtherEvents guards against cutting a stream whose last event came
// from a server that failed then: the server that resumes it has no event left to send.
func TestResumedStreamWithoutFurtherEvents(t *testing.T) {
	for _, framing := range framings {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := startFleet(t)
			f.removeServers(f.llmServers)
			for index := range 2 {
				f.newScriptedServer(fmt.Sprint("s", index), "llm", func(request *http.Request) string {
					if request.Header.Get("Last-Event-Id") == "5" {
						return frame(request, framing, "200 OK", "")
					}
					return strings.TrimSuffix(frame(request, "chunked", "200 OK", streamBody(1, 5)), "0\r\n\r\n") + closeMark
				})
			}
			awaitRegistrations()
			status, received, _, err := f.send("POST", "/llm/x", "k1", "")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(http.StatusOK))
			g.Expect(received).To(gomega.Equal(streamBody(1, 5)))
		})
	}
}

// TestStreamEndingBeforeFirstEvent guards against an empty stream that looks complete to the caller.
func TestStreamEndingBeforeFirstEvent(t *testing.T) {
	for _, start := range []string{"200 OK", "200 OK\r\nContent-Type: text/event-stream"} {
		t.Run(strings.Replace(start, "\r\n", " ", 1), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := startFleet(t)
			f.removeServers(f.llmServers)
			var sends atomic.Int32
			for index := range 2 {
				f.newScriptedServer(fmt.Sprint("s", index), "llm", func(request *http.Request) string {
					if sends.Add(1) == 1 {
						return frame(request, "close", start, "")
					}
					return frame(request, "close", start, streamBody(1, 5))
				})
			}
			awaitRegistrations()
			status, received, _, err := f.send("POST", "/llm/x", "k1", "")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(http.StatusOK))
			g.Expect(received).To(gomega.Equal(streamBody(1, 5)))
			sends.Store(0)
			status, received, _, err = f.send("POST", "/once/x", "k1", "")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(http.StatusBadGateway), received)
			g.Expect(sends.Load()).To(gomega.BeEquivalentTo(1))
		})
	}
}

// TestResumedStreamEndingBeforeNextEvent guards against a stream without an event that had begun.
func TestResumedStreamEndingBeforeNextEvent(t *testing.T) {
	for _, framing := range framings {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := startFleet(t)
			f.removeServers(f.llmServers)
			for index := range 2 {
				f.newScriptedServer(fmt.Sprint("s", index), "llm", func(request *http.Request) string {
					if request.Header.Get("Last-Event-Id") == "2" {
						return frame(request, framing, "200 OK", "")
					}
					return frame(request, framing, "200 OK", streamBody(1, 2)+"id: 3\nda")
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
