package intake

import (
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/fuchsiarouter/fuchsiarouter/tcp"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

const (
	// maxAdmitWait bounds the time between two attempts to admit a connection.
	maxAdmitWait = 20 * time.Millisecond
	// expiryInterval is the time between two looks for connections whose timeouts have passed.
	expiryInterval = 250 * time.Millisecond
	// writePieceBytes is how much of a response a peer must read within the write timeout.
	writePieceBytes = 64 << 10
	// logInterval is the shortest time between two log lines about a lack of room.
	logInterval = time.Second
	// maxOverheadBytes bounds what a request may have beside its body: its head, the sizes and
	// extensions of chunks, and trailers. maxOverheadRatio is how much more it may have for each byte
	// of the body; chunks of one byte have five.
	maxOverheadBytes = 128 << 10
	maxOverheadRatio = 16
)

// errOverhead reports a request with too many bytes beside its body.
var errOverhead = errors.New("the request has too many bytes beside its body")

// past is a time that, set as a deadline, ends a blocked read or write immediately.
var past = time.Unix(1, 0)

// Listener is a net.Listener with a limit for the connections that it has accepted.
type Listener struct {
	net.Listener
	settings   Settings
	log        *zap.Logger
	lastLogged rate.Sometimes
	// evictions and refusals count the connections that were closed for new ones, and the new ones
	// that were closed since all others are being served, since the last log line.
	evictions, refusals atomic.Int64
	evicted, refused    tally.Counter
	expired             tally.Counter

	mu    sync.Mutex
	table *Table[*Conn]
	// room gets a value when a connection was removed.
	room chan struct{}
	// stop is closed by Close.
	stop     chan struct{}
	stopOnce sync.Once
}

// New returns a listener that accepts the connections of another one.
func New(inner net.Listener, settings Settings, log *zap.Logger, scope tally.Scope) *Listener {
	l := &Listener{
		Listener: inner, settings: settings, log: log, lastLogged: rate.Sometimes{Interval: logInterval},
		evicted: scope.Counter("connections_evicted"), refused: scope.Counter("connections_refused"),
		expired: scope.Counter("connections_expired"), table: NewTable[*Conn](settings.Connections), room: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	if settings.ReceiveBytes > 0 {
		if err := tcp.SetReceiveBuffer(inner, settings.ReceiveBytes); err != nil {
			log.Warn("size of receive buffers not set", zap.Stringer("address", inner.Addr()), telemetry.Cause(err))
		}
	}
	if settings.Timeouts != nil {
		go func() {
			ticker := time.NewTicker(expiryInterval)
			defer ticker.Stop()
			for {
				select {
				case <-l.stop:
					// The connections that are still open also expire.
					if l.Open() == 0 {
						return
					}
					time.Sleep(expiryInterval)
					l.expire(time.Now())
				case now := <-ticker.C:
					l.expire(now)
				}
			}
		}()
	}
	return l
}

// Serve serves the connections until the listener is closed. It sets the ConnState of the server and
// wraps its handler.
func (l *Listener) Serve(server *fasthttp.Server) error {
	handler := server.Handler
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		if conn := connOf(ctx.Conn()); conn != nil {
			phase := Serving
			if ctx.RequestBodyStream() != nil {
				phase = Body
			}
			if !conn.enter(phase) {
				return
			}
		}
		handler(ctx)
	}
	server.ConnState = func(conn net.Conn, state fasthttp.ConnState) {
		own := connOf(conn)
		switch {
		case own == nil:
		case state == fasthttp.StateActive:
			_ = own.enter(Head)
		case state == fasthttp.StateIdle:
			_ = own.enter(Idle)
		}
	}
	return server.Serve(l)
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Open()
}

// Accept implements net.Listener. It waits while no connection may be closed for the new one, which is
// for MaxStallTime at most.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		// Requests that have arrived go first, or all of them wait while many connections are opened.
		runtime.Gosched()
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.admit(inner); conn != nil {
			return conn, nil
		}
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.stopOnce.Do(func() { close(l.stop) })
	return l.Listener.Close()
}

// admit adds a connection to the table. It returns nil if the connection was refused.
func (l *Listener) admit(inner net.Conn) *Conn {
	conn := &Conn{Conn: inner, listener: l}
	for {
		l.mu.Lock()
		added, evicted, wait := l.table.Admit(time.Now(), conn, (*Conn).hasInput)
		conn.slot = added
		l.mu.Unlock()
		switch {
		case evicted != nil:
			_ = evicted.Conn.Conn.Close()
			l.evicted.Inc(1)
			l.evictions.Add(1)
			l.logLack()
			return conn
		case added != nil:
			return conn
		case wait == 0:
			_ = inner.Close()
			l.refused.Inc(1)
			l.refusals.Add(1)
			l.logLack()
			return nil
		}
		select {
		case <-l.room:
		case <-time.After(min(wait, maxAdmitWait)):
		}
	}
}

