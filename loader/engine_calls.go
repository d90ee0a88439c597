package loader

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

const (
	// engineAnswerTimeout is how long the loader waits for the answer to a call that changes the
	// engine. A call without an answer goes on and stays unsettled.
	engineAnswerTimeout = time.Second
	// lateCallWindow is how long an engine that answers other calls may still carry out a call
	// whose connection has ended without an answer.
	lateCallWindow = 5 * time.Second
	// maxReportGap bounds the time between two reports that counts for lateCallWindow: the engine
	// may have been stopped in between.
	maxReportGap = time.Second
	// minRestartDelay is the time that a process of the loader takes at least to start, send a call,
	// end and be started again. An earlier process has sent no call to an engine that was started
	// within this time before the present process, or after it.
	minRestartDelay = 100 * time.Millisecond
)

// errUnsettled reports that the staged pieces must not be replaced by those of another version yet.
var errUnsettled = errors.New("the engine may still carry out a call for another version")

// engineCalls sends the calls that change an engine. A call without an answer may still be carried
// out, so it stays unsettled, and until it is settled only calls for the same version are sent. Calls
// for one version do no harm to each other: they store the same pieces, and of several orders that
// expect the same number of accepted orders the engine accepts one.
//
// A call is settled when it can't be carried out any more. A call to store a piece is settled once it
// is answered and the piece, which was not there before, is read back: an answer alone may belong to
// an earlier call on the connection. An order is settled by its answer or once the engine has
// accepted any order since. Calls that have ended otherwise, those of an earlier process of the
// loader, and an order that the engine refuses to repeat are settled once the engine has answered
// other calls for lateCallWindow. The end of the engine's incarnation settles all calls.
type engineCalls struct {
	engine   fuchsiarouter.StagedEngine
	log      *zap.Logger
	counters counters

	mu        sync.Mutex
	unsettled map[*engineCall]struct{}
	// startedAt is the start of the engine's incarnation that was reported last, acceptedOrders
	// the number of orders that it has accepted, as far as this loader knows from reports and
	// from answers to its own orders. reportedAt is when that report was requested, zero before
	// the first one.
	startedAt      int64
	acceptedOrders int64
	reportedAt     time.Time
}

func newEngineCalls(engine fuchsiarouter.StagedEngine, log *zap.Logger, counters counters) *engineCalls {
	earlier := &engineCall{kind: callEarlier, sentAt: time.Now(), lost: true}
	return &engineCalls{engine: engine, log: log, counters: counters, unsettled: map[*engineCall]struct{}{earlier: {}}}
}

// storePiece stores a piece of a version at the engine, where the piece was not valid before.
func (c *engineCalls) storePiece(cache *pieceCache, piece int) error {
	call := newEngineCall(callStage, cache)
	call.piece = piece
	return c.send(call, func() error { return c.engine.StagePiece(call.model, piece, cache.get(piece)) })
}

// confirmPiece settles the call that has stored a piece, which was read back after readAt. If there
// are several calls for the piece, it is not known which one has been carried out.
func (c *engineCalls) confirmPiece(cache *pieceCache, piece int, readAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var confirmed *engineCall
	for call := range c.unsettled {
		if call.kind != callStage || call.piece != piece || call.version != cache.manifest.Version || call.model != cache.manifest.Model {
			continue
		}
		if confirmed != nil || call.answeredAt.IsZero() || call.answeredAt.After(readAt) {
			return
		}
		confirmed = call
	}
	delete(c.unsettled, confirmed)
}

// startLoad orders the engine to load the staged pieces as a version, if it has accepted no order
// since the report. It closes the order.
func (c *engineCalls) startLoad(order fuchsiarouter.EngineOrder, cache *pieceCache, report fuchsiarouter.EngineReport) (fuchsiarouter.OrderResult, error) {
	call := newEngineCall(callOrder, cache)
	call.expected = report.AcceptedOrders
	answers := make(chan fuchsiarouter.OrderResult, 1)
	err := c.send(call, func() error {
		defer func() { _ = order.Close() }()
		answer, err := order.StartLoad(call.model, call.version, report.AcceptedOrders)
		answers <- answer
		return err
	})
	if err != nil {
		return 0, err
	}
	answer := <-answers
	c.mu.Lock()
	defer c.mu.Unlock()
	switch answer {
	case fuchsiarouter.OrderStarted:
		c.acceptedOrders = max(c.acceptedOrders, report.AcceptedOrders+1)
	case fuchsiarouter.OrderRefused:
		for other := range c.unsettled {
			other.repeatRefused = other.repeatRefused || other.kind == callOrder && other.expected == report.AcceptedOrders
		}
	}
	return answer, nil
}

