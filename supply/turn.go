package supply

import (
	"slices"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
)

// LoadTurn returns the zero-based position of the engine at an address in the order in which the
// engines of its service load, which is the order of their server IDs, and the number of these
// engines. The position is 0 while the engine is not registered. Engines in evacuated availability
// zones get no new requests, so they load first, and the turns of the others leave them out.
func LoadTurn(view *catalog.View, service, engineAddress string) (position, count int) {
	var ids []string
	self := ""
	for id, server := range view.Servers {
		if server.Service != service || view.EvacuatedZones[server.AvailabilityZone] {
			continue
		}
		ids = append(ids, id)
		if server.Address == engineAddress {
			self = id
		}
	}
	slices.Sort(ids)
	return max(slices.Index(ids, self), 0), len(ids)
}
