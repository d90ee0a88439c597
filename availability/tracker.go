package availability

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxStates bounds the incarnations that a Tracker remembers. The oldest one is dropped for a
	// new one.
	maxStates = 4096
	// reportEachFor is the time after a server was marked as leaving for which each report has it.
	reportEachFor = 2 * time.Second
	// maxNewReported bounds the servers in a report for that reason, and repeatedPerReport those
	// that were marked earlier, which a daemon that started or was cut off since does not know.
	maxNewReported    = 32
	repeatedPerReport = 4
	// MaxReported bounds the servers in a report.
	MaxReported = maxNewReported + repeatedPerReport
)

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
	if added = !state.leaving; added {
		state.leaving, state.leavingSince = true, now
	}
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

// Report returns what to tell another daemon in a periodic message: the servers that were marked as
// leaving a short time ago, the newest first, and a few of the others at random, so that all of them
// are repeated over time. It leaves out those for which the function include returns false.
func (t *Tracker) Report(now time.Time, include func(Server) bool) []Server {
	var added, earlier []Server
	for server, state := range t.states {
		switch {
		case !state.leaving || !include(server):
		case now.Sub(state.leavingSince) < reportEachFor:
			added = append(added, server)
		default:
			earlier = append(earlier, server)
		}
	}
	slices.SortFunc(added, func(a, b Server) int { return cmp.Compare(t.states[b].markedAt, t.states[a].markedAt) })
	if len(added) > maxNewReported {
		added, earlier = added[:maxNewReported], append(earlier, added[maxNewReported:]...)
	}
	rand.Shuffle(len(earlier), func(i, j int) { earlier[i], earlier[j] = earlier[j], earlier[i] })
	return append(added, earlier[:min(repeatedPerReport, len(earlier))]...)
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
