package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/roster"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newEntry returns an entry whose region has the name of its availability zone.
func newEntry(name, zone string) roster.Entry {
	return roster.Entry{Name: name, PeerAddress: name + ":1", CallerAddress: name + ":2", AvailabilityZone: zone, Region: zone}
}

// report makes an entry known to r with a report at the given time.
func report(r *roster.Roster, now time.Time, entry roster.Entry) (discovered, accepted bool) {
	return r.ReceiveReport(now, &roster.Report{Entry: entry})
}

// callerAddresses returns the addresses for callers of the availability zone a, of all regions.
func callerAddresses(r *roster.Roster, includeOwn bool) []string {
	addresses, _ := r.CallerAddresses(startTime, "", "a", includeOwn)
	return addresses
}

// TestCallersGetLiveEntries checks that callers are not given the address of an entry that
// is silent, leaving or unavailable.
func TestCallersGetLiveEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	r := roster.New(newEntry("own", "a"))
	report(r, startTime, newEntry("live", "a"))
	report(r, startTime.Add(-roster.SilenceTimeout), newEntry("silent", "a"))
	r.Register(startTime, newEntry("registered", "a"))
	leaving := newEntry("leaving", "a")
	leaving.Leaving = true
	report(r, startTime, leaving)
	unavailable := newEntry("unavailable", "a")
	unavailable.Unavailable = true
	report(r, startTime, unavailable)
	g.Expect(callerAddresses(r, true)).To(gomega.Equal([]string{"own:2", "live:2"}))
	g.Expect(callerAddresses(r, false)).To(gomega.Equal([]string{"live:2"}))
}

// TestReportOfOldIncarnation checks that a late report of a process is ignored when a newer
// process has replaced it at the same address.
func TestReportOfOldIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	r := roster.New(newEntry("own", "a"))
	fresh := newEntry("peer", "a")
	fresh.Started = 2
	report(r, startTime, fresh)
	old := newEntry("peer", "a")
	old.Started, old.Leaving = 1, true
	_, accepted := report(r, startTime, old)
	g.Expect(accepted).To(gomega.BeFalse())
	g.Expect(callerAddresses(r, false)).To(gomega.HaveLen(1))
	g.Expect(r.NewlySilent(startTime)).To(gomega.BeEmpty())
	g.Expect(r.NewlySilent(startTime.Add(2 * time.Second))).To(gomega.HaveLen(1))
}

// TestZoneReaders checks that the entries of a zone read the platform's topics through at
// most two of them, and that of these two, the second reads through the first and the first
// through none.
func TestZoneReaders(t *testing.T) {
	g := gomega.NewWithT(t)
	entries := []roster.Entry{newEntry("a", "z"), newEntry("b", "z"), newEntry("c", "z"), newEntry("d", "z"), newEntry("x", "other")}
	entries[2].LinkBytesPerSecond, entries[4].LinkBytesPerSecond = 25e6, 50e6
	readers := map[string][]string{}
	for _, own := range entries {
		r := roster.New(own)
		for _, other := range entries {
			report(r, startTime, other)
		}
		readers[own.Name] = []string{}
		for _, reader := range r.ZoneReaders(startTime) {
			readers[own.Name] = append(readers[own.Name], reader.Name)
		}
	}
	g.Expect(readers).To(gomega.Equal(map[string][]string{
		"a": {"c"}, "b": {"c", "a"}, "c": {}, "d": {"c", "a"}, "x": {},
	}))
}

// TestUnavailableReaders checks that the entries of a zone read through others also while all
// of them are unavailable, as before the platform has a configuration and servers: otherwise
// all of them poll the platform. An available entry does not read through an unavailable one.
func TestUnavailableReaders(t *testing.T) {
	g := gomega.NewWithT(t)
	own, reader := newEntry("b", "z"), newEntry("a", "z")
	reader.Unavailable = true
	for _, ownUnavailable := range []bool{false, true} {
		own.Unavailable = ownUnavailable
		r := roster.New(own)
		r.Register(startTime, reader)
		readers := r.ZoneReaders(startTime)
		if ownUnavailable {
			g.Expect(readers).To(gomega.HaveLen(1))
		} else {
			g.Expect(readers).To(gomega.BeEmpty())
		}
	}
}

// TestStartPeers guards against an entry that starts and asks only entries of its own zone, or too few, for what a restored registry has lost (CONFIG).
func TestStartPeers(t *testing.T) {
	for _, test := range []struct{ local, remote, wantLocal, wantRemote int }{{20, 20, 8, 8}, {3, 20, 3, 13}, {20, 2, 14, 2}, {1, 1, 1, 1}} {
		g := gomega.NewWithT(t)
		r := roster.New(newEntry("own", "a"))
		for index := range test.local {
			r.Register(startTime, newEntry(fmt.Sprint("local", index), "a"))
		}
		for index := range test.remote {
			r.Register(startTime, newEntry(fmt.Sprint("remote", index), "b"))
		}
		counts, names := map[string]int{}, map[string]bool{}
		for _, peer := range r.StartPeers() {
			counts[peer.AvailabilityZone]++
			names[peer.Name] = true
		}
		g.Expect(counts).To(gomega.Equal(map[string]int{"a": test.wantLocal, "b": test.wantRemote}))
		g.Expect(names).To(gomega.HaveLen(test.wantLocal + test.wantRemote))
	}
}
