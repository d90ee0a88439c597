package experiment

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
	"github.com/fuchsiarouter/fuchsiarouter/standin/checker"
)

// Parameters of the drain experiment.
const (
	drainEntries = 6
	drainAgents  = 6
	// drainCallers is the number of callers, each with one call at a time.
	drainCallers = 12
	// drainTokens is the length of each answer in tokens.
	drainTokens = 30
	// drainSettleTime is the time during which callers send calls before and after
	// each step.
	drainSettleTime = 2 * time.Second
	// drainNewWorkBound is how long after the start of its drain a VM may still
	// get new work.
	drainNewWorkBound = 3 * time.Second
	// drainPatience is how long a caller retries a call.
	drainPatience = 20 * time.Second
)

// Drain replaces all entries of a fleet of real processes one by one and then
// all at once, and stops one agent by SIGTERM and one by marking its VM as leaving
// in the platform's VM list, while callers that cache the addresses of entries keep
// sending requests for streams. A daemon that is stopped in one of these ways
// drains: it exits when the requests in progress have ended. Drain counts the
// requests that started on a VM more than 3 s after it began to drain and the
// requests that were cut, which means that they ended without an answer or a
// refusal. The baseline kills an entry and an agent without draining.
func Drain(_ uint64, report func(Figure)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dir, err := os.MkdirTemp("", "experiment-drain-")
	if err != nil {
		return errors.Wrap(err, "create log directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	b, err := bench.New(binaryDir, dir)
	if err != nil {
		return err
	}
	defer b.Close()
	f, err := newProcessFleet(ctx, b, drainEntries, drainAgents, drainAgents)
	if err != nil {
		return err
	}
	d := &drainFleet{processFleet: f, drainStartedAt: map[string]time.Time{}}
	for _, step := range []struct {
		name string
		run  func() error
	}{
		{"one-by-one", d.replaceOneByOne},
		{"all-at-once", d.replaceAllAtOnce},
		{"agent-by-signal", d.stopAgentBySignal},
		{"agent-by-list", d.stopAgentByVMList},
		{"baseline-without-draining", d.killWithoutDraining},
	} {
		if err := d.measure(step.name, step.run, report); err != nil {
			return errors.Wrap(err, step.name)
		}
	}
	return nil
}

// drainFleet is the fleet of the drain experiment.
type drainFleet struct {
	*processFleet
	// drainStartedAt is when each VM began to drain: entries by address, backend
	// servers by the name of the engine process.
	drainStartedAt map[string]time.Time
	// nextReplacement is the number of the next replacement entry, from 0.
	nextReplacement int
}

// measure runs a step while callers send calls, and reports the figures of the
// calls. The name of the step is a part of the figure names.
func (d *drainFleet) measure(name string, step func() error, report func(Figure)) error {
	before, err := d.History()
	if err != nil {
		return err
	}
	stop := d.startCallers(name)
	time.Sleep(drainSettleTime)
	stepErr := step()
	time.Sleep(drainSettleTime)
	stop()
	if stepErr != nil {
		return stepErr
	}
	after, err := d.History()
	if err != nil {
		return err
	}
	calls := after.Calls[len(before.Calls):]
	late, cut, answered := 0, 0, 0
	for _, call := range calls {
		if call.Attempts[len(call.Attempts)-1].Answered() {
			answered++
		}
		for _, attempt := range call.Attempts {
			if isCut(attempt) {
				cut++
			}
			if at, ok := d.drainStartedAt[attempt.Entry]; ok && attempt.Start.Sub(at) > drainNewWorkBound && !isRefused(attempt) {
				late++
			}
		}
	}
	for _, run := range after.Runs {
		if at, ok := d.drainStartedAt[run.Server]; ok && run.Start.Sub(at) > drainNewWorkBound {
			late++
		}
	}
	report(Unbounded("drain-"+name+"-calls", float64(len(calls)), "calls"))
	if name == "baseline-without-draining" {
		report(Unbounded("drain-"+name+"-cut", float64(cut), "requests"))
		report(Unbounded("drain-"+name+"-answered", float64(answered)/float64(len(calls)), "share"))
		return nil
	}
	report(AtMost("drain-"+name+"-late", float64(late), "requests started after 3 s", 0))
	report(AtMost("drain-"+name+"-cut", float64(cut), "requests", 0))
	report(Unbounded("drain-"+name+"-answered", float64(answered)/float64(len(calls)), "share"))
	return nil
}

// isRefused reports whether the attempt certainly did not run: it was not sent, or
// the answer says so.
func isRefused(attempt checker.Attempt) bool {
	return attempt.NotSent || attempt.Code != nil && attempt.Ran == result.RanNo
}

// isCut reports whether the attempt was neither answered nor refused.
func isCut(attempt checker.Attempt) bool { return !attempt.Answered() && !isRefused(attempt) }

// startCallers starts drainCallers callers, each of which sends one call after the
// other. The returned function stops them and waits for the calls in progress. The
// given name becomes a part of the names of the callers.
func (d *drainFleet) startCallers(name string) func() {
	stopped := make(chan struct{})
	var callers sync.WaitGroup
	for i := range drainCallers {
		caller := d.NewCaller(fmt.Sprintf("%s-%d", name, i), "mopa", d.entryAddresses...)
		callers.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stopped:
					return
				default:
				}
				// The call is well formed; its outcome is in the history.
				_, _ = caller.Do(d.ctx, bench.Call{
					Model: controlModel, Prompt: fmt.Sprintf("%s %d %d", name, i, number), Tokens: drainTokens, Stream: true,
					Idempotent: true, Patience: drainPatience,
				})
			}
		})
	}
	return func() { close(stopped); callers.Wait() }
}

