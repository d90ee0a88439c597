package mirror

import "time"

// preferredRetryInterval is how long after its failure the preferred source is tried
// again while another one is in use.
const preferredRetryInterval = 1500 * time.Millisecond

// sourceSelector selects the source that a topic is read from, as an index into the list
// of sources. The first source is preferred. After a failure the next one is used, and
// the first is retried periodically.
type sourceSelector struct {
	// current is the source in use. It may exceed the number of sources; choose then
	// starts again with the first one.
	current int
	// lastWorking is the source of the last successful read.
	lastWorking int
	// preferredFailedAt is the time of the last failure of the first source.
	preferredFailedAt time.Time
}

// choose returns the index of the source for the next read, of the given number of
// sources. probing is set when the preferred source is retried while another one is in
// use: the read should then not wait for new records.
func (s *sourceSelector) choose(now time.Time, sources int) (index int, probing bool) {
	s.current %= sources
	if s.current != 0 && now.Sub(s.preferredFailedAt) >= preferredRetryInterval {
		return 0, true
	}
	return s.current, false
}

// markFailed records that a read from the source failed, and moves on to the next source.
// After a failed retry of the preferred source the current one stays in use.
func (s *sourceSelector) markFailed(now time.Time, index int) {
	if index == 0 {
		s.preferredFailedAt = now
		if s.current != 0 {
			return
		}
	}
	s.current++
}

// isSwitch reports whether the source differs from that of the last successful read.
func (s *sourceSelector) isSwitch(index int) bool { return s.lastWorking != index }

// markWorking records that a read from the source succeeded.
func (s *sourceSelector) markWorking(index int) { s.current, s.lastWorking = index, index }
