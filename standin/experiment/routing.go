package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/standin/serving"
)

// Routing measures in simulated fleets how many dispatches retries add while a
// third of the servers fail. It also compares the choice of the router, which takes
// the better of two candidates that the request's fingerprint (a digest of its
// content) determines, with other ways to choose a server.
func Routing(seed uint64, report func(Figure)) error {
	reportRetries(seed, report)
	reportBalance(seed, report)
	reportAffinity(seed, report)
	return nil
}

// reportRetries measures the load amplification, that is, the number of dispatches
// to servers for each request, while a third of the servers answer each request
// with an error. The baselines retry without a budget.
func reportRetries(seed uint64, report func(Figure)) {
	settings := servingSettings()
	streams := rankStreams(settings, map[document.RankName]float64{document.Urgent: 0.2, document.Normal: 0.3}, 0, floodDuration)
	measure := func(settings serving.Settings) (amplification, served float64) {
		fleet := serving.NewFleet(settings, rand.New(rand.NewPCG(seed, 1)))
		for index := range settings.Servers / 3 {
			fleet.Servers[index].Failing = true
		}
		var all []*serving.Request
		for _, stream := range streams {
			all = append(all, stream.Generate(seed, settings.Entries)...)
		}
		fleet.RunRequests(all, floodDuration+30*time.Second)
		dispatches, servedCount := 0, 0
		for _, r := range all {
			dispatches += r.Dispatches
			if r.IsServed() {
				servedCount++
			}
		}
		return float64(dispatches) / float64(len(all)), float64(servedCount) / float64(len(all))
	}
	amplification, served := measure(settings)
	report(AtMost("load-amplification", amplification, "ratio", 1.1))
	report(Unbounded("served-with-a-third-failing", served, "part"))
	for _, baseline := range baselineQueues {
		baselineSettings := withBaselineQueue(settings, baseline.roundRobin)
		baselineSettings.DisableRetryBudget = true
		amplification, served = measure(baselineSettings)
		report(Unbounded(baseline.name+"-load-amplification", amplification, "ratio"))
		report(Unbounded(baseline.name+"-served-with-a-third-failing", served, "part"))
	}
}

// routingVariant is a way to choose a server. Its name is a part of the figure
// names; configure changes the settings of a fleet to this way.
type routingVariant struct {
	name      string
	configure func(*serving.Settings)
}

// routingVariants returns the ways to choose a server that are compared: between
// two candidates by fingerprint, by prompt prefix or at random, and round-robin.
// All of them keep the production queue of package rank, so that only the choice
// differs.
func routingVariants(seed uint64) []routingVariant {
	random := rand.New(rand.NewPCG(seed, 2))
	return []routingVariant{
		{"two-by-fingerprint", func(*serving.Settings) {}},
		{"two-by-prefix-and-fingerprint", func(s *serving.Settings) { s.RouteByPrefix = true }},
		{"two-free", func(s *serving.Settings) { s.Routing.RandomKey = random.Uint64 }},
		{"round-robin", func(s *serving.Settings) { s.RoundRobin = true }},
	}
}

// reportBalance compares how the variants balance the load: the times to the first
// token and the deviation of load between servers. One run has distinct requests;
// in the other a tenth of the requests have the same fingerprint.
func reportBalance(seed uint64, report func(Figure)) {
	for _, hot := range []bool{false, true} {
		suffix := ""
		if hot {
			suffix = "-with-a-hot-request"
		}
		for _, variant := range routingVariants(seed) {
			settings := servingSettings()
			variant.configure(&settings)
			stream := rankStreams(settings, map[document.RankName]float64{document.Normal: 0.75}, 0, floodDuration)[0]
			requests := stream.Generate(seed, settings.Entries)
			if hot {
				for index := 0; index < len(requests); index += 10 {
					requests[index].Fingerprint = "hot"
				}
			}
			fleet := serving.NewFleet(settings, rand.New(rand.NewPCG(seed, 1)))
			fleet.RunRequests(requests, floodDuration+30*time.Second)
			report(Unbounded(variant.name+suffix+"-first-token-p95", finiteOrMinusOne(serving.Percentile(serving.TimesToFirstToken(requests), 0.95)), "s"))
			report(Unbounded(variant.name+suffix+"-load-deviation", loadDeviation(fleet), "of mean"))
		}
	}
}

// reportAffinity compares how often the server that a variant chooses has the
// prefix of the prompt in its cache, and the time to the first token. A further
// variant chooses by cache events, by which servers tell the entries what they have
// cached and which reach the entries after two seconds.
func reportAffinity(seed uint64, report func(Figure)) {
	late := routingVariant{"by-late-cache-events", func(s *serving.Settings) {
		s.CacheEventDelay = 2 * time.Second
		s.Routing.RandomKey = rand.New(rand.NewPCG(seed, 2)).Uint64
	}}
	for _, variant := range append(routingVariants(seed), late) {
		settings := servingSettings()
		settings.PrefixCacheSize = 16
		variant.configure(&settings)
		stream := rankStreams(settings, map[document.RankName]float64{document.Normal: 0.6}, 0, floodDuration)[0]
		stream.Prefixes, stream.Prompt = 400, 2000
		requests := stream.Generate(seed, settings.Entries)
		fleet := serving.NewFleet(settings, rand.New(rand.NewPCG(seed, 1)))
		fleet.RunRequests(requests, floodDuration+30*time.Second)
		hits, misses := 0, 0
		for _, server := range fleet.Servers {
			hits += server.PrefixHits
			misses += server.PrefixMisses
		}
		report(Unbounded(variant.name+"-prefix-hits", float64(hits)/float64(hits+misses), "part"))
		report(Unbounded(variant.name+"-prefix-first-token-p95", finiteOrMinusOne(serving.Percentile(serving.TimesToFirstToken(requests), 0.95)), "s"))
	}
}

// loadDeviation returns the standard deviation of the slot time that requests used
// on each server, as a fraction of the mean.
func loadDeviation(fleet *serving.Fleet) float64 {
	sum, squares := 0.0, 0.0
	for _, server := range fleet.Servers {
		busy := 0.0
		for _, rank := range document.RankNames() {
			busy += server.BusyTime(rank).Seconds()
		}
		sum += busy
		squares += busy * busy
	}
	n := float64(len(fleet.Servers))
	mean := sum / n
	return math.Sqrt(math.Max(squares/n-mean*mean, 0)) / mean
}
