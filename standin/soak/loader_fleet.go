package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
	"github.com/fuchsiarouter/fuchsiarouter/standin/stagedengine"
)

const (
	// versionPieces is the number of pieces of each version.
	versionPieces = 24
	// engineLoadTime is the time that an engine takes to load a version.
	engineLoadTime = 200 * time.Millisecond
	// registrationInterval is the interval at which the registrations of engines are updated.
	registrationInterval = 200 * time.Millisecond
	// faultMemory is the time before the acceptance of a wrong load from which its faults are
	// described.
	faultMemory = 8 * time.Second
)

// loaderNodeFileFormat is the node file of a loader. Its formatting verbs stand for the loader's name,
// its IP address, the first and last port for traffic between daemons, the address of its engine,
// and that of the store.
const loaderNodeFileFormat = `{"nodeName":%q,"ip":%q,"zone":"z","region":"r","zones":{"z":"r"},"internalPorts":[%d,%d],
 "app":%q,"service":"llm","limits":{"memoryMb":150,"maxFds":712,"linkMbps":100},"bounds":{"version_ms":3000},"platform":{"address":%q}}`

// loaderFleet holds the loaders under test with their engines, and stand-ins of the store and of the
// weight origin.
type loaderFleet struct {
	store    *keyedstore.Store
	origin   *stagedengine.Origin
	machines []*machine
	// cancel ends the updates of the registrations.
	cancel context.CancelFunc

	mu sync.Mutex
	// version is the newest declared version.
	version int
}

// machine is a VM with an engine and a loader.
type machine struct {
	process
	engine *stagedengine.Engine
	faults callFaults
	// pieceAddress is the address of the loader for other loaders.
	pieceAddress string
}

// newLoaderFleet starts the stand-ins and the loaders. The engines hold version 1.
func newLoaderFleet(settings LoaderSettings) (*loaderFleet, error) {
	store, err := keyedstore.New("127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	origin, err := stagedengine.NewOrigin("127.0.0.1:0", versionPieces, 0)
	if err != nil {
		return nil, errors.Wrap(err, "origin")
	}
	f := &loaderFleet{store: store, origin: origin}
	store.Put(keyedstore.TopicOperator, "config", fmt.Sprintf(`{"version":1,"routes":[],"services":[`+
		`{"name":"llm","engine":{"slots":4,"chunks":%d,"models":[{"name":"m"}]}},{"name":"o","origin":%q,"zone":"z"}]}`, versionPieces, origin.Address()))
	f.declareNext()
	// A loader uses the second port of the range.
	_, port := nextPort(), nextPort()
	for index := range settings.Loaders {
		m, err := newMachine(settings, index, port, store.Address())
		if err != nil {
			return nil, err
		}
		f.machines = append(f.machines, m)
		store.Put(keyedstore.TopicServers, m.name, m.registration())
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.updateRegistrations(ctx)
	return f, nil
}

// newMachine starts the engine of a machine and writes the node file of its loader. peerPort is the
// port of the loaders.
func newMachine(settings LoaderSettings, index, peerPort int, storeAddress string) (*machine, error) {
	m := &machine{process: process{name: fmt.Sprintf("loader-%d", index), binary: settings.Binary, command: "loader"}}
	m.faults.reset(settings.Seed, index)
	engine, err := stagedengine.New(stagedengine.Settings{
		Address: net.JoinHostPort(vmIP(index), "0"), Model: "m", Pieces: versionPieces, Version: 1, LoadTime: engineLoadTime,
		Fault: func(call stagedengine.Call) stagedengine.Fault { return m.faults.draw(m, call) },
	})
	if err != nil {
		return nil, errors.Wrap(err, "engine")
	}
	m.engine = engine
	m.pieceAddress = vmAddress(index, peerPort)
	m.logFile = filepath.Join(settings.WorkDir, m.name+".log")
	m.nodeFile = filepath.Join(settings.WorkDir, m.name+".json")
	// A loader uses the second port of the range.
	content := fmt.Appendf(nil, loaderNodeFileFormat, m.name, vmIP(index), peerPort-1, peerPort, engine.Address(), storeAddress)
	if err := os.WriteFile(m.nodeFile, content, 0o600); err != nil {
		return nil, errors.Wrap(err, "settings file")
	}
	return m, nil
}

// registration returns the value that registers the engine in the store.
func (m *machine) registration() string {
	models := ""
	if version := m.engine.Version(); version > 0 {
		models = fmt.Sprintf(`{"name":"m","version":%d}`, version)
	}
	return fmt.Sprintf(`{"service":"llm","address":%q,"zone":"z","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"seq":1,"models":[%s]}`,
		m.engine.Address(), models)
}

// describeViolations describes the wrong loads of the engine, with the faults shortly before each.
func (m *machine) describeViolations() []string {
	var descriptions []string
	for _, load := range m.engine.Loads() {
		if len(load.Violations) > 0 {
			descriptions = append(descriptions, fmt.Sprintf("%s, version %d accepted after %v, oldest read %v before: %d pieces: %s; after %s", m.name, load.Version,
				load.Delay.Round(time.Millisecond), load.OldestRead.Round(time.Millisecond), len(load.Violations), load.Violations[0],
				strings.Join(m.faults.between(load.At.Add(-faultMemory), load.At), ", ")))
		}
	}
	return descriptions
}

// startCrowd starts the hostile callers of a run.
func (f *loaderFleet) startCrowd(ctx context.Context, settings LoaderSettings) *crowd {
	var targets []hostileTarget
	var processes []*process
	for _, m := range f.machines {
		targets = append(targets, hostileTarget{m.pieceAddress, "GET /piece?model=m&version=1&piece=0 HTTP/1.1\r\nHost: l\r\n"})
		processes = append(processes, &m.process)
	}
	return startCrowd(ctx, settings.Seed, settings.HostileCallers, targets, processes)
}

// close kills the loaders and stops the stand-ins.
func (f *loaderFleet) close() {
	f.cancel()
	for _, m := range f.machines {
		m.kill()
		m.engine.Close()
	}
	f.origin.Close()
	f.store.Close()
}

// declareNext declares the next version.
func (f *loaderFleet) declareNext() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.store.Put(keyedstore.TopicOperator, "version/m", fmt.Sprintf(`{"model":"m","version":%d}`, f.version))
}

// updateRegistrations updates the registrations of the engines in the store until ctx ends.
func (f *loaderFleet) updateRegistrations(ctx context.Context) {
	published := map[*machine]string{}
	for sleep(ctx, registrationInterval) {
		for _, m := range f.machines {
			if registration := m.registration(); registration != published[m] {
				f.store.Put(keyedstore.TopicServers, m.name, registration)
				published[m] = registration
			}
		}
	}
}

// awaitVersion waits until all engines hold the newest version. If that takes longer than the
// timeout, it describes the engines that do not.
func (f *loaderFleet) awaitVersion(ctx context.Context, timeout time.Duration) []string {
	deadline := time.Now().Add(timeout)
	f.mu.Lock()
	newest := f.version
	f.mu.Unlock()
	for {
		var behind []string
		for _, m := range f.machines {
			if version := m.engine.Version(); version != newest {
				behind = append(behind, fmt.Sprintf("%s has version %d of %d", m.name, version, newest))
			}
		}
		if len(behind) == 0 || time.Now().After(deadline) || !sleep(ctx, 50*time.Millisecond) {
			return behind
		}
	}
}
