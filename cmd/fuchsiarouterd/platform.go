package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/cold"
	"github.com/fuchsiarouter/fuchsiarouter/ingress"
	"github.com/fuchsiarouter/fuchsiarouter/loader"
	"github.com/fuchsiarouter/fuchsiarouter/platform"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

// Indexes of the ports on which the daemons listen for each other, in the port range that
// the platform reserves for traffic between them; see platform.NodeSettings.PeerAddress.
const (
	ingressPortIndex = iota
	loaderPortIndex
)

// memoryLimitPercent is the memory limit of the Go runtime as a percentage of the memory
// that the platform or the settings grant the process. The rest is for memory that the limit does not
// count, such as stacks and buffers in the kernel.
const memoryLimitPercent = 60

// gcPercent is the heap growth in percent that triggers a garbage collection, as in
// debug.SetGCPercent. The heap of an ingress or loader is a few MB, so the default of 100
// would cause frequent collections.
const gcPercent = 300

// platformCommands returns the commands of the daemons for a platform that provides a
// settings file for each machine.
func platformCommands() []*cli.Command {
	flags := []cli.Flag{&cli.StringFlag{
		Name: "node-file", Usage: "JSON file with the settings that the platform provides for this machine", Required: true,
		Sources: cli.EnvVars(platform.NodeFileVariable),
	}}
	return []*cli.Command{
		{Name: "ingress", Usage: "run the daemon of an entry VM on a platform with a registry", Flags: flags, Action: runIngress},
		{Name: "loader", Usage: "run the daemon of a model engine's VM on a platform with a registry", Flags: flags, Action: runLoader},
	}
}

// drainer is a running ingress or loader.
type drainer interface {
	// Drain stops the daemon within the platform's grace period. It reports whether all
	// requests in progress finished.
	Drain() bool
}

func runIngress(ctx context.Context, c *cli.Command) error {
	return runOnPlatform(ctx, c, "ingress", func(node *platform.NodeSettings, log *zap.Logger, metrics telemetry.Metrics) (drainer, error) {
		return ingress.New(ingress.Settings{
			Name: node.Name, AvailabilityZone: node.AvailabilityZone, Region: node.Region, Regions: node.Regions,
			CallerAddress: node.CallerAddress, ReadinessAddress: node.ReadinessAddress, DirectoryAddress: node.DirectoryAddress,
			PeerAddress:   node.PeerAddress(node.IP, ingressPortIndex),
			KeyRevocation: node.KeyRevocation, StopGrace: node.StopGrace, VersionDeadline: node.VersionDeadline,
			EvacuationBound: node.EvacuationBound,
			DirectoryTTL:    node.DirectoryTTL, LinkBytesPerSecond: node.LinkBytesPerSecond, Cores: node.Cores, ResendRatio: node.ResendRatio, ResendAllowance: node.ResendAllowance,
			ResendWindow: node.ResendWindow, ColdBound: cold.Bound{Excess: node.ColdExcess, Slack: node.ColdSlack},
			MemoryBytes: node.MemoryMB << 20, MaxDescriptors: node.MaxDescriptors,
		}, platform.Dialect{}, platform.NewRegistry(node.RegistryAddress),
			ingress.Handlers{Directory: platform.DirectoryHandler, Readiness: platform.ReadinessHandler}, log, metrics)
	})
}

func runLoader(ctx context.Context, c *cli.Command) error {
	return runOnPlatform(ctx, c, "loader", func(node *platform.NodeSettings, log *zap.Logger, metrics telemetry.Metrics) (drainer, error) {
		return loader.New(loader.Settings{
			Name: node.Name, IP: node.IP, AvailabilityZone: node.AvailabilityZone, Region: node.Region,
			EngineAddress: node.EngineAddress, Service: node.Service, VersionDeadline: node.VersionDeadline, StopGrace: node.StopGrace, LinkBandwidth: node.LinkBytesPerSecond,
			PieceAddress: node.PeerAddress(node.IP, loaderPortIndex), PeerPort: node.FirstPort + loaderPortIndex,
			MemoryBytes: node.MemoryMB << 20, MaxDescriptors: node.MaxDescriptors,
		}, platform.NewRegistry(node.RegistryAddress), platform.NewEngine(node.EngineAddress), platform.NewPieceOrigin(), log, metrics)
	})
}

// runOnPlatform starts an ingress or a loader and drains it on SIGTERM or SIGINT. The
// platform sends SIGHUP when the settings file has changed; a running daemon only checks
// the file then, see checkNodeFile. kind is the daemon's kind in logs and metrics.
func runOnPlatform(ctx context.Context, c *cli.Command, kind string, start func(*platform.NodeSettings, *zap.Logger, telemetry.Metrics) (drainer, error)) error {
	node, err := platform.ReadNodeSettings(c.String("node-file"))
	if err != nil {
		return err
	}
	// The process has a fraction of one core, so more threads would only add context
	// switches.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	if node.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(node.MemoryMB) << 20 / 100 * memoryLimitPercent)
	}
	log := telemetry.NewBoundedLogger(os.Stdout, kind, node.Name)
	defer func() { _ = log.Sync() }()
	if len(node.IgnoredKeys) > 0 {
		log.Info("settings ignored, this version does not use them", zap.Strings("keys", node.IgnoredKeys))
	}
	metrics := telemetry.NewMetrics(kind)
	stopCtx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	running, err := start(node, log, metrics)
	if err != nil {
		log.Error("start failed", telemetry.Cause(err))
		return err
	}
	log.Info("started", zap.String("address", net.JoinHostPort(node.IP, "0")), zap.Int("pid", os.Getpid()),
		zap.String("availability-zone", node.AvailabilityZone))
	for {
		select {
		case <-reload:
			checkNodeFile(c.String("node-file"), log)
			continue
		case <-stopCtx.Done():
		}
		break
	}
	complete := running.Drain()
	log.Info("stopped", zap.Bool("whole", complete))
	if !complete {
		return errors.Wrap(errIncompleteDrain, kind)
	}
	return nil
}

// checkNodeFile reads the changed settings file and logs whether it is valid. The running
// daemon keeps its settings: changes take effect at the next start.
func checkNodeFile(path string, log *zap.Logger) {
	if _, err := platform.ReadNodeSettings(path); err != nil {
		log.Warn("settings not reloaded, the old ones stay in use", telemetry.Cause(err))
		return
	}
	log.Info("settings file is valid, changes take effect at the next start")
}
