// Package loader implements the daemon that runs beside a model engine on a backend
// server VM. The engine loads versions from pieces that are staged on its machine.
//
// The operator declares for each model the version that its engines should hold. A loader
// brings its engine to the declared version. It reads the declared versions and the other
// engines from an entry, an ingress daemon that routes the callers' requests. It fetches
// each piece from the loader of a nearby engine, or from the origin, the server that
// publishes the weights, if no other loader can supply it. It verifies each piece against
// the manifest, the list of the pieces' digests. When all pieces are present, it stages
// them. Before it orders the load, it reads all staged pieces back and verifies them
// again. It is the only process that sends orders to its engine.
//
// A loader serves its verified pieces to other loaders. A piece is requested in two steps:
// an offer request lists the wanted pieces and returns the index of one that may be
// fetched now, and a second request fetches its content. Package supply selects the
// source of each piece.
package loader

import (
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/intake"
	"github.com/fuchsiarouter/fuchsiarouter/mirror"
	"github.com/fuchsiarouter/fuchsiarouter/relay"
	"github.com/fuchsiarouter/fuchsiarouter/roster"
	"github.com/fuchsiarouter/fuchsiarouter/supply"
	"github.com/fuchsiarouter/fuchsiarouter/tcp"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

const (
	// serversPollInterval is the pause between two reads of the list of backend servers
	// from an entry (an ingress daemon).
	serversPollInterval = 700 * time.Millisecond
	// operatorPollTimeout is how long a long poll of an entry waits for changes that
	// the operator makes to the configuration or the declared versions.
	operatorPollTimeout = 2 * time.Second
	// enginePollInterval is the time between two polls of an engine that does not answer
	// or is behind the declared version, and between two checks for versions to fetch.
	// An engine that is up to date is polled at a quarter of the rate.
	enginePollInterval = 250 * time.Millisecond
	// entriesReadInterval is the minimum time between two reads of the list of entries
	// (ingress daemons) from the registry.
	entriesReadInterval = 2 * time.Second
	// maxEntrySources is the number of the nearest entries through which the registry is
	// read.
	maxEntrySources = 8
	// cachedVersions is the number of versions of each model whose pieces are kept in
	// memory to serve them to other loaders.
	cachedVersions = 2
)

// Settings describe the machine and the engine of a loader.
type Settings struct {
	// Name is the name of the machine.
	Name             string
	IP               string
	AvailabilityZone string
	Region           string
	// EngineAddress is the address of the engine on this machine, Service the name of
	// the service that it belongs to.
	EngineAddress string
	Service       string
	// VersionDeadline is the time after the declaration of a version after which no
	// request may start on an older version.
	VersionDeadline time.Duration
	// StopGrace is the time between the stop signal and the end of the process.
	StopGrace time.Duration
	// LinkBandwidth is the bandwidth of the machine's network link in bytes per second. It
	// limits the rate at which pieces are served; if it is 0, the limit is minPieceRate.
	LinkBandwidth float64
	// PieceAddress is the listen address of the piece server. PeerPort is its port,
	// which is the same on all machines.
	PieceAddress string
	PeerPort     int
	// MemoryBytes is the memory of the process, which is killed when it exceeds it, and
	// MaxDescriptors the number of descriptors that it may open. With 0, the memory is not limited
	// and the descriptors are those that the operating system allows.
	MemoryBytes    int
	MaxDescriptors int
}

// Loader brings one engine to the declared versions and serves pieces to other loaders.
type Loader struct {
	settings Settings
	registry fuchsiarouter.Registry
	engine   fuchsiarouter.StagedEngine
	origin   fuchsiarouter.PieceOrigin
	mirror   *mirror.Mirror
	log      *zap.Logger
	counters counters
	// calls sends the calls that change the engine.
	calls *engineCalls

	// entryHTTP sends requests to entries, peerHTTP to other loaders.
	entryHTTP *fasthttp.Client
	peerHTTP  *fasthttp.Client

	mu sync.Mutex
	// entries are the entries that were last read from the registry, nearest first.
	// entriesReadAt is when they were last read or an attempt to read them failed.
	entries []roster.Entry
	// entryFailed is set when a read through an entry has failed since.
	entriesReadAt time.Time
	entryFailed   bool
	// announced is the index in entries of the next one to announce a state to, stateNumber the
	// number of the last announced state.
	announced   int
	stateNumber fuchsiarouter.StateNumber
	// caches holds the pieces of the latest versions by cacheKey.
	caches map[string]*pieceCache
	// engineStates is the last reported state of the engine by model. changedAt is when
	// the state of any model last differed from the one reported before; the state is
	// announced repeatedly for announceDuration after it.
	engineStates map[string]engineState
	changedAt    time.Time
	// leavingStart is the start, in Unix ms, of the engine's incarnation if it has said in the
	// last report that it leaves, and nil otherwise.
	leavingStart *int64
	// engineLost is set while the engine does not answer. Only converge uses it.
	engineLost bool
	// loadUnsettled is set while a load waits for calls that are not settled, which is logged
	// once. Only converge uses it.
	loadUnsettled bool
	// expectedLoadAt is when the next load order is expected to be sent; no load is
	// planned if it is in the past. loadAnnouncedAt is when announceExpectedLoad last sent
	// it to the entries.
	expectedLoadAt  time.Time
	loadAnnouncedAt time.Time
	// declarations holds the declared versions by model and version.
	declarations map[string]map[int]supply.Declaration
	// pacer limits the pieces that are sent to other loaders, downloads those that are
	// fetched from them.
	pacer     supply.Pacer
	downloads *concurrencyLimiter

	server *fasthttp.Server
	// wakeConverge and wakeFetch interrupt the pauses of converge and fetchLoop.
	wakeConverge chan struct{}
	wakeFetch    chan struct{}
	// stop is closed by Drain, converged when converge has ended.
	stop      chan struct{}
	converged chan struct{}
	done      sync.WaitGroup
}

// New starts the loader of an engine. Pieces that no other loader can supply are read from
// origin, the declared versions and the servers from the registry or its copies at the
// entries. The loader keeps the engine at the declared versions until Drain is called.
func New(settings Settings, registry fuchsiarouter.Registry, engine fuchsiarouter.StagedEngine,
	origin fuchsiarouter.PieceOrigin, log *zap.Logger, metrics telemetry.Metrics,
) (*Loader, error) {
	l := &Loader{
		settings: settings, registry: registry, origin: origin, log: log,
		counters:  newCounters(metrics.Scope),
		entryHTTP: relay.NewHTTPClient(), peerHTTP: newPeerHTTP(), caches: map[string]*pieceCache{},
		engineStates: map[string]engineState{}, declarations: map[string]map[int]supply.Declaration{},
		downloads: newConcurrencyLimiter(),
		pacer: supply.Pacer{
			Rate: max(settings.LinkBandwidth*maxLinkShare, minPieceRate), IdleRate: max(settings.LinkBandwidth, minPieceRate),
		},
		wakeConverge: make(chan struct{}, 1), wakeFetch: make(chan struct{}, 1), stop: make(chan struct{}),
		converged: make(chan struct{}),
	}
	l.engine = &pausableEngine{engine: engine, startedAt: l.registeredStart}
	l.calls = newEngineCalls(l.engine, log, l.counters)
	listener, err := tcp.Listen(settings.PieceAddress, log)
	if err != nil {
		return nil, errors.Wrap(err, "listen at piece address")
	}
	l.server = &fasthttp.Server{
		Handler: l.handler(metrics), IdleTimeout: 10 * time.Second, ReadTimeout: 10 * time.Second, MaxRequestBodySize: maxRequestBodyBytes,
		NoDefaultServerHeader: true, NoDefaultDate: true,
	}
	limits := intake.Limits{MemoryBytes: settings.MemoryBytes, Descriptors: settings.MaxDescriptors}
	connections := intake.New(listener, intake.Settings{
		Connections:  limits.Connections(connectionSocketShare, connectionMemoryShare, connectionBytes),
		ReceiveBytes: receiveBytes, WriteTimeout: pieceWriteTimeout,
	}, log, metrics.Scope)
	// wasComplete is set if the last view had the configuration and the servers. The topics are
	// read one after the other, so they may follow the declarations.
	wasComplete := false
	l.mirror = mirror.New(registry, l.topicSources, mirror.Settings{
		OperatorWait: operatorPollTimeout, ServersInterval: serversPollInterval, VersionDeadline: settings.VersionDeadline,
	},
		log, func(view *catalog.View) {
			isComplete := view.Configuration != nil && len(view.Servers) > 0
			if l.recordDeclarations(view) || isComplete && !wasComplete {
				l.reconcileNow()
				signal(l.wakeFetch)
			}
			wasComplete = isComplete
		})
	l.done.Go(func() {
		if err := connections.Serve(l.server); err != nil {
			log.Error("piece server ended", telemetry.Cause(err))
		}
	})
	l.done.Go(l.converge)
	l.done.Go(l.fetchLoop)
	l.done.Go(l.repeatAnnouncements)
	return l, nil
}

const (
	// connectionSocketShare and connectionMemoryShare are the parts of the sockets and of the memory
	// that the connections of other loaders may take.
	connectionSocketShare = 0.5
	connectionMemoryShare = 0.1
	// receiveBytes is the size of the receive buffer of a connection, and connectionBytes what the
	// connection holds: two buffers of 4 KiB, a body, the stack of its goroutine and the receive buffer.
	receiveBytes    = 8 << 10
	connectionBytes = 20<<10 + receiveBytes
	// pieceWriteTimeout is how long a part of a piece may stay unread.
	pieceWriteTimeout = 10 * time.Second
)

// maxRequestBodyBytes bounds the bodies of requests of other loaders, which have none.
const maxRequestBodyBytes = 4 << 10

// minPieceRate is the lower bound, in bytes per second, of the limit of the rate at which
// pieces are served. It applies to a machine without a configured bandwidth.
const minPieceRate = 100 << 10

// engineState is the state of the engine that is announced to the entries.
type engineState struct {
	// version is the version of one model that the engine has loaded; 0 means none.
	version int
	// loading is set while the engine executes any order.
	loading bool
}

// reconcileNow ends the current pause of converge, which then polls the engine. If converge
// is not in a pause, it skips the next one.
func (l *Loader) reconcileNow() { signal(l.wakeConverge) }

// signal wakes a loop without blocking. The loop may already have a pending signal.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// topicSources returns the sources from which the mirror reads the registry's topics: the
// nearest entries (ingress daemons), then the registry itself as the fallback. While no entry
// is known, and after a read through one has failed, it first reads the list of entries from
// the registry, if entriesReadInterval has passed since the last time.
func (l *Loader) topicSources() []fuchsiarouter.TopicReader {
	l.mu.Lock()
	defer l.mu.Unlock()
	if (len(l.entries) == 0 || l.entryFailed) && time.Since(l.entriesReadAt) > entriesReadInterval {
		l.entriesReadAt, l.entryFailed = time.Now(), false
		if entries, err := readEntries(l.registry, l.settings); err != nil {
			l.log.Warn("entries not read", telemetry.Cause(err))
		} else {
			l.entries = entries
		}
	}
	var sources []fuchsiarouter.TopicReader
	for _, entry := range l.entries[:min(len(l.entries), maxEntrySources)] {
		sources = append(sources, entrySource{Client: relay.NewClient(entry.PeerAddress, l.entryHTTP), loader: l})
	}
	return append(sources, l.registry)
}

// entrySource reads topics through an entry and makes the loader read the list of entries
// again after a failure.
type entrySource struct {
	*relay.Client
	loader *Loader
}

// Read implements fuchsiarouter.TopicReader.
func (e entrySource) Read(topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	batch, err := e.Client.Read(topic, from, wait)
	e.loader.recordEntryRead(err)
	return batch, err
}

// ReadNewest implements fuchsiarouter.TopicReader.
func (e entrySource) ReadNewest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, error) {
	batch, err := e.Client.ReadNewest(topic)
	e.loader.recordEntryRead(err)
	return batch, err
}

