package routing

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

// ejectionSettleTime is the time after an ejection by which the other entries are
// expected to have ejected the server too, because each of them observes the failures of
// its own requests. Before that, a request doesn't move on in the ranking.
const ejectionSettleTime = 3 * time.Second

// maxCandidatePairs is the number of candidate pairs that are considered: a request moves
// on to the next two servers of its ranking if both candidates are ejected.
const maxCandidatePairs = 3

// maxAffinityLoad is the load, in requests per slot, up to which the candidate that the
// prefix determines is chosen without comparing loads. At 1, the servers of common prefixes
// fill up between two load reports: the 95th percentile of the time to first token was
// 0.86 s instead of 0.62 s.
const maxAffinityLoad = 0.8

// Router chooses the backend servers for the requests of one entry.
type Router struct {
	settings Settings
	// backends holds the servers by ID, including those that have left their groups,
	// until removeUnused removes them.
	backends map[string]*backend
	// groups holds the groups by name.
	groups map[string]*group
}

// group is the set of servers that can run the same requests.
type group struct {
	backends []*backend
	// hashes are the hashes of the backends, in the same order. They are kept in a
	// slice of their own because a scan over contiguous memory is faster.
	hashes []uint64
	// meanLoad is the mean number of requests per slot, by kind, in the last load
	// reports of the servers.
	meanLoad [loadKinds]float64
}

// New returns a Router without servers.
func New(settings Settings) *Router {
	return &Router{settings: settings.withDefaults(), backends: map[string]*backend{}, groups: map[string]*group{}}
}

// Update sets the servers of a group. servers lists those that the membership view lists as
// ready and that aren't leaving. A server of the group that isn't listed keeps its place in
// the ranking for the hold-down time, unless it is in leaving: the IDs of servers that shut
// down as planned and lose their places at once.
func (r *Router) Update(now time.Time, groupName string, servers []Server, leaving []string) {
	previous := r.groups[groupName]
	next := &group{}
	listed := make(map[string]bool, len(servers))
	for _, server := range servers {
		listed[server.ID] = true
		next.backends = append(next.backends, r.track(now, server, previous != nil))
	}
	if previous != nil {
		for _, b := range previous.backends {
			if listed[b.id] || slices.Contains(leaving, b.id) {
				continue
			}
			b.markUnlisted(now)
			if now.Sub(b.unlistedAt) >= r.settings.HoldDown {
				continue
			}
			next.backends = append(next.backends, b)
		}
	}
	next.summarize()
	if len(next.backends) == 0 {
		delete(r.groups, groupName)
	} else {
		r.groups[groupName] = next
	}
	r.removeUnused(now)
}

// track adds the server to backends or updates its state there, and returns that state. A
// server that has restarted goes through slow start. slowStart says that a server that was
// added does so too; it is false if the whole group is new.
func (r *Router) track(now time.Time, server Server, slowStart bool) *backend {
	b := r.backends[server.ID]
	if b == nil {
		b = &backend{id: server.ID, hash: xxhash.Sum64String(server.ID), incarnation: server.Incarnation}
		if slowStart {
			b.slowStartFrom = now
		}
		r.backends[server.ID] = b
	}
	if b.incarnation != server.Incarnation {
		b.incarnation, b.slowStartFrom, b.crashedAt = server.Incarnation, now, time.Time{}
		b.samples, b.failureRate, b.consecutiveFailures, b.tokenInterval = 0, 0, 0, 0
	}
	// A heartbeat sent after the crash carries the strikes of the crash. Routing then
	// knows which requests are suspects, so the server can be used again.
	if server.ReportedAt.After(b.crashedAt) || server.AliveAt.After(b.crashedAt) {
		b.crashedAt = time.Time{}
	}
	b.updateLoad(server.Load, server.ReportedAt)
	b.listedAt, b.listed = now, true
	return b
}

// removeUnused removes the servers to which this entry has no request in progress and that
// the membership view hasn't listed as ready for twice the hold-down time.
func (r *Router) removeUnused(now time.Time) {
	for id, b := range r.backends {
		if b.inProgress == [loadKinds]int{} && now.Sub(b.listedAt) > 2*r.settings.HoldDown {
			delete(r.backends, id)
		}
	}
}

