package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/forecast"
	"github.com/fuchsiarouter/fuchsiarouter/placement"
)

// Parameters of the forecast experiment.
const (
	// forecastDays is the number of simulated days.
	forecastDays = 60
	// forecastFirstDay is the first simulated day, counted from the Unix epoch.
	forecastFirstDay = 20_000
	forecastModel    = "rounds"
	// The declared peak, in minutes from midnight. Without drift, demand needs
	// the replicas of the peak from forecastEdgeMargin minutes after its start
	// until forecastEdgeMargin minutes before its end.
	forecastPeakStart  = 18*60 + 30
	forecastPeakEnd    = 23 * 60
	forecastEdgeMargin = 15.0
	// Replicas during the peak and during the rest of the day.
	forecastPeakReplicas = 40
	forecastBaseReplicas = 8
	// forecastLeadMinutes is how many minutes before a peak placement adds its
	// replicas. They are present forecastLeadMinutes later, when they are loaded.
	forecastLeadMinutes = 10
	// forecastRiseThreshold is the fraction of the rise of demand, from
	// forecastBaseRequests to the top of the peak, at which demand begins to need
	// the replicas of the peak.
	forecastRiseThreshold = 0.3
	// Mean number of requests in a time slot of forecast.SlotLength outside the
	// peak and at its top.
	forecastBaseRequests = 150.0
	forecastPeakRequests = 900.0
	// forecastRampMinutes is the scale parameter of the logistic functions by
	// which demand rises and falls, in minutes.
	forecastRampMinutes = 8.0
	// forecastEdgeDeviation is the standard deviation, in minutes, of the random
	// part of the times at which the demand of a day rises and falls.
	forecastEdgeDeviation = 6.0
	// The demand records of a week are missing, from day forecastNoRecordsFrom to
	// the day before forecastNoRecordsUntil, and one day has a festival. Days are
	// counted from 0.
	forecastNoRecordsFrom  = 30
	forecastNoRecordsUntil = 37
	forecastFestivalDay    = 45
	// From this day on the forecast has seen every day of the week three times.
	forecastTrainedFromDay = 21
	// forecastEntries is the number of entries that count requests.
	forecastEntries = 6
	// forecastPartitionShare is the fraction of time slots in which one entry
	// does not see another, so that two entries may write the record of the slot.
	// forecastEntryLossShare is the fraction of time slots in which an entry is
	// lost with its counts.
	forecastPartitionShare = 0.05
	forecastEntryLossShare = 0.02
)

