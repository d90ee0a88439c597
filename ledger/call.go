package ledger

import (
	"context"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/claim"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

// Call is one send of a non-idempotent call. A caller may send a call several times
// with the same key.
type Call struct {
	Key claim.Key
	// Fingerprint identifies the workspace, path and body of the request.
	Fingerprint string
	// FirstSend is set when the caller never sent the key before.
	FirstSend bool
}

// Answer is the result of Claim: a grant, or the outcome of an earlier send.
type Answer struct {
	// Nonce identifies the grant; it is empty when there is an outcome.
	Nonce   claim.Nonce
	Outcome claim.Outcome
}

// pendingClaim is a claim that is not decided yet.
type pendingClaim struct {
	call  Call
	nonce claim.Nonce
	// baseOffset is the offset up to which the ledger had read the stream when the call
	// arrived.
	baseOffset int64
	// done is closed when answer and err are set.
	done chan struct{}
	// endOffset is the offset before which the record must appear in the stream. It
	// is negative unless the response to the append was lost.
	endOffset int64
	answer    Answer
	err       error
}

// grant is a claim that this ledger won and whose release or outcome the ledger has not
// read back from the log.
type grant struct {
	call  Call
	nonce claim.Nonce
	// ended is set when the entry has ended the grant.
	ended bool
	// outcome is nil while the grant is not ended and when it was released.
	outcome *claim.Outcome
}

// Claim decides whether the call may be dispatched: it may when the answer has a nonce.
// Claim waits until the claim is decided, for at most Settings.ClaimTimeout and not after
// the context ends or the ledger is closed. The error is a *result.Error.
func (l *Ledger) Claim(ctx context.Context, call Call) (Answer, error) {
	l.mu.Lock()
	answer, decided, err := l.decideLocally(call)
	if decided {
		l.mu.Unlock()
		return answer, err
	}
	if !l.isReady() || time.Now().Before(l.suspendedUntil) {
		l.mu.Unlock()
		return Answer{}, unavailableError(call)
	}
	pending := &pendingClaim{
		call:       call,
		nonce:      l.nonces.next(),
		baseOffset: l.table.NextOffset(),
		done:       make(chan struct{}),
		endOffset:  -1,
	}
	l.pendingByNonce[pending.nonce] = pending
	l.pendingByKey[call.Key] = pending
	l.enqueue(queuedRecord{pending: pending, record: claim.Record{
		Kind:        claim.KindClaim,
		Key:         call.Key,
		Nonce:       pending.nonce,
		Holder:      l.settings.Holder,
		Fingerprint: call.Fingerprint,
		Base:        pending.baseOffset,
	}})
	l.mu.Unlock()

	timer := time.NewTimer(l.settings.ClaimTimeout)
	defer timer.Stop()
	select {
	case <-pending.done:
	case <-timer.C:
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resolve(pending, Answer{}, unavailableError(call))
	return pending.answer, pending.err
}

// RecordOutcome ends the grant with the response of the backend server. The ledger
// keeps the body, so the caller must not modify it.
func (l *Ledger) RecordOutcome(nonce claim.Nonce, outcome claim.Outcome) {
	l.endGrant(nonce, limitBody(outcome))
}

// RecordUnknownOutcome ends the grant of a call that was dispatched and got no response.
func (l *Ledger) RecordUnknownOutcome(nonce claim.Nonce) { l.endGrant(nonce, &claim.Outcome{}) }

// Release ends the grant of a call that did not run and will not run.
func (l *Ledger) Release(nonce claim.Nonce) { l.endGrant(nonce, nil) }

// endGrant ends a grant with an outcome, or with a release when the outcome is nil, and
// queues the record for the log. It does nothing for a grant that is unknown or has ended.
func (l *Ledger) endGrant(nonce claim.Nonce, outcome *claim.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	grant, ok := l.grantsByNonce[nonce]
	if !ok || grant.ended {
		return
	}
	grant.ended = true
	grant.outcome = outcome
	l.enqueue(grant.endRecord(l.settings.Holder))
}

// endRecord returns the record that ends the grant in the log.
func (g *grant) endRecord(holder claim.Holder) queuedRecord {
	record := claim.Record{
		Kind:    claim.KindRelease,
		Key:     g.call.Key,
		Nonce:   g.nonce,
		Holder:  holder,
		Outcome: g.outcome,
	}
	if g.outcome != nil {
		record.Kind = claim.KindOutcome
		record.Fingerprint = g.call.Fingerprint
	}
	return queuedRecord{record: record}
}

// decideLocally returns the answer to a call that can be decided without appending a
// claim. Otherwise decided is false. The caller must hold the lock.
func (l *Ledger) decideLocally(call Call) (answer Answer, decided bool, err error) {
	if _, issued := call.Key.IssuerID(); issued {
		// Only the issuer decides the key, from its memory.
		return Answer{}, true, result.MayHaveRun.Error("the process that issued this key is not known")
	}
	if grant, ok := l.grantsByKey[call.Key]; ok {
		switch {
		case grant.call.Fingerprint != call.Fingerprint:
			return Answer{}, true, keyReusedError()
		case !grant.ended:
			return Answer{}, true, stillRunningError("the call with this key is in progress")
		case grant.outcome == nil:
			// The key was held until now, so no other send of it has run.
			return Answer{}, true, notRunError()
		default:
			answer, err = answerFromOutcome(*grant.outcome)
			return answer, true, err
		}
	}
	if pending, ok := l.pendingByKey[call.Key]; ok {
		if pending.call.Fingerprint != call.Fingerprint {
			return Answer{}, true, keyReusedError()
		}
		return Answer{}, true, stillRunningError("another send of this key is being decided")
	}
	info := l.table.Lookup(call.Key)
	switch {
	case info.State == claim.Free:
		return Answer{}, false, nil
	case info.State == claim.Expired:
		return Answer{}, true, keyExpiredError()
	case info.Fingerprint != call.Fingerprint:
		return Answer{}, true, keyReusedError()
	case info.State == claim.Done:
		answer, err = answerFromOutcome(info.Outcome)
		return answer, true, err
	case l.hasRestarted(info.Holder):
		return Answer{}, true, result.MayHaveRun.Error("the process that held this key has restarted")
	default:
		return Answer{}, true, stillRunningError("the call with this key is held by " + info.Holder.ID)
	}
}

// hasRestarted reports whether a newer incarnation of the holder is known.
func (l *Ledger) hasRestarted(holder claim.Holder) bool {
	if own := l.settings.Holder; holder.ID == own.ID {
		return holder.Incarnation < own.Incarnation
	}
	incarnation, ok := l.settings.IncarnationOf(holder.ID)
	return ok && holder.Incarnation < incarnation
}

// limitBody returns the outcome without its body when that is too large to store.
func limitBody(outcome claim.Outcome) *claim.Outcome {
	if len(outcome.Body) > claim.MaxOutcomeBody {
		outcome.Body = nil
		outcome.Omitted = true
	}
	return &outcome
}

// answerFromOutcome returns the answer to a call whose key has an outcome. The error
// is a *result.Error: the call ran, or may have run, and its response is not available.
func answerFromOutcome(outcome claim.Outcome) (Answer, error) {
	switch {
	case outcome.Status == 0:
		return Answer{}, result.MayHaveRun.Error("the call was dispatched and its answer was lost")
	case outcome.Omitted:
		return Answer{}, result.MayHaveRun.Error("the call ran and its answer is no longer kept")
	default:
		return Answer{Outcome: outcome}, nil
	}
}

// keyExpiredError returns the result for a key of which earlier claims may have been
// forgotten.
func keyExpiredError() *result.Error {
	return result.KeyExpired.Error("the claims of the key's time are no longer known")
}

func keyReusedError() *result.Error {
	return result.KeyReused.Error("the idempotency key belongs to another request")
}

func stillRunningError(message string) *result.Error {
	err := result.StillRunning.Error(message)
	err.RetryAfter = retryAfter
	return err
}

// notRunError returns the result for a call that certainly did not run. It tells the
// caller to send the call again.
func notRunError() *result.Error {
	err := result.LogUnavailable.Error("the log did not take the claim")
	err.RetryAfter = retryAfter
	return err
}

// unavailableError returns the error of a call whose claim could not be decided.
// An earlier send of its key may have run through another entry, so the error
// says "did not run" only for the first send.
func unavailableError(call Call) *result.Error {
	if call.FirstSend {
		return notRunError()
	}
	err := result.OutcomeUnknown.Error("the log does not answer, and an earlier send of this key may have run")
	err.RetryAfter = retryAfter
	return err
}
