package mirror_test

import (
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

// frozenReader is a registry whose responses reach the reader only when its freeze ends.
type frozenReader struct {
	*memoryRegistry
	thawsAt atomic.Pointer[time.Time]
}

func (f *frozenReader) Read(topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	batch, err := f.memoryRegistry.Read(topic, from, wait)
	if thawsAt := f.thawsAt.Load(); thawsAt != nil {
		time.Sleep(time.Until(*thawsAt))
	}
	return batch, err
}

// TestFrozenReaderDoesNotDateVersionLate guards against requests on an older version after its deadline (VERSION).
func TestFrozenReaderDoesNotDateVersionLate(t *testing.T) {
	const freeze = 3 * time.Second
	for name, declaredAfter := range map[string]time.Duration{
		"response with the record is read late":     200 * time.Millisecond,
		"last response without record is read late": 1500 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				registry := &frozenReader{memoryRegistry: newRegistry()}
				put(t, registry.memoryRegistry, fuchsiarouter.TopicOperator, "config", "1")
				began := time.Now()
				m := mirror.New(registry, func() []fuchsiarouter.TopicReader { return []fuchsiarouter.TopicReader{registry} },
					mirror.Settings{Clock: func() time.Duration { return time.Since(began) }}, zap.NewNop(), func(*catalog.View) {})
				defer m.Close()
				time.Sleep(2*time.Second + 10*time.Millisecond)
				frozen := time.Since(began)
				thawsAt := time.Now().Add(freeze)
				registry.thawsAt.Store(&thawsAt)
				time.Sleep(declaredAfter)
				declared := time.Since(began)
				put(t, registry.memoryRegistry, fuchsiarouter.TopicOperator, "m", "2")
				time.Sleep(freeze)
				g.Expect(m.View().DeclaredVersions["m"].Version).To(gomega.Equal(2))
				g.Expect(m.View().DeclaredVersions["m"].DeclaredAt).To(gomega.BeNumerically("<=", declared))
				g.Expect(m.View().DeclaredVersions["m"].DeclaredAt).To(gomega.BeNumerically(">=", frozen-operatorWait))
			})
		})
	}
}

// TestRereadTopicKeepsDateOfVersion guards against a relay that dates an old version anew for its readers (VERSION).
func TestRereadTopicKeepsDateOfVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicOperator, "config", "1")
		m := startMirror(registry)
		defer m.Close()
		time.Sleep(time.Second)
		declared := time.Now()
		put(t, registry, fuchsiarouter.TopicOperator, "m", "2")
		time.Sleep(3 * time.Second)
		registry.change(func() {
			registry.records[fuchsiarouter.TopicOperator] = append(registry.records[fuchsiarouter.TopicOperator],
				fuchsiarouter.KeyedRecord{Offset: 2, Key: "config", Value: []byte("2")})
			registry.firstOffset = 3
		})
		time.Sleep(time.Second)
		g.Expect(m.View().Configuration.Version).To(gomega.Equal(int64(2)))
		batch, known := m.ReadNewest(fuchsiarouter.TopicOperator)
		g.Expect(known).To(gomega.BeTrue())
		ages := map[string]time.Duration{}
		for _, record := range batch.Records {
			ages[record.Key] = record.Age
		}
		g.Expect(ages["m"]).To(gomega.BeNumerically(">=", time.Since(declared)))
		g.Expect(ages["config"]).To(gomega.BeNumerically("<", 2*time.Second))
	})
}

// slowRelay is frozenReader for reads through another daemon.
type slowRelay struct {
	mirrorSource
	thawsAt atomic.Pointer[time.Time]
}

func (s *slowRelay) Read(topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	batch, err := s.mirrorSource.Read(topic, from, wait)
	if thawsAt := s.thawsAt.Load(); thawsAt != nil {
		time.Sleep(time.Until(*thawsAt))
	}
	return batch, err
}

// TestOvertakenVersionKeepsDeadline guards against requests on an older version than one that was overtaken unread (VERSION).
func TestOvertakenVersionKeepsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicOperator, "config", "1")
		put(t, registry, fuchsiarouter.TopicOperator, "m", "4")
		reader := startMirror(registry)
		defer reader.Close()
		relay := &slowRelay{mirrorSource: mirrorSource{reader}}
		began := time.Now()
		declaredAt := map[int]time.Duration{}
		var mu sync.Mutex
		m := mirror.New(registry, func() []fuchsiarouter.TopicReader { return []fuchsiarouter.TopicReader{relay} },
			mirror.Settings{RelayWait: 250 * time.Millisecond, Clock: func() time.Duration { return time.Since(began) }}, zap.NewNop(),
			func(view *catalog.View) {
				mu.Lock()
				defer mu.Unlock()
				if target, known := view.DeclaredVersions["m"]; known {
					declaredAt[target.Version] = target.DeclaredAt
				}
			})
		defer m.Close()
		time.Sleep(2 * time.Second)
		thawsAt := time.Now().Add(3 * time.Second)
		relay.thawsAt.Store(&thawsAt)
		time.Sleep(500 * time.Millisecond)
		declared := time.Since(began)
		put(t, registry, fuchsiarouter.TopicOperator, "m", "5")
		time.Sleep(2 * time.Second)
		put(t, registry, fuchsiarouter.TopicOperator, "m", "6")
		time.Sleep(2 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		g.Expect(declaredAt).To(gomega.HaveKey(6))
		g.Expect(declaredAt[6]).To(gomega.BeNumerically(">", declared))
		g.Expect(declaredAt).To(gomega.HaveKeyWithValue(5, gomega.BeNumerically("<=", declared)))
	})
}

