// Package ingress implements the entry daemon for platforms whose callers speak plain
// HTTP.
//
// Each request passes a chain of steps: its framing is validated, its route and workspace
// are looked up in one version of the configuration, a scheduler selects a backend server
// or queues the request, the request is sent with the ID of the only server that may run
// it, and the response is streamed to the caller. The ID usually identifies one
// incarnation, which is one run of the server's process. A server rejects requests that
// carry another ID, so an entry needs no coordination with the others before it sends.
//
// Several times per second, each entry reports its liveness and the number of requests that
// it has in flight at each server to the relays of its availability zone, and receives a
// digest of the other entries; see package roster. The loader, the daemon beside each model
// engine, reports the state of its engine to some entries, from which the relays learn it.
//
// The registry is the platform's keyed store of the configuration, the declared model
// versions, the backend servers and the entries. An entry serves requests from its copy of
// the registry, whose age decides what the entry may still conclude from it.
package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/cold"
	"github.com/fuchsiarouter/fuchsiarouter/exchange"
	"github.com/fuchsiarouter/fuchsiarouter/intake"
	"github.com/fuchsiarouter/fuchsiarouter/mirror"
	"github.com/fuchsiarouter/fuchsiarouter/quarantine"
	"github.com/fuchsiarouter/fuchsiarouter/relay"
	"github.com/fuchsiarouter/fuchsiarouter/roster"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

const (
	// tickInterval is the interval of the tasks in runPeriodicTasks.
	tickInterval = 50 * time.Millisecond
	// headBufferBytes is the buffer size for the head of a request. The platform allows
	// heads of up to 16 KiB.
	headBufferBytes = 20 << 10
	// maxBodyBytes bounds the request bodies whatever the configuration, which can change at any
	// time, allows.
	maxBodyBytes = 16 << 20
	// maxControlBodyBytes bounds the bodies of requests other than those of callers, which have none.
	maxControlBodyBytes = 4 << 10
	// controlReadTimeout bounds the time for reading one of these requests, controlIdleTimeout that
	// between two of them.
	controlReadTimeout = 20 * time.Second
	controlIdleTimeout = time.Minute
	// keyRevocationMargin is subtracted from Settings.KeyRevocation to get the age up to
	// which the copy of the API keys may be used, because a request is sent only some time
	// after the age is checked.
	keyRevocationMargin = 600 * time.Millisecond
	// relayPollWait is how long a read of the registry through another entry waits for
	// new records. A draining server must get no more requests 2 s after it has announced
	// that it drains; the age of that entry's copy, this wait and the timeout for a
	// frozen entry add up to 1.25 s.
	relayPollWait = 250 * time.Millisecond
	// rosterWait is how long reads of the registry wait at the start for the list of the
	// registered entries. The list takes a few ms unless the registry is down or slow, or all
	// VMs start at once: then registering and reading it took 0.9 s over a link of 27 Mbit/s
	// between regions. With 0.5 s, 19 entries of a zone read a configuration of 490 KB over
	// that link, which took 2.7 s.
	rosterWait = 1500 * time.Millisecond
	// resendSafetyFactor is the fraction of the allowed resends that the entry uses,
	// because the windows in which different entries count do not begin at the same time.
	resendSafetyFactor = 0.6
)

