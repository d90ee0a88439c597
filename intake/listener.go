package intake

import (
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

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
	// logInterval is the shortest time between two log lines about a lack of room.
	logInterval = time.Second
)

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
