package loader

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/boottime"
)

const (
	// maxStagedReadAge bounds the time from the first read of the staged pieces to the load order.
	// Staged pieces can become corrupt at any time, and the engine may load one that became corrupt
	// less than 3 s before it accepts the order. The rest, engineAnswerTimeout, is left for the order.
	maxStagedReadAge = 2 * time.Second
	// maxVerifyPasses is the number of times that all staged pieces are read before a load is
	// given up for now.
	maxVerifyPasses = 5
	// stagedReaders is the number of concurrent reads after a pass that took too long.
	stagedReaders = 8
)

// errVerificationTimeout reports staged pieces that were not all found valid within maxStagedReadAge.
var errVerificationTimeout = errors.New("the staged pieces were not all valid within the time limit")

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
	ordered, err := l.verifyAndOrder(cache)
	if err != nil || ordered == nil {
		return err
	}
	report, answer := ordered.report, ordered.answer
	l.counters.stagedReadAge.RecordDuration(ordered.readAge)
	l.log.Info("load ordered", zap.String("model", model), zap.Int("version", version), zap.Int("answer", int(answer)),
		zap.Int("running", report.Running), zap.Int("waiting", report.Waiting), zap.Duration("staged-in", stagedAt.Sub(start)),
		zap.Duration("waited", time.Since(stagedAt)), zap.Duration("verified-in", ordered.verifiedIn),
		zap.Duration("read-age", ordered.readAge), zap.Int64("expected", report.AcceptedOrders), zap.Int64("born", report.StartedAt))
	if answer == fuchsiarouter.OrderRefused {
		return errors.New("the engine refused the order")
	}
	_, _ = l.readReport(model)
	return nil
}

// orderedLoad is a load order that the engine has answered.
type orderedLoad struct {
	answer fuchsiarouter.OrderResult
	// report is the one on which the order was based.
	report fuchsiarouter.EngineReport
	// verifiedIn is how long the reads of the staged pieces took, readAge the time from their
	// begin to the answer.
	verifiedIn, readAge time.Duration
}

// verifyAndOrder verifies the staged pieces and orders the engine to load them. It returns nil if the
// engine is busy or has the version already.
func (l *Loader) verifyAndOrder(cache *pieceCache) (*orderedLoad, error) {
	// Opened before the reads, so that the order can't reach a later incarnation of the engine, whose
	// staged pieces were not verified.
	order, err := l.engine.OpenOrder()
	if err != nil {
		return nil, err
	}
	isSent := false
	defer func() {
		if !isSent {
			_ = order.Close()
		}
	}()
	readAt, err := l.verifyStaged(cache)
	if err != nil {
		return nil, err
	}
	report, err := l.readReport(cache.manifest.Model)
	verifiedIn := boottime.Now() - readAt
	switch {
	case err != nil:
		return nil, err
	case report.Busy || report.LoadedVersions[cache.manifest.Model] >= cache.manifest.Version:
		return nil, nil
	case verifiedIn > maxStagedReadAge:
		return nil, errVerificationTimeout
	case l.isStopped():
		return nil, errStopped
	}
	isSent = true
	answer, err := l.calls.startLoad(order, cache, report)
	if err != nil {
		return nil, err
	}
	return &orderedLoad{answer: answer, report: report, verifiedIn: verifiedIn, readAge: boottime.Now() - readAt}, nil
}

// stage stores the pieces that the engine's staging area lacks.
func (l *Loader) stage(cache *pieceCache) error {
	for piece := range cache.manifest.Digests {
		if l.isStopped() {
			return errStopped
		}
		isValid, err := l.isStaged(cache, piece)
		if err == nil && !isValid {
			err = l.stagePiece(cache, piece)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// isStaged reads a piece back from the engine and reports whether it is valid.
func (l *Loader) isStaged(cache *pieceCache, piece int) (bool, error) {
	readAt := time.Now()
	content, err := l.engine.ReadStagedPiece(cache.manifest.Model, piece)
	if err != nil || !cache.verify(piece, content) {
		return false, err
	}
	l.calls.confirmPiece(cache, piece, readAt)
	return true, nil
}

// stagePiece stores a piece that is not valid at the engine, and reads it back.
func (l *Loader) stagePiece(cache *pieceCache, piece int) error {
	if err := l.calls.storePiece(cache, piece); err != nil {
		return err
	}
	isValid, err := l.isStaged(cache, piece)
	if err == nil && !isValid {
		err = errors.Errorf("piece %d is not valid after it was staged", piece)
	}
	return err
}

// verifyStaged reads all staged pieces back right before the load order, and replaces corrupt ones,
// until it finds all of them valid within maxStagedReadAge. The engine loads the staged pieces
// unverified. It returns the boot time at which the reads began.
func (l *Loader) verifyStaged(cache *pieceCache) (time.Duration, error) {
	readers := 1
	for range maxVerifyPasses {
		readAt := boottime.Now()
		replaced, err := l.replaceCorruptStaged(cache, readers, readAt+maxStagedReadAge)
		switch {
		case errors.Is(err, errVerificationTimeout):
			readers = stagedReaders
		case err != nil:
			return 0, err
		case replaced == 0:
			return readAt, nil
		}
		l.log.Info("staged pieces are read again", zap.Int("version", cache.manifest.Version),
			zap.Int64("replaced", replaced), zap.Duration("took", boottime.Now()-readAt))
	}
	return 0, errVerificationTimeout
}

// replaceCorruptStaged reads every staged piece, with a number of concurrent readers, and replaces
// those that are missing or corrupt. It returns how many it has replaced, or errVerificationTimeout if
// it has not ended at the boot time end.
func (l *Loader) replaceCorruptStaged(cache *pieceCache, readers int, end time.Duration) (int64, error) {
	var replaced atomic.Int64
	group, ctx := errgroup.WithContext(context.Background())
	group.SetLimit(readers)
	for piece := range cache.manifest.Digests {
		group.Go(func() error {
			switch {
			case l.isStopped():
				return errStopped
			case ctx.Err() != nil:
				return ctx.Err()
			}
			isValid, err := l.isStaged(cache, piece)
			if err != nil {
				return err
			}
			if !isValid {
				replaced.Add(1)
				l.counters.stagedReplaced.Inc(1)
				l.log.Info("staged piece replaced", zap.Int("piece", piece), zap.Int("version", cache.manifest.Version))
				if err := l.stagePiece(cache, piece); err != nil {
					return err
				}
			}
			if boottime.Now() > end {
				return errVerificationTimeout
			}
			return nil
		})
	}
	err := group.Wait()
	return replaced.Load(), err
}