// recordEntryRead records the result of a read through an entry.
func (l *Loader) recordEntryRead(err error) {
	if err != nil {
		l.mu.Lock()
		l.entryFailed = true
		l.mu.Unlock()
	}
}

// readEntries reads the registered entries from the registry and returns them, nearest
// first: those of the loader's own availability zone, then those of its region, then the
// others.
func readEntries(registry fuchsiarouter.Registry, settings Settings) ([]roster.Entry, error) {
	batch, err := registry.ReadNewest(fuchsiarouter.TopicEntries)
	if err != nil {
		return nil, err
	}
	var entries []roster.Entry
	for _, record := range batch.Records {
		var entry roster.Entry
		if json.Unmarshal(record.Value, &entry) == nil && entry.PeerAddress != "" {
			entries = append(entries, entry)
		}
	}
	roster.SortByDistance(roster.Entry{AvailabilityZone: settings.AvailabilityZone, Region: settings.Region}, entries)
	return rotateLocalEntries(entries, settings), nil
}

// rotateLocalEntries rotates the entries of the loader's own zone by a hash of its IP, so
// that the loaders of a zone spread their reads over these entries.
func rotateLocalEntries(entries []roster.Entry, settings Settings) []roster.Entry {
	localCount := 0
	for localCount < len(entries) && entries[localCount].AvailabilityZone == settings.AvailabilityZone {
		localCount++
	}
	if localCount > 1 {
		first := int(xxhash.Sum64String(settings.IP) % uint64(localCount))
		return slices.Concat(entries[first:localCount], entries[:first], entries[localCount:])
	}
	return entries
}

// drainMargin is the time before the end of the grace period, when the process is killed, at which
// Drain stops waiting.
const drainMargin = 500 * time.Millisecond

// drainPollInterval is the interval at which Drain checks whether the calls to the engine have ended.
const drainPollInterval = 20 * time.Millisecond

// Drain tells the loader to stop fetching and loading versions, and waits until its calls that
// change the engine have ended: the next process of the loader can't know of them. It reports
// whether they have. The piece server runs until the process ends. Drain does not wait until requests
// for pieces end, since the requesting loaders can fetch the pieces from other sources.
func (l *Loader) Drain() bool {
	end := time.Now().Add(l.settings.StopGrace - drainMargin)
	l.log.Info("leaving")
	close(l.stop)
	for {
		select {
		case <-l.converged:
			if l.calls.isIdle() {
				return true
			}
		default:
		}
		if !time.Now().Before(end) {
			return false
		}
		time.Sleep(drainPollInterval)
	}
}

// peerAddress returns the address at which the loader on an engine's machine serves
// pieces, or "" if the engine's address is invalid.
func (l *Loader) peerAddress(engine string) string {
	host, _, err := net.SplitHostPort(engine)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(l.settings.PeerPort))
}
