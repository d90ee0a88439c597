// Package schedule selects the backend server for each request at an entry and the order
// in which queued requests are sent. It is used by package ingress; package routing is its
// counterpart for package entry, where the agents queue requests.
//
// A server has slots, the number of requests that it runs at the same time. For each
// priority rank, the scheduler derives a capacity from them: slightly more than the slots
// for the most urgent rank, and only a share of the slots for the others, because a fully
// loaded model engine produces the first event of a response late. For a service without a
// model, the capacity is slightly more than the slots for every rank. A server is known by
// its registration, the record in the platform's registry. The loader, a daemon beside each
// model engine, also reports the weight versions that the engine holds and when it will
// load others, because the registration shows a change later. In-flight requests are
// counted from this entry's own requests and from the counts that the other entries report.
// A request goes to a server with a low load, but a server in the local availability zone
// is selected before one with a slightly lower load in another, and so is a server that this
// entry prefers. The servers of a zone are distributed among its entries; another entry
// sends requests to the preferred servers of this one only when its own preferred servers
// are clearly busier, and no more than its share of the slots that were free when the counts
// of the other entries arrived. Until then this entry's counts for its preferred servers are
// exact, because they include no reports, which lag.
//
// When all capacity is in use, a request is queued, but only as long as its response can
// still begin in time: a late response is worth little and takes the capacity of one that
// would be on time. A request that cannot be served in time is refused immediately, so that
// its caller retries when the load is lower. Free capacity goes to the most urgent rank
// first, and then to the rank with the lowest served share, the share of its recent
// requests that were sent to a server, so that a flood in one rank does not starve the less
// urgent ones. A request that has already missed its target, the time by which its response
// should begin, is queued two ranks lower, but requests whose response had begun on a
// server that was lost go first. No request is queued longer than its caller waits. An entry rarely
// has a request in time in its queue when a slot becomes free, so requests that have missed
// their target get fewer slots while others are refused.
//
// The scheduler is designed for a load of 1.3 times the capacity over a whole day, with
// bursts in which a single rank has 2.6 times its usual request rate.
//
// A Scheduler has no clock, goroutines or locks. It must be used by one goroutine at a
// time.
package schedule

import (
	"slices"
	"sort"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/availability"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
)

