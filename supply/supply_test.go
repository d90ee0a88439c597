package supply_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/supply"
)

const pieceCount = 96

// fleet returns loadersPerZone loaders in each of three zones, sorted by zone. The origin
// is in zone "a".
func fleet(loadersPerZone int) []supply.Supplier {
	var all []supply.Supplier
	for _, zone := range []string{"a", "b", "c"} {
		for i := range loadersPerZone {
			all = append(all, supply.Supplier{ID: fmt.Sprintf("%s%02d", zone, i), AvailabilityZone: zone})
		}
	}
	return all
}

// plan returns the plan of the loader all[self] for version 2.
func plan(all []supply.Supplier, self int) *supply.Plan {
	var others []supply.Supplier
	for i, supplier := range all {
		if i != self {
			others = append(others, supplier)
		}
	}
	return supply.NewPlan(all[self], 2, others, "a")
}

// TestEachPieceLeavesOriginOnce checks that the origin, which has a slow link, sends
// each piece to one loader only, and that each piece is sent once into each of the two
// other zones.
func TestEachPieceLeavesOriginOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	all := fleet(9)
	zoneOf := map[string]string{}
	for _, supplier := range all {
		zoneOf[supplier.ID] = supplier.AvailabilityZone
	}
	fromOrigin, crossZone, requests := map[int]int{}, map[string]int{}, map[string]int{}
	for self, loader := range all {
		p := plan(all, self)
		for piece := range pieceCount {
			source := p.Source(piece)
			requests[source]++
			switch {
			case source == supply.Origin:
				fromOrigin[piece]++
			case zoneOf[source] != loader.AvailabilityZone:
				crossZone[fmt.Sprint(loader.AvailabilityZone, piece)]++
			}
		}
	}
	g.Expect(fromOrigin).To(gomega.HaveLen(pieceCount))
	for _, times := range fromOrigin {
		g.Expect(times).To(gomega.Equal(1))
	}
	g.Expect(crossZone).To(gomega.HaveLen(2 * pieceCount))
	for _, times := range crossZone {
		g.Expect(times).To(gomega.Equal(1))
	}
	// The nine loaders of a zone share 96 pieces, at most 11 each, and send each piece to at
	// most ten loaders: the eight others of the zone and, in the origin's zone, the importers
	// of the two other zones. A loader with a third more than the average would delay the end
	// of the transfer.
	for id, count := range requests {
		if id != supply.Origin {
			g.Expect(count).To(gomega.BeNumerically("<=", 11*10))
		}
	}
}

// TestOriginFetchersAreBounded checks that only a few loaders download from the origin
// and that every piece is assigned to exactly one of them.
func TestOriginFetchersAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	all := fleet(32)
	originFetchers, fromOrigin := map[string]bool{}, map[int]int{}
	for self, loader := range all {
		p := plan(all, self)
		for piece := range pieceCount {
			// Every chain of sources must end at the origin after at most three other loaders.
			steps := 0
			for source := p.Source(piece); source != supply.Origin; {
				sourceIndex := slices.IndexFunc(all, func(one supply.Supplier) bool { return one.ID == source })
				steps++
				g.Expect(steps).To(gomega.BeNumerically("<=", 3))
				source = plan(all, sourceIndex).Source(piece)
			}
			if p.Source(piece) == supply.Origin {
				originFetchers[loader.ID] = true
				fromOrigin[piece]++
			}
		}
	}
	g.Expect(len(originFetchers)).To(gomega.BeNumerically("<=", 16))
	g.Expect(fromOrigin).To(gomega.HaveLen(pieceCount))
	for _, times := range fromOrigin {
		g.Expect(times).To(gomega.Equal(1))
	}
}

// TestLocalHoldersArePreferred checks that no piece is fetched from the origin or from
// another zone if the loader's own zone has it.
func TestLocalHoldersArePreferred(t *testing.T) {
	g := gomega.NewWithT(t)
	all := fleet(4)
	for i := range all {
		all[i].Complete = i%4 != 3
	}
	p := plan(all, 7)
	for piece := range pieceCount {
		g.Expect(p.Source(piece)).To(gomega.HavePrefix("b"))
	}
}

// TestFailedSuppliersAreSkipped guards against a loader that waits for others in its zone
// whose requests have failed.
func TestFailedSuppliersAreSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	all := fleet(3)
	all[0].Failed, all[1].Failed = true, true
	p := plan(all, 2)
	for piece := range pieceCount {
		g.Expect(p.Source(piece)).To(gomega.Equal(supply.Origin))
	}
}

