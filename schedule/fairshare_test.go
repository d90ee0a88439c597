package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/fairshare"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
)

// workspaceRequest returns a request of a workspace.
func workspaceRequest(workspace string, rank int, at time.Time, sent map[string]int) *schedule.Request {
	request := newRequest(rank, at)
	request.Workspace = workspace
	request.OnDecision = func(decision schedule.Decision) {
		if decision.Server != "" {
			sent[workspace]++
		}
	}
	return request
}

// playWorkspaces plays a workspace with 100 requests per second, and one with 4, on a server that runs
// 20 per second, and returns how many of each were sent in 10 s.
func playWorkspaces(s *schedule.Scheduler, now *time.Time) map[string]int {
	sent := map[string]int{}
	running := []time.Time{}
	for tick := range 1000 {
		*now = now.Add(10 * time.Millisecond)
		submit := func(workspace string) {
			if s.Submit(*now, workspaceRequest(workspace, 1, *now, sent)).Server != "" {
				sent[workspace]++
			}
		}
		submit("greedy")
		if tick%25 == 0 {
			submit("modest")
		}
		for len(running) < sent["greedy"]+sent["modest"] {
			running = append(running, now.Add(100*time.Millisecond))
		}
		for i, end := range running {
			if !end.IsZero() && !now.Before(end) {
				running[i] = time.Time{}
				s.Release(*now, "a", "s", schedule.Completed)
			}
		}
		s.Tick(*now)
	}
	return sent
}

// TestFairShareOfWorkspace guards against a workspace that displaces another one of the same rank by many requests.
func TestFairShareOfWorkspace(t *testing.T) {
	g := gomega.NewWithT(t)
	now := start
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	s.SetFairShares("s", fairshare.New(nil), func() time.Duration { return time.Hour + now.Sub(start) })
	fair := playWorkspaces(s, &now)
	g.Expect(fair["modest"]).To(gomega.BeNumerically(">=", 38), "of 40")
	g.Expect(fair["greedy"]).To(gomega.BeNumerically(">=", 140), "the rest is lent")
}

// TestNoFairShares guards against an effect of workspaces where fair shares are not switched on.
func TestNoFairShares(t *testing.T) {
	g := gomega.NewWithT(t)
	now := start
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	s.SetFairShares("s", nil, nil)
	unfair := playWorkspaces(s, &now)
	g.Expect(unfair["modest"]).To(gomega.BeNumerically("<", 20), "of 40")
}

// TestWorkspaceWithLeastWorkGoesNext guards against queued requests that are sent in the order of their arrival, whatever their workspaces got before.
func TestWorkspaceWithLeastWorkGoesNext(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	saturate(s)
	shares, clock := fairshare.New(nil), func() time.Duration { return time.Hour }
	s.SetFairShares("s", shares, clock)
	shares.Serve(time.Hour, 1, "greedy", 5)
	sent := map[string]int{}
	for _, workspace := range []string{"greedy", "greedy", "modest"} {
		g.Expect(s.Submit(start, workspaceRequest(workspace, 1, start, sent)).Queued).To(gomega.BeTrue())
	}
	s.Release(start, "a", "s", schedule.Completed)
	g.Expect(sent).To(gomega.Equal(map[string]int{"modest": 1}))
	s.Release(start, "a", "s", schedule.Completed)
	g.Expect(sent).To(gomega.Equal(map[string]int{"modest": 1, "greedy": 1}))
}

// TestLastSlotIsLeftToOthers guards against a workspace above its share that takes the last free slot from those at other entries, by a request that arrives or by a queued one.
func TestLastSlotIsLeftToOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	shares, clock := fairshare.New(nil), func() time.Duration { return time.Hour }
	s.SetFairShares("s", shares, clock)
	shares.Serve(time.Hour, 1, "greedy", 5)
	shares.Refuse(time.Hour, 1, "greedy", 5)
	shares.SetElsewhere(time.Hour, []fairshare.Usage{{Workspace: "modest", Rank: 1, Served: 1, Sustained: 1, Queued: 1}}, 2, 0)
	sent := map[string]int{}
	g.Expect(s.Submit(start, workspaceRequest("greedy", 1, start, sent)).Server).To(gomega.Equal("a"), "two are free")
	for range 60 {
		s.Release(start, "none", "s", schedule.Completed)
	}
	g.Expect(s.Submit(start, workspaceRequest("greedy", 1, start, sent)).Queued).To(gomega.BeTrue(), "one is free")
	s.Tick(start)
	g.Expect(sent).To(gomega.BeEmpty())
	g.Expect(s.Submit(start, workspaceRequest("modest", 1, start, sent)).Server).To(gomega.Equal("a"))
}

