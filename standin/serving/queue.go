package serving

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/rank"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

// Queue is the admission queue of a server: a rank.Queue or a baseline for comparison.
type Queue interface {
	// Push queues a request. It returns a *result.Error if it refuses the request.
	Push(now time.Time, item rank.Item) error
	// Next removes the next request to start from the queue and occupies a slot for it. It
	// returns false if no slot is free or no request may start.
	Next(now time.Time) (rank.Item, bool)
	// Done frees the slot of a request. actualCost is the work done, in the unit of
	// rank.Item.Cost.
	Done(now time.Time, id string, actualCost float64)
	// Remove removes a queued request, or returns false if there is none with the ID.
	Remove(id string) bool
	// Expire removes and returns the queued requests that can no longer end before their
	// deadlines.
	Expire(now time.Time) []rank.Item
	// Preempt returns the ID of a running request that the server must cancel, or false if
	// there is none.
	Preempt(now time.Time) (string, bool)
	// Load returns the load that the agent reports to the entries.
	Load(now time.Time) fuchsiarouter.Load
}

// BaselineQueue is a bounded queue that ignores ranks and weights, to compare rank.Queue
// with. Requests start in the order in which they were queued or, with RoundRobin, one of
// each workspace in turn.
type BaselineQueue struct {
	// Slots is the number of requests that run at the same time.
	Slots int
	// Limit is the maximum number of queued requests.
	Limit      int
	RoundRobin bool

	// waiting holds the queued requests by the key that queueKey returns, keyOrder the keys
	// with queued requests in the order of service.
	waiting  map[string][]rank.Item
	keyOrder []string
	// queued is the number of requests in waiting.
	queued int
	// running holds the IDs of the requests that occupy a slot.
	running map[string]bool
}

// Push implements Queue. It refuses a request if Limit requests are queued.
func (q *BaselineQueue) Push(_ time.Time, item rank.Item) error {
	if q.waiting == nil {
		q.waiting, q.running = map[string][]rank.Item{}, map[string]bool{}
	}
	if q.queued >= q.Limit {
		return result.QueueFull.Error("the queue is full")
	}
	key := q.queueKey(item)
	if len(q.waiting[key]) == 0 {
		q.keyOrder = append(q.keyOrder, key)
	}
	q.waiting[key] = append(q.waiting[key], item)
	q.queued++
	return nil
}

// queueKey returns the key of the FIFO queue that the item belongs to: with RoundRobin its
// workspace, and otherwise the same for all.
func (q *BaselineQueue) queueKey(item rank.Item) string {
	if q.RoundRobin {
		return item.Workspace
	}
	return ""
}

// Next implements Queue. It returns false if nothing is queued or all slots are occupied.
func (q *BaselineQueue) Next(time.Time) (rank.Item, bool) {
	if q.queued == 0 || len(q.running) >= q.Slots {
		return rank.Item{}, false
	}
	key := q.keyOrder[0]
	item := q.waiting[key][0]
	q.keyOrder, q.waiting[key] = q.keyOrder[1:], q.waiting[key][1:]
	if len(q.waiting[key]) > 0 {
		q.keyOrder = append(q.keyOrder, key)
	}
	q.queued--
	q.running[item.ID] = true
	return item, true
}

// Done implements Queue. It frees the slot and ignores the actual cost.
func (q *BaselineQueue) Done(_ time.Time, id string, _ float64) { delete(q.running, id) }

// Remove implements Queue. It does nothing, because the simulated callers never
// disconnect.
func (q *BaselineQueue) Remove(string) bool { return false }

// Expire implements Queue. The baseline ignores deadlines.
func (q *BaselineQueue) Expire(time.Time) []rank.Item { return nil }

// Preempt implements Queue. The baseline does not preempt.
func (q *BaselineQueue) Preempt(time.Time) (string, bool) { return "", false }

// Load implements Queue. It reports no expected wait.
func (q *BaselineQueue) Load(time.Time) fuchsiarouter.Load {
	return fuchsiarouter.Load{Running: len(q.running), Slots: q.Slots, Queued: q.queued}
}
