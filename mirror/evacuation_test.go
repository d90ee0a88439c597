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

// evacuationBound is the time after which no request may reach an evacuated zone.
const evacuationBound = 5 * time.Second

// viewRecorder records the views of a mirror.
type viewRecorder struct {
	mu    sync.Mutex
	views []*catalog.View
}

func (v *viewRecorder) add(view *catalog.View) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.views = append(v.views, view)
}

// count returns the number of the views for which the condition holds.
func (v *viewRecorder) count(condition func(*catalog.View) bool) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	count := 0
	for _, view := range v.views {
		if condition(view) {
			count++
		}
	}
	return count
}

// startRecorded starts a mirror that reads from the source.
func startRecorded(registry *memoryRegistry, source fuchsiarouter.TopicReader) (*mirror.Mirror, *viewRecorder) {
	recorder := &viewRecorder{}
	settings := mirror.Settings{Clock: clockSince(time.Now(), 0), RelayWait: 100 * time.Millisecond, EvacuationBound: evacuationBound}
	m := mirror.New(registry, func() []fuchsiarouter.TopicReader { return []fuchsiarouter.TopicReader{source} }, settings, zap.NewNop(), recorder.add)
	return m, recorder
}

// evacuationFleet has a reader of the registry and a follower of the reader.
type evacuationFleet struct {
	registry *memoryRegistry
	mirrors  map[string]*mirror.Mirror
	views    map[string]*viewRecorder
}

// testEvacuation runs a test with a fleet whose registry has the records, given as keys and values
// in turn.
func testEvacuation(t *testing.T, records []string, test func(g *gomega.WithT, f *evacuationFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &evacuationFleet{registry: newRegistry(), mirrors: map[string]*mirror.Mirror{}, views: map[string]*viewRecorder{}}
		putAll(t, f.registry, records...)
		reader, readerViews := startRecorded(f.registry, f.registry)
		defer reader.Close()
		time.Sleep(500 * time.Millisecond)
		follower, followerViews := startRecorded(f.registry, mirrorSource{reader})
		defer follower.Close()
		f.mirrors["reader"], f.mirrors["follower"] = reader, follower
		f.views["reader"], f.views["follower"] = readerViews, followerViews
		time.Sleep(500 * time.Millisecond)
		test(gomega.NewWithT(t), f)
	})
}

// expectZones expects the evacuated zones in the views of all mirrors.
func (f *evacuationFleet) expectZones(g *gomega.WithT, zones ...string) {
	g.THelper()
	for name, m := range f.mirrors {
		evacuated := []string{}
		for zone := range m.View().EvacuatedZones {
			evacuated = append(evacuated, zone)
		}
		g.Expect(evacuated).To(gomega.ConsistOf(zones), name)
	}
}

// countViews returns the number of views in which the zone is evacuated, or not, of all mirrors.
func (f *evacuationFleet) countViews(zone string, evacuated bool) int {
	count := 0
	for _, recorder := range f.views {
		count += recorder.count(func(view *catalog.View) bool { return view.EvacuatedZones[zone] == evacuated })
	}
	return count
}

// TestEvacuationIsPassedOn guards against evacuations, or their ends, that a daemon misses since it
// reads through another one or starts later, and against a moment in which a starting daemon serves
// requests without them.
func TestEvacuationIsPassedOn(t *testing.T) {
	testEvacuation(t, []string{"config", "1"}, func(g *gomega.WithT, f *evacuationFleet) {
		putAll(t, f.registry, "evacuate/a", "{}", "evacuate/b", "{}", "evacuate/c", "{}", "evacuate/c", "")
		time.Sleep(600 * time.Millisecond)
		f.expectZones(g, "a", "b")
		for _, source := range []fuchsiarouter.TopicReader{f.registry, mirrorSource{f.mirrors["reader"]}} {
			late, views := startRecorded(f.registry, source)
			time.Sleep(300 * time.Millisecond)
			g.Expect(late.View().EvacuatedZones).To(gomega.HaveLen(2))
			g.Expect(views.count(func(view *catalog.View) bool { return view.Configuration != nil && len(view.EvacuatedZones) < 2 })).To(gomega.BeZero())
			late.Close()
		}
		putAll(t, f.registry, "evacuate/a", "")
		time.Sleep(600 * time.Millisecond)
		f.expectZones(g, "b")
		late, _ := startRecorded(f.registry, mirrorSource{f.mirrors["reader"]})
		defer late.Close()
		time.Sleep(300 * time.Millisecond)
		g.Expect(late.View().EvacuatedZones).To(gomega.Equal(map[string]bool{"b": true}))
	})
}

// TestEvacuationHoldsInOutage guards against sending requests to an evacuated zone again since the
// registry is away, and against the state of before when a daemon returns that was cut off.
func TestEvacuationHoldsInOutage(t *testing.T) {
	testEvacuation(t, []string{"config", "1", "evacuate/a", "{}"}, func(g *gomega.WithT, f *evacuationFleet) {
		cut := &atomic.Bool{}
		returned, _ := startRecorded(f.registry, flakySource{f.registry, cut})
		defer returned.Close()
		time.Sleep(300 * time.Millisecond)
		cut.Store(true)
		time.Sleep(time.Second)
		putAll(t, f.registry, "evacuate/b", "{}", "evacuate/a", "")
		time.Sleep(time.Second)
		g.Expect(returned.View().EvacuatedZones).To(gomega.Equal(map[string]bool{"a": true}))
		cut.Store(false)
		time.Sleep(time.Second)
		g.Expect(returned.View().EvacuatedZones).To(gomega.Equal(map[string]bool{"b": true}))
		f.registry.change(func() { f.registry.down = true })
		time.Sleep(time.Minute)
		f.expectZones(g, "b")
	})
}

