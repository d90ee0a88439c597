package fleet

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// ShortHeartbeat is the heartbeat of a member of which only the load, including the
// demand at an entry, has changed. It is a quarter of the size of a full Member.
type ShortHeartbeat struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"i"`
	// Running and Queued count the requests in progress and waiting at the member.
	Running int `json:"r,omitempty"`
	Queued  int `json:"q,omitempty"`
	// NonPreemptible is the part of Running and Queued that urgent work cannot preempt.
	NonPreemptible int `json:"f,omitempty"`
	// WaitMilliseconds is the expected queueing time of a new request with the
	// normal rank.
	WaitMilliseconds int64 `json:"w,omitempty"`
	// Demands is set for entries only. It holds the requests per second of each
	// workspace at the entry, whether admitted or not.
	Demands map[string]float64 `json:"d,omitempty"`
	// SlotDemand is set for entries only. It holds the requests for each model that
	// the entry received in the last complete slot, one of the intervals of ten
	// minutes by which package forecast counts requests. It is sent for a minute
	// after the end of the slot.
	SlotDemand *fuchsiarouter.SlotDemand `json:"s,omitempty"`
}

// NewShortHeartbeat returns the short heartbeat with the current load of a member.
func NewShortHeartbeat(member fuchsiarouter.Member) ShortHeartbeat {
	return ShortHeartbeat{
		ID: member.ID, Incarnation: member.Incarnation, Running: member.Load.Running, Queued: member.Load.Queued,
		NonPreemptible: member.Load.NonPreemptible, WaitMilliseconds: member.Load.ExpectedWait.Milliseconds(), Demands: member.WorkspaceDemands,
		SlotDemand: member.SlotDemand,
	}
}

// NeedsFullHeartbeat reports whether a member must send its whole Member because
// its state now differs from the last one sent in more than a ShortHeartbeat
// holds. Not compared are the chunk counts, which change continuously during a
// rollout, the reason of a failed version, and the kind, region and availability
// zone of the member.
func NeedsFullHeartbeat(last, now fuchsiarouter.Member) bool {
	switch {
	case last.ID != now.ID, last.Incarnation != now.Incarnation, last.State != now.State,
		last.Address != now.Address, last.ControlAddress != now.ControlAddress, last.Model != now.Model, last.Service != now.Service, last.Role != now.Role,
		last.Load.Slots != now.Load.Slots, len(last.Versions) != len(now.Versions),
		len(last.Strikes) != len(now.Strikes), len(last.Revisions) != len(now.Revisions):
		return true
	}
	for i, version := range now.Versions {
		before := last.Versions[i]
		if version.Model != before.Model || version.Digest != before.Digest || version.State != before.State {
			return true
		}
	}
	for i, strike := range now.Strikes {
		if strike != last.Strikes[i] {
			return true
		}
	}
	for section, number := range now.Revisions {
		if last.Revisions[section] != number {
			return true
		}
	}
	return false
}

// RecordShortHeartbeat records a short heartbeat. It returns false when the view
// does not know this incarnation of the member; the sender must then be asked for
// its full Member.
func (v *View) RecordShortHeartbeat(now time.Time, heartbeat ShortHeartbeat) bool {
	known, ok := v.members[heartbeat.ID]
	if !ok || known.Incarnation != heartbeat.Incarnation {
		return false
	}
	member := known.Member
	member.Load.Running, member.Load.Queued, member.Load.NonPreemptible = heartbeat.Running, heartbeat.Queued, heartbeat.NonPreemptible
	member.WorkspaceDemands, member.SlotDemand = heartbeat.Demands, heartbeat.SlotDemand
	member.Load.ExpectedWait = time.Duration(heartbeat.WaitMilliseconds) * time.Millisecond
	return v.RecordHeartbeat(now, member)
}

// SerialCounter sets the serial numbers in the heartbeats of a daemon. An entry
// that gets reports about the daemon from several watchers compares the numbers,
// so that a delayed report does not replace a newer one.
type SerialCounter struct {
	// last is the member with the current serial number, and number that number.
	last   fuchsiarouter.Member
	number int64
}

// Next returns the member, the daemon's current state, with its serial number. The
// number increases when more than the load has changed (see NeedsFullHeartbeat).
func (s *SerialCounter) Next(member fuchsiarouter.Member) fuchsiarouter.Member {
	if NeedsFullHeartbeat(s.last, member) {
		s.last = member
		s.number++
	}
	member.Serial = s.number
	return member
}
