package serving

import (
	"fmt"
	"sort"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/quarantine"
	"github.com/fuchsiarouter/fuchsiarouter/rank"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

const (
	// crashDelay is the time from the start of a request that crashes its server to the
	// crash.
	crashDelay = 50 * time.Millisecond
	// failureDelay is the time from the start of a request at a failing server to its
	// error.
	failureDelay = 30 * time.Millisecond
	// cachedPrefillShare is the share of the prefill time that a prefix cache hit saves.
	cachedPrefillShare = 0.8
	// expireInterval is the time between two removals of queued requests that can no longer
	// meet their deadline.
	expireInterval = 100 * time.Millisecond
)

// Server is a simulated backend server with its agent.
type Server struct {
	ID string
	// Incarnation counts the starts of the server, from 1.
	Incarnation int64
	// Failing makes the server answer each request with an error once it has a slot.
	Failing bool
	// Slowdown is a factor on the processing times of the engine; values below 1 count
	// as 1.
	Slowdown float64
	// CrashesAgent makes the agent crash with the engine. Entries then learn of the crash
	// only by broken connections and missing heartbeats, and the agent loses its strikes.
	CrashesAgent bool
	// Crashes counts the crashes of the engine.
	Crashes int
	// PrefixHits and PrefixMisses count the lookups in the prefix cache by their result.
	PrefixHits, PrefixMisses int
	// StartedRequests counts how often a request got a slot; a request that is started again
	// after a preemption counts again.
	StartedRequests int

	fleet *Fleet
	queue Queue
	// up is false from a crash to the restart.
	up bool
	// pending holds the queued and running requests by ID, running those in a slot.
	pending    map[string]*pendingRequest
	running    map[string]*execution
	quarantine *quarantine.List
	// prefixes is the prefix cache, the least recently used prefix first.
	prefixes []string
	// busyTime is the total time in slots of the requests that have left them, by rank.
	busyTime map[document.RankName]time.Duration
}

// execution is one uninterrupted use of a slot by a request.
type execution struct {
	pending   *pendingRequest
	startedAt time.Time
	// firstTokenAt is the end of the prefill; zero for a request that fails or crashes the
	// server.
	firstTokenAt time.Time
	// tokenTime is the decode time of one token. It depends on the number of running
	// requests at the start of the execution and does not change afterwards.
	tokenTime time.Duration
	// ended is set when the request loses the slot for any reason. Events scheduled for this
	// execution then have no effect.
	ended bool
}

// remainingStepTime returns the time until the engine's current step ends, since the engine
// stops a cancelled request only between steps. A step takes tokenTime: it decodes one token
// or processes one chunk of the prefill.
func (r *execution) remainingStepTime(now time.Time) time.Duration {
	from := r.firstTokenAt
	if now.Before(from) {
		from = r.startedAt
	}
	return r.tokenTime - now.Sub(from)%r.tokenTime
}

// recordTokens adds the tokens decoded in this execution to those that the caller of the
// interrupted request has received. At least the last token of the output remains.
func (r *execution) recordTokens(now time.Time) {
	request := r.pending.request
	if !r.firstTokenAt.IsZero() && now.After(r.firstTokenAt) {
		request.Tokens = min(request.Tokens+int(now.Sub(r.firstTokenAt)/r.tokenTime), request.Output-1)
	}
}

// receive queues a dispatched request at the agent, or answers with an error if the server is
// down or the quarantine or the queue refuses the request. suspect is set if the entry
// requires that the request runs alone.
func (s *Server) receive(p *pendingRequest, suspect bool) {
	now := s.fleet.Clock.Now
	if !s.up {
		code := result.NotReady
		if s.CrashesAgent {
			code = result.ServerLost
		}
		s.fleet.afterMessageDelay(func() { p.handleFailure(code, true) })
		return
	}
	r := p.request
	// The agent makes the last decision on admission. It keeps its own quarantine strikes,
	// which can be newer than those of the entry.
	if !s.fleet.DisableQuarantine {
		switch s.quarantine.Verdict(now, r.Fingerprint) {
		case quarantine.Refuse:
			s.fleet.afterMessageDelay(func() { p.handleFailure(result.Quarantined, true) })
			return
		case quarantine.Exclusive:
			suspect = true
		}
	}
	item := rank.Item{
		ID: r.ID, Workspace: r.Workspace, Weight: r.Weight, Rank: r.Rank, Cost: r.estimatedCost(s.fleet.TokenTimes),
		Preemptible: true, Exclusive: suspect,
	}
	if r.Patience > 0 {
		item.Deadline = r.Arrival.Add(r.Patience)
	}
	if err := s.queue.Push(now, item); err != nil {
		refusal := (*result.Error)(nil)
		if !errors.As(err, &refusal) {
			refusal = result.Internal.Error(err.Error())
		}
		load := s.queue.Load(now)
		s.fleet.afterMessageDelay(func() { p.observeLoad(load); p.handleFailure(refusal.Code, true) })
		return
	}
	s.pending[r.ID] = p
	s.startQueued()
}

// startQueued starts queued requests while slots are free, and rejects those of them that the
// quarantine refuses by now. It then schedules the preemption of the running requests that the
// queue selects, for the end of their current step.
func (s *Server) startQueued() {
	now := s.fleet.Clock.Now
	for {
		item, ok := s.queue.Next(now)
		if !ok {
			break
		}
		p := s.pending[item.ID]
		if !s.fleet.DisableQuarantine && s.quarantine.Verdict(now, p.request.Fingerprint) == quarantine.Refuse {
			// The strike from which the fingerprint is refused was recorded while the
			// request was queued.
			delete(s.pending, item.ID)
			s.queue.Done(now, item.ID, 0)
			s.fleet.afterMessageDelay(func() { p.handleFailure(result.Quarantined, true) })
			continue
		}
		s.start(p)
	}
	for {
		id, ok := s.queue.Preempt(now)
		if !ok {
			return
		}
		if current := s.running[id]; current != nil {
			s.fleet.Clock.After(current.remainingStepTime(now), func() { s.preempt(current) })
		}
	}
}

// start runs a request in a slot. It schedules the first token and the end of the request,
// or the error or crash with which it ends.
func (s *Server) start(p *pendingRequest) {
	clock, times, r := s.fleet.Clock, s.fleet.TokenTimes, p.request
	current := &execution{pending: p, startedAt: clock.Now}
	s.running[r.ID] = current
	s.quarantine.RecordStart(s.ID, r.Fingerprint)
	s.StartedRequests++
	r.Starts++
	slowdown := max(s.Slowdown, 1)
	current.tokenTime = time.Duration(slowdown * float64(times.Decode+time.Duration(len(s.running)-1)*times.DecodePerConcurrentRequest))
	if r.CrashesServer {
		clock.After(crashDelay, func() {
			if !current.ended {
				s.Crash()
			}
		})
		return
	}
	if s.Failing {
		clock.After(failureDelay, func() {
			if !current.ended {
				s.releaseSlot(current, 1)
				s.fleet.afterMessageDelay(func() { p.handleFailure(result.Internal, false) })
				s.startQueued()
			}
		})
		return
	}
	prefill := slowdown * float64(r.Prompt+r.Tokens) * float64(times.Prefill)
	if s.lookUpPrefix(r.Prefix) {
		prefill *= 1 - cachedPrefillShare
	}
	current.firstTokenAt = clock.Now.Add(time.Duration(prefill))
	clock.At(current.firstTokenAt, func() {
		if !current.ended {
			load := s.queue.Load(clock.Now)
			s.fleet.afterMessageDelay(func() { p.handleFirstToken(load) })
		}
	})
	clock.At(current.firstTokenAt.Add(time.Duration(r.Output-r.Tokens)*current.tokenTime), func() {
		if !current.ended {
			s.releaseSlot(current, clock.Now.Sub(current.startedAt).Seconds()/times.Decode.Seconds())
			s.fleet.afterMessageDelay(p.handleSuccess)
			s.startQueued()
		}
	})
}

// releaseSlot ends an execution and removes its request from the server. cost is the work
// done, in the unit of Request.Work.
func (s *Server) releaseSlot(current *execution, cost float64) {
	r := current.pending.request
	current.ended = true
	delete(s.running, r.ID)
	delete(s.pending, r.ID)
	s.quarantine.RecordEnd(s.ID, r.Fingerprint)
	s.busyTime[r.Rank] += s.fleet.Clock.Now.Sub(current.startedAt)
	s.queue.Done(s.fleet.Clock.Now, r.ID, cost)
}

// preempt ends an execution, unless it has ended meanwhile, and queues the request again for
// its remaining tokens, without its deadline. It then starts queued requests.
func (s *Server) preempt(current *execution) {
	if current.ended {
		return
	}
	now, r := s.fleet.Clock.Now, current.pending.request
	s.releaseSlot(current, now.Sub(current.startedAt).Seconds()/s.fleet.TokenTimes.Decode.Seconds())
	current.recordTokens(now)
	s.pending[r.ID] = current.pending
	if err := s.queue.Push(now, rank.Item{
		ID: r.ID, Workspace: r.Workspace, Weight: r.Weight, Rank: r.Rank, Cost: r.estimatedCost(s.fleet.TokenTimes),
		Preemptible: true, Resumed: true,
	}); err != nil {
		panic(fmt.Sprintf("preempted request not accepted by the queue: %v", err))
	}
	s.startQueued()
}

// expireQueued fails the queued requests that can no longer end before their deadline, and
// starts others in their place.
func (s *Server) expireQueued() {
	for _, item := range s.queue.Expire(s.fleet.Clock.Now) {
		p := s.pending[item.ID]
		delete(s.pending, item.ID)
		s.fleet.afterMessageDelay(func() { p.handleFailure(result.DeadlineUnreachable, true) })
	}
	s.startQueued()
}

// Crash crashes the engine, which loses all queued and running requests and its prefix cache.
// The entries of these requests learn of the crash after a message delay. Unless the agent
// crashes too, it records quarantine strikes for the running requests. The server restarts with
// a new incarnation after Settings.RestartDelay.
func (s *Server) Crash() {
	now := s.fleet.Clock.Now
	s.Crashes++
	s.up = false
	var strikes []fuchsiarouter.Strike
	if !s.CrashesAgent {
		strikes = s.quarantine.RecordCrash(now, s.ID, fmt.Sprintf("%s/%d", s.ID, s.Incarnation))
	}
	ids := make([]string, 0, len(s.pending))
	for id := range s.pending {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		p, ran := s.pending[id], s.running[id]
		if ran != nil {
			ran.ended = true
			ran.recordTokens(now)
			p.request.CrashCount++
			s.busyTime[p.request.Rank] += now.Sub(ran.startedAt)
		}
		s.fleet.afterMessageDelay(func() { p.handleCrash(ran != nil, strikes) })
	}
	s.reset()
	s.fleet.Clock.After(s.fleet.RestartDelay, func() {
		s.Incarnation++
		s.up = true
		if s.CrashesAgent {
			s.quarantine = quarantine.New(quarantine.Settings{})
		}
	})
}

// BusyTime returns the total time for which requests of the rank have held slots so far. The
// times of concurrent requests add up.
func (s *Server) BusyTime(rank document.RankName) time.Duration {
	busy := s.busyTime[rank]
	for _, current := range s.running {
		if current.pending.request.Rank == rank {
			busy += s.fleet.Clock.Now.Sub(current.startedAt)
		}
	}
	return busy
}

// reset replaces the state that a crash of the engine loses by that of a new server.
func (s *Server) reset() {
	s.queue = s.fleet.newQueue()
	s.pending, s.running = map[string]*pendingRequest{}, map[string]*execution{}
	s.prefixes = nil
}

// lookUpPrefix reports whether the prefix is in the prefix cache, and makes it the most
// recently used one. A missing prefix is added, which evicts the least recently used one
// from a full cache, and is reported to the entries. Hits and misses are counted, unless the
// prefix is empty or the cache is disabled.
func (s *Server) lookUpPrefix(prefix string) bool {
	if prefix == "" || s.fleet.PrefixCacheSize == 0 {
		return false
	}
	for index, other := range s.prefixes {
		if other == prefix {
			s.prefixes = append(append(s.prefixes[:index:index], s.prefixes[index+1:]...), prefix)
			s.PrefixHits++
			return true
		}
	}
	s.prefixes = append(s.prefixes, prefix)
	s.prefixes = s.prefixes[max(len(s.prefixes)-s.fleet.PrefixCacheSize, 0):]
	s.PrefixMisses++
	s.fleet.sendCacheEvent(s.ID, prefix)
	return false
}