// Settings configures an Ingress.
type Settings struct {
	// Name is the name of the entry in logs and status messages.
	Name             string
	AvailabilityZone string
	Region           string
	// Regions holds the region of each availability zone.
	Regions map[string]string
	// CallerAddress, ReadinessAddress and DirectoryAddress are the addresses to listen on
	// for requests of callers, for readiness checks of the platform and for reads of the
	// directory, the list of entries for callers. The last two are optional. PeerAddress
	// is the address for other daemons: over UDP for status messages, over TCP for reads
	// of the registry and of the metrics.
	CallerAddress    string
	ReadinessAddress string
	DirectoryAddress string
	PeerAddress      string

	// KeyRevocation is the time after the revocation of an API key within which the key
	// must be refused.
	KeyRevocation time.Duration
	// StopGrace is the time between the stop signal and the end of the process.
	StopGrace time.Duration
	// VersionDeadline is the time after the declaration of a model version from which no
	// request may begin on an older one.
	VersionDeadline time.Duration
	// EvacuationBound is the time after the evacuation of an availability zone after which its
	// servers must get no requests.
	EvacuationBound time.Duration
	// DirectoryTTL is how long callers may cache the directory.
	DirectoryTTL time.Duration
	// LinkBytesPerSecond is the network bandwidth of the VM. Of the entries of an
	// availability zone, those with the most bandwidth read the registry for the others.
	LinkBytesPerSecond float64
	// Cores is the number of processor cores that the entry may use. An entry with more of
	// them gets more of the callers when there are more entries than a response of the
	// directory holds.
	Cores float64
	// ResendRatio bounds the resends in each ResendWindow, for each service, to a share of
	// its requests, plus ResendAllowance resends for all entries together.
	ResendRatio     float64
	ResendAllowance float64
	ResendWindow    time.Duration
	// ColdBound bounds the requests to a cold server.
	ColdBound cold.Bound
	// MaxKeptConnections is the number of open connections of callers above which connections are
	// closed after a response. With 0, it follows from the descriptors and the memory of the process.
	MaxKeptConnections int
	// MemoryBytes is the memory of the process, which is killed when it exceeds it, and
	// MaxDescriptors the number of descriptors that it may open. With 0, the memory is not limited
	// and the descriptors are those that the operating system allows.
	MemoryBytes    int
	MaxDescriptors int
}

// Handlers creates the platform-specific HTTP handlers.
type Handlers struct {
	// Directory returns the handler for reads of the directory. The function addresses
	// returns the addresses of the entries for a caller in the region and the availability
	// zone, and how long the caller may cache them.
	Directory func(addresses func(region, zone string) ([]string, time.Duration)) fasthttp.RequestHandler
	// Readiness returns the handler for readiness checks. The function ready reports
	// whether callers should be directed to this entry.
	Readiness func(ready func() bool) fasthttp.RequestHandler
}