const (
	// lowerRankSlotShare is the share of a model engine's slots that requests below the
	// most urgent rank may use. An engine processes prompts one after the other, between
	// the tokens that it generates, so with a full batch the first event comes late.
	lowerRankSlotShare = 0.85
	// servedShareMargin is the factor in the comparison of the served shares of two ranks:
	// a rank is overserved while its share times this factor exceeds the share of the
	// next more urgent rank.
	servedShareMargin = 1.05
	// overservedSlotReserve is the share of the slots of a server that an overserved rank, and
	// late requests of the most urgent one while lateSlotShare applies, may not use, in addition
	// to what lowerRankSlotShare withholds.
	overservedSlotReserve = 0.25
	// lateSlotShare is the share of a model engine's slots that requests may use which have
	// missed their target, while requests that could meet theirs are refused. An entry often has
	// none of those queued when a slot becomes free, since they may wait only shortly, but gets one
	// soon after.
	lateSlotShare = 0.5
	// lowServedShare is the served share of a rank below which requests that could meet
	// their target count as refused.
	lowServedShare = 0.9
	// urgentOvercommit is the number of requests beyond the slots that are sent for the
	// most urgent rank: a request that is already queued at the engine takes a free slot
	// one pass of the engine, which is a few decoding steps, earlier.
	urgentOvercommit = 2
	// plainOvercommit is the number of requests beyond the slots for services without a
	// model. Their requests run for a few ms, about as long as it takes an entry to learn
	// of a free slot.
	plainOvercommit = 4
	// rankBias favours the more urgent rank: a rank gets the next free capacity only if
	// its served share is below this fraction of that of the next more urgent rank with
	// queued requests. Requests that had missed their target when they were queued are
	// compared with a served share of 1 in place of that of their rank.
	rankBias = 0.9
	// defaultTimeToFirstEvent is the time from sending a request to the first event of its
	// response that is assumed before the first measurement. latencySmoothing is the
	// weight of a new measurement in the moving averages of that time and of
	// service.timePerToken.
	defaultTimeToFirstEvent = 150 * time.Millisecond
	latencySmoothing        = 0.04
	// defaultTimePerToken is the value of service.timePerToken that is assumed before the
	// first measurement.
	defaultTimePerToken = 10 * time.Millisecond
	// loadDelayTolerance is how long a request may still run after the time at which its
	// server is to begin to load weights, and so delay the load.
	loadDelayTolerance = 300 * time.Millisecond
	// minQueueShareOfTarget is the share of the time from a request's arrival to its
	// first-event target for which it may always be queued, even if a typical response
	// would then begin after the target.
	minQueueShareOfTarget = 0.35
	// minLateRateShare is used to estimate the queueing time of requests that have missed
	// their target: they are expected to be sent to servers at no less than this share of the
	// rate at which the requests of all ranks of the service complete.
	minLateRateShare = 0.25
	// lateRankPenalty is the number of ranks by which a request is demoted after missing
	// its target: per unit of engine time, its response is worth about as much as one
	// that is on time two ranks below.
	lateRankPenalty = 2
	// maxLateWait bounds the time in the queue of a request that has missed its target
	// before it is queued. The time is also at most a quarter of that left until the
	// deadline.
	maxLateWait = time.Second
	// minCompletionRate is the completion rate of a service, in requests per second, that
	// is assumed when fewer requests have completed recently.
	minCompletionRate = 1.0
	// baseEjection is the time for which a server is ejected, which means that it gets no
	// requests, after it refused a request, or after it or the connection failed. The time
	// doubles with each consecutive refusal or failure, up to maxEjection.
	baseEjection = 300 * time.Millisecond
	maxEjection  = 4 * time.Second
	// stallSuspension is the time for which a server without progress gets no requests.
	// The time doubles with each consecutive stall, up to maxStallDoublings times. After a
	// suspension this entry sends the server a single request at a time, until one of them
	// completes.
	stallSuspension   = 2 * time.Second
	maxStallDoublings = 2
	// loaderStateTTL is how long a report of the loader beside an engine takes precedence
	// over the engine's registration. Loaders repeat their report for 2.5 s after a
	// change, and the registration is updated within a heartbeat interval of 1.2 s.
	loaderStateTTL = 1500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the delay after which a refused request may
	// be retried. The request misses its target in any case, and bursts last for seconds,
	// so an early retry would be refused again. Whatever the delay is, callers wait before
	// a retry for at most a third of the time that is left until their deadline.
	minRetryAfter = 900 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// noServerRetryAfter is the minimum delay before a retry of a request that no server
	// can run, if no loader reports when one can: engines need seconds to get their weights.
	noServerRetryAfter = 1200 * time.Millisecond
	// retryJitter is the upper limit of the random delay that is added to the retry delay,
	// so that refused requests are not retried all at once. The sum is capped at
	// maxRetryAfter.
	retryJitter = 800 * time.Millisecond
)

// Scheduler holds the load of the backend servers and the queued requests of one entry.
type Scheduler struct {
	// zone is the availability zone of the entry.
	zone string
	// regions holds the region of each availability zone.
	regions map[string]string
	// evacuatedZones holds the availability zones whose servers get no requests.
	evacuatedZones map[string]bool
	// keyOf returns the key of a server in the counts of SetRequestsElsewhere.
	keyOf func(id string) uint32
	// services holds the state of each service by its name, servers that of each server by
	// its ID.
	services map[string]*service
	servers  map[string]*server
	// availability holds what servers have said about further requests.
	availability *availability.Tracker
	// cold limits the requests to cold servers.
	cold *coldState
	// shareSwitch decides which services are shared fairly.
	shareSwitch *shareSwitch
	// requiredVersions holds, for each model, the lowest version on which a request may
	// begin.
	requiredVersions map[string]int
	// lastSequence is the sequence number of the request that was queued last; the first
	// one has 1.
	lastSequence uint64
	// entryIndex is the index of this entry among the entryCount live entries of its
	// availability zone, and fleetSize the number of live entries in all zones.
	entryIndex, entryCount, fleetSize int
}

