package schedule

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/availability"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/cold"
)

// ColdSettings configures how a scheduler limits the requests to cold servers.
type ColdSettings struct {
	// Entry is the address of this entry for other daemons.
	Entry string
	Bound cold.Bound
	// Clock returns the boot time.
	Clock func() time.Duration
}

// coldState holds the limiter of the requests to cold servers. It is nil unless a service has cold
// servers.
type coldState struct {
	limiter *cold.Limiter
	clock   func() time.Duration
	// removed holds the states of servers whose registration was removed a short time ago. What
	// was sent to them still counts if they register again.
	removed map[availability.Server]removedServer
}

// removedServer is the state of a server whose registration was removed at the boot time at.
type removedServer struct {
	state *cold.Server
	at    time.Duration
}

// removedServerTTL exceeds the time for which a request can be in flight that counts for the limit.
const removedServerTTL = 10 * time.Second

// SetColdServices sets the services whose servers may be cold, by name. Without any, servers are
// not limited.
func (s *Scheduler) SetColdServices(now time.Time, settings ColdSettings, services map[string]*catalog.Service) {
	var limited map[string]cold.Service
	for name, service := range services {
		if service.ColdRate > 0 {
			if limited == nil {
				limited = map[string]cold.Service{}
			}
			limited[name] = cold.Service{Time: service.ColdTime, Rate: service.ColdRate}
		}
	}
	if limited == nil && s.cold == nil {
		return
	}
	if s.cold == nil {
		s.cold = &coldState{limiter: cold.New(settings.Entry, s.zone, settings.Bound), clock: settings.Clock, removed: map[availability.Server]removedServer{}}
	}
	if !s.cold.limiter.SetServices(limited) {
		return
	}
	for _, server := range s.servers {
		switch {
		case !s.cold.limiter.Service(server.Service).IsLimited():
			server.cold = nil
		case server.cold != nil:
			s.cold.limiter.SetService(server.cold, server.Service)
		default:
			s.trackCold(now, server)
		}
	}
	s.noteColdServers()
}

// LimitsCold reports whether a service has cold servers.
func (s *Scheduler) LimitsCold() bool { return s.cold != nil }

// SetColdView sets what this entry knows of all entries, from which its share follows.
func (s *Scheduler) SetColdView(view cold.View) {
	if s.cold != nil {
		s.cold.limiter.SetView(s.cold.clock(), view)
	}
}

// trackCold applies the registration of a server to its cold state.
func (s *Scheduler) trackCold(now time.Time, server *server) {
	if s.cold == nil {
		return
	}
	registration := cold.Registration{Sequence: server.Sequence, ColdFor: server.ColdFor, Age: -1}
	if server.Started > 0 {
		registration.Age = max(time.Duration(now.UnixMilli()-server.Started)*time.Millisecond, 0)
	}
	if server.cold != nil {
		s.cold.limiter.Update(s.cold.clock(), server.cold, registration)
		return
	}
	if removed, known := s.cold.removed[server.Incarnation()]; known {
		delete(s.cold.removed, server.Incarnation())
		server.cold = removed.state
		s.cold.limiter.AddAgain(s.cold.clock(), server.cold, registration)
		return
	}
	server.cold = s.cold.limiter.Add(s.cold.clock(), server.ID, server.Service, server.AvailabilityZone, registration)
}

// releaseCold keeps the cold state of a server whose registration was removed.
func (s *Scheduler) releaseCold(server *server) {
	if server.cold == nil {
		return
	}
	now := s.cold.clock()
	for id, removed := range s.cold.removed {
		if now-removed.at > removedServerTTL {
			delete(s.cold.removed, id)
		}
	}
	s.cold.removed[server.Incarnation()] = removedServer{server.cold, now}
}

// findCold returns the cold state of an incarnation, or nil.
func (s *Scheduler) findCold(id availability.Server) *cold.Server {
	if s.cold == nil {
		return nil
	}
	if server := s.servers[id.ID]; server != nil && server.Incarnation() == id {
		return server.cold
	}
	return s.cold.removed[id].state
}

// noteColdServers tells the limiter that servers are known, from which the start of the entry ends.
func (s *Scheduler) noteColdServers() {
	if s.cold != nil && len(s.servers) > 0 {
		s.cold.limiter.ServersKnown(s.cold.clock())
	}
}

// coldAllows reports whether this entry may send a request to the server as far as it is cold.
func (s *Scheduler) coldAllows(server *server) bool {
	return !server.cold.IsLimited() || s.cold.limiter.Allows(s.cold.clock(), server.cold)
}

// reserveCold counts a request for which a server was selected.
func (s *Scheduler) reserveCold(server *server) {
	if server.cold != nil {
		s.cold.limiter.Reserve(s.cold.clock(), server.cold)
	}
}

// Sending is a request that was written to a server which may be cold. The zero value stands for a
// request to any other server.
type Sending struct {
	server *cold.Server
	at     time.Duration
}

// BeginSending reports whether a request for which the server was selected may be written to it
// now. It may not if the server is cold and the requests that were written meanwhile use up the
// limit. EndSending is to be called once the response has begun or the request has failed.
func (s *Scheduler) BeginSending(id availability.Server) (sending Sending, allowed bool) {
	state := s.findCold(id)
	if state == nil {
		return Sending{}, true
	}
	now := s.cold.clock()
	if !s.cold.limiter.Send(now, state) {
		return Sending{}, false
	}
	return Sending{server: state, at: now}, true
}

// EndSending ends what BeginSending has begun.
func (s *Scheduler) EndSending(sending Sending) {
	if sending.server != nil && s.cold != nil {
		s.cold.limiter.End(s.cold.clock(), sending.server, sending.at)
	}
}

// MarkCold records that a response of a server says that it stays cold for the given time.
func (s *Scheduler) MarkCold(id availability.Server, remaining time.Duration) {
	if state := s.findCold(id); state != nil {
		s.cold.limiter.MarkCold(s.cold.clock(), state, remaining)
	}
}

// MarkZoneReturned records that an availability zone has returned to service after an evacuation.
// Its servers may be cold, until their registrations say otherwise.
func (s *Scheduler) MarkZoneReturned(_ time.Time, zone string) {
	if s.cold == nil {
		return
	}
	now := s.cold.clock()
	for _, server := range s.servers {
		if server.cold != nil && server.AvailabilityZone == zone {
			s.cold.limiter.MarkZoneReturned(now, server.cold)
		}
	}
}

// TakeColdEvents returns the changes of cold servers since the last call.
func (s *Scheduler) TakeColdEvents() []cold.Event {
	if s.cold == nil {
		return nil
	}
	return s.cold.limiter.TakeEvents()
}

// ColdWithheld returns how often a cold server was left out because of its limit.
func (s *Scheduler) ColdWithheld() uint64 {
	if s.cold == nil {
		return 0
	}
	return s.cold.limiter.Withheld()
}

// ColdServers returns the number of servers that are cold or in their slow start.
func (s *Scheduler) ColdServers() int {
	count := 0
	for _, server := range s.servers {
		if server.cold.IsLimited() {
			count++
		}
	}
	return count
}
