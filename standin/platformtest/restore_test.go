package platformtest_test

import (
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
		return batch.Records
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
