package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/schedule"
	"github.com/fuchsiarouter/fuchsiarouter/world"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engines returns model engines with two slots each.
func engines(zones ...string) map[string]*world.Server {
	servers := map[string]*world.Server{}
	for i, zone := range zones {
		id := string(rune('a' + i))
		servers[id] = &world.Server{
			ID: id, Service: "s", Address: id, AvailabilityZone: zone, Slots: 2, Versions: map[string]int{"m": 1},
		}
	}
	return servers
}

func request(rank int, at time.Time) *schedule.Request {
	return &schedule.Request{
		Service: "s", Rank: rank, Model: "m", Arrived: at, Target: at.Add(400 * time.Millisecond),
		Deadline: at.Add(6 * time.Second), Granted: func(schedule.Grant) {},
	}
}

// fill takes every place of the servers and lets as many requests end as make a pace
// of some tens a second.
func fill(s *schedule.Scheduler) {
	for range 40 {
		s.Offer(start, request(1, start))
	}
	for range 60 {
		s.Release(start, "none", "s", schedule.Ended)
	}
}

// TestOwnZoneFirst guards against bytes between zones at equal load, and against a
// zone that is preferred beyond it.
func TestOwnZoneFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("near")
	s.SetServers(start, engines("far", "near"))
	g.Expect(s.Offer(start, request(1, start)).Server).To(gomega.Equal("b"))
	g.Expect(s.Offer(start, request(1, start)).Server).To(gomega.Equal("a"))
}

// TestCountsOtherEntries guards against entries that all choose the server which is
// idle for each of them alone.
func TestCountsOtherEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z")
	s.SetServers(start, engines("z", "z"))
	s.SetOthers(start, "peer", map[string]int{"a": 2})
	g.Expect(s.Offer(start, request(1, start)).Server).To(gomega.Equal("b"))
	g.Expect(s.Offer(start, request(1, start)).Server).To(gomega.Equal("b"))
}

// TestUrgentGoesFirst guards against a flood of less urgent work that urgent requests
// wait behind.
func TestUrgentGoesFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z")
	s.SetServers(start, engines("z"))
	fill(s)
	s.SetOthers(start, "peer", map[string]int{"a": 9})
	var order []int
	for _, rank := range []int{2, 1, 0} {
		waiting := request(rank, start)
		waiting.Granted = func(grant schedule.Grant) { order = append(order, rank) }
		g.Expect(s.Offer(start, waiting).Waited).To(gomega.BeTrue())
	}
	s.SetOthers(start, "peer", nil)
	for range 5 {
		s.Release(start, "a", "s", schedule.Ended)
	}
	g.Expect(order).To(gomega.HaveLen(3))
	g.Expect(order[0]).To(gomega.Equal(0))
}

// TestLowRanksKeepAShare guards against a rank that gets nothing while the one above
// it asks for everything.
func TestLowRanksKeepAShare(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z")
	s.SetServers(start, engines("z"))
	served := map[int]int{}
	now := start
	for i := range 3000 {
		now = now.Add(5 * time.Millisecond)
		for _, rank := range []int{1, 2} {
			waiting := request(rank, now)
			waiting.Granted = func(grant schedule.Grant) {
				if grant.Server != "" {
					served[rank]++
				}
			}
			if grant := s.Offer(now, waiting); grant.Server != "" {
				served[rank]++
			}
		}
		// One place becomes free for every four requests.
		if i%2 == 0 {
			s.Release(now, "a", "s", schedule.Ended)
		}
		s.Tick(now)
	}
	g.Expect(served[1] + served[2]).To(gomega.BeNumerically(">", 1000))
	g.Expect(float64(served[2]) / float64(served[1])).To(gomega.BeNumerically(">", 0.7))
	g.Expect(float64(served[2]) / float64(served[1])).To(gomega.BeNumerically("<", 1.1))
}

// TestRefusesAtOnce guards against holding a request that cannot be served in time,
// and against a refusal without a time to come back.
func TestRefusesAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z")
	s.SetServers(start, engines("z"))
	s.SetOthers(start, "peer", map[string]int{"a": 9})
	grant := s.Offer(start, request(1, start))
	g.Expect(grant.Waited).To(gomega.BeFalse())
	g.Expect(grant.Server).To(gomega.BeEmpty())
	g.Expect(grant.Reason).To(gomega.Equal(schedule.Overloaded))
	g.Expect(grant.RetryAfter).To(gomega.BeNumerically(">", 0))
	none := request(1, start)
	none.Model = "other"
	g.Expect(s.Offer(start, none).Reason).To(gomega.Equal(schedule.NoServer))
}

// TestWaitEnds guards against a request that waits beyond the time in which its
// answer can begin.
func TestWaitEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z")
	s.SetServers(start, engines("z"))
	fill(s)
	s.SetOthers(start, "peer", map[string]int{"a": 9})
	var ended schedule.Grant
	waiting := request(1, start)
	waiting.Granted = func(grant schedule.Grant) { ended = grant }
	g.Expect(s.Offer(start, waiting).Waited).To(gomega.BeTrue())
	s.Tick(start.Add(100 * time.Millisecond))
	g.Expect(ended.Reason).To(gomega.BeEmpty())
	s.Tick(start.Add(399 * time.Millisecond))
	g.Expect(ended.Reason).To(gomega.Equal(schedule.Expired))
	g.Expect(s.Cancel(waiting)).To(gomega.BeFalse())
}

