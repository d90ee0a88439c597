// Package exchange sends requests to backend servers over kept connections and
// returns their answers as they arrive.
//
// A connection belongs to one incarnation of a server. It carries one request at a
// time and is kept only when the answer to it has ended exactly: nothing may be
// left on it that could be taken for the answer to the next request. A request is
// sent once. An error says whether anything was sent; ErrNotSent proves that the
// request did not run.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/tcp"
)

const (
	// dialTimeout bounds a new connection. Zones are a few ms apart; a lost packet is
	// sent again after a second.
	dialTimeout = 1200 * time.Millisecond
	// idleDefault is how long a connection is kept when the server names no timeout.
	idleDefault = 4 * time.Second
	// idleMargin is taken off the timeout that a server names, for clocks and delay.
	idleMargin = 700 * time.Millisecond
	// readBuffer holds the head of an answer.
	readBuffer = 8 << 10
	// strayAnswers bounds the answers to other requests that are skipped before the
	// one that is due.
	strayAnswers = 2
	// strayLimit bounds the body of a skipped answer, in bytes.
	strayLimit = 1 << 20
)

// ErrNotSent reports that no connection was made.
var ErrNotSent = errors.New("exchange: not sent")

// Target is an incarnation of a server.
type Target struct {
	Address string
	ID      string
	Born    int64
}

// Client keeps the connections.
type Client struct {
	mu   sync.Mutex
	idle map[Target][]*connection
	open int
}

// connection is a connection to a server.
type connection struct {
	net.Conn
	target Target
	reader *bufio.Reader
	used   bool
	// until is the time up to which it may be used again.
	until time.Time
}

// New returns a client without connections.
func New() *Client { return &Client{idle: map[Target][]*connection{}} }

// Answer is the answer of a server. It must be closed.
type Answer struct {
	Header *fasthttp.ResponseHeader
	// Reused tells that the connection had carried a request before.
	Reused bool

	client   *Client
	conn     *connection
	response *fasthttp.Response
	body     io.Reader
	length   int
	left     int
	ended    bool
	stop     func() bool
}

// Send sends a request and returns the head of its answer. When the context ends,
// the connection is reset, by which the server sees that the work is cancelled.
// Mine tells whether an answer belongs to the request.
func (c *Client) Send(ctx context.Context, target Target, request []byte, deadline time.Time, mine func(*fasthttp.ResponseHeader) bool) (*Answer, error) {
	conn, err := c.take(target)
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "%v", err)
	}
	stop := context.AfterFunc(ctx, func() { tcp.Abort(conn.Conn) })
	answer := &Answer{client: c, conn: conn, stop: stop, Reused: conn.used}
	conn.used = true
	_ = conn.SetDeadline(deadline)
	if _, err = conn.Write(request); err == nil {
		err = answer.readHead(mine)
	}
	if err != nil {
		answer.discard()
		return nil, errors.Wrap(err, "exchange")
	}
	return answer, nil
}

// readHead reads heads until one belongs to the request.
func (a *Answer) readHead(mine func(*fasthttp.ResponseHeader) bool) error {
	for range strayAnswers + 1 {
		a.response = fasthttp.AcquireResponse()
		a.Header = &a.response.Header
		a.Header.SetNoDefaultContentType(true)
		if err := a.Header.Read(a.conn.reader); err != nil {
			return err
		}
		status := a.Header.StatusCode()
		if status >= 100 && status < 200 {
			continue
		}
		a.length = a.Header.ContentLength()
		if status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
			a.length = 0
		}
		a.left = a.length
		if a.length == -1 {
			a.response.StreamBody = true
			if err := a.response.ReadBody(a.conn.reader, 0); err != nil {
				return err
			}
			a.body = a.response.BodyStream()
		}
		if mine(a.Header) {
			return nil
		}
		if err := a.skip(); err != nil {
			return err
		}
	}
	return errors.New("the answers on the connection belong to other requests")
}

// skip reads over an answer to another request.
func (a *Answer) skip() error {
	if a.length == -2 || a.length > strayLimit {
		return errors.New("an answer to another request has no end")
	}
	_, err := io.Copy(io.Discard, io.LimitReader(a, strayLimit))
	a.ended = false
	return err
}

// Length is the length of the body, negative when it is not known in advance.
func (a *Answer) Length() int { return a.length }