// Forecast measures on how many days the replicas of a peak of demand were present
// before demand needed them. Operators declare the times of the peak, and demand
// drifts away from them by up to three minutes a day. The experiment compares the
// forecast, which extends the declared peak, with the declared times alone, the
// baseline. A day counts as held when the replicas stayed until demand no longer
// needed them. The festival and the days without records count like any other day.
func Forecast(seed uint64, report func(Figure)) error {
	drifts := []struct {
		name    string
		minutes func(day int) float64
	}{
		{"earlier-1", func(day int) float64 { return -float64(day) }},
		{"earlier-2", func(day int) float64 { return -2 * float64(day) }},
		{"earlier-3", func(day int) float64 { return -3 * float64(day) }},
		{"later-1", func(day int) float64 { return float64(day) }},
		{"later-2", func(day int) float64 { return 2 * float64(day) }},
		{"later-3", func(day int) float64 { return 3 * float64(day) }},
		{"turning-2", func(day int) float64 { return -2 * (15 - math.Abs(math.Mod(float64(day), 30)-15)) }},
		{"none", func(int) float64 { return 0 }},
	}
	for number, drift := range drifts {
		//nolint:gosec // A simulation needs no secret source.
		random, faults := rand.New(rand.NewPCG(seed, uint64(number))), rand.New(rand.NewPCG(seed, uint64(100+number)))
		run, err := simulateDriftingPeak(random, faults, drift.minutes)
		if err != nil {
			return err
		}
		name := "forecast/" + drift.name
		report(AtLeast(name+"/present-within-limit", run.share(run.presentWithinLimit, run.startWithinLimit), "of days", 0.95))
		report(Unbounded(name+"/days-within-limit", float64(run.startWithinLimit), "days"))
		report(Unbounded(name+"/present", run.share(run.present, forecastDays), "of days"))
		report(Unbounded(name+"/declared-present", run.share(run.declaredPresent, forecastDays), "of days"))
		report(AtLeast(name+"/held-within-limit", run.share(run.heldWithinLimit, run.endWithinLimit), "of days", 0.95))
		report(Unbounded(name+"/held", run.share(run.held, forecastDays), "of days"))
		report(Unbounded(name+"/declared-held", run.share(run.declaredHeld, forecastDays), "of days"))
		report(Unbounded(name+"/declared-replica-hours", run.declaredHours/forecastDays, "a day"))
		report(Unbounded(name+"/added-replica-hours", run.addedHours/forecastDays, "a day"))
		report(Unbounded(name+"/added-replica-hours-from-day-21", run.addedHoursAfterTraining/(forecastDays-forecastTrainedFromDay), "a day"))
		report(AtMost(name+"/days-below-declaration", float64(run.daysBelowDeclaration), "days", 0))
		report(AtMost(name+"/appends", run.appends/(forecastDays*24*60*60), "1/s", 0.01))
	}
	return nil
}

// forecastCounts sums up the days and replica hours of one run. present counts the
// days on which the replicas of the peak were loaded before demand needed them, held
// those on which they stayed until demand no longer needed them. Fields that start
// with declared are those of the declared times without a forecast; the added hours
// are those that the forecast adds to them. daysBelowDeclaration counts the days on
// which the forecast ever gave fewer replicas than declared. appends counts the
// records and the snapshots that the entries append to the log.
// startWithinLimit and presentWithinLimit count only days on which demand
// starts at most forecast.MaxShift before the declared start, endWithinLimit
// and heldWithinLimit only days on which it ends at most that long after the
// declared end, because a forecast does not shift a peak further.
type forecastCounts struct {
	startWithinLimit, presentWithinLimit, present, declaredPresent int
	endWithinLimit, heldWithinLimit, held, declaredHeld            int
	declaredHours, addedHours, addedHoursAfterTraining             float64
	daysBelowDeclaration                                           int
	appends                                                        float64
}

// share returns count as a fraction of total, or 0 when both are 0.
func (r *forecastCounts) share(count, total int) float64 {
	return float64(count) / float64(max(1, total))
}

// demandInterval is the time of a day from begin to end in which demand needs the
// replicas of the peak, in minutes from midnight. peakFactor multiplies the height
// of the peak of that day.
type demandInterval struct{ begin, end, peakFactor float64 }

// simulateDriftingPeak simulates forecastDays days one after the other: it
// forecasts the peak, draws the demand at random, and applies the records that the
// entries write about the demand to the state of the forecast. driftMinutes
// returns how much later than declared the demand of a day is; it is negative if
// the demand is earlier. faults is the random source of the faults of entries.
func simulateDriftingPeak(random, faults *rand.Rand, driftMinutes func(day int) float64) (*forecastCounts, error) {
	peak := document.Peak{Model: forecastModel, From: formatClock(forecastPeakStart), Until: formatClock(forecastPeakEnd), Replicas: forecastPeakReplicas}
	state, run := forecast.NewState(), &forecastCounts{}
	entries := newDemandCollectors(time.Unix(forecastFirstDay*24*60*60, 0))
	for day := range forecastDays {
		number := int64(forecastFirstDay + day)
		midnight := time.Unix(number*24*60*60, 0).UTC()
		actual := drawDemand(random, day, driftMinutes(day))
		// The forecast for the peak of the day is made at 16:00.
		shifts := state.Shifts(document.Peaks{Peaks: []document.Peak{peak}}, midnight.Add(16*time.Hour))
		run.countDay(peak, shifts, midnight, actual, day)
		if day >= forecastNoRecordsFrom && day < forecastNoRecordsUntil {
			entries = newDemandCollectors(midnight.Add(24 * time.Hour))
			continue
		}
		for slot := range forecast.SlotsPerDay {
			begin := midnight.Add(time.Duration(slot) * forecast.SlotLength)
			records, err := entries.recordSlot(faults, begin, actual.drawRequests(random, float64(slot)*10+5))
			if err != nil {
				return nil, err
			}
			for _, record := range records {
				if _, err := state.Apply(record); err != nil {
					return nil, err
				}
				run.appends++
			}
		}
		// The entries append one snapshot an hour.
		run.appends += 24
	}
	return run, nil
}

