// Package agent implements the daemon that runs on each backend server VM, next to
// a model engine or another service.
//
// Entries, the daemons that accept the requests of callers, send a request to an
// agent as a call (see package dispatch). Every request to the engine or service
// passes through the agent. A request for a model is forwarded only when the exact
// version that it names is loaded; a request that the agent refuses has not run.
//
// Only the agent sends orders to the engine, which load and unload versions and
// change its role. The agent fetches, verifies and loads the model versions, and
// the adapters on them, that the placement assigns to it, and serves their chunks
// to other agents. A version or adapter is named by its identity (see
// fuchsiarouter.JoinIdentity), in fields and parameters often called its digest.
//
// The agent sends heartbeats to the entries that watch it (see package fleet). The
// answers carry the configuration and the list of the other members.
package agent

import (
	"cmp"
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/dispatch"
	"github.com/fuchsiarouter/fuchsiarouter/engine"
	"github.com/fuchsiarouter/fuchsiarouter/intake"
	"github.com/fuchsiarouter/fuchsiarouter/peer"
	"github.com/fuchsiarouter/fuchsiarouter/placement"
	"github.com/fuchsiarouter/fuchsiarouter/quarantine"
	"github.com/fuchsiarouter/fuchsiarouter/rank"
	"github.com/fuchsiarouter/fuchsiarouter/revision"
	"github.com/fuchsiarouter/fuchsiarouter/settings"
	"github.com/fuchsiarouter/fuchsiarouter/spread"
	"github.com/fuchsiarouter/fuchsiarouter/tcp"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
	"github.com/fuchsiarouter/fuchsiarouter/trace"
	"github.com/fuchsiarouter/fuchsiarouter/transfer"
	"github.com/fuchsiarouter/fuchsiarouter/upstream"
	"github.com/fuchsiarouter/fuchsiarouter/weights"
)

const (
	// defaultDrainDeadline is how long Drain waits for requests in progress if the
	// configuration is not known or sets no deadline.
	defaultDrainDeadline = 30 * time.Second
	// placementLeadTime is how long before the expected start of a peak in demand
	// its replicas are placed, and placementHoldTime how long after the expected end
	// they are kept.
	placementLeadTime = 10 * time.Minute
	placementHoldTime = 10 * time.Minute
	// maxReportedStrikes limits the number of strikes in one heartbeat. A strike
	// records a request during which a backend server crashed (see package
	// quarantine). The newest ones are reported.
	maxReportedStrikes = 64
)

// linger bounds the reading of the rest of a refused request after the response was sent.
var linger = intake.Linger{Time: 500 * time.Millisecond, Bytes: 256 << 10}

// Agent is the daemon of a backend server VM.
type Agent struct {
	settings settings.Agent
	log      *zap.Logger
	metrics  telemetry.Metrics
	// incarnation is the Unix time of the agent's start in milliseconds.
	incarnation int64
	listener    net.Listener
	server      *fasthttp.Server
	// connections accepts the connections of entries and other agents, and bodies bounds the memory
	// of their requests.
	connections *intake.Listener
	bodies      *intake.Bodies
	callHandler *callHandler
	versions    *versionManager
	// engineMonitor is nil when the backend server runs a service without a model.
	engineMonitor *engineMonitor
	role          *roleManager
	reporter      *reporter
	transfer      *transfer.Transfer
	// client sends requests to the engine or service, and control sends control
	// messages to entries.
	client  *upstream.Client
	control *peer.Client

	// lifetime is the context of the bodies that are being read and of the periodic tasks, which cancel
	// ends.
	lifetime   context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// leaveRequested is closed when an entry says that the VM is leaving.
	leaveRequested chan struct{}
	leaveOnce      sync.Once
}

