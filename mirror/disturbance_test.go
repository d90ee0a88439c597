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
	"go.uber.org/zap/zaptest/observer"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/mirror"
)

// versionDeadline is the time after which no request may begin on an older version.
const versionDeadline = 13400 * time.Millisecond

// Errors of reads of a registry that is disturbed.
var (
	errRefused    = &fuchsiarouter.UnavailableError{Refused: true, Err: errDown}
	errUnanswered = &fuchsiarouter.UnavailableError{Err: errDown}
)

// failingRegistry is a registry whose reads fail while a test wants that.
type failingRegistry struct {
	*memoryRegistry
	mu sync.Mutex
	// fail is called with the time for which a read may wait, -1 for a read of the newest records,
	// if it isn't nil. Unless it returns nil, the read fails with its error.
	fail func(wait time.Duration) error
}

func newFailingRegistry() *failingRegistry { return &failingRegistry{memoryRegistry: newRegistry()} }

// setFail replaces fail.
func (f *failingRegistry) setFail(fail func(wait time.Duration) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = fail
}

func (f *failingRegistry) failure(wait time.Duration) error {
	f.mu.Lock()
	fail := f.fail
	f.mu.Unlock()
	if fail == nil {
		return nil
	}
	return fail(wait)
}

func (f *failingRegistry) Read(topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	if err := f.failure(wait); err != nil {
		return fuchsiarouter.KeyedBatch{}, err
	}
	return f.memoryRegistry.Read(topic, from, wait)
}

func (f *failingRegistry) ReadNewest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, error) {
	if err := f.failure(-1); err != nil {
		return fuchsiarouter.KeyedBatch{}, err
	}
	return f.memoryRegistry.ReadNewest(topic)
}

// Failures of all reads.
func refuse(time.Duration) error { return errRefused }

func stayDown(time.Duration) error { return errDown }

func stayUnanswered(wait time.Duration) error {
	time.Sleep(wait + 700*time.Millisecond)
	return errUnanswered
}

// versionLog records the dates that a mirror gives to the versions of model m.
type versionLog struct {
	mu    sync.Mutex
	dates map[int]time.Duration
	// readAt is when each version was read.
	readAt map[int]time.Time
}

func newVersionLog() *versionLog {
	return &versionLog{dates: map[int]time.Duration{}, readAt: map[int]time.Time{}}
}

func (v *versionLog) record(view *catalog.View) {
	v.mu.Lock()
	defer v.mu.Unlock()
	declared := view.DeclaredVersions["m"]
	if _, known := v.dates[declared.Version]; !known {
		v.dates[declared.Version], v.readAt[declared.Version] = declared.DeclaredAt, time.Now()
	}
}

// date returns the date of a version that has been read.
func (v *versionLog) date(t *testing.T, version int) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	gomega.NewWithT(t).Expect(v.dates).To(gomega.HaveKey(version))
	return v.dates[version]
}

// startDated starts a mirror with the version deadline that reads from the sources, or from the
// registry without any, and logs the versions.
func startDated(t *testing.T, registry fuchsiarouter.Registry, clock func() time.Duration, sources ...fuchsiarouter.TopicReader) (*mirror.Mirror, *versionLog) {
	if len(sources) == 0 {
		sources = append(sources, registry)
	}
	versions := newVersionLog()
	m := mirror.New(registry, func() []fuchsiarouter.TopicReader { return sources },
		mirror.Settings{Clock: clock, VersionDeadline: versionDeadline, RelayWait: 100 * time.Millisecond}, zap.NewNop(), versions.record)
	t.Cleanup(m.Close)
	return m, versions
}

// testDates runs a test in virtual time with a registry that has version 1 of model m.
func testDates(t *testing.T, test func(t *testing.T, g *gomega.WithT, registry *failingRegistry)) {
	synctest.Test(t, func(t *testing.T) {
		registry := newFailingRegistry()
		putVersion(t, registry, 1)
		test(t, gomega.NewWithT(t), registry)
	})
}

func putVersion(t *testing.T, registry *failingRegistry, version int) {
	put(t, registry.memoryRegistry, fuchsiarouter.TopicOperator, "m", strconv.Itoa(version))
}

