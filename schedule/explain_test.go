package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/cold"
	"github.com/fuchsiarouter/fuchsiarouter/fairshare"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
)

// exclusions returns the exclusions of the servers a, b and so on.
func exclusions(candidates []schedule.Candidate) []schedule.Exclusion {
	reasons := make([]schedule.Exclusion, 0, len(candidates))
	for _, candidate := range candidates {
		reasons = append(reasons, candidate.Excluded)
	}
	return reasons
}

// TestExplainNamesEachReason guards against an explanation that gives another reason than the one for
// which the scheduler leaves out a server.
func TestExplainNamesEachReason(t *testing.T) {
	// Each case changes the state of server a. Server b can be selected.
	for reason, change := range map[schedule.Exclusion]func(s *schedule.Scheduler, request *schedule.Request, servers map[string]*catalog.Server){
		schedule.ExcludedLeaving: func(s *schedule.Scheduler, _ *schedule.Request, servers map[string]*catalog.Server) {
			s.MarkLeaving(start, servers["a"].Incarnation())
		},
		schedule.ExcludedReplaced: func(s *schedule.Scheduler, _ *schedule.Request, _ map[string]*catalog.Server) {
			s.MarkReplaced("a")
		},
		schedule.ExcludedEvacuated: func(s *schedule.Scheduler, _ *schedule.Request, _ map[string]*catalog.Server) {
			s.SetEvacuatedZones(start, map[string]bool{"z1": true})
		},
		schedule.ExcludedRegion: func(_ *schedule.Scheduler, request *schedule.Request, _ map[string]*catalog.Server) {
			request.AllowedRegions = catalog.NewRegionSet([]string{"r2"})
		},
		schedule.ExcludedModel: func(s *schedule.Scheduler, _ *schedule.Request, _ map[string]*catalog.Server) {
			s.SetEngineState(start, schedule.EngineState{Address: "a"})
		},
		schedule.ExcludedVersion: func(s *schedule.Scheduler, _ *schedule.Request, _ map[string]*catalog.Server) {
			s.SetEngineState(start, schedule.EngineState{Address: "b", Versions: map[string]int{"m": 2}})
			s.RequireVersion("m", 2)
		},
		schedule.ExcludedTried: func(_ *schedule.Scheduler, request *schedule.Request, _ map[string]*catalog.Server) {
			request.TriedServers = []string{"a"}
		},
		schedule.ExcludedSuspended: func(s *schedule.Scheduler, _ *schedule.Request, _ map[string]*catalog.Server) {
			s.Release(start, "a", "s", schedule.Failed)
		},
		schedule.ExcludedPaused: func(s *schedule.Scheduler, _ *schedule.Request, servers map[string]*catalog.Server) {
			s.Pause(start, servers["a"].Incarnation(), time.Second)
		},
		schedule.ExcludedLoad: func(s *schedule.Scheduler, request *schedule.Request, _ map[string]*catalog.Server) {
			request.Rank, request.OutputTokens = 1, 500
			s.SetEngineState(start, schedule.EngineState{Address: "a", Versions: map[string]int{"m": 1}, TimeToLoad: 200 * time.Millisecond})
		},
		schedule.ExcludedCapacity: func(s *schedule.Scheduler, _ *schedule.Request, _ map[string]*catalog.Server) {
			s.SetRequestsElsewhere(start, map[uint32]int{keyOf("a"): 9})
		},
	} {
		t.Run(string(reason), func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := schedule.NewInRegions("z1", zoneRegions, keyOf)
			servers := modelServers("z1", "z2")
			s.SetServers(start, servers)
			request := newRequest(0, start)
			decision, candidates := s.Explain(start, request)
			g.Expect(exclusions(candidates)).To(gomega.Equal([]schedule.Exclusion{"", ""}))
			g.Expect(decision.Server).To(gomega.Equal("a"))
			g.Expect(candidates[0]).To(gomega.Equal(schedule.Candidate{
				Server: "a", Zone: "z1", Region: "r1", HeldVersion: 1, Slots: 2, Preferred: true,
			}))
			change(s, request, servers)
			decision, candidates = s.Explain(start, request)
			g.Expect(candidates[0].Excluded).To(gomega.Equal(reason))
			g.Expect(decision.Server).NotTo(gomega.Equal("a"))
			g.Expect(s.Submit(start, request).Server).To(gomega.Equal(decision.Server))
		})
	}
}

