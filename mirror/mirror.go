// Package mirror keeps a daemon's copy of the platform's registry and tracks how old
// the copy is.
//
// Two loops read the operator's topic, which holds the configuration and the declared
// weight versions, and the topic of backend servers. Each loop starts with the newest
// record of every key and continues with the records after it. When unread records have
// been removed, or the registry was restored from a backup, the loop starts over, and it
// never replaces a configuration or a declared version by an older one. A registry that was
// restored holds older records for a moment; the copy keeps the newer ones until they are
// written again.
//
// A loop reads from the registry or, through another daemon, from that daemon's copy,
// which is called a relayed read. A successful read of the registry confirms the copy as
// of the time at which the read was sent, on a clock that also runs while the VM is
// suspended; a relayed read confirms it as of that time minus the age of the other copy.
// The age of the copy is the time since then.
//
// The age of the copy compares it with the registry as it is. A registry that was restored may lack
// changes that it has acknowledged, so the mirror also tracks up to when all of these are in the copy,
// see AcknowledgedAge.
//
// A declared version is dated by the last moment at which the topic is known to have lacked it, or
// by a later disturbance of the registry, see countStart.
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
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
)

const (
	// operatorWait is how long a read of the operator's topic waits for new records, and
	// so the longest time without a confirmation of the copy. A change must be in force
	// 2 s after its acknowledgement, even on a daemon that reads through another one that
	// has lost the registry.
	operatorWait = 400 * time.Millisecond
	// serversInterval is the pause between two reads of the servers' topic. A draining
	// server must get no requests 2 s after it has announced that it drains.
	serversInterval = 400 * time.Millisecond
	// retryInterval is the pause after a failed read. With it, the retries of all daemons
	// together stay far below the rate limit of the registry.
	retryInterval = 250 * time.Millisecond
	// relayPause is the pause between two long polls of another daemon's copy. It limits
	// the rate of polls while the topic changes continuously.
	relayPause = 50 * time.Millisecond
	// startPatience is the time after the start during which a read through another daemon
	// that fails is repeated after startRetryInterval instead of being sent to the next
	// source: daemons that start together have read nothing yet.
	startPatience      = time.Second
	startRetryInterval = 100 * time.Millisecond
	// rereadPause is the pause before a topic is read from the start again, or from the
	// next source after a first failure.
	rereadPause = 20 * time.Millisecond
	// reregisterGrace is the time from the first successful read after an outage of the
	// registry within which a live server whose registration expired must register again. Records
	// that a restoration has lost are written again within the same time.
	reregisterGrace = 2500 * time.Millisecond
	// outageThreshold is the age of the copy of the servers' topic that counts as an
	// outage, unless failed reads through other daemons explain it. A registration that is
	// removed during an outage, or until reregisterGrace after it, may have expired only
	// because the server could not renew it.
	outageThreshold = 2 * time.Second
)

// staleAfter is the age of the own copy from which another daemon whose copy is no newer
// counts as a failed source. Until then that daemon may merely not have read the topic
// again. The first term is the maximum age of its copy: the response to a long poll
// confirms the copy as of the start of the wait, so a copy of the operator's topic is up
// to two waits old, and one of the servers' topic up to one interval. The second term
// covers the time between two reads of that copy, which follow each other about three
// times a second.
var staleAfter = map[fuchsiarouter.Topic]time.Duration{
	fuchsiarouter.TopicOperator: 2*operatorWait + 450*time.Millisecond,
	fuchsiarouter.TopicServers:  serversInterval + 500*time.Millisecond,
}

// errStale is the error of a relayed read whose copy was confirmed no later than the own
// one, or ends before the offset that was read.
var errStale = errors.New("the copy of the other daemon is no newer than the own one")

// errEarlierEpoch is the error of a relayed read of a copy that is of an earlier epoch than
// the own one.
var errEarlierEpoch = errors.New("the copy of the other daemon is from before the registry was restored")

// errRestored is the error of a read from a position that is not of the source's epoch.
var errRestored = errors.New("the registry was restored since the last read")

// Mirror is a daemon's copy of the registry. Its loops run until Close.
type Mirror struct {
	registry fuchsiarouter.Registry
	sources  Sources
	log      *zap.Logger
	settings Settings

	view atomic.Pointer[catalog.View]
	// operatorConfirmedAt and serversConfirmedAt are the latest boot times, in ns, at which
	// the copies of the topics were known to be up to date. They are negative before the
	// first read.
	operatorConfirmedAt atomic.Int64
	serversConfirmedAt  atomic.Int64

	// epoch is the latest epoch of the registry of which a topic was read.
	epoch atomic.Int64

	// settlement tracks up to when the copy of the operator's topic has all acknowledged changes.
	settlement settlement

	// countStart bounds from when the time of versions that the next read returns counts.
	countStart countStart

	// mu serializes the changes of the view and the calls of onChange.
	mu       sync.Mutex
	onChange func(*catalog.View)

	// evacuations is used by the loop of the operator's topic only.
	evacuations evacuations

	// copies holds the records for the daemons that read the topics through this one.
	copies topicCopies

	closing chan struct{}
	loops   sync.WaitGroup
}

