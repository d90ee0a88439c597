package mirror_test

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/mirror"
)

// memoryRegistry is an in-memory registry. Its records hold JSON of the types of package
// catalog.
type memoryRegistry struct {
	mu      sync.Mutex
	records map[fuchsiarouter.Topic][]fuchsiarouter.KeyedRecord
	// epoch increases with each restoration. firstOffset is the offset of the oldest record in
	// every topic.
	epoch, firstOffset int64
	// down makes reads fail.
	down bool
	// reads counts how often a read looked for records. A read that waits looks once a
	// millisecond.
	reads int
	// age, when it is not 0, is the age of every batch, as from a daemon that relays its
	// copy.
	age time.Duration
	// maxRecords limits the records of one read when it is not 0.
	maxRecords int
}

// operatorWait is how long a mirror with default settings lets a read of the operator's topic
// wait. It may date a record by so much before the write, and, after a freeze or failed reads,
// before their start.
const operatorWait = 400 * time.Millisecond

var errDown = errors.New("down")

func newRegistry() *memoryRegistry {
	return &memoryRegistry{epoch: 1, records: map[fuchsiarouter.Topic][]fuchsiarouter.KeyedRecord{}}
}

func (s *memoryRegistry) Read(topic fuchsiarouter.Topic, position fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		s.reads++
		if s.down {
			s.mu.Unlock()
			return fuchsiarouter.KeyedBatch{}, errDown
		}
		from := position.Offset
		if position.Epoch != s.epoch {
			batch := fuchsiarouter.KeyedBatch{Epoch: s.epoch, Relayed: s.age != 0, Age: s.age}
			s.mu.Unlock()
			return batch, nil
		}
		if from < s.firstOffset {
			err := &fuchsiarouter.ExpiredError{OldestOffset: s.firstOffset}
			s.mu.Unlock()
			return fuchsiarouter.KeyedBatch{}, err
		}
		all := s.records[topic]
		batch := fuchsiarouter.KeyedBatch{Epoch: s.epoch, End: int64(len(all)), Relayed: s.age != 0, Age: s.age}
		if from < int64(len(all)) {
			end := int64(len(all))
			if s.maxRecords > 0 {
				end = min(end, from+int64(s.maxRecords))
			}
			batch.Records = append(batch.Records, all[from:end]...)
		}
		isLimited := s.maxRecords > 0
		s.mu.Unlock()
		if len(batch.Records) > 0 || !time.Now().Before(end) {
			if isLimited {
				time.Sleep(time.Millisecond)
			}
			return batch, nil
		}
	}
}

func (s *memoryRegistry) ReadNewest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return fuchsiarouter.KeyedBatch{}, errDown
	}
	newest := map[string]fuchsiarouter.KeyedRecord{}
	for _, record := range s.records[topic] {
		newest[record.Key] = record
	}
	batch := fuchsiarouter.KeyedBatch{Epoch: s.epoch, End: int64(len(s.records[topic])), Relayed: s.age != 0, Age: s.age}
	for _, record := range newest {
		if len(record.Value) > 0 {
			batch.Records = append(batch.Records, record)
		}
	}
	return batch, nil
}

func (s *memoryRegistry) Put(topic fuchsiarouter.Topic, key string, value []byte) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records[topic] = append(s.records[topic],
		fuchsiarouter.KeyedRecord{Offset: int64(len(s.records[topic])), Key: key, Value: value})
	return s.epoch, nil
}

func (s *memoryRegistry) DecodeOperatorChange(record fuchsiarouter.KeyedRecord) (fuchsiarouter.OperatorChange, error) {
	if record.Key == "config" {
		var version int64
		err := json.Unmarshal(record.Value, &version)
		return fuchsiarouter.OperatorChange{Configuration: catalog.NewConfiguration(version, catalog.Limits{})}, err
	}
	if zone, isEvacuation := strings.CutPrefix(record.Key, "evacuate/"); isEvacuation {
		return fuchsiarouter.OperatorChange{EvacuatedZone: zone, Evacuated: len(record.Value) > 0}, nil
	}
	var version int
	err := json.Unmarshal(record.Value, &version)
	return fuchsiarouter.OperatorChange{Model: record.Key, Version: version}, err
}

