package mirror

import (
	"runtime"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
)

const (
	// runCheckInterval is the interval at which a runCheck reads the clock.
	runCheckInterval = 20 * time.Millisecond
	// maxRunGap is the longest time between two of these readings in which the process counts as
	// running. A read takes up to six turns of the process, so with gaps of this length an answer
	// that arrives after 4 ms is still read within the timeout of 700 ms.
	maxRunGap = 100 * time.Millisecond
	// maxRunDelayShare is the largest share of a read by which the readings may be late in total. A
	// process that gets less processor time may have missed the answer.
	maxRunDelayShare = 0.25
)

// countStart is a lower bound of the moment from which the time of a version counts that the copy
// lacks. The time counts only while the registry is undisturbed, so the bound is the later one of
// the last moment at which the topic is known to have lacked the version and the last disturbance
// of the registry, if the time cannot have passed before that disturbance.
type countStart struct {
	// deadline is the time that has to pass. If it is 0, disturbances don't count.
	deadline time.Duration

	mu sync.Mutex
	// at is the bound as a boot time, or catalog.UnknownTime, and absentUntil what it would be
	// without disturbances.
	at, absentUntil time.Duration
	// restoredAt is the boot time of the last read that showed a restoration of the registry.
	restoredAt time.Duration
}

// recordAbsence records that the topic had no record at the boot time that the copy lacks.
func (c *countStart) recordAbsence(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at, c.absentUntil = max(c.at, at), max(c.absentUntil, at)
}

// recordDisturbance records that the registry was disturbed at some moment between two boot times.
// It has no effect if a version that was declared right after the bound can have been due by then.
func (c *countStart) recordDisturbance(from, to time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if to-c.at < c.deadline && from >= c.restoredAt {
		c.at = max(c.at, from)
	}
}

// recordRestoration takes back what the disturbances since the last known absence have changed, at
// the boot time of a read that shows a restoration of the registry. The registry may refuse reads that
// were sent before, which is no disturbance for a version that was declared earlier and is written
// again.
func (c *countStart) recordRestoration(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at, c.restoredAt = c.absentUntil, at
}

// bound returns the bound.
func (c *countStart) bound() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

// countedFrom returns the earliest boot time from which the time of a version may count whose
// record is in the batch, or catalog.UnknownTime.
func (b *topicBatch) countedFrom(record fuchsiarouter.KeyedRecord) time.Duration {
	return max(b.recordWrittenAt(record), b.lackedUntil())
}

// lackedUntil returns the earliest boot time from which the time of any version may count that the
// copy lacked before the read, or catalog.UnknownTime. The own bound does not hold for what another
// daemon relays, since the registry may refuse the own reads only.
func (b *topicBatch) lackedUntil() time.Duration {
	if b.Relayed {
		return b.unchangedUntil
	}
	return max(b.unchangedUntil, b.countStart)
}

// recordReadError records a disturbance of the registry if the error of a read of the registry that
// was sent and ended at the given boot times proves one. ran says whether the process was running
// all the time. A refusal proves it even if not, because it was sent after the read.
func (m *Mirror) recordReadError(err error, sentAt, endedAt time.Duration, ran bool) {
	var unavailable *fuchsiarouter.UnavailableError
	if errors.As(err, &unavailable) && (unavailable.Refused || ran) {
		m.countStart.recordDisturbance(sentAt, endedAt)
	}
}

// runCheck checks whether the process is running all the time, by reading the clock at short
// intervals.
type runCheck struct {
	ended  chan time.Duration
	result chan bool
}

// startRunCheck starts a check at the boot time.
func startRunCheck(clock func() time.Duration, startedAt time.Duration) *runCheck {
	check := &runCheck{ended: make(chan time.Duration), result: make(chan bool, 1)}
	go func() {
		ticker := time.NewTicker(runCheckInterval)
		defer ticker.Stop()
		last, longest, delay := startedAt, time.Duration(0), time.Duration(0)
		record := func(now time.Duration) {
			longest, delay = max(longest, now-last), delay+max(now-last-runCheckInterval, 0)
			last = now
		}
		for {
			select {
			case <-ticker.C:
				// A goroutine that a timer wakes runs before those that a connection has
				// woken. After this call it runs behind them, so that the gap shows how
				// late they are.
				runtime.Gosched()
				record(clock())
			case endedAt := <-check.ended:
				record(endedAt)
				check.result <- longest <= maxRunGap && float64(delay) <= maxRunDelayShare*float64(endedAt-startedAt)
				return
			}
		}
	}()
	return check
}

// end ends the check at the boot time and reports whether the process was running all the time.
func (r *runCheck) end(endedAt time.Duration) bool {
	r.ended <- endedAt
	return <-r.result
}

// newCountStart returns a bound that is not known yet.
func newCountStart(deadline time.Duration) countStart {
	return countStart{deadline: deadline, at: catalog.UnknownTime, absentUntil: catalog.UnknownTime, restoredAt: catalog.UnknownTime}
}
