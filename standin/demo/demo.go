// Package demo runs a small fleet as processes on one machine, spread over three simulated
// regions. The fleet reads its configuration from a document that the demo publishes, loads
// a model, and serves requests of three ranks, the priority classes, while the next version
// of the model is rolled out. It then serves a booking, a call of a service without a model.
//
// The fleet consists of entries, which receive the requests of callers, and agents, each of
// which forwards requests to the engine or service on its VM.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/settings"
	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
	"github.com/fuchsiarouter/fuchsiarouter/standin/checker"
)

// Sizes of the demo.
const (
	entryCount = 3
	// agentCount is the number of agents with an engine. The agent of the booking service
	// is not included.
	agentCount = 6
	// modelBytes is the size of the weights of each version of the model.
	modelBytes = 8 << 20
	// originBytesPerSecond is the rate at which the origin serves weights to all agents
	// together.
	originBytesPerSecond = 16 << 20
	// minCallsPerCaller is the number of calls that a caller sends even if the rollout is
	// complete before.
	minCallsPerCaller = 6
	// tokensPerCall is the length of each response of the model, in tokens.
	tokensPerCall  = 24
	callersPerRank = 4
	modelName      = "rounds"
	serviceName    = "booking"
)

const (
	// startTimeout bounds the time until an entry is ready, and until it lists all engines
	// as having the live version or lists the booking service.
	startTimeout = 15 * time.Second
	// rolloutTimeout bounds the time until all engines have loaded a version.
	rolloutTimeout = 30 * time.Second
	// callTimeout is how long a caller retries a call before it gives up.
	callTimeout = 20 * time.Second
)

// regions are the regions of the fleet, with one availability zone each.
var regions = []document.Region{
	{Name: "norte", AvailabilityZones: []string{"norte-a"}},
	{Name: "centro", AvailabilityZones: []string{"centro-a"}},
	{Name: "sur", AvailabilityZones: []string{"sur-a"}},
}

// Demo is one run of the demo.
type Demo struct {
	bench *bench.Bench
	// out receives the progress and the results.
	out     io.Writer
	started time.Time
	// engines, agents and entries are the names of the processes that should be serving:
	// those that were started, except those that killTargetProcess has removed.
	engines []string
	agents  []string
	entries []string
	// entryAddresses are the addresses that callers know, including that of an entry that
	// was killed.
	entryAddresses []string
	document       *bench.Document
	// killTarget is the name of the process to kill during the rollout, or empty.
	killTarget string
	// originCopies is the number of bytes read from the origin, divided by the number of
	// versions and by the size of each. It is far below agentCount if agents get most of
	// the weights from each other.
	originCopies float64
}

// Run runs the demo with the binaries in the directory bin and writes its progress and
// results to out. The processes write logs and journals to the directory dir. killTarget
// names an entry or agent to kill with SIGKILL during the rollout, or is empty. Run returns
// an error if a step fails, a call gets no complete response, or the checker finds that a
// guarantee of the fleet to its callers was violated.
func Run(ctx context.Context, bin, dir, killTarget string, out io.Writer) error {
	b, err := bench.New(bin, dir)
	if err != nil {
		return err
	}
	defer b.Close()
	d := &Demo{bench: b, out: out, killTarget: killTarget, started: time.Now()}
	for _, step := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"start the fleet", d.startFleet},
		{"publish the document", d.publishDocument},
		{"load the first version", d.awaitFirstVersion},
		{"send requests and roll out the second version", d.sendAndRollOut},
		{"stop the daemons", d.stopDaemons},
	} {
		before := time.Now()
		if err := step.run(ctx); err != nil {
			return errors.Wrap(err, step.name)
		}
		d.printf("%-48s %7.2f s", step.name, time.Since(before).Seconds())
	}
	return d.checkHistory()
}

