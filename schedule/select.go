package schedule

import (
	"math/rand/v2"
	"time"
)

const (
	// otherZonePenalty is added, when servers are compared, to the utilization of those in
	// other availability zones: a local server is selected until its utilization is higher
	// by this amount. A utilization of 1 means that all slots are in use.
	otherZonePenalty = 0.15
	// nonPreferredPenalty is added, when servers are compared, to the utilization of those
	// that this entry does not prefer, whose counts are older than the interval between two
	// requests to a server.
	nonPreferredPenalty = 0.3
	// randomChoices is the number of non-preferred servers that are compared, in the own
	// availability zone and in the others.
	randomChoices = 2
	// borrowFactor is the number of requests that an entry may send to non-preferred servers
	// between two renewals of the counts, in relation to its share of the free slots there.
	// It is above 1 because not all entries need their share. While requests are queued,
	// which they then are at the other entries as well, it is queuedBorrowFactor.
	borrowFactor       = 1.5
	queuedBorrowFactor = 0.25
	// minBorrowInterval is the time for which a share of the free slots is valid at least.
	// The counts of the other entries are renewed every 150 ms, sometimes twice.
	minBorrowInterval = 100 * time.Millisecond
	// loadingPenalty is added, when servers are compared, to the utilization of a server
	// that is loading weights, which takes no new requests for about a second.
	loadingPenalty = 2.0
)

// assignPreferredServers marks the servers of a service that this entry prefers. It
// distributes the servers of the availability zone round-robin among the entries of the
// zone. With fewer servers than entries, several entries prefer the same server. Without any
// server in the zone, all servers are preferred. If the zone is evacuated, its entries distribute
// the usable servers of the other zones instead.
func (s *Scheduler) assignPreferredServers(svc *service) {
	count, isCandidate := 0, s.preferenceFilter(svc)
	for _, server := range svc.servers {
		if isCandidate(server) {
			count++
		}
	}
	index := 0
	for _, server := range svc.servers {
		if !isCandidate(server) {
			server.preferred = count == 0
			continue
		}
		server.preferred = index%s.entryCount == s.entryIndex || count < s.entryCount && s.entryIndex%count == index
		index++
	}
}

// renewBorrowable gives this entry its share of the free slots of the non-preferred servers,
// until the counts of the other entries are renewed. Fractions are rounded at random, so that
// entries whose share is less than one do not all use a single free slot.
func (s *Scheduler) renewBorrowable(now time.Time, svc *service) {
	if now.Sub(svc.borrowableAt) < minBorrowInterval {
		return
	}
	local, remote := 0, 0
	for _, server := range svc.servers {
		if server.preferred || server.isLeaving() || server.evacuated || server.availability.IsPaused(now) || now.Before(server.suspendedUntil) {
			continue
		}
		free := max(server.Slots-server.inFlight(), 0)
		if server.AvailabilityZone == s.zone {
			local += free
		} else {
			remote += free
		}
	}
	share := float64(local)/float64(s.entryCount) + float64(remote)/float64(max(s.fleetSize, s.entryCount))
	factor := borrowFactor
	if len(svc.queue) > 0 {
		factor = queuedBorrowFactor
	}
	svc.borrowable, svc.borrowableAt = int(factor*share+rand.Float64()), now
}

// selectServer returns a server with free capacity for the request, or nil if there is
// none. It leaves out servers that are suspended, that have asked for a pause or have as many
// requests in flight as they may after it, that have a request in flight after a stall, or whose
// next load of weights the request would delay. A cold server to which this entry may send nothing
// now counts as full.
//
// Of the preferred servers, it takes the one with the lowest utilization. Of the others, it
// draws two of the own zone and two of other zones at random: their counts are old, and
// entries that all took the least loaded one would overload it. The best of these is selected,
// after the penalties for other zones, non-preferred servers and loading weights. The number of
// requests to non-preferred servers is limited by service.borrowable, unless no preferred
// server could run the request even when idle.
func (s *Scheduler) selectServer(now time.Time, svc *service, request *Request) *server {
	if svc.countsEngineTime(now, request) {
		return s.selectByEngineTime(now, svc, request)
	}
	version := s.requiredVersions[request.Model]
	var best *server
	lowest := 0.0
	ties := 0
	hasPreferred := false
	var local, remote []*server
	for _, candidate := range svc.servers {
		if !candidate.isEligible(now, request, version) || now.Before(candidate.suspendedUntil) {
			continue
		}
		if !candidate.availability.Takes(now, candidate.localRequests) || candidate.consecutiveStalls > 0 && candidate.localRequests > 0 || candidate.wouldDelayLoad(now, request, svc) {
			continue
		}
		hasPreferred = hasPreferred || candidate.preferred
		if candidate.inFlight() >= candidate.capacityFor(now, request, svc) || !s.coldAllows(candidate) {
			continue
		}
		switch {
		case candidate.preferred:
		case candidate.AvailabilityZone == s.zone:
			local = append(local, candidate)
			continue
		default:
			remote = append(remote, candidate)
			continue
		}
		score := s.score(now, candidate)
		switch {
		case best == nil || score < lowest-1e-9:
			best, lowest, ties = candidate, score, 1
		case score < lowest+1e-9:
			ties++
			if rand.IntN(ties) == 0 {
				best = candidate
			}
		}
	}
	limited := hasPreferred && request.Model != "" && !request.Resumed
	if limited && svc.borrowable < 1 {
		return best
	}
	for _, others := range [][]*server{local, remote} {
		for range min(randomChoices, len(others)) {
			candidate := others[rand.IntN(len(others))]
			if limited && candidate.inFlight() >= candidate.Slots {
				continue
			}
			if score := s.score(now, candidate); best == nil || score < lowest {
				best, lowest = candidate, score
			}
		}
	}
	if best != nil && !best.preferred {
		svc.borrowable--
	}
	return best
}

// score returns the utilization of a server with the penalties for other zones,
// non-preferred servers and loading weights.
func (s *Scheduler) score(now time.Time, candidate *server) float64 {
	score := candidate.utilization()
	if candidate.AvailabilityZone != s.zone {
		score += otherZonePenalty
	}
	if !candidate.preferred {
		score += nonPreferredPenalty
	}
	if candidate.loadingWeights && now.Before(candidate.loaderStateUntil) {
		score += loadingPenalty
	}
	return score
}
