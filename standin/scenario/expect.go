package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
	"github.com/fuchsiarouter/fuchsiarouter/standin/checker"
	"github.com/fuchsiarouter/fuchsiarouter/standin/engine"
)

const (
	// configurationTimeout is the time within which the system guarantees that an
	// accepted edit of the configuration is in force on every VM.
	configurationTimeout = 4 * time.Second
	// defaultTimeout is the time within which any other condition must hold, unless the
	// option within says otherwise.
	defaultTimeout = 20 * time.Second
)

// expect checks a condition. NAME is the name of calls; the condition is then checked when
// they have ended. KEY is a key as in the command call. SERVER is an engine or a plain
// service, DAEMON an entry or an agent, and VERSION a version or, as ADAPTER/VERSION, an
// adapter. Every entry means every one that is running and not suspended. The option within
// sets the time within which a condition that the command waits for must hold:
//
//	expect answered NAME                    every call was answered
//	expect some NAME                        at least one call was answered
//	expect settled NAME                     no caller gave up although it was allowed to
//	                                        retry
//	expect result NAME code=2007 ran=no     the last attempt of each call had one of
//	                                        these result codes, separated by commas, and
//	                                        this value of "ran"
//	expect fast NAME below=1.1s             the 95th percentile of the time to the first
//	                                        token is at most this
//	expect unrun NAME                       no server started any of the calls
//	expect runs KEY count=1                 the servers have started exactly this many
//	                                        requests with the idempotency key
//	expect running SERVER… count=1          the servers together run at least this
//	                                        many requests
//	expect started SERVER… count=1          the servers together have started at least
//	                                        this many requests
//	expect interrupted SERVER… count=0      the servers together have started exactly
//	                                        this many requests without finishing them
//	expect busy count=1 tokens=5            an engine runs at least this many requests
//	                                        that have sent at least this many tokens;
//	                                        see State.findProcess
//	expect queued AGENT count=1             exactly this many requests are in the queue
//	                                        of the agent
//	expect survivors N                      at least this many engines are running
//	expect ready DAEMON                     the daemon reports that it accepts requests
//	expect ended PROCESS                    the process has exited
//	expect replicas VERSION count=N         at least this many engines have loaded it
//	expect unloaded VERSION                 no engine has it loaded
//	expect serving VERSION count=N          every entry sees at least this many servers
//	                                        that have it ready
//	expect serving booking count=N          every entry sees at least this many servers
//	                                        of the plain service
//	expect role ROLE count=N                exactly this many engines have the role
//	expect drawn bytes=N                    the origin has sent at most this many bytes
//	expect gone DAEMON                      no entry gives the daemon the status live
//	expect refused ENGINE count=1           the engine has rejected at least this many
//	                                        orders for their fencing token
//	expect silent AGENT… longer=12s status=suspect
//	                                        the agents have this status at every entry
//	                                        after this time without a heartbeat
//	expect revision SECTION revision=N entry=NAME
//	                                        the revision of the section is in force at
//	                                        every entry or at the named one, by default
//	                                        within 4 s
//	expect entries count=N                  callers are told exactly this many entries
//	expect promises                         the checker finds no violation
func (s *State) expect(args arguments) error {
	conditions := map[string]func(*arguments) error{
		"answered": s.expectAnswered, "some": s.expectSomeAnswered, "settled": s.expectSettled, "result": s.expectResult, "fast": s.expectFirstTokenWithin,
		"queued": s.expectQueued, "unrun": s.expectNotStarted, "runs": s.expectRuns, "running": s.expectRunning, "busy": s.expectBusy, "started": s.expectStarted, "ready": s.expectReady, "ended": s.expectExited,
		"replicas": s.expectReplicas, "unloaded": s.expectUnloaded, "role": s.expectRole, "serving": s.expectServing, "gone": s.expectNotLive, "refused": s.expectRefused, "silent": s.expectSilent, "survivors": s.expectSurvivors, "interrupted": s.expectInterrupted, "drawn": s.expectOriginBytes,
		"revision": s.expectRevision, "entries": s.expectEntries, "promises": s.expectPromises,
	}
	condition, ok := conditions[args.operand(0)]
	if !ok {
		return errors.New("unknown condition")
	}
	return condition(&args)
}

// awaitCalls checks the options, waits until the calls whose name is the second operand have
// ended, and returns the calls.
func (s *State) awaitCalls(args *arguments) ([]checker.Call, error) {
	if err := args.check(); err != nil {
		return nil, err
	}
	g, err := s.findCallGroup(args.operand(1))
	if err != nil {
		return nil, err
	}
	g.running.Wait()
	return g.calls, g.err
}

