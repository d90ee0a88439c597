package mirror_test

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/mirror"
)

// changedReader is a reader whose reads are changed by a test.
type changedReader struct {
	fuchsiarouter.TopicReader
	read func(next fuchsiarouter.TopicReader, topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error)
}

func (c *changedReader) Read(topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	return c.read(c.TopicReader, topic, from, wait)
}

// startWithSettings starts a mirror that reads from the sources only.
func startWithSettings(registry fuchsiarouter.Registry, settings mirror.Settings, sources ...fuchsiarouter.TopicReader) *mirror.Mirror {
	return mirror.New(registry, func() []fuchsiarouter.TopicReader { return sources }, settings, zap.NewNop(), func(*catalog.View) {})
}

// clockSince returns a clock that has shown the duration at a time.
func clockSince(start time.Time, shown time.Duration) func() time.Duration {
	return func() time.Duration { return time.Since(start) + shown }
}

// TestVersionFromBeforeBootIsNotDatedLate guards against requests on an older version at an entry on a new VM (VERSION).
func TestVersionFromBeforeBootIsNotDatedLate(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		t.Run("relayed "+strconv.FormatBool(relayed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				registry := newRegistry()
				put(t, registry, fuchsiarouter.TopicOperator, "m", "1")
				relay := startWithSettings(registry, mirror.Settings{Clock: clockSince(time.Now(), time.Hour)}, registry)
				defer relay.Close()
				time.Sleep(time.Second)
				declared := time.Now()
				put(t, registry, fuchsiarouter.TopicOperator, "m", "2")
				time.Sleep(10 * time.Second)
				var source fuchsiarouter.TopicReader = registry
				if relayed {
					source = mirrorSource{relay}
				}
				clock := clockSince(time.Now(), 3*time.Second)
				m := startWithSettings(registry, mirror.Settings{Clock: clock}, source)
				defer m.Close()
				time.Sleep(100 * time.Millisecond)
				g.Expect(m.View().DeclaredVersions["m"].Version).To(gomega.Equal(2))
				g.Expect(clock() - m.View().DeclaredVersions["m"].DeclaredAt).To(gomega.BeNumerically(">=", time.Since(declared)))
			})
		})
	}
}

// TestRewrittenVersionKeepsDate guards against a relay that dates a version anew when its record is written again (VERSION).
func TestRewrittenVersionKeepsDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicOperator, "m", "2")
		m := startMirror(registry)
		defer m.Close()
		time.Sleep(time.Second)
		declared := time.Now()
		put(t, registry, fuchsiarouter.TopicOperator, "m", "3")
		time.Sleep(time.Second)
		put(t, registry, fuchsiarouter.TopicOperator, "m", " 3")
		time.Sleep(time.Second)
		batch, _ := m.ReadNewest(fuchsiarouter.TopicOperator)
		g.Expect(batch.Records).To(gomega.HaveLen(1))
		g.Expect(batch.Records[0].Age).To(gomega.BeNumerically(">=", time.Since(declared)))
	})
}

// TestVersionDateThroughRelays guards against dates that become later, or much earlier, from relay to relay (VERSION).
func TestVersionDateThroughRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicOperator, "m", "1")
		clock := clockSince(time.Now(), 0)
		reader := startWithSettings(registry, mirror.Settings{Clock: clock}, registry)
		defer reader.Close()
		second := startWithSettings(registry, mirror.Settings{Clock: clock, RelayWait: 250 * time.Millisecond}, mirrorSource{reader})
		defer second.Close()
		third := startWithSettings(registry, mirror.Settings{Clock: clock, OperatorWait: 2 * time.Second}, mirrorSource{second})
		defer third.Close()
		time.Sleep(2 * time.Second)
		for version := 2; version <= 100; version++ {
			time.Sleep(time.Duration(version*37%400) * time.Millisecond)
			declared := clock()
			put(t, registry, fuchsiarouter.TopicOperator, "m", strconv.Itoa(version))
			time.Sleep(3 * time.Second)
			for _, m := range []*mirror.Mirror{reader, second, third} {
				g.Expect(m.View().DeclaredVersions["m"].DeclaredAt).To(gomega.BeNumerically("<=", declared))
				g.Expect(m.View().DeclaredVersions["m"].DeclaredAt).To(gomega.BeNumerically(">=", declared-operatorWait))
			}
		}
	})
}

