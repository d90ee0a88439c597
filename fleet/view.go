// Package fleet tracks which entries and agents are alive, from their heartbeats.
// An entry is a daemon that accepts the requests of callers, and an agent is the
// daemon on a backend server VM. Both are members of the fleet and send
// heartbeats to entries. The incarnation of a member is the Unix time of its
// start in milliseconds.
//
// A View is the membership list of one entry. A member is silent when no sign of
// life of it has arrived for Settings.SuspectAfter. It is then suspect, and after
// Settings.DeadAfter it is declared dead, which is also called its eviction. When
// a single member is silent, it has probably failed. When most members of a
// failure domain (an availability zone, a region or the whole view) are silent at
// the same time, the network between them and this entry has probably failed. The
// mass-silence guard then holds the eviction of these members: they stay suspect,
// so that a partitioned region does not make the other regions move weights.
//
// In a large fleet no entry receives the heartbeats of every member. Each member
// sends them to a few entries, its watchers, which report its changes to the
// other entries (see Relay).
//
// The view is soft state: it is rebuilt from heartbeats within a second, and
// views of different entries may differ.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// Settings holds the timeouts and limits of a View. A zero value means the
// default.
type Settings struct {
	// SuspectAfter is the time without a sign of life after which a member becomes
	// suspect.
	SuspectAfter time.Duration
	// DeadAfter is the time without a sign of life after which a member is
	// declared dead.
	DeadAfter time.Duration
	// MaxHold is how long the mass-silence guard of a failure domain holds the
	// eviction of its members, from the start of the mass silence.
	MaxHold time.Duration
	// RecoveryGrace is how long the eviction of members of a failure domain is
	// still held after the mass silence of the domain, or MaxHold, has ended.
	RecoveryGrace time.Duration
	// ForgetAfter is how long a member stays in the view after DeadAfter has passed,
	// so that status pages show it as dead.
	ForgetAfter time.Duration
	// MinGuardedMembers is the number of members from which the mass-silence guard
	// covers a failure domain. Two silent members in a zone of three thus count as
	// two failures and not as a partition.
	MinGuardedMembers int
	// DisableGuard turns the mass-silence guard off, for comparison in
	// experiments.
	DisableGuard bool
}

// Defaults of Settings.
const (
	SuspectAfter = 3 * time.Second
	DeadAfter    = 10 * time.Second
	// MaxHold is twice the longest expected partition between regions, which is
	// one hour.
	MaxHold = 2 * time.Hour
	// RecoveryGrace covers members that return one after another. When 60 members
	// returned within 20 s after an hour of silence, a value of 10 s evicted 8 of
	// them and 30 s none.
	RecoveryGrace     = 30 * time.Second
	ForgetAfter       = time.Minute
	MinGuardedMembers = 4
)

// withDefaults returns the settings with the defaults in place of zero values.
func (s Settings) withDefaults() Settings {
	s.SuspectAfter = cmp.Or(s.SuspectAfter, SuspectAfter)
	s.DeadAfter = cmp.Or(s.DeadAfter, DeadAfter)
	s.MaxHold = cmp.Or(s.MaxHold, MaxHold)
	s.RecoveryGrace = cmp.Or(s.RecoveryGrace, RecoveryGrace)
	s.ForgetAfter = cmp.Or(s.ForgetAfter, ForgetAfter)
	s.MinGuardedMembers = cmp.Or(s.MinGuardedMembers, MinGuardedMembers)
	return s
}

// View is the membership list of one entry. It is not safe for concurrent use.
type View struct {
	settings Settings
	// members holds the members by ID, and evictionHolds the holds by failure
	// domain, named as by failureDomains.
	members       map[string]*Member
	evictionHolds map[string]*evictionHold
	// events holds the status changes since the last Tick.
	events []Event
}

// New returns an empty view.
func New(settings Settings) *View {
	return &View{settings: settings.withDefaults(), members: map[string]*Member{}, evictionHolds: map[string]*evictionHold{}}
}

