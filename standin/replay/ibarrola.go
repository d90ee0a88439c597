package replay

import "fmt"

// Ibarrola generates a trace with the load of a festival night of a brewery: disputes and
// refunds of the bars, balance queries, redemptions of tokens that must run at most once,
// overnight summaries of the clerks, and bursts from a few large bars. Faults occur meanwhile.
// All times in the code are seconds of the replay.
func Ibarrola(seed uint64) Trace {
	s := newTraceBuilder(seed, Fleet{
		Configuration: "ibarrola", SpeedUp: exampleSpeedUp, Entries: 3, Engines: 5, Slots: 4, TokenTimeUs: 3000, ServiceTimeMs: 25,
		Services: map[string]int{"counting-room": 1}, Links: []string{"entry-2"},
	})
	// An entry is disconnected from the platform while an agent is frozen.
	s.addFault(2.5, Fault{Kind: Stall, Process: "entry-2"})
	s.addFault(5.5, Fault{Kind: Heal, Process: "entry-2"})
	s.freezeProcess("agent-0", "", 3, 6)
	s.addFault(6.5, Fault{Kind: Publish, Section: "ranks", InForceMs: 4000})
	// A request crashes engines while the log is down.
	s.disturbLog("down", 7.5, 9)
	s.addFault(7.8, Fault{Kind: Crash, Workspace: "bars", Model: "disputes"})
	s.addFault(10, Fault{Kind: Restart})
	s.allowDelays(7.8, 10)
	// An entry is killed while the log loses its responses.
	s.disturbLog("lose-answers", 10.8, 11.8)
	s.killEntry("entry-0", 11, 12.5)
	s.addFault(12.8, Fault{Kind: Publish, Section: "models", Model: "refunds"})
	s.freezeProcess("entry-1", "", 13.2, 15)

	clerks := []string{}
	for i := range 8 {
		clerks = append(clerks, fmt.Sprintf("clerk-%02d", i+1))
	}
	for range 230 {
		s.addDispute(s.randomTime(0.2, 15))
	}
	// Three bursts of disputes, each as if from one large bar.
	for _, start := range []float64{1.2, 6.8, 12.2} {
		for range 70 {
			s.addDispute(s.randomTime(start, start+0.8))
		}
	}
	for range 150 {
		s.addRequest(s.randomTime(0.2, 15), Request{
			Workspace: s.pickWord("bars", "bars", "warehouse"), Service: "counting-room", Path: "/balance", Rank: "normal",
			Bytes: s.randomSize(100, 400), PatienceMs: patienceMs,
		})
	}
	for i := range 220 {
		key := fmt.Sprintf("token-%d", i)
		redemption := Request{
			Workspace: "bars", Service: "counting-room", Path: "/redemptions/" + key, Rank: "urgent",
			Key: key, Bytes: s.randomSize(100, 300), PatienceMs: patienceMs,
		}
		at := s.randomTime(0.2, 15)
		s.addRequest(at, redemption)
		if i%6 == 0 {
			// The caller submits the same redemption twice.
			s.addRequest(at+s.randomTime(0.05, 0.5), redemption)
		}
	}
	s.addCallsRefusedWithoutLog(8, 8.7, 15, "counting-room", "/redemptions/", []string{"bars"})
	s.addOvernightSummaries(6, 200, "clerks", append(clerks, "warehouse"))
	return s.sortedTrace()
}

// addDispute adds an urgent model request of a bar at a time of the replay.
func (s *traceBuilder) addDispute(at float64) {
	s.addRequest(at, Request{
		Workspace: "bars", Model: s.pickWord("disputes", "refunds"), Rank: "urgent", Bytes: s.randomSize(200, 1500),
		Tokens: s.randomSize(12, 40), Stream: s.random.IntN(3) > 0, PatienceMs: patienceMs,
	})
}
