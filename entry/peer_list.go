package entry

import (
	"maps"
	"slices"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/fleet"
	"github.com/fuchsiarouter/fuchsiarouter/peer"
)

// peerList is the list of members that agents receive in the responses to their heartbeats,
// together with the forecast shifts of the peaks. Each change of the list gets a new version
// number. An agent sends the version that it has and receives what changed since.
//
// The versions start at the incarnation of the entry, so that a version from before a
// restart is below all of them.
type peerList struct {
	// firstVersion is the version of the empty list, and version the current one.
	firstVersion int64
	version      int64
	members      map[string]listedMember
	// removed holds the version at which each former member was removed, by its id.
	removed map[string]int64
	// shifts are the forecast shifts of the peaks, and shiftsVersion is the version at
	// which they last changed.
	shifts        []fuchsiarouter.PeakShift
	shiftsVersion int64
}

// listedMember is a member with the version of the list at which it last changed.
type listedMember struct {
	member  fuchsiarouter.Member
	version int64
}

func newPeerList(incarnation int64) *peerList {
	return &peerList{firstVersion: incarnation, version: incarnation, members: map[string]listedMember{}, removed: map[string]int64{}}
}

// setShifts replaces the forecast shifts of the peaks.
func (l *peerList) setShifts(shifts []fuchsiarouter.PeakShift) {
	if !slices.Equal(l.shifts, shifts) {
		l.version++
		l.shifts, l.shiftsVersion = slices.Clone(shifts), l.version
	}
}

// update makes the list consist of this entry, which is own, and the members that are not
// dead.
func (l *peerList) update(members []fleet.Member, own fuchsiarouter.Member) {
	present := map[string]bool{}
	addOrUpdate := func(member fuchsiarouter.Member) {
		present[member.ID] = true
		member = withoutVolatileFields(member)
		if known, ok := l.members[member.ID]; ok && !fleet.NeedsFullHeartbeat(known.member, member) {
			return
		}
		l.version++
		l.members[member.ID] = listedMember{member, l.version}
		delete(l.removed, member.ID)
	}
	addOrUpdate(own)
	for _, member := range members {
		if member.Status != fleet.StatusDead {
			addOrUpdate(member.Member)
		}
	}
	for id := range l.members {
		if !present[id] {
			l.version++
			delete(l.members, id)
			l.removed[id] = l.version
		}
	}
}

// fill adds what changed since the known version to the response to the agent with the id, or
// the whole list if this entry has not assigned that version since its start.
func (l *peerList) fill(response *peer.HeartbeatResponse, knownVersion int64, agentID string) {
	if knownVersion == l.version {
		return
	}
	response.PeerListVersion = l.version
	response.IsFullPeerList = knownVersion < l.firstVersion || knownVersion > l.version
	if response.IsFullPeerList {
		knownVersion = 0
	} else {
		for _, id := range slices.Sorted(maps.Keys(l.removed)) {
			if l.removed[id] > knownVersion {
				response.RemovedPeers = append(response.RemovedPeers, id)
			}
		}
	}
	if l.shiftsVersion > knownVersion {
		// Empty rather than nil, so that a forecast that ended replaces the previous one.
		response.Shifts = append([]fuchsiarouter.PeakShift{}, l.shifts...)
	}
	for _, id := range slices.Sorted(maps.Keys(l.members)) {
		if listed := l.members[id]; id != agentID && listed.version > knownVersion {
			response.Peers = append(response.Peers, listed.member)
		}
	}
}
