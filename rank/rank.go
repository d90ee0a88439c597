// Package rank implements the admission queue that an agent, the daemon on the VM of a
// backend server, keeps in front of that server.
//
// A backend server has a number of slots, and each request in progress occupies
// one. When a slot becomes free, the queue selects the next request in three
// levels:
//
//   - Ranks, the priority classes, are served in strict order, the most urgent
//     first. A rank's floor is its guaranteed share of the cost of all started
//     requests. A rank with waiting requests that is below its floor is served
//     before all others until it has caught up.
//   - Within a rank, deficit round robin shares the slots among the workspaces, which
//     are the tenants, by cost in tokens, in proportion to their weights. The cost is
//     estimated at the start and corrected when the request ends.
//   - Within a workspace, requests are served first in, first out.
//
// The queue is work-conserving: no slot stays free while a request waits. The
// exception is an exclusive request, one that runs with no other in progress
// because a backend server has crashed while running it.
//
// When requests of the most urgent rank wait and no slot is free, a preemptible request
// in progress may be cancelled. So may one that delays an exclusive request. A request
// that was started to meet the floor of its rank is not preempted, so the floor is
// guaranteed.
//
// A Queue doesn't read the clock, start goroutines or lock. Calls must be
// serialized by the caller.
package rank

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/document"
)

// Item is a request that waits for a slot or holds one.
type Item struct {
	// ID distinguishes the requests that wait or are in progress.
	ID        string
	Workspace string
	// Weight is the weight of the workspace in the round robin; 0 means 1. It is
	// limited to the range from document.MinWeight to document.MaxWeight.
	Weight float64
	Rank   document.RankName
	// Cost is the estimated work in tokens, at least 1. It must be proportional to
	// the time for which the request occupies its slot.
	Cost float64
	// Deadline is the time by which the request must have ended; the zero time
	// means no deadline.
	Deadline time.Time
	// Preemptible reports whether the request can be cancelled and resumed later.
	// The request is preempted only if its rank is preemptible too.
	Preemptible bool
	// Exclusive requires that the request runs with no other in progress. It is
	// set for a request during which a backend server has crashed.
	Exclusive bool
	// Resumed marks a preempted request that is queued again with its remaining
	// cost. It goes to the front of its workspace's queue, and Push doesn't check
	// the queue limit or the deadline for it.
	Resumed bool
}

// Settings configures a Queue. A field with the zero value takes its default, except
// Slots and Ranks, which have none.
type Settings struct {
	// Slots is the number of requests that the backend server runs concurrently. With
	// 0 no request starts.
	Slots int
	// Ranks holds the floors of the ranks and which of them are preemptible. A rank
	// that isn't listed has no floor and isn't preemptible.
	Ranks []document.Rank
	// QueueLimit is the maximum number of waiting requests in each rank.
	QueueLimit int
	// TokensPerSecond is the initial estimate of the throughput of one slot.
	// Requests that have ended update it.
	TokensPerSecond float64
	// ExclusiveDrainDelay is how long an exclusive request waits for a server without
	// requests in progress before the queue stops starting other requests. The time
	// begins anew when another exclusive request ends.
	ExclusiveDrainDelay time.Duration
}

// Defaults of Settings.
const (
	DefaultQueueLimit          = 256
	DefaultTokensPerSecond     = 30.0
	DefaultExclusiveDrainDelay = time.Second
)

func (s Settings) withDefaults() Settings {
	if s.QueueLimit <= 0 {
		s.QueueLimit = DefaultQueueLimit
	}
	if s.TokensPerSecond <= 0 {
		s.TokensPerSecond = DefaultTokensPerSecond
	}
	if s.ExclusiveDrainDelay <= 0 {
		s.ExclusiveDrainDelay = DefaultExclusiveDrainDelay
	}
	return s
}
