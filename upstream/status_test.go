package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/dispatch"
	"github.com/fuchsiarouter/fuchsiarouter/syntax"
	"github.com/fuchsiarouter/fuchsiarouter/upstream"
)

// startServer starts a server that sends the same response to all requests, each on a connection of its
// own, and returns its address.
func startServer(t *testing.T, response string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, response)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// get sends a request to the address and reads the response.
func get(client *upstream.Client, address string) error {
	request := fasthttp.AcquireRequest()
	request.SetRequestURI("http://" + address + "/")
	request.SetTimeout(3 * time.Second)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(response.Body)
	return errors.Join(err, response.Body.Close())
}

// TestInvalidStatus guards against passing on a response whose status is not from 100 to 599, and
// against stating that its request did not run.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "007", "600", "999", "200", "599"} {
		g := gomega.NewWithT(t)
		address := startServer(t, "HTTP/1.1 "+status+" Status\r\nContent-Length: 2\r\n\r\nok")
		isValid := status == "200" || status == "599"
		client := upstream.New(nil)
		err := get(client, address)
		if isValid {
			g.Expect(err).NotTo(gomega.HaveOccurred(), status)
		} else {
			g.Expect(err).To(gomega.HaveOccurred(), status)
			g.Expect(upstream.IsNotSent(err)).To(gomega.BeFalse(), status)
		}
		g.Expect(client.CheckHealth(address, time.Second)).To(gomega.Equal(isValid), status)
	}
}

// TestInvalidFieldNames guards against passing on a response with a malformed field name, stating that
// its request did not run, and calling its server healthy.
func TestInvalidFieldNames(t *testing.T) {
	const waiting = dispatch.WaitingResponse
	for _, response := range []string{
		"HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nBad Name: x\r\nContent-Length: 2\r\n\r\nok",
		waiting + "HTTP/1.1 200 OK\r\nBad : x\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBad Name: x\r\n\r\n",
	} {
		g := gomega.NewWithT(t)
		address := startServer(t, response)
		client := upstream.New(nil)
		err := get(client, address)
		g.Expect(err).To(gomega.MatchError(syntax.ErrInvalid), response)
		g.Expect(upstream.IsNotSent(err)).To(gomega.BeFalse(), response)
		g.Expect(err).NotTo(gomega.MatchError(upstream.ErrWaiting), response)
		g.Expect(client.CheckHealth(address, time.Second)).To(gomega.BeFalse(), response)
	}
}
