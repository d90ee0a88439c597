package schedule

import "time"

// NewInRegions is New for an entry that knows the region of each availability zone. A server in
// another zone runs only requests that may be served everywhere.
func NewInRegions(zone string, regions map[string]string, keyOf func(id string) uint32) *Scheduler {
	s := New(zone, keyOf)
	s.regions = regions
	return s
}

// locate sets what follows from the availability zone of a server.
func (s *Scheduler) locate(server *server) {
	server.region = s.regions[server.AvailabilityZone]
	server.evacuated = s.evacuatedZones[server.AvailabilityZone]
}

// AllowsZone reports whether a request may be sent to servers of an availability zone.
func (s *Scheduler) AllowsZone(request *Request, zone string) bool {
	return !s.evacuatedZones[zone] && request.AllowedRegions.Allows(s.regions[zone])
}

// isRestricted reports whether the request may be served only in some regions.
func (r *Request) isRestricted() bool { return r.AllowedRegions != nil }

// noServerReason returns the reason for refusing the request when no server can run it.
func (r *Request) noServerReason() RefusalReason {
	if r.isRestricted() {
		return RegionUnavailable
	}
	return NoServer
}

// waitInRegions returns the expected wait of a request, given the one in all regions. The servers in
// the allowed regions complete their share of the requests of the service, by their slots. Requests
// ahead that may be served everywhere use the other servers as well, but restricted ones, which are
// taken to have the same regions, and the request itself wait for that share.
func (s *service) waitInRegions(request *Request, wait time.Duration) time.Duration {
	if !request.isRestricted() {
		return wait
	}
	slots, allowedSlots := 0, 0
	for _, candidate := range s.servers {
		if candidate.isLeaving() || candidate.replaced || candidate.evacuated {
			continue
		}
		slots += max(candidate.Slots, 1)
		if request.AllowedRegions.Allows(candidate.region) {
			allowedSlots += max(candidate.Slots, 1)
		}
	}
	if allowedSlots == 0 {
		return wait
	}
	ahead, restricted := 1, 1
	for _, waiting := range s.queue {
		if waiting.queuePriority == request.queuePriority {
			ahead++
			if waiting.isRestricted() {
				restricted++
			}
		}
	}
	factor := float64(restricted) / float64(ahead) * (float64(slots)/float64(allowedSlots) - 1)
	return wait + time.Duration(float64(wait)*factor)
}
