// Package entry implements the daemon that runs on an entry VM.
//
// An entry tells callers which entries to use, receives their requests, and dispatches
// each to the agent of a backend server. A request passes these stages: its workspace is
// identified and the request classified, the limits of the workspace are checked, a version
// and a backend server are chosen, the request is sent to the agent of the server, the
// response is passed on, and the result and the used tokens are recorded.
//
// The entry stores nothing durable: the configuration and the claims of calls that must
// not run twice are in the platform's log, and the view of the fleet is rebuilt from
// heartbeats. The view is the list of the members, which are the other entries and the
// agents, with their state (package fleet).
//
// A request may be sent to several agents one after the other; each time is an attempt with
// its own id. A request that must not run twice is also named a call, as in package ledger.
// A routing group is the set of backend servers that can run the same requests: those that
// have loaded one version, or that run one service.
package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/claim"
	"github.com/fuchsiarouter/fuchsiarouter/demand"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/fleet"
	"github.com/fuchsiarouter/fuchsiarouter/intake"
	"github.com/fuchsiarouter/fuchsiarouter/ledger"
	"github.com/fuchsiarouter/fuchsiarouter/peer"
	"github.com/fuchsiarouter/fuchsiarouter/quota"
	"github.com/fuchsiarouter/fuchsiarouter/retry"
	"github.com/fuchsiarouter/fuchsiarouter/revision"
	"github.com/fuchsiarouter/fuchsiarouter/routing"
	"github.com/fuchsiarouter/fuchsiarouter/settings"
	"github.com/fuchsiarouter/fuchsiarouter/tcp"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
	"github.com/fuchsiarouter/fuchsiarouter/trace"
	"github.com/fuchsiarouter/fuchsiarouter/upstream"
)

const (
	// viewRefreshInterval is the interval at which the router is updated from the view.
	viewRefreshInterval = 100 * time.Millisecond
	// vmListInterval is the interval between two reads of the platform's VM list, and the
	// timeout of a read.
	vmListInterval = time.Second
	// demandSyncInterval is the interval at which the entry checks for a time slot of the
	// demand (package forecast) that has ended.
	demandSyncInterval = 5 * time.Second
	// defaultDrainDeadline bounds the drain if the configuration isn't known yet or sets no
	// deadline.
	defaultDrainDeadline = 30 * time.Second
	// controlSocketShare and controlMemoryShare are the parts of the sockets and of the memory that the
	// connections for control messages may take, and controlConnectionBytes is what one of them holds.
	controlSocketShare     = 0.2
	controlMemoryShare     = 0.1
	controlConnectionBytes = 20 << 10
	// drainPollInterval is the interval at which a draining entry checks whether it has
	// finished.
	drainPollInterval = 20 * time.Millisecond
	// lateCallerGrace is how long a draining entry still responds to callers that cached
	// its address, with a refusal that lists other entries.
	lateCallerGrace = entryListTTLSeconds * time.Second
)

