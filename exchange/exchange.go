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
	"bytes"
	"context"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/tcp"
)

const (
	// dialTimeout bounds the time for opening a connection. Availability zones are a few
	// ms apart, but a lost packet is retransmitted after a second.
	dialTimeout = 1200 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection may be reused if the server states
	// no timeout in a Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the timeout in a Keep-Alive header, to allow
	// for clock differences and network delay.
	idleTimeoutMargin = 700 * time.Millisecond
	// readBufferBytes is the size of the read buffer of a connection, which must hold the
	// whole head of a response.
	readBufferBytes = 8 << 10
	// maxStrayResponses bounds the responses that are skipped before the expected one:
	// responses to other requests, and informational ones (status 1xx). An idle connection
	// with unread input is not reused, so a response to another request is an extra one
	// that the server sends on a new connection or after that check.
	maxStrayResponses = 2
	// maxStrayBodyBytes bounds the body of a skipped response. A longer one is an error.
	maxStrayBodyBytes = 1 << 20
	// maxDirectWriteBytes is the size up to which a request fits into the buffer of its socket.
	maxDirectWriteBytes = 16 << 10
	// refusalTime is the time after which a server that turns a request away without delay has been
	// heard. A request that is cancelled before is reset only then, so that its answer, which may
	// ask for a pause, is not lost on the way.
	refusalTime = 50 * time.Millisecond
	// writeEndTimeout bounds the wait for the end of writing after the end of the response. The
	// goroutine that writes may run after the one that has read the response.
	writeEndTimeout = 20 * time.Millisecond
	// smallBodyBytes is the size up to which any number of response bodies are read at the
	// same time.
	smallBodyBytes = 64 << 10
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

// Response is the response of a server, whose body is read with Read or ReadAll. It must
// be closed.
type Response struct {
	Header *fasthttp.ResponseHeader

	client *Client
	// deadline is the time by which the whole response must be read.
	deadline time.Time
	// conn is nil once the response is closed.
	conn *pooledConn
	// raw holds Header. It also decodes a chunked body, which is then read from body.
	raw  *fasthttp.Response
	body io.Reader
	// length is the content length in bytes, -1 for a chunked body and -2 for a body that
	// ends with the connection, as in fasthttp.
	length int
	// remaining is the number of body bytes not read yet if the length is known.
	remaining int
	// complete is set once the end of the body was read.
	complete bool
	// stopAbort prevents the reset of the connection when the context of the request
	// ends. It returns false if the reset was already triggered.
	stopAbort func() bool
	// writing is the state of writing the request.
	writing *requestWrite
}

// requestWrite is the state of writing a request.
type requestWrite struct {
	// ended is closed when writing has ended. err is set before.
	ended chan struct{}
	err   error
}

// describe says why the request is not written to its end.
func (w *requestWrite) describe() string {
	select {
	case <-w.ended:
		return w.err.Error()
	default:
		return "the request is not written yet"
	}
}

// Send sends a request, given as the bytes of its head and body, and returns the response
// as soon as the head of the response was read, which may be before the request was written. The
// whole response must be read by the deadline. When the context ends before the response is
// closed, the connection is reset, refusalTime after sending at the earliest. This tells the
// server that the request is cancelled. The bytes of the request must not be changed. The function
// match reports how a
// response with the given head relates to the request; up to maxStrayResponses responses to
// other requests are skipped, and more of them are an error. The error is ErrUnidentified if a
// server repeated an earlier response without an ID, or may have done so. Opening a connection
// takes time, after which the function takes reports whether the request may still be sent; the
// error is ErrWithheld if not.
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
	response := &Response{client: c, deadline: deadline, conn: conn, stopAbort: stopAbort, writing: &requestWrite{ended: make(chan struct{})}}
	_ = conn.SetDeadline(deadline)
	response.write(request)
	if err = response.readHead(match); err != nil {
		if !response.isWritten() {
			err = errors.Wrap(err, response.writing.describe())
		}
		response.closeConnection(false)
		return nil, errors.Wrap(err, "send request")
	}
	return response, nil
}