// TestSilentRegistryThenTwoVersions guards against versions that look seconds older than the rule counts them since the registry did not answer, so that requests are refused too early.
func TestSilentRegistryThenTwoVersions(t *testing.T) {
	testDates(t, func(t *testing.T, g *gomega.WithT, registry *failingRegistry) {
		clock := clockSince(time.Now(), time.Hour)
		_, versions := startDated(t, registry, clock)
		time.Sleep(2 * time.Second)
		registry.setFail(stayUnanswered)
		time.Sleep(1600 * time.Millisecond)
		putVersion(t, registry, 2)
		time.Sleep(1600 * time.Millisecond)
		registry.setFail(nil)
		disturbedUntil := clock()
		time.Sleep(1400 * time.Millisecond)
		putVersion(t, registry, 3)
		declared := clock()
		time.Sleep(time.Second)
		g.Expect(versions.date(t, 2)).To(gomega.BeNumerically("<=", disturbedUntil))
		g.Expect(versions.date(t, 2)).To(gomega.BeNumerically(">", disturbedUntil-1200*time.Millisecond))
		g.Expect(versions.date(t, 3)).To(gomega.BeNumerically("<=", declared))
		g.Expect(versions.date(t, 3)).To(gomega.BeNumerically(">=", declared-operatorWait))
	})
}

// TestRefusedReadsThenVersion guards against a version that looks as old as an outage of the registry in which reads were refused, and against a date of its reader's readers or an age of the configuration that differs.
func TestRefusedReadsThenVersion(t *testing.T) {
	testDates(t, func(t *testing.T, g *gomega.WithT, registry *failingRegistry) {
		put(t, registry.memoryRegistry, fuchsiarouter.TopicOperator, "config", "1")
		clock := clockSince(time.Now(), time.Hour)
		core, lines := observer.New(zap.InfoLevel)
		m := mirror.New(registry, func() []fuchsiarouter.TopicReader { return []fuchsiarouter.TopicReader{registry} },
			mirror.Settings{Clock: clock, VersionDeadline: versionDeadline}, zap.New(core), func(*catalog.View) {})
		defer m.Close()
		time.Sleep(time.Second)
		_, behind := startDated(t, registry, clock, mirrorSource{m})
		time.Sleep(time.Second)
		lines.TakeAll()
		registry.setFail(refuse)
		refusedFrom := clock()
		time.Sleep(2 * time.Second)
		putVersion(t, registry, 2)
		put(t, registry.memoryRegistry, fuchsiarouter.TopicOperator, "config", "2")
		configured := clock()
		time.Sleep(6 * time.Second)
		registry.setFail(nil)
		disturbedUntil := clock()
		time.Sleep(time.Second)
		date := m.View().DeclaredVersions["m"].DeclaredAt
		g.Expect(m.View().DeclaredVersions["m"].Version).To(gomega.Equal(2))
		g.Expect(date).To(gomega.BeNumerically("<=", disturbedUntil))
		g.Expect(date).To(gomega.BeNumerically(">", disturbedUntil-300*time.Millisecond))
		g.Expect(behind.date(t, 2)).To(gomega.Equal(date))
		batch, _ := m.ReadNewest(fuchsiarouter.TopicOperator)
		for _, record := range batch.Records {
			if record.Key == "config" {
				g.Expect(record.Age).To(gomega.BeNumerically(">=", clock()-configured))
			}
		}
		declared := lines.FilterMessage("weight version declared").All()
		g.Expect(declared).To(gomega.HaveLen(1))
		g.Expect(declared[0].ContextMap()["moved-by-disturbance"]).To(gomega.BeNumerically("~", disturbedUntil-refusedFrom, time.Second))
	})
}

