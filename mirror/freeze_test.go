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
