package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
)

// start is the time at which the tests begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// keyOf is the key of a server with an ID of one letter.
func keyOf(id string) uint32 { return uint32(id[0]) }

// modelServers returns one model server with two slots for each given zone, with the IDs
// a, b and so on.
func modelServers(zones ...string) map[string]*catalog.Server {
	servers := map[string]*catalog.Server{}
	for i, zone := range zones {
		id := string(rune('a' + i))
		servers[id] = &catalog.Server{
			ID: id, Service: "s", Address: id, AvailabilityZone: zone, Slots: 2, Versions: map[string]int{"m": 1},
		}
	}
	return servers
}

// newRequest returns a request to the model m with the given rank that arrives at the
// given time.
func newRequest(rank int, at time.Time) *schedule.Request {
	return &schedule.Request{
		Service: "s", Rank: rank, Model: "m", Arrived: at, FirstEventTarget: at.Add(400 * time.Millisecond),
		Deadline: at.Add(6 * time.Second), OnDecision: func(schedule.Decision) {},
	}
}

// saturate uses all capacity of the servers for rank 1, and releases enough requests as
// completed for a completion rate of some tens per second. These are released at a server
// that does not exist, so no capacity becomes free.
func saturate(s *schedule.Scheduler) {
	for range 40 {
		s.Submit(start, newRequest(1, start))
	}
	for range 60 {
		s.Release(start, "none", "s", schedule.Completed)
	}
}

// TestPrefersLocalZoneAtEqualLoad guards against traffic between zones at equal load, and
// against preferring the local zone when its server is more loaded.
func TestPrefersLocalZoneAtEqualLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("near", keyOf)
	s.SetServers(start, modelServers("far", "near"))
	g.Expect(s.Submit(start, newRequest(1, start)).Server).To(gomega.Equal("b"))
	g.Expect(s.Submit(start, newRequest(1, start)).Server).To(gomega.Equal("a"))
}

// TestCountsRequestsOfOtherEntries guards against entries that all select the same server
// because each of them counts only its own requests there.
func TestCountsRequestsOfOtherEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z", "z"))
	s.SetRequestsElsewhere(start, map[uint32]int{keyOf("a"): 2})
	g.Expect(s.Submit(start, newRequest(1, start)).Server).To(gomega.Equal("b"))
	g.Expect(s.Submit(start, newRequest(1, start)).Server).To(gomega.Equal("b"))
}

// TestMostUrgentRankFirst guards against urgent requests that are queued behind a flood
// of less urgent ones.
func TestMostUrgentRankFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	saturate(s)
	s.SetRequestsElsewhere(start, map[uint32]int{keyOf("a"): 9})
	var order []int
	for _, rank := range []int{2, 1, 0} {
		waiting := newRequest(rank, start)
		waiting.OnDecision = func(decision schedule.Decision) { order = append(order, rank) }
		g.Expect(s.Submit(start, waiting).Queued).To(gomega.BeTrue())
	}
	s.SetRequestsElsewhere(start, nil)
	for range 5 {
		s.Release(start, "a", "s", schedule.Completed)
	}
	g.Expect(order).To(gomega.HaveLen(3))
	g.Expect(order[0]).To(gomega.Equal(0))
}

// TestLowerRanksAreNotStarved guards against starvation of a rank while the next more
// urgent one takes all capacity.
func TestLowerRanksAreNotStarved(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	served := map[int]int{}
	now := start
	for i := range 3000 {
		now = now.Add(5 * time.Millisecond)
		for _, rank := range []int{1, 2} {
			waiting := newRequest(rank, now)
			waiting.OnDecision = func(decision schedule.Decision) {
				if decision.Server != "" {
					served[rank]++
				}
			}
			if decision := s.Submit(now, waiting); decision.Server != "" {
				served[rank]++
			}
		}
		// One request completes for every four new ones.
		if i%2 == 0 {
			s.Release(now, "a", "s", schedule.Completed)
		}
		s.Tick(now)
	}
	g.Expect(served[1] + served[2]).To(gomega.BeNumerically(">", 1000))
	g.Expect(float64(served[2]) / float64(served[1])).To(gomega.BeNumerically(">", 0.7))
	g.Expect(float64(served[2]) / float64(served[1])).To(gomega.BeNumerically("<", 1.1))
}

