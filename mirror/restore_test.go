package mirror_test

import (
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

// restore drops all records of the topic but the first ones, and begins a new epoch.
func (s *memoryRegistry) restore(topic fuchsiarouter.Topic, kept int) {
	s.change(func() {
		s.records[topic] = s.records[topic][:kept:kept]
		s.epoch++
	})
}

// startFollower starts a mirror that reads only through the reader.
func startFollower(registry *memoryRegistry, reader *mirror.Mirror) *mirror.Mirror {
	return startWithSettings(registry, mirror.Settings{Clock: clockSince(time.Now(), 0), RelayWait: 100 * time.Millisecond}, mirrorSource{reader})
}

// putAll appends records to the operator's topic, given as keys and values in turn.
func putAll(t *testing.T, registry *memoryRegistry, keysAndValues ...string) {
	for i := 0; i < len(keysAndValues); i += 2 {
		put(t, registry, fuchsiarouter.TopicOperator, keysAndValues[i], keysAndValues[i+1])
	}
}

// TestReusedOffsetsAreRead guards against a configuration that no read returns, since its offset was already read before a restoration (CONFIG).
func TestReusedOffsetsAreRead(t *testing.T) {
	for name, restorations := range map[string]int{"one restoration": 1, "two in a row": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				registry := newRegistry()
				putAll(t, registry, "config", "1", "config", "2", "config", "3")
				m := startMirror(registry)
				defer m.Close()
				time.Sleep(time.Second)
				registry.change(func() { registry.down = true })
				time.Sleep(time.Second)
				for range restorations {
					registry.restore(fuchsiarouter.TopicOperator, 1)
					putAll(t, registry, "config", "3", "config", "5", "m", "2")
				}
				registry.change(func() { registry.down = false })
				time.Sleep(time.Second)
				g.Expect(m.View().Configuration.Version).To(gomega.Equal(int64(5)))
			})
		})
	}
}

// TestFollowerReadsRestoredCopy guards against followers that refuse the copy of a restored topic, or read only part of it (CONFIG).
func TestFollowerReadsRestoredCopy(t *testing.T) {
	for name, after := range map[string][]string{
		"fewer records": {"config", "5"},
		"as many":       {"config", "5", "m", "2"},
		"more":          {"config", "5", "m", "2", "n", "2"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				registry := newRegistry()
				putAll(t, registry, "config", "1", "config", "2", "config", "3")
				reader := startMirror(registry)
				defer reader.Close()
				time.Sleep(time.Second)
				follower := startFollower(registry, reader)
				defer follower.Close()
				time.Sleep(time.Second)
				registry.restore(fuchsiarouter.TopicOperator, 1)
				putAll(t, registry, after...)
				time.Sleep(time.Second)
				g.Expect(follower.View().Configuration.Version).To(gomega.Equal(int64(5)))
				g.Expect(follower.OperatorAge()).To(gomega.BeNumerically("<", time.Second))
			})
		})
	}
}

// TestCopyOfEarlierEpochIsRefused guards against a stale copy that undoes what was read since the restoration (DRAIN).
func TestCopyOfEarlierEpochIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry, peer := newRegistry(), newRegistry()
		peer.age = time.Millisecond
		put(t, registry, fuchsiarouter.TopicServers, "a", `{"Service":"s"}`)
		m := startMirror(registry, peer)
		defer m.Close()
		time.Sleep(time.Second)
		registry.restore(fuchsiarouter.TopicServers, 1)
		put(t, registry, fuchsiarouter.TopicServers, "a", `{"Service":"s","Draining":true}`)
		time.Sleep(time.Second)
		g.Expect(m.View().Servers["a"].Draining).To(gomega.BeTrue())
		for range 5 {
			put(t, peer, fuchsiarouter.TopicServers, "a", `{"Service":"s"}`)
		}
		registry.change(func() { registry.down = true })
		time.Sleep(3 * time.Second)
		g.Expect(m.View().Servers["a"].Draining).To(gomega.BeTrue())
		g.Expect(m.ServersAge()).To(gomega.BeNumerically(">", 2*time.Second))
		batch, known := m.ReadNewest(fuchsiarouter.TopicServers)
		g.Expect(known).To(gomega.BeTrue())
		g.Expect(batch.Epoch).To(gomega.Equal(int64(2)))
	})
}

