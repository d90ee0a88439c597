package schedule

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/availability"
)

// maxPausedRetryAfter bounds the delay before a retry of a request whose servers have all asked for
// a pause. Another server may be added before a long pause ends.
const maxPausedRetryAfter = 30 * time.Second

// MarkLeaving records that an incarnation of a server has said that it leaves, and reports whether
// that was not known. It gets no requests from now on, whatever its registration says. Queued
// requests that no other server can run are refused.
func (s *Scheduler) MarkLeaving(now time.Time, id availability.Server) bool {
	state, added := s.availability.MarkLeaving(now, id)
	s.applyAvailability(now, id, state)
	return added
}

// Pause records that an incarnation of a server has asked this entry for no requests for the given
// time. Queued requests that no other server can run in time are refused.
func (s *Scheduler) Pause(now time.Time, id availability.Server, duration time.Duration) {
	s.applyAvailability(now, id, s.availability.Pause(now, id, duration))
}

// LeavingReport returns the registered servers that have said that they leave, as far as a message
// to another entry has them.
func (s *Scheduler) LeavingReport(now time.Time) []availability.Server {
	return s.availability.Report(now, func(id availability.Server) bool {
		server := s.servers[id.ID]
		return server != nil && server.Incarnation() == id
	})
}

// Takes reports whether a request may still be sent to an incarnation of a server that was selected
// for it: neither this one nor the one that is registered now has said since that it leaves or asked
// for a pause.
func (s *Scheduler) Takes(now time.Time, id availability.Server) bool {
	state := s.availability.Find(id)
	if state.IsLeaving() || state.IsPaused(now) {
		return false
	}
	server := s.servers[id.ID]
	return server == nil || !server.isLeaving() && !server.availability.IsPaused(now)
}

// applyAvailability uses a state for the server, if this incarnation is registered.
func (s *Scheduler) applyAvailability(now time.Time, id availability.Server, state *availability.State) {
	server := s.servers[id.ID]
	if server == nil || server.Incarnation() != id {
		return
	}
	server.availability = state
	s.refuseQueued(now, s.serviceFor(server.Service), func(*Request) bool { return true })
}

// refuseQueued refuses those of the considered queued requests that no server will run in time.
func (s *Scheduler) refuseQueued(now time.Time, svc *service, isConsidered func(*Request) bool) {
	for i := len(svc.queue) - 1; i >= 0; i-- {
		request := svc.queue[i]
		if !isConsidered(request) {
			continue
		}
		if refusal, refused := s.refuseWithoutServer(now, svc, request); refused {
			s.Cancel(request)
			request.OnDecision(refusal)
		}
	}
}

// pausedUntil returns the earliest end of the pauses of the servers that could run the request. It
// is zero if one of them has no pause. Servers that the request was sent to before count if there is
// no other one: the caller may send it again.
func (s *service) pausedUntil(now time.Time, request *Request) time.Time {
	var earliest, earliestTried time.Time
	triedTakes := false
	for _, candidate := range s.servers {
		if !candidate.canRun(now, request, 0) {
			continue
		}
		isPaused, until := candidate.availability.IsPaused(now), candidate.availability.PausedUntil()
		switch isTried := slices.Contains(request.TriedServers, candidate.ID); {
		case !isPaused && !isTried:
			return time.Time{}
		case !isPaused:
			triedTakes = true
		case isTried && (earliestTried.IsZero() || until.Before(earliestTried)):
			earliestTried = until
		case !isTried && (earliest.IsZero() || until.Before(earliest)):
			earliest = until
		}
	}
	if earliest.IsZero() && !triedTakes {
		return earliestTried
	}
	return earliest
}

// refuseWithoutServer returns the refusal of a request that no server will run before its queue
// deadline, regardless of the load, or false.
func (s *Scheduler) refuseWithoutServer(now time.Time, svc *service, request *Request) (Decision, bool) {
	if until := svc.pausedUntil(now, request); until.After(request.queueDeadline) {
		return pausedDecision(now, until), true
	}
	return s.refuseWithoutVersion(now, svc, request)
}

// pausedDecision refuses a request until after the end of a pause. The jitter spreads the requests
// that are refused together.
func pausedDecision(now, until time.Time) Decision {
	jitter := time.Duration(rand.Int64N(int64(retryJitter)))
	return Decision{Reason: Paused, RetryAfter: min(until.Sub(now), maxPausedRetryAfter) + jitter}
}
