package roster_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/roster"
)

// TestRecentZones guards against entries that are cut off and may still send requests, but are left out of the number by which others divide what they may send.
func TestRecentZones(t *testing.T) {
	g := gomega.NewWithT(t)
	r := roster.New(newEntry("own", "b"))
	report(r, startTime, newEntry("near", "b"))
	r.Register(startTime, newEntry("registered", "b"))
	report(r, startTime, newEntry("far", "a"))
	r.Register(startTime, newEntry("never heard", "c"))
	zones := func(near, far bool) []roster.RecentZone {
		return []roster.RecentZone{
			{Name: "b", Entries: []string{"own:1", "near:1", "registered:1"}, Live: true},
			{Name: "a", Entries: []string{"far:1"}, Live: far},
			{Name: "c", Entries: []string{"never heard:1"}},
		}
	}
	g.Expect(r.RecentZones(startTime)).To(gomega.Equal(zones(true, true)))
	silent := startTime.Add(90 * time.Second)
	r.NewlySilent(silent)
	g.Expect(r.RecentZones(silent)).To(gomega.Equal(zones(false, false)), "silent for less than two minutes")
	report(r, silent, newEntry("near", "b"))
	later := startTime.Add(3 * time.Minute)
	r.NewlySilent(later)
	g.Expect(r.RecentZones(later)).To(gomega.Equal([]roster.RecentZone{{Name: "b", Entries: []string{"own:1", "near:1"}, Live: true}}))
}
