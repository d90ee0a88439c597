package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/standin/backendserver"
)

const (
	// minAvailabilityInterval and maxAvailabilityInterval bound the time between two servers that
	// leave or ask for a pause.
	minAvailabilityInterval = 1 * time.Second
	maxAvailabilityInterval = 3 * time.Second
	// leavingBound is the time after an entry has passed on an answer of a leaving server from which
	// no request that a caller sends to the entry may reach that server, drainMs on the platform.
	leavingBound = 2 * time.Second
	// pauseMargin is the time after a server has asked an entry for a pause in which requests may
	// still reach it. After that, maxRequestsInPause may.
	pauseMargin        = 500 * time.Millisecond
	maxRequestsInPause = 2
	// maxPause bounds the pauses that servers ask for.
	maxPause = 4 * time.Second
)

// disturbances holds the times at which something happened to a process or a link that excuses it.
type disturbances struct {
	mu sync.Mutex
	at []time.Time
}

// record adds a disturbance now.
func (d *disturbances) record() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = append(d.at, time.Now())
}

// between reports whether there was a disturbance from one time to another.
func (d *disturbances) between(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.at, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// drawAvailabilityFaults draws the servers that leave without saying so in their registration, and
// those that ask for pauses.
func drawAvailabilityFaults(rng *rand.Rand, settings Settings) []fault {
	var faults []fault
	for at := randomDuration(rng, minAvailabilityInterval, maxAvailabilityInterval); at < settings.FaultWindow; at += randomDuration(rng, minAvailabilityInterval, maxAvailabilityInterval) {
		service, index := []string{"plain", "llm"}[rng.IntN(2)], rng.IntN(serversPerService)
		pause := randomDuration(rng, maxPause/4, maxPause)
		inject := func(ctx context.Context, f *fleet) {
			leaving := f.serverAt(service, index)
			behaviour := normalBehaviour
			behaviour.Leaving = true
			leaving.SetBehaviour(behaviour)
			sleep(ctx, drainTime+leavingBound)
			f.replaceServer(ctx, service, index)
		}
		if rng.IntN(2) == 0 {
			inject = func(ctx context.Context, f *fleet) {
				busy := f.serverAt(service, index)
				behaviour := normalBehaviour
				behaviour.RefuseRequests, behaviour.RetryAfter = true, strconv.FormatFloat(pause.Seconds(), 'f', 3, 64)
				busy.SetBehaviour(behaviour)
				sleep(ctx, pause)
				busy.SetBehaviour(normalBehaviour)
			}
		}
		faults = append(faults, fault{startAfter: at, inject: inject})
	}
	return faults
}

// findAvailabilityViolations returns a description of each request that reached a server which had
// told its entry that it leaves, and of each pause in which a server got requests of an entry. The
// caller holds the lock.
func (f *fleet) findAvailabilityViolations(requests []callerRequest) []string {
	byID := map[string]callerRequest{}
	for _, request := range requests {
		byID[request.requestID] = request
	}
	var violations []string
	for _, server := range f.allServers {
		arrivals := slices.DeleteFunc(server.Arrivals(), func(arrival backendserver.Arrival) bool { return byID[arrival.RequestID].entry == nil })
		slices.SortFunc(arrivals, func(a, b backendserver.Arrival) int { return a.At.Compare(b.At) })
		toldAt := map[*entry]time.Time{}
		for i, arrival := range arrivals {
			request := byID[arrival.RequestID]
			if told, isTold := toldAt[request.entry]; isTold && request.sentAt.After(told.Add(leavingBound)) &&
				!request.entry.disturbances.between(told, request.sentAt) {
				violations = append(violations, fmt.Sprintf("%s reached %s %v after its entry was told that this one leaves",
					request.requestID, server.ID, request.sentAt.Sub(told)))
			}
			if arrival.Behaviour.Leaving && request.succeeded() && (toldAt[request.entry].IsZero() || request.endedAt.Before(toldAt[request.entry])) {
				toldAt[request.entry] = request.endedAt
			}
			violations = append(violations, findPauseViolation(server, request.entry, arrival, arrivals[i+1:], byID)...)
		}
	}
	return violations
}

// findPauseViolation checks the pause that the server asked an entry for in its response to an
// arrival, if any, against the later arrivals.
func findPauseViolation(asking *server, asked *entry, arrival backendserver.Arrival, later []backendserver.Arrival, byID map[string]callerRequest) []string {
	seconds, err := strconv.ParseFloat(cmp.Or(arrival.Behaviour.RetryAfter, "0"), 64)
	end := arrival.At.Add(time.Duration(seconds * float64(time.Second)))
	if err != nil || seconds == 0 || asked.disturbances.between(arrival.At, end) || asking.disturbances.between(arrival.At, end) {
		return nil
	}
	count := 0
	for _, other := range later {
		if byID[other.RequestID].entry == asked && other.At.After(arrival.At.Add(pauseMargin)) && other.At.Before(end) {
			count++
		}
	}
	if count <= maxRequestsInPause {
		return nil
	}
	return []string{fmt.Sprintf("%d requests of %s reached %s in a pause of %vs", count, asked.name, asking.ID, seconds)}
}
