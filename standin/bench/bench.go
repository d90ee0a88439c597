// Package bench is a test bench that runs the daemons of fuchsiarouter, and stand-ins for
// the systems around them, as processes on loopback.
//
// The daemons are entries, which receive calls and dispatch them, and agents, each of which
// admits the calls for the backend server on its VM. The stand-ins are programs of this
// repository: the platform with its configuration log, weight origin and VM list, the model
// engines, the plain services, which are HTTP services without a model, and links, TCP
// relays that can be cut or stalled.
//
// A Bench starts, kills, freezes and stops processes, publishes configuration and records
// the history of what callers and backend servers observed, for package checker. A Caller
// sends calls as a client program does. The Await functions poll for a condition. Their
// timeout only bounds the wait, after which they return an error.
package bench

import (
	"context"
	"crypto/ed25519"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/settings"
	"github.com/fuchsiarouter/fuchsiarouter/standin/checker"
)

// File names of the binaries in Bench.BinaryDir: the stand-ins and the daemons.
const (
	standinBinary = "standin"
	daemonBinary  = "fuchsiarouterd"
)

// stopTimeout is the time after SIGTERM within which a daemon must end the requests in
// progress and exit.
const stopTimeout = 30 * time.Second

// Bench is a set of named processes with the history of what was observed of them.
type Bench struct {
	// BinaryDir is the directory of the binaries, OutputDir that of logs, settings files
	// and journals.
	BinaryDir string
	OutputDir string

	// Publisher publishes configuration to the platform's log.
	Publisher *Publisher
	// platform is nil until StartPlatform.
	platform *Process

	// sentKeys holds the idempotency keys that callers have sent.
	sentKeys sync.Map

	mu sync.Mutex
	// processes and specs are indexed by name. A restart replaces the process.
	processes map[string]*Process
	specs     map[string]processSpec
	// startOrder holds the names in the order of their first start.
	startOrder []string
	// controlAddresses are those of the entries started so far.
	controlAddresses []string
	// regions are the regions that have a source IP, in the order of these IPs.
	regions []string
	// regionLinks are the links in front of daemons, without those to the platform.
	regionLinks []regionLink
	// history lacks the runs, which History reads from the journals.
	history checker.History
}

// processSpec is what is needed to start a process, kept for restarts.
type processSpec struct {
	// binary is a file name in Bench.BinaryDir.
	binary string
	args   []string
	// reportsAddress is set for a stand-in, which prints its addresses when it listens.
	reportsAddress bool
	// vm is the row of a daemon in the platform's VM list; nil for a stand-in.
	vm *fuchsiarouter.VM
	// writesJournal is set for a backend server, which writes a journal of the requests that
	// it runs.
	writesJournal bool
}

// New returns a bench without processes, which uses the binaries in binaryDir and writes its
// files to outputDir.
func New(binaryDir, outputDir string) (*Bench, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, errors.Wrap(err, "bootstrapping key")
	}
	binaryDir, err = filepath.Abs(binaryDir)
	if err != nil {
		return nil, errors.Wrap(err, "directory of binaries")
	}
	b := &Bench{
		BinaryDir: binaryDir,
		OutputDir: outputDir,
		processes: map[string]*Process{},
		specs:     map[string]processSpec{},
		history: checker.History{
			Digests: map[string][]string{},
			Leaving: map[string]time.Time{},
		},
	}
	b.Publisher = &Publisher{PublicKey: public, PrivateKey: private}
	return b, nil
}

// StartPlatform starts the stand-in of the platform with additional flags. It must be called
// before any daemon is started.
func (b *Bench) StartPlatform(args ...string) error {
	platform, err := b.startSpec("platform", processSpec{
		binary:         standinBinary,
		args:           append([]string{"platform", "--address", loopbackPorts.allocateAddress()}, args...),
		reportsAddress: true,
	})
	if err != nil {
		return err
	}
	b.platform = platform
	b.Publisher.platformAddress = platform.Address
	return nil
}

// PlatformAddress returns the address of the platform. StartPlatform must have been called.
func (b *Bench) PlatformAddress() string { return b.platform.Address }

