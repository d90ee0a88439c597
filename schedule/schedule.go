// Package schedule chooses the backend server of each request at an entry, and the
// order in which waiting requests are sent.
//
// A server has places: for the most urgent rank a few more than its slots, for the
// others a part of them, since a full engine begins an answer late. Places in use are
// counted from the requests of this entry and from what the other entries report of
// theirs. A request goes to the server with the least load, servers of the own
// availability zone first at equal load, and among these the ones that the entry is
// home to: no other entry sends there before its own homes are loaded, so their counts
// are exact.
//
// When every place is taken a request waits, but not longer than its answer can still
// begin in time: an answer that comes late earns little and takes the place of one
// that would not. A request that cannot be served in time is refused at once, so that
// its caller comes back when it is calmer. A free place goes to the most urgent rank
// first, and then to the rank of which the smallest part was served lately, so that a
// flood of one rank does not take everything from those below it. Requests that are
// late already wait two ranks lower, but those whose answer has begun at a server that
// was lost go first. None waits for longer than its caller does.
//
// The load that this answers is one of 1.3 times the capacity for the whole day, with
// bursts of one rank of 2.6 times its usual requests.
//
// A Scheduler holds no clock, goroutine or lock. It is for one goroutine at a time.
package schedule

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/world"
)

const (
	// batchShare is the part of the slots of an engine that requests below the most
	// urgent rank may fill. An engine reads prompts one after the other between the
	// tokens of what it writes, so with a full batch the first event comes late.
	batchShare = 0.85
	// rankExcess is how much smaller the served part of a rank is to be than that of the
	// rank above.
	rankExcess = 1.05
	// rankReserve is the part of the slots that is kept from a rank while a larger part
	// of its requests is served than of the rank above.
	rankReserve = 0.1
	// urgentOvercommit is the number of places beyond the slots for the most urgent
	// rank: a request that waits at the engine takes a free slot one pass earlier.
	urgentOvercommit = 2
	// plainOvercommit is the number of places beyond the slots of a plain service. Its
	// requests take a few ms, as long as the news of a free slot.
	plainOvercommit = 4
	// rankBias is how much smaller the served part of a rank may be than that of the
	// next more urgent one before it gets the next place.
	rankBias = 0.9
	// beginDefault is the time from sending to the first event before any was measured,
	// beginWeight the weight of a new measurement.
	beginDefault = 150 * time.Millisecond
	beginWeight  = 0.04
	// tokenDefault is the time for a token before any was measured.
	tokenDefault = 10 * time.Millisecond
	// loadSlack is how much longer than the time until a load a request may run.
	loadSlack = 300 * time.Millisecond
	// leastPatience is the part of the target for which any request may wait.
	leastPatience = 0.35
	// leastPart is the least part of the places that a rank is expected to get.
	leastPart = 0.25
	// lateRanks is how much less urgent a request counts that is late already: its
	// answer earns about as much for the time of an engine as one two ranks below.
	lateRanks = 2
	// latePatience bounds the wait of a request that is late already.
	latePatience = time.Second
	// zonePenalty is the load at which a server of another zone is preferred.
	zonePenalty = 0.15
	// rateLeast is the pace that is assumed when nothing ended lately, in requests a
	// second.
	rateLeast = 1.0
	// ejection keeps requests away from a server after it has failed one without
	// running it, twice as long for each further failure in a row.
	ejection     = 300 * time.Millisecond
	ejectionMost = 4 * time.Second
	// stallRest is how long a server that makes no progress gets nothing, twice as long
	// each further time, up to stallDoublings times. It is then tried by one request.
	stallRest      = 2 * time.Second
	stallDoublings = 2
	// aheadFor is how long the word of an agent goes before a registration. Agents
	// repeat it for 2.5 s, and registrations follow within a heartbeat of 1.2 s.
	aheadFor = 1500 * time.Millisecond
	// foreignPenalty is the load at which a server that another entry of the zone is
	// home to is preferred. The counts of the other entries are older than the time in
	// which a server gets its next request, so entries that all choose the least loaded
	// server choose the same one; each has other homes.
	foreignPenalty = 0.2
	// loadingPenalty is the load at which a server that is loading weights, and takes
	// nothing new for about a second, is preferred.
	loadingPenalty = 2.0
	// retryLeast and retryMost bound the time after which a refused request may come
	// back. It is late by then in any case, and a burst lasts for seconds: one that comes
	// back soon is refused again. Callers wait for a third of the time that they have left
	// at most.
	retryLeast = 900 * time.Millisecond
	retryMost  = 2 * time.Second
	// retryNoServer is the same when no server can take requests: engines need seconds to
	// get their weights.
	retryNoServer = 1200 * time.Millisecond
	// retrySpread keeps refused requests from coming back together.
	retrySpread = 800 * time.Millisecond
)

// Scheduler holds the load of the servers and the requests that wait.
type Scheduler struct {
	zone     string
	services map[string]*service
	servers  map[string]*server
	// required is the version of each model on which a request must begin.
	required map[string]int
	places   uint64
	// self is the place of this entry among the entries of the zone.
	self, entries int
}

// New returns a scheduler for an entry in the availability zone.
func New(zone string) *Scheduler {
	return &Scheduler{zone: zone, services: map[string]*service{}, servers: map[string]*server{}, required: map[string]int{}, entries: 1}
}

// SetEntries takes the place of this entry among the live entries of its zone. The
// servers of the zone are dealt to them as homes.
func (s *Scheduler) SetEntries(self, entries int) {
	if s.self == self && s.entries == entries {
		return
	}
	s.self, s.entries = self, entries
	for _, group := range s.services {
		s.dealHomes(group)
	}
}

