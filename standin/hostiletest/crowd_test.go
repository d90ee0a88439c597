// Package hostiletest_test runs the daemons as processes beside crowds of callers that do not
// behave, and checks that each process lives, stays within its memory and descriptors, and answers
// ordinary requests. It also runs an ingress beside servers whose responses are malformed. Nothing else
// of this repository should run at the same time.
package hostiletest_test

import (
	"cmp"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// crowdSize is the number of connections that hostile callers keep trying to have.
	crowdSize = 900
	// loadTime is how long a crowd sends.
	loadTime = 2 * time.Second
	// reconnectPause is the pause of a caller whose connection was closed.
	reconnectPause = 20 * time.Millisecond
	// usageInterval is the time between two looks at what a process holds, probeInterval that between
	// two ordinary requests.
	usageInterval = 100 * time.Millisecond
	probeInterval = 50 * time.Millisecond
	// waitTimeout bounds each wait for a response or a state.
	waitTimeout = 10 * time.Second
)

// target is a process under test with the address that a crowd uses.
type target struct {
	t       *testing.T
	pid     int
	address string
	request request
	// memoryLimit and descriptorLimit are those of the process's settings.
	memoryLimit, descriptorLimit int
	// crowdSize is the number of connections, crowdSize if it is 0.
	crowdSize int
	// answers reports whether an ordinary request is answered, with a connection of its own.
	answers func() bool
}

// run lets a crowd send a load, and checks the process meanwhile and afterwards.
func (p *target) run(send func(conn net.Conn, r request)) {
	g := gomega.NewWithT(p.t)
	end := time.Now().Add(loadTime)
	var crowd sync.WaitGroup
	for range cmp.Or(p.crowdSize, crowdSize) {
		crowd.Go(func() { p.useConnections(send, end) })
	}
	asked, answered := 0, 0
	crowd.Go(func() {
		for ; time.Now().Before(end); time.Sleep(probeInterval) {
			asked++
			if p.answers() {
				answered++
			}
		}
	})
	var most usage
	for ; time.Now().Before(end); time.Sleep(usageInterval) {
		now := readUsage(p.pid)
		if now.residentBytes+now.unreadBytes > most.residentBytes+most.unreadBytes {
			most.residentBytes, most.unreadBytes = now.residentBytes, now.unreadBytes
		}
		most.descriptors = max(most.descriptors, now.descriptors)
	}
	crowd.Wait()
	peak, _ := statusLine(p.pid, "VmHWM")
	p.t.Logf("peak %d MiB resident, %d MiB with %d MiB unread, %d descriptors, %d of %d ordinary requests answered",
		peak>>20, (most.residentBytes+most.unreadBytes)>>20, most.unreadBytes>>20, most.descriptors, answered, asked)
	g.Expect(isRunning(p.pid)).To(gomega.BeTrue(), "the process has ended")
	g.Expect(max(peak, most.residentBytes+most.unreadBytes)).To(gomega.BeNumerically("<", p.memoryLimit), "memory")
	g.Expect(most.descriptors).To(gomega.BeNumerically("<", p.descriptorLimit), "descriptors")
	g.Expect(answered).To(gomega.BeNumerically(">", 0), "ordinary requests beside the crowd")
	g.Eventually(p.answers, waitTimeout).Should(gomega.BeTrue(), "an ordinary request after the crowd")
}

// useConnections uses one connection after the other until the end.
func (p *target) useConnections(send func(conn net.Conn, r request), end time.Time) {
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", p.address, time.Until(end))
		if err == nil {
			_ = conn.SetDeadline(end)
			send(conn, p.request)
			// Stays open until the process closes the connection.
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}
		time.Sleep(reconnectPause)
	}
}

// runLoads runs each load, and one of mixed callers, against a new process.
func runLoads(t *testing.T, loads []load, start func(t *testing.T) *target) {
	for _, load := range loads {
		t.Run(load.name, func(t *testing.T) { start(t).run(load.send) })
	}
	t.Run("all together", func(t *testing.T) {
		var mu sync.Mutex
		next := 0
		start(t).run(func(conn net.Conn, r request) {
			mu.Lock()
			chosen := loads[next%len(loads)]
			next++
			mu.Unlock()
			chosen.send(conn, r)
		})
	})
}
