package replay

import "fmt"

// exampleSpeedUp is the speed-up of the traces of the example configurations, with which four
// recorded hours take 16 s.
const exampleSpeedUp = 900

// MopaNorte generates a trace with the load of an evening of laundry franchises: weekly
// collection rounds with a deadline before the next morning, complaints of hospitals and
// hotels, bookings and credit notes that must run at most once, and summaries of wash logs.
// Faults occur meanwhile. All times in the code are seconds of the replay.
func MopaNorte(seed uint64) Trace {
	s := newTraceBuilder(seed, Fleet{
		Configuration: "mopa-norte", SpeedUp: exampleSpeedUp, Entries: 3, Engines: 5, Slots: 4, TokenTimeUs: 2000, ServiceTimeMs: 40,
		Services: map[string]int{"booking": 2, "administration": 1}, Links: []string{"agent-4"},
	})
	s.addFault(1, Fault{Kind: Publish, Section: "workspaces", InForceMs: 4000})
	// An entry is killed while the log loses its responses, and before its restart an
	// agent is disconnected from its engine.
	s.killEntry("entry-1", 2.5, 5)
	s.disturbLog("lose-answers", 2.3, 3.5)
	s.addFault(4, Fault{Kind: Cut, Process: "agent-4"})
	s.addFault(5, Fault{Kind: Heal, Process: "agent-4"})
	s.allowDelays(4, 5)
	s.addFault(6, Fault{Kind: Publish, Section: "models", Model: "complaints"})
	// An agent is frozen while an agent of the booking service is killed.
	s.freezeProcess("agent-1", "", 7, 10.5)
	s.killServer("agent-booking-0", "", "booking", 7.5, 9)
	s.addFault(9.5, Fault{Kind: Leave, Process: "agent-3"})
	// An agent and its engine are killed while the log is down.
	s.disturbLog("down", 11, 12.5)
	s.killServer("agent-2", "engine-2", "", 11.2, 13)

	franchises := []string{}
	for i := range 7 {
		franchises = append(franchises, fmt.Sprintf("franchise-%02d", i+1))
	}
	// All rounds of a week are planned in one burst.
	for range 5 {
		start := s.randomTime(0.5, 13)
		for range 28 {
			s.addRequest(s.randomTime(start, start+1.2), Request{
				Workspace: "rounds-desk", Model: "rounds", Rank: "normal", Bytes: s.randomSize(600, 4000), Tokens: s.randomSize(24, 64),
				Stream: true, DeadlineMs: deadlineMs, PatienceMs: patienceMs,
			})
		}
	}
	for range 240 {
		s.addRequest(s.randomTime(0.2, 15), Request{
			Workspace: s.pickWord("hospitals", "hotels", "hotels"), Model: "complaints", Rank: "urgent", Bytes: s.randomSize(300, 3000),
			Tokens: s.randomSize(16, 48), Stream: s.random.IntN(3) > 0, PatienceMs: patienceMs,
		})
	}
	for i := range 160 {
		key := fmt.Sprintf("booking-%d", i)
		booking := Request{
			Workspace: s.pickWord(append(franchises, "hotels", "hospitals")...), Service: "booking", Path: "/bookings/" + key,
			Rank: "normal", Key: key, Bytes: s.randomSize(200, 1000), PatienceMs: patienceMs,
		}
		at := s.randomTime(0.2, 15)
		s.addRequest(at, booking)
		if i%8 == 0 {
			// The caller does not know the outcome and sends the booking again.
			s.addRequest(at+s.randomTime(0.1, 1), booking)
		}
	}
	for i := range 80 {
		key := fmt.Sprintf("credit-note-%d", i)
		s.addRequest(s.randomTime(0.2, 15), Request{
			Workspace: s.pickWord(franchises...), Service: "administration", Path: "/credit-notes/" + key,
			Rank: "normal", Key: key, Bytes: s.randomSize(200, 1000), PatienceMs: patienceMs,
		})
	}
	s.addCallsRefusedWithoutLog(11.5, 12.2, 12, "booking", "/bookings/", franchises)
	for range 60 {
		s.addRequest(s.randomTime(0.2, 15), Request{
			Workspace: s.pickWord(franchises...), Service: "booking", Path: "/drafts", Rank: "normal", Bytes: s.randomSize(200, 1000), PatienceMs: patienceMs,
		})
	}
	s.addOvernightSummaries(6, 220, "wash-logs", franchises)
	return s.sortedTrace()
}

// addCallsRefusedWithoutLog adds calls with idempotency keys that are sent once, at random
// times while the log is down, and are refused for that reason. Each key is appended to the
// path.
func (s *traceBuilder) addCallsRefusedWithoutLog(from, until float64, count int, service, path string, workspaces []string) {
	for i := range count {
		key := fmt.Sprintf("%s-without-log-%d", service, i)
		s.addRequest(s.randomTime(from, until), Request{
			Workspace: s.pickWord(workspaces...), Service: service, Path: path + key, Rank: "normal",
			Key: key, Bytes: 100, Outcomes: []string{"log-unavailable"},
		})
	}
}

// addOvernightSummaries adds overnight requests to the model. Nine in ten are retried until
// they are served, and one in ten is sent once and may be refused. Two in three arrive in a
// burst that begins at burstStart.
func (s *traceBuilder) addOvernightSummaries(burstStart float64, count int, model string, workspaces []string) {
	for i := range count {
		summary := Request{
			Workspace: s.pickWord(workspaces...), Model: model, Rank: "overnight", Bytes: s.randomSize(1500, 8000),
			Tokens: s.randomSize(100, 240), Stream: true, PatienceMs: patienceMs,
		}
		if i%10 == 0 {
			summary.PatienceMs = 0
			summary.Outcomes = []string{Answered, "queue-full", "rate-limited", "too-many-in-progress"}
			summary.Reason = "design 9: overnight work is refused first, and workspaces have limits"
		}
		at := s.randomTime(0.2, 14)
		if i%3 > 0 {
			// The burst, as most summaries are scheduled for the same time.
			at = s.randomTime(burstStart, burstStart+1.5)
		}
		s.addRequest(at, summary)
	}
}
