package demo

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/standin/checker"
)

// callStats summarizes the calls of one kind: those of one rank during the rollout, those
// after the rollout, or the bookings.
type callStats struct {
	// calls and attempts are the number of calls and of the requests sent for them, and
	// complete the number of calls with a complete response.
	calls, attempts, complete int
	// firstToken and total are the times from the start of the first attempt of a call to
	// the first token and to the end of its response, for each complete response.
	firstToken, total []time.Duration
	// versions are the first 8 characters of the digests of the versions that responded.
	versions []string
}

// printTable writes one line for each kind of call. The kind is the part of the call ID before
// the first hyphen: the name of the caller, or its first part.
func (d *Demo) printTable(history checker.History) {
	var kinds []string
	rows := map[string]*callStats{}
	for _, call := range history.Calls {
		kind, _, _ := strings.Cut(call.ID, "-")
		if rows[kind] == nil {
			rows[kind] = &callStats{}
			kinds = append(kinds, kind)
		}
		rows[kind].add(call)
	}
	slices.Sort(kinds)
	w := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "calls\tsent\tattempts\twhole\tfirst token p50\tp95\twhole answer p95\tversions\t")
	for _, kind := range kinds {
		r := rows[kind]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n", kind, r.calls, r.attempts, r.complete,
			formatPercentile(r.firstToken, 50), formatPercentile(r.firstToken, 95), formatPercentile(r.total, 95), strings.Join(r.versions, " "))
	}
	_ = w.Flush()
}

// add adds a call to the summary. A call without a complete response adds no durations and no
// version.
func (r *callStats) add(call checker.Call) {
	r.calls++
	r.attempts += len(call.Attempts)
	last := call.Attempts[len(call.Attempts)-1]
	if !last.Answered() {
		return
	}
	r.complete++
	start := call.Attempts[0].Start
	r.total = append(r.total, last.End.Sub(start))
	if !last.FirstToken.IsZero() {
		r.firstToken = append(r.firstToken, last.FirstToken.Sub(start))
	}
	if last.Version == "" {
		return
	}
	if short := last.Version[:min(8, len(last.Version))]; !slices.Contains(r.versions, short) {
		r.versions = append(r.versions, short)
	}
}

// formatPercentile returns a percentile of the durations as text, rounded to milliseconds, or
// "-" if there are no durations. The percentile is given by percent, from 0 to 100.
func formatPercentile(values []time.Duration, percent int) string {
	if len(values) == 0 {
		return "-"
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)*percent/100].Round(time.Millisecond).String()
}