// Sources returns the sources that topics can be read from, the preferred one first. A
// source is the registry itself or another daemon. Sources is called before each read and
// returns at least one source. After a failed read the next source of the list is used.
type Sources func() []fuchsiarouter.TopicReader

// Settings holds the intervals and the clock of a mirror. A zero field takes its default.
type Settings struct {
	// OperatorWait is how long a read of the operator's topic waits for new records.
	OperatorWait time.Duration
	// ServersInterval is the pause between two reads of the servers' topic.
	ServersInterval time.Duration
	// RelayWait is how long a read of another daemon's copy waits for new records. When it
	// is 0, such reads use OperatorWait and ServersInterval, as reads of the registry do.
	RelayWait time.Duration
	// Peers returns other daemons whose copies are read at the start, before the sources, and may
	// wait until they are known. If the epoch of the registry is settled, it returns none. It is
	// optional.
	Peers Sources
	// VersionDeadline is the time after the declaration of a weight version from which no request
	// may begin on an older one. It counts anew after a disturbance of the registry. If it is 0,
	// disturbances do not change the dates of versions.
	VersionDeadline time.Duration
	// EvacuationBound is the time after the evacuation of an availability zone after which its
	// servers must get no requests.
	EvacuationBound time.Duration
	// Clock is the clock that ages are measured with. It must also run while the VM is
	// suspended.
	Clock func() time.Duration
}

// New starts a mirror. The mirror calls onChange with each new view, one call at a time.
// Records are read from the sources and decoded by the registry.
func New(registry fuchsiarouter.Registry, sources Sources, settings Settings, log *zap.Logger, onChange func(*catalog.View)) *Mirror {
	if settings.OperatorWait == 0 {
		settings.OperatorWait = operatorWait
	}
	if settings.ServersInterval == 0 {
		settings.ServersInterval = serversInterval
	}
	if settings.Clock == nil {
		settings.Clock = boottime.Now
	}
	m := &Mirror{registry: registry, sources: sources, settings: settings, log: log, onChange: onChange, countStart: newCountStart(settings.VersionDeadline), closing: make(chan struct{})}
	m.evacuations = newEvacuations(settings.EvacuationBound)
	m.settlement = newSettlement()
	m.view.Store(&catalog.View{})
	m.operatorConfirmedAt.Store(int64(-time.Hour))
	m.serversConfirmedAt.Store(int64(-time.Hour))
	m.loops.Go(func() {
		m.follow(&topicFollower{topic: fuchsiarouter.TopicOperator, wait: settings.OperatorWait, confirmed: &m.operatorConfirmedAt, apply: m.applyOperatorRecords})
	})
	servers := &serverRegistrations{mirror: m, servers: map[string]*catalog.Server{}, graceUntil: map[string]time.Duration{}}
	m.loops.Go(func() {
		m.follow(&topicFollower{topic: fuchsiarouter.TopicServers, interval: settings.ServersInterval, confirmed: &m.serversConfirmedAt, apply: servers.applyRecords})
	})
	return m
}

// View returns the newest view.
func (m *Mirror) View() *catalog.View { return m.view.Load() }

// ViewWithAge returns the newest view and the maximum age of its copy of the operator's topic.
func (m *Mirror) ViewWithAge() (*catalog.View, time.Duration) {
	age := m.OperatorAge()
	return m.View(), age
}

// OperatorAge returns the maximum age of the copy of the operator's topic. It is at least
// an hour before the first read.
func (m *Mirror) OperatorAge() time.Duration {
	return m.settings.Clock() - time.Duration(m.operatorConfirmedAt.Load())
}

// ServersAge returns the maximum age of the copy of the servers' topic. It is at least an
// hour before the first read.
func (m *Mirror) ServersAge() time.Duration {
	return m.settings.Clock() - time.Duration(m.serversConfirmedAt.Load())
}

// Epoch returns the latest epoch of the registry that was read from it or through another
// daemon, see fuchsiarouter.Position. It is 0 before the first read.
func (m *Mirror) Epoch() int64 { return m.epoch.Load() }

// raiseEpoch records that a read of the epoch has succeeded.
func (m *Mirror) raiseEpoch(epoch int64) {
	for known := m.epoch.Load(); epoch > known && !m.epoch.CompareAndSwap(known, epoch); {
		known = m.epoch.Load()
	}
}

