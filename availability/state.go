// Package availability keeps what backend servers say about further requests: that they leave and
// take none any more, or that they take none from this daemon for a while.
//
// What a server says holds for its incarnation, one run of its process. A Tracker remembers it
// while the server's registration is missing, and knows nothing of the next incarnation at the same
// address. A State is what one incarnation has said. It is consulted for each request and each
// candidate, so that takes constant time and allocates nothing:
//
//	tracker := availability.New()
//	state := tracker.Pause(now, server, 2*time.Second)
//	state.Takes(now, inFlight) // false, for two seconds
//
// The package doesn't read the clock, start goroutines or lock. Calls must be serialized by the
// caller.
package availability

import (
	"math/rand/v2"
	"time"
)

const (
	// MaxPause bounds a pause, since a server in trouble may state any time.
	MaxPause = time.Hour
	// maxReturnJitter bounds the random time that is added to a pause, returnJitterShare as a share
	// of the pause, so that the daemons that were asked at the same time don't return together.
	maxReturnJitter   = 500 * time.Millisecond
	returnJitterShare = 0.2
	// firstAllowance is the number of requests that a server may have in flight from this daemon
	// after a pause. Each completed request doubles it, up to fullAllowance, from which on there is
	// no limit.
	firstAllowance = 1
	fullAllowance  = 16
)

// State is what an incarnation of a backend server has said. Nil stands for a server that has said
// nothing.
type State struct {
	leaving bool
	// leavingSince is the time at which it was marked as leaving.
	leavingSince time.Time
	// pausedUntil is the end of the last pause, and allowance the number of requests that may be in
	// flight after it, 0 without a limit.
	pausedUntil time.Time
	allowance   int
	// markedAt orders the states by age.
	markedAt uint64
}

// IsLeaving reports whether the server takes no further requests at all.
func (s *State) IsLeaving() bool { return s != nil && s.leaving }

// IsPaused reports whether the server takes no requests of this daemon now, but will again.
func (s *State) IsPaused(now time.Time) bool { return s != nil && now.Before(s.pausedUntil) }

// PausedUntil returns the end of the last pause, zero if there was none.
func (s *State) PausedUntil() time.Time {
	if s == nil {
		return time.Time{}
	}
	return s.pausedUntil
}

// Takes reports whether the server may be sent a request while it has the given number of this
// daemon's requests in flight.
func (s *State) Takes(now time.Time, inFlight int) bool {
	return s == nil || !s.leaving && !now.Before(s.pausedUntil) && (s.allowance == 0 || inFlight < s.allowance)
}

// RecordCompleted records that the server has run a request to its end.
func (s *State) RecordCompleted(now time.Time) {
	if s == nil || s.allowance == 0 || now.Before(s.pausedUntil) {
		return
	}
	if s.allowance *= 2; s.allowance >= fullAllowance {
		s.allowance = 0
	}
}

// pause extends the pause to the given duration from now. An earlier pause that ends later stays.
func (s *State) pause(now time.Time, duration time.Duration) {
	duration = min(duration, MaxPause)
	if duration <= 0 {
		return
	}
	jitter := min(time.Duration(float64(duration)*returnJitterShare), maxReturnJitter)
	until := now.Add(duration + time.Duration(rand.Int64N(int64(jitter)+1)))
	if until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	s.allowance = firstAllowance
}