// TestBusyRegistry guards against versions that look older, or younger, than the rule counts them while the registry refuses some reads and answers others.
func TestBusyRegistry(t *testing.T) {
	testDates(t, func(t *testing.T, g *gomega.WithT, registry *failingRegistry) {
		clock := clockSince(time.Now(), time.Hour)
		_, versions := startDated(t, registry, clock)
		time.Sleep(2 * time.Second)
		var reads int
		var refusals []time.Duration
		var refusedAt []time.Time
		var mu sync.Mutex
		registry.setFail(func(time.Duration) error {
			mu.Lock()
			defer mu.Unlock()
			reads++
			if reads%7 == 0 {
				return nil
			}
			refusals, refusedAt = append(refusals, clock()), append(refusedAt, time.Now())
			return errRefused
		})
		declared := map[int]time.Duration{}
		for version := 2; version <= 60; version++ {
			time.Sleep(time.Duration(version*77%900) * time.Millisecond)
			putVersion(t, registry, version)
			declared[version] = clock()
		}
		registry.setFail(nil)
		time.Sleep(5 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		versions.mu.Lock()
		defer versions.mu.Unlock()
		g.Expect(len(versions.dates)).To(gomega.BeNumerically(">", 10))
		for version, date := range versions.dates {
			if version == 1 {
				continue
			}
			// A refusal at the moment of the read may count or not.
			refusedBefore, refusedUntil := time.Duration(0), time.Duration(0)
			for i, refusal := range refusals {
				if refusedAt[i].Before(versions.readAt[version]) {
					refusedBefore = refusal
				}
				if !refusedAt[i].After(versions.readAt[version]) {
					refusedUntil = refusal
				}
			}
			g.Expect(date).To(gomega.BeNumerically("<=", max(declared[version], refusedUntil)))
			g.Expect(date).To(gomega.BeNumerically(">=", refusedBefore))
		}
	})
}

// jumpingClock is a clock that also shows the time in which the process was stopped, and in which
// each reading can take a while.
type jumpingClock struct {
	began   time.Time
	stopped atomic.Int64
	delay   atomic.Int64
}

func (j *jumpingClock) now() time.Duration {
	time.Sleep(time.Duration(j.delay.Load()))
	return time.Since(j.began) + time.Hour + time.Duration(j.stopped.Load())
}

// TestStoppedProcessDatesNoVersionLate guards against a process that was stopped in a read and takes the missing answer for a disturbance of the registry (VERSION).
func TestStoppedProcessDatesNoVersionLate(t *testing.T) {
	for name, stop := range map[string]struct{ running, stopped time.Duration }{
		"for most of the read":         {30 * time.Millisecond, 500 * time.Millisecond},
		"for a small part of the read": {700 * time.Millisecond, 110 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			testDates(t, func(t *testing.T, g *gomega.WithT, registry *failingRegistry) {
				clock := &jumpingClock{began: time.Now()}
				_, versions := startDated(t, registry, clock.now)
				time.Sleep(2 * time.Second)
				registry.setFail(func(time.Duration) error {
					time.Sleep(stop.running)
					clock.stopped.Add(int64(stop.stopped))
					return errUnanswered
				})
				time.Sleep(500 * time.Millisecond)
				declared := clock.now()
				putVersion(t, registry, 2)
				time.Sleep(3 * time.Second)
				registry.setFail(nil)
				time.Sleep(2 * time.Second)
				g.Expect(versions.date(t, 2)).To(gomega.BeNumerically("<=", declared))
			})
		})
	}
}

// TestLateRefusalDatesNoVersionLate guards against the time at which a stopped process notices a refusal, in place of the earliest one at which the registry can have sent it (VERSION).
func TestLateRefusalDatesNoVersionLate(t *testing.T) {
	testDates(t, func(t *testing.T, g *gomega.WithT, registry *failingRegistry) {
		clock := &jumpingClock{began: time.Now()}
		_, versions := startDated(t, registry, clock.now)
		time.Sleep(2 * time.Second)
		var declared time.Duration
		var hasRefused atomic.Bool
		registry.setFail(func(wait time.Duration) error {
			// Only reads of the operator's topic wait.
			if wait <= 0 || hasRefused.Swap(true) {
				return nil
			}
			clock.stopped.Add(int64(time.Second))
			putVersion(t, registry, 2)
			declared = clock.now()
			clock.stopped.Add(int64(3 * time.Second))
			return errRefused
		})
		time.Sleep(2 * operatorWait)
		registry.setFail(nil)
		time.Sleep(time.Second)
		g.Expect(versions.date(t, 2)).To(gomega.BeNumerically("<=", declared))
	})
}

// TestRefusalAfterDeadlineDatesNoVersionLate guards against a disturbance that moves the date of a version whose time had passed before, while this process was stopped (VERSION).
func TestRefusalAfterDeadlineDatesNoVersionLate(t *testing.T) {
	testDates(t, func(t *testing.T, g *gomega.WithT, registry *failingRegistry) {
		clock := &jumpingClock{began: time.Now()}
		_, versions := startDated(t, registry, clock.now)
		time.Sleep(2 * time.Second)
		registry.setFail(refuse)
		time.Sleep(time.Second)
		declared := clock.now()
		putVersion(t, registry, 2)
		clock.stopped.Add(int64(versionDeadline + time.Second))
		time.Sleep(time.Second)
		registry.setFail(nil)
		time.Sleep(time.Second)
		g.Expect(versions.date(t, 2)).To(gomega.BeNumerically("<=", declared))
	})
}

