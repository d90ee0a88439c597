// Package placement decides which backend servers hold which model versions.
//
// Each backend server is represented by its agent, the daemon that runs on its VM.
// Agents are members of the membership view, and placement assigns versions to them.
//
// A replica of a model is its live version, the one that serves requests, on one backend
// server. The configuration declares the number of replicas of each model. It also declares
// peaks: daily intervals in which a model has more replicas.
//
// Place is a pure function of the models, the peaks, the members, the time and the options.
// Every daemon computes it independently, without coordination: daemons with the same
// membership view get the same result. While the views of daemons differ, a model has too
// many or too few replicas until the views converge.
//
// The replicas of a model are spread evenly over the availability zones. Within a zone
// the members that already hold the model are preferred, because moving a replica
// costs the transfer of a whole version. The others are ranked by weighted rendezvous
// hashing, so that the loss of a member moves only the replicas of that member.
//
// Options.Shifts lists the peaks that are forecast to begin earlier or end later than
// declared. The replicas for the additional time are placed after all declared ones,
// on the remaining capacity, so that a forecast never displaces a declared replica.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/document"
)

// Options are the parameters of Place. With the zero value, peaks are exactly as declared
// and agents may hold any number of models.
type Options struct {
	// LeadTime is how long before a peak its replicas are placed, so that they are
	// loaded when it starts.
	LeadTime time.Duration
	// HoldTime is how long after a peak its replicas are kept, because demand doesn't
	// end exactly on time.
	HoldTime time.Duration
	// MaxModelsPerAgent is the maximum number of models that an agent may hold; 0 means
	// no limit.
	MaxModelsPerAgent int
	// Shifts extends the peaks that are forecast to begin earlier or end later than
	// declared. A shift never shortens a peak, and extends it by at most maxShift at
	// each end.
	Shifts []fuchsiarouter.PeakShift
}

// Assignment is a model version, or an adapter for one, that an agent should hold.
type Assignment struct {
	// Model and Version are the names of the model and the version. For an adapter they
	// are those of the version that the adapter is for.
	Model   string
	Version string
	// Path is the path of the version or the adapter at the origin, where the agents
	// fetch it.
	Path string
	// Digest identifies the version or the adapter. For a version it is the digest of the
	// version, for an adapter what fuchsiarouter.JoinIdentity returns for the digests of the
	// version and the adapter.
	Digest string
	// Urgent is set if the model is urgent, which means that it is placed and distributed
	// before the models that are not.
	Urgent bool
}

// Shortage reports a model for which fewer replicas were placed than declared.
type Shortage struct {
	Model string
	// Wanted is the result of DeclaredReplicas, Placed the number of replicas that were
	// placed.
	Wanted int
	Placed int
}

// Placement is the result of Place.
type Placement struct {
	// Agents holds the assignments of each agent by its ID: first the declared
	// replicas, urgent models first, then those of the forecast, then the adapters.
	Agents map[string][]Assignment
	// Shortages lists the models without enough eligible agents for their declared
	// replicas. Missing replicas of a forecast aren't listed.
	Shortages []Shortage
}

// Place returns the versions and adapters that each agent should hold at the time now. A
// model without a live version gets no replicas. An agent is eligible if it is live, serves a
// model engine rather than another service, and its engine runs both the prefill and the
// decode phase of a request. An agent that is configured for a model holds only that model.
func Place(models document.Models, peaks document.Peaks, members []fuchsiarouter.Member, now time.Time, options Options) Placement {
	placement := Placement{Agents: make(map[string][]Assignment)}
	var extensions []forecastExtension
	for _, model := range urgentFirst(models) {
		version, ok := model.LiveVersion()
		if !ok {
			continue
		}
		replicas := DeclaredReplicas(model, peaks, now, options)
		assignment := Assignment{
			Model: model.Name, Version: version.Name, Path: version.Path,
			Digest: version.Digest, Urgent: model.Urgent,
		}
		chosen := chooseAgents(model, version, members, placement.Agents, nil, replicas, options)
		for _, id := range chosen {
			placement.Agents[id] = append(placement.Agents[id], assignment)
		}
		if expected := ForecastReplicas(model, peaks, now, options); expected > replicas {
			extensions = append(extensions, forecastExtension{model, version, assignment, chosen, expected - replicas})
		}
		if len(chosen) < replicas {
			placement.Shortages = append(placement.Shortages, Shortage{
				Model: model.Name, Wanted: replicas, Placed: len(chosen),
			})
		}
	}
	for _, e := range extensions {
		for _, id := range chooseAgents(e.model, e.version, members, placement.Agents, e.declaredHolders, e.additionalReplicas, options) {
			placement.Agents[id] = append(placement.Agents[id], e.assignment)
		}
	}
	for id, assignments := range placement.Agents {
		placement.Agents[id] = withAdapters(models, assignments)
	}
	return placement
}

