package routing

import (
	"math"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/document"
)

const (
	// minSamples is the number of requests to a server, each of which succeeded or
	// failed, before its failure rate or its token interval can eject it.
	minSamples = 8
	// maxFailureRate is the fraction of failed requests above which a server is
	// ejected.
	maxFailureRate = 0.5
	// maxConsecutiveFailures is the number of failures in a row that ejects a server
	// regardless of minSamples. In a large fleet an entry sends each server less
	// than one request per second, so a higher limit would take many seconds to
	// reach.
	maxConsecutiveFailures = 3
	// healthSmoothing is the weight of a new sample in the moving averages of the
	// failure rate and the token interval.
	healthSmoothing = 0.2
	// maxEjectionDoublings limits how often the ejection time doubles when a server
	// is ejected repeatedly.
	maxEjectionDoublings = 3
	// minCapacityShare is the fraction of a server's slots that expectedLoad uses at the
	// beginning of slow start. expectedLoad also uses it as the lower limit of the success
	// rate.
	minCapacityShare = 0.25
	// preemptibleLoadWeight is the weight of preemptible requests, relative to others,
	// in the load that is compared to choose a server for a request that isn't
	// preemptible itself. It isn't 0, so that the comparison stays useful if a load
	// report doesn't distinguish the two kinds.
	preemptibleLoadWeight = 0.1
)

// loadKind distinguishes load by whether urgent requests can preempt it.
type loadKind int

const (
	// nonPreemptible requests are never preempted.
	nonPreemptible loadKind = iota
	// preemptible requests are those of the overnight rank.
	preemptible
	// loadKinds is the number of kinds.
	loadKinds
)

// loadKindOf returns the kind of load that a request of the rank is.
func loadKindOf(rank document.RankName) loadKind {
	if rank == document.Overnight {
		return preemptible
	}
	return nonPreemptible
}

// backend is the state that a Router keeps for one backend server.
type backend struct {
	id string
	// hash is the hash of id.
	hash        uint64
	incarnation int64
	// load is the last load report, reportedAt its time.
	load       fuchsiarouter.Load
	reportedAt time.Time
	// startedSinceReport is, for the time since the last load report, the number of
	// requests that this entry sent to the server minus the number of those that ended.
	// It can be negative. inProgress is the number of requests of this entry in
	// progress there. Both are by kind.
	startedSinceReport [loadKinds]int
	inProgress         [loadKinds]int
	// slowStartFrom is the time at which the last slow start began, or begins once the
	// ejection ends. It is zero if there was none.
	slowStartFrom time.Time
	// crashedAt is the time at which this entry observed the last crash, or zero if the
	// server is known to have been alive since.
	crashedAt time.Time
	// listedAt is the last time at which the membership view listed the server as
	// ready.
	listedAt time.Time
	// listed tells whether the membership view lists the server as ready. If not,
	// unlistedAt is the time at which this entry noticed it.
	listed     bool
	unlistedAt time.Time

	// samples is the number of requests that succeeded or failed, failureRate the moving
	// average of the fraction of them that failed. Like consecutiveFailures and
	// tokenInterval, they start anew when the server restarts or is ejected.
	samples             int
	failureRate         float64
	consecutiveFailures int
	// tokenInterval is the moving average of the time between the tokens of a response,
	// in seconds, or 0 if unknown.
	tokenInterval float64
	// medianTokenInterval is the median of the token intervals of the servers in the
	// group, in seconds, or 0 if unknown. If the server is in several groups, it is that
	// of the group that was updated last.
	medianTokenInterval float64
	ejectedUntil        time.Time
	ejectedAt           time.Time
	// ejections is the number of ejections that determines the duration of the next
	// one. It is reset after a long time without an ejection.
	ejections int
	// recovered is set by a successful request after the last ejection.
	recovered bool
}

// updateLoad stores a load report and resets startedSinceReport, unless the report is older
// than the last one.
func (b *backend) updateLoad(load fuchsiarouter.Load, at time.Time) {
	if at.Before(b.reportedAt) {
		return
	}
	b.load, b.reportedAt, b.startedSinceReport = load, at, [loadKinds]int{}
}

// markUnlisted records that the membership view no longer lists the server as
// ready. unlistedAt is the time at which this entry notices, not that of the last
// listing: when the process of an entry was paused, the last listing of every server is
// old, and the hold-down would seem to be over.
func (b *backend) markUnlisted(now time.Time) {
	if b.listed {
		b.listed, b.unlistedAt = false, now
	}
}

func (b *backend) isEjected(now time.Time) bool { return now.Before(b.ejectedUntil) }

