package forecast

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiarouter/fuchsiarouter"
)

const (
	// reportDuration is the time after the end of a slot during which heartbeats
	// report its counts to the other entries. It is a tenth of a slot, so that nine
	// tenths of the heartbeats carry no demand.
	reportDuration = SlotLength / 10
	// settleTime is the time after the end of a slot at which the counts of the entries
	// are summed up. By then the reports of all entries have arrived.
	settleTime = 20 * time.Second
	// maxPendingSlots is the maximum number of slots that wait to be appended to the
	// log: those of a day. Beyond it the oldest are dropped.
	maxPendingSlots = int(SlotsPerDay)
)

// Collector counts the requests at one entry and sums up the counts that all entries
// report. Rendezvous hashing of the slot number selects the one entry of the membership
// view that writes the slot to the log. If the views of entries differ, several of them may
// write the slot; State then keeps the larger count. A Collector is not safe for concurrent
// use.
type Collector struct {
	// countsBySlot holds the numbers of requests that this entry counted, by slot and
	// model. When the first request of a slot is counted, all slots before the previous one
	// are removed.
	countsBySlot map[int64]map[string]int
	// lastCollected is the newest slot that Collect doesn't consider any more: this entry
	// has summed it up, or has left it to the entry that writes it to the log.
	lastCollected int64
	// pending holds the slots that this entry has still to append to the log, the oldest
	// first.
	pending []SlotCounts
}

// NewCollector returns a Collector that starts at the time now. It leaves the slots that
// ended before that time to the other entries.
func NewCollector(now time.Time) *Collector {
	return &Collector{countsBySlot: map[int64]map[string]int{}, lastCollected: SlotOf(now) - 1}
}

// CountRequest adds one request for a model to the counts of the current slot.
func (c *Collector) CountRequest(now time.Time, model string) {
	slot := SlotOf(now)
	if c.countsBySlot[slot] == nil {
		maps.DeleteFunc(c.countsBySlot, func(old int64, _ map[string]int) bool { return old < slot-1 })
		c.countsBySlot[slot] = map[string]int{}
	}
	c.countsBySlot[slot][model]++
}

// Report returns the number of requests by model that this entry counted in the last
// complete slot. The entry sends it in its heartbeats. It is nil once reportDuration has
// passed since the end of the slot.
func (c *Collector) Report(now time.Time) *fuchsiarouter.SlotDemand {
	slot := SlotOf(now)
	if now.Sub(slotStart(slot)) >= reportDuration {
		return nil
	}
	return &fuchsiarouter.SlotDemand{Slot: slot - 1, Counts: maps.Clone(c.countsBySlot[slot-1])}
}

// Collect adds the sums of the last complete slot to the pending slots, once settleTime has
// passed since the end of the slot and if this entry is the one that writes the slot to the
// log. Further calls for the same slot have no effect, nor has a call without models. self is
// the member ID of this entry, others are the other live entries. models are the models whose
// demand is recorded; a model without requests gets a count of 0.
func (c *Collector) Collect(now time.Time, self string, others []fuchsiarouter.Member, models []string) {
	slot := SlotOf(now) - 1
	if slot <= c.lastCollected || now.Sub(slotStart(slot+1)) < settleTime || len(models) == 0 {
		return
	}
	c.lastCollected = slot
	ownHash := writerHash(slot, self)
	for _, other := range others {
		if other.ID != self && writerHash(slot, other.ID) < ownHash {
			return
		}
	}
	sum := make(map[string]int, len(models))
	for _, model := range models {
		sum[model] = c.countsBySlot[slot][model]
		for _, other := range others {
			if other.ID != self && other.SlotDemand != nil && other.SlotDemand.Slot == slot {
				sum[model] += max(0, other.SlotDemand.Counts[model])
			}
		}
	}
	c.pending = append(c.pending, SlotCounts{Slot: slot, Counts: sum})
	c.pending = c.pending[max(0, len(c.pending)-maxPendingSlots):]
}

// Pending returns the slots that wait to be appended to the log, the oldest first.
func (c *Collector) Pending() []SlotCounts { return c.pending }

// MarkWritten removes the pending slots up to and including the given one, after they
// were appended to the log.
func (c *Collector) MarkWritten(slot int64) {
	for len(c.pending) > 0 && c.pending[0].Slot <= slot {
		c.pending = c.pending[1:]
	}
}

// slotStart returns the time at which a slot begins.
func slotStart(slot int64) time.Time { return time.Unix(slot*int64(SlotLength/time.Second), 0) }

// writerHash returns the rendezvous hash of a slot and the member ID of an entry. The
// entry with the lowest hash for a slot writes the slot to the log.
func writerHash(slot int64, id string) uint64 {
	return xxhash.Sum64String("demand" + slotStart(slot).UTC().Format(time.RFC3339) + id)
}
