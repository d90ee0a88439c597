package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// Members returns all members, including those that are dead but not yet
// removed, ordered by ID.
func (v *View) Members() []Member {
	members := make([]Member, 0, len(v.members))
	for _, id := range v.sortedIDs() {
		members = append(members, *v.members[id])
	}
	return members
}

// Member returns the member with the ID, whatever its status, and whether the view
// has it.
func (v *View) Member(id string) (Member, bool) {
	if member, ok := v.members[id]; ok {
		return *member, true
	}
	return Member{}, false
}

// available returns the matching members that are not leaving, ordered by ID: the
// live ones, or the suspect ones if none is live, so that an entry that receives
// no heartbeats at all still tries to send requests.
func (v *View) available(matches func(*Member) bool) []Member {
	var live, suspect []Member
	for _, member := range v.members {
		if member.IsLeaving() || !matches(member) {
			continue
		}
		switch member.Status {
		case StatusLive:
			live = append(live, *member)
		case StatusSuspect:
			suspect = append(suspect, *member)
		case StatusDead:
		}
	}
	if len(live) == 0 {
		live = suspect
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// Entries returns the entries that accept new callers: those that are not leaving
// and are live, or suspect if none is live.
func (v *View) Entries() []Member {
	return v.available(func(member *Member) bool { return member.Kind == fuchsiarouter.KindEntry })
}

// ReadyAgents returns the agents whose engine has loaded the version with this digest,
// which is an identity as returned by fuchsiarouter.JoinIdentity. Like Entries, it
// leaves out agents that are leaving, and suspect ones unless none is live.
func (v *View) ReadyAgents(model, digest string) []Member {
	return v.available(func(member *Member) bool {
		version, ok := findVersion(member, model, digest)
		return ok && member.Kind == fuchsiarouter.KindAgent && version.State == fuchsiarouter.VersionReady
	})
}

// Holders returns the agents that hold or are fetching the version with this
// digest. Like Entries, it leaves out agents that are leaving, and suspect ones unless
// none is live.
func (v *View) Holders(model, digest string) []Member {
	return v.available(func(member *Member) bool {
		version, ok := findVersion(member, model, digest)
		return ok && member.Kind == fuchsiarouter.KindAgent && version.State != fuchsiarouter.VersionFailed
	})
}

// ServiceAgents returns the agents of the backend servers that run the named service,
// which is not a model engine. Like Entries, it leaves out agents that are leaving, and
// suspect ones unless none is live.
func (v *View) ServiceAgents(service string) []Member {
	return v.available(func(member *Member) bool {
		return member.Kind == fuchsiarouter.KindAgent && member.Service != "" && member.Service == service
	})
}

// findVersion returns the state of a version at a member, and whether the member
// reports it at all.
func findVersion(member *Member, model, digest string) (fuchsiarouter.Version, bool) {
	for _, version := range member.Versions {
		if version.Model == model && version.Digest == digest {
			return version, true
		}
	}
	return fuchsiarouter.Version{}, false
}

// Watchers returns the entries to which the member with the ID sends its
// heartbeats: up to count of them, the most preferred one first. Entries in the
// member's region come before others, and entries in different availability zones
// before a second one in the same zone, so that after the loss of a zone there is
// still a watcher to report it. Otherwise a rendezvous hash decides. When an entry
// joins or leaves, only the members that it watches get another watcher.
func Watchers(id, region string, entries []fuchsiarouter.Member, count int) []fuchsiarouter.Member {
	type ranked struct {
		entry       fuchsiarouter.Member
		otherRegion int
		// sameZoneBefore is the number of entries of the same zone that precede this
		// one by region and hash.
		sameZoneBefore int
		hash           uint64
	}
	ranking := make([]ranked, 0, len(entries))
	for _, entry := range entries {
		if entry.ID == id {
			continue
		}
		candidate := ranked{entry: entry, hash: xxhash.Sum64String(id + "\n" + entry.ID)}
		if entry.Region != region {
			candidate.otherRegion = 1
		}
		ranking = append(ranking, candidate)
	}
	compare := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.otherRegion, b.otherRegion), cmp.Compare(a.sameZoneBefore, b.sameZoneBefore),
			cmp.Compare(b.hash, a.hash), cmp.Compare(a.entry.ID, b.entry.ID))
	}
	slices.SortFunc(ranking, compare)
	zones := map[string]int{}
	for i, candidate := range ranking {
		zone := candidate.entry.Region + "\n" + candidate.entry.AvailabilityZone
		ranking[i].sameZoneBefore = zones[zone]
		zones[zone]++
	}
	slices.SortFunc(ranking, compare)
	ranking = ranking[:min(count, len(ranking))]
	watchers := make([]fuchsiarouter.Member, 0, len(ranking))
	for _, chosen := range ranking {
		watchers = append(watchers, chosen.entry)
	}
	return watchers
}

// DirectReports returns the members whose last heartbeat arrived at this entry
// itself within DeadAfter, with the age of that heartbeat, to be recorded by other
// entries with RecordIndirect.
func (v *View) DirectReports(now time.Time) []IndirectReport {
	var reports []IndirectReport
	for _, id := range v.sortedIDs() {
		member := v.members[id]
		age := now.Sub(member.heardDirectlyAt)
		if member.heardDirectlyAt.IsZero() || age >= v.settings.DeadAfter {
			continue
		}
		reports = append(reports, IndirectReport{Member: member.Member, AgeMilliseconds: age.Milliseconds()})
	}
	return reports
}
