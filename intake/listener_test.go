package intake_test

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
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/intake"
)

const bodyLimit = 64 << 10

// startServer starts a server that answers with the size of a body, and returns its address and its
// listener.
func startServer(t *testing.T, settings intake.Settings) (string, *intake.Listener) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	listener := intake.New(inner, settings, zap.NewNop(), tally.NoopScope)
	bodies := intake.NewBodies(intake.BodySettings{
		MemoryBytes: 64 << 20, Connections: listener.Open, Linger: intake.Linger{Time: time.Second, Bytes: 1 << 20},
	}, zap.NewNop(), tally.NoopScope)
	server := intake.NewServer(func(ctx *fasthttp.RequestCtx) {
		hold, failure := bodies.Read(t.Context(), ctx, bodyLimit)
		if failure != nil {
			failure.Write(&ctx.Response)
			bodies.Refuse(ctx, failure)
			return
		}
		defer hold.Release()
		bodies.SetResponse(ctx, fmt.Append(nil, len(ctx.PostBody())))
	}, func() int { return bodyLimit }, time.Minute)
	go func() { _ = listener.Serve(server) }()
	t.Cleanup(func() { _ = listener.Close() })
	return inner.Addr().String(), listener
}

// exchange sends a request on a connection and returns the status and the body of the response.
func exchange(g *gomega.WithT, conn net.Conn, request string) (int, string) {
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err := io.WriteString(conn, request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return response.StatusCode, string(body)
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp4", address)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestOrdinaryRequestsBesideStalledOnes guards against a listener whose connections are all taken by
// callers that never complete a request.
func TestOrdinaryRequestsBesideStalledOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	const limit = 4
	address, listener := startServer(t, intake.Settings{Connections: limit})
	for _, start := range []string{"", "POST / HT", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\naaa"} {
		_, _ = io.WriteString(dial(t, address), start)
	}
	for range 3 {
		status, body := exchange(g, dial(t, address), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
		g.Expect(status).To(gomega.Equal(http.StatusOK))
		g.Expect(body).To(gomega.Equal("2"))
		g.Expect(listener.Open()).To(gomega.BeNumerically("<=", limit))
	}
}

// TestBodies guards against a body that is cut, refused although it has the largest size, or accepted
// above it.
func TestBodies(t *testing.T) {
	g := gomega.NewWithT(t)
	address, _ := startServer(t, intake.Settings{})
	for size, status := range map[int]int{0: 200, 1: 200, 9000: 200, bodyLimit: 200, bodyLimit + 1: 413} {
		content := strings.Repeat("a", size)
		for _, framed := range []string{
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, content),
			fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", strings.Repeat("1\r\na\r\n", size)),
		} {
			got, body := exchange(g, dial(t, address), "POST / HTTP/1.1\r\nHost: h\r\n"+framed)
			g.Expect(got).To(gomega.Equal(status), "%d bytes", size)
			if status == http.StatusOK {
				g.Expect(body).To(gomega.Equal(fmt.Sprint(size)))
			}
		}
	}
}

// TestTimeouts guards against connections that stay open without a request, and against a timeout that
// ends a kept connection early.
func TestTimeouts(t *testing.T) {
	g := gomega.NewWithT(t)
	timeouts := intake.Timeouts{Unused: time.Second, Head: time.Second, Idle: 3 * time.Second}
	address, listener := startServer(t, intake.Settings{Timeouts: func() intake.Timeouts { return timeouts }})
	kept, slow := dial(t, address), dial(t, address)
	_ = dial(t, address)
	status, _ := exchange(g, kept, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	_, _ = io.WriteString(slow, "GET / HTTP/1.1\r\nHost:")
	g.Eventually(listener.Open, "2500ms").Should(gomega.Equal(1))
	status, _ = exchange(g, kept, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Eventually(listener.Open, "6s").Should(gomega.BeZero())
}
