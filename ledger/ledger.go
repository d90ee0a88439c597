// Package ledger lets an entry, a daemon that receives the requests of callers, claim
// non-idempotent calls before it dispatches them.
//
// A Ledger reads the stream "claims" into a claim.Table and appends claims,
// releases and outcomes to that stream. Claim returns only after the ledger has read
// its own record back in the order of the log, so a ledger that lags behind cannot
// decide wrongly. A claim that won is a grant: the entry may dispatch the call to one
// backend server after the other until one of them does not reject it. The entry then
// ends the grant: it records the outcome of the call, or that the outcome is unknown, or it
// releases the key when every backend server rejected the call. The methods for this return
// at once: the ledger answers later sends from memory and keeps appending in the background
// until the log accepts the record.
//
// A claim that the ledger abandoned, because it timed out or its append was
// lost, is never granted. When its record appears in the stream nevertheless,
// the ledger appends a release.
//
// "Did not run" is an answer about every send of a key. While the log does not
// respond, the ledger gives it only for a call that is the first send of its
// key; otherwise it tells the caller to retry with the same key.
package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/claim"
	"github.com/fuchsiarouter/fuchsiarouter/follower"
)

// Stream is the name of the log stream that holds the claims.
const Stream = "claims"

// Defaults of Settings.
const (
	DefaultClaimTimeout      = 2 * time.Second
	DefaultAppendTimeout     = time.Second
	DefaultMaxBatch          = 200
	DefaultMaxInFlight       = 4
	DefaultMinAppendInterval = 2 * time.Millisecond
	DefaultMaxAppendInterval = 2 * time.Second
)

const (
	// maxBatchBodyBytes is the total size of the outcome bodies from which a batch is
	// full, so that the encoded batch stays below platform.MaxRecordBytes.
	maxBatchBodyBytes = 256 << 10
	// suspendDuration is how long claims are rejected without an append after the
	// log was found unavailable, so that an entry tries at most ten appends a second
	// in an outage.
	suspendDuration = 100 * time.Millisecond
	// retryAfter is the time after which callers are told to send a call again.
	retryAfter = time.Second
)

// Settings of a Ledger. A zero field takes its default, except Holder.
type Settings struct {
	// Holder identifies the process of the ledger in its claims.
	Holder claim.Holder
	// Table holds the limits of the table of keys.
	Table claim.Settings
	// ClaimTimeout is how long Claim waits at most for a decision.
	ClaimTimeout time.Duration
	// AppendTimeout limits an append, and the read that looks up the end of the stream
	// after an append without a response.
	AppendTimeout time.Duration
	// MaxBatch limits the records in one append; 1 disables batching.
	MaxBatch int
	// MaxInFlight limits the concurrent appends.
	MaxInFlight int
	// MinAppendInterval and MaxAppendInterval limit the time between two appends.
	// The time grows when the log rejects an append by rate limit, and shrinks with
	// each success.
	MinAppendInterval time.Duration
	MaxAppendInterval time.Duration
	// Follower configures how the stream is read. The ledger sets its Stream.
	Follower follower.Settings
	// IncarnationOf returns the latest known incarnation of the process with the ID,
	// and false when nothing is known about the process, as the default does. A key
	// whose holder has an earlier incarnation is answered with "may have run", because
	// that holder can no longer end its claim. The function runs under the ledger's lock
	// and must not call the ledger.
	IncarnationOf func(id string) (int64, bool)
	// OnError is called with the errors of reads and appends. The default ignores them.
	OnError func(error)
}

