package schedule

import (
	"maps"
	"slices"
	"time"
)

// SetEvacuatedZones replaces the set of the availability zones whose servers get no requests.
// Requests in progress there go on. Queued requests are assigned to servers elsewhere as far as these
// have capacity, and refused if no server can run them.
func (s *Scheduler) SetEvacuatedZones(now time.Time, zones map[string]bool) {
	if maps.Equal(zones, s.evacuatedZones) {
		return
	}
	for zone := range s.evacuatedZones {
		if !zones[zone] {
			// Its servers may have become cold while they got no requests.
			s.MarkZoneReturned(now, zone)
		}
	}
	s.evacuatedZones = zones
	for _, server := range s.servers {
		s.locate(server)
	}
	for _, svc := range s.services {
		s.assignPreferredServers(svc)
		s.renewBorrowable(now, svc)
		s.dispatchQueued(now, svc)
		s.refuseQueued(now, svc, func(*Request) bool { return true })
	}
}

// preferenceFilter returns the servers of a service that are distributed among the entries of the
// own availability zone: those of the zone or, if all of them are evacuated, those of the other zones.
func (s *Scheduler) preferenceFilter(svc *service) func(*server) bool {
	inZone := func(server *server) bool { return server.AvailabilityZone == s.zone }
	if s.evacuatedZones[s.zone] && slices.ContainsFunc(svc.servers, inZone) {
		return func(server *server) bool { return !server.evacuated }
	}
	return inZone
}
