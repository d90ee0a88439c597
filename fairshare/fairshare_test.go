package fairshare_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/fairshare"
)

const (
	step = 5 * time.Millisecond
	// reportInterval and reportDelay are those of the messages between entries.
	reportInterval = 150 * time.Millisecond
	reportDelay    = 150 * time.Millisecond
	// patience is the time for which a request may wait in a queue.
	patience = 500 * time.Millisecond
	// warmUp is the time that is not counted.
	warmUp = 3 * time.Second
	// slots is the number of slots of the engines.
	slots = 408
	// simulationBegin is the time at which a simulation begins.
	simulationBegin = 1000 * time.Second
)

// simulation plays requests of workspaces at entries that share the slots of servers.
type simulation struct {
	random  *rand.Rand
	entries []*entry
	// slots is the number of requests that run at the same time, and running holds their ends.
	slots   int
	running []time.Duration
	weights map[string]float64
	// rates returns the work per second that each workspace asks for at a time.
	rates func(now time.Duration) map[string]float64
	// cost is the mean cost of a request in seconds of a slot.
	cost float64
	// entryOf returns the entry that gets a request of a workspace.
	entryOf func(workspace string) int
	// retriesAtOnce is set if callers that are refused come back after 50 ms.
	retriesAtOnce bool
	// cut is set while the entries hear nothing from each other.
	cut func(now time.Duration) bool

	now       time.Duration
	returning []returning
	// offered and served are the work of each workspace after warmUp, and timeline the served work
	// by time.
	offered, served map[string]float64
	timeline        []event
	used            float64
}

type event struct {
	at        time.Duration
	workspace string
	work      float64
}

type entry struct {
	shares *fairshare.Shares
	queue  []*request
	// reports holds the last reports with their times.
	report   []fairshare.Usage
	measured time.Duration
}

type request struct {
	workspace string
	cost      float64
	until     time.Duration
	deadline  time.Duration
}

type returning struct {
	at      time.Duration
	request *request
}

func (s *simulation) run(duration time.Duration) {
	s.now = simulationBegin
	s.offered, s.served = map[string]float64{}, map[string]float64{}
	owed := map[string]float64{}
	var workspaces []string
	for workspace := range s.rates(simulationBegin) {
		workspaces = append(workspaces, workspace)
	}
	slices.Sort(workspaces)
	for _, workspace := range workspaces {
		owed[workspace] = -s.cost * s.random.ExpFloat64()
	}
	for ; s.now < simulationBegin+duration; s.now += step {
		counts := s.now >= simulationBegin+warmUp
		rates := s.rates(s.now)
		for _, workspace := range workspaces {
			owed[workspace] += rates[workspace] * step.Seconds()
			// The arrivals are a Poisson process.
			for owed[workspace] > 0 {
				cost := s.cost * (0.5 + s.random.Float64())
				owed[workspace] -= s.cost * s.random.ExpFloat64()
				if counts {
					s.offered[workspace] += cost
				}
				s.arrive(&request{workspace: workspace, cost: cost, deadline: s.now + 3*time.Second})
			}
		}
		back := s.returning
		s.returning = nil
		for _, each := range back {
			if each.at <= s.now {
				s.arrive(each.request)
			} else {
				s.returning = append(s.returning, each)
			}
		}
		s.running = slices.DeleteFunc(s.running, func(end time.Duration) bool { return end <= s.now })
		for _, e := range s.entries {
			for _, each := range e.queue {
				if each.until < s.now {
					e.shares.Unqueue(1, each.workspace, each.cost)
					s.refuse(e, each)
				}
			}
			e.queue = slices.DeleteFunc(e.queue, func(each *request) bool { return each.until < s.now })
		}
		s.dispatch()
		if (s.now-simulationBegin)%reportInterval == 0 && (s.cut == nil || !s.cut(s.now-simulationBegin)) {
			s.exchange()
		}
	}
}

