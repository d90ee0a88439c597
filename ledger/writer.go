package ledger

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/claim"
	"github.com/fuchsiarouter/fuchsiarouter/platform"
)

// queuedRecord is a record to append.
type queuedRecord struct {
	record claim.Record
	// pending is the claim that the record makes. It is nil for any other record, whose
	// append is retried until the log accepts it.
	pending *pendingClaim
}

const (
	// intervalGrowth multiplies the append interval after a rejection by rate limit,
	// intervalShrink after a success. They let the appends of all entries converge to
	// the rate limit of the log with one rejection in ten. A growth of 2 overshot: the
	// 95th percentile of the call times in a burst was up to 567 ms instead of 84 ms.
	intervalGrowth = 1.1
	intervalShrink = 0.99
	// minRejectedInterval is the minimum append interval right after a rejection by
	// rate limit.
	minRejectedInterval = 5 * time.Millisecond
)

// enqueue queues records to append. The caller must hold the lock.
func (l *Ledger) enqueue(records ...queuedRecord) {
	l.appendQueue = append(l.appendQueue, records...)
	select {
	case l.wakeAppender <- struct{}{}:
	default:
	}
}

// runAppender appends the queued records until the ledger is closed. A batch
// takes the records that were queued while earlier appends were in progress, up to the
// limits of nextBatch, so batches grow with the load.
func (l *Ledger) runAppender() {
	slots := make(chan struct{}, l.settings.MaxInFlight)
	for {
		select {
		case <-l.wakeAppender:
		case <-l.ctx.Done():
			return
		}
		for {
			if !l.sleep(l.untilNextAppend()) {
				return
			}
			select {
			case slots <- struct{}{}:
			case <-l.ctx.Done():
				return
			}
			batch := l.nextBatch()
			if len(batch) == 0 {
				<-slots
				break
			}
			l.goroutines.Go(func() {
				defer func() { <-slots }()
				l.appendBatch(batch)
			})
		}
	}
}

// untilNextAppend returns the time until the next append is allowed. It is not positive
// when an append is allowed now.
func (l *Ledger) untilNextAppend() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(time.Until(l.lastAppend.Add(l.appendInterval)), time.Until(l.suspendedUntil))
}

// sleep waits for the duration. It returns false at once when the ledger is closed.
func (l *Ledger) sleep(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// nextBatch removes the next batch from the queue and returns it. A batch has at most
// MaxBatch records and is full once its outcome bodies reach maxBatchBodyBytes together.
// Claims that were resolved while they were queued are dropped, because their calls are
// never dispatched. nextBatch sets lastAppend to the current time, unless the batch is
// empty.
func (l *Ledger) nextBatch() []queuedRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	var batch []queuedRecord
	bodyBytes := 0
	for len(l.appendQueue) > 0 && len(batch) < l.settings.MaxBatch && bodyBytes < maxBatchBodyBytes {
		next := l.appendQueue[0]
		l.appendQueue[0] = queuedRecord{}
		l.appendQueue = l.appendQueue[1:]
		if next.pending != nil && l.pendingByNonce[next.record.Nonce] == nil {
			continue
		}
		if next.record.Outcome != nil {
			bodyBytes += len(next.record.Outcome.Body)
		}
		batch = append(batch, next)
	}
	if len(batch) > 0 {
		l.lastAppend = time.Now()
	}
	return batch
}

// appendBatch appends a batch as one log record and adapts the append interval. When the log
// rejects the append by rate limit, the whole batch is queued again; when the log is
// unavailable, the claims of the batch are rejected, its other records are queued again, and
// appends are suspended for suspendDuration. After any other error the record may be in the
// log (see recoverLostAppend).
func (l *Ledger) appendBatch(batch []queuedRecord) {
	records := make([]claim.Record, 0, len(batch))
	for _, queued := range batch {
		records = append(records, queued.record)
	}
	data, err := claim.Encode(records)
	if err == nil {
		ctx, cancel := context.WithTimeout(l.ctx, l.settings.AppendTimeout)
		defer cancel()
		_, err = l.log.Append(ctx, Stream, string(batch[0].record.Nonce), data)
	}
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.appendInterval = max(l.settings.MinAppendInterval, time.Duration(float64(l.appendInterval)*intervalShrink))
		return
	}
	l.settings.OnError(err)
	switch {
	case errors.Is(err, platform.ErrRateLimited):
		l.mu.Lock()
		defer l.mu.Unlock()
		l.appendInterval = min(l.settings.MaxAppendInterval, max(minRejectedInterval, time.Duration(float64(l.appendInterval)*intervalGrowth)))
		l.requeue(batch, true)
	case errors.Is(err, platform.ErrUnavailable):
		l.mu.Lock()
		defer l.mu.Unlock()
		l.suspendedUntil = time.Now().Add(suspendDuration)
		for _, queued := range batch {
			if queued.pending != nil {
				l.resolve(queued.pending, Answer{}, unavailableError(queued.pending.call))
			}
		}
		l.requeue(batch, false)
	default:
		l.recoverLostAppend(batch)
	}
}

// requeue puts the records of the batch back at the head of the queue. It leaves out
// those that make claims unless withClaims is set. The caller must hold the lock.
func (l *Ledger) requeue(batch []queuedRecord, withClaims bool) {
	var retries []queuedRecord
	for _, queued := range batch {
		if queued.pending == nil || withClaims {
			retries = append(retries, queued)
		}
	}
	rest := l.appendQueue
	l.appendQueue = nil
	l.enqueue(append(retries, rest...)...)
}

// recoverLostAppend looks up the end of the stream after an append that got no response, so
// that its record may or may not be in the log. It queues the other records of the batch
// again. The claims of the batch are rejected when the follower reaches that end without
// seeing their records, or when they time out if the end could not be read. They are not
// appended again, because a rejected claim must not be granted later. If the end could not be
// read, appends are also suspended for suspendDuration.
func (l *Ledger) recoverLostAppend(batch []queuedRecord) {
	l.mu.Lock()
	position := max(0, l.table.NextOffset())
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, l.settings.AppendTimeout)
	defer cancel()
	read, err := l.log.Read(ctx, Stream, position, 1, 0)
	if err != nil {
		l.settings.OnError(errors.Wrap(err, "read the end of the stream after a lost append"))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.suspendedUntil = time.Now().Add(suspendDuration)
	} else {
		for _, queued := range batch {
			if queued.pending != nil {
				queued.pending.endOffset = read.NextOffset
			}
		}
		l.rejectMissing()
	}
	l.requeue(batch, false)
}