// summarize computes the hashes and the mean load of the group, and stores the median of
// the token intervals in each of its servers.
func (g *group) summarize() {
	g.hashes = make([]uint64, len(g.backends))
	g.meanLoad = [loadKinds]float64{}
	slots := 0
	var intervals []float64
	for index, b := range g.backends {
		g.hashes[index] = b.hash
		for kind, load := range b.reportedLoad() {
			g.meanLoad[kind] += load
		}
		slots += b.load.Slots
		if b.samples >= minSamples && b.tokenInterval > 0 {
			intervals = append(intervals, b.tokenInterval)
		}
	}
	for kind := range g.meanLoad {
		g.meanLoad[kind] /= float64(max(slots, 1))
	}
	if len(intervals) == 0 {
		return
	}
	slices.Sort(intervals)
	for _, b := range g.backends {
		b.medianTokenInterval = intervals[len(intervals)/2]
	}
}

// Choose returns the ID of the server for the request, or false if no candidate is
// available. Of two candidates of which one is ejected, the other is chosen if it is
// available. If both have been ejected for ejectionSettleTime, the next two servers of the
// ranking become the candidates. A suspect request goes to the server that suspectServer
// returns, even if that server is ejected.
func (r *Router) Choose(now time.Time, request Request) (string, bool) {
	g := r.groups[request.Group]
	if g == nil {
		return "", false
	}
	skipped := request.Skipped
	var fallback *backend
	for range maxCandidatePairs {
		first, second := r.candidates(g, request, skipped)
		if request.Suspect {
			return r.suspectServer(first, second, request)
		}
		chosen := r.lessLoaded(now, g, first, second, request)
		if chosen != nil {
			fallback = chosen
		}
		if chosen == nil || second == nil || !r.isEjectionSettled(now, first, request) || !r.isEjectionSettled(now, second, request) {
			break
		}
		skipped = append(slices.Clip(skipped), first.id, second.id)
	}
	if fallback == nil {
		return "", false
	}
	return fallback.id, true
}

// suspectServer returns the ID of the only server that may run a suspect: the first
// candidate that hasn't crashed while running it. It returns false if that server isn't
// available, because the server may have crashed while running the suspect too without its
// strike having arrived yet. Another server would then be the third to crash.
func (r *Router) suspectServer(first, second *backend, request Request) (string, bool) {
	b := first
	if b != nil && second != nil && slices.Contains(request.CrashedServers, b.id) {
		// If the group has only one server, it may run the suspect once more: two
		// crashes of one server are within the limit of two crashes.
		b = second
	}
	if !r.isAvailable(b, request) {
		return "", false
	}
	return b.id, true
}

// candidates returns the first two servers that aren't skipped, ranked by rendezvous
// hashing of the fingerprint. If the request has a prefix, the hash of the prefix determines
// the first server, so that the prefix is likely to be in the server's cache. A candidate
// is nil if the group has too few servers.
func (r *Router) candidates(g *group, request Request, skipped []string) (first, second *backend) {
	key := xxhash.Sum64String(request.Fingerprint)
	if r.settings.RandomKey != nil {
		key = r.settings.RandomKey()
	}
	if request.Prefix == "" {
		return g.topTwo(key, skipped, nil)
	}
	first, _ = g.topTwo(xxhash.Sum64String(request.Prefix), skipped, nil)
	second, _ = g.topTwo(key, skipped, first)
	return first, second
}

// topTwo returns the two servers with the highest rendezvous hashes for the key, without
// those whose IDs are skipped and without excluded, which may be nil.
func (g *group) topTwo(key uint64, skipped []string, excluded *backend) (first, second *backend) {
	var high, low uint64
	filtered := excluded != nil || len(skipped) > 0
	for index, serverHash := range g.hashes {
		value := mixHash(key ^ serverHash)
		// A hash of 0 stands for no server. No server has it in practice.
		if value <= low {
			continue
		}
		b := g.backends[index]
		switch {
		case filtered && (b == excluded || slices.Contains(skipped, b.id)):
		case value > high:
			first, second, high, low = b, first, value, high
		default:
			second, low = b, value
		}
	}
	return first, second
}

// mixHash returns the 128-bit product of the value and an odd constant, folded to 64
// bits. One multiplication is enough, because its inputs are hashes already.
func mixHash(value uint64) uint64 {
	high, low := bits.Mul64(value, 0x9e3779b97f4a7c15)
	return high ^ low
}

// isEjectionSettled reports whether the server has been ejected for long enough that
// the request may move on to the next in the ranking. It is false for a server that is no
// longer listed, has crashed or is excluded, because such a server keeps its place.
func (r *Router) isEjectionSettled(now time.Time, b *backend, request Request) bool {
	return b.listed && b.crashedAt.IsZero() && b.isEjected(now) && now.Sub(b.ejectedAt) >= ejectionSettleTime &&
		!slices.Contains(request.Excluded, b.id)
}

