package platformtest_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// TestServersAfterLackOfDescriptors guards against ejecting servers for a lack of descriptors of the entry.
func TestServersAfterLackOfDescriptors(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.removeServers(f.plainServers)
	f.newScriptedServer("s0", "plain", whole)
	f.newScriptedServer("s1", "plain", whole)
	awaitRegistrations()
	conn, err := net.Dial("tcp", f.callerAddress)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	reader := bufio.NewReader(conn)
	send := func(path string) (int, string, time.Duration) {
		start := time.Now()
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: %x\r\nContent-Length: 0\r\n\r\n", path, start.UnixNano())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return response.StatusCode, string(body), time.Since(start)
	}
	status, _, _ := send("/none/x")
	g.Expect(status).To(gomega.Equal(http.StatusNotFound))
	var limit unix.Rlimit
	g.Expect(unix.Getrlimit(unix.RLIMIT_NOFILE, &limit)).To(gomega.Succeed())
	restore := func() { _ = unix.Setrlimit(unix.RLIMIT_NOFILE, &limit) }
	t.Cleanup(restore)
	g.Expect(unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 3, Max: limit.Max})).To(gomega.Succeed())
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status, _, _ = send("/stock/x")
		g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	}
	restore()
	status, body, took := send("/stock/x")
	g.Expect(status).To(gomega.Equal(http.StatusOK), "%v: %s", took, body)
	g.Expect(took).To(gomega.BeNumerically("<", 300*time.Millisecond))
}