// printf writes a line to the output of the demo.
func (d *Demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

// startFleet starts the stand-in of the platform, the entries, agentCount agents with an
// engine each, and a booking service with its agent.
func (d *Demo) startFleet(ctx context.Context) error {
	err := d.bench.StartPlatform("--origin-bytes-per-second", fmt.Sprint(originBytesPerSecond), "--vm-list-lag", "500ms")
	if err != nil {
		return err
	}
	for i := range entryCount {
		name := fmt.Sprintf("entry-%d", i)
		process, err := d.bench.StartEntry(ctx, name, placement(i))
		if err != nil {
			return err
		}
		d.entries = append(d.entries, name)
		d.entryAddresses = append(d.entryAddresses, process.Address)
	}
	for i := range agentCount {
		name := fmt.Sprintf("engine-%d", i)
		engine, err := d.bench.StartEngine(name, "--slots", "4", "--token-time", "5ms")
		if err != nil {
			return err
		}
		d.engines = append(d.engines, name)
		agent := fmt.Sprintf("agent-%d", i)
		d.agents = append(d.agents, agent)
		_, err = d.bench.StartAgent(ctx, agent, placement(i), func(s *settings.Agent) {
			s.EngineAddress = engine.Address
		})
		if err != nil {
			return err
		}
	}
	backend, err := d.bench.StartService("booking-0", "--delay", "20ms")
	if err != nil {
		return err
	}
	d.agents = append(d.agents, "agent-booking")
	_, err = d.bench.StartAgent(ctx, "agent-booking", placement(0), func(s *settings.Agent) {
		s.Backend, s.Service = backend.Address, serviceName
	})
	return err
}

// placement returns the region and availability zone of the process with the index. The
// processes are spread evenly over the regions.
func placement(i int) bench.Placement {
	region := regions[i%len(regions)]
	return bench.Placement{Region: region.Name, AvailabilityZone: region.AvailabilityZones[0]}
}

// publishDocument publishes the configuration document, with the first version of the model,
// and waits until all entries are ready.
func (d *Demo) publishDocument(ctx context.Context) error {
	d.document = d.bench.NewDocument(regions...)
	d.document.AddWorkspace("mopa", 1)
	d.document.AddService(serviceName)
	if _, err := d.document.AddVersion(ctx, modelName, "v1", modelBytes, agentCount); err != nil {
		return err
	}
	if err := d.document.Publish(ctx); err != nil {
		return err
	}
	for _, name := range d.entries {
		if err := d.bench.AwaitReady(ctx, name, startTimeout); err != nil {
			return err
		}
	}
	return nil
}

// awaitFirstVersion waits until the fleet serves the first version of the model, which is the
// live one then.
func (d *Demo) awaitFirstVersion(ctx context.Context) error {
	return d.awaitVersion(ctx)
}

// awaitVersion waits until every engine has loaded the live version of the model, and every
// entry knows that all engines serve this version and that the booking service is available.
// The live version is the one that requests of the model get.
func (d *Demo) awaitVersion(ctx context.Context) error {
	version, _ := d.document.Models.Models[0].LiveVersion()
	if err := d.bench.AwaitReplicas(ctx, d.engines, modelName, version.Digest, len(d.engines), rolloutTimeout); err != nil {
		return err
	}
	for _, name := range d.entries {
		if err := d.bench.AwaitServing(ctx, name, modelName, version.Digest, len(d.engines), startTimeout); err != nil {
			return err
		}
		if err := d.bench.AwaitServing(ctx, name, serviceName, "", 1, startTimeout); err != nil {
			return err
		}
	}
	return nil
}

// sendAndRollOut rolls out the second version while callers send calls. Afterwards, it sends
// entryCount more calls of the model, and the booking.
func (d *Demo) sendAndRollOut(ctx context.Context) error {
	stopCalls := make(chan struct{})
	calls := d.startCalls(ctx, stopCalls)
	err := d.rollOut(ctx)
	close(stopCalls)
	if callErr := calls.Wait(); err == nil {
		err = callErr
	}
	if err != nil {
		return err
	}
	caller := d.bench.NewCaller("after", "mopa", d.entryAddresses...)
	for range entryCount {
		if _, err := caller.Do(ctx, newModelCall(document.Urgent, "after the rollout")); err != nil {
			return err
		}
	}
	return d.sendBooking(ctx)
}

// rollOut publishes the second version, kills the kill target, if any, and waits until the
// fleet serves the version. It then computes originCopies.
func (d *Demo) rollOut(ctx context.Context) error {
	if _, err := d.document.AddVersion(ctx, modelName, "v2", modelBytes, agentCount); err != nil {
		return err
	}
	if err := d.document.Publish(ctx, document.SectionModels); err != nil {
		return err
	}
	if err := d.killTargetProcess(); err != nil {
		return err
	}
	if err := d.awaitVersion(ctx); err != nil {
		return err
	}
	var originBytes struct {
		Total int64 `json:"total"`
	}
	if err := bench.SendJSON(ctx, http.MethodGet, d.bench.PlatformAddress()+"/origin-bytes", nil, &originBytes); err != nil {
		return err
	}
	d.originCopies = float64(originBytes.Total) / modelBytes / float64(len(d.document.Models.Models[0].Versions))
	return nil
}

// killTargetProcess kills the kill target, if any, and removes it from the names of the
// processes that should be serving. It also removes the engine of a killed agent, because
// without its agent an engine loads no further versions and gets no requests.
func (d *Demo) killTargetProcess() error {
	if d.killTarget == "" {
		return nil
	}
	process, err := d.bench.Process(d.killTarget)
	if err != nil {
		return err
	}
	process.Kill()
	removed := []string{d.killTarget, strings.Replace(d.killTarget, "agent-", "engine-", 1)}
	isRemoved := func(name string) bool { return slices.Contains(removed, name) }
	d.entries = slices.DeleteFunc(d.entries, isRemoved)
	d.agents = slices.DeleteFunc(d.agents, isRemoved)
	d.engines = slices.DeleteFunc(d.engines, isRemoved)
	d.printf("killed %s", d.killTarget)
	return nil
}

// sendBooking sends a booking, and then sends it again with the same idempotency key, as a
// caller does that has not received the response. The checker verifies that the booking ran
// once.
func (d *Demo) sendBooking(ctx context.Context) error {
	key, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "key")
	}
	caller := d.bench.NewCaller("booking", "mopa", d.entryAddresses...)
	for i := range 2 {
		_, err := caller.Do(ctx, bench.Call{
			Service: serviceName, Path: "/bookings", Body: `{"pickup":"04:30"}`, Key: key.String(), FirstSend: i == 0, Patience: callTimeout,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// stopDaemons shuts down the remaining agents and entries gracefully and concurrently. The
// engines and the service run until the end of the demo.
func (d *Demo) stopDaemons(context.Context) error {
	var group errgroup.Group
	for _, name := range append(slices.Clone(d.agents), d.entries...) {
		group.Go(func() error { return d.bench.Stop(name) })
	}
	return group.Wait()
}

// checkHistory prints the results. It returns an error if the checker finds a violation in
// the history of calls and runs, or if a call has no complete response.
func (d *Demo) checkHistory() error {
	history, err := d.bench.History()
	if err != nil {
		return err
	}
	d.printTable(history)
	d.printf("origin: %.2f copies of each version drawn for %d agents", d.originCopies, agentCount)
	violations := checker.Check(history)
	for _, violation := range violations {
		d.printf("%s", violation)
	}
	for _, call := range history.Calls {
		if last := call.Attempts[len(call.Attempts)-1]; !last.Answered() {
			violations = append(violations, checker.Violation{Promise: checker.LostRequest, Call: call.ID})
			d.printf("%s was not answered: status %d, result %v, %s", call.ID, last.Status, last.Code, last.Broken)
		}
	}
	d.printf("%d calls, %d runs, %d broken promises, %.1f s", len(history.Calls), len(history.Runs), len(violations), time.Since(d.started).Seconds())
	if len(violations) > 0 {
		return errors.Errorf("%d broken promises", len(violations))
	}
	return nil
}