// TestExpiredHistoryEndsEvacuation guards against a zone that stays evacuated forever, since the
// removal of its record has expired before it was read.
func TestExpiredHistoryEndsEvacuation(t *testing.T) {
	testEvacuation(t, []string{"config", "1", "evacuate/a", "{}", "evacuate/b", "{}"}, func(g *gomega.WithT, f *evacuationFleet) {
		f.registry.change(func() { f.registry.down = true })
		time.Sleep(time.Second)
		putAll(t, f.registry, "evacuate/a", "", "config", "2")
		f.registry.change(func() { f.registry.down, f.registry.firstOffset = false, 4 })
		time.Sleep(2 * time.Second)
		f.expectZones(g, "b")
		g.Expect(f.mirrors["follower"].View().Configuration.Version).To(gomega.Equal(int64(2)))
	})
}

// TestLostEvacuationHolds guards against requests to an evacuated zone while the operator's records,
// which a restoration has lost, are written again, also if its end is among them, and against an
// evacuation that stays in force although nobody writes it again.
func TestLostEvacuationHolds(t *testing.T) {
	for name, test := range map[string]struct {
		written []string
		zones   []string
	}{
		"written again":             {[]string{"evacuate/a", "{}"}, []string{"a"}},
		"the history written again": {[]string{"evacuate/a", "{}", "evacuate/a", "", "evacuate/a", "{}"}, []string{"a"}},
		"not written again":         {nil, nil},
		"ended meanwhile":           {[]string{"evacuate/a", ""}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			testEvacuation(t, []string{"config", "1"}, func(g *gomega.WithT, f *evacuationFleet) {
				putAll(t, f.registry, "evacuate/a", "{}")
				time.Sleep(time.Second)
				f.expectZones(g, "a")
				without := f.countViews("a", false)
				f.registry.restore(fuchsiarouter.TopicOperator, 1)
				for i := 0; i < len(test.written); i += 2 {
					time.Sleep(700 * time.Millisecond)
					putAll(t, f.registry, test.written[i:i+2]...)
				}
				time.Sleep(2200*time.Millisecond - time.Duration(len(test.written)/2)*700*time.Millisecond)
				f.expectZones(g, "a")
				g.Expect(f.countViews("a", false)).To(gomega.Equal(without))
				time.Sleep(10 * time.Second)
				f.expectZones(g, test.zones...)
				if test.zones != nil {
					g.Expect(f.countViews("a", false)).To(gomega.Equal(without))
				}
			})
		})
	}
}

// TestWithdrawnEvacuationStaysWithdrawn guards against an evacuation that begins again, since a
// restored registry has its record, or since the history is written again.
func TestWithdrawnEvacuationStaysWithdrawn(t *testing.T) {
	for name, test := range map[string]struct {
		kept    int
		written []string
	}{
		"its end is lost":                   {2, []string{"evacuate/a", ""}},
		"its end is lost, with the history": {2, []string{"evacuate/a", "{}", "evacuate/a", ""}},
		"the whole history is lost":         {1, []string{"evacuate/a", "{}", "evacuate/a", ""}},
	} {
		t.Run(name, func(t *testing.T) {
			testEvacuation(t, []string{"config", "1"}, func(g *gomega.WithT, f *evacuationFleet) {
				putAll(t, f.registry, "evacuate/a", "{}")
				time.Sleep(time.Second)
				putAll(t, f.registry, "evacuate/a", "")
				time.Sleep(time.Second)
				evacuated := f.countViews("a", true)
				f.registry.restore(fuchsiarouter.TopicOperator, test.kept)
				for i := 0; i < len(test.written); i += 2 {
					time.Sleep(time.Second)
					putAll(t, f.registry, test.written[i:i+2]...)
				}
				time.Sleep(20 * time.Second)
				f.expectZones(g)
				g.Expect(f.countViews("a", true)).To(gomega.Equal(evacuated))
			})
		})
	}
}

// TestEvacuationAfterRestoration guards against an evacuation that takes effect later than its bound,
// since its record is taken for the one of an earlier evacuation of the zone.
func TestEvacuationAfterRestoration(t *testing.T) {
	for name, delay := range map[string]time.Duration{"with the restoration": 0, "after its first read": 600 * time.Millisecond, "later": 2900 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			testEvacuation(t, []string{"config", "1"}, func(g *gomega.WithT, f *evacuationFleet) {
				putAll(t, f.registry, "evacuate/a", "{}")
				time.Sleep(time.Second)
				putAll(t, f.registry, "evacuate/a", "")
				time.Sleep(time.Second)
				f.registry.restore(fuchsiarouter.TopicOperator, 2)
				time.Sleep(delay)
				putAll(t, f.registry, "evacuate/a", "{}", "evacuate/b", "{}")
				time.Sleep(time.Second)
				for name, m := range f.mirrors {
					g.Expect(m.View().EvacuatedZones).To(gomega.HaveKey("b"), name)
				}
				time.Sleep(evacuationBound - 1500*time.Millisecond)
				f.expectZones(g, "a", "b")
				time.Sleep(20 * time.Second)
				f.expectZones(g, "a", "b")
			})
		})
	}
}
