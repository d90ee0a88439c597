package cold

import (
	"slices"
	"time"
)

// Reason says why a server is taken for cold.
type Reason string

// The reasons.
const (
	// Registered means that its registration says so.
	Registered Reason = "registration"
	// Responded means that a response of the server says so.
	Responded Reason = "response"
	// FirstSeen means that its registration was not known before and that no later one says
	// otherwise.
	FirstSeen Reason = "first-seen"
	// ZoneReturned means that its availability zone has returned to service.
	ZoneReturned Reason = "zone-returned"
)

// Event is a change of a server that an operator may want to see.
type Event struct {
	Server string
	// Cold is set if the server is taken for cold from now on, for the time For and with the
	// Share of this entry. Otherwise its slow start has ended.
	Cold   bool
	Reason Reason
	For    time.Duration
	Share  int
}

// Registration is what the registration of a server says.
type Registration struct {
	// Sequence increases with each registration of an incarnation.
	Sequence int64
	// ColdFor is how much longer the server stays cold, 0 if it is not cold.
	ColdFor time.Duration
	// Age is the time since the start of the server, negative if it is not known.
	Age time.Duration
}

// Server is the state of one incarnation of a backend server.
type Server struct {
	id, zone string
	service  Service

	// coldUntil is the end of the cold period, and signAt the time of the last sign of coldness
	// other than the first appearance. limited is set until the slow start has ended, fromStart
	// while the first appearance is the only sign.
	coldUntil time.Duration
	signAt    time.Duration
	limited   bool
	fromStart bool
	// sequence is the highest sequence number of a registration, coldFor the last ColdFor.
	sequence int64
	coldFor  time.Duration

	// reserved are the requests that were selected but not written, sent those that were
	// written.
	reserved, sent window
	// pending are the times at which requests were written whose response has not begun,
	// in ascending order.
	pending []time.Duration

	shareGeneration uint64
	cachedShare     int
}

// Add returns the state of a server that was not known before, or nil if its service has no cold
// servers. The servers that are added until startTime after the first call of ServersKnown are those
// that the entry finds at its start.
func (l *Limiter) Add(now time.Duration, id, service, zone string, registration Registration) *Server {
	settings := l.services[service]
	if !settings.IsLimited() {
		return nil
	}
	server := &Server{id: id, zone: zone, service: settings, sequence: registration.Sequence, coldFor: registration.ColdFor}
	isOld := registration.Sequence > startSequence || registration.Age > settings.Time
	switch {
	case registration.ColdFor > 0:
		l.mark(now, server, registration.ColdFor, Registered)
	case l.startUntil > 0 && now >= l.startUntil || !isOld:
		l.mark(now, server, settings.Time, FirstSeen)
		server.fromStart = server.limited
	}
	return server
}

// AddAgain applies the registration of a server that was removed and has registered again, with
// its state from before.
func (l *Limiter) AddAgain(now time.Duration, server *Server, registration Registration) {
	server.sequence, server.coldFor = registration.Sequence, registration.ColdFor
	if registration.ColdFor > 0 {
		l.mark(now, server, registration.ColdFor, Registered)
		return
	}
	l.mark(now, server, server.service.Time, FirstSeen)
}

// ServersKnown records that the entry knows servers. Those that are added from startTime after the
// first call on are new.
func (l *Limiter) ServersKnown(now time.Duration) {
	if l.startUntil == 0 {
		l.startUntil = now + startTime
	}
}

// SetService replaces the settings of the server's service.
func (l *Limiter) SetService(server *Server, service string) {
	server.service = l.services[service]
	server.shareGeneration = 0
}

// Update applies a registration of a server that is known. A repeated one has no effect.
func (l *Limiter) Update(now time.Duration, server *Server, registration Registration) {
	isLater := registration.Sequence > server.sequence
	changed := registration.Sequence != server.sequence || registration.ColdFor != server.coldFor
	if !changed {
		return
	}
	server.sequence, server.coldFor = max(server.sequence, registration.Sequence), registration.ColdFor
	if registration.ColdFor > 0 {
		l.mark(now, server, registration.ColdFor, Registered)
		return
	}
	isRecent := server.signAt > 0 && now-server.signAt < registrationDelay
	if isLater && server.limited && !isRecent && now < server.coldUntil {
		server.coldUntil = now
	}
}

