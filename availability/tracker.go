package availability

import (
	"cmp"
	"slices"
	"time"
)

// maxStates bounds the incarnations that a Tracker remembers. The oldest one is dropped for a new
// one.
const maxStates = 4096

// Server identifies an incarnation of a backend server.
type Server struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Address string
	// Started is the Unix time in ms at which the incarnation started, 0 if it is not known.
	Started int64
}

// Tracker holds the states of all incarnations that have said something.
type Tracker struct {
	states map[Server]*State
	// marks counts the calls that made or changed a state.
	marks uint64
}

// New returns a tracker without states.
func New() *Tracker { return &Tracker{states: map[Server]*State{}} }

// Find returns the state of a server, or nil if it has said nothing.
func (t *Tracker) Find(server Server) *State { return t.states[server] }

// MarkLeaving records that a server leaves, and reports whether that was not known.
func (t *Tracker) MarkLeaving(now time.Time, server Server) (state *State, added bool) {
	state = t.mark(now, server)
	added = !state.leaving
	state.leaving = true
	return state, added
}

// Pause records that a server takes no requests of this daemon for the given time, which is bounded
// by MaxPause.
func (t *Tracker) Pause(now time.Time, server Server, duration time.Duration) *State {
	state := t.mark(now, server)
	state.pause(now, duration)
	return state
}

// Forget drops the state of a server whose incarnations can't be told apart.
func (t *Tracker) Forget(server Server) { delete(t.states, server) }

// Leaving returns the servers that leave, those that were marked last first, limit at most. It
// leaves out those for which the function include returns false.
func (t *Tracker) Leaving(limit int, include func(Server) bool) []Server {
	var leaving []Server
	for server, state := range t.states {
		if state.leaving && include(server) {
			leaving = append(leaving, server)
		}
	}
	slices.SortFunc(leaving, func(a, b Server) int { return cmp.Compare(t.states[b].markedAt, t.states[a].markedAt) })
	return leaving[:min(limit, len(leaving))]
}

// mark returns the state of a server as the youngest one, and creates it on first use.
func (t *Tracker) mark(now time.Time, server Server) *State {
	state := t.states[server]
	if state == nil {
		t.makeRoom(now)
		state = &State{}
		t.states[server] = state
	}
	t.marks++
	state.markedAt = t.marks
	return state
}

// makeRoom drops the oldest state if there are too many, preferably one that no longer matters.
func (t *Tracker) makeRoom(now time.Time) {
	if len(t.states) < maxStates {
		return
	}
	var oldest Server
	var oldestState *State
	for server, state := range t.states {
		matters := state.leaving || state.IsPaused(now)
		if !matters {
			delete(t.states, server)
			continue
		}
		if oldestState == nil || state.markedAt < oldestState.markedAt {
			oldest, oldestState = server, state
		}
	}
	if len(t.states) >= maxStates {
		delete(t.states, oldest)
	}
}
