package intake_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/intake"
)

// start is the time of the first event of a test.
var start = time.Unix(1000, 0)

// noInput says that no connection has unread bytes.
func noInput[C any](C) bool { return false }

// TestStalledConnectionsGiveWay guards against refusing a new connection while requests on others have
// not arrived, and against closing one whose request is being served.
func TestStalledConnectionsGiveWay(t *testing.T) {
	g := gomega.NewWithT(t)
	const stallTime = 10 * time.Millisecond
	table := intake.NewTable[string](3)
	served, _, _ := table.Admit(start, "served", noInput[string])
	g.Expect(table.Enter(start, served, intake.Serving)).To(gomega.BeTrue())
	slow, _, _ := table.Admit(start, "slow", noInput[string])
	g.Expect(table.Enter(start, slow, intake.Head)).To(gomega.BeTrue())
	body, _, _ := table.Admit(start, "body", noInput[string])
	g.Expect(table.Enter(start.Add(stallTime/2), body, intake.Body)).To(gomega.BeTrue())

	added, evicted, wait := table.Admit(start.Add(stallTime/2), "early", noInput[string])
	g.Expect(added).To(gomega.BeNil())
	g.Expect(evicted).To(gomega.BeNil())
	g.Expect(wait).To(gomega.Equal(stallTime / 2))

	now := start.Add(stallTime)
	added, evicted, _ = table.Admit(now, "new", noInput[string])
	g.Expect(evicted).To(gomega.BeIdenticalTo(slow))
	g.Expect(table.Open()).To(gomega.Equal(4))
	table.Remove(slow)
	g.Expect(table.Enter(now, slow, intake.Serving)).To(gomega.BeFalse())
	g.Expect(table.Enter(now, added, intake.Serving)).To(gomega.BeTrue())
	g.Expect(table.Enter(now, body, intake.Serving)).To(gomega.BeTrue())
	g.Expect(table.Open()).To(gomega.Equal(3))

	added, _, wait = table.Admit(now.Add(time.Hour), "refused", noInput[string])
	g.Expect(added).To(gomega.BeNil())
	g.Expect(wait).To(gomega.BeZero())
	table.Remove(served)
	table.Remove(served)
	added, _, _ = table.Admit(now.Add(time.Hour), "admitted", noInput[string])
	g.Expect(added).NotTo(gomega.BeNil())
}

// TestIdleConnectionsGiveWay guards against closing the connection of a caller that sends its request
// in place of one of many idle connections.
func TestIdleConnectionsGiveWay(t *testing.T) {
	g := gomega.NewWithT(t)
	table := intake.NewTable[int](4)
	var idle []*intake.Slot[int]
	for number := range 3 {
		slot, _, _ := table.Admit(start, number, noInput[int])
		table.Enter(start.Add(time.Duration(number)*time.Second), slot, intake.Idle)
		idle = append(idle, slot)
	}
	_, _, _ = table.Admit(start, 3, noInput[int])
	_, evicted, _ := table.Admit(start.Add(time.Minute), 4, noInput[int])
	g.Expect(evicted).To(gomega.BeIdenticalTo(idle[0]))
}

// TestExpiry guards against connections that stay open without a request, and against closing those
// within their timeouts.
func TestExpiry(t *testing.T) {
	g := gomega.NewWithT(t)
	table := intake.NewTable[string](0)
	in := func(phase intake.Phase, name string) {
		slot, _, _ := table.Admit(start, name, noInput[string])
		table.Enter(start, slot, phase)
	}
	in(intake.Unused, "unused")
	in(intake.Head, "head")
	in(intake.Body, "body")
	in(intake.Serving, "served")
	in(intake.Idle, "idle")
	timeouts := intake.Timeouts{Unused: 3 * time.Second, Head: 2 * time.Second, Idle: 4 * time.Second}
	for after, names := range map[time.Duration][]string{
		time.Second: nil, 2 * time.Second: {"head"}, 3 * time.Second: {"unused", "head"}, time.Hour: {"unused", "head", "idle"},
	} {
		var expired []string
		for _, slot := range table.Expired(start.Add(after), timeouts) {
			expired = append(expired, slot.Conn)
		}
		g.Expect(expired).To(gomega.Equal(names), "after %v", after)
	}
}

// TestUnreadInputIsNoStall guards against closing the connection of a caller whose request the daemon
// has not read yet.
func TestUnreadInputIsNoStall(t *testing.T) {
	g := gomega.NewWithT(t)
	table := intake.NewTable[string](2)
	hasInput := func(conn string) bool { return conn == "ordinary" }
	_, _, _ = table.Admit(start, "ordinary", hasInput)
	_, _, _ = table.Admit(start, "stalled", hasInput)
	_, evicted, _ := table.Admit(start.Add(time.Second), "new", hasInput)
	g.Expect(evicted.Conn).To(gomega.Equal("stalled"))
}
