package rank

import (
	"math"

	"github.com/fuchsiarouter/fuchsiarouter/document"
)

// maxIdleFlows is the number of flows, beyond twice those with waiting items, that a
// rank keeps before it evicts empty ones. An empty flow is kept so that its workspace
// doesn't get rid of a negative deficit. The constant is also the number of rounds after
// which an empty flow may be evicted although its deficit is negative.
const maxIdleFlows = 64

// maxItemCost is the maximum cost of an item, in tokens. Deficits are computed from
// weights and costs. If these are too many orders of magnitude apart, the number of
// rounds that refill a deficit overflows and no flow is ever served.
const maxItemCost = 1e9

// rankQueue holds the waiting items of one rank, with a flow for each workspace.
type rankQueue struct {
	name document.RankName
	// floor is the guaranteed share, from 0 to 1, of the cost of all started items.
	floor       float64
	preemptible bool
	// floorDeficit is the cost, in tokens, by which the rank is below its floor. It is
	// negative when the rank has received more than its floor.
	floorDeficit float64
	waitingCount int
	// queuedCost is the sum of the costs of the waiting items, in tokens.
	queuedCost float64
	// activeWeight is the sum of the weights of the flows with waiting items.
	activeWeight float64
	// runningCount is the number of the rank's items that are in progress.
	runningCount int
	// round is the number of rounds over oldFlows, including the completed fraction
	// of the current one.
	round float64
	// flows holds the flows by workspace, including the empty ones.
	flows map[string]*flow
	// newFlows holds the flows that have just become non-empty with a positive
	// deficit. As in FQ-CoDel, they are served before oldFlows, the round-robin
	// list, so that a workspace with few requests doesn't wait for a whole round.
	newFlows []*flow
	oldFlows []*flow
}

func newRankQueue(name document.RankName) *rankQueue {
	return &rankQueue{name: name, flows: map[string]*flow{}}
}

// flowOf returns the flow of the item's workspace, creating it if needed, and sets its
// weight to that of the item. A new flow counts as empty for one round, so that push gives
// it the deficit of a whole round.
func (r *rankQueue) flowOf(item Item) *flow {
	weight := clampWeight(item.Weight)
	f := r.flows[item.Workspace]
	if f == nil {
		f = &flow{workspace: item.Workspace, idleRound: r.round - 1}
		r.flows[item.Workspace] = f
	}
	if len(f.items) > 0 {
		r.activeWeight += weight - f.weight
	}
	f.weight = weight
	return f
}

// canEnqueue reports whether the item may be queued. limit is the maximum number of
// waiting items of the rank. quantum is the mean cost of an item, in tokens, which
// converts free places in the queue to cost. A workspace of mean weight may queue items
// as long as their cost is lower than that of the free places, and any workspace may
// queue one. A single flooding workspace thus fills half of the queue and leaves space
// for the others, and each workspace can queue enough items to be served in proportion to
// its weight.
func (r *rankQueue) canEnqueue(item Item, limit int, quantum float64) bool {
	if r.waitingCount >= limit {
		return false
	}
	f := r.flows[item.Workspace]
	if f == nil || len(f.items) == 0 {
		return true
	}
	mean := r.activeWeight / float64(len(r.newFlows)+len(r.oldFlows))
	return f.queuedCost < float64(limit-r.waitingCount)*quantum*f.weight/mean
}

// push adds the item to the flow of its workspace. If the flow was empty, its deficit
// first grows by the rounds that have passed since, up to the deficit of one round.
// quantum is the cost, in tokens, that a flow of weight 1 may start in each round.
func (r *rankQueue) push(item *waitingItem, quantum float64) {
	f := r.flowOf(item.Item)
	if len(f.items) == 0 {
		r.activeWeight += f.weight
		share := quantum * f.weight
		f.deficit = math.Min(share, f.deficit+(r.round-f.idleRound)*share)
		if f.deficit > 0 {
			r.newFlows = append(r.newFlows, f)
		} else {
			r.oldFlows = append(r.oldFlows, f)
		}
	}
	f.push(item)
	r.waitingCount++
	r.queuedCost += item.Cost
}

