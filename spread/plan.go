package spread

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// Plan is the distribution of one version over the members of a view.
//
// Each region has a few gateways. Chunk i is imported into the region by the gateway with
// the index i modulo their number; the following gateways replace that one in order if it
// fails. Only gateways transfer between regions, so that each has a useful share of the
// bandwidth of the link. The other members of an availability zone form a ring.
//
// Each zone has its own distribution tree of a chunk. The root is the chunk's gateway in the
// zone of the gateway; in any other zone it is a member of the ring, which receives the chunk
// from the gateway. The tree is filled along the ring from a starting point that differs
// from chunk to chunk, so that every member of the ring is an inner node about equally often
// and at even intervals. Gateways already upload to the roots and to other regions, so they
// are leaves in the trees of chunks of other gateways.
type Plan struct {
	// storeRegion is the name of the region of the origin.
	storeRegion string
	// fanout is the number of children of an inner node of a tree.
	fanout int
	// members holds the members by ID, regions the regions by name.
	members map[string]member
	regions map[string]*region
	// remoteRegions are the names of the regions other than that of the origin, sorted.
	remoteRegions []string
}

// member is a member of the view with its roles in the plan.
type member struct {
	fuchsiarouter.Member
	// hash is a hash of the version and the member's ID. It determines the member's roles.
	hash uint64
	// complete is set if the member reports every chunk as verified.
	complete bool
	// gatewayIndex is the index among the region's gateways, or -1 if the member is no
	// gateway. ringIndex is the index in the zone's ring, or -1 if the member is a
	// gateway.
	gatewayIndex int
	ringIndex    int
}

// region holds the members of a region and their roles.
type region struct {
	members  []*member
	gateways []*member
	// holders are the complete members of the region.
	holders []*member
	zones   map[string]*zone
}

// zone holds the members of an availability zone by role.
type zone struct {
	ring     []*member
	gateways []*member
	// holders are the complete members of the zone.
	holders     []*member
	memberCount int
}

// Parameters of a plan.
const (
	// DefaultFanout is the default number of children of an inner node of a tree.
	DefaultFanout = 2
	// minGateways is the number of gateways of a region with one zone. Each is the root
	// of the tree of every fourth chunk and uploads DefaultFanout copies of it, which
	// leaves half of its uplink for other regions. Each further zone adds a gateway.
	minGateways = 4
	// maxMembersPerHolder is the number of members without the version that one
	// complete member of their zone can serve directly, without a tree.
	maxMembersPerHolder = 4
	// alternateParents is the maximum number of alternates of a parent in a tree: members
	// that replace the parent while it is unavailable.
	alternateParents = 3
)

// NewPlan returns the plan for a view. A fanout of 0 means DefaultFanout. The plan leaves out
// members that don't report the version, members at which it has failed, and members that are
// not live, for example leaving VMs, unless they are complete.
func NewPlan(view View, fanout int) *Plan {
	if fanout == 0 {
		fanout = DefaultFanout
	}
	p := &Plan{
		storeRegion: view.StoreRegion, fanout: fanout,
		members: make(map[string]member), regions: make(map[string]*region),
	}
	for _, m := range view.Members {
		held, ok := heldVersion(m, view.Version)
		if !ok || held.State == fuchsiarouter.VersionFailed {
			continue
		}
		complete := held.State == fuchsiarouter.VersionVerified || held.State == fuchsiarouter.VersionReady
		if m.State != fuchsiarouter.StateLive && !complete {
			continue
		}
		if _, ok := p.regions[m.Region]; !ok {
			p.regions[m.Region] = &region{zones: make(map[string]*zone)}
		}
		entry := &member{Member: m, hash: xxhash.Sum64String(view.Version + "\x00" + m.ID), complete: complete, gatewayIndex: -1, ringIndex: -1}
		p.regions[m.Region].members = append(p.regions[m.Region].members, entry)
	}
	for name, r := range p.regions {
		if name != view.StoreRegion {
			p.remoteRegions = append(p.remoteRegions, name)
		}
		r.assignRoles()
		for _, m := range r.members {
			p.members[m.ID] = *m
		}
	}
	slices.Sort(p.remoteRegions)
	return p
}

