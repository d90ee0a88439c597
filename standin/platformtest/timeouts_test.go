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

	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
)

// publishTimeouts publishes a configuration with the timeouts in ms.
func (f *testFleet) publishTimeouts(head, idle int) {
	limits := fmt.Sprintf(`"headerTimeoutMs":%d,"idleTimeoutMs":%d`, head, idle)
	f.store.Put(keyedstore.TopicOperator, "config", strings.Replace(fmt.Sprintf(configurationFormat, 2, `"k1"`), `"idleTimeoutMs":15000`, limits, 1))
	awaitRegistrations()
}

// TestHeadTimeout guards against a caller that keeps a connection with a part of a head for longer than
// the configuration allows, and against a response that does not say that the request has not run.
func TestHeadTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.publishTimeouts(1500, 60_000)
	conn, err := net.Dial("tcp", f.callerAddress)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	_, err = io.WriteString(conn, "GET /stock/x HTTP/1.1\r\nHost: h.example\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusRequestTimeout))
	g.Expect(response.Header.Get("Fuchsiarouter-Ran")).To(gomega.Equal("no"))
	_, err = io.Copy(io.Discard, response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = reader.ReadByte()
	g.Expect(err).To(gomega.Equal(io.EOF))
}

// TestIdleTimeout guards against closing a connection that a caller may still use, after four fifths of
// the time in the configuration, and against keeping an abandoned one.
func TestIdleTimeout(t *testing.T) {
	const idle = 5 * time.Second
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.publishTimeouts(60_000, int(idle.Milliseconds()))
	conn, err := net.Dial("tcp", f.callerAddress)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(4 * waitTimeout))
	reader := bufio.NewReader(conn)
	for number := range 2 {
		time.Sleep(time.Duration(number) * idle * 4 / 5)
		_, err = fmt.Fprintf(conn, "GET /stock/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: %d\r\n\r\n", number)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = response.Body.Close()
		g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
	}
	answered := time.Now()
	_, err = reader.ReadByte()
	g.Expect(err).To(gomega.Equal(io.EOF))
	g.Expect(time.Since(answered)).To(gomega.BeNumerically(">", idle*4/5))
}