// TestRefusesImmediatelyWhenOverloaded guards against queueing a request that cannot be
// served in time, and against a refusal without a retry delay.
func TestRefusesImmediatelyWhenOverloaded(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	s.SetRequestsElsewhere(start, map[uint32]int{keyOf("a"): 9})
	decision := s.Submit(start, newRequest(1, start))
	g.Expect(decision.Queued).To(gomega.BeFalse())
	g.Expect(decision.Server).To(gomega.BeEmpty())
	g.Expect(decision.Reason).To(gomega.Equal(schedule.Overloaded))
	g.Expect(decision.RetryAfter).To(gomega.BeNumerically(">", 0))
	unknownModel := newRequest(1, start)
	unknownModel.Model = "other"
	g.Expect(s.Submit(start, unknownModel).Reason).To(gomega.Equal(schedule.NoServer))
}

// TestQueuedRequestExpires guards against keeping a request in the queue after its
// response can no longer begin in time.
func TestQueuedRequestExpires(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	saturate(s)
	s.SetRequestsElsewhere(start, map[uint32]int{keyOf("a"): 9})
	var final schedule.Decision
	waiting := newRequest(1, start)
	waiting.OnDecision = func(decision schedule.Decision) { final = decision }
	g.Expect(s.Submit(start, waiting).Queued).To(gomega.BeTrue())
	s.Tick(start.Add(100 * time.Millisecond))
	g.Expect(final.Reason).To(gomega.BeEmpty())
	s.Tick(start.Add(399 * time.Millisecond))
	g.Expect(final.Reason).To(gomega.Equal(schedule.Expired))
	g.Expect(s.Cancel(waiting)).To(gomega.BeFalse())
}

// TestRequiredVersionSelectsServer guards against a request that begins on an older
// version after the deadline of a newer one.
func TestRequiredVersionSelectsServer(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	servers := modelServers("z", "z")
	servers["b"].Versions["m"] = 2
	s.SetServers(start, servers)
	s.RequireVersion("m", 2)
	for range 2 {
		g.Expect(s.Submit(start, newRequest(1, start)).Server).To(gomega.Equal("b"))
	}
	// The report of the loader takes precedence over the registration, which is updated
	// later.
	s.SetEngineState(start, schedule.EngineState{Address: "a", Versions: map[string]int{"m": 2}})
	g.Expect(s.Submit(start, newRequest(1, start)).Server).To(gomega.Equal("a"))
}

// TestDelayedEngineStateIsIgnored guards against a delayed state that replaces a newer one of the engine.
func TestDelayedEngineStateIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	s.RequireVersion("m", 2)
	s.SetEngineState(start, schedule.EngineState{Address: "a", Versions: map[string]int{"m": 2}, Number: 2})
	s.SetEngineState(start, schedule.EngineState{Address: "a", Versions: map[string]int{"m": 1}, Number: 1})
	g.Expect(s.Submit(start, newRequest(1, start)).Server).To(gomega.Equal("a"))
}

// TestLongRequestsAvoidPendingLoad guards against sending a long request to an engine
// that is about to load weights: the engine waits for the response before it loads, and
// takes no new requests for seconds meanwhile.
func TestLongRequestsAvoidPendingLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z", "z"))
	s.SetEngineState(start, schedule.EngineState{Address: "a", Versions: map[string]int{"m": 1}, TimeToLoad: time.Second})
	for range 2 {
		long := newRequest(1, start)
		long.OutputTokens = 300
		g.Expect(s.Submit(start, long).Server).To(gomega.Equal("b"))
	}
	short := newRequest(1, start)
	short.OutputTokens = 10
	g.Expect(s.Submit(start, short).Server).To(gomega.Equal("a"))
}

