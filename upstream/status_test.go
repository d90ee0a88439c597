package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/upstream"
)

// TestInvalidStatus guards against passing on a response whose status is not from 100 to 599, and
// against stating that its request did not run.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "007", "600", "999", "200", "599"} {
		g := gomega.NewWithT(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Status\r\nContent-Length: 2\r\n\r\nok")
				}
				_ = conn.Close()
			}
		}()
		isValid := status == "200" || status == "599"
		client := upstream.New(nil)
		request := fasthttp.AcquireRequest()
		request.SetRequestURI("http://" + listener.Addr().String() + "/")
		request.SetTimeout(3 * time.Second)
		response, err := client.Do(request)
		if isValid {
			g.Expect(err).NotTo(gomega.HaveOccurred(), status)
			g.Expect(response.Body.Close()).To(gomega.Succeed())
		} else {
			g.Expect(err).To(gomega.HaveOccurred(), status)
			g.Expect(upstream.IsNotSent(err)).To(gomega.BeFalse(), status)
		}
		g.Expect(client.CheckHealth(listener.Addr().String(), time.Second)).To(gomega.Equal(isValid), status)
	}
}