// lessLoaded returns the less loaded of the available candidates, or nil if neither is
// available. It prefers one that isn't ejected, and then the first if its load is at most
// maxAffinityLoad and it was determined by the prefix.
func (r *Router) lessLoaded(now time.Time, g *group, first, second *backend, request Request) *backend {
	firstUp, secondUp := r.isAvailable(first, request), r.isAvailable(second, request)
	switch {
	case !firstUp && !secondUp:
		return nil
	case !secondUp:
		return first
	case !firstUp:
		return second
	}
	if ejected := first.isEjected(now); ejected != second.isEjected(now) {
		if ejected {
			return second
		}
		return first
	}
	firstLoad := first.expectedLoad(now, &r.settings, request.Rank, g.meanLoad)
	if request.Prefix != "" && firstLoad <= maxAffinityLoad {
		// The first candidate probably has the prefix in its cache. While it has
		// free slots, that saves more time than a lower load.
		return first
	}
	if second.expectedLoad(now, &r.settings, request.Rank, g.meanLoad) < firstLoad {
		return second
	}
	return first
}

// isAvailable reports whether the candidate is listed, hasn't crashed and isn't excluded for
// the request. b may be nil.
func (r *Router) isAvailable(b *backend, request Request) bool {
	return b != nil && b.listed && b.crashedAt.IsZero() && !slices.Contains(request.Excluded, b.id)
}

// UpdateLoad updates the load of a server from the report in a response.
func (r *Router) UpdateLoad(now time.Time, id string, load fuchsiarouter.Load) {
	if b := r.backends[id]; b != nil {
		b.updateLoad(load, now)
	}
}

// RecordStart records that this entry has sent a request of the rank to the server.
func (r *Router) RecordStart(id string, rank document.RankName) {
	if b := r.backends[id]; b != nil {
		b.startedSinceReport[loadKindOf(rank)]++
		b.inProgress[loadKindOf(rank)]++
	}
}

// RecordEnd records the end of a request whose start was recorded. The outcome Crashed marks
// the server as crashed. Succeeded and Failed update its health, unless it is ejected at the
// time, and eject it if it is then unhealthy, within Settings.MaxEjectedShare. tokenInterval
// is the mean time between the tokens of the response, or 0 if unknown. It measures the speed
// of the server, because unlike the time to the first token it doesn't depend on the rank,
// the prompt or the queue.
func (r *Router) RecordEnd(now time.Time, id string, rank document.RankName, outcome Outcome, tokenInterval time.Duration) {
	b := r.backends[id]
	if b == nil {
		return
	}
	b.startedSinceReport[loadKindOf(rank)]--
	b.inProgress[loadKindOf(rank)] = max(b.inProgress[loadKindOf(rank)]-1, 0)
	switch outcome {
	case Crashed:
		b.crashedAt = now
	case Succeeded, Failed:
		if loadKindOf(rank) == preemptible {
			// The intervals of overnight requests include the pauses in which urgent
			// requests preempted them.
			tokenInterval = 0
		}
		if !b.isEjected(now) {
			b.recordOutcome(outcome, tokenInterval)
			r.ejectIfUnhealthy(now, b)
		}
	}
}

// ejectIfUnhealthy ejects the server if it is unhealthy and no group that it belongs to
// would then exceed the limit of ejected servers, Settings.MaxEjectedShare.
func (r *Router) ejectIfUnhealthy(now time.Time, b *backend) {
	if !b.isUnhealthy(&r.settings) {
		return
	}
	for _, g := range r.groups {
		if !slices.Contains(g.backends, b) {
			continue
		}
		ejected := 0
		for _, other := range g.backends {
			if other.isEjected(now) {
				ejected++
			}
		}
		if float64(ejected+1) > math.Floor(r.settings.MaxEjectedShare*float64(len(g.backends))) {
			return
		}
	}
	b.eject(now, &r.settings)
}

// Ejected returns the sorted IDs of the ejected servers of the group.
func (r *Router) Ejected(now time.Time, groupName string) []string {
	var ids []string
	if g := r.groups[groupName]; g != nil {
		for _, b := range g.backends {
			if b.isEjected(now) {
				ids = append(ids, b.id)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// AllowsFailover reports whether a request for which a server returned this result may go
// to the next servers of its ranking, with that server in Request.Skipped. A full queue
// doesn't allow it: if the queues of both candidates are full, those of the other servers
// are about as full, and a flood of requests must not spread a request that crashes servers
// to more of them.
func AllowsFailover(code result.Code) bool {
	switch code {
	case result.Leaving, result.VersionNotLoaded, result.Timeout, result.Internal:
		return true
	}
	return false
}
