// Package fairshare decides which workspace goes next, and which requests are refused, when the
// workspaces of a rank ask for more work than the backend servers can do.
//
// Work is counted in the unit of the costs that the caller gives, usually seconds of engine time.
// For each rank, an entry measures how much work it serves and is asked for, for each workspace,
// and learns the same of the other entries. The work that all entries serve together is the
// capacity of the rank. The fair level is the work per second and weight at which the capacity is
// used up, if no workspace gets more than it asks for; level and weight give the share of a
// workspace. It follows that the part of a share that is not asked for is lent to the others.
//
//   - Of the queued workspaces, the one goes next that has got the least work for its weight. One
//     that returns goes first at once, since what it got before is forgotten within a second.
//   - While the rank is overloaded, an entry that has queued only workspaces near or above their
//     shares leaves the last free slots to other workspaces, which may be queued at other
//     entries or arrive next.
//   - The wait of a request follows from the share and the queue of its workspace, not from the
//     queues of the others, so a workspace below its share is not refused.
//
// What the other entries serve is known with a delay. The older it is, the more this entry assumes
// instead that each of them serves a workspace as much as it does itself.
//
// A Shares has no clock, goroutine or lock. It is not safe for concurrent use.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// servedTime is the time constant with which served work is forgotten. Borrowed work returns
	// within two of them.
	servedTime = 500 * time.Millisecond
	// sustainedTime is the time constant of the work that decides on the shares. It is longer, since
	// they should not follow single requests.
	sustainedTime = 2 * time.Second
	// freshAge is the age of the counters of the other entries up to which they are believed, that of
	// news of other zones with one lost message. From staleAge on, the time for which package roster
	// uses a digest, they say nothing. Believing them less when they are fresh multiplies the noise
	// of the own counters by the number of entries.
	freshAge = 450 * time.Millisecond
	staleAge = 900 * time.Millisecond
	// holdFrom is the part of its share from which on a workspace leaves the last free slots to other
	// entries, and holdAll that from which on it leaves all of heldShare. In between, the number grows
	// evenly: with one threshold, a workspace just below its share gets a free slot no sooner than one
	// above it at another entry. The work is that of sustainedTime, since that of servedTime varies
	// by a sixth with 34 requests per second. In simulations of skewed load with 4 and 32 entries and 6
	// seeds, with up to 4 % of the slots, 4 of 12 cases missed the target with 0.8 and 1.2, and 12 of 12
	// with one threshold at 0.7.
	holdFrom = 0.8
	holdAll  = 1.2
	// heldShare is the largest number of slots, rounded up, that is left free, as a share of the square
	// root of the slots, with which the variation of the used ones grows. With real schedulers, which
	// have a server or two of their own, one slot of eleven (4 %) was too few: in some runs the least
	// served workspace beside a flood got 0.94 of what it gets in calm.
	heldShare = 0.6
	// refusedShare is the part of the work of a workspace that refused work adds to what it asks for,
	// at most. Callers that come back at once are refused many times, which would make a workspace
	// with a few refusals look like one that asks for more than its share.
	refusedShare = 0.05
	// overloadedFrom is the demand in relation to the served work from which a rank is overloaded.
	// Refused work is forgotten slowly, so that a single refusal would otherwise count for a minute.
	overloadedFrom = 1.001
	// forgetBelow is the rate of work per second below which a workspace is removed.
	forgetBelow = 1e-4
	// MaxReported bounds the workspaces in a report.
	MaxReported = 64
	// maxWait bounds the wait that is estimated.
	maxWait = time.Minute
)

// Usage is the work of a workspace in a rank, per second.
type Usage struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	Rank      int
	// Served is the work that was sent to servers, Sustained the same over a longer time, and Refused
	// the work that was refused.
	Served    float64
	Sustained float64
	Refused   float64
	// Queued is the work that is queued, not per second.
	Queued float64
}

// key identifies a workspace in a rank.
type key struct {
	rank      int
	workspace string
}

// state is what an entry knows of a workspace in a rank.
type state struct {
	served, sustained, refused decayingRate
	queued                     float64
	// elsewhere is the sum of the other entries.
	elsewhere Usage
}

// decayingRate is the work per second, as an exponentially decaying average.
type decayingRate struct {
	perSecond float64
	at        time.Duration
}

func (r *decayingRate) value(now, constant time.Duration) float64 {
	return r.perSecond * math.Exp(-(now-r.at).Seconds()/constant.Seconds())
}

func (r *decayingRate) add(now, constant time.Duration, work float64) {
	r.perSecond = r.value(now, constant) + work/constant.Seconds()
	r.at = max(r.at, now)
}

// Shares holds the work of all workspaces.
type Shares struct {
	weights map[string]float64
	states  map[key]*state
	// entries is the number of all entries, and elsewhereAt the time as of which the work of the
	// others is known.
	entries     int
	elsewhereAt time.Duration
}