// withAdapters returns the assignments followed by those of the adapters that each assigned
// version has. Every replica holds all adapters of its version.
func withAdapters(models document.Models, assignments []Assignment) []Assignment {
	for _, assignment := range assignments {
		model, _ := models.FindModel(assignment.Model)
		for _, adapter := range model.Adapters {
			if adapter.Version == assignment.Version {
				assignments = append(assignments, Assignment{
					Model: assignment.Model, Version: assignment.Version, Path: adapter.Path,
					Digest: fuchsiarouter.JoinIdentity(assignment.Digest, adapter.Digest), Urgent: assignment.Urgent,
				})
			}
		}
	}
	return assignments
}

// forecastExtension describes the replicas that a forecast adds to the declared ones of a
// model.
type forecastExtension struct {
	model      document.Model
	version    document.ModelVersion
	assignment Assignment
	// declaredHolders are the IDs of the agents that were chosen for the declared replicas.
	declaredHolders []string
	// additionalReplicas is the number of replicas that the forecast adds.
	additionalReplicas int
}

// ForecastReplicas returns the number of replicas of a model at the time now, with each peak
// extended by its shift in options.Shifts. It is never less than DeclaredReplicas.
func ForecastReplicas(model document.Model, peaks document.Peaks, now time.Time, options Options) int {
	replicas := DeclaredReplicas(model, peaks, now, options)
	for _, peak := range peaks.Peaks {
		if peak.Model != model.Name {
			continue
		}
		for _, shift := range options.Shifts {
			if shift.Model != peak.Model || shift.From != peak.From || shift.Until != peak.Until {
				continue
			}
			widened := Options{
				LeadTime: options.LeadTime + clampShift(shift.EarlierSeconds),
				HoldTime: options.HoldTime + clampShift(shift.LaterSeconds),
			}
			if isActive(peak, now, widened) {
				replicas = max(replicas, peak.Replicas)
			}
		}
	}
	return replicas
}

// maxShift is the maximum time by which a forecast can extend a peak at each end. It holds
// regardless of the shifts that an entry reports.
const maxShift = 90 * time.Minute

// clampShift returns the shift as a duration limited to the range from 0 to maxShift.
func clampShift(seconds int) time.Duration {
	return min(max(time.Duration(seconds)*time.Second, 0), maxShift)
}

// DeclaredReplicas returns the number of replicas of a model at the time now without the
// forecast: the model's own number, or that of an active peak if it is higher. A peak is
// active from options.LeadTime before its declared beginning until options.HoldTime after
// its declared end.
func DeclaredReplicas(model document.Model, peaks document.Peaks, now time.Time, options Options) int {
	replicas := model.Replicas
	for _, peak := range peaks.Peaks {
		if peak.Model == model.Name && isActive(peak, now, options) {
			replicas = max(replicas, peak.Replicas)
		}
	}
	return replicas
}

// isActive reports whether now is within the peak extended by the lead time and the
// hold time of the options. The times of the peak are times of the day in UTC. A peak that
// ends at or before its beginning lasts past midnight. If the extended peak lasts a day or
// longer, it is always active. A peak with an invalid time is never active; the validation
// of the configuration document refuses such times.
func isActive(peak document.Peak, now time.Time, options Options) bool {
	from, err := time.Parse(timeOfDayLayout, peak.From)
	if err != nil {
		return false
	}
	until, err := time.Parse(timeOfDayLayout, peak.Until)
	if err != nil {
		return false
	}
	length := until.Sub(from)
	if length <= 0 {
		length += day
	}
	length += options.LeadTime + options.HoldTime
	if length >= day {
		return true
	}
	now = now.UTC()
	start := sinceMidnight(from) - options.LeadTime
	sinceStart := (sinceMidnight(now) - start) % day
	if sinceStart < 0 {
		sinceStart += day
	}
	return sinceStart < length
}

const (
	// timeOfDayLayout is the layout of the times of a document.Peak.
	timeOfDayLayout = "15:04"
	day             = 24 * time.Hour
)

// sinceMidnight returns the time that has passed since midnight in the location of t.
func sinceMidnight(t time.Time) time.Duration {
	return t.Sub(time.Date(t.Year(), t.Month(), t.Day(), 0, 0, 0, 0, t.Location()))
}

// urgentFirst returns the models with the urgent ones first. Replicas are placed in
// this order, so that a shortage of agents affects the models that are not urgent first.
func urgentFirst(models document.Models) []document.Model {
	list := slices.Clone(models.Models)
	slices.SortStableFunc(list, func(a, b document.Model) int {
		switch {
		case a.Urgent == b.Urgent:
			return 0
		case a.Urgent:
			return -1
		default:
			return 1
		}
	})
	return list
}

// candidate is an agent that may get a replica of a model.
type candidate struct {
	id string
	// heldLevel is the result of heldLevelOf for the model, score that of the function
	// score.
	heldLevel int
	score     float64
}

// compareCandidates orders candidates by how much they hold of the model, then by
// score, both in descending order. The ID breaks ties, so that every daemon gets the
// same order.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.heldLevel, a.heldLevel), cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
}