// TestExplainAfterStall guards against naming no reason for a server that gets a single request
// at a time after a stall.
func TestExplainAfterStall(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	g.Expect(s.Submit(start, newRequest(0, start)).Server).To(gomega.Equal("a"))
	s.SuspendStalled(start, "a")
	now := start.Add(time.Minute)
	_, candidates := s.Explain(now, newRequest(0, now))
	g.Expect(exclusions(candidates)).To(gomega.Equal([]schedule.Exclusion{schedule.ExcludedStalled}))
}

// TestExplainColdLimit guards against an explanation that uses up or counts against the limit of a
// cold server, or that does not name the limit.
func TestExplainColdLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	servers := oldServers(1)
	servers["a"].ColdFor, servers["a"].Sequence = 10*time.Second, 51
	fleet := newColdFleet(servers, 26)
	sent := 0
	for range 50 {
		for range 5 {
			decision, candidates := fleet.Explain(fleet.now, newRequest(0, fleet.now))
			expected := schedule.Exclusion("")
			if decision.Server == "" {
				expected = schedule.ExcludedCold
			}
			g.Expect(exclusions(candidates)).To(gomega.Equal([]schedule.Exclusion{expected}))
		}
		before := fleet.ColdWithheld()
		decision, _ := fleet.Explain(fleet.now, newRequest(0, fleet.now))
		g.Expect(fleet.ColdWithheld()).To(gomega.Equal(before))
		request := newRequest(0, fleet.now)
		g.Expect(fleet.Submit(fleet.now, request).Server).To(gomega.Equal(decision.Server))
		if decision.Server == "" {
			break
		}
		fleet.complete("a")
		sent++
	}
	g.Expect(sent).To(gomega.BeNumerically(">", 0))
	g.Expect(sent).To(gomega.BeNumerically("<", 50))
	g.Expect(fleet.TakeColdEvents()).NotTo(gomega.ContainElement(gomega.HaveField("Cold", false)))
}

// TestExplainRefusal guards against an explanation that gives another outcome than the scheduler for
// requests that no server can run, or that have to be queued.
func TestExplainRefusal(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.NewInRegions("z1", zoneRegions, keyOf)
	decision, candidates := s.Explain(start, newRequest(0, start))
	g.Expect(decision.Reason).To(gomega.Equal(schedule.NoServer))
	g.Expect(candidates).To(gomega.BeEmpty())
	s.SetServers(start, modelServers("z1"))
	decision, _ = s.Explain(start, restrictedRequest(0, start, "r2"))
	g.Expect(decision.Reason).To(gomega.Equal(schedule.RegionUnavailable))
	saturate(s)
	decision, candidates = s.Explain(start, newRequest(1, start))
	g.Expect(decision.Queued || decision.Reason == schedule.Overloaded).To(gomega.BeTrue())
	g.Expect(exclusions(candidates)).To(gomega.Equal([]schedule.Exclusion{schedule.ExcludedCapacity}))
}

