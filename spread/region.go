package spread

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// assignRoles selects the gateways of the region and forms the ring of each zone from its
// other members.
func (r *region) assignRoles() {
	slices.SortFunc(r.members, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
	})
	for _, m := range r.members {
		if _, ok := r.zones[m.AvailabilityZone]; !ok {
			r.zones[m.AvailabilityZone] = &zone{}
		}
		z := r.zones[m.AvailabilityZone]
		z.memberCount++
		if m.complete {
			z.holders = append(z.holders, m)
			r.holders = append(r.holders, m)
		}
	}
	for slot := range min(minGateways+len(r.zones)-1, len(r.members)) {
		m := r.selectGateway(slot)
		m.gatewayIndex = slot
		r.gateways = append(r.gateways, m)
		r.zones[m.AvailabilityZone].gateways = append(r.zones[m.AvailabilityZone].gateways, m)
	}
	for _, m := range r.members {
		if z := r.zones[m.AvailabilityZone]; m.gatewayIndex < 0 {
			m.ringIndex = len(z.ring)
			z.ring = append(z.ring, m)
		}
	}
}

// selectGateway selects the gateway with the index slot by rendezvous hashing, from the
// members that are not gateways yet. If a gateway dies, its slot moves to another member.
// The other slots stay, unless that member was the gateway of a later slot: the new gateway
// of a slot that moves imports chunks again that the region has.
func (r *region) selectGateway(slot int) *member {
	var best *member
	var bestScore uint64
	for _, m := range r.members {
		if m.gatewayIndex >= 0 {
			continue
		}
		if score := combineHashes(m.hash, uint64(slot)); best == nil || score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// combineHashes returns a hash of two values.
func combineHashes(a, b uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], a)
	binary.LittleEndian.PutUint64(key[8:], b)
	return xxhash.Sum64(key[:])
}

// treeOrder is the order in which a chunk's tree is filled in one zone: the gateway of the
// chunk if it is in the zone, the ring from the chunk's starting point on, and the other
// gateways as leaves. The children of the member at position p are at the positions
// p*fanout+1 to p*fanout+fanout.
type treeOrder struct {
	zone *zone
	// root is the gateway of the chunk, or nil if that is in another zone.
	root   *member
	fanout int
	chunk  int
}

// ringStart returns the ring index from which the tree is filled. The starts of fanout
// consecutive chunks divide the ring evenly, so that each member is an inner node for
// one of them; the starts of the next chunks are offset by the golden ratio. A start is
// a fraction of the ring, so a lost member shifts the start and the members behind it by
// one position and leaves the others in place.
func (t treeOrder) ringStart() int {
	// goldenRatio is the fractional part of the golden ratio, in units of 1/2^64 of the ring.
	const goldenRatio = 0x9e3779b97f4a7c15
	fanout, chunk := uint64(t.fanout), uint64(t.chunk)
	start := chunk/fanout*goldenRatio + chunk%fanout*(math.MaxUint64/fanout+1)
	index, _ := bits.Mul64(start, uint64(len(t.zone.ring)))
	return int(index)
}

// memberAt returns the member at a position of the tree. Position 0 is the root.
func (t treeOrder) memberAt(position int) *member {
	if t.root != nil {
		if position == 0 {
			return t.root
		}
		position--
	}
	if n := len(t.zone.ring); position < n {
		return t.zone.ring[(t.ringStart()+position)%n]
	}
	return t.leaves()[position-len(t.zone.ring)]
}

// position returns the position of a member in the tree.
func (t treeOrder) position(m member) int {
	offset := 0
	if t.root != nil {
		offset = 1
	}
	if n := len(t.zone.ring); m.ringIndex >= 0 {
		return offset + (m.ringIndex-t.ringStart()+n)%n
	}
	return offset + len(t.zone.ring) + slices.IndexFunc(t.leaves(), func(other *member) bool { return other.ID == m.ID })
}

// leaves returns the gateways of the zone except the root.
func (t treeOrder) leaves() []*member {
	return slices.DeleteFunc(slices.Clone(t.zone.gateways), func(m *member) bool { return m == t.root })
}