// dealHomes deals the servers of the zone to its entries in turn. When there are fewer
// servers than entries, several entries have the same home.
func (s *Scheduler) dealHomes(group *service) {
	count := 0
	for _, server := range group.servers {
		if server.AvailabilityZone == s.zone {
			count++
		}
	}
	place := 0
	for _, server := range group.servers {
		if server.AvailabilityZone != s.zone {
			server.home = false
			continue
		}
		server.home = place%s.entries == s.self || count < s.entries && s.self%count == place
		place++
	}
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
		s.dealHomes(group)
		s.fill(now, group)
	}
}

func (s *Scheduler) group(name string) *service {
	group := s.services[name]
	if group == nil {
		group = &service{ranks: map[int]*rank{}, perToken: tokenDefault}
		s.services[name] = group
	}
	return group
}

// Engine is what the agent beside a server says of it.
type Engine struct {
	Address  string
	Versions map[string]int
	// Loading is set while the server takes nothing new, LoadsIn is the time until it
	// is expected to, 0 when it is not.
	Loading bool
	LoadsIn time.Duration
}

// SetEngine takes what the agent beside a server says of it. It holds for a while, in
// which the server's registration follows.
func (s *Scheduler) SetEngine(now time.Time, engine Engine) {
	for _, known := range s.servers {
		if known.Address == engine.Address {
			known.ahead, known.loading, known.aheadUntil = engine.Versions, engine.Loading, now.Add(aheadFor)
			known.loadsAt = time.Time{}
			if engine.LoadsIn > 0 {
				known.loadsAt = now.Add(engine.LoadsIn)
			}
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
	late := request.late(now)
	rank := group.rank(request.Rank)
	counted := len(request.Tried) == 0 && !late
	if counted {
		rank.share.ask(now)
	}
	if chosen := s.choose(now, group, request); chosen != nil {
		chosen.own++
		rank.granted.count(now)
		if counted {
			rank.share.grant(now)
		}
		return Grant{Server: chosen.ID}
	}
	if !s.possible(now, group, request) {
		return Grant{Reason: NoServer, RetryAfter: group.comeBack(now, retryNoServer)}
	}
	request.order = request.Rank
	request.patience = rank.patience(request)
	switch {
	case request.Resumed:
		request.order = 0
		request.patience = request.Deadline
	case late:
		request.order += lateRanks
		request.patience = now.Add(min(latePatience, request.Deadline.Sub(now)/4))
	}
	if begins := request.GivesUp.Add(-rank.begin); !request.GivesUp.IsZero() && begins.Before(request.patience) {
		request.patience = begins
	}
	wait := group.wait(now, request)
	if now.Add(wait).After(request.patience) {
		return Grant{Reason: Overloaded, RetryAfter: group.comeBack(now, wait)}
	}
	s.places++
	request.place = s.places
	request.waiting = true
	at, _ := slices.BinarySearchFunc(group.waiting, request, before)
	group.waiting = slices.Insert(group.waiting, at, request)
	return Grant{Waited: true}
}

// Began takes the time from sending to the first event of a request.
func (s *Scheduler) Began(service string, order int, took time.Duration) {
	rank := s.group(service).rank(order)
	rank.begin += time.Duration(beginWeight * float64(took-rank.begin))
}

// Generated takes the time from the first to the last event of an answer.
func (s *Scheduler) Generated(service string, tokens int, took time.Duration) {
	group := s.group(service)
	if tokens > 0 {
		group.perToken += time.Duration(beginWeight * float64(took/time.Duration(tokens)-group.perToken))
	}
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
		if candidate.stalls > 0 && candidate.own > 0 {
			continue
		}
		if candidate.used() >= candidate.places(request, group) || candidate.endsTooLate(now, request, group) {
			continue
		}
		load := candidate.load()
		if candidate.AvailabilityZone != s.zone {
			load += zonePenalty
		}
		if !candidate.home {
			load += foreignPenalty
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
		group.ended.count(now)
	}
	if server := s.servers[id]; server != nil {
		server.own = max(server.own-1, 0)
		switch outcome {
		case Ended:
			server.failures, server.stalls = 0, 0
		case Refused, Failed:
			pause := min(ejection<<min(server.failures, 4), ejectionMost)
			server.until = now.Add(pause)
			server.failures++
		}
	}
	s.fill(now, group)
}

// Rest keeps requests from a server that makes no progress, unless it rests already.
func (s *Scheduler) Rest(now time.Time, id string) {
	known := s.servers[id]
	if known == nil || known.stalls > 0 && now.Before(known.until) {
		return
	}
	known.until = now.Add(stallRest << min(known.stalls, stallDoublings))
	known.stalls++
}

// Gone keeps requests from a server of which another incarnation has answered, until it is
// registered anew: after a loss of power its registration stays for seconds.
func (s *Scheduler) Gone(id string) {
	if known := s.servers[id]; known != nil {
		known.gone = true
	}
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
			if now.After(request.patience) {
				s.Cancel(request)
				request.Granted(Grant{Reason: Expired, RetryAfter: group.comeBack(now, 0)})
			}
		}
	}
}

// fill grants free places to waiting requests.
func (s *Scheduler) fill(now time.Time, group *service) {
	passed := map[*Request]bool{}
	for {
		request := group.next(passed)
		if request == nil {
			return
		}
		chosen := s.choose(now, group, request)
		if chosen == nil {
			if group.full() {
				return
			}
			passed[request] = true
			continue
		}
		chosen.own++
		s.Cancel(request)
		rank := group.rank(request.Rank)
		rank.granted.count(now)
		if request.order == request.Rank && len(request.Tried) == 0 {
			rank.share.grant(now)
		}
		request.Granted(Grant{Server: chosen.ID})
	}
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
