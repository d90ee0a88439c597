package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/claim"
	"github.com/fuchsiarouter/fuchsiarouter/ledger"
	"github.com/fuchsiarouter/fuchsiarouter/platform"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

// claimMode is the way in which entries prevent a call from running twice.
type claimMode int

const (
	// modeUnprotected is the baseline: an entry dispatches every call that
	// arrives.
	modeUnprotected claimMode = iota
	// modeLoggedClaims is for idempotency keys that callers create: an entry claims
	// the key of a call in the platform's log before it dispatches the call.
	modeLoggedClaims
	// modeIssuedKeys is for idempotency keys that entries issue: the entry that issued
	// the key decides from memory whether to dispatch the call.
	modeIssuedKeys
)

const (
	// claimWindow is the age up to which entries accept an idempotency key, counted from
	// the creation time that the key contains.
	claimWindow = time.Minute
	// maxDispatchAttempts is how many backend servers an entry tries when they
	// refuse a call.
	maxDispatchAttempts = 3
)

// errConnectionBroken is the error of a caller whose entry was killed before it
// answered.
var errConnectionBroken = errors.New("connection broken")

// claimEntry is one incarnation of a simulated entry, from its start until it is
// killed. It decides claims with the real code of package ledger: a Ledger or an
// Issuer. Its steps check for the injected faults: a killed entry ends at its next
// step, a frozen entry waits before each step, and the log calls of an entry that
// is cut off fail.
type claimEntry struct {
	// holder identifies this incarnation of the entry in claims and issued keys.
	holder  claim.Holder
	mode    claimMode
	log     *claimLog
	service *claimService
	// ledger is set only in modeLoggedClaims, issuer only in modeIssuedKeys.
	ledger *ledger.Ledger
	issuer *ledger.Issuer
	// killed is canceled by kill when the entry is killed.
	killed context.Context
	kill   context.CancelFunc

	mu sync.Mutex
	// frozenUntil is the end of a freeze, cutOffUntil the end of a loss of the
	// connection to the log.
	frozenUntil time.Time
	cutOffUntil time.Time
}

// newClaimEntry starts an entry with a ledger, an issuer of keys or neither, as the
// mode of the fleet requires.
func newClaimEntry(f *claimFleet, holder claim.Holder) *claimEntry {
	entry := &claimEntry{holder: holder, mode: f.mode, log: f.log, service: f.service}
	entry.killed, entry.kill = context.WithCancel(context.Background())
	settings := claim.Settings{Window: claimWindow}
	switch f.mode {
	case modeUnprotected:
	case modeLoggedClaims:
		entry.ledger = ledger.New(entry, ledger.Settings{
			Holder: holder, Table: settings, MaxBatch: f.maxBatch, IncarnationOf: f.incarnationOf,
		})
	case modeIssuedKeys:
		entry.issuer = ledger.NewIssuer(holder, settings)
	}
	return entry
}

// close kills the entry and closes its ledger of idempotency keys, if it has one.
func (e *claimEntry) close() {
	e.kill()
	if e.ledger != nil {
		e.ledger.Close()
	}
}

// waitWhileFrozen waits while the entry is frozen, and returns false if the entry
// has been killed.
func (e *claimEntry) waitWhileFrozen() bool {
	for {
		e.mu.Lock()
		wait := time.Until(e.frozenUntil)
		e.mu.Unlock()
		if wait <= 0 {
			return e.killed.Err() == nil
		}
		if !sleepContext(e.killed, wait) {
			return false
		}
	}
}

// checkLogLink waits while the entry is frozen. If the entry is then cut off from
// the log, it returns an error after one more second.
func (e *claimEntry) checkLogLink(ctx context.Context) error {
	e.waitWhileFrozen()
	e.mu.Lock()
	wait := time.Until(e.cutOffUntil)
	e.mu.Unlock()
	if wait > 0 {
		sleepContext(ctx, time.Second)
		return errors.Wrap(platform.ErrResponseLost, "entry is cut off from the log")
	}
	return nil
}