// New starts an agent. Model weights that no other agent has are fetched from the
// origin. If credentials is nil, control messages are not encrypted. Stop the agent
// with Close or Drain.
func New(settings settings.Agent, log *zap.Logger, tracer *trace.Tracer, metrics telemetry.Metrics, origin fuchsiarouter.Origin, credentials *peer.TLSCredentials) (*Agent, error) {
	listener, err := net.Listen("tcp4", cmp.Or(settings.ListenAddress, settings.Address))
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	a := &Agent{
		settings:       settings,
		log:            log,
		metrics:        metrics,
		incarnation:    time.Now().UnixMilli(),
		listener:       listener,
		client:         upstream.New(net.ParseIP(settings.SourceIP)),
		control:        peer.NewClientTLS(credentials, net.ParseIP(settings.SourceIP)),
		leaveRequested: make(chan struct{}),
	}
	limits := intake.Limits{MemoryBytes: settings.MemoryBytes}
	a.connections = intake.New(tcp.WaitForResources(listener, log), intake.DefaultSettings(limits), log, metrics.Scope)
	a.bodies = intake.NewBodies(intake.BodySettings{
		MemoryBytes: settings.MemoryBytes, Connections: a.connections.Open, Linger: linger,
	}, log, metrics.Scope)
	a.reporter = &reporter{
		log: log, client: a.control, configuredEntries: settings.EntryAddresses, region: settings.Region, id: settings.ID,
		member: a.member, onRound: func() { a.applyConfiguration(); a.control.Traffic().Report(metrics.Scope) }, onLeave: a.requestLeave, trigger: make(chan struct{}, 1),
		configuration: revision.New([]string{settings.BootstrapKey}),
		entries:       map[string]knownEntry{}, peerLists: map[string]*peerList{},
		lastSent: map[string]fuchsiarouter.Member{}, failedAt: map[string]time.Time{}, answered: map[string]bool{},
	}
	a.createComponents(tracer, origin)
	a.start()
	return a, nil
}

// createComponents creates the parts of the agent other than the reporter: the
// transfer of versions, the version and role managers, the call handler, the HTTP
// server and, if the settings have an engine address, the engine with its monitor. It
// connects them by callbacks and starts none of them.
func (a *Agent) createComponents(tracer *trace.Tracer, origin fuchsiarouter.Origin) {
	store := weights.NewStore(a.settings.CacheBytes)
	a.transfer = transfer.New(transfer.Options{
		Self: fuchsiarouter.Member{
			ID: a.settings.ID, Kind: fuchsiarouter.KindAgent, Incarnation: a.incarnation, Address: a.Address(),
			Region: a.settings.Region, AvailabilityZone: a.settings.AvailabilityZone,
		},
		Store: store, Origin: origin, View: a.transferView, SourceIP: net.ParseIP(a.settings.SourceIP),
		UploadRate:     float64(a.settings.TransferBytesPerSecond),
		RegionLinkRate: float64(a.settings.RegionLinkBytesPerSecond),
	})
	var modelEngine fuchsiarouter.Engine
	if a.settings.EngineAddress != "" {
		modelEngine = &fencedEngine{Engine: engine.New(a.settings.EngineAddress, a.client), token: a.incarnation}
	}
	a.versions = newVersionManager(a.log, modelEngine, a.transfer, store)
	a.versions.onChange = a.reporter.triggerHeartbeat
	a.versions.mayLoad = a.mayLoad
	a.callHandler = &callHandler{
		log: a.log, tracer: tracer, scope: a.metrics.Scope, versions: a.versions, engine: modelEngine,
		serviceAddress: a.settings.Backend, client: a.client, leavingStarted: make(chan struct{}),
		queue:          newQueue(rank.Settings{Slots: a.settings.Slots, QueueLimit: a.settings.QueueLimit}),
		quarantineList: quarantine.New(quarantine.Settings{}),
		detectCrash:    func(string) string { return "" },
		isUp:           func() bool { return true },
	}
	a.role = &roleManager{log: a.log, engine: modelEngine, onChange: a.reporter.triggerHeartbeat, inProgress: &a.callHandler.inProgress}
	a.callHandler.role = a.role.advertisedRole
	if modelEngine != nil {
		a.engineMonitor = &engineMonitor{
			log: a.log, engine: modelEngine, client: a.client, agentID: a.settings.ID, address: a.settings.EngineAddress,
			onCrash: a.onEngineCrash, onStatus: a.onEngineStatus,
		}
		a.callHandler.detectCrash = a.engineMonitor.detectCrash
		a.callHandler.isUp = a.engineMonitor.isUp
	}
	a.server = intake.NewServer(a.handler(), func() int { return a.settings.MaxBodyBytes }, intake.BodyTimeout)
	a.server.MaxRequestBodySize, a.server.CloseOnShutdown = a.settings.MaxBodyBytes, true
}

