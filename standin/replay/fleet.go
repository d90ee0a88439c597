package replay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/settings"
	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
)

const (
	// startTimeout bounds each wait for an entry to be ready or to see the servers of a model
	// or service.
	startTimeout = 20 * time.Second
	// versionBytes is the size of each model version, small enough to load immediately.
	versionBytes = 256 << 10
	// crashMarker is the prompt that makes the stand-in engines exit.
	crashMarker = "CRASH-THE-ENGINE"
)

// startFleet starts the processes of the fleet, publishes the example document from the
// directory configurations, adapted to this bench, and waits until the fleet is ready.
func (p *player) startFleet(ctx context.Context, configurations string) error {
	example, err := readExample(filepath.Join(configurations, p.trace.Fleet.Configuration))
	if err != nil {
		return err
	}
	if err := p.bench.StartPlatform("--vm-list-lag=200ms"); err != nil {
		return err
	}
	if err := p.startProcesses(ctx, example.Fleet.Regions); err != nil {
		return err
	}
	if err := p.publishExample(ctx, example); err != nil {
		return err
	}
	return p.awaitFleet(ctx)
}

// readExample reads the example document, one TOML file for each section, in the directory.
func readExample(directory string) (document.Document, error) {
	var texts []document.SectionText
	for _, section := range document.Sections() {
		file := filepath.Join(directory, string(section)+".toml")
		content, err := os.ReadFile(file)
		if err != nil {
			return document.Document{}, errors.Wrap(err, "configuration")
		}
		texts = append(texts, document.SectionText{Section: section, File: file, Content: content})
	}
	return document.Read(texts)
}

// startProcesses starts the entries, engines and plain services, each engine and service with
// an agent. It distributes the daemons over the regions in turn.
func (p *player) startProcesses(ctx context.Context, regions []document.Region) error {
	fleet, started := p.trace.Fleet, 0
	place := func() bench.Placement {
		region := regions[started%len(regions)]
		started++
		return bench.Placement{Region: region.Name, AvailabilityZone: region.AvailabilityZones[0]}
	}
	for i := range fleet.Entries {
		name, placement := fmt.Sprintf("entry-%d", i), place()
		var err error
		if placement.Platform, err = p.startLinkIfListed(name, p.bench.PlatformAddress()); err != nil {
			return err
		}
		entry, err := p.bench.StartEntry(ctx, name, placement)
		if err != nil {
			return err
		}
		p.entries, p.entryAddresses = append(p.entries, name), append(p.entryAddresses, entry.Address)
	}
	for i := range fleet.Engines {
		engineName, name := fmt.Sprintf("engine-%d", i), fmt.Sprintf("agent-%d", i)
		engine, err := p.bench.StartEngine(engineName, fmt.Sprintf("--slots=%d", fleet.Slots),
			fmt.Sprintf("--token-time=%dus", fleet.TokenTimeUs), "--crash-marker="+crashMarker)
		if err != nil {
			return err
		}
		address, err := p.startLinkIfListed(name, engine.Address)
		if err != nil {
			return err
		}
		p.engines = append(p.engines, engineName)
		if _, err := p.bench.StartAgent(ctx, name, place(), func(agent *settings.Agent) {
			agent.EngineAddress, agent.Slots = address, fleet.Slots
		}); err != nil {
			return err
		}
	}
	for _, service := range slices.Sorted(maps.Keys(fleet.Services)) {
		for i := range fleet.Services[service] {
			serverName, name := fmt.Sprintf("%s-%d", service, i), fmt.Sprintf("agent-%s-%d", service, i)
			server, err := p.bench.StartService(serverName, fmt.Sprintf("--delay=%dms", fleet.ServiceTimeMs))
			if err != nil {
				return err
			}
			if _, err := p.bench.StartAgent(ctx, name, place(), func(agent *settings.Agent) {
				agent.Backend, agent.Service = server.Address, service
			}); err != nil {
				return err
			}
		}
	}
	return nil
}

// startLinkIfListed starts a link to the target if the fleet lists one for the process, and
// returns its address. Otherwise it returns the target.
func (p *player) startLinkIfListed(name, target string) (string, error) {
	if !slices.Contains(p.trace.Fleet.Links, name) {
		return target, nil
	}
	link, err := p.bench.StartLink("link-"+name, target)
	if err != nil {
		return "", err
	}
	return link.Address, nil
}

// publishExample publishes the example document with the owners' keys, the bearer tokens and
// the model versions replaced by those of this bench.
func (p *player) publishExample(ctx context.Context, example document.Document) error {
	p.document = p.bench.NewDocument(example.Fleet.Regions...)
	p.document.Fleet, p.document.Ranks, p.document.Services = example.Fleet, example.Ranks, example.Services
	p.document.Workspaces = example.Workspaces
	for i := range p.document.Workspaces.Workspaces {
		workspace := &p.document.Workspaces.Workspaces[i]
		hash := sha256.Sum256([]byte(workspace.Name))
		workspace.TokenHash = hex.EncodeToString(hash[:])
	}
	// Every model has a replica on every engine, independent of the time of day.
	for _, model := range example.Models.Models {
		if _, err := p.document.AddVersion(ctx, model.Name, "v1", versionBytes, p.trace.Fleet.Engines); err != nil {
			return err
		}
		p.document.Models.Models[len(p.document.Models.Models)-1].Urgent = model.Urgent
	}
	return p.document.Publish(ctx)
}

// awaitFleet waits until every entry accepts requests, and sees every engine as ready for
// every model and every server of each plain service as live.
func (p *player) awaitFleet(ctx context.Context) error {
	for _, entry := range p.entries {
		if err := p.bench.AwaitReady(ctx, entry, startTimeout); err != nil {
			return err
		}
		for _, model := range p.document.Models.Models {
			digest := model.Versions[0].Digest
			if err := p.bench.AwaitServing(ctx, entry, model.Name, digest, p.trace.Fleet.Engines, startTimeout); err != nil {
				return err
			}
		}
		for service, servers := range p.trace.Fleet.Services {
			if err := p.bench.AwaitServing(ctx, entry, service, "", servers, startTimeout); err != nil {
				return err
			}
		}
	}
	return nil
}
