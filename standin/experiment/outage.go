package experiment

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
	"github.com/fuchsiarouter/fuchsiarouter/standin/engine"
)

// Parameters of the outage experiment.
const (
	// outageBoundSeconds is the target for the time from the start of a VM until
	// it serves.
	outageBoundSeconds = 10
	// outageTimeout is how long a VM is observed. A VM that does not serve by
	// then, as is expected without the addresses of other entries, is reported
	// with this time.
	outageTimeout = 20 * time.Second
	// outageCallDeadline is the deadline of each call that tests whether the VM
	// serves.
	outageCallDeadline = time.Second
)

// Outage starts an agent and an entry, as on new VMs, while the platform's log is
// down. It measures the time from the start of the process to the first answer
// that came through it. The baseline starts both without the addresses of other
// entries, so that the log is their only source of configuration.
func Outage(_ uint64, report func(Figure)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dir, err := os.MkdirTemp("", "experiment-outage-")
	if err != nil {
		return errors.Wrap(err, "create log directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	b, err := bench.New(binaryDir, dir)
	if err != nil {
		return err
	}
	defer b.Close()
	f, err := newProcessFleet(ctx, b, 3, 3, 6)
	if err != nil {
		return err
	}
	if err := b.SetPlatformFaults(ctx, map[string]any{"log": "down"}); err != nil {
		return err
	}
	o := &outageFleet{f}
	if err := o.checkLogDown(); err != nil {
		return err
	}
	agent, err := o.timeAgentStart(3, processPlacement(0))
	if err != nil {
		return err
	}
	report(AtMost("outage-agent-serves", agent.Seconds(), "s", outageBoundSeconds))
	entry, err := o.timeEntryStart("entry-new", processPlacement(1))
	if err != nil {
		return err
	}
	report(AtMost("outage-entry-serves", entry.Seconds(), "s", outageBoundSeconds))
	alone := processPlacement(2)
	alone.OmitEntries = true
	if agent, err = o.timeAgentStart(4, alone); err != nil {
		return err
	}
	report(Unbounded("outage-baseline-alone-agent", agent.Seconds(), fmt.Sprintf("s, at most %.0f", outageTimeout.Seconds())))
	if entry, err = o.timeEntryStart("entry-alone", alone); err != nil {
		return err
	}
	report(Unbounded("outage-baseline-alone-entry", entry.Seconds(), fmt.Sprintf("s, at most %.0f", outageTimeout.Seconds())))
	return nil
}

// outageFleet is a fleet whose log is down.
type outageFleet struct{ *processFleet }

// checkLogDown returns an error if the log still answers.
func (o *outageFleet) checkLogDown() error {
	if bench.SendJSON(o.ctx, http.MethodGet, o.PlatformAddress()+"/log/config?from=0", nil, nil) == nil {
		return errors.New("log answers although it should be down")
	}
	return nil
}

// timeAgentStart starts engine and agent number i, and returns the time until the
// engine has run a call, at most outageTimeout.
func (o *outageFleet) timeAgentStart(i int, place bench.Placement) (time.Duration, error) {
	startedAt := time.Now()
	if err := o.addAgent(i, place); err != nil {
		return 0, err
	}
	process, err := o.Process(fmt.Sprintf("engine-%d", i))
	if err != nil {
		return 0, err
	}
	return o.awaitAnswer(startedAt, "", func() bool {
		var answer struct {
			Runs []engine.Run `json:"runs"`
		}
		if err := bench.SendJSON(o.ctx, http.MethodGet, process.Address+"/runs", nil, &answer); err != nil {
			return false
		}
		for _, run := range answer.Runs {
			if run.State == engine.RunDone {
				return true
			}
		}
		return false
	}), nil
}

// timeEntryStart starts an entry and returns the time until it has answered a
// call, at most outageTimeout.
func (o *outageFleet) timeEntryStart(name string, place bench.Placement) (time.Duration, error) {
	startedAt := time.Now()
	process, err := o.StartEntry(o.ctx, name, place)
	if err != nil {
		return 0, err
	}
	return o.awaitAnswer(startedAt, process.Address, func() bool { return true }), nil
}

// awaitAnswer sends calls until one was answered and the condition holds, and
// returns the time since startedAt, at most outageTimeout. All calls go to the
// address entry, or to any entry if it is empty.
func (o *outageFleet) awaitAnswer(startedAt time.Time, entry string, holds func() bool) time.Duration {
	caller := o.NewCaller("outage", "mopa", o.entryAddresses...)
	for number := 0; time.Since(startedAt) < outageTimeout; number++ {
		call := bench.Call{
			Model: controlModel, Prompt: fmt.Sprintf("%s %s %d", entry, startedAt, number), Tokens: 1,
			Idempotent: true, Entry: entry, Deadline: outageCallDeadline,
		}
		// The call is well formed, so the error needs no check: the attempts
		// show whether it was answered.
		done, _ := caller.Do(o.ctx, call)
		if n := len(done.Attempts); n > 0 && done.Attempts[n-1].Answered() && holds() {
			return time.Since(startedAt)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return outageTimeout
}