// expectAnswered checks that every call was answered.
func (s *State) expectAnswered(args *arguments) error {
	calls, err := s.awaitCalls(args)
	if err != nil {
		return err
	}
	for _, call := range calls {
		if last := call.Attempts[len(call.Attempts)-1]; !last.Answered() {
			return errors.Errorf("%s: %s", call.ID, describeCall(call))
		}
	}
	return nil
}

// expectSomeAnswered checks that at least one call was answered.
func (s *State) expectSomeAnswered(args *arguments) error {
	calls, err := s.awaitCalls(args)
	if err != nil {
		return err
	}
	for _, call := range calls {
		if call.Attempts[len(call.Attempts)-1].Answered() {
			return nil
		}
	}
	if len(calls) == 0 {
		return errors.New("no calls")
	}
	return errors.Errorf("none of %d calls; the last: %s", len(calls), describeCall(calls[len(calls)-1]))
}

// expectSettled checks that no caller gave up a call although it was allowed to retry it:
// every call was answered, or ended with a result that forbids a retry, or was sent once
// because its patience is 0.
func (s *State) expectSettled(args *arguments) error {
	calls, err := s.awaitCalls(args)
	if err != nil {
		return err
	}
	for _, call := range calls {
		if call.GaveUp {
			return errors.Errorf("%s: %s", call.ID, describeCall(call))
		}
	}
	return nil
}

// expectResult checks the result of the last attempt of every call. The option code is a
// comma-separated list of result codes; ran, if given, must equal the "ran" of the result.
func (s *State) expectResult(args *arguments) error {
	code, ran := args.stringOption("code", ""), args.stringOption("ran", "")
	calls, err := s.awaitCalls(args)
	if err != nil {
		return err
	}
	for _, call := range calls {
		last := call.Attempts[len(call.Attempts)-1]
		if last.Code == nil || !slices.Contains(strings.Split(code, ","), fmt.Sprint(last.Code.Number)) ||
			ran != "" && string(last.Ran) != ran {
			return errors.Errorf("%s: %s", call.ID, describeCall(call))
		}
	}
	return nil
}

// describeCall describes the last attempts of a call for an error message.
func describeCall(call checker.Call) string {
	var attempts []string
	for _, attempt := range call.Attempts {
		text := fmt.Sprintf("status %d at %s after %.2f s", attempt.Status, attempt.Entry, attempt.End.Sub(attempt.Start).Seconds())
		if attempt.Code != nil {
			text += fmt.Sprintf(", result %s, ran %q", attempt.Code, attempt.Ran)
		}
		if attempt.Broken != "" {
			text += ", broken: " + attempt.Broken
		}
		attempts = append(attempts, text)
	}
	const maxShown = 6
	return fmt.Sprintf("%d attempts, the last: %s", len(attempts), strings.Join(attempts[max(0, len(attempts)-maxShown):], "; "))
}

// expectFirstTokenWithin checks that the 95th percentile of the time from the start of the
// first attempt of a call to its first token is at most the value of the option "below". Every
// call must have got a token.
func (s *State) expectFirstTokenWithin(args *arguments) error {
	below := args.durationOption("below", 1100*time.Millisecond)
	calls, err := s.awaitCalls(args)
	if err != nil {
		return err
	}
	var latencies []time.Duration
	for _, call := range calls {
		last := call.Attempts[len(call.Attempts)-1]
		if last.FirstToken.IsZero() {
			return errors.Errorf("%s: %s", call.ID, describeCall(call))
		}
		latencies = append(latencies, last.FirstToken.Sub(call.Attempts[0].Start))
	}
	slices.Sort(latencies)
	if percentile := latencies[(len(latencies)-1)*95/100]; percentile > below {
		return errors.Errorf("the 95th percentile is %s, above %s", percentile, below)
	}
	return nil
}

// expectRuns checks that the backend servers have started exactly the given number of requests
// with the idempotency key.
func (s *State) expectRuns(args *arguments) error {
	count := args.intOption("count", 1)
	if err := args.check(); err != nil {
		return err
	}
	history, err := s.bench.History()
	if err != nil {
		return err
	}
	ran := 0
	for _, run := range history.Runs {
		if run.Key == s.getOrCreateKey(args.operand(1)) {
			ran++
		}
	}
	if ran != count {
		return errors.Errorf("ran %d times, not %d", ran, count)
	}
	return nil
}

