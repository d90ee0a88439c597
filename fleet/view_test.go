package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/fleet"
)

// start is the virtual time at which the tests begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// agent returns an agent of the region that has one version ready.
func agent(index int, region string) fuchsiarouter.Member {
	return fuchsiarouter.Member{
		ID: fmt.Sprintf("%s-%02d", region, index), Kind: fuchsiarouter.KindAgent, Incarnation: 1,
		Region: region, AvailabilityZone: region + "-a",
		Versions: []fuchsiarouter.Version{{Model: "rounds", Digest: "ab", State: fuchsiarouter.VersionReady}},
	}
}

// statusOf returns the status of the member with the ID, or an empty one if the
// view does not have it.
func statusOf(view *fleet.View, id string) fleet.Status {
	member, _ := view.Member(id)
	return member.Status
}

// TestSilentMemberBecomesSuspectThenDead guards against a dead member that keeps
// receiving requests, and a live member that is declared dead.
func TestSilentMemberBecomesSuspectThenDead(t *testing.T) {
	g := gomega.NewWithT(t)
	view := fleet.New(fleet.Settings{})
	for second := range 20 {
		now := start.Add(time.Duration(second) * time.Second)
		for index := range 5 {
			if index > 0 || second == 0 {
				view.RecordHeartbeat(now, agent(index, "norte"))
			}
		}
		view.Tick(now)
		want := fleet.StatusDead
		switch {
		case second < 3:
			want = fleet.StatusLive
		case second < 10:
			want = fleet.StatusSuspect
		}
		g.Expect(statusOf(view, "norte-00")).To(gomega.Equal(want), "second %d", second)
		g.Expect(view.ReadyAgents("rounds", "ab")).To(gomega.HaveLen(map[bool]int{true: 5, false: 4}[second < 3]))
	}
}

// TestOlderIncarnationIgnored guards against a delayed heartbeat, sent before a
// restart of the VM, that replaces the current state.
func TestOlderIncarnationIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	view := fleet.New(fleet.Settings{})
	member := agent(0, "norte")
	member.Incarnation = 2
	g.Expect(view.RecordHeartbeat(start, member)).To(gomega.BeTrue())
	g.Expect(view.MarkLeaving(member.ID)).To(gomega.BeTrue())
	old := agent(0, "norte")
	g.Expect(view.RecordHeartbeat(start.Add(time.Second), old)).To(gomega.BeFalse())
	g.Expect(view.RecordIndirect(start.Add(time.Second), fleet.IndirectReport{Member: old})).To(gomega.BeFalse())
	g.Expect(view.ReadyAgents("rounds", "ab")).To(gomega.BeEmpty())
	member.Incarnation = 3
	g.Expect(view.RecordHeartbeat(start.Add(2*time.Second), member)).To(gomega.BeTrue())
	g.Expect(view.ReadyAgents("rounds", "ab")).To(gomega.HaveLen(1))
}

// TestDelayedHeartbeatIgnored guards against a held heartbeat that sets a member back for good.
func TestDelayedHeartbeatIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	view := fleet.New(fleet.Settings{})
	var serials fleet.SerialCounter
	delayed := serials.Next(agent(0, "norte"))
	leaving := agent(0, "norte")
	leaving.State, leaving.Versions = fuchsiarouter.StateLeaving, nil
	leaving = serials.Next(leaving)
	g.Expect(view.RecordHeartbeat(start, leaving)).To(gomega.BeTrue())
	g.Expect(view.RecordHeartbeat(start.Add(2*time.Second), delayed)).To(gomega.BeFalse())
	g.Expect(view.RecordShortHeartbeat(start.Add(2500*time.Millisecond), fleet.NewShortHeartbeat(leaving))).To(gomega.BeTrue())
	member, _ := view.Member(leaving.ID)
	g.Expect(member.IsLeaving()).To(gomega.BeTrue())
	g.Expect(member.Versions).To(gomega.BeEmpty())
	g.Expect(member.HeardAt).To(gomega.Equal(start.Add(2500 * time.Millisecond)))
}