// New returns shares for workspaces with the given weights. A workspace without a weight, or with
// one that is not positive and finite, has the weight 1.
func New(weights map[string]float64) *Shares {
	return &Shares{weights: weights, states: map[key]*state{}, entries: 1}
}

// SetWeights replaces the weights of the workspaces.
func (s *Shares) SetWeights(weights map[string]float64) { s.weights = weights }

// Clone returns a copy that can be changed independently.
func (s *Shares) Clone() *Shares {
	copied := *s
	copied.states = make(map[key]*state, len(s.states))
	for id, known := range s.states {
		known := *known
		copied.states[id] = &known
	}
	return &copied
}

func (s *Shares) weight(workspace string) float64 {
	if weight := s.weights[workspace]; weight > 0 && !math.IsInf(weight, 1) {
		return weight
	}
	return 1
}

func (s *Shares) state(rank int, workspace string) *state {
	known := s.states[key{rank, workspace}]
	if known == nil {
		known = &state{}
		s.states[key{rank, workspace}] = known
	}
	return known
}

// validWork returns the cost of a request, 0 if it is malformed.
func validWork(cost float64) float64 {
	if !(cost > 0) || math.IsInf(cost, 1) {
		return 0
	}
	return cost
}

// Queue counts a request that is queued, until Unqueue.
func (s *Shares) Queue(rank int, workspace string, cost float64) {
	s.state(rank, workspace).queued += validWork(cost)
}

// Unqueue removes a request from those that are queued.
func (s *Shares) Unqueue(rank int, workspace string, cost float64) {
	known := s.state(rank, workspace)
	if known.queued -= validWork(cost); known.queued < forgetBelow {
		known.queued = 0
	}
}

// Refuse counts a request that is refused, at its arrival or from the queue.
func (s *Shares) Refuse(now time.Duration, rank int, workspace string, cost float64) {
	s.state(rank, workspace).refused.add(now, sustainedTime, validWork(cost))
}

// Serve counts a request that is sent to a server.
func (s *Shares) Serve(now time.Duration, rank int, workspace string, cost float64) {
	known := s.state(rank, workspace)
	known.served.add(now, servedTime, validWork(cost))
	known.sustained.add(now, sustainedTime, validWork(cost))
}

// Report returns the work of this entry, for the other ones: the workspaces with the most demand,
// and their number is bounded.
func (s *Shares) Report(now time.Duration) []Usage {
	var usages []Usage
	for id, known := range s.states {
		usage := Usage{
			Workspace: id.workspace, Rank: id.rank, Served: known.served.value(now, servedTime),
			Sustained: known.sustained.value(now, sustainedTime), Refused: known.refused.value(now, sustainedTime), Queued: known.queued,
		}
		switch {
		case usage.Sustained >= forgetBelow || usage.Refused >= forgetBelow || usage.Queued > 0:
			usages = append(usages, usage)
		case known.elsewhere == Usage{}:
			delete(s.states, id)
		}
	}
	slices.SortFunc(usages, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Sustained+b.Refused, a.Sustained+a.Refused), strings.Compare(a.Workspace, b.Workspace))
	})
	return usages[:min(len(usages), MaxReported)]
}

// SetElsewhere replaces the work of the other entries, summed over them, and the number of all
// entries. age is the time since they measured it.
func (s *Shares) SetElsewhere(now time.Duration, usages []Usage, entries int, age time.Duration) {
	for _, known := range s.states {
		known.elsewhere = Usage{}
	}
	for _, usage := range usages {
		known := s.state(usage.Rank, usage.Workspace)
		known.elsewhere.Served += validWork(usage.Served)
		known.elsewhere.Sustained += validWork(usage.Sustained)
		known.elsewhere.Refused += validWork(usage.Refused)
		known.elsewhere.Queued += validWork(usage.Queued)
	}
	s.entries, s.elsewhereAt = max(entries, 1), now-max(age, 0)
}

// trust returns how far the work of the other entries is believed, from 0 to 1.
func (s *Shares) trust(now time.Duration) float64 {
	if s.entries <= 1 {
		return 1
	}
	return min(max(float64(staleAge-(now-s.elsewhereAt))/float64(staleAge-freshAge), 0), 1)
}

// total returns the work of all entries from that of this one and the known work of the others.
func (s *Shares) total(now time.Duration, own, elsewhere float64) float64 {
	trust := s.trust(now)
	return own + trust*elsewhere + (1-trust)*float64(s.entries-1)*own
}

func (s *Shares) totalServed(now time.Duration, known *state) float64 {
	return s.total(now, known.served.value(now, servedTime), known.elsewhere.Served)
}

func (s *Shares) totalSustained(now time.Duration, known *state) float64 {
	return s.total(now, known.sustained.value(now, sustainedTime), known.elsewhere.Sustained)
}

