package fleet_test

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/fleet"
)

// mesh is a full mesh of relays under virtual time. A stopped relay sends nothing
// and misses all messages sent to it.
type mesh struct {
	*network
	// stopped holds the IDs of the stopped entries.
	stopped map[string]bool
	// lastExchange holds, for each pair of sender and receiver, when changes were
	// last sent.
	lastExchange map[[2]string]time.Time
	// everSuspect holds the members that were suspect at any entry.
	everSuspect map[string]bool
}

// newMesh returns a mesh of 6 entries that all run, and this number of agents.
func newMesh(agents int) *mesh {
	m := &mesh{network: newNetwork(6, agents), stopped: map[string]bool{}, lastExchange: map[[2]string]time.Time{}, everSuspect: map[string]bool{}}
	for _, relay := range m.relays {
		relay.SetMesh(true)
	}
	return m
}

// advance moves time by a second: every running member sends its heartbeats,
// agents to two running entries, and entries exchange changes.
func (m *mesh) advance() {
	m.now = m.now.Add(time.Second)
	var running []fuchsiarouter.Member
	for _, entry := range m.entries {
		if !m.stopped[entry.ID] {
			running = append(running, entry)
		}
	}
	for _, agent := range m.agents {
		for _, watcher := range fleet.Watchers(agent.ID, agent.Region, running, 2) {
			m.relays[watcher.ID].RecordHeartbeat(m.now, agent)
		}
	}
	for _, from := range running {
		for _, to := range running {
			if from.ID != to.ID {
				m.relays[to.ID].RecordHeartbeat(m.now, from)
				m.exchange(from.ID, to.ID)
			}
		}
	}
	for _, entry := range running {
		for _, event := range m.relays[entry.ID].Tick(m.now) {
			if event.To == fleet.StatusSuspect {
				m.everSuspect[event.ID] = true
			}
		}
	}
}

// exchange sends the changes that the receiver lacks. The first exchange, and one that
// follows an interruption of more than SuspectAfter, sends all changes.
func (m *mesh) exchange(from, to string) {
	key := [2]string{from, to}
	if m.now.Sub(m.lastExchange[key]) > fleet.SuspectAfter {
		m.positions[key] = 0
	}
	sent, next := m.relays[from].ChangesSince(to, m.positions[key], math.MaxInt)
	// The encoding must keep empty and absent fields apart.
	text, _ := json.Marshal(sent)
	var changes []fleet.Change
	_ = json.Unmarshal(text, &changes)
	if m.positions[key] == 0 {
		m.relays[to].ReceiveSnapshot(m.now, from, changes)
	} else {
		m.relays[to].Receive(m.now, from, changes)
	}
	m.positions[key], m.lastExchange[key] = next, m.now
}

// TestMesh guards against two failures when an entry stops: an agent becomes
// suspect because one of its watchers is gone, or the entry resumes with outdated
// state because it missed a new version, an agent that dropped all its versions,
// and an agent that died.
func TestMesh(t *testing.T) {
	for _, stoppedSeconds := range []int{5, 30, 120} {
		for stopped := range 6 {
			g := gomega.NewWithT(t)
			m := newMesh(18)
			for range 5 {
				m.advance()
			}
			id := fmt.Sprint("entry-", stopped)
			m.stopped[id] = true
			for range 2 {
				m.advance()
			}
			changed := m.agents["norte-07"]
			changed.Versions, changed.Serial = []fuchsiarouter.Version{{Model: "rounds", Digest: "cd", State: fuchsiarouter.VersionReady}}, 1
			m.agents["norte-07"] = changed
			empty := m.agents["norte-08"]
			empty.Versions, empty.Serial = nil, 1
			m.agents["norte-08"] = empty
			delete(m.agents, "norte-09")
			for range stoppedSeconds {
				m.advance()
			}
			m.stopped = map[string]bool{}
			for range 8 {
				m.advance()
			}
			for self, relay := range m.relays {
				g.Expect(relay.ReadyAgents("rounds", "cd")).To(gomega.HaveLen(1), id)
				g.Expect(len(relay.ReadyAgents("rounds", "ab"))).To(gomega.Equal(15), "%s away for %d s after %s stopped", self, stoppedSeconds, id)
			}
			delete(m.everSuspect, id)
			delete(m.everSuspect, "norte-09")
			for suspect := range m.everSuspect {
				// The stopped entry itself suspects all members when it resumes.
				known, _ := m.relays[fmt.Sprint("entry-", (stopped+1)%6)].Member(suspect)
				g.Expect(known).To(
					gomega.HaveField("Status", fleet.StatusLive), suspect)
			}
		}
	}
}

