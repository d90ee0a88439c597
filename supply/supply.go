// Package supply chooses from whom an agent takes each piece of a weight version that
// is staged in pieces.
//
// Every agent computes the sources from the servers that it knows, without asking the
// others. Agents that know different servers ask different sources for a while, which
// costs bytes and never correctness, since every piece is verified.
//
// While suppliers of the own zone have the version, they share the work by rendezvous
// hash. For a version that is new to the zone, one agent of the zone is the home of
// each piece: it fetches the piece from another zone, and the others wait for it
// there. So a piece crosses each link between zones once. In the zone of the origin
// the home draws the piece from the origin, once for the whole fleet.
package supply

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Origin is the id of the origin of weights among sources.
const Origin = ""

// Supplier is an agent that has, or will have, the pieces of a version.
type Supplier struct {
	ID               string
	AvailabilityZone string
	// Complete is set when its engine has loaded the version.
	Complete bool
}

// Plan says where an agent asks for the pieces of a version.
type Plan struct {
	self       Supplier
	version    string
	originZone string
	suppliers  []Supplier
}

// New returns the plan of an agent. Suppliers that have failed it are left out by the
// caller; the agent itself is not among them.
func New(self Supplier, version int, suppliers []Supplier, originZone string) *Plan {
	return &Plan{self: self, version: strconv.Itoa(version), originZone: originZone, suppliers: suppliers}
}

// Source returns the id of the supplier that an agent asks for a piece, or Origin.
func (p *Plan) Source(piece int) string {
	if giver := p.first(piece, func(s Supplier) bool { return s.Complete && p.isNear(s) }); giver != nil {
		return giver.ID
	}
	if home := p.first(piece, func(s Supplier) bool { return p.isNear(s) && !s.Complete }); home != nil && p.outranks(home, piece) {
		return home.ID
	}
	if giver := p.first(piece, func(s Supplier) bool { return s.Complete }); giver != nil {
		return giver.ID
	}
	if p.self.AvailabilityZone != p.originZone {
		if home := p.first(piece, func(s Supplier) bool { return s.AvailabilityZone == p.originZone }); home != nil {
			return home.ID
		}
	}
	return Origin
}

func (p *Plan) isNear(supplier Supplier) bool {
	return supplier.AvailabilityZone == p.self.AvailabilityZone
}

// first returns the supplier with the highest rank for a piece among those that fit.
func (p *Plan) first(piece int, fits func(Supplier) bool) *Supplier {
	var best *Supplier
	highest := uint64(0)
	for i := range p.suppliers {
		if !fits(p.suppliers[i]) {
			continue
		}
		if rank := p.rank(p.suppliers[i].ID, piece); best == nil || rank > highest {
			best, highest = &p.suppliers[i], rank
		}
	}
	return best
}

// outranks tells whether another agent, and not this one, is the home of a piece.
func (p *Plan) outranks(other *Supplier, piece int) bool {
	return p.rank(other.ID, piece) > p.rank(p.self.ID, piece)
}

func (p *Plan) rank(id string, piece int) uint64 {
	return xxhash.Sum64String(id + "/" + p.version + "/" + strconv.Itoa(piece))
}