// logLack logs that there is no room for new connections.
func (l *Listener) logLack() {
	l.lastLogged.Do(func() {
		l.log.Warn("connections closed for lack of room", zap.Stringer("address", l.Addr()), zap.Int("limit", l.settings.Connections),
			zap.Int64("for-new-ones", l.evictions.Swap(0)), zap.Int64("refused", l.refusals.Swap(0)))
	})
}

// expire closes the connections whose timeouts have passed. An incomplete head ends with an error of
// the server, which may respond.
func (l *Listener) expire(now time.Time) {
	timeouts := l.settings.Timeouts()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, slot := range l.table.Expired(now, timeouts) {
		switch {
		case slot.phase == Head:
			_ = slot.Conn.SetReadDeadline(past)
		case slot.phase == Idle && tcp.HasPendingInput(slot.Conn.Conn):
			// A request has just arrived, or the peer has closed the connection.
			continue
		default:
			l.table.Evict(slot)
			_ = slot.Conn.Conn.Close()
		}
		l.expired.Inc(1)
	}
}

// Conn is a connection that a Listener has accepted.
type Conn struct {
	net.Conn
	listener *Listener
	// slot is guarded by the listener.
	slot *Slot[*Conn]
	// linger is what Close does, nil if it closes at once.
	linger atomic.Pointer[Linger]
	// receivedBytes is the number of bytes that have arrived for the current request, and bodyBytes
	// that of them which belong to its body. Only the goroutine of the server uses them.
	receivedBytes, bodyBytes int
	// isRefused is set once the request is refused and its rest is discarded.
	isRefused atomic.Bool
	// writeEnded is set if a write deadline has ended writing for good.
	writeEnded atomic.Bool
}

// enter records the phase of the connection. It returns false if the connection was closed for another
// one: the response to its request would be lost. It ends the deadline for reading a request that has
// arrived.
func (c *Conn) enter(phase Phase) bool {
	now := time.Now()
	c.listener.mu.Lock()
	isOpen := c.listener.table.Enter(now, c.slot, phase)
	c.listener.mu.Unlock()
	if phase == Idle {
		c.receivedBytes, c.bodyBytes = 0, 0
	}
	if phase == Serving {
		// The deadline would also end the watch for a peer that leaves.
		_ = c.SetReadDeadline(time.Time{})
	}
	return isOpen
}

// hasInput reports whether bytes have arrived that were not read, or the peer has closed the connection.
func (c *Conn) hasInput() bool { return tcp.HasPendingInput(c.Conn) }

// isOpen reports whether the connection was not closed for another one.
func (c *Conn) isOpen() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return !c.slot.evicted
}

// Read implements net.Conn. It returns errOverhead if a request has too many bytes beside its body.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if c.listener.settings.HasMessages {
		_ = c.enter(Head)
		return n, err
	}
	c.receivedBytes += n
	if c.receivedBytes > maxOverheadBytes+maxOverheadRatio*c.bodyBytes && !c.isRefused.Load() {
		return 0, errOverhead
	}
	return n, err
}

// Write implements net.Conn. If there is a write timeout, it applies to each piece of the bytes.
func (c *Conn) Write(data []byte) (int, error) {
	timeout := c.listener.settings.WriteTimeout
	if timeout == 0 {
		return c.Conn.Write(data)
	}
	written := 0
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		if c.writeEnded.Load() {
			return written, os.ErrDeadlineExceeded
		}
		n, err := c.Conn.Write(data[written:min(len(data), written+writePieceBytes)])
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// SetWriteDeadline implements net.Conn. A deadline that has passed ends all writing.
func (c *Conn) SetWriteDeadline(deadline time.Time) error {
	if !deadline.IsZero() && time.Until(deadline) <= 0 {
		c.writeEnded.Store(true)
	}
	return c.Conn.SetWriteDeadline(deadline)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if linger := c.linger.Swap(nil); linger != nil {
		linger.discard(c, c.Conn)
	}
	c.listener.mu.Lock()
	c.listener.table.Remove(c.slot)
	c.listener.mu.Unlock()
	select {
	case c.listener.room <- struct{}{}:
	default:
	}
	return c.Conn.Close()
}

// LingerOnClose makes Close discard what the peer still sends, after a response to a request that was
// not read to its end.
func (c *Conn) LingerOnClose(linger Linger) {
	c.isRefused.Store(true)
	c.linger.Store(&linger)
}

// CloseWrite ends the writing side of the connection.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what happens to unsent bytes when the connection is closed.
func (c *Conn) SetLinger(seconds int) error {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return socket.SetLinger(seconds)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, syscall.EINVAL
}
