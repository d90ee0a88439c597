package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/fleet"
)

// evictionsInPartition simulates an hour in which one of three regions is cut off
// from the others, in a fleet in which every member sends its heartbeats to every
// entry and one heartbeat in a hundred is lost. Afterwards the members reconnect
// within twenty seconds. It returns how often an entry on either side declared a
// member dead, although all members are live. With withoutGuard set, the entries
// run without the mass-silence guard, which keeps silent members while most of
// their failure domain, such as their region, is silent.
func evictionsInPartition(withoutGuard bool) int {
	random := rand.New(rand.NewPCG(1, 1))
	var members []fuchsiarouter.Member
	for index := range 90 {
		region := fmt.Sprint("region-", index%3)
		members = append(members, fuchsiarouter.Member{
			ID: fmt.Sprint("agent-", index), Kind: fuchsiarouter.KindAgent, Incarnation: 1, Region: region, AvailabilityZone: region + "-a",
		})
	}
	views := []*fleet.View{fleet.New(fleet.Settings{DisableGuard: withoutGuard}), fleet.New(fleet.Settings{DisableGuard: withoutGuard})}
	start := time.Unix(1_800_000_000, 0)
	evicted := 0
	for second := range 3700 {
		now := start.Add(time.Duration(second) * time.Second)
		for index, member := range members {
			for side, view := range views {
				// The first view is in the region that is cut off.
				isAcrossCut := (index%3 == 0) != (side == 0)
				reconnectSecond := 3610 + index%20
				if isAcrossCut && second >= 10 && second < reconnectSecond || random.IntN(100) == 0 {
					continue
				}
				view.RecordHeartbeat(now, member)
			}
		}
		for _, view := range views {
			for _, event := range view.Tick(now) {
				if event.To == fleet.StatusDead {
					evicted++
				}
			}
		}
	}
	return evicted
}
