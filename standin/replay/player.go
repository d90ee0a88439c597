package replay

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
	"github.com/fuchsiarouter/fuchsiarouter/standin/checker"
)

// callersPerWorkspace is the number of callers of a workspace. Each caches its own list of
// entries, like a separate client program.
const callersPerWorkspace = 4

// Options are the options for playing a trace.
type Options struct {
	// Configurations is the directory that contains the directories of the example
	// configurations.
	Configurations string
	// SpeedUp is the factor by which the offsets of the events are divided. It is at most
	// Fleet.SpeedUp of the trace; 0 means that value.
	SpeedUp int
	// RetryUnconditionally lets every caller retry after any failure, with a new key each
	// time; see bench.Call.
	RetryUnconditionally bool
}

// player plays one trace on a bench.
type player struct {
	bench    *bench.Bench
	trace    Trace
	options  Options
	document *bench.Document
	// entries and engines are names of processes, entryAddresses the addresses for requests
	// of the entries, in the same order.
	entries        []string
	engines        []string
	entryAddresses []string
	// startedAt is the time from which the offsets of the events count.
	startedAt time.Time
	// logMode is the mode that the last LogMode fault set, or empty before the first. Only
	// the goroutine that applies faults uses it.
	logMode string
	// tasks are the requests, publications and checks in progress.
	tasks sync.WaitGroup
	// publishMu guards the document and serializes publications.
	publishMu sync.Mutex

	mu sync.Mutex
	// callers holds the callers by workspace.
	callers map[string][]*bench.Caller
	// keys holds the idempotency keys by their names in the trace.
	keys   map[string]string
	played []PlayedRequest
	faults []AppliedFault
	// frozen is set for the names of the processes that are frozen.
	frozen map[string]bool
	// failures are for Report.Failures, without those that buildReport finds.
	failures []string
}

// PlayedRequest is a request of the trace with its outcome.
type PlayedRequest struct {
	// Line is the number of the line of the trace that describes the request.
	Line int
	Request
	// Call is the record of the call with all its attempts.
	Call checker.Call
	// Outcome is Answered, Late, Unanswered or the name of a result code.
	Outcome string
	// CrashesEngines is set for the request of a Crash fault, which crashes engines.
	CrashesEngines bool
}

// AppliedFault is a fault with the times at which its application began and returned. The
// fault took effect between the two, but a Crash or Publish may take effect later, because it
// continues in the background. The application of a kill returns after the process has exited.
// That of a restart returns after a stand-in listens, and does not wait for a daemon.
type AppliedFault struct {
	Fault
	From, Until time.Time
}

// Play plays the trace on a bench that has no processes yet. It returns an error if the trace
// could not be played. Unexpected outcomes and violated invariants are in the report; see
// Report.Err.
func Play(ctx context.Context, b *bench.Bench, trace Trace, options Options) (Report, error) {
	if options.SpeedUp == 0 {
		options.SpeedUp = trace.Fleet.SpeedUp
	}
	if options.SpeedUp < 1 || options.SpeedUp > trace.Fleet.SpeedUp {
		return Report{}, errors.Errorf("the speed-up is %d, allowed are 1 to %d", options.SpeedUp, trace.Fleet.SpeedUp)
	}
	p := &player{
		bench: b, trace: trace, options: options,
		callers: map[string][]*bench.Caller{}, keys: map[string]string{}, frozen: map[string]bool{},
	}
	if err := p.startFleet(ctx, options.Configurations); err != nil {
		return Report{}, errors.Wrap(err, "start the fleet")
	}
	if err := p.play(ctx); err != nil {
		return Report{}, err
	}
	return p.buildReport()
}

// play sends the requests at their times, and waits for all outcomes. Faults are applied one
// after the other in a separate goroutine, because a restart takes time.
func (p *player) play(ctx context.Context) error {
	p.startedAt = time.Now()
	faults := make(chan error, 1)
	go func() { faults <- p.applyFaults(ctx) }()
	for i, event := range p.trace.Events {
		if event.Request == nil {
			continue
		}
		if !p.waitUntilDue(ctx, event) {
			return ctx.Err()
		}
		// Line numbers start at 1, and the first line describes the fleet.
		line, request, caller := i+2, *event.Request, p.getOrCreateCaller(event.Request.Workspace, i)
		p.tasks.Go(func() { p.sendRequest(ctx, caller, line, request) })
	}
	err := <-faults
	p.tasks.Wait()
	return err
}