func (s *memoryRegistry) DecodeServer(record fuchsiarouter.KeyedRecord) (*catalog.Server, error) {
	server := &catalog.Server{ID: record.Key}
	return server, json.Unmarshal(record.Value, server)
}

// change changes the registry under its lock.
func (s *memoryRegistry) change(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// startMirror starts a mirror that prefers the registry to the other sources.
func startMirror(registry *memoryRegistry, others ...*memoryRegistry) *mirror.Mirror {
	sources := func() []fuchsiarouter.TopicReader {
		sources := []fuchsiarouter.TopicReader{registry}
		for _, other := range others {
			sources = append(sources, other)
		}
		return sources
	}
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	return mirror.New(registry, sources, mirror.Settings{Clock: clock}, zap.NewNop(), func(*catalog.View) {})
}

func put(t *testing.T, s *memoryRegistry, topic fuchsiarouter.Topic, key, value string) {
	_, err := s.Put(topic, key, []byte(value))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
}

// TestReturnsToPreferredSource checks that a daemon reads the registry again after an
// outage, although the peer it switched to still answers with an old copy.
func TestReturnsToPreferredSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry, peer := newRegistry(), newRegistry()
		put(t, registry, fuchsiarouter.TopicOperator, "config", "1")
		put(t, peer, fuchsiarouter.TopicOperator, "config", "1")
		m := startMirror(registry, peer)
		defer m.Close()
		time.Sleep(3 * time.Second)
		peer.change(func() { peer.age = 24 * time.Hour })
		registry.change(func() { registry.down = true })
		time.Sleep(8 * time.Second)
		registry.change(func() { registry.down = false })
		put(t, registry, fuchsiarouter.TopicOperator, "config", "2")
		time.Sleep(3 * time.Second)
		g.Expect(m.View().Configuration.Version).To(gomega.Equal(int64(2)))
	})
}

// TestReadsPeerCopyDuringOutage checks that a daemon which the registry rejects reads the
// copy of a peer that still reaches the registry.
func TestReadsPeerCopyDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry, peer := newRegistry(), newRegistry()
		peer.age = time.Millisecond
		put(t, registry, fuchsiarouter.TopicOperator, "config", "1")
		put(t, peer, fuchsiarouter.TopicOperator, "config", "1")
		m := startMirror(registry, peer)
		defer m.Close()
		time.Sleep(3 * time.Second)
		registry.change(func() { registry.down = true })
		put(t, peer, fuchsiarouter.TopicOperator, "config", "2")
		time.Sleep(5 * time.Second)
		g.Expect(m.View().Configuration.Version).To(gomega.Equal(int64(2)))
	})
}

// TestVersionsNeverDecrease checks that an older configuration or weight version is
// ignored when the topic is read from the start again.
func TestVersionsNeverDecrease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicOperator, "config", "7")
		put(t, registry, fuchsiarouter.TopicOperator, "m", "3")
		m := startMirror(registry)
		defer m.Close()
		time.Sleep(time.Second)
		put(t, registry, fuchsiarouter.TopicOperator, "config", "5")
		put(t, registry, fuchsiarouter.TopicOperator, "m", "2")
		registry.change(func() { registry.firstOffset = 4 })
		time.Sleep(3 * time.Second)
		g.Expect(m.View().Configuration.Version).To(gomega.Equal(int64(7)))
		g.Expect(m.View().DeclaredVersions["m"].Version).To(gomega.Equal(3))
	})
}

