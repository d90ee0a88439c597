package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// maxReportedBegins bounds the late beginnings that a report describes.
const maxReportedBegins = 8

// VersionReport summarizes a run of RunVersions.
type VersionReport struct {
	Seed uint64
	// Versions, Stops and Begins count the declared versions, the stops of an entry, and the
	// requests that began at an engine.
	Versions, Stops, Begins int
	// Requests counts the requests of callers, and Served those that got a whole stream.
	Requests, Served int
	// Late counts the requests that began on an older version after the bound, and Violations
	// describes some of them. Excused counts those whose entry had been stopped shortly before.
	Late, Excused int
	Violations    []string
	// LatestBegin is the longest time from the acknowledgement of a version to the beginning of a
	// request on an older one, by an entry that was not stopped.
	LatestBegin time.Duration
	// LatestDate is the longest time by which a daemon has dated a version after its acknowledgement,
	// negative if all dates are earlier. A late date moves the bound of that daemon.
	LatestDate time.Duration
	// LatestLoad is the longest time from the acknowledgement of a version to the moment at which an
	// engine gets the order to load it or a newer one.
	LatestLoad time.Duration
	// LongestWait is the longest time that a request waited at an engine before it began.
	LongestWait time.Duration
}

// String formats the report as a single line.
func (r VersionReport) String() string {
	return fmt.Sprintf("seed %d: %d versions, %d stops, %d requests, %d served, %d begins, latest load %v, latest date %v, longest wait %v, latest on an older version after %v, %d late and excused, %d late %q",
		r.Seed, r.Versions, r.Stops, r.Requests, r.Served, r.Begins, r.LatestLoad.Round(time.Millisecond), r.LatestDate.Round(time.Millisecond), r.LongestWait.Round(time.Millisecond), r.LatestBegin.Round(time.Millisecond), r.Excused, r.Late, r.Violations)
}

// judge adds what engines and store have seen to the report.
func (f *versionFleet) judge(report *VersionReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	report.Requests, report.Served = f.requests, f.served
	for _, engine := range f.engines {
		for version := 2; version <= f.version; version++ {
			for _, load := range engine.staged.Loads() {
				if load.Version >= version {
					report.LatestLoad = max(report.LatestLoad, load.At.Sub(f.acknowledged[version]))
					break
				}
			}
		}
		for _, began := range engine.allBegins() {
			report.Begins++
			report.LongestWait = max(report.LongestWait, began.at.Sub(began.arrived))
			newer, isOlder := f.acknowledged[began.version+1]
			if !isOlder {
				continue
			}
			after, sender := began.at.Sub(newer), f.sentTo[began.requestID]
			if f.wasStopped(sender, began.arrived) {
				if after > versionBound {
					report.Excused++
				}
				continue
			}
			report.LatestBegin = max(report.LatestBegin, after)
			if after <= versionBound {
				continue
			}
			report.Late++
			if len(report.Violations) < maxReportedBegins {
				report.Violations = append(report.Violations, fmt.Sprintf("%s of %s, at %s for %v, began on version %d %v after the acknowledgement of the next one",
					began.requestID, sender.name, began.engine, began.at.Sub(began.arrived).Round(time.Millisecond), began.version, after.Round(time.Millisecond)))
			}
		}
	}
}

// wasStopped reports whether an entry was stopped within stableTime before a time. The caller holds the
// lock.
func (f *versionFleet) wasStopped(e *entry, at time.Time) bool {
	for _, stop := range f.stops[e] {
		if stop.from.Before(at) && (stop.to.IsZero() || stop.to.After(at.Add(-stableTime))) {
			return true
		}
	}
	return false
}

// latestDate returns the latest date of a version, relative to its acknowledgement, in the logs of the
// daemons.
func (f *versionFleet) latestDate() (time.Duration, error) {
	latest := -time.Hour
	daemons := slices.Clone(f.loaders)
	for _, e := range f.entries {
		daemons = append(daemons, &e.process)
	}
	for _, daemon := range daemons {
		log, err := os.ReadFile(daemon.logFile)
		if err != nil {
			return 0, errors.Wrap(err, "log")
		}
		for line := range bytes.Lines(log) {
			var wire struct {
				Time           time.Time `json:"time"`
				Message        string    `json:"msg"`
				Version        int       `json:"version"`
				DeclaredBefore *float64  `json:"declared-before"`
			}
			if json.Unmarshal(line, &wire) != nil || wire.Message != "weight version declared" || wire.DeclaredBefore == nil {
				continue
			}
			date := wire.Time.Add(-time.Duration(*wire.DeclaredBefore * float64(time.Millisecond)))
			latest = max(latest, date.Sub(f.acknowledged[wire.Version]))
		}
	}
	return latest, nil
}