// Ingress is the entry daemon. It admits the requests of callers, sends each to a backend
// server that its scheduler selects, and relays the response. It tells the other entries
// how many requests it has in flight at each server, and which servers it found stalled
// or crashed.
type Ingress struct {
	settings Settings
	dialect  fuchsiarouter.Dialect
	registry fuchsiarouter.Registry
	// mirror is this entry's copy of the registry.
	mirror *mirror.Mirror
	// upstream holds the connections to the backend servers.
	upstream *exchange.Client
	// memory bounds what is held for callers and servers.
	memory     *memoryGuard
	log        *zap.Logger
	requestLog *requestLog
	metrics    requestMetrics

	// mu protects the fields up to longestTimeouts, except stallDetector, which has its
	// own lock, and stallsCheckedAt, which only the periodic tasks use.
	mu        sync.Mutex
	scheduler *schedule.Scheduler
	// resendBudgets holds the resend budget of each service, by the name of the service.
	resendBudgets map[string]*resendBudget
	// roster holds the other entries.
	roster *roster.Roster
	// fairShares holds what the fair shares of workspaces need beside the scheduler.
	fairShares fairShares
	// settlement is what the registered entries say about the epoch of the registry.
	settlement registeredSettlement
	// rosterKnown is set once the registered entries were read.
	rosterKnown bool
	// declaredVersions holds the declared versions of each model, oldest first.
	declaredVersions map[string][]catalog.DeclaredVersion

	// strikes holds the fingerprints of the requests that were in progress at servers
	// which crashed.
	strikes *quarantine.List
	// promptParts holds the parts of prompts that are suspected of crashes.
	promptParts   *quarantine.Parts
	stallDetector *stallDetector
	// stallsCheckedAt is the time of the last check for stalled servers.
	stallsCheckedAt time.Time
	// stallsReportedAt holds, by the ID of a stalled server, the time at which the stall was
	// last reported to other entries or by them.
	stallsReportedAt map[string]time.Time
	// reportedLoad is the content of the last report, and knownMembers the fingerprint of
	// the live entries at the last message.
	reportedLoad map[uint32]int
	knownMembers uint64
	// longestTimeouts holds, by route, the longest timeout that a request of a caller has
	// stated.
	longestTimeouts map[string]time.Duration

	// peerHTTP is the client for reads of the registry through other entries, peerSocket
	// the socket for status messages.
	peerHTTP   *fasthttp.Client
	peerSocket *net.UDPConn
	// startedUnixMs is the Unix time in ms of the start, which distinguishes incarnations.
	startedUnixMs int64
	// draining is set when the stop signal arrives, rejecting later, from when on new
	// requests are refused.
	draining  atomic.Bool
	rejecting atomic.Bool
	// drainStart is the time of the stop signal, nil before it.
	drainStart atomic.Pointer[time.Time]
	// drainEnd is the time at which requests without an answer are ended, nil unless the daemon
	// drains.
	drainEnd atomic.Pointer[time.Time]
	// lifetime is the context of all requests. endLifetime ends it.
	lifetime    context.Context
	endLifetime context.CancelCauseFunc
	// unanswered is the context of the requests whose answer has not begun. endUnanswered ends it.
	unanswered    context.Context
	endUnanswered context.CancelCauseFunc
	// requestsEndedByStop is the number of requests that the stop of the daemon has ended.
	requestsEndedByStop atomic.Int64
	// unknownNames holds the unknown regions and availability zones that were logged.
	unknownNames unknownNames
	// pauseMalformed is set after the first pause of a server that is not in seconds.
	pauseMalformed atomic.Bool
	// loadMalformed is set after the first load of a server that cannot be read.
	loadMalformed atomic.Bool
	// coldMalformed is set after the first cold time outside the range.
	coldMalformed atomic.Bool
	// inFlight is the number of requests of callers that have not ended.
	inFlight atomic.Int64
	// callerServer serves the requests of callers, whose connections callerListener accepts.
	callerServer   *fasthttp.Server
	callerListener *intake.Listener
	// rosterRead is closed after the first attempt to read the registered entries, and
	// rosterWaitOver rosterWait after the start.
	rosterRead     chan struct{}
	rosterWaitOver chan struct{}
	// stop is closed when the daemon has drained. This ends the periodic background
	// goroutines.
	stop       chan struct{}
	background sync.WaitGroup
}

// New starts an entry daemon. It returns an error if an address cannot be listened on.
func New(settings Settings, dialect fuchsiarouter.Dialect, registry fuchsiarouter.Registry, handlers Handlers,
	log *zap.Logger, metrics telemetry.Metrics,
) (*Ingress, error) {
	settings.Regions = regionsOfZones(settings)
	i := &Ingress{
		settings: settings, dialect: dialect, registry: registry, upstream: exchange.New(), log: log,
		requestLog: newRequestLog(log), metrics: newRequestMetrics(metrics.Scope),
		scheduler:    schedule.NewInRegions(settings.AvailabilityZone, settings.Regions, roster.ServerKey),
		unknownNames: unknownNames{logged: map[string]struct{}{}}, resendBudgets: map[string]*resendBudget{},
		longestTimeouts: map[string]time.Duration{}, stallDetector: newStallDetector(), stallsReportedAt: map[string]time.Time{},
		strikes:          quarantine.New(quarantine.Settings{StrikeLifetime: strikeTTL, RefuseFrom: refusalStrikes}),
		promptParts:      quarantine.NewParts(),
		declaredVersions: map[string][]catalog.DeclaredVersion{}, peerHTTP: relay.NewHTTPClient(), startedUnixMs: time.Now().UnixMilli(),
		stop: make(chan struct{}), rosterRead: make(chan struct{}), rosterWaitOver: make(chan struct{}),
	}
	if settings.MaxKeptConnections == 0 {
		i.settings.MaxKeptConnections = int(keptConnectionShare * float64(callerConnectionLimit(settings)))
	}
	i.memory = newMemoryGuard(settings.MemoryBytes, func() int { return i.callerListener.Open() }, log, metrics.Scope)
	i.lifetime, i.endLifetime = context.WithCancelCause(context.Background())
	i.unanswered, i.endUnanswered = context.WithCancelCause(i.lifetime)
	time.AfterFunc(rosterWait, func() { close(i.rosterWaitOver) })
	i.roster = roster.New(i.selfEntry())
	i.mirror = mirror.New(registry, i.readSources, mirror.Settings{
		RelayWait: relayPollWait, Peers: i.startPeers, VersionDeadline: settings.VersionDeadline, EvacuationBound: settings.EvacuationBound,
	}, log, i.applyView)
	if err := i.listen(handlers, metrics); err != nil {
		i.mirror.Close()
		return nil, err
	}
	i.background.Go(i.runPeriodicTasks)
	i.background.Go(i.receiveStatusMessages)
	i.background.Go(i.runStatusUpdates)
	return i, nil
}

