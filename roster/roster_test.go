package roster_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/roster"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entry(name, zone string) roster.Entry {
	return roster.Entry{Name: name, Peers: name + ":1", Callers: name + ":2", AvailabilityZone: zone, Region: zone}
}

// TestCallersGetLiveEntries guards against naming callers an entry that is silent,
// leaving or cannot serve.
func TestCallersGetLiveEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	r := roster.New(entry("own", "a"))
	r.Hear(start, entry("live", "a"))
	silent := start.Add(-roster.HeardWithin)
	r.Hear(silent, entry("silent", "a"))
	leaving := entry("leaving", "a")
	leaving.Leaving = true
	r.Hear(start, leaving)
	unavailable := entry("unavailable", "a")
	unavailable.Unavailable = true
	r.Hear(start, unavailable)
	g.Expect(r.ForCallers(start, true)).To(gomega.Equal([]string{"own:2", "live:2"}))
	g.Expect(r.ForCallers(start, false)).To(gomega.Equal([]string{"live:2"}))
}

// TestSilentEntriesStillGetNews guards against two entries that were cut off from each
// other and never find together again.
func TestSilentEntriesStillGetNews(t *testing.T) {
	g := gomega.NewWithT(t)
	r := roster.New(entry("own", "a"))
	r.Register(start, entry("cut", "b"))
	g.Expect(r.Live(start)).To(gomega.BeEmpty())
	sent := 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(150 * time.Millisecond) {
		sent += len(r.Recipients(now, false))
	}
	g.Expect(sent).To(gomega.BeNumerically("~", 10, 2))
	g.Expect(r.Hear(start.Add(10*time.Second), entry("cut", "b"))).To(gomega.BeTrue())
	g.Expect(r.Live(start.Add(10 * time.Second))).To(gomega.HaveLen(1))
}

// TestOldNewsOfAnIncarnation guards against late news of a process that has been
// replaced at the same address.
func TestOldNewsOfAnIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	r := roster.New(entry("own", "a"))
	fresh := entry("peer", "a")
	fresh.Started = 2
	r.Hear(start, fresh)
	old := entry("peer", "a")
	old.Started, old.Leaving = 1, true
	g.Expect(r.Hear(start, old)).To(gomega.BeFalse())
	g.Expect(r.ForCallers(start, false)).To(gomega.HaveLen(1))
	g.Expect(r.Silent(start, start.Add(2*time.Second))).To(gomega.HaveLen(1))
}

// TestReaders guards against entries that all read the platform's topics by themselves,
// and against a zone whose readers read through each other.
func TestReaders(t *testing.T) {
	g := gomega.NewWithT(t)
	entries := []roster.Entry{entry("a", "z"), entry("b", "z"), entry("c", "z"), entry("d", "z"), entry("x", "other")}
	entries[2].Link, entries[4].Link = 25e6, 50e6
	readers := map[string][]string{}
	for _, own := range entries {
		r := roster.New(own)
		for _, other := range entries {
			r.Hear(start, other)
		}
		readers[own.Name] = []string{}
		for _, reader := range r.Readers(start) {
			readers[own.Name] = append(readers[own.Name], reader.Name)
		}
	}
	g.Expect(readers).To(gomega.Equal(map[string][]string{
		"a": {"c"}, "b": {"c", "a"}, "c": {}, "d": {"c", "a"}, "x": {},
	}))
}
