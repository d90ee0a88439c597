package soak

import (
	"context"
	"math/rand/v2"
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
)

// drawRestorations draws the restorations of the store from a backup.
func drawRestorations(rng *rand.Rand, settings Settings) []fault {
	var faults []fault
	for at := randomDuration(rng, minRestorationInterval, maxRestorationInterval); at < settings.FaultWindow; at += randomDuration(rng, minRestorationInterval, maxRestorationInterval) {
		outage, age := randomDuration(rng, 0, maxRestorationOutage), randomDuration(rng, 0, maxBackupAge)
		faults = append(faults, fault{startAfter: at, inject: func(ctx context.Context, f *fleet) {
			f.store.SetUnavailable(true)
			sleep(ctx, outage)
			f.restoreStore(age)
			f.store.SetUnavailable(false)
		}})
	}
	return faults
}

// restoreStore restores the store from a backup of the age. The operator and the servers
// then write again what they wrote last.
func (f *fleet) restoreStore(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.Restore(age)
	f.store.Put(keyedstore.TopicOperator, "config", f.configuration)
	for id, registration := range f.registrations {
		f.store.Put(keyedstore.TopicServers, id, registration)
	}
}
