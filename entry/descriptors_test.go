package entry_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// TestAcceptsAfterLackOfDescriptors guards against an entry that accepts nothing after a lack of descriptors.
func TestAcceptsAfterLackOfDescriptors(t *testing.T) {
	f := startEntry(t)
	http.DefaultClient.CloseIdleConnections()
	conn, err := net.Dial("tcp", f.entry.Address())
	f.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	// The entry has accepted the first connection, and waits for the next one.
	time.Sleep(50 * time.Millisecond)
	second, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = unix.Close(second) })
	address, err := net.ResolveTCPAddr("tcp4", f.entry.Address())
	f.Expect(err).NotTo(gomega.HaveOccurred())
	var limit unix.Rlimit
	f.Expect(unix.Getrlimit(unix.RLIMIT_NOFILE, &limit)).To(gomega.Succeed())
	restore := func() { f.Expect(unix.Setrlimit(unix.RLIMIT_NOFILE, &limit)).To(gomega.Succeed()) }
	t.Cleanup(restore)
	f.Expect(unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 3, Max: limit.Max})).To(gomega.Succeed())
	f.Expect(unix.Connect(second, &unix.SockaddrInet4{Port: address.Port, Addr: [4]byte{127, 0, 0, 1}})).To(gomega.Succeed())
	time.Sleep(100 * time.Millisecond)
	restore()
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
	response, err := client.Get("http://" + f.entry.Address() + "/readyz")
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect(response.Body.Close()).To(gomega.Succeed())
}
