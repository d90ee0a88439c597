// Package supply chooses from whom an agent takes each piece of a weight version that
// is staged in pieces.
//
// Every agent computes the sources from the servers that it knows, without asking
// the others. Agents that know different servers ask different sources for a while,
// which costs bytes and never correctness, since every piece is verified.
package supply

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Supplier is an agent that has, or will have, the pieces of a version.
type Supplier struct {
	// ID orders the suppliers of a piece; Address is where pieces are asked for.
	ID               string
	Address          string
	AvailabilityZone string
	// Complete is set when its engine has loaded the version.
	Complete bool
}

// Source is where a piece is asked for.
type Source struct {
	Supplier
	// Origin is set for the origin of weights.
	Origin bool
}

// Sources returns where an agent asks for a piece of a version, in order.
//
// While suppliers of the own zone have the version, they share the work by
// rendezvous hash. For a version that is new to the zone, one agent of the zone is
// the home of each piece: it fetches the piece from another zone, and the others
// wait for it there. So a piece crosses each link between zones once. In the zone of
// the origin the home draws the piece from the origin, once for the whole fleet.
// The sources behind the first are for when it fails; the origin is the last.
func Sources(self Supplier, version string, piece int, suppliers []Supplier, originZone string) []Source {
	ranked := rankSuppliers(suppliers, version, piece)
	complete, homes, remoteComplete, remoteHomes := []Supplier{}, []Supplier{}, []Supplier{}, []Supplier{}
	for _, supplier := range ranked {
		own := supplier.AvailabilityZone == self.AvailabilityZone
		switch {
		case own && supplier.Complete && supplier.ID != self.ID:
			complete = append(complete, supplier)
		case own:
			homes = append(homes, supplier)
		case supplier.Complete:
			remoteComplete = append(remoteComplete, supplier)
		case supplier.AvailabilityZone == originZone:
			remoteHomes = append(remoteHomes, supplier)
		}
	}
	var sources []Source
	add := func(suppliers []Supplier, most int) {
		for _, supplier := range suppliers[:min(len(suppliers), most)] {
			if supplier.ID != self.ID {
				sources = append(sources, Source{Supplier: supplier})
			}
		}
	}
	const few = 2
	add(complete, few+1)
	if len(complete) > 0 {
		add(remoteComplete, few)
		return append(sources, Source{Origin: true})
	}
	if len(homes) == 0 || homes[0].ID != self.ID {
		add(homes, few)
	}
	add(remoteComplete, few)
	if self.AvailabilityZone != originZone && len(remoteComplete) == 0 {
		add(remoteHomes, few)
	}
	return append(sources, Source{Origin: true})
}

// rankSuppliers orders the suppliers by rendezvous hash for a piece.
func rankSuppliers(suppliers []Supplier, version string, piece int) []Supplier {
	type ranked struct {
		Supplier
		rank uint64
	}
	order := make([]ranked, 0, len(suppliers))
	suffix := "/" + version + "/" + strconv.Itoa(piece)
	for _, supplier := range suppliers {
		order = append(order, ranked{supplier, xxhash.Sum64String(supplier.ID + suffix)})
	}
	sort.Slice(order, func(i, j int) bool { return order[i].rank > order[j].rank })
	sorted := make([]Supplier, len(order))
	for i := range order {
		sorted[i] = order[i].Supplier
	}
	return sorted
}