// demandCollectors holds the demand collector of each entry.
type demandCollectors struct{ collectors []*forecast.Collector }

// newDemandCollectors returns collectors without counts for all entries, started
// at the time now.
func newDemandCollectors(now time.Time) *demandCollectors {
	entries := &demandCollectors{}
	for range forecastEntries {
		entries.collectors = append(entries.collectors, forecast.NewCollector(now))
	}
	return entries
}

// recordSlot distributes the requests of the time slot that starts at begin over
// the entries and returns the records that the entries append after the slot has
// ended. In random slots an entry loses its counts, or one entry does not see
// another (forecastEntryLossShare and forecastPartitionShare).
func (e *demandCollectors) recordSlot(faults *rand.Rand, begin time.Time, requests int) ([]fuchsiarouter.Record, error) {
	for range requests {
		e.collectors[faults.IntN(forecastEntries)].CountRequest(begin, forecastModel)
	}
	slotEnd := begin.Add(forecast.SlotLength)
	if faults.Float64() < forecastEntryLossShare {
		e.collectors[faults.IntN(forecastEntries)] = forecast.NewCollector(slotEnd.Add(-time.Second))
	}
	isolated, unseen := -1, faults.IntN(forecastEntries)
	if faults.Float64() < forecastPartitionShare {
		isolated = faults.IntN(forecastEntries)
	}
	at := slotEnd.Add(30 * time.Second)
	var records []fuchsiarouter.Record
	for self, collector := range e.collectors {
		var others []fuchsiarouter.Member
		for other, otherCollector := range e.collectors {
			if other != self && (self != isolated || other != unseen) {
				others = append(others, fuchsiarouter.Member{ID: demandEntryID(other), SlotDemand: otherCollector.Report(at)})
			}
		}
		collector.Collect(at, demandEntryID(self), others, []string{forecastModel})
		pending := collector.Pending()
		if len(pending) == 0 {
			continue
		}
		data, err := forecast.EncodeSlots(pending)
		if err != nil {
			return nil, err
		}
		records = append(records, fuchsiarouter.Record{Data: data, Time: at})
		collector.MarkWritten(pending[len(pending)-1].Slot)
	}
	return records, nil
}

// demandEntryID returns the member ID of the entry with the number.
func demandEntryID(number int) string { return fmt.Sprintf("entry-%d", number) }

// drawDemand returns the demand of a day: the declared peak, shifted by the drift,
// a weekly pattern, normally distributed noise and, on its day, the festival.
func drawDemand(random *rand.Rand, day int, driftMinutes float64) demandInterval {
	weekly, peakFactor := 0.0, 1.0
	switch day % 7 {
	case 4:
		weekly, peakFactor = -10, 1.2
	case 5, 6:
		weekly, peakFactor = 20, 0.8
	}
	if day == forecastFestivalDay {
		weekly, peakFactor = -60, 2
	}
	noise := func() float64 { return forecastEdgeDeviation * random.NormFloat64() }
	return demandInterval{
		begin:      forecastPeakStart + forecastEdgeMargin + driftMinutes + weekly + noise(),
		end:        forecastPeakEnd - forecastEdgeMargin + driftMinutes + weekly + noise(),
		peakFactor: peakFactor,
	}
}

