// Package supply selects the source from which a loader fetches each piece of a model
// version.
//
// A loader is the daemon beside a model engine. Every loader computes the sources of its
// pieces locally from its own view of the servers. Loaders with different views may
// temporarily choose different sources. This costs extra bytes but not correctness, since
// every piece is verified against its digest.
//
// If loaders in the same availability zone hold the version, they share the requests of
// that zone, unless they are so few that they would be busy for several times as long as a
// copy takes, for example after all processes were killed during a rollout. Otherwise one
// loader of the zone is the importer of each piece: it fetches the piece from another zone,
// or from a holder in its own, and the other loaders of the zone wait for it, so that each
// piece crosses a link between zones once. Each piece is passed on in a tree of its own below
// its importer: an importer that sent it to all 32 others of a zone took 0.9 s for each piece,
// and the last one came 2 s after it had left the origin.
//
// If no loader holds the version, it comes from the origin, the server that publishes the
// weights. A few loaders in the zone of the origin, the origin fetchers, download each
// piece from the origin once for the whole fleet. The importers of the piece in all zones fetch
// it from the origin fetcher.
//
// The other loaders are the suppliers. Pieces are assigned to them round-robin in the order
// of their ids, starting at a supplier that depends on the version. The supplier with the
// most pieces determines when the last loader finishes, and hashing would give one of ten
// suppliers a third more pieces than the average.
package supply

import (
	"slices"
	"strings"
)

// maxOriginFetchers is the maximum number of loaders that download from the origin at
// the same time. With more of them, each piece takes longer than its timeout on the
// origin's shared link, and the origin's connection limit is reached: 32 loaders together
// took 9 s to download one copy of a version that otherwise takes 4.3 s.
const maxOriginFetchers = 12

// maxCopiesPerHolder is the number of copies that the holders of an availability zone send on
// average before the other loaders pass pieces on as well. Two copies take a holder about as long
// as an importer needs to receive its pieces and pass them on.
const maxCopiesPerHolder = 2

// treeFanOut is the number of loaders to which a loader passes a piece on. A zone of 43 loaders
// has two levels, in each of which sending takes 0.16 s on a link of 7.3 Mbit/s.
const treeFanOut = 6

// Origin is the id that Plan.Source returns for the origin, the server that publishes the
// weights. No supplier has this id.
const Origin = ""

// Supplier is a loader that holds or is fetching the pieces of a version.
type Supplier struct {
	// ID identifies the loader. All loaders must use the same ids, since they determine
	// the assignment of the pieces.
	ID               string
	AvailabilityZone string
	// Complete is set if the loader's engine has loaded the version.
	Complete bool
	// Failed is set if the loader must be skipped because recent requests to it failed or
	// returned no piece.
	Failed bool
}

// Plan maps each piece of a version to the source from which one loader fetches it.
type Plan struct {
	// self is the loader that fetches the pieces.
	self    Supplier
	version int
	// originZone is the availability zone of the origin.
	originZone string
	// Holders have the complete version. Importers do not: each of them fetches its share
	// of the pieces into its zone. The local ones are in the zone of self; local has both kinds.
	// local, localImporters and originZoneImporters may include self. All are sorted by id.
	local               []Supplier
	localHolders        []Supplier
	localImporters      []Supplier
	holders             []Supplier
	originZoneImporters []Supplier
	// originFetchers are the first maxOriginFetchers of originZoneImporters. Another loader
	// downloads a piece from the origin only if no supplier of the piece is left, or as the
	// importer of the piece in place of its failed origin fetcher.
	originFetchers []Supplier
}

// NewPlan returns the plan of the loader self for a version. The suppliers are the other
// loaders that hold or are fetching the version and must not include self.
func NewPlan(self Supplier, version int, suppliers []Supplier, originZone string) *Plan {
	p := &Plan{self: self, version: version, originZone: originZone}
	all := append(slices.Clone(suppliers), self)
	slices.SortFunc(all, func(a, b Supplier) int { return strings.Compare(a.ID, b.ID) })
	for _, supplier := range all {
		local := supplier.AvailabilityZone == self.AvailabilityZone
		if local {
			p.local = append(p.local, supplier)
		}
		switch {
		case supplier.Complete && local:
			p.localHolders = append(p.localHolders, supplier)
		case local:
			p.localImporters = append(p.localImporters, supplier)
		}
		if supplier.Complete {
			p.holders = append(p.holders, supplier)
		} else if supplier.AvailabilityZone == originZone {
			p.originZoneImporters = append(p.originZoneImporters, supplier)
		}
	}
	p.originFetchers = p.originZoneImporters[:min(len(p.originZoneImporters), maxOriginFetchers)]
	return p
}

