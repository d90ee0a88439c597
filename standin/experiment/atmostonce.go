package experiment

import (
	"slices"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/ledger"
)

// Parameters of the at-most-once experiment. Rates are in calls a second,
// durations in virtual time.
const (
	// Durations and rate of the calls in the runs with faults.
	claimFaultDuration    = 240 * time.Second
	claimFaultRate        = 500
	claimBaselineDuration = 60 * time.Second
	// The log is down for claimOutageSettleTime without calls and then for
	// claimOutageDuration, in which calls arrive until claimAnswerTimeLimit before
	// the end.
	claimOutageDuration = 30 * time.Second
	claimOutageRate     = 300
	// Each run that compares claims with and without batching offers calls for
	// claimBurstDuration at one of the two rates.
	claimBurstDuration = 5 * time.Second
	claimSteadyRate    = 100
	claimBurstRate     = 3000
	// claimAnswerTimeLimit is the time within which a call must be answered to
	// count as served.
	claimAnswerTimeLimit  = 3 * time.Second
	claimOutageSettleTime = 5 * time.Second
)

// AtMostOnce measures whether calls that must not run twice run at most once, and
// whether the answers about them are true. Such a call carries an idempotency key,
// and an entry claims the key before it dispatches the call. The simulated entries
// run the real code of package ledger under virtual time. Entries are killed,
// frozen and cut off from the log; the log goes down, is slow, loses answers,
// applies appends late or twice, and drops expired records.
func AtMostOnce(seed uint64, report func(Figure)) error {
	var runs []func()
	for _, scenario := range []func(uint64, func(Figure)){
		reportLoggedClaims, reportClaimBaseline, reportIssuedKeys, reportClaimOutages, reportClaimBursts,
	} {
		runs = append(runs, func() { scenario(seed, report) })
	}
	runInVirtualTime(runs...)
	return nil
}

// offerCalls starts callers, each with one call, at a fixed rate (calls a second)
// for the duration and returns them. Callers may still be running when it returns.
func (f *claimFleet) offerCalls(rate int, duration time.Duration) []*claimCaller {
	var callers []*claimCaller
	begin := time.Now()
	for number := range rate * int(duration/time.Second) {
		at := begin.Add(time.Duration(number) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(at))
		caller := newClaimCaller(f, uint64(number))
		callers = append(callers, caller)
		f.running.Go(func() {
			caller.run()
			caller.repeat()
		})
	}
	return callers
}

// runWithFaults offers calls for the duration while faults are injected, and
// returns the fleet and the callers after all of them have ended.
func runWithFaults(mode claimMode, seed uint64, duration time.Duration) (*claimFleet, []*claimCaller) {
	fleet := newClaimFleet(mode, ledger.DefaultMaxBatch, seed)
	fleet.running.Go(func() { fleet.injectFaults(duration) })
	callers := fleet.offerCalls(claimFaultRate, duration)
	fleet.close()
	return fleet, callers
}

// answeredShares returns the fraction of callers that were answered, of all
// callers and of those that were not affected by a fault, and the number of the
// latter.
func (f *claimFleet) answeredShares(callers []*claimCaller) (all, unaffected float64, unaffectedCount int) {
	answered, unaffectedAnswered := 0, 0
	for _, caller := range callers {
		isAffected := f.overlapsFault(caller.triedEntries, caller.startedAt, caller.startedAt.Add(caller.duration))
		if !isAffected {
			unaffectedCount++
		}
		if caller.answered {
			answered++
			if !isAffected {
				unaffectedAnswered++
			}
		}
	}
	return float64(answered) / float64(len(callers)), float64(unaffectedAnswered) / float64(max(1, unaffectedCount)), unaffectedCount
}

// reportLoggedClaims measures, under faults, how often calls run twice and whether
// their answers are true when callers create the keys and entries claim them in
// the log.
func reportLoggedClaims(seed uint64, report func(Figure)) {
	fleet, callers := runWithFaults(modeLoggedClaims, seed, claimFaultDuration)
	all, unaffected, unaffectedCount := fleet.answeredShares(callers)
	report(AtLeast("at-most-once/calls", float64(len(callers)), "calls", 100_000))
	report(AtMost("at-most-once/double-runs", float64(fleet.service.doubleRuns), "runs", 0))
	report(AtMost("at-most-once/false-did-not-run", float64(fleet.service.falseNotRun), "answers", 0))
	report(AtMost("at-most-once/swapped-answers", float64(fleet.service.swappedAnswers), "answers", 0))
	report(AtLeast("at-most-once/answered-without-fault", unaffected, "share", 0.99))
	report(Unbounded("at-most-once/calls-without-fault", float64(unaffectedCount), "calls"))
	report(Unbounded("at-most-once/answered", all, "share"))
	report(Unbounded("at-most-once/may-have-run", unknownOutcomeShare(callers), "share"))
	report(AtMost("at-most-once/runs-after-did-not-run", float64(fleet.service.runsAfterNotRun), "runs", 0))
	report(Unbounded("at-most-once/faults", float64(len(fleet.faultWindows)), "faults"))
}

