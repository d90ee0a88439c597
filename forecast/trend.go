package forecast

import (
	"math"
	"slices"
)

const (
	// fitDays is the maximum number of observed days, those with a result of peakEdges,
	// that the linear fit uses. They may reach back over a week without records. When
	// the fit was limited to the last four weeks, such a week made it impossible for
	// three weeks.
	fitDays  = 28
	weekDays = 7
	// minFitDays and minSlopePairs are the numbers of observed days, and of pairs of
	// them on the same day of the week, that the linear fit requires. Each day of the
	// week is then observed about minSameWeekday times, so that one unusual day doesn't
	// affect a median. With fewer, the maximum drift is assumed instead of a fit.
	minFitDays     = minSameWeekday * weekDays
	minSameWeekday = 3
	minSlopePairs  = 4
	// maxDriftPerDay is the maximum expected drift of the begin and the end of a peak,
	// in minutes per day.
	maxDriftPerDay = 3
	// marginDeviations is the safety margin in standard deviations of the forecast.
	// The target is that the actual begin of the peak is within the forecast on 95 % of
	// the days, and likewise the end. With 3, nearly all usual days are within the
	// margin, and the remaining 5 % are available for unusual days and changes of the
	// drift. The experiment "forecast" missed the target with 1.645 and, for some seeds,
	// with 2.326.
	marginDeviations = 3
	// fitParameters is the number of parameters of the linear fit, all of them medians:
	// level, slope and an offset for each day of the week.
	fitParameters = 2 + weekDays
	// madToDeviation converts the median absolute deviation of a normal distribution to
	// its standard deviation.
	madToDeviation = 1.4826
	// unknownWeekdayMargin is the additional margin, in minutes, for a day of the week
	// with too few observations: the peak on a weekend may differ from that on a
	// working day.
	unknownWeekdayMargin = 2 * float64(slotMinutes)
	// recentDays is the number of most recent observed days whose median residual is
	// added to the forecast if it extends the peak, because a fit over four weeks
	// follows a change of the drift with a delay. It is also the minimum number of
	// observed days for any forecast.
	recentDays = 3
)

// point is the actual begin or end of the peak of a past day.
type point struct {
	// day is counted from the Unix epoch.
	day int64
	// value is in minutes relative to the declared time. The sign of an end is
	// inverted, so that a lower value means a longer peak for both.
	value float64
}

// forecastEdges returns the forecast begin and end of the peak of a day, including the safety
// margins, in minutes relative to the declared ones; negative values are earlier. It uses
// only the days before. Both are 0 if there are too few of them.
func (s *State) forecastEdges(model string, i interval, day int64) (begin, end float64) {
	var begins, ends []point
	for past := day - KeptDays; past < day; past++ {
		if b, e, ok := s.peakEdges(model, i, past); ok {
			begins = append(begins, point{past, b})
			ends = append(ends, point{past, -e})
		}
	}
	first := max(0, len(begins)-fitDays)
	return lowerBound(begins[first:], day), -lowerBound(ends[first:], day)
}

// lowerBound returns a value, in the form of point.value, below which the begin or the end
// of the peak on the day is not expected. The points, either begins or ends, are those of
// the days before, the oldest first. If they are too few for the linear fit, the bound
// assumes the maximum drift, and it is 0 if they are fewer than recentDays.
func lowerBound(points []point, day int64) float64 {
	if len(points) < recentDays {
		return 0
	}
	var slopes []float64
	for a, earlier := range points {
		for _, later := range points[a+1:] {
			// Pairs of the same day of the week aren't affected by the weekly pattern.
			if distance := later.day - earlier.day; distance%weekDays == 0 {
				slopes = append(slopes, (later.value-earlier.value)/float64(distance))
			}
		}
	}
	if len(points) < minFitDays || len(slopes) < minSlopePairs {
		lowest := math.Inf(1)
		for _, p := range points[max(0, len(points)-weekDays):] {
			lowest = min(lowest, p.value-maxDriftPerDay*float64(day-p.day))
		}
		if !slices.ContainsFunc(points, func(p point) bool { return (day-p.day)%weekDays == 0 }) {
			lowest -= unknownWeekdayMargin
		}
		return lowest - float64(slotMinutes)
	}
	slope := min(max(median(slopes), -maxDriftPerDay), maxDriftPerDay)
	// If the days before have no records, the drift may have changed since the last
	// point.
	gapMargin := (slope + maxDriftPerDay) * float64(day-1-points[len(points)-1].day)
	detrended := make([]float64, len(points))
	for k, p := range points {
		detrended[k] = p.value + slope*float64(day-p.day)
	}
	center := median(detrended)
	offsets, hasOffset := weekdayOffsets(points, detrended, center)
	residuals := make([]float64, len(points))
	distances := make([]float64, len(points))
	for k, p := range points {
		residuals[k] = detrended[k] - center - offsets[p.day%weekDays]
		distances[k] = math.Abs(residuals[k])
	}
	recentError := min(0, median(residuals[len(residuals)-recentDays:]))
	deviation := madToDeviation * median(distances)
	expected := center + offsets[day%weekDays] + recentError - gapMargin - marginDeviations*deviation*predictionWidening(len(points))
	if !hasOffset[day%weekDays] {
		expected -= unknownWeekdayMargin
	}
	return expected
}

// predictionWidening returns the ratio of the standard deviation of a forecast to that
// of the residuals of the linear fit through the number of points. The first factor corrects
// for the degrees of freedom that the fit uses up, the second one adds the errors of the
// parameters. The variance of a median is larger than that of a mean by a factor of pi/2.
func predictionWidening(points int) float64 {
	n := float64(points)
	return math.Sqrt(n/max(1, n-fitParameters)) * math.Sqrt(1+math.Pi/2*fitParameters/n)
}

// weekdayOffsets returns, for each day of the week, the median of its detrended values
// relative to the center, in minutes, and whether it has such an offset. detrended holds, for
// each point, its value in minutes, moved along the slope of the fit to the day of the
// forecast. The days of the week are numbered by the day modulo 7. A day of the week with
// fewer than minSameWeekday points has no offset, because these may be unusual days.
func weekdayOffsets(points []point, detrended []float64, center float64) (offsets [weekDays]float64, hasOffset [weekDays]bool) {
	for weekday := range offsets {
		var values []float64
		for k, p := range points {
			if p.day%weekDays == int64(weekday) {
				values = append(values, detrended[k]-center)
			}
		}
		if len(values) >= minSameWeekday {
			offsets[weekday], hasOffset[weekday] = median(values), true
		}
	}
	return offsets, hasOffset
}

// median returns the median of the values, of which there must be at least one.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
