package ingress

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/boottime"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/fairshare"
	"github.com/fuchsiarouter/fuchsiarouter/roster"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
)

// overloadLogPause is the time without overload after which the next one of a rank is logged again.
const overloadLogPause = 10 * time.Second

// fairShares is the state of the fair shares of workspaces beside that of the scheduler. Its fields are
// protected by Ingress.mu, except services and overloads, which only updateShareMetrics uses.
type fairShares struct {
	// configuration is the one that was applied last.
	configuration *catalog.Configuration
	// workspaces holds the name of each workspace of the configuration by its key, for each service
	// that is shared fairly. It is empty while none is.
	workspaces map[string]map[uint32]string
	// weightMalformed is set after the first malformed weight.
	weightMalformed bool
	// services holds the services that were shared fairly at the last update of the metrics.
	services map[string]bool
	// overloads holds the time at which a rank of a service was last found overloaded.
	overloads map[overloadedRank]time.Time
}

// overloadedRank is a rank of a service.
type overloadedRank struct {
	service string
	rank    int
}

// applyFairShares passes the workspaces and services of a configuration to the scheduler. The caller
// holds the lock.
func (i *Ingress) applyFairShares(configuration *catalog.Configuration) {
	if configuration == nil || configuration == i.fairShares.configuration {
		return
	}
	i.fairShares.configuration = configuration
	i.fairShares.workspaces = nil
	for _, workspace := range configuration.MalformedWeights() {
		if !i.fairShares.weightMalformed {
			i.fairShares.weightMalformed = true
			i.log.Warn("weight of a workspace out of range, the nearest value applies or 1; logged once", zap.String("workspace", workspace))
		}
	}
	var weights map[string]float64
	if configuration.HasWeights() {
		weights = configuration.Weights()
	}
	i.scheduler.SetFairShareSettings(schedule.FairShareSettings{
		Weights: weights, Services: configuration.Services, RouteRanks: configuration.RouteRanks(), Clock: boottime.Now,
	})
}

// applyShare sets the rank and the cost of a request to a service that is shared fairly.
func (i *Ingress) applyShare(r *request) {
	if !r.configuration.NeedsKey() {
		return
	}
	i.mu.Lock()
	isShared := i.scheduler.HasFairShares(r.service)
	i.mu.Unlock()
	if !isShared {
		return
	}
	r.rank = r.shareRank
	r.scheduling.Rank = r.rank
	if service := r.configuration.Services[r.service]; service != nil {
		r.scheduling.Work = fairshare.Cost(service.Engine, r.PromptTokens, r.MaxOutputTokens)
	}
}

// ownWork returns the work of the workspaces at this entry, nil if no service is shared fairly. The
// caller holds the lock.
func (i *Ingress) ownWork() []roster.WorkCounter {
	var counters []roster.WorkCounter
	now := boottime.Now()
	i.scheduler.EachFairShares(func(service string, shares *fairshare.Shares) {
		usages := shares.Report(now)
		if counters == nil {
			counters = make([]roster.WorkCounter, 0, len(usages))
		}
		for _, usage := range usages {
			counters = append(counters, roster.WorkCounter{
				Key: roster.WorkKey(service, usage.Workspace), Rank: usage.Rank, Served: workUnits(usage.Served),
				Sustained: workUnits(usage.Sustained), Refused: workUnits(usage.Refused), Queued: workUnits(usage.Queued),
			})
		}
	})
	return counters
}

// workUnits returns work in units of roster.WorkUnit.
func workUnits(work float64) uint32 {
	return uint32(min(math.Round(work/roster.WorkUnit), math.MaxUint32))
}

// applyWorkElsewhere passes the work of the workspaces at the other entries to the fair shares. Work of
// workspaces that this entry's configuration lacks is left out. The caller holds the lock.
func (i *Ingress) applyWorkElsewhere(now time.Time) {
	isShared := false
	i.scheduler.EachFairShares(func(string, *fairshare.Shares) { isShared = true })
	if !isShared {
		return
	}
	work, entries, bootNow := i.roster.WorkElsewhere(now), i.roster.LiveCount(now)+1, boottime.Now()
	i.scheduler.EachFairShares(func(service string, shares *fairshare.Shares) {
		if work == nil {
			shares.SetElsewhere(bootNow, nil, entries, bootNow)
			return
		}
		names := i.workspaceNames(service)
		usages := make([]fairshare.Usage, 0, len(work.Counters))
		for _, counter := range work.Counters {
			name, known := names[counter.Key]
			if !known {
				continue
			}
			usages = append(usages, fairshare.Usage{
				Workspace: name, Rank: counter.Rank, Served: float64(counter.Served) * roster.WorkUnit,
				Sustained: float64(counter.Sustained) * roster.WorkUnit, Refused: float64(counter.Refused) * roster.WorkUnit,
				Queued: float64(counter.Queued) * roster.WorkUnit,
			})
		}
		shares.SetElsewhere(bootNow, usages, entries, time.Duration(work.AgeInMilliseconds)*time.Millisecond)
	})
}

// workspaceNames returns the workspaces by the keys that they have in messages for a service, with the
// empty name for requests without a workspace. The caller holds the lock.
func (i *Ingress) workspaceNames(service string) map[uint32]string {
	if names := i.fairShares.workspaces[service]; names != nil {
		return names
	}
	weights := i.fairShares.configuration.Weights()
	names := make(map[uint32]string, len(weights)+1)
	names[roster.WorkKey(service, "")] = ""
	for name := range weights {
		names[roster.WorkKey(service, name)] = name
	}
	if i.fairShares.workspaces == nil {
		i.fairShares.workspaces = map[string]map[uint32]string{}
	}
	i.fairShares.workspaces[service] = names
	return names
}

// updateShareMetrics updates the metrics of the fair shares, and logs the services that were switched
// on or off and the ranks that have become overloaded.
func (i *Ingress) updateShareMetrics(now time.Time) {
	ranks, oldest, bootNow := 0, time.Duration(0), boottime.Now()
	var services map[string]bool
	var levels map[overloadedRank]float64
	i.mu.Lock()
	i.scheduler.EachFairShares(func(service string, shares *fairshare.Shares) {
		if services == nil {
			services = map[string]bool{}
		}
		services[service] = true
		oldest = max(oldest, shares.CountersAge(bootNow))
		for _, level := range shares.Levels(bootNow) {
			if levels == nil {
				levels = map[overloadedRank]float64{}
			}
			levels[overloadedRank{service, level.Rank}] = level.Level
			ranks++
		}
	})
	refused, held := i.scheduler.FairShareCounts()
	i.mu.Unlock()
	for service := range services {
		if !i.fairShares.services[service] {
			i.log.Info("fair shares on", zap.String("service", service))
		}
	}
	for service := range i.fairShares.services {
		if !services[service] {
			i.log.Info("fair shares off", zap.String("service", service))
		}
	}
	i.fairShares.services = services
	i.metrics.updateShares(len(services), ranks, oldest, refused, held)
	for id, level := range levels {
		if at, known := i.fairShares.overloads[id]; !known || now.Sub(at) > overloadLogPause {
			i.log.Info("fair shares apply", zap.String("service", id.service), zap.Int("rank", id.rank), zap.Float64("level", level))
		}
		if i.fairShares.overloads == nil {
			i.fairShares.overloads = map[overloadedRank]time.Time{}
		}
		i.fairShares.overloads[id] = now
	}
}
