package intake

import (
	"container/list"
	"time"
)

const (
	// MaxStallTime and minStallTime bound the time after which a connection may be closed in favour of
	// a new one, if a request on it has not arrived or it is idle.
	MaxStallTime = 200 * time.Millisecond
	minStallTime = 10 * time.Millisecond
	// admissionRate is the number of connections per second that can be admitted while all others
	// are stalled. It bounds the wait of an ordinary caller behind a crowd of stalled ones.
	admissionRate = 2000
	// evictedShare and minEvicted bound the evicted connections that are not removed yet and so still
	// take memory, as a part of the limit and in number.
	evictedShare = 8
	minEvicted   = 4
	// evictionWait is the time after which to look again whether evicted connections were removed or
	// others have stalled. maxInputChecks bounds the connections that are looked at in between.
	evictionWait   = time.Millisecond
	maxInputChecks = 16
)

// Phase is what a connection is used for.
type Phase int

const (
	// Unused means that nothing has arrived on the connection.
	Unused Phase = iota
	// Head means that a part of the head of a request has arrived.
	Head
	// Body means that the body of a request is being read.
	Body
	// Serving means that a request has arrived and its response is not written yet.
	Serving
	// Idle means that a response was written and nothing has arrived since.
	Idle
)

// Slot is an open connection in a Table.
type Slot[C any] struct {
	// Conn is the connection.
	Conn C

	phase Phase
	// since is the time at which the phase began or a part of a body arrived.
	since time.Time
	// element is the slot in the list of its phase, nil while a request is served.
	element *list.Element
	// evicted is set once the connection must be closed, and removed once that is done.
	evicted, removed bool
}

// Table holds the open connections of a listener and decides which one to close for a new one. It does
// no input or output, and is not safe for concurrent use; its callers pass the time.
type Table[C any] struct {
	// limit is the number of connections, 0 for no limit, and open that of those which are not removed.
	// evicted is the number of evicted ones among them.
	limit, open, evicted int
	stallTime            time.Duration
	// incomplete holds the slots with requests that have not arrived, idle those between requests.
	// Both are in the order of since.
	incomplete, idle list.List
}

// NewTable returns an empty table with a limit for its connections.
func NewTable[C any](limit int) *Table[C] {
	stallTime := time.Duration(limit) * time.Second / admissionRate
	return &Table[C]{limit: limit, stallTime: max(minStallTime, min(stallTime, MaxStallTime))}
}

// Open returns the number of connections, including evicted ones that are not removed yet.
func (t *Table[C]) Open() int { return t.open }

// Admit adds a connection. If there is no room, it evicts another one, which the caller must close, or
// returns no slot: wait is then the time after which to try again, 0 if the connection must be refused
// since all others are being served. The function hasInput reports whether bytes have arrived on a
// connection that the daemon has not read; it is not called for one whose body is being read.
func (t *Table[C]) Admit(now time.Time, conn C, hasInput func(C) bool) (added, evicted *Slot[C], wait time.Duration) {
	if t.limit > 0 && t.open-t.evicted >= t.limit {
		if t.evicted >= max(minEvicted, t.limit/evictedShare) {
			return nil, nil, evictionWait
		}
		if evicted, wait = t.findStalled(now, hasInput); evicted == nil {
			return nil, nil, wait
		}
		t.Evict(evicted)
	}
	added = &Slot[C]{Conn: conn, phase: Unused, since: now}
	added.element = t.incomplete.PushBack(added)
	t.open++
	return added, evicted, 0
}

// findStalled returns the connection to close for a new one. If there is none, wait is that of Admit.
func (t *Table[C]) findStalled(now time.Time, hasInput func(C) bool) (stalled *Slot[C], wait time.Duration) {
	candidates := &t.incomplete
	if t.idle.Len() > t.incomplete.Len() {
		candidates = &t.idle
	}
	if candidates.Len() == 0 {
		return nil, 0
	}
	for range maxInputChecks {
		oldest := candidates.Front().Value.(*Slot[C])
		if age := now.Sub(oldest.since); age < t.stallTime {
			return nil, t.stallTime - max(age, 0)
		}
		if oldest.phase == Body || !hasInput(oldest.Conn) {
			return oldest, 0
		}
		// The daemon is late, not the peer.
		t.Enter(now, oldest, oldest.phase)
	}
	return nil, evictionWait
}

// Enter records that a connection has entered a phase, or that a part of a body has arrived. It returns
// false if the connection was evicted.
func (t *Table[C]) Enter(now time.Time, slot *Slot[C], phase Phase) bool {
	if slot.evicted || slot.removed {
		return false
	}
	t.unlink(slot)
	slot.phase, slot.since = phase, now
	switch phase {
	case Serving:
	case Idle:
		slot.element = t.idle.PushBack(slot)
	default:
		slot.element = t.incomplete.PushBack(slot)
	}
	return true
}

// Evict records that a connection, which is not removed, must be closed.
func (t *Table[C]) Evict(slot *Slot[C]) {
	t.unlink(slot)
	slot.evicted = true
	t.evicted++
}

// Remove removes a connection that is closed. Further calls have no effect.
func (t *Table[C]) Remove(slot *Slot[C]) {
	if slot.removed {
		return
	}
	t.unlink(slot)
	slot.removed = true
	t.open--
	if slot.evicted {
		t.evicted--
	}
}

// unlink removes a slot from the list of its phase.
func (t *Table[C]) unlink(slot *Slot[C]) {
	if slot.element == nil {
		return
	}
	if slot.phase == Idle {
		t.idle.Remove(slot.element)
	} else {
		t.incomplete.Remove(slot.element)
	}
	slot.element = nil
}

// Expired returns the connections whose timeouts have passed, without those that read a body.
func (t *Table[C]) Expired(now time.Time, timeouts Timeouts) []*Slot[C] {
	var expired []*Slot[C]
	for element := t.incomplete.Front(); element != nil; element = element.Next() {
		slot := element.Value.(*Slot[C])
		timeout := timeouts.Unused
		switch slot.phase {
		case Head:
			timeout = timeouts.Head
		case Body:
			continue
		}
		if timeout > 0 && now.Sub(slot.since) >= timeout {
			expired = append(expired, slot)
		}
	}
	for element := t.idle.Front(); element != nil && timeouts.Idle > 0; element = element.Next() {
		slot := element.Value.(*Slot[C])
		if now.Sub(slot.since) < timeouts.Idle {
			break
		}
		expired = append(expired, slot)
	}
	return expired
}