// frozenRelay relays the copy of a mirror until it freezes. Reads then time out.
type frozenRelay struct {
	mirrorSource
	frozen *atomic.Bool
}

func (f frozenRelay) Read(topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	if f.frozen.Load() {
		time.Sleep(time.Second)
		return fuchsiarouter.KeyedBatch{}, errDown
	}
	return f.mirrorSource.Read(topic, from, wait)
}

// TestFrozenRelaysAreNoOutage guards against requests to removed servers (DRAIN) while the registry answers but the relays don't.
func TestFrozenRelaysAreNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicServers, "a", `{"Service":"s"}`)
		relay := startMirror(registry)
		defer relay.Close()
		time.Sleep(time.Second)
		frozen := frozenRelay{mirrorSource{relay}, &atomic.Bool{}}
		m := startReader(registry, frozen, frozen, registry)
		defer m.Close()
		time.Sleep(2 * time.Second)
		g.Expect(m.View().Servers).To(gomega.HaveLen(1))
		frozen.frozen.Store(true)
		time.Sleep(500 * time.Millisecond)
		put(t, registry, fuchsiarouter.TopicServers, "a", "")
		time.Sleep(2 * time.Second)
		g.Expect(m.View().Servers).To(gomega.BeEmpty())
	})
}

// TestOutageBesideFrozenRelays guards against live servers that are removed since an outage is taken for one of the relays.
func TestOutageBesideFrozenRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicServers, "a", `{"Service":"s"}`)
		relay := startMirror(registry)
		defer relay.Close()
		time.Sleep(time.Second)
		frozen := frozenRelay{mirrorSource{relay}, &atomic.Bool{}}
		m := startReader(registry, frozen, frozen, registry)
		defer m.Close()
		time.Sleep(2 * time.Second)
		frozen.frozen.Store(true)
		registry.change(func() { registry.down = true })
		time.Sleep(4 * time.Second)
		put(t, registry, fuchsiarouter.TopicServers, "a", "")
		registry.change(func() { registry.down = false })
		time.Sleep(3 * time.Second)
		g.Expect(m.View().Servers).To(gomega.HaveLen(1))
	})
}

// startReader starts a mirror that reads from the sources.
func startReader(registry *memoryRegistry, sources ...fuchsiarouter.TopicReader) *mirror.Mirror {
	return startWithSettings(registry, mirror.Settings{RelayWait: 250 * time.Millisecond, Clock: clockSince(time.Now(), 0)}, sources...)
}

// TestFrozenReaderDoesNotTakeOldViewForNew guards against an old configuration that is judged by the age of a newer one (CONFIG).
func TestFrozenReaderDoesNotTakeOldViewForNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicOperator, "config", "1")
		began := time.Now()
		var freeze atomic.Bool
		clock := func() time.Duration {
			if freeze.Swap(false) {
				time.Sleep(time.Second)
			}
			return time.Since(began)
		}
		m := mirror.New(registry, func() []fuchsiarouter.TopicReader { return []fuchsiarouter.TopicReader{registry} },
			mirror.Settings{Clock: clock}, zap.NewNop(), func(*catalog.View) {})
		defer m.Close()
		time.Sleep(10 * time.Second)
		go func() {
			time.Sleep(500 * time.Millisecond)
			put(t, registry, fuchsiarouter.TopicOperator, "config", "2")
		}()
		freeze.Store(true)
		view, age := m.ViewWithAge()
		g.Expect(view.Configuration.Version).To(gomega.Equal(int64(2)))
		g.Expect(age).To(gomega.BeNumerically("<", time.Second))
	})
}

// TestFrozenRelaysDelayChangesOnce guards against waiting for changes at each frozen relay in turn, so that a loader learns of a version seconds late.
func TestFrozenRelaysDelayChangesOnce(t *testing.T) {
	const wait, timeout = 2 * time.Second, 600 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicOperator, "m", "2")
		relay := startMirror(registry)
		defer relay.Close()
		time.Sleep(time.Second)
		var isFrozen atomic.Bool
		frozen := &changedReader{TopicReader: mirrorSource{relay}, read: func(next fuchsiarouter.TopicReader, topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
			if isFrozen.Load() {
				time.Sleep(wait + timeout)
				return fuchsiarouter.KeyedBatch{}, errDown
			}
			return next.Read(topic, from, wait)
		}}
		m := startWithSettings(registry, mirror.Settings{OperatorWait: wait, Clock: clockSince(time.Now(), 0)}, frozen, frozen, registry)
		defer m.Close()
		time.Sleep(time.Second)
		isFrozen.Store(true)
		time.Sleep(2 * time.Second)
		declared := time.Now()
		put(t, registry, fuchsiarouter.TopicOperator, "m", "3")
		for m.View().DeclaredVersions["m"].Version < 3 {
			time.Sleep(time.Millisecond)
		}
		g.Expect(time.Since(declared)).To(gomega.BeNumerically("<=", wait+2*timeout))
	})
}