// start starts the goroutines of the agent: the HTTP server, the heartbeats and, if
// there is an engine, the checks of its status.
func (a *Agent) start() {
	ctx, cancel := context.WithCancel(context.Background())
	a.lifetime, a.cancel = ctx, cancel
	a.goroutines.Go(func() {
		if err := a.connections.Serve(a.server); err != nil {
			a.log.Error("HTTP server stopped", zap.Error(err))
		}
	})
	a.goroutines.Go(func() { a.reporter.run(ctx) })
	if a.engineMonitor == nil {
		return
	}
	a.goroutines.Go(func() {
		ticker := time.NewTicker(statusInterval)
		defer ticker.Stop()
		for {
			a.engineMonitor.checkStatus()
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
}

// Address returns the address at which entries and other agents reach this agent:
// the configured one if the agent listens on a different address, and otherwise the
// one that it listens on.
func (a *Agent) Address() string {
	if a.settings.ListenAddress != "" {
		return a.settings.Address
	}
	return a.listener.Addr().String()
}

// LeaveRequested returns a channel that is closed when the platform or an operator
// says that the VM is leaving, that is, about to be stopped. The caller should then
// call Drain.
func (a *Agent) LeaveRequested() <-chan struct{} { return a.leaveRequested }

// Drain refuses new and waiting calls, waits for the requests in progress, and
// closes the agent. It reports whether all requests ended within the drain deadline
// of the configuration.
func (a *Agent) Drain() bool {
	a.callHandler.startLeaving()
	a.reporter.triggerHeartbeat()
	timeout := defaultDrainDeadline
	a.reporter.mu.Lock()
	if configured := a.reporter.configuration.Document().Fleet.DrainDeadline(); configured > 0 {
		timeout = configured
	}
	a.reporter.mu.Unlock()
	a.log.Info("draining", zap.Duration("deadline", timeout))
	isIdle := a.callHandler.waitUntilIdle(timeout)
	a.Close()
	return isIdle
}

// Close stops the agent without the preparation that Drain makes. It accepts no new
// connections and waits until the open ones have ended or are idle.
func (a *Agent) Close() {
	a.cancel()
	if err := a.server.Shutdown(); err != nil {
		a.log.Warn("shutdown", zap.Error(err))
	}
	a.goroutines.Wait()
	a.transfer.Close()
	a.client.CloseIdleConnections()
	_ = a.control.Close()
}

// requestLeave closes leaveRequested, if it is not closed yet.
func (a *Agent) requestLeave() {
	a.leaveOnce.Do(func() { close(a.leaveRequested) })
}

// member returns the description of the agent for its heartbeats.
func (a *Agent) member() fuchsiarouter.Member {
	state := fuchsiarouter.StateLive
	if a.callHandler.isLeaving.Load() {
		state = fuchsiarouter.StateLeaving
	}
	member := fuchsiarouter.Member{
		ID: a.settings.ID, Kind: fuchsiarouter.KindAgent, Incarnation: a.incarnation, Address: a.Address(),
		Region: a.settings.Region, AvailabilityZone: a.settings.AvailabilityZone, State: state,
		Service: a.settings.Service, Role: a.role.advertisedRole(), Load: a.callHandler.queue.load(), Versions: a.versions.reportedVersions(),
		Revisions: a.reporter.revisions(),
	}
	if a.engineMonitor != nil && !a.engineMonitor.isUp() {
		// Zero slots mean that the engine is down.
		member.Load.Slots = 0
	}
	if len(a.settings.Models) == 1 {
		member.Model = a.settings.Models[0]
	}
	a.callHandler.withQuarantine(func(list *quarantine.List) { member.Strikes = list.Strikes(time.Now(), maxReportedStrikes) })
	return member
}

// wantedVersions returns the versions that the placement assigns to this agent.
// It returns false while no configuration is known.
func (a *Agent) wantedVersions() ([]placement.Assignment, bool) {
	a.reporter.mu.Lock()
	known := a.reporter.configuration.HasHistory()
	document := a.reporter.configuration.Document()
	a.reporter.mu.Unlock()
	if !known {
		return nil, false
	}
	members := append(a.reporter.otherAgents(), a.member())
	assignment := placement.Place(document.Models, document.Peaks, members, time.Now(),
		placement.Options{LeadTime: placementLeadTime, HoldTime: placementHoldTime, Shifts: a.reporter.peakShifts()})
	return assignment.Agents[a.settings.ID], true
}

// transferView returns the agents that are fetching or holding the content with this
// digest, from which its chunks can be fetched. The digest is that of the manifest
// of a version or adapter.
func (a *Agent) transferView(digest string) spread.View {
	a.reporter.mu.Lock()
	view := spread.View{Version: digest, StoreRegion: a.reporter.configuration.Document().Fleet.StoreRegion}
	a.reporter.mu.Unlock()
	for _, member := range a.reporter.otherAgents() {
		for _, version := range member.Versions {
			if fuchsiarouter.ContentDigest(version.Digest) == digest && version.State != fuchsiarouter.VersionFailed {
				view.Members = append(view.Members, member)
			}
		}
	}
	return view
}

// applyConfiguration applies the current configuration and placement to the queue
// and, if there is an engine, to its role and the versions. It does nothing while no
// configuration is known, and leaves the versions alone while the VM is leaving.
func (a *Agent) applyConfiguration() {
	wants, ok := a.wantedVersions()
	if !ok {
		return
	}
	a.reporter.mu.Lock()
	document := a.reporter.configuration.Document()
	a.reporter.mu.Unlock()
	a.callHandler.queue.setRanks(document.Ranks.Ranks)
	if a.engineMonitor != nil {
		a.role.setWanted(document.Servers.RoleOf(a.settings.ID))
	}
	if a.engineMonitor != nil && !a.callHandler.isLeaving.Load() {
		a.versions.setWanted(wants)
	}
}

// mayLoad reports whether this agent may now load a version that it has verified.
// The first canaryAgents of the agents that report the version, ordered by ID, may
// load it at once, and the others when one agent has it ready. Agents that are
// leaving, or whose engine is down, are not counted. A version that fails to load
// thus affects only the canary agents. While the engine of this agent is down, it
// may load nothing.
func (a *Agent) mayLoad(want placement.Assignment) bool {
	if !a.engineMonitor.isUp() {
		return false
	}
	earlierAgents := 0
	for _, member := range a.reporter.otherAgents() {
		for _, version := range member.Versions {
			if version.Digest != want.Digest {
				continue
			}
			if version.State == fuchsiarouter.VersionReady {
				return true
			}
			if member.ID < a.settings.ID && member.State == fuchsiarouter.StateLive && member.Load.Slots > 0 {
				earlierAgents++
			}
		}
	}
	return earlierAgents < canaryAgents
}

// onEngineCrash records the crash with this ID in the quarantine list, loads the
// versions again, triggers an early heartbeat, and returns the fingerprints of the
// requests that were in progress.
func (a *Agent) onEngineCrash(crashID string) map[string]bool {
	fingerprints := map[string]bool{}
	a.callHandler.withQuarantine(func(list *quarantine.List) {
		for _, strike := range list.RecordCrash(time.Now(), localServerID, crashID) {
			fingerprints[strike.Fingerprint] = true
		}
	})
	a.versions.reloadAll()
	a.reporter.triggerHeartbeat()
	return fingerprints
}

// onEngineStatus adapts the queue, the role and the versions to the status that the
// engine reports.
func (a *Agent) onEngineStatus(status fuchsiarouter.EngineStatus) {
	if status.Slots > 0 {
		a.callHandler.queue.setSlots(status.Slots)
	}
	a.role.setActual(status.Role)
	a.versions.reconcileStatus(status)
}

// handler returns the handler of the HTTP requests of entries, other agents and
// monitoring.
func (a *Agent) handler() fasthttp.RequestHandler {
	metrics := fasthttpadaptor.NewFastHTTPHandler(a.metrics.Handler)
	return func(ctx *fasthttp.RequestCtx) {
		hold, failure := a.bodies.Read(a.lifetime, ctx, a.settings.MaxBodyBytes)
		if failure != nil {
			failure.Write(&ctx.Response)
			a.bodies.Refuse(ctx, failure)
			return
		}
		defer hold.Release()
		path := string(ctx.Path())
		switch {
		case path == "/v1/chat/completions", strings.HasPrefix(path, "/v1/services/"):
			a.callHandler.handle(ctx)
		case strings.HasPrefix(path, dispatch.CancelPathPrefix) && ctx.IsDelete():
			if !a.callHandler.waitingCalls.cancel(path[len(dispatch.CancelPathPrefix):]) {
				ctx.SetStatusCode(fasthttp.StatusNotFound)
				return
			}
			ctx.SetStatusCode(fasthttp.StatusNoContent)
		case a.transfer.HandleRequest(ctx):
		case path == "/healthz":
			ctx.SetBodyString("ok\n")
		case path == "/readyz":
			if len(a.reporter.revisions()) == 0 || a.callHandler.isLeaving.Load() {
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		case path == "/metrics":
			metrics(ctx)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}