// HasServers reports whether the servers' topic was read at least once.
func (m *Mirror) HasServers() bool { return m.serversConfirmedAt.Load() >= 0 }

// Close stops the loops and waits for them.
func (m *Mirror) Close() {
	close(m.closing)
	m.loops.Wait()
}

// sleep waits for the duration. It returns false at once when the mirror is closed.
func (m *Mirror) sleep(pause time.Duration) bool {
	if pause == 0 {
		select {
		case <-m.closing:
			return false
		default:
			return true
		}
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-m.closing:
		return false
	case <-timer.C:
		return true
	}
}

// updateView replaces the view by the result of change and, when that is another view,
// reports it to onChange.
func (m *Mirror) updateView(change func(*catalog.View) *catalog.View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.view.Load()
	after := change(before)
	if after == before {
		return
	}
	m.view.Store(after)
	m.onChange(after)
}

// operatorRecord is a record of the operator's topic with its content.
type operatorRecord struct {
	fuchsiarouter.KeyedRecord
	change fuchsiarouter.OperatorChange
}

// applyOperatorRecords updates the view with the configurations, the declarations of
// weight versions and the evacuations in a read of the operator's topic. Configurations and versions
// that are no newer than the ones in the view do not change it. Records that cannot be decoded are
// logged and skipped. Evacuations come first, so that no view has a configuration without those that
// were read with it.
func (m *Mirror) applyOperatorRecords(read topicBatch) {
	records := make([]operatorRecord, 0, len(read.Records))
	for _, record := range read.Records {
		change, err := m.registry.DecodeOperatorChange(record)
		if err != nil {
			m.log.Warn("invalid operator record ignored", zap.String("key", record.Key),
				zap.Int64("offset", record.Offset), telemetry.Cause(err))
			continue
		}
		records = append(records, operatorRecord{record, change})
	}
	m.applyEvacuations(read, records)
	for _, record := range records {
		change := record.change
		if change.Configuration != nil {
			m.updateView(func(view *catalog.View) *catalog.View { return view.WithConfiguration(change.Configuration) })
		}
		if change.Model != "" {
			for _, declared := range m.declarations(read, record.KeyedRecord, change) {
				m.updateView(func(view *catalog.View) *catalog.View { return view.WithDeclaredVersion(change.Model, declared) })
			}
		}
		if change.Configuration != nil {
			m.log.Info("configuration read", zap.Int64("version", change.Configuration.Version),
				zap.Int64("epoch", read.Epoch), zap.Int64("offset", record.Offset), zap.Int64("in-force", m.View().Configuration.Version))
		}
		if change.Model != "" {
			if declared := m.View().DeclaredVersions[change.Model]; declared.Version == change.Version {
				read.declaredAt[idOf(record.KeyedRecord)] = declared.DeclaredAt
			}
			m.logDeclaration(change, record.KeyedRecord, read)
		}
	}
}

// declarations returns the versions that a record shows to be declared, oldest first. The copy of
// another daemon lacks the versions that the newest one has replaced, which have an earlier
// deadline.
func (m *Mirror) declarations(read topicBatch, record fuchsiarouter.KeyedRecord, change fuchsiarouter.OperatorChange) []catalog.DeclaredVersion {
	newest := catalog.DeclaredVersion{Version: change.Version, DeclaredAt: read.countedFrom(record)}
	replaced := catalog.DeclaredVersion{Version: change.Version - 1, DeclaredAt: read.lackedUntil()}
	if replaced.Version > m.View().DeclaredVersions[change.Model].Version && newest.DeclaredAt > replaced.DeclaredAt {
		return []catalog.DeclaredVersion{replaced, newest}
	}
	return []catalog.DeclaredVersion{newest}
}

// logDeclaration logs a declared version with the age that this daemon gives to it and the
// times of the read that returned it, so that a wrong age can be traced to its source.
func (m *Mirror) logDeclaration(change fuchsiarouter.OperatorChange, record fuchsiarouter.KeyedRecord, read topicBatch) {
	fields := []zap.Field{
		zap.String("model", change.Model), zap.Int("version", change.Version), zap.Bool("relayed", read.Relayed),
		zap.Duration("read-took", read.receivedAt-read.sentAt),
	}
	if declared := m.View().DeclaredVersions[change.Model]; declared.Version == change.Version && declared.DeclaredAt != catalog.UnknownTime {
		fields = append(fields, zap.Duration("declared-before", read.receivedAt-declared.DeclaredAt), zap.Duration("copy-age", m.OperatorAge()))
		if moved := declared.DeclaredAt - read.recordWrittenAt(record); moved > 0 && declared.DeclaredAt == read.countedFrom(record) {
			fields = append(fields, zap.Duration("moved-by-disturbance", moved))
		}
	}
	m.log.Info("weight version declared", fields...)
}