// Append implements fuchsiarouter.Log over the entry's connection to the log.
func (e *claimEntry) Append(ctx context.Context, stream, nonce string, data []byte) (int64, error) {
	if err := e.checkLogLink(ctx); err != nil {
		return 0, err
	}
	offset, err := e.log.Append(ctx, stream, nonce, data)
	if err := e.checkLogLink(ctx); err != nil {
		return 0, err
	}
	return offset, err
}

// Read implements fuchsiarouter.Log over the entry's connection to the log.
func (e *claimEntry) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (fuchsiarouter.Batch, error) {
	if err := e.checkLogLink(ctx); err != nil {
		return fuchsiarouter.Batch{}, err
	}
	batch, err := e.log.Read(ctx, stream, from, limit, wait)
	if err := e.checkLogLink(ctx); err != nil {
		return fuchsiarouter.Batch{}, err
	}
	return batch, err
}

// claim decides as the mode of the entry requires whether the entry may dispatch
// the call. If it may, the answer has a nonce, which identifies the grant, that is,
// the permission to dispatch the call; otherwise it has the outcome of an earlier
// run.
func (e *claimEntry) claim(call ledger.Call) (ledger.Answer, error) {
	switch e.mode {
	case modeLoggedClaims:
		if _, err := e.ledger.ParseKey(call.Key.String()); err != nil {
			return ledger.Answer{}, err
		}
		return e.ledger.Claim(e.killed, call)
	case modeIssuedKeys:
		return e.issuer.Claim(call, e.issuer.Offset())
	default:
		return ledger.Answer{Nonce: "plain"}, nil
	}
}

// endGrant ends the grant with the nonce by the result of the dispatch: with the
// outcome if the service answered, as released if it refused the call, and as
// unknown if the connection was lost. Without protection there are no grants.
func (e *claimEntry) endGrant(nonce claim.Nonce, outcome claim.Outcome, dispatched dispatchResult) {
	var grants interface {
		RecordOutcome(claim.Nonce, claim.Outcome)
		RecordUnknownOutcome(claim.Nonce)
		Release(claim.Nonce)
	}
	switch e.mode {
	case modeLoggedClaims:
		grants = e.ledger
	case modeIssuedKeys:
		grants = e.issuer
	default:
		return
	}
	switch dispatched {
	case dispatchAnswered:
		grants.RecordOutcome(nonce, outcome)
	case dispatchRefused:
		grants.Release(nonce)
	case dispatchLost:
		grants.RecordUnknownOutcome(nonce)
	}
}

// serve handles one send of a call: it claims the call, dispatches it to the
// service if the claim is granted, again after a refusal up to maxDispatchAttempts
// times in total, ends the grant and returns the outcome. It returns
// errConnectionBroken when the entry was killed.
func (e *claimEntry) serve(call ledger.Call) (claim.Outcome, error) {
	if !e.waitWhileFrozen() {
		return claim.Outcome{}, errConnectionBroken
	}
	arrivedAt := time.Now()
	answer, err := e.claim(call)
	if !e.waitWhileFrozen() {
		return claim.Outcome{}, errConnectionBroken
	}
	if err != nil || answer.Nonce == "" {
		return answer.Outcome, err
	}
	var outcome claim.Outcome
	dispatched := dispatchRefused
	for try := 0; try < maxDispatchAttempts && dispatched == dispatchRefused; try++ {
		outcome, dispatched = e.service.run(call.Key, arrivedAt)
		if !e.waitWhileFrozen() {
			return claim.Outcome{}, errConnectionBroken
		}
	}
	e.endGrant(answer.Nonce, outcome, dispatched)
	switch dispatched {
	case dispatchRefused:
		return claim.Outcome{}, result.QueueFull.Error("all servers refused the call")
	case dispatchLost:
		return claim.Outcome{}, result.MayHaveRun.Error("connection to the server lost")
	default:
		return outcome, nil
	}
}
