package experiment

import (
	"container/heap"
	"time"
)

// eventQueue runs scheduled events in virtual time, which starts at 0 and jumps
// from event to event.
type eventQueue struct {
	now     time.Duration
	lastSeq int64
	events  eventHeap
}

// event is a function to run at a virtual time. Events with the same time run in
// the order in which they were scheduled, which is that of seq.
type event struct {
	at  time.Duration
	seq int64
	run func()
}

// eventHeap implements heap.Interface; the next event to run is the minimum.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1].run = nil
	*e = old[:len(old)-1]
	return last
}

// scheduleAfter schedules a function to run after a delay.
func (q *eventQueue) scheduleAfter(delay time.Duration, run func()) { q.scheduleAt(q.now+delay, run) }

// scheduleAt schedules a function to run at a virtual time, or at the current
// virtual time if the given one has passed.
func (q *eventQueue) scheduleAt(at time.Duration, run func()) {
	q.lastSeq++
	heap.Push(&q.events, event{at: max(at, q.now), seq: q.lastSeq, run: run})
}

// step advances virtual time to the next event, runs it and returns true. If no
// event is due by the virtual time limit, step does nothing and returns false.
func (q *eventQueue) step(limit time.Duration) bool {
	if len(q.events) == 0 || q.events[0].at > limit {
		return false
	}
	next := heap.Pop(&q.events).(event)
	q.now = next.at
	next.run()
	return true
}

// link is a simulated network link with a rate and a propagation delay. It stands
// for one direction, or for both when they share the rate. Bytes leave in the
// order in which they arrived.
type link struct {
	bytesPerSecond   float64
	propagationDelay time.Duration
	// busyUntil is the virtual time at which the last queued byte will have left.
	busyUntil time.Duration
	// totalBytes counts the bytes sent over the link, without the messages of live
	// requests.
	totalBytes int64
}

// send queues bytes that arrive at now and returns the virtual time at which the
// last of them reaches the other end of the link.
func (l *link) send(now time.Duration, bytes int64) time.Duration {
	l.busyUntil = max(l.busyUntil, now) + time.Duration(float64(bytes)/l.bytesPerSecond*float64(time.Second))
	l.totalBytes += bytes
	return l.busyUntil + l.propagationDelay
}

// queueingDelay returns how long bytes that arrive at now wait for the bytes
// ahead of them.
func (l *link) queueingDelay(now time.Duration) time.Duration { return max(0, l.busyUntil-now) }

// stall blocks the link for a duration, which begins once the bytes already
// queued have left.
func (l *link) stall(now, duration time.Duration) { l.busyUntil = max(l.busyUntil, now) + duration }
