package experiment

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
	"github.com/fuchsiarouter/fuchsiarouter/standin/replay"
)

// timeOfDayFormat is the layout of the times of faults and calls that Faults
// prints to stderr.
const timeOfDayFormat = "15:04:05.000"

// faultsConfigurationDir is the directory of the example configuration documents
// that the fleet is started with, relative to the root of the repository.
const faultsConfigurationDir = "docs/examples"

// Faults plays a schedule of random requests and faults on real processes and
// lets package checker verify the recorded history. The baseline plays the same
// schedule at the same time on its own fleet, with callers that retry after any
// failure with a new idempotency key.
func Faults(seed uint64, report func(Figure)) error {
	trace := replay.RandomTrace(seed)
	var measured, baseline replay.Report
	var group errgroup.Group
	group.Go(func() (err error) {
		measured, err = playFaults(trace, false)
		return err
	})
	group.Go(func() (err error) {
		baseline, err = playFaults(trace, true)
		return err
	})
	if err := group.Wait(); err != nil {
		return err
	}
	for _, fault := range measured.Faults {
		fmt.Fprintf(os.Stderr, "fault: %s %s at %s\n", fault.Kind, fault.Process+fault.Mode+fault.Section, fault.From.Format(timeOfDayFormat))
	}
	for _, violation := range measured.Violations {
		fmt.Fprintln(os.Stderr, violation)
		for _, played := range measured.Played {
			if played.Call.ID == violation.Call {
				fmt.Fprintf(os.Stderr, "    line %d at %s: %s\n", played.Line, played.Call.Attempts[0].Start.Format(timeOfDayFormat), measured.Describe(played))
			}
		}
	}
	isAffectedByFault := measured.AffectedByFault()
	affected, answered, answeredWithoutFault, sent := 0, 0, 0, 0
	for _, played := range measured.Played {
		if played.CrashesEngines {
			continue
		}
		sent++
		isAnswered, isAffected := played.Outcome == replay.Answered, isAffectedByFault(played)
		if isAnswered {
			answered++
		}
		switch {
		case isAffected:
			affected++
		case isAnswered:
			answeredWithoutFault++
		default:
			fmt.Fprintf(os.Stderr, "not answered although no fault affected it: line %d: %s at %s: %s\n",
				played.Line, played.Outcome, played.Call.Attempts[0].Start.Format(timeOfDayFormat), measured.Describe(played))
			for _, other := range measured.Played {
				if other.Key == played.Key && other.Line != played.Line {
					fmt.Fprintf(os.Stderr, "    the same key: line %d: %s at %s: %s\n",
						other.Line, other.Outcome, other.Call.Attempts[0].Start.Format(timeOfDayFormat), measured.Describe(other))
				}
			}
		}
	}
	report(AtMost("faults/broken-promises", float64(len(measured.Violations)), "promises", 0))
	report(AtLeast("faults/answered-without-fault", shareOf(answeredWithoutFault, sent-affected), "share", 0.99))
	report(Unbounded("faults/requests", float64(sent), "requests"))
	report(Unbounded("faults/requests-without-fault", float64(sent-affected), "requests"))
	report(Unbounded("faults/answered", shareOf(answered, sent), "share"))
	report(Unbounded("faults/faults", float64(len(measured.Faults)), "faults and their ends"))
	report(AtMost("faults/double-runs", float64(doubleRuns(measured)), "runs", 0))
	report(Unbounded("faults/baseline-plain-retry/double-runs", float64(doubleRuns(baseline)), "runs"))
	return nil
}

// playFaults plays the trace on a new fleet and returns what was observed. With
// isBaseline set, the callers retry after any failure with a new key.
func playFaults(trace replay.Trace, isBaseline bool) (replay.Report, error) {
	dir, err := os.MkdirTemp("", "experiment-faults-")
	if err != nil {
		return replay.Report{}, errors.Wrap(err, "create log directory")
	}
	b, err := bench.New(binaryDir, dir)
	if err != nil {
		return replay.Report{}, err
	}
	defer b.Close()
	report, err := replay.Play(context.Background(), b, trace, replay.Options{Configurations: faultsConfigurationDir, RetryUnconditionally: isBaseline})
	// After a failure the logs are kept for debugging.
	switch {
	case err != nil:
		return report, errors.Wrapf(err, "logs are in %s", dir)
	case !isBaseline && len(report.Violations) > 0:
		fmt.Fprintln(os.Stderr, "logs are in", dir)
		return report, nil
	default:
		return report, os.RemoveAll(dir)
	}
}

// shareOf returns part as a fraction of all, or 1 when there are none.
func shareOf(part, all int) float64 {
	if all == 0 {
		return 1
	}
	return float64(part) / float64(all)
}

// doubleRuns counts the runs beyond the first of each call that must not run
// twice, that is, of each call with an idempotency key. The path identifies the
// call, because a retry of the baseline has another key.
func doubleRuns(report replay.Report) int {
	runs := map[string]int{}
	for _, run := range report.History.Runs {
		runs[run.Path]++
	}
	extraRuns, seen := 0, map[string]bool{}
	for _, played := range report.Played {
		if played.Key != "" && !seen[played.Path] {
			seen[played.Path] = true
			extraRuns += max(0, runs["POST "+played.Path]-1)
		}
	}
	return extraRuns
}