// arrive queues a request at an entry, or refuses it.
func (s *simulation) arrive(r *request) {
	e := s.entries[s.entryOf(r.workspace)]
	if wait, overloaded := e.shares.Wait(s.now, 1, r.workspace, r.cost); overloaded && wait > patience {
		s.refuse(e, r)
		return
	}
	r.until = s.now + patience
	e.queue = append(e.queue, r)
	e.shares.Queue(1, r.workspace, r.cost)
	s.dispatch()
}

// refuse refuses a request, which comes back if its caller retries at once.
func (s *simulation) refuse(e *entry, r *request) {
	e.shares.Refuse(s.now, 1, r.workspace, r.cost)
	if s.retriesAtOnce && s.now+50*time.Millisecond < r.deadline {
		s.returning = append(s.returning, returning{s.now + 50*time.Millisecond, r})
	}
}

// dispatch sends queued requests to free slots. The entries get them in random order.
func (s *simulation) dispatch() {
	for len(s.running) < s.slots {
		sent := false
		for _, i := range s.random.Perm(len(s.entries)) {
			e := s.entries[i]
			var workspaces []string
			for _, each := range e.queue {
				if !slices.Contains(workspaces, each.workspace) {
					workspaces = append(workspaces, each.workspace)
				}
			}
			next := e.shares.Next(s.now, 1, workspaces, s.slots-len(s.running), s.slots)
			if next < 0 {
				continue
			}
			index := slices.IndexFunc(e.queue, func(each *request) bool { return each.workspace == workspaces[next] })
			r := e.queue[index]
			e.queue = slices.Delete(e.queue, index, index+1)
			e.shares.Unqueue(1, r.workspace, r.cost)
			e.shares.Serve(s.now, 1, r.workspace, r.cost)
			s.running = append(s.running, s.now+time.Duration(r.cost*float64(time.Second)))
			s.timeline = append(s.timeline, event{s.now - simulationBegin, r.workspace, r.cost})
			if s.now >= simulationBegin+warmUp {
				s.served[r.workspace] += r.cost
				s.used += r.cost
			}
			sent = true
			break
		}
		if !sent {
			return
		}
	}
}

// exchange gives each entry what the others measured reportDelay ago.
func (s *simulation) exchange() {
	for i, e := range s.entries {
		var elsewhere []fairshare.Usage
		for j, other := range s.entries {
			if i != j {
				elsewhere = append(elsewhere, other.report...)
			}
		}
		e.shares.SetElsewhere(s.now, elsewhere, len(s.entries), s.now-max(e.measured, s.now-reportDelay))
	}
	for _, e := range s.entries {
		e.report, e.measured = e.shares.Report(s.now), s.now
	}
}

// newSimulation returns a simulation of the engines of deployment K: 34 with 12 slots, about a second
// of a slot for each request, and thus 408 s of work per second.
func newSimulation(seed uint64, entries int, rates map[string]float64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 7)), slots: slots, cost: 1, rates: func(time.Duration) map[string]float64 { return rates }}
	s.entryOf = func(string) int { return s.random.IntN(entries) }
	for range entries {
		s.entries = append(s.entries, &entry{})
	}
	return s
}

// play runs the simulation with the weights.
func (s *simulation) play(duration time.Duration) {
	for _, e := range s.entries {
		e.shares = fairshare.New(s.weights)
	}
	s.run(duration)
}

// fairWork returns the work that each workspace is to get of a capacity.
// The level is the work for the weight 1, infinite if all get what they ask for.
func fairWork(rates, weights map[string]float64, capacity float64) (fair map[string]float64, level float64) {
	fair = map[string]float64{}
	open := map[string]float64{}
	for workspace, rate := range rates {
		open[workspace] = rate
	}
	weight := func(workspace string) float64 {
		if w := weights[workspace]; w > 0 {
			return w
		}
		return 1
	}
	for len(open) > 0 {
		sum := 0.0
		for workspace := range open {
			sum += weight(workspace)
		}
		level = capacity / sum
		full := true
		for workspace, rate := range open {
			if rate <= level*weight(workspace) {
				fair[workspace] = rate
				capacity -= rate
				delete(open, workspace)
				full = false
			}
		}
		if full {
			for workspace := range open {
				fair[workspace] = level * weight(workspace)
			}
			return fair, level
		}
	}
	return fair, math.Inf(1)
}

