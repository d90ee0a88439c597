package schedule

import "time"

// Outcome says how sending a request to a server ended.
type Outcome int

// Outcomes of sending a request.
const (
	// Completed means that the server ran the request to its end.
	Completed Outcome = iota
	// Refused means that the server certainly did not run the request.
	Refused
	// Failed means that the connection or the server failed.
	Failed
	// Cancelled means that the request ended for a reason that says nothing about the
	// server, for example because the caller disconnected.
	Cancelled
	// AskedForPause means that the server has asked for a pause instead of running the request.
	AskedForPause
)

// Release removes an in-flight request of this entry from the server with the given ID and
// records how sending the request ended: after Refused or Failed the server is ejected, see
// baseEjection, and Completed resets its counts of consecutive failures and stalls. Queued
// requests are assigned to the capacity that becomes free.
func (s *Scheduler) Release(now time.Time, id, service string, outcome Outcome) {
	svc := s.serviceFor(service)
	if outcome == Completed {
		svc.completionRate.count(now)
	}
	if server := s.servers[id]; server != nil {
		server.localRequests = max(server.localRequests-1, 0)
		switch outcome {
		case Completed:
			server.consecutiveFailures, server.consecutiveStalls = 0, 0
			server.availability.RecordCompleted(now)
		case Refused, Failed:
			ejection := min(baseEjection<<min(server.consecutiveFailures, 4), maxEjection)
			server.suspendedUntil = now.Add(ejection)
			server.consecutiveFailures++
		}
	}
	s.dispatchQueued(now, svc)
}

// SuspendStalled stops sending requests to a server that makes no progress, for
// stallSuspension or longer. It has no effect while the server is already suspended for a
// stall.
func (s *Scheduler) SuspendStalled(now time.Time, id string) {
	server := s.servers[id]
	if server == nil || server.consecutiveStalls > 0 && now.Before(server.suspendedUntil) {
		return
	}
	server.suspendedUntil = now.Add(stallSuspension << min(server.consecutiveStalls, maxStallDoublings))
	server.consecutiveStalls++
}

// ResumeStalled lets a server get requests again that makes progress after SuspendStalled. Queued
// requests are assigned to it as far as it has capacity.
func (s *Scheduler) ResumeStalled(now time.Time, id string) {
	server := s.servers[id]
	if server == nil || server.consecutiveStalls == 0 {
		return
	}
	server.suspendedUntil, server.consecutiveStalls = time.Time{}, 0
	s.dispatchQueued(now, s.serviceFor(server.Service))
}

// MarkReplaced stops sending requests to a server because another incarnation has answered
// at its address. It takes effect until the new incarnation is registered: after a power
// loss the registration of the old one remains for seconds.
func (s *Scheduler) MarkReplaced(id string) {
	if server := s.servers[id]; server != nil {
		server.replaced = true
	}
}
