package experiment

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/platform"
)

// logState is the fault state of the log.
type logState int

const (
	// logUp is a log without a fault.
	logUp logState = iota
	// logDown is a log that fails all appends and reads.
	logDown
	// logSlow is a log that takes up to 3 s longer for an append.
	logSlow
	// logLossy is a log that loses the answers to some appends. Half of these
	// appends take effect.
	logLossy
	// logDelayed is a log that loses the answers to some appends. Most of these
	// appends take effect up to 40 s later, the others never.
	logDelayed
)

const (
	// Latencies of an append and of a read without faults.
	logAppendLatency = 5 * time.Millisecond
	logReadLatency   = time.Millisecond
	// logRetention is the age at which the log drops a record.
	logRetention = 90 * time.Second
	// logAppendRate is the limit of appends a second. The log is specified for
	// "several hundred appends a second".
	logAppendRate = 300
	// logAppendBurst is the number of appends that the log accepts at once after
	// a pause.
	logAppendBurst = 30
)

// claimLog is an in-memory log with one stream and injected faults, for use under
// virtual time.
type claimLog struct {
	mu     sync.Mutex
	random *rand.Rand
	state  logState
	// firstOffset is the offset of the first of the records; earlier ones have
	// expired.
	firstOffset int64
	records     []fuchsiarouter.Record
	// changed is closed and replaced when a record is added or the state changes.
	changed chan struct{}
	// appends counts the appends that the rate limit admitted, refused those that
	// it refused.
	appends int
	refused int
	// tokens is the content of the token bucket that limits appends.
	tokens     float64
	refilledAt time.Time
}

// newClaimLog returns an empty log without a fault.
func newClaimLog(seed uint64) *claimLog {
	return &claimLog{
		random:     rand.New(rand.NewPCG(seed, 1)),
		changed:    make(chan struct{}),
		tokens:     logAppendBurst,
		refilledAt: time.Now(),
	}
}

// setState changes the fault state and wakes waiting readers, so that their reads
// fail if the log is now down.
func (l *claimLog) setState(state logState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	l.notifyReaders()
}

// notifyReaders wakes waiting readers. The caller holds the lock.
func (l *claimLog) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// nextOffset returns the offset of the next record. The caller holds the lock.
func (l *claimLog) nextOffset() int64 { return l.firstOffset + int64(len(l.records)) }

// appendRecord adds a record and drops expired ones. The caller holds the lock.
func (l *claimLog) appendRecord(data []byte) {
	now := time.Now()
	l.records = append(l.records, fuchsiarouter.Record{Offset: l.nextOffset(), Time: now, Data: data})
	expired := 0
	for l.records[expired].Time.Before(now.Add(-logRetention)) {
		expired++
	}
	l.firstOffset += int64(expired)
	l.records = l.records[expired:]
	l.notifyReaders()
}

// appendLater adds a record after a delay, whatever the state of the log is then.
func (l *claimLog) appendLater(delay time.Duration, data []byte) {
	time.AfterFunc(delay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.appendRecord(data)
	})
}

// randomDuration returns a random duration below the limit. The caller holds the
// lock.
func (l *claimLog) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(l.random.Int64N(int64(limit)))
}

// Append implements fuchsiarouter.Log for the only stream, and ignores the nonce. It
// fails, takes longer or loses its answer as the fault state says, and refuses
// records beyond the rate limit. Of the records that it adds at once, 0.2% are added
// a second time up to 20 s later, whatever the fault state.
func (l *claimLog) Append(ctx context.Context, _, _ string, data []byte) (int64, error) {
	sleepContext(ctx, logAppendLatency)
	l.mu.Lock()
	slowDelay := time.Duration(0)
	if l.state == logSlow {
		slowDelay = l.randomDuration(3 * time.Second)
	}
	l.mu.Unlock()
	isConnected := sleepContext(ctx, slowDelay)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == logDown {
		return 0, errors.Wrap(platform.ErrUnavailable, "append")
	}
	now := time.Now()
	l.tokens = min(logAppendBurst, l.tokens+logAppendRate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	if l.tokens < 1 {
		l.refused++
		return 0, errors.Wrap(platform.ErrRateLimited, "append")
	}
	l.tokens--
	l.appends++
	chance := l.random.Float64()
	switch {
	case l.state == logLossy && chance < 0.3, l.state == logDelayed && chance < 0.1:
		return 0, errors.Wrap(platform.ErrResponseLost, "append")
	case l.state == logDelayed && chance < 0.6:
		l.appendLater(l.randomDuration(40*time.Second), data)
		return 0, errors.Wrap(platform.ErrResponseLost, "append")
	}
	l.appendRecord(data)
	if l.random.Float64() < 0.002 {
		// The record is appended a second time.
		l.appendLater(l.randomDuration(20*time.Second), data)
	}
	if l.state == logLossy && chance < 0.6 || !isConnected {
		return 0, errors.Wrap(platform.ErrResponseLost, "append")
	}
	return l.nextOffset() - 1, nil
}

// Read implements fuchsiarouter.Log for the only stream. Of the fault states, only
// logDown affects it.
func (l *claimLog) Read(ctx context.Context, _ string, from int64, limit int, wait time.Duration) (fuchsiarouter.Batch, error) {
	sleepContext(ctx, logReadLatency)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for timedOut := wait == 0; ; {
		l.mu.Lock()
		batch := fuchsiarouter.Batch{OldestOffset: l.firstOffset, NextOffset: l.nextOffset()}
		changed, fault := l.changed, l.state
		if from >= l.firstOffset && from < batch.NextOffset {
			records := l.records[from-l.firstOffset:]
			batch.Records = append(batch.Records, records[:min(limit, len(records))]...)
		}
		l.mu.Unlock()
		switch {
		case fault == logDown:
			return fuchsiarouter.Batch{}, errors.Wrap(platform.ErrUnavailable, "read")
		case from < batch.OldestOffset:
			return batch, &fuchsiarouter.ExpiredError{OldestOffset: batch.OldestOffset, NextOffset: batch.NextOffset}
		case timedOut || len(batch.Records) > 0:
			return batch, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

// sleepContext sleeps for the duration or until the context is done, and reports
// whether it slept for the whole duration. With a duration of 0 or less it reports
// whether the context is not done.
func sleepContext(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
