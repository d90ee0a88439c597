package fleet

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// Status is the liveness of a member as the view sees it.
type Status string

// Statuses of a member.
const (
	StatusLive Status = "live"
	// StatusSuspect means that no sign of life of the member has arrived for
	// Settings.SuspectAfter. The member gets work only when no live member can do
	// it.
	StatusSuspect Status = "suspect"
	// StatusDead means that the member was evicted, Settings.DeadAfter after its
	// last sign of life or later. It gets no work.
	StatusDead Status = "dead"
)

// Member is the description that a member sends of itself, together with what the
// view knows about its liveness.
type Member struct {
	fuchsiarouter.Member
	Status Status `json:"status"`
	// HeardAt is the last time at which the member is known to have been alive, from
	// its own heartbeat or from a report of another entry. It is a time of this
	// entry's clock.
	HeardAt time.Time `json:"heard-at"`
	// MarkedLeaving means that the VM list or an operator marked the member as
	// leaving. A member that leaves on its own sets its State instead.
	MarkedLeaving bool `json:"marked,omitempty"`

	// heardDirectlyAt is when the last heartbeat of the member arrived at this
	// entry, and reportedAt when a watcher's report last updated the member. Both
	// are zero if that never happened. unlisted means that the platform's VM list
	// no longer has the member.
	heardDirectlyAt time.Time
	reportedAt      time.Time
	unlisted        bool
	// watcherReports holds the latest report of each watcher, by the watcher's ID.
	// Only a Relay uses it.
	watcherReports map[string]watcherReport
}

// watcherReport is the latest report of a watcher about a member. Its fields are
// those of the Change that made the report: the member's incarnation, the number
// of the change, and whether the watcher no longer receives heartbeats.
type watcherReport struct {
	incarnation int64
	number      int64
	silent      bool
}

// ReportedAt returns when this entry last learned of the load or versions of the
// member, from a heartbeat or from a watcher's report. It is zero if the member is
// known only from an IndirectReport.
func (m Member) ReportedAt() time.Time {
	if m.reportedAt.After(m.heardDirectlyAt) {
		return m.reportedAt
	}
	return m.heardDirectlyAt
}

// HeardDirectly reports whether a heartbeat of the member itself, and not only a
// watcher's report, arrived within the default SuspectAfter.
func (m Member) HeardDirectly(now time.Time) bool {
	return !m.heardDirectlyAt.IsZero() && now.Sub(m.heardDirectlyAt) < SuspectAfter
}

// IsLeaving reports whether the member is about to stop and must get no new work,
// because it says so itself or was marked (see MarkedLeaving).
func (m Member) IsLeaving() bool { return m.MarkedLeaving || m.State == fuchsiarouter.StateLeaving }

// IndirectReport is what one entry tells another about a member.
// AgeMilliseconds is the time since the member's last sign of life. It is an age
// instead of a time, because the clocks of VMs differ.
type IndirectReport struct {
	Member          fuchsiarouter.Member `json:"member"`
	AgeMilliseconds int64                `json:"age-ms"`
}

// Event is a change of a member's status. From is empty for a new member.
type Event struct {
	ID   string
	From Status
	To   Status
}
