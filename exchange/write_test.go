package exchange_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/exchange"
)

// TestResetBeforeRequestIsRead guards against taking a body that a reset has cut for a whole one.
func TestResetBeforeRequestIsRead(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	hasHead, isReset := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(isReset)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(conn, make([]byte, 100))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\npart")
		<-hasHead
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	request := []byte("POST / HTTP/1.1\r\nContent-Length: 16777216\r\n\r\n" + strings.Repeat("x", 16<<20))
	response, err := exchange.New().Send(context.Background(), exchange.Target{Address: listener.Addr().String(), ID: "i"}, request,
		time.Now().Add(deadline), matchID, func() bool { return true })
	close(hasHead)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Close()
	<-isReset
	time.Sleep(50 * time.Millisecond)
	body, err := response.ReadAll(1<<20, nil)
	g.Expect(err).To(gomega.HaveOccurred(), "body %q", body)
}

// TestResetWithoutAnswerIsNamed guards against a log that takes a reset for the end of the connection.
func TestResetWithoutAnswerIsNamed(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(conn, make([]byte, 100))
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	request := []byte("POST / HTTP/1.1\r\nContent-Length: 16777216\r\n\r\n" + strings.Repeat("x", 16<<20))
	_, err = exchange.New().Send(context.Background(), exchange.Target{Address: listener.Addr().String(), ID: "i"}, request,
		time.Now().Add(deadline), matchID, func() bool { return true })
	g.Expect(err).To(gomega.MatchError(gomega.Or(gomega.ContainSubstring("reset by peer"), gomega.ContainSubstring("broken pipe"))))
}

// TestReusesConnectionsForLongRequests guards against resetting the connection of a long request that was answered.
func TestReusesConnectionsForLongRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	var connections atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.Header().Set("Id", "1")
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	const size = 200 << 10
	request := fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	client := exchange.New()
	for range 3000 {
		response, err := client.Send(context.Background(), exchange.Target{Address: server.Listener.Addr().String(), ID: "i"}, request,
			time.Now().Add(deadline), matchID, func() bool { return true })
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = response.ReadAll(1<<20, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		response.Close()
	}
	g.Expect(connections.Load()).To(gomega.BeEquivalentTo(1))
}
