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