// Source returns the id of the supplier from which the loader fetches a piece, or Origin.
// An origin fetcher downloads its pieces from the origin if no loader holds the version.
// Otherwise loaders in the own zone come first, then loaders in other zones that hold the
// version, then the loaders through which the piece arrives from the origin.
func (p *Plan) Source(piece int) string {
	originFetcher := p.originFetcher(piece)
	if len(p.holders) == 0 && originFetcher.ID == p.self.ID {
		return Origin
	}
	if p.usesTree() {
		if parent := p.parent(piece); parent != p.self.ID {
			return parent
		}
	}
	if holder := p.assign(p.localHolders, piece); holder != Origin {
		return holder
	}
	if holder := p.assign(p.holders, piece); holder != Origin {
		return holder
	}
	if p.self.AvailabilityZone != p.originZone {
		if originFetcher.ID != Origin && !originFetcher.Failed {
			return originFetcher.ID
		}
		return p.assign(p.originZoneImporters, piece)
	}
	if originFetcher.Failed || originFetcher.ID == p.self.ID {
		// Falling back to the next origin fetcher could deadlock: it waits for this loader,
		// the importer of the piece.
		return Origin
	}
	return originFetcher.ID
}

// PassesOn reports whether other loaders of the availability zone wait for the loader to pass a
// piece on to them: it imports the piece or is inside the tree in which the piece is passed on.
func (p *Plan) PassesOn(piece int) bool {
	if !p.usesTree() {
		return false
	}
	return p.rank(piece)*treeFanOut+1 < len(p.local) || p.parent(piece) == p.self.ID
}

// usesTree reports whether the loaders of the own availability zone pass pieces on to one another:
// none holds the version, or too few to send a copy to every other loader themselves.
func (p *Plan) usesTree() bool {
	return len(p.localImporters) > maxCopiesPerHolder*len(p.localHolders)
}

// rank returns the position of the loader in the tree of a piece: 0 for the importer, and for any
// other one more than that of its parent.
func (p *Plan) rank(piece int) int {
	self := slices.IndexFunc(p.local, func(supplier Supplier) bool { return supplier.ID == p.self.ID })
	return (self + len(p.local) - p.root(piece)) % len(p.local)
}

// root returns the index in local of the importer of a piece.
func (p *Plan) root(piece int) int { return (piece + p.version) % len(p.local) }

// parent returns the loader from which the loader gets a piece in the tree of the piece, its own id
// if it is the importer. Failed loaders are skipped on the way up, and a failed importer is replaced
// by the next loader. The rank of a parent is always lower than the loader's own, so loaders that
// differ in which ones failed do not wait for one another in a circle.
func (p *Plan) parent(piece int) string {
	root := p.root(piece)
	for rank := p.rank(piece); rank > 0; {
		rank = (rank - 1) / treeFanOut
		if supplier := p.local[(root+rank)%len(p.local)]; !supplier.Failed {
			return supplier.ID
		}
	}
	return p.assign(p.local, piece)
}

// originFetcher returns the loader that downloads a piece from the origin for the others,
// even if that loader has failed. If there is none, it returns a Supplier with the id
// Origin.
func (p *Plan) originFetcher(piece int) Supplier {
	if len(p.originFetchers) == 0 {
		return Supplier{ID: Origin}
	}
	return p.originFetchers[(piece+p.version)%len(p.originFetchers)]
}

// CanServeUnassigned reports whether a supplier that has served its assigned pieces may
// also serve pieces assigned to others. Only complete suppliers in the same zone may:
// otherwise loaders would fetch whole copies over the link between zones. They may not while they
// are few, because importers wait for them.
func (p *Plan) CanServeUnassigned(id string) bool {
	return !p.usesTree() && slices.ContainsFunc(p.localHolders, func(holder Supplier) bool { return holder.ID == id })
}

// assign returns the id of the supplier to which a piece is assigned round-robin. It skips
// failed suppliers and returns Origin if no other is left.
func (p *Plan) assign(suppliers []Supplier, piece int) string {
	for step := range suppliers {
		supplier := suppliers[(piece+p.version+step)%len(suppliers)]
		if !supplier.Failed {
			return supplier.ID
		}
	}
	return Origin
}
