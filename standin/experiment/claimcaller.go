package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/claim"
	"github.com/fuchsiarouter/fuchsiarouter/ledger"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

const (
	// callerTimeout is how long a caller waits for the answer to one send.
	callerTimeout = 3 * time.Second
	// callerPatience is how long a caller keeps sending its call, counted from its
	// start.
	callerPatience = 40 * time.Second
	// callerNetworkDelay is the delay between a caller and an entry in one
	// direction.
	callerNetworkDelay = 3 * time.Millisecond
	// hedgedShare is the fraction of the callers that send their call to two
	// entries at once; repeatedShare is the fraction that send it again after
	// they have the answer, at most maxRepeatDelay later.
	hedgedShare    = 0.02
	repeatedShare  = 0.02
	maxRepeatDelay = 70 * time.Second
)

// claimCaller is a caller with one call that must not run twice.
type claimCaller struct {
	fleet  *claimFleet
	random *rand.Rand
	call   ledger.Call

	// startedAt and duration are set by run: when it started, and how long it
	// took until the caller had an answer or gave up.
	startedAt time.Time
	duration  time.Duration
	// answered is set when the caller got the result of the call.
	answered bool
	// outcomeUnknown is set when the caller was told not to send the call again,
	// so that it does not know whether the call ran.
	outcomeUnknown bool
	// triedEntries are the numbers of the entries that the caller sent to. It
	// leaves out the second entry of a hedged call.
	triedEntries map[int]bool
}

// newClaimCaller returns a caller whose random choices depend on its number.
func newClaimCaller(fleet *claimFleet, number uint64) *claimCaller {
	return &claimCaller{
		fleet:        fleet,
		random:       rand.New(rand.NewPCG(fleet.seed, 1000+number)),
		triedEntries: map[int]bool{},
	}
}

// run sends the call, to a random entry each time, until it has an answer, is told
// not to send the call again or has run out of callerPatience. In modeIssuedKeys it
// first requests an idempotency key for the call.
func (c *claimCaller) run() {
	c.startedAt = time.Now()
	defer func() { c.duration = time.Since(c.startedAt) }()
	index := c.random.IntN(claimEntryCount)
	c.call = ledger.Call{Key: c.newClientKey(time.Now()), Fingerprint: "redeem"}
	if c.fleet.mode == modeIssuedKeys {
		for !c.requestIssuedKey(index) {
			index = c.random.IntN(claimEntryCount)
			if time.Since(c.startedAt) > callerPatience {
				return
			}
		}
	}
	hedged := c.random.Float64() < hedgedShare
	for first := true; time.Since(c.startedAt) < callerPatience; first = false {
		call := c.call
		call.FirstSend = first && !hedged
		if hedged && first {
			c.fleet.running.Go(func() { _, _ = c.send((index+1)%claimEntryCount, call) })
		}
		c.triedEntries[index] = true
		answer, err := c.send(index, call)
		if err == nil {
			c.answered = true
			c.fleet.service.checkAnswer(c.call.Key, answer.Body)
			return
		}
		wait := time.Duration(c.random.Int64N(int64(200 * time.Millisecond)))
		var failed *result.Error
		if errors.As(err, &failed) {
			if failed.Code.Retry == result.RetryNo && c.fleet.mode != modeUnprotected {
				c.outcomeUnknown = true
				return
			}
			wait += failed.RetryAfter
		}
		time.Sleep(wait)
		index = c.random.IntN(claimEntryCount)
	}
}

// repeat sends the call again after a random time below maxRepeatDelay, for
// repeatedShare of the callers that have their answer, and checks that the second
// answer belongs to the call too. In modeUnprotected it does nothing.
func (c *claimCaller) repeat() {
	if !c.answered || c.fleet.mode == modeUnprotected || c.random.Float64() >= repeatedShare {
		return
	}
	time.Sleep(time.Duration(c.random.Int64N(int64(maxRepeatDelay))))
	if outcome, err := c.send(c.random.IntN(claimEntryCount), c.call); err == nil {
		c.fleet.service.checkAnswer(c.call.Key, outcome.Body)
	}
}

// requestIssuedKey asks the entry with the index to issue an idempotency key for
// the call, and reports whether the entry did.
func (c *claimCaller) requestIssuedKey(index int) bool {
	c.triedEntries[index] = true
	time.Sleep(2 * callerNetworkDelay)
	entry := c.fleet.entry(index)
	if entry.killed.Err() != nil || time.Until(entry.frozenUntil) > 0 {
		time.Sleep(time.Duration(c.random.Int64N(int64(200 * time.Millisecond))))
		return false
	}
	c.call.Key = entry.issuer.Issue()
	return true
}

// send sends the call once, to the entry with the index, and waits for the answer
// for at most callerTimeout. In modeIssuedKeys that entry forwards the call to the
// one that issued the key. An answer that the call did not run is recorded at the
// service.
func (c *claimCaller) send(index int, call ledger.Call) (claim.Outcome, error) {
	time.Sleep(callerNetworkDelay)
	entry := c.fleet.entry(index)
	if entry.killed.Err() != nil {
		return claim.Outcome{}, errConnectionBroken
	}
	if c.fleet.mode == modeIssuedKeys {
		// The entry forwards the call to the entry that issued the key.
		owner, ok := c.fleet.issuerOf(call.Key)
		if !ok {
			return claim.Outcome{}, result.MayHaveRun.Error("the entry that issued the key is not running")
		}
		entry = owner
	}
	type reply struct {
		outcome claim.Outcome
		err     error
	}
	replies := make(chan reply, 1)
	c.fleet.running.Go(func() {
		outcome, err := entry.serve(call)
		replies <- reply{outcome: outcome, err: err}
	})
	timer := time.NewTimer(callerTimeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		var failed *result.Error
		if errors.As(reply.err, &failed) && failed.Code.Ran == result.RanNo {
			// Only an answer that reaches the caller counts. The caller sends
			// again only after it stopped waiting here.
			c.fleet.service.recordNotRun(call.Key)
		}
		time.Sleep(callerNetworkDelay)
		return reply.outcome, reply.err
	case <-timer.C:
		return claim.Outcome{}, errors.New("no answer within the timeout")
	case <-entry.killed.Done():
		return claim.Outcome{}, errConnectionBroken
	}
}

// newClientKey returns an idempotency key as callers create them: a UUIDv7 with
// the given time and bits from the caller's random source.
func (c *claimCaller) newClientKey(now time.Time) claim.Key {
	var key claim.Key
	for index := 8; index < len(key); index++ {
		key[index] = byte(c.random.Uint32())
	}
	for index, ms := 5, now.UnixMilli(); index >= 0; index-- {
		key[index] = byte(ms)
		ms >>= 8
	}
	key[6], key[8] = 0x70, key[8]&0x3f|0x80
	return key
}
