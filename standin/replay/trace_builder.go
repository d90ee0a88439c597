package replay

import (
	"math/rand/v2"
	"slices"
)

// Times of the generated traces, in seconds of the replay unless named otherwise.
const (
	// maxCallTime is how long a call may already be in progress when a fault that affects it
	// occurs.
	maxCallTime = 2.0
	// faultEffectTime is how long a fault still has effects after its end, until heartbeats
	// and the callers' lists of entries are up to date.
	faultEffectTime = 3.0
	// patienceMs is how long callers retry, which lasts beyond all faults. deadlineMs is the
	// deadline of requests whose result is needed by a fixed time.
	patienceMs = 16000
	deadlineMs = 6000
	// urgentFirstTokenMs is the target of the design for the time to the first token of urgent
	// requests.
	urgentFirstTokenMs = 1100
)

// Reasons for outcomes other than Answered. They are part of the committed traces. The numbers
// are sections of the design of the system. The holder of a key is the process that claimed it
// in the log to run its call.
const (
	reasonEntryKilled  = "design 9: the outcome of a key whose holder died is not known"
	reasonServerKilled = "design 11: agent dies: the answer of a dispatched call is lost"
	reasonSentOnce     = "design 9 and 11: overnight work is refused first, and what is sent once is lost with its process"
	reasonLate         = "design 11: work of a lost or paused process is done again elsewhere, which can pass the deadline"
)

// traceBuilder collects the events of a generated trace, which depends only on a seed. Its
// methods take times in seconds of the replay. Faults must be added before the requests around
// them, because addRequest determines the allowed outcomes.
type traceBuilder struct {
	random         *rand.Rand
	trace          Trace
	outcomeWindows []outcomeWindow
}

// outcomeWindow is a time interval in which requests may have additional outcomes.
type outcomeWindow struct {
	// from and until bound the times at which the requests are sent.
	from, until float64
	// allowedOutcome returns the additional outcome of a request and the reason for it; both
	// are empty if there is none.
	allowedOutcome func(Request) (string, string)
}

func newTraceBuilder(seed uint64, fleet Fleet) *traceBuilder {
	return &traceBuilder{random: rand.New(rand.NewPCG(seed, 0)), trace: Trace{Fleet: fleet}}
}

// recordedOffsetMs converts a time of the replay, in seconds, to the offset in the trace, in
// milliseconds before the speed-up.
func (s *traceBuilder) recordedOffsetMs(seconds float64) int64 {
	return int64(seconds*1000) * int64(s.trace.Fleet.SpeedUp)
}

// addFault adds a fault. It does not change the allowed outcomes of requests.
func (s *traceBuilder) addFault(seconds float64, fault Fault) {
	s.trace.Events = append(s.trace.Events, Event{OffsetMs: s.recordedOffsetMs(seconds), Fault: &fault})
}

// allowOutcome allows an additional outcome for requests that a fault in the given interval
// can affect: those sent from maxCallTime before its start to faultEffectTime after its end.
// See outcomeWindow.allowedOutcome for what the function allowed returns.
func (s *traceBuilder) allowOutcome(from, until float64, allowed func(Request) (string, string)) {
	s.outcomeWindows = append(s.outcomeWindows, outcomeWindow{from - maxCallTime, until + faultEffectTime, allowed})
}

// killEntry adds the kill of an entry at from and its restart at until, and allows the outcomes
// that these cause.
func (s *traceBuilder) killEntry(name string, from, until float64) {
	s.addFault(from, Fault{Kind: Kill, Process: name})
	s.addFault(until, Fault{Kind: Restart, Process: name})
	s.allowOutcome(from, from, func(r Request) (string, string) {
		if r.Key != "" {
			return "may-have-run", reasonEntryKilled
		}
		return "", ""
	})
	s.allowDelays(from, until)
}

// killServer adds the kill of an agent at from and its restart at until, and allows the outcomes
// that these cause. backendServer is the engine to kill with it, or empty; service is the plain
// service of the agent, or empty.
func (s *traceBuilder) killServer(agent, backendServer, service string, from, until float64) {
	s.addFault(from, Fault{Kind: Kill, Process: agent})
	if backendServer != "" {
		s.addFault(from, Fault{Kind: Kill, Process: backendServer})
		s.addFault(until, Fault{Kind: Restart, Process: backendServer})
	}
	s.addFault(until, Fault{Kind: Restart, Process: agent})
	s.allowUnknownOutcome(service, from, from)
	s.allowDelays(from, until)
}