// Ledger claims idempotency keys for the calls of one process through the log, and
// records in the log how these calls ended.
type Ledger struct {
	log        fuchsiarouter.Log
	settings   Settings
	follower   *follower.Follower
	cancel     context.CancelFunc
	ctx        context.Context
	goroutines sync.WaitGroup
	// wakeAppender holds a value after enqueue until runAppender looks at appendQueue.
	wakeAppender chan struct{}

	mu    sync.Mutex
	table *claim.Table
	// caughtUp is set once the stream was read to its end.
	caughtUp bool
	// markSent is set when a record of claim.KindMark was queued after retention
	// removed unread records. One such record shows the log's time after the gap.
	markSent bool
	nonces   nonceGenerator
	// pendingByNonce and pendingByKey hold the claims that are not decided.
	pendingByNonce map[claim.Nonce]*pendingClaim
	pendingByKey   map[claim.Key]*pendingClaim
	// grantsByNonce and grantsByKey hold the claims that this ledger won and whose
	// end is not yet in the table.
	grantsByNonce map[claim.Nonce]*grant
	grantsByKey   map[claim.Key]*grant
	appendQueue   []queuedRecord
	// suspendedUntil is the time until which nothing is appended and every claim that
	// needs an append is rejected.
	suspendedUntil time.Time
	// lastAppend is the time at which the last append began, appendInterval the
	// minimum time from then to the next one.
	lastAppend     time.Time
	appendInterval time.Duration
}

// New starts a ledger that reads and appends to the log.
func New(log fuchsiarouter.Log, settings Settings) *Ledger {
	settings = settings.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	ledger := &Ledger{
		log:            log,
		settings:       settings,
		nonces:         newNonceGenerator(),
		cancel:         cancel,
		ctx:            ctx,
		wakeAppender:   make(chan struct{}, 1),
		table:          claim.New(settings.Table),
		pendingByNonce: map[claim.Nonce]*pendingClaim{},
		pendingByKey:   map[claim.Key]*pendingClaim{},
		grantsByNonce:  map[claim.Nonce]*grant{},
		grantsByKey:    map[claim.Key]*grant{},
		appendInterval: settings.MinAppendInterval,
	}
	ledger.follower = follower.New(log, settings.Follower, follower.Handler{
		Apply:   ledger.applyBatch,
		Expired: ledger.handleExpired,
		Failed:  settings.OnError,
	})
	ledger.goroutines.Go(ledger.runAppender)
	return ledger
}

// Close stops the ledger. Records that the log has not accepted are lost: their
// keys stay held, which callers see as "may have run".
func (l *Ledger) Close() {
	l.cancel()
	l.follower.Close()
	l.goroutines.Wait()
}

// IsReady reports whether the ledger has read the stream to its end once and knows
// every claim of keys that are created from now on. Until then it rejects every call
// that it cannot answer from what it has read.
func (l *Ledger) IsReady() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isReady()
}

// isReady is IsReady for callers that hold the lock.
func (l *Ledger) isReady() bool {
	floor, complete := l.table.CompleteAfter()
	return l.caughtUp && complete && time.Now().After(floor)
}

// UnfinishedAppends returns the number of ended grants whose record the ledger has not
// read back from the log, or the number of queued records when that is higher. A
// process that shuts down waits until the number is 0 or the drain deadline has passed.
func (l *Ledger) UnfinishedAppends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, grant := range l.grantsByNonce {
		if grant.ended {
			count++
		}
	}
	return max(count, len(l.appendQueue))
}

// ParseKey parses a key as claim.ParseKey does, at the current time and with the current
// limits of the table. The error is a *result.Error.
func (l *Ledger) ParseKey(text string) (claim.Key, error) {
	l.mu.Lock()
	settings := l.table.Settings()
	l.mu.Unlock()
	return claim.ParseKey(text, time.Now(), settings)
}

// SetWindow changes the age up to which a key is accepted.
func (l *Ledger) SetWindow(window time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.SetWindow(window)
}

func (s Settings) withDefaults() Settings {
	if s.ClaimTimeout <= 0 {
		s.ClaimTimeout = DefaultClaimTimeout
	}
	if s.AppendTimeout <= 0 {
		s.AppendTimeout = DefaultAppendTimeout
	}
	if s.MaxBatch <= 0 {
		s.MaxBatch = DefaultMaxBatch
	}
	if s.MaxInFlight <= 0 {
		s.MaxInFlight = DefaultMaxInFlight
	}
	if s.MinAppendInterval <= 0 {
		s.MinAppendInterval = DefaultMinAppendInterval
	}
	if s.MaxAppendInterval <= 0 {
		s.MaxAppendInterval = DefaultMaxAppendInterval
	}
	if s.IncarnationOf == nil {
		s.IncarnationOf = func(string) (int64, bool) { return 0, false }
	}
	if s.OnError == nil {
		s.OnError = func(error) {}
	}
	s.Follower.Stream = Stream
	return s
}