// reportClaimBaseline measures, under the faults of reportLoggedClaims, how often
// calls run twice when entries dispatch every retry.
func reportClaimBaseline(seed uint64, report func(Figure)) {
	fleet, callers := runWithFaults(modeUnprotected, seed, claimBaselineDuration)
	report(Unbounded("at-most-once/baseline-plain-retry/calls", float64(len(callers)), "calls"))
	report(Unbounded("at-most-once/baseline-plain-retry/double-runs", float64(fleet.service.doubleRuns), "runs"))
}

// reportIssuedKeys measures the same as reportLoggedClaims, under the same faults,
// when entries issue the keys and decide their claims from memory.
func reportIssuedKeys(seed uint64, report func(Figure)) {
	fleet, callers := runWithFaults(modeIssuedKeys, seed, claimFaultDuration)
	all, unaffected, _ := fleet.answeredShares(callers)
	report(AtMost("at-most-once/issued/double-runs", float64(fleet.service.doubleRuns), "runs", 0))
	report(AtMost("at-most-once/issued/false-did-not-run", float64(fleet.service.falseNotRun), "answers", 0))
	report(AtMost("at-most-once/issued/swapped-answers", float64(fleet.service.swappedAnswers), "answers", 0))
	report(AtLeast("at-most-once/issued/answered-without-fault", unaffected, "share", 0.99))
	report(Unbounded("at-most-once/issued/answered", all, "share"))
	report(Unbounded("at-most-once/issued/may-have-run", unknownOutcomeShare(callers), "share"))
}

// reportClaimOutages compares the fraction of calls that are answered within
// claimAnswerTimeLimit while the log is down, with claims in the log and with
// issued keys.
func reportClaimOutages(seed uint64, report func(Figure)) {
	for _, variant := range []struct {
		name string
		mode claimMode
	}{{"claims", modeLoggedClaims}, {"issued", modeIssuedKeys}} {
		fleet := newClaimFleet(variant.mode, ledger.DefaultMaxBatch, seed)
		fleet.running.Go(func() { fleet.runLogOutage(claimOutageDuration + claimOutageSettleTime) })
		time.Sleep(claimOutageSettleTime)
		callers := fleet.offerCalls(claimOutageRate, claimOutageDuration-claimAnswerTimeLimit)
		fleet.close()
		served := 0
		for _, caller := range callers {
			if caller.answered && caller.duration <= claimAnswerTimeLimit {
				served++
			}
		}
		report(Unbounded("at-most-once/outage/"+variant.name+"/served", float64(served)/float64(len(callers)), "share"))
		report(AtMost("at-most-once/outage/"+variant.name+"/double-runs", float64(fleet.service.doubleRuns), "runs", 0))
	}
}

// reportClaimBursts measures, at a steady rate and in a burst, the append rate of
// claims in the log and the latency of the calls that are answered within
// claimAnswerTimeLimit. The burst runs with and without batching of claims. The
// baseline dispatches calls without claims.
func reportClaimBursts(seed uint64, report func(Figure)) {
	for _, variant := range []struct {
		name     string
		mode     claimMode
		maxBatch int
		rate     int
	}{
		{"steady/batched", modeLoggedClaims, ledger.DefaultMaxBatch, claimSteadyRate},
		{"steady/plain", modeUnprotected, 1, claimSteadyRate},
		{"burst/batched", modeLoggedClaims, ledger.DefaultMaxBatch, claimBurstRate},
		{"burst/single", modeLoggedClaims, 1, claimBurstRate},
		{"burst/plain", modeUnprotected, 1, claimBurstRate},
	} {
		fleet := newClaimFleet(variant.mode, variant.maxBatch, seed)
		callers := fleet.offerCalls(variant.rate, claimBurstDuration)
		appends := fleet.log.appends
		fleet.close()
		var times []time.Duration
		for _, caller := range callers {
			if caller.answered && caller.duration <= claimAnswerTimeLimit {
				times = append(times, caller.duration)
			}
		}
		slices.Sort(times)
		name := "at-most-once/" + variant.name
		report(Unbounded(name+"/answered-in-time", float64(len(times))/float64(len(callers)), "share"))
		report(Unbounded(name+"/appends", float64(appends)/claimBurstDuration.Seconds(), "1/s"))
		if len(times) > 0 {
			report(Unbounded(name+"/median", milliseconds(times[len(times)/2]), "ms"))
			report(Unbounded(name+"/95-in-100", milliseconds(times[len(times)*95/100]), "ms"))
		}
	}
}

// unknownOutcomeShare returns the fraction of callers that were told that the
// call may have run.
func unknownOutcomeShare(callers []*claimCaller) float64 {
	unknown := 0
	for _, caller := range callers {
		if caller.outcomeUnknown {
			unknown++
		}
	}
	return float64(unknown) / float64(len(callers))
}

// milliseconds returns a duration in milliseconds.
func milliseconds(span time.Duration) float64 { return float64(span.Microseconds()) / 1000 }
