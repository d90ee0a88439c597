package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// Relay is the view of an entry in a large fleet, where no entry can receive the
// heartbeats of every member, and relays changes between entries. Each member
// sends its heartbeats to a few entries, its watchers (see Watchers). A watcher
// publishes a Change, that is, adds it to its change log, only when it starts or
// stops receiving heartbeats of a member and when the member changes. Entries
// exchange the changes in their logs along a tree (see Parent).
//
// A member is live while it is heard directly or at least one live watcher reports
// it alive. A broken connection in the tree delays changes but makes no member
// suspect.
//
// When there are few entries, they form a full mesh instead of the tree: each
// receives the heartbeats of all others and publishes only what it observes
// itself. In a mesh, a watcher's report counts only at entries that receive the
// watcher's own heartbeats.
//
// In the methods of a Relay, a neighbour is an entry with which this entry
// exchanges changes: its parent or one of its children in the tree or, in a mesh,
// any other entry.
type Relay struct {
	*View
	// self is the ID of this entry.
	self string
	// changeLog holds the changes to send to neighbours. Its LocalOnly is set while
	// the entries form a mesh.
	changeLog *ChangeLog
	// lastNumber is the number of the last change that this entry published. It
	// starts at the incarnation, so that numbers also increase across a restart.
	lastNumber int64
	// published holds, by ID, the state of each member after its last full heartbeat to
	// this entry, with which its next one is compared. publishedSilent
	// holds the IDs of those whose silence was published since.
	published       map[string]fuchsiarouter.Member
	publishedSilent map[string]bool
	// selfNumbers holds, for each watcher of this entry, the number of its latest
	// change about this entry.
	selfNumbers map[string]int64
	// evictedAt holds, by ID, the time of eviction of each evicted member whose
	// changes are still in the change log.
	evictedAt map[string]time.Time
}

// NewRelay returns the relay of the entry with this ID and incarnation, which is
// the Unix time of its start in milliseconds.
func NewRelay(self string, incarnation int64, settings Settings) *Relay {
	changeLog := NewChangeLog()
	// A reader whose position is from before a restart receives everything.
	changeLog.next = max(changeLog.next, incarnation)
	return &Relay{
		View: New(settings), self: self, changeLog: changeLog, lastNumber: incarnation,
		published: map[string]fuchsiarouter.Member{}, publishedSilent: map[string]bool{}, selfNumbers: map[string]int64{},
		evictedAt: map[string]time.Time{},
	}
}

// SetMesh sets whether the entries form a mesh, and reports whether that differs
// from before. If it does, the log sends all changes to every neighbour again.
func (r *Relay) SetMesh(isMesh bool) bool {
	if r.changeLog.LocalOnly == isMesh {
		return false
	}
	r.changeLog.LocalOnly = isMesh
	// A neighbour that switched earlier has already read past the changes that
	// were withheld from it.
	r.changeLog.moveAllToEnd()
	return true
}

// MarkLeaving marks a member as leaving, publishes this, so that the member's
// watchers learn of it, and reports whether the member is known.
func (r *Relay) MarkLeaving(id string) bool {
	if !r.View.MarkLeaving(id) {
		return false
	}
	_, isHeard := r.published[id]
	r.publish(Change{ID: id, Incarnation: r.members[id].Incarnation, Leaving: true, Silent: !isHeard || r.publishedSilent[id]})
	return true
}

// RecordHeartbeat records a heartbeat that the member sent itself, publishes what
// it changed, and reports whether it was accepted (see View.RecordHeartbeat).
func (r *Relay) RecordHeartbeat(now time.Time, member fuchsiarouter.Member) bool {
	if !r.View.RecordHeartbeat(now, member) {
		return false
	}
	r.publishHeartbeat(member.ID, true)
	return true
}

// RecordShortHeartbeat records a short heartbeat. It returns false when this entry
// has not published this incarnation of the member and needs its full Member. A
// short heartbeat publishes no changed versions, slots or role: of several
// watchers, only those to which the member sent its changed state in full publish
// it.
func (r *Relay) RecordShortHeartbeat(now time.Time, heartbeat ShortHeartbeat) bool {
	if last, ok := r.published[heartbeat.ID]; !ok || last.Incarnation != heartbeat.Incarnation || !r.View.RecordShortHeartbeat(now, heartbeat) {
		return false
	}
	r.publishHeartbeat(heartbeat.ID, false)
	return true
}

