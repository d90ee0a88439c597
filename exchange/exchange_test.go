package exchange_test

import (
	"bufio"
	"context"
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

const deadline = 3 * time.Second

// server answers the n-th request on each connection by writing what reply returns,
// and closes the connection when that ends with the word CLOSE.
type server struct {
	target exchange.Target
	// connections counts the connections that were made.
	connections atomic.Int32
	requests    atomic.Int32
	ended       chan struct{}
}

func serve(t *testing.T, reply func(request int) string) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	s := &server{target: exchange.Target{Address: listener.Addr().String(), ID: "i"}, ended: make(chan struct{}, 8)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.answer(conn, reply)
		}
	}()
	return s
}

func (s *server) answer(conn net.Conn, reply func(int) string) {
	defer func() {
		_ = conn.Close()
		s.ended <- struct{}{}
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
		text, closes := strings.CutSuffix(reply(int(s.requests.Add(1))), "CLOSE")
		if _, err := io.WriteString(conn, text); err != nil || closes {
			return
		}
	}
}

func mine(header *fasthttp.ResponseHeader) bool { return string(header.Peek("Id")) == "1" }

func send(client *exchange.Client, s *server) (*exchange.Answer, error) {
	return client.Send(context.Background(), s.target, []byte("GET / HTTP/1.1\r\n\r\n"), time.Now().Add(deadline), mine)
}

func whole(client *exchange.Client, s *server) (string, error) {
	answer, err := send(client, s)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := answer.ReadAll(1 << 20)
	return string(body), err
}

const answerOK = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

// TestKeepsConnections guards against a new connection for each request.
func TestKeepsConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(t, func(int) string { return answerOK })
	client := exchange.New()
	for range 5 {
		g.Expect(whole(client, s)).To(gomega.Equal("ok"))
	}
	g.Expect(s.connections.Load()).To(gomega.Equal(int32(1)))
}

// TestExtraBytes guards against bytes behind a complete answer that are taken for the
// next one.
func TestExtraBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(t, func(int) string { return answerOK + "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nbad" })
	client := exchange.New()
	for range 3 {
		g.Expect(whole(client, s)).To(gomega.Equal("ok"))
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect(s.connections.Load()).To(gomega.Equal(int32(3)))
}

// TestStrayAnswer guards against an answer to another request that comes first.
func TestStrayAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(t, func(int) string {
		return "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 3\r\n\r\nold" + answerOK
	})
	g.Expect(whole(exchange.New(), s)).To(gomega.Equal("ok"))
}

// TestCutAnswers guards against an answer that breaks off and looks complete.
func TestCutAnswers(t *testing.T) {
	for _, reply := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nokCLOSE",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nCLOSE",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nokCLOSE",
		"HTTP/1.1 200CLOSE",
	} {
		g := gomega.NewWithT(t)
		s := serve(t, func(int) string { return reply })
		_, err := whole(exchange.New(), s)
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(errors.Is(err, exchange.ErrNotSent)).To(gomega.BeFalse())
	}
}

// TestAnswerWithoutLength guards against refusing an answer that ends with its
// connection, and against using that connection again.
func TestAnswerWithoutLength(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(t, func(int) string { return "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nokCLOSE" })
	client := exchange.New()
	for range 2 {
		g.Expect(whole(client, s)).To(gomega.Equal("ok"))
	}
	g.Expect(s.connections.Load()).To(gomega.Equal(int32(2)))
}

// TestNotSent guards against a refused connection that counts as a request which may
// have run.
func TestNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(gomega.Succeed())
	_, err = send(exchange.New(), &server{target: exchange.Target{Address: address}})
	g.Expect(errors.Is(err, exchange.ErrNotSent)).To(gomega.BeTrue())
}

// TestClosedWhileIdle guards against writing a request to a connection that the server
// has closed: it would count as one that may have run.
func TestClosedWhileIdle(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(t, func(int) string { return answerOK + "CLOSE" })
	client := exchange.New()
	for range 3 {
		g.Expect(whole(client, s)).To(gomega.Equal("ok"))
		time.Sleep(20 * time.Millisecond)
	}
}

// TestCancel guards against a server that works on for a caller that has left.
func TestCancel(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(t, func(int) string { return "" })
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := exchange.New().Send(ctx, s.target, []byte("GET / HTTP/1.1\r\n\r\n"), time.Now().Add(deadline), mine)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Eventually(s.ended, deadline).Should(gomega.Receive())
}

// TestCancelResets guards against a request that is cancelled while its server stands
// still, and that the server runs when it goes on: a connection that is closed without
// a reset still delivers what was sent before.
func TestCancelResets(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	target := exchange.Target{Address: listener.Addr().String(), ID: "i"}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err = exchange.New().Send(ctx, target, []byte("GET / HTTP/1.1\r\n\r\n"), time.Now().Add(deadline), mine)
	g.Expect(err).To(gomega.HaveOccurred())
	conn, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(deadline))
	_, err = io.Copy(io.Discard, conn)
	g.Expect(errors.Is(err, syscall.ECONNRESET)).To(gomega.BeTrue(), "%v", err)
}

// TestIncarnations guards against a connection of one incarnation that carries a
// request for another.
func TestIncarnations(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(t, func(int) string { return answerOK })
	client := exchange.New()
	g.Expect(whole(client, s)).To(gomega.Equal("ok"))
	s.target.Born = 2
	g.Expect(whole(client, s)).To(gomega.Equal("ok"))
	g.Expect(s.connections.Load()).To(gomega.Equal(int32(2)))
	client.Sweep(time.Now(), func(target exchange.Target) bool { return target.Born == 2 })
	g.Expect(client.Open()).To(gomega.Equal(1))
}
