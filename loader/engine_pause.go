package loader

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// errPaused reports a call that was not sent, since the engine has asked for a pause.
var errPaused = errors.New("the engine has asked for a pause")

// pausableEngine is a model engine that is sent nothing during the pauses that it asks for. A pause
// ends with the engine's incarnation.
type pausableEngine struct {
	engine fuchsiarouter.StagedEngine
	// startedAt returns the start of the registered incarnation, 0 if it is not known.
	startedAt func() int64

	mu          sync.Mutex
	pausedUntil time.Time
	// pausedAt is the Unix time in ms at which the pause was asked for, and pausedStart the start of
	// the incarnation that has asked for it, 0 if that is not known.
	pausedAt, pausedStart int64
}

var _ fuchsiarouter.StagedEngine = (*pausableEngine)(nil)

// call sends a call, unless the engine has asked for a pause, and records a pause that the call's
// error states.
func (e *pausableEngine) call(send func() error) error {
	if e.isPaused() {
		return errPaused
	}
	startedAt := e.startedAt()
	err := send()
	var pause *fuchsiarouter.PauseError
	if errors.As(err, &pause) {
		e.mu.Lock()
		if until := time.Now().Add(pause.Pause); until.After(e.pausedUntil) || e.pausedStart != startedAt {
			e.pausedUntil, e.pausedAt, e.pausedStart = until, time.Now().UnixMilli(), startedAt
		}
		e.mu.Unlock()
	}
	return err
}

// isPaused reports whether the registered incarnation has asked for a pause. While there is no
// registration, the incarnation is taken to be the same. If there was none when the pause was asked
// for, one that has started before asked for it: the engine and this daemon share the clock of their VM.
func (e *pausableEngine) isPaused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !time.Now().Before(e.pausedUntil) {
		return false
	}
	startedAt := e.startedAt()
	if e.pausedStart == 0 {
		return startedAt <= e.pausedAt
	}
	return startedAt == 0 || startedAt == e.pausedStart
}

// Report implements fuchsiarouter.StagedEngine.
func (e *pausableEngine) Report() (report fuchsiarouter.EngineReport, err error) {
	err = e.call(func() (err error) {
		report, err = e.engine.Report()
		return err
	})
	return report, err
}

// StagedPieces implements fuchsiarouter.StagedEngine.
func (e *pausableEngine) StagedPieces(model string) (pieces []int, err error) {
	err = e.call(func() (err error) {
		pieces, err = e.engine.StagedPieces(model)
		return err
	})
	return pieces, err
}

// ReadStagedPiece implements fuchsiarouter.StagedEngine.
func (e *pausableEngine) ReadStagedPiece(model string, piece int) (content []byte, err error) {
	err = e.call(func() (err error) {
		content, err = e.engine.ReadStagedPiece(model, piece)
		return err
	})
	return content, err
}

// StagePiece implements fuchsiarouter.StagedEngine.
func (e *pausableEngine) StagePiece(model string, piece int, content []byte) error {
	return e.call(func() error { return e.engine.StagePiece(model, piece, content) })
}

// OpenOrder implements fuchsiarouter.StagedEngine.
func (e *pausableEngine) OpenOrder() (fuchsiarouter.EngineOrder, error) {
	order, err := e.engine.OpenOrder()
	if err != nil {
		return nil, err
	}
	return &pausableOrder{EngineOrder: order, engine: e}, nil
}

// pausableOrder is an order to a pausableEngine.
type pausableOrder struct {
	fuchsiarouter.EngineOrder
	engine *pausableEngine
}

// StartLoad implements fuchsiarouter.EngineOrder.
func (o *pausableOrder) StartLoad(model string, version int, expected int64) (answer fuchsiarouter.OrderResult, err error) {
	err = o.engine.call(func() (err error) {
		answer, err = o.EngineOrder.StartLoad(model, version, expected)
		return err
	})
	return answer, err
}
