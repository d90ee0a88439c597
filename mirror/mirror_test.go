package mirror_test

import (
	"encoding/json"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/mirror"
	"github.com/fuchsiarouter/fuchsiarouter/world"
)

// store is a registry in memory. Its records hold world structs in JSON.
type store struct {
	mu      sync.Mutex
	records map[fuchsiarouter.Topic][]fuchsiarouter.KeyedRecord
	first   int64
	down    bool
	reads   int
	// age is added to what is read, as from a daemon that passes on its copy.
	age time.Duration
	// most bounds the records of one read, when it is not 0.
	most int
}

var errDown = errors.New("down")

func newStore() *store {
	return &store{records: map[fuchsiarouter.Topic][]fuchsiarouter.KeyedRecord{}}
}

func (s *store) Read(topic fuchsiarouter.Topic, from int64, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		s.reads++
		if s.down {
			s.mu.Unlock()
			return fuchsiarouter.KeyedBatch{}, errDown
		}
		if from < s.first {
			s.mu.Unlock()
			return fuchsiarouter.KeyedBatch{}, &fuchsiarouter.ExpiredError{First: s.first}
		}
		all := s.records[topic]
		batch := fuchsiarouter.KeyedBatch{End: int64(len(all)), Relayed: s.age != 0, Age: s.age}
		if from < int64(len(all)) {
			end := int64(len(all))
			if s.most > 0 {
				end = min(end, from+int64(s.most))
			}
			batch.Records = append(batch.Records, all[from:end]...)
		}
		s.mu.Unlock()
		if len(batch.Records) > 0 || !time.Now().Before(end) {
			if s.most > 0 {
				time.Sleep(time.Millisecond)
			}
			return batch, nil
		}
	}
}

func (s *store) Newest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return fuchsiarouter.KeyedBatch{}, errDown
	}
	newest := map[string]fuchsiarouter.KeyedRecord{}
	for _, record := range s.records[topic] {
		newest[record.Key] = record
	}
	batch := fuchsiarouter.KeyedBatch{End: int64(len(s.records[topic])), Relayed: s.age != 0, Age: s.age}
	for _, record := range newest {
		if len(record.Value) > 0 {
			batch.Records = append(batch.Records, record)
		}
	}
	return batch, nil
}

func (s *store) Put(topic fuchsiarouter.Topic, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records[topic] = append(s.records[topic],
		fuchsiarouter.KeyedRecord{Offset: int64(len(s.records[topic])), Key: key, Value: value})
	return nil
}

func (s *store) Operator(record fuchsiarouter.KeyedRecord) (fuchsiarouter.OperatorChange, error) {
	if record.Key == "config" {
		var version int64
		err := json.Unmarshal(record.Value, &version)
		return fuchsiarouter.OperatorChange{Configuration: world.NewConfiguration(version, world.Limits{})}, err
	}
	var version int
	err := json.Unmarshal(record.Value, &version)
	return fuchsiarouter.OperatorChange{Model: record.Key, Version: version}, err
}

func (s *store) Server(record fuchsiarouter.KeyedRecord) (*world.Server, error) {
	server := &world.Server{ID: record.Key}
	return server, json.Unmarshal(record.Value, server)
}

// set changes the store.
func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func start(registry *store, others ...*store) *mirror.Mirror {
	ways := func() []fuchsiarouter.KeyedTopics {
		ways := []fuchsiarouter.KeyedTopics{registry}
		for _, other := range others {
			ways = append(ways, other)
		}
		return ways
	}
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	return mirror.New(registry, ways, mirror.Settings{Clock: clock}, zap.NewNop(), func(*world.View) {})
}

func put(t *testing.T, s *store, topic fuchsiarouter.Topic, key, value string) {
	gomega.NewWithT(t).Expect(s.Put(topic, key, []byte(value))).To(gomega.Succeed())
}

// TestReturnsToTheStore guards against a daemon that goes on reading the copy of a
// peer which is as old as its own, after the store is back.
func TestReturnsToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry, peer := newStore(), newStore()
		put(t, registry, fuchsiarouter.TopicOperator, "config", "1")
		put(t, peer, fuchsiarouter.TopicOperator, "config", "1")
		m := start(registry, peer)
		defer m.Close()
		time.Sleep(3 * time.Second)
		peer.set(func() { peer.age = 24 * time.Hour })
		registry.set(func() { registry.down = true })
		time.Sleep(8 * time.Second)
		registry.set(func() { registry.down = false })
		put(t, registry, fuchsiarouter.TopicOperator, "config", "2")
		time.Sleep(3 * time.Second)
		g.Expect(m.View().Configuration.Version).To(gomega.Equal(int64(2)))
	})
}

