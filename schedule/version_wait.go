package schedule

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// expectedLoadTime is the time for which an engine that loads weights takes no requests. The
	// loader's report does not say it.
	expectedLoadTime = time.Second
	// maxVersionRetryAfter bounds the delay before a retry of a request that waits for engines to
	// load a version. The plan of the loaders may change.
	maxVersionRetryAfter = 30 * time.Second
)

// recordLoad records what a report of the loader, which has just been applied, says of a load.
func (s *server) recordLoad(now time.Time, wasLoading bool) {
	if s.loadingWeights && !wasLoading {
		s.loadingSince = now
	}
}

// expectedReadyAt returns the time at which the server is expected to have loaded weights, according
// to its loader, or zero if the loader has reported no load that is under way or to come. A load that
// takes longer than expected may end at any time.
func (s *server) expectedReadyAt(now time.Time) time.Time {
	switch {
	case s.loadingWeights && now.Before(s.loaderStateUntil):
		return latest(now, s.loadingSince.Add(expectedLoadTime))
	case !s.nextLoadAt.IsZero() && now.Before(s.nextLoadAt.Add(expectedLoadTime)):
		return s.nextLoadAt.Add(expectedLoadTime)
	}
	return time.Time{}
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expectedReadyAt returns the earliest time at which a server is expected to have loaded weights for
// the request, or zero if the loaders have reported none. It leaves out servers that must not get the
// request whatever they load.
func (s *service) expectedReadyAt(now time.Time, request *Request) time.Time {
	var earliest time.Time
	for _, candidate := range s.servers {
		if candidate.isLeaving() || candidate.replaced || candidate.evacuated || !request.AllowedRegions.Allows(candidate.region) ||
			slices.Contains(request.TriedServers, candidate.ID) {
			continue
		}
		if at := candidate.expectedReadyAt(now); !at.IsZero() && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest
}

// refuseWithoutVersion returns the refusal of a request if no server holds a version on which it may
// begin, and none is expected to before its queue deadline, or false. The caller is told when the
// first server is expected. A resumed request waits for a server that holds an older version, since a
// refusal would cut off its response, unless a load is expected too late for it.
func (s *Scheduler) refuseWithoutVersion(now time.Time, svc *service, request *Request) (Decision, bool) {
	version := s.requiredVersions[request.Model]
	holdsOlder := false
	for _, candidate := range svc.servers {
		if candidate.isEligible(now, request, version) {
			return Decision{}, false
		}
		holdsOlder = holdsOlder || candidate.isEligible(now, request, 0)
	}
	readyAt := time.Time{}
	if request.Model != "" {
		readyAt = svc.expectedReadyAt(now, request)
	}
	switch {
	case readyAt.IsZero() && request.Resumed && holdsOlder:
		return Decision{}, false
	case readyAt.IsZero():
		return Decision{Reason: request.noServerReason(), RetryAfter: svc.retryAfter(now, noServerRetryAfter)}, true
	case !readyAt.After(request.queueDeadline):
		return Decision{}, false
	}
	// The jitter spreads the requests that are refused together.
	jitter := time.Duration(rand.Int64N(int64(retryJitter)))
	return Decision{Reason: request.noServerReason(), RetryAfter: min(readyAt.Sub(now), maxVersionRetryAfter) + jitter}, true
}

// refuseWithoutVersions refuses the queued requests of a service that no server will run in time
// because of the required version, and delivers the decisions to OnDecision. While any server of the
// allowed regions holds the version of a model, the requests for the model stay in the queue.
func (s *Scheduler) refuseWithoutVersions(now time.Time, svc *service) {
	var isHeld map[string]bool
	for i := len(svc.queue) - 1; i >= 0; i-- {
		request := svc.queue[i]
		version := s.requiredVersions[request.Model]
		if version == 0 {
			continue
		}
		held, checked := isHeld[request.Model]
		if !checked || request.isRestricted() {
			held = slices.ContainsFunc(svc.servers, func(candidate *server) bool { return candidate.canRun(now, request, version) })
			if isHeld == nil {
				isHeld = map[string]bool{}
			}
			if !request.isRestricted() {
				isHeld[request.Model] = held
			}
		}
		if held {
			continue
		}
		if refusal, refused := s.refuseWithoutVersion(now, svc, request); refused {
			s.Cancel(request)
			request.OnDecision(refusal)
		}
	}
}
