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

const (
	// keyRevocation is the time after which a revoked key must be refused.
	keyRevocation = 5 * time.Second
	// uptime is what the boot clock shows when a daemon starts.
	uptime = time.Minute

	readyServer    = `{"Service":"s","Address":"127.0.0.1:1","Started":7,"Sequence":1}`
	drainingServer = `{"Service":"s","Address":"127.0.0.1:1","Started":7,"Sequence":2,"Draining":true}`
)

// startBeside starts a daemon that reads the registry and finds the peers at its start.
func startBeside(registry *memoryRegistry, peers ...fuchsiarouter.TopicReader) *mirror.Mirror {
	return startWithSettings(registry, mirror.Settings{
		Clock: clockSince(time.Now(), uptime), RelayWait: 100 * time.Millisecond,
		Peers: func() []fuchsiarouter.TopicReader { return peers },
	}, registry)
}

// changedDeployment starts a daemon, changes everything in the registry, among it a key that
// configuration 2 revokes, and restores the registry from a backup of before 6 s later.
func changedDeployment(t *testing.T) (registry *memoryRegistry, running *mirror.Mirror) {
	registry = newRegistry()
	putAll(t, registry, "config", "1", "m", "1")
	put(t, registry, fuchsiarouter.TopicServers, "drains", readyServer)
	put(t, registry, fuchsiarouter.TopicServers, "left", readyServer)
	running = startBeside(registry)
	time.Sleep(4 * time.Second)
	putAll(t, registry, "config", "2", "m", "2", "evacuate/z", "1")
	put(t, registry, fuchsiarouter.TopicServers, "drains", drainingServer)
	put(t, registry, fuchsiarouter.TopicServers, "left", "")
	time.Sleep(6 * time.Second)
	registry.change(func() { registry.down = true })
	time.Sleep(500 * time.Millisecond)
	registry.restore(fuchsiarouter.TopicOperator, 2)
	registry.change(func() {
		registry.records[fuchsiarouter.TopicServers] = registry.records[fuchsiarouter.TopicServers][:2:2]
		registry.down = false
	})
	return registry, running
}

// TestStartReadsPeerBesideRestoredRegistry guards against a daemon that starts on a backup of the registry and takes its keys, routes, evacuations, versions and servers for the newest although others know better (CONFIG, VERSION, DRAIN).
func TestStartReadsPeerBesideRestoredRegistry(t *testing.T) {
	for name, test := range map[string]struct {
		// startsAfter is the time from the restoration to the start, again whether the registry is
		// restored twice, and down whether it is down at the start.
		startsAfter time.Duration
		again, down bool
	}{
		"peer that has not read since":     {},
		"peer that has read since":         {startsAfter: time.Second},
		"after two restorations":           {startsAfter: time.Second, again: true},
		"while the registry is down":       {startsAfter: time.Second, down: true},
		"the operator has not yet written": {startsAfter: 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				registry, running := changedDeployment(t)
				defer running.Close()
				time.Sleep(test.startsAfter)
				if test.again {
					registry.restore(fuchsiarouter.TopicOperator, 2)
				}
				registry.change(func() { registry.down = test.down })
				m := startBeside(registry, mirrorSource{running})
				defer m.Close()
				for range 100 {
					synctest.Wait()
					g.Expect(m.View().Configuration.Version).To(gomega.Equal(int64(2)))
					g.Expect(m.AcknowledgedAge()).To(gomega.BeNumerically("<", keyRevocation-time.Second))
					g.Expect(m.View().DeclaredVersions["m"].Version).To(gomega.Equal(2))
					g.Expect(m.View().DeclaredVersions["m"].DeclaredAt).To(gomega.BeNumerically("<=", uptime-6*time.Second))
					if test.startsAfter < 6*time.Second {
						g.Expect(m.View().Servers["drains"].Draining).To(gomega.BeTrue())
						g.Expect(m.View().Servers).NotTo(gomega.HaveKey("left"))
						g.Expect(m.View().EvacuatedZones).To(gomega.HaveKey("z"))
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		})
	}
}

// TestStartWithoutPeerBesideRestoredRegistry guards against a daemon that starts on a backup of the registry and uses a key that was revoked since (CONFIG).
func TestStartWithoutPeerBesideRestoredRegistry(t *testing.T) {
	for name, peers := range map[string]func(running, young *mirror.Mirror) []fuchsiarouter.TopicReader{
		"all peers are gone": func(_, _ *mirror.Mirror) []fuchsiarouter.TopicReader { return nil },
		"peers are cut off": func(running, _ *mirror.Mirror) []fuchsiarouter.TopicReader {
			cut := &atomic.Bool{}
			cut.Store(true)
			return []fuchsiarouter.TopicReader{flakySource{mirrorSource{running}, cut}}
		},
		"the peer started a moment before": func(_, young *mirror.Mirror) []fuchsiarouter.TopicReader {
			return []fuchsiarouter.TopicReader{mirrorSource{young}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				registry, running := changedDeployment(t)
				defer running.Close()
				young := startBeside(registry)
				defer young.Close()
				time.Sleep(100 * time.Millisecond)
				m := startBeside(registry, peers(running, young)...)
				defer m.Close()
				time.Sleep(time.Second)
				for range 20 {
					g.Expect(m.View().Configuration.Version).To(gomega.Equal(int64(1)))
					g.Expect(m.AcknowledgedAge()).To(gomega.BeNumerically(">", time.Hour))
					time.Sleep(50 * time.Millisecond)
				}
				putAll(t, registry, "config", "2")
				time.Sleep(time.Second)
				g.Expect(m.View().Configuration.Version).To(gomega.Equal(int64(2)))
				g.Expect(m.AcknowledgedAge()).To(gomega.BeNumerically("<", time.Second))
				g.Expect(m.SettledEpoch()).To(gomega.Equal(int64(2)))
			})
		})
	}
}

