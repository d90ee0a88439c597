package replay

import (
	"fmt"
	"slices"
	"strings"
)

// Bounds of a random trace. All faults end before the last callers give up.
const (
	// randomLoadSeconds is the time within which requests arrive and faults begin and end.
	randomLoadSeconds = 9.0
	// randomRequests is the number of requests, without those that repeat a key.
	randomRequests = 450
	// randomFaults is the number of faults, or fewer if no more fit in.
	randomFaults = 10
	// randomPatienceMs is how long callers retry.
	randomPatienceMs = 9000
	// maxRepeatDelay is the longest time, in seconds, after which an idempotency key is sent
	// a second time.
	maxRepeatDelay = 0.3
)

// faultRule describes a kind of random fault and its possible targets.
type faultRule struct {
	// group names a group of targets that several rules share. At most maxConcurrent targets
	// of the group are faulty at the same time.
	group string
	// targets holds the names that begin and end accept. For processes they are process
	// names, for publications models or sections; elsewhere they only tell faults apart.
	targets       []string
	maxConcurrent int
	// minDuration and maxDuration are in seconds.
	minDuration, maxDuration float64
	// begin returns the fault of a target, and end the Fault that ends it; end is nil for a
	// publication, which needs none.
	begin, end func(target string) Fault
}

// processFault returns a function for faultRule that returns a fault of the target process.
func processFault(kind string) func(string) Fault {
	return func(target string) Fault { return Fault{Kind: kind, Process: target} }
}

// modeFault returns a function for faultRule that returns a change of the mode of the log or
// the origin. kind is LogMode or Origin.
func modeFault(kind, mode string) func(string) Fault {
	return func(string) Fault { return Fault{Kind: kind, Mode: mode} }
}

// faultRules returns the rules for random faults of the fleet. They leave at least one entry
// and one server of each kind healthy, provided that the fleet has at least three entries,
// three engines and two servers of the plain service.
func faultRules(fleet Fleet) []faultRule {
	entries, agents, services := []string{}, []string{}, []string{}
	for i := range fleet.Entries {
		entries = append(entries, fmt.Sprintf("entry-%d", i))
	}
	for i := range fleet.Engines {
		agents = append(agents, fmt.Sprintf("agent-%d", i))
	}
	for i := range fleet.Services["counting-room"] {
		services = append(services, fmt.Sprintf("agent-counting-room-%d", i))
	}
	log := []string{"log"}
	rules := []faultRule{
		{"entry", entries, 2, 0.5, 2, processFault(Kill), processFault(Restart)},
		{"entry", entries, 2, 0.5, 4, processFault(Freeze), processFault(Resume)},
		{"agent", agents, 2, 0.5, 2, processFault(Kill), processFault(Restart)},
		{"agent", agents, 2, 0.5, 4, processFault(Freeze), processFault(Resume)},
		{"agent", agents, 2, 0.5, 2, engineFault(Kill), engineFault(Restart)},
		{"agent", agents, 2, 0.5, 4, engineFault(Freeze), engineFault(Resume)},
		{"agent", agents, 2, 0.5, 2, vmFault(Kill), vmFault(Restart)},
		{"service", services, 1, 0.5, 2, processFault(Kill), processFault(Restart)},
		{"service", services, 1, 0.5, 4, processFault(Freeze), processFault(Resume)},
		{"log", log, 1, 0.5, 3, modeFault(LogMode, "down"), modeFault(LogMode, "up")},
		{"log", log, 1, 0.5, 3, modeFault(LogMode, "lose-answers"), modeFault(LogMode, "up")},
		{"log", log, 1, 0.5, 3, modeFault(LogMode, "slow"), modeFault(LogMode, "up")},
		{"origin", []string{"origin"}, 1, 0.5, 4, modeFault(Origin, "corrupt"), modeFault(Origin, "up")},
		{"publish", []string{"disputes", "refunds"}, 1, 0.1, 0.2, modelPublication, nil},
		{"publish", []string{"ranks", "workspaces"}, 1, 0.1, 0.2, sectionPublication, nil},
		{"crash", []string{"crash"}, 1, 2, 3, crashFault, func(string) Fault { return Fault{Kind: Restart} }},
	}
	// A broken link counts as a fault of the process that it belongs to.
	for _, linked := range fleet.Links {
		name, _, _ := strings.Cut(linked, "-")
		rules = append(rules,
			faultRule{name, []string{linked}, 2, 0.3, 3, processFault(Cut), processFault(Heal)},
			faultRule{name, []string{linked}, 2, 0.3, 4, processFault(Stall), processFault(Heal)})
	}
	return rules
}

// engineFault returns a function for faultRule that returns a fault of the target agent's
// engine.
func engineFault(kind string) func(string) Fault {
	return func(agent string) Fault { return Fault{Kind: kind, Process: BackendServerOf(agent)} }
}