// advanceToNextFlow returns the flow to serve next: the first of newFlows, or else the next
// of oldFlows with a positive deficit. If there is none, it refills the deficits of oldFlows
// round by round until there is one. The rank must have waiting items.
func (r *rankQueue) advanceToNextFlow(quantum float64) *flow {
	if len(r.newFlows) > 0 {
		return r.newFlows[0]
	}
	for turns := 0; ; turns++ {
		f := r.oldFlows[0]
		if f.deficit > 0 {
			return f
		}
		if turns == len(r.oldFlows) {
			r.advanceRounds(quantum)
			turns = -1
			continue
		}
		f.deficit += quantum * f.weight
		r.round += f.weight / r.oldFlowsWeight()
		r.oldFlows = append(r.oldFlows[1:], f)
	}
}

// advanceRounds refills the deficits by as many rounds at once as are needed until one of
// the flows may start an item. Otherwise an item of high cost in a flow of small weight
// would take one loop iteration for each round.
func (r *rankQueue) advanceRounds(quantum float64) {
	rounds := math.Inf(1)
	for _, f := range r.oldFlows {
		rounds = math.Min(rounds, math.Floor(-f.deficit/(quantum*f.weight))+1)
	}
	rounds = math.Max(rounds, 1)
	for _, f := range r.oldFlows {
		f.deficit += rounds * quantum * f.weight
	}
	r.round += rounds
}

// oldFlowsWeight returns the sum of the weights of oldFlows.
func (r *rankQueue) oldFlowsWeight() float64 {
	weight := 0.0
	for _, f := range r.oldFlows {
		weight += f.weight
	}
	return weight
}

// pop removes and returns the first item of the next flow, and charges the item's cost to
// the deficit of the flow. The rank must have waiting items.
func (r *rankQueue) pop(quantum float64) *waitingItem {
	f := r.advanceToNextFlow(quantum)
	item := f.pop()
	f.deficit -= item.Cost
	r.accountRemoval(item, f)
	if len(f.items) > 0 && f.deficit <= 0 && len(r.newFlows) > 0 && r.newFlows[0] == f {
		r.newFlows = r.newFlows[1:]
		r.oldFlows = append(r.oldFlows, f)
	}
	return item
}

// accountRemoval updates the totals of the rank after an item has left its flow. If the
// flow is now empty, it leaves the lists of flows to serve but keeps its deficit.
func (r *rankQueue) accountRemoval(item *waitingItem, f *flow) {
	r.waitingCount--
	r.queuedCost -= item.Cost
	if len(f.items) > 0 {
		return
	}
	f.items, f.queuedCost = nil, 0
	r.activeWeight -= f.weight
	r.newFlows = removeFlow(r.newFlows, f)
	r.oldFlows = removeFlow(r.oldFlows, f)
	f.idleRound = r.round
	if r.waitingCount == 0 {
		// No workspace waits, so a round is counted in which the empty flows get back
		// the deficit of a whole round, and the rank isn't owed any service.
		r.round++
		r.queuedCost, r.activeWeight = 0, 0
		r.floorDeficit = math.Min(r.floorDeficit, 0)
	}
	if len(r.flows) > maxIdleFlows+2*(len(r.newFlows)+len(r.oldFlows)) {
		r.evictIdleFlows()
	}
}

// remove removes a waiting item and reports whether the rank contained it.
func (r *rankQueue) remove(item *waitingItem) bool {
	f := r.flows[item.Workspace]
	if f == nil || !f.remove(item) {
		return false
	}
	r.accountRemoval(item, f)
	return true
}

// evictIdleFlows removes the flows that have no item, waiting or in progress, and either a
// deficit that isn't negative or more than maxIdleFlows rounds without waiting items.
func (r *rankQueue) evictIdleFlows() {
	for name, f := range r.flows {
		if len(f.items) == 0 && f.runningCount == 0 && (f.deficit >= 0 || r.round-f.idleRound > maxIdleFlows) {
			delete(r.flows, name)
		}
	}
}

// removeFlow returns the flows without f.
func removeFlow(flows []*flow, f *flow) []*flow {
	for index, other := range flows {
		if other == f {
			return append(flows[:index:index], flows[index+1:]...)
		}
	}
	return flows
}

// clampWeight returns the weight limited to its valid range, or 1 if it is NaN or not
// positive.
func clampWeight(weight float64) float64 {
	if !(weight > 0) {
		return 1
	}
	return math.Min(math.Max(weight, document.MinWeight), document.MaxWeight)
}

// clampCost returns the cost limited to the range from lowest to maxItemCost, or
// lowest if the cost is NaN.
func clampCost(cost, lowest float64) float64 {
	if !(cost > lowest) {
		return lowest
	}
	return math.Min(cost, maxItemCost)
}
