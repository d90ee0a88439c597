package platformtest_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/fuchsiarouter/fuchsiarouter/standin/backendserver"
)

// TestStopDoesNotCutStreamsThatEndInTheGracePeriod guards against cutting streams that end within the grace period.
func TestStopDoesNotCutStreamsThatEndInTheGracePeriod(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/llm/stream", "/once/stream"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := startFleet(t)
			for _, server := range f.llmServers {
				server.SetBehaviour(backendserver.Behaviour{StreamEvents: 5, EventInterval: 520 * time.Millisecond})
			}
			drained := make(chan bool, 1)
			time.AfterFunc(200*time.Millisecond, func() { drained <- f.ingress.Drain() })
			status, body, _, err := f.send("POST", path, "k1", "{}")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(http.StatusOK), body)
			g.Expect(body).To(gomega.Equal(streamBody(1, 5)))
			g.Eventually(drained, waitTimeout).Should(gomega.Receive(gomega.BeTrue()))
		})
	}
}

// TestStopWaitsForSlowReaders guards against ending the process while a caller reads a whole answer.
func TestStopWaitsForSlowReaders(t *testing.T) {
	t.Parallel()
	for _, example := range []struct{ path, service, part string }{
		{"/report/x", "plain", "0123456789abcdef"},
		{"/llm/x", "llm", "id: 1\ndata: 0123456789\n\n"},
	} {
		t.Run(example.path, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := startFleet(t)
			f.removeServers(f.plainServers)
			f.removeServers(f.llmServers)
			// The buffers of a connection don't hold the answer.
			body := strings.Repeat(example.part, 7<<20/len(example.part))
			f.newScriptedServer("s0", example.service, func(request *http.Request) string { return frame(request, "length", "200 OK", body) })
			awaitRegistrations()
			conn, err := net.Dial("tcp", f.callerAddress)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { _ = conn.Close() })
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: slow\r\nX-Deadline-Ms: 5000\r\nX-Model: m\r\n"+
				"Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n", example.path)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer response.Body.Close()
			drained := make(chan bool, 1)
			go func() { drained <- f.ingress.Drain() }()
			g.Consistently(drained, 2300*time.Millisecond).ShouldNot(gomega.Receive())
			received, err := io.ReadAll(response.Body)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(len(received)).To(gomega.Equal(len(body)))
			g.Eventually(drained, waitTimeout).Should(gomega.Receive(gomega.BeTrue()))
		})
	}
}

// TestStopTakesNoRequestLate guards against taking requests later than 3 s after the stop signal.
func TestStopTakesNoRequestLate(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	f := startFleetWithGrace(t, 8*time.Second)
	conn, err := net.Dial("tcp", f.callerAddress)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	go f.ingress.Drain()
	time.Sleep(2700 * time.Millisecond)
	_, err = fmt.Fprint(conn, "POST /llm/stream HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: late\r\nX-Deadline-Ms: 5000\r\nX-Model: m\r\n"+
		"Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(f.allRuns(f.llmServers)).To(gomega.BeEmpty())
}

// TestCutStreamIsLoggedWithTheStop guards against a log that doesn't tell streams cut by the stop from others.
func TestCutStreamIsLoggedWithTheStop(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	f := startFleet(t)
	for _, server := range f.llmServers {
		server.SetBehaviour(backendserver.Behaviour{StreamEvents: 5, EventInterval: time.Second})
	}
	core, logs := observer.New(zap.InfoLevel)
	f.log = zap.New(core)
	f.callerAddress, f.readinessAddress = allocateAddress(), allocateAddress()
	f.ingress = f.newIngress("e2", f.callerAddress, f.readinessAddress, allocateAddress())
	g.Eventually(f.isReady, waitTimeout).Should(gomega.BeTrue())
	drained := make(chan bool, 1)
	time.AfterFunc(200*time.Millisecond, func() { drained <- f.ingress.Drain() })
	_, _, _, err := f.sendWithID("cut", "POST", "/llm/stream", "k1", "{}")
	g.Expect(err).To(gomega.HaveOccurred())
	g.Eventually(drained, waitTimeout).Should(gomega.Receive(gomega.BeFalse()))
	lines := logs.FilterMessage("request ended").FilterField(zap.String("request-id", "cut")).All()
	g.Expect(lines).To(gomega.HaveLen(1))
	fields := lines[0].ContextMap()
	g.Expect(fields).To(gomega.HaveKeyWithValue("result", "stream-cut"))
	g.Expect(fields).To(gomega.HaveKeyWithValue("stop-phase", "ended"))
	g.Expect(fields["since-stop"]).To(gomega.BeNumerically("~", 2600*time.Millisecond, 400*time.Millisecond))
	g.Expect(fields["passed-on-bytes"]).To(gomega.BeNumerically(">", 0))
}
