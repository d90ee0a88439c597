// Package schedule chooses the backend server of each request at an entry, and the
// order in which waiting requests are sent.
//
// A server has places: its slots and a few more, so that a slot that becomes free is
// filled at once. Places in use are counted from the requests of this entry and from
// what the other entries report of theirs. A request goes to the server with the
// smallest share of its places in use, servers of the own availability zone first at
// equal load. When every place is taken it waits, by rank and then by arrival. It is
// refused at once when the requests ahead of it will take longer than it can wait.
//
// A Scheduler holds no clock, goroutine or lock. It is for one goroutine at a time.
package schedule

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/world"
)

const (
	// overcommit is the number of places beyond the slots of a server. A request on
	// its way takes a few ms, in which a slot would be idle.
	overcommit = 2
	// zonePenalty is the load at which a server of another zone is preferred.
	zonePenalty = 0.15
	// rateWindow is the time over which the pace of a service is averaged.
	rateWindow = 2 * time.Second
	// rateLeast is the pace that is assumed when nothing ended lately, in requests a
	// second.
	rateLeast = 1.0
	// ejection keeps requests away from a server after it has failed one without
	// running it, twice as long for each further failure in a row.
	ejection     = 300 * time.Millisecond
	ejectionMost = 4 * time.Second
	// aheadFor is how long the word of an agent goes before a registration. Agents
	// repeat it for 2.5 s, and registrations follow within a heartbeat of 1.2 s.
	aheadFor = 1500 * time.Millisecond
	// loadingPenalty is the load at which a server that is loading weights, and takes
	// nothing new for about a second, is preferred.
	loadingPenalty = 2.0
	// retryLeast and retryMost bound the time after which a refused request may come
	// back.
	retryLeast = 100 * time.Millisecond
	retryMost  = 2 * time.Second
)

// Scheduler holds the load of the servers and the requests that wait.
type Scheduler struct {
	zone     string
	services map[string]*service
	servers  map[string]*server
	// required is the version of each model on which a request must begin.
	required map[string]int
	places   uint64
}

// service is the state of a service.
type service struct {
	servers []*server
	waiting []*Request
	// rate is the pace at which requests of this entry end, in requests a second.
	rate    float64
	endedAt time.Time
}

// server is the state of a backend server.
type server struct {
	*world.Server
	own int
	// others counts the requests of other entries by entry.
	others map[string]int
	// failures counts the sendings in a row that the server refused or failed.
	failures int
	until    time.Time
	// ahead is what the agent beside the server says of it, which is newer than its
	// registration until aheadUntil.
	ahead      map[string]int
	loading    bool
	aheadUntil time.Time
}

// New returns a scheduler for an entry in the availability zone.
func New(zone string) *Scheduler {
	return &Scheduler{zone: zone, services: map[string]*service{}, servers: map[string]*server{}, required: map[string]int{}}
}

// SetServers replaces the set of servers. Requests that wait may get one of the new
// servers.
func (s *Scheduler) SetServers(now time.Time, servers map[string]*world.Server) {
	for _, group := range s.services {
		group.servers = group.servers[:0]
	}
	for id, known := range s.servers {
		fresh := servers[id]
		if fresh == nil || !fresh.Same(known.Server) {
			delete(s.servers, id)
		}
	}
	for id, fresh := range servers {
		known := s.servers[id]
		if known == nil {
			known = &server{others: map[string]int{}}
			s.servers[id] = known
		}
		known.Server = fresh
		group := s.group(fresh.Service)
		group.servers = append(group.servers, known)
	}
	for _, group := range s.services {
		sort.Slice(group.servers, func(i, j int) bool { return group.servers[i].ID < group.servers[j].ID })
		s.fill(now, group)
	}
}

func (s *Scheduler) group(name string) *service {
	group := s.services[name]
	if group == nil {
		group = &service{}
		s.services[name] = group
	}
	return group
}