// TestReturnBesideRestoredRegistry guards against a daemon that was cut off when a key was revoked and takes the keys of a backup for the newest on its return (CONFIG).
func TestReturnBesideRestoredRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var isCut atomic.Bool
		registry := newRegistry()
		putAll(t, registry, "config", "1")
		m := startWithSettings(registry, mirror.Settings{Clock: clockSince(time.Now(), uptime)}, flakySource{registry, &isCut})
		defer m.Close()
		time.Sleep(4 * time.Second)
		g.Expect(m.AcknowledgedAge()).To(gomega.BeNumerically("<", time.Second))
		isCut.Store(true)
		putAll(t, registry, "config", "2")
		time.Sleep(6 * time.Second)
		registry.restore(fuchsiarouter.TopicOperator, 1)
		isCut.Store(false)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			g.Expect(m.View().Configuration.Version).To(gomega.Equal(int64(1)))
			g.Expect(m.AcknowledgedAge()).To(gomega.BeNumerically(">", keyRevocation))
		}
		putAll(t, registry, "config", "2")
		time.Sleep(2 * time.Second)
		g.Expect(m.AcknowledgedAge()).To(gomega.BeNumerically("<", time.Second))
	})
}

// TestRestartDoesNotWaitInSettledEpoch guards against keys that are refused after each start, or after a short restoration (RECOVER).
func TestRestartDoesNotWaitInSettledEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry, running := changedDeployment(t)
		defer running.Close()
		for range 100 {
			g.Expect(running.AcknowledgedAge()).To(gomega.BeNumerically("<", keyRevocation-time.Second))
			time.Sleep(50 * time.Millisecond)
		}
		m := startBeside(registry)
		defer m.Close()
		m.RecordSettledEpoch(running.SettledEpoch())
		time.Sleep(500 * time.Millisecond)
		g.Expect(m.AcknowledgedAge()).To(gomega.BeNumerically("<", time.Second))
		follower := startFollower(registry, running)
		defer follower.Close()
		time.Sleep(500 * time.Millisecond)
		g.Expect(follower.AcknowledgedAge()).To(gomega.BeNumerically("<", time.Second))
	})
}

// TestFailedReadDelaysSettlement guards against an epoch that counts as settled while the operator can't write (CONFIG).
func TestFailedReadDelaysSettlement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		registry := newRegistry()
		putAll(t, registry, "config", "1")
		m := startBeside(registry)
		defer m.Close()
		time.Sleep(time.Second)
		registry.change(func() { registry.down = true })
		time.Sleep(time.Second)
		registry.change(func() { registry.down = false })
		time.Sleep(2 * time.Second)
		g.Expect(m.SettledEpoch()).To(gomega.BeZero())
		time.Sleep(2 * time.Second)
		g.Expect(m.SettledEpoch()).To(gomega.Equal(int64(1)))
	})
}
