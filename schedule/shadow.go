package schedule

import (
	"maps"
	"slices"

	"github.com/fuchsiarouter/fuchsiarouter/cold"
)

// shadow returns a copy of the scheduler with the state of one service. Submit and the selection of a
// server on the copy leave the scheduler unchanged. What they only read is shared, so the copy must
// not be used after a further call of the scheduler.
func (s *Scheduler) shadow(name string) *Scheduler {
	copied := *s
	copied.services, copied.servers = map[string]*service{}, map[string]*server{}
	if s.cold != nil {
		copied.cold = &coldState{limiter: s.cold.limiter.Clone(), clock: s.cold.clock}
	}
	original := s.services[name]
	if original == nil {
		return &copied
	}
	svc := *original
	svc.queue = slices.Clone(original.queue)
	svc.ranks = make(map[int]*rankState, len(original.ranks))
	for rank, state := range original.ranks {
		state := *state
		svc.ranks[rank] = &state
	}
	svc.engine.local, svc.engine.remote = nil, nil
	if original.fair != nil {
		fair := *original.fair
		fair.shares = fair.shares.Clone()
		svc.fair = &fair
	}
	svc.servers = make([]*server, 0, len(original.servers))
	for _, each := range original.servers {
		each := *each
		each.work = each.work.Clone()
		each.cold = cloneCold(each.cold)
		svc.servers = append(svc.servers, &each)
		copied.servers[each.ID] = &each
	}
	copied.services[name] = &svc
	copied.requiredVersions = maps.Clone(s.requiredVersions)
	return &copied
}

func cloneCold(server *cold.Server) *cold.Server {
	if server == nil {
		return nil
	}
	return server.Clone()
}
