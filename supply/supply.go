// Package supply chooses from whom an agent takes each piece of a weight version that
// is staged in pieces.
//
// Every agent computes the sources from the servers that it knows, without asking the
// others. Agents that know different servers ask different sources for a while, which
// costs bytes and never correctness, since every piece is verified.
//
// While suppliers of the own zone have the version, they share the work. For a version
// that is new to the zone, one agent of the zone is the home of each piece: it fetches the piece from another zone, and the others wait for it
// there. So a piece crosses each link between zones once. In the zone of the origin
// some of the agents draw the pieces from the origin, each one once for the whole fleet,
// and the homes ask those.
//
// Pieces are dealt to the suppliers in turn, in the order of their ids: the supplier
// with the most pieces decides when the last agent is done, and a hash gives one of
// ten a third more than the average.
package supply

import (
	"slices"
	"strings"
)

// drawersMost is the number of agents that draw from the origin at once. More of them
// share its link in pieces that take longer than their time-out, and reach the number of
// connections that it accepts; 32 agents took 9 s for a copy of 4.3 s.
const drawersMost = 12

// Origin is the id of the origin of weights among sources.
const Origin = ""

// Supplier is an agent that has, or will have, the pieces of a version.
type Supplier struct {
	ID               string
	AvailabilityZone string
	// Complete is set when its engine has loaded the version.
	Complete bool
	// Failed is set while it is left out, because it has failed the asking agent.
	Failed bool
}

// Plan says where an agent asks for the pieces of a version.
type Plan struct {
	self       Supplier
	version    int
	originZone string
	// givers have the version; homes are to get it.
	nearGivers  []Supplier
	nearHomes   []Supplier
	givers      []Supplier
	originHomes []Supplier
	// drawers are the homes in the zone of the origin that draw from it.
	drawers []Supplier
}

// New returns the plan of an agent, which is not among the suppliers.
func New(self Supplier, version int, suppliers []Supplier, originZone string) *Plan {
	p := &Plan{self: self, version: version, originZone: originZone}
	all := append(slices.Clone(suppliers), self)
	slices.SortFunc(all, func(a, b Supplier) int { return strings.Compare(a.ID, b.ID) })
	for _, supplier := range all {
		near := supplier.AvailabilityZone == self.AvailabilityZone
		switch {
		case supplier.Complete && near:
			p.nearGivers = append(p.nearGivers, supplier)
		case near:
			p.nearHomes = append(p.nearHomes, supplier)
		}
		if supplier.Complete {
			p.givers = append(p.givers, supplier)
		} else if supplier.AvailabilityZone == originZone {
			p.originHomes = append(p.originHomes, supplier)
		}
	}
	p.drawers = p.originHomes[:min(len(p.originHomes), drawersMost)]
	return p
}

// Source returns the id of the supplier that an agent asks for a piece, or Origin.
func (p *Plan) Source(piece int) string {
	drawer := p.drawer(piece)
	if len(p.givers) == 0 && drawer.ID == p.self.ID {
		return Origin
	}
	if giver := p.deal(p.nearGivers, piece); giver != Origin {
		return giver
	}
	if home := p.deal(p.nearHomes, piece); home != Origin && home != p.self.ID {
		return home
	}
	if giver := p.deal(p.givers, piece); giver != Origin {
		return giver
	}
	if p.self.AvailabilityZone != p.originZone {
		return p.deal(p.originHomes, piece)
	}
	if drawer.Failed || drawer.ID == p.self.ID {
		// The next drawer would ask this home.
		return Origin
	}
	return drawer.ID
}

// drawer returns the agent that draws a piece from the origin.
func (p *Plan) drawer(piece int) Supplier {
	if len(p.drawers) == 0 {
		return Supplier{ID: Origin}
	}
	return p.drawers[(piece+p.version)%len(p.drawers)]
}

// Helps tells whether a supplier may give more than the pieces that are its to give, when
// it is done with those: one that has all of them, in the own zone. Agents that took
// everything from another zone would fill the link to it many times over.
func (p *Plan) Helps(id string) bool {
	return slices.ContainsFunc(p.nearGivers, func(giver Supplier) bool { return giver.ID == id })
}

// deal returns the supplier whose turn a piece is, or the next one that has not
// failed.
func (p *Plan) deal(suppliers []Supplier, piece int) string {
	for step := range suppliers {
		supplier := suppliers[(piece+p.version+step)%len(suppliers)]
		if !supplier.Failed {
			return supplier.ID
		}
	}
	return Origin
}