// SetEngine takes what the agent beside a server says of it. It holds for a while, in
// which the server's registration follows.
func (s *Scheduler) SetEngine(now time.Time, address string, versions map[string]int, loading bool) {
	for _, known := range s.servers {
		if known.Address == address {
			known.ahead, known.loading, known.aheadUntil = versions, loading, now.Add(aheadFor)
			s.fill(now, s.group(known.Service))
		}
	}
}

// Require sets the version of a model on which requests must begin from now on.
func (s *Scheduler) Require(model string, version int) { s.required[model] = version }

// SetOthers replaces the number of requests that another entry has at each server.
func (s *Scheduler) SetOthers(now time.Time, entry string, counts map[string]int) {
	for id, server := range s.servers {
		if count := counts[id]; count > 0 {
			server.others[entry] = count
		} else {
			delete(server.others, entry)
		}
	}
	for _, group := range s.services {
		s.fill(now, group)
	}
}

// Own returns the number of requests of this entry at each server.
func (s *Scheduler) Own() map[string]int {
	counts := map[string]int{}
	for id, server := range s.servers {
		if server.own > 0 {
			counts[id] = server.own
		}
	}
	return counts
}

// Offer decides on a request that has arrived, or that must be sent again.
func (s *Scheduler) Offer(now time.Time, request *Request) Grant {
	group := s.group(request.Service)
	if chosen := s.choose(now, group, request); chosen != nil {
		chosen.own++
		return Grant{Server: chosen.ID}
	}
	if !s.possible(now, group, request) {
		return Grant{Reason: NoServer, RetryAfter: retryMost / 4}
	}
	wait := group.wait(now, request)
	if now.Add(wait).After(request.Target) {
		return Grant{Reason: Overloaded, RetryAfter: min(max(wait, retryLeast), retryMost)}
	}
	s.places++
	request.place = s.places
	request.waiting = true
	at, _ := slices.BinarySearchFunc(group.waiting, request, before)
	group.waiting = slices.Insert(group.waiting, at, request)
	return Grant{Waited: true}
}

// before orders waiting requests.
func before(a, b *Request) int {
	if a.Rank != b.Rank {
		return a.Rank - b.Rank
	}
	if a.place < b.place {
		return -1
	}
	if a.place > b.place {
		return 1
	}
	return 0
}

