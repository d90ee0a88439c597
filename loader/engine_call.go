package loader

import (
	"time"

	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// Kinds of calls that change an engine, in logs and metrics. callEarlier stands for all calls of an
// earlier process of the loader, of which nothing is known.
const (
	callStage   = "stage"
	callOrder   = "order"
	callEarlier = "earlier"
)

// engineCall is a call that is not settled.
type engineCall struct {
	kind    string
	model   string
	version int
	// cache holds the pieces of the version, piece is the index of the stored one.
	cache *pieceCache
	piece int
	// expected is the number of accepted orders that an order expects. isOfEarlierIncarnation is set
	// if the engine has restarted since that number was reported.
	expected               int64
	isOfEarlierIncarnation bool
	sentAt                 time.Time
	// overdue is set if there was no answer within engineAnswerTimeout; the call goes on. answeredAt
	// is when a call that stores a piece was answered, zero before that.
	overdue    bool
	answeredAt time.Time
	// lost is set when the call has ended, by an answer or with its connection, and is not settled.
	// answering is how long the engine has answered other calls since, and lastReportAt when the last
	// report in that time was requested.
	lost         bool
	answering    time.Duration
	lastReportAt time.Time
	// repeatRefused is set once the engine has refused to repeat an order.
	repeatRefused bool
}

// newEngineCall describes a call for a version.
func newEngineCall(kind string, cache *pieceCache) *engineCall {
	return &engineCall{kind: kind, model: cache.manifest.Model, version: cache.manifest.Version, cache: cache}
}

// countAnswering adds the time since the previous report to the time in which the engine has
// answered other calls. requestedAt is when the present report was requested.
func (c *engineCall) countAnswering(requestedAt time.Time) {
	if !c.lost {
		return
	}
	if !c.lastReportAt.IsZero() {
		c.answering += min(requestedAt.Sub(c.lastReportAt), maxReportGap)
	}
	c.lastReportAt = requestedAt
}

// resetAnswering records that the engine has stopped answering.
func (c *engineCall) resetAnswering() { c.answering, c.lastReportAt = 0, time.Time{} }

// isSettledBy reports whether a report of the engine shows that the call can't be carried out any
// more.
func (c *engineCall) isSettledBy(report fuchsiarouter.EngineReport) bool {
	isWindowOver := c.answering >= lateCallWindow
	if c.kind == callOrder && !c.isOfEarlierIncarnation {
		return report.AcceptedOrders > c.expected || isWindowOver && c.repeatRefused
	}
	return isWindowOver
}

// fields describe the call in the log.
func (c *engineCall) fields() []zap.Field {
	took := zap.Duration("took", time.Since(c.sentAt))
	switch c.kind {
	case callEarlier:
		return []zap.Field{zap.String("call", c.kind), took}
	case callOrder:
		return []zap.Field{zap.String("call", c.kind), zap.String("model", c.model), zap.Int("version", c.version), zap.Int64("expected", c.expected), took}
	}
	return []zap.Field{zap.String("call", c.kind), zap.String("model", c.model), zap.Int("version", c.version), zap.Int("piece", c.piece), took}
}
