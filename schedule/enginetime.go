package schedule

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/workload"
)

const (
	// paceReportMemory is how long a service counts engine time after one of its servers has
	// reported a pace.
	paceReportMemory = 2 * time.Minute
	// otherZonePrice and nonPreferredPrice are added, when servers are compared, to the predicted
	// time to the first event at servers in other availability zones, and at those that this entry
	// does not prefer and whose counts are older. They are in ms.
	otherZonePrice    = 30.0
	nonPreferredPrice = 40.0
	// loadingWait is added to the prediction, in ms, for a server that is loading weights. It takes
	// no new requests for about a second, of which half is left on average.
	loadingWait = 500.0
	// countError is added to the prediction for a server that this entry does not prefer: servers
	// are compared by old counts, so those selected have more requests than counted.
	countError = 40.0
	// localChoices and remoteChoices are the numbers of non-preferred servers that are compared in
	// the own availability zone and in the others. More than a few at random would make all
	// entries choose the same server until their counts are renewed.
	localChoices  = 3
	remoteChoices = 2
	// engineOvercommit is the number of requests of the most urgent rank beyond the slots that a
	// preferred server may get. They wait in the engine's queue, where this rank goes first whichever
	// entry sent it. overservedEngineShare is the share of the slots that an overserved rank may use.
	engineOvercommit      = 1
	overservedEngineShare = 0.67
	// yieldingEngineShare is the share of the slots that ranks below the most urgent one may use
	// while less than urgentServedShare of that one is served. It leaves one slot of twelve, which
	// is what the urgent rank lost when the others could use all.
	yieldingEngineShare = 0.9
	urgentServedShare   = 0.95
	// inTimeShare is the share of the time left until the target that the predicted time to the
	// first event may take, and overservedTimeShare that for an overserved rank. The rest covers
	// the error of the prediction.
	inTimeShare         = 0.92
	overservedTimeShare = 0.6
	// longPrompt is the time to read a prompt, in relation to the mean, from which it counts as long;
	// about a tenth of the prompts do. While less than longServedShare of the served share of all
	// prompts is served of the long ones, which fill their target by themselves, they may take
	// longTimeShare of the time left, and longOvercommit more requests at a server.
	longPrompt      = 2.0
	longServedShare = 0.7
	longTimeShare   = 1.1
	longOvercommit  = 2
	// idleShare is the share of the slots in use up to which a server gets a request that is predicted
	// to be late everywhere.
	idleShare = 0.5
	// maxDeficitShare is the share of the time left until the target by which the predicted time
	// may exceed what it may take without a refusal at once. The request is then queued: the
	// prediction may be wrong by as much.
	maxDeficitShare = 0.15
	// maxPassedOverShare is the share of its target for which a request may be passed over by
	// requests of its rank that arrive later and have shorter prompts.
	maxPassedOverShare = 0.2
	// passedOverPerReading is the time for which a request may be passed over, in relation to the
	// time to read its prompt.
	passedOverPerReading = 2.0
	// maxSkippedInQueue bounds the queued requests that are tried each time capacity may have
	// become free.
	maxSkippedInQueue = 6
)

// engineTime is the state of a service whose requests are scheduled by predicted engine time.
type engineTime struct {
	// model is valid if hasModel is set, which needs figures of the engines in the configuration.
	model    workload.Model
	hasModel bool
	// varies is set if the configuration says that servers are slower after their start.
	varies bool
	// paceReportedAt is when a server last reported a pace, zero if none has.
	paceReportedAt time.Time
	// local and remote are reused for the candidates of each selection.
	local, remote []*server
	// best is the least prediction of the last selection, valid if hasBest is set. selected is the
	// prediction for the selected server.
	best     float64
	hasBest  bool
	selected workload.Prediction
	// rate is the number of requests per second that this entry's share of the servers which the
	// last selection could use ends while all their slots are in use.
	rate float64
	// served and longServed are the served shares of all requests and of those with long prompts.
	served, longServed servedShare
}

// isLong reports whether a request has a long prompt.
func (e *engineTime) isLong(request *Request) bool {
	return e.model.Reading(request.PromptTokens) > longPrompt*e.model.MeanReading()
}

// favorsLong reports whether too small a share of the requests with long prompts is served, without
// the one that is decided on.
func (e *engineTime) favorsLong() bool {
	return e.longServed.dispatched < longServedShare*e.served.ratio()*(e.longServed.requested-1)
}

// countPrompt counts a request for the served shares, or its dispatch.
func (e *engineTime) countPrompt(now time.Time, request *Request, count func(*servedShare, time.Time)) {
	count(&e.served, now)
	if e.isLong(request) {
		count(&e.longServed, now)
	}
}

