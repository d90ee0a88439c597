package exchange

import (
	"bytes"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/tcp"
)

const (
	// maxStrayResponses bounds the responses that are skipped before the expected one:
	// responses to other requests, and informational ones (status 1xx). An idle connection
	// with unread input is not reused, so a response to another request is an extra one
	// that the server sends on a new connection or after that check.
	maxStrayResponses = 2
	// maxStrayBodyBytes bounds the body of a skipped response. A longer one is an error.
	maxStrayBodyBytes = 1 << 20
	// smallBodyBytes is the size up to which any number of response bodies are read at the
	// same time.
	smallBodyBytes = 64 << 10
)

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
	// writing is the writing of the request.
	writing *requestWrite
}

// readHead reads response heads until one belongs to the request, and skips the responses
// before it.
func (r *Response) readHead(match func(*fasthttp.ResponseHeader) Match) error {
	for range maxStrayResponses + 1 {
		r.raw = fasthttp.AcquireResponse()
		r.Header = &r.raw.Header
		r.Header.SetNoDefaultContentType(true)
		// fasthttp reports how a connection ends before a response as io.EOF or as its own timeout.
		if _, err := r.conn.reader.Peek(1); err != nil {
			return errors.Wrap(err, "read status line")
		}
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
	if errors.Is(err, io.EOF) && r.writing.end() != nil {
		// The error of a reset is reported once, and may have gone to the write.
		err = io.ErrUnexpectedEOF
	}
	r.complete = errors.Is(err, io.EOF)
	return n, err
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
	isDone := r.complete && r.writing.end() == nil
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
