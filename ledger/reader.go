package ledger

import (
	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/claim"
)

// applyBatch applies a batch of the stream to the table, and to the pending claims and grants
// of this ledger. At the end of the stream it sets caughtUp and, if records were missed and
// none has been read since, queues a mark.
func (l *Ledger) applyBatch(batch fuchsiarouter.Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range batch.Records {
		for _, decision := range l.table.Apply(record.Offset, record.Time, record.Data) {
			l.handleDecision(decision)
		}
	}
	if l.table.NextOffset() >= batch.NextOffset {
		l.caughtUp = true
		if _, complete := l.table.CompleteAfter(); !complete && !l.markSent {
			// When retention has removed all records of the stream, only a new record
			// shows the time after which the table knows every claim.
			l.markSent = true
			l.enqueue(queuedRecord{record: claim.Record{Kind: claim.KindMark, Nonce: l.nonces.next()}})
		}
	}
	l.rejectMissing()
}

// handleExpired continues after records that retention has removed, and returns the
// offset to continue from. The records of pending claims may be among the removed ones, so
// these claims are rejected and released. So may the records that end grants, which are
// therefore appended again.
func (l *Ledger) handleExpired(expired *fuchsiarouter.ExpiredError) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.SkipTo(expired.OldestOffset)
	l.markSent = false
	for _, pending := range l.pendingByNonce {
		l.resolve(pending, Answer{}, unavailableError(pending.call))
		l.enqueueRelease(pending.call.Key, pending.nonce)
	}
	for _, grant := range l.grantsByNonce {
		if grant.ended {
			l.enqueue(grant.endRecord(l.settings.Holder))
		}
	}
	return expired.OldestOffset
}

// handleDecision acts on the decision about a record of this ledger and ignores the records
// of other ledgers. It resolves the pending claim of the record, with a grant if the claim
// won, releases a claim that won after it was abandoned or that is too old, and removes a
// grant whose end has been read. The caller must hold the lock.
func (l *Ledger) handleDecision(decision claim.RecordDecision) {
	record := decision.Record
	if !l.nonces.isOwn(record.Nonce) {
		return
	}
	if record.Kind != claim.KindClaim {
		if grant, ok := l.grantsByNonce[record.Nonce]; ok && grant.ended {
			delete(l.grantsByNonce, record.Nonce)
			delete(l.grantsByKey, record.Key)
		}
		return
	}
	pending, isPending := l.pendingByNonce[record.Nonce]
	switch decision.Decision {
	case claim.Won:
		if !isPending {
			// The claim was abandoned before its record was read.
			l.enqueueRelease(record.Key, record.Nonce)
			return
		}
		grant := &grant{call: pending.call, nonce: record.Nonce}
		l.grantsByNonce[record.Nonce] = grant
		l.grantsByKey[record.Key] = grant
		l.resolve(pending, Answer{Nonce: record.Nonce}, nil)
	case claim.TooOld:
		if isPending {
			l.resolve(pending, Answer{}, keyExpiredError())
		}
		l.enqueueRelease(record.Key, record.Nonce)
	case claim.Lost, claim.Void:
		if !isPending {
			return
		}
		delete(l.pendingByKey, record.Key)
		answer, decided, err := l.decideLocally(pending.call)
		if !decided {
			err = unavailableError(pending.call)
		}
		l.resolve(pending, answer, err)
	default:
		// A repeated record; the first one with this nonce decided the claim.
	}
}

// rejectMissing rejects the claims whose append got no response and whose record
// did not appear before the end of the stream. The caller must hold the lock.
func (l *Ledger) rejectMissing() {
	for _, pending := range l.pendingByNonce {
		if pending.endOffset >= 0 && l.table.NextOffset() >= pending.endOffset {
			l.resolve(pending, Answer{}, unavailableError(pending.call))
		}
	}
}

// resolve sets the answer or the error of a pending claim unless it was resolved before.
// A call without a grant is never dispatched. The caller must hold the lock.
func (l *Ledger) resolve(pending *pendingClaim, answer Answer, err error) {
	if l.pendingByNonce[pending.nonce] != pending {
		return
	}
	delete(l.pendingByNonce, pending.nonce)
	if l.pendingByKey[pending.call.Key] == pending {
		delete(l.pendingByKey, pending.call.Key)
	}
	pending.answer, pending.err = answer, err
	close(pending.done)
}

// enqueueRelease queues a release for a claim whose call is never dispatched. The
// caller must hold the lock.
func (l *Ledger) enqueueRelease(key claim.Key, nonce claim.Nonce) {
	l.enqueue(queuedRecord{record: claim.Record{
		Kind:   claim.KindRelease,
		Key:    key,
		Nonce:  nonce,
		Holder: l.settings.Holder,
	}})
}
