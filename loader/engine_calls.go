package loader

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

// Kinds of calls that change an engine, in logs and metrics.
const (
	callStage = "stage"
	callOrder = "order"
)

// engineCalls sends the calls that change an engine, and records those without an answer.
type engineCalls struct {
	engine   fuchsiarouter.StagedEngine
	log      *zap.Logger
	counters counters
	// startedAt is the start of the engine's incarnation that was reported last, acceptedOrders
	// the number of orders that it has accepted, as far as this loader knows from reports and
	// from answers to its own orders.
	startedAt      int64
	acceptedOrders int64
	reported       bool
}

// stagePiece stores a piece of a version at the engine.
func (c *engineCalls) stagePiece(model string, cache *pieceCache, piece int) error {
	sentAt := time.Now()
	err := c.engine.StagePiece(model, piece, cache.get(piece))
	if errors.Is(err, fuchsiarouter.ErrUnanswered) {
		c.counters.unansweredStages.Inc(1)
		c.log.Warn("engine call unanswered", zap.String("call", callStage), zap.Int("version", cache.manifest.Version),
			zap.Int("piece", piece), zap.Duration("took", time.Since(sentAt)), telemetry.Cause(err))
	}
	return err
}

// startLoad orders the engine to load the staged pieces as a version, if it has accepted no order
// since the report.
func (c *engineCalls) startLoad(model string, version int, report fuchsiarouter.EngineReport) (fuchsiarouter.OrderResult, error) {
	sentAt := time.Now()
	answer, err := c.engine.StartLoad(model, version, report.AcceptedOrders)
	switch {
	case errors.Is(err, fuchsiarouter.ErrUnanswered):
		c.counters.unansweredOrders.Inc(1)
		c.log.Warn("engine call unanswered", zap.String("call", callOrder), zap.Int("version", version),
			zap.Int64("expected", report.AcceptedOrders), zap.Int64("born", report.StartedAt),
			zap.Duration("took", time.Since(sentAt)), telemetry.Cause(err))
	case err == nil && answer == fuchsiarouter.OrderStarted:
		c.acceptedOrders = report.AcceptedOrders + 1
	}
	return answer, err
}

// recordReport logs orders that the engine has accepted and for which this loader has no answer:
// late ones of its own, or those of an earlier process.
func (c *engineCalls) recordReport(report fuchsiarouter.EngineReport) {
	if c.reported && report.StartedAt == c.startedAt && report.AcceptedOrders > c.acceptedOrders {
		c.counters.unknownOrders.Inc(report.AcceptedOrders - c.acceptedOrders)
		c.log.Warn("engine accepted an order without an answer", zap.Int64("orders", report.AcceptedOrders),
			zap.Int64("known", c.acceptedOrders), zap.Int64("born", report.StartedAt), zap.Any("versions", report.LoadedVersions))
	}
	c.startedAt, c.acceptedOrders, c.reported = report.StartedAt, report.AcceptedOrders, true
}
