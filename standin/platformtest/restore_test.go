package platformtest_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/platform"
	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
)

// TestRestorationLosesRegistrationOfEntry guards against an entry that loaders and starting entries can't find, since its registration is lost.
func TestRestorationLosesRegistrationOfEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	began := time.Now()
	f := startFleet(t)
	registered := func() []fuchsiarouter.KeyedRecord {
		batch, err := platform.NewRegistry(f.store.Address()).ReadNewest(fuchsiarouter.TopicEntries)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return slices.DeleteFunc(batch.Records, func(record fuchsiarouter.KeyedRecord) bool { return record.Key == "settled-epoch" })
	}
	g.Eventually(registered, waitTimeout).Should(gomega.HaveLen(1))
	f.store.Restore(time.Since(began))
	g.Expect(registered()).To(gomega.BeEmpty())
	f.publishConfiguration(1, "k1", "k2")
	g.Eventually(registered, waitTimeout).Should(gomega.HaveLen(1))
}

// TestKeyRevokedAfterRestoration guards against a configuration at a reused offset that an entry misses (CONFIG).
func TestKeyRevokedAfterRestoration(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	time.Sleep(200 * time.Millisecond)
	backup := time.Now()
	time.Sleep(50 * time.Millisecond)
	f.publishConfiguration(2, "k1", "k2")
	time.Sleep(500 * time.Millisecond)
	f.store.SetUnavailable(true)
	time.Sleep(500 * time.Millisecond)
	f.store.Restore(time.Since(backup))
	f.publishConfiguration(3, "k1")
	f.store.Put(keyedstore.TopicOperator, "version/m", `{"model":"m","version":1}`)
	f.store.SetUnavailable(false)
	g.Eventually(func() int {
		status, _, _, err := f.send("GET", "/stock/", "k2", "")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return status
	}, 3*time.Second).Should(gomega.Equal(401))
}

// TestStartBesideRestoredStore guards against an entry that starts on a backup of the registry, takes its keys for the newest and runs requests with a key that was revoked more than 5 s before (CONFIG).
func TestStartBesideRestoredStore(t *testing.T) {
	for name, hasPeer := range map[string]bool{"another entry is alive": true, "all other entries are gone": false} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := startFleet(t)
			f.client.Transport = &http.Transport{DisableKeepAlives: true}
			status := func(key string) int {
				status, _, _, err := f.send("GET", "/stock/", key, "")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				return status
			}
			time.Sleep(500 * time.Millisecond)
			backup := time.Now()
			time.Sleep(50 * time.Millisecond)
			f.publishConfiguration(2, "k1")
			revoked := time.Now()
			g.Eventually(func() int { return status("k2") }, 2*time.Second).Should(gomega.Equal(401))
			time.Sleep(time.Until(revoked.Add(5 * time.Second)))
			f.store.SetUnavailable(true)
			time.Sleep(500 * time.Millisecond)
			if !hasPeer {
				g.Expect(f.ingress.Drain()).To(gomega.BeTrue())
			}
			f.store.Restore(time.Since(backup))
			if !hasPeer {
				f.store.Put(keyedstore.TopicEntries, "entry."+f.peerAddress, "")
			}
			f.store.SetUnavailable(false)
			f.callerAddress, f.readinessAddress = allocateAddress(), allocateAddress()
			f.newIngress("e2", f.callerAddress, f.readinessAddress, allocateAddress())
			began := time.Now()
			if hasPeer {
				g.Eventually(func() int { return status("k1") }, time.Second).Should(gomega.Equal(200))
			}
			for time.Since(began) < 1500*time.Millisecond {
				g.Expect(status("k2")).NotTo(gomega.Equal(200))
				time.Sleep(20 * time.Millisecond)
			}
			f.publishConfiguration(2, "k1")
			g.Eventually(func() int { return status("k1") }, 5*time.Second).Should(gomega.Equal(200))
			g.Expect(status("k2")).To(gomega.Equal(401))
		})
	}
}

// TestRestartAfterSettledEpoch guards against entries that refuse all keys for some time when a whole deployment starts at once (RECOVER).
func TestRestartAfterSettledEpoch(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.store.Restore(0)
	g.Eventually(func() bool {
		batch, err := platform.NewRegistry(f.store.Address()).ReadNewest(fuchsiarouter.TopicEntries)
		return err == nil && slices.ContainsFunc(batch.Records, func(record fuchsiarouter.KeyedRecord) bool {
			return record.Key == "settled-epoch" && string(record.Value) == `{"settled-epoch":2}`
		})
	}, waitTimeout).Should(gomega.BeTrue())
	g.Expect(f.ingress.Drain()).To(gomega.BeTrue())
	f.callerAddress, f.readinessAddress = allocateAddress(), allocateAddress()
	f.newIngress("e2", f.callerAddress, f.readinessAddress, allocateAddress())
	g.Eventually(f.isReady, time.Second).Should(gomega.BeTrue())
	status, _, _, err := f.send("GET", "/stock/", "k1", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(200))
}
