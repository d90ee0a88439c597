package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/standin/serving"
)

// servingSettings returns the settings of the simulated fleet of the overload,
// routing and crash experiments: 24 servers with 8 slots each behind 6 entries. A
// slot holds one request in progress. Requests have one of three ranks, the
// priority classes; the floor of a rank is its guaranteed share of each server.
func servingSettings() serving.Settings {
	return serving.Settings{
		Servers: 24, Slots: 8, Entries: 6, TokenTimes: serving.DefaultTokenTimes, QueueLimit: 64,
		Ranks: []document.Rank{
			{Name: document.Urgent, Floor: 0.2},
			{Name: document.Normal, Floor: 0.2},
			{Name: document.Overnight, Floor: 0.1, Preemptible: true},
		},
	}
}

// withBaselineQueue returns the settings with one baseline queue for each server
// instead of the queues of the ranks, of the same total size, and with servers
// chosen by round-robin. With roundRobin set the queue serves the workspaces in
// turn, otherwise first come, first served.
func withBaselineQueue(settings serving.Settings, roundRobin bool) serving.Settings {
	settings.RoundRobin = true
	settings.NewBaselineQueue = func() serving.Queue {
		return &serving.BaselineQueue{Slots: settings.Slots, Limit: 3 * settings.QueueLimit, RoundRobin: roundRobin}
	}
	return settings
}

// rankStreams returns one request stream for each rank in demandByRank, which
// holds the demand as a fraction of the capacity of the fleet. Requests arrive
// between from and until, counted from the start of the simulation.
func rankStreams(settings serving.Settings, demandByRank map[document.RankName]float64, from, until time.Duration) []serving.RequestStream {
	shapes := map[document.RankName]serving.RequestStream{
		document.Urgent:    {Prompt: 600, Output: 60, Patience: 20 * time.Second},
		document.Normal:    {Prompt: 800, Output: 150, Patience: 60 * time.Second},
		document.Overnight: {Prompt: 2000, Output: 300},
	}
	var streams []serving.RequestStream
	for _, name := range document.RankNames() {
		if demandByRank[name] == 0 {
			continue
		}
		stream := shapes[name]
		stream.Name, stream.Workspace, stream.Rank, stream.Weight = string(name), string(name), name, 1
		stream.From, stream.Until = from, until
		stream.PerSecond = demandByRank[name] * settings.Capacity() / stream.MeanWork(settings.TokenTimes)
		streams = append(streams, stream)
	}
	return streams
}

// runStreams runs the streams on a simulated fleet for the virtual time until, and
// returns the fleet and the requests by stream name.
func runStreams(settings serving.Settings, streams []serving.RequestStream, seed uint64, until time.Duration) (*serving.Fleet, map[string][]*serving.Request) {
	fleet := serving.NewFleet(settings, rand.New(rand.NewPCG(seed, 1)))
	byStream := map[string][]*serving.Request{}
	var all []*serving.Request
	for _, stream := range streams {
		byStream[stream.Name] = stream.Generate(seed, settings.Entries)
		all = append(all, byStream[stream.Name]...)
	}
	fleet.RunRequests(all, until)
	return fleet, byStream
}

// FloodOvernight offers a simulated fleet work of the rank "overnight" of ten times
// its capacity, and compares the latency of urgent requests with that in a fleet
// without other work.
func FloodOvernight(seed uint64, report func(Figure)) error {
	const arrivalDuration = 90 * time.Second
	settings := servingSettings()
	demandByRank := map[document.RankName]float64{document.Urgent: 0.25, document.Normal: 0.25, document.Overnight: 10}
	streams := rankStreams(settings, demandByRank, 0, arrivalDuration)
	urgentPercentiles := func(settings serving.Settings, streams []serving.RequestStream) (float64, float64) {
		_, byStream := runStreams(settings, streams, seed, arrivalDuration+30*time.Second)
		urgent := byStream[string(document.Urgent)]
		return serving.Percentile(serving.TimesToFirstToken(urgent), 0.95), serving.Percentile(meanTokenIntervals(urgent), 0.95)
	}
	urgentAloneP95, _ := urgentPercentiles(settings, streams[:1])
	flooded, tokenInterval := urgentPercentiles(settings, streams)
	report(Unbounded("urgent-first-token-unloaded-p95", urgentAloneP95, "s"))
	report(AtMost("urgent-first-token-p95", flooded, "s", 1.1))
	report(AtMost("urgent-first-token-ratio", flooded/urgentAloneP95, "ratio", 1.2))
	report(AtMost("urgent-between-tokens-p95", tokenInterval*1000, "ms", 34))
	for _, baseline := range baselineQueues {
		_, byStream := runStreams(withBaselineQueue(settings, baseline.roundRobin), streams, seed, arrivalDuration+30*time.Second)
		urgent := byStream[string(document.Urgent)]
		baselineP95 := serving.Percentile(serving.TimesToFirstToken(urgent), 0.95)
		report(Unbounded(baseline.name+"-urgent-first-token-p95", finiteOrMinusOne(baselineP95), "s"))
		report(Unbounded(baseline.name+"-urgent-first-token-ratio", finiteOrMinusOne(baselineP95/urgentAloneP95), "ratio"))
		report(Unbounded(baseline.name+"-urgent-without-token", shareWithoutToken(urgent), "part"))
	}
	return nil
}

// meanTokenIntervals returns, for each served request with more than one output
// token, the time from the first token to the end divided by the number of output
// tokens, in seconds.
func meanTokenIntervals(requests []*serving.Request) []float64 {
	var values []float64
	for _, r := range requests {
		if r.IsServed() && r.Output > 1 {
			values = append(values, r.Ended.Sub(r.FirstToken).Seconds()/float64(r.Output))
		}
	}
	return values
}

// shareWithoutToken returns the fraction of the requests whose callers received no
// token.
func shareWithoutToken(requests []*serving.Request) float64 {
	count := 0
	for _, r := range requests {
		if r.FirstToken.IsZero() {
			count++
		}
	}
	return float64(count) / float64(len(requests))
}

// finiteOrMinusOne returns the value, or -1 for infinity and NaN, which JSON cannot
// represent.
func finiteOrMinusOne(value float64) float64 {
	if math.IsInf(value, 0) || math.IsNaN(value) {
		return -1
	}
	return value
}
