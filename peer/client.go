package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/fuchsiarouter/fuchsiarouter/revision"
)

const (
	// dialTimeout is shorter than the silence after which a member becomes suspect
	// (fleet.SuspectAfter), so that heartbeats can reach another entry before that.
	dialTimeout = time.Second
	// callTimeout limits a call whose context has no earlier deadline.
	callTimeout = 5 * time.Second
)

// ErrClosed is returned for a call on a closed client.
var ErrClosed = errors.New("the client is closed")

// Client calls the methods of entries and keeps one connection per address.
type Client struct {
	credentials *TLSCredentials
	source      net.IP
	traffic     Traffic

	// mutex guards the fields below it. connections holds the connection to each address.
	mutex       sync.Mutex
	connections map[string]*sharedConnection
	closed      bool
}

// sharedConnection is the connection to one address. Its mutex is held while
// dialing, so that concurrent calls share one connection. conn is nil before the
// first successful dial, and may be closed.
type sharedConnection struct {
	mutex sync.Mutex
	conn  *jsonrpc2.Conn
}

// NewClient returns a client without TLS that has no connections yet.
func NewClient() *Client { return &Client{connections: map[string]*sharedConnection{}} }

// NewClientTLS returns a client that uses mutual TLS, or no TLS if credentials is
// nil. It connects from the source address, or from one that the system chooses if
// source is nil.
func NewClientTLS(credentials *TLSCredentials, source net.IP) *Client {
	return &Client{credentials: credentials, source: source, connections: map[string]*sharedConnection{}}
}

// Heartbeat sends a heartbeat to the entry at the address and returns its answer.
func (c *Client) Heartbeat(ctx context.Context, address string, request HeartbeatRequest) (HeartbeatResponse, error) {
	var response HeartbeatResponse
	err := c.call(ctx, address, methodHeartbeat, request, &response)
	return response, err
}

// Changes exchanges membership changes with the entry at the address, the parent of
// the calling entry in the tree of entries.
func (c *Client) Changes(ctx context.Context, address string, request ChangesRequest) (ChangesResponse, error) {
	var response ChangesResponse
	err := c.call(ctx, address, methodChanges, request, &response)
	return response, err
}

// Document fetches, from the entry at the address, the accepted configuration
// records of the sections whose revisions differ from the known ones.
func (c *Client) Document(ctx context.Context, address string, known map[string]int64) (revision.Snapshot, error) {
	var response revision.Snapshot
	err := c.call(ctx, address, methodDocument, DocumentRequest{Known: known}, &response)
	return response, err
}

// Status fetches the status of the entry at the address.
func (c *Client) Status(ctx context.Context, address string) (StatusResponse, error) {
	var response StatusResponse
	err := c.call(ctx, address, methodStatus, StatusRequest{}, &response)
	return response, err
}

// Drain asks the entry at the address to mark a VM as leaving.
func (c *Client) Drain(ctx context.Context, address string, request DrainRequest) (DrainResponse, error) {
	var response DrainResponse
	err := c.call(ctx, address, methodDrain, request, &response)
	return response, err
}

// call calls a method of the entry at the address and decodes its result into
// response. The call ends after callTimeout or with the context.
func (c *Client) call(ctx context.Context, address, method string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := c.connect(ctx, address)
	if err != nil {
		return errors.Wrapf(err, "connect to %s", address)
	}
	if err := conn.Call(ctx, method, request, response); err != nil {
		var remoteError *jsonrpc2.Error
		if !errors.As(err, &remoteError) && !errors.Is(err, context.Canceled) {
			// A call without an answer in time may have used a stalled
			// connection. The next call dials again.
			_ = conn.Close()
		}
		return errors.Wrapf(err, "%s at %s", method, address)
	}
	return nil
}

// connect returns the open connection to the address, and dials if there is none.
func (c *Client) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return nil, ErrClosed
	}
	shared := c.connections[address]
	if shared == nil {
		shared = &sharedConnection{}
		c.connections[address] = shared
	}
	c.mutex.Unlock()

	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	if shared.conn != nil {
		select {
		case <-shared.conn.DisconnectNotify():
		default:
			return shared.conn, nil
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	if c.source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: c.source}
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.credentials != nil {
		secured := tls.Client(conn, c.credentials.connectionConfig())
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, errors.Wrap(err, "TLS handshake")
		}
		conn = secured
	}
	shared.conn = newConn(context.Background(), conn, newCodec(), ignoreRequests{}, &c.traffic)
	c.mutex.Lock()
	closed := c.closed
	c.mutex.Unlock()
	if closed {
		_ = shared.conn.Close()
		return nil, ErrClosed
	}
	return shared.conn, nil
}

// Traffic returns the traffic counters of all connections of the client.
func (c *Client) Traffic() *Traffic { return &c.traffic }

// CloseExcept closes the connections to all addresses but the given ones. Callers
// use it to drop connections to entries that they no longer call.
func (c *Client) CloseExcept(addresses map[string]bool) {
	c.mutex.Lock()
	var removed []*sharedConnection
	for address, shared := range c.connections {
		if !addresses[address] {
			removed = append(removed, shared)
			delete(c.connections, address)
		}
	}
	c.mutex.Unlock()
	closeAll(removed)
}

// Close closes all connections. Later calls fail with ErrClosed.
func (c *Client) Close() error {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.CloseExcept(nil)
	return nil
}

// closeAll closes the connections that are open.
func closeAll(connections []*sharedConnection) {
	for _, shared := range connections {
		shared.mutex.Lock()
		if shared.conn != nil {
			_ = shared.conn.Close()
		}
		shared.mutex.Unlock()
	}
}

// ignoreRequests does not answer requests: a server sends none to its clients.
type ignoreRequests struct{}

// Handle implements jsonrpc2.Handler.
func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
