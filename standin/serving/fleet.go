package serving

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/quarantine"
	"github.com/fuchsiarouter/fuchsiarouter/quota"
	"github.com/fuchsiarouter/fuchsiarouter/rank"
	"github.com/fuchsiarouter/fuchsiarouter/retry"
	"github.com/fuchsiarouter/fuchsiarouter/routing"
)

const (
	// heartbeatInterval is the time between two reports of an agent to an entry, and between
	// two exchanges of state among the entries.
	heartbeatInterval = time.Second
	// messageDelay is the one-way delay of a message between an entry and an agent.
	messageDelay = time.Millisecond
	// maxStrikesPerHeartbeat is the maximum number of quarantine strikes in one heartbeat.
	maxStrikesPerHeartbeat = 64
	// cacheEventsPerLoss is the number of cache events of which one is lost on average, so
	// that entries do not know of every cached prefix.
	cacheEventsPerLoss = 10
	// defaultRestartDelay is the default of Settings.RestartDelay.
	defaultRestartDelay = 30 * time.Second
)

// Settings are the size of a simulated fleet and its policies.
type Settings struct {
	// Servers is the number of servers, Slots the number of slots of each.
	Servers int
	Slots   int
	// Entries is the number of entries.
	Entries int
	// TokenTimes are the same for all servers; NewFleet replaces the zero value by
	// DefaultTokenTimes.
	TokenTimes TokenTimes
	// Ranks and QueueLimit configure the queue of each server. QueueLimit is the maximum
	// number of queued requests in each rank.
	Ranks      []document.Rank
	QueueLimit int
	// Workspaces are the workspaces that have limits at the entries, by name.
	Workspaces map[string]document.Workspace
	// Routing configures the router of each entry.
	Routing routing.Settings
	// NewBaselineQueue, when set, creates the queue of each server in place of rank.New, to
	// compare the two.
	NewBaselineQueue func() Queue
	// RoundRobin makes entries choose the ready servers in turn, in place of routing.Router.
	RoundRobin bool
	// RouteByPrefix passes the prompt prefix of a request to the router, which then prefers
	// the same server for requests with the same prefix.
	RouteByPrefix bool
	// PrefixCacheSize is the number of prefixes that a server caches; 0 disables the cache.
	PrefixCacheSize int
	// CacheEventDelay, when set, makes servers report each prefix that they cache, and
	// entries prefer a server that reported the request's prefix. The reports, called cache
	// events, reach the entries after this delay. One event in ten is lost.
	CacheEventDelay time.Duration
	// DisableRetryBudget lets entries retry without the limit of retry.Budget.
	DisableRetryBudget bool
	// DisableQuarantine runs requests regardless of their quarantine strikes.
	DisableQuarantine bool
	// CrashAgentWithEngine makes the agent crash with its engine.
	CrashAgentWithEngine bool
	// RestartDelay is the time from the crash of a server until it is available again; 0
	// means 30 s.
	RestartDelay time.Duration
}

// Fleet is a simulated fleet of servers and entries.
type Fleet struct {
	Settings
	Clock   *Clock
	Servers []*Server
	Entries []*Entry

	random *rand.Rand
	// byID holds the servers by ID.
	byID map[string]*Server
}

// NewFleet returns a fleet in which every entry knows every server from the start. random
// determines the phases of the heartbeats and the lost cache events.
func NewFleet(settings Settings, random *rand.Rand) *Fleet {
	if settings.TokenTimes == (TokenTimes{}) {
		settings.TokenTimes = DefaultTokenTimes
	}
	if settings.RestartDelay == 0 {
		settings.RestartDelay = defaultRestartDelay
	}
	f := &Fleet{Settings: settings, Clock: NewClock(), random: random, byID: map[string]*Server{}}
	for range settings.Entries {
		f.Entries = append(f.Entries, f.newEntry())
	}
	for index := range settings.Servers {
		f.addServer(fmt.Sprintf("server-%d", index))
	}
	for _, e := range f.Entries {
		e.updateRouter()
		f.Clock.Every(f.randomDelay(), heartbeatInterval, func() { f.exchangeEntryState(e) })
	}
	return f
}

func (f *Fleet) newEntry() *Entry {
	return &Entry{
		fleet: f, router: routing.New(f.Routing), budget: retry.NewBudget(0), limiter: quota.New(),
		quarantine: quarantine.New(quarantine.Settings{}), reports: map[string]serverReport{}, quotaShares: map[string]float64{},
		serversByPrefix: map[string][]string{},
	}
}

