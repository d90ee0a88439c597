package fleet

import (
	"maps"
	"slices"
	"sort"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// Change is an update about a member. It is published by one of the member's
// watchers, that is, an entry that receives or received the member's heartbeats,
// or by an entry that was asked to mark the member as leaving. A change carries
// only what routing and placement need, and is published only when that changes.
type Change struct {
	// ID and Incarnation are those of the member.
	ID          string `json:"id"`
	Incarnation int64  `json:"i"`
	// Watcher is the ID of the entry that published the change. Number increases
	// with each change that this entry publishes, also across its restarts.
	Watcher string `json:"w"`
	Number  int64  `json:"n"`
	// Silent means that Watcher receives no heartbeats of the member, or no longer
	// does. Another watcher may still receive them.
	Silent bool `json:"s,omitempty"`
	// Leaving means that the member is about to stop and must get no new work.
	Leaving bool `json:"l,omitempty"`
	// Serial is the serial number of the member's description that the change was
	// made from (see SerialCounter). A change with a lower serial number than the
	// known one does not replace newer values.
	Serial int64 `json:"q,omitempty"`
	// Member is set in the watcher's first change about a member or about a new
	// incarnation of it.
	Member *fuchsiarouter.Member `json:"m,omitempty"`
	// Versions is set when the member's versions or their states changed, and then
	// lists all of them. It is empty but not nil when the member no longer holds
	// any version.
	Versions []VersionChange `json:"v,omitzero"`
	// Slots is set when the number of requests that the member can run at the same
	// time changed; 0 means that the engine is down.
	Slots *int `json:"o,omitempty"`
	// Role is set when the role of the member's engine changed. An empty role means
	// that the engine runs whole requests.
	Role *fuchsiarouter.Role `json:"e,omitempty"`
	// Revisions is set when the revision of a section of the member's configuration
	// changed, and only in a mesh.
	Revisions map[string]int64 `json:"r,omitempty"`

	// from is the ID of the neighbour that sent the change, which is not sent back
	// to that neighbour. It is empty for a change that this entry published.
	from string
}

// VersionChange is a fuchsiarouter.Version without the number of verified chunks,
// which changes continuously during a transfer.
type VersionChange struct {
	Model  string                     `json:"m"`
	Digest string                     `json:"d"`
	State  fuchsiarouter.VersionState `json:"s"`
}

// ChangeLog keeps the changes that an entry knows in the order in which they were
// added, each at a position, so that another entry, the reader, can ask for those
// after the last position it has. Positions are valid only in this log and differ
// from Change.Number. For each member and watcher the log keeps at most two
// changes: the latest full one, in which Member is set, and the sum of those after
// it. Its length is therefore bounded by the number of members and watchers, and a
// reader that is far behind receives only these.
type ChangeLog struct {
	// LocalOnly makes Since return only changes that this entry published itself,
	// without those received from neighbours.
	LocalOnly bool

	// next is the position of the next change to be added. positions holds the
	// position of each change that the log keeps, and changes holds the changes by
	// position.
	next      int64
	positions map[changeKey]int64
	changes   map[int64]Change
}

// changeKey identifies a change that the log keeps by member ID, watcher ID and
// whether the change is a full one.
type changeKey struct {
	id, watcher string
	isFull      bool
}

// NewChangeLog returns an empty change log.
func NewChangeLog() *ChangeLog {
	return &ChangeLog{next: 1, positions: map[changeKey]int64{}, changes: map[int64]Change{}}
}

// Add adds a change. A full change replaces all earlier ones of the same watcher about
// the same member. Another change replaces only the earlier one that is not full, and
// takes over the fields that it does not set itself, so that a reader that missed the
// earlier one loses nothing.
func (l *ChangeLog) Add(change Change) {
	key := changeKey{change.ID, change.Watcher, change.Member != nil}
	if key.isFull {
		l.remove(changeKey{change.ID, change.Watcher, false})
	} else if position, ok := l.positions[key]; ok {
		earlier := l.changes[position]
		if earlier.Incarnation == change.Incarnation {
			if change.Versions == nil {
				change.Versions = earlier.Versions
			}
			if change.Slots == nil {
				change.Slots = earlier.Slots
			}
			if change.Role == nil {
				change.Role = earlier.Role
			}
			if change.Revisions == nil {
				change.Revisions = earlier.Revisions
			}
			change.Leaving = change.Leaving || earlier.Leaving
		}
	}
	l.remove(key)
	l.positions[key] = l.next
	l.changes[l.next] = change
	l.next++
}

// moveAllToEnd moves every change, in order, to a new position after all earlier
// ones, so that every reader receives all of them again.
func (l *ChangeLog) moveAllToEnd() {
	for _, position := range slices.Sorted(maps.Keys(l.changes)) {
		change := l.changes[position]
		delete(l.changes, position)
		l.positions[changeKey{change.ID, change.Watcher, change.Member != nil}] = l.next
		l.changes[l.next] = change
		l.next++
	}
}

// RemoveMember removes every change about a member.
func (l *ChangeLog) RemoveMember(id string) {
	for key := range l.positions {
		if key.id == id {
			l.remove(key)
		}
	}
}

// remove removes the change with the key, if the log keeps one.
func (l *ChangeLog) remove(key changeKey) {
	if position, ok := l.positions[key]; ok {
		delete(l.changes, position)
		delete(l.positions, key)
	}
}

// Since returns the changes after the position, and the position to pass in the
// next call. It looks at up to limit changes and leaves out those that the reader
// sent to this entry, and those that LocalOnly excludes. reader is the ID of the
// entry that asks. A reader starts at position 0.
func (l *ChangeLog) Since(reader string, position int64, limit int) ([]Change, int64) {
	var positions []int64
	if l.next-position > 2*int64(len(l.changes)) {
		// Most positions in the range are gone, because newer changes replaced
		// theirs.
		positions = slices.Sorted(maps.Keys(l.changes))
		positions = positions[sort.Search(len(positions), func(i int) bool { return positions[i] > position }):]
	} else {
		for next := position + 1; next < l.next; next++ {
			if _, ok := l.changes[next]; ok {
				positions = append(positions, next)
			}
		}
	}
	if len(positions) > limit {
		positions = positions[:limit]
	} else {
		position = max(position, l.next-1)
	}
	found := make([]Change, 0, len(positions))
	for _, next := range positions {
		if change := l.changes[next]; change.from == "" || !l.LocalOnly && change.from != reader {
			found = append(found, change)
		}
		position = max(position, next)
	}
	return found, position
}