// StartEngine starts the stand-in of an engine with additional flags.
func (b *Bench) StartEngine(name string, args ...string) (*Process, error) {
	return b.startServer(name, "engine", args)
}

// StartService starts the stand-in of a plain service with additional flags.
func (b *Bench) StartService(name string, args ...string) (*Process, error) {
	return b.startServer(name, "service", args)
}

// startServer starts the stand-in of a backend server, with the flags args.
func (b *Bench) startServer(name, kind string, args []string) (*Process, error) {
	journal := filepath.Join(b.OutputDir, name+".journal")
	return b.startSpec(name, processSpec{
		binary: standinBinary,
		// The address stays the same after a restart, like that of a VM.
		args:           append([]string{kind, "--address", loopbackPorts.allocateAddress(), "--journal", journal}, args...),
		reportsAddress: true,
		writesJournal:  true,
	})
}

// StartLink starts a link, a TCP relay that can be cut or stalled, with additional flags. The
// link forwards the connections to its own address to the target address.
func (b *Bench) StartLink(name, target string, args ...string) (*Process, error) {
	return b.startSpec(name, processSpec{
		binary:         standinBinary,
		args:           append([]string{"link", "--address", loopbackPorts.allocateAddress(), "--target", target}, args...),
		reportsAddress: true,
	})
}

// Placement is the location of a daemon and how it connects to others.
type Placement struct {
	// Region and AvailabilityZone are names from the fleet section of the configuration.
	Region           string
	AvailabilityZone string
	// Platform is the address at which the daemon reaches the platform; empty for a direct
	// connection.
	Platform string
	// BehindLinks puts a link in front of each address of the daemon, and makes the daemon
	// connect from the source IP of its region. SetRegionLinks requires both.
	BehindLinks bool
	// OmitEntries leaves the other entries out of the daemon's settings, so that it finds
	// entries only through the platform's VM list.
	OmitEntries bool
}

// StartEntry registers the VM of an entry in the platform's list and starts the entry,
// without waiting until it is ready. The settings of daemons that are started later contain
// its control address, unless Placement.OmitEntries is set for them.
func (b *Bench) StartEntry(ctx context.Context, name string, place Placement) (*Process, error) {
	entry := settings.Entry{Common: b.commonSettings(name, place), ControlAddress: loopbackPorts.allocateAddress(), Capacity: settings.DefaultCapacity}
	if place.BehindLinks {
		entry.ControlListenAddress = entry.ControlAddress
		if err := b.insertLink(&entry.Common, name+"-control-link", &entry.ControlAddress); err != nil {
			return nil, err
		}
	}
	b.mu.Lock()
	b.controlAddresses = append(b.controlAddresses, entry.ControlAddress)
	b.mu.Unlock()
	if err := b.insertRequestLink(&entry.Common, place); err != nil {
		return nil, err
	}
	return b.startDaemon(ctx, "entry", entry, entry.Common, entry.ControlAddress)
}

// StartAgent registers the VM of an agent in the platform's list and starts the agent, without
// waiting until it is ready. change sets the backend server in the agent's settings, and may
// replace the defaults of the other settings.
func (b *Bench) StartAgent(ctx context.Context, name string, place Placement, change func(*settings.Agent)) (*Process, error) {
	agent := settings.Agent{
		Common:     b.commonSettings(name, place),
		Slots:      settings.DefaultSlots,
		CacheBytes: settings.DefaultCacheBytes,
		QueueLimit: settings.DefaultQueueLimit,
	}
	change(&agent)
	if err := b.insertRequestLink(&agent.Common, place); err != nil {
		return nil, err
	}
	return b.startDaemon(ctx, "agent", agent, agent.Common, "")
}

// commonSettings returns the settings that entries and agents have in common. They include
// the entries started so far and a newly allocated address.
func (b *Bench) commonSettings(name string, place Placement) settings.Common {
	platform := place.Platform
	if platform == "" {
		platform = b.PlatformAddress()
	}
	b.mu.Lock()
	entries := append([]string{}, b.controlAddresses...)
	b.mu.Unlock()
	if place.OmitEntries {
		entries = nil
	}
	return settings.Common{
		ID:               name,
		Region:           place.Region,
		AvailabilityZone: place.AvailabilityZone,
		Address:          loopbackPorts.allocateAddress(),
		PlatformAddress:  platform,
		EntryAddresses:   entries,
		BootstrapKey:     b.Publisher.PublicKeyHex(),
		LogLevel:         "info",
		MaxBodyBytes:     settings.DefaultMaxBodyBytes,
		MemoryBytes:      settings.DefaultMemoryBytes,
	}
}

