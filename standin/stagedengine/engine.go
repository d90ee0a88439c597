// Package stagedengine implements stand-ins for a model engine of the users' platform and for
// the weight origin. The engine loads a version from staged pieces, the parts of the version's
// weights that the loader on its machine has stored there.
//
// A function of the test chooses a fault for each call that the engine gets. The engine records
// each load: it compares the pieces, as they are when it accepts the order, with those of the
// ordered version. A piece must not be missing or of another version, and may be corrupt only if
// it was right until CorruptionAllowance before.
package stagedengine

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

// CorruptionAllowance is how long before the acceptance of an order a piece may have become
// corrupt without counting as a violation.
const CorruptionAllowance = 3 * time.Second

// Settings configure an engine.
type Settings struct {
	// Address is the listen address.
	Address string
	// Model is the name of the only model, Pieces the number of its pieces.
	Model  string
	Pieces int
	// PieceBytes is the size to which pieces are padded, 0 for no padding.
	PieceBytes int
	// Version is the version that the engine holds, and that is staged, at the start; 0 means
	// none.
	Version int
	// Age is how long before New the first incarnation has started, by its own report.
	Age time.Duration
	// LoadTime is the time from the acceptance of an order until its version is loaded.
	LoadTime time.Duration
	// BeginLoad is called when an order has been accepted, and EndLoad when its version is loaded, if
	// they are set. The load takes LoadTime from the return of BeginLoad.
	BeginLoad, EndLoad func()
	// Fault returns the fault of a call that has arrived. It may call methods of the engine.
	Fault func(Call) Fault
}

// Load is an accepted order.
type Load struct {
	At      time.Time
	Version int
	// Violations describe the pieces that were missing, of another version, or corrupt for
	// longer than CorruptionAllowance.
	Violations []string
	// Delay is the time from the arrival of the order to its acceptance. OldestRead is the time
	// since the piece that was read longest ago had been read last, or since the start of the
	// engine if a piece had not been read.
	Delay      time.Duration
	OldestRead time.Duration
}

// Engine is an HTTP server with staged pieces. A load survives neither a crash nor a power loss,
// staged pieces survive a crash.
type Engine struct {
	settings Settings
	listener net.Listener

	mu sync.Mutex
	// calls is the number of calls that have arrived.
	calls int
	// connections holds the open connections.
	connections map[net.Conn]*connectionState
	// startedAt is the start of the current incarnation, born its Unix time in milliseconds as
	// the engine reports it.
	startedAt time.Time
	born      int64
	// down is set between the end of an incarnation and the start of the next one.
	down bool
	// stopped is nil while the engine runs; otherwise, it is closed when the engine continues.
	// spread is then the time within which waiting calls are carried out.
	stopped chan struct{}
	spread  time.Duration
	// version is the loaded version, 0 if there is none. orders counts the accepted orders of
	// the incarnation.
	version int
	loading bool
	orders  int64
	staged  map[int]*stagedPiece
	loads   []Load
}

// connectionState is the state of an open connection.
type connectionState struct {
	// used is set once a call has arrived on the connection.
	used bool
	// ended is set once a restart has closed the connection.
	ended bool
	// openedAfter is the number of calls that had arrived when the connection was opened.
	openedAfter int
}

// New starts an engine.
func New(settings Settings) (*Engine, error) {
	listener, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		settings: settings, listener: listener, connections: map[net.Conn]*connectionState{}, staged: map[int]*stagedPiece{},
		version: settings.Version, startedAt: time.Now(), born: time.Now().Add(-settings.Age).UnixMilli(),
	}
	if settings.Version > 0 {
		for piece := range settings.Pieces {
			e.store(piece, paddedContent(settings.Version, piece, settings.PieceBytes))
		}
	}
	server := &fasthttp.Server{Handler: e.serveHTTP, ConnState: e.trackConnection, Logger: zap.NewStdLog(zap.NewNop())}
	go func() { _ = server.Serve(listener) }()
	return e, nil
}

// Address returns the address on which the engine listens.
func (e *Engine) Address() string { return e.listener.Addr().String() }

// Close ends the engine. Calls in progress are not carried out.
func (e *Engine) Close() {
	_ = e.listener.Close()
	e.end()
}

// Version returns the loaded version, 0 if there is none.
func (e *Engine) Version() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Loads returns the orders that the engine has accepted in all its incarnations.
func (e *Engine) Loads() []Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Load(nil), e.loads...)
}