// TestFailingServersAreEjected guards against a server that fails every request and is
// sent more of them because it looks idle.
func TestFailingServersAreEjected(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z", "far"))
	g.Expect(s.Submit(start, newRequest(1, start)).Server).To(gomega.Equal("a"))
	s.Release(start, "a", "s", schedule.Failed)
	again := start.Add(50 * time.Millisecond)
	g.Expect(s.Submit(again, newRequest(1, again)).Server).To(gomega.Equal("b"))
	later := start.Add(time.Second)
	g.Expect(s.Submit(later, newRequest(1, later)).Server).To(gomega.Equal("a"))
}

// TestStalledServersAreSuspended guards against sending requests to a frozen VM because
// its server looks idle, and against sending more than one request at a time after the
// suspension before one has completed.
func TestStalledServersAreSuspended(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	s.SuspendStalled(start, "a")
	g.Expect(s.Submit(start.Add(time.Second), newRequest(1, start.Add(time.Second))).Server).To(gomega.BeEmpty())
	later := start.Add(3 * time.Second)
	g.Expect(s.Submit(later, newRequest(1, later)).Server).To(gomega.Equal("a"))
	g.Expect(s.Submit(later, newRequest(1, later)).Server).To(gomega.BeEmpty())
	s.Release(later, "a", "s", schedule.Completed)
	g.Expect(s.Submit(later, newRequest(1, later)).Server).To(gomega.Equal("a"))
	g.Expect(s.Submit(later, newRequest(1, later)).Server).To(gomega.Equal("a"))
}

// TestServerThatGoesOnIsNotSuspended guards against refusing requests because a server was silent
// for a while, and against lifting the ejection of a server that was not.
func TestServerThatGoesOnIsNotSuspended(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	s.SuspendStalled(start, "a")
	soon := start.Add(100 * time.Millisecond)
	g.Expect(s.Submit(soon, newRequest(1, soon)).Server).To(gomega.BeEmpty())
	s.ResumeStalled(soon, "a")
	for range 2 {
		g.Expect(s.Submit(soon, newRequest(1, soon)).Server).To(gomega.Equal("a"))
	}
	s.Release(soon, "a", "s", schedule.Failed)
	s.ResumeStalled(soon, "a")
	g.Expect(s.Submit(soon, newRequest(1, soon)).Server).To(gomega.BeEmpty())
}

// TestResumedRequestsGoFirst guards against cutting off a response that has begun: when
// its server is lost while the others are full, its request must precede the queued ones.
func TestResumedRequestsGoFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	saturate(s)
	s.SetRequestsElsewhere(start, map[uint32]int{keyOf("a"): 9})
	var order []string
	fresh := newRequest(1, start)
	fresh.OnDecision = func(schedule.Decision) { order = append(order, "fresh") }
	g.Expect(s.Submit(start, fresh).Queued).To(gomega.BeTrue())
	resumed := newRequest(2, start.Add(-2*time.Second))
	resumed.Resumed, resumed.AbandonAt = true, start.Add(time.Second)
	resumed.OnDecision = func(schedule.Decision) { order = append(order, "begun") }
	g.Expect(s.Submit(start, resumed).Queued).To(gomega.BeTrue())
	s.SetRequestsElsewhere(start, nil)
	for range 5 {
		s.Release(start, "a", "s", schedule.Completed)
	}
	g.Expect(order).To(gomega.Equal([]string{"begun", "fresh"}))
}

// TestRefusesWhenCallerLeavesTooSoon guards against queueing or resending a request whose
// caller disconnects before a response can begin.
func TestRefusesWhenCallerLeavesTooSoon(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	saturate(s)
	s.SetRequestsElsewhere(start, map[uint32]int{keyOf("a"): 9})
	leaving := newRequest(1, start)
	leaving.Resumed, leaving.AbandonAt = true, start.Add(50*time.Millisecond)
	g.Expect(s.Submit(start, leaving).Reason).To(gomega.Equal(schedule.Overloaded))
}

