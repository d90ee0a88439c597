package tcp_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/tcp"
)

// pair returns the two ends of a connection, the first one with progress.
func pair(t *testing.T, pause, extra time.Duration) (*tcp.Progress, net.Conn) {
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return &tcp.Progress{Conn: near, Pause: pause, Extra: extra}, far
}

// TestProgress guards against an answer that is given up while it comes, and read anew
// over the link that was too slow for it.
func TestProgress(t *testing.T) {
	g := gomega.NewWithT(t)
	near, far := pair(t, 2*time.Second, time.Minute)
	go func() {
		for range 10 {
			_, _ = far.Write([]byte("x"))
			time.Sleep(20 * time.Millisecond)
		}
		_ = far.Close()
	}()
	g.Expect(near.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(gomega.Succeed())
	content, err := io.ReadAll(near)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(content).To(gomega.HaveLen(10))
}

// TestProgressEnds guards against waiting without end for a peer that is silent, or that
// sends a byte from time to time.
func TestProgressEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	near, far := pair(t, time.Minute, 100*time.Millisecond)
	go func() {
		for {
			if _, err := far.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	g.Expect(near.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(gomega.Succeed())
	_, err := io.ReadAll(near)
	g.Expect(err).To(gomega.HaveOccurred())
}
