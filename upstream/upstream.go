// Package upstream sends HTTP requests to the next hop, which is an agent for an entry
// and a model engine or service for an agent, and returns the responses as streams.
//
// A Client keeps track of its connections by remote address. CloseConnections closes all
// connections to an address at once: a process that is frozen or cut off from the network
// keeps its connections open without responding, so the daemon that learns of it from
// missing heartbeats or failed health checks aborts the requests in progress there, and
// each of them fails with an error.
package upstream

import (
	"bytes"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/syntax"
	"github.com/fuchsiarouter/fuchsiarouter/tcp"
)

const (
	// dialTimeout bounds the time for opening a connection.
	dialTimeout = time.Second
	// refusalProbeTimeout bounds the connection attempt that checks whether a process has
	// ended.
	refusalProbeTimeout = 200 * time.Millisecond
	// maxHealthResponseBytes bounds the body of a response to a health check.
	maxHealthResponseBytes = 64 << 10
	// idleTimeout is the time after which an idle connection is closed. It is shorter than
	// the idle timeout of the servers, so that no request is sent on a connection that the
	// remote side is about to close.
	idleTimeout = 5 * time.Second
	// maxConnsPerHost bounds the open connections to one address. A request beyond it
	// fails with ErrNotSent.
	maxConnsPerHost = 8192
)

// headerPrefix is the prefix of the project's own headers. Of the headers of a response, Do
// returns only these, Content-Type and Retry-After, because the project's processes use no
// others.
var headerPrefix = []byte("Fuchsiarouter-")

// ErrNotSent reports that nothing of the request was sent, because there was no usable
// connection, so the request cannot have run.
var ErrNotSent = errors.New("request not sent")

// ErrWaiting reports that the remote process had told last that the request waits in its
// queue when the connection broke. If the process ended by itself, the request did not run.
var ErrWaiting = errors.New("request was waiting in the queue")

// errStaleConnection reports a write to an idle connection that the remote side has
// closed, or on which it has sent something since the last response. Nothing was written.
var errStaleConnection = errors.New("the idle connection was closed by the remote side or has unread input")

// Client sends requests over pooled connections. It never retries a request that may have
// been sent. It is safe for concurrent use.
type Client struct {
	http   *fasthttp.Client
	dialer *fasthttp.TCPDialer

	mu sync.Mutex
	// connections holds the open connections by remote address, idle or in use.
	connections map[string]map[*trackedConn]struct{}
	// inFlight holds the requests whose responses have not been closed.
	inFlight map[*inFlightRequest]struct{}
}

// inFlightRequest is a request in progress, up to the close of its response. It is tracked
// to find remote addresses that do not respond.
type inFlightRequest struct {
	// address is the remote address, with the port.
	address string
	// lastProgress is the time at which data of the response body was last read or, before
	// that, at which the request was passed to Do, in Unix nanoseconds.
	lastProgress atomic.Int64
}

// New returns a client that connects from the given source address, or from one that the
// operating system selects if source is nil.
func New(source net.IP) *Client {
	client := &Client{
		connections: map[string]map[*trackedConn]struct{}{}, inFlight: map[*inFlightRequest]struct{}{}, dialer: NewDialer(source),
	}
	client.http = &fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			conn, err := client.dial(address)
			if err != nil {
				return nil, err
			}
			return syntax.NewConn(conn), nil
		},
		// By default fasthttp retries requests, which could run them twice.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:        true,
		MaxConnsPerHost:           maxConnsPerHost,
		MaxIdleConnDuration:       idleTimeout,
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
	}
	return client
}

// Do sends the request to the host in its URI and returns the response, whose body is a
// stream. A truncated body ends with an error, never with io.EOF. If the error of Do is
// ErrNotSent, the request cannot have run; after any other error it may have.
func (c *Client) Do(request *fasthttp.Request) (fuchsiarouter.Response, error) {
	response := fasthttp.AcquireResponse()
	tracked := c.track(string(request.Host()))
	err := c.http.Do(request, response)
	for range maxConnsPerHost {
		if !errors.Is(err, errStaleConnection) {
			break
		}
		// Nothing was sent. The next idle connection may be stale as well.
		response.Reset()
		err = c.http.Do(request, response)
	}
	if err != nil {
		c.untrack(tracked)
		address, hasConnection := response.LocalAddr().(localAddress)
		fasthttp.ReleaseResponse(response)
		if isDialError(err) || errors.Is(err, errStaleConnection) {
			return fuchsiarouter.Response{}, errors.Wrapf(ErrNotSent, "%v", err)
		}
		if hasConnection && address.connection.queue.isWaiting {
			return fuchsiarouter.Response{}, errors.Wrapf(ErrWaiting, "%v", err)
		}
		return fuchsiarouter.Response{}, errors.Wrap(err, "upstream")
	}
	header := map[string]string{}
	for key, value := range response.Header.All() {
		if bytes.HasPrefix(key, headerPrefix) || string(key) == fasthttp.HeaderRetryAfter {
			header[string(key)] = string(value)
		}
	}
	return fuchsiarouter.Response{
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Header:      header,
		Body:        c.newResponseBody(response, tracked),
	}, nil
}

// track adds a request to the requests in progress.
func (c *Client) track(address string) *inFlightRequest {
	request := &inFlightRequest{address: address}
	request.lastProgress.Store(time.Now().UnixNano())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[request] = struct{}{}
	return request
}

// untrack removes a request from the requests in progress.
func (c *Client) untrack(request *inFlightRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inFlight, request)
}