// MarkCold records that a response of the server says that it stays cold for the given time.
func (l *Limiter) MarkCold(now time.Duration, server *Server, remaining time.Duration) {
	if remaining > 0 {
		l.mark(now, server, remaining, Responded)
		server.signAt = now
	}
}

// MarkZoneReturned records that the server's zone has returned to service. Until a registration
// says otherwise, the server may be cold.
func (l *Limiter) MarkZoneReturned(now time.Duration, server *Server) {
	l.mark(now, server, server.service.Time, ZoneReturned)
	server.signAt = now
}

// mark takes a server for cold for the given time, or longer if it is already. Registrations and
// responses replace the guess of the first appearance.
func (l *Limiter) mark(now time.Duration, server *Server, remaining time.Duration, reason Reason) {
	if remaining <= 0 {
		return
	}
	wasCold := server.limited && now < server.coldUntil
	until := now + min(remaining, MaxTime)
	if !wasCold || until > server.coldUntil || server.fromStart {
		server.coldUntil = until
	}
	server.limited, server.fromStart = true, false
	if !wasCold {
		l.addEvent(Event{Server: server.id, Cold: true, Reason: reason, For: remaining, Share: l.share(server)})
	}
}

// maxEvents bounds the events that are kept until they are taken.
const maxEvents = 64

func (l *Limiter) addEvent(event Event) {
	if len(l.events) < maxEvents {
		l.events = append(l.events, event)
	}
}

// TakeEvents returns the events since the last call.
func (l *Limiter) TakeEvents() []Event {
	events := l.events
	l.events = nil
	return events
}

// Withheld returns how often a server was left out because of its limit.
func (l *Limiter) Withheld() uint64 { return l.withheld }

// Clone returns a copy that can be changed independently.
func (s *Server) Clone() *Server {
	copied := *s
	copied.pending = slices.Clone(s.pending)
	return &copied
}

// IsLimited reports whether the server is cold or in its slow start, as of the last call of
// Allows. It is false for nil.
func (s *Server) IsLimited() bool { return s != nil && s.limited }

// limit returns the number of requests that this entry may send to a server in a second, or
// false if there is no limit.
func (l *Limiter) limit(now time.Duration, server *Server) (int, bool) {
	if !server.limited {
		return 0, false
	}
	share := 0
	if l.isSettled(now) {
		share = l.share(server)
	}
	step := 0
	if now > server.coldUntil {
		step = int((now - server.coldUntil) / rampStep)
	}
	switch {
	case step >= rampSteps:
		server.limited, server.fromStart = false, false
		l.addEvent(Event{Server: server.id})
		return 0, false
	case step == 0:
		return share, true
	}
	return max(share, 1) << step, true
}

// Allows reports whether this entry may select a server for a request. It counts a refusal.
func (l *Limiter) Allows(now time.Duration, server *Server) bool {
	limit, isLimited := l.limit(now, server)
	if !isLimited || server.used(now) < limit {
		return true
	}
	l.withheld++
	return false
}

// Reserve counts a request for which a server was selected.
func (l *Limiter) Reserve(now time.Duration, server *Server) { server.reserved.add(now) }

// Send counts a request that is about to be written, in place of its reservation. It reports
// false, and counts nothing, if the request must not be written now because other requests were
// written since it was selected, or because this entry was suspended since.
func (l *Limiter) Send(now time.Duration, server *Server) bool {
	server.reserved.removeOldest(now)
	if limit, isLimited := l.limit(now, server); isLimited && server.used(now) >= limit {
		l.withheld++
		return false
	}
	server.sent.add(now)
	server.pending = append(server.pending, now)
	return true
}

// slowResponse is the time from writing a request to its response from which on the request may
// have been held up on its way, so that it arrived later than it was written.
const slowResponse = 500 * time.Millisecond

// End records that the response to a request that was written at the given time has begun, or
// that the request has failed. One that was held up counts anew.
func (l *Limiter) End(now time.Duration, server *Server, sentAt time.Duration) {
	i := slices.Index(server.pending, sentAt)
	if i < 0 {
		return
	}
	server.pending = slices.Delete(server.pending, i, i+1)
	if now-sentAt > slowResponse {
		server.sent.remove(now, sentAt)
		server.sent.add(now)
	}
}

// used returns the requests that may arrive at the server within the same second as one that is
// sent now.
func (s *Server) used(now time.Duration) int {
	used := s.reserved.count(now) + s.sent.count(now)
	for _, sentAt := range s.pending {
		if !s.sent.covers(now, sentAt) {
			used++
		}
	}
	return used
}
