// Command fuchsiarouterd runs one of the daemons of fuchsiarouter. An entry VM receives the
// requests of callers and dispatches them to backend server VMs, each of which has a model
// engine or another service.
//
// There are two pairs of daemons. On a platform with a log and a VM list, the command entry
// runs on entry VMs and the command agent on backend server VMs; both read a TOML file. On
// a platform with a registry, which provides a JSON file with settings for each machine,
// the commands ingress and loader run instead.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/agent"
	"github.com/fuchsiarouter/fuchsiarouter/entry"
	"github.com/fuchsiarouter/fuchsiarouter/peer"
	"github.com/fuchsiarouter/fuchsiarouter/platform"
	"github.com/fuchsiarouter/fuchsiarouter/settings"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
	"github.com/fuchsiarouter/fuchsiarouter/trace"
)

const (
	// platformTimeout bounds a request of an entry or agent to the platform, not counting
	// the wait of a long poll.
	platformTimeout = 5 * time.Second
	// tlsReloadInterval is the interval at which an entry or agent reads its certificate,
	// key and authorities again.
	tlsReloadInterval = time.Minute
)

// errIncompleteDrain reports that a daemon stopped although requests were in progress,
// because they had not finished before its drain deadline.
var errIncompleteDrain = errors.New("requests were in progress at the drain deadline")

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fuchsiarouterd:", err)
		os.Exit(1)
	}
}

// command returns the root command, which has a subcommand for each daemon.
func command() *cli.Command {
	flags := []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "TOML file with the settings", Required: true}}
	return &cli.Command{
		Name:  "fuchsiarouterd",
		Usage: "run a daemon of fuchsiarouter",
		Commands: append([]*cli.Command{
			{Name: "entry", Usage: "run the daemon of an entry VM", Flags: flags, Action: runEntry},
			{Name: "agent", Usage: "run the daemon of a backend server VM", Flags: flags, Action: runAgent},
		}, platformCommands()...),
	}
}

// daemon is a running entry or agent.
type daemon interface {
	// Address returns the address at which other processes reach the daemon with requests.
	Address() string
	// LeaveRequested returns a channel that is closed when the platform or an operator
	// marks the VM as leaving.
	LeaveRequested() <-chan struct{}
	// Drain refuses new requests, waits for those in progress and closes the daemon. It
	// reports whether all of them finished before the drain deadline.
	Drain() bool
}

func runEntry(ctx context.Context, c *cli.Command) error {
	config, err := settings.ReadEntry(c.String("settings"))
	if err != nil {
		return err
	}
	return runDaemon(ctx, "entry", config.Common, 0, func(log *zap.Logger, tracer *trace.Tracer, metrics telemetry.Metrics, credentials *peer.TLSCredentials) (daemon, error) {
		return entry.New(config, log, tracer, metrics,
			platform.NewLog(config.PlatformAddress, platformTimeout), platform.NewVMList(config.PlatformAddress, platformTimeout), credentials)
	})
}

func runAgent(ctx context.Context, c *cli.Command) error {
	config, err := settings.ReadAgent(c.String("settings"))
	if err != nil {
		return err
	}
	return runDaemon(ctx, "agent", config.Common, config.CacheBytes, func(log *zap.Logger, tracer *trace.Tracer, metrics telemetry.Metrics, credentials *peer.TLSCredentials) (daemon, error) {
		return agent.New(config, log, tracer, metrics, platform.NewOrigin(config.PlatformAddress, platformTimeout), credentials)
	})
}

// runDaemon starts a daemon and drains it on SIGTERM or SIGINT, or when its VM is
// marked as leaving. A signal during the drain ends the process at once. kind is the
// daemon's kind in logs, traces and metrics. cacheBytes is the memory for chunks of weights, which is
// not part of the memory in the settings.
func runDaemon(ctx context.Context, kind string, common settings.Common, cacheBytes int64, start func(*zap.Logger, *trace.Tracer, telemetry.Metrics, *peer.TLSCredentials) (daemon, error)) error {
	log, err := telemetry.NewLogger(kind, common.ID, common.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	tracer, err := trace.New(ctx, kind, common.ID, common.TraceEndpoint)
	if err != nil {
		return err
	}
	credentials, err := loadTLSCredentials(common)
	if err != nil {
		return err
	}
	if common.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(common.MemoryBytes)/100*memoryLimitPercent + cacheBytes)
	}
	metrics := telemetry.NewMetrics(kind)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	running, err := start(log, tracer, metrics, credentials)
	if err != nil {
		return err
	}
	log.Info("started", zap.String("address", running.Address()), zap.Int("pid", os.Getpid()))
	waitForStop(ctx, log, running, credentials)
	stop()
	complete := running.Drain()
	_ = tracer.Close()
	_ = metrics.Close()
	log.Info("stopped", zap.Bool("whole", complete))
	if !complete {
		return errIncompleteDrain
	}
	return nil
}

// loadTLSCredentials reads the files for mutual TLS between the daemons. It returns nil
// if the settings name no files; the daemons then communicate without TLS.
func loadTLSCredentials(common settings.Common) (*peer.TLSCredentials, error) {
	if common.TLSKey == "" {
		return nil, nil
	}
	return peer.LoadTLSCredentials(peer.TLSFiles{
		Certificate: common.TLSCertificate, Key: common.TLSKey, Authorities: common.TLSAuthorities,
	})
}

// waitForStop waits until the context ends or the VM is marked as leaving. Meanwhile it
// reloads the TLS files, if there are any, periodically, so that new certificates need no
// restart.
func waitForStop(ctx context.Context, log *zap.Logger, running daemon, credentials *peer.TLSCredentials) {
	ticker := time.NewTicker(tlsReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-running.LeaveRequested():
			return
		case <-ticker.C:
		}
		if credentials == nil {
			continue
		}
		if err := credentials.Reload(); err != nil {
			log.Warn("TLS credentials not reloaded, the old ones stay in use", zap.Error(err))
		}
	}
}