// TestStallSuspensionIsNotExtended guards against extending the suspension of a server
// each time that another entry reports the same stall.
func TestStallSuspensionIsNotExtended(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	for at := range 20 {
		s.SuspendStalled(start.Add(time.Duration(at)*50*time.Millisecond), "a")
	}
	later := start.Add(2100 * time.Millisecond)
	g.Expect(s.Submit(later, newRequest(1, later)).Server).To(gomega.Equal("a"))
}

// TestReplacedServersGetNoRequests guards against sending requests over and over to a
// server that has restarted while its old registration still exists.
func TestReplacedServersGetNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	servers := modelServers("z", "far")
	s.SetServers(start, servers)
	s.MarkReplaced("a")
	for at := range 2 {
		later := start.Add(time.Duration(at) * 10 * time.Second)
		g.Expect(s.Submit(later, newRequest(1, later)).Server).To(gomega.Equal("b"))
	}
	restarted := *servers["a"]
	restarted.Started = 2
	servers["a"] = &restarted
	s.SetServers(start, servers)
	g.Expect(s.Submit(start, newRequest(1, start)).Server).To(gomega.Equal("a"))
}

// overloadedServer returns the scheduler of one of several entries of a zone with a server of
// eight slots, which has a request of rank 2 and the given number of rank 1 in flight, after
// most requests of rank 1 were refused.
func overloadedServer(entries, running int) *schedule.Scheduler {
	s := schedule.New("z", keyOf)
	s.SetEntries(0, entries, entries)
	s.SetServers(start, map[string]*catalog.Server{
		"a": {ID: "a", Service: "s", Address: "a", AvailabilityZone: "z", Slots: 8, Versions: map[string]int{"m": 1}},
	})
	s.Submit(start, newRequest(2, start))
	for range 30 {
		s.Submit(start, newRequest(1, start))
	}
	s.Tick(start.Add(time.Second))
	// Requests below the most urgent rank use seven of the slots.
	for range 6 - running {
		s.Release(start.Add(time.Second), "a", "s", schedule.Completed)
	}
	return s
}

// TestResumedRequestOfOverservedRank guards against cutting off a response that has begun
// because its rank got more than a more urgent one.
func TestResumedRequestOfOverservedRank(t *testing.T) {
	g := gomega.NewWithT(t)
	s := overloadedServer(1, 6)
	resumed := newRequest(2, start.Add(time.Second))
	resumed.Resumed = true
	g.Expect(s.Submit(start.Add(time.Second), resumed).Server).To(gomega.Equal("a"))
}

// TestLateRequestsLeaveSlots guards against late requests that take the slots of those in
// time, which an entry rarely has in its queue, whether it is one of many or of few, against
// slots that are too few for late ones, and against leaving slots idle long after the last refusal.
func TestLateRequestsLeaveSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	late := func(at time.Time) *schedule.Request {
		request := newRequest(1, at)
		request.FirstEventTarget = at.Add(-time.Second)
		return request
	}
	now := start.Add(time.Second)
	g.Expect(overloadedServer(8, 4).Submit(now, late(now)).Server).To(gomega.BeEmpty())
	g.Expect(overloadedServer(8, 4).Submit(now, newRequest(1, now)).Server).To(gomega.Equal("a"))
	g.Expect(overloadedServer(2, 4).Submit(now, late(now)).Server).To(gomega.BeEmpty())
	g.Expect(overloadedServer(2, 2).Submit(now, late(now)).Server).To(gomega.Equal("a"))
	now = start.Add(time.Minute)
	g.Expect(overloadedServer(8, 4).Submit(now, late(now)).Server).To(gomega.Equal("a"))
}
