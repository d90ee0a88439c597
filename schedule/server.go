package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/availability"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/cold"
	"github.com/fuchsiarouter/fuchsiarouter/workload"
)

// server is the scheduling state of a backend server.
type server struct {
	*catalog.Server
	// region is the region of the server, empty if it is not known.
	region string
	// evacuated is set while the availability zone of the server is evacuated.
	evacuated bool
	// localRequests is the number of requests of this entry in flight at the server.
	localRequests int
	// preferred is set if this entry prefers the server over others with a similar load;
	// nonPreferredPenalty gives the reason.
	preferred bool
	// key identifies the server in the counts of the other entries.
	key uint32
	// requestsElsewhere is the number of requests that the other entries have in flight at
	// the server, as far as is known.
	requestsElsewhere int
	// consecutiveFailures counts the requests that the server refused or that failed there
	// since the last completed one.
	consecutiveFailures int
	// consecutiveStalls counts the stalls since the last completed request.
	consecutiveStalls int
	// suspendedUntil is the end of the last ejection or stall suspension. Until then the
	// server gets no requests.
	suspendedUntil time.Time
	// availability is what the server has said about further requests, nil if nothing.
	availability *availability.State
	// cold is the cold state of the server, nil if its service has no cold servers.
	cold *cold.Server
	// replaced is set when another incarnation has answered at the server's address.
	replaced bool
	// loadingSince is when the loader first reported the current load.
	loadingSince time.Time
	// loaderVersions, loadingWeights and nextLoadAt are the state that the loader on the
	// VM of the server reported. They take precedence over the registration until
	// loaderStateUntil. nextLoadAt is zero if no load is planned.
	loaderVersions   map[string]int
	loadingWeights   bool
	nextLoadAt       time.Time
	loaderStateUntil time.Time
	// loaderStateNumber is the number of that state, 0 if it has none.
	loaderStateNumber fuchsiarouter.StateNumber
	// work is what is known of the engine time that the requests at the server take.
	work workload.Server
}

// isEligible reports whether the server may run the request, regardless of its load: it
// is not leaving, replaced or evacuated, it is in an allowed region, the request was not sent to it before, and
// it holds at least the given version of the request's model, if the request has one.
func (s *server) isEligible(now time.Time, request *Request, version int) bool {
	return s.canRun(now, request, version) && !slices.Contains(request.TriedServers, s.ID)
}

// canRun is isEligible for a server that the request may have been sent to before.
func (s *server) canRun(now time.Time, request *Request, version int) bool {
	if s.isLeaving() || s.replaced || s.evacuated || !request.AllowedRegions.Allows(s.region) {
		return false
	}
	if request.Model == "" {
		return true
	}
	held := s.heldVersion(now, request.Model)
	return held > 0 && held >= version
}

// isLeaving reports whether the server must get no new requests, according to its registration or
// to what it has said itself.
func (s *server) isLeaving() bool { return s.Draining || s.availability.IsLeaving() }

// wouldDelayLoad reports whether the server is about to load weights and the request
// would still be running by then: the server would take no new requests while it waits
// for this one. Requests of the most urgent rank are short and may be sent there anyway,
// and so may resumed ones.
func (s *server) wouldDelayLoad(now time.Time, request *Request, svc *service) bool {
	if request.isTopPriority() || now.After(s.loaderStateUntil) || !now.Before(s.nextLoadAt) {
		return false
	}
	return now.Add(svc.expectedRunTime(request)).After(s.nextLoadAt.Add(loadDelayTolerance))
}

// inFlight returns the number of requests of all entries in flight at the server.
func (s *server) inFlight() int { return s.localRequests + s.requestsElsewhere }

// utilization returns the share of the slots that are in use, above 1 if requests wait at
// the server.
func (s *server) utilization() float64 { return float64(s.inFlight()) / float64(max(s.Slots, 1)) }

// capacityFor returns the capacity of the server for requests of the same kind and rank:
// the server may be sent the request while fewer requests than this are in flight there.
func (s *server) capacityFor(now time.Time, request *Request, svc *service) int {
	slots := max(s.Slots, 1)
	yields := request.isLate() && svc.refusesInTime(now)
	share := lowerRankSlotShare
	switch {
	case request.Model == "":
		return slots + plainOvercommit
	case yields && request.Rank > 0:
		share = lateSlotShare
	case yields:
		share -= overservedSlotReserve
	case request.isTopPriority():
		return slots + urgentOvercommit
	case svc.isOverserved(request.Rank):
		share -= overservedSlotReserve
	}
	return int(math.Ceil(float64(slots) * share))
}

// heldVersion returns the version of a model that the server holds, 0 if none: according
// to the loader's last report until loaderStateUntil, then according to the registration.
func (s *server) heldVersion(now time.Time, model string) int {
	if now.Before(s.loaderStateUntil) {
		return s.loaderVersions[model]
	}
	return s.Versions[model]
}
