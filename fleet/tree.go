package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// TreeFanout is the maximum number of children of an entry in a tree (see Parent).
// The root entry of a zone is in two trees, so it sends each change to up to twice
// as many children. With 29 zones of 25 entries, the tree of a zone and the tree of
// the roots have the same depth as with a fanout of 4.
const TreeFanout = 3

// Parent returns the entry with which the entry self exchanges changes. The
// entries of an availability zone form a tree in the order of the hashes of their
// IDs, and the roots of all zones form another tree, so that a change reaches each
// zone over one connection. The root of the second tree has no parent, and Parent
// returns false for it. The argument entries holds the entries that are not dead,
// including self. When an entry is lost, the order of the others stays the same,
// and only entries after it in the order get another place.
func Parent(self fuchsiarouter.Member, entries []fuchsiarouter.Member) (fuchsiarouter.Member, bool) {
	zone := func(member fuchsiarouter.Member) string { return member.Region + "\n" + member.AvailabilityZone }
	roots := map[string]fuchsiarouter.Member{}
	var sameZone []fuchsiarouter.Member
	for _, entry := range entries {
		if best, ok := roots[zone(entry)]; !ok || precedesByHash(entry, best) {
			roots[zone(entry)] = entry
		}
		if zone(entry) == zone(self) {
			sameZone = append(sameZone, entry)
		}
	}
	tree := sameZone
	if roots[zone(self)].ID == self.ID {
		tree = tree[:0]
		for _, root := range roots {
			tree = append(tree, root)
		}
	}
	slices.SortFunc(tree, func(a, b fuchsiarouter.Member) int {
		if precedesByHash(a, b) {
			return -1
		}
		return 1
	})
	position := slices.IndexFunc(tree, func(member fuchsiarouter.Member) bool { return member.ID == self.ID })
	if position <= 0 {
		return fuchsiarouter.Member{}, false
	}
	return tree[(position-1)/TreeFanout], true
}

// precedesByHash reports whether a comes before b in the order of the hashes of
// their IDs.
func precedesByHash(a, b fuchsiarouter.Member) bool {
	order := cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	return order < 0
}
