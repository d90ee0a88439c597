package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/exchange"
)

// deadline bounds each request, and each wait for an effect of one.
const deadline = 3 * time.Second

// testServer responds to the n-th request with the text that reply returns for n. If the
// text ends with the word CLOSE, the server closes the connection after sending the text
// without that word.
type testServer struct {
	target exchange.Target
	// connections counts the accepted connections.
	connections atomic.Int32
	requests    atomic.Int32
	// connClosed receives a value for each connection that has ended.
	connClosed chan struct{}
}

// startServer starts a server that runs until the end of the test.
func startServer(t *testing.T, reply func(request int) string) *testServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	s := &testServer{target: exchange.Target{Address: listener.Addr().String(), ID: "i"}, connClosed: make(chan struct{}, 8)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.handleConn(conn, reply)
		}
	}()
	return s
}

func (s *testServer) handleConn(conn net.Conn, reply func(int) string) {
	defer func() {
		_ = conn.Close()
		s.connClosed <- struct{}{}
	}()
	reader := bufio.NewReader(conn)
	for {
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			if line == "\r\n" {
				break
			}
		}
		text, closeConn := strings.CutSuffix(reply(int(s.requests.Add(1))), "CLOSE")
		if _, err := io.WriteString(conn, text); err != nil || closeConn {
			return
		}
	}
}

// matchID is the match function for the only request ID that the tests use.
func matchID(header *fasthttp.ResponseHeader) exchange.Match {
	switch string(header.Peek("Id")) {
	case "1":
		return exchange.Belongs
	case "":
		return exchange.Unidentified
	}
	return exchange.Other
}

func send(client *exchange.Client, s *testServer) (*exchange.Response, error) {
	return client.Send(context.Background(), s.target, []byte("GET / HTTP/1.1\r\n\r\n"), time.Now().Add(deadline), matchID, func() bool { return true })
}

func sendAndReadAll(client *exchange.Client, s *testServer) (string, error) {
	response, err := send(client, s)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := response.ReadAll(1<<20, nil)
	return string(body), err
}

// responseOK is a complete response to the request with the ID 1.
const responseOK = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

// TestReusesConnections guards against opening a new connection for each request.
func TestReusesConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, func(int) string { return responseOK })
	client := exchange.New()
	for range 5 {
		g.Expect(sendAndReadAll(client, s)).To(gomega.Equal("ok"))
	}
	g.Expect(s.connections.Load()).To(gomega.Equal(int32(1)))
}

// TestBytesAfterResponse guards against taking bytes after a complete response for the
// next response.
func TestBytesAfterResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, func(int) string { return responseOK + "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nbad" })
	client := exchange.New()
	for range 3 {
		g.Expect(sendAndReadAll(client, s)).To(gomega.Equal("ok"))
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect(s.connections.Load()).To(gomega.Equal(int32(3)))
}

// TestStrayResponse guards against returning a response to another request that arrives
// before the expected one.
func TestStrayResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, func(int) string {
		return "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 3\r\n\r\nold" + responseOK
	})
	g.Expect(sendAndReadAll(exchange.New(), s)).To(gomega.Equal("ok"))
}

// TestResponseWithoutID guards against taking a response without an ID for that of a request
// which shares its connection with earlier ones, and against rejecting the only response on a
// connection.
func TestResponseWithoutID(t *testing.T) {
	const withoutID = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull"
	for _, test := range []struct {
		name    string
		replies [2]string
		body    string
	}{
		{"first on its connection", [2]string{withoutID + "CLOSE", withoutID + "CLOSE"}, "full"},
		{"after another response", [2]string{responseOK, withoutID}, ""},
		{"after a stray response", [2]string{responseOK + "CLOSE", strings.Replace(responseOK, "Id: 1", "Id: 7", 1) + withoutID}, ""},
		{"after an informational response", [2]string{responseOK + "CLOSE", "HTTP/1.1 100 Continue\r\n\r\n" + withoutID}, "full"},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := startServer(t, func(request int) string { return test.replies[request-1] })
			client := exchange.New()
			_, err := sendAndReadAll(client, s)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			// The end of a connection is seen before the next request is sent.
			time.Sleep(20 * time.Millisecond)
			body, err := sendAndReadAll(client, s)
			if test.body == "" {
				g.Expect(errors.Is(err, exchange.ErrUnidentified)).To(gomega.BeTrue(), "%v", err)
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.Equal(test.body))
		})
	}
}

