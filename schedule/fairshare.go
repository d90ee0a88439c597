package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/fairshare"
)

// fairShares holds the fair shares of the workspaces of a service. It is nil unless they are
// switched on.
type fairShares struct {
	shares *fairshare.Shares
	clock  func() time.Duration
	// routeRanks is the number of ranks of routes, 0 if it is not known.
	routeRanks int
	// refused counts the requests that were refused because of the share of their workspace, and held
	// how often a free slot was left to other entries.
	refused, held uint64
}

const (
	// minShareRetryAfter is the shortest delay after which a request may be retried that was refused
	// because of the share of its workspace.
	minShareRetryAfter = 100 * time.Millisecond
	// shareRetryJitter is the upper limit of the random delay that is added, as a share of the delay.
	// It is short, since the workspaces are refused for different times anyway.
	shareRetryJitter = 0.2
)

// shareSwitch decides which services are shared fairly. It is nil until any of its methods is used.
type shareSwitch struct {
	settings FairShareSettings
	// isUneven holds the services whose servers have reported that their speed varies.
	isUneven map[string]bool
}

// FairShareSettings configures the fair shares of workspaces.
type FairShareSettings struct {
	// Weights holds the weights of all workspaces by name. Without any workspace, no service is shared.
	Weights map[string]float64
	// Services holds the services by name.
	Services map[string]*catalog.Service
	// RouteRanks is the number of ranks of routes. The ranks from there on are those of workspaces below
	// the most urgent ones.
	RouteRanks int
	// Clock returns the boot time.
	Clock func() time.Duration
}

// SetFairShareSettings replaces the settings. A service is shared fairly while there are workspaces
// and the speed of its servers varies: they may be cold, or SetSpeedVaries says so.
func (s *Scheduler) SetFairShareSettings(settings FairShareSettings) {
	if s.shareSwitch == nil {
		s.shareSwitch = &shareSwitch{}
	}
	s.shareSwitch.settings = settings
	for name, svc := range s.services {
		if svc.fair != nil {
			svc.fair.shares.SetWeights(settings.Weights)
			svc.fair.routeRanks = settings.RouteRanks
			s.updateFairShares(name)
		}
	}
	for name := range settings.Services {
		s.updateFairShares(name)
	}
}

// SetSpeedVaries sets whether the servers of a service have reported that their speed varies.
func (s *Scheduler) SetSpeedVaries(service string, varies bool) {
	if s.shareSwitch == nil {
		if !varies {
			return
		}
		s.shareSwitch = &shareSwitch{}
	}
	if s.shareSwitch.isUneven[service] == varies {
		return
	}
	if s.shareSwitch.isUneven == nil {
		s.shareSwitch.isUneven = map[string]bool{}
	}
	s.shareSwitch.isUneven[service] = varies
	s.updateFairShares(service)
}

// updateFairShares switches the fair shares of a service on or off.
func (s *Scheduler) updateFairShares(name string) {
	settings := s.shareSwitch.settings
	service := settings.Services[name]
	on := len(settings.Weights) > 0 && service != nil && (service.ColdTime > 0 || s.shareSwitch.isUneven[name])
	switch {
	case on == s.HasFairShares(name):
	case on:
		s.SetFairShares(name, fairshare.New(settings.Weights), settings.Clock)
		s.serviceFor(name).fair.routeRanks = settings.RouteRanks
	default:
		s.SetFairShares(name, nil, nil)
	}
}

// HasFairShares reports whether a service is shared fairly among the workspaces.
func (s *Scheduler) HasFairShares(service string) bool {
	svc := s.services[service]
	return svc != nil && svc.fair != nil
}

// EachFairShares calls a function for each service that is shared fairly, with its shares.
func (s *Scheduler) EachFairShares(call func(service string, shares *fairshare.Shares)) {
	for name, svc := range s.services {
		if svc.fair != nil {
			call(name, svc.fair.shares)
		}
	}
}

// FairShareCounts returns how many requests were refused because of the share of their workspace, and
// how often a free slot was left to other entries, of the services that are shared.
func (s *Scheduler) FairShareCounts() (refused, held uint64) {
	for _, svc := range s.services {
		if svc.fair != nil {
			refused += svc.fair.refused
			held += svc.fair.held
		}
	}
	return refused, held
}

// SetFairShares switches on fair shares of workspaces for a service, or off with nil. The caller
// keeps the shares up to date with the work of the other entries.
func (s *Scheduler) SetFairShares(service string, shares *fairshare.Shares, clock func() time.Duration) {
	svc := s.serviceFor(service)
	svc.fair = nil
	if shares == nil {
		return
	}
	svc.fair = &fairShares{shares: shares, clock: clock}
	for _, request := range svc.queue {
		svc.fair.queue(request)
	}
}