// New returns a scheduler for an entry in the given availability zone, without servers and
// as if the entry were the only one of its zone. keyOf returns the key under which the
// counts of the other entries list a server.
func New(zone string, keyOf func(id string) uint32) *Scheduler {
	return &Scheduler{zone: zone, keyOf: keyOf, services: map[string]*service{}, servers: map[string]*server{}, availability: availability.New(), requiredVersions: map[string]int{}, entryCount: 1}
}

// SetEntries sets the index of this entry among the live entries of its availability zone
// and their number, and the number of live entries in all zones, and reassigns the preferred
// servers.
func (s *Scheduler) SetEntries(index, count, fleetSize int) {
	s.fleetSize = fleetSize
	if s.entryIndex == index && s.entryCount == count {
		return
	}
	s.entryIndex, s.entryCount = index, count
	for _, svc := range s.services {
		s.assignPreferredServers(svc)
	}
}

// SetServers replaces the set of servers, indexed by ID. A server keeps its scheduling
// state while its incarnation is the same. Queued requests are assigned to the new servers
// as far as these have capacity, and refused if no server is left in their regions.
func (s *Scheduler) SetServers(now time.Time, servers map[string]*catalog.Server) {
	for _, svc := range s.services {
		svc.servers = svc.servers[:0]
	}
	for id, existing := range s.servers {
		updated := servers[id]
		if updated == nil || !updated.IsSameIncarnation(existing.Server) {
			if existing.Started == 0 {
				s.availability.Forget(existing.Incarnation())
			}
			s.releaseCold(existing)
			delete(s.servers, id)
		}
	}
	for id, updated := range servers {
		existing := s.servers[id]
		if existing == nil {
			existing = &server{key: s.keyOf(id)}
			s.servers[id] = existing
		}
		existing.Server = updated
		s.locate(existing)
		existing.availability = s.availability.Find(existing.Incarnation())
		s.trackCold(now, existing)
		svc := s.serviceFor(updated.Service)
		svc.servers = append(svc.servers, existing)
	}
	s.noteColdServers()
	for _, svc := range s.services {
		sort.Slice(svc.servers, func(i, j int) bool { return svc.servers[i].ID < svc.servers[j].ID })
		s.assignPreferredServers(svc)
		s.renewBorrowable(now, svc)
		s.dispatchQueued(now, svc)
		s.refuseQueued(now, svc, (*Request).isRestricted)
	}
}

// serviceFor returns the state of a service and creates it on first use.
func (s *Scheduler) serviceFor(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{ranks: map[int]*rankState{}, timePerToken: defaultTimePerToken}
		s.services[name] = svc
	}
	return svc
}

// EngineState is the state of a model engine, which is a backend server, as reported by
// the loader, the daemon that distributes weights, on the same VM.
type EngineState struct {
	// Address is the address of the engine in its registration.
	Address string
	// Versions holds the weight version of each model that the engine has loaded
	// completely.
	Versions map[string]int
	// LoadingWeights is set while the engine takes no new requests because it loads
	// weights. TimeToLoad is the expected time until it next starts to load, 0 if no load
	// is planned.
	LoadingWeights bool
	TimeToLoad     time.Duration
	// Number orders the states of an engine. It is 0 if they are not numbered.
	Number fuchsiarouter.StateNumber
}

// SetEngineState applies the state of an engine that its loader reported, unless a newer one is
// known. For
// loaderStateTTL, this state takes precedence over the engine's registration, which is
// updated within that time as well. Queued requests are assigned to the engine as far as
// it has capacity.
func (s *Scheduler) SetEngineState(now time.Time, engine EngineState) {
	for _, server := range s.servers {
		if server.Address == engine.Address && !engine.Number.IsSupersededBy(server.loaderStateNumber) {
			server.loaderStateNumber = engine.Number
			wasLoading := server.loadingWeights && now.Before(server.loaderStateUntil)
			server.loaderVersions, server.loadingWeights, server.loaderStateUntil = engine.Versions, engine.LoadingWeights, now.Add(loaderStateTTL)
			server.recordLoad(now, wasLoading)
			server.nextLoadAt = time.Time{}
			if engine.TimeToLoad > 0 {
				server.nextLoadAt = now.Add(engine.TimeToLoad)
			}
			s.dispatchQueued(now, s.serviceFor(server.Service))
		}
	}
}

