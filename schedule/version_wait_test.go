package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
)

// retrySpread is the largest random delay that is added to a retry delay.
const retrySpread = 800 * time.Millisecond

// loadTime is how long an engine is expected to load weights.
const loadTime = time.Second

// TestRefusalStatesWhenVersionIsExpected guards against callers that are told to come back before any engine has the required version, or much later, and against an unreported load without a delay.
func TestRefusalStatesWhenVersionIsExpected(t *testing.T) {
	for name, test := range map[string]struct {
		a, b           schedule.EngineState
		after, atLeast time.Duration
		atMost         time.Duration
	}{
		"nothing reported":          {atLeast: 1200 * time.Millisecond, atMost: 2 * time.Second},
		"a load is planned":         {a: schedule.EngineState{TimeToLoad: 5 * time.Second}, atLeast: 6 * time.Second, atMost: 6*time.Second + retrySpread},
		"the first of two":          {a: schedule.EngineState{TimeToLoad: 5 * time.Second}, b: schedule.EngineState{TimeToLoad: 3 * time.Second}, atLeast: 4 * time.Second, atMost: 4*time.Second + retrySpread},
		"some time later":           {a: schedule.EngineState{TimeToLoad: 5 * time.Second}, after: 2 * time.Second, atLeast: 4 * time.Second, atMost: 4*time.Second + retrySpread},
		"a load is under way":       {a: schedule.EngineState{LoadingWeights: true}, atLeast: loadTime, atMost: loadTime + retrySpread},
		"a load that did not begin": {a: schedule.EngineState{TimeToLoad: time.Second}, after: 3 * time.Second, atLeast: 1200 * time.Millisecond, atMost: 2 * time.Second},
		"far in the future":         {a: schedule.EngineState{TimeToLoad: time.Hour}, atLeast: 30 * time.Second, atMost: 30*time.Second + retrySpread},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := schedule.New("z", keyOf)
			s.SetServers(start, modelServers("z", "z"))
			s.RequireVersion("m", 2)
			for address, state := range map[string]schedule.EngineState{"a": test.a, "b": test.b} {
				state.Address, state.Versions = address, map[string]int{"m": 1}
				s.SetEngineState(start, state)
			}
			now := start.Add(test.after)
			decision := s.Submit(now, newRequest(1, now))
			g.Expect(decision.Queued).To(gomega.BeFalse())
			g.Expect(decision.Reason).To(gomega.Equal(schedule.NoServer))
			g.Expect(decision.RetryAfter).To(gomega.BeNumerically(">=", test.atLeast))
			g.Expect(decision.RetryAfter).To(gomega.BeNumerically("<=", test.atMost))
		})
	}
}

// TestRequestWaitsForVersionExpectedInTime guards against refusing a request although an engine will have the required version before its queue deadline.
func TestRequestWaitsForVersionExpectedInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	s.RequireVersion("m", 2)
	s.SetEngineState(start, schedule.EngineState{Address: "a", Versions: map[string]int{"m": 1}, LoadingWeights: true})
	now := start.Add(900 * time.Millisecond)
	request := newRequest(1, now)
	var final schedule.Decision
	request.OnDecision = func(decision schedule.Decision) { final = decision }
	saturate(s)
	g.Expect(s.Submit(now, request).Queued).To(gomega.BeTrue())
	s.Tick(now.Add(50 * time.Millisecond))
	g.Expect(final).To(gomega.BeZero())
	s.SetEngineState(now.Add(100*time.Millisecond), schedule.EngineState{Address: "a", Versions: map[string]int{"m": 2}})
	g.Expect(final.Server).To(gomega.Equal("a"))
}

// TestResumedRequestWaitsForVersion guards against cutting off a response since no engine has the required version yet.
func TestResumedRequestWaitsForVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z", "z"))
	s.RequireVersion("m", 2)
	request := newRequest(1, start)
	request.Resumed = true
	var final schedule.Decision
	request.OnDecision = func(decision schedule.Decision) { final = decision }
	g.Expect(s.Submit(start, request).Queued).To(gomega.BeTrue())
	s.Tick(start.Add(50 * time.Millisecond))
	g.Expect(final).To(gomega.BeZero())
	s.SetEngineState(start.Add(2*time.Second), schedule.EngineState{Address: "b", Versions: map[string]int{"m": 2}})
	g.Expect(final.Server).To(gomega.Equal("b"))
}

