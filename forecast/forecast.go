// Package forecast predicts when the daily peak in the demand for a model begins and
// ends.
//
// Operators declare a peak as an interval of the day in which a model has more replicas.
// The actual peak in the demand drifts away from the interval by minutes from day to day.
// A State holds the number of requests for each model in slots of ten minutes over the last
// weeks, in UTC like the declared peaks. The begin and the end of the peak, called its
// edges, are determined for each past day. A robust linear fit through the begins, and one
// through the ends, with an offset for each day of the week, is extrapolated to the next
// day.
//
// The forecast only extends a peak: the peak begins earlier or ends later than declared, by
// a limited time, and the number of replicas never changes.
//
// Every entry, a daemon that receives the requests of callers, computes the forecast from
// the same stream of the platform's log. A Collector at each entry produces the records of
// the stream. Records are merged by taking the larger count of a slot, so that every entry
// gets the same state regardless of duplicates and order.
package forecast

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/document"
)

// Stream is the name of the stream of the platform's log that has the demand records.
const Stream = "demand"

const (
	// SlotLength is the duration of a slot. Shorter slots need more appends to the log,
	// longer ones hide a drift of minutes.
	SlotLength = 10 * time.Minute
	// SlotsPerDay is the number of slots in a day.
	SlotsPerDay = int64(24 * time.Hour / SlotLength)
	// KeptDays is the number of days that a State holds: the newest day with a record and
	// those before it. Four weeks give four observations of each day of the week; the
	// rest makes up for missing records.
	KeptDays = 35
	// MaxShift is the maximum time by which a peak is extended at each end. It limits
	// the replica-hours that wrong demand records can cost.
	MaxShift = 90 * time.Minute
)

// SlotOf returns the number of the slot that contains the time, counted from the Unix epoch.
func SlotOf(at time.Time) int64 { return at.Unix() / int64(SlotLength/time.Second) }

// Shifts returns how much earlier each peak is forecast to begin and how much later to end
// than declared, without the peaks for which neither applies or whose times are invalid. The
// forecast is for the day that dayAt returns. It uses only the days before and is the same
// until the peak of the day has ended, so that replicas aren't loaded and unloaded while the
// demand of the day is observed.
func (s *State) Shifts(peaks document.Peaks, now time.Time) []fuchsiarouter.PeakShift {
	var shifts []fuchsiarouter.PeakShift
	for _, peak := range peaks.Peaks {
		interval, ok := parseInterval(peak)
		if !ok {
			continue
		}
		day := interval.dayAt(now)
		begin, end := s.forecastEdges(peak.Model, interval, day)
		shift := fuchsiarouter.PeakShift{
			Model: peak.Model, From: peak.From, Until: peak.Until,
			EarlierSeconds: shiftSeconds(-begin), LaterSeconds: shiftSeconds(end),
		}
		if shift.EarlierSeconds > 0 || shift.LaterSeconds > 0 {
			shifts = append(shifts, shift)
		}
	}
	return shifts
}

// shiftSeconds converts minutes to seconds. A positive number is increased to the next whole
// minute, and the result is limited to the range from 0 to MaxShift. NaN gives 0.
func shiftSeconds(minutes float64) int {
	// Written so that NaN gives no shift, too.
	if !(minutes > 0) {
		return 0
	}
	return 60 * int(min(minutes+1, MaxShift.Minutes()))
}

// interval is a declared peak in minutes from midnight. If the peak lasts past midnight,
// until is greater than minutesPerDay.
type interval struct{ from, until int }

const (
	// timeOfDayLayout is the layout of the times of a document.Peak.
	timeOfDayLayout = "15:04"
	minutesPerDay   = 24 * 60
	// slotMinutes is the duration of a slot in minutes.
	slotMinutes = int(SlotLength / time.Minute)
)

// parseInterval returns the interval of a peak, or false if its times are invalid.
func parseInterval(peak document.Peak) (interval, bool) {
	from, err := time.Parse(timeOfDayLayout, peak.From)
	if err != nil {
		return interval{}, false
	}
	until, err := time.Parse(timeOfDayLayout, peak.Until)
	if err != nil {
		return interval{}, false
	}
	i := interval{from: from.Hour()*60 + from.Minute(), until: until.Hour()*60 + until.Minute()}
	if i.until <= i.from {
		i.until += minutesPerDay
	}
	return i, true
}

// dayAt returns the day, counted from the Unix epoch, of which the interval is to be
// forecast at the time now. Here a day lasts from twice MaxShift before its interval to the
// same time of the next day, so that it includes the extended peak.
func (i interval) dayAt(now time.Time) int64 {
	start := i.from - 2*int(MaxShift.Minutes())
	minutes := now.Unix()/60 - int64(start)
	return floorDiv(minutes, minutesPerDay)
}

// floorDiv returns a divided by b, rounded towards negative infinity. b must be positive.
func floorDiv(a, b int64) int64 {
	quotient := a / b
	if a%b < 0 {
		quotient--
	}
	return quotient
}
