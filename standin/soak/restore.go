package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
)

const (
	// minRestorationInterval and maxRestorationInterval bound the time between two restorations
	// of the store.
	minRestorationInterval = 500 * time.Millisecond
	maxRestorationInterval = 8 * time.Second
	// maxRestorationOutage bounds how long the store is unavailable before a restoration, and
	// maxBackupAge the age of the backup.
	maxRestorationOutage = 2 * time.Second
	maxBackupAge         = 8 * time.Second
	// maxRewriteDelay bounds the time from the return of the store until lost records are written
	// again, maxRestartLead how long before the return an entry is killed and maxRestartDelay how long
	// after it the entry starts.
	maxRewriteDelay = 2 * time.Second
	maxRestartLead  = 500 * time.Millisecond
	maxRestartDelay = time.Second
	// restartStream is the stream of random numbers from which what happens around a restoration is
	// drawn, so that it does not change the other faults of a seed.
	restartStream = 1 << 32
)

// drawRestorations draws the restorations of the store from a backup.
func drawRestorations(rng *rand.Rand, settings Settings) []fault {
	var faults []fault
	around := rand.New(rand.NewPCG(settings.Seed, restartStream))
	for at := randomDuration(rng, minRestorationInterval, maxRestorationInterval); at < settings.FaultWindow; at += randomDuration(rng, minRestorationInterval, maxRestorationInterval) {
		outage, age := randomDuration(rng, 0, maxRestorationOutage), randomDuration(rng, 0, maxBackupAge)
		rewriteAfter, restarted := randomDuration(around, 0, maxRewriteDelay), around.IntN(settings.Entries+1)
		lead, delay := randomDuration(around, 0, maxRestartLead), randomDuration(around, 0, maxRestartDelay)
		faults = append(faults, fault{startAfter: at, inject: func(ctx context.Context, f *fleet) {
			f.store.SetUnavailable(true)
			sleep(ctx, max(outage-lead, 0))
			if restarted < len(f.entries) {
				f.entries[restarted].kill()
			}
			sleep(ctx, min(lead, outage))
			f.store.Restore(age)
			f.store.SetUnavailable(false)
			var starting sync.WaitGroup
			if restarted < len(f.entries) {
				starting.Go(func() {
					sleep(ctx, delay)
					_ = f.entries[restarted].start()
				})
			}
			sleep(ctx, rewriteAfter)
			f.writeAgain()
			starting.Wait()
		}})
	}
	return faults
}

// writeAgain writes what the operator and the servers wrote last, which a restoration may have lost.
func (f *fleet) writeAgain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.Put(keyedstore.TopicOperator, "config", f.configuration)
	for id, registration := range f.registrations {
		f.store.Put(keyedstore.TopicServers, id, registration)
	}
}