// drawRequests returns a random number of requests for the time slot whose middle
// is at the minute of the day.
func (e demandInterval) drawRequests(random *rand.Rand, minute float64) int {
	// The logistic function passes forecastRiseThreshold exactly at the begin
	// and the end of the interval.
	shift := forecastRampMinutes * math.Log(forecastRiseThreshold/(1-forecastRiseThreshold))
	rise := 1 / (1 + math.Exp(-(minute-e.begin+shift)/forecastRampMinutes))
	fall := 1 / (1 + math.Exp((minute-e.end-shift)/forecastRampMinutes))
	mean := forecastBaseRequests + (forecastPeakRequests-forecastBaseRequests)*e.peakFactor*rise*fall
	// Requests come in bursts: twice the standard deviation of a Poisson
	// process.
	return max(0, int(math.Round(mean+2*math.Sqrt(mean)*random.NormFloat64())))
}

// countDay asks package placement for the replicas of every minute from noon of
// the day to the next noon, with and without the forecast, compares their times
// with the actual demand, and adds the day to the counts.
func (r *forecastCounts) countDay(peak document.Peak, shifts []fuchsiarouter.PeakShift, midnight time.Time, actual demandInterval, day int) {
	model := document.Model{Name: forecastModel, Replicas: forecastBaseReplicas}
	peaks := document.Peaks{Peaks: []document.Peak{peak}}
	options := placement.Options{LeadTime: forecastLeadMinutes * time.Minute, HoldTime: 10 * time.Minute}
	withForecast := options
	withForecast.Shifts = shifts
	// The first and last minute with the replicas of the peak, by the declared
	// times (0) and with the forecast (1).
	first, last := [2]int{-1, -1}, [2]int{-1, -1}
	isBelow := false
	for minute := 12 * 60; minute < 36*60; minute++ {
		now := midnight.Add(time.Duration(minute) * time.Minute)
		counts := [2]int{placement.DeclaredReplicas(model, peaks, now, options), placement.ForecastReplicas(model, peaks, now, withForecast)}
		isBelow = isBelow || counts[1] < counts[0]
		r.declaredHours += float64(counts[0]) / 60
		added := float64(counts[1]-counts[0]) / 60
		r.addedHours += added
		if day >= forecastTrainedFromDay {
			r.addedHoursAfterTraining += added
		}
		for k, count := range counts {
			if count < forecastPeakReplicas {
				continue
			}
			if first[k] < 0 {
				first[k] = minute
			}
			last[k] = minute
		}
	}
	limit := forecast.MaxShift.Minutes()
	isPresent := func(k int) bool { return float64(first[k]+forecastLeadMinutes) <= actual.begin }
	isHeld := func(k int) bool { return float64(last[k]) >= actual.end }
	count := func(counter *int, is bool) {
		if is {
			*counter++
		}
	}
	isStartWithin, isEndWithin := actual.begin >= forecastPeakStart-limit, actual.end <= forecastPeakEnd+limit
	count(&r.daysBelowDeclaration, isBelow)
	count(&r.declaredPresent, isPresent(0))
	count(&r.present, isPresent(1))
	count(&r.startWithinLimit, isStartWithin)
	count(&r.presentWithinLimit, isStartWithin && isPresent(1))
	count(&r.declaredHeld, isHeld(0))
	count(&r.held, isHeld(1))
	count(&r.endWithinLimit, isEndWithin)
	count(&r.heldWithinLimit, isEndWithin && isHeld(1))
}

// formatClock formats minutes from midnight as HH:MM.
func formatClock(minutes int) string { return fmt.Sprintf("%02d:%02d", minutes/60, minutes%60) }
