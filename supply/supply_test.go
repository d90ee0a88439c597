package supply_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/supply"
)

const pieces = 96

// fleet returns agents in three zones, of which the first has the origin.
func fleet(each int) []supply.Supplier {
	var all []supply.Supplier
	for _, zone := range []string{"a", "b", "c"} {
		for i := range each {
			all = append(all, supply.Supplier{ID: fmt.Sprintf("%s%02d", zone, i), AvailabilityZone: zone})
		}
	}
	return all
}

func plan(all []supply.Supplier, self int) *supply.Plan {
	var others []supply.Supplier
	for i, supplier := range all {
		if i != self {
			others = append(others, supplier)
		}
	}
	return supply.New(all[self], 2, others, "a")
}

// TestOriginGivesEachPieceOnce guards against an origin whose slow link sends a piece
// to more than one agent, and against pieces that cross a link between zones twice.
func TestOriginGivesEachPieceOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	all := fleet(9)
	zoneOf := map[string]string{}
	for _, supplier := range all {
		zoneOf[supplier.ID] = supplier.AvailabilityZone
	}
	drawn, crossed, given := map[int]int{}, map[string]int{}, map[string]int{}
	for self, agent := range all {
		p := plan(all, self)
		for piece := range pieces {
			source := p.Source(piece)
			given[source]++
			switch {
			case source == supply.Origin:
				drawn[piece]++
			case zoneOf[source] != agent.AvailabilityZone:
				crossed[fmt.Sprint(agent.AvailabilityZone, piece)]++
			}
		}
	}
	g.Expect(drawn).To(gomega.HaveLen(pieces))
	for _, times := range drawn {
		g.Expect(times).To(gomega.Equal(1))
	}
	g.Expect(crossed).To(gomega.HaveLen(2 * pieces))
	for _, times := range crossed {
		g.Expect(times).To(gomega.Equal(1))
	}
	// Nine agents share 96 pieces; one with a third more would decide the end.
	for id, count := range given {
		if id != supply.Origin {
			g.Expect(count).To(gomega.BeNumerically("<=", 11*10))
		}
	}
}

// TestFewAgentsDraw guards against an origin that many agents draw from at once, and
// against pieces that no agent draws.
func TestFewAgentsDraw(t *testing.T) {
	g := gomega.NewWithT(t)
	all := fleet(32)
	drawers, drawn := map[string]bool{}, map[int]int{}
	for self, agent := range all {
		p := plan(all, self)
		for piece := range pieces {
			// A piece comes from the origin in a few steps, whoever asks.
			steps := 0
			for source := p.Source(piece); source != supply.Origin; {
				at := slices.IndexFunc(all, func(one supply.Supplier) bool { return one.ID == source })
				steps++
				g.Expect(steps).To(gomega.BeNumerically("<=", 3))
				source = plan(all, at).Source(piece)
			}
			if p.Source(piece) == supply.Origin {
				drawers[agent.ID] = true
				drawn[piece]++
			}
		}
	}
	g.Expect(len(drawers)).To(gomega.BeNumerically("<=", 16))
	g.Expect(drawn).To(gomega.HaveLen(pieces))
	for _, times := range drawn {
		g.Expect(times).To(gomega.Equal(1))
	}
}

// TestNearGiversGoFirst guards against links between zones and an origin that carry
// what the own zone has.
func TestNearGiversGoFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	all := fleet(4)
	for i := range all {
		all[i].Complete = i%4 != 3
	}
	p := plan(all, 7)
	for piece := range pieces {
		g.Expect(p.Source(piece)).To(gomega.HavePrefix("b"))
	}
}

// TestFailedSuppliersAreLeftOut guards against waiting for an agent that is dead.
func TestFailedSuppliersAreLeftOut(t *testing.T) {
	g := gomega.NewWithT(t)
	all := fleet(3)
	all[0].Failed, all[1].Failed = true, true
	p := plan(all, 2)
	for piece := range pieces {
		g.Expect(p.Source(piece)).To(gomega.Equal(supply.Origin))
	}
}

// TestHomeOfAFailedDrawer guards against a home and a drawer that wait for each other when
// the agent that was to draw a piece is frozen.
func TestHomeOfAFailedDrawer(t *testing.T) {
	g := gomega.NewWithT(t)
	all := fleet(32)
	for self := range 32 {
		for piece := range pieces {
			source := plan(all, self).Source(piece)
			drawer := slices.IndexFunc(all, func(one supply.Supplier) bool { return one.ID == source })
			if source == supply.Origin || plan(all, drawer).Source(piece) != supply.Origin {
				continue
			}
			failing := slices.Clone(all)
			failing[drawer].Failed = true
			if home := plan(all, drawer+1).Source(piece); home == all[self].ID {
				g.Expect(plan(failing, self).Source(piece)).To(gomega.Equal(supply.Origin))
			}
		}
	}
}

// TestOnlyTheOwnZoneHelps guards against agents that all take a whole version over the link
// between zones, after a loss of power that one zone alone has weights after.
func TestOnlyTheOwnZoneHelps(t *testing.T) {
	g := gomega.NewWithT(t)
	all := fleet(4)
	for i := range 4 {
		all[i].Complete = true
	}
	near, far := plan(all, 3), plan(all, 5)
	for i := range 3 {
		g.Expect(near.Helps(all[i].ID)).To(gomega.BeTrue())
		g.Expect(far.Helps(all[i].ID)).To(gomega.BeFalse())
	}
	g.Expect(near.Helps(all[6].ID)).To(gomega.BeFalse())
}