// addServer adds a server, which every entry knows as ready from the start, and schedules
// its heartbeats and the removal of expired requests from its queue.
func (f *Fleet) addServer(id string) {
	s := &Server{
		ID: id, Incarnation: 1, fleet: f, up: true, CrashesAgent: f.CrashAgentWithEngine, busyTime: map[document.RankName]time.Duration{},
		quarantine: quarantine.New(quarantine.Settings{}),
	}
	s.reset()
	f.Servers = append(f.Servers, s)
	f.byID[id] = s
	for _, e := range f.Entries {
		e.reports[id] = serverReport{ready: true, server: routing.Server{
			ID: id, Incarnation: 1, Load: s.queue.Load(f.Clock.Now), ReportedAt: f.Clock.Now,
		}}
		f.Clock.Every(f.randomDelay(), heartbeatInterval, func() { f.sendHeartbeat(s, e) })
	}
	f.Clock.Every(f.randomDelay(), expireInterval, s.expireQueued)
}

// newQueue returns an empty queue for a server: a baseline if Settings.NewBaselineQueue is
// set, and otherwise a rank.Queue.
func (f *Fleet) newQueue() Queue {
	if f.NewBaselineQueue != nil {
		return f.NewBaselineQueue()
	}
	return rank.New(rank.Settings{
		Slots: f.Slots, Ranks: f.Ranks, QueueLimit: f.QueueLimit,
		TokensPerSecond: 1 / f.TokenTimes.Decode.Seconds(),
	})
}

// randomDelay returns a delay shorter than heartbeatInterval for the first run of a periodic
// action, so that the actions of different agents and entries do not coincide.
func (f *Fleet) randomDelay() time.Duration {
	return time.Duration(f.random.Int64N(int64(heartbeatInterval)))
}

func (f *Fleet) server(id string) *Server { return f.byID[id] }

// afterMessageDelay schedules the action for the delivery of a message sent now.
func (f *Fleet) afterMessageDelay(action func()) { f.Clock.After(messageDelay, action) }

// sendCacheEvent notifies all entries, after CacheEventDelay, that the server with the ID has
// cached a prefix. The event is lost with a probability of 1/cacheEventsPerLoss.
func (f *Fleet) sendCacheEvent(id, prefix string) {
	if f.CacheEventDelay == 0 || f.random.IntN(cacheEventsPerLoss) == 0 {
		return
	}
	f.Clock.After(f.CacheEventDelay, func() {
		for _, e := range f.Entries {
			if !slices.Contains(e.serversByPrefix[prefix], id) {
				e.serversByPrefix[prefix] = append(e.serversByPrefix[prefix], id)
			}
		}
	})
}

// sendHeartbeat sends a report and the quarantine strikes of the server's agent to the entry,
// which answers with its own strikes. An agent that crashed with its engine sends nothing.
func (f *Fleet) sendHeartbeat(s *Server, e *Entry) {
	if !s.up && s.CrashesAgent {
		return
	}
	now := f.Clock.Now
	report := serverReport{ready: s.up, server: routing.Server{
		ID: s.ID, Incarnation: s.Incarnation, Load: s.queue.Load(now), ReportedAt: now,
	}}
	strikes := s.quarantine.Strikes(now, maxStrikesPerHeartbeat)
	f.afterMessageDelay(func() {
		e.reports[s.ID] = report
		e.quarantine.Merge(f.Clock.Now, strikes)
		entryStrikes := e.quarantine.Strikes(f.Clock.Now, maxStrikesPerHeartbeat)
		f.afterMessageDelay(func() { s.quarantine.Merge(f.Clock.Now, entryStrikes) })
	})
}

// exchangeEntryState gives the entry the quarantine strikes and quota demands of the other
// entries, without a message delay, and updates its quota shares and its router.
func (f *Fleet) exchangeEntryState(e *Entry) {
	now := f.Clock.Now
	demands := map[string][]float64{}
	own := 0
	for index, other := range f.Entries {
		if other == e {
			own = index
		} else {
			e.quarantine.Merge(now, other.quarantine.Strikes(now, maxStrikesPerHeartbeat))
		}
		for _, demand := range other.limiter.Demands(now) {
			if demands[demand.Workspace] == nil {
				demands[demand.Workspace] = make([]float64, len(f.Entries))
			}
			demands[demand.Workspace][index] = demand.PerSecond
		}
	}
	for workspace, values := range demands {
		e.quotaShares[workspace] = quota.Shares(values)[own]
	}
	e.updateRouter()
}

// RunRequests sends the requests at their arrival times and runs the simulation until the
// given time after its current time. The results are stored in the requests.
func (f *Fleet) RunRequests(requests []*Request, until time.Duration) {
	start := f.Clock.Now
	for _, r := range requests {
		f.Clock.At(r.Arrival, func() { f.Entries[r.Entry].Receive(r, func() {}) })
	}
	f.Clock.Run(start.Add(until))
}

// StartTime returns the virtual time at which every simulation starts, for the arrival times
// of requests.
func StartTime() time.Time { return NewClock().Now }
