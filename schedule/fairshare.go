package schedule

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/fairshare"
)

// fairShares holds the fair shares of the workspaces of a service. It is nil unless they are
// switched on.
type fairShares struct {
	shares *fairshare.Shares
	clock  func() time.Duration
}

// SetFairShares switches on fair shares of workspaces for a service, or off with nil. The caller
// keeps the shares up to date with the work of the other entries.
func (s *Scheduler) SetFairShares(service string, shares *fairshare.Shares, clock func() time.Duration) {
	svc := s.serviceFor(service)
	svc.fair = nil
	if shares == nil {
		return
	}
	svc.fair = &fairShares{shares, clock}
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

// freeSlots returns the number of free slots of the servers of a service that take requests, and
// that of all their slots.
func (s *service) freeSlots(now time.Time) (free, slots int) {
	for _, server := range s.servers {
		if !server.isLeaving() && !server.replaced && !server.availability.IsPaused(now) && !now.Before(server.suspendedUntil) {
			free += max(server.Slots-server.inFlight(), 0)
			slots += server.Slots
		}
	}
	return free, slots
}

// selectFair is selectServer for a request that arrives. A request whose workspace is to leave free
// slots to other entries gets none.
func (s *Scheduler) selectFair(now time.Time, svc *service, request *Request) *server {
	if svc.fair != nil && !request.Resumed {
		free, slots := svc.freeSlots(now)
		if svc.fair.shares.Next(svc.fair.clock(), request.Rank, []string{request.Workspace}, free, slots) < 0 {
			return nil
		}
	}
	return s.selectServer(now, svc, request)
}

// nextFair returns the request to send next in place of the given one, which is next by its rank: one
// of the same rank whose workspace has got the least work. It returns nil if free slots are to be
// left to other entries.
func (s *service) nextFair(now time.Time, next *Request, skipped map[*Request]bool) *Request {
	if s.fair == nil || next == nil || next.Resumed {
		return next
	}
	first := map[string]*Request{}
	var workspaces []string
	for _, request := range s.queue {
		isCandidate := request.queuePriority == next.queuePriority && request.Rank == next.Rank && !request.Resumed && !skipped[request]
		if isCandidate && first[request.Workspace] == nil {
			first[request.Workspace] = request
			workspaces = append(workspaces, request.Workspace)
		}
	}
	free, slots := s.freeSlots(now)
	chosen := s.fair.shares.Next(s.fair.clock(), next.Rank, workspaces, free, slots)
	if chosen < 0 {
		return nil
	}
	return first[workspaces[chosen]]
}