// wait returns how long a new request is expected to wait.
func (g *service) wait(now time.Time, request *Request) time.Duration {
	ahead := 1
	for _, waiting := range g.waiting {
		if waiting.Rank <= request.Rank {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / max(g.pace(now), rateLeast) * float64(time.Second))
}

// choose returns the server with the least load that has a free place, or nil.
func (s *Scheduler) choose(now time.Time, group *service, request *Request) *server {
	version := s.required[request.Model]
	var best *server
	least := 0.0
	ties := 0
	for _, candidate := range group.servers {
		if !candidate.fits(now, request, version) || now.Before(candidate.until) {
			continue
		}
		load := candidate.load()
		if load >= 1 {
			continue
		}
		if candidate.AvailabilityZone != s.zone {
			load += zonePenalty
		}
		if candidate.loading && now.Before(candidate.aheadUntil) {
			load += loadingPenalty
		}
		switch {
		case best == nil || load < least-1e-9:
			best, least, ties = candidate, load, 1
		case load < least+1e-9:
			ties++
			if rand.IntN(ties) == 0 {
				best = candidate
			}
		}
	}
	return best
}

// possible tells whether any server could take the request, now or later.
func (s *Scheduler) possible(now time.Time, group *service, request *Request) bool {
	for _, candidate := range group.servers {
		if candidate.fits(now, request, 0) {
			return true
		}
	}
	return false
}

// fits tells whether the server may run the request.
func (s *server) fits(now time.Time, request *Request, version int) bool {
	if s.Draining || slices.Contains(request.Tried, s.ID) {
		return false
	}
	if request.Model == "" {
		return true
	}
	held := s.held(now, request.Model)
	return held > 0 && held >= version
}

// load is the share of the places that are in use.
func (s *server) load() float64 {
	used := s.own
	for _, count := range s.others {
		used += count
	}
	return float64(used) / float64(max(s.Slots, 1)+overcommit)
}

// Outcome is how a sending ended.
type Outcome int

// The outcomes.
const (
	// Ended means that the server ran the request to its end.
	Ended Outcome = iota
	// Refused means that the server did not run it.
	Refused
	// Failed means that the connection or the server failed.
	Failed
	// Left means that the caller left.
	Left
)

// Release takes a request off its server. Waiting requests may get its place.
func (s *Scheduler) Release(now time.Time, id, service string, outcome Outcome) {
	group := s.group(service)
	if outcome == Ended {
		group.count(now)
	}
	if server := s.servers[id]; server != nil {
		server.own = max(server.own-1, 0)
		switch outcome {
		case Ended:
			server.failures = 0
		case Refused, Failed:
			pause := min(ejection<<min(server.failures, 4), ejectionMost)
			server.until = now.Add(pause)
			server.failures++
		}
	}
	s.fill(now, group)
}

// count averages the pace of the service.
func (g *service) count(now time.Time) {
	g.rate = g.pace(now) + 1/rateWindow.Seconds()
	g.endedAt = now
}

// pace is the average of the requests that end in a second; it fades while none
// ends.
func (g *service) pace(now time.Time) float64 {
	return g.rate * math.Exp(-now.Sub(g.endedAt).Seconds()/rateWindow.Seconds())
}

// Cancel takes a waiting request out. It reports false when it was granted before.
func (s *Scheduler) Cancel(request *Request) bool {
	if !request.waiting {
		return false
	}
	group := s.group(request.Service)
	group.waiting = slices.DeleteFunc(group.waiting, func(other *Request) bool { return other == request })
	request.waiting = false
	return true
}

// Tick grants and refuses what time decides.
func (s *Scheduler) Tick(now time.Time) {
	for _, group := range s.services {
		s.fill(now, group)
		for i := len(group.waiting) - 1; i >= 0; i-- {
			request := group.waiting[i]
			if now.After(request.Target) && (now.After(request.Deadline) || group.overdue(now, request)) {
				s.Cancel(request)
				request.Granted(Grant{Reason: Expired, RetryAfter: retryLeast})
			}
		}
	}
}

// overdue tells whether a waiting request has used up half of its time.
func (g *service) overdue(now time.Time, request *Request) bool {
	return now.Sub(request.Arrived) > request.Deadline.Sub(request.Arrived)/4
}

// fill grants free places to waiting requests.
func (s *Scheduler) fill(now time.Time, group *service) {
	for i := 0; i < len(group.waiting); {
		request := group.waiting[i]
		chosen := s.choose(now, group, request)
		if chosen == nil {
			if group.full(now) {
				return
			}
			i++
			continue
		}
		chosen.own++
		group.waiting = slices.Delete(group.waiting, i, i+1)
		request.waiting = false
		request.Granted(Grant{Server: chosen.ID})
	}
}

// full tells whether no server has a free place.
func (g *service) full(now time.Time) bool {
	for _, candidate := range g.servers {
		if !candidate.Draining && now.After(candidate.until) && candidate.load() < 1 {
			return false
		}
	}
	return true
}

// Server returns a server by its id, or nil.
func (s *Scheduler) Server(id string) *world.Server {
	if known := s.servers[id]; known != nil {
		return known.Server
	}
	return nil
}

// Held returns the version of a model that a server is known to hold.
func (s *Scheduler) Held(now time.Time, id, model string) int {
	known := s.servers[id]
	if known == nil {
		return 0
	}
	return known.held(now, model)
}

func (s *server) held(now time.Time, model string) int {
	if now.Before(s.aheadUntil) {
		return s.ahead[model]
	}
	return s.Versions[model]
}

// Load returns the requests of all entries at a server.
func (s *Scheduler) Load(id string) int {
	known := s.servers[id]
	if known == nil {
		return 0
	}
	used := known.own
	for _, count := range known.others {
		used += count
	}
	return used
}
