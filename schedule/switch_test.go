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

// countingScheduler returns a scheduler that counts engine time, with model servers of twelve slots.
func countingScheduler(zones ...string) *schedule.Scheduler {
	s := schedule.New("z", keyOf)
	servers := modelServers(zones...)
	for _, server := range servers {
		server.Slots = 12
	}
	s.SetServices(map[string]*catalog.Service{"s": {Name: "s", Engine: &fleetB.engine, ColdTime: time.Second}})
	s.SetServers(start, servers)
	return s
}

// newPrompt returns a request of rank 0 with a prompt of the given length.
func newPrompt(tokens int, at time.Time) *schedule.Request {
	request := newRequest(0, at)
	request.PromptTokens = tokens
	return request
}

// TestCountsRequestsUnlessSwitchedOn guards against other decisions for services whose servers
// report no pace and whose configuration has no cold servers: a scheduler that gets their figures
// and loads decides as one that does not, in any order of events.
func TestCountsRequestsUnlessSwitchedOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, told := schedule.New("z", keyOf), schedule.New("z", keyOf)
		told.SetServices(map[string]*catalog.Service{"s": {Name: "s", Engine: &fleetB.engine}})
		var decisions [2][]string
		now := start
		sent := 0
		both := func(run func(mode int, s *schedule.Scheduler)) {
			for mode, s := range []*schedule.Scheduler{plain, told} {
				run(mode, s)
			}
		}
		// With one server there is no choice at random.
		both(func(_ int, s *schedule.Scheduler) { s.SetServers(start, modelServers("z")) })
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				rank, tokens := rapid.IntRange(0, 2).Draw(t, "rank"), rapid.IntRange(0, 5000).Draw(t, "tokens")
				target := time.Duration(rapid.IntRange(-100, 1000).Draw(t, "target")) * time.Millisecond
				sent++
				both(func(mode int, s *schedule.Scheduler) {
					request, number := newRequest(rank, now), sent
					request.PromptTokens, request.OutputTokens, request.FirstEventTarget = tokens, 50, now.Add(target)
					record := func(decision schedule.Decision) {
						decisions[mode] = append(decisions[mode], fmt.Sprint(number, decision.Server, decision.Reason, decision.Queued, s.Urgency(now, request)))
					}
					request.OnDecision = record
					record(s.Submit(now, request))
				})
			},
			"begin": func(t *rapid.T) {
				took := time.Duration(rapid.IntRange(0, 500).Draw(t, "took")) * time.Millisecond
				told.RecordLoad(now, "a", 1, 1, 2, 0)
				told.RecordServerFirstEvent(now, "a", newRequest(0, now), took, true)
				plain.RecordFirstEvent("s", 0, took)
			},
			"release": func(*rapid.T) {
				both(func(_ int, s *schedule.Scheduler) { s.Release(now, "a", "s", schedule.Completed) })
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond)
				both(func(_ int, s *schedule.Scheduler) { s.Tick(now) })
			},
			"": func(t *rapid.T) {
				if fmt.Sprint(decisions[0]) != fmt.Sprint(decisions[1]) {
					t.Fatalf("decisions %v, with figures and loads %v", decisions[0], decisions[1])
				}
			},
		})
	})
}

// TestSwitch guards against engine time that is counted without a reason, not counted in spite of a
// reported pace, or counted for ever after one.
func TestSwitch(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	s.RecordLoad(start, "a", 0, 0, 2, 1)
	g.Expect(s.CountsEngineTime(start, "s")).To(gomega.BeFalse(), "without figures of the engines")
	s.SetServices(map[string]*catalog.Service{"s": {Name: "s", Engine: &fleetB.engine}})
	g.Expect(s.CountsEngineTime(start, "s")).To(gomega.BeTrue())
	g.Expect(s.CountsEngineTime(start.Add(time.Hour), "s")).To(gomega.BeFalse())
	s.SetServices(map[string]*catalog.Service{"s": {Name: "s", Engine: &fleetB.engine, ColdTime: time.Second}})
	g.Expect(s.CountsEngineTime(start.Add(time.Hour), "s")).To(gomega.BeTrue())
}