// StalledAddresses returns the remote addresses with at least one request in progress that
// has made no progress for the timeout or longer: the request was passed to Do at least
// that long before now, and no data of its response body was read within that time. The
// addresses are in no particular order.
func (c *Client) StalledAddresses(now time.Time, timeout time.Duration) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	stalled := map[string]bool{}
	for request := range c.inFlight {
		if now.UnixNano()-request.lastProgress.Load() >= int64(timeout) {
			stalled[request.address] = true
		}
	}
	return slices.Collect(maps.Keys(stalled))
}

// CheckHealth sends a health check to the address on a new connection and reports whether a
// response arrives within the timeout. The status of the response does not matter: a
// process that responds is neither frozen nor cut off. A response of more than
// maxHealthResponseBytes is none.
func (c *Client) CheckHealth(address string, timeout time.Duration) bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/healthz")
	request.SetConnectionClose()
	client := fasthttp.HostClient{
		Addr: address, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxHealthResponseBytes,
		Dial: func(address string) (net.Conn, error) {
			conn, err := c.dialer.DialTimeout(address, timeout)
			if err != nil {
				return nil, err
			}
			return syntax.NewConn(conn), nil
		},
	}
	return client.DoTimeout(request, response, timeout) == nil
}

// CloseConnections closes all connections to the remote address, so that the requests in
// progress there fail.
func (c *Client) CloseConnections(address string) {
	c.mu.Lock()
	connections := c.connections[address]
	delete(c.connections, address)
	c.mu.Unlock()
	for connection := range connections {
		tcp.Abort(connection.Conn)
	}
}

// CloseIdleConnections closes the connections that carry no request now.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// dial opens a connection to the remote address and tracks it.
func (c *Client) dial(address string) (net.Conn, error) {
	raw, err := c.dialer.DialTimeout(address, dialTimeout)
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: raw, client: c, address: address}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connections[address] == nil {
		c.connections[address] = map[*trackedConn]struct{}{}
	}
	c.connections[address][tracked] = struct{}{}
	return tracked, nil
}

// trackedConn is a connection that its client can find by the remote address and close
// while a request is in progress on it.
type trackedConn struct {
	net.Conn
	client *Client
	// address is the remote address, with the port.
	address string
	// responseRead is set when the connection was read since the last write, so that the
	// next write begins a further request.
	responseRead bool
	// queue filters the informational responses to the current request.
	queue queueReader
}

// localAddress is the local address of a connection. fasthttp stores it in the response even
// if the request fails, which identifies the connection then.
type localAddress struct {
	net.Addr
	connection *trackedConn
}

// LocalAddr implements net.Conn.
func (c *trackedConn) LocalAddr() net.Addr { return localAddress{c.Conn.LocalAddr(), c} }

// Read implements net.Conn. It does not return the informational responses about the queue.
func (c *trackedConn) Read(buffer []byte) (int, error) {
	c.responseRead = true
	return c.queue.read(c.Conn, buffer)
}

// Write implements net.Conn. Before it writes a further request, it checks whether the
// remote side has closed the connection or sent something that belongs to no request; in
// that case nothing is written and the error is errStaleConnection, which proves that the
// request did not run. Without this check, a request to a restarted process fails while its
// response is read, and so counts as one that may have run, and unread input is returned as
// the response.
func (c *trackedConn) Write(buffer []byte) (int, error) {
	if c.responseRead && tcp.HasPendingInput(c.Conn) {
		return 0, errStaleConnection
	}
	if c.responseRead {
		c.queue = queueReader{}
	}
	c.responseRead = false
	return c.Conn.Write(buffer)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.client.mu.Lock()
	delete(c.client.connections[c.address], c)
	if len(c.client.connections[c.address]) == 0 {
		delete(c.client.connections, c.address)
	}
	c.client.mu.Unlock()
	return c.Conn.Close()
}

// isDialError reports whether the error means that no connection was made. Any other error
// can occur after the remote side has read the request.
func isDialError(err error) bool {
	if errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return true
	}
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// responseBody reads the body of a response and releases the response on Close.
type responseBody struct {
	client  *Client
	request *inFlightRequest
	// response is nil once the body is closed.
	response *fasthttp.Response
	reader   io.Reader
}

func (c *Client) newResponseBody(response *fasthttp.Response, request *inFlightRequest) *responseBody {
	body := &responseBody{client: c, request: request, response: response, reader: response.BodyStream()}
	if body.reader == nil {
		body.reader = bytes.NewReader(response.Body())
	}
	return body
}

// Read implements io.Reader. Each read of data counts as progress of the request.
func (b *responseBody) Read(buffer []byte) (int, error) {
	if b.response == nil {
		return 0, io.ErrClosedPipe
	}
	n, err := b.reader.Read(buffer)
	if n > 0 {
		b.request.lastProgress.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close implements io.Closer. Closing the body before its end closes the connection,
// which tells the remote side that the request is cancelled.
func (b *responseBody) Close() error {
	if b.response == nil {
		return nil
	}
	b.client.untrack(b.request)
	err := b.response.CloseBodyStream()
	fasthttp.ReleaseResponse(b.response)
	b.response = nil
	return err
}

// IsNotSent reports whether the error is ErrNotSent, which proves that the request did not
// run.
func IsNotSent(err error) bool { return errors.Is(err, ErrNotSent) }

// RefusesConnections opens a connection to the address and reports whether it is refused,
// which means that the host is up but nothing listens on the port, so the process there
// has ended.
func RefusesConnections(address string) bool {
	connection, err := fasthttp.DialTimeout(address, refusalProbeTimeout)
	if err == nil {
		_ = connection.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// NewDialer returns a dialer that connects from the given source address, or from one
// that the operating system selects if source is nil.
func NewDialer(source net.IP) *fasthttp.TCPDialer {
	dialer := &fasthttp.TCPDialer{}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	return dialer
}