// RequireVersion sets the lowest version of a model on which requests may begin from now
// on. Requests that were already sent to a server are not affected; Tick refuses those in the queue
// that no server can run in time any more.
func (s *Scheduler) RequireVersion(model string, version int) { s.requiredVersions[model] = version }

// SetRequestsElsewhere replaces the counts of the requests that the other entries have in
// flight, by the key of the server. Queued requests are assigned to the capacity that has
// become free.
func (s *Scheduler) SetRequestsElsewhere(now time.Time, counts map[uint32]int) {
	for _, svc := range s.services {
		freed := false
		for _, server := range svc.servers {
			count := counts[server.key]
			freed = freed || count < server.requestsElsewhere
			server.requestsElsewhere = count
		}
		s.renewBorrowable(now, svc)
		if freed {
			s.dispatchQueued(now, svc)
		}
	}
}

// LocalRequests returns the number of requests that this entry has in flight at each
// server, by the key of the server. Servers without any are left out.
func (s *Scheduler) LocalRequests() map[uint32]int {
	counts := map[uint32]int{}
	for _, server := range s.servers {
		if server.localRequests > 0 {
			counts[server.key] += server.localRequests
		}
	}
	return counts
}

// Submit selects a server for a request, queues the request, or refuses it. A selected
// server counts the request as in flight until Release is called. TriedServers must hold
// the servers of all earlier attempts.
func (s *Scheduler) Submit(now time.Time, request *Request) Decision {
	svc := s.serviceFor(request.Service)
	rank, countsForShare := s.countSubmitted(now, svc, request)
	late := request.late
	if selected := s.selectFair(now, svc, request); selected != nil {
		s.assign(now, svc, selected, request)
		svc.fair.serve(request)
		rank.dispatchRate.count(now)
		if countsForShare {
			rank.served.countDispatch(now)
		}
		return Decision{Server: selected.ID}
	}
	request.queuePriority = request.Rank
	request.queueDeadline = rank.queueDeadline(request)
	switch {
	case request.Resumed:
		request.queuePriority = 0
		request.queueDeadline = request.Deadline
	case late:
		request.queuePriority += lateRankPenalty
		request.queueDeadline = now.Add(min(maxLateWait, request.Deadline.Sub(now)/4))
	}
	var deficit time.Duration
	s.lastSequence++
	request.sequence = s.lastSequence
	if svc.countsEngineTime(now, request) {
		deficit = svc.prepareQueueing(now, request)
	}
	if latestDispatch := request.AbandonAt.Add(-rank.timeToFirstEvent); !request.AbandonAt.IsZero() && latestDispatch.Before(request.queueDeadline) {
		request.queueDeadline = latestDispatch
	}
	if refusal, refused := s.refuseWithoutServer(now, svc, request); refused {
		if countsForShare && refusal.Reason == RegionUnavailable {
			rank.served.discountRequest()
		}
		return refusal
	}
	wait := svc.fair.wait(request, svc.waitInRegions(request, svc.expectedWait(now, request)))
	if deficit > 0 || now.Add(wait).After(request.queueDeadline) {
		svc.fair.refuse(request)
		return Decision{Reason: Overloaded, RetryAfter: svc.shareRetryAfter(now, request, max(wait, deficit))}
	}
	request.queued = true
	position, _ := slices.BinarySearchFunc(svc.queue, request, compareQueueOrder)
	svc.queue = slices.Insert(svc.queue, position, request)
	svc.fair.queue(request)
	return Decision{Queued: true}
}

// countSubmitted counts a request that is submitted for the served shares. It returns the state of its
// rank, and whether the request counts for the share of the rank.
func (s *Scheduler) countSubmitted(now time.Time, svc *service, request *Request) (*rankState, bool) {
	request.late = request.missedTarget(now)
	rank := svc.rankState(request.Rank)
	countsForShare := len(request.TriedServers) == 0 && !request.late
	if countsForShare {
		rank.served.countRequest(now)
		if svc.countsEngineTime(now, request) {
			svc.engine.countPrompt(now, request, (*servedShare).countRequest)
		}
	}
	return rank, countsForShare
}