// TestExplainAgreesWithSubmit guards against an explanation that differs from the next decision: in a
// random state, the selected server has no exclusion, and if none is selected, all servers have one.
func TestExplainAgreesWithSubmit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		s := randomScheduler(t)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			request := newRequest(rapid.IntRange(0, 2).Draw(t, "rank"), now)
			request.PromptTokens, request.OutputTokens = rapid.IntRange(0, 4000).Draw(t, "prompt"), 90
			request.Workspace = rapid.SampledFrom([]string{"v", "w"}).Draw(t, "workspace")
			request.Resumed = rapid.IntRange(0, 9).Draw(t, "resumed") == 0
			if rapid.Bool().Draw(t, "restricted") {
				request.AllowedRegions = catalog.NewRegionSet([]string{"r1", "r2"})
			}
			explained, candidates := s.Explain(now, request)
			g.Expect(candidates).To(gomega.HaveLen(5))
			decision := s.Submit(now, request)
			g.Expect(decision.Queued).To(gomega.Equal(explained.Queued))
			g.Expect(decision.Reason).To(gomega.Equal(explained.Reason))
			g.Expect(decision.Server == "").To(gomega.Equal(explained.Server == ""))
			for _, candidate := range candidates {
				if candidate.Server == explained.Server || candidate.Server == decision.Server || decision.Server == "" {
					g.Expect(candidate.Excluded == "").To(gomega.Equal(decision.Server != ""), fmt.Sprint(candidate, decision, explained))
				}
			}
			if decision.Server != "" && rapid.Bool().Draw(t, "completes") {
				s.RemoveSend(decision.Server, request)
				s.Release(now, decision.Server, "s", schedule.Completed)
			}
		}
	})
}

// randomScheduler returns a scheduler with five servers in three zones, with random settings.
func randomScheduler(t *rapid.T) *schedule.Scheduler {
	s := schedule.NewInRegions("z1", zoneRegions, keyOf)
	s.SetEntries(rapid.IntRange(0, 1).Draw(t, "index"), 2, 6)
	if rapid.Bool().Draw(t, "counted") {
		engine := fleetB.engine
		engine.Slots = 2
		s.SetServices(map[string]*catalog.Service{"s": {Name: "s", Engine: &engine, ColdTime: time.Second}})
	}
	s.SetServers(start, modelServers("z1", "z1", "z2", "z2", "lost"))
	if rapid.Bool().Draw(t, "fair") {
		shares := fairshare.New(nil)
		shares.SetElsewhere(time.Hour, []fairshare.Usage{{Workspace: "x", Served: 1, Sustained: 1, Refused: 5, Queued: 3}}, 6, 0)
		s.SetFairShares("s", shares, func() time.Duration { return time.Hour })
	}
	s.SetRequestsElsewhere(start, map[uint32]int{keyOf("b"): rapid.IntRange(0, 3).Draw(t, "elsewhere")})
	return s
}

// TestExplainLeavesSchedulerUnchanged guards against an explanation that changes the state of the
// scheduler: two schedulers make the same decisions, one of which also explains. The load is one
// without random choices.
func TestExplainLeavesSchedulerUnchanged(t *testing.T) {
	for _, counted := range []bool{false, true} {
		t.Run(fmt.Sprint("counted ", counted), func(t *testing.T) {
			g := gomega.NewWithT(t)
			play := func(explains bool) []string {
				s := schedule.New("z", keyOf)
				now := start
				s.SetColdServices(start, schedule.ColdSettings{
					Entry: "e0", Bound: cold.Bound{Excess: 1.5, Slack: 5}, Clock: func() time.Duration { return time.Hour + now.Sub(start) },
				}, map[string]*catalog.Service{"s": {Name: "s", ColdTime: 3 * time.Second, ColdRate: 26}})
				shares := fairshare.New(nil)
				s.SetFairShares("s", shares, func() time.Duration { return time.Hour + now.Sub(start) })
				if counted {
					s.SetServices(map[string]*catalog.Service{"s": {Name: "s", Engine: &fleetB.engine, ColdTime: time.Second}})
				}
				s.SetServers(start, modelServers("z"))
				random := rand.New(rand.NewPCG(1, 2))
				var decisions []string
				for step := range 600 {
					now = now.Add(20 * time.Millisecond)
					s.SetColdView(cold.View{Zones: []cold.Zone{{Name: "z", Entries: []string{"e0", "e1"}, Live: true}}, InContact: true, HasRegistry: true})
					request := newRequest(random.IntN(3), now)
					request.PromptTokens, request.Workspace = 100+random.IntN(2000), string(rune('v'+random.IntN(3)))
					request.OnDecision = func(decision schedule.Decision) {
						decisions = append(decisions, fmt.Sprint(step, " later ", decision.Server, decision.Reason))
					}
					if explains {
						for rank := range 4 {
							other := newRequest(rank, now)
							other.Workspace = "other"
							s.Explain(now, other)
							s.Explain(now, request)
						}
					}
					decision := s.Submit(now, request)
					decisions = append(decisions, fmt.Sprint(step, decision.Server, decision.Queued, decision.Reason))
					if step%3 == 0 {
						s.RemoveSend("a", request)
						s.Release(now, "a", "s", schedule.Completed)
					}
					s.Tick(now)
				}
				decisions = append(decisions, fmt.Sprint(s.ColdWithheld(), s.LocalRequests(), shares.Report(time.Hour+now.Sub(start))))
				return decisions
			}
			without := play(false)
			g.Expect(play(true)).To(gomega.Equal(without))
			g.Expect(without).To(gomega.ContainElement(gomega.ContainSubstring("a")))
			g.Expect(without).To(gomega.ContainElement(gomega.ContainSubstring("overloaded")))
		})
	}
}

