package replay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
)

const (
	// crashPatience is how long the caller retries a request that crashes engines. The entries
	// refuse that request after the second crash.
	crashPatience = 5 * time.Second
	// rerunTimeout is the timeout of the direct call of a Rerun fault.
	rerunTimeout = 3 * time.Second
)

// applyFaults applies the faults of the trace in order, each at its offset or, if the one
// before takes longer, after that.
func (p *player) applyFaults(ctx context.Context) error {
	for i, event := range p.trace.Events {
		if event.Fault == nil {
			continue
		}
		if !p.waitUntilDue(ctx, event) {
			return ctx.Err()
		}
		// Event i is on line i+2; see play.
		begin := time.Now()
		if err := p.applyFault(ctx, i+2, *event.Fault); err != nil {
			return errors.Wrapf(err, "line %d: %s %s", i+2, event.Fault.Kind, event.Fault.Process)
		}
		p.mu.Lock()
		p.faults = append(p.faults, AppliedFault{*event.Fault, begin, time.Now()})
		p.mu.Unlock()
	}
	return nil
}

// applyFault carries out one fault, or the end of one. It returns when that has taken effect,
// as AppliedFault describes; Crash and Publish continue in the background. line is the number
// of the fault's line in the trace.
func (p *player) applyFault(ctx context.Context, line int, fault Fault) error {
	switch fault.Kind {
	case Kill, Freeze, Resume:
		for _, name := range strings.Fields(fault.Process) {
			if err := p.signalProcess(fault.Kind, name); err != nil {
				return err
			}
		}
		return nil
	case Restart:
		return p.restartProcesses(strings.Fields(fault.Process))
	case Cut, Stall, Heal:
		link, err := p.bench.Process("link-" + fault.Process)
		if err != nil {
			return err
		}
		return bench.SendJSON(ctx, http.MethodPost, link.Control+"/"+fault.Kind, nil, nil)
	case Leave:
		p.bench.RecordLeaving(strings.Replace(fault.Process, "agent-", "engine-", 1))
		return p.bench.MarkLeaving(ctx, fault.Process)
	case LogMode, Origin:
		if fault.Kind == LogMode {
			p.logMode = fault.Mode
		}
		return p.bench.SetPlatformFaults(ctx, map[string]any{fault.Kind: fault.Mode})
	case Crash:
		p.sendCrashRequest(ctx, line, fault)
		return nil
	case Publish:
		// Publications run in the background, so that a slow log does not delay the next
		// faults.
		isLogUp := p.logMode == "" || p.logMode == "up"
		p.tasks.Go(func() {
			err := p.publishSection(ctx, line, fault)
			if err == nil || !isLogUp {
				// A publication is expected to fail while the log is faulty.
				return
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.failures = append(p.failures, fmt.Sprintf("line %d: %v", line, err))
		})
		return nil
	default:
		// Event.validate admits only Rerun besides the kinds above.
		return p.rerunDirectly(ctx, fault)
	}
}

// signalProcess kills, freezes or resumes the process with the name, depending on the kind of
// the fault.
func (p *player) signalProcess(kind, name string) error {
	process, err := p.bench.Process(name)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.frozen[name] = kind == Freeze
	p.mu.Unlock()
	switch kind {
	case Kill:
		process.Kill()
	case Freeze:
		process.Freeze()
	default:
		process.Resume()
	}
	return nil
}

// restartProcesses restarts the named processes, which must have exited. Without names it
// restarts all engines that have exited.
func (p *player) restartProcesses(names []string) error {
	onlyExited := len(names) == 0
	if onlyExited {
		names = p.engines
	}
	for _, name := range names {
		process, err := p.bench.Process(name)
		if err != nil {
			return err
		}
		if process.IsRunning() && onlyExited {
			continue
		}
		if _, err := p.bench.Restart(name); err != nil {
			return err
		}
	}
	return nil
}

// sendCrashRequest starts to send a request that crashes every engine that runs it, and
// returns without waiting for its outcome.
func (p *player) sendCrashRequest(ctx context.Context, line int, fault Fault) {
	request := Request{
		Workspace: fault.Workspace, Model: fault.Model, Rank: string(document.Normal), Tokens: 8,
		Outcomes: []string{result.Quarantined.Name, result.ServerLost.Name},
		Reason:   "design 9: after two crashes it is refused; a retry budget may end it before",
	}
	call := bench.Call{
		Model: fault.Model, Prompt: crashMarker, Tokens: request.Tokens, Stream: true, Idempotent: true,
		Rank: request.Rank, Patience: crashPatience,
	}
	caller := p.getOrCreateCaller(fault.Workspace, line)
	p.tasks.Go(func() { p.sendAndRecord(ctx, caller, line, request, call) })
}

// publishSection changes and publishes the section that the fault names. The section of models
// gets a new live version; in the others one number is increased. If the fault bounds the time
// until the section is in force, publishSection starts a check of this bound at each healthy
// entry and the live agents in its view.
func (p *player) publishSection(ctx context.Context, line int, fault Fault) error {
	p.publishMu.Lock()
	defer p.publishMu.Unlock()
	section := document.Section(fault.Section)
	switch section {
	case document.SectionModels:
		version := fmt.Sprintf("v%d", line)
		if _, err := p.document.AddVersion(ctx, fault.Model, version, versionBytes, p.trace.Fleet.Engines); err != nil {
			return err
		}
	case document.SectionRanks:
		p.document.Ranks.Ranks[1].FirstTokenMilliseconds++
	case document.SectionWorkspaces:
		p.document.Workspaces.Workspaces[0].Weight++
	default:
		return errors.Errorf("section %q is not published by traces", section)
	}
	if err := p.document.Publish(ctx, section); err != nil {
		return err
	}
	if fault.InForceMs == 0 {
		return nil
	}
	revision := p.bench.Publisher.Revision(section)
	for _, entry := range p.entries {
		if !p.isHealthy(entry) {
			continue
		}
		pid := p.processID(entry)
		p.tasks.Go(func() {
			within := time.Duration(fault.InForceMs) * time.Millisecond
			err := p.bench.AwaitRevision(ctx, entry, fault.Section, revision, within)
			// The check does not apply to an entry that a later fault has killed
			// meanwhile, even if it was restarted, or that is frozen now.
			if err != nil && p.isHealthy(entry) && p.processID(entry) == pid {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.failures = append(p.failures, fmt.Sprintf("line %d: %v", line, err))
			}
		})
	}
	return nil
}

// processID returns the process ID, which differs between the starts of the same name, or 0
// if the process was never started.
func (p *player) processID(name string) int {
	process, err := p.bench.Process(name)
	if err != nil {
		return 0
	}
	return process.PID()
}

// isHealthy reports whether the process runs and is not frozen.
func (p *player) isHealthy(name string) bool {
	process, err := p.bench.Process(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	return err == nil && process.IsRunning() && !p.frozen[name]
}

// rerunDirectly sends a request directly to the plain service that the fault names, bypassing
// fuchsiarouter, with an idempotency key that was used before. A second run with the same key
// violates an invariant on purpose, to test that the checker reports it.
func (p *player) rerunDirectly(ctx context.Context, fault Fault) error {
	service, err := p.bench.Process(fault.Process)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, rerunTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+service.Address+"/rerun", http.NoBody)
	if err != nil {
		return err
	}
	request.Header.Set("Idempotency-Key", p.getOrCreateKey(fault.Key))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
