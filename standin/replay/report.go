package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/standin/checker"
)

// ErrReplayFailed is returned by Report.Err for a replay with unexpected outcomes or violated
// invariants.
var ErrReplayFailed = errors.New("the replay had unexpected outcomes or violated invariants")

// Report is the result of a replay.
type Report struct {
	// Played holds the requests in the order of their lines, Faults the faults in the order in
	// which they were applied.
	Played []PlayedRequest
	Faults []AppliedFault
	// Failures describes the lines that could not be carried out, the requests whose outcome
	// is not an allowed one, and the bounds on times that were exceeded.
	Failures []string
	// Violations are the violated invariants that the checker found.
	Violations []checker.Violation
	// History is what the checker verified.
	History checker.History
	// Entries holds the names of the entries by their addresses, which the attempts of calls
	// contain.
	Entries map[string]string
	// Duration is the time from the start of the replay, when the fleet was ready, until all
	// requests had an outcome and all faults, publications and their checks had ended.
	Duration time.Duration
}

// buildReport compares the outcomes with the allowed ones, runs the checker on the history and
// returns the results of both.
func (p *player) buildReport() (Report, error) {
	took := time.Since(p.startedAt)
	history, err := p.bench.History()
	if err != nil {
		return Report{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	report := Report{
		Played: p.played, Faults: p.faults, Failures: p.failures, History: history,
		Violations: checker.Check(history), Duration: took, Entries: map[string]string{},
	}
	for i, entry := range p.entries {
		report.Entries[p.entryAddresses[i]] = entry
	}
	slices.SortFunc(report.Played, func(a, b PlayedRequest) int { return a.Line - b.Line })
	for _, played := range report.Played {
		if slices.Contains(played.Outcomes, played.Outcome) {
			continue
		}
		report.Failures = append(report.Failures, fmt.Sprintf("line %d: %s %s: %s, expected %s (%s)", played.Line,
			played.Rank, played.Model+played.Service, played.Outcome, strings.Join(played.Outcomes, " or "), describeAttempts(played.Call)))
	}
	report.checkFirstTokens()
	return report, nil
}

// checkFirstTokens adds a failure if more than 5 % of the requests that bound the time to their
// first token exceeded that bound or got no token. The time includes failed attempts.
func (r *Report) checkFirstTokens() {
	bounded, slow := 0, 0
	for _, played := range r.Played {
		if played.FirstTokenMs == 0 {
			continue
		}
		bounded++
		bound := time.Duration(played.FirstTokenMs) * time.Millisecond
		last := played.Call.Attempts[len(played.Call.Attempts)-1]
		if last.FirstToken.IsZero() || last.FirstToken.Sub(played.Call.Attempts[0].Start) > bound {
			slow++
		}
	}
	// The bound applies to 95 % of the requests.
	if slow*20 > bounded {
		r.Failures = append(r.Failures, fmt.Sprintf("%d of %d requests exceeded their bound on the time to the first token", slow, bounded))
	}
}

// Describe returns a line of text about the last attempts of a request and the servers that ran
// it in any attempt.
func (r Report) Describe(played PlayedRequest) string {
	text := describeAttempts(played.Call)
	for _, run := range r.History.Runs {
		for _, attempt := range played.Call.Attempts {
			if run.RequestID == attempt.RequestID {
				text += fmt.Sprintf("; %s ran at %s", run.RequestID, run.Server)
			}
		}
	}
	return text
}

// describeAttempts returns a line of text about the last attempts of a call, at most four.
func describeAttempts(call checker.Call) string {
	var text []string
	for _, attempt := range call.Attempts {
		each := fmt.Sprintf("%s at %s after %.2f s", attempt.RequestID, attempt.Entry, attempt.End.Sub(attempt.Start).Seconds())
		if attempt.Code != nil {
			each += " " + attempt.Code.String()
		}
		if attempt.Broken != "" {
			each += " broken: " + attempt.Broken
		}
		text = append(text, each)
	}
	const shown = 4
	return strings.Join(text[max(0, len(text)-shown):], "; ")
}

// Err returns an error that wraps ErrReplayFailed, counts the violated invariants and failures
// and lists the first 20 of them, or nil if there are none.
func (r Report) Err() error {
	const shown = 20
	var lines []string
	for _, violation := range r.Violations {
		lines = append(lines, violation.String())
	}
	lines = append(lines, r.Failures...)
	if len(lines) == 0 {
		return nil
	}
	return errors.Wrapf(ErrReplayFailed, "%d violated invariants, %d failures:\n%s", len(r.Violations), len(r.Failures),
		strings.Join(lines[:min(shown, len(lines))], "\n"))
}

// Print writes a table with the outcomes and the 95th percentile of the time to the first token
// of each rank, which is 0 if there was no token, and a line with the number of faults and
// Duration.
func (r Report) Print(w io.Writer) error {
	type row struct {
		sent, answered int
		others         map[string]int
		first          []time.Duration
	}
	rows := map[string]*row{}
	for _, played := range r.Played {
		summary := rows[played.Rank]
		if summary == nil {
			summary = &row{others: map[string]int{}}
			rows[played.Rank] = summary
		}
		summary.sent++
		last := played.Call.Attempts[len(played.Call.Attempts)-1]
		if played.Outcome == Answered {
			summary.answered++
		} else {
			summary.others[played.Outcome]++
		}
		if !last.FirstToken.IsZero() {
			summary.first = append(summary.first, last.FirstToken.Sub(played.Call.Attempts[0].Start))
		}
	}
	var text strings.Builder
	text.WriteString("rank\tsent\tanswered\tfirst token, 95 in 100\tother outcomes\n")
	for _, rank := range slices.Sorted(maps.Keys(rows)) {
		each, first := rows[rank], time.Duration(0)
		if slices.Sort(each.first); len(each.first) > 0 {
			first = each.first[(len(each.first)-1)*95/100]
		}
		var others []string
		for _, name := range slices.Sorted(maps.Keys(each.others)) {
			others = append(others, fmt.Sprintf("%d %s", each.others[name], name))
		}
		fmt.Fprintf(&text, "%s\t%d\t%d\t%s\t%s\n", rank, each.sent, each.answered, first.Round(time.Millisecond), strings.Join(others, ", "))
	}
	fmt.Fprintf(&text, "%d faults and publications, %.1f s\n", len(r.Faults), r.Duration.Seconds())
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, text.String()); err != nil {
		return err
	}
	return table.Flush()
}
