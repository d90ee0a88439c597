package mirror_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/mirror"
)

// startFollower starts a mirror that reads from the sources only.
func startFollower(registry fuchsiarouter.Registry, settings mirror.Settings, sources ...fuchsiarouter.TopicReader) *mirror.Mirror {
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
				relay := startFollower(registry, mirror.Settings{Clock: clockSince(time.Now(), time.Hour)}, registry)
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
				m := startFollower(registry, mirror.Settings{Clock: clock}, source)
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
