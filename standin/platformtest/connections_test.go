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
)

// TestManyKeptConnections guards against running out of descriptors for connections that callers leave open.
func TestManyKeptConnections(t *testing.T) {
	const limit, connections = 4, 12
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.maxKeptConnections = limit
	address, readinessAddress := allocateAddress(), allocateAddress()
	f.newIngress("e2", address, readinessAddress, allocateAddress())
	f.readinessAddress = readinessAddress
	g.Eventually(f.isReady, waitTimeout).Should(gomega.BeTrue())
	kept := 0
	for number := range connections {
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		// Every second request is refused by the entry.
		key := []string{"k1", "k9"}[number%2]
		_, err = fmt.Fprintf(conn, "GET /stock/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\nX-Attempt-Id: %x\r\n\r\n", key, number)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = response.Body.Close()
		g.Expect(response.StatusCode).To(gomega.Equal([]int{http.StatusOK, http.StatusUnauthorized}[number%2]))
		if !response.Close {
			kept++
		}
	}
	g.Expect(kept).To(gomega.BeNumerically(">", 0))
	g.Expect(kept).To(gomega.BeNumerically("<=", limit))
}
