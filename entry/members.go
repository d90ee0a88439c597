package entry

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/fleet"
	"github.com/fuchsiarouter/fuchsiarouter/routing"
)

// relayedHeartbeatLag is how long a member that has crashed may still count as alive at
// this entry if only another entry receives its heartbeats: the silence after which the
// other entry suspects the member, plus one second for the exchange of changes and a margin
// of one second.
const relayedHeartbeatLag = fleet.SuspectAfter + 2*time.Second

// members is the entry's view of the fleet with a lock, for concurrent use. It also chooses
// the version for a request, since that depends on which members have loaded it.
type members struct {
	mu     sync.Mutex
	view   *fleet.Relay
	models document.Models
	// readyCache caches the results of readyCounts by model and adapter until the next
	// update of the router, since each request needs the counts and computing them takes a
	// pass over all members.
	readyCache map[string]map[string]int
	// startedAt is when this entry started. Until it has run long enough to know all live
	// members, a member that it doesn't know does not count as gone, see incarnation.
	startedAt time.Time
}

func newMembers(id string, incarnation int64) *members {
	return &members{view: fleet.NewRelay(id, incarnation, fleet.Settings{}), startedAt: time.Now()}
}

// withView calls f with the view locked.
func (m *members) withView(f func(*fleet.Relay)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.view)
}

// setModels sets the models of the configuration with their live versions.
func (m *members) setModels(models document.Models) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.models, m.readyCache = models, nil
}

// address returns the address of the member with the id, or an empty string if the member
// is unknown.
func (m *members) address(id string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	member, _ := m.view.Member(id)
	return member.Address
}

// chooseVersion returns the identity, see fuchsiarouter.JoinIdentity, of the version of the
// model, or of the adapter on a version, that a request runs on. The live version is the one
// that the configuration declares for new requests. During a rollout the requests are
// distributed over it and, of the other versions, the one with the most ready servers, in
// proportion to the servers that are ready with the live and with any other version, so that
// the first server of a new version doesn't get all requests. The result is empty if
// no version is live or, for an adapter, if neither the live version nor any that servers
// are ready with has the adapter.
func (m *members) chooseVersion(name, adapter, fingerprint string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	model, ok := m.models.FindModel(name)
	if !ok {
		return ""
	}
	live, ok := model.LiveVersion()
	if !ok {
		return ""
	}
	liveIdentity := identityOf(model, live, adapter)
	ready := m.readyCounts(model, adapter, liveIdentity)
	otherReady := 0
	for identity, count := range ready {
		if identity != liveIdentity {
			otherReady += count
		}
	}
	if otherReady == 0 {
		return liveIdentity
	}
	pick := int(xxhash.Sum64String(fingerprint+"version") % uint64(ready[liveIdentity]+otherReady))
	if pick < ready[liveIdentity] {
		return liveIdentity
	}
	return mostReady(ready, liveIdentity)
}

// identityOf returns the identity of the adapter on the version, or of the version alone
// if adapter is empty. The result is empty if the configuration has no such adapter for the
// version.
func identityOf(model document.Model, version document.ModelVersion, adapter string) string {
	if adapter == "" {
		return version.Digest
	}
	found, ok := model.FindAdapter(adapter, version.Name)
	if !ok {
		return ""
	}
	return fuchsiarouter.JoinIdentity(version.Digest, found.Digest)
}