// send sends a call and waits for its answer, but at most for engineAnswerTimeout.
func (c *engineCalls) send(call *engineCall, send func() error) error {
	call.sentAt = time.Now()
	c.mu.Lock()
	c.unsettled[call] = struct{}{}
	c.mu.Unlock()
	ended := make(chan error, 1)
	go func() {
		err := send()
		c.end(call, err)
		ended <- err
	}()
	timer := time.NewTimer(engineAnswerTimeout)
	defer timer.Stop()
	select {
	case err := <-ended:
		return err
	case <-timer.C:
		c.mu.Lock()
		call.overdue = true
		c.mu.Unlock()
		c.recordUnanswered(call, fuchsiarouter.ErrUnanswered)
		return errors.Wrap(fuchsiarouter.ErrUnanswered, call.kind)
	}
}

// end records the end of a call. An answer settles an order.
func (c *engineCalls) end(call *engineCall, err error) {
	isUnanswered := errors.Is(err, fuchsiarouter.ErrUnanswered)
	c.mu.Lock()
	overdue := call.overdue
	switch {
	case isUnanswered:
		call.lost = true
	case call.kind == callStage:
		call.lost, call.answeredAt = true, time.Now()
	default:
		delete(c.unsettled, call)
	}
	c.mu.Unlock()
	switch {
	case isUnanswered && !overdue:
		c.recordUnanswered(call, err)
	case !isUnanswered && overdue:
		c.log.Info("engine call answered late", append(call.fields(), telemetry.Cause(err))...)
	}
}

// recordUnanswered logs and counts a call without an answer.
func (c *engineCalls) recordUnanswered(call *engineCall, err error) {
	counter := c.counters.unansweredStages
	if call.kind == callOrder {
		counter = c.counters.unansweredOrders
	}
	counter.Inc(1)
	c.log.Warn("engine call unanswered", append(call.fields(), telemetry.Cause(err))...)
}

// allows reports whether calls for a version may be sent: all unsettled calls of the model are known
// to be for that version.
func (c *engineCalls) allows(cache *pieceCache) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	model, version := cache.manifest.Model, cache.manifest.Version
	for call := range c.unsettled {
		if call.kind == callEarlier || call.model == model && call.version != version {
			return false
		}
	}
	return true
}

// unsettledOrder returns the pieces of the version of the model's orders that are not settled, or
// nil if there are none. All of them are for the same version, whose order is to be repeated until
// the engine has accepted one.
func (c *engineCalls) unsettledOrder(model string) *pieceCache {
	c.mu.Lock()
	defer c.mu.Unlock()
	for call := range c.unsettled {
		if call.kind == callOrder && call.model == model && !call.isOfEarlierIncarnation {
			return call.cache
		}
	}
	return nil
}

// recordReport settles the calls that can't be carried out any more by a report of the engine,
// which was requested at requestedAt. It logs orders that the engine has accepted and for which
// this loader has no answer: late ones of its own, or those of an earlier process.
func (c *engineCalls) recordReport(requestedAt time.Time, report fuchsiarouter.EngineReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isFirst := c.reportedAt.IsZero()
	isRestarted := !isFirst && report.StartedAt != c.startedAt
	if !isFirst && !isRestarted && report.AcceptedOrders > c.acceptedOrders {
		c.counters.unknownOrders.Inc(report.AcceptedOrders - c.acceptedOrders)
		c.log.Warn("engine accepted an order whose answer was not received", zap.Int64("orders", report.AcceptedOrders),
			zap.Int64("known", c.acceptedOrders), zap.Int64("born", report.StartedAt), zap.Any("versions", report.LoadedVersions))
	}
	for call := range c.unsettled {
		if isFirst && call.kind == callEarlier && isStartedBetween(report.StartedAt, call.sentAt.Add(-minRestartDelay), time.Now()) {
			delete(c.unsettled, call)
			continue
		}
		if isRestarted {
			call.isOfEarlierIncarnation = true
		}
		call.countAnswering(requestedAt)
		isEnded := isRestarted && call.sentAt.Before(c.reportedAt)
		if isEnded || call.isSettledBy(report) {
			delete(c.unsettled, call)
			c.log.Info("engine call settled", append(call.fields(), zap.Int64("orders", report.AcceptedOrders),
				zap.Int64("born", report.StartedAt))...)
		}
	}
	c.startedAt, c.acceptedOrders, c.reportedAt = report.StartedAt, report.AcceptedOrders, requestedAt
}

// isStartedBetween reports whether an engine was started within a time, by its report. The clock may
// have been set back since, so a start that lies in the future shows nothing.
func isStartedBetween(startedAt int64, from, to time.Time) bool {
	started := time.UnixMilli(startedAt)
	return started.After(from) && !started.After(to)
}

// recordSilence records that the engine has not answered a request for a report.
func (c *engineCalls) recordSilence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for call := range c.unsettled {
		call.resetAnswering()
	}
}

// isIdle reports whether every call has ended.
func (c *engineCalls) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for call := range c.unsettled {
		if !call.lost {
			return false
		}
	}
	return true
}