// TestStarvedProcessDatesNoVersionLate guards against a process without enough processor time that takes answers that it reads too late for missing ones (VERSION).
func TestStarvedProcessDatesNoVersionLate(t *testing.T) {
	for name, delay := range map[string]time.Duration{
		"long gaps":                      150 * time.Millisecond,
		"short gaps in most of the time": 45 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			testDates(t, func(t *testing.T, g *gomega.WithT, registry *failingRegistry) {
				clock := &jumpingClock{began: time.Now()}
				_, versions := startDated(t, registry, clock.now)
				time.Sleep(2 * time.Second)
				clock.delay.Store(int64(delay))
				registry.setFail(stayUnanswered)
				time.Sleep(500 * time.Millisecond)
				declared := clock.now()
				putVersion(t, registry, 2)
				time.Sleep(4 * time.Second)
				registry.setFail(nil)
				// The reads that have begun end while the process is still starved.
				time.Sleep(2 * time.Second)
				clock.delay.Store(0)
				time.Sleep(2 * time.Second)
				g.Expect(versions.date(t, 2)).To(gomega.BeNumerically("<=", declared))
			})
		})
	}
}

// TestLateRelayDatesNoVersionLate guards against a relay that fails and is taken for the registry (VERSION).
func TestLateRelayDatesNoVersionLate(t *testing.T) {
	testDates(t, func(t *testing.T, g *gomega.WithT, registry *failingRegistry) {
		clock := clockSince(time.Now(), time.Hour)
		reader, _ := startDated(t, registry.memoryRegistry, clock)
		time.Sleep(time.Second)
		var isLate atomic.Bool
		late := &changedReader{TopicReader: mirrorSource{reader}, read: func(next fuchsiarouter.TopicReader, topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
			if isLate.Load() {
				time.Sleep(wait + 600*time.Millisecond)
				return fuchsiarouter.KeyedBatch{}, errRefused
			}
			return next.Read(topic, from, wait)
		}}
		_, versions := startDated(t, registry, clock, late, registry)
		time.Sleep(time.Second)
		isLate.Store(true)
		registry.setFail(stayDown)
		time.Sleep(500 * time.Millisecond)
		putVersion(t, registry, 2)
		declared := clock()
		time.Sleep(4 * time.Second)
		registry.setFail(nil)
		time.Sleep(3 * time.Second)
		g.Expect(versions.date(t, 2)).To(gomega.BeNumerically("<=", declared))
	})
}

// TestRelayWithOldCopyDatesNoVersionLate guards against the old copy of a relay that counts as a disturbance of the registry (VERSION).
func TestRelayWithOldCopyDatesNoVersionLate(t *testing.T) {
	testDates(t, func(t *testing.T, g *gomega.WithT, registry *failingRegistry) {
		clock := clockSince(time.Now(), time.Hour)
		reader, _ := startDated(t, registry, clock, &changedReader{TopicReader: registry, read: failWith(registry, errDown)})
		time.Sleep(time.Second)
		_, versions := startDated(t, registry, clock, mirrorSource{reader})
		time.Sleep(time.Second)
		// Reads of the registry in the name of the relay fail from here on.
		registry.setFail(stayDown)
		time.Sleep(500 * time.Millisecond)
		putVersion(t, registry, 2)
		declared := clock()
		time.Sleep(5 * time.Second)
		registry.setFail(nil)
		time.Sleep(time.Second)
		g.Expect(versions.date(t, 2)).To(gomega.BeNumerically("<=", declared))
	})
}

// failWith returns a read that fails while the reads of the registry do.
func failWith(registry *failingRegistry, err error) func(fuchsiarouter.TopicReader, fuchsiarouter.Topic, fuchsiarouter.Position, time.Duration) (fuchsiarouter.KeyedBatch, error) {
	return func(_ fuchsiarouter.TopicReader, topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
		if registry.failure(wait) != nil {
			return fuchsiarouter.KeyedBatch{}, err
		}
		return registry.memoryRegistry.Read(topic, from, wait)
	}
}

