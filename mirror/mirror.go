// Package mirror keeps a daemon's copy of what the platform's registry holds, and
// knows how old the copy is.
//
// Two loops follow the operator's topic and the topic of backend servers. Each
// begins with the newest record of every key and goes on with the records after
// it; when records have been removed it begins anew, and never goes back to an
// older version. A read confirms the copy as of the moment at which the read was
// sent, on a clock that counts suspensions. Ages go by that moment.
package mirror

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/telemetry"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/boottime"
	"github.com/fuchsiarouter/fuchsiarouter/world"
)

const (
	// operatorWait is the longest time for which a read of the operator's topic
	// confirms nothing. A change must be in force 2 s after its acknowledgement, also at
	// a daemon that reads through another one which has lost the registry.
	operatorWait = 400 * time.Millisecond
	// serversInterval is the time between two reads of the servers. A leaving server
	// must get nothing 2 s after it has said so.
	serversInterval = 400 * time.Millisecond
	// retryInterval is the pause after a read that failed. At this pace all daemons
	// together stay far below the rate limit of the store.
	retryInterval = 250 * time.Millisecond
	// relayPause is the pause between two reads of another daemon's copy that wait for
	// news. It bounds their rate while the topic changes all the time.
	relayPause = 50 * time.Millisecond
	// rereadPause is the pause before a topic is read anew.
	rereadPause = 20 * time.Millisecond
	// returnGrace is the time after an outage in which an expired entry of a live
	// server comes back.
	returnGrace = 2500 * time.Millisecond
	// outageAfter is the age of the copy from which removals count as an effect of an
	// outage, until returnGrace after its end.
	outageAfter = 2 * time.Second
)

// staleAfter is the age of a copy from which a daemon whose copy is no newer is not asked
// any more. An answer that was waited for confirms its copy as of the begin of the wait,
// so a copy of the operator's topic is up to two waits old, and its readers look at it
// about three times a second.
var staleAfter = map[fuchsiarouter.Topic]time.Duration{
	fuchsiarouter.TopicOperator: 2*operatorWait + 450*time.Millisecond,
	fuchsiarouter.TopicServers:  serversInterval + 500*time.Millisecond,
}

// errStale reports a copy of another daemon that is no newer than the own one.
var errStale = errors.New("the copy is no newer than the own one")

// Mirror is the copy. Its loops end with Close.
type Mirror struct {
	registry fuchsiarouter.Registry
	ways     Ways
	log      *zap.Logger
	settings Settings

	view atomic.Pointer[world.View]
	// operatorAt and serversAt are the boot times as of which the copy is confirmed.
	operatorAt atomic.Int64
	serversAt  atomic.Int64

	mu      sync.Mutex
	changed func(*world.View)

	copies copies

	stop chan struct{}
	done sync.WaitGroup
}

// Ways returns the sources from which topics can be read, the preferred one first: the
// registry itself, or other daemons. After a failure the next one is asked.
type Ways func() []fuchsiarouter.KeyedTopics

// Settings are the intervals of a mirror. The zero value of a field stands for its
// default.
type Settings struct {
	OperatorWait    time.Duration
	ServersInterval time.Duration
	// RelayWait is how long a read of another daemon's copy waits for news. When it is
	// 0, such reads are like those of the registry.
	RelayWait time.Duration
	// Clock is the clock of ages; it goes on during a suspension.
	Clock func() time.Duration
}

// New starts a mirror. Changed is called with each new view, one call at a time.
// The registry decodes the records; the ways are where they are read.
func New(registry fuchsiarouter.Registry, ways Ways, settings Settings, log *zap.Logger, changed func(*world.View)) *Mirror {
	if settings.OperatorWait == 0 {
		settings.OperatorWait = operatorWait
	}
	if settings.ServersInterval == 0 {
		settings.ServersInterval = serversInterval
	}
	if settings.Clock == nil {
		settings.Clock = boottime.Now
	}
	m := &Mirror{registry: registry, ways: ways, settings: settings, log: log, changed: changed, stop: make(chan struct{})}
	m.view.Store(&world.View{})
	m.operatorAt.Store(int64(-time.Hour))
	m.serversAt.Store(int64(-time.Hour))
	m.done.Go(func() {
		m.follow(fuchsiarouter.TopicOperator, settings.OperatorWait, 0, &m.operatorAt, m.applyOperator)
	})
	servers := &registrations{mirror: m, known: map[string]*world.Server{}, expired: map[string]time.Duration{}}
	m.done.Go(func() {
		m.follow(fuchsiarouter.TopicServers, 0, settings.ServersInterval, &m.serversAt, servers.apply)
	})
	return m
}

// View returns the newest view.
func (m *Mirror) View() *world.View { return m.view.Load() }

