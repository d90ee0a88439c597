package platformtest_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/backendserver"
	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
)

// evacuate evacuates an availability zone, or ends that, and waits until the entries have read it.
func (f *testFleet) evacuate(zone string, evacuated bool) {
	value := ""
	if evacuated {
		value = "{}"
	}
	f.store.Put(keyedstore.TopicOperator, "evacuate/"+zone, value)
	awaitRegistrations()
}

// expectStatus sends a request to an entry and expects the status and, in the case of a refusal, the
// result.
func (f *testFleet) expectStatus(g *gomega.WithT, path string, expected int, result string) {
	g.THelper()
	status, body, header, err := f.send("POST", path, "k1", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(expected), body)
	g.Expect(header.Get("Fuchsiarouter-Result")).To(gomega.Equal(result), body)
	if result != "" {
		g.Expect(header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	}
}

// TestEvacuatedZoneGetsNoRequest guards against requests to an evacuated zone, also of an entry that
// starts meanwhile, against cutting the streams in progress there, and against other refusals than
// 2005, or 2013 of a restricted route, when no server is left.
func TestEvacuatedZoneGetsNoRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	f, remote := startRegions(t)
	f.publishRestricted(2, `["q"]`, `[]`)
	f.llmServers[1].SetBehaviour(backendserver.Behaviour{StreamEvents: 40, EventInterval: 50 * time.Millisecond})
	type answer struct {
		status int
		body   string
	}
	streamed := make(chan answer, 1)
	go func() {
		status, body, _, _ := f.sendWithID("stream", "POST", "/llm/stream", "k1", "")
		streamed <- answer{status, body}
	}()
	g.Eventually(func() int { return len(f.allRuns(f.llmServers[1:])) }, waitTimeout).Should(gomega.Equal(1))
	f.evacuate("y", true)
	started := allocateAddress()
	f.directoryAddress = ""
	f.newIngress("e4", started, allocateAddress(), allocateAddress())
	awaitRegistrations()
	before := len(f.allRuns(f.plainServers[1:]))
	local := f.callerAddress
	for _, address := range []string{local, remote, started} {
		f.callerAddress = address
		for range 6 {
			f.expectStatus(g, "/book/x", http.StatusOK, "")
		}
		f.expectStatus(g, "/stock/x", http.StatusServiceUnavailable, "2013 region-unavailable")
		f.expectStatus(g, "/llm/stream", http.StatusServiceUnavailable, "2013 region-unavailable")
	}
	g.Expect(<-streamed).To(gomega.Equal(answer{http.StatusOK, streamBody(1, 40)}))
	f.evacuate("z", true)
	f.expectStatus(g, "/book/x", http.StatusServiceUnavailable, "2005 no-server")
	f.expectStatus(g, "/stock/x", http.StatusServiceUnavailable, "2013 region-unavailable")
	g.Expect(f.allRuns(f.plainServers[1:])).To(gomega.HaveLen(before))
	g.Expect(f.allRuns(f.llmServers[1:])).To(gomega.HaveLen(1))
	f.evacuate("y", false)
	f.expectStatus(g, "/stock/x", http.StatusOK, "")
	f.expectStatus(g, "/book/x", http.StatusOK, "")
	g.Expect(f.allRuns(f.plainServers[1:])).To(gomega.HaveLen(before + 2))
}