// vmFault returns a function for faultRule that returns a fault of the target agent together
// with its engine, which are on the same VM. The engine comes first, because it also has to
// start first.
func vmFault(kind string) func(string) Fault {
	return func(agent string) Fault { return Fault{Kind: kind, Process: BackendServerOf(agent) + " " + agent} }
}

// modelPublication returns the publication of a new version of the model.
func modelPublication(model string) Fault {
	return Fault{Kind: Publish, Section: "models", Model: model}
}

// sectionPublication returns the publication of a change in the section.
func sectionPublication(section string) Fault { return Fault{Kind: Publish, Section: section} }

// crashFault returns a request that crashes engines.
func crashFault(string) Fault {
	return Fault{Kind: Crash, Workspace: "bars", Model: "disputes"}
}

// RandomTrace generates a trace of random load with random faults. The allowed outcomes of its
// requests are not meaningful; only the checker's invariants apply to a replay of it.
func RandomTrace(seed uint64) Trace {
	s := newTraceBuilder(seed, Fleet{
		Configuration: "ibarrola", SpeedUp: 1, Entries: 3, Engines: 5, Slots: 4, TokenTimeUs: 3000, ServiceTimeMs: 200,
		Services: map[string]int{"counting-room": 2}, Links: []string{"entry-2"},
	})
	rules := faultRules(s.trace.Fleet)
	if s.random.IntN(2) == 0 {
		// A link still accepts connections when the engine behind it has exited, so the
		// agent cannot detect the crash. Real VMs have no such link, and the crash of an
		// engine by a request would go unnoticed, so the trace has no such request.
		s.trace.Fleet.Links = append(s.trace.Fleet.Links, "agent-4")
		rules = slices.DeleteFunc(faultRules(s.trace.Fleet), func(rule faultRule) bool { return rule.group == "crash" })
	}
	s.addRandomFaults(rules)
	for i := range randomRequests {
		s.addRandomRequest(s.randomTime(0.1, randomLoadSeconds), i)
	}
	return s.sortedTrace()
}

// addRandomFaults adds faults at random times at which the rules allow them.
func (s *traceBuilder) addRandomFaults(rules []faultRule) {
	type occupiedTime struct {
		group, target string
		from, until   float64
	}
	// occupiedTimes are the times of the faults placed so far.
	var occupiedTimes []occupiedTime
	for placed, tries := 0, 0; placed < randomFaults && tries < 100*randomFaults; tries++ {
		rule := rules[s.random.IntN(len(rules))]
		target := s.pickWord(rule.targets...)
		from := s.randomTime(0.5, randomLoadSeconds-rule.maxDuration)
		until := from + s.randomTime(rule.minDuration, rule.maxDuration)
		concurrent, conflicts := 0, false
		for _, other := range occupiedTimes {
			if other.until < from || other.from > until {
				continue
			}
			conflicts = conflicts || other.target == target
			if other.group == rule.group {
				concurrent++
			}
			// A request that crashes engines stops two of them, so its time must not overlap
			// with that of a fault of an agent.
			conflicts = conflicts || (rule.group == "crash" && other.group == "agent") || (rule.group == "agent" && other.group == "crash")
		}
		if conflicts || concurrent >= rule.maxConcurrent {
			continue
		}
		// The next fault of the target comes at least one second later, so that a restarted
		// process can rejoin the fleet.
		occupiedTimes = append(occupiedTimes, occupiedTime{rule.group, target, from - 1, until + 1})
		s.addFault(from, rule.begin(target))
		if rule.end != nil {
			s.addFault(until, rule.end(target))
		}
		placed++
	}
}

// addRandomRequest adds a request of a random kind at a time of the replay. The number makes
// its idempotency key unique. Some requests with a key are sent twice.
func (s *traceBuilder) addRandomRequest(at float64, number int) {
	request := Request{Workspace: "bars", PatienceMs: randomPatienceMs, Bytes: s.randomSize(200, 2000), Outcomes: []string{Answered}}
	switch kind := s.random.IntN(12); {
	case kind < 4:
		request.Model, request.Rank = s.pickWord("disputes", "refunds"), s.pickWord("urgent", "normal")
		request.Tokens, request.Stream = s.randomSize(20, 100), s.random.IntN(3) > 0
	case kind < 6:
		request.Workspace, request.Model, request.Rank = fmt.Sprintf("clerk-%02d", 1+s.random.IntN(8)), "clerks", "overnight"
		request.Tokens, request.Stream = s.randomSize(80, 200), true
	case kind < 7:
		request.Service, request.Path, request.Rank = "counting-room", "/balance", "normal"
	default:
		request.Service, request.Rank, request.Key = "counting-room", "urgent", fmt.Sprintf("token-%d", number)
		request.Path = "/redemptions/" + request.Key
		if s.random.IntN(4) == 0 {
			// Another caller sends the same key while the first call may still be running.
			s.addRequest(at+s.randomTime(0, maxRepeatDelay), request)
		}
	}
	s.addRequest(at, request)
}