// publishHeartbeat publishes what the heartbeat just recorded changed: that the
// member is new, has restarted or is no longer silent or, after a full heartbeat,
// which of the fields of a Change differ from the last published state.
func (r *Relay) publishHeartbeat(id string, isFull bool) {
	member := r.members[id]
	last, ok := r.published[id]
	change := Change{ID: id, Incarnation: member.Incarnation, Serial: member.Serial, Leaving: member.IsLeaving()}
	switch {
	case !ok || last.Incarnation != member.Incarnation:
		announced := member.Member
		change.Member = &announced
	case isFull && r.fillDifference(&change, last, member.Member):
	case !r.publishedSilent[id]:
		if isFull {
			r.published[id] = member.Member
		}
		return
	}
	delete(r.publishedSilent, id)
	delete(r.evictedAt, id)
	if isFull {
		r.published[id] = member.Member
	} else {
		// The state may be newer than what this entry has published, if other watchers have
		// reported it.
		change.Serial = last.Serial
	}
	r.publish(change)
}

// fillDifference sets the fields of change whose values now differ from the last
// published state, and reports whether any of them or the member's State differs.
func (r *Relay) fillDifference(change *Change, last, now fuchsiarouter.Member) bool {
	isDifferent := last.State != now.State
	if !slices.Equal(versionStates(last.Versions), versionStates(now.Versions)) {
		change.Versions, isDifferent = versionStates(now.Versions), true
	}
	if last.Load.Slots != now.Load.Slots {
		change.Slots, isDifferent = &now.Load.Slots, true
	}
	if last.Role != now.Role {
		change.Role, isDifferent = &now.Role, true
	}
	// At 6,100 edits a day on 10,730 members, publishing revisions would cause
	// 760 changes a second, so in a tree only the watchers know them.
	if r.changeLog.LocalOnly && !maps.Equal(last.Revisions, now.Revisions) {
		change.Revisions, isDifferent = now.Revisions, true
	}
	return isDifferent
}

// versionStates returns the versions as a Change carries them.
func versionStates(versions []fuchsiarouter.Version) []VersionChange {
	changes := make([]VersionChange, 0, len(versions))
	for _, version := range versions {
		changes = append(changes, VersionChange{version.Model, version.Digest, version.State})
	}
	return changes
}

// publish adds a change to the change log as one of this entry.
func (r *Relay) publish(change Change) {
	r.lastNumber++
	change.Watcher, change.Number = r.self, r.lastNumber
	r.changeLog.Add(change)
}

// Tick publishes which members this entry no longer receives heartbeats of, updates
// the status of every member, and returns all status changes since the last Tick.
// From the change log it removes the members that the view no longer has and that
// were evicted at least ForgetAfter ago.
func (r *Relay) Tick(now time.Time) []Event {
	for id, last := range r.published {
		member, ok := r.members[id]
		if !r.publishedSilent[id] && (!ok || now.Sub(member.heardDirectlyAt) >= r.settings.SuspectAfter) {
			r.publishedSilent[id] = true
			r.publish(Change{ID: id, Incarnation: last.Incarnation, Silent: true})
		}
	}
	for _, member := range r.members {
		if r.isReportedAlive(now, member) {
			member.HeardAt = now
		}
	}
	events := r.View.Tick(now)
	for _, event := range events {
		if event.To != StatusDead {
			continue
		}
		delete(r.published, event.ID)
		delete(r.publishedSilent, event.ID)
		r.evictedAt[event.ID] = now
	}
	for id, at := range r.evictedAt {
		// The eviction stays in the change log for a while, even when the view
		// forgets the member at once because this entry was paused. A neighbour
		// that was unreachable for longer fetches all changes again (see
		// ReceiveSnapshot).
		if _, ok := r.members[id]; !ok && now.Sub(at) >= r.settings.ForgetAfter {
			r.changeLog.RemoveMember(id)
			delete(r.evictedAt, id)
		}
	}
	return events
}

// isReportedAlive reports whether a live watcher receives heartbeats of the
// member.
func (r *Relay) isReportedAlive(now time.Time, member *Member) bool {
	for id, report := range member.watcherReports {
		if report.silent || report.incarnation != member.Incarnation {
			continue
		}
		// Reports of a watcher that is no longer in the VM list do not count:
		// when a whole region is lost, no watcher is left to report it. Reports
		// that a watcher made before it restarted do not count either.
		watcher, ok := r.members[id]
		if !ok || watcher.Status != StatusLive || watcher.unlisted || report.number < watcher.Incarnation {
			continue
		}
		if !r.changeLog.LocalOnly || now.Sub(watcher.heardDirectlyAt) < r.settings.SuspectAfter {
			return true
		}
	}
	return false
}

