package replay

import (
	"slices"
	"strings"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/standin/checker"
)

// recoveryTime is how long after the end of a fault its process may still lack connections
// or weights, or may not yet count as a ready server.
const recoveryTime = 2 * time.Second

// BackendServerOf returns the name of the backend server of an agent: "engine-0" for "agent-0",
// and "booking-0" for "agent-booking-0". Any other name is returned unchanged.
func BackendServerOf(agent string) string {
	name := strings.TrimPrefix(agent, "agent-")
	if name != "" && strings.Trim(name, "0123456789") == "" {
		return "engine-" + name
	}
	return name
}

// faultInterval is the time in which a fault affects its target.
type faultInterval struct {
	// target is the name of an entry or of a backend server, Crash for all engines, or
	// LogMode for the log.
	target      string
	from, until time.Time
}

// faultIntervals returns the intervals of the faults that can affect a request, each extended
// by recoveryTime. Publications, faults of the origin and Rerun cannot affect one. If a fault
// of a target begins before an earlier one of the same target has ended, only the time from the
// later start counts, and the first end after it ends both. A fault that was never ended lasts
// until now. A Restart without a process ends only Crash.
func (r Report) faultIntervals() []faultInterval {
	var intervals []faultInterval
	began := map[string]time.Time{}
	end := func(target string, at time.Time) {
		if from, ok := began[target]; ok {
			intervals = append(intervals, faultInterval{target, from, at.Add(recoveryTime)})
			delete(began, target)
		}
	}
	for _, fault := range r.Faults {
		// An agent and its backend server count as one target, also if the fault names both.
		first, _, _ := strings.Cut(fault.Process, " ")
		target := BackendServerOf(first)
		switch fault.Kind {
		case Kill, Freeze, Cut, Stall, Leave:
			began[target] = fault.From
		case Restart, Resume, Heal:
			if fault.Process == "" {
				target = Crash
			}
			end(target, fault.Until)
		case Crash:
			began[Crash] = fault.From
		case LogMode:
			if fault.Mode == "up" {
				end(LogMode, fault.Until)
			} else {
				began[LogMode] = fault.From
			}
		}
	}
	for target := range began {
		end(target, time.Now())
	}
	return intervals
}

// AffectedByFault returns a function that reports whether a fault may have affected a
// request. A fault counts if its interval, which lasts until recoveryTime after its end,
// overlaps with an attempt of the request, and if it is
//   - a fault of the entry to which the attempt was sent,
//   - a fault of a server that ran the attempt, or of any server if none ran it,
//   - a fault of the log, if the request has an idempotency key, or
//   - a request that crashes engines, if this request needs a model.
func (r Report) AffectedByFault() func(PlayedRequest) bool {
	intervals := r.faultIntervals()
	servers := map[string][]string{}
	for _, run := range r.History.Runs {
		servers[run.RequestID] = append(servers[run.RequestID], run.Server)
	}
	return func(played PlayedRequest) bool {
		return slices.ContainsFunc(played.Call.Attempts, func(attempt checker.Attempt) bool {
			ran := servers[attempt.RequestID]
			return slices.ContainsFunc(intervals, func(interval faultInterval) bool {
				if attempt.Start.After(interval.until) || attempt.End.Before(interval.from) {
					return false
				}
				switch {
				case strings.HasPrefix(interval.target, "entry-"):
					return r.Entries[attempt.Entry] == interval.target
				case interval.target == LogMode:
					return played.Key != ""
				case interval.target == Crash:
					return played.Model != ""
				default:
					return len(ran) == 0 || slices.Contains(ran, interval.target)
				}
			})
		})
	}
}
