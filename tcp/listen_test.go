package tcp_test

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sys/unix"

	"github.com/fuchsiarouter/fuchsiarouter/tcp"
)

// TestAcceptsAfterLackOfDescriptors guards against a listener that ends for good when descriptors are lacking.
func TestAcceptsAfterLackOfDescriptors(t *testing.T) {
	g := gomega.NewWithT(t)
	core, lines := observer.New(zap.InfoLevel)
	listener, err := tcp.Listen("127.0.0.1:0", zap.New(core))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	var limit unix.Rlimit
	g.Expect(unix.Getrlimit(unix.RLIMIT_NOFILE, &limit)).To(gomega.Succeed())
	restore := func() { g.Expect(unix.Setrlimit(unix.RLIMIT_NOFILE, &limit)).To(gomega.Succeed()) }
	t.Cleanup(restore)
	// Descriptors 0 to 2 are open, so no further one can be opened.
	g.Expect(unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 3, Max: limit.Max})).To(gomega.Succeed())
	accepted := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_ = conn.Close()
		}
		accepted <- err
	}()
	g.Consistently(accepted, 100*time.Millisecond).ShouldNot(gomega.Receive())
	g.Expect(lines.FilterLevelExact(zap.WarnLevel).Len()).To(gomega.Equal(1))
	restore()
	g.Eventually(accepted, 3*time.Second).Should(gomega.Receive(gomega.BeNil()))
	g.Expect(lines.FilterMessage("connections accepted again").Len()).To(gomega.Equal(1))
}
