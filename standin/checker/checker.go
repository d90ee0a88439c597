// Package checker verifies the guarantees of the system, called promises, on a
// recorded history.
//
// A history holds what callers sent and received, which requests backend servers
// started, and which revisions daemons reported. Check compares these with each other
// and with the deterministic text that the stand-in engine generates. It does not
// depend on the internals of the daemons.
package checker

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/result"
)

// Promise names a guarantee by the violation that it excludes.
type Promise string

// Violations of the promises.
const (
	// DoubleRun is a non-idempotent call that ran more than once.
	DoubleRun Promise = "double-run"
	// FalseNotRun is a call that ran after its caller was told that it did not.
	FalseNotRun Promise = "false-not-run"
	// CutAnswer is an answer that is marked as complete and lacks a part.
	CutAnswer Promise = "cut-answer"
	// SwappedAnswer is an answer that belongs to another call.
	SwappedAnswer Promise = "swapped-answer"
	// MixedVersions is an answer that no single published version generates.
	MixedVersions Promise = "mixed-versions"
	// LostRequest is a call that its caller was allowed to retry and that was never
	// answered.
	LostRequest Promise = "lost-request"
	// MissingRun is an answer to a call that no backend server started.
	MissingRun Promise = "missing-run"
	// WrongResult is a failure whose code, status and "ran" contradict each other.
	WrongResult Promise = "wrong-result"
	// LateWork is a request that started at a VM later than MaxLeavingDelay after the
	// VM was marked as leaving.
	LateWork Promise = "late-work"
	// Reverted is a daemon that went back to an earlier revision.
	Reverted Promise = "reverted"
)

// MaxLeavingDelay is the time after which a leaving VM must receive no new requests.
const MaxLeavingDelay = 3 * time.Second

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	// Call is the ID of the call, or the name of the server or daemon.
	Call   string
	Detail string
}

// String returns the violation as one line of text.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.Promise, v.Call, v.Detail)
}