// isOn reports whether the service counts engine time.
func (e *engineTime) isOn(now time.Time) bool {
	return e.hasModel && (e.varies || !e.paceReportedAt.IsZero() && now.Sub(e.paceReportedAt) < paceReportMemory)
}

// countsEngineTime reports whether a request is scheduled by predicted engine time.
func (s *service) countsEngineTime(now time.Time, request *Request) bool {
	return request.Model != "" && s.engine.isOn(now)
}

// SetServices applies the configuration of the services, indexed by name.
func (s *Scheduler) SetServices(services map[string]*catalog.Service) {
	for name, configured := range services {
		engine := &s.serviceFor(name).engine
		engine.hasModel, engine.varies = configured.Engine != nil, configured.ColdTime > 0
		if engine.hasModel {
			engine.model = workload.NewModel(configured.Engine)
		}
	}
}

// CountsEngineTime reports whether the requests of a service for a model are scheduled by predicted
// engine time.
func (s *Scheduler) CountsEngineTime(now time.Time, service string) bool {
	svc := s.services[service]
	return svc != nil && svc.engine.isOn(now)
}

// RecordLoad records the load that a server has reported in a response: the requests that it runs,
// those that wait there, its slots, and its pace, 0 if it has reported none.
func (s *Scheduler) RecordLoad(now time.Time, id string, running, waiting, slots int, pace float64) {
	server := s.servers[id]
	if server == nil || slots <= 0 {
		return
	}
	if pace > 0 {
		s.serviceFor(server.Service).engine.paceReportedAt = now
	}
	server.work.RecordLoad(now, running+waiting-server.localRequests, pace)
}

// FirstEvent is what was predicted for a request whose response has begun.
type FirstEvent struct {
	// Predicted is the predicted time from sending the request to the first event.
	Predicted time.Duration
	// LongPrompt is set if the prompt takes longer to read than one of the mean length.
	LongPrompt bool
}

// RecordServerFirstEvent records the time from sending a request to the first event of its response,
// as RecordFirstEvent does. If the response is a success, it corrects the predictions for the server.
// It returns false if nothing was predicted for the request.
func (s *Scheduler) RecordServerFirstEvent(now time.Time, id string, request *Request, took time.Duration, success bool) (FirstEvent, bool) {
	s.RecordFirstEvent(request.Service, request.Rank, took)
	server := s.servers[id]
	if server == nil {
		return FirstEvent{}, false
	}
	send, known := server.work.Remove(request)
	if !known || !success {
		return FirstEvent{}, false
	}
	server.work.RecordFirstEvent(now, send.Predicted, took)
	long := send.Reading > s.serviceFor(request.Service).engine.model.MeanReading()
	return FirstEvent{Predicted: send.Predicted, LongPrompt: long}, true
}

// RemoveSend records that a request has ended at a server, whether or not its response had begun.
// It is called before Release.
func (s *Scheduler) RemoveSend(id string, request *Request) {
	if server := s.servers[id]; server != nil {
		server.work.Remove(request)
	}
}

// Urgency returns the value from 0 to 9, 0 for the most urgent, by which an engine orders the
// request among others: its rank, or, where engine time is counted, also the length of its prompt.
func (s *Scheduler) Urgency(now time.Time, request *Request) int {
	svc := s.serviceFor(request.Service)
	if !svc.countsEngineTime(now, request) {
		return request.Rank
	}
	target := request.FirstEventTarget.Sub(request.Arrived)
	passedOver := request.Resumed || now.Sub(request.Arrived) > time.Duration(maxPassedOverShare*float64(target))
	return svc.engine.model.Urgency(request.Rank, svc.engine.model.Reading(request.PromptTokens), passedOver)
}

// assign counts a request as in flight at the server that was selected for it.
func (s *Scheduler) assign(now time.Time, svc *service, selected *server, request *Request) {
	selected.localRequests++
	s.reserveCold(selected)
	if svc.countsEngineTime(now, request) {
		selected.work.Add(workload.Send{
			Request: request, Reading: svc.engine.model.Reading(request.PromptTokens),
			Predicted: workload.Duration(svc.engine.selected.FirstEvent), SentAt: now,
		})
		if len(request.TriedServers) == 0 && !request.late {
			svc.engine.countPrompt(now, request, (*servedShare).countDispatch)
		}
	}
}