// TestRestorationKeepsStatesOfServers guards against requests to servers that drain or have left according to records that are lost (DRAIN).
func TestRestorationKeepsStatesOfServers(t *testing.T) {
	const format = `{"Service":"s","Address":"127.0.0.1:1","Started":7,`
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		for _, id := range []string{"drains", "left", "restarted"} {
			put(t, registry, fuchsiarouter.TopicServers, id, format+`"Sequence":5}`)
		}
		reader := startMirror(registry)
		defer reader.Close()
		time.Sleep(time.Second)
		follower := startFollower(registry, reader)
		defer follower.Close()
		time.Sleep(time.Second)
		put(t, registry, fuchsiarouter.TopicServers, "drains", format+`"Sequence":9,"Draining":true}`)
		put(t, registry, fuchsiarouter.TopicServers, "left", "")
		put(t, registry, fuchsiarouter.TopicServers, "restarted", `{"Service":"s","Address":"127.0.0.1:2","Started":8,"Sequence":1}`)
		put(t, registry, fuchsiarouter.TopicServers, "late", format+`"Sequence":1}`)
		time.Sleep(time.Second)
		registry.restore(fuchsiarouter.TopicServers, 3)
		time.Sleep(time.Second)
		late := startFollower(registry, reader)
		defer late.Close()
		time.Sleep(500 * time.Millisecond)
		for name, m := range map[string]*mirror.Mirror{"reader": reader, "follower": follower, "a process that starts": late} {
			servers := m.View().Servers
			g.Expect(servers).To(gomega.HaveKey("drains"), name)
			g.Expect(servers["drains"].Draining).To(gomega.BeTrue(), name)
			g.Expect(servers).NotTo(gomega.HaveKey("left"), name)
			g.Expect(servers["restarted"].Started).To(gomega.Equal(int64(8)), name)
			if m != late {
				g.Expect(servers).To(gomega.HaveKey("late"), name)
			}
		}
		put(t, registry, fuchsiarouter.TopicServers, "left", format+`"Sequence":6}`)
		time.Sleep(3 * time.Second)
		for name, m := range map[string]*mirror.Mirror{"reader": reader, "follower": follower} {
			g.Expect(m.View().Servers).To(gomega.HaveKey("left"), name)
			g.Expect(m.View().Servers).NotTo(gomega.HaveKey("late"), name)
		}
	})
}

// TestCopyKeepsNewerRecordsOfOperator guards against a process that starts after a restoration on an older configuration than its relay has (CONFIG, VERSION).
func TestCopyKeepsNewerRecordsOfOperator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		putAll(t, registry, "config", "1", "m", "1")
		reader := startMirror(registry)
		defer reader.Close()
		time.Sleep(time.Second)
		declared := time.Now()
		putAll(t, registry, "config", "3", "m", "2", "n", "1")
		time.Sleep(time.Second)
		registry.restore(fuchsiarouter.TopicOperator, 2)
		time.Sleep(time.Second)
		batch, known := reader.ReadNewest(fuchsiarouter.TopicOperator)
		g.Expect(known).To(gomega.BeTrue())
		values, ages := map[string]string{}, map[string]time.Duration{}
		for _, record := range batch.Records {
			values[record.Key], ages[record.Key] = string(record.Value), record.Age
		}
		g.Expect(values).To(gomega.Equal(map[string]string{"config": "3", "m": "2", "n": "1"}))
		g.Expect(ages["n"]).To(gomega.BeNumerically(">=", time.Since(declared)))
		putAll(t, registry, "config", "4", "m", "2", "n", "1")
		time.Sleep(time.Second)
		g.Expect(reader.View().Configuration.Version).To(gomega.Equal(int64(4)))
	})
}

// TestPreferredSourceOfEarlierEpoch guards against a copy that ages while a preferred source from before the restoration is tried (DRAIN).
func TestPreferredSourceOfEarlierEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry, peer := newRegistry(), newRegistry()
		registry.epoch, peer.age = 2, time.Millisecond
		began := time.Now()
		m := mirror.New(registry, func() []fuchsiarouter.TopicReader { return []fuchsiarouter.TopicReader{peer, registry} },
			mirror.Settings{Clock: func() time.Duration { return time.Since(began) }}, zap.NewNop(), func(*catalog.View) {})
		defer m.Close()
		peer.change(func() { peer.down = true })
		time.Sleep(4 * time.Second)
		peer.change(func() { peer.down = false })
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			g.Expect(m.ServersAge()).To(gomega.BeNumerically("<", 600*time.Millisecond))
		}
	})
}