// RecordFirstEvent updates the moving average of the time from sending a request of the
// service and rank to the first event of its response. The average determines until when
// a request may be queued.
func (s *Scheduler) RecordFirstEvent(service string, rank int, took time.Duration) {
	state := s.serviceFor(service).rankState(rank)
	state.timeToFirstEvent += time.Duration(latencySmoothing * float64(took-state.timeToFirstEvent))
}

// RecordGeneration updates service.timePerToken with a response that took the given time
// from its first to its last event. tokens is the maximum number of tokens that the request
// asked for; with 0, which means unspecified, the call has no effect.
func (s *Scheduler) RecordGeneration(service string, tokens int, took time.Duration) {
	svc := s.serviceFor(service)
	if tokens > 0 {
		svc.timePerToken += time.Duration(latencySmoothing * float64(took/time.Duration(tokens)-svc.timePerToken))
	}
}

// Cancel removes a request from the queue without a call of OnDecision. It returns false
// if the request was not queued, or no longer.
func (s *Scheduler) Cancel(request *Request) bool {
	if !request.queued {
		return false
	}
	svc := s.serviceFor(request.Service)
	svc.queue = slices.DeleteFunc(svc.queue, func(other *Request) bool { return other == request })
	request.queued = false
	svc.fair.unqueue(request)
	return true
}

// Tick assigns servers to the queued requests that can be sent now and refuses those whose
// queue deadline has passed, or that no server will hold the required version for in time. It
// delivers both decisions to OnDecision.
func (s *Scheduler) Tick(now time.Time) {
	for _, svc := range s.services {
		s.dispatchQueued(now, svc)
		s.refuseWithoutVersions(now, svc)
		for i := len(svc.queue) - 1; i >= 0; i-- {
			request := svc.queue[i]
			if now.After(request.queueDeadline) {
				s.Cancel(request)
				svc.fair.refuse(request)
				request.OnDecision(Decision{Reason: Expired, RetryAfter: svc.shareRetryAfter(now, request, 0)})
			}
		}
	}
}

// dispatchQueued assigns the free capacity of a service to its queued requests and
// delivers these decisions to OnDecision.
func (s *Scheduler) dispatchQueued(now time.Time, svc *service) {
	if len(svc.queue) == 0 {
		return
	}
	if svc.engine.isOn(now) {
		s.dispatchByEngineTime(now, svc)
		return
	}
	skipped := map[*Request]bool{}
	for {
		request := s.nextFair(now, svc, svc.nextQueued(skipped), skipped)
		if request == nil {
			return
		}
		selected := s.selectServer(now, svc, request)
		if selected == nil {
			if svc.allSlotsInUse(now) {
				return
			}
			skipped[request] = true
			continue
		}
		s.dispatch(now, svc, selected, request)
	}
}

// dispatch assigns a queued request to the server that was selected for it and delivers the decision
// to OnDecision.
func (s *Scheduler) dispatch(now time.Time, svc *service, selected *server, request *Request) {
	s.assign(now, svc, selected, request)
	s.Cancel(request)
	svc.fair.serve(request)
	rank := svc.rankState(request.Rank)
	rank.dispatchRate.count(now)
	if request.queuePriority == request.Rank && len(request.TriedServers) == 0 {
		rank.served.countDispatch(now)
	}
	request.OnDecision(Decision{Server: selected.ID})
}

// Server returns the server with the given ID, or nil.
func (s *Scheduler) Server(id string) *catalog.Server {
	if server := s.servers[id]; server != nil {
		return server.Server
	}
	return nil
}

// HeldVersion returns the version of a model that the server with the given ID is known to
// hold, 0 if none.
func (s *Scheduler) HeldVersion(now time.Time, id, model string) int {
	server := s.servers[id]
	if server == nil {
		return 0
	}
	return server.heldVersion(now, model)
}