// Age returns how old the copy of the operator's records may be.
func (m *Mirror) Age() time.Duration { return m.settings.Clock() - time.Duration(m.operatorAt.Load()) }

// ServersAge returns how old the copy of the servers may be.
func (m *Mirror) ServersAge() time.Duration {
	return m.settings.Clock() - time.Duration(m.serversAt.Load())
}

// KnowsServers tells whether the servers were read at least once.
func (m *Mirror) KnowsServers() bool { return m.serversAt.Load() >= 0 }

// Close ends the loops.
func (m *Mirror) Close() {
	close(m.stop)
	m.done.Wait()
}

// batch is what one read of a topic gave.
type batch struct {
	fuchsiarouter.KeyedBatch
	// whole is set when the batch has the newest record of every key.
	whole bool
	// partial is set when there are more records behind those of the batch. It does not
	// confirm the copy.
	partial bool
	// sent is the boot time at which the read was sent, received that of its answer.
	sent     time.Duration
	received time.Duration
	// before is the boot time of the answer to the read before that did not fail.
	before time.Duration
	// first is set for the first read, whose records may be of any age.
	first bool
}

// answerDelay bounds how long an answer to a long poll is on its way.
const answerDelay = 100 * time.Millisecond

// writtenBy returns a boot time at which the records of the batch may have been
// written at the earliest: an answer that was waited for brings a record at once. After
// a read that failed they may have been there since the last one that did not.
func (b *batch) writtenBy() time.Duration {
	if b.first {
		return 0
	}
	if b.sent-b.before > answerDelay {
		return b.before
	}
	return max(b.sent, b.received-answerDelay)
}

// written returns the same for one record of the batch.
func (b *batch) written(record fuchsiarouter.KeyedRecord) time.Duration {
	if b.Relayed && !b.first {
		return b.sent - record.Age
	}
	return b.writtenBy()
}

// follow reads a topic until the mirror is closed.
func (m *Mirror) follow(topic fuchsiarouter.Topic, wait, interval time.Duration, confirmed *atomic.Int64, apply func(batch)) {
	next, whole, failing := int64(0), true, false
	path := path{}
	before := time.Duration(0)
	for {
		ways := m.ways()
		way, probing := path.choose(time.Now(), len(ways))
		asked := wait
		relayed := ways[way] != fuchsiarouter.KeyedTopics(m.registry)
		switch {
		case probing:
			asked = 0
		case relayed && m.settings.RelayWait > 0:
			asked = m.settings.RelayWait
		}
		read, err := m.read(ways[way], topic, next, asked, whole)
		if err == nil && read.Relayed && int64(read.sent-read.Age) <= confirmed.Load() {
			err = errStale
		}
		read.first, read.before = confirmed.Load() < 0, before
		var expired *fuchsiarouter.ExpiredError
		switch {
		case errors.As(err, &expired):
			m.log.Info("records expired, the topic is read anew", zap.Int("topic", int(topic)),
				zap.Int64("position", next), zap.Int64("first", expired.First))
			whole = true
			if !m.sleep(rereadPause) {
				return
			}
			continue
		case errors.Is(err, errStale) && m.settings.Clock()-time.Duration(confirmed.Load()) < staleAfter[topic]:
			// The other daemon has not read again since.
			if !m.sleep(relayPause) {
				return
			}
			continue
		case err != nil:
			if !failing {
				m.log.Warn("registry lost", zap.Int("topic", int(topic)), zap.Int("way", way),
					zap.Bool("relayed", relayed), telemetry.Cause(err))
			}
			pause := retryInterval
			if !failing && len(ways) > 1 {
				// The next way is most likely sound.
				pause = rereadPause
			}
			failing = true
			path.failed(time.Now(), way)
			if !m.sleep(pause) {
				return
			}
			continue
		}
		if failing || path.changed(way) {
			m.log.Info("registry regained", zap.Int("topic", int(topic)), zap.Int("way", way), zap.Bool("relayed", relayed),
				zap.Duration("age", m.settings.Clock()-time.Duration(confirmed.Load())))
			failing = false
		}
		path.worked(way)
		before = read.received
		apply(read)
		next = read.End
		// The records are kept first: readers of the copy take its age before them.
		m.copies.keep(topic, read)
		if at := int64(read.sent - read.Age); at > confirmed.Load() && !read.partial {
			confirmed.Store(at)
		}
		pause := interval
		if relayed && m.settings.RelayWait > 0 {
			pause = relayPause
		}
		if whole || read.partial {
			// The page of newest records is no snapshot; what follows it completes it.
			pause, whole = 0, false
		}
		if !m.sleep(pause) {
			return
		}
	}
}