// TestPartialReadsDoNotDateVersionLate guards against a date after records that were read in several parts (VERSION).
func TestPartialReadsDoNotDateVersionLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicOperator, "config", "1")
		clock := clockSince(time.Now(), 0)
		m := startWithSettings(registry, mirror.Settings{Clock: clock}, registry)
		defer m.Close()
		time.Sleep(time.Second)
		registry.change(func() {
			registry.maxRecords = 1
			for version := 2; version <= 300; version++ {
				registry.records[fuchsiarouter.TopicOperator] = append(registry.records[fuchsiarouter.TopicOperator],
					fuchsiarouter.KeyedRecord{Offset: int64(version - 1), Key: "config", Value: []byte(strconv.Itoa(version))})
			}
			registry.records[fuchsiarouter.TopicOperator] = append(registry.records[fuchsiarouter.TopicOperator],
				fuchsiarouter.KeyedRecord{Offset: 300, Key: "m", Value: []byte("2")})
		})
		declared := clock()
		time.Sleep(2 * time.Second)
		g.Expect(m.View().DeclaredVersions["m"].Version).To(gomega.Equal(2))
		g.Expect(m.View().DeclaredVersions["m"].DeclaredAt).To(gomega.BeNumerically("<=", declared))
	})
}

// TestEarlyResponseDoesNotDateVersionLate guards against counting the whole wait of a long poll that ended before it (VERSION).
func TestEarlyResponseDoesNotDateVersionLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicOperator, "config", "1")
		clock := clockSince(time.Now(), 0)
		m := startWithSettings(registry, mirror.Settings{Clock: clock}, &changedReader{
			TopicReader: registry,
			read: func(next fuchsiarouter.TopicReader, topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
				return next.Read(topic, from, min(wait, 20*time.Millisecond))
			},
		})
		defer m.Close()
		time.Sleep(2*time.Second + 5*time.Millisecond)
		declared := clock()
		put(t, registry, fuchsiarouter.TopicOperator, "m", "2")
		time.Sleep(time.Second)
		g.Expect(m.View().DeclaredVersions["m"].Version).To(gomega.Equal(2))
		g.Expect(m.View().DeclaredVersions["m"].DeclaredAt).To(gomega.BeNumerically("<=", declared))
	})
}

// slowNewest holds up the responses to reads of the newest records.
type slowNewest struct{ *memoryRegistry }

func (s slowNewest) ReadNewest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, error) {
	batch, err := s.memoryRegistry.ReadNewest(topic)
	time.Sleep(350 * time.Millisecond)
	return batch, err
}

// TestSlowReadOfEmptyTopicDoesNotDateVersionLate guards against taking a read of the newest records for a long poll (VERSION).
func TestSlowReadOfEmptyTopicDoesNotDateVersionLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := slowNewest{newRegistry()}
		clock := clockSince(time.Now(), 0)
		m := startWithSettings(registry, mirror.Settings{Clock: clock}, registry)
		defer m.Close()
		time.Sleep(100 * time.Millisecond)
		declared := clock()
		put(t, registry.memoryRegistry, fuchsiarouter.TopicOperator, "m", "2")
		time.Sleep(2 * time.Second)
		g.Expect(m.View().DeclaredVersions["m"].Version).To(gomega.Equal(2))
		g.Expect(m.View().DeclaredVersions["m"].DeclaredAt).To(gomega.BeNumerically("<=", declared))
	})
}

