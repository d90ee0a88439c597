// Package exchange sends requests from an ingress daemon to backend servers over pooled
// connections and streams their responses.
//
// A connection belongs to one incarnation of a server. It carries one request at a time
// and is reused only if the response ended exactly where expected: no bytes may remain on
// the connection that could be taken for the response to the next request. Each request is
// sent once. An error says whether anything may have been sent; ErrNotSent proves that the
// request did not run.
package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/syntax"
	"github.com/fuchsiarouter/fuchsiarouter/tcp"
)

const (
	// dialTimeout bounds the time for opening a connection. Availability zones are a few
	// ms apart, but a lost packet is retransmitted after a second.
	dialTimeout = 1200 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection may be reused if the server states
	// no timeout in a Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// receiveBytes is the size of the receive buffer of a connection. A response that waits for memory
	// stays there and at its server. With it, 10 MB/s arrive at 6 ms between a request and its response.
	receiveBytes = 64 << 10
	// idleTimeoutMargin is subtracted from the timeout in a Keep-Alive header, to allow
	// for clock differences and network delay.
	idleTimeoutMargin = 700 * time.Millisecond
	// readBufferBytes is the size of the read buffer of a connection, which must hold the
	// whole head of a response.
	readBufferBytes = 8 << 10
	// refusalTime is the time after which a server that turns a request away without delay has been
	// heard. A request that is cancelled before is reset only then, so that its answer, which may
	// ask for a pause, is not lost on the way.
	refusalTime = 50 * time.Millisecond
)

// ErrNotSent reports that no connection was made, or that the request was cancelled before it was
// written, so the request cannot have run.
var ErrNotSent = errors.New("request not sent")

// ErrWithheld reports that the request was not sent since its server takes none any more. It is an
// ErrNotSent.
var ErrWithheld = errors.Wrap(ErrNotSent, "the server takes no requests now")

// ErrNoResources reports that the request was not sent since this process or its machine has no
// descriptor or memory for a connection. It is an ErrNotSent.
var ErrNoResources = errors.Wrap(ErrNotSent, "no resources for a connection")

// ErrUnidentified reports a response that does not say which of the requests on its connection
// it belongs to.
var ErrUnidentified = errors.New("response without the ID of a request on a connection that has carried others")

// Match is how a response relates to the request that was sent last on its connection.
type Match int

const (
	// Other means that the response belongs to another request.
	Other Match = iota
	// Belongs means that the response belongs to the request.
	Belongs
	// Unidentified means that the response names no request. It belongs to the first request
	// on its connection if nothing came before it.
	Unidentified
)

// Target identifies an incarnation of a backend server.
type Target struct {
	Address string
	// ID is the ID of the server.
	ID string
	// Incarnation is the Unix time in ms at which the server started, as in its
	// registration. It distinguishes incarnations that share an ID.
	Incarnation int64
}

// Client sends requests and holds the pool of connections. It is safe for concurrent use.
type Client struct {
	mu sync.Mutex
	// idle holds the connections that carry no request, the one used last at the end.
	idle map[Target][]*pooledConn
	// openCount is the number of connections that are open, idle or in use, or being opened.
	openCount int
	// largeBody holds the buffer for bodies of more than smallBodyBytes while none is read.
	// It is used again, since a server may send such bodies faster than they are collected.
	largeBody chan []byte
}

// pooledConn is a connection to a backend server.
type pooledConn struct {
	net.Conn
	target Target
	reader *bufio.Reader
	// hasResponded is set once the head of a response was read, except an informational one.
	hasResponded bool
	// reusableUntil is the time until which the connection may be reused while it is idle.
	reusableUntil time.Time
}

// New returns a client without open connections.
func New() *Client {
	client := &Client{idle: map[Target][]*pooledConn{}, largeBody: make(chan []byte, 1)}
	client.largeBody <- nil
	return client
}

