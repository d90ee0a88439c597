package forecast

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// missing is the count of a slot without a record.
const missing = -1

// dayCounts holds the number of requests in each slot of one day, or missing for a slot
// without a record.
type dayCounts [SlotsPerDay]int64

// State holds the demand of the newest day with a record and of the days before it, KeptDays
// in all. It is not safe for concurrent use.
type State struct {
	// daysByModel holds the counts by model and day. A day is the number of days since
	// the Unix epoch.
	daysByModel map[string]map[int64]*dayCounts
	// newestDay is the newest day of any model.
	newestDay int64
	// snapshotIncomplete is the result of IsSnapshotIncomplete.
	snapshotIncomplete bool
}

// SlotCounts is the demand in one slot: the number of requests by model. Slot is a number as
// returned by SlotOf.
type SlotCounts struct {
	Slot   int64          `json:"slot"`
	Counts map[string]int `json:"counts"`
}

// demandRecord is the JSON form of a record of the log: some slots or a snapshot of a State.
type demandRecord struct {
	Kind  string        `json:"kind"`
	Slots []SlotCounts  `json:"slots,omitempty"`
	Days  []snapshotDay `json:"days,omitempty"`
}

// snapshotDay is one day of a model in a snapshot. Day is counted from the Unix epoch.
// Counts holds an unsigned varint for each slot: 0 for a missing count, otherwise the count
// plus 1.
type snapshotDay struct {
	Model  string `json:"model"`
	Day    int64  `json:"day"`
	Counts []byte `json:"counts"`
}

// The values of demandRecord.Kind.
const (
	kindSlots    = "slots"
	kindSnapshot = "snapshot"
)

// ErrFutureSlot reports demand in a slot that hadn't begun when its record was
// appended. Merging it would evict actual days from the state.
var ErrFutureSlot = errors.New("demand record of a future slot")

// NewState returns an empty state.
func NewState() *State { return &State{daysByModel: map[string]map[int64]*dayCounts{}} }

// EncodeSlots returns the data of a log record with the slots, to be appended to Stream.
func EncodeSlots(slots []SlotCounts) ([]byte, error) {
	return json.Marshal(demandRecord{Kind: kindSlots, Slots: slots})
}

// Snapshot returns the data of a log record with the complete state, to be appended to
// Stream.
func (s *State) Snapshot() ([]byte, error) {
	snapshot := demandRecord{Kind: kindSnapshot}
	for _, model := range slices.Sorted(maps.Keys(s.daysByModel)) {
		days := s.daysByModel[model]
		for _, dayNumber := range slices.Sorted(maps.Keys(days)) {
			encoded := make([]byte, 0, len(days[dayNumber]))
			for _, count := range days[dayNumber] {
				encoded = binary.AppendUvarint(encoded, uint64(count+1)) //nolint:gosec // count is at least -1.
			}
			snapshot.Days = append(snapshot.Days, snapshotDay{model, dayNumber, encoded})
		}
	}
	return json.Marshal(snapshot)
}

// IsEmpty reports whether the state contains no demand.
func (s *State) IsEmpty() bool { return len(s.daysByModel) == 0 }

// IsSnapshotIncomplete reports whether the snapshot that was applied last lacks days of the
// state, because the entry that wrote the snapshot hadn't read them. The missing days are
// lost when their records expire from the log unless another snapshot is appended. The day on
// which the snapshot was appended and the day before don't count.
func (s *State) IsSnapshotIncomplete() bool { return s.snapshotIncomplete }

// Apply merges a record of the log into the state and reports whether the record is a
// snapshot.
func (s *State) Apply(r fuchsiarouter.Record) (isSnapshot bool, err error) {
	var decoded demandRecord
	if err := json.Unmarshal(r.Data, &decoded); err != nil {
		return false, errors.Wrap(err, "decode demand record")
	}
	recordSlot := SlotOf(r.Time)
	switch decoded.Kind {
	case kindSlots:
		for _, slot := range decoded.Slots {
			if slot.Slot > recordSlot {
				return false, ErrFutureSlot
			}
			for model, count := range slot.Counts {
				s.merge(model, slot.Slot, int64(count))
			}
		}
	case kindSnapshot:
		return true, s.applySnapshot(decoded.Days, recordSlot)
	default:
		return false, errors.Errorf("unknown kind %q of demand record", decoded.Kind)
	}
	return false, nil
}

// applySnapshot merges the days of a snapshot that was appended to the log in the slot
// recordSlot, and updates snapshotIncomplete.
func (s *State) applySnapshot(days []snapshotDay, recordSlot int64) error {
	inSnapshot := map[string]map[int64]bool{}
	for _, day := range days {
		if day.Day > floorDiv(recordSlot, SlotsPerDay) {
			return ErrFutureSlot
		}
		if inSnapshot[day.Model] == nil {
			inSnapshot[day.Model] = map[int64]bool{}
		}
		inSnapshot[day.Model][day.Day] = true
		encoded := day.Counts
		for slot := range SlotsPerDay {
			value, size := binary.Uvarint(encoded)
			if size <= 0 {
				return errors.New("demand snapshot: too few slots in a day")
			}
			encoded = encoded[size:]
			s.merge(day.Model, day.Day*SlotsPerDay+slot, int64(value)-1) //nolint:gosec // merge ignores negative counts from overflows.
		}
	}
	s.snapshotIncomplete = false
	// The snapshot may lack its own day and the day before: records of these days may have
	// been appended while the snapshot was written.
	recentDay := floorDiv(recordSlot, SlotsPerDay) - 1
	for model, days := range s.daysByModel {
		for dayNumber := range days {
			s.snapshotIncomplete = s.snapshotIncomplete || dayNumber < recentDay && !inSnapshot[model][dayNumber]
		}
	}
	return nil
}

// merge sets the count of a slot if it is larger than the known one. If the slot begins a
// new newest day, merge also removes the days that are then out of KeptDays. It ignores
// negative counts, negative slots and slots before the kept days.
func (s *State) merge(model string, slot, count int64) {
	dayNumber := floorDiv(slot, SlotsPerDay)
	if count < 0 || slot < 0 || dayNumber <= s.newestDay-KeptDays {
		return
	}
	if dayNumber > s.newestDay {
		s.newestDay = dayNumber
		for model, days := range s.daysByModel {
			maps.DeleteFunc(days, func(old int64, _ *dayCounts) bool { return old <= dayNumber-KeptDays })
			if len(days) == 0 {
				delete(s.daysByModel, model)
			}
		}
	}
	days := s.daysByModel[model]
	if days == nil {
		days = map[int64]*dayCounts{}
		s.daysByModel[model] = days
	}
	if days[dayNumber] == nil {
		days[dayNumber] = &dayCounts{}
		for i := range days[dayNumber] {
			days[dayNumber][i] = missing
		}
	}
	known := &days[dayNumber][slot-dayNumber*SlotsPerDay]
	*known = max(*known, count)
}

// count returns the number of requests for the model in a slot, or missing.
func (s *State) count(model string, slot int64) int64 {
	dayNumber := floorDiv(slot, SlotsPerDay)
	if days := s.daysByModel[model][dayNumber]; days != nil {
		return days[slot-dayNumber*SlotsPerDay]
	}
	return missing
}