// waitUntilDue waits until the time of the event. It returns false if the context ends first.
func (p *player) waitUntilDue(ctx context.Context, event Event) bool {
	offset := time.Duration(event.OffsetMs) * time.Millisecond / time.Duration(p.options.SpeedUp)
	select {
	case <-time.After(time.Until(p.startedAt.Add(offset))):
		return true
	case <-ctx.Done():
		return false
	}
}

// getOrCreateCaller returns one of the workspace's callers, and creates them on first use.
// Consecutive numbers select different callers.
func (p *player) getOrCreateCaller(workspace string, number int) *bench.Caller {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.callers[workspace] == nil {
		for i := range callersPerWorkspace {
			name := fmt.Sprintf("%s-%d", workspace, i)
			p.callers[workspace] = append(p.callers[workspace], p.bench.NewCaller(name, workspace, p.entryAddresses...))
		}
	}
	return p.callers[workspace][number%callersPerWorkspace]
}

// getOrCreateKey returns the UUID for the key name in the trace, or "" for no name. The UUID is
// created on first use, because a UUID of version 7 contains its creation time, and entries
// refuse old keys.
func (p *player) getOrCreateKey(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if name == "" {
		return ""
	}
	if p.keys[name] == "" {
		p.keys[name] = uuid.Must(uuid.NewV7()).String()
	}
	return p.keys[name]
}

// sendRequest sends a request of the trace and records its outcome.
func (p *player) sendRequest(ctx context.Context, caller *bench.Caller, line int, request Request) {
	call := bench.Call{
		Rank: request.Rank, Deadline: time.Duration(request.DeadlineMs) * time.Millisecond,
		Patience: time.Duration(request.PatienceMs) * time.Millisecond, RetryUnconditionally: p.options.RetryUnconditionally,
	}
	// The line number makes each prompt unique, because engines derive the response from
	// the prompt.
	text := fmt.Sprintf("%d ", line)
	text += strings.Repeat("x", max(0, request.Bytes-len(text)))
	if request.Model != "" {
		call.Model, call.Prompt, call.Tokens, call.Stream, call.Idempotent = request.Model, text, request.Tokens, request.Stream, true
	} else {
		call.Service, call.Path, call.Body, call.Key = request.Service, request.Path, text, p.getOrCreateKey(request.Key)
		call.Idempotent = request.Key == ""
	}
	if request.Key != "" {
		// A key must always be sent with the same body, so the body has no line number.
		call.Body = request.Key + strings.Repeat("x", request.Bytes)
	}
	p.sendAndRecord(ctx, caller, line, request, call)
}

// sendAndRecord makes the call and records its outcome.
func (p *player) sendAndRecord(ctx context.Context, caller *bench.Caller, line int, request Request, call bench.Call) {
	done, err := caller.Do(ctx, call)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failures = append(p.failures, fmt.Sprintf("line %d: %v", line, err))
		return
	}
	p.played = append(p.played, PlayedRequest{Line: line, Request: request, Call: done, Outcome: classifyOutcome(request, done), CrashesEngines: call.Prompt == crashMarker})
}

// classifyOutcome returns the outcome of a call, as PlayedRequest.Outcome, by its last
// attempt.
func classifyOutcome(request Request, call checker.Call) string {
	last := call.Attempts[len(call.Attempts)-1]
	deadline := time.Duration(request.DeadlineMs) * time.Millisecond
	switch {
	case last.Answered() && deadline > 0 && last.End.Sub(call.Attempts[0].Start) > deadline:
		return Late
	case last.Answered():
		return Answered
	case last.Code != nil && !call.GaveUp:
		return last.Code.Name
	default:
		return Unanswered
	}
}
