// Package follower reads one stream of the platform's log as it grows. A stream is
// an append-only sequence of records, each with an offset.
//
// A Follower uses long polls and passes batches to its handler in offset order,
// from one goroutine. After an error it waits with exponential back-off and full
// jitter, so that the daemons do not all reconnect at the same moment when the
// log is available again. When the log no longer has the record at the follower's
// position, or the stream ends before it because the stream was replaced by a
// shorter one, a callback returns the offset to continue from.
package follower

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// Defaults of Settings.
const (
	DefaultLimit      = 500
	DefaultWait       = 10 * time.Second
	DefaultMinBackOff = 50 * time.Millisecond
	DefaultMaxBackOff = 2 * time.Second
)

// Settings configures a Follower. A zero field takes its default, except Stream and
// From.
type Settings struct {
	// Stream is the name of the stream to read.
	Stream string
	// From is the first offset to read.
	From int64
	// Limit is the maximum number of records in one read.
	Limit int
	// Wait is how long one read waits for a record at the end of the stream.
	Wait time.Duration
	// MinBackOff and MaxBackOff bound the maximum of the random delay after an
	// error. The maximum is MinBackOff after the first error and doubles with each
	// further one up to MaxBackOff, until a read succeeds.
	MinBackOff time.Duration
	MaxBackOff time.Duration
}

// Handler receives what a Follower reads. Its functions are called one at a time.
type Handler struct {
	// Apply processes the batch of one read. A batch without records means that the
	// follower has reached the end of the stream. Apply has no default.
	Apply func(fuchsiarouter.Batch)
	// Expired is called when the stream has no record at the follower's position,
	// either because the log removed it or because the stream is shorter than it
	// was, and returns the offset to continue from. The default is the offset of
	// the oldest record that the log still has.
	Expired func(*fuchsiarouter.ExpiredError) int64
	// Failed is called with the error of a failed read. The default ignores it.
	Failed func(error)
}

// Follower reads a stream from New until Close.
type Follower struct {
	log      fuchsiarouter.Log
	settings Settings
	handler  Handler
	position atomic.Int64
	cancel   context.CancelFunc
	done     chan struct{}
}

// New starts a follower of the log, which passes what it reads to the handler.
func New(log fuchsiarouter.Log, settings Settings, handler Handler) *Follower {
	settings.Limit = orDefault(settings.Limit, DefaultLimit)
	settings.Wait = orDefault(settings.Wait, DefaultWait)
	settings.MinBackOff = orDefault(settings.MinBackOff, DefaultMinBackOff)
	settings.MaxBackOff = orDefault(settings.MaxBackOff, DefaultMaxBackOff)
	if handler.Expired == nil {
		handler.Expired = func(expired *fuchsiarouter.ExpiredError) int64 { return expired.OldestOffset }
	}
	if handler.Failed == nil {
		handler.Failed = func(error) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	follower := &Follower{
		log:      log,
		settings: settings,
		handler:  handler,
		cancel:   cancel,
		done:     make(chan struct{}),
	}
	follower.position.Store(settings.From)
	go func() {
		defer close(follower.done)
		follower.run(ctx)
	}()
	return follower
}

// Position returns the offset of the next record to read. It moves past the records
// of a batch only after Apply has returned.
func (f *Follower) Position() int64 { return f.position.Load() }

// Close stops the follower and waits until its handler has returned.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}

// run reads batches and passes them to the handler until the context ends.
func (f *Follower) run(ctx context.Context) {
	maxDelay := f.settings.MinBackOff
	// The first read, and the first one after an error or a jump to another
	// offset, does not wait for records, so that the handler learns at once where
	// the stream ends.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		from := f.position.Load()
		batch, err := f.log.Read(ctx, f.settings.Stream, from, f.settings.Limit, wait)
		if ctx.Err() != nil {
			return
		}
		var expired *fuchsiarouter.ExpiredError
		switch {
		case errors.As(err, &expired):
		case err == nil && batch.NextOffset < from:
			expired = &fuchsiarouter.ExpiredError{OldestOffset: batch.OldestOffset, NextOffset: batch.NextOffset}
		case err != nil:
			f.handler.Failed(err)
			wait = 0
			maxDelay = f.backOff(ctx, maxDelay)
			continue
		}
		if expired != nil {
			wait = 0
			next := f.handler.Expired(expired)
			if next == from {
				// A read of the same offset would fail again at once.
				maxDelay = f.backOff(ctx, maxDelay)
			}
			f.position.Store(next)
			continue
		}
		maxDelay, wait = f.settings.MinBackOff, f.settings.Wait
		if count := len(batch.Records); count > 0 {
			from = batch.Records[count-1].Offset + 1
		}
		f.handler.Apply(batch)
		f.position.Store(from)
	}
}

// backOff waits for a random time of at most maxDelay, or until the context ends,
// and returns the maximum for the next delay.
func (f *Follower) backOff(ctx context.Context, maxDelay time.Duration) time.Duration {
	timer := time.NewTimer(rand.N(maxDelay) + 1) //nolint:gosec // Jitter needs no secret source.
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return min(2*maxDelay, f.settings.MaxBackOff)
}

// orDefault returns the value if it is positive, and otherwise the fallback.
func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
