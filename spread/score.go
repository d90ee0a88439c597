package spread

import "time"

// Parameters of scores.
const (
	// minAvoidTime and maxAvoidTime bound how long a source is avoided after
	// consecutive failed requests. The time doubles with each failure.
	minAvoidTime = 4 * time.Second
	maxAvoidTime = 30 * time.Second
	// maxOriginAvoidTime replaces maxAvoidTime for the origin. It is shorter, because
	// after an outage of the origin every agent waits for the first chunks from it.
	maxOriginAvoidTime = 4 * time.Second
	// A source is avoided for corruptAvoidTime when it has sent at least minCorruptChunks
	// corrupt chunks and these are at least the fraction minCorruptFraction of all chunks
	// received from it. The two limits distinguish a source of corrupt chunks from a
	// source behind a link that occasionally corrupts a chunk.
	minCorruptChunks   = 3
	minCorruptFraction = 0.1
	// corruptAvoidTime is longer than a rollout, so the source is not used again in it.
	corruptAvoidTime = 10 * time.Minute
)

// score records the past results of a source and the time until which the source is
// avoided, that is gets no new requests.
type score struct {
	// verifiedChunks and corruptChunks count the chunks received from the source.
	verifiedChunks int
	corruptChunks  int
	// consecutiveFailures counts the failed requests since the last verified chunk.
	consecutiveFailures int
	// avoidUntil is zero if the source was never avoided.
	avoidUntil time.Time
}

// scores holds the scores of sources by ID.
type scores map[string]*score

// getOrCreate returns the score of a source, adding an empty one if there is none.
func (s scores) getOrCreate(id string) *score {
	entry, ok := s[id]
	if !ok {
		entry = &score{}
		s[id] = entry
	}
	return entry
}

// avoidUntil returns the time until which a source is avoided. It is zero or in the past if
// the source is not avoided.
func (s scores) avoidUntil(id string) time.Time {
	if entry, ok := s[id]; ok {
		return entry.avoidUntil
	}
	return time.Time{}
}

// recordSuccess records a verified chunk from a source.
func (s scores) recordSuccess(id string) {
	entry := s.getOrCreate(id)
	entry.verifiedChunks++
	entry.consecutiveFailures = 0
}

// recordFailure records a failed request and avoids the source with exponential backoff.
func (s scores) recordFailure(id string, now time.Time) {
	entry := s.getOrCreate(id)
	maxAvoid := maxAvoidTime
	if id == OriginID {
		maxAvoid = maxOriginAvoidTime
	}
	avoid := min(maxAvoid, minAvoidTime<<min(entry.consecutiveFailures, 10))
	entry.consecutiveFailures++
	entry.avoidUntil = laterOf(entry.avoidUntil, now.Add(avoid))
}

// recordCorrupt records a corrupt chunk from a source and avoids a source of too many for
// corruptAvoidTime. The origin is only avoided as after a failed request, since nothing
// can replace it permanently.
func (s scores) recordCorrupt(id string, now time.Time) {
	entry := s.getOrCreate(id)
	entry.corruptChunks++
	if entry.corruptChunks < minCorruptChunks || float64(entry.corruptChunks) < minCorruptFraction*float64(entry.verifiedChunks+entry.corruptChunks) {
		return
	}
	if id == OriginID {
		s.recordFailure(id, now)
		return
	}
	entry.avoidUntil = laterOf(entry.avoidUntil, now.Add(corruptAvoidTime))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
