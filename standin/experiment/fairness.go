package experiment

import (
	"fmt"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/standin/serving"
)

const (
	fairnessWorkspaces = 20
	// greedyDemandFactor is the demand of the greedy workspace as a multiple of
	// its share. The share of a workspace is the part of the capacity of the fleet
	// that corresponds to its weight.
	greedyDemandFactor = 50
	// othersDemandFactor is the demand of each other workspace as a multiple of
	// its share.
	othersDemandFactor = 0.5
)

// Fairness measures in simulated fleets how one greedy workspace that demands 50
// times its share of the capacity affects the latency of the others, compared with
// a run without it. The greedy workspace is measured with rate limits at the
// entries, without them, and with the baseline queues. Further runs, in which all
// workspaces demand more than their shares, measure how the capacity is divided.
func Fairness(seed uint64, report func(Figure)) error {
	settings := servingSettings()
	streams := fairnessStreams(settings, othersDemandFactor)
	_, byStream := runStreams(settings, streams[1:], seed, floodDuration)
	withoutGreedy := othersLatency(byStream)
	report(Unbounded("others-first-token-alone-p95", withoutGreedy.firstToken, "s"))
	report(Unbounded("others-end-alone-p95", withoutGreedy.completion, "s"))

	limited := settings
	limited.Workspaces = fairnessLimits(settings, streams)
	_, byStream = runStreams(limited, streams, seed, floodDuration)
	withGreedy := othersLatency(byStream)
	report(AtMost("others-first-token-ratio", finiteOrMinusOne(withGreedy.firstToken/withoutGreedy.firstToken), "ratio", 1.2))
	report(AtMost("others-end-ratio", finiteOrMinusOne(withGreedy.completion/withoutGreedy.completion), "ratio", 1.2))

	_, byStream = runStreams(settings, streams, seed, floodDuration)
	withGreedy = othersLatency(byStream)
	report(Unbounded("unlimited-others-first-token-ratio", finiteOrMinusOne(withGreedy.firstToken/withoutGreedy.firstToken), "ratio"))
	report(Unbounded("unlimited-others-end-ratio", finiteOrMinusOne(withGreedy.completion/withoutGreedy.completion), "ratio"))

	for _, baseline := range baselineQueues {
		_, byStream = runStreams(withBaselineQueue(settings, baseline.roundRobin), streams, seed, floodDuration)
		withGreedy = othersLatency(byStream)
		report(Unbounded(baseline.name+"-others-first-token-ratio", finiteOrMinusOne(withGreedy.firstToken/withoutGreedy.firstToken), "ratio"))
		report(Unbounded(baseline.name+"-others-end-ratio", finiteOrMinusOne(withGreedy.completion/withoutGreedy.completion), "ratio"))
	}

	all := fairnessStreams(settings, 2)
	_, byStream = runStreams(settings, all, seed, floodDuration)
	report(AtLeast("jain-of-weighted-shares", jainIndexOfShares(settings, all, byStream), "index", 0.98))
	for _, baseline := range baselineQueues {
		_, byStream = runStreams(withBaselineQueue(settings, baseline.roundRobin), all, seed, floodDuration)
		report(Unbounded(baseline.name+"-jain-of-weighted-shares", jainIndexOfShares(settings, all, byStream), "index"))
	}
	return nil
}

// fairnessStreams returns a request stream for each workspace, the greedy one
// first. Each of the others demands the given multiple of its share. The
// workspaces differ in weight, in request length and in the number of entries that
// their callers use.
func fairnessStreams(settings serving.Settings, demandFactor float64) []serving.RequestStream {
	total := 0.0
	streams := make([]serving.RequestStream, fairnessWorkspaces)
	for index := range streams {
		name := fmt.Sprintf("workspace-%d", index)
		streams[index] = serving.RequestStream{
			Name: name, Workspace: name, Rank: document.Normal, Weight: float64(1 + index%3), Until: floodDuration,
			Prompt: 400 + 100*(index%5), Output: 60 + 30*(index%4), Patience: 30 * time.Second, Entries: index % 7,
		}
		total += streams[index].Weight
	}
	for index := range streams {
		factor := demandFactor
		if index == 0 {
			factor = greedyDemandFactor
		}
		share := settings.Capacity() * streams[index].Weight / total
		streams[index].PerSecond = factor * share / streams[index].MeanWork(settings.TokenTimes)
	}
	return streams
}

// fairnessLimits returns a rate limit for each workspace, by name: twice its share
// of the capacity, in tokens a second.
func fairnessLimits(settings serving.Settings, streams []serving.RequestStream) map[string]document.Workspace {
	limits := map[string]document.Workspace{}
	total := 0.0
	for _, stream := range streams {
		total += stream.Weight
	}
	for _, stream := range streams {
		limits[stream.Workspace] = document.Workspace{
			Name: stream.Workspace, Weight: stream.Weight,
			TokensPerSecond: 2 * settings.Capacity() * stream.Weight / total,
		}
	}
	return limits
}

// tailLatency holds the 95th percentiles of the times to the first token and to
// completion, in seconds.
type tailLatency struct{ firstToken, completion float64 }

// othersLatency returns the tail latency of the requests of all workspaces but the
// greedy one. byStream holds the requests by the name of the workspace.
func othersLatency(byStream map[string][]*serving.Request) tailLatency {
	var all []*serving.Request
	for index := 1; index < fairnessWorkspaces; index++ {
		all = append(all, byStream[fmt.Sprintf("workspace-%d", index)]...)
	}
	return tailLatency{
		firstToken: serving.Percentile(serving.TimesToFirstToken(all), 0.95),
		completion: serving.Percentile(completionTimes(all), 0.95),
	}
}

// completionTimes returns the times to completion of the served requests, in
// seconds.
func completionTimes(requests []*serving.Request) []float64 {
	var values []float64
	for _, r := range requests {
		if r.IsServed() {
			values = append(values, r.Latency().Seconds())
		}
	}
	return values
}

// jainIndexOfShares returns Jain's fairness index of the work that each workspace
// got served, divided by its weight: 1 if the capacity was divided by weight.
func jainIndexOfShares(settings serving.Settings, streams []serving.RequestStream, byStream map[string][]*serving.Request) float64 {
	var values []float64
	for _, stream := range streams {
		work := 0.0
		for _, r := range byStream[stream.Name] {
			if r.IsServed() {
				work += r.Work(settings.TokenTimes)
			}
		}
		values = append(values, work/stream.Weight)
	}
	return serving.JainIndex(values)
}