// readyCounts returns the number of servers that are ready with each version of the model
// or, if adapter is not empty, with the adapter on each version. The keys are identities. A
// server with several of them counts for one only, which is liveIdentity if the server has
// that one. A version that the configuration no longer contains counts too, but an adapter
// on such a version doesn't. The caller must hold the lock.
func (m *members) readyCounts(model document.Model, adapter, liveIdentity string) map[string]int {
	key := model.Name + "\x00" + adapter
	if counts, ok := m.readyCache[key]; ok {
		return counts
	}
	adapterIdentities := map[string]bool{}
	for _, version := range model.Versions {
		adapterIdentities[identityOf(model, version, adapter)] = true
	}
	counts := map[string]int{}
	for _, member := range m.view.Members() {
		if member.Status != fleet.StatusLive || member.IsLeaving() || member.Role != "" {
			continue
		}
		serverIdentity := ""
		for _, version := range member.Versions {
			_, versionAdapter := fuchsiarouter.SplitIdentity(version.Digest)
			matches := adapter == "" && versionAdapter == "" || adapter != "" && adapterIdentities[version.Digest]
			if matches && version.Model == model.Name && version.State == fuchsiarouter.VersionReady && serverIdentity != liveIdentity {
				serverIdentity = version.Digest
			}
		}
		if serverIdentity != "" {
			counts[serverIdentity]++
		}
	}
	if m.readyCache == nil {
		m.readyCache = map[string]map[string]int{}
	}
	m.readyCache[key] = counts
	return counts
}

// mostReady returns the identity with the most ready servers, other than the live one.
func mostReady(counts map[string]int, liveIdentity string) string {
	identities := make([]string, 0, len(counts))
	for identity := range counts {
		if identity != liveIdentity {
			identities = append(identities, identity)
		}
	}
	slices.SortFunc(identities, func(a, b string) int { return counts[b] - counts[a] })
	return identities[0]
}

// groups returns the servers of each routing group that are live and reachable, and the
// ids of the leaving agents.
func (m *members) groups(isUnreachable func(address string) bool) (groups map[string][]routing.Server, leaving []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readyCache = nil
	groups = map[string][]routing.Server{}
	now := time.Now()
	for _, member := range m.view.Members() {
		if member.Kind != fuchsiarouter.KindAgent {
			continue
		}
		if member.IsLeaving() {
			leaving = append(leaving, member.ID)
			continue
		}
		if member.Status != fleet.StatusLive || isUnreachable(member.Address) {
			continue
		}
		server := routing.Server{
			ID: member.ID, Incarnation: member.Incarnation, Load: member.Load, ReportedAt: member.ReportedAt(),
			AliveAt: member.HeardAt,
		}
		if !member.HeardDirectly(now) {
			server.AliveAt = member.HeardAt.Add(-relayedHeartbeatLag)
		}
		for _, group := range groupsOf(member.Member) {
			groups[group] = append(groups[group], server)
		}
	}
	return groups, leaving
}

// groupsOf returns the routing groups that the server of an agent belongs to.
func groupsOf(member fuchsiarouter.Member) []string {
	if member.Service != "" {
		return []string{"service " + member.Service}
	}
	if member.Role != "" {
		return nil
	}
	var groups []string
	for _, version := range member.Versions {
		if version.State == fuchsiarouter.VersionReady {
			groups = append(groups, versionGroup(version.Model, version.Digest))
		}
	}
	return groups
}

// tick updates the statuses of the members, which depend on the age of their last heartbeat,
// and returns the addresses of the agents that became dead in this update.
func (m *members) tick(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var dead []string
	for _, event := range m.view.Tick(now) {
		if event.To != fleet.StatusDead {
			continue
		}
		if member, ok := m.view.Member(event.ID); ok && member.Kind == fuchsiarouter.KindAgent {
			dead = append(dead, member.Address)
		}
	}
	return dead
}

// incarnation returns the incarnation of a member, or false if the member is unknown. The
// ledger compares it with that of the process that claimed a call. A member that is dead
// counts as restarted, with the largest possible incarnation, because it will not finish
// the calls that it claimed. So does an unknown one once this entry has run long enough to
// have received word of every live member.
func (m *members) incarnation(id string) (int64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	member, ok := m.view.Member(id)
	isGone := member.Status == fleet.StatusDead
	if !ok {
		isGone = time.Since(m.startedAt) > fleet.DeadAfter+fleet.SuspectAfter
	}
	if isGone {
		return math.MaxInt64, true
	}
	return member.Incarnation, ok
}