// write writes the request, a long one in the background: its server may answer before it has read
// the request, and then read on later or close the connection. An error of writing is left to the
// reader, which first gets what the server has sent.
func (r *Response) write(request []byte) {
	conn, writing := r.conn, r.writing
	write := func() {
		_, writing.err = conn.Write(request)
		close(writing.ended)
	}
	if len(request) > maxDirectWriteBytes {
		go write()
		return
	}
	write()
}

// readHead reads response heads until one belongs to the request, and skips the responses
// before it.
func (r *Response) readHead(match func(*fasthttp.ResponseHeader) Match) error {
	for range maxStrayResponses + 1 {
		r.raw = fasthttp.AcquireResponse()
		r.Header = &r.raw.Header
		r.Header.SetNoDefaultContentType(true)
		if err := r.Header.Read(r.conn.reader); err != nil {
			return err
		}
		status := r.Header.StatusCode()
		if status >= 100 && status < 200 {
			continue
		}
		r.length = r.Header.ContentLength()
		if status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
			r.length = 0
		}
		r.remaining = r.length
		if r.length == -1 {
			r.raw.StreamBody = true
			if err := r.raw.ReadBody(r.conn.reader, 0); err != nil {
				return err
			}
			r.body = r.raw.BodyStream()
		}
		isFirst := !r.conn.hasResponded
		r.conn.hasResponded = true
		switch match(r.Header) {
		case Belongs:
			return nil
		case Unidentified:
			if !isFirst {
				return ErrUnidentified
			}
			return nil
		}
		if err := r.discardBody(); err != nil {
			return err
		}
	}
	return errors.New("all responses on the connection belong to other requests")
}

// discardBody reads and discards the body of a response that belongs to another request.
func (r *Response) discardBody() error {
	if r.length == -2 || r.length > maxStrayBodyBytes {
		return errors.New("response to another request is too long to skip or has no known end")
	}
	_, err := io.Copy(io.Discard, io.LimitReader(r, maxStrayBodyBytes))
	r.complete = false
	return err
}

// Length returns the length of the body in bytes, negative if it is not known in advance.
func (r *Response) Length() int { return r.length }

// The ways in which a server marks the end of a body: by its length, by a last chunk, or by
// closing the connection.
const (
	FramingLength  = "length"
	FramingChunked = "chunked"
	FramingClose   = "close"
)

// Framing returns how the server marks the end of the body.
func (r *Response) Framing() string {
	switch {
	case r.length >= 0:
		return FramingLength
	case r.length == -1:
		return FramingChunked
	}
	return FramingClose
}

// Read implements io.Reader. A truncated body ends with an error other than io.EOF, except
// if the body has no length and is not chunked: its end is that of the connection.
func (r *Response) Read(buffer []byte) (int, error) {
	if r.complete {
		return 0, io.EOF
	}
	if r.length == -1 {
		n, err := r.body.Read(buffer)
		r.complete = errors.Is(err, io.EOF)
		return n, err
	}
	if r.length >= 0 {
		if r.remaining == 0 {
			r.complete = true
			return 0, io.EOF
		}
		n, err := r.conn.reader.Read(buffer[:min(len(buffer), r.remaining)])
		r.remaining -= n
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return n, err
	}
	n, err := r.conn.reader.Read(buffer)
	if errors.Is(err, io.EOF) && !r.isWritten() {
		// The error of a reset is reported once, and may have gone to the write.
		err = io.ErrUnexpectedEOF
	}
	r.complete = errors.Is(err, io.EOF)
	return n, err
}

// isWritten reports whether the whole request was written, and waits up to writeEndTimeout for it.
func (r *Response) isWritten() bool {
	select {
	case <-r.writing.ended:
		return r.writing.err == nil
	default:
	}
	select {
	case <-r.writing.ended:
		return r.writing.err == nil
	case <-time.After(writeEndTimeout):
		return false
	}
}