// Send sends a request, given as the bytes of its head and body, and returns the response
// as soon as the head of the response was read, which may be before the request was written. The
// whole response must be read by the deadline. When the context ends before the response is
// closed, the connection is reset, refusalTime after sending at the earliest. This tells the
// server that the request is cancelled. The bytes of the request must not be changed.
//
// The function match reports how a response with the given head relates to the request; up to
// maxStrayResponses responses to other requests are skipped, and more of them are an error. The
// error is ErrUnidentified if a server repeated an earlier response without an ID, or may have done
// so. Opening a connection takes time, after which the function takes reports whether the request
// may still be sent; the error is ErrWithheld if not.
func (c *Client) Send(ctx context.Context, target Target, request []byte, deadline time.Time, match func(*fasthttp.ResponseHeader) Match,
	takes func() bool,
) (*Response, error) {
	conn, err := c.acquire(target)
	if tcp.LacksResources(err) {
		return nil, errors.Wrapf(ErrNoResources, "%v", err)
	}
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "%v", err)
	}
	if !takes() {
		c.closeRemoved(conn)
		return nil, ErrWithheld
	}
	if ctx.Err() != nil {
		c.closeRemoved(conn)
		return nil, errors.Wrapf(ErrNotSent, "%v", context.Cause(ctx))
	}
	sentAt := time.Now()
	stopAbort := context.AfterFunc(ctx, func() {
		time.AfterFunc(refusalTime-time.Since(sentAt), func() { tcp.Abort(conn.Conn) })
	})
	_ = conn.SetDeadline(deadline)
	response := &Response{client: c, deadline: deadline, conn: conn, stopAbort: stopAbort, writing: startWrite(conn, request)}
	if err = response.readHead(match); err != nil {
		if writeErr := response.writing.end(); writeErr != nil {
			err = errors.Wrap(err, writeErr.Error())
		}
		response.closeConnection(false)
		return nil, errors.Wrap(err, "send request")
	}
	return response, nil
}

// acquire takes a connection to the target out of the pool, or opens a new one. Idle
// connections that have expired, have unread input or were closed by the server are closed
// instead.
func (c *Client) acquire(target Target) (*pooledConn, error) {
	for {
		c.mu.Lock()
		idle := c.idle[target]
		if len(idle) == 0 {
			c.openCount++
			c.mu.Unlock()
			break
		}
		conn := idle[len(idle)-1]
		c.idle[target] = idle[:len(idle)-1]
		c.mu.Unlock()
		if time.Now().Before(conn.reusableUntil) && !tcp.HasPendingInput(conn.Conn) {
			return conn, nil
		}
		c.closeRemoved(conn)
	}
	raw, err := tcp.Dial(target.Address, dialTimeout)
	if err != nil {
		c.mu.Lock()
		c.openCount--
		c.mu.Unlock()
		return nil, err
	}
	if socket, ok := raw.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = socket.SetReadBuffer(receiveBytes)
	}
	return &pooledConn{Conn: raw, target: target, reader: bufio.NewReaderSize(syntax.NewReader(raw), readBufferBytes)}, nil
}

// putIdle puts a connection that carries no request back into the pool.
func (c *Client) putIdle(conn *pooledConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[conn.target] = append(c.idle[conn.target], conn)
}

// closeRemoved closes a connection that was taken out of the pool.
func (c *Client) closeRemoved(conn *pooledConn) {
	_ = conn.Close()
	c.mu.Lock()
	c.openCount--
	c.mu.Unlock()
}

// CloseExpired closes the idle connections that may no longer be reused at the given time,
// and those to targets for which the function retain returns false.
func (c *Client) CloseExpired(now time.Time, retain func(Target) bool) {
	c.mu.Lock()
	var expired []*pooledConn
	for target, idle := range c.idle {
		remaining := idle[:0]
		retained := retain(target)
		for _, conn := range idle {
			if retained && now.Before(conn.reusableUntil) {
				remaining = append(remaining, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		if len(remaining) == 0 {
			delete(c.idle, target)
			continue
		}
		c.idle[target] = remaining
	}
	c.openCount -= len(expired)
	c.mu.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
}

// OpenConnections returns the number of connections that are open, idle or in use, or being
// opened.
func (c *Client) OpenConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openCount
}