// ReceiveSnapshot processes all changes in the log of a neighbour, which the
// neighbour sends first and after an interruption. Reports that the neighbour made
// earlier as a watcher are dropped for members about which the set has no change
// published by the neighbour.
func (r *Relay) ReceiveSnapshot(now time.Time, neighbour string, changes []Change) {
	reported := map[string]bool{}
	for _, change := range changes {
		reported[change.ID] = reported[change.ID] || change.Watcher == neighbour
	}
	for id, member := range r.members {
		if !reported[id] {
			delete(member.watcherReports, neighbour)
		}
	}
	r.Receive(now, neighbour, changes)
}

// Receive applies the changes that a neighbour sent since the last exchange, and
// adds those that are new to the change log.
func (r *Relay) Receive(now time.Time, neighbour string, changes []Change) {
	for _, change := range changes {
		if r.applyIfNew(now, change) {
			change.from = neighbour
			r.changeLog.Add(change)
		}
	}
}

// applyIfNew applies a change if it is new, and reports whether it was. A change is
// new only once, whichever neighbour delivers it, so that it cannot circulate
// while the tree changes shape. A change also counts as not new if this entry
// published it, if it concerns an older incarnation of the member, or if this
// entry lacks the full Member of the incarnation.
func (r *Relay) applyIfNew(now time.Time, change Change) bool {
	known, ok := r.members[change.ID]
	switch {
	case change.Watcher == r.self:
		return false
	case change.ID == r.self:
		// Reports about this entry have no effect here, but are forwarded.
		if change.Number <= r.selfNumbers[change.Watcher] {
			return false
		}
		r.selfNumbers[change.Watcher] = change.Number
		return true
	case !ok && (change.Member == nil || change.Silent):
		return false
	case ok && change.Incarnation < known.Incarnation:
		return false
	case ok && change.Incarnation > known.Incarnation && change.Member == nil:
		return false
	case ok && change.Number <= known.watcherReports[change.Watcher].number:
		return false
	}
	if !ok || change.Incarnation > known.Incarnation {
		reports := map[string]watcherReport{}
		if ok {
			reports = known.watcherReports
		}
		r.update(now, now, *change.Member)
		known = r.members[change.ID]
		known.watcherReports = reports
	}
	known.MarkedLeaving = known.MarkedLeaving || change.Leaving
	if known.watcherReports == nil {
		known.watcherReports = map[string]watcherReport{}
	}
	known.watcherReports[change.Watcher] = watcherReport{incarnation: change.Incarnation, number: change.Number, silent: change.Silent}
	switch {
	case change.Silent:
		if !known.HeardDirectly(now) && !r.isReportedAlive(now, known) {
			// The watcher already waited SuspectAfter before it reported the
			// silence.
			known.HeardAt = earliest(known.HeardAt, now.Add(-r.settings.SuspectAfter))
		}
	default:
		r.applyReport(now, known, change)
	}
	r.setStatus(known, r.computeStatus(now, known))
	return true
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// applyReport updates a member with a change whose watcher receives the member's
// heartbeats. The values in the change are ignored when its serial number is lower
// than the known one.
func (r *Relay) applyReport(now time.Time, known *Member, change Change) {
	known.HeardAt = now
	if change.Serial < known.Serial {
		return
	}
	known.reportedAt, known.Serial = now, change.Serial
	if announced := change.Member; announced != nil {
		// The full Member replaces what other watchers published before: they may
		// have failed before they published the member's latest state.
		known.Versions, known.Revisions = announced.Versions, announced.Revisions
		known.State, known.Load, known.Role = announced.State, announced.Load, announced.Role
	}
	if change.Role != nil {
		known.Role = *change.Role
	}
	if change.Slots != nil {
		known.Load.Slots = *change.Slots
	}
	if change.Revisions != nil {
		known.Revisions = change.Revisions
	}
	if change.Versions != nil {
		known.Versions = make([]fuchsiarouter.Version, 0, len(change.Versions))
		for _, version := range change.Versions {
			known.Versions = append(known.Versions, fuchsiarouter.Version{Model: version.Model, Digest: version.Digest, State: version.State})
		}
	}
}

// ChangesSince returns the changes after the position in the change log that the
// neighbour with this ID did not send itself, and the position to pass in the next
// call. It looks at up to limit changes.
func (r *Relay) ChangesSince(neighbour string, position int64, limit int) ([]Change, int64) {
	return r.changeLog.Since(neighbour, position, limit)
}