// TestExplainNamesLimits guards against naming no reason, or a wrong one, for a server that could run
// the request but is left to other requests.
func TestExplainNamesLimits(t *testing.T) {
	t.Run("share of servers that are not preferred", func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := schedule.New("z", keyOf)
		s.SetEntries(0, 2, 2)
		servers := modelServers("z", "z")
		servers["b"].Slots = 20
		s.SetServers(start, servers)
		s.SetRequestsElsewhere(start, map[uint32]int{keyOf("a"): 9})
		for range 16 {
			s.Submit(start, newRequest(0, start))
		}
		_, candidates := s.Explain(start, newRequest(0, start))
		g.Expect(exclusions(candidates)).To(gomega.Equal([]schedule.Exclusion{schedule.ExcludedCapacity, schedule.ExcludedShare}))
		g.Expect(candidates[1].InFlight).To(gomega.BeNumerically("<", 20))
	})
	t.Run("prediction", func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := schedule.New("z", keyOf)
		s.SetServices(map[string]*catalog.Service{"s": {Name: "s", Engine: &fleetB.engine, ColdTime: time.Second}})
		servers := modelServers("z")
		servers["a"].Slots = 12
		s.SetServers(start, servers)
		s.SetRequestsElsewhere(start, map[uint32]int{keyOf("a"): 8})
		request := newRequest(0, start)
		request.PromptTokens = 3000
		_, candidates := s.Explain(start, request)
		g.Expect(exclusions(candidates)).To(gomega.Equal([]schedule.Exclusion{""}))
		short := candidates[0].Predicted
		g.Expect(short).To(gomega.BeNumerically(">", 94*time.Millisecond), "3,000 of 31,900 tokens/s")
		request.FirstEventTarget = start.Add(short)
		decision, candidates := s.Explain(start, request)
		g.Expect(exclusions(candidates)).To(gomega.Equal([]schedule.Exclusion{schedule.ExcludedLate}))
		g.Expect(candidates[0].Predicted).To(gomega.Equal(short))
		g.Expect(decision.Server).To(gomega.BeEmpty())
	})
	t.Run("fair share", func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := schedule.New("z", keyOf)
		servers := modelServers("z")
		servers["a"].Slots = 100
		s.SetServers(start, servers)
		shares := fairshare.New(nil)
		for range 50 {
			shares.Serve(time.Hour, 0, "w", 1)
		}
		shares.SetElsewhere(time.Hour, []fairshare.Usage{{Workspace: "x", Served: 1, Sustained: 1, Refused: 50, Queued: 9}}, 2, 0)
		s.SetFairShares("s", shares, func() time.Duration { return time.Hour })
		s.SetRequestsElsewhere(start, map[uint32]int{keyOf("a"): 99})
		request := newRequest(0, start)
		request.Workspace = "w"
		decision, candidates := s.Explain(start, request)
		g.Expect(decision.Server).To(gomega.BeEmpty())
		g.Expect(exclusions(candidates)).To(gomega.Equal([]schedule.Exclusion{schedule.ExcludedFairShare}))
	})
}