// addReplacement starts an entry and waits until it sees all agents ready.
func (d *drainFleet) addReplacement() error {
	name := fmt.Sprintf("entry-%d", drainEntries+d.nextReplacement)
	if _, err := d.addEntry(name, processPlacement(d.nextReplacement)); err != nil {
		return err
	}
	d.nextReplacement++
	return d.AwaitServing(d.ctx, name, controlModel, d.digest, drainAgents, controlTimeout)
}

// terminateEntries sends SIGTERM to the given number of oldest entries, waits until
// they have exited and removes them from the fleet. It returns an error if one does
// not exit cleanly.
func (d *drainFleet) terminateEntries(count int) error {
	for _, name := range d.entryNames[:count] {
		process, err := d.Process(name)
		if err != nil {
			return err
		}
		d.drainStartedAt[process.Address] = time.Now()
		process.Terminate()
	}
	for _, name := range d.entryNames[:count] {
		if err := d.awaitExit(name); err != nil {
			return err
		}
	}
	d.entryNames, d.entryAddresses = d.entryNames[count:], d.entryAddresses[count:]
	return nil
}

// awaitExit waits until the process with the name has exited and returns an error
// unless it exited cleanly.
func (d *drainFleet) awaitExit(name string) error {
	process, err := d.Process(name)
	if err != nil {
		return err
	}
	err = bench.WaitUntil(d.ctx, controlTimeout, name+" exits", func() error {
		if process.IsRunning() {
			return errors.New("process is still running")
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := process.Err(); err != nil {
		return errors.Wrap(err, name)
	}
	return nil
}

// replaceOneByOne replaces the entries one after the other: it starts a
// replacement and then terminates an old entry.
func (d *drainFleet) replaceOneByOne() error {
	for range drainEntries {
		if err := d.addReplacement(); err != nil {
			return err
		}
		if err := d.terminateEntries(1); err != nil {
			return err
		}
	}
	return nil
}

// replaceAllAtOnce starts all replacement entries and then terminates all old
// entries at once.
func (d *drainFleet) replaceAllAtOnce() error {
	for range drainEntries {
		if err := d.addReplacement(); err != nil {
			return err
		}
	}
	return d.terminateEntries(drainEntries)
}

// stopAgentBySignal sends SIGTERM to an agent. It returns drainNewWorkBound after
// the agent has exited, so that requests which start too late are observed.
func (d *drainFleet) stopAgentBySignal() error {
	process, err := d.Process("agent-0")
	if err != nil {
		return err
	}
	d.drainStartedAt["engine-0"] = time.Now()
	process.Terminate()
	if err := d.awaitExit("agent-0"); err != nil {
		return err
	}
	time.Sleep(drainNewWorkBound)
	return nil
}

// stopAgentByVMList marks an agent's VM as leaving in the platform's VM list.
// It returns drainNewWorkBound after the agent has exited, so that requests which
// start too late are observed.
func (d *drainFleet) stopAgentByVMList() error {
	d.drainStartedAt["engine-1"] = time.Now()
	if err := d.MarkLeaving(d.ctx, "agent-1"); err != nil {
		return err
	}
	if err := d.awaitExit("agent-1"); err != nil {
		return err
	}
	time.Sleep(drainNewWorkBound)
	return nil
}

// killWithoutDraining kills an entry and, after drainSettleTime, an agent.
func (d *drainFleet) killWithoutDraining() error {
	for _, name := range []string{d.entryNames[0], "agent-2"} {
		process, err := d.Process(name)
		if err != nil {
			return err
		}
		process.Kill()
		time.Sleep(drainSettleTime)
	}
	return nil
}
