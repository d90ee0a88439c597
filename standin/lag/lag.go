// Package lag implements values that are read with a delay.
//
// The platform's VM list and an engine's load report always lag behind the actual state;
// the stand-ins use a Value to reproduce this. A Value stores recent changes with their
// times, and a reader gets the newest change that is at least as old as the lag.
package lag

import (
	"sync"
	"time"
)

// Value is a value that is read as it was some time before, the lag. The zero Value was
// never set. It is safe for concurrent use.
type Value[T any] struct {
	mu sync.Mutex
	// changes holds the changes in chronological order.
	changes []timedValue[T]
}

// timedValue is a value with the time at which it was set.
type timedValue[T any] struct {
	at    time.Time
	value T
}

// Set records that the value changed at the time now. The time must not be before that of an
// earlier call of Set.
func (v *Value[T]) Set(now time.Time, value T) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.changes = append(v.changes, timedValue[T]{now, value})
}

// Get returns the value as it was at now minus lag, or the zero value if it was not yet
// set then. It discards the changes before the returned one, so a later call must not
// look further back in time.
func (v *Value[T]) Get(now time.Time, lag time.Duration) T {
	v.mu.Lock()
	defer v.mu.Unlock()
	cutoff := now.Add(-lag)
	newest := -1
	for i := len(v.changes) - 1; i >= 0; i-- {
		if !v.changes[i].at.After(cutoff) {
			newest = i
			break
		}
	}
	if newest < 0 {
		var zero T
		return zero
	}
	value := v.changes[newest].value
	v.changes = v.changes[newest:]
	return value
}
