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

// frozenReader is a registry whose responses reach the reader only when its freeze ends.
type frozenReader struct {
	*memoryRegistry
	thawsAt atomic.Pointer[time.Time]
}

func (f *frozenReader) Read(topic fuchsiarouter.Topic, from int64, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
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
				thawsAt := time.Now().Add(freeze)
				registry.thawsAt.Store(&thawsAt)
				time.Sleep(declaredAfter)
				declared := time.Since(began)
				put(t, registry.memoryRegistry, fuchsiarouter.TopicOperator, "m", "2")
				time.Sleep(freeze)
				g.Expect(m.View().DeclaredVersions["m"].Version).To(gomega.Equal(2))
				g.Expect(m.View().DeclaredVersions["m"].DeclaredAt).To(gomega.BeNumerically("<=", declared))
			})
		})
	}
}
