package schedule

import (
	"slices"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/workload"
)

// Exclusion says why a server cannot be selected for a request now.
type Exclusion string

// The exclusions, in the order in which they are checked.
const (
	// ExcludedLeaving means that the server leaves, according to its registration or to itself.
	ExcludedLeaving Exclusion = "leaving"
	// ExcludedReplaced means that another incarnation has answered at its address.
	ExcludedReplaced Exclusion = "replaced"
	// ExcludedEvacuated means that its availability zone is evacuated.
	ExcludedEvacuated Exclusion = "zone-evacuated"
	// ExcludedRegion means that the request may not be served in its region.
	ExcludedRegion Exclusion = "region-not-allowed"
	// ExcludedModel means that it holds no version of the model, and ExcludedVersion that it holds
	// one on which no request may begin.
	ExcludedModel   Exclusion = "model-not-held"
	ExcludedVersion Exclusion = "version-too-old"
	// ExcludedTried means that the request was sent to it before.
	ExcludedTried Exclusion = "tried"
	// ExcludedSuspended means that it gets no requests for a time after a failure or a stall.
	ExcludedSuspended Exclusion = "suspended"
	// ExcludedPaused means that it has asked for a pause, or has as many requests in flight as it
	// may after one.
	ExcludedPaused Exclusion = "paused"
	// ExcludedStalled means that it has a request in flight after a stall.
	ExcludedStalled Exclusion = "request-after-stall"
	// ExcludedLoad means that the request would delay its next load of weights.
	ExcludedLoad Exclusion = "about-to-load"
	// ExcludedCapacity means that its capacity for the rank is in use.
	ExcludedCapacity Exclusion = "no-capacity"
	// ExcludedCold means that it is cold and that the limit of this entry is used up.
	ExcludedCold Exclusion = "cold-limit"
	// ExcludedShare means that this entry has used its share of the free slots of the servers that
	// it does not prefer.
	ExcludedShare Exclusion = "share-used"
	// ExcludedLate means that the first event is predicted to come after the target.
	ExcludedLate Exclusion = "predicted-late"
	// ExcludedFairShare means that free slots are left to other workspaces.
	ExcludedFairShare Exclusion = "fair-share"
)

// Candidate is a server of a request's service, as seen by the selection.
type Candidate struct {
	Server, Zone, Region string
	// Excluded is the first reason for which the server cannot be selected, empty if it can.
	Excluded Exclusion
	// HeldVersion is the version of the request's model that the server holds, 0 if none.
	HeldVersion int
	// InFlight is the number of requests of all entries at the server, as far as is known.
	InFlight, Slots int
	// Preferred is set if this entry prefers the server.
	Preferred bool
	// Predicted is the predicted time from sending the request to its first event, 0 if the service
	// does not count engine time.
	Predicted time.Duration
}

// Explain returns the decision that Submit would make on a request now, and what it would see of each
// server of the service, ordered by ID. It changes neither the scheduler nor the request. Submit may
// select another one of several servers at random.
func (s *Scheduler) Explain(now time.Time, request *Request) (Decision, []Candidate) {
	copied := *request
	shadow := s.shadow(request.Service)
	svc := shadow.serviceFor(request.Service)
	shadow.countSubmitted(now, svc, &copied)
	candidates := shadow.candidates(now, svc, &copied)

	copied = *request
	decision := s.shadow(request.Service).Submit(now, &copied)
	for i := range candidates {
		switch {
		case decision.Server != "" && candidates[i].Server == decision.Server:
			// A server with few requests is selected although the first event is predicted to be late.
			candidates[i].Excluded = ""
		case decision.Server == "" && candidates[i].Excluded == "" && svc.fair != nil:
			candidates[i].Excluded = ExcludedFairShare
		}
	}
	return decision, candidates
}

// candidates returns the servers of a service as the selection for a request sees them.
func (s *Scheduler) candidates(now time.Time, svc *service, request *Request) []Candidate {
	counted := svc.countsEngineTime(now, request)
	var allowed, reading float64
	overcommit := 0
	if counted {
		reading = svc.engine.model.Reading(request.PromptTokens)
		allowed, overcommit = svc.timeAllowed(now, request, int(svc.engine.model.Slots))
	}
	candidates := make([]Candidate, 0, len(svc.servers))
	hasPreferred := false
	for _, server := range svc.servers {
		candidate := Candidate{
			Server: server.ID, Zone: server.AvailabilityZone, Region: server.region, InFlight: server.inFlight(),
			Slots: server.Slots, Preferred: server.preferred, Excluded: s.exclusion(now, svc, request, server),
		}
		if request.Model != "" {
			candidate.HeldVersion = server.heldVersion(now, request.Model)
		}
		var capacity int
		if counted {
			elsewhere := server.work.Elsewhere(now, server.requestsElsewhere)
			candidate.InFlight = server.localRequests + elsewhere
			candidate.Predicted = workload.Duration(svc.engine.predict(now, server, elsewhere, reading).FirstEvent)
			capacity = max(server.Slots, 1) + overcommit
			if !server.preferred && !request.Resumed {
				capacity = min(capacity, max(server.Slots, 1))
			}
		} else {
			capacity = server.capacityFor(now, request, svc)
		}
		if candidate.Excluded == "" {
			hasPreferred = hasPreferred || server.preferred
			switch {
			case candidate.InFlight >= capacity:
				candidate.Excluded = ExcludedCapacity
			case !s.coldAllows(server):
				candidate.Excluded = ExcludedCold
			}
		}
		candidates = append(candidates, candidate)
	}
	isLimited := hasPreferred && request.Model != "" && !request.Resumed
	for i := range candidates {
		candidate := &candidates[i]
		switch {
		case candidate.Excluded != "":
		case isLimited && !candidate.Preferred && svc.borrowable < 1:
			candidate.Excluded = ExcludedShare
		case isLimited && !candidate.Preferred && !counted && candidate.InFlight >= candidate.Slots:
			candidate.Excluded = ExcludedCapacity
		case counted && candidate.Predicted > workload.Duration(allowed):
			candidate.Excluded = ExcludedLate
		}
	}
	return candidates
}

// exclusion returns the first reason, other than its load, for which a server cannot be selected for
// a request, or an empty one.
func (s *Scheduler) exclusion(now time.Time, svc *service, request *Request, server *server) Exclusion {
	version := s.requiredVersions[request.Model]
	switch {
	case server.isLeaving():
		return ExcludedLeaving
	case server.replaced:
		return ExcludedReplaced
	case server.evacuated:
		return ExcludedEvacuated
	case !request.AllowedRegions.Allows(server.region):
		return ExcludedRegion
	case request.Model != "" && server.heldVersion(now, request.Model) <= 0:
		return ExcludedModel
	case request.Model != "" && server.heldVersion(now, request.Model) < version:
		return ExcludedVersion
	case slices.Contains(request.TriedServers, server.ID):
		return ExcludedTried
	case now.Before(server.suspendedUntil):
		return ExcludedSuspended
	case !server.availability.Takes(now, server.localRequests):
		return ExcludedPaused
	case server.consecutiveStalls > 0 && server.localRequests > 0:
		return ExcludedStalled
	case server.wouldDelayLoad(now, request, svc):
		return ExcludedLoad
	}
	return ""
}

// RequiredVersion returns the lowest version of a model on which a request may begin, 0 if any will
// do.
func (s *Scheduler) RequiredVersion(model string) int { return s.requiredVersions[model] }