// expectFair checks that a workspace that asks for less than its share gets nearly all, that the
// others get about their share, and that the slots are used.
func (s *simulation) expectFair(g *gomega.WithT, duration time.Duration) {
	counted := (duration - warmUp).Seconds()
	rates := map[string]float64{}
	for workspace, offered := range s.offered {
		rates[workspace] = offered / counted
	}
	total := 0.0
	fairRates, level := fairWork(rates, s.weights, float64(s.slots))
	for workspace, fair := range fairRates {
		total += fair
		served := s.served[workspace] / counted
		switch {
		case rates[workspace] <= level*max(s.weights[workspace], 1):
			g.Expect(served).To(gomega.BeNumerically(">=", 0.95*fair), "%s, asks for %.2f", workspace, rates[workspace])
		default:
			g.Expect(served).To(gomega.BeNumerically(">=", 0.85*fair), "%s, asks for %.2f", workspace, rates[workspace])
			g.Expect(served).To(gomega.BeNumerically("<=", 1.15*fair), "%s, asks for %.2f", workspace, rates[workspace])
		}
	}
	g.Expect(s.used/counted).To(gomega.BeNumerically(">=", 0.95*total), "used slots")
}

// usual returns the same rate for 24 workspaces, together a share of the capacity of 24.
func usual(share float64) map[string]float64 {
	rates := map[string]float64{}
	for i := range 24 {
		rates[fmt.Sprintf("w%02d", i)] = share
	}
	return rates
}

// TestOneWorkspaceFloods guards against a workspace that asks for eight times its usual work and displaces the others.
func TestOneWorkspaceFloods(t *testing.T) {
	for _, entries := range []int{1, 4, 32} {
		for _, retriesAtOnce := range []bool{false, true} {
			t.Run(fmt.Sprint(entries, " entries, retries ", retriesAtOnce), func(t *testing.T) {
				g := gomega.NewWithT(t)
				rates := usual(0.9 * slots / 24)
				rates["w07"] *= 8
				s := newSimulation(1, entries, rates)
				s.retriesAtOnce = retriesAtOnce
				s.play(20 * time.Second)
				s.expectFair(g, 20*time.Second)
			})
		}
	}
}

// skewed returns the rates of 24 workspaces that ask for 1.6 times the capacity together, of which a
// few ask for most.
func skewed(capacity float64) map[string]float64 {
	rates, sum := map[string]float64{}, 0.0
	for i := range 24 {
		sum += 1 / math.Pow(float64(i+1), 1.1)
	}
	for i := range 24 {
		rates[fmt.Sprintf("w%02d", i)] = 1.6 * capacity / math.Pow(float64(i+1), 1.1) / sum
	}
	return rates
}

// TestSkewedWorkspaces guards against shares by demand: of 24 workspaces, a few ask for most of the work.
func TestSkewedWorkspaces(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(2, 1, skewed(slots))
	s.play(20 * time.Second)
	s.expectFair(g, 20*time.Second)
}

// skipUnlessKnownRed skips a test that is listed in KNOWN-RED.txt unless KNOWN_RED is set.
func skipUnlessKnownRed(t *testing.T) {
	if os.Getenv("KNOWN_RED") == "" {
		t.Skip("listed in KNOWN-RED.txt")
	}
}

// TestSkewedWorkspacesAtManyEntries guards against shares by demand, and against a workspace just below its share that loses requests, if the requests of each come to several entries.
func TestSkewedWorkspacesAtManyEntries(t *testing.T) {
	skipUnlessKnownRed(t)
	for _, entries := range []int{4, 32} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newSimulation(2, entries, skewed(slots))
			s.play(20 * time.Second)
			s.expectFair(g, 20*time.Second)
		})
	}
}

