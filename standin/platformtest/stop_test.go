package platformtest_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/backendserver"
)

// TestStopAnswersEveryRequest guards against requests that a stopping entry takes and then cuts off
// without an answer, because their servers answer only after the end of the grace period of 3 s. Of
// the requests that arrive during it, those that may not be repeated and can outlast it must not run.
func TestStopAnswersEveryRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	for _, server := range f.plainServers {
		server.SetBehaviour(backendserver.Behaviour{ResponseDelay: 4 * time.Second})
	}
	for _, server := range f.llmServers {
		server.SetBehaviour(backendserver.Behaviour{StreamEvents: 5, EventInterval: time.Second})
	}
	type answer struct {
		id, path string
		status   int
		err      error
	}
	const perPath = 12
	answers := make(chan answer, 8*perPath)
	sent := 0
	send := func(prefix string, paths ...string) {
		for _, path := range paths {
			for index := range perPath {
				sent++
				id := fmt.Sprint(prefix, path, index)
				go func() {
					status, _, _, err := f.sendWithID(id, "POST", path, "k1", "")
					answers <- answer{id, path, status, err}
				}()
			}
		}
	}
	send("early", "/order/x", "/report/x")
	time.Sleep(200 * time.Millisecond)
	drained := make(chan bool, 1)
	go func() { drained <- f.ingress.Drain() }()
	g.Eventually(f.isReady, waitTimeout).Should(gomega.BeFalse())
	send("late", "/order/x", "/report/x", "/once/stream")
	g.Eventually(drained, waitTimeout).Should(gomega.Receive())
	// The process ends now, and with it its connections.
	time.Sleep(50 * time.Millisecond)
	g.Expect(answers).To(gomega.HaveLen(sent), "answered before the process ends")
	ran := map[string]bool{}
	for _, run := range f.allRuns(f.plainServers) {
		ran[run.RequestID] = true
	}
	for _, run := range f.allRuns(f.llmServers) {
		ran[run.RequestID] = true
	}
	for range sent {
		got := <-answers
		g.Expect(got.err).NotTo(gomega.HaveOccurred(), got.id)
		g.Expect(got.status).To(gomega.BeElementOf(http.StatusBadGateway, http.StatusServiceUnavailable), got.id)
		g.Expect(ran[got.id]).To(gomega.Equal(got.status == http.StatusBadGateway), "%s %d", got.id, got.status)
		if got.id[:4] == "late" && got.path != "/report/x" {
			g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable), got.id)
		}
	}
}