// TestRefusalOfOneReaderDatesNoRelayedVersionLate guards against a registry that refuses only the reads of this daemon, which then gives the versions of its relay a later date (VERSION).
func TestRefusalOfOneReaderDatesNoRelayedVersionLate(t *testing.T) {
	testDates(t, func(t *testing.T, g *gomega.WithT, registry *failingRegistry) {
		clock := clockSince(time.Now(), time.Hour)
		reader, _ := startDated(t, registry.memoryRegistry, clock)
		time.Sleep(time.Second)
		var isCut atomic.Bool
		relay := &changedReader{TopicReader: mirrorSource{reader}, read: func(next fuchsiarouter.TopicReader, topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
			if isCut.Load() {
				return fuchsiarouter.KeyedBatch{}, errDown
			}
			return next.Read(topic, from, wait)
		}}
		_, versions := startDated(t, registry, clock, registry, relay)
		time.Sleep(time.Second)
		registry.setFail(refuse)
		isCut.Store(true)
		time.Sleep(500 * time.Millisecond)
		putVersion(t, registry, 2)
		declared := clock()
		time.Sleep(5 * time.Second)
		isCut.Store(false)
		time.Sleep(time.Second)
		g.Expect(versions.date(t, 2)).To(gomega.BeNumerically("<=", declared))
	})
}

// TestRelayDoesNotMoveKnownVersion guards against a relay with a later date that moves the date of a version that is already known, here or for the readers of this daemon (VERSION).
func TestRelayDoesNotMoveKnownVersion(t *testing.T) {
	testDates(t, func(t *testing.T, g *gomega.WithT, registry *failingRegistry) {
		clock := clockSince(time.Now(), time.Hour)
		strict, strictVersions := startDated(t, registry.memoryRegistry, clock)
		disturbed, disturbedVersions := startDated(t, registry, clock)
		time.Sleep(time.Second)
		var useDisturbed atomic.Bool
		m, versions := startDated(t, registry, clock, &changedReader{TopicReader: mirrorSource{strict}, read: func(next fuchsiarouter.TopicReader, topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
			if useDisturbed.Load() {
				return mirrorSource{disturbed}.Read(topic, from, wait)
			}
			return next.Read(topic, from, wait)
		}})
		time.Sleep(time.Second)
		registry.setFail(refuse)
		time.Sleep(time.Second)
		putVersion(t, registry, 2)
		time.Sleep(3 * time.Second)
		registry.setFail(nil)
		time.Sleep(time.Second)
		g.Expect(disturbedVersions.date(t, 2)).To(gomega.BeNumerically(">", strictVersions.date(t, 2)+time.Second))
		useDisturbed.Store(true)
		put(t, registry.memoryRegistry, fuchsiarouter.TopicOperator, "m", " 2")
		time.Sleep(2 * time.Second)
		date := versions.date(t, 2)
		g.Expect(date).To(gomega.BeNumerically("<=", strictVersions.date(t, 2)))
		g.Expect(m.View().DeclaredVersions["m"].DeclaredAt).To(gomega.Equal(date))
		arrived := clock()
		batch, _ := m.ReadNewest(fuchsiarouter.TopicOperator)
		g.Expect(arrived - batch.Records[0].Age).To(gomega.BeNumerically("<=", date))
	})
}

// TestRestoredRegistryDatesNoVersionLate guards against a version that is lost with a restoration and counts as declared at the next one (VERSION).
func TestRestoredRegistryDatesNoVersionLate(t *testing.T) {
	testDates(t, func(t *testing.T, g *gomega.WithT, registry *failingRegistry) {
		clock := clockSince(time.Now(), time.Hour)
		_, versions := startDated(t, registry, clock)
		time.Sleep(3 * time.Second)
		declared := clock()
		registry.restore(fuchsiarouter.TopicOperator, 1)
		time.Sleep(time.Second)
		registry.restore(fuchsiarouter.TopicOperator, 1)
		time.Sleep(time.Second)
		putVersion(t, registry, 2)
		time.Sleep(time.Second)
		g.Expect(versions.date(t, 2)).To(gomega.BeNumerically("<=", declared))
	})
}

// TestRefusalsOfRestorationDateNoVersionLate guards against reads that are refused since the registry is being restored, and that count as a disturbance for a version that is lost and written again (VERSION).
func TestRefusalsOfRestorationDateNoVersionLate(t *testing.T) {
	testDates(t, func(t *testing.T, g *gomega.WithT, registry *failingRegistry) {
		clock := clockSince(time.Now(), time.Hour)
		_, versions := startDated(t, registry, clock)
		time.Sleep(3 * time.Second)
		declared := clock()
		registry.restore(fuchsiarouter.TopicOperator, 1)
		time.Sleep(time.Second)
		registry.setFail(refuse)
		time.Sleep(500 * time.Millisecond)
		registry.restore(fuchsiarouter.TopicOperator, 1)
		registry.setFail(nil)
		time.Sleep(500 * time.Millisecond)
		putVersion(t, registry, 2)
		time.Sleep(time.Second)
		g.Expect(versions.date(t, 2)).To(gomega.BeNumerically("<=", declared))
	})
}