// TestFewSlots guards against unfair shares where a request is a large part of the work per second of its workspace.
func TestFewSlots(t *testing.T) {
	skipUnlessKnownRed(t)
	flood := usual(0.9)
	flood["w07"] *= 8
	for name, rates := range map[string]map[string]float64{"flood": flood, "skewed": skewed(24)} {
		for _, entries := range []int{1, 4, 32} {
			t.Run(fmt.Sprint(name, ", ", entries, " entries"), func(t *testing.T) {
				g := gomega.NewWithT(t)
				s := newSimulation(1, entries, rates)
				s.slots, s.cost = 24, 0.3
				s.play(20 * time.Second)
				s.expectFair(g, 20*time.Second)
			})
		}
	}
}

// TestHotKey guards against one key whose callers all use the same entry and which takes the slots from workspaces at other entries.
func TestHotKey(t *testing.T) {
	g := gomega.NewWithT(t)
	rates := usual(0.9 * slots / 24)
	rates["w07"] = 0.8 * slots
	s := newSimulation(3, 4, rates)
	s.retriesAtOnce = true
	s.entryOf = func(workspace string) int {
		if workspace == "w07" {
			return 0
		}
		return 1 + s.random.IntN(3)
	}
	s.play(20 * time.Second)
	s.expectFair(g, 20*time.Second)
}

// TestWeights guards against weights that have no effect.
func TestWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(4, 4, map[string]float64{"a": 1.2 * slots, "b": 1.2 * slots, "c": 0.1 * slots})
	s.weights = map[string]float64{"a": 2, "b": 1, "c": -1}
	s.play(20 * time.Second)
	s.expectFair(g, 20*time.Second)
}

// TestLendingAndReturn guards against shares that stay unused while others ask for more, and against borrowed work that doesn't return within a second.
func TestLendingAndReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(5, 4, nil)
	s.rates = func(now time.Duration) map[string]float64 {
		rates := map[string]float64{"a": 1.2 * slots, "b": 0}
		if now >= 1010*time.Second {
			rates["b"] = 1.2 * slots
		}
		return rates
	}
	s.play(15 * time.Second)
	sum := func(workspace string, from, to time.Duration) float64 {
		work := 0.0
		for _, event := range s.timeline {
			if event.workspace == workspace && event.at >= from && event.at < to {
				work += event.work
			}
		}
		return work / (to - from).Seconds()
	}
	g.Expect(sum("a", 5*time.Second, 10*time.Second)).To(gomega.BeNumerically(">=", 0.95*slots))
	// In the second after its return, b gets its share of the slots that become free.
	g.Expect(sum("b", 10*time.Second, 11*time.Second)).To(gomega.BeNumerically(">=", 0.85*0.5*slots))
	g.Expect(sum("b", 11*time.Second, 15*time.Second)).To(gomega.BeNumerically("~", 0.5*slots, 0.05*slots))
}

// TestBelowCapacity guards against requests that are refused, or held back, without overload, when a few are queued by chance.
func TestBelowCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	rates := usual(0.5)
	rates["w07"] = 8
	s := newSimulation(6, 4, rates)
	s.slots, s.cost = 24, 0.3
	s.play(20 * time.Second)
	for workspace, offered := range s.offered {
		g.Expect(s.served[workspace]).To(gomega.BeNumerically(">=", 0.98*offered), workspace)
	}
}

// TestCutOffEntries guards against entries that hear nothing from each other and stop serving, or let one workspace displace the others.
func TestCutOffEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	rates := usual(0.9 * slots / 24)
	rates["w07"] *= 8
	s := newSimulation(7, 4, rates)
	s.cut = func(now time.Duration) bool { return now > 5*time.Second }
	s.play(20 * time.Second)
	s.expectFair(g, 20*time.Second)
}