// TestOlderReportIgnored guards against a delayed report of one watcher that
// overwrites newer state from another watcher or from the member itself.
func TestOlderReportIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	watchers := []*fleet.Relay{fleet.NewRelay("entry-1", 1000, fleet.Settings{}), fleet.NewRelay("entry-2", 1000, fleet.Settings{})}
	member := agent(0, "norte")
	watchers[0].RecordHeartbeat(start, member)
	watchers[1].RecordHeartbeat(start, member)
	late, _ := watchers[0].ChangesSince("entry-2", 0, math.MaxInt)
	member.Versions, member.Serial = []fuchsiarouter.Version{{Model: "rounds", Digest: "cd", State: fuchsiarouter.VersionReady}}, 1
	watchers[1].RecordHeartbeat(start, member)
	watchers[1].Receive(start, "entry-1", late)
	g.Expect(watchers[1].ReadyAgents("rounds", "cd")).To(gomega.HaveLen(1))
}

// TestDelayedShortHeartbeatPublishesNoState guards against publishing an earlier state as the newest.
func TestDelayedShortHeartbeatPublishesNoState(t *testing.T) {
	g := gomega.NewWithT(t)
	cutOff, watcher, reader := fleet.NewRelay("a", 1, fleet.Settings{}), fleet.NewRelay("b", 1, fleet.Settings{}), fleet.NewRelay("c", 1, fleet.Settings{})
	for _, relay := range []*fleet.Relay{cutOff, watcher, reader} {
		relay.SetMesh(true)
	}
	pass := func(now time.Time, from *fleet.Relay, id string, to *fleet.Relay) {
		changes, _ := from.ChangesSince("", 0, math.MaxInt)
		to.ReceiveSnapshot(now, id, changes)
	}
	var serials fleet.SerialCounter
	record := func(now time.Time, digest string, relays ...*fleet.Relay) fuchsiarouter.Member {
		member := agent(0, "norte")
		member.Versions = []fuchsiarouter.Version{{Model: "rounds", Digest: digest, State: fuchsiarouter.VersionReady}}
		member = serials.Next(member)
		for _, relay := range relays {
			relay.RecordHeartbeat(now, member)
		}
		return member
	}
	record(start, "first", cutOff, watcher)
	second := record(start, "second", cutOff, watcher)
	now := start.Add(5 * time.Second)
	cutOff.Tick(now)
	record(now, "third", watcher, reader)
	pass(now, watcher, "b", cutOff)
	g.Expect(cutOff.RecordShortHeartbeat(now, fleet.NewShortHeartbeat(second))).To(gomega.BeTrue())
	pass(now, cutOff, "a", reader)
	g.Expect(reader.ReadyAgents("rounds", "third")).To(gomega.HaveLen(1))
	g.Expect(cutOff.ReadyAgents("rounds", "third")).To(gomega.HaveLen(1))
	record(now, "third", cutOff)
	late := fleet.NewRelay("d", 1, fleet.Settings{})
	pass(now, cutOff, "a", late)
	g.Expect(late.ReadyAgents("rounds", "third")).To(gomega.HaveLen(1))
	g.Expect(late.ReadyAgents("rounds", "first")).To(gomega.BeEmpty())
}

// TestMarkLeavingReachesWatchers guards against an operator's drain request that
// is sent to one entry and does not reach the entries that watch the VM.
func TestMarkLeavingReachesWatchers(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMesh(6)
	for range 3 {
		m.advance()
	}
	g.Expect(m.relays["entry-0"].MarkLeaving("unknown")).To(gomega.BeFalse())
	for id := range m.agents {
		g.Expect(m.relays["entry-0"].MarkLeaving(id)).To(gomega.BeTrue())
	}
	m.advance()
	for _, relay := range m.relays {
		for id := range m.agents {
			member, _ := relay.Member(id)
			g.Expect(member.IsLeaving()).To(gomega.BeTrue())
			g.Expect(member.Status).To(gomega.Equal(fleet.StatusLive))
		}
	}
}