// TestRelayTellsReplacedVersions guards against an entry that takes the first of two versions, which it learns of at once, for declared when it last read the topic, and refuses requests until it is loaded.
func TestRelayTellsReplacedVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicOperator, "m", "1")
		clock := clockSince(time.Now(), time.Hour)
		relay := startWithSettings(registry, mirror.Settings{Clock: clock}, registry)
		defer relay.Close()
		time.Sleep(time.Second)
		var isCut atomic.Bool
		var mu sync.Mutex
		declaredAt := map[int]time.Duration{}
		source := &changedReader{TopicReader: mirrorSource{relay}, read: func(next fuchsiarouter.TopicReader, topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
			if isCut.Load() {
				return fuchsiarouter.KeyedBatch{}, errDown
			}
			return next.Read(topic, from, wait)
		}}
		m := mirror.New(registry, func() []fuchsiarouter.TopicReader { return []fuchsiarouter.TopicReader{source} },
			mirror.Settings{Clock: clock, RelayWait: 100 * time.Millisecond}, zap.NewNop(), func(view *catalog.View) {
				mu.Lock()
				defer mu.Unlock()
				declaredAt[view.DeclaredVersions["m"].Version] = view.DeclaredVersions["m"].DeclaredAt
			})
		defer m.Close()
		time.Sleep(time.Second)
		isCut.Store(true)
		time.Sleep(8 * time.Second)
		declared := clock()
		for version := 2; version <= 4; version++ {
			put(t, registry, fuchsiarouter.TopicOperator, "m", strconv.Itoa(version))
			time.Sleep(500 * time.Millisecond)
		}
		isCut.Store(false)
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		g.Expect(declaredAt).To(gomega.HaveLen(4))
		g.Expect(declaredAt[2]).To(gomega.BeNumerically("<=", declared))
		g.Expect(declaredAt[2]).To(gomega.BeNumerically(">=", declared-operatorWait))
		g.Expect(declaredAt[3]).To(gomega.BeNumerically(">", declaredAt[2]))
	})
}

// TestReplacedVersionKeepsDateThroughRelays guards against a relay that learns of two versions at once and passes the first one on with the date of the second, so that requests begin on an older version after the deadline (VERSION).
func TestReplacedVersionKeepsDateThroughRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicOperator, "m", "1")
		clock := clockSince(time.Now(), time.Hour)
		reader := startWithSettings(registry, mirror.Settings{Clock: clock}, registry)
		defer reader.Close()
		time.Sleep(time.Second)
		var isCut atomic.Bool
		cut := func(next fuchsiarouter.TopicReader, topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
			if isCut.Load() {
				return fuchsiarouter.KeyedBatch{}, errDown
			}
			return next.Read(topic, from, wait)
		}
		second := startWithSettings(registry, mirror.Settings{Clock: clock, RelayWait: 100 * time.Millisecond}, &changedReader{TopicReader: mirrorSource{reader}, read: cut})
		defer second.Close()
		var mu sync.Mutex
		declaredAt := map[int]time.Duration{}
		third := mirror.New(registry, func() []fuchsiarouter.TopicReader {
			return []fuchsiarouter.TopicReader{&changedReader{TopicReader: mirrorSource{second}, read: cut}}
		}, mirror.Settings{Clock: clock, RelayWait: 100 * time.Millisecond}, zap.NewNop(), func(view *catalog.View) {
			mu.Lock()
			defer mu.Unlock()
			declaredAt[view.DeclaredVersions["m"].Version] = view.DeclaredVersions["m"].DeclaredAt
		})
		defer third.Close()
		time.Sleep(time.Second)
		isCut.Store(true)
		time.Sleep(time.Second)
		declared := clock()
		put(t, registry, fuchsiarouter.TopicOperator, "m", "2")
		time.Sleep(3 * time.Second)
		put(t, registry, fuchsiarouter.TopicOperator, "m", "3")
		time.Sleep(time.Second)
		isCut.Store(false)
		time.Sleep(2 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		g.Expect(declaredAt).To(gomega.HaveKey(3))
		g.Expect(declaredAt).To(gomega.HaveKeyWithValue(2, gomega.BeNumerically("<=", declared)))
	})
}