// timeAllowed returns the time in ms that the prediction for a request may take, and how many
// requests a server may have beyond its slots. The latter is negative for requests that may not use
// all slots.
func (s *service) timeAllowed(now time.Time, request *Request, slots int) (allowed float64, overcommit int) {
	until := request.FirstEventTarget
	if request.Resumed || request.late {
		until = request.Deadline
		if !request.AbandonAt.IsZero() {
			until = request.AbandonAt
		}
	}
	left := float64(until.Sub(now)) / float64(time.Millisecond)
	switch {
	case request.Resumed:
		return left, engineOvercommit
	case request.late:
		share := lowerRankSlotShare
		if s.refusesInTime(now) {
			share = lateSlotShare
		}
		return left * inTimeShare, int(math.Ceil(float64(slots)*share)) - slots
	case s.isOverserved(request.Rank):
		return left * overservedTimeShare, int(math.Ceil(float64(slots)*overservedEngineShare)) - slots
	}
	if request.Rank == 0 {
		overcommit = engineOvercommit
	} else if urgent := s.ranks[0]; urgent != nil && urgent.served.ratio() < urgentServedShare {
		overcommit = int(math.Ceil(float64(slots)*yieldingEngineShare)) - slots
	}
	if s.engine.isLong(request) && s.engine.favorsLong() {
		return left * longTimeShare, overcommit + longOvercommit
	}
	return left * inTimeShare, overcommit
}

// selectByEngineTime is selectServer for services that count engine time. It takes the server with
// the least predicted time to the first event, after the prices for other zones and
// non-preferred servers. It compares the preferred servers and a few others at random and,
// if the response can begin in time at none of them, all servers. As in selectServer, the number of
// requests to non-preferred servers is limited by service.borrowable, and they get none beyond their
// slots: without these limits, all entries use the same free slot.
func (s *Scheduler) selectByEngineTime(now time.Time, svc *service, request *Request) *server {
	engine := &svc.engine
	version := s.requiredVersions[request.Model]
	reading := engine.model.Reading(request.PromptTokens)
	allowed, overcommit := svc.timeAllowed(now, request, int(engine.model.Slots))
	choice := choice{scheduler: s, svc: svc, now: now, reading: reading, allowed: allowed, gap: request.GapTarget}
	engine.local, engine.remote, engine.hasBest = engine.local[:0], engine.remote[:0], false
	hasPreferred, inZone, total := false, 0, 0
	for _, candidate := range svc.servers {
		if !candidate.isEligible(now, request, version) || now.Before(candidate.suspendedUntil) {
			continue
		}
		if !candidate.availability.Takes(now, candidate.localRequests) || candidate.consecutiveStalls > 0 && candidate.localRequests > 0 || candidate.wouldDelayLoad(now, request, svc) {
			continue
		}
		hasPreferred = hasPreferred || candidate.preferred
		total++
		if candidate.AvailabilityZone == s.zone {
			inZone++
		}
		elsewhere := candidate.work.Elsewhere(now, candidate.requestsElsewhere)
		if candidate.localRequests+elsewhere >= max(candidate.Slots, 1)+overcommit || !s.coldAllows(candidate) {
			continue
		}
		switch {
		case candidate.preferred:
			choice.consider(candidate, elsewhere)
		case !request.Resumed && candidate.localRequests+elsewhere >= max(candidate.Slots, 1):
		case candidate.AvailabilityZone == s.zone:
			engine.local = append(engine.local, candidate)
		default:
			engine.remote = append(engine.remote, candidate)
		}
	}
	engine.rate = engine.model.Rate() * float64(inZone) / float64(s.entryCount)
	if inZone == 0 {
		engine.rate = engine.model.Rate() * float64(total) / float64(max(s.fleetSize, s.entryCount))
	}
	limited := hasPreferred && !request.Resumed
	if limited && svc.borrowable < 1 {
		return choice.finish(request)
	}
	for range min(localChoices, len(engine.local)) {
		choice.considerOther(engine.local[rand.IntN(len(engine.local))])
	}
	for range min(remoteChoices, len(engine.remote)) {
		choice.considerOther(engine.remote[rand.IntN(len(engine.remote))])
	}
	if choice.selected == nil {
		for _, others := range [][]*server{engine.local, engine.remote} {
			for _, candidate := range others {
				choice.considerOther(candidate)
			}
		}
	}
	return choice.finish(request)
}

// choice is the comparison of servers for a request.
type choice struct {
	scheduler        *Scheduler
	svc              *service
	now              time.Time
	reading, allowed float64
	gap              time.Duration
	selected         *server
	lowest           float64
	prediction       workload.Prediction
	ties             int
	// fallback is the server with the least prediction, in time or not, of those that load no
	// weights and owe this entry no first event. fallbackPrediction is that prediction.
	fallback           *server
	fallbackPrediction workload.Prediction
}