// Entry accepts the requests of callers, dispatches them to agents, and exchanges
// heartbeats with the other daemons.
type Entry struct {
	settings       settings.Entry
	log            *zap.Logger
	tracer         *trace.Tracer
	metrics        telemetry.Metrics
	scope          tally.Scope
	metricsHandler fasthttp.RequestHandler
	// incarnation is the Unix time of the start in milliseconds.
	incarnation int64

	// listener and server receive the requests of callers, and control the messages of
	// other daemons.
	listener net.Listener
	server   *fasthttp.Server
	// connections accepts the connections of callers, and bodies bounds the memory of their requests.
	connections *intake.Listener
	bodies      *intake.Bodies
	control     *peer.Server
	// client sends requests to agents, and peers sends control messages to other entries.
	client     *upstream.Client
	peers      *peer.Client
	members    *members
	dispatcher *dispatcher
	follower   *configFollower
	gossip     *gossip
	ledger     *ledger.Ledger
	issuer     *ledger.Issuer
	limits     *workspaceLimits
	demand     *demand.Recorder

	// config is nil until a configuration is known.
	config atomic.Pointer[config]
	// inProgress is the number of requests that are being handled.
	inProgress atomic.Int64
	// leaving is set while the entry drains.
	leaving atomic.Bool
	// leaveRequested is the channel of LeaveRequested.
	leaveRequested chan struct{}
	leaveOnce      sync.Once
	probesMu       sync.Mutex
	probes         routing.Probes
	// lifetime is the context of the bodies that are being read and of the periodic tasks, which stop
	// ends.
	lifetime   context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

// New starts an entry. If credentials is nil, the messages between daemons are not
// encrypted. The caller must stop the entry with Close or Drain.
func New(settings settings.Entry, log *zap.Logger, tracer *trace.Tracer, metrics telemetry.Metrics, platformLog fuchsiarouter.Log, list fuchsiarouter.VMList, credentials *peer.TLSCredentials) (*Entry, error) {
	listener, err := net.Listen("tcp4", cmp.Or(settings.ListenAddress, settings.Address))
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	e := &Entry{
		settings: settings, log: log, tracer: tracer, metrics: metrics, scope: metrics.Scope,
		metricsHandler: fasthttpadaptor.NewFastHTTPHandler(metrics.Handler),
		incarnation:    time.Now().UnixMilli(),
		listener:       listener,
		client:         upstream.New(net.ParseIP(settings.SourceIP)),
		peers:          peer.NewClientTLS(credentials, net.ParseIP(settings.SourceIP)),
		leaveRequested: make(chan struct{}),
	}
	e.members = newMembers(settings.ID, e.incarnation)
	e.limits = &workspaceLimits{limiter: quota.New()}
	e.connections = intake.New(tcp.WaitForResources(listener, log), intake.DefaultSettings(intake.Limits{MemoryBytes: settings.MemoryBytes}), log, metrics.Scope)
	e.bodies = intake.NewBodies(intake.BodySettings{
		MemoryBytes: settings.MemoryBytes, Connections: e.connections.Open, Linger: linger,
	}, log, metrics.Scope)
	e.initComponents(platformLog)
	control, err := net.Listen("tcp", cmp.Or(settings.ControlListenAddress, settings.ControlAddress))
	if err != nil {
		_ = listener.Close()
		return nil, errors.Wrap(err, "listen for control messages")
	}
	e.control = peer.Serve(intake.New(tcp.WaitForResources(control, log), controlSettings(settings.MemoryBytes), log, metrics.Scope),
		e.gossip, credentials, e.bodies.Budget)
	e.gossip.controlAddress = e.ControlAddress()
	e.start(list)
	return e, nil
}

// controlSettings returns the settings of the listener for control messages.
func controlSettings(memoryBytes int) intake.Settings {
	limits := intake.Limits{MemoryBytes: memoryBytes}
	return intake.Settings{
		Connections: limits.Connections(controlSocketShare, controlMemoryShare, controlConnectionBytes), HasMessages: true,
	}
}

// initComponents creates the parts of the entry that use each other or the platform's log:
// the dispatcher, the demand recorder, the configuration follower, the gossip, the ledger
// and issuer of claims, and the HTTP server. The demand recorder and the ledger begin to
// read the log at once; start starts the others.
func (e *Entry) initComponents(platformLog fuchsiarouter.Log) {
	e.dispatcher = &dispatcher{
		log: e.log, tracer: e.tracer, client: e.client, members: e.members,
		attemptIDPrefix: strconv.FormatUint(rand.Uint64(), 36) + "-",
		router:          routing.New(routing.Settings{}), budget: retry.NewBudget(0), quarantineList: newQuarantineList(),
	}
	e.demand = demand.New(e.log, platformLog, demand.Settings{EntryID: e.settings.ID, Now: time.Now})
	e.follower = &configFollower{
		log: e.log, stream: platformLog, onChange: e.applyConfig,
		state: revision.New([]string{e.settings.BootstrapKey}),
	}
	e.gossip = &gossip{
		log: e.log, client: e.peers, seeds: e.settings.EntryAddresses, ownMember: e.ownMember, members: e.members,
		follower: e.follower, dispatcher: e.dispatcher, requestLeave: e.requestLeave, peakShifts: e.demand.Shifts,
		leavingVMs: map[string]int64{}, peers: map[string]*peerState{}, peerList: newPeerList(e.incarnation),
	}
	e.ledger = ledger.New(platformLog, ledger.Settings{
		Holder:        claim.Holder{ID: e.settings.ID, Incarnation: e.incarnation},
		IncarnationOf: e.members.incarnation,
		OnError:       func(err error) { e.log.Warn("claims", zap.Error(err)) },
	})
	e.issuer = ledger.NewIssuer(claim.Holder{ID: e.settings.ID, Incarnation: e.incarnation}, claim.Settings{})
	e.server = intake.NewServer(e.handle, func() int { return e.settings.MaxBodyBytes }, intake.BodyTimeout)
	e.server.MaxRequestBodySize, e.server.ErrorHandler, e.server.CloseOnShutdown = e.settings.MaxBodyBytes, refuseMalformed, true
}

// start starts the HTTP server and the periodic tasks of the entry in goroutines of their
// own. Close ends them.
func (e *Entry) start(list fuchsiarouter.VMList) {
	ctx, cancel := context.WithCancel(context.Background())
	e.lifetime, e.stop = ctx, cancel
	e.goroutines.Go(func() {
		if err := e.connections.Serve(e.server); err != nil {
			e.log.Error("HTTP server stopped", zap.Error(err))
		}
	})
	e.goroutines.Go(func() { e.follower.run(ctx) })
	e.goroutines.Go(func() { e.gossip.run(ctx) })
	e.goroutines.Go(func() { runPeriodically(ctx, viewRefreshInterval, e.refreshView) })
	e.goroutines.Go(func() { runPeriodically(ctx, vmListInterval, func() { e.updateVMList(ctx, list) }) })
	e.goroutines.Go(func() { runPeriodically(ctx, probeInterval, e.probeStalled) })
	e.goroutines.Go(func() { runPeriodically(ctx, demandSyncInterval, func() { e.syncDemand(ctx) }) })
}

// runPeriodically calls f immediately and then at each interval until the context ends.
func runPeriodically(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refreshView updates the router and this entry's shares of the limits from the view of
// the fleet, and fails the requests that are in progress at dead agents by closing the
// connections to these. It also reports the traffic between daemons to the metrics.
func (e *Entry) refreshView() {
	now := time.Now()
	for _, address := range e.members.tick(now) {
		e.client.CloseConnections(address)
	}
	groups, leaving := e.members.groups(e.isUnreachable)
	e.dispatcher.mu.Lock()
	for group := range e.dispatcher.knownGroups {
		if _, ok := groups[group]; !ok {
			e.dispatcher.router.Update(now, group, nil, leaving)
		}
	}
	e.dispatcher.knownGroups = groups
	for group, servers := range groups {
		e.dispatcher.router.Update(now, group, servers, leaving)
	}
	e.dispatcher.mu.Unlock()
	var others []fuchsiarouter.Member
	e.members.withView(func(view *fleet.Relay) {
		for _, member := range view.Entries() {
			others = append(others, member.Member)
		}
	})
	e.limits.updateShares(now, others)
	e.peers.Traffic().Report(e.scope)
	e.control.Traffic().Report(e.scope)
}

// updateVMList reads the platform's VM list, applies it to the view of the fleet, and
// requests the drain of this entry if the list says that its VM is leaving. It also appends
// a snapshot of the configuration if one is due and this entry is the elected writer.
func (e *Entry) updateVMList(ctx context.Context, list fuchsiarouter.VMList) {
	timeoutCtx, cancel := context.WithTimeout(ctx, vmListInterval)
	defer cancel()
	vms, err := list.VMs(timeoutCtx)
	if err != nil {
		e.log.Debug("could not read the VM list", zap.Error(err))
	} else {
		e.members.withView(func(view *fleet.Relay) { view.UpdateVMList(vms) })
		for _, vm := range vms {
			if vm.ID == e.settings.ID && vm.State == fuchsiarouter.StateLeaving {
				e.requestLeave()
			}
		}
	}
	isWriter := false
	e.members.withView(func(view *fleet.Relay) { isWriter = isElectedWriter(view.View, e.settings.ID) })
	if isWriter {
		e.follower.appendSnapshotIfDue(ctx)
	}
}

// syncDemand passes the demand that the other entries report to the demand recorder, which
// appends to the log the time slots that this entry has to write, and snapshots if this
// entry is the elected writer.
func (e *Entry) syncDemand(ctx context.Context) {
	var others []fuchsiarouter.Member
	isWriter := false
	e.members.withView(func(view *fleet.Relay) {
		for _, member := range view.Entries() {
			others = append(others, member.Member)
		}
		isWriter = isElectedWriter(view.View, e.settings.ID)
	})
	e.demand.Sync(ctx, others, isWriter)
}

// applyConfig puts a configuration into effect: for the requests that arrive from now on,
// and for the peaks of the demand recorder and the claim window of the ledger.
func (e *Entry) applyConfig(doc document.Document) {
	e.members.setModels(doc.Models)
	e.demand.SetPeaks(doc.Peaks)
	if window := doc.Fleet.ClaimWindow(); window > 0 {
		e.ledger.SetWindow(window)
	}
	e.config.Store(newConfig(doc))
}

// ownMember returns the description of this entry for a heartbeat.
func (e *Entry) ownMember() fuchsiarouter.Member {
	state := fuchsiarouter.StateLive
	if e.leaving.Load() {
		state = fuchsiarouter.StateLeaving
	}
	now := time.Now()
	return fuchsiarouter.Member{
		ID: e.settings.ID, Kind: fuchsiarouter.KindEntry, Incarnation: e.incarnation, Address: e.Address(),
		ControlAddress: e.ControlAddress(), Region: e.settings.Region, AvailabilityZone: e.settings.AvailabilityZone, State: state,
		Load:      fuchsiarouter.Load{Running: int(e.inProgress.Load()), Slots: e.settings.Capacity},
		Revisions: e.follower.revisions(), WorkspaceDemands: e.limits.demands(now),
		SlotDemand: e.demand.Report(),
	}
}

// Address returns the address at which callers reach the entry.
func (e *Entry) Address() string {
	if e.settings.ListenAddress != "" {
		return e.settings.Address
	}
	return e.listener.Addr().String()
}

// ControlAddress returns the address at which the entry receives messages of other daemons.
func (e *Entry) ControlAddress() string {
	if e.settings.ControlListenAddress != "" {
		return e.settings.ControlAddress
	}
	return e.control.Address()
}

// LeaveRequested returns a channel that is closed when the platform or an operator marks
// the VM as leaving.
func (e *Entry) LeaveRequested() <-chan struct{} { return e.leaveRequested }

// requestLeave closes the channel of LeaveRequested, by which the process learns that it has
// to drain the entry.
func (e *Entry) requestLeave() { e.leaveOnce.Do(func() { close(e.leaveRequested) }) }

// Drain refuses new requests, waits for those in progress and for unfinished appends to
// the log, but at least lateCallerGrace and at most the drain deadline, and closes the
// entry. It reports whether all requests in progress ended before the deadline.
func (e *Entry) Drain() bool {
	e.leaving.Store(true)
	deadline := defaultDrainDeadline
	if config := e.config.Load(); config != nil && config.document.Fleet.DrainDeadline() > 0 {
		deadline = config.document.Fleet.DrainDeadline()
	}
	e.log.Info("draining", zap.Duration("deadline", deadline))
	e.gossip.sendHeartbeats(context.Background())
	startedAt := time.Now()
	for time.Since(startedAt) < deadline {
		if e.inProgress.Load() == 0 && e.ledger.UnfinishedAppends() == 0 && time.Since(startedAt) >= lateCallerGrace {
			break
		}
		time.Sleep(drainPollInterval)
	}
	completed := e.inProgress.Load() == 0
	e.Close()
	return completed
}

// Close stops the entry without the preparation that Drain makes. It accepts no new
// connections and waits until the open ones have ended or are idle.
func (e *Entry) Close() {
	e.stop()
	if err := e.server.Shutdown(); err != nil {
		e.log.Warn("shutdown", zap.Error(err))
	}
	if err := e.control.Close(); err != nil {
		e.log.Warn("could not close the control server", zap.Error(err))
	}
	e.goroutines.Wait()
	e.ledger.Close()
	e.demand.Close()
	e.client.CloseIdleConnections()
	_ = e.peers.Close()
}