// startDaemon writes the settings file, registers the VM and starts the daemon. kind is that
// of the daemon, daemonSettings are all of its settings, common the part of them that all
// daemons have, and control is the control address, which is empty for an agent.
func (b *Bench) startDaemon(ctx context.Context, kind string, daemonSettings any, common settings.Common, control string) (*Process, error) {
	text, err := toml.Marshal(daemonSettings)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	path := filepath.Join(b.OutputDir, common.ID+".toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	vm := fuchsiarouter.VM{
		ID:               common.ID,
		Kind:             fuchsiarouter.DaemonKind(kind),
		Address:          common.Address,
		ControlAddress:   control,
		Region:           common.Region,
		AvailabilityZone: common.AvailabilityZone,
		State:            fuchsiarouter.StateLive,
	}
	if err := b.registerVM(ctx, vm); err != nil {
		return nil, err
	}
	return b.startSpec(common.ID, processSpec{binary: daemonBinary, args: []string{kind, "--settings", path}, vm: &vm})
}

// registerVM adds the VM to the platform's list, or replaces the one with the same ID.
func (b *Bench) registerVM(ctx context.Context, vm fuchsiarouter.VM) error {
	return SendJSON(ctx, "PUT", b.PlatformAddress()+"/vms/"+vm.ID, vm, nil)
}

// MarkLeaving marks the VM of a daemon as leaving in the platform's list, which means that it
// is to get no new work.
func (b *Bench) MarkLeaving(ctx context.Context, name string) error {
	b.mu.Lock()
	vm := *b.specs[name].vm
	b.mu.Unlock()
	vm.State = fuchsiarouter.StateLeaving
	return b.registerVM(ctx, vm)
}

// Restart starts an exited process again with the same address and settings. It returns an
// error if the process is running.
func (b *Bench) Restart(name string) (*Process, error) {
	b.mu.Lock()
	spec, ok := b.specs[name]
	old := b.processes[name]
	b.mu.Unlock()
	if !ok || old.IsRunning() {
		return nil, errors.Errorf("%s is running or was never started", name)
	}
	return b.startSpec(name, spec)
}

// startSpec starts a process from its spec and registers it under the name in the bench. It
// waits until a stand-in listens, but not until a daemon does.
func (b *Bench) startSpec(name string, spec processSpec) (*Process, error) {
	var process *Process
	var err error
	binary := filepath.Join(b.BinaryDir, spec.binary)
	if spec.reportsAddress {
		process, err = startListening(b.OutputDir, name, binary, spec.args)
	} else {
		process, err = startProcess(b.OutputDir, name, binary, spec.args, nil)
	}
	if err != nil {
		return nil, err
	}
	if spec.vm != nil {
		process.Address, process.Control = spec.vm.Address, spec.vm.ControlAddress
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, restarted := b.specs[name]; !restarted {
		b.startOrder = append(b.startOrder, name)
	}
	b.processes[name] = process
	b.specs[name] = spec
	return process, nil
}

// Process returns the last process started under the name, which may have exited.
func (b *Bench) Process(name string) (*Process, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	process, ok := b.processes[name]
	if !ok {
		return nil, errors.Errorf("no process %q was started", name)
	}
	return process, nil
}

// Stop shuts the process down with SIGTERM. If it has not exited after stopTimeout, Stop kills
// it and returns an error; it also returns one for an exit status other than 0.
func (b *Bench) Stop(name string) error {
	process, err := b.Process(name)
	if err != nil {
		return err
	}
	return process.Stop(stopTimeout)
}

// Close kills all running processes in reverse order of their start.
func (b *Bench) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(b.startOrder) - 1; i >= 0; i-- {
		b.processes[b.startOrder[i]].Kill()
	}
}
