package rank

import (
	"math"
	"sort"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

const (
	// smoothingFactor is the weight of a new sample in the exponential moving
	// averages of cost and speed.
	smoothingFactor = 0.05
	// maxSurplusRounds limits how much cost above its floor counts against a rank, in
	// multiples of the number of slots times the mean cost of an item. Without a
	// limit, a rank that used an otherwise idle server for an hour would lose its
	// floor for hours.
	maxSurplusRounds = 2
	// minRetryAfter and maxRetryAfter limit the time after which the caller of a
	// refused request is told to retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Queue is the admission queue of one backend server.
type Queue struct {
	settings Settings
	// rankQueues holds a queue for each rank, the most urgent rank first.
	rankQueues []*rankQueue
	// waiting and running hold the items by their IDs. waiting includes
	// selectedExclusive.
	waiting map[string]*waitingItem
	running map[string]*runningItem
	// selectedExclusive are the exclusive items whose turn has come, and which wait
	// until no item is in progress, in the order of selection. They have left
	// rankQueues.
	selectedExclusive []*waitingItem
	// drainFrom is the time from which no other item is started while
	// selectedExclusive isn't empty.
	drainFrom time.Time
	// exclusiveRunning is set while an exclusive item is in progress.
	exclusiveRunning bool
	// preemptingCount is the number of items that Preempt has returned and that are
	// still in progress.
	preemptingCount int
	// meanCost is the moving average of the estimated costs of the started items, in
	// tokens. It begins with the cost of the first item that is pushed.
	meanCost float64
	// slotSpeed is the moving average of the throughput of one slot, in tokens per
	// second.
	slotSpeed float64
}

// runningItem is an item that occupies a slot.
type runningItem struct {
	Item
	startedAt time.Time
	// queue and flow are those that the item was taken from.
	queue *rankQueue
	flow  *flow
	// startedForFloor is set if the item was started because its rank was below its
	// floor.
	startedForFloor bool
	// chargedCost is the amount, in tokens, by which starting the item reduced the
	// floor deficit of its rank.
	chargedCost float64
	// preempted is set once Preempt has returned the item.
	preempted bool
}

// New returns an empty Queue.
func New(settings Settings) *Queue {
	q := &Queue{
		settings: settings.withDefaults(),
		waiting:  map[string]*waitingItem{},
		running:  map[string]*runningItem{},
	}
	for _, name := range document.RankNames() {
		q.rankQueues = append(q.rankQueues, newRankQueue(name))
	}
	q.slotSpeed = q.settings.TokensPerSecond
	q.SetRanks(settings.Ranks)
	return q
}

// SetSlots changes the number of slots. If more items than that are in progress, they
// continue, but no other starts until enough of them have ended.
func (q *Queue) SetSlots(slots int) { q.settings.Slots = slots }

// SetRanks sets the floors of the ranks and which of them are preemptible. Floors
// that add up to more than 1 are scaled down proportionally.
func (q *Queue) SetRanks(ranks []document.Rank) {
	q.settings.Ranks = ranks
	total := 0.0
	for _, rank := range ranks {
		total += math.Max(rank.Floor, 0)
	}
	for _, rq := range q.rankQueues {
		rq.floor, rq.preemptible = 0, false
		for _, rank := range ranks {
			if rank.Name == rq.name {
				rq.floor = math.Max(rank.Floor, 0) / math.Max(total, 1)
				rq.preemptible = rank.Preemptible
			}
		}
	}
}

// Push adds an item. It refuses an item whose rank or workspace has reached its
// queue limit and one that is not expected to end before its deadline. These two errors
// carry the time after which the caller may retry. Push also returns an error if the rank
// is unknown or the ID is that of an item that waits or is in progress.
func (q *Queue) Push(now time.Time, item Item) error {
	rq := q.rankQueueOf(item.Rank)
	if rq == nil {
		return result.RankNotAllowed.Error("the rank is unknown")
	}
	if q.waiting[item.ID] != nil || q.running[item.ID] != nil {
		return result.Internal.Error("a request with this id is in the queue or in progress")
	}
	item.Cost = clampCost(item.Cost, 1)
	if q.meanCost == 0 {
		q.meanCost = item.Cost
	}
	if !item.Resumed {
		if err := q.checkAdmission(now, rq, item); err != nil {
			return err
		}
	}
	added := &waitingItem{Item: item, enqueuedAt: now}
	q.waiting[item.ID] = added
	rq.push(added, q.quantum())
	return nil
}

// checkAdmission returns an error if the item exceeds a queue limit or is not expected to
// end before its deadline.
func (q *Queue) checkAdmission(now time.Time, rq *rankQueue, item Item) error {
	if !rq.canEnqueue(item, q.settings.QueueLimit, q.quantum()) {
		refusal := result.QueueFull.Error("the queue of the rank is full")
		refusal.RetryAfter = clampDuration(q.estimateWait(rq, &item), minRetryAfter, maxRetryAfter)
		return refusal
	}
	if item.Deadline.IsZero() {
		return nil
	}
	wait := q.estimateWait(rq, &item)
	if now.Add(wait + q.timeFor(item.Cost)).After(item.Deadline) {
		refusal := result.DeadlineUnreachable.Error("the request cannot end before its deadline")
		refusal.RetryAfter = clampDuration(wait, minRetryAfter, maxRetryAfter)
		return refusal
	}
	return nil
}

// Next selects the next item, records it as in progress and returns it for the caller to
// run. It returns false if no slot is free or no item may start.
func (q *Queue) Next(now time.Time) (Item, bool) {
	if q.exclusiveRunning || len(q.running) >= q.settings.Slots {
		return Item{}, false
	}
	if len(q.selectedExclusive) > 0 {
		if len(q.running) == 0 {
			exclusive := q.selectedExclusive[0]
			q.selectedExclusive = q.selectedExclusive[1:]
			return q.start(now, exclusive, q.rankQueueOf(exclusive.Rank), false), true
		}
		if !now.Before(q.drainFrom) {
			return Item{}, false
		}
	}
	for {
		rq, forFloor := q.selectRank()
		if rq == nil {
			return Item{}, false
		}
		item := rq.pop(q.quantum())
		if item.Exclusive && len(q.running) > 0 {
			if len(q.selectedExclusive) == 0 {
				q.drainFrom = laterOf(q.drainFrom, now.Add(q.settings.ExclusiveDrainDelay))
			}
			q.selectedExclusive = append(q.selectedExclusive, item)
			continue
		}
		return q.start(now, item, rq, forFloor), true
	}
}

// selectRank returns the rank to serve, or nil if no item waits, and whether it is
// served because it is below its floor.
func (q *Queue) selectRank() (*rankQueue, bool) {
	var first *rankQueue
	for _, rq := range q.rankQueues {
		if rq.waitingCount == 0 {
			continue
		}
		if rq.floorDeficit > 0 {
			return rq, true
		}
		if first == nil {
			first = rq
		}
	}
	return first, false
}

// start records the item as in progress, updates the mean cost of an item with its estimated
// cost, and charges this cost to its rank. forFloor says that the item was selected because
// its rank is below its floor.
func (q *Queue) start(now time.Time, item *waitingItem, rq *rankQueue, forFloor bool) Item {
	delete(q.waiting, item.ID)
	f := rq.flowOf(item.Item)
	f.runningCount++
	rq.runningCount++
	started := &runningItem{Item: item.Item, startedAt: now, queue: rq, flow: f, startedForFloor: forFloor}
	q.running[item.ID] = started
	q.exclusiveRunning = item.Exclusive
	q.meanCost += smoothingFactor * (item.Cost - q.meanCost)
	before := rq.floorDeficit
	q.charge(rq, item.Cost, item.Cost)
	started.chargedCost = math.Max(before-rq.floorDeficit, 0)
	return item.Item
}

// charge updates the floor deficits of all ranks after an item of servedRank was started,
// or after it has ended and its actual cost is known. totalCost is the cost of the item or
// the correction of its estimate, in tokens; the deficits of the other ranks with waiting
// items grow by their floors' shares of it. ownCost is what counts against servedRank
// itself. It is the same as totalCost, except that Done passes a smaller correction if less
// than the estimate was charged at the start. Both are negative when the estimate was too
// high.
func (q *Queue) charge(servedRank *rankQueue, totalCost, ownCost float64) {
	lowestDeficit := -maxSurplusRounds * float64(max(q.settings.Slots, 1)) * q.quantum()
	for _, rq := range q.rankQueues {
		switch {
		case rq == servedRank:
			rq.floorDeficit -= ownCost * (1 - rq.floor)
		case rq.waitingCount > 0:
			rq.floorDeficit += rq.floor * totalCost
		}
		rq.floorDeficit = math.Max(rq.floorDeficit, lowestDeficit)
		if rq.waitingCount == 0 {
			rq.floorDeficit = math.Min(rq.floorDeficit, 0)
		}
	}
}

// Done records that an item in progress has ended, also after a preemption, and frees its
// slot. The actual cost, in tokens, replaces the estimate that was charged to the workspace
// and the rank, and updates the throughput of a slot. An ID that isn't in progress is
// ignored.
func (q *Queue) Done(now time.Time, id string, actualCost float64) {
	done := q.running[id]
	if done == nil {
		return
	}
	delete(q.running, id)
	done.flow.runningCount--
	done.queue.runningCount--
	if done.preempted {
		q.preemptingCount--
	}
	if done.Exclusive {
		q.exclusiveRunning = false
		q.drainFrom = now.Add(q.settings.ExclusiveDrainDelay)
	}
	actualCost = clampCost(actualCost, 0)
	done.flow.deficit -= actualCost - done.Cost
	correction := actualCost - done.Cost
	ownCorrection := correction
	if correction < 0 {
		// Refund only what was charged. Otherwise each cancelled item would raise
		// the floor deficit of a rank whose surplus is at its limit.
		ownCorrection = correction / done.Cost * done.chargedCost / math.Max(1-done.queue.floor, 0.01)
	}
	q.charge(done.queue, correction, ownCorrection)
	if elapsed := now.Sub(done.startedAt).Seconds(); elapsed > 0 && actualCost > 0 {
		q.slotSpeed += smoothingFactor * (actualCost/elapsed - q.slotSpeed)
	}
}

// Remove removes a waiting item, such as one whose caller has disconnected. It
// returns false if no item with the ID waits, and doesn't affect items in progress.
func (q *Queue) Remove(id string) bool {
	item := q.waiting[id]
	if item == nil {
		return false
	}
	delete(q.waiting, id)
	if q.rankQueueOf(item.Rank).remove(item) {
		return true
	}
	for index, exclusive := range q.selectedExclusive {
		if exclusive == item {
			q.selectedExclusive = append(q.selectedExclusive[:index:index], q.selectedExclusive[index+1:]...)
		}
	}
	return true
}

// Expire removes and returns the waiting items that could not end before their deadlines
// even if they started now.
func (q *Queue) Expire(now time.Time) []Item {
	var expired []Item
	for _, item := range q.waiting {
		if !item.Deadline.IsZero() && now.Add(q.timeFor(item.Cost)).After(item.Deadline) {
			expired = append(expired, item.Item)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i].ID < expired[j].ID })
	for _, item := range expired {
		q.Remove(item.ID)
	}
	return expired
}

// Preempt selects an item in progress to be cancelled and returns its ID, either because
// items of the most urgent rank wait and no slot is free or because an exclusive item waits
// until no other is in progress. It returns false if there is nothing to cancel. The caller
// must cancel the item and call Done, which frees the slot. Preempt returns each item only
// once.
func (q *Queue) Preempt(now time.Time) (string, bool) {
	draining := len(q.selectedExclusive) > 0 && !now.Before(q.drainFrom)
	if !draining && (q.rankQueues[0].waitingCount <= q.preemptingCount || len(q.running) < q.settings.Slots) {
		return "", false
	}
	var victim *runningItem
	for _, candidate := range q.running {
		if !q.isPreemptible(candidate) {
			continue
		}
		// Cancelling the item that started last loses the least work.
		if victim == nil || candidate.startedAt.After(victim.startedAt) ||
			candidate.startedAt.Equal(victim.startedAt) && candidate.ID < victim.ID {
			victim = candidate
		}
	}
	if victim == nil {
		return "", false
	}
	victim.preempted = true
	q.preemptingCount++
	return victim.ID, true
}

// isPreemptible reports whether the item in progress may be cancelled so that other items
// can start. An item that Preempt has already returned may not.
func (q *Queue) isPreemptible(item *runningItem) bool {
	return item.Preemptible && item.queue.preemptible && item.queue != q.rankQueues[0] && !item.startedForFloor && !item.preempted && !item.Exclusive
}

// Load returns the load of the backend server, which the agent reports to the entries in
// its heartbeats and responses.
func (q *Queue) Load(now time.Time) fuchsiarouter.Load {
	nonPreemptible := len(q.waiting)
	for _, rq := range q.rankQueues {
		if rq.preemptible {
			nonPreemptible -= rq.waitingCount
		}
	}
	for _, running := range q.running {
		if !q.isPreemptible(running) {
			nonPreemptible++
		}
	}
	return fuchsiarouter.Load{
		Running:        len(q.running),
		Slots:          q.settings.Slots,
		Queued:         len(q.waiting),
		NonPreemptible: nonPreemptible,
		ExpectedWait:   q.ExpectedWait(now, document.Normal),
	}
}

// ExpectedWait estimates how long a new item of the rank would wait for a slot. It is 0
// for an unknown rank.
func (q *Queue) ExpectedWait(_ time.Time, rank document.RankName) time.Duration {
	rq := q.rankQueueOf(rank)
	if rq == nil {
		return 0
	}
	return q.estimateWait(rq, nil)
}

// estimateWait estimates how long a new item of the target rank would wait for a
// slot. If item isn't nil, it is the new item, and the estimate uses the weight and the
// queued cost of its workspace instead of assuming that the whole rank is served first.
func (q *Queue) estimateWait(target *rankQueue, item *Item) time.Duration {
	if len(q.running) < q.settings.Slots && len(q.waiting) == 0 {
		return 0
	}
	ownRankCost := target.queuedCost
	if item != nil {
		// The workspace is served in proportion to its weight, so only part of the
		// rank's queued cost is served before the item.
		weight := clampWeight(item.Weight)
		queued, others := 0.0, target.activeWeight
		if f := target.flows[item.Workspace]; f != nil && len(f.items) > 0 {
			queued, others = f.queuedCost, target.activeWeight-f.weight
		}
		ownRankCost = math.Min(ownRankCost, (queued+q.quantum())*(others+weight)/weight)
	}
	ahead := ownRankCost
	for _, rq := range q.rankQueues {
		if rq == target {
			break
		}
		ahead += rq.queuedCost
	}
	if target.floor > 0 {
		ahead = math.Min(ahead, ownRankCost/target.floor)
	}
	return q.timeFor((ahead + q.quantum()) / float64(max(q.settings.Slots, 1)))
}

// timeFor returns the time that one slot takes to process the cost, in tokens.
func (q *Queue) timeFor(cost float64) time.Duration {
	return time.Duration(cost / math.Max(q.slotSpeed, 0.1) * float64(time.Second))
}

// quantum returns the cost, in tokens, that a workspace of weight 1 may start in each
// round: the mean cost of an item, but at least 1.
func (q *Queue) quantum() float64 { return math.Max(q.meanCost, 1) }

// rankQueueOf returns the queue of the rank, or nil if the rank is unknown.
func (q *Queue) rankQueueOf(name document.RankName) *rankQueue {
	for _, rq := range q.rankQueues {
		if rq.name == name {
			return rq
		}
	}
	return nil
}

func clampDuration(d, low, high time.Duration) time.Duration { return min(max(d, low), high) }

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