// TestVersionLaterThanDeadline guards against requests that wait in vain while no engine has the required version, and against callers that come back before an engine has it: a version's deadline passes 4 s before the engines begin to load it in turns.
func TestVersionLaterThanDeadline(t *testing.T) {
	const (
		step, engines           = 50 * time.Millisecond, 6
		deadline, firstLoad     = 2 * time.Second, 6 * time.Second
		turn, requestsEach, end = 500 * time.Millisecond, 3, 9 * time.Second
	)
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	servers := map[string]*catalog.Server{}
	for i := range engines {
		id := string(rune('a' + i))
		servers[id] = &catalog.Server{ID: id, Service: "s", Address: id, AvailabilityZone: "z", Slots: 20, Versions: map[string]int{"m": 1}}
	}
	s.SetServers(start, servers)
	firstReady := start.Add(firstLoad + loadTime)
	type retry struct {
		at      time.Time
		request *schedule.Request
	}
	var retries []retry
	var served, servedAgain, refusedAgain int
	release := map[string][]time.Time{}
	var now time.Time
	isRequired := false
	// decide records a decision and makes the caller of a refused request come back.
	decide := func(request *schedule.Request, isRetry bool, decision schedule.Decision) {
		switch {
		case decision.Server != "":
			served++
			if isRetry {
				servedAgain++
			}
			release[decision.Server] = append(release[decision.Server], now.Add(200*time.Millisecond))
		case isRetry:
			// An engine has the version by now, though not capacity for all callers.
			g.Expect(decision.Reason).NotTo(gomega.Equal(schedule.NoServer))
			refusedAgain++
		case isRequired && now.Before(start.Add(firstLoad)):
			g.Expect(decision.Reason).To(gomega.Equal(schedule.NoServer), fmt.Sprint(now.Sub(start)))
			g.Expect(now.Add(decision.RetryAfter)).To(gomega.BeTemporally(">=", firstReady.Add(-step)))
			g.Expect(now.Add(decision.RetryAfter)).To(gomega.BeTemporally("<=", firstReady.Add(step+retrySpread)))
			retries = append(retries, retry{now.Add(decision.RetryAfter), request})
		}
	}
	queued := 0
	submit := func(isRetry bool) {
		request := newRequest(1, now)
		request.OnDecision = func(decision schedule.Decision) { queued--; decide(request, isRetry, decision) }
		if decision := s.Submit(now, request); decision.Queued {
			queued++
		} else {
			decide(request, isRetry, decision)
		}
	}
	for at := time.Duration(0); at < end; at += step {
		now = start.Add(at)
		for i := range engines {
			loadsAt := firstLoad + time.Duration(i)*turn
			state := schedule.EngineState{Address: string(rune('a' + i)), Versions: map[string]int{"m": 1}}
			switch {
			case at < loadsAt:
				state.TimeToLoad = loadsAt - at
			case at < loadsAt+loadTime:
				state.LoadingWeights = true
			default:
				state.Versions = map[string]int{"m": 2}
			}
			s.SetEngineState(now, state)
		}
		for id, ends := range release {
			for len(ends) > 0 && !now.Before(ends[0]) {
				ends = ends[1:]
				s.Release(now, id, "s", schedule.Completed)
			}
			release[id] = ends
		}
		if at == deadline {
			// Requests of more than the capacity wait when the deadline passes.
			for range 40 * engines {
				submit(false)
			}
			g.Expect(queued).To(gomega.BeNumerically(">", 0))
			s.RequireVersion("m", 2)
			isRequired = true
		}
		s.Tick(now)
		if at >= deadline && at < firstLoad {
			g.Expect(queued).To(gomega.BeZero(), at.String())
		}
		for range requestsEach {
			if at < deadline || at > deadline && at < firstLoad {
				submit(false)
			}
		}
		for i := 0; i < len(retries); i++ {
			if !now.Before(retries[i].at) {
				retries = append(retries[:i], retries[i+1:]...)
				i--
				submit(true)
			}
		}
	}
	g.Expect(retries).To(gomega.BeEmpty())
	t.Log("served", served, "served after a refusal", servedAgain, "refused again for lack of capacity", refusedAgain)
	g.Expect(servedAgain).To(gomega.BeNumerically(">", 0))
}
