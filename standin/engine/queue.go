package engine

import (
	"container/heap"
	"context"
	"sync"
)

// Queue grants slots to requests in order of priority, lowest number first, and within a
// priority in order of arrival.
type Queue struct {
	mu           sync.Mutex
	slots        int
	running      int   // slots in use
	nextSequence int64 // sequence number of the next waiter
	waiting      waiters
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	sequence int64         // order of arrival
	granted  chan struct{} // closed when the waiter gets a slot
	index    int           // position in the heap; -1 when the waiter has left the heap
}

// NewQueue returns a queue that grants at most the given number of slots at a time.
func NewQueue(slots int) *Queue { return &Queue{slots: slots} }

// Acquire waits for a slot. If the context ends first, it returns the error of the
// context and holds no slot.
func (q *Queue) Acquire(ctx context.Context, priority int) error {
	q.mu.Lock()
	if q.running < q.slots && len(q.waiting) == 0 {
		q.running++
		q.mu.Unlock()
		return nil
	}
	w := &waiter{priority: priority, sequence: q.nextSequence, granted: make(chan struct{})}
	q.nextSequence++
	heap.Push(&q.waiting, w)
	q.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index < 0 {
		// The slot was granted when the context ended, so it has to be released.
		q.release()
	} else {
		heap.Remove(&q.waiting, w.index)
	}
	return ctx.Err()
}

// Release gives up a slot that Acquire granted and passes it on to the next waiter.
func (q *Queue) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.release()
}

// release passes the slot on to the next waiter, if any. The caller holds the lock.
func (q *Queue) release() {
	if len(q.waiting) == 0 {
		q.running--
		return
	}
	next, _ := heap.Pop(&q.waiting).(*waiter)
	close(next.granted)
}

// Load returns the number of slots in use and of waiting requests.
func (q *Queue) Load() (running, queued int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting)
}

// waiters implements heap.Interface, with the next waiter to get a slot on top.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].sequence < w[j].sequence
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

func (w *waiters) Push(x any) {
	added, _ := x.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

func (w *waiters) Pop() any {
	last := (*w)[len(*w)-1]
	last.index = -1
	*w = (*w)[:len(*w)-1]
	return last
}
