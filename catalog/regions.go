package catalog

import (
	"maps"
	"slices"
)

// RegionSet is the set of regions in which a request may be served. Nil allows every region, an
// empty set none. It is immutable.
type RegionSet map[string]struct{}

// NewRegionSet returns the set of the named regions, which is nil if there are none.
func NewRegionSet(names []string) RegionSet {
	if len(names) == 0 {
		return nil
	}
	set := make(RegionSet, len(names))
	for _, name := range names {
		set[name] = struct{}{}
	}
	return set
}

// Allows reports whether a request may be served in a region. The region of a server is empty if it
// is not known; only nil allows that.
func (s RegionSet) Allows(region string) bool {
	if s == nil {
		return true
	}
	_, isAllowed := s[region]
	return isAllowed && region != ""
}

// Intersect returns the set of the regions that both sets allow. It allocates nothing unless both
// sets restrict the regions.
func (s RegionSet) Intersect(other RegionSet) RegionSet {
	if s == nil {
		return other
	}
	if other == nil {
		return s
	}
	both := RegionSet{}
	for name := range s {
		if _, isInBoth := other[name]; isInBoth {
			both[name] = struct{}{}
		}
	}
	return both
}

// Names returns the names of the regions in alphabetical order.
func (s RegionSet) Names() []string { return slices.Sorted(maps.Keys(s)) }
