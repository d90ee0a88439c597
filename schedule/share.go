package schedule

import (
	"math"
	"time"
)

// servedShareTimeConstant is the time constant of the exponential decay of the counts in a
// servedShare.
const servedShareTimeConstant = 4 * time.Second

// rankState is the scheduling state of one priority rank of a service.
type rankState struct {
	// served is the share of the rank's recent requests that were sent to a server.
	served servedShare
	// dispatchRate is the number of requests of the rank that are sent to servers per
	// second.
	dispatchRate decayingRate
	// timeToFirstEvent is the average time from sending a request to the first event of
	// its response.
	timeToFirstEvent time.Duration
}

// queueDeadline returns the latest time at which the request can be sent so that its
// response begins by its target, but no earlier than after minQueueShareOfTarget of the
// time between its arrival and its target.
func (r *rankState) queueDeadline(request *Request) time.Time {
	wait := request.FirstEventTarget.Sub(request.Arrived)
	return request.Arrived.Add(max(wait-r.timeToFirstEvent, time.Duration(minQueueShareOfTarget*float64(wait))))
}

// rankState returns the state of a rank and creates it on first use.
func (s *service) rankState(rank int) *rankState {
	state := s.ranks[rank]
	if state == nil {
		state = &rankState{timeToFirstEvent: defaultTimeToFirstEvent}
		s.ranks[rank] = state
	}
	return state
}

// servedShare is the share of the recent requests of a rank that were sent to a server.
// It counts the first attempt of each request that had not missed its target, with counts
// that decay exponentially.
type servedShare struct {
	// requested and dispatched are the decayed numbers, as of updatedAt, of the requests
	// that were submitted and of those of them that were sent to a server.
	requested  float64
	dispatched float64
	updatedAt  time.Time
}

// decay reduces both counts by the decay since updatedAt.
func (s *servedShare) decay(now time.Time) {
	factor := math.Exp(-now.Sub(s.updatedAt).Seconds() / servedShareTimeConstant.Seconds())
	s.requested *= factor
	s.dispatched *= factor
	s.updatedAt = now
}

// countRequest counts a request that was submitted.
func (s *servedShare) countRequest(now time.Time) {
	s.decay(now)
	s.requested++
}

// discountRequest takes back a request that was just counted, because its refusal says nothing about
// the load.
func (s *servedShare) discountRequest() { s.requested-- }

// countDispatch counts a request that was sent to a server.
func (s *servedShare) countDispatch(now time.Time) {
	s.decay(now)
	s.dispatched++
}

// ratio returns the requests sent to a server, divided by the requests submitted. It is 1
// without recent requests, as if the rank were fully served.
func (s *servedShare) ratio() float64 {
	if s.requested < 1 {
		return 1
	}
	return s.dispatched / s.requested
}

// decayingRate measures how many times per second something happens, as an exponentially
// decaying average.
type decayingRate struct {
	// perSecond is the rate at the time updatedAt.
	perSecond float64
	updatedAt time.Time
}

// rateTimeConstant is the time constant of the decay of a decayingRate.
const rateTimeConstant = 2 * time.Second

// count counts one occurrence at the given time.
func (r *decayingRate) count(now time.Time) {
	r.perSecond = r.value(now) + 1/rateTimeConstant.Seconds()
	r.updatedAt = now
}

// value returns the rate per second at the given time.
func (r *decayingRate) value(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateTimeConstant.Seconds())
}