// TestVersionLostWithBackupKeepsDeadline guards against a version that is dated by the time at which it is written again (VERSION).
func TestVersionLostWithBackupKeepsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		putAll(t, registry, "m", "2")
		clock := clockSince(time.Now(), 0)
		m := startWithSettings(registry, mirror.Settings{Clock: clock}, registry)
		defer m.Close()
		time.Sleep(2 * time.Second)
		registry.change(func() { registry.down = true })
		declared := clock()
		putAll(t, registry, "m", "3")
		time.Sleep(time.Second)
		registry.restore(fuchsiarouter.TopicOperator, 1)
		registry.change(func() { registry.down = false })
		time.Sleep(time.Second)
		putAll(t, registry, "m", "3")
		time.Sleep(time.Second)
		g.Expect(m.View().DeclaredVersions["m"].Version).To(gomega.Equal(3))
		g.Expect(m.View().DeclaredVersions["m"].DeclaredAt).To(gomega.BeNumerically("<=", declared))
		time.Sleep(5 * time.Second)
		declared = clock()
		putAll(t, registry, "m", "4")
		time.Sleep(time.Second)
		g.Expect(m.View().DeclaredVersions["m"].DeclaredAt).To(gomega.BeNumerically(">=", declared-operatorWait))
	})
}

// TestRegistrationsWrittenAgainInOrder guards against a draining server that counts as ready while its registrations are written again (DRAIN).
func TestRegistrationsWrittenAgainInOrder(t *testing.T) {
	const ready, draining = `{"Service":"s","Address":"127.0.0.1:1","Started":7,"Sequence":1}`, `{"Service":"s","Address":"127.0.0.1:1","Started":7,"Sequence":2,"Draining":true}`
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicServers, "other", ready)
		put(t, registry, fuchsiarouter.TopicServers, "a", ready)
		put(t, registry, fuchsiarouter.TopicServers, "a", draining)
		m := startMirror(registry)
		defer m.Close()
		time.Sleep(time.Second)
		registry.restore(fuchsiarouter.TopicServers, 1)
		time.Sleep(time.Second)
		for _, value := range []string{ready, draining} {
			put(t, registry, fuchsiarouter.TopicServers, "a", value)
			time.Sleep(time.Second)
			g.Expect(m.View().Servers["a"].Draining).To(gomega.BeTrue())
		}
	})
}

// TestRelayThatReadAnewTellsRemovals guards against a server that is used after it has left, since the relay never knew it (DRAIN).
func TestRelayThatReadAnewTellsRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		put(t, registry, fuchsiarouter.TopicServers, "a", `{"Service":"s"}`)
		var isRelayCut, isRegistryCut atomic.Bool
		cut := func(isCut *atomic.Bool, source fuchsiarouter.TopicReader) fuchsiarouter.TopicReader {
			return &changedReader{TopicReader: source, read: func(next fuchsiarouter.TopicReader, topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
				if isCut.Load() {
					return fuchsiarouter.KeyedBatch{}, errDown
				}
				return next.Read(topic, from, wait)
			}}
		}
		settings := mirror.Settings{RelayWait: 100 * time.Millisecond, Clock: clockSince(time.Now(), 0)}
		relay := startWithSettings(registry, settings, cut(&isRelayCut, registry))
		defer relay.Close()
		time.Sleep(time.Second)
		m := startWithSettings(registry, settings, cut(&isRelayCut, mirrorSource{relay}), cut(&isRegistryCut, registry))
		defer m.Close()
		time.Sleep(time.Second)
		isRelayCut.Store(true)
		time.Sleep(time.Second)
		put(t, registry, fuchsiarouter.TopicServers, "b", `{"Service":"s"}`)
		time.Sleep(time.Second)
		g.Expect(m.View().Servers).To(gomega.HaveLen(2))
		isRegistryCut.Store(true)
		time.Sleep(time.Second)
		put(t, registry, fuchsiarouter.TopicServers, "b", "")
		registry.change(func() { registry.firstOffset = 3 })
		isRelayCut.Store(false)
		time.Sleep(5 * time.Second)
		g.Expect(m.View().Servers).To(gomega.HaveLen(1))
	})
}