// heldVersion returns a member's record of the version with the digest.
func heldVersion(m fuchsiarouter.Member, digest string) (fuchsiarouter.Version, bool) {
	for _, v := range m.Versions {
		if v.Digest == digest {
			return v, true
		}
	}
	return fuchsiarouter.Version{}, false
}

// GatewayCount returns the number of gateways of the region with the name. Only they send
// chunks to other regions, and they share the bandwidth of the links between regions.
func (p *Plan) GatewayCount(name string) int {
	if r, ok := p.regions[name]; ok {
		return len(r.gateways)
	}
	return 0
}

// IsGateway reports whether the agent is the gateway of the chunk in its region. An
// agent that is not in the plan is its own gateway for every chunk.
func (p *Plan) IsGateway(self string, chunk int) bool {
	m, ok := p.members[self]
	return !ok || m.gatewayIndex >= 0 && m.gatewayIndex == chunk%len(p.regions[m.Region].gateways)
}

// IsBackupGateway reports whether the agent is the backup gateway of the chunk: the next
// gateway of the region after that of the chunk.
func (p *Plan) IsBackupGateway(self string, chunk int) bool {
	m, ok := p.members[self]
	if !ok || m.gatewayIndex < 0 {
		return false
	}
	gateways := len(p.regions[m.Region].gateways)
	return gateways > 1 && m.gatewayIndex == (chunk+1)%gateways
}

// TreeDepth returns the depth of the distribution trees in the agent's zone: the maximum
// number of consecutive transfers from the root to an agent. It is 0 for an agent that is not
// in the plan.
func (p *Plan) TreeDepth(self string) int {
	depth := 0
	if m, ok := p.members[self]; ok {
		for last := p.regions[m.Region].zones[m.AvailabilityZone].memberCount - 1; last > 0; last = (last - 1) / p.fanout {
			depth++
		}
	}
	return depth
}

// Has reports whether the agent with the ID is in the plan and so can be a source.
func (p *Plan) Has(id string) bool {
	_, ok := p.members[id]
	return ok
}

// Sources returns the sources from which an agent fetches a chunk, best first. An agent
// that is not in the plan fetches from the origin.
func (p *Plan) Sources(self string, chunk int) []Source {
	m, ok := p.members[self]
	if !ok {
		return []Source{{ID: OriginID}}
	}
	r := p.regions[m.Region]
	list := sourceList{self: m}
	list.addHolders(r.zones[m.AvailabilityZone], chunk)
	switch {
	case p.IsGateway(self, chunk):
		// A gateway that has just replaced another one probes the backup gateway,
		// which may have imported the chunk already.
		list.addProbe(r.gateways[(chunk+1)%len(r.gateways)])
		p.addImportSources(&list, r, chunk)
	case p.IsBackupGateway(self, chunk):
		// The backup gateway requests the chunk from the gateway itself, so that the
		// backup detects a failure of the gateway and replaces it.
		list.add(r.gateways[chunk%len(r.gateways)])
		p.addImportSources(&list, r, chunk)
	default:
		p.addTreeSources(&list, r, chunk)
	}
	list.add(nil)
	// If a chunk arrives in a region late, all agents with responsive sources would
	// otherwise download it from the origin after the same time, over the link that
	// the callers' requests use. The downloads of the gateways are enough.
	if m.gatewayIndex < 0 {
		list.sources[len(list.sources)-1].Fallback = true
	}
	return list.sources
}

