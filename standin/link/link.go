// Package link implements a TCP proxy that simulates a network link between its clients and
// one target address. A link limits the rate and adds a delay in each direction, and can be
// cut or stalled while it runs.
package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"
)

// maxSegmentBytes is the maximum size of a segment, and the burst size of the rate limiters.
const maxSegmentBytes = 16 << 10

// maxDelayedSegments is the maximum number of segments of one direction of a connection that
// wait until they are due. When there are more, the link reads no further.
const maxDelayedSegments = 256

// dialTimeout bounds the time to connect to the target.
const dialTimeout = 5 * time.Second

// States of a link.
const (
	// Up forwards bytes.
	Up = "up"
	// Cut has reset all connections and resets new ones.
	Cut = "cut"
	// Stalled keeps connections open and accepts new ones, but forwards nothing.
	Stalled = "stalled"
)

// Options configures a link.
type Options struct {
	// Target is the address to which connections are forwarded.
	Target string
	// BytesPerSecond is the rate limit in each direction, shared by all connections;
	// 0 means no limit.
	BytesPerSecond int64
	// Delay is the time that a byte takes in each direction, in addition to the time that
	// the rate limit requires.
	Delay time.Duration
}

// Link forwards connections to its target.
type Link struct {
	options Options
	// toTarget and fromTarget limit the rates of the two directions.
	toTarget   *rate.Limiter
	fromTarget *rate.Limiter

	mu    sync.Mutex
	state string
	// statePrefixes limits the state to clients with these IP prefixes; for all other
	// clients the link is up. If it is empty, the state applies to all clients.
	statePrefixes []netip.Prefix
	// stateChanged is closed and replaced at each change of the state.
	stateChanged chan struct{}
	// connections holds the open connections, both those of clients and those to the
	// target.
	connections map[net.Conn]struct{}
}

// New returns a link in the state Up.
func New(options Options) *Link {
	limit := rate.Inf
	if options.BytesPerSecond > 0 {
		limit = rate.Limit(options.BytesPerSecond)
	}
	return &Link{
		options:      options,
		toTarget:     rate.NewLimiter(limit, maxSegmentBytes),
		fromTarget:   rate.NewLimiter(limit, maxSegmentBytes),
		state:        Up,
		stateChanged: make(chan struct{}),
		connections:  map[net.Conn]struct{}{},
	}
}

// Serve accepts connections from the listener and forwards them to the target. It returns
// the listener's error, for example when the listener is closed. After the end of ctx, new
// connections are accepted but not forwarded.
func (l *Link) Serve(ctx context.Context, listener net.Listener) error {
	for {
		client, err := listener.Accept()
		if err != nil {
			return err
		}
		go l.forward(ctx, client)
	}
}

// SetState changes the state for clients with one of the IP prefixes, or for all clients if
// no prefix is given. For all other clients the link is then up. Cutting a link resets its
// connections; stalling it keeps them open and forwards nothing.
func (l *Link) SetState(state string, sources ...netip.Prefix) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state, l.statePrefixes = state, sources
	close(l.stateChanged)
	l.stateChanged = make(chan struct{})
	for conn := range l.connections {
		if l.connectionState(conn) == Cut {
			reset(conn)
			delete(l.connections, conn)
		}
	}
}

// connectionState returns the state that applies to a connection, according to the IP
// address at the other end. The caller must hold mu.
func (l *Link) connectionState(client net.Conn) string {
	if len(l.statePrefixes) == 0 {
		return l.state
	}
	source, err := netip.ParseAddrPort(client.RemoteAddr().String())
	if err == nil && slices.ContainsFunc(l.statePrefixes, func(prefix netip.Prefix) bool {
		return prefix.Contains(source.Addr().Unmap())
	}) {
		return l.state
	}
	return Up
}

// ControlHandler returns the HTTP handler that changes the state with POST requests to
// /cut, /stall and /heal. The query parameter from=PREFIX,… has the meaning of the prefixes
// of SetState.
func (l *Link) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	for path, state := range map[string]string{"/cut": Cut, "/stall": Stalled, "/heal": Up} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			sources, err := parsePrefixes(r.URL.Query().Get("from"))
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			l.SetState(state, sources...)
			w.WriteHeader(http.StatusNoContent)
		})
	}
	return mux
}

// parsePrefixes parses a comma-separated list of IP prefixes.
func parsePrefixes(list string) ([]netip.Prefix, error) {
	var prefixes []netip.Prefix
	for text := range strings.FieldsFuncSeq(list, func(r rune) bool { return r == ',' }) {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			return nil, errors.Wrap(err, "source")
		}
		prefixes = append(prefixes, prefix)
	}
	return prefixes, nil
}

// forward connects a client to the target and forwards bytes until the streams of both
// directions have ended. It closes both connections.
func (l *Link) forward(ctx context.Context, client net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !l.register(client) {
		reset(client)
		return
	}
	defer l.closeConnection(client)
	if l.waitWhileStalled(ctx, client) != nil {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", l.options.Target)
	if err != nil {
		reset(client)
		return
	}
	if !l.register(target) {
		reset(target)
		return
	}
	defer l.closeConnection(target)
	var wg sync.WaitGroup
	wait := func() error { return l.waitWhileStalled(ctx, client) }
	wg.Go(func() { l.forwardBytes(ctx, target, client, l.toTarget, wait) })
	wg.Go(func() { l.forwardBytes(ctx, client, target, l.fromTarget, wait) })
	wg.Wait()
}

// register adds a connection to those that SetState resets when it cuts the link. It returns
// false, and adds nothing, if the link is already cut for the connection.
func (l *Link) register(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connectionState(conn) == Cut {
		return false
	}
	l.connections[conn] = struct{}{}
	return true
}

// closeConnection closes a registered connection.
func (l *Link) closeConnection(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, conn)
	_ = conn.Close()
}

// waitWhileStalled blocks while the link is stalled for the client. It returns an error only
// if the context ends before.
func (l *Link) waitWhileStalled(ctx context.Context, client net.Conn) error {
	for {
		l.mu.Lock()
		state, changed := l.connectionState(client), l.stateChanged
		l.mu.Unlock()
		if state != Stalled {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// segment holds the bytes of one read, which are forwarded at the time dueAt.
type segment struct {
	dueAt time.Time
	bytes []byte
}

// forwardBytes forwards bytes in one direction at the limited rate and with the delay, until
// the stream ends. wait blocks while the link is stalled. An error on one side resets the
// connection of the other side; the normal end of the stream is forwarded.
func (l *Link) forwardBytes(ctx context.Context, to, from net.Conn, limiter *rate.Limiter, wait func() error) {
	segments := make(chan segment, maxDelayedSegments)
	var readErr error
	go func() {
		defer close(segments)
		for {
			buffer := make([]byte, maxSegmentBytes)
			n, err := from.Read(buffer)
			if n > 0 {
				if limiter.WaitN(ctx, n) != nil {
					return
				}
				segments <- segment{time.Now().Add(l.options.Delay), buffer[:n]}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					readErr = err
				}
				return
			}
		}
	}()
	writeFailed := false
	for s := range segments {
		time.Sleep(time.Until(s.dueAt))
		if writeFailed || wait() != nil {
			continue
		}
		if _, err := to.Write(s.bytes); err != nil {
			writeFailed = true
			reset(from)
		}
	}
	if readErr != nil || writeFailed {
		reset(to)
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// reset closes a connection with a TCP reset, so that the other end gets an error instead of
// the end of the stream.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