// RecordHeartbeat records a heartbeat that the member sent itself, and reports
// whether it was accepted. A heartbeat without an ID, or with a lower incarnation
// or, within the incarnation, a lower serial number than the known one, is ignored: it
// was sent before the member's last restart or change, and delayed since.
func (v *View) RecordHeartbeat(now time.Time, member fuchsiarouter.Member) bool {
	if !v.update(now, now, member) {
		return false
	}
	v.members[member.ID].heardDirectlyAt = now
	return true
}

// RecordIndirect records what another entry reports about a member, and reports
// whether it was accepted. A report is ignored when it is older than DeadAfter or
// than what the view already knows.
func (v *View) RecordIndirect(now time.Time, report IndirectReport) bool {
	age := time.Duration(max(report.AgeMilliseconds, 0)) * time.Millisecond
	if age >= v.settings.DeadAfter {
		return false
	}
	return v.update(now, now.Add(-age), report.Member)
}

// update stores the description of a member that was alive at heardAt, and
// reports whether it was accepted. It is not when it has no ID or is older than the
// known one.
func (v *View) update(now, heardAt time.Time, member fuchsiarouter.Member) bool {
	known, ok := v.members[member.ID]
	switch {
	case member.ID == "":
		return false
	case !ok:
		known = &Member{}
		v.members[member.ID] = known
	case member.Incarnation < known.Incarnation:
		return false
	case member.Incarnation == known.Incarnation && (heardAt.Before(known.HeardAt) || member.Serial < known.Serial):
		return false
	case member.Incarnation > known.Incarnation:
		*known = Member{Status: known.Status}
	}
	known.Member = member
	known.HeardAt = heardAt
	known.unlisted = false
	v.setStatus(known, v.computeStatus(now, known))
	return true
}

// setStatus sets the status of a member and records an event if it differs.
func (v *View) setStatus(member *Member, status Status) {
	if status != member.Status {
		v.events = append(v.events, Event{ID: member.ID, From: member.Status, To: status})
		member.Status = status
	}
}

// UpdateVMList applies the platform's VM list. It marks members whose VM is
// leaving, that is, about to be stopped, and remembers which members are no longer
// listed. Unlisted members are declared dead after DeadAfter, even while the
// mass-silence guard holds evictions. An empty list indicates an outage of the
// platform and is ignored.
func (v *View) UpdateVMList(vms []fuchsiarouter.VM) {
	if len(vms) == 0 {
		return
	}
	listed := make(map[string]fuchsiarouter.VMState, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = vm.State
	}
	for id, member := range v.members {
		state, ok := listed[id]
		member.unlisted = !ok
		member.MarkedLeaving = member.MarkedLeaving || state == fuchsiarouter.StateLeaving
	}
}

// MarkLeaving marks a member as leaving, so that it gets no new work, and reports
// whether the member is known. The mark lasts until the member restarts, that is,
// until it has a higher incarnation.
func (v *View) MarkLeaving(id string) bool {
	member, ok := v.members[id]
	if ok {
		member.MarkedLeaving = true
	}
	return ok
}

// Tick updates the status of every member, removes the dead ones whose last sign of
// life is DeadAfter plus ForgetAfter ago, and returns all status changes since the
// last Tick, including those caused by heartbeats.
func (v *View) Tick(now time.Time) []Event {
	v.updateHolds(now)
	for _, id := range v.sortedIDs() {
		member := v.members[id]
		v.setStatus(member, v.computeStatus(now, member))
		if member.Status == StatusDead && now.Sub(member.HeardAt) >= v.settings.DeadAfter+v.settings.ForgetAfter {
			delete(v.members, id)
		}
	}
	events := v.events
	v.events = nil
	return events
}

// computeStatus returns the status of a member at the time now. A dead member
// stays dead until a sign of life arrives.
func (v *View) computeStatus(now time.Time, member *Member) Status {
	silence := now.Sub(member.HeardAt)
	switch {
	case silence < v.settings.SuspectAfter:
		return StatusLive
	case silence < v.settings.DeadAfter:
		return StatusSuspect
	case member.Status == StatusDead, member.unlisted, !v.isMemberHeld(now, member):
		return StatusDead
	default:
		return StatusSuspect
	}
}

// sortedIDs returns the IDs of all members in order, so that results do not depend on
// the order of the map.
func (v *View) sortedIDs() []string {
	ids := make([]string, 0, len(v.members))
	for id := range v.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