// addImportSources adds the sources from which a gateway imports a chunk into region r:
// complete members of the region, then the origin or gateways of other regions.
func (p *Plan) addImportSources(list *sourceList, r *region, chunk int) {
	for i := range min(2, len(r.holders)) {
		list.add(r.holders[(chunk+i)%len(r.holders)])
	}
	if list.self.Region == p.storeRegion {
		list.add(nil)
		return
	}
	// One of the remote regions, the entry region, imports the chunk from the region of
	// the origin, and the other remote regions import it from the entry region. The entry
	// region changes every minGateways chunks, so that each link out of the origin's
	// region carries only its share of the version.
	if count := len(p.remoteRegions); count > 0 {
		entryRegion := p.remoteRegions[chunk/minGateways%count]
		if entryRegion != list.self.Region {
			list.addGateways(p.regions[entryRegion], chunk, 1)
		}
	}
	if store, ok := p.regions[p.storeRegion]; ok {
		list.addGateways(store, chunk, 2)
	}
}

// addTreeSources adds the sources in region r of an agent that is not a gateway of the
// chunk. The parent and its alternates precede the agent in the tree of the chunk, so that
// agents with the same view never wait for their parents in a cycle. The gateways of the
// region follow as further sources.
func (p *Plan) addTreeSources(list *sourceList, r *region, chunk int) {
	localZone := r.zones[list.self.AvailabilityZone]
	root := r.gateways[chunk%len(r.gateways)]
	order := treeOrder{zone: localZone, fanout: p.fanout, chunk: chunk}
	if root.AvailabilityZone == list.self.AvailabilityZone {
		order.root = root
	}
	position := order.position(list.self)
	if position > 0 {
		parent := (position - 1) / p.fanout
		list.add(order.memberAt(parent))
		// The alternates of the parent are about as close to the root as the parent.
		// Each child has different ones, so that none of them is overloaded.
		hash := combineHashes(list.self.hash, uint64(chunk))
		for range alternateParents {
			list.add(order.memberAt(parent/2 + int(hash%uint64(parent-parent/2+1))))
			hash >>= 16
		}
		// The last source in the tree is the parent of the parent.
		list.add(order.memberAt(max(0, parent-1) / p.fanout))
	}
	list.addGateways(r, chunk, len(r.gateways))
	if position == 0 {
		return
	}
	// Gateways other than the agent's parent are fallback sources. If agents whose
	// parent lacks the chunk requested it from these gateways, a late chunk would
	// overload them, and they could no longer serve the children of the roots and the
	// other regions.
	parent := order.memberAt((position - 1) / p.fanout)
	for i, source := range list.sources {
		list.sources[i].Fallback = source.ID != parent.ID && slices.ContainsFunc(r.gateways, func(m *member) bool { return m.ID == source.ID })
	}
}

// sourceList collects the sources of a chunk for the agent self, without duplicates and
// without the agent.
type sourceList struct {
	self    member
	sources []Source
}

// add adds a member as a source, or the origin if m is nil.
func (s *sourceList) add(m *member) {
	source := Source{ID: OriginID}
	if m != nil {
		source = Source{ID: m.ID, Address: m.Address, Remote: m.Region != s.self.Region}
	}
	if source.ID == s.self.ID || slices.ContainsFunc(s.sources, func(other Source) bool { return other.ID == source.ID }) {
		return
	}
	s.sources = append(s.sources, source)
}

// addProbe adds a member as a source with Source.Probe set. It changes nothing if the member
// is a source already.
func (s *sourceList) addProbe(m *member) {
	index := len(s.sources)
	s.add(m)
	if len(s.sources) > index {
		s.sources[index].Probe = true
	}
}

// addGateways adds up to limit gateways of a region in the order in which they replace
// each other for the chunk, starting with the gateway of the chunk.
func (s *sourceList) addGateways(r *region, chunk, limit int) {
	for i := range min(limit, len(r.gateways)) {
		s.add(r.gateways[(chunk+i)%len(r.gateways)])
	}
}

// addHolders adds two complete members of the zone if there are enough complete ones to
// serve all others directly, see maxMembersPerHolder. An agent that joins late thus need
// not wait for a tree.
func (s *sourceList) addHolders(z *zone, chunk int) {
	count := len(z.holders)
	if count == 0 || count*maxMembersPerHolder < z.memberCount-count {
		return
	}
	first := int((s.self.hash>>1 + uint64(chunk)) % uint64(count))
	s.add(z.holders[first])
	s.add(z.holders[(first+1)%count])
}