// TestSpreadsLongPrompts guards against two long prompts that one server reads at once while
// another one is free to read, although it has more requests.
func TestSpreadsLongPrompts(t *testing.T) {
	g := gomega.NewWithT(t)
	s := countingScheduler("z", "z")
	first := s.Submit(start, newPrompt(3900, start)).Server
	for range 3 {
		short := newPrompt(20, start)
		server := s.Submit(start, short).Server
		g.Expect(server).NotTo(gomega.Equal(first))
		s.RecordServerFirstEvent(start, server, short, 50*time.Millisecond, true)
	}
	g.Expect(s.Submit(start, newPrompt(3900, start)).Server).NotTo(gomega.Equal(first))
}

// TestRefusesWhatIsLate guards against requests that are sent to a server, or wait for one, although
// they cannot begin in time there, while those that can are refused.
func TestRefusesWhatIsLate(t *testing.T) {
	g := gomega.NewWithT(t)
	s := countingScheduler("z")
	for _, tokens := range []int{3900, 2000} {
		g.Expect(s.Submit(start, newPrompt(tokens, start)).Server).To(gomega.Equal("a"))
	}
	decision := s.Submit(start, newPrompt(3900, start))
	g.Expect(decision.Reason).To(gomega.Equal(schedule.Overloaded))
	g.Expect(decision.RetryAfter).To(gomega.BeNumerically(">", 0))
	g.Expect(s.Submit(start, newPrompt(50, start)).Server).To(gomega.Equal("a"))
}

// TestPassesOverWithinBound guards against long prompts that are sent before short ones which have
// waited as long, and against long ones that are passed over for more than a fifth of their target.
func TestPassesOverWithinBound(t *testing.T) {
	g := gomega.NewWithT(t)
	for wait, expected := range map[time.Duration]string{20 * time.Millisecond: "short", 100 * time.Millisecond: "long"} {
		s := countingScheduler("z")
		for range 200 {
			s.Release(start, "none", "s", schedule.Completed)
		}
		for range 13 {
			request := newPrompt(50, start)
			s.RecordServerFirstEvent(start, s.Submit(start, request).Server, request, 50*time.Millisecond, true)
		}
		var order []string
		submit := func(name string, tokens int, at time.Time) {
			request := newPrompt(tokens, at)
			request.OnDecision = func(decision schedule.Decision) { order = append(order, name+decision.Server) }
			g.Expect(s.Submit(at, request).Queued).To(gomega.BeTrue(), name)
		}
		submit("long", 2000, start)
		submit("short", 50, start.Add(wait))
		for range 3 {
			s.Release(start.Add(wait), "a", "s", schedule.Completed)
		}
		g.Expect(order).NotTo(gomega.BeEmpty())
		g.Expect(order[0]).To(gomega.Equal(expected+"a"), "%v", wait)
	}
}

// TestLoadingServerIsLate guards against requests that are sent to a server which loads weights and
// takes them only after their target, and against one that is not used for those with time.
func TestLoadingServerIsLate(t *testing.T) {
	g := gomega.NewWithT(t)
	s := countingScheduler("z")
	s.SetEngineState(start, schedule.EngineState{Address: "a", Versions: map[string]int{"m": 1}, LoadingWeights: true})
	g.Expect(s.Submit(start, newPrompt(100, start)).Server).To(gomega.BeEmpty())
	patient := newPrompt(100, start)
	patient.FirstEventTarget = start.Add(time.Second)
	g.Expect(s.Submit(start, patient).Server).To(gomega.Equal("a"))
}

// TestIdleServerIsUsed guards against idle servers that get no requests, and so no chance of a better
// prediction, because all are predicted to be late there.
func TestIdleServerIsUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	s := countingScheduler("z")
	for range 100 {
		s.RecordLoad(start, "a", 0, 0, 12, 50)
	}
	request := newPrompt(1000, start)
	g.Expect(s.Submit(start, request).Server).To(gomega.Equal("a"))
	g.Expect(s.Submit(start, newPrompt(1000, start)).Server).To(gomega.BeEmpty(), "until the first one begins")
	s.RecordServerFirstEvent(start, "a", request, 100*time.Millisecond, true)
	g.Expect(s.Submit(start, newPrompt(1000, start)).Server).To(gomega.Equal("a"))
}