// finish returns the selected server. If the response can begin in time at none, this is the fallback,
// provided that few of its slots are in use: a wrong prediction, which is corrected by measured times
// only, must not keep all requests from idle servers.
func (c *choice) finish(request *Request) *server {
	if c.selected == nil && c.fallback != nil && !request.late {
		requests := c.fallback.localRequests + c.fallback.work.Elsewhere(c.now, c.fallback.requestsElsewhere)
		if float64(requests) < idleShare*float64(max(c.fallback.Slots, 1)) {
			c.selected, c.prediction = c.fallback, c.fallbackPrediction
		}
	}
	c.svc.engine.selected = c.prediction
	if c.selected != nil && !c.selected.preferred {
		c.svc.borrowable--
	}
	return c.selected
}

// considerOther is consider for a server of which the requests of other entries are not at hand.
func (c *choice) considerOther(candidate *server) {
	c.consider(candidate, candidate.work.Elsewhere(c.now, candidate.requestsElsewhere))
}

// predict predicts the times of a further request at a server, with what is not known of the requests
// there and of a load of weights.
func (e *engineTime) predict(now time.Time, candidate *server, elsewhere int, reading float64) workload.Prediction {
	prediction := e.model.Predict(now, &candidate.work, candidate.localRequests, elsewhere, reading)
	if !candidate.preferred {
		prediction.FirstEvent += countError
	}
	if candidate.loadingWeights && now.Before(candidate.loaderStateUntil) {
		prediction.FirstEvent += loadingWait
	}
	return prediction
}

// consider selects a server if it is the best one so far at which the response can begin in time.
func (c *choice) consider(candidate *server, elsewhere int) {
	engine := &c.svc.engine
	prediction := engine.predict(c.now, candidate, elsewhere, c.reading)
	loading := candidate.loadingWeights && c.now.Before(candidate.loaderStateUntil)
	if !engine.hasBest || prediction.FirstEvent < engine.best {
		engine.best, engine.hasBest = prediction.FirstEvent, true
	}
	if !loading && candidate.work.Unbegun() == 0 && (c.fallback == nil || prediction.FirstEvent < c.fallbackPrediction.FirstEvent) {
		c.fallback, c.fallbackPrediction = candidate, prediction
	}
	if prediction.FirstEvent > c.allowed {
		return
	}
	score := prediction.FirstEvent
	if c.gap > 0 {
		score += max(prediction.Pause-float64(c.gap)/float64(time.Millisecond), 0)
	}
	if candidate.AvailabilityZone != c.scheduler.zone {
		score += otherZonePrice
	}
	if !candidate.preferred {
		score += nonPreferredPrice
	}
	switch {
	case c.selected == nil || score < c.lowest-1e-9:
		c.selected, c.lowest, c.prediction, c.ties = candidate, score, prediction, 1
	case score < c.lowest+1e-9:
		c.ties++
		if rand.IntN(c.ties) == 0 {
			c.selected, c.prediction = candidate, prediction
		}
	}
}

// prepareQueueing sets the place in the queue and the queue deadline of a request for which the last
// selection has found no server. It reports the time by which the request would be late, 0 if it
// may be queued.
func (s *service) prepareQueueing(now time.Time, request *Request) (deficit time.Duration) {
	reading := s.engine.model.Reading(request.PromptTokens)
	target := request.FirstEventTarget.Sub(request.Arrived)
	// The sequence is a time in ns, by which a request with a long prompt queues as if it had
	// arrived later.
	passedOver := min(workload.Duration(passedOverPerReading*reading), time.Duration(maxPassedOverShare*float64(max(target, 0))))
	request.sequence = uint64(max(now.Add(passedOver).UnixNano(), 0))
	if request.isLate() || request.Resumed {
		return 0
	}
	least := s.engine.model.MinFirstEvent(reading)
	request.queueDeadline = request.FirstEventTarget.Add(-workload.Duration(least))
	allowed, _ := s.timeAllowed(now, request, int(s.engine.model.Slots))
	left := float64(request.FirstEventTarget.Sub(now)) / float64(time.Millisecond)
	if s.engine.hasBest && s.engine.best > allowed+maxDeficitShare*left {
		return workload.Duration(s.engine.best - allowed)
	}
	return 0
}

// dispatchByEngineTime is dispatchQueued for services that count engine time. A request that no
// server can begin in time now does not keep others from being tried.
func (s *Scheduler) dispatchByEngineTime(now time.Time, svc *service) {
	skipped := map[*Request]bool{}
	for len(skipped) < maxSkippedInQueue {
		request := s.nextFair(now, svc, svc.nextQueued(skipped), skipped)
		if request == nil {
			return
		}
		selected := s.selectServer(now, svc, request)
		if selected == nil {
			skipped[request] = true
			continue
		}
		s.dispatch(now, svc, selected, request)
	}
}