func (m *Mirror) read(source fuchsiarouter.KeyedTopics, topic fuchsiarouter.Topic, from int64, wait time.Duration, whole bool) (batch, error) {
	sent := m.settings.Clock()
	var read fuchsiarouter.KeyedBatch
	var err error
	partial := false
	if whole {
		read, err = source.Newest(topic)
	} else {
		read, err = source.Read(topic, from, wait)
		if last := len(read.Records) - 1; err == nil && last >= 0 && !read.Relayed {
			// The answer is bounded in size, so it may end before the newest record.
			end := read.Records[last].Offset + 1
			partial = end < read.End
			read.End = end
		}
		switch {
		case err == nil && read.End < from && read.Relayed:
			err = errStale
		case err == nil && read.End < from:
			err = &fuchsiarouter.ExpiredError{First: read.End}
		}
	}
	return batch{KeyedBatch: read, whole: whole, partial: partial, sent: sent, received: m.settings.Clock()}, err
}

func (m *Mirror) sleep(pause time.Duration) bool {
	if pause == 0 {
		select {
		case <-m.stop:
			return false
		default:
			return true
		}
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-m.stop:
		return false
	case <-timer.C:
		return true
	}
}

// update replaces the view by what change makes of it.
func (m *Mirror) update(change func(*world.View) *world.View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.view.Load()
	after := change(before)
	if after == before {
		return
	}
	m.view.Store(after)
	m.changed(after)
}

func (m *Mirror) applyOperator(read batch) {
	for _, record := range read.Records {
		change, err := m.registry.Operator(record)
		if err != nil {
			m.log.Warn("operator's record ignored", zap.String("key", record.Key),
				zap.Int64("offset", record.Offset), telemetry.Cause(err))
			continue
		}
		m.update(func(view *world.View) *world.View {
			if change.Configuration != nil {
				view = view.WithConfiguration(change.Configuration)
			}
			if change.Model != "" {
				view = view.WithTarget(change.Model, world.Target{Version: change.Version, Seen: read.written(record)})
			}
			return view
		})
		if change.Configuration != nil {
			m.log.Info("configuration read", zap.Int64("version", change.Configuration.Version),
				zap.Int64("offset", record.Offset), zap.Int64("in-force", m.View().Configuration.Version))
		}
		if change.Model != "" {
			m.log.Info("weight version declared", zap.String("model", change.Model), zap.Int("version", change.Version))
		}
	}
}

// registrations applies records to the set of servers.
type registrations struct {
	mirror *Mirror
	known  map[string]*world.Server
	// expired are servers whose entry went around an outage, with the boot time until
	// which they may come back.
	expired map[string]time.Duration
	// outageUntil is the boot time until which removals may come from an outage.
	outageUntil time.Duration
}

func (r *registrations) apply(read batch) {
	now := r.mirror.settings.Clock()
	if r.mirror.ServersAge() > outageAfter && len(r.known) > 0 {
		r.outageUntil = now + returnGrace
	}
	next := make(map[string]*world.Server, len(r.known))
	seen := map[string]bool{}
	if !read.whole {
		for id, server := range r.known {
			next[id] = server
		}
	}
	for _, record := range read.Records {
		if record.Key == "" {
			continue
		}
		seen[record.Key] = true
		if len(record.Value) == 0 {
			r.remove(next, record.Key, now)
			continue
		}
		server, err := r.mirror.registry.Server(record)
		if err != nil {
			r.mirror.log.Warn("server entry ignored", zap.String("server", record.Key), telemetry.Cause(err))
			delete(next, record.Key)
			continue
		}
		delete(r.expired, record.Key)
		next[record.Key] = server
	}
	if read.whole {
		for id, server := range r.known {
			if !seen[id] && now < r.outageUntil {
				next[id] = server
				r.expired[id] = r.outageUntil
			}
		}
	}
	for id, until := range r.expired {
		if now >= until {
			delete(r.expired, id)
			delete(next, id)
		}
	}
	r.report(next)
	r.known = next
	r.mirror.update(func(view *world.View) *world.View {
		if len(read.Records) == 0 && len(view.Servers) == len(next) {
			return view
		}
		return view.WithServers(next)
	})
}

// remove takes a server out, or keeps it for a while when its entry may have
// expired because the store was away.
func (r *registrations) remove(next map[string]*world.Server, id string, now time.Duration) {
	if next[id] == nil || now >= r.outageUntil || next[id].Draining {
		delete(next, id)
		return
	}
	r.expired[id] = r.outageUntil
}

// report logs the servers that came, changed or went.
func (r *registrations) report(next map[string]*world.Server) {
	for id, server := range next {
		before := r.known[id]
		if before == nil || !before.Same(server) || before.Draining != server.Draining {
			r.mirror.log.Info("server registered", zap.String("server", id), zap.String("address", server.Address),
				zap.Bool("draining", server.Draining), zap.Any("versions", server.Versions))
		}
	}
	for id := range r.known {
		if next[id] == nil {
			r.mirror.log.Info("server gone", zap.String("server", id))
		}
	}
}
