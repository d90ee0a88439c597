package peer

import (
	"context"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// deadlineConn sets a deadline before every read and write, and counts the traffic.
// A read fails after idleTimeout, and a write after writeTimeout.
type deadlineConn struct {
	net.Conn
	idleTimeout  time.Duration
	writeTimeout time.Duration
	traffic      *Traffic
}

// Read implements net.Conn.
func (c deadlineConn) Read(data []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(data)
	c.traffic.received.Add(int64(n))
	c.traffic.reads.Add(1)
	return n, err
}

// Write implements net.Conn.
func (c deadlineConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	c.traffic.sent.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

// discardLogger discards jsonrpc2's messages about broken connections, because
// both sides report them as errors of the call.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

// newConn returns a JSON-RPC connection over conn with the codec and the timeouts of
// this package. The handler answers the requests of the other side.
func newConn(ctx context.Context, conn net.Conn, codec codec, handler jsonrpc2.Handler, traffic *Traffic) *jsonrpc2.Conn {
	wrapped := deadlineConn{Conn: conn, idleTimeout: idleTimeout, writeTimeout: writeTimeout, traffic: traffic}
	stream := jsonrpc2.NewBufferedStream(wrapped, codec)
	return jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(discardLogger{}))
}
