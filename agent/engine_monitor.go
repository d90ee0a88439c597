package agent

import (
	"context"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/upstream"
)

const (
	// statusInterval is the time between two requests for the engine's status, and
	// statusTimeout limits one such request.
	statusInterval = 500 * time.Millisecond
	statusTimeout  = time.Second
	// maxMissedStatuses is the number of failed status requests in a row after which
	// the connections to the engine are closed, which aborts its requests in
	// progress.
	maxMissedStatuses = 5
	// crashConfirmTimeout is how long after a broken connection the status of an
	// engine that still answers is requested again, every crashConfirmInterval, to
	// find out whether the engine has crashed.
	crashConfirmTimeout  = 300 * time.Millisecond
	crashConfirmInterval = 50 * time.Millisecond
)

// engineMonitor detects when the engine crashes and when it is back. An engine
// has crashed when it refuses connections or reports another incarnation, a number
// that changes with each start of the engine.
type engineMonitor struct {
	log    *zap.Logger
	engine fuchsiarouter.Engine
	client *upstream.Client
	// agentID is the ID of the agent. It is part of the crash ID, so that crash
	// IDs are unique in the fleet.
	agentID string
	// address is the address of the engine.
	address string
	// onCrash is called with the ID of a crash and returns the fingerprints of the
	// requests that were in progress. onStatus is called with each status that
	// shows no crash.
	onCrash  func(crashID string) map[string]bool
	onStatus func(fuchsiarouter.EngineStatus)

	mu sync.Mutex
	// incarnation is the last one that the engine reported, or 0 if none is known.
	incarnation int64
	// isRunning is set while the engine is up (see isUp).
	isRunning bool
	// missedStatuses is the number of failed status requests in a row.
	missedStatuses int
	// lastCrashID identifies the last crash, and crashedRequests holds the
	// fingerprints of the requests that were in progress then.
	lastCrashID     string
	crashedRequests map[string]bool
}

// isUp reports whether the engine has answered a status request and has not
// crashed since.
func (m *engineMonitor) isUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isRunning
}

// checkStatus requests the engine's status, and calls onStatus with it or, if the
// engine has crashed, onCrash. If the engine has not answered maxMissedStatuses times
// in a row, checkStatus closes the connections to it.
func (m *engineMonitor) checkStatus() {
	m.mu.Lock()
	defer m.mu.Unlock()
	status, err := m.requestStatus()
	switch {
	case err == nil && m.incarnation != 0 && status.Incarnation != m.incarnation:
		m.recordCrash(status.Incarnation)
		m.isRunning = true
	case err == nil:
		m.incarnation, m.isRunning, m.missedStatuses = status.Incarnation, true, 0
		m.onStatus(status)
	case upstream.IsNotSent(err) && m.isRunning:
		m.recordCrash(0)
		m.isRunning = false
	default:
		m.missedStatuses++
		if m.missedStatuses == maxMissedStatuses {
			m.log.Warn("engine does not answer; requests in progress are aborted", zap.Error(err))
			m.client.CloseConnections(m.address)
		}
	}
}

// recordCrash records a crash and calls onCrash. nextIncarnation is the incarnation
// that the engine reports since the crash, or 0 if it is not known yet. The caller
// holds the lock.
func (m *engineMonitor) recordCrash(nextIncarnation int64) {
	m.lastCrashID = m.agentID + "/" + strconv.FormatInt(m.incarnation, 10)
	m.incarnation, m.missedStatuses = nextIncarnation, 0
	m.crashedRequests = m.onCrash(m.lastCrashID)
	m.log.Warn("engine crashed", zap.String("crash", m.lastCrashID), zap.Int("requests", len(m.crashedRequests)))
}

// detectCrash requests the engine's status and returns the ID of its last crash if
// the request with the fingerprint was in progress then, or an empty string. A
// crashing process closes the connections of its requests before it stops accepting
// others, so an engine that still answers is checked again until
// crashConfirmTimeout. With an empty fingerprint it is checked only once.
func (m *engineMonitor) detectCrash(fingerprint string) string {
	for deadline := time.Now().Add(crashConfirmTimeout); ; time.Sleep(crashConfirmInterval) {
		m.checkStatus()
		m.mu.Lock()
		crashID, crashed := m.lastCrashID, m.crashedRequests[fingerprint]
		m.mu.Unlock()
		switch {
		case crashed:
			return crashID
		case fingerprint == "" || time.Now().After(deadline):
			return ""
		}
	}
}

// requestStatus requests the status with a timeout, because a frozen engine keeps
// its connections open. The caller holds the lock.
func (m *engineMonitor) requestStatus() (fuchsiarouter.EngineStatus, error) {
	type answer struct {
		status fuchsiarouter.EngineStatus
		err    error
	}
	answers := make(chan answer, 1)
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	go func() {
		status, err := m.engine.Status(ctx)
		answers <- answer{status, err}
	}()
	select {
	case got := <-answers:
		return got.status, got.err
	case <-ctx.Done():
		return fuchsiarouter.EngineStatus{}, ctx.Err()
	}
}
