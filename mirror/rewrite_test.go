package mirror_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/mirror"
)

// registrationStart is the start of the registration of a server.
const registrationStart = `{"Service":"s","Address":"127.0.0.1:1","Started":7,`

// switchedSource reads from first until it is switched to second.
type switchedSource struct {
	cut    atomic.Bool
	first  fuchsiarouter.TopicReader
	second atomic.Pointer[mirror.Mirror]
}

func (s *switchedSource) reader() fuchsiarouter.TopicReader {
	if m := s.second.Load(); m != nil {
		return mirrorSource{m}
	}
	return s.first
}

func (s *switchedSource) Read(topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	batch, err := s.reader().Read(topic, from, wait)
	if s.cut.Load() {
		return fuchsiarouter.KeyedBatch{}, errDown
	}
	return batch, err
}

func (s *switchedSource) ReadNewest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, error) {
	return s.reader().ReadNewest(topic)
}

// TestRemovalExpiredAfterRestoration guards against a server that stays in use, since its removal is read neither from the registry nor from a relay (DRAIN).
func TestRemovalExpiredAfterRestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicServers, "other", `{"Service":"s"}`)
		put(t, registry, fuchsiarouter.TopicServers, "a", `{"Service":"s"}`)
		clock := clockSince(time.Now(), 0)
		cut := &atomic.Bool{}
		relay := startWithSettings(registry, mirror.Settings{Clock: clock}, flakySource{registry, cut})
		defer relay.Close()
		time.Sleep(time.Second)
		put(t, registry, fuchsiarouter.TopicServers, "a", "")
		time.Sleep(time.Second)
		registry.restore(fuchsiarouter.TopicServers, 2)
		time.Sleep(time.Second)
		cut.Store(true)
		source := &switchedSource{first: registry}
		m := startWithSettings(registry, mirror.Settings{Clock: clock, RelayWait: 100 * time.Millisecond}, source)
		defer m.Close()
		time.Sleep(50 * time.Millisecond)
		source.cut.Store(true)
		put(t, registry, fuchsiarouter.TopicServers, "a", "")
		registry.change(func() { registry.firstOffset = 3 })
		time.Sleep(500 * time.Millisecond)
		cut.Store(false)
		time.Sleep(600 * time.Millisecond)
		source.second.Store(relay)
		source.cut.Store(false)
		time.Sleep(time.Minute)
		g.Expect(relay.View().Servers).NotTo(gomega.HaveKey("a"))
		g.Expect(m.View().Servers).NotTo(gomega.HaveKey("a"))
	})
}

// TestRecordsExpiredAfterRestoration guards against states that go back when a restored topic is read from the start a second time (DRAIN, CONFIG).
func TestRecordsExpiredAfterRestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		for _, id := range []string{"drains", "left"} {
			put(t, registry, fuchsiarouter.TopicServers, id, registrationStart+`"Sequence":5}`)
		}
		putAll(t, registry, "config", "1", "m", "1")
		m := startMirror(registry)
		defer m.Close()
		time.Sleep(time.Second)
		put(t, registry, fuchsiarouter.TopicServers, "drains", registrationStart+`"Sequence":9,"Draining":true}`)
		put(t, registry, fuchsiarouter.TopicServers, "left", "")
		putAll(t, registry, "config", "3", "m", "2")
		time.Sleep(time.Second)
		registry.change(func() {
			for _, topic := range []fuchsiarouter.Topic{fuchsiarouter.TopicServers, fuchsiarouter.TopicOperator} {
				registry.records[topic] = registry.records[topic][:2:2]
			}
			registry.epoch++
		})
		time.Sleep(600 * time.Millisecond)
		g.Expect(m.View().Servers).NotTo(gomega.HaveKey("left"))
		put(t, registry, fuchsiarouter.TopicServers, "x", registrationStart+`"Sequence":1}`)
		putAll(t, registry, "n", "1")
		registry.change(func() { registry.firstOffset = 3 })
		time.Sleep(600 * time.Millisecond)
		batch, _ := m.ReadNewest(fuchsiarouter.TopicOperator)
		for _, record := range batch.Records {
			if record.Key == "config" {
				g.Expect(string(record.Value)).To(gomega.Equal("3"))
			}
		}
		g.Expect(m.View().Servers["drains"].Draining).To(gomega.BeTrue())
		g.Expect(m.View().Servers).NotTo(gomega.HaveKey("left"))
	})
}

// TestRegistrationsOfGoneServerWrittenAgain guards against a server that has left and counts as ready while its registrations are written again (DRAIN).
func TestRegistrationsOfGoneServerWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicServers, "other", registrationStart+`"Sequence":1}`)
		put(t, registry, fuchsiarouter.TopicServers, "a", registrationStart+`"Sequence":1}`)
		m := startMirror(registry)
		defer m.Close()
		time.Sleep(time.Second)
		put(t, registry, fuchsiarouter.TopicServers, "a", registrationStart+`"Sequence":2,"Draining":true}`)
		time.Sleep(time.Second)
		put(t, registry, fuchsiarouter.TopicServers, "a", "")
		time.Sleep(time.Second)
		registry.restore(fuchsiarouter.TopicServers, 1)
		time.Sleep(time.Second)
		put(t, registry, fuchsiarouter.TopicServers, "a", registrationStart+`"Sequence":1}`)
		time.Sleep(time.Second)
		g.Expect(m.View().Servers).NotTo(gomega.HaveKey("a"))
	})
}

