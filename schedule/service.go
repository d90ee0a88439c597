package schedule

import (
	"math/rand/v2"
	"time"
)

// service is the state of a service.
type service struct {
	servers []*server
	waiting []*Request
	// ended is the pace at which requests of this entry end.
	ended pace
	ranks map[int]*rank
	// perToken is the time for each token that a request asks for.
	perToken time.Duration
}

// comeBack returns when a refused request may come back: after the requests that wait
// have been served, at different moments for those that are refused together.
func (g *service) comeBack(now time.Time, wait time.Duration) time.Duration {
	drain := time.Duration(float64(len(g.waiting)) / max(g.ended.value(now), rateLeast) * float64(time.Second))
	spread := time.Duration(rand.Int64N(int64(retrySpread)))
	return min(max(wait, drain, retryLeast)+spread, retryMost)
}

// before orders waiting requests.
func before(a, b *Request) int {
	if a.order != b.order {
		return a.order - b.order
	}
	if a.place < b.place {
		return -1
	}
	if a.place > b.place {
		return 1
	}
	return 0
}

// wait returns how long a new request is expected to wait: for those of its own order
// that wait before it, at the pace at which its rank gets places. A rank that got few
// lately is expected to get a part of all, since the smallest served part goes first.
func (g *service) wait(now time.Time, request *Request) time.Duration {
	ahead := 1
	for _, waiting := range g.waiting {
		if waiting.order == request.order {
			ahead++
		}
	}
	all := max(g.ended.value(now), rateLeast)
	own := max(g.rank(request.Rank).granted.value(now), all*leastPart)
	if request.order == 0 {
		own = all
	}
	return time.Duration(float64(ahead) / own * float64(time.Second))
}

// runs returns how long the request is expected to run.
func (g *service) runs(request *Request) time.Duration {
	return g.rank(request.Rank).begin + time.Duration(request.Tokens)*g.perToken
}

// next returns the request that gets the next place: the first of the most urgent
// rank, or else the first of the rank of which the smallest part was served.
func (g *service) next(passed map[*Request]bool) *Request {
	var best *Request
	least := 0.0
	bias := 1.0
	for i, request := range g.waiting {
		if passed[request] {
			continue
		}
		if i > 0 && g.waiting[i-1].order == request.order && !passed[g.waiting[i-1]] {
			continue
		}
		if request.order == 0 {
			return request
		}
		value := 1.0
		if request.order == request.Rank {
			value = g.rank(request.Rank).share.value()
		}
		value *= bias
		bias /= rankBias
		if best == nil || value < least {
			best, least = request, value
		}
	}
	return best
}

// exceeds tells whether a larger part of a rank's requests is served than of the rank
// above.
func (g *service) exceeds(rank int) bool {
	above := g.ranks[rank-1]
	return rank > 1 && above != nil && g.rank(rank).share.value()*rankExcess > above.share.value()
}

// full tells whether every slot of the servers that take requests is in use.
func (g *service) full() bool {
	for _, candidate := range g.servers {
		if !candidate.Draining && candidate.used() < max(candidate.Slots, 1) {
			return false
		}
	}
	return true
}