// TestTakesAPeersCopy guards against an entry that the store turns away and that
// serves nobody although its peers reach the store.
func TestTakesAPeersCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry, peer := newStore(), newStore()
		peer.age = time.Millisecond
		put(t, registry, fuchsiarouter.TopicOperator, "config", "1")
		put(t, peer, fuchsiarouter.TopicOperator, "config", "1")
		m := start(registry, peer)
		defer m.Close()
		time.Sleep(3 * time.Second)
		registry.set(func() { registry.down = true })
		put(t, peer, fuchsiarouter.TopicOperator, "config", "2")
		time.Sleep(5 * time.Second)
		g.Expect(m.View().Configuration.Version).To(gomega.Equal(int64(2)))
	})
}

// TestNeverGoesBack guards against an older configuration or weight version that
// comes with records which are read anew.
func TestNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newStore()
		put(t, registry, fuchsiarouter.TopicOperator, "config", "7")
		put(t, registry, fuchsiarouter.TopicOperator, "m", "3")
		m := start(registry)
		defer m.Close()
		time.Sleep(time.Second)
		put(t, registry, fuchsiarouter.TopicOperator, "config", "5")
		put(t, registry, fuchsiarouter.TopicOperator, "m", "2")
		registry.set(func() { registry.first = 4 })
		time.Sleep(3 * time.Second)
		g.Expect(m.View().Configuration.Version).To(gomega.Equal(int64(7)))
		g.Expect(m.View().Targets["m"].Version).To(gomega.Equal(3))
	})
}

// TestServersThatExpireInAnOutage guards against taking live servers for gone because
// their entries expired while the store was away, and against keeping those that do
// not come back.
func TestServersThatExpireInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newStore()
		server := `{"Service":"s","Address":"127.0.0.1:1"}`
		for _, id := range []string{"back", "lost"} {
			put(t, registry, fuchsiarouter.TopicServers, id, server)
		}
		m := start(registry)
		defer m.Close()
		time.Sleep(time.Second)
		g.Expect(m.View().Servers).To(gomega.HaveLen(2))
		registry.set(func() { registry.down = true })
		time.Sleep(6 * time.Second)
		put(t, registry, fuchsiarouter.TopicServers, "back", "")
		put(t, registry, fuchsiarouter.TopicServers, "lost", "")
		registry.set(func() { registry.down = false })
		time.Sleep(1500 * time.Millisecond)
		g.Expect(m.View().Servers).To(gomega.HaveLen(2))
		put(t, registry, fuchsiarouter.TopicServers, "back", server)
		time.Sleep(3 * time.Second)
		g.Expect(m.View().Servers).To(gomega.HaveLen(1))
		g.Expect(m.View().Servers).To(gomega.HaveKey("back"))
	})
}

// TestServersThatLeave guards against requests to a server that is gone: outside an
// outage a removal counts at once.
func TestServersThatLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newStore()
		put(t, registry, fuchsiarouter.TopicServers, "a", `{"Service":"s"}`)
		put(t, registry, fuchsiarouter.TopicServers, "broken", `{`)
		m := start(registry)
		defer m.Close()
		time.Sleep(4 * time.Second)
		g.Expect(m.View().Servers).To(gomega.HaveLen(1))
		put(t, registry, fuchsiarouter.TopicServers, "a", "")
		time.Sleep(500 * time.Millisecond)
		g.Expect(m.View().Servers).To(gomega.BeEmpty())
	})
}

// TestCopyTellsRemovals guards against a reader of the copy that keeps a server which
// went while the copy was read anew.
func TestCopyTellsRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newStore()
		put(t, registry, fuchsiarouter.TopicServers, "a", `{"Service":"s"}`)
		m := start(registry)
		defer m.Close()
		time.Sleep(4 * time.Second)
		batch, known := m.Newest(fuchsiarouter.TopicServers)
		g.Expect(known).To(gomega.BeTrue())
		g.Expect(batch.Records).To(gomega.HaveLen(1))
		put(t, registry, fuchsiarouter.TopicServers, "a", "")
		put(t, registry, fuchsiarouter.TopicServers, "b", `{"Service":"s"}`)
		registry.set(func() { registry.first = 2 })
		time.Sleep(time.Second)
		after, known := m.Read(fuchsiarouter.TopicServers, batch.End, 0)
		g.Expect(known).To(gomega.BeTrue())
		removed := map[string]bool{}
		for _, record := range after.Records {
			removed[record.Key] = len(record.Value) == 0
		}
		g.Expect(removed).To(gomega.Equal(map[string]bool{"a": true, "b": false}))
		g.Expect(after.Relayed).To(gomega.BeTrue())
	})
}

