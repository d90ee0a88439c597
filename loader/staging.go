package loader

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/boottime"
)

// stagedReadAgeBuckets are the upper bounds of the buckets of counters.stagedReadAge.
var stagedReadAgeBuckets = tally.DurationBuckets{
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond,
	2 * time.Second, 3 * time.Second, 5 * time.Second, 10 * time.Second,
}

// load writes a version to the engine's staging area, waits for the turn of this engine,
// and orders the engine to load the version. It sends no order and returns nil if a newer
// version has become complete meanwhile, or if the engine is busy or has the version
// already. It returns errUnsettled if the engine may still carry out a call for another version.
func (l *Loader) load(model string, cache *pieceCache) error {
	start := time.Now()
	version := cache.manifest.Version
	if !l.calls.allows(cache) {
		return errUnsettled
	}
	if err := l.stage(cache); err != nil {
		return err
	}
	stagedAt := time.Now()
	// An order that is not settled may be accepted at any time.
	if l.calls.unsettledOrder(model) == nil {
		if newer, err := l.waitForLoadTurn(model, version); err != nil || newer {
			return err
		}
	}
	readAt := boottime.Now()
	if err := l.replaceCorruptStaged(cache); err != nil {
		return err
	}
	report, err := l.readReport(model)
	if err != nil {
		return err
	}
	if report.Busy || report.LoadedVersions[model] >= version {
		return nil
	}
	verifiedIn := boottime.Now() - readAt
	answer, err := l.calls.startLoad(cache, report)
	if err != nil {
		return err
	}
	l.counters.stagedReadAge.RecordDuration(boottime.Now() - readAt)
	l.log.Info("load ordered", zap.String("model", model), zap.Int("version", version), zap.Int("answer", int(answer)),
		zap.Int("running", report.Running), zap.Int("waiting", report.Waiting), zap.Duration("staged-in", stagedAt.Sub(start)),
		zap.Duration("waited", time.Since(stagedAt)), zap.Duration("verified-in", verifiedIn),
		zap.Duration("read-age", boottime.Now()-readAt), zap.Int64("expected", report.AcceptedOrders), zap.Int64("born", report.StartedAt))
	if answer == fuchsiarouter.OrderRefused {
		return errors.New("the engine refused the order")
	}
	_, _ = l.readReport(model)
	return nil
}

// stage writes all pieces to the engine's staging area.
func (l *Loader) stage(cache *pieceCache) error {
	for piece := range cache.manifest.Digests {
		if err := l.calls.stagePiece(cache, piece); err != nil {
			return err
		}
	}
	return nil
}

// replaceCorruptStaged reads every staged piece back right before the load order and replaces
// corrupt ones. The engine loads the staged pieces unverified, and they can become
// corrupt after staging.
func (l *Loader) replaceCorruptStaged(cache *pieceCache) error {
	for piece := range cache.manifest.Digests {
		content, err := l.engine.ReadStagedPiece(cache.manifest.Model, piece)
		if err == nil && cache.verify(piece, content) {
			continue
		}
		l.counters.stagedReplaced.Inc(1)
		l.log.Info("staged piece replaced", zap.Int("piece", piece), zap.Int("version", cache.manifest.Version))
		if err := l.calls.stagePiece(cache, piece); err != nil {
			return err
		}
	}
	return nil
}
