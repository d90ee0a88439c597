package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
)

// TestEvacuatedZoneGetsNothing guards against requests to an evacuated zone, at their first attempt,
// from the queue, again or to resume a stream, and against a zone that gets none after its return.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.NewInRegions("z1", zoneRegions, keyOf)
	s.SetServers(start, modelServers("z1", "z2"))
	g.Expect(s.Submit(start, newRequest(0, start)).Server).To(gomega.Equal("a"))
	s.SetRequestsElsewhere(start, map[uint32]int{keyOf("a"): 9, keyOf("b"): 9})
	for range 60 {
		s.Release(start, "none", "s", schedule.Completed)
	}
	queued := newRequest(0, start)
	var server string
	queued.OnDecision = func(decision schedule.Decision) { server = decision.Server }
	g.Expect(s.Submit(start, queued).Queued).To(gomega.BeTrue())
	s.SetEvacuatedZones(start, map[string]bool{"z1": true})
	// A registration that is written again does not bring the zone back.
	s.SetServers(start, modelServers("z1", "z2"))
	s.SetRequestsElsewhere(start, map[uint32]int{keyOf("b"): 9})
	s.Release(start, "a", "s", schedule.Completed)
	g.Expect(server).To(gomega.BeEmpty())
	s.SetRequestsElsewhere(start, nil)
	g.Expect(server).To(gomega.Equal("b"))
	resumed := newRequest(1, start)
	resumed.Resumed = true
	g.Expect(s.Submit(start, resumed).Server).To(gomega.Equal("b"))
	g.Expect(s.AllowsZone(resumed, "z1")).To(gomega.BeFalse())
	tried := newRequest(1, start)
	tried.TriedServers = []string{"b"}
	g.Expect(s.Submit(start, tried).Reason).To(gomega.Equal(schedule.NoServer))
	s.SetEvacuatedZones(start, nil)
	g.Expect(s.Submit(start, tried).Server).To(gomega.Equal("a"))
}

// TestReturningZoneServesQueue guards against queued requests that wait on although the servers of a
// zone that is no longer evacuated are free.
func TestReturningZoneServesQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.NewInRegions("z1", zoneRegions, keyOf)
	s.SetServers(start, modelServers("z1", "z2"))
	s.SetEvacuatedZones(start, map[string]bool{"z1": true})
	s.SetRequestsElsewhere(start, map[uint32]int{keyOf("b"): 9})
	for range 60 {
		s.Release(start, "none", "s", schedule.Completed)
	}
	queued := newRequest(0, start)
	var server string
	queued.OnDecision = func(decision schedule.Decision) { server = decision.Server }
	g.Expect(s.Submit(start, queued).Queued).To(gomega.BeTrue())
	s.SetEvacuatedZones(start, map[string]bool{})
	g.Expect(server).To(gomega.Equal("a"))
}

// TestAllZonesEvacuated guards against holding requests that no server may run until the evacuation
// ends, and against a reason that does not tell whether the allowed regions are the cause.
func TestAllZonesEvacuated(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.NewInRegions("z1", zoneRegions, keyOf)
	s.SetServers(start, modelServers("z1", "z2"))
	s.SetRequestsElsewhere(start, map[uint32]int{keyOf("a"): 9, keyOf("b"): 9})
	for range 60 {
		s.Release(start, "none", "s", schedule.Completed)
	}
	refused := map[string]schedule.Decision{}
	queue := func(name string, request *schedule.Request) {
		request.OnDecision = func(decision schedule.Decision) { refused[name] = decision }
		g.Expect(s.Submit(start, request).Queued).To(gomega.BeTrue())
	}
	queue("restricted", restrictedRequest(0, start, "r2"))
	queue("unrestricted", newRequest(0, start))
	s.SetEvacuatedZones(start, map[string]bool{"z2": true})
	g.Expect(refused).To(gomega.HaveKey("restricted"))
	g.Expect(refused).NotTo(gomega.HaveKey("unrestricted"))
	s.SetEvacuatedZones(start, map[string]bool{"z1": true, "z2": true})
	g.Expect(refused["unrestricted"].Reason).To(gomega.Equal(schedule.NoServer))
	g.Expect(refused["unrestricted"].RetryAfter).To(gomega.BeNumerically(">", time.Second))
	g.Expect(refused["restricted"].Reason).To(gomega.Equal(schedule.RegionUnavailable))
	g.Expect(s.Submit(start, newRequest(0, start)).Reason).To(gomega.Equal(schedule.NoServer))
	g.Expect(s.Submit(start, restrictedRequest(0, start, "r1")).Reason).To(gomega.Equal(schedule.RegionUnavailable))
}