// TestTruncatedResponses guards against taking a truncated response for a complete one,
// and against treating its request as one that was not sent.
func TestTruncatedResponses(t *testing.T) {
	for _, reply := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nokCLOSE",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nCLOSE",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nokCLOSE",
		"HTTP/1.1 200CLOSE",
	} {
		g := gomega.NewWithT(t)
		s := startServer(t, func(int) string { return reply })
		_, err := sendAndReadAll(exchange.New(), s)
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(errors.Is(err, exchange.ErrNotSent)).To(gomega.BeFalse())
	}
}

// TestHeadThatIsCut guards against taking a response that ends inside its head for a complete one
// with an empty body. The head is cut after each byte.
func TestHeadThatIsCut(t *testing.T) {
	for _, framing := range []string{"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"} {
		head := "HTTP/1.1 200 OK\r\nId: 1\r\n" + framing + "\r\n"
		var cut atomic.Int32
		s := startServer(t, func(int) string { return head[:cut.Load()] + "CLOSE" })
		for ; int(cut.Load()) < len(head); cut.Add(1) {
			g := gomega.NewWithT(t)
			body, err := sendAndReadAll(exchange.New(), s)
			g.Expect(err).To(gomega.HaveOccurred(), "%q gives %q", head[:cut.Load()], body)
			g.Expect(errors.Is(err, exchange.ErrNotSent)).To(gomega.BeFalse())
			<-s.connClosed
		}
	}
}

// TestResponseWithoutLength guards against rejecting a response that ends with its
// connection, and against reusing that connection.
func TestResponseWithoutLength(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, func(int) string { return "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nokCLOSE" })
	client := exchange.New()
	for range 2 {
		g.Expect(sendAndReadAll(client, s)).To(gomega.Equal("ok"))
	}
	g.Expect(s.connections.Load()).To(gomega.Equal(int32(2)))
}

// TestFraming guards against a log that names the wrong end of a response, which is what tells
// a response that was cut off from one that its server ended early.
func TestFraming(t *testing.T) {
	for reply, framing := range map[string]string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n":                   "length",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": "chunked",
		"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nCLOSE":                                   "close",
	} {
		g := gomega.NewWithT(t)
		response, err := send(exchange.New(), startServer(t, func(int) string { return reply }))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.Framing()).To(gomega.Equal(framing))
		response.Close()
	}
}

// TestRefusedConnectionIsNotSent guards against treating a request whose connection was
// refused as one that may have run.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(gomega.Succeed())
	_, err = send(exchange.New(), &testServer{target: exchange.Target{Address: address}})
	g.Expect(errors.Is(err, exchange.ErrNotSent)).To(gomega.BeTrue())
}

// TestClosedWhileIdle guards against writing a request to a connection that the server
// has closed while it was idle: the request would count as one that may have run.
func TestClosedWhileIdle(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, func(int) string { return responseOK + "CLOSE" })
	client := exchange.New()
	for range 3 {
		g.Expect(sendAndReadAll(client, s)).To(gomega.Equal("ok"))
		time.Sleep(20 * time.Millisecond)
	}
}

// TestCancelClosesConnection guards against a server that keeps running the request of a
// caller that has disconnected, because its connection stays open.
func TestCancelClosesConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, func(int) string { return "" })
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := exchange.New().Send(ctx, s.target, []byte("GET / HTTP/1.1\r\n\r\n"), time.Now().Add(deadline), matchID, func() bool { return true })
	g.Expect(err).To(gomega.HaveOccurred())
	g.Eventually(s.connClosed, deadline).Should(gomega.Receive())
}

// TestCancelResetsConnection guards against a cancelled request that a frozen server
// still runs when it resumes: a connection that is closed without a reset still delivers
// the data that was sent before.
func TestCancelResetsConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	target := exchange.Target{Address: listener.Addr().String(), ID: "i"}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err = exchange.New().Send(ctx, target, []byte("GET / HTTP/1.1\r\n\r\n"), time.Now().Add(deadline), matchID, func() bool { return true })
	g.Expect(err).To(gomega.HaveOccurred())
	conn, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(deadline))
	_, err = io.Copy(io.Discard, conn)
	g.Expect(errors.Is(err, syscall.ECONNRESET)).To(gomega.BeTrue(), "%v", err)
}