// work returns the cost of a request.
func (r *Request) work() float64 {
	if r.Work > 0 {
		return r.Work
	}
	return 1
}

// isOfLowerWorkspace reports whether a rank is that of workspaces below the most urgent ones.
func (f *fairShares) isOfLowerWorkspace(rank int) bool {
	return f != nil && f.routeRanks > 0 && rank >= f.routeRanks
}

func (f *fairShares) queue(request *Request) {
	if f != nil {
		f.shares.Queue(request.Rank, request.Workspace, request.work())
	}
}

func (f *fairShares) unqueue(request *Request) {
	if f != nil {
		f.shares.Unqueue(request.Rank, request.Workspace, request.work())
	}
}

func (f *fairShares) serve(request *Request) {
	if f != nil {
		f.shares.Serve(f.clock(), request.Rank, request.Workspace, request.work())
	}
}

func (f *fairShares) refuse(request *Request) {
	if f != nil {
		f.shares.Refuse(f.clock(), request.Rank, request.Workspace, request.work())
	}
}

// wait returns the expected wait of a request by the share of its workspace, or otherwise if the
// rank is not overloaded or the request is resumed.
func (f *fairShares) wait(request *Request, otherwise time.Duration) time.Duration {
	if f == nil || request.Resumed {
		return otherwise
	}
	if wait, overloaded := f.shares.Wait(f.clock(), request.Rank, request.Workspace, request.work()); overloaded {
		return wait
	}
	return otherwise
}

// shareRetryAfter is retryAfter for a request that is refused at its arrival, or from the queue with a
// minDelay of 0. If the share of its workspace is in use, the delay is the time until it is free.
func (s *service) shareRetryAfter(now time.Time, request *Request, minDelay time.Duration) time.Duration {
	if s.fair == nil || request.Resumed {
		return s.retryAfter(now, minDelay)
	}
	wait, overloaded := s.fair.shares.Wait(s.fair.clock(), request.Rank, request.Workspace, request.work())
	if !overloaded || wait == 0 {
		return s.retryAfter(now, minDelay)
	}
	s.fair.refused++
	return max(wait, minShareRetryAfter) + time.Duration(shareRetryJitter*rand.Float64()*float64(wait))
}

// freeSlots returns the number of free slots that this entry may use for a request, and that of all
// slots of the servers that it prefers. Those of the other servers are not counted beyond what it may
// send there now: under overload they look free for the age of the counts, and would hide that none is.
func (s *Scheduler) freeSlots(now time.Time, svc *service, request *Request) (free, slots int) {
	version, others := s.requiredVersions[request.Model], 0
	for _, server := range svc.servers {
		if !server.canRun(now, request, version) || server.availability.IsPaused(now) || now.Before(server.suspendedUntil) {
			continue
		}
		capacity := server.capacityFor(now, request, svc)
		if server.preferred {
			free += max(capacity-server.inFlight(), 0)
			slots += capacity
		} else {
			others += max(capacity-server.inFlight(), 0)
		}
	}
	return free + max(min(others, svc.borrowable), 0), slots
}

// selectFair is selectServer for a request that arrives. A request whose workspace is to leave free
// slots to other entries gets none.
func (s *Scheduler) selectFair(now time.Time, svc *service, request *Request) *server {
	if svc.fair != nil && !request.Resumed {
		free, slots := s.freeSlots(now, svc, request)
		if svc.fair.shares.Next(svc.fair.clock(), request.Rank, []string{request.Workspace}, free, slots) < 0 {
			svc.fair.held++
			return nil
		}
	}
	return s.selectServer(now, svc, request)
}

// nextFair returns the request to send next in place of the given one, which is next by its rank: one
// of the same rank whose workspace has got the least work. It returns nil if free slots are to be
// left to other entries.
func (s *Scheduler) nextFair(now time.Time, svc *service, next *Request, skipped map[*Request]bool) *Request {
	if svc.fair == nil || next == nil || next.Resumed {
		return next
	}
	first := map[string]*Request{}
	var workspaces []string
	for _, request := range svc.queue {
		isCandidate := request.queuePriority == next.queuePriority && request.Rank == next.Rank && !request.Resumed && !skipped[request]
		if isCandidate && first[request.Workspace] == nil {
			first[request.Workspace] = request
			workspaces = append(workspaces, request.Workspace)
		}
	}
	free, slots := s.freeSlots(now, svc, next)
	chosen := svc.fair.shares.Next(svc.fair.clock(), next.Rank, workspaces, free, slots)
	if chosen < 0 {
		svc.fair.held++
		return nil
	}
	return first[workspaces[chosen]]
}
