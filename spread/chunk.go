package spread

import (
	"slices"
	"time"
)

// minAbsentForOrigin is the number of responses without a chunk, from all sources
// together, after which an agent that is not the chunk's gateway may use the origin budget
// to download the chunk while some other sources are not avoided. This concerns mainly the
// region's other gateways. For the agents that are no gateway the origin is a fallback
// source, which this number of responses alone doesn't make available.
const minAbsentForOrigin = 24

// minCorruptForFallback is the number of corrupt transfers of a chunk after which
// the chunk is requested from fallback sources too. A source that sent one corrupt chunk is
// not avoided for that, and may be the only source that is not a fallback.
const minCorruptForFallback = 2

// chunk is the state of one chunk in a session.
type chunk struct {
	// done is set if the chunk is present.
	done bool
	// importing is set if the agent is the gateway of the chunk and lacked the chunk when
	// the plan was last replaced.
	importing bool
	// activeRequests is the number of requests in progress for the chunk.
	activeRequests int
	// absentResponses counts the responses without the chunk since such responses last
	// increased skip, and not while the agent is the chunk's backup gateway.
	// totalAbsentResponses counts all of them except those of the probe source.
	absentResponses      int
	totalAbsentResponses int
	// corruptTransfers counts the transfers with a wrong digest.
	corruptTransfers int
	// probed is set when the probe source has responded that it lacks the chunk.
	probed bool
	// skip is the number of sources at the start of the list of sources that are tried
	// last, because they lacked the chunk, sent corrupt bytes or assigned no upload slot.
	skip int
	// retryAt is the time before which the chunk is not requested again.
	retryAt time.Time
}

// chooseSource returns the first source of a chunk from which the chunk can be requested
// now, trying skipped sources last. If the request is a download from the origin that counts
// towards the origin budget, it reduces the budget by one.
// If there is no such source, it returns false and sets the chunk's retryAt to the time at
// which a source becomes available, at least minRetryInterval from now.
func (s *Session) chooseSource(index int, now time.Time) (Source, bool) {
	c := &s.chunks[index]
	list := s.planner.Sources(s.options.Self, index)
	allAvoided := s.allAvoided(list, now)
	// Fallback sources are removed while another source is not avoided, unless too many
	// transfers were corrupt.
	if regular := slices.DeleteFunc(slices.Clone(list), func(source Source) bool { return source.Fallback }); c.corruptTransfers < minCorruptForFallback && !s.allAvoided(regular, now) {
		list = regular
	}
	if c.skip >= len(list) {
		c.skip = 0
	}
	var earliest time.Time
	consider := func(at time.Time) {
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	for i := range list {
		source := list[(c.skip+i)%len(list)]
		if source.Probe && c.probed {
			continue
		}
		availableAt := s.scores.avoidUntil(source.ID)
		extraDownload := source.IsOrigin() && !c.importing
		if extraDownload {
			var allowed bool
			if availableAt, allowed = s.originAllowed(index, availableAt, allAvoided); !allowed {
				continue
			}
		}
		if now.Before(availableAt) || s.isRequestedFrom(index, source.ID) {
			consider(availableAt)
			continue
		}
		if extraDownload && (!allAvoided || !s.planner.IsBackupGateway(s.options.Self, index)) {
			s.originBudget--
		}
		return source, true
	}
	c.retryAt = laterOf(earliest, now.Add(minRetryInterval))
	return Source{}, false
}

// allAvoided reports whether every source in the list, leaving out the origin, is avoided.
func (s *Session) allAvoided(list []Source, now time.Time) bool {
	for _, source := range list {
		if !source.IsOrigin() && !now.Before(s.scores.avoidUntil(source.ID)) {
			return false
		}
	}
	return true
}

// originAllowed returns whether an agent that is not the gateway of a chunk may download
// the chunk from the origin, and the time from which it may. availableAt is the time until
// which the origin is avoided. allAvoided is set if all other sources are avoided; the
// backup gateway then needs no budget, since it downloads the chunk in place of the
// gateway.
func (s *Session) originAllowed(index int, availableAt time.Time, allAvoided bool) (time.Time, bool) {
	if allAvoided && s.planner.IsBackupGateway(s.options.Self, index) {
		return availableAt, true
	}
	if !allAvoided && s.chunks[index].totalAbsentResponses < minAbsentForOrigin {
		return availableAt, false
	}
	if s.originBudget == 0 {
		availableAt = laterOf(availableAt, s.lastRefill.Add(s.options.OriginRefill))
	}
	return availableAt, true
}

// isRequestedFrom reports whether a request to the source for the chunk is in
// progress.
func (s *Session) isRequestedFrom(index int, id string) bool {
	if s.chunks[index].activeRequests == 0 {
		return false
	}
	for _, r := range s.requests {
		if r.Chunk == index && r.Source.ID == id {
			return true
		}
	}
	return false
}
