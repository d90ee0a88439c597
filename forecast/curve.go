package forecast

import "slices"

const (
	// searchMinutes is how far from the declared times the begin and the end of a peak
	// are searched. It exceeds MaxShift, so that a peak shifted by MaxShift is still
	// found.
	searchMinutes = 180
	// edgeLevel and coreLevel are fractions of the rise of the demand from its base,
	// the 10th percentile of the counts, to its maximum. The begin and the end of a peak
	// are where the demand crosses edgeLevel. They are searched outwards from where the
	// demand reaches coreLevel, so that a short burst before the peak isn't taken for
	// its begin.
	edgeLevel = 0.25
	coreLevel = 0.6
	// minPeakRequests is the minimum number of requests per slot at the maximum of a
	// peak. Below it, noise from individual requests hides the edges.
	minPeakRequests = 20
)

// peakEdges returns the begin and the end of the actual peak of a day, in minutes relative
// to the declared ones in the interval; negative values are earlier. ok is false if records
// around the peak are missing or the demand has no clear peak.
func (s *State) peakEdges(model string, i interval, day int64) (begin, end float64, ok bool) {
	start := day*minutesPerDay + int64(i.from-searchMinutes)
	first := floorDiv(start, int64(slotMinutes))
	slots := (i.until - i.from + 2*searchMinutes) / slotMinutes
	curve := make([]float64, slots)
	for k := range curve {
		value, found := s.smoothedCount(model, first+int64(k))
		if !found {
			return 0, 0, false
		}
		curve[k] = value
	}
	sorted := slices.Sorted(slices.Values(curve))
	base, peak := sorted[len(sorted)/10], sorted[len(sorted)-1]
	if peak < minPeakRequests || base > peak/2 {
		return 0, 0, false
	}
	coreCount := base + coreLevel*(peak-base)
	edgeCount := base + edgeLevel*(peak-base)
	inCore := func(value float64) bool { return value >= coreCount }
	left := slices.IndexFunc(curve, inCore)
	right := len(curve) - 1
	for !inCore(curve[right]) {
		right--
	}
	for left > 0 && curve[left-1] >= edgeCount {
		left--
	}
	for right < len(curve)-1 && curve[right+1] >= edgeCount {
		right++
	}
	if left == 0 || right == len(curve)-1 {
		return 0, 0, false
	}
	// The count of a slot is that at the middle of the slot; edges between two slots
	// are interpolated.
	minuteAt := func(index int, part float64) float64 {
		return (float64(first) + float64(index) + 0.5 + part) * float64(slotMinutes)
	}
	rise := minuteAt(left-1, (edgeCount-curve[left-1])/(curve[left]-curve[left-1]))
	fall := minuteAt(right, (curve[right]-edgeCount)/(curve[right]-curve[right+1]))
	midnight := float64(day * minutesPerDay)
	return rise - midnight - float64(i.from), fall - midnight - float64(i.until), true
}

// smoothedCount returns the mean of the counts of a slot and its two neighbors, without
// those that have no record. It returns false if none of the three has a record.
func (s *State) smoothedCount(model string, slot int64) (float64, bool) {
	sum, observed := int64(0), 0
	for _, near := range []int64{slot - 1, slot, slot + 1} {
		if count := s.count(model, near); count != missing {
			sum += count
			observed++
		}
	}
	return float64(sum) / float64(max(1, observed)), observed > 0
}