// expectQueued waits until the first entry sees exactly the given number of requests in the
// queue of the agent. It does not wait if the entry does not know the agent.
func (s *State) expectQueued(args *arguments) error {
	count, within := args.intOption("count", 1), args.durationOption("within", defaultTimeout)
	if err := args.check(); err != nil {
		return err
	}
	return bench.WaitUntil(s.ctx, within, "the queue of "+args.operand(1), func() error {
		status, err := s.bench.EntryStatus(s.ctx, s.entries[0])
		if err != nil {
			return err
		}
		for _, member := range status.Members {
			if member.ID == args.operand(1) && member.Load.Queued != count {
				return errors.Errorf("%d, not %d", member.Load.Queued, count)
			}
		}
		return nil
	})
}

// expectNotStarted checks that no backend server has started any of the calls.
func (s *State) expectNotStarted(args *arguments) error {
	calls, err := s.awaitCalls(args)
	if err != nil {
		return err
	}
	history, err := s.bench.History()
	if err != nil {
		return err
	}
	ran := 0
	for _, run := range history.Runs {
		if slices.ContainsFunc(calls, func(call checker.Call) bool { return strings.HasPrefix(run.RequestID, call.ID+"-") }) {
			ran++
		}
	}
	if ran > 0 {
		return errors.Errorf("%d of %d calls ran", ran, len(calls))
	}
	return nil
}

// expectRunning waits until the engines and plain services that the command names together
// run at least the given number of requests, so that the script can inject a fault while
// these are in progress.
func (s *State) expectRunning(args *arguments) error {
	return s.awaitRuns(args, isRunning)
}

// expectStarted waits until the engines and plain services that the command names together
// have started at least the given number of requests, finished or not.
func (s *State) expectStarted(args *arguments) error {
	return s.awaitRuns(args, func(engine.Run) bool { return true })
}

// awaitRuns waits until the servers that the command names together have at least as many
// matching runs as the option count requires, by default one.
func (s *State) awaitRuns(args *arguments, match func(engine.Run) bool) error {
	count, within := args.intOption("count", 1), args.durationOption("within", defaultTimeout)
	if err := args.check(); err != nil {
		return err
	}
	servers := args.operands[1:]
	return bench.WaitUntil(s.ctx, within, "requests at "+strings.Join(servers, ", "), func() error {
		seen := 0
		for _, name := range servers {
			matched, err := s.countRuns(name, match)
			if err != nil {
				return err
			}
			seen += matched
		}
		if seen < count {
			return errors.Errorf("%d, not %d", seen, count)
		}
		return nil
	})
}

func isRunning(run engine.Run) bool { return run.State == engine.RunStarted }

// countRuns returns the number of matching runs at a backend server since the start of its
// process.
func (s *State) countRuns(name string, match func(engine.Run) bool) (int, error) {
	server, err := s.findProcess(name)
	if err != nil {
		return 0, err
	}
	var answer struct {
		Runs []engine.Run `json:"runs"`
	}
	if err := bench.SendJSON(s.ctx, "GET", server.Address+"/runs", nil, &answer); err != nil {
		return 0, err
	}
	seen := 0
	for _, run := range answer.Runs {
		if match(run) {
			seen++
		}
	}
	return seen, nil
}

// expectPromises waits until all calls have ended, and checks that the checker finds no
// violation in the history.
func (s *State) expectPromises(*arguments) error {
	for name := range s.callGroups {
		g, _ := s.findCallGroup(name)
		g.running.Wait()
	}
	history, err := s.bench.History()
	if err != nil {
		return err
	}
	violations := checker.Check(history)
	if len(violations) == 0 {
		return nil
	}
	const maxShown = 10
	var text strings.Builder
	for _, violation := range violations[:min(maxShown, len(violations))] {
		text.WriteString("\n" + violation.String())
		for _, call := range history.Calls {
			if call.ID == violation.Call {
				text.WriteString("\n    " + describeCall(call))
			}
		}
	}
	return errors.Errorf("%d broken promises:%s", len(violations), text.String())
}

// expectRevision waits until the revision of a configuration section is in force at one entry
// or, if none is named, at every live entry, and at the live members that the entry knows.
func (s *State) expectRevision(args *arguments) error {
	section := document.Section(args.operand(1))
	revision, within := args.intOption("revision", 1), args.durationOption("within", configurationTimeout)
	entries := s.liveEntries()
	if entry := args.stringOption("entry", ""); entry != "" {
		entries = []string{entry}
	}
	if err := args.check(); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := s.bench.AwaitRevision(s.ctx, entry, string(section), int64(revision), within); err != nil {
			return err
		}
	}
	return nil
}