// TestNeighboursConnectAllEntries guards against entries whose heartbeats too few
// others receive, or that exchange no changes, both in a mesh and in a tree.
func TestNeighboursConnectAllEntries(t *testing.T) {
	for _, size := range []int{1, 6, fleet.MaxMeshEntries, fleet.MaxMeshEntries + 1, 60} {
		g := gomega.NewWithT(t)
		var entries []fuchsiarouter.Member
		for index := range size {
			entries = append(entries, fuchsiarouter.Member{ID: fmt.Sprint("entry-", index), AvailabilityZone: fmt.Sprint(index % 4)})
		}
		exchanges := 0
		for _, entry := range entries {
			neighbours := fleet.Neighbours(entry, entries)
			g.Expect(len(neighbours)).To(gomega.BeNumerically("<", fleet.MaxMeshEntries))
			watchers := 0
			for _, neighbour := range neighbours {
				if neighbour.GetsHeartbeats {
					watchers++
				}
				if neighbour.ExchangesChanges {
					exchanges++
				}
			}
			g.Expect(watchers).To(gomega.BeNumerically(">=", min(2, size-1)))
		}
		want := size - 1
		if size <= fleet.MaxMeshEntries {
			want = size * (size - 1)
		}
		g.Expect(exchanges).To(gomega.Equal(want))
	}
}

// TestMeshToTreeResendsChanges guards against an entry that never gets the changes
// that its parent withheld while the parent still treated the entries as a mesh.
func TestMeshToTreeResendsChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	parent := fleet.NewRelay("entry-1", 1000, fleet.Settings{})
	parent.SetMesh(true)
	other := fleet.NewRelay("entry-2", 1000, fleet.Settings{})
	other.RecordHeartbeat(start, agent(0, "norte"))
	otherChanges, _ := other.ChangesSince("entry-1", 0, math.MaxInt)
	parent.Receive(start, "entry-2", otherChanges)
	changes, position := parent.ChangesSince("entry-3", 0, math.MaxInt)
	g.Expect(changes).To(gomega.BeEmpty())
	g.Expect(parent.SetMesh(false)).To(gomega.BeTrue())
	changes, _ = parent.ChangesSince("entry-3", position, math.MaxInt)
	g.Expect(changes).To(gomega.HaveLen(1))
}

// TestRestartedWatcherReportsExpire guards against reports that a watcher made
// before its restart and that still count as valid.
func TestRestartedWatcherReportsExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	relay := fleet.NewRelay("entry-1", 1000, fleet.Settings{})
	watcher := fleet.NewRelay("entry-2", 1000, fleet.Settings{})
	watcher.RecordHeartbeat(start, agent(0, "norte"))
	changes, _ := watcher.ChangesSince("entry-1", 0, math.MaxInt)
	self := fuchsiarouter.Member{ID: "entry-2", Kind: fuchsiarouter.KindEntry, Incarnation: 1000}
	relay.RecordHeartbeat(start, self)
	relay.Receive(start, "entry-2", changes)
	self.Incarnation = 5000
	for second := range 5 {
		now := start.Add(time.Duration(second) * time.Second)
		relay.RecordHeartbeat(now, self)
		relay.Tick(now)
	}
	g.Expect(statusOf(relay.View, "norte-00")).To(gomega.Equal(fleet.StatusSuspect))
}

// TestRoleChangePropagates guards against an entry that keeps sending requests to
// a backend server whose role changed, because it is another entry that watches
// that server.
func TestRoleChangePropagates(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMesh(6)
	for range 3 {
		m.advance()
	}
	for _, role := range []fuchsiarouter.Role{"decode", ""} {
		changed := m.agents["norte-00"]
		changed.Role = role
		changed.Serial++
		m.agents["norte-00"] = changed
		m.advance()
		m.advance()
		for _, relay := range m.relays {
			member, _ := relay.Member("norte-00")
			g.Expect(member.Role).To(gomega.Equal(role))
		}
	}
}
