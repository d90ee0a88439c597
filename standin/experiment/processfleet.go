package experiment

import (
	"context"
	"fmt"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/settings"
	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
)

// processFleet is a fleet of real daemon and engine processes that serves one
// version of controlModel.
type processFleet struct {
	*bench.Bench
	ctx context.Context
	// entryNames and entryAddresses describe the same entries, oldest first.
	entryNames     []string
	engineNames    []string
	entryAddresses []string
	document       *bench.Document
	// digest identifies the version when the readiness of its replicas is awaited.
	digest string
}

// processPlacement returns the region and availability zone of VM number i. The
// VMs are distributed round-robin over controlRegions.
func processPlacement(i int) bench.Placement {
	region := controlRegions[i%len(controlRegions)]
	return bench.Placement{Region: region, AvailabilityZone: region + "-a"}
}

// newProcessFleet starts entries, engines and one agent for each engine, publishes
// a model version with the given number of replicas, and returns when every entry
// sees it ready on as many agents. If replicas is greater than agents, it returns
// when every agent is ready; agents that are added later get the remaining
// replicas.
func newProcessFleet(ctx context.Context, b *bench.Bench, entries, agents, replicas int) (*processFleet, error) {
	f := &processFleet{Bench: b, ctx: ctx}
	if err := b.StartPlatform("--vm-list-lag=0s"); err != nil {
		return nil, err
	}
	for i := range entries {
		if _, err := f.addEntry(fmt.Sprintf("entry-%d", i), processPlacement(i)); err != nil {
			return nil, err
		}
	}
	for i := range agents {
		if err := f.addAgent(i, processPlacement(i)); err != nil {
			return nil, err
		}
	}
	var regions []document.Region
	for _, region := range controlRegions {
		regions = append(regions, document.Region{Name: region, AvailabilityZones: []string{region + "-a"}})
	}
	f.document = b.NewDocument(regions...)
	f.document.AddWorkspace("mopa", 1)
	var err error
	if f.digest, err = f.document.AddVersion(ctx, controlModel, "v1", controlVersionBytes, replicas); err != nil {
		return nil, err
	}
	if err := f.document.Publish(ctx); err != nil {
		return nil, err
	}
	for _, name := range f.entryNames {
		if err := b.AwaitServing(ctx, name, controlModel, f.digest, min(agents, replicas), controlTimeout); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// addEntry starts an entry and adds it to the fleet.
func (f *processFleet) addEntry(name string, place bench.Placement) (*bench.Process, error) {
	process, err := f.StartEntry(f.ctx, name, place)
	if err != nil {
		return nil, err
	}
	f.entryNames = append(f.entryNames, name)
	f.entryAddresses = append(f.entryAddresses, process.Address)
	return process, nil
}

// addAgent starts engine number i and agent number i in front of it.
func (f *processFleet) addAgent(i int, place bench.Placement) error {
	name := fmt.Sprintf("engine-%d", i)
	engine, err := f.StartEngine(name, "--slots=8", "--token-time=10ms")
	if err != nil {
		return err
	}
	f.engineNames = append(f.engineNames, name)
	_, err = f.StartAgent(f.ctx, fmt.Sprintf("agent-%d", i), place, func(s *settings.Agent) { s.EngineAddress = engine.Address })
	return err
}