// Read implements io.Reader. A body that is cut ends with an error that is not
// io.EOF.
func (a *Answer) Read(buffer []byte) (int, error) {
	if a.ended {
		return 0, io.EOF
	}
	if a.length == -1 {
		n, err := a.body.Read(buffer)
		a.ended = errors.Is(err, io.EOF)
		return n, err
	}
	if a.length >= 0 {
		if a.left == 0 {
			a.ended = true
			return 0, io.EOF
		}
		n, err := a.conn.reader.Read(buffer[:min(len(buffer), a.left)])
		a.left -= n
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return n, err
	}
	n, err := a.conn.reader.Read(buffer)
	a.ended = errors.Is(err, io.EOF)
	return n, err
}

// Close ends the exchange. Before the end of the answer this resets the
// connection, by which the server sees that the work is cancelled.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	if a.length >= 0 && a.left == 0 {
		a.ended = true
	}
	running := a.stop()
	keep := running && a.ended && a.length != -2 && !a.Header.ConnectionClose() && a.conn.reader.Buffered() == 0
	if !keep {
		a.discard()
		return
	}
	idle := idleDefault
	if seconds, ok := keepAliveSeconds(a.Header.Peek("Keep-Alive")); ok {
		idle = time.Duration(seconds)*time.Second - idleMargin
	}
	conn := a.conn
	conn.until = time.Now().Add(idle)
	a.release()
	_ = conn.SetDeadline(time.Time{})
	a.client.put(conn)
}

func (a *Answer) discard() {
	a.stop()
	if a.ended {
		_ = a.conn.Close()
	} else {
		tcp.Abort(a.conn.Conn)
	}
	a.client.mu.Lock()
	a.client.open--
	a.client.mu.Unlock()
	a.release()
}

func (a *Answer) release() {
	a.conn = nil
	if a.body != nil {
		_ = a.response.CloseBodyStream()
	}
}

// keepAliveSeconds reads the timeout of a Keep-Alive header.
func keepAliveSeconds(header []byte) (int, bool) {
	for part := range strings.SplitSeq(string(header), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if found && strings.EqualFold(name, "timeout") {
			seconds, err := strconv.Atoi(strings.TrimSpace(value))
			return seconds, err == nil
		}
	}
	return 0, false
}

// take returns a kept connection on which nothing waits, or a new one.
func (c *Client) take(target Target) (*connection, error) {
	for {
		c.mu.Lock()
		kept := c.idle[target]
		if len(kept) == 0 {
			c.open++
			c.mu.Unlock()
			break
		}
		conn := kept[len(kept)-1]
		c.idle[target] = kept[:len(kept)-1]
		c.mu.Unlock()
		if time.Now().Before(conn.until) && !tcp.Pending(conn.Conn) {
			return conn, nil
		}
		c.drop(conn)
	}
	raw, err := tcp.Dial(target.Address, dialTimeout)
	if err != nil {
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
		return nil, err
	}
	return &connection{Conn: raw, target: target, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func (c *Client) put(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[conn.target] = append(c.idle[conn.target], conn)
}

func (c *Client) drop(conn *connection) {
	_ = conn.Close()
	c.mu.Lock()
	c.open--
	c.mu.Unlock()
}

// Sweep closes the kept connections that are too old, and those to targets that
// are not kept.
func (c *Client) Sweep(now time.Time, keep func(Target) bool) {
	c.mu.Lock()
	var old []*connection
	for target, kept := range c.idle {
		fresh := kept[:0]
		known := keep(target)
		for _, conn := range kept {
			if known && now.Before(conn.until) {
				fresh = append(fresh, conn)
			} else {
				old = append(old, conn)
			}
		}
		if len(fresh) == 0 {
			delete(c.idle, target)
			continue
		}
		c.idle[target] = fresh
	}
	c.open -= len(old)
	c.mu.Unlock()
	for _, conn := range old {
		_ = conn.Close()
	}
}

// Open returns the number of open connections.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// ReadAll reads an answer of at most limit bytes to its end.
func (a *Answer) ReadAll(limit int) ([]byte, error) {
	if a.length >= 0 {
		if a.length > limit {
			return nil, errors.Errorf("answer of %d bytes", a.length)
		}
		body := make([]byte, a.length)
		_, err := io.ReadFull(a, body)
		return body, err
	}
	var body bytes.Buffer
	n, err := body.ReadFrom(io.LimitReader(a, int64(limit)+1))
	if err == nil && n > int64(limit) {
		err = errors.Errorf("answer above %d bytes", limit)
	}
	return body.Bytes(), err
}