// TestSwitchOfFairShares guards against fair shares where nothing asks for them, and against services that are not shared although the configuration or their servers ask for it.
func TestSwitchOfFairShares(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	settings := schedule.FairShareSettings{
		Weights: map[string]float64{"w": 1}, Clock: func() time.Duration { return time.Hour },
		Services: map[string]*catalog.Service{"even": {}, "cold": {ColdTime: time.Second}, "uneven": {}},
	}
	shared := func() (names []string) {
		s.EachFairShares(func(service string, _ *fairshare.Shares) { names = append(names, service) })
		return names
	}
	s.SetSpeedVaries("even", false)
	s.SetFairShareSettings(settings)
	g.Expect(shared()).To(gomega.ConsistOf("cold"))
	s.SetSpeedVaries("uneven", true)
	s.SetSpeedVaries("unknown", true)
	g.Expect(shared()).To(gomega.ConsistOf("cold", "uneven"))
	g.Expect(s.HasFairShares("even")).To(gomega.BeFalse())
	s.SetFairShareSettings(schedule.FairShareSettings{Services: settings.Services, Clock: settings.Clock})
	g.Expect(shared()).To(gomega.BeEmpty(), "without workspaces")
	s.SetFairShareSettings(settings)
	g.Expect(shared()).To(gomega.ConsistOf("cold", "uneven"))
	s.SetFairShareSettings(schedule.FairShareSettings{Weights: settings.Weights, Services: map[string]*catalog.Service{"cold": {}}, Clock: settings.Clock})
	g.Expect(shared()).To(gomega.BeEmpty())
}

// TestRetryAfterOfShare guards against a Retry-After that says nothing about when the share of the workspace is free.
func TestRetryAfterOfShare(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	saturate(s)
	now := time.Hour
	shares := fairshare.New(nil)
	s.SetFairShares("s", shares, func() time.Duration { return now })
	for range 400 {
		now += 5 * time.Millisecond
		shares.Serve(now, 1, "greedy", 0.09)
		shares.Refuse(now, 1, "greedy", 0.09)
		shares.Serve(now, 1, "modest", 0.01)
	}
	// The greedy workspace gets 18 per second, of which 90 are queued: 5 s.
	shares.Queue(1, "greedy", 90)
	request := workspaceRequest("greedy", 1, start, map[string]int{})
	decision := s.Submit(start, request)
	g.Expect(decision.Reason).To(gomega.Equal(schedule.Overloaded))
	wait, _ := shares.Wait(now, 1, "greedy", 1)
	g.Expect(wait).To(gomega.BeNumerically(">", 3*time.Second))
	g.Expect(decision.RetryAfter).To(gomega.BeNumerically(">=", wait-200*time.Millisecond))
	g.Expect(decision.RetryAfter).To(gomega.BeNumerically("<=", wait*6/5))
	refused, _ := s.FairShareCounts()
	g.Expect(refused).To(gomega.BeEquivalentTo(1))
}

// TestLowerWorkspacesUseSlotsInCalm guards against requests of workspaces below the most urgent ones that may use 0.6 of the slots only although nobody needs the others.
func TestLowerWorkspacesUseSlotsInCalm(t *testing.T) {
	g := gomega.NewWithT(t)
	// sent returns how many of 10 requests of rank 5 are sent to an idle server with 12 slots, after others of
	// both ranks were served and some of rank 4 refused.
	sent := func(routeRanks, served, refused int) int {
		s := schedule.New("z", keyOf)
		servers := modelServers("z")
		servers["a"].Slots = 12
		s.SetServers(start, servers)
		s.SetFairShareSettings(schedule.FairShareSettings{
			Weights: map[string]float64{"w": 1}, Services: map[string]*catalog.Service{"s": {ColdTime: time.Second}},
			RouteRanks: routeRanks, Clock: func() time.Duration { return time.Hour },
		})
		for range served {
			for rank := 4; rank <= 5; rank++ {
				g.Expect(s.Submit(start, newRequest(rank, start)).Server).NotTo(gomega.BeEmpty())
				s.Release(start, "a", "s", schedule.Completed)
			}
		}
		for range refused {
			request := newRequest(4, start)
			request.Model = "unknown"
			s.Submit(start, request)
		}
		count := 0
		for range 10 {
			if s.Submit(start, newRequest(5, start)).Server != "" {
				count++
			}
		}
		return count
	}
	g.Expect(sent(3, 40, 0)).To(gomega.Equal(10))
	g.Expect(sent(3, 40, 10)).To(gomega.Equal(8), "while the more urgent workspaces are refused")
	g.Expect(sent(6, 40, 0)).To(gomega.Equal(8), "a rank of the most urgent workspaces")
}
