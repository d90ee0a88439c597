package entry

import (
	"sync"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/quota"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

// workspaceLimits enforces the rate limits of workspaces at this entry. The limits are for
// the whole fleet, so each entry enforces a share of them that is proportional to the part
// of the workspace's requests that arrives there.
type workspaceLimits struct {
	mu      sync.Mutex
	limiter *quota.Limiter
	// shares holds this entry's share of the limits, from 0 to 1, by workspace. evenShare
	// is the share for a workspace that has sent no requests to this entry lately: one
	// divided by the number of entries.
	shares    map[string]float64
	evenShare float64
}

// admit counts the request against the limits of its workspace, or refuses the request if
// it exceeds one of them.
func (l *workspaceLimits) admit(r *request, now time.Time) *result.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	share, ok := l.shares[r.Workspace]
	if !ok {
		share = l.evenShare
	}
	if share == 0 {
		// No share has been computed yet.
		share = 1
	}
	return toResultError(l.limiter.Admit(now, r.workspace, r.ExpectedTokens, share))
}

// finish ends a request that admit has admitted: the request no longer counts as in
// progress, and actualTokens replaces its expected tokens in the usage of the workspace.
func (l *workspaceLimits) finish(r *request, actualTokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Done(r.Workspace, actualTokens-r.ExpectedTokens)
}

// demands returns the requests per second of each workspace at this entry.
func (l *workspaceLimits) demands(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	demands := map[string]float64{}
	for _, demand := range l.limiter.Demands(now) {
		demands[demand.Workspace] = demand.PerSecond
	}
	return demands
}

// updateShares computes this entry's share of the limits of each workspace from its own
// demand and that which the other entries report.
func (l *workspaceLimits) updateShares(now time.Time, others []fuchsiarouter.Member) {
	own := l.demands(now)
	shares := make(map[string]float64, len(own))
	for workspace, demand := range own {
		demands := []float64{demand}
		for _, other := range others {
			demands = append(demands, other.WorkspaceDemands[workspace])
		}
		shares[workspace] = quota.Shares(demands)[0]
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares, l.evenShare = shares, 1/float64(len(others)+1)
}