// TestServersExpiredDuringOutage checks that live servers are kept when their
// registrations expired while the registry was unreachable, and that those which do not
// register again are removed.
func TestServersExpiredDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		server := `{"Service":"s","Address":"127.0.0.1:1"}`
		for _, id := range []string{"back", "lost"} {
			put(t, registry, fuchsiarouter.TopicServers, id, server)
		}
		m := startMirror(registry)
		defer m.Close()
		time.Sleep(time.Second)
		g.Expect(m.View().Servers).To(gomega.HaveLen(2))
		registry.change(func() { registry.down = true })
		time.Sleep(6 * time.Second)
		put(t, registry, fuchsiarouter.TopicServers, "back", "")
		put(t, registry, fuchsiarouter.TopicServers, "lost", "")
		registry.change(func() { registry.down = false })
		time.Sleep(1500 * time.Millisecond)
		g.Expect(m.View().Servers).To(gomega.HaveLen(2))
		put(t, registry, fuchsiarouter.TopicServers, "back", server)
		time.Sleep(3 * time.Second)
		g.Expect(m.View().Servers).To(gomega.HaveLen(1))
		g.Expect(m.View().Servers).To(gomega.HaveKey("back"))
	})
}

// TestServerRemoval checks that a removal takes effect at once outside an outage, so that
// no requests go to a server that is gone.
func TestServerRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicServers, "a", `{"Service":"s"}`)
		put(t, registry, fuchsiarouter.TopicServers, "broken", `{`)
		m := startMirror(registry)
		defer m.Close()
		time.Sleep(4 * time.Second)
		g.Expect(m.View().Servers).To(gomega.HaveLen(1))
		put(t, registry, fuchsiarouter.TopicServers, "a", "")
		time.Sleep(500 * time.Millisecond)
		g.Expect(m.View().Servers).To(gomega.BeEmpty())
	})
}

// TestCopyReportsRemovals checks that readers of the copy learn of a server whose removal
// the mirror has not read, because it had to read the topic from the start again.
func TestCopyReportsRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicServers, "a", `{"Service":"s"}`)
		m := startMirror(registry)
		defer m.Close()
		time.Sleep(4 * time.Second)
		batch, known := m.ReadNewest(fuchsiarouter.TopicServers)
		g.Expect(known).To(gomega.BeTrue())
		g.Expect(batch.Records).To(gomega.HaveLen(1))
		put(t, registry, fuchsiarouter.TopicServers, "a", "")
		put(t, registry, fuchsiarouter.TopicServers, "b", `{"Service":"s"}`)
		registry.change(func() { registry.firstOffset = 2 })
		time.Sleep(time.Second)
		after, known := m.Read(fuchsiarouter.TopicServers, fuchsiarouter.Position{Epoch: batch.Epoch, Offset: batch.End}, 0)
		g.Expect(known).To(gomega.BeTrue())
		removed := map[string]bool{}
		for _, record := range after.Records {
			removed[record.Key] = len(record.Value) == 0
		}
		g.Expect(removed).To(gomega.Equal(map[string]bool{"a": true, "b": false}))
		g.Expect(after.Relayed).To(gomega.BeTrue())
	})
}

// TestAgeOfLongPoll checks that the age of the copy does not include the time for which a
// read of the copy waited. Otherwise the readers of the copy would take it for stale and
// read the registry instead.
func TestAgeOfLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicOperator, "config", "1")
		m := startMirror(registry)
		defer m.Close()
		time.Sleep(time.Second)
		batch, known := m.Read(fuchsiarouter.TopicOperator, fuchsiarouter.Position{Epoch: 1, Offset: 1}, 2*time.Second)
		g.Expect(known).To(gomega.BeTrue())
		g.Expect(batch.Age).To(gomega.BeNumerically("<", 0))
		at := time.Now().Add(-2 * time.Second).Add(-batch.Age)
		g.Expect(time.Since(at)).To(gomega.BeNumerically("~", m.OperatorAge(), time.Millisecond))
	})
}

