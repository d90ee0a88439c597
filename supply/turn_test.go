package supply_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/supply"
)

// TestLoadTurnWithoutEvacuatedEngines guards against engines that wait with their load for those of an
// evacuated zone, which run no requests, and against engines there that wait for the others.
func TestLoadTurnWithoutEvacuatedEngines(t *testing.T) {
	g := gomega.NewWithT(t)
	view := &catalog.View{Servers: map[string]*catalog.Server{}}
	for id, zone := range map[string]string{"a": "z1", "b": "z2", "c": "z1", "d": "z2", "e": "z3"} {
		view.Servers[id] = &catalog.Server{ID: id, Service: "s", Address: id, AvailabilityZone: zone}
	}
	view.Servers["0"] = &catalog.Server{ID: "0", Service: "other", Address: "0", AvailabilityZone: "z2"}
	turns := func() map[string][2]int {
		turns := map[string][2]int{}
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			position, count := supply.LoadTurn(view, "s", id)
			turns[id] = [2]int{position, count}
		}
		return turns
	}
	g.Expect(turns()).To(gomega.Equal(map[string][2]int{"a": {0, 5}, "b": {1, 5}, "c": {2, 5}, "d": {3, 5}, "e": {4, 5}}))
	view = view.WithEvacuatedZones(map[string]bool{"z1": true})
	g.Expect(turns()).To(gomega.Equal(map[string][2]int{"a": {0, 3}, "b": {0, 3}, "c": {0, 3}, "d": {1, 3}, "e": {2, 3}}))
	view = view.WithEvacuatedZones(map[string]bool{"z2": true, "z3": true})
	g.Expect(turns()["e"]).To(gomega.Equal([2]int{0, 0}))
}