// TestImporterReplacesFailedOriginFetcher guards against a deadlock in which the importer
// of a piece and the next origin fetcher wait for each other because the assigned origin
// fetcher is frozen.
func TestImporterReplacesFailedOriginFetcher(t *testing.T) {
	g := gomega.NewWithT(t)
	all := fleet(32)
	for self := range 32 {
		for piece := range pieceCount {
			source := plan(all, self).Source(piece)
			originFetcher := slices.IndexFunc(all, func(one supply.Supplier) bool { return one.ID == source })
			if source == supply.Origin || plan(all, originFetcher).Source(piece) != supply.Origin {
				continue
			}
			failing := slices.Clone(all)
			failing[originFetcher].Failed = true
			if importer := plan(all, originFetcher+1).Source(piece); importer == all[self].ID {
				g.Expect(plan(failing, self).Source(piece)).To(gomega.Equal(supply.Origin))
			}
		}
	}
}

// TestPiecesArePassedOnInTrees guards against importers that send a piece to every loader of a
// zone, against loaders that wait for one another in a circle, also if each takes others for
// failed, and against loaders that don't say that others wait for them.
func TestPiecesArePassedOnInTrees(t *testing.T) {
	g := gomega.NewWithT(t)
	const loaders = 32
	random := rand.New(rand.NewPCG(1, 2))
	for round := range 20 {
		all := fleet(loaders)
		plans := map[string]*supply.Plan{}
		for self := range all {
			view := slices.Clone(all)
			for i := range view {
				view[i].Failed = i != self && round > 0 && random.IntN(8) == 0
			}
			plans[all[self].ID] = plan(view, self)
		}
		for piece := range pieceCount {
			children := map[string]int{}
			for i := range all {
				id, steps := all[i].ID, 0
				for ; id != supply.Origin && steps <= len(all); steps++ {
					id = plans[id].Source(piece)
				}
				g.Expect(id).To(gomega.Equal(supply.Origin), "the piece arrives")
				source := plans[all[i].ID].Source(piece)
				if source != supply.Origin && source[0] == all[i].ID[0] {
					children[source]++
				}
			}
			for id, count := range children {
				if round == 0 {
					g.Expect(plans[id].PassesOn(piece) || count == 1).To(gomega.BeTrue(), "an origin fetcher serves the importer only")
					g.Expect(count).To(gomega.BeNumerically("<=", 7), "six, and the importer if it is the origin fetcher")
				}
			}
		}
	}
	all := fleet(4)
	all[0].Complete, all[1].Complete = true, true
	for piece := range pieceCount {
		g.Expect(plan(all, 2).PassesOn(piece)).To(gomega.BeFalse())
	}
}

// TestFewHoldersDoNotSendAllCopies guards against a zone that waits for the few loaders which hold a
// version, after the others were killed before they had it: the copies that each loader sends are
// bounded, each piece comes from a holder in the end, and a failed loader is skipped.
func TestFewHoldersDoNotSendAllCopies(t *testing.T) {
	g := gomega.NewWithT(t)
	const loaders, pieces = 33, 96
	all := fleet(loaders)
	holders := 0
	for i := range all {
		if all[i].AvailabilityZone == all[0].AvailabilityZone && holders < 4 {
			all[i].Complete = true
			holders++
		}
	}
	for _, failed := range []bool{false, true} {
		sent := map[string]int{}
		for self := range all {
			if all[self].Complete || all[self].AvailabilityZone != all[0].AvailabilityZone || failed && self == loaders-1 {
				continue
			}
			for piece := range pieces {
				source := plan(all, self).Source(piece)
				sent[source]++
				index := slices.IndexFunc(all, func(s supply.Supplier) bool { return s.ID == source })
				g.Expect(index).NotTo(gomega.Equal(-1))
				g.Expect(all[index].Failed).To(gomega.BeFalse())
				for steps := 0; !all[index].Complete; steps++ {
					g.Expect(steps).To(gomega.BeNumerically("<", 4))
					next := plan(all, index).Source(piece)
					index = slices.IndexFunc(all, func(s supply.Supplier) bool { return s.ID == next })
				}
			}
		}
		for _, count := range sent {
			g.Expect(count).To(gomega.BeNumerically("<=", 2*pieces+pieces/2))
		}
		all[loaders-1].Failed = true
	}
}

// TestOnlyLocalHoldersServeUnassignedPieces guards against loaders that each fetch a whole
// version over a link between zones, for example after a power loss that leaves the
// weights in one zone only.
func TestOnlyLocalHoldersServeUnassignedPieces(t *testing.T) {
	g := gomega.NewWithT(t)
	all := fleet(4)
	for i := range 4 {
		all[i].Complete = true
	}
	sameZone, otherZone := plan(all, 3), plan(all, 5)
	for i := range 3 {
		g.Expect(sameZone.CanServeUnassigned(all[i].ID)).To(gomega.BeTrue())
		g.Expect(otherZone.CanServeUnassigned(all[i].ID)).To(gomega.BeFalse())
	}
	g.Expect(sameZone.CanServeUnassigned(all[6].ID)).To(gomega.BeFalse())
}