// TestAgeOfAWaitingRead guards against a copy that looks older by the time for which a
// read of it waited, so that its readers turn to the platform all the time.
func TestAgeOfAWaitingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newStore()
		put(t, registry, fuchsiarouter.TopicOperator, "config", "1")
		m := start(registry)
		defer m.Close()
		time.Sleep(time.Second)
		batch, known := m.Read(fuchsiarouter.TopicOperator, 1, 2*time.Second)
		g.Expect(known).To(gomega.BeTrue())
		g.Expect(batch.Age).To(gomega.BeNumerically("<", 0))
		at := time.Now().Add(-2 * time.Second).Add(-batch.Age)
		g.Expect(time.Since(at)).To(gomega.BeNumerically("~", m.Age(), time.Millisecond))
	})
}

// TestVersionAfterALostRead guards against a version whose deadline is counted from the
// moment at which a daemon that could not read at last did.
func TestVersionAfterALostRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newStore()
		began := time.Now()
		put(t, registry, fuchsiarouter.TopicOperator, "config", "1")
		m := start(registry)
		defer m.Close()
		time.Sleep(3 * time.Second)
		registry.set(func() { registry.down = true })
		put(t, registry, fuchsiarouter.TopicOperator, "m", "2")
		written := time.Since(began)
		time.Sleep(3 * time.Second)
		registry.set(func() { registry.down = false })
		time.Sleep(time.Second)
		g.Expect(m.View().Targets["m"].Version).To(gomega.Equal(2))
		g.Expect(m.View().Targets["m"].Seen).To(gomega.BeNumerically("<=", written))
		put(t, registry, fuchsiarouter.TopicOperator, "m", "3")
		written = time.Since(began)
		time.Sleep(2 * time.Second)
		g.Expect(m.View().Targets["m"].Seen).To(gomega.BeNumerically("~", written, 150*time.Millisecond))
	})
}

// TestPartialReadConfirmsNothing guards against a copy that counts as fresh although the
// read that confirmed it ended before the newest record: a key that was taken away would
// be in use for longer than its bound.
func TestPartialReadConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newStore()
		g.Expect(s.Put(fuchsiarouter.TopicOperator, "config", []byte("1"))).To(gomega.Succeed())
		m := start(s)
		defer m.Close()
		time.Sleep(100 * time.Millisecond)
		written := time.Now()
		s.set(func() {
			s.most = 1
			for version := 2; version <= 40; version++ {
				s.records[fuchsiarouter.TopicOperator] = append(s.records[fuchsiarouter.TopicOperator],
					fuchsiarouter.KeyedRecord{Offset: int64(version - 1), Key: "config", Value: []byte(strconv.Itoa(version))})
			}
		})
		for range 400 {
			time.Sleep(200 * time.Microsecond)
			if m.View().Configuration.Version < 40 {
				g.Expect(m.Age()).To(gomega.BeNumerically(">=", time.Since(written)))
			}
		}
		g.Expect(m.View().Configuration.Version).To(gomega.Equal(int64(40)))
	})
}

// TestVersionThroughARelay guards against a version whose deadline is counted from the
// moment at which another daemon passed it on, which could not read it before.
func TestVersionThroughARelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newStore()
		put(t, registry, fuchsiarouter.TopicOperator, "config", "1")
		began := time.Now()
		clock := func() time.Duration { return time.Since(began) }
		reader := start(registry)
		defer reader.Close()
		time.Sleep(time.Second)
		follower := mirror.New(registry, func() []fuchsiarouter.KeyedTopics { return []fuchsiarouter.KeyedTopics{copied{reader}} },
			mirror.Settings{Clock: clock, RelayWait: 100 * time.Millisecond}, zap.NewNop(), func(*world.View) {})
		defer follower.Close()
		time.Sleep(time.Second)
		registry.set(func() { registry.down = true })
		declared := clock()
		put(t, registry, fuchsiarouter.TopicOperator, "m", "2")
		time.Sleep(700 * time.Millisecond)
		registry.set(func() { registry.down = false })
		time.Sleep(2 * time.Second)
		g.Expect(follower.View().Targets["m"].Version).To(gomega.Equal(2))
		g.Expect(follower.View().Targets["m"].Seen).To(gomega.BeNumerically("<=", declared))
	})
}

// copied passes on what a mirror has.
type copied struct{ reader *mirror.Mirror }

func (c copied) Read(topic fuchsiarouter.Topic, from int64, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	batch, _ := c.reader.Read(topic, from, wait)
	return batch, nil
}

func (c copied) Newest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, error) {
	batch, _ := c.reader.Newest(topic)
	return batch, nil
}