// allowUnknownOutcome allows calls with a key to the plain service to end with the result that
// they may have run. It allows nothing for an empty service. The interval is that of
// allowOutcome.
func (s *traceBuilder) allowUnknownOutcome(service string, from, until float64) {
	s.allowOutcome(from, until, func(r Request) (string, string) {
		if r.Key != "" && r.Service == service {
			return "may-have-run", reasonServerKilled
		}
		return "", ""
	})
}

// freezeProcess adds the freeze of a process at from and its resumption at until, and allows the
// outcomes that these cause. service is the plain service of the process, or empty.
func (s *traceBuilder) freezeProcess(name, service string, from, until float64) {
	s.addFault(from, Fault{Kind: Freeze, Process: name})
	s.addFault(until, Fault{Kind: Resume, Process: name})
	s.allowUnknownOutcome(service, from, until)
	s.allowDelays(from, until)
}

// allowDelays allows requests with a deadline to be late, and model requests that are not
// retried to be lost with the process that handled them. The interval is that of allowOutcome.
func (s *traceBuilder) allowDelays(from, until float64) {
	s.allowOutcome(from, until, func(r Request) (string, string) {
		if r.DeadlineMs > 0 {
			return Late, reasonLate
		}
		return "", ""
	})
	for _, lost := range []string{"server-lost", "stream-cut", Unanswered} {
		s.allowOutcome(from, until, func(r Request) (string, string) {
			if r.Model != "" && r.PatienceMs == 0 {
				return lost, reasonSentOnce
			}
			return "", ""
		})
	}
}

// disturbLog sets the mode of the log at from, and the mode without faults at until. It does
// not change the allowed outcomes of requests.
func (s *traceBuilder) disturbLog(mode string, from, until float64) {
	s.addFault(from, Fault{Kind: LogMode, Mode: mode})
	s.addFault(until, Fault{Kind: LogMode, Mode: "up"})
}

// addRequest adds a request. Unless the request lists its outcomes, it must be answered. If it
// is sent within outcome windows, it gets the outcomes that they allow in addition. A streamed
// urgent request outside all outcome windows must also meet the target for the first token.
func (s *traceBuilder) addRequest(seconds float64, request Request) {
	if len(request.Outcomes) == 0 {
		request.Outcomes = []string{Answered}
	}
	undisturbed := true
	for _, window := range s.outcomeWindows {
		if seconds < window.from || seconds > window.until {
			continue
		}
		undisturbed = false
		outcome, reason := window.allowedOutcome(request)
		if outcome != "" && !slices.Contains(request.Outcomes, outcome) {
			request.Outcomes, request.Reason = append(request.Outcomes, outcome), reason
		}
	}
	if undisturbed && request.Rank == "urgent" && request.Stream {
		request.FirstTokenMs = urgentFirstTokenMs
	}
	s.trace.Events = append(s.trace.Events, Event{OffsetMs: s.recordedOffsetMs(seconds), Request: &request})
}

// randomTime returns a random time between from and until.
func (s *traceBuilder) randomTime(from, until float64) float64 {
	return from + s.random.Float64()*(until-from)
}

// pickWord returns a random one of the words.
func (s *traceBuilder) pickWord(words ...string) string { return words[s.random.IntN(len(words))] }

// randomSize returns a random size, in bytes or tokens: in nine of ten cases one between half of
// typical and one and a half times typical, and otherwise one between typical and largest.
func (s *traceBuilder) randomSize(typical, largest int) int {
	if s.random.IntN(10) == 0 {
		return typical + s.random.IntN(largest-typical)
	}
	return typical/2 + s.random.IntN(typical)
}

// sortedTrace sorts the events by time and returns the trace.
func (s *traceBuilder) sortedTrace() Trace {
	slices.SortStableFunc(s.trace.Events, func(a, b Event) int { return int(a.OffsetMs - b.OffsetMs) })
	return s.trace
}

// GenerateTrace generates the trace of the example configuration with the given name. It
// returns false if there is none. The committed traces have the seed 1.
func GenerateTrace(name string, seed uint64) (Trace, bool) {
	switch name {
	case "mopa-norte":
		return MopaNorte(seed), true
	case "ibarrola":
		return Ibarrola(seed), true
	default:
		return Trace{}, false
	}
}