// readSources returns the sources from which the records of the registry can be read, in
// order of preference: the entries that read the registry for the whole availability zone,
// the registry itself, and entries which may still reach the registry when this entry and
// the readers of its zone cannot.
//
// The first call waits until the registered entries were read, for up to rosterWait, so that
// entries that start together do not all read the registry.
func (i *Ingress) readSources() []fuchsiarouter.TopicReader {
	i.awaitRoster()
	now := time.Now()
	i.mu.Lock()
	readers, fallbacks := i.roster.ZoneReaders(now), i.roster.FallbackReaders(now)
	i.mu.Unlock()
	sources := make([]fuchsiarouter.TopicReader, 0, len(readers)+1+len(fallbacks))
	for _, reader := range readers {
		sources = append(sources, relay.NewClient(reader.PeerAddress, i.peerHTTP))
	}
	sources = append(sources, i.registry)
	for _, entry := range fallbacks {
		sources = append(sources, relay.NewClient(entry.PeerAddress, i.peerHTTP))
	}
	return sources
}

// listen starts the HTTP servers and opens the socket for status messages.
func (i *Ingress) listen(handlers Handlers, metrics telemetry.Metrics) error {
	i.callerServer = intake.NewServer(i.serve, i.bodyLimit, bodyTimeout)
	i.callerServer.ErrorHandler, i.callerServer.Logger = i.handleParseError, zap.NewStdLog(i.log)
	i.callerServer.ReadBufferSize, i.callerServer.WriteTimeout = headBufferBytes, intake.ResponseTimeout
	i.callerServer.MaxRequestBodySize = maxBodyBytes
	i.callerServer.NoDefaultDate, i.callerServer.NoDefaultContentType = true, true
	callers := i.callerEndpoint()
	var err error
	if i.callerListener, err = i.listenAt(callers, metrics); err != nil {
		return err
	}
	i.serveAt(callers, i.callerListener)
	for _, control := range []endpoint{
		i.controlEndpoint(i.settings.ReadinessAddress, handlers.Readiness(i.isReady), readinessSocketShare),
		i.controlEndpoint(i.settings.DirectoryAddress, handlers.Directory(i.callerAddresses), directorySocketShare),
		i.controlEndpoint(i.settings.PeerAddress, i.peerHandler(relay.Handler(i.mirror), metrics), peerSocketShare),
	} {
		if control.address == "" {
			continue
		}
		listener, err := i.listenAt(control, metrics)
		if err != nil {
			return err
		}
		i.serveAt(control, listener)
	}
	address, err := net.ResolveUDPAddr("udp4", i.settings.PeerAddress)
	if err != nil {
		return errors.Wrapf(err, "resolve peer address %s", i.settings.PeerAddress)
	}
	if i.peerSocket, err = net.ListenUDP("udp4", address); err != nil {
		return errors.Wrapf(err, "listen for status messages on %s", i.settings.PeerAddress)
	}
	return nil
}

// newControlServer returns an HTTP server for the requests of other daemons and of the
// platform, and for the directory.
func newControlServer(handler fasthttp.RequestHandler, log *requestLog) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, IdleTimeout: controlIdleTimeout, ReadTimeout: controlReadTimeout, MaxRequestBodySize: maxControlBodyBytes,
		NoDefaultServerHeader: true, NoDefaultDate: true, CloseOnShutdown: true,
		Logger: controlLog{log},
	}
}