// TestRetryAfter guards against a time to come back that says nothing about the share of the workspace.
func TestRetryAfter(t *testing.T) {
	g := gomega.NewWithT(t)
	shares := fairshare.New(nil)
	now := 1000 * time.Second
	for range 400 {
		now += step
		shares.Refuse(now, 1, "greedy", 0.21)
		shares.Serve(now, 1, "greedy", 0.09)
		shares.Serve(now, 1, "modest", 0.01)
		// The callers of the modest workspace come back at once after each of a few refusals.
		shares.Refuse(now, 1, "modest", 0.2)
	}
	// The capacity is 10, of which the greedy workspace gets 9.
	shares.Queue(1, "greedy", 8.7)
	wait, overloaded := shares.Wait(now, 1, "greedy", 0.3)
	g.Expect(overloaded).To(gomega.BeTrue())
	g.Expect(wait).To(gomega.BeNumerically("~", time.Second, 150*time.Millisecond))
	wait, overloaded = shares.Wait(now, 1, "modest", 0.01)
	g.Expect(overloaded).To(gomega.BeTrue())
	g.Expect(wait).To(gomega.BeZero())
	_, overloaded = shares.Wait(now, 0, "greedy", 0.3)
	g.Expect(overloaded).To(gomega.BeFalse(), "another rank")
}

// TestAgeOfCounters guards against an entry that goes by counters of the other entries which are too old.
func TestAgeOfCounters(t *testing.T) {
	g := gomega.NewWithT(t)
	shares := fairshare.New(nil)
	now := 1000 * time.Second
	shares.SetElsewhere(now, []fairshare.Usage{{Workspace: "a", Rank: 1, Served: 1}, {Workspace: "b", Rank: 1, Served: 9}}, 4, 150*time.Millisecond)
	serve := func() { shares.Serve(now, 1, "a", 0.5) }
	serve()
	next := func() int { return shares.Next(now, 1, []string{"a", "b"}, 9, 9) }
	g.Expect(next()).To(gomega.BeZero(), "a has got less from all entries")
	now += time.Second
	serve()
	g.Expect(next()).To(gomega.Equal(1), "a has got more from this one")
}

// TestReport guards against reports that grow with the workspaces of the past, and against workspaces that are left out while they matter.
func TestReport(t *testing.T) {
	g := gomega.NewWithT(t)
	shares := fairshare.New(nil)
	now := 1000 * time.Second
	for i := range 200 {
		shares.Serve(now, 1, fmt.Sprint(i), float64(i+1))
	}
	report := shares.Report(now)
	g.Expect(report).To(gomega.HaveLen(fairshare.MaxReported))
	g.Expect(report[0].Workspace).To(gomega.Equal("199"))
	shares.Queue(1, "queued", 1)
	now += time.Minute
	report = shares.Report(now)
	g.Expect(report).To(gomega.HaveLen(1))
	g.Expect(report[0].Queued).To(gomega.BeEquivalentTo(1))
	shares.Unqueue(1, "queued", 1)
	g.Expect(shares.Report(now)).To(gomega.BeEmpty())
}

// TestMalformedCosts guards against costs, weights and counters that are no numbers and spoil the shares.
func TestMalformedCosts(t *testing.T) {
	g := gomega.NewWithT(t)
	shares := fairshare.New(map[string]float64{"a": math.NaN(), "b": math.Inf(1), "c": -1})
	now := 1000 * time.Second
	for _, cost := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0} {
		shares.Serve(now, 1, "a", cost)
		shares.SetElsewhere(now, []fairshare.Usage{{Workspace: "b", Rank: 1, Served: cost, Refused: cost}}, -3, -time.Hour)
	}
	shares.Serve(now, 1, "a", 1)
	g.Expect(shares.Next(now, 1, []string{"a", "b"}, 1, 2)).To(gomega.Equal(1), "served work counts after malformed one")
	shares = fairshare.New(nil)
	shares.SetElsewhere(now, []fairshare.Usage{{Workspace: "b", Rank: 1, Served: math.Inf(1), Queued: math.NaN()}}, -3, -time.Hour)
	g.Expect(shares.Report(now)).To(gomega.BeEmpty())
	g.Expect(shares.Next(now, 1, []string{"a", "b", "c"}, 1, 2)).To(gomega.BeZero())
	g.Expect(shares.Next(now, 1, nil, 1, 2)).To(gomega.Equal(-1))
	_, overloaded := shares.Wait(now, 1, "a", math.NaN())
	g.Expect(overloaded).To(gomega.BeFalse())
}