// TestEvacuatedZonePrefersEvenly guards against entries of an evacuated zone that all send their
// requests to the same servers elsewhere.
func TestEvacuatedZonePrefersEvenly(t *testing.T) {
	g := gomega.NewWithT(t)
	const entries = 4
	servers := modelServers("z1", "z4", "z4", "z2", "z2", "z1", "z2", "z2", "z3", "z4", "z3", "z3", "z3")
	got := map[string]int{}
	for entry := range entries {
		s := schedule.New("z1", keyOf)
		s.SetServers(start, servers)
		s.SetEntries(entry, entries, 3*entries)
		s.SetEvacuatedZones(start, map[string]bool{"z1": true, "z4": true})
		for range 2 {
			got[s.Submit(start, newRequest(1, start)).Server]++
		}
	}
	g.Expect(got).To(gomega.HaveLen(8))
	for id, count := range got {
		g.Expect(count).To(gomega.Equal(1), id)
		g.Expect(servers[id].AvailabilityZone).To(gomega.BeElementOf("z2", "z3"))
	}
}

// TestFreeSlotsOfEvacuatedZone guards against taking more than a fair share of the slots of servers
// that this entry doesn't prefer, since those of evacuated zones are counted as free.
func TestFreeSlotsOfEvacuatedZone(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z1", keyOf)
	servers := modelServers("z1", "z1", "z2", "z2", "z2", "z2")
	servers["b"].Slots = 8
	s.SetEntries(0, 2, 2)
	s.SetEvacuatedZones(start, map[string]bool{"z2": true})
	s.SetServers(start, servers)
	sent := 0
	for range 20 {
		if s.Submit(start, newRequest(1, start)).Server != "" {
			sent++
		}
	}
	// Both slots of the preferred server, and the entry's share of the other server's.
	g.Expect(sent).To(gomega.Equal(2 + 6))
}

// TestRandomPlacement guards against a request that any sequence of events sends to a server in an
// evacuated zone or in a region where it may not be served.
func TestRandomPlacement(t *testing.T) {
	zones := []string{"z1", "z2", "z3", "lost"}
	rapid.Check(t, func(t *rapid.T) {
		now, evacuated := start, map[string]bool{}
		s := schedule.NewInRegions("z1", zoneRegions, keyOf)
		servers := modelServers("z1", "z2", "z3", "lost", "z1", "z2", "z3")
		s.SetServers(now, servers)
		check := func(request *schedule.Request, id string) {
			zone := servers[id].AvailabilityZone
			if evacuated[zone] || !request.AllowedRegions.Allows(zoneRegions[zone]) {
				t.Fatalf("request for %v sent to %s with %v evacuated", request.AllowedRegions.Names(), zone, evacuated)
			}
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g"}).Draw(t, "server")
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				evacuated = map[string]bool{}
				for _, zone := range rapid.SliceOfDistinct(rapid.SampledFrom(zones), rapid.ID[string]).Draw(t, "zones") {
					evacuated[zone] = true
				}
				s.SetEvacuatedZones(now, evacuated)
			case 1:
				s.Release(now, id, "s", rapid.SampledFrom([]schedule.Outcome{schedule.Completed, schedule.Refused}).Draw(t, "outcome"))
			case 2:
				s.SetRequestsElsewhere(now, map[uint32]int{keyOf(id): rapid.IntRange(0, 3).Draw(t, "elsewhere")})
			case 3:
				moved := *servers[id]
				moved.AvailabilityZone, moved.Started = rapid.SampledFrom(zones).Draw(t, "zone"), int64(step+1)
				next := map[string]*catalog.Server{}
				for other, server := range servers {
					next[other] = server
				}
				next[id] = &moved
				servers = next
				s.SetServers(now, servers)
			case 4:
				s.Tick(now)
			default:
				request := newRequest(rapid.IntRange(0, 2).Draw(t, "rank"), now)
				if rapid.Bool().Draw(t, "restricted") {
					request.AllowedRegions = catalog.NewRegionSet(rapid.SliceOfDistinct(rapid.SampledFrom([]string{"r1", "r2", "r3", "r4"}), rapid.ID[string]).Draw(t, "regions"))
				}
				request.Resumed = rapid.Bool().Draw(t, "resumed")
				request.OnDecision = func(decision schedule.Decision) {
					if decision.Server != "" {
						check(request, decision.Server)
					}
				}
				if decision := s.Submit(now, request); decision.Server != "" {
					check(request, decision.Server)
				} else if !decision.Queued && decision.RetryAfter <= 0 {
					t.Fatal(fmt.Sprint("refused without a time to come back: ", decision))
				}
			}
		}
	})
}
