package experiment

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/claim"
)

const (
	// claimEntryCount is the number of simulated entries.
	claimEntryCount = 6
	// faultMargin is the time after a fault in which calls still count as
	// affected.
	faultMargin = 3 * time.Second
	// Phases with and without faults alternate and last faultPhaseDuration each.
	faultPhaseDuration = 10 * time.Second
	// faultInterval is the time between the starts of two faults in a phase.
	faultInterval = time.Second
	// allEntries is the value of faultWindow.entry for a fault of the log, which
	// affects all entries.
	allEntries = -1
)

// faultWindow is the time in which a fault affects calls, including faultMargin
// after its end. It is a fault of the entry with the number entry, or of the log
// if that is allEntries.
type faultWindow struct {
	entry    int
	from, to time.Time
}

// claimFleet holds the simulated entries, the log and the service that they
// share, and the windows of the injected faults.
type claimFleet struct {
	mode claimMode
	// maxBatch limits the records that an entry's ledger writes in one append; 1
	// disables batching.
	maxBatch int
	log      *claimLog
	service  *claimService
	seed     uint64

	mu sync.Mutex
	// entries holds the current incarnation of each entry.
	entries      []*claimEntry
	faultWindows []faultWindow
	// running counts the callers, calls and faults in progress.
	running sync.WaitGroup
}

// newClaimFleet starts claimEntryCount entries and gives them a second of virtual
// time to read the log.
func newClaimFleet(mode claimMode, maxBatch int, seed uint64) *claimFleet {
	fleet := &claimFleet{
		mode: mode, maxBatch: maxBatch, seed: seed,
		log: newClaimLog(seed), service: newClaimService(seed),
	}
	for index := range claimEntryCount {
		holder := claim.Holder{ID: "entry-" + strconv.Itoa(index), Incarnation: 1}
		fleet.entries = append(fleet.entries, newClaimEntry(fleet, holder))
	}
	time.Sleep(time.Second)
	return fleet
}

// close waits for everything in progress and ends the entries.
func (f *claimFleet) close() {
	f.running.Wait()
	for _, entry := range f.entries {
		entry.close()
	}
}

// entry returns the current incarnation of an entry.
func (f *claimFleet) entry(index int) *claimEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[index]
}

// incarnationOf returns the current incarnation of the entry with the ID, as the
// membership view of every entry shows it, or false if there is no such entry.
func (f *claimFleet) incarnationOf(id string) (int64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, entry := range f.entries {
		if entry.holder.ID == id {
			return entry.holder.Incarnation, true
		}
	}
	return 0, false
}

// issuerOf returns the entry incarnation that issued a key, or false if that
// incarnation has been killed.
func (f *claimFleet) issuerOf(key claim.Key) (*claimEntry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, entry := range f.entries {
		if entry.issuer.Owns(key) && entry.killed.Err() == nil {
			return entry, true
		}
	}
	return nil, false
}

// recordFault records a fault of an entry, or of the log if entry is allEntries,
// that begins now and lasts for the duration.
func (f *claimFleet) recordFault(entry int, duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.faultWindows = append(f.faultWindows, faultWindow{entry: entry, from: now, to: now.Add(duration + faultMargin)})
}

// overlapsFault reports whether the window of a fault of the log or of one of the
// entries with the given numbers overlaps the interval.
func (f *claimFleet) overlapsFault(entries map[int]bool, from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, window := range f.faultWindows {
		isAffected := window.entry == allEntries || entries[window.entry]
		if isAffected && window.from.Before(to) && from.Before(window.to) {
			return true
		}
	}
	return false
}

// injectFaults alternates phases without and with faults for the duration,
// beginning with one without. A phase that has begun runs to its end.
func (f *claimFleet) injectFaults(duration time.Duration) {
	random := rand.New(rand.NewPCG(f.seed, 3))
	for begin := time.Now(); time.Since(begin) < duration; {
		time.Sleep(faultPhaseDuration)
		for range faultPhaseDuration / faultInterval {
			f.injectFault(random)
			time.Sleep(faultInterval)
		}
	}
}

// injectFault records and begins a fault of random duration: it kills, freezes or
// cuts off a random entry, or changes the state of the log. It returns before the
// fault ends; a killed entry is then restarted, and the log is up again.
func (f *claimFleet) injectFault(random *rand.Rand) {
	index := random.IntN(claimEntryCount)
	entry := f.entry(index)
	randomBetween := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	switch chance := random.Float64(); {
	case chance < 0.2:
		// Kill the entry and restart it later.
		downtime := randomBetween(time.Second, 4*time.Second)
		// After the restart, the ledger may refuse claims for DefaultMaxClockSkew,
		// because it cannot read the records that the log has dropped.
		f.recordFault(index, downtime+claim.DefaultMaxClockSkew)
		entry.close()
		f.running.Go(func() {
			time.Sleep(downtime)
			f.restartEntry(index)
		})
	case chance < 0.45:
		// Freeze the entry.
		lasts := randomBetween(200*time.Millisecond, 8*time.Second)
		f.recordFault(index, lasts)
		entry.mu.Lock()
		defer entry.mu.Unlock()
		entry.frozenUntil = time.Now().Add(lasts)
	case chance < 0.7:
		// Cut the entry off from the log.
		lasts := randomBetween(500*time.Millisecond, 6*time.Second)
		f.recordFault(index, lasts)
		entry.mu.Lock()
		defer entry.mu.Unlock()
		entry.cutOffUntil = time.Now().Add(lasts)
	default:
		// Give the log a random fault state.
		lasts := randomBetween(500*time.Millisecond, 4*time.Second)
		f.recordFault(allEntries, lasts)
		f.log.setState(logDown + logState(random.IntN(int(logDelayed))))
		f.running.Go(func() {
			time.Sleep(lasts)
			f.log.setState(logUp)
		})
	}
}

// restartEntry starts the next incarnation of an entry that was killed. It does
// nothing if the current incarnation is alive.
func (f *claimFleet) restartEntry(index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.entries[index]
	if old.killed.Err() == nil {
		return
	}
	holder := old.holder
	holder.Incarnation++
	f.entries[index] = newClaimEntry(f, holder)
}

// runLogOutage takes the log down for a duration.
func (f *claimFleet) runLogOutage(duration time.Duration) {
	f.recordFault(allEntries, duration)
	f.log.setState(logDown)
	sleepContext(context.Background(), duration)
	f.log.setState(logUp)
}