// Close returns the connection to the pool if the response was read to its end, the request was
// written and the connection can carry another one, and closes the connection if it cannot. If the
// response was not read to its end, Close resets the connection, which tells the server
// that the request is cancelled.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	if r.length >= 0 && r.remaining == 0 {
		r.complete = true
	}
	notAborted := r.stopAbort()
	isDone := r.complete && r.isWritten()
	reusable := notAborted && isDone && r.length != -2 && !r.Header.ConnectionClose() && r.conn.reader.Buffered() == 0
	if !reusable {
		r.closeConnection(isDone)
		return
	}
	idleTimeout := defaultIdleTimeout
	if seconds, ok := keepAliveSeconds(r.Header.Peek("Keep-Alive")); ok {
		idleTimeout = time.Duration(seconds)*time.Second - idleTimeoutMargin
	}
	conn := r.conn
	conn.reusableUntil = time.Now().Add(idleTimeout)
	r.detachConnection()
	_ = conn.SetDeadline(time.Time{})
	r.client.putIdle(conn)
}

// Discard reads the rest of a body of up to limit bytes, for at most timeout, so that the connection
// can be used again, and closes the response.
func (r *Response) Discard(limit int, timeout time.Duration) {
	if end := time.Now().Add(timeout); end.Before(r.deadline) {
		_ = r.conn.SetReadDeadline(end)
	}
	_, _ = r.ReadAll(limit, nil)
	r.Close()
}

// closeConnection closes the connection, with a reset unless the request was written and the response
// read to their ends.
func (r *Response) closeConnection(isDone bool) {
	r.stopAbort()
	if isDone {
		_ = r.conn.Close()
	} else {
		tcp.Abort(r.conn.Conn)
	}
	r.client.mu.Lock()
	r.client.openCount--
	r.client.mu.Unlock()
	r.detachConnection()
}

// detachConnection marks the response as closed and releases the decoder of a chunked body.
// It neither closes the connection nor returns it to the pool.
func (r *Response) detachConnection() {
	r.conn = nil
	if r.body != nil {
		_ = r.raw.CloseBodyStream()
	}
}

// keepAliveSeconds parses the timeout, in seconds, in a Keep-Alive header. It returns false
// if there is none or it is not a whole number.
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
	return &pooledConn{Conn: raw, target: target, reader: bufio.NewReaderSize(raw, readBufferBytes)}, nil
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

// ReadAll reads the body to its end. It returns an error if the body is longer than limit
// bytes. Bodies of more than smallBodyBytes are read one after the other, because all of
// them together may not fit into memory; the deadline of the request bounds the wait. After
// each read, onRead is called with the number of bytes read so far, unless it is nil.
func (r *Response) ReadAll(limit int, onRead func(total int)) ([]byte, error) {
	if r.length > limit {
		return nil, errors.Errorf("response of %d bytes exceeds the limit of %d bytes", r.length, limit)
	}
	body := make([]byte, 0, min(max(r.length, 0), smallBodyBytes)+bytes.MinRead)
	body, ended, err := r.readInto(body, smallBodyBytes, onRead)
	if err != nil || ended {
		return body, err
	}
	timer := time.NewTimer(time.Until(r.deadline))
	defer timer.Stop()
	var buffer []byte
	select {
	case buffer = <-r.client.largeBody:
	case <-timer.C:
		return nil, errors.New("other large responses were read until the deadline")
	}
	buffer, ended, err = r.readInto(append(buffer[:0], body...), limit+1, onRead)
	if err == nil && !ended {
		err = errors.Errorf("response exceeds the limit of %d bytes", limit)
	}
	if err == nil {
		body = slices.Clone(buffer)
	}
	r.client.largeBody <- buffer
	return body, err
}

// readInto appends the body to buffer, up to a size of size bytes, and reports whether the
// body has ended before. onRead is that of ReadAll.
func (r *Response) readInto(buffer []byte, size int, onRead func(int)) (body []byte, ended bool, err error) {
	for len(buffer) < size {
		if len(buffer) == cap(buffer) {
			grown := make([]byte, len(buffer), min(2*cap(buffer), size))
			copy(grown, buffer)
			buffer = grown
		}
		n, err := r.Read(buffer[len(buffer):min(cap(buffer), size)])
		buffer = buffer[:len(buffer)+n]
		if n > 0 && onRead != nil {
			onRead(len(buffer))
		}
		if errors.Is(err, io.EOF) {
			return buffer, true, nil
		}
		if err != nil {
			return buffer, false, err
		}
	}
	return buffer, false, nil
}
