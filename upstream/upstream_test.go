package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/upstream"
)

// TestNoSendOnStaleConnection guards against writing a request to an idle connection whose
// remote process has restarted: the request would fail as one that may have run.
func TestNoSendOnStaleConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	address := ""
	start := func() *http.Server {
		if address == "" {
			address = "127.0.0.1:0"
		}
		listener, err := net.Listen("tcp", address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		address = listener.Addr().String()
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
		go func() { _ = server.Serve(listener) }()
		return server
	}
	client := upstream.New(nil)
	post := func() error {
		request := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(request)
		request.SetRequestURI("http://" + address + "/bookings")
		request.Header.SetMethod(fasthttp.MethodPost)
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		return err
	}
	server := start()
	for range 3 {
		g.Expect(post()).To(gomega.Succeed())
		g.Expect(server.Close()).To(gomega.Succeed())
		server = start()
		// After this time the client has received the close of the idle connection.
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect(post()).To(gomega.Succeed())
	g.Expect(server.Close()).To(gomega.Succeed())
	g.Expect(upstream.IsNotSent(post())).To(gomega.BeTrue())
}

// TestExtraResponseIsNotThatOfTheNextRequest guards against a late response that is returned for the next request.
func TestExtraResponseIsNotThatOfTheNextRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	extraSent := make(chan struct{}, 1)
	go func() {
		for isFirst := true; ; isFirst = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveEcho(conn, isFirst, extraSent)
		}
	}()
	client := upstream.New(nil)
	for _, id := range []string{"1", "2"} {
		request := fasthttp.AcquireRequest()
		request.SetRequestURI("http://" + listener.Addr().String() + "/" + id)
		response, err := client.Do(request)
		fasthttp.ReleaseRequest(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.Body.Close()).To(gomega.Succeed())
		g.Expect(string(body)).To(gomega.Equal("/" + id))
		if id == "1" {
			<-extraSent
			// The client has received the extra response by the end of this time.
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// serveEcho responds to each request on the connection with its path. After the first response
// it sends an extra one if withExtra is set.
func serveEcho(conn net.Conn, withExtra bool, extraSent chan<- struct{}) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		respond := func(body string) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		respond(request.URL.Path)
		if withExtra {
			withExtra = false
			time.Sleep(20 * time.Millisecond)
			respond("extra")
			extraSent <- struct{}{}
		}
	}
}

// TestAbortedRequestIsNotDeliveredLater guards against bytes of an aborted request that arrive later.
func TestAbortedRequestIsNotDeliveredLater(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	address := listener.Addr().String()
	// The body does not fit into the receive buffer of a connection that nobody reads.
	body := make([]byte, 512<<10)
	client := upstream.New(nil)
	ended := make(chan error, 1)
	go func() {
		request := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(request)
		request.SetRequestURI("http://" + address + "/bookings")
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetBodyRaw(body)
		_, err := client.Do(request)
		ended <- err
	}()
	// The receive buffer of the remote process is full by the end of this time.
	time.Sleep(100 * time.Millisecond)
	client.CloseConnections(address)
	g.Eventually(ended, "3s").Should(gomega.Receive(gomega.HaveOccurred()))
	conn, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	g.Expect(conn.SetReadDeadline(time.Now().Add(3 * time.Second))).To(gomega.Succeed())
	received, err := io.ReadAll(conn)
	g.Expect(len(received)).To(gomega.BeNumerically("<", len(body)))
	g.Expect(errors.Is(err, syscall.ECONNRESET)).To(gomega.BeTrue(), "%v", err)
}