// totalDemand returns the work that a workspace asks for, as far as it counts.
func (s *Shares) totalDemand(now time.Duration, known *state) float64 {
	sustained := s.totalSustained(now, known)
	return sustained + min(s.total(now, known.refused.value(now, sustainedTime), known.elsewhere.Refused), refusedShare*sustained)
}

// level returns the fair level of a rank, or false if it is not overloaded.
func (s *Shares) level(now time.Duration, rank int) (float64, bool) {
	type claim struct{ demand, weight float64 }
	var claims []claim
	capacity, demand, weights := 0.0, 0.0, 0.0
	for id, known := range s.states {
		if id.rank != rank {
			continue
		}
		wanted := s.totalDemand(now, known)
		capacity += s.totalSustained(now, known)
		if wanted < forgetBelow {
			continue
		}
		claims = append(claims, claim{wanted, s.weight(id.workspace)})
		demand += wanted
		weights += s.weight(id.workspace)
	}
	if capacity <= 0 || demand <= capacity*overloadedFrom {
		return 0, false
	}
	slices.SortFunc(claims, func(a, b claim) int {
		if a.demand/a.weight < b.demand/b.weight {
			return -1
		}
		return 1
	})
	for _, each := range claims {
		if level := capacity / weights; each.demand/each.weight >= level {
			return level, true
		}
		capacity -= each.demand
		weights -= each.weight
	}
	return 0, false
}

// Level is the fair level of an overloaded rank, in work per second and weight.
type Level struct {
	Rank  int
	Level float64
}

// Levels returns the fair levels of the ranks that are overloaded, in the order of the ranks.
func (s *Shares) Levels(now time.Duration) []Level {
	seen := map[int]bool{}
	var levels []Level
	for id := range s.states {
		if seen[id.rank] {
			continue
		}
		seen[id.rank] = true
		if level, overloaded := s.level(now, id.rank); overloaded {
			levels = append(levels, Level{id.rank, level})
		}
	}
	slices.SortFunc(levels, func(a, b Level) int { return cmp.Compare(a.Rank, b.Rank) })
	return levels
}

// CountersAge returns the age of the counters of the other entries.
func (s *Shares) CountersAge(now time.Duration) time.Duration {
	if s.entries <= 1 {
		return 0
	}
	return now - s.elsewhereAt
}

// Next returns the index of the workspace whose request goes next in a rank, of those that have one
// queued at this entry, or -1 if a free slot is to be left to a workspace at another entry. free is
// the number of free slots of the servers, of the given number.
func (s *Shares) Next(now time.Duration, rank int, workspaces []string, free, slots int) int {
	best, lowest := -1, 0.0
	for i, workspace := range workspaces {
		if served := s.normalized(now, rank, workspace); best < 0 || served < lowest {
			best, lowest = i, served
		}
	}
	if best < 0 || s.entries <= 1 || s.trust(now) == 0 || float64(free) > math.Ceil(heldShare*math.Sqrt(float64(slots))) {
		return best
	}
	level, overloaded := s.level(now, rank)
	if !overloaded {
		return best
	}
	workspace := workspaces[best]
	sustained := s.totalSustained(now, s.state(rank, workspace)) / s.weight(workspace)
	held := min(max((sustained/level-holdFrom)/(holdAll-holdFrom), 0), 1) * heldShare
	if float64(free) > math.Ceil(held*math.Sqrt(float64(slots))) {
		return best
	}
	return -1
}

// normalized returns the served work of a workspace for its weight.
func (s *Shares) normalized(now time.Duration, rank int, workspace string) float64 {
	return s.totalServed(now, s.state(rank, workspace)) / s.weight(workspace)
}

// Wait returns the expected time until a request of the workspace is sent to a server, by the share
// and the queue of its workspace, or false if the rank is not overloaded. While nothing is queued,
// servers have free slots, and the served work is not the capacity. The wait is also the time after
// which a refused request may come back.
func (s *Shares) Wait(now time.Duration, rank int, workspace string, cost float64) (time.Duration, bool) {
	backlog := false
	for id, known := range s.states {
		backlog = backlog || id.rank == rank && known.queued > 0
	}
	if !backlog {
		return 0, false
	}
	level, overloaded := s.level(now, rank)
	if !overloaded {
		return 0, false
	}
	known := s.state(rank, workspace)
	share := level * s.weight(workspace)
	served, queued := s.totalServed(now, known), s.total(now, known.queued, known.elsewhere.Queued)
	if queued == 0 && min(served, s.totalSustained(now, known)) <= share {
		return 0, true
	}
	excess := max(served-share, 0) * servedTime.Seconds()
	wait := (queued + validWork(cost) + excess) / max(share, forgetBelow)
	return time.Duration(min(wait, maxWait.Seconds()) * float64(time.Second)), true
}
