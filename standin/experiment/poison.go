package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/standin/serving"
)

const (
	// poisonStart is the time from the start of the simulation until the crashing
	// request is sent for the first time, to which up to a second is added at
	// random.
	poisonStart = 20 * time.Second
	// poisonInterval is the time between two sends of the crashing request.
	poisonInterval = 250 * time.Millisecond
)

// Poison measures in a simulated fleet how many servers are lost to a request that
// crashes each server that runs it: only the engine or, in a second run, the whole
// VM with its agent. The request is sent to all entries at once and again every
// quarter of a second, next to normal load. The quarantine, which isolates and
// then refuses such requests, does not use the log, so the figures are the same
// with the log up or down. The baselines run without the quarantine.
func Poison(seed uint64, report func(Figure)) error {
	for _, crashAgents := range []bool{false, true} {
		name := "engine-crashes"
		if crashAgents {
			name = "vm-crashes"
		}
		settings := servingSettings()
		settings.CrashAgentWithEngine = crashAgents
		outcome := runPoison(settings, seed)
		report(AtMost(name+"-servers-lost", float64(outcome.serversLost), "servers", 2))
		report(AtLeast(name+"-innocent-served", outcome.affectedServed, "part", 1))
		report(Unbounded(name+"-innocent-in-lost-batches", float64(outcome.affected), "requests"))
		report(AtLeast(name+"-usual-served", outcome.othersServed, "part", 0.99))
		report(Unbounded(name+"-innocent-longest", outcome.longestAffected.Seconds(), "s"))
		report(Unbounded(name+"-until-refused-everywhere", outcome.untilRefused.Seconds(), "s"))
		for _, baseline := range baselineQueues {
			baselineSettings := withBaselineQueue(settings, baseline.roundRobin)
			baselineSettings.DisableQuarantine = true
			outcome = runPoison(baselineSettings, seed)
			report(Unbounded(fmt.Sprintf("%s-%s-servers-lost", baseline.name, name), float64(outcome.serversLost), "servers"))
			report(Unbounded(fmt.Sprintf("%s-%s-usual-served", baseline.name, name), outcome.othersServed, "part"))
		}
	}
	return nil
}

// poisonOutcome is the outcome of a run with a crashing request. Innocent requests
// are all but the crashing ones.
type poisonOutcome struct {
	// serversLost counts the crashes of servers.
	serversLost int
	// affected counts the innocent requests that held a slot of a server when it
	// crashed; affectedServed is the fraction of them that was served in the end,
	// or 1 if there are none. othersServed is the fraction of all innocent requests
	// that was served.
	affected       int
	affectedServed float64
	othersServed   float64
	// longestAffected is the longest time from arrival to completion of an
	// affected request that was served.
	longestAffected time.Duration
	// untilRefused is the time from the first send of the crashing request until
	// the end of the last send that a server ran.
	untilRefused time.Duration
}

// runPoison runs normal load and the crashing requests on a simulated fleet.
func runPoison(settings serving.Settings, seed uint64) poisonOutcome {
	demandByRank := map[document.RankName]float64{document.Urgent: 0.2, document.Normal: 0.3, document.Overnight: 0.2}
	var others, crashing []*serving.Request
	for _, stream := range rankStreams(settings, demandByRank, 0, floodDuration/2) {
		stream.Patience = 0
		others = append(others, stream.Generate(seed, settings.Entries)...)
	}
	random := rand.New(rand.NewPCG(seed, 3))
	shift := time.Duration(random.Int64N(int64(time.Second)))
	for at := poisonStart + shift; at < floodDuration/2; at += poisonInterval {
		for entry := range settings.Entries {
			crashing = append(crashing, &serving.Request{
				ID: fmt.Sprintf("poison-%d-%d", at, entry), Workspace: "normal", Weight: 1, Rank: document.Normal,
				Fingerprint: fmt.Sprintf("poison/%d", seed), Prompt: 100, Output: 100, EstimatedOutput: 100, CrashesServer: true,
				Arrival: serving.StartTime().Add(at), Entry: entry,
			})
		}
	}
	fleet := serving.NewFleet(settings, rand.New(rand.NewPCG(seed, 1)))
	fleet.RunRequests(append(append([]*serving.Request{}, others...), crashing...), floodDuration)
	outcome := poisonOutcome{}
	for _, server := range fleet.Servers {
		outcome.serversLost += server.Crashes
	}
	served, affectedServed := 0, 0
	for _, r := range others {
		if r.IsServed() {
			served++
		}
		if r.CrashCount > 0 {
			outcome.affected++
			if r.IsServed() {
				affectedServed++
				outcome.longestAffected = max(outcome.longestAffected, r.Latency())
			}
		}
	}
	for _, r := range crashing {
		if r.Starts > 0 && r.Ended.Sub(crashing[0].Arrival) > outcome.untilRefused {
			outcome.untilRefused = r.Ended.Sub(crashing[0].Arrival)
		}
	}
	outcome.othersServed = float64(served) / float64(len(others))
	outcome.affectedServed = float64(affectedServed) / max(float64(outcome.affected), 1)
	if outcome.affected == 0 {
		outcome.affectedServed = 1
	}
	return outcome
}
