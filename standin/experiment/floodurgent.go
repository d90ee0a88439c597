package experiment

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/standin/serving"
)

// floodDuration is the virtual time for which requests are offered to a simulated
// fleet and measured.
const floodDuration = 120 * time.Second

// FloodUrgent offers a simulated fleet work of ten times its capacity, nearly all
// of it urgent. It measures which part of the capacity the other ranks get,
// compared with their floors, and the goodput, compared with that of a run whose
// demand equals the capacity.
func FloodUrgent(seed uint64, report func(Figure)) error {
	settings := servingSettings()
	atCapacity := map[document.RankName]float64{document.Urgent: 0.4, document.Normal: 0.35, document.Overnight: 0.25}
	flooded := map[document.RankName]float64{document.Urgent: 9.4, document.Normal: 0.35, document.Overnight: 0.25}
	measure := func(settings serving.Settings, demandByRank map[document.RankName]float64) (map[document.RankName]float64, float64) {
		fleet, byStream := runStreams(settings, rankStreams(settings, demandByRank, 0, floodDuration), seed, floodDuration)
		return slotTimeShares(fleet), goodput(settings, byStream)
	}
	_, capacityGoodput := measure(settings, atCapacity)
	slotShares, floodGoodput := measure(settings, flooded)
	for _, rank := range settings.Ranks[1:] {
		report(AtLeast(string(rank.Name)+"-part-of-floor", slotShares[rank.Name]/rank.Floor, "ratio", 0.9))
	}
	report(Unbounded("urgent-part-of-capacity", slotShares[document.Urgent], "ratio"))
	report(Unbounded("goodput-at-capacity", capacityGoodput/settings.Capacity(), "of capacity"))
	report(AtLeast("goodput-ratio", floodGoodput/capacityGoodput, "ratio", 0.95))
	for _, baseline := range baselineQueues {
		baselineSettings := withBaselineQueue(settings, baseline.roundRobin)
		_, capacityGoodput := measure(baselineSettings, atCapacity)
		slotShares, floodGoodput := measure(baselineSettings, flooded)
		for _, rank := range settings.Ranks[1:] {
			report(Unbounded(baseline.name+"-"+string(rank.Name)+"-part-of-floor", slotShares[rank.Name]/rank.Floor, "ratio"))
		}
		report(Unbounded(baseline.name+"-goodput-ratio", floodGoodput/capacityGoodput, "ratio"))
	}
	return nil
}

// baselineQueue is one of the simple queues of a server with which the rank queues
// are compared; see withBaselineQueue. Its name is a part of the figure names.
type baselineQueue struct {
	name       string
	roundRobin bool
}

// baselineQueues are the queues of all baselines in simulated fleets.
var baselineQueues = []baselineQueue{{"first-come", false}, {"round-robin", true}}

// slotTimeShares returns the fraction of the time of all slots of the fleet, over
// floodDuration, in which a slot held a request of each rank.
func slotTimeShares(fleet *serving.Fleet) map[document.RankName]float64 {
	total := floodDuration.Seconds() * float64(fleet.Settings.Servers*fleet.Slots)
	shares := map[document.RankName]float64{}
	for _, server := range fleet.Servers {
		for _, rank := range document.RankNames() {
			shares[rank] += server.BusyTime(rank).Seconds() / total
		}
	}
	return shares
}

// goodput returns the work a second, over floodDuration, of the requests that were
// served within their Patience. Work is in decode times of one token, as in
// serving.Settings.Capacity.
func goodput(settings serving.Settings, byStream map[string][]*serving.Request) float64 {
	work := 0.0
	for _, requests := range byStream {
		for _, r := range requests {
			if r.IsServed() && (r.Patience == 0 || r.Latency() <= r.Patience) {
				work += r.Work(settings.TokenTimes)
			}
		}
	}
	return work / floodDuration.Seconds()
}