// TestCopyOfRecordsWrittenAgain guards against a process that starts on older records than its relay has, while they are written again (CONFIG, DRAIN).
func TestCopyOfRecordsWrittenAgain(t *testing.T) {
	const ready, draining = registrationStart + `"Sequence":1}`, registrationStart + `"Sequence":2,"Draining":true}`
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicServers, "other", ready)
		put(t, registry, fuchsiarouter.TopicServers, "a", ready)
		put(t, registry, fuchsiarouter.TopicServers, "a", draining)
		putAll(t, registry, "config", "1", "config", "2", "config", "3")
		m := startMirror(registry)
		defer m.Close()
		time.Sleep(time.Second)
		registry.change(func() {
			for _, topic := range []fuchsiarouter.Topic{fuchsiarouter.TopicServers, fuchsiarouter.TopicOperator} {
				registry.records[topic] = registry.records[topic][:1:1]
			}
			registry.epoch++
		})
		time.Sleep(time.Second)
		put(t, registry, fuchsiarouter.TopicServers, "a", ready)
		putAll(t, registry, "config", "2")
		time.Sleep(time.Second)
		late := startFollower(registry, m)
		defer late.Close()
		time.Sleep(time.Second)
		g.Expect(late.View().Configuration.Version).To(gomega.Equal(int64(3)))
		g.Expect(m.View().Servers["a"].Draining).To(gomega.BeTrue())
		g.Expect(late.View().Servers["a"].Draining).To(gomega.BeTrue())
	})
}

// TestLiveServerOfBackupReturns guards against a live server that is left out for ever, since its registration had lapsed before the restoration.
func TestLiveServerOfBackupReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicServers, "other", registrationStart+`"Sequence":1}`)
		put(t, registry, fuchsiarouter.TopicServers, "a", registrationStart+`"Sequence":1}`)
		m := startMirror(registry)
		defer m.Close()
		time.Sleep(5 * time.Second)
		put(t, registry, fuchsiarouter.TopicServers, "a", "")
		time.Sleep(time.Second)
		g.Expect(m.View().Servers).NotTo(gomega.HaveKey("a"))
		registry.restore(fuchsiarouter.TopicServers, 2)
		time.Sleep(10 * time.Second)
		g.Expect(m.View().Servers).To(gomega.HaveKey("a"))
	})
}

// TestFollowersFindLiveServerOfBackup guards against followers that keep a live server out after their relay has found it.
func TestFollowersFindLiveServerOfBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicServers, "other", registrationStart+`"Sequence":1}`)
		put(t, registry, fuchsiarouter.TopicServers, "a", registrationStart+`"Sequence":1}`)
		m := startMirror(registry)
		defer m.Close()
		time.Sleep(time.Second)
		follower := startFollower(registry, m)
		defer follower.Close()
		time.Sleep(5 * time.Second)
		put(t, registry, fuchsiarouter.TopicServers, "a", "")
		time.Sleep(time.Second)
		g.Expect(follower.View().Servers).NotTo(gomega.HaveKey("a"))
		registry.restore(fuchsiarouter.TopicServers, 2)
		time.Sleep(15 * time.Second)
		g.Expect(follower.View().Servers).To(gomega.HaveKey("a"))
	})
}

// alternatingEpoch is a registry that reports its epoch in every second response only.
type alternatingEpoch struct {
	*memoryRegistry
	calls atomic.Int64
}

func (a *alternatingEpoch) Read(topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	a.change(func() { a.epoch = a.calls.Add(1) % 2 })
	return a.memoryRegistry.Read(topic, from, wait)
}

func (a *alternatingEpoch) ReadNewest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, error) {
	a.change(func() { a.epoch = a.calls.Add(1) % 2 })
	return a.memoryRegistry.ReadNewest(topic)
}

// TestAlternatingEpochIsNotReadFast guards against a loop of reads without a pause when the epoch of the registry changes all the time.
func TestAlternatingEpochIsNotReadFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := &alternatingEpoch{memoryRegistry: newRegistry()}
		put(t, registry.memoryRegistry, fuchsiarouter.TopicOperator, "config", "1")
		m := startWithSettings(registry, mirror.Settings{Clock: clockSince(time.Now(), 0)}, registry)
		defer m.Close()
		time.Sleep(10 * time.Second)
		g.Expect(m.View().Configuration.Version).To(gomega.Equal(int64(1)))
		g.Expect(registry.calls.Load()).To(gomega.BeNumerically("<=", 200))
	})
}
