package roster_test

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/roster"
)

// TestWorkIsKnown guards against work of workspaces that counts twice or not at all, or is older than the scheduler relies on: every entry serves a workspace of its own and one that all share, and knows the work at all others.
func TestWorkIsKnown(t *testing.T) {
	shared := roster.WorkKey("s", "shared")
	for _, size := range []struct{ zones, perZone int }{{1, 2}, {3, 2}, {3, 3}, {3, 20}} {
		g := gomega.NewWithT(t)
		f := newTestFleet(4, size.zones, size.perZone)
		for _, entry := range f.entries {
			entry.work = []roster.WorkCounter{{Key: shared, Rank: 1, Served: 10, Sustained: 9, Refused: 8, Queued: 7}, {Key: roster.WorkKey("s", entry.entry.Name), Served: 5}}
		}
		f.run(settleTime, nil)
		others := len(f.entries) - 1
		for _, entry := range f.entries {
			work := entry.roster.WorkElsewhere(f.now)
			g.Expect(work).NotTo(gomega.BeNil())
			g.Expect(int(work.Entries)).To(gomega.Equal(others))
			g.Expect(work.Counters).To(gomega.HaveLen(others + 1))
			g.Expect(work.Counters).To(gomega.ContainElement(roster.WorkCounter{Key: shared, Rank: 1, Served: uint32(10 * others), Sustained: uint32(9 * others), Refused: uint32(8 * others), Queued: uint32(7 * others)}))
			for _, other := range f.entries {
				counter := roster.WorkCounter{Key: roster.WorkKey("s", other.entry.Name), Served: 5}
				if other == entry {
					g.Expect(work.Counters).NotTo(gomega.ContainElement(counter))
				} else {
					g.Expect(work.Counters).To(gomega.ContainElement(counter))
				}
			}
		}
		// Package fairshare believes counters of up to 450 ms.
		var oldest uint32
		f.run(3*time.Second, func() {
			for _, entry := range f.entries {
				oldest = max(oldest, entry.roster.WorkElsewhere(f.now).AgeInMilliseconds)
			}
		})
		g.Expect(oldest).To(gomega.BeNumerically("<=", 450), "%v", size)
		t.Logf("%v: counters at most %d ms old", size, oldest)
	}
}

// TestNoWorkWithoutCounters guards against bytes and allocations for the work of workspaces where no entry measures it.
func TestNoWorkWithoutCounters(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(4, 2, 3)
	f.run(settleTime, nil)
	for _, entry := range f.entries {
		g.Expect(entry.roster.WorkElsewhere(f.now)).To(gomega.BeNil())
		g.Expect(entry.roster.NewReport(f.now).Work).To(gomega.BeNil())
		g.Expect(entry.roster.ZoneDigest(f.now, false).Work).To(gomega.BeNil())
	}
}

// TestWorkOfSilentEntryEnds guards against the work of an entry that counts for long after it has died or was cut off.
func TestWorkOfSilentEntryEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(4, 3, 3)
	for _, entry := range f.entries {
		entry.work = []roster.WorkCounter{{Key: roster.WorkKey("s", entry.entry.Name), Served: 5}}
	}
	f.run(settleTime, nil)
	down := f.entries[len(f.entries)-1]
	down.down = true
	f.run(2500*time.Millisecond, nil)
	for _, entry := range f.entries[:len(f.entries)-1] {
		work := entry.roster.WorkElsewhere(f.now)
		g.Expect(int(work.Entries)).To(gomega.Equal(len(f.entries) - 2))
		g.Expect(work.Counters).To(gomega.HaveLen(len(f.entries) - 2))
	}
}

// TestWorkAndEarlierReleases guards against messages that daemons without counters reject, and against entries that take the silence of such a daemon for work.
func TestWorkAndEarlierReleases(t *testing.T) {
	g := gomega.NewWithT(t)
	entry := newEntry("sender", "a")
	message := roster.Message{Report: &roster.Report{Entry: entry, Load: map[uint32]int{1: 2}, Work: &roster.Work{Entries: 1, Counters: []roster.WorkCounter{{Key: 1, Served: 2}}}}}
	encoded, err := message.Encode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var earlier struct {
		Report *struct {
			Entry roster.Entry   `cbor:"1,keyasint"`
			Load  map[uint32]int `cbor:"3,keyasint,omitempty"`
		} `cbor:"1,keyasint,omitempty"`
	}
	g.Expect(cbor.Unmarshal(encoded, &earlier)).To(gomega.Succeed())
	g.Expect(earlier.Report.Load).To(gomega.Equal(map[uint32]int{1: 2}))
	f := newTestFleet(4, 2, 4)
	for _, entry := range f.entries[1:] {
		entry.work = []roster.WorkCounter{{Key: 1, Served: 5}}
	}
	f.run(settleTime, nil)
	for i, entry := range f.entries {
		expected := len(f.entries) - 2
		if i == 0 {
			expected++
		}
		work := entry.roster.WorkElsewhere(f.now)
		g.Expect(int(work.Entries)).To(gomega.Equal(expected))
		g.Expect(work.Counters).To(gomega.Equal([]roster.WorkCounter{{Key: 1, Served: uint32(5 * expected)}}))
	}
}

// TestWorkIsBounded guards against messages that grow with the number of workspaces, against sums that overflow, and against a datagram that other work than that of the heaviest workspaces fills.
func TestWorkIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(4, 1, 3)
	for i, entry := range f.entries {
		for k := range 100 {
			entry.work = append(entry.work, roster.WorkCounter{Key: uint32(math.MaxUint32 - 1000*i - k), Rank: 9, Served: 70000, Sustained: 70000, Refused: 70000, Queued: 70000})
		}
		entry.work = append(entry.work, roster.WorkCounter{Key: 1, Served: math.MaxUint32, Sustained: math.MaxUint32})
	}
	f.run(settleTime, nil)
	// The first entry is the first relay.
	digest := f.entries[0].roster.ZoneDigest(f.now, false)
	g.Expect(len(digest.Work.Counters)).To(gomega.Equal(roster.MaxWorkCounters))
	g.Expect(digest.Work.Counters[0]).To(gomega.Equal(roster.WorkCounter{Key: 1, Served: math.MaxUint32, Sustained: math.MaxUint32}))
	message := roster.Message{Digest: &digest}
	encoded, err := message.Encode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(encoded)).To(gomega.BeNumerically("<", 6000))
}
