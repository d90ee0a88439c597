// Package loader is the daemon in the slot of a backend server VM whose model engine
// loads versions from pieces that are staged on its machine.
//
// A loader brings its engine to the declared version. It learns of versions and of
// other engines through an entry, takes each piece from an agent near by, or from
// the origin when no other agent is to have it, verifies it, stages it, reads all
// staged pieces back, and orders the load. It is the only process that gives orders
// to its engine. Its verified pieces are served to other loaders.
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
	"github.com/fuchsiarouter/fuchsiarouter/mirror"
	"github.com/fuchsiarouter/fuchsiarouter/relay"
	"github.com/fuchsiarouter/fuchsiarouter/roster"
	"github.com/fuchsiarouter/fuchsiarouter/tcp"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
	"github.com/fuchsiarouter/fuchsiarouter/world"
)

const (
	// serversInterval is the time between two reads of the servers at an entry.
	serversInterval = 700 * time.Millisecond
	// operatorWait is how long a read at an entry waits for news of the operator.
	operatorWait = 2 * time.Second
	// lookInterval is the time between two looks at the engine.
	lookInterval = 250 * time.Millisecond
	// rosterInterval is the least time between two reads of the registered entries.
	rosterInterval = 2 * time.Second
	// shelves is the number of versions whose pieces are kept for others.
	shelves = 2
)

// Settings are what a loader needs to know of its machine.
type Settings struct {
	Name             string
	IP               string
	AvailabilityZone string
	Region           string
	// Engine is the address of the engine on this machine, Service its service.
	Engine  string
	Service string
	// VersionDeadline is the time after the declaration of a version from which no
	// request may begin on an older one.
	VersionDeadline time.Duration
	// Link is the bandwidth of the machine in bytes a second.
	Link float64
	// Pieces is the address at which pieces are served; PeerPort is its port, which is
	// the same on all machines.
	Pieces   string
	PeerPort int
}

// Loader is the daemon.
type Loader struct {
	settings Settings
	registry fuchsiarouter.Registry
	engine   fuchsiarouter.StagedEngine
	origin   fuchsiarouter.PieceOrigin
	mirror   *mirror.Mirror
	log      *zap.Logger
	counters counters

	entryHTTP *fasthttp.Client
	peerHTTP  *fasthttp.Client

	mu       sync.Mutex
	entries  []roster.Entry
	readAt   time.Time
	versions map[string]*shelf
	// engines is the state of the engine by model, changedAt the time of its last change.
	engines   map[string]engineState
	changedAt time.Time
	// engineLost is set while the engine does not answer. It belongs to converge.
	engineLost bool
	// loadsAt is when the engine is expected to load, toldLoad when the entries were
	// told of it last.
	loadsAt  time.Time
	toldLoad time.Time
	// declared holds the boot times at which versions were declared.
	declared map[string]map[int]time.Duration
	pacer    pacer
	gate     *gate

	server *fasthttp.Server
	wake   chan struct{}
	// declaredNow wakes the fetching of pieces.
	declaredNow chan struct{}
	stop        chan struct{}
	done        sync.WaitGroup
}

// New starts a loader.
func New(settings Settings, registry fuchsiarouter.Registry, engine fuchsiarouter.StagedEngine,
	origin fuchsiarouter.PieceOrigin, log *zap.Logger, metrics telemetry.Metrics,
) (*Loader, error) {
	l := &Loader{
		settings: settings, registry: registry, engine: engine, origin: origin, log: log,
		counters:  newCounters(metrics.Scope),
		entryHTTP: relay.NewHTTP(), peerHTTP: newPeerHTTP(), versions: map[string]*shelf{},
		engines: map[string]engineState{}, declared: map[string]map[int]time.Duration{},
		gate:  newGate(),
		pacer: pacer{rate: max(settings.Link*linkShare, leastRate)},
		wake:  make(chan struct{}, 1), declaredNow: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	listener, err := tcp.Listen(settings.Pieces)
	if err != nil {
		return nil, errors.Wrap(err, "pieces")
	}
	l.server = &fasthttp.Server{
		Handler: l.handler(metrics), IdleTimeout: 10 * time.Second, ReadTimeout: 10 * time.Second,
		NoDefaultServerHeader: true, NoDefaultDate: true,
	}
	l.done.Go(func() {
		if err := l.server.Serve(listener); err != nil {
			log.Error("server of pieces ended", telemetry.Cause(err))
		}
	})
	l.mirror = mirror.New(registry, l.ways, mirror.Settings{OperatorWait: operatorWait, ServersInterval: serversInterval},
		log, func(view *world.View) {
			if l.note(view) {
				l.nudge()
				notify(l.declaredNow)
			}
		})
	l.done.Go(l.converge)
	l.done.Go(l.collect)
	l.done.Go(l.repeatAnnouncements)
	return l, nil
}

// leastRate is the rate of pieces on a machine that names no bandwidth.
const leastRate = 100 << 10

// engineState is what the entries are told of the engine.
type engineState struct {
	version int
	loading bool
}

// nudge lets the loader look at its engine at once.
func (l *Loader) nudge() { notify(l.wake) }

// notify wakes a loop that may be awake already.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// ways are the entries, nearest first, and the store when there is none.
func (l *Loader) ways() []fuchsiarouter.KeyedTopics {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.readAt) > rosterInterval && (len(l.entries) == 0 || time.Since(l.readAt) > 5*rosterInterval) {
		l.readAt = time.Now()
		if entries, err := readEntries(l.registry, l.settings); err != nil {
			l.log.Warn("entries not read", telemetry.Cause(err))
		} else {
			l.entries = entries
		}
	}
	var ways []fuchsiarouter.KeyedTopics
	for _, entry := range l.entries {
		ways = append(ways, relay.NewClient(entry.Peers, l.entryHTTP))
	}
	return append(ways, l.registry)
}

// readEntries reads the registered entries, nearest first.
func readEntries(registry fuchsiarouter.Registry, settings Settings) ([]roster.Entry, error) {
	batch, err := registry.Newest(fuchsiarouter.TopicEntries)
	if err != nil {
		return nil, err
	}
	known := roster.New(roster.Entry{AvailabilityZone: settings.AvailabilityZone, Region: settings.Region})
	now := time.Now()
	for _, record := range batch.Records {
		var entry roster.Entry
		if json.Unmarshal(record.Value, &entry) == nil && entry.Peers != "" {
			known.Hear(now, entry)
		}
	}
	return spreadReaders(known.Live(now), settings), nil
}

// spreadReaders lets the loaders of a zone read through different entries of it.
func spreadReaders(entries []roster.Entry, settings Settings) []roster.Entry {
	near := 0
	for near < len(entries) && entries[near].AvailabilityZone == settings.AvailabilityZone {
		near++
	}
	if near > 1 {
		first := int(xxhash.Sum64String(settings.IP) % uint64(near))
		return slices.Concat(entries[first:near], entries[:first], entries[near:])
	}
	return entries
}

// Drain ends the daemon. Its pieces are with others, so nothing has to be waited for.
func (l *Loader) Drain() bool {
	l.log.Info("leaving")
	close(l.stop)
	return true
}

// peerAddress returns where the loader beside an engine serves pieces.
func (l *Loader) peerAddress(engine string) string {
	host, _, err := net.SplitHostPort(engine)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(l.settings.PeerPort))
}