// TestStreamIsNotResumedInEvacuatedZone guards against resuming a stream in a zone that was evacuated
// since it began.
func TestStreamIsNotResumedInEvacuatedZone(t *testing.T) {
	g := gomega.NewWithT(t)
	f, _ := startRegions(t)
	f.removeServers(f.llmServers)
	broken := make(chan struct{})
	var streamServer atomic.Value
	var servers []*scriptedServer
	for _, id := range []string{"s0", "s1", "s2"} {
		servers = append(servers, f.newScriptedServer(id, "llm", func(request *http.Request) string {
			if request.Header.Get("Last-Event-Id") != "" {
				return frame(request, "chunked", "200 OK", streamBody(3, 5))
			}
			streamServer.Store(id)
			<-broken
			return strings.TrimSuffix(frame(request, "chunked", "200 OK", streamBody(1, 2)), "0\r\n\r\n") + closeMark
		}))
	}
	awaitRegistrations()
	ended := make(chan string, 1)
	go func() {
		_, body, _, _ := f.send("POST", "/llm/stream", "k1", "")
		ended <- body
	}()
	g.Eventually(streamServer.Load, waitTimeout).ShouldNot(gomega.BeNil())
	// The server of the stream and one more are in y, the only other one stays in z.
	var outside *scriptedServer
	for _, server := range servers {
		if outside == nil && server.id != streamServer.Load() {
			outside = server
			continue
		}
		registration := strings.Replace(scriptedRegistration("llm", server.listener.Addr().String()), `"zone":"z"`, `"zone":"y"`, 1)
		f.store.Put(keyedstore.TopicServers, server.id, registration)
	}
	f.evacuate("y", true)
	close(broken)
	g.Expect(<-ended).To(gomega.Equal(streamBody(1, 5)))
	g.Expect(outside.runs.Load()).To(gomega.BeEquivalentTo(1))
}

// TestEvacuatedServerIsNotProbed guards against connections to a server in an evacuated zone whose
// request has failed, and so against taking a server that was stopped on purpose for a crash.
func TestEvacuatedServerIsNotProbed(t *testing.T) {
	for name, evacuated := range map[string]bool{"evacuated": true, "in service": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := startFleet(t)
			f.removeServers(f.plainServers)
			listener, err := net.Listen("tcp", allocateAddress())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { _ = listener.Close() })
			var accepted atomic.Int32
			fail := make(chan struct{})
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					accepted.Add(1)
					go func() {
						<-fail
						_ = conn.Close()
					}()
				}
			}()
			f.registerScriptedServer("s0", "plain", listener.Addr().String())
			awaitRegistrations()
			ended := make(chan int, 1)
			go func() {
				status, _, _, _ := f.send("POST", "/order/x", "k1", "")
				ended <- status
			}()
			g.Eventually(accepted.Load, waitTimeout).Should(gomega.BeEquivalentTo(1))
			f.evacuate("z", evacuated)
			close(fail)
			g.Expect(<-ended).To(gomega.Equal(http.StatusBadGateway))
			time.Sleep(300 * time.Millisecond)
			g.Expect(accepted.Load() > 1).To(gomega.Equal(!evacuated))
		})
	}
}

// TestRequestIsWithheldFromEvacuatedZone guards against writing a request on a connection to a server
// whose zone was evacuated while the connection was opened.
func TestRequestIsWithheldFromEvacuatedZone(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.removeServers(f.plainServers)
	// A socket that accepts none leaves a connection unanswered once its queue is full. The system
	// tries again after 1 s.
	address, err := net.ResolveTCPAddr("tcp4", allocateAddress())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = syscall.Close(socket) })
	timeout := syscall.NsecToTimeval(waitTimeout.Nanoseconds())
	g.Expect(syscall.SetsockoptTimeval(socket, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &timeout)).To(gomega.Succeed())
	g.Expect(syscall.Bind(socket, &syscall.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())})).To(gomega.Succeed())
	g.Expect(syscall.Listen(socket, 0)).To(gomega.Succeed())
	first, err := net.Dial("tcp4", address.String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = first.Close() })
	f.registerScriptedServer("s0", "plain", address.String())
	awaitRegistrations()
	ended := make(chan string, 1)
	go func() {
		_, _, header, _ := f.send("POST", "/order/x", "k1", "")
		ended <- header.Get("Fuchsiarouter-Result")
	}()
	time.Sleep(100 * time.Millisecond)
	f.store.Put(keyedstore.TopicOperator, "evacuate/z", "{}")
	time.Sleep(600 * time.Millisecond)
	accept := func() int {
		conn, _, err := syscall.Accept(socket)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = syscall.Close(conn) })
		return conn
	}
	accept()
	g.Eventually(ended, waitTimeout).Should(gomega.Receive(gomega.Equal("2005 no-server")))
	received := make([]byte, 1)
	n, _, err := syscall.Recvfrom(accept(), received, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(n).To(gomega.BeZero(), "the connection is closed without a byte of the request")
}