// TestRequiredVersion guards against a request that begins on an older version after
// the deadline of a newer one.
func TestRequiredVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z")
	servers := engines("z", "z")
	servers["b"].Versions["m"] = 2
	s.SetServers(start, servers)
	s.Require("m", 2)
	for range 2 {
		g.Expect(s.Offer(start, request(1, start)).Server).To(gomega.Equal("b"))
	}
	// The agent's word goes before the registration, which follows later.
	s.SetEngine(start, schedule.Engine{Address: "a", Versions: map[string]int{"m": 2}})
	g.Expect(s.Offer(start, request(1, start)).Server).To(gomega.Equal("a"))
}

// TestLongRequestsAvoidALoad guards against an engine that takes nothing new for
// seconds, because it waits for a long answer before it loads weights.
func TestLongRequestsAvoidALoad(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z")
	s.SetServers(start, engines("z", "z"))
	s.SetEngine(start, schedule.Engine{Address: "a", Versions: map[string]int{"m": 1}, LoadsIn: time.Second})
	for range 2 {
		long := request(1, start)
		long.Tokens = 300
		g.Expect(s.Offer(start, long).Server).To(gomega.Equal("b"))
	}
	short := request(1, start)
	short.Tokens = 10
	g.Expect(s.Offer(start, short).Server).To(gomega.Equal("a"))
}

// TestFailingServersRest guards against a server that refuses everything and draws
// requests because it is idle.
func TestFailingServersRest(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z")
	s.SetServers(start, engines("z", "far"))
	g.Expect(s.Offer(start, request(1, start)).Server).To(gomega.Equal("a"))
	s.Release(start, "a", "s", schedule.Failed)
	again := start.Add(50 * time.Millisecond)
	g.Expect(s.Offer(again, request(1, again)).Server).To(gomega.Equal("b"))
	later := start.Add(time.Second)
	g.Expect(s.Offer(later, request(1, later)).Server).To(gomega.Equal("a"))
}

// TestStalledServers guards against requests that are sent to a machine which stands
// still, because its server looks idle.
func TestStalledServers(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z")
	s.SetServers(start, engines("z"))
	s.Rest(start, "a")
	g.Expect(s.Offer(start.Add(time.Second), request(1, start.Add(time.Second))).Server).To(gomega.BeEmpty())
	later := start.Add(3 * time.Second)
	g.Expect(s.Offer(later, request(1, later)).Server).To(gomega.Equal("a"))
	g.Expect(s.Offer(later, request(1, later)).Server).To(gomega.BeEmpty())
	s.Release(later, "a", "s", schedule.Ended)
	g.Expect(s.Offer(later, request(1, later)).Server).To(gomega.Equal("a"))
	g.Expect(s.Offer(later, request(1, later)).Server).To(gomega.Equal("a"))
}

// TestBegunAnswersGoFirst guards against cutting an answer that has begun, because its
// server was lost while others are full.
func TestBegunAnswersGoFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z")
	s.SetServers(start, engines("z"))
	fill(s)
	s.SetOthers(start, "peer", map[string]int{"a": 9})
	var order []string
	fresh := request(1, start)
	fresh.Granted = func(schedule.Grant) { order = append(order, "fresh") }
	g.Expect(s.Offer(start, fresh).Waited).To(gomega.BeTrue())
	begun := request(2, start.Add(-2*time.Second))
	begun.Resumed, begun.GivesUp = true, start.Add(time.Second)
	begun.Granted = func(schedule.Grant) { order = append(order, "begun") }
	g.Expect(s.Offer(start, begun).Waited).To(gomega.BeTrue())
	s.SetOthers(start, "peer", nil)
	for range 5 {
		s.Release(start, "a", "s", schedule.Ended)
	}
	g.Expect(order).To(gomega.Equal([]string{"begun", "fresh"}))
}

// TestCallersThatLeaveAreRefused guards against a request that waits, or is sent again,
// although its caller leaves before an answer can begin.
func TestCallersThatLeaveAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z")
	s.SetServers(start, engines("z"))
	fill(s)
	s.SetOthers(start, "peer", map[string]int{"a": 9})
	leaving := request(1, start)
	leaving.Resumed, leaving.GivesUp = true, start.Add(50*time.Millisecond)
	g.Expect(s.Offer(start, leaving).Reason).To(gomega.Equal(schedule.Overloaded))
}

// TestRestIsNotExtended guards against a server that rests longer with each entry that
// tells of its stall.
func TestRestIsNotExtended(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z")
	s.SetServers(start, engines("z"))
	for at := range 20 {
		s.Rest(start.Add(time.Duration(at)*50*time.Millisecond), "a")
	}
	later := start.Add(2100 * time.Millisecond)
	g.Expect(s.Offer(later, request(1, later)).Server).To(gomega.Equal("a"))
}

// TestGoneServers guards against requests that are sent again and again to a server that
// has restarted, while its former registration is still there.
func TestGoneServers(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z")
	servers := engines("z", "far")
	s.SetServers(start, servers)
	s.Gone("a")
	for at := range 2 {
		later := start.Add(time.Duration(at) * 10 * time.Second)
		g.Expect(s.Offer(later, request(1, later)).Server).To(gomega.Equal("b"))
	}
	restarted := *servers["a"]
	restarted.Born = 2
	servers["a"] = &restarted
	s.SetServers(start, servers)
	g.Expect(s.Offer(start, request(1, start)).Server).To(gomega.Equal("a"))
}
