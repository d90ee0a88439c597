package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
)

// zoneRegions are the regions of the availability zones of the tests. The zone "lost" has none.
var zoneRegions = map[string]string{"z1": "r1", "z2": "r2", "z3": "r3"}

// restrictedRequest returns newRequest, allowed only in the named regions.
func restrictedRequest(rank int, at time.Time, regions ...string) *schedule.Request {
	request := newRequest(rank, at)
	request.AllowedRegions = catalog.NewRegionSet(regions)
	return request
}

// TestRestrictedRequestStaysInRegions guards against a request that is sent to a region where it may
// not be served, at its first attempt, from the queue, again or to resume a stream.
func TestRestrictedRequestStaysInRegions(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.NewInRegions("z1", zoneRegions, keyOf)
	s.SetServers(start, modelServers("z1", "z2", "z3", "lost"))
	for range 2 {
		g.Expect(s.Submit(start, restrictedRequest(0, start, "r2")).Server).To(gomega.Equal("b"))
	}
	s.SetRequestsElsewhere(start, map[uint32]int{keyOf("b"): 9})
	for range 60 {
		s.Release(start, "none", "s", schedule.Completed)
	}
	queued := restrictedRequest(0, start, "r2")
	var server string
	queued.OnDecision = func(decision schedule.Decision) { server = decision.Server }
	g.Expect(s.Submit(start, queued).Queued).To(gomega.BeTrue())
	s.Tick(start)
	g.Expect(server).To(gomega.BeEmpty())
	s.SetRequestsElsewhere(start, nil)
	g.Expect(server).To(gomega.Equal("b"))
	for _, resumed := range []bool{false, true} {
		again := restrictedRequest(0, start, "r2", "r3")
		again.TriedServers, again.Resumed = []string{"b"}, resumed
		g.Expect(s.Submit(start, again).Server).To(gomega.Equal("c"))
	}
	g.Expect(s.AllowsZone(queued, "z2")).To(gomega.BeTrue())
	g.Expect(s.AllowsZone(queued, "z1")).To(gomega.BeFalse())
	g.Expect(s.AllowsZone(queued, "lost")).To(gomega.BeFalse())
	g.Expect(s.AllowsZone(newRequest(0, start), "lost")).To(gomega.BeTrue())
}

// TestNoServerInRegions guards against holding a request that no server in its regions can run, or
// against refusing it with the reason of a service without servers.
func TestNoServerInRegions(t *testing.T) {
	for name, test := range map[string]struct {
		regions catalog.RegionSet
		zones   []string
	}{
		"servers elsewhere":          {catalog.NewRegionSet([]string{"r2"}), []string{"z1", "z3"}},
		"server of unknown region":   {catalog.NewRegionSet([]string{"r2"}), []string{"lost"}},
		"unnamed region":             {catalog.NewRegionSet([]string{""}), []string{"lost"}},
		"lists without intersection": {catalog.NewRegionSet([]string{"r1"}).Intersect(catalog.NewRegionSet([]string{"r2"})), []string{"z1", "z2"}},
		"no server at all":           {catalog.NewRegionSet([]string{"r2"}), nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := schedule.NewInRegions("z1", zoneRegions, keyOf)
			s.SetServers(start, modelServers(test.zones...))
			request := newRequest(1, start)
			request.AllowedRegions = test.regions
			decision := s.Submit(start, request)
			g.Expect(decision.Reason).To(gomega.Equal(schedule.RegionUnavailable))
			g.Expect(decision.RetryAfter).To(gomega.BeNumerically(">", time.Second))
			if test.zones != nil {
				g.Expect(s.Submit(start, newRequest(1, start)).Server).NotTo(gomega.BeEmpty())
			}
		})
	}
	g := gomega.NewWithT(t)
	s := schedule.NewInRegions("z1", zoneRegions, keyOf)
	s.SetServers(start, nil)
	g.Expect(s.Submit(start, newRequest(1, start)).Reason).To(gomega.Equal(schedule.NoServer))
}

// TestQueuedRequestLosesRegion guards against holding a queued request until its queue deadline after
// the last server in its regions has gone.
func TestQueuedRequestLosesRegion(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.NewInRegions("z1", zoneRegions, keyOf)
	s.SetServers(start, modelServers("z1", "z2"))
	saturate(s)
	s.SetRequestsElsewhere(start, map[uint32]int{keyOf("a"): 9, keyOf("b"): 9})
	queued := restrictedRequest(0, start, "r2")
	var refusal schedule.Decision
	queued.OnDecision = func(decision schedule.Decision) { refusal = decision }
	g.Expect(s.Submit(start, queued).Queued).To(gomega.BeTrue())
	s.SetServers(start, modelServers("z1"))
	g.Expect(refusal.Reason).To(gomega.Equal(schedule.RegionUnavailable))
}

// TestWaitInRegions guards against queueing a restricted request in vain, since the capacity of
// servers that it may not use is counted.
func TestWaitInRegions(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.NewInRegions("z1", zoneRegions, keyOf)
	s.SetServers(start, modelServers("z1", "z1", "z1", "z1", "z1", "z1", "z1", "z1", "z1", "z2"))
	busy := map[uint32]int{}
	for id := range 10 {
		busy[keyOf(string(rune('a'+id)))] = 9
	}
	s.SetRequestsElsewhere(start, busy)
	// The servers complete 40 requests per second, those in r2 4 of them. A request may wait for up to 0.25 s.
	for range 80 {
		s.Release(start, "none", "s", schedule.Completed)
	}
	g.Expect(s.Submit(start, newRequest(1, start)).Queued).To(gomega.BeTrue())
	g.Expect(s.Submit(start, restrictedRequest(1, start, "r1")).Queued).To(gomega.BeTrue())
	g.Expect(s.Submit(start, restrictedRequest(1, start, "r2")).Reason).To(gomega.Equal(schedule.Overloaded))
	// While z1 is evacuated, all requests complete in r2.
	s.SetEvacuatedZones(start, map[string]bool{"z1": true})
	g.Expect(s.Submit(start, restrictedRequest(1, start, "r2")).Queued).To(gomega.BeTrue())
}

// TestRegionRefusalsAreNoOverload guards against taking slots from late requests while only requests
// are refused that no server may run.
func TestRegionRefusalsAreNoOverload(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.NewInRegions("z1", zoneRegions, keyOf)
	servers := modelServers("z1")
	servers["a"].Slots = 4
	s.SetServers(start, servers)
	for range 50 {
		s.Submit(start, restrictedRequest(1, start, "r2"))
	}
	for range 4 {
		late := newRequest(1, start.Add(-time.Second))
		g.Expect(s.Submit(start, late).Server).To(gomega.Equal("a"))
	}
}
