package schedule

import (
	"math/rand/v2"
	"time"
)

// service is the scheduling state of a service, a set of backend servers that can run the
// same requests.
type service struct {
	// servers is sorted by ID.
	servers []*server
	// borrowable is the number of requests that this entry may still send to servers that
	// it does not prefer, until the counts of the other entries are renewed. borrowableAt is
	// the time of the last renewal.
	borrowable   int
	borrowableAt time.Time
	// queue holds the queued requests, sorted by compareQueueOrder.
	queue []*Request
	// fair holds the fair shares of workspaces, nil unless they are switched on.
	fair *fairShares
	// completionRate is the number of requests of this entry to the service that complete
	// per second.
	completionRate decayingRate
	// ranks holds the state of each priority rank; the method rankState creates it on first
	// use.
	ranks map[int]*rankState
	// timePerToken is the moving average, over the completed responses, of the time from
	// the first to the last event of a response, divided by the maximum number of tokens
	// that its request asked for.
	timePerToken time.Duration
	// engine is the state for scheduling by predicted engine time.
	engine engineTime
}

// retryAfter returns the delay after which a refused request may be retried: the time
// needed to serve the whole queue, but at least minDelay, with jitter for requests that
// are refused together. The result is bounded by minRetryAfter and maxRetryAfter.
func (s *service) retryAfter(now time.Time, minDelay time.Duration) time.Duration {
	queueTime := time.Duration(float64(len(s.queue)) / max(s.completionRate.value(now), minCompletionRate) * float64(time.Second))
	jitter := time.Duration(rand.Int64N(int64(retryJitter)))
	return min(max(minDelay, queueTime, minRetryAfter)+jitter, maxRetryAfter)
}

// compareQueueOrder orders queued requests by queue priority, then by the time of
// queueing.
func compareQueueOrder(a, b *Request) int {
	if a.queuePriority != b.queuePriority {
		return a.queuePriority - b.queuePriority
	}
	if a.sequence < b.sequence {
		return -1
	}
	if a.sequence > b.sequence {
		return 1
	}
	return 0
}

// expectedWait estimates how long a new request will be queued: the number of requests of
// the same queue priority up to and including it, divided by the rate at which requests
// of its rank are sent to servers. A rank that was served little recently is expected to
// get an equal share of the total rate with the other ranks in the queue, since the rank with
// the lowest served share goes first. Requests of queue priority 0 are expected to get the
// total rate, and so do all before their target while only late ones are queued. One that has
// missed its target is expected to get at least minLateRateShare of the total rate. Where engine time
// is counted, the total rate is at least that of the model, since few requests complete at the start
// of a burst.
func (s *service) expectedWait(now time.Time, request *Request) time.Duration {
	ahead, ranks, lastPriority := 1, 1, request.queuePriority
	for _, waiting := range s.queue {
		if waiting.queuePriority == request.queuePriority {
			ahead++
		} else if waiting.queuePriority == waiting.Rank && waiting.queuePriority != lastPriority {
			lastPriority = waiting.queuePriority
			ranks++
		}
	}
	totalRate := max(s.completionRate.value(now), minCompletionRate)
	if s.countsEngineTime(now, request) {
		totalRate = max(totalRate, s.engine.rate)
	}
	share := 1 / float64(ranks)
	if request.queuePriority > request.Rank {
		share = minLateRateShare
	}
	rankRate := max(s.rankState(request.Rank).dispatchRate.value(now), totalRate*share)
	if request.queuePriority == 0 {
		rankRate = totalRate
	}
	return time.Duration(float64(ahead) / rankRate * float64(time.Second))
}

// expectedRunTime estimates the time from sending the request to the end of its response.
func (s *service) expectedRunTime(request *Request) time.Duration {
	return s.rankState(request.Rank).timeToFirstEvent + time.Duration(request.OutputTokens)*s.timePerToken
}

// nextQueued returns the request to send next, or nil if all are in skipped: the first
// one of queue priority 0, or else the first one of the queue priority whose rank has the
// lowest served share. If the shares are similar, rankBias lets the more urgent rank go
// first. A request that had missed its target when it was queued counts as if its rank had
// a served share of 1.
func (s *service) nextQueued(skipped map[*Request]bool) *Request {
	var best *Request
	lowest := 0.0
	bias := 1.0
	for i, request := range s.queue {
		if skipped[request] {
			continue
		}
		if i > 0 && s.queue[i-1].queuePriority == request.queuePriority && !skipped[s.queue[i-1]] {
			continue
		}
		if request.queuePriority == 0 {
			return request
		}
		servedRatio := 1.0
		if request.queuePriority == request.Rank {
			servedRatio = s.rankState(request.Rank).served.ratio()
		}
		servedRatio *= bias
		bias /= rankBias
		if best == nil || servedRatio < lowest {
			best, lowest = request, servedRatio
		}
	}
	return best
}

// isOverserved reports whether the served share of a rank exceeds that of the next more
// urgent rank, with a margin of servedShareMargin. Ranks 0 and 1 are never overserved, and those
// of workspaces below the most urgent ones only while the next more urgent rank is refused requests:
// there may be many such ranks, which have most of the load.
func (s *service) isOverserved(rank int) bool {
	above := s.ranks[rank-1]
	if s.fair.isOfLowerWorkspace(rank) && above != nil && above.served.ratio() >= lowServedShare {
		return false
	}
	return rank > 1 && above != nil && s.rankState(rank).served.ratio()*servedShareMargin > above.served.ratio()
}

// refusesInTime reports whether requests that could meet their target were refused recently.
func (s *service) refusesInTime(now time.Time) bool {
	for _, rank := range s.ranks {
		rank.served.decay(now)
		if rank.served.ratio() < lowServedShare {
			return true
		}
	}
	return false
}

// allSlotsInUse reports whether all slots of all servers are in use that take requests.
func (s *service) allSlotsInUse(now time.Time) bool {
	for _, candidate := range s.servers {
		if !candidate.isLeaving() && !candidate.evacuated && !candidate.availability.IsPaused(now) && candidate.inFlight() < max(candidate.Slots, 1) {
			return false
		}
	}
	return true
}