// Violations returns a description of each violation of all loads.
func (e *Engine) Violations() []string {
	var violations []string
	for _, load := range e.Loads() {
		for _, violation := range load.Violations {
			violations = append(violations, fmt.Sprintf("load of version %d, accepted %v after its arrival: %s",
				load.Version, load.Delay.Round(time.Millisecond), violation))
		}
	}
	return violations
}

// Stop stops the engine as a whole: it accepts connections and calls, but carries out and answers
// none until Continue is called.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped == nil {
		e.stopped = make(chan struct{})
	}
}

// Continue ends a stop. The calls that wait are carried out in random order within the time
// spread.
func (e *Engine) Continue(spread time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped != nil {
		e.spread = spread
		close(e.stopped)
		e.stopped = nil
	}
}

// Restart ends the incarnation of the engine and starts the next one, with no version loaded,
// after the downtime. A power loss also drops the staged pieces. The calls in progress are not
// carried out, and all connections are closed. During the function Settings.Fault for the first call
// on a connection, that connection counts as opened after the restart if no other call has arrived
// since it was opened. Restart does nothing while the engine is down.
func (e *Engine) Restart(downtime time.Duration, powerLoss bool) {
	if !e.end() {
		return
	}
	time.Sleep(downtime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if powerLoss {
		e.staged = map[int]*stagedPiece{}
	}
	// The next incarnation has another start even if it follows within a millisecond.
	e.startedAt, e.born, e.down = time.Now(), max(time.Now().UnixMilli(), e.born+1), false
}

// end ends the incarnation and reports whether there was one.
func (e *Engine) end() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return false
	}
	e.down, e.loading, e.version, e.orders = true, false, 0, 0
	e.startedAt = time.Time{}
	for connection, state := range e.connections {
		if state.used || state.openedAfter < e.calls-1 {
			state.ended = true
			_ = connection.Close()
		}
	}
	return true
}

// trackConnection records the open connections and refuses new ones while the engine is down.
func (e *Engine) trackConnection(connection net.Conn, state fasthttp.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		e.connections[connection] = &connectionState{openedAfter: e.calls}
		if e.down {
			_ = connection.Close()
		}
	case fasthttp.StateClosed:
		delete(e.connections, connection)
	}
}

// incarnation returns the start of the current incarnation, which is zero while the engine is
// down.
func (e *Engine) incarnation() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startedAt
}

// admit records that a call has arrived on the connection. It returns the incarnation that the call
// has arrived at, zero if that has ended.
func (e *Engine) admit(connection net.Conn) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.connections[connection]
	if state == nil || state.ended {
		return time.Time{}
	}
	state.used = true
	return e.startedAt
}

// countCall counts a call that has arrived.
func (e *Engine) countCall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
}

// awaitRunning returns once the engine is not stopped.
func (e *Engine) awaitRunning() {
	for {
		e.mu.Lock()
		stopped := e.stopped
		e.mu.Unlock()
		if stopped == nil {
			return
		}
		<-stopped
		e.mu.Lock()
		spread := e.spread
		e.mu.Unlock()
		if spread > 0 {
			time.Sleep(rand.N(spread))
		}
	}
}

// order carries out an order that arrived at a time and returns the status of the answer.
func (e *Engine) order(order orderBody, arrivedAt time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case order.Op != "start":
		return fasthttp.StatusBadRequest
	case order.Model != e.settings.Model, order.Expected != nil && *order.Expected != e.orders, e.loading:
		return fasthttp.StatusConflict
	case order.Version == e.version:
		return fasthttp.StatusOK
	}
	now := time.Now()
	e.loads = append(e.loads, Load{
		At: now, Version: order.Version, Violations: e.findViolations(order.Version, now),
		Delay: now.Sub(arrivedAt), OldestRead: now.Sub(e.oldestRead()),
	})
	e.orders++
	e.loading = true
	incarnation := e.startedAt
	go e.load(order.Version, incarnation)
	return fasthttp.StatusAccepted
}

// load loads a version in the incarnation that has accepted the order.
func (e *Engine) load(version int, incarnation time.Time) {
	if e.settings.BeginLoad != nil {
		e.settings.BeginLoad()
	}
	time.Sleep(e.settings.LoadTime)
	e.awaitRunning()
	e.mu.Lock()
	if e.startedAt.Equal(incarnation) {
		e.version, e.loading = version, false
	}
	e.mu.Unlock()
	if e.settings.EndLoad != nil {
		e.settings.EndLoad()
	}
}
