package agent

import (
	"sync"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/rank"
)

// queue connects the scheduling decisions of rank.Queue to the goroutines that
// wait for them. An item is a call that waits for a slot or holds one, that is, the
// right to run one request at the engine. The ID of an item is that of its task.
type queue struct {
	mu        sync.Mutex
	rankQueue *rank.Queue
	// startSignals holds, for each waiting item, the channel that is closed when it
	// starts. cancelFuncs holds the functions set by onPreempt.
	startSignals map[string]chan struct{}
	cancelFuncs  map[string]func()
}

// newQueue returns an empty queue.
func newQueue(settings rank.Settings) *queue {
	return &queue{
		rankQueue:    rank.New(settings),
		startSignals: map[string]chan struct{}{},
		cancelFuncs:  map[string]func(){},
	}
}

// push adds an item and returns a channel that is closed when the item starts. It
// fails when the queue refuses the item.
func (q *queue) push(item rank.Item) (<-chan struct{}, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.rankQueue.Push(time.Now(), item); err != nil {
		return nil, err
	}
	start := make(chan struct{})
	q.startSignals[item.ID] = start
	q.startAndPreempt()
	return start, nil
}

// removeWaiting removes an item that has not started, and reports whether it was
// still waiting. An item that has started must be ended with finish.
func (q *queue) removeWaiting(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, isWaiting := q.startSignals[id]; !isWaiting {
		return false
	}
	delete(q.startSignals, id)
	q.rankQueue.Remove(id)
	q.startAndPreempt()
	return true
}

// onPreempt sets the function that cancels the item when urgent work needs its
// slot.
func (q *queue) onPreempt(id string, cancel func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cancelFuncs[id] = cancel
}

// finish ends an item that has started and frees its slot. cost is the number of
// tokens that it used.
func (q *queue) finish(id string, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.cancelFuncs, id)
	q.rankQueue.Done(time.Now(), id, cost)
	q.startAndPreempt()
}

// setSlots sets the number of items that may run at the same time.
func (q *queue) setSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rankQueue.SetSlots(slots)
	q.startAndPreempt()
}

// setRanks sets the configured ranks, the priority classes of requests.
func (q *queue) setRanks(ranks []document.Rank) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rankQueue.SetRanks(ranks)
	q.startAndPreempt()
}

// load returns the load for heartbeats and answers.
func (q *queue) load() fuchsiarouter.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.rankQueue.Load(time.Now())
}

// startAndPreempt starts the items that may start and cancels those that rank.Queue
// preempts. The caller holds the lock.
func (q *queue) startAndPreempt() {
	now := time.Now()
	for {
		item, ok := q.rankQueue.Next(now)
		if !ok {
			break
		}
		close(q.startSignals[item.ID])
		delete(q.startSignals, item.ID)
	}
	for {
		id, ok := q.rankQueue.Preempt(now)
		if !ok {
			return
		}
		if cancel := q.cancelFuncs[id]; cancel != nil {
			cancel()
		}
	}
}