// TestIndirectReportKeepsAge guards against two entries that keep a dead member
// alive by reporting it to each other.
func TestIndirectReportKeepsAge(t *testing.T) {
	g := gomega.NewWithT(t)
	views := []*fleet.View{fleet.New(fleet.Settings{}), fleet.New(fleet.Settings{})}
	views[0].RecordHeartbeat(start, agent(0, "norte"))
	for second := range 15 {
		now := start.Add(time.Duration(second) * time.Second)
		for from, view := range views {
			view.Tick(now)
			for _, report := range view.DirectReports(now) {
				views[1-from].RecordIndirect(now, report)
			}
		}
	}
	for _, view := range views {
		g.Expect(statusOf(view, "norte-00")).NotTo(gomega.Equal(fleet.StatusLive))
		g.Expect(view.ReadyAgents("rounds", "ab")).To(gomega.BeEmpty())
	}
}

// TestPartitionedRegionNotEvicted guards against the eviction of a region that is
// unreachable for an hour and whose members then return one by one. Without the
// mass-silence guard, the same run evicts all of its members.
func TestPartitionedRegionNotEvicted(t *testing.T) {
	for _, isGuardDisabled := range []bool{false, true} {
		g := gomega.NewWithT(t)
		view := fleet.New(fleet.Settings{DisableGuard: isGuardDisabled})
		evicted := 0
		for second := range 4000 {
			now := start.Add(time.Duration(second) * time.Second)
			for index := range 8 {
				view.RecordHeartbeat(now, agent(index, "norte"))
				if second < 10 || second >= 3610+index {
					view.RecordHeartbeat(now, agent(index, "sur"))
				}
			}
			for _, event := range view.Tick(now) {
				if event.To == fleet.StatusDead {
					evicted++
				}
			}
			if second == 1000 {
				g.Expect(view.ReadyAgents("rounds", "ab")).To(gomega.HaveLen(8))
			}
		}
		g.Expect(evicted).To(gomega.Equal(map[bool]int{false: 0, true: 8}[isGuardDisabled]))
		g.Expect(view.ReadyAgents("rounds", "ab")).To(gomega.HaveLen(16))
	}
}

// TestUnlistedZoneEvicted guards against members of a zone that failed for good
// and that are kept as if the zone were partitioned, although the VM list no longer
// has their VMs.
func TestUnlistedZoneEvicted(t *testing.T) {
	g := gomega.NewWithT(t)
	view := fleet.New(fleet.Settings{})
	var listed []fuchsiarouter.VM
	for index := range 8 {
		view.RecordHeartbeat(start, agent(index, "norte"))
		view.RecordHeartbeat(start, agent(index, "sur"))
		listed = append(listed, fuchsiarouter.VM{ID: agent(index, "norte").ID, State: fuchsiarouter.StateLive})
	}
	now := start.Add(30 * time.Second)
	for index := range 8 {
		view.RecordHeartbeat(now, agent(index, "norte"))
	}
	view.Tick(now)
	g.Expect(statusOf(view, "sur-00")).To(gomega.Equal(fleet.StatusSuspect))
	view.UpdateVMList(nil)
	view.Tick(now)
	g.Expect(statusOf(view, "sur-00")).To(gomega.Equal(fleet.StatusSuspect))
	view.UpdateVMList(listed)
	view.Tick(now)
	g.Expect(statusOf(view, "sur-00")).To(gomega.Equal(fleet.StatusDead))
	g.Expect(statusOf(view, "norte-00")).To(gomega.Equal(fleet.StatusLive))
}

// TestWatchersStableWhenEntryLeaves guards against agents that all choose new
// watchers when one entry leaves, and against watchers in another region or in the
// same availability zone.
func TestWatchersStableWhenEntryLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	var entries []fuchsiarouter.Member
	for index := range 12 {
		entries = append(entries, fuchsiarouter.Member{ID: fmt.Sprint("entry-", index), Region: []string{"norte", "sur"}[index%2]})
	}
	for index := range 12 {
		entries[index].AvailabilityZone = fmt.Sprint(index % 6)
	}
	for index := range 100 {
		id := fmt.Sprint("agent-", index)
		zones := map[string]bool{}
		for _, entry := range fleet.Watchers(id, "sur", entries, 3) {
			zones[entry.AvailabilityZone] = true
		}
		g.Expect(zones).To(gomega.HaveLen(3))
		before := fleet.Watchers(id, "sur", entries, 3)
		after := fleet.Watchers(id, "sur", entries[:11], 3)
		g.Expect(before).To(gomega.HaveLen(3))
		for _, entry := range before {
			g.Expect(entry.Region).To(gomega.Equal("sur"))
			if entry.ID != "entry-11" {
				g.Expect(after).To(gomega.ContainElement(entry))
			}
		}
	}
}
