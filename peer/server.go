package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/fuchsiarouter/fuchsiarouter/budget"
	"github.com/fuchsiarouter/fuchsiarouter/revision"
)

const (
	// idleTimeout is how long a connection stays open without a message.
	// Heartbeats come once a second; a client dials again for its next message.
	idleTimeout = 30 * time.Second
	// writeTimeout limits a single write to a connection. The connection fails when
	// the peer does not accept the data in this time.
	writeTimeout = 5 * time.Second
	// maxConnections limits the open connections of a server. With 730 entries in a
	// fleet, an entry has connections from up to 41 agents and at most all other
	// entries, which together are less than a fifth of the limit.
	maxConnections = 4096
	// maxCallsInProgress limits the concurrent calls on all connections of a server.
	// A call above the limit fails at once.
	maxCallsInProgress = 1024
)

// Handler implements the methods that an entry offers to other daemons and operators.
type Handler interface {
	// Heartbeat records the state of the sender, and returns what the entry has for
	// it, such as newer members, the revisions of the configuration, and whether the
	// sender's VM is leaving (see HeartbeatResponse).
	Heartbeat(ctx context.Context, request HeartbeatRequest) (HeartbeatResponse, error)
	// Document returns the accepted configuration records that the sender lacks.
	Document(ctx context.Context, request DocumentRequest) (revision.Snapshot, error)
	// Status returns the status of the entry for operators.
	Status(ctx context.Context, request StatusRequest) (StatusResponse, error)
	// Drain marks a VM as leaving, so that it gets no new work and its daemon is
	// told to stop in the answer to its next heartbeat.
	Drain(ctx context.Context, request DrainRequest) (DrainResponse, error)
}

// ChangeExchanger is a Handler that also exchanges membership changes with other
// entries.
type ChangeExchanger interface {
	// Changes records the membership changes of the sender, and returns those that
	// the sender lacks.
	Changes(ctx context.Context, request ChangesRequest) (ChangesResponse, error)
}

// Server answers control messages on one address.
type Server struct {
	listener   net.Listener
	memory     *budget.Budget
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	traffic    Traffic

	// mutex guards the fields below it. connections holds the open connections.
	mutex       sync.Mutex
	connections map[*jsonrpc2.Conn]bool
	closed      bool
}

// Listen starts a server without TLS on the address.
func Listen(address string, handler Handler) (*Server, error) {
	return ListenTLS(address, handler, nil)
}

// ListenTLS starts a server that requires mutual TLS, or uses no TLS if credentials
// is nil.
func ListenTLS(address string, handler Handler, credentials *TLSCredentials) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for control messages")
	}
	return Serve(listener, handler, credentials, budget.New(budget.Settings{})), nil
}

// Serve starts a server that accepts the connections of a listener, and closes the
// listener at its end. The memory bounds the messages that are being read. Credentials
// are those of ListenTLS.
func Serve(listener net.Listener, handler Handler, credentials *TLSCredentials, memory *budget.Budget) *Server {
	if credentials != nil {
		// The handshake takes place in the first read, within the deadlines of
		// the connection, so that it does not delay other connections.
		listener = tls.NewListener(listener, credentials.serverConfig())
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{listener: listener, memory: memory, cancel: cancel, connections: map[*jsonrpc2.Conn]bool{}}
	callSlots := make(chan struct{}, maxCallsInProgress)
	rpc := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(
		func(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
			select {
			case callSlots <- struct{}{}:
			default:
				return nil, errors.New("too many calls in progress")
			}
			defer func() { <-callSlots }()
			return dispatchRequest(ctx, handler, request)
		}).SuppressErrClosed())
	server.goroutines.Go(func() {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				// The process is out of file descriptors; closing connections
				// free some.
				time.Sleep(10 * time.Millisecond)
				continue
			}
			server.addConnection(ctx, conn, rpc)
		}
	})
	return server
}

// addConnection serves the requests of a connection until it ends, or closes it at
// once if the server is closed or at its limit.
func (s *Server) addConnection(ctx context.Context, conn net.Conn, rpc jsonrpc2.Handler) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed || len(s.connections) >= maxConnections {
		_ = conn.Close()
		return
	}
	raw := conn
	if secured, ok := conn.(*tls.Conn); ok {
		raw = secured.NetConn()
	}
	// Closing the inner connection sends nothing and so does not block.
	messages := codec{memory: s.memory, drop: func() { _ = raw.Close() }}
	served := newConn(ctx, conn, messages, rpc, &s.traffic)
	s.connections[served] = true
	s.goroutines.Go(func() {
		<-served.DisconnectNotify()
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.connections, served)
	})
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Traffic returns the traffic counters of all connections of the server.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// Close stops accepting connections, cancels the calls in progress, closes all
// connections, and waits until they have ended.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.mutex.Lock()
	s.closed = true
	for conn := range s.connections {
		_ = conn.Close()
	}
	s.mutex.Unlock()
	s.goroutines.Wait()
	return err
}

// dispatchRequest calls the method that the request names and returns its result.
func dispatchRequest(ctx context.Context, handler Handler, request *jsonrpc2.Request) (any, error) {
	switch request.Method {
	case methodHeartbeat:
		return handleCall(ctx, request, handler.Heartbeat)
	case methodDocument:
		return handleCall(ctx, request, handler.Document)
	case methodStatus:
		return handleCall(ctx, request, handler.Status)
	case methodDrain:
		return handleCall(ctx, request, handler.Drain)
	case methodChanges:
		if exchanger, ok := handler.(ChangeExchanger); ok {
			return handleCall(ctx, request, exchanger.Changes)
		}
		fallthrough
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + request.Method}
	}
}

// handleCall decodes the parameters of a request and calls the method with them.
func handleCall[Request, Response any](
	ctx context.Context, request *jsonrpc2.Request, method func(context.Context, Request) (Response, error),
) (any, error) {
	var params Request
	if request.Params != nil {
		if err := json.Unmarshal(*request.Params, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
	}
	return method(ctx, params)
}