// Check returns every broken promise of the history.
func Check(history History) []Violation {
	c := &checkState{history: history, runsByRequest: map[string][]Run{}, runsByKey: map[string][]Run{}}
	for _, run := range history.Runs {
		if run.RequestID != "" {
			c.runsByRequest[run.RequestID] = append(c.runsByRequest[run.RequestID], run)
		}
		if run.Key != "" {
			c.runsByKey[run.Key] = append(c.runsByKey[run.Key], run)
		}
	}
	callsByKey := map[string][]Call{}
	for _, call := range history.Calls {
		c.checkCall(call)
		if call.Key != "" {
			callsByKey[call.Key] = append(callsByKey[call.Key], call)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(callsByKey)) {
		c.checkKey(key, callsByKey[key])
	}
	c.checkLeaving()
	c.checkRevisions()
	return c.violations
}

// checkState holds the indexes and results of one call of Check.
type checkState struct {
	history       History
	runsByRequest map[string][]Run
	runsByKey     map[string][]Run
	violations    []Violation
	// tokenSources is an index of all tokens; it is built on the first wrong answer.
	tokenSources map[string]tokenSource
}

func (c *checkState) report(promise Promise, call, format string, args ...any) {
	c.violations = append(c.violations, Violation{promise, call, fmt.Sprintf(format, args...)})
}

func (c *checkState) checkCall(call Call) {
	for _, attempt := range call.Attempts {
		c.checkResult(call, attempt)
		switch {
		case !attempt.Answered():
			c.checkUnfinishedAnswer(call, attempt)
		case call.Model != "":
			c.checkModelAnswer(call, attempt)
		default:
			c.checkServiceAnswer(call, attempt)
		}
	}
	if call.GaveUp {
		c.report(LostRequest, call.ID, "not answered in %d attempts", len(call.Attempts))
	}
}

// checkResult checks that code, status and "ran" of a failure agree, and that a request
// reported as not run did not run.
func (c *checkState) checkResult(call Call, attempt Attempt) {
	if attempt.Code != nil {
		if attempt.Status != 200 && attempt.Status != attempt.Code.HTTPStatus {
			c.report(WrongResult, call.ID, "status %d with result %s", attempt.Status, attempt.Code)
		}
		if attempt.Ran != attempt.Code.Ran {
			c.report(WrongResult, call.ID, "ran %q with result %s", attempt.Ran, attempt.Code)
		}
		if attempt.Text != "" && attempt.Code.Ran == result.RanNo {
			c.report(FalseNotRun, call.ID, "result %s after part of the answer", attempt.Code)
		}
	}
	if attempt.Ran != result.RanNo {
		return
	}
	for _, run := range c.runsByRequest[attempt.RequestID] {
		// Plain services may record only the key; checkKey checks those runs.
		c.report(FalseNotRun, call.ID, "attempt %s has ran \"no\" but started at %s", attempt.RequestID, run.Server)
	}
}

// checkUnfinishedAnswer checks that an incomplete answer carries a result or ends with
// a broken connection, so that the caller cannot take it for a complete one.
func (c *checkState) checkUnfinishedAnswer(call Call, attempt Attempt) {
	if attempt.Status == 200 && attempt.Code == nil && attempt.Broken == "" && !attempt.Done {
		c.report(CutAnswer, call.ID, "attempt %s ended normally without the end marker", attempt.RequestID)
	}
	if attempt.Status != 200 && attempt.Status != 0 && attempt.Code == nil && attempt.Broken == "" {
		c.report(WrongResult, call.ID, "status %d without a result", attempt.Status)
	}
}

// checkServiceAnswer checks that the answer of a plain service belongs to the call.
func (c *checkState) checkServiceAnswer(call Call, attempt Attempt) {
	answer := attempt.Answer
	if answer.Key != call.Key || answer.Method != call.Method || answer.Path != call.Path || answer.BodyDigest != call.BodyDigest {
		c.report(SwappedAnswer, call.ID, "got the answer to %s %s with key %q", answer.Method, answer.Path, answer.Key)
	}
	if call.Key != "" && len(c.runsByKey[call.Key]) == 0 {
		c.report(MissingRun, call.ID, "key %s was answered but never ran", call.Key)
	}
}

// checkKey checks the runs of an idempotency key against all attempts of all calls with
// the key.
func (c *checkState) checkKey(key string, calls []Call) {
	runs := c.runsByKey[key]
	if !calls[0].Idempotent && len(runs) > 1 {
		c.report(DoubleRun, calls[0].ID, "key %s ran %d times", key, len(runs))
	}
	var attempts []Attempt
	for _, call := range calls {
		attempts = append(attempts, call.Attempts...)
	}
	for _, run := range runs {
		// At least one attempt must account for the run: it started before the run
		// and was not reported as not run.
		explained := slices.ContainsFunc(attempts, func(attempt Attempt) bool {
			// Backend servers record times in milliseconds, so a run may appear to start
			// before its attempt.
			return attempt.Ran != result.RanNo && !attempt.NotSent && !attempt.Start.Truncate(time.Millisecond).After(run.Start)
		})
		if !explained {
			c.report(FalseNotRun, calls[0].ID, "key %s ran at %s, but every earlier attempt was reported as not run", key, run.Server)
		}
	}
}

// checkLeaving checks that no run starts at a VM later than MaxLeavingDelay after the VM
// was marked as leaving.
func (c *checkState) checkLeaving() {
	for _, run := range c.history.Runs {
		since, ok := c.history.Leaving[run.Server]
		if ok && run.Start.Sub(since) > MaxLeavingDelay {
			c.report(LateWork, run.Server, "request %s%s started %s after the VM was marked as leaving", run.RequestID, run.Key, run.Start.Sub(since))
		}
	}
}

// checkRevisions checks that no daemon returns to an earlier revision of a section.
func (c *checkState) checkRevisions() {
	type daemonSection struct {
		daemon, section string
		incarnation     int64
	}
	highest := map[daemonSection]int64{}
	for _, seen := range c.history.Revisions {
		key := daemonSection{seen.Daemon, seen.Section, seen.Incarnation}
		if seen.Revision < highest[key] {
			c.report(Reverted, seen.Daemon, "section %s went back from revision %d to %d", seen.Section, highest[key], seen.Revision)
		}
		highest[key] = max(highest[key], seen.Revision)
	}
}