// expectedLoad returns the expected number of requests per slot, running and queued, after
// one more request of the rank. The result is higher during slow start and for a server
// that fails requests, so that such a server is chosen less often. Unless the request is
// preemptible itself, preemptible requests count with preemptibleLoadWeight. groupMean is
// the mean number of requests per slot in the group, by kind, to which the estimate decays
// as the report of the server gets older.
func (b *backend) expectedLoad(now time.Time, settings *Settings, rank document.RankName, groupMean [loadKinds]float64) float64 {
	slots := float64(max(b.load.Slots, 1))
	reported := b.reportedLoad()
	reportWeight := 1.0
	if age := now.Sub(b.reportedAt); age > 0 {
		reportWeight = math.Exp2(-float64(age) / float64(settings.HalfLife))
	}
	requests := 1.0
	for kind := range loadKinds {
		expected := reported[kind]*reportWeight + groupMean[kind]*slots*(1-reportWeight) + float64(b.startedSinceReport[kind])
		expected = math.Max(expected, float64(b.inProgress[kind]))
		if kind == preemptible && loadKindOf(rank) == nonPreemptible {
			expected *= preemptibleLoadWeight
		}
		requests += expected
	}
	// A server that fails requests immediately looks idle. Its failure rate increases
	// the result, so that the server doesn't attract requests until it is ejected.
	successRate := math.Max(1-b.failureRate, minCapacityShare)
	return requests / (slots * successRate * b.capacityShare(now, settings.SlowStart))
}

// reportedLoad returns the number of requests, running and queued, in the last load report,
// by kind.
func (b *backend) reportedLoad() [loadKinds]float64 {
	return [loadKinds]float64{
		nonPreemptible: float64(b.load.NonPreemptible),
		preemptible:    float64(b.load.Running + b.load.Queued - b.load.NonPreemptible),
	}
}

// capacityShare returns the fraction of the server's slots that expectedLoad uses: it grows
// from minCapacityShare to 1 during slow start, and is 1 otherwise.
func (b *backend) capacityShare(now time.Time, slowStart time.Duration) float64 {
	if b.slowStartFrom.IsZero() {
		return 1
	}
	share := float64(now.Sub(b.slowStartFrom)) / float64(slowStart)
	return math.Min(math.Max(share, minCapacityShare), 1)
}

// recordOutcome updates the failure rate, the failures in a row and the token interval of the
// server with the outcome of a request, which is Succeeded or Failed. A success also ends
// probation, see onProbation. A token interval of 0 is unknown.
func (b *backend) recordOutcome(outcome Outcome, tokenInterval time.Duration) {
	failed := 0.0
	if outcome == Failed {
		failed = 1
		b.consecutiveFailures++
	} else {
		b.consecutiveFailures, b.recovered = 0, true
		if b.tokenInterval == 0 {
			b.tokenInterval = tokenInterval.Seconds()
		}
		if tokenInterval > 0 {
			b.tokenInterval += healthSmoothing * (tokenInterval.Seconds() - b.tokenInterval)
		}
	}
	b.failureRate += healthSmoothing * (failed - b.failureRate)
	b.samples++
}

// isUnhealthy reports whether the server fails too many requests or is too slow
// compared to the median of its group.
func (b *backend) isUnhealthy(settings *Settings) bool {
	if b.consecutiveFailures >= maxConsecutiveFailures || b.consecutiveFailures > 0 && b.onProbation() {
		return true
	}
	if b.samples < minSamples {
		return false
	}
	return b.failureRate > maxFailureRate || b.medianTokenInterval > 0 && b.tokenInterval > settings.SlowFactor*b.medianTokenInterval
}

// onProbation reports whether the server has been ejected and no request to it has
// succeeded since. A single failure then ejects it again.
func (b *backend) onProbation() bool { return b.ejections > 0 && !b.recovered }

// eject ejects the server. The ejection time doubles with each ejection, up to a limit. The
// time starts again from BaseEjectionTime if the last ejection ended longer ago than that
// limit. Slow start follows, and the failure rate and the token interval are measured anew.
func (b *backend) eject(now time.Time, settings *Settings) {
	if now.Sub(b.ejectedUntil) > settings.BaseEjectionTime<<maxEjectionDoublings {
		b.ejections = 0
	}
	b.ejectedAt = now
	b.ejectedUntil = now.Add(settings.BaseEjectionTime << min(b.ejections, maxEjectionDoublings))
	b.ejections++
	b.recovered = false
	b.slowStartFrom = b.ejectedUntil
	b.samples, b.failureRate, b.consecutiveFailures, b.tokenInterval = 0, 0, 0, 0
}
