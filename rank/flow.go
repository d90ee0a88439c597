package rank

import "time"

// waitingItem is an item that hasn't started.
type waitingItem struct {
	Item
	enqueuedAt time.Time
}

// flow is the queue of one workspace within one rank: a flow in the terms of
// deficit round robin.
type flow struct {
	workspace string
	weight    float64
	items     []*waitingItem
	// queuedCost is the sum of the costs of items, in tokens.
	queuedCost float64
	// deficit is the cost, in tokens, that the flow may still start in its turn. The
	// last item of a turn may make it negative; the flow then isn't served until
	// further rounds have refilled the deficit.
	deficit float64
	// idleRound is the value of rankQueue.round when the flow became empty.
	idleRound float64
	// runningCount is the number of the flow's items that are in progress.
	runningCount int
}

// push adds the item at the end, or at the front if it was preempted.
func (f *flow) push(item *waitingItem) {
	if item.Resumed {
		f.items = append([]*waitingItem{item}, f.items...)
	} else {
		f.items = append(f.items, item)
	}
	f.queuedCost += item.Cost
}

// pop removes and returns the first item. The flow must not be empty.
func (f *flow) pop() *waitingItem {
	item := f.items[0]
	f.items[0] = nil
	f.items = f.items[1:]
	f.queuedCost -= item.Cost
	return item
}

// remove removes the item and reports whether the flow contained it.
func (f *flow) remove(item *waitingItem) bool {
	for index, other := range f.items {
		if other == item {
			f.items = append(f.items[:index:index], f.items[index+1:]...)
			f.queuedCost -= item.Cost
			return true
		}
	}
	return false
}
