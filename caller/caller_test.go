package caller_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/caller"
)

// connectedPair returns the two ends of a TCP connection: near is the accepted one, far the
// one that was dialed.
func connectedPair(g *gomega.WithT) (near, far net.Conn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	far, err = net.Dial("tcp4", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	near, err = listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return near, far
}

// TestWatchReportsCloseOnly checks that a watch reports the close of a connection but not the
// arrival of data, that it doesn't consume bytes of the next request that arrive early, and
// that it leaves no read deadline on the connection.
func TestWatchReportsCloseOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	near, far := connectedPair(g)
	defer near.Close()
	for range 3 {
		watch := caller.New(near, 0)
		g.Consistently(watch.Closed(), "30ms").ShouldNot(gomega.BeClosed())
		_, err := far.Write([]byte("ahead\n"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Consistently(watch.Closed(), "30ms").ShouldNot(gomega.BeClosed())
		watch.Close()
		watch.Close()
		line, err := bufio.NewReader(near).ReadString('\n')
		g.Expect(line, err).To(gomega.Equal("ahead\n"))
	}
	watch := caller.New(near, 0)
	notified := make(chan struct{})
	watch.OnClose(func() { close(notified) })
	g.Expect(far.Close()).To(gomega.Succeed())
	g.Eventually(watch.Closed(), "2s").Should(gomega.BeClosed())
	g.Eventually(notified, "2s").Should(gomega.BeClosed())
	watch.Close()
	late := caller.New(near, time.Hour)
	late.Close()
	g.Expect(late.IsClosed()).To(gomega.BeFalse())
}

// TestWatchReportsCloseBehindData guards against a caller that leaves unnoticed since it has sent more
// than its request.
func TestWatchReportsCloseBehindData(t *testing.T) {
	g := gomega.NewWithT(t)
	near, far := connectedPair(g)
	defer near.Close()
	watch := caller.New(near, 0)
	defer watch.Close()
	_, err := far.Write([]byte("ahead\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Consistently(watch.Closed(), "30ms").ShouldNot(gomega.BeClosed())
	g.Expect(far.Close()).To(gomega.Succeed())
	g.Eventually(watch.Closed(), "2s").Should(gomega.BeClosed())
}
