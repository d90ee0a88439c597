package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/cold"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
)

// coldFleet is a scheduler with cold servers and a clock that the test moves.
type coldFleet struct {
	*schedule.Scheduler
	now time.Time
}

// newColdFleet returns the scheduler of one of 11 entries of the zone z, which knows the servers
// and is settled.
func newColdFleet(servers map[string]*catalog.Server, rate float64) *coldFleet {
	fleet := &coldFleet{Scheduler: schedule.New("z", keyOf), now: start}
	fleet.SetColdServices(start, schedule.ColdSettings{
		Entry: "e0", Bound: cold.Bound{Excess: 1.5, Slack: 5},
		Clock: func() time.Duration { return time.Hour + fleet.now.Sub(start) },
	}, map[string]*catalog.Service{"s": {Name: "s", ColdTime: 3 * time.Second, ColdRate: rate}, "other": {Name: "other"}})
	fleet.SetServers(start, servers)
	fleet.advance(6 * time.Second)
	return fleet
}

// advance lets time pass, in which the entry is in contact with the others.
func (f *coldFleet) advance(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		f.SetColdView(cold.View{
			Zones:     []cold.Zone{{Name: "z", Entries: []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9", "e10"}, Live: true}},
			InContact: true, HasRegistry: true,
		})
	}
}

// send submits a request and, if a server is selected, writes it and completes it at once.
func (f *coldFleet) send(request *schedule.Request) schedule.Decision {
	decision := f.Submit(f.now, request)
	if decision.Server != "" {
		f.complete(decision.Server)
	}
	return decision
}

// complete writes a request to a server and completes it. It reports whether it could be written.
func (f *coldFleet) complete(id string) bool {
	sending, allowed := f.BeginSending(f.Server(id).Incarnation())
	f.EndSending(sending)
	f.Release(f.now, id, "s", schedule.Completed)
	return allowed
}

// oldServers returns servers of the zone z that were registered long ago, with many slots.
func oldServers(count int) map[string]*catalog.Server {
	servers := modelServers("z", "z", "z", "z")
	for id, server := range servers {
		server.Slots, server.Sequence, server.Started = 20, 50, start.Add(-time.Hour).UnixMilli()
		if int(id[0]-'a') >= count {
			delete(servers, id)
		}
	}
	return servers
}

// withColdFor returns the servers with a later registration of one of them.
func withColdFor(servers map[string]*catalog.Server, id string, remaining time.Duration) map[string]*catalog.Server {
	changed := map[string]*catalog.Server{}
	for other, server := range servers {
		changed[other] = server
	}
	server := *servers[id]
	server.ColdFor = remaining
	server.Sequence++
	changed[id] = &server
	return changed
}

// TestColdServerGetsItsShare guards against a cold server that gets as many requests as any other one: first attempts, further attempts, hedges, resumed requests and queued ones.
func TestColdServerGetsItsShare(t *testing.T) {
	g := gomega.NewWithT(t)
	servers := oldServers(2)
	fleet := newColdFleet(servers, 26)
	fleet.SetServers(fleet.now, withColdFor(servers, "a", 30*time.Second))
	sent := map[string]int{}
	for i := range 60 {
		request := newRequest(i%3, fleet.now)
		request.Resumed = i%5 == 0
		if i%4 == 0 {
			request.TriedServers = []string{"b"}
		}
		decision := fleet.send(request)
		if decision.Queued {
			fleet.Cancel(request)
		}
		sent[decision.Server]++
	}
	g.Expect(sent["a"]).To(gomega.Equal(3))
	g.Expect(sent["b"]).To(gomega.BeNumerically(">", 40))

	// Requests that only the cold server can run wait, and count when they are dispatched.
	dispatched := 0
	for range 10 {
		request := newRequest(0, fleet.now)
		request.TriedServers = []string{"b"}
		request.FirstEventTarget = fleet.now.Add(5 * time.Second)
		request.OnDecision = func(decision schedule.Decision) {
			if decision.Server == "a" {
				dispatched++
			}
		}
		fleet.Submit(fleet.now, request)
	}
	fleet.Tick(fleet.now)
	g.Expect(dispatched).To(gomega.BeZero())
	fleet.advance(1200 * time.Millisecond)
	fleet.Tick(fleet.now)
	g.Expect(dispatched).To(gomega.Equal(3))
	g.Expect(fleet.ColdWithheld()).To(gomega.BeNumerically(">", 0))
	g.Expect(fleet.ColdServers()).To(gomega.Equal(1))
	events := fleet.TakeColdEvents()
	g.Expect(events).To(gomega.HaveLen(1))
	g.Expect(events[0]).To(gomega.Equal(cold.Event{Server: "a", Cold: true, Reason: cold.Registered, For: 30 * time.Second, Share: 3}))
}

// TestColdServerOfOtherZone guards against requests from entries of other zones to a cold server whose zone has entries.
func TestColdServerOfOtherZone(t *testing.T) {
	g := gomega.NewWithT(t)
	servers := oldServers(1)
	servers["a"].AvailabilityZone = "y"
	fleet := newColdFleet(servers, 26)
	fleet.SetServers(fleet.now, withColdFor(servers, "a", 30*time.Second))
	view := cold.View{Zones: []cold.Zone{{Name: "z", Entries: []string{"e0"}, Live: true}, {Name: "y", Entries: []string{"f0"}, Live: true}}, InContact: true, HasRegistry: true}
	fleet.SetColdView(view)
	g.Expect(fleet.send(newRequest(0, fleet.now)).Server).To(gomega.BeEmpty())
	view.Zones[1].Live = false
	fleet.SetColdView(view)
	g.Expect(fleet.send(newRequest(0, fleet.now)).Server).To(gomega.Equal("a"))
}

// TestNewServerMayBeCold guards against full load for a server that has just registered, or registered again, and says nothing of coldness.
func TestNewServerMayBeCold(t *testing.T) {
	g := gomega.NewWithT(t)
	servers := oldServers(1)
	fleet := newColdFleet(servers, 26)
	count := func() int {
		sent := 0
		for range 30 {
			request := newRequest(0, fleet.now)
			if fleet.send(request).Server != "" {
				sent++
			}
			fleet.Cancel(request)
		}
		return sent
	}
	g.Expect(count()).To(gomega.Equal(30), "known at the start of the entry")
	fleet.advance(1200 * time.Millisecond)
	restarted := *servers["a"]
	restarted.Started, restarted.Sequence = fleet.now.UnixMilli(), 1
	fleet.SetServers(fleet.now, map[string]*catalog.Server{"a": &restarted})
	g.Expect(count()).To(gomega.Equal(3), "another incarnation at the same address")
	fleet.SetServers(fleet.now, nil)
	fleet.SetServers(fleet.now, map[string]*catalog.Server{"a": &restarted})
	g.Expect(count()).To(gomega.BeZero(), "what was sent counts after the registration was gone")
	fleet.advance(4500 * time.Millisecond)
	g.Expect(count()).To(gomega.Equal(30), "after its cold time")
	added := *servers["a"]
	added.ID, added.Address = "b", "b"
	fleet.SetServers(fleet.now, map[string]*catalog.Server{"b": &added})
	g.Expect(count()).To(gomega.Equal(3), "a server of which only a later registration was read")
	fleet.SetServers(fleet.now, map[string]*catalog.Server{"a": &restarted})
	fleet.advance(4500 * time.Millisecond)
	fleet.MarkZoneReturned(fleet.now, "elsewhere")
	g.Expect(count()).To(gomega.Equal(30), "another zone")
	fleet.advance(1200 * time.Millisecond)
	fleet.MarkZoneReturned(fleet.now, "z")
	g.Expect(count()).To(gomega.Equal(3), "its zone has returned")
}

// TestColdServerAtWrite guards against requests that wait for a connection and are all written in the same second.
func TestColdServerAtWrite(t *testing.T) {
	g := gomega.NewWithT(t)
	servers := oldServers(1)
	fleet := newColdFleet(servers, 26)
	fleet.SetServers(fleet.now, withColdFor(servers, "a", 30*time.Second))
	for range 3 {
		for range 3 {
			g.Expect(fleet.Submit(fleet.now, newRequest(0, fleet.now)).Server).To(gomega.Equal("a"))
		}
		fleet.advance(1200 * time.Millisecond)
	}
	written := 0
	for range 9 {
		if fleet.complete("a") {
			written++
		}
	}
	g.Expect(written).To(gomega.Equal(3))
}

// TestNoColdServices guards against limits, and against costs, where no service has cold servers.
func TestNoColdServices(t *testing.T) {
	g := gomega.NewWithT(t)
	servers := oldServers(2)
	fleet := newColdFleet(servers, 0)
	g.Expect(fleet.LimitsCold()).To(gomega.BeFalse())
	fleet.SetServers(fleet.now, withColdFor(servers, "a", time.Minute))
	fleet.MarkZoneReturned(fleet.now, "z")
	id := servers["a"].Incarnation()
	allocations := testing.AllocsPerRun(100, func() {
		sending, allowed := fleet.BeginSending(id)
		fleet.EndSending(sending)
		fleet.MarkCold(id, time.Minute)
		if !allowed || fleet.TakeColdEvents() != nil || fleet.ColdWithheld() != 0 || fleet.ColdServers() != 0 {
			t.Error("limited")
		}
	})
	g.Expect(allocations).To(gomega.BeZero())
	sent := map[string]int{}
	for range 30 {
		sent[fleet.Submit(fleet.now, newRequest(0, fleet.now)).Server]++
	}
	g.Expect(sent["a"]).To(gomega.Equal(15))
}

// TestColdRateSetLater guards against servers that are not limited when their service gets a cold rate after they were read, and against limits that stay when it loses it.
func TestColdRateSetLater(t *testing.T) {
	g := gomega.NewWithT(t)
	servers := oldServers(1)
	servers["a"].ColdFor = 30 * time.Second
	now := start
	s := schedule.New("z", keyOf)
	s.SetServers(now, servers)
	settings := schedule.ColdSettings{Entry: "e0", Clock: func() time.Duration { return time.Hour + now.Sub(start) }}
	s.SetColdServices(now, settings, map[string]*catalog.Service{"s": {ColdTime: time.Second, ColdRate: 26}})
	g.Expect(s.Submit(now, newRequest(0, now)).Server).To(gomega.BeEmpty(), "not settled")
	s.SetColdServices(now, settings, map[string]*catalog.Service{"s": {ColdTime: time.Second}})
	g.Expect(s.Submit(now, newRequest(0, now)).Server).To(gomega.Equal("a"))
}

// TestServersOfReturnedZoneMayBeCold guards against a wave of requests to the servers of a zone whose
// evacuation ends: they may have become cold meanwhile.
func TestServersOfReturnedZoneMayBeCold(t *testing.T) {
	g := gomega.NewWithT(t)
	fleet := newColdFleet(oldServers(1), 26)
	sendMany := func() int {
		sent := 0
		for range 40 {
			if fleet.send(&schedule.Request{Service: "s", FirstEventTarget: fleet.now.Add(time.Second), Deadline: fleet.now.Add(time.Second), OnDecision: func(schedule.Decision) {}}).Server != "" {
				sent++
			}
		}
		return sent
	}
	g.Expect(sendMany()).To(gomega.Equal(40))
	fleet.SetEvacuatedZones(fleet.now, map[string]bool{"z": true})
	fleet.advance(2 * time.Second)
	g.Expect(sendMany()).To(gomega.BeZero())
	fleet.SetEvacuatedZones(fleet.now, nil)
	g.Expect(sendMany()).To(gomega.BeNumerically("<=", 3))
}