// applyView passes a new view of the registry to the scheduler and records newly declared
// versions.
func (i *Ingress) applyView(view *catalog.View) {
	i.reportUnknownRegions(view.Configuration)
	i.reportUnknownZones(view)
	i.mu.Lock()
	defer i.mu.Unlock()
	if view.Configuration != nil {
		i.scheduler.SetServices(view.Configuration.Services)
	}
	i.applyColdServices(view)
	i.applyFairShares(view.Configuration)
	i.scheduler.SetEvacuatedZones(time.Now(), view.EvacuatedZones)
	i.scheduler.SetServers(time.Now(), view.Servers)
	for model, target := range view.DeclaredVersions {
		declared := i.declaredVersions[model]
		if len(declared) == 0 || declared[len(declared)-1].Version < target.Version {
			i.declaredVersions[model] = append(declared, target)
		}
	}
}

// runPeriodicTasks runs until the daemon stops. At each tick it enforces the version
// deadlines, sends or expires queued requests and checks for stalled servers. Once per
// second it also closes expired connections and updates the gauges.
func (i *Ingress) runPeriodicTasks() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastSweep := time.Now()
	i.stallsCheckedAt = lastSweep
	for {
		select {
		case <-i.stop:
			return
		case now := <-ticker.C:
			i.mu.Lock()
			i.enforceVersionDeadlines()
			i.scheduler.Tick(now)
			coldEvents := i.scheduler.TakeColdEvents()
			i.mu.Unlock()
			i.logColdEvents(coldEvents)
			i.checkStalls(now)
			i.memory.Trim(now)
			if now.Sub(lastSweep) > time.Second {
				lastSweep = now
				servers := i.mirror.View().Servers
				i.upstream.CloseExpired(now, func(target exchange.Target) bool {
					server := servers[target.ID]
					return server != nil && server.Address == target.Address && server.Started == target.Incarnation
				})
				i.metrics.updateGauges(i)
				i.updateShareMetrics(now)
			}
		}
	}
}

// isReady reports whether callers should send new requests to the entry: it is available
// and not draining. A draining entry still serves the requests that reach it for a while.
func (i *Ingress) isReady() bool { return !i.draining.Load() && i.isAvailable() }

// isAvailable reports whether the entry can serve requests: it knows servers and its copy
// of the configuration is recent enough to check API keys.
func (i *Ingress) isAvailable() bool {
	view := i.mirror.View()
	age := i.mirror.OperatorAge()
	if view.Configuration != nil && view.Configuration.NeedsKey() {
		age = max(age, i.mirror.AcknowledgedAge())
	}
	return view.Configuration != nil && len(view.Servers) > 0 && age < i.settings.KeyRevocation-keyRevocationMargin
}

// callerAddresses returns the addresses of the entries for callers of a region and an availability
// zone, and how long callers may cache them. This entry is included if it is ready. If some requests
// may be served only in some regions, entries of other regions than the caller's are included only
// if there is none in the caller's.
func (i *Ingress) callerAddresses(region, zone string) ([]string, time.Duration) {
	ready, region := i.isReady(), i.directoryRegion(region, zone)
	i.mu.Lock()
	defer i.mu.Unlock()
	addresses, listsOthers := i.roster.CallerAddresses(time.Now(), region, zone, ready)
	if len(addresses) == 0 {
		// An entry that refuses requests is better than an empty directory.
		addresses, listsOthers = []string{i.settings.CallerAddress}, region != "" && region != i.settings.Region
	}
	if listsOthers {
		i.metrics.otherRegionsListed.Inc(1)
	}
	return addresses, min(maxDirectoryTTL, i.settings.DirectoryTTL)
}

// maxDirectoryTTL bounds how long callers may cache entry addresses. Requests to an entry
// that is gone fail for that long.
const maxDirectoryTTL = 2 * time.Second