// TestLateRefusalOfRestorationDatesNoVersionLate guards against a refusal that arrives after another read has shown the restoration which caused it (VERSION).
func TestLateRefusalOfRestorationDatesNoVersionLate(t *testing.T) {
	testDates(t, func(t *testing.T, g *gomega.WithT, registry *failingRegistry) {
		clock := clockSince(time.Now(), time.Hour)
		_, versions := startDated(t, registry, clock)
		time.Sleep(3 * time.Second)
		declared := clock()
		registry.restore(fuchsiarouter.TopicOperator, 1)
		time.Sleep(500 * time.Millisecond)
		registry.setFail(func(wait time.Duration) error {
			// Only reads of the servers' topic return at once.
			if wait != 0 {
				return nil
			}
			time.Sleep(600 * time.Millisecond)
			return errRefused
		})
		time.Sleep(450 * time.Millisecond)
		registry.setFail(nil)
		registry.restore(fuchsiarouter.TopicOperator, 1)
		time.Sleep(time.Second)
		putVersion(t, registry, 2)
		time.Sleep(time.Second)
		g.Expect(versions.date(t, 2)).To(gomega.BeNumerically("<=", declared))
	})
}

// TestRateLimitedReaderDatesNoVersionLate guards against reads that the registry rejects for a reason in this daemon (429), or answers with nonsense, and that count as a disturbance (VERSION).
func TestRateLimitedReaderDatesNoVersionLate(t *testing.T) {
	testDates(t, func(t *testing.T, g *gomega.WithT, registry *failingRegistry) {
		clock := clockSince(time.Now(), time.Hour)
		_, versions := startDated(t, registry, clock)
		time.Sleep(2 * time.Second)
		registry.setFail(stayDown)
		time.Sleep(500 * time.Millisecond)
		putVersion(t, registry, 2)
		declared := clock()
		time.Sleep(5 * time.Second)
		registry.setFail(nil)
		time.Sleep(time.Second)
		g.Expect(versions.date(t, 2)).To(gomega.BeNumerically("<=", declared))
	})
}

// TestReplacedVersionAfterRefusals guards against a replaced version that was never read and looks as old as an outage of the registry, so that requests are refused too early.
func TestReplacedVersionAfterRefusals(t *testing.T) {
	testDates(t, func(t *testing.T, g *gomega.WithT, registry *failingRegistry) {
		clock := clockSince(time.Now(), time.Hour)
		_, versions := startDated(t, registry, clock)
		time.Sleep(2 * time.Second)
		registry.setFail(refuse)
		time.Sleep(5 * time.Second)
		putVersion(t, registry, 2)
		putVersion(t, registry, 3)
		registry.change(func() { registry.firstOffset = 2 })
		registry.setFail(nil)
		disturbedUntil := clock()
		time.Sleep(time.Second)
		g.Expect(versions.date(t, 3)).To(gomega.BeNumerically(">", disturbedUntil-300*time.Millisecond))
		versions.mu.Lock()
		defer versions.mu.Unlock()
		g.Expect(versions.dates).NotTo(gomega.HaveKeyWithValue(2, gomega.BeNumerically("<", disturbedUntil-300*time.Millisecond)))
	})
}

// TestDisturbanceDatesNoUnknownVersion guards against a daemon that has just started and dates a version by a disturbance, though its time may have passed before (VERSION).
func TestDisturbanceDatesNoUnknownVersion(t *testing.T) {
	testDates(t, func(t *testing.T, g *gomega.WithT, registry *failingRegistry) {
		clock := clockSince(time.Now(), time.Hour)
		// A first read of another epoch takes disturbances back.
		registry.change(func() { registry.epoch = 0 })
		registry.setFail(refuse)
		_, versions := startDated(t, registry, clock)
		time.Sleep(2 * time.Second)
		registry.setFail(nil)
		time.Sleep(time.Second)
		g.Expect(versions.date(t, 1)).To(gomega.Equal(catalog.UnknownTime))
	})
}
