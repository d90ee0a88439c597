// Package serving is a discrete-event simulation of backend servers and entries. It
// runs the production packages that make decisions (routing, rank, retry, quota,
// quarantine) under virtual time.
//
// An entry is a daemon that receives requests from callers and dispatches each to a
// backend server, which is an engine that runs a model and the agent on the same VM. All
// requests need the same model, and each has a rank, the scheduling class of package rank.
//
// A server has a fixed number of slots. A request holds a slot for its prefill, whose
// duration is proportional to the prompt length, and then for the decoding of each
// output token, which slows down with the number of requests in progress when the request
// started. Each agent has an admission queue and reports its load periodically, so entries
// see it with a delay. A request in progress at a server that crashes gets a strike; such
// a suspect runs alone, and package quarantine refuses it after a second strike.
//
// All decisions are made by the production packages; the simulation only advances the
// clock and delivers messages.
package serving

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock that runs scheduled actions in order of time. An action runs in
// the goroutine that calls Run, and no virtual time passes while it runs.
type Clock struct {
	// Now is the current virtual time.
	Now          time.Time
	events       eventQueue
	lastSequence int
}

// NewClock returns a clock set to 2026-01-01 00:00 UTC, at which every simulation starts.
func NewClock() *Clock { return &Clock{Now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)} }

// After schedules the action to run once, d after the current virtual time.
func (c *Clock) After(d time.Duration, action func()) { c.At(c.Now.Add(d), action) }

// At schedules the action to run once, at the given virtual time. That must not be before
// Now, because Run would set the clock back to it.
func (c *Clock) At(at time.Time, action func()) {
	c.lastSequence++
	heap.Push(&c.events, event{at: at, sequence: c.lastSequence, action: action})
}

// Every schedules the action to run after the delay, and from then on once per interval
// without end.
func (c *Clock) Every(delay, interval time.Duration, action func()) {
	c.After(delay, func() {
		action()
		c.Every(interval, interval, action)
	})
}

// Run runs all actions that are due at or before until, also those that these actions
// schedule, and advances the clock to until.
func (c *Clock) Run(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		next := heap.Pop(&c.events).(event)
		c.Now = next.at
		next.action()
	}
	c.Now = until
}

// event is a scheduled action.
type event struct {
	at time.Time
	// sequence numbers the events as they are scheduled. It orders those with equal times.
	sequence int
	action   func()
}

// eventQueue is a min-heap of events by time, then by sequence.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(value any) { *e = append(*e, value.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}