// TestCancelledRequestIsNotSent guards against sending a request whose caller left while the connection was opened.
func TestCancelledRequestIsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, func(int) string { return responseOK })
	for range 50 {
		ctx, cancel := context.WithCancel(context.Background())
		_, err := exchange.New().Send(ctx, s.target, []byte("GET / HTTP/1.1\r\n\r\n"), time.Now().Add(deadline), matchID,
			func() bool { cancel(); return true })
		g.Expect(errors.Is(err, exchange.ErrNotSent)).To(gomega.BeTrue(), "%v", err)
	}
	time.Sleep(50 * time.Millisecond)
	g.Expect(s.requests.Load()).To(gomega.BeZero())
}

// TestIncarnationsShareNoConnection guards against sending a request for one incarnation
// of a server on a connection to another one.
func TestIncarnationsShareNoConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, func(int) string { return responseOK })
	client := exchange.New()
	g.Expect(sendAndReadAll(client, s)).To(gomega.Equal("ok"))
	s.target.Incarnation = 2
	g.Expect(sendAndReadAll(client, s)).To(gomega.Equal("ok"))
	g.Expect(s.connections.Load()).To(gomega.Equal(int32(2)))
	client.CloseExpired(time.Now(), func(target exchange.Target) bool { return target.Incarnation == 2 })
	g.Expect(client.OpenConnections()).To(gomega.Equal(1))
}

// TestAnswerBeforeRequestIsRead guards against missing what a server answers before it has read the request.
func TestAnswerBeforeRequestIsRead(t *testing.T) {
	for _, closes := range []bool{false, true} {
		t.Run(fmt.Sprint("closes ", closes), func(t *testing.T) {
			g := gomega.NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { _ = listener.Close() })
			ended := make(chan struct{})
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = io.ReadFull(conn, make([]byte, 100))
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 2\r\n\r\nno")
				if !closes {
					<-ended
				}
				_ = conn.Close()
			}()
			request := []byte("POST / HTTP/1.1\r\nContent-Length: 16777216\r\n\r\n" + strings.Repeat("x", 16<<20))
			client := exchange.New()
			start := time.Now()
			response, err := client.Send(context.Background(), exchange.Target{Address: listener.Addr().String(), ID: "i"}, request,
				start.Add(deadline), matchID, func() bool { return true })
			close(ended)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(time.Since(start)).To(gomega.BeNumerically("<", deadline/2))
			g.Expect(response.Header.StatusCode()).To(gomega.Equal(fasthttp.StatusServiceUnavailable))
			body, err := response.ReadAll(1<<20, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(body)).To(gomega.Equal("no"))
			response.Close()
			g.Expect(client.OpenConnections()).To(gomega.BeZero())
		})
	}
}

// TestEndBeforeResponse guards against hiding how a connection ended.
func TestEndBeforeResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 100))
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	_, err = send(exchange.New(), &testServer{target: exchange.Target{Address: listener.Addr().String(), ID: "i"}})
	g.Expect(err).To(gomega.MatchError(syscall.ECONNRESET))
}

// TestAnswerAfterCancel guards against missing a refusal on its way to a request that is cancelled.
func TestAnswerAfterCancel(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	s := startServer(t, func(int) string {
		cancel()
		time.Sleep(15 * time.Millisecond)
		return "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	})
	read := false
	response, err := exchange.New().Send(ctx, s.target, []byte("GET / HTTP/1.1\r\n\r\n"), time.Now().Add(deadline),
		func(header *fasthttp.ResponseHeader) exchange.Match {
			read = header.StatusCode() == fasthttp.StatusServiceUnavailable
			return matchID(header)
		}, func() bool { return true })
	if err == nil {
		response.Close()
	}
	g.Expect(read).To(gomega.BeTrue(), "%v", err)
	g.Eventually(s.connClosed, deadline).Should(gomega.Receive())
}
