package ingress

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// stallAfter is the silence of a server that has begun an answer, on all requests
	// that it has, from which it counts as frozen or cut off. An engine sends the events
	// of what it runs several times a second.
	stallAfter = 1200 * time.Millisecond
	// stallUnbegun is the same for a server that has begun none: a full engine begins
	// nothing for as long as an answer takes, and then loads weights for 0.6 s.
	stallUnbegun = 2 * time.Second
)

// stalls finds servers that have requests and make no progress on any of them. The
// machine of such a server may stand still: what it was sent would run long after its
// callers have left.
type stalls struct {
	mu      sync.Mutex
	servers map[string]*progress
}

// progress is what a server does with its requests.
type progress struct {
	last     time.Time
	sendings map[*sending]struct{}
}

// sending is a request that is at a server.
type sending struct {
	server string
	cancel context.CancelFunc
	// repeatable is set when the request may be taken back and sent elsewhere.
	repeatable bool
	// begun is set once a part of the answer has come.
	begun bool
}

func newStalls() *stalls { return &stalls{servers: map[string]*progress{}} }

// begin adds a sending. A server that was idle begins anew.
func (s *stalls) begin(now time.Time, added *sending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.servers[added.server]
	if known == nil {
		known = &progress{last: now, sendings: map[*sending]struct{}{}}
		s.servers[added.server] = known
	}
	known.sendings[added] = struct{}{}
}

// note takes a sign of progress on a sending.
func (s *stalls) note(now time.Time, noted *sending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	noted.begun = true
	if known := s.servers[noted.server]; known != nil {
		known.last = now
	}
}

// end removes a sending.
func (s *stalls) end(ended *sending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.servers[ended.server]
	if known == nil {
		return
	}
	delete(known.sendings, ended)
	if len(known.sendings) == 0 {
		delete(s.servers, ended.server)
	}
}

// stalled returns the servers without progress and the sendings to take back.
func (s *stalls) stalled(now time.Time) (servers []string, taken []*sending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, known := range s.servers {
		if now.Sub(known.last) < known.bound() {
			continue
		}
		servers = append(servers, id)
		for one := range known.sendings {
			if one.repeatable {
				taken = append(taken, one)
			}
		}
	}
	return servers, taken
}

// bound is the silence from which the server counts as stalled.
func (p *progress) bound() time.Duration {
	for one := range p.sendings {
		if one.begun {
			return stallAfter
		}
	}
	return stallUnbegun
}

// takeBack ends the sendings at servers that make no progress, so that they go on
// elsewhere.
func (i *Ingress) takeBack(now time.Time) {
	servers, taken := i.stalls.stalled(now)
	i.mu.Lock()
	for _, server := range servers {
		i.scheduler.Rest(now, server)
	}
	i.mu.Unlock()
	for _, one := range taken {
		one.cancel()
	}
	if len(taken) > 0 {
		i.requests.write("servers stalled", []zap.Field{zap.Strings("servers", servers), zap.Int("taken-back", len(taken))})
	}
}