// chooseAgents returns the IDs of the agents for additional replicas of a model: as many as
// replicas says, or fewer if not enough agents are eligible. The agents in replicaHolders
// already have a replica, so they aren't chosen but count in the balance of the
// availability zones. assigned holds the assignments of all models made so far, by agent
// ID.
func chooseAgents(model document.Model, version document.ModelVersion, members []fuchsiarouter.Member, assigned map[string][]Assignment, replicaHolders []string, replicas int, options Options) []string {
	candidatesByZone := make(map[string][]candidate)
	replicasByZone := make(map[string]int)
	for _, member := range members {
		assignedCount := len(assigned[member.ID])
		if slices.Contains(replicaHolders, member.ID) {
			replicasByZone[member.AvailabilityZone]++
			continue
		}
		if !isEligible(member, model.Name) || options.MaxModelsPerAgent > 0 && assignedCount >= options.MaxModelsPerAgent {
			continue
		}
		candidatesByZone[member.AvailabilityZone] = append(candidatesByZone[member.AvailabilityZone], candidate{
			id:        member.ID,
			heldLevel: heldLevelOf(member, model.Name, version.Digest),
			score:     score(model.Name, member, assignedCount),
		})
	}
	for _, list := range candidatesByZone {
		slices.SortFunc(list, compareCandidates)
	}
	chosen := make([]string, 0, max(0, replicas))
	for len(chosen) < replicas {
		zone, ok := nextZone(candidatesByZone, replicasByZone)
		if !ok {
			break
		}
		chosen = append(chosen, candidatesByZone[zone][0].id)
		candidatesByZone[zone] = candidatesByZone[zone][1:]
		replicasByZone[zone]++
	}
	return chosen
}

// nextZone returns the availability zone that gets the next replica: the one with the
// fewest replicas, and among several of these the one with the best candidate. It returns
// false if no zone has a candidate. The lists of candidates are sorted, the best first.
func nextZone(candidatesByZone map[string][]candidate, replicasByZone map[string]int) (string, bool) {
	best, found := "", false
	for zone, list := range candidatesByZone {
		if len(list) == 0 {
			continue
		}
		if found {
			order := cmp.Or(
				cmp.Compare(replicasByZone[zone], replicasByZone[best]),
				compareCandidates(list[0], candidatesByZone[best][0]),
			)
			if order > 0 {
				continue
			}
		}
		best, found = zone, true
	}
	return best, found
}

// isEligible reports whether the member is an agent that may hold the model, by the rules
// that are described at Place.
func isEligible(member fuchsiarouter.Member, model string) bool {
	return member.Kind == fuchsiarouter.KindAgent &&
		member.State == fuchsiarouter.StateLive &&
		member.Service == "" &&
		member.Role == "" &&
		(member.Model == "" || member.Model == model)
}

// The levels of how much a member holds of a model, in the order in which members are
// preferred, the least preferred first.
const (
	// holdsNothing means that the member holds no version of the model, or only failed
	// ones.
	holdsNothing = iota
	// holdsFetching means that the member fetches the wanted version, or holds another
	// version that isn't ready.
	holdsFetching
	// holdsOtherVersion means that another version is ready.
	holdsOtherVersion
	// holdsVerified means that the wanted version is verified but not loaded yet.
	holdsVerified
	// holdsReady means that the wanted version is ready.
	holdsReady
)

// heldLevelOf returns how much a member holds of a model whose wanted version has the
// digest. Adapters don't count. A failed version counts as nothing but doesn't exclude the
// member; otherwise a version that always fails would be moved from agent to agent through
// the whole fleet.
func heldLevelOf(member fuchsiarouter.Member, model, digest string) int {
	level := holdsNothing
	for _, version := range member.Versions {
		if _, adapter := fuchsiarouter.SplitIdentity(version.Digest); adapter != "" {
			continue
		}
		if version.Model != model || version.State == fuchsiarouter.VersionFailed {
			continue
		}
		switch {
		case version.Digest != digest && version.State == fuchsiarouter.VersionReady:
			level = max(level, holdsOtherVersion)
		case version.Digest != digest:
			level = max(level, holdsFetching)
		case version.State == fuchsiarouter.VersionReady:
			level = max(level, holdsReady)
		case version.State == fuchsiarouter.VersionVerified:
			level = max(level, holdsVerified)
		default:
			level = max(level, holdsFetching)
		}
	}
	return level
}

// score returns the weighted rendezvous score of a member for a model; the member with the
// highest score is the best. The weight is the engine's number of slots, the requests that
// it runs concurrently, divided by one more than the number of models assigned to the member
// so far.
func score(model string, member fuchsiarouter.Member, assignedCount int) float64 {
	weight := float64(max(1, member.Load.Slots)) / float64(1+assignedCount)
	hash := xxhash.Sum64String(model + "\x00" + member.ID)
	// The upper 53 bits give a uniformly distributed number in (0, 1).
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}
