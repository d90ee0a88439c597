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

// TestReusesConnectionsForLongRequests guards against resetting the connection of a server that has
// read a long request and answered it.
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