// TestVersionAfterFailedReads checks that a version which was declared during an outage
// counts as declared before the outage ended, and not at the first successful read after
// it. No request may begin on an older version from a fixed time after the declaration on.
func TestVersionAfterFailedReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		began := time.Now()
		put(t, registry, fuchsiarouter.TopicOperator, "config", "1")
		m := startMirror(registry)
		defer m.Close()
		time.Sleep(3 * time.Second)
		registry.change(func() { registry.down = true })
		put(t, registry, fuchsiarouter.TopicOperator, "m", "2")
		written := time.Since(began)
		time.Sleep(3 * time.Second)
		registry.change(func() { registry.down = false })
		time.Sleep(time.Second)
		g.Expect(m.View().DeclaredVersions["m"].Version).To(gomega.Equal(2))
		g.Expect(m.View().DeclaredVersions["m"].DeclaredAt).To(gomega.BeNumerically("<=", written))
		g.Expect(m.View().DeclaredVersions["m"].DeclaredAt).To(gomega.BeNumerically(">=", written-operatorWait))
		put(t, registry, fuchsiarouter.TopicOperator, "m", "3")
		written = time.Since(began)
		time.Sleep(2 * time.Second)
		g.Expect(m.View().DeclaredVersions["m"].DeclaredAt).To(gomega.BeNumerically("<=", written))
		g.Expect(m.View().DeclaredVersions["m"].DeclaredAt).To(gomega.BeNumerically(">=", written-operatorWait))
	})
}

// TestPartialReadDoesNotConfirm checks that a read that ended before the newest record
// does not make the copy count as up to date. Otherwise a revoked API key would be accepted
// for longer than allowed.
func TestPartialReadDoesNotConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newRegistry()
		put(t, s, fuchsiarouter.TopicOperator, "config", "1")
		m := startMirror(s)
		defer m.Close()
		time.Sleep(100 * time.Millisecond)
		written := time.Now()
		s.change(func() {
			s.maxRecords = 1
			for version := 2; version <= 40; version++ {
				s.records[fuchsiarouter.TopicOperator] = append(s.records[fuchsiarouter.TopicOperator],
					fuchsiarouter.KeyedRecord{Offset: int64(version - 1), Key: "config", Value: []byte(strconv.Itoa(version))})
			}
		})
		for range 400 {
			time.Sleep(200 * time.Microsecond)
			if m.View().Configuration.Version < 40 {
				g.Expect(m.OperatorAge()).To(gomega.BeNumerically(">=", time.Since(written)))
			}
		}
		g.Expect(m.View().Configuration.Version).To(gomega.Equal(int64(40)))
	})
}

// TestVersionThroughRelay checks that a version which another daemon relays after an outage
// counts as declared before that daemon could read the declaration. No request may begin
// on an older version from a fixed time after the declaration on.
func TestVersionThroughRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicOperator, "config", "1")
		began := time.Now()
		clock := func() time.Duration { return time.Since(began) }
		reader := startMirror(registry)
		defer reader.Close()
		time.Sleep(time.Second)
		follower := mirror.New(registry, func() []fuchsiarouter.TopicReader { return []fuchsiarouter.TopicReader{mirrorSource{reader}} },
			mirror.Settings{Clock: clock, RelayWait: 100 * time.Millisecond}, zap.NewNop(), func(*catalog.View) {})
		defer follower.Close()
		time.Sleep(time.Second)
		registry.change(func() { registry.down = true })
		declared := clock()
		put(t, registry, fuchsiarouter.TopicOperator, "m", "2")
		time.Sleep(700 * time.Millisecond)
		registry.change(func() { registry.down = false })
		time.Sleep(2 * time.Second)
		g.Expect(follower.View().DeclaredVersions["m"].Version).To(gomega.Equal(2))
		g.Expect(follower.View().DeclaredVersions["m"].DeclaredAt).To(gomega.BeNumerically("<=", declared))
	})
}

// mirrorSource relays the copy of a mirror.
type mirrorSource struct{ reader *mirror.Mirror }

func (c mirrorSource) Read(topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	batch, _ := c.reader.Read(topic, from, wait)
	return batch, nil
}

func (c mirrorSource) ReadNewest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, error) {
	batch, _ := c.reader.ReadNewest(topic)
	return batch, nil
}
