package budget_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/budget"
)

const (
	large = 1 << 20
	small = 4 << 10
)

// start is the time of the first event of a test.
var start = time.Unix(1000, 0)

// TestDropsLeastProgress guards against dropping a body that arrives in place of one that has
// stopped, and against keeping a body whose caller sends single bytes.
func TestDropsLeastProgress(t *testing.T) {
	g := gomega.NewWithT(t)
	b := budget.New(budget.Settings{Bytes: 3 * large})
	var dropped []string
	begin := func(name string) *budget.Hold {
		hold := b.Begin(start, func() { dropped = append(dropped, name) })
		g.Expect(hold.Grow(start, large)).To(gomega.Equal(budget.Granted))
		return hold
	}
	stopped, trickling, arriving := begin("stopped"), begin("trickling"), begin("arriving")
	for elapsed := time.Duration(0); elapsed < time.Second; elapsed += 10 * time.Millisecond {
		if elapsed < 100*time.Millisecond {
			trickling.Progress(start.Add(elapsed), budget.ProgressBytes)
		}
		trickling.Progress(start.Add(elapsed), 1)
		arriving.Progress(start.Add(elapsed), budget.ProgressBytes)
	}
	now := start.Add(time.Second)
	next := b.Begin(now, func() { dropped = append(dropped, "next") })
	g.Expect(next.Grow(now, large)).To(gomega.Equal(budget.Wait))
	g.Expect(dropped).To(gomega.Equal([]string{"stopped"}))
	g.Expect(next.Grow(now, large)).To(gomega.Equal(budget.Wait), "the bytes are not released yet")
	g.Expect(dropped).To(gomega.HaveLen(1))
	stopped.Release()
	g.Expect(next.Grow(now, large)).To(gomega.Equal(budget.Granted))
	g.Expect(next.Grow(now, 2*large)).To(gomega.Equal(budget.Wait))
	g.Expect(dropped).To(gomega.Equal([]string{"stopped", "trickling"}))
	g.Expect(trickling.Complete()).To(gomega.BeFalse())
	g.Expect(arriving.IsDropped()).To(gomega.BeFalse())
}

// TestKeepsRecentAndComplete guards against dropping bodies that have just progressed, and whole
// ones, whose requests may be running.
func TestKeepsRecentAndComplete(t *testing.T) {
	g := gomega.NewWithT(t)
	b := budget.New(budget.Settings{Bytes: 2 * large})
	fail := func() { t.Error("dropped") }
	complete := b.Begin(start, fail)
	g.Expect(complete.Grow(start, large)).To(gomega.Equal(budget.Granted))
	g.Expect(complete.Complete()).To(gomega.BeTrue())
	now := start.Add(time.Minute)
	recent := b.Begin(now, fail)
	g.Expect(recent.Grow(now, large)).To(gomega.Equal(budget.Granted))
	next := b.Begin(now, fail)
	g.Expect(next.Grow(now, large)).To(gomega.Equal(budget.Wait))
	complete.Drop()
	complete.Release()
	complete.Release()
	g.Expect(next.Grow(now, large)).To(gomega.Equal(budget.Granted))
	g.Expect(b.Used()).To(gomega.Equal(2 * large))
}

// TestAllWaiting guards against bodies that wait for each other without end: the one with the least
// recent progress is dropped, also if it is the one that asks.
func TestAllWaiting(t *testing.T) {
	g := gomega.NewWithT(t)
	b := budget.New(budget.Settings{Bytes: 2 * large})
	first, second := b.Begin(start, func() {}), b.Begin(start, func() {})
	g.Expect(first.Grow(start, large)).To(gomega.Equal(budget.Granted))
	g.Expect(second.Grow(start, large)).To(gomega.Equal(budget.Granted))
	second.Progress(start.Add(time.Millisecond), budget.ProgressBytes)
	now := start.Add(budget.StallTime + time.Second)
	g.Expect(first.Grow(now, 2*large)).To(gomega.Equal(budget.Dropped))
	g.Expect(second.Grow(now, 2*large)).To(gomega.Equal(budget.Wait))
	first.Release()
	g.Expect(second.Grow(now, 2*large)).To(gomega.Equal(budget.Granted))
}

// TestReserveForSmall guards against refusing the bodies of ordinary requests while large ones fill
// the budget.
func TestReserveForSmall(t *testing.T) {
	g := gomega.NewWithT(t)
	b := budget.New(budget.Settings{Bytes: 4 * large, ReserveBytes: large})
	for range 3 {
		g.Expect(b.Begin(start, func() {}).Grow(start, large)).To(gomega.Equal(budget.Granted))
	}
	g.Expect(b.Begin(start, func() {}).Grow(start, large)).To(gomega.Equal(budget.Wait))
	for range large / small {
		g.Expect(b.Begin(start, func() {}).Grow(start, small)).To(gomega.Equal(budget.Granted))
	}
	g.Expect(b.Begin(start, func() {}).Grow(start, small)).To(gomega.Equal(budget.Wait))
}

// TestOtherBytes guards against a budget that ignores what connections hold, and against one that
// many connections use up.
func TestOtherBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	other := 0
	b := budget.New(budget.Settings{Bytes: 4 * large, FloorBytes: large, Other: func() int { return other }})
	g.Expect(b.Limit()).To(gomega.Equal(4 * large))
	other = 2 * large
	g.Expect(b.Limit()).To(gomega.Equal(2 * large))
	other = 9 * large
	g.Expect(b.Limit()).To(gomega.Equal(large))
}

// TestTrim guards against responses that exceed the budget while bodies that have stopped stay in
// memory.
func TestTrim(t *testing.T) {
	g := gomega.NewWithT(t)
	b := budget.New(budget.Settings{Bytes: 2 * large})
	stopped := b.Begin(start, func() {})
	g.Expect(stopped.Grow(start, 2*large)).To(gomega.Equal(budget.Granted))
	now := start.Add(time.Second)
	response := b.Begin(now, func() {})
	response.Add(large)
	g.Expect(stopped.IsDropped()).To(gomega.BeFalse())
	b.Trim(now)
	g.Expect(stopped.IsDropped()).To(gomega.BeTrue())
	g.Expect(response.IsDropped()).To(gomega.BeFalse())
	stopped.Release()
	response.Release()
	g.Expect(b.Used()).To(gomega.BeZero())
}
