package agent

import "sync"

// waitingCalls holds the calls that wait in the queue, so that an entry can cancel a
// call whose caller has disconnected. The zero value is ready for use.
type waitingCalls struct {
	mu sync.Mutex
	// cancelSignals holds, by attempt ID, the channel that is closed when the call
	// is cancelled.
	cancelSignals map[string]chan struct{}
}

// add registers a call and returns a channel that is closed when the call is
// cancelled. A call without an attempt ID cannot be cancelled.
func (c *waitingCalls) add(attemptID string) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	cancelled := make(chan struct{})
	if attemptID == "" {
		return cancelled
	}
	if c.cancelSignals == nil {
		c.cancelSignals = map[string]chan struct{}{}
	}
	c.cancelSignals[attemptID] = cancelled
	return cancelled
}

// remove removes a call that no longer waits.
func (c *waitingCalls) remove(attemptID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cancelSignals, attemptID)
}

// cancel cancels the call with the attempt ID, and reports whether it was waiting.
func (c *waitingCalls) cancel(attemptID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cancelled, isWaiting := c.cancelSignals[attemptID]
	if isWaiting {
		close(cancelled)
		delete(c.cancelSignals, attemptID)
	}
	return isWaiting
}
