package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/availability"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
)

// identity returns the identity of a server of modelServers.
func identity(id string) availability.Server { return availability.Server{ID: id, Address: id} }

// TestLeavingServerGetsNothing guards against requests to a server that has said that it leaves
// while its registration says nothing of that, and against holding those that only it could run.
func TestLeavingServerGetsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z", "z"))
	g.Expect(s.MarkLeaving(start, identity("a"))).To(gomega.BeTrue())
	g.Expect(s.MarkLeaving(start, identity("a"))).To(gomega.BeFalse())
	s.SetServers(start, modelServers("z", "z"))
	for range 3 {
		g.Expect(s.Submit(start, newRequest(1, start)).Server).NotTo(gomega.Equal("a"))
	}
	g.Expect(s.LeavingReport(start)).To(gomega.ConsistOf(identity("a")))
	queued := newRequest(1, start)
	var refusal schedule.Decision
	queued.OnDecision = func(decision schedule.Decision) { refusal = decision }
	saturate(s)
	g.Expect(s.Submit(start, queued).Queued).To(gomega.BeTrue())
	s.MarkLeaving(start, identity("b"))
	g.Expect(refusal.Reason).To(gomega.Equal(schedule.NoServer))
}

// TestPausedServerIsNotEjected guards against holding a server that asked for a pause for a failing
// one, whose ejection grows.
func TestPausedServerIsNotEjected(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	now := start
	for range 5 {
		g.Expect(s.Submit(now, newRequest(1, now)).Server).To(gomega.Equal("a"))
		s.Pause(now, identity("a"), 500*time.Millisecond)
		s.Release(now, "a", "s", schedule.AskedForPause)
		now = now.Add(time.Second)
	}
}

// TestRequestWaitsForEndOfShortPause guards against refusing a request although the pause of its
// server ends in time for it, and against holding one for which it doesn't.
func TestRequestWaitsForEndOfShortPause(t *testing.T) {
	g := gomega.NewWithT(t)
	s := schedule.New("z", keyOf)
	s.SetServers(start, modelServers("z"))
	saturate(s)
	for range 40 {
		s.Release(start, "a", "s", schedule.Completed)
	}
	s.Pause(start, identity("a"), 50*time.Millisecond)
	waiting := newRequest(1, start)
	var decision schedule.Decision
	waiting.OnDecision = func(given schedule.Decision) { decision = given }
	g.Expect(s.Submit(start, waiting).Queued).To(gomega.BeTrue())
	s.Tick(start.Add(70 * time.Millisecond))
	g.Expect(decision.Server).To(gomega.Equal("a"))
	now := start.Add(100 * time.Millisecond)
	s.Release(now, "a", "s", schedule.Completed)
	held := newRequest(1, now)
	g.Expect(s.Submit(now, newRequest(1, now)).Server).To(gomega.Equal("a"))
	g.Expect(s.Submit(now, newRequest(1, now)).Server).To(gomega.Equal("a"))
	held.OnDecision = func(given schedule.Decision) { decision = given }
	g.Expect(s.Submit(now, held).Queued).To(gomega.BeTrue())
	s.Pause(now, identity("a"), 10*time.Second)
	g.Expect(decision.Reason).To(gomega.Equal(schedule.Paused))
	g.Expect(decision.RetryAfter).To(gomega.BeNumerically(">=", 10*time.Second))
	refused := s.Submit(now, newRequest(1, now))
	g.Expect(refused.Reason).To(gomega.Equal(schedule.Paused))
}
