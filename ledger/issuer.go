package ledger

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/claim"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

// Issuer issues idempotency keys and decides their claims in memory, without the
// log.
//
// A key contains the ID of the incarnation that issued it, and no other process
// decides the claims of that key. A call with such a key is served even while the log
// is down. The state is lost with the process: a repeated send after that gets the
// answer "may have run".
type Issuer struct {
	holder claim.Holder
	id     claim.IssuerID

	mu     sync.Mutex
	table  *claim.Table
	nonces nonceGenerator
	// grantedCalls holds the calls whose grant has not ended.
	grantedCalls map[claim.Nonce]Call
	// lastMillis is the Unix time in ms of the newest key, keysInMillis the number
	// of earlier keys of that millisecond.
	lastMillis   int64
	keysInMillis uint32
}

const (
	// counterBits is the size of the counter of keys in a millisecond, in the lowest
	// bits of a key's number, which has numberBits bits. The other bits are random so
	// that other callers cannot guess a key.
	counterBits = 12
	numberBits  = 26
)

// NewIssuer returns an issuer for one incarnation of a process.
func NewIssuer(holder claim.Holder, settings claim.Settings) *Issuer {
	return &Issuer{
		holder:       holder,
		id:           claim.IssuerIDOf(holder),
		table:        claim.New(settings),
		nonces:       newNonceGenerator(),
		grantedCalls: map[claim.Nonce]Call{},
	}
}

// Issue returns a new key.
func (i *Issuer) Issue() claim.Key {
	i.mu.Lock()
	defer i.mu.Unlock()
	// The time of keys never decreases, so the counter keeps them distinct.
	ms := max(time.Now().UnixMilli(), i.lastMillis)
	if i.keysInMillis++; ms > i.lastMillis {
		i.keysInMillis = 0
	} else if i.keysInMillis == 1<<counterBits {
		ms, i.keysInMillis = ms+1, 0
	}
	i.lastMillis = ms
	var random [4]byte
	// Read never returns an error: it crashes the process when no randomness is
	// available.
	_, _ = rand.Read(random[:])
	number := binary.BigEndian.Uint32(random[:])<<counterBits | i.keysInMillis
	return claim.NewIssuedKey(i.id, time.UnixMilli(ms), number&(1<<numberBits-1))
}

// Owns reports whether this issuer issued the key and therefore decides it.
func (i *Issuer) Owns(key claim.Key) bool {
	id, issued := key.IssuerID()
	return issued && id == i.id
}

// Offset returns the offset from which a claim that begins now counts.
func (i *Issuer) Offset() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.table.NextOffset()
}

// Claim decides whether the call may be dispatched, like Ledger.Claim. The call begins at the
// offset, which Offset returned before the call was sent to this process. It is not
// dispatched if its key was released since, because another send of the key was then
// answered "did not run". The error is a *result.Error.
func (i *Issuer) Claim(call Call, offset int64) (Answer, error) {
	if !i.Owns(call.Key) {
		return Answer{}, result.MayHaveRun.Error("the process that issued this key is not known")
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	nonce := i.nonces.next()
	decision := i.applyRecord(claim.Record{
		Kind:        claim.KindClaim,
		Key:         call.Key,
		Nonce:       nonce,
		Holder:      i.holder,
		Fingerprint: call.Fingerprint,
		Base:        offset,
	})
	info := i.table.Lookup(call.Key)
	switch {
	case decision == claim.Won:
		i.grantedCalls[nonce] = call
		return Answer{Nonce: nonce}, nil
	case decision == claim.Void:
		return Answer{}, notRunError()
	case decision != claim.Lost:
		return Answer{}, keyExpiredError()
	case info.Fingerprint != call.Fingerprint:
		return Answer{}, keyReusedError()
	case info.State == claim.Done:
		return answerFromOutcome(info.Outcome)
	default:
		return Answer{}, stillRunningError("the call with this key is in progress")
	}
}

// RecordOutcome ends the grant with the response of the backend server. The issuer
// keeps the body, so the caller must not modify it.
func (i *Issuer) RecordOutcome(nonce claim.Nonce, outcome claim.Outcome) {
	i.endGrant(nonce, claim.KindOutcome, limitBody(outcome))
}

// RecordUnknownOutcome ends the grant of a call that was dispatched and got no response.
func (i *Issuer) RecordUnknownOutcome(nonce claim.Nonce) {
	i.endGrant(nonce, claim.KindOutcome, &claim.Outcome{})
}

// Release ends the grant of a call that did not run and will not run.
func (i *Issuer) Release(nonce claim.Nonce) { i.endGrant(nonce, claim.KindRelease, nil) }

// endGrant ends a grant with a release, or with an outcome when the kind is KindOutcome. The
// record goes directly to the table, so the grant ends at once. A grant that is unknown or
// has ended is ignored.
func (i *Issuer) endGrant(nonce claim.Nonce, kind claim.Kind, outcome *claim.Outcome) {
	i.mu.Lock()
	defer i.mu.Unlock()
	call, ok := i.grantedCalls[nonce]
	if !ok {
		return
	}
	delete(i.grantedCalls, nonce)
	i.applyRecord(claim.Record{
		Kind: kind, Key: call.Key, Nonce: nonce, Holder: i.holder,
		Fingerprint: call.Fingerprint, Outcome: outcome,
	})
}

// applyRecord applies a record at the current time and the next offset.
func (i *Issuer) applyRecord(record claim.Record) claim.Decision {
	return i.table.ApplyRecord(i.table.NextOffset(), time.Now(), record)
}
