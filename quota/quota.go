// Package quota enforces the limits of the workspaces, which are the tenants, at an entry,
// a daemon that receives the requests of callers. The limits are those of requests and
// tokens per second and of requests in progress.
//
// The limits of a workspace apply to the whole fleet, and each entry enforces a share
// of them. The demand of a workspace at an entry is the rate at which its callers send
// requests there. Shares divides a limit in proportion to the demand that the entries
// report, so that a workspace whose callers all use one entry can use as much as one whose
// callers are spread over all entries. A small part is divided evenly, so that a
// request is admitted at an entry that hasn't reported demand for its workspace yet.
//
// A Limiter doesn't read the clock, start goroutines or lock. Calls must be serialized
// by the caller.
package quota

import (
	"math"
	"sort"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

const (
	// evenShare is the share of a limit that is divided evenly among the entries.
	evenShare = 0.1
	// demandTimeConstant is the time constant of the exponential average of demand.
	// It spans several heartbeats, because shares are computed from the demand that the
	// last heartbeat of each entry carried.
	demandTimeConstant = 5 * time.Second
	// idleTimeout is the time without requests after which the state of a workspace is
	// evicted. By then its buckets are full, unless a limit is so low, or Burst so high,
	// that refilling a bucket takes longer.
	idleTimeout = 10 * time.Minute
	// evictionInterval is the minimum time between two searches for idle workspaces.
	evictionInterval = time.Minute
	// tokenBurstTime is the time in which an empty bucket for the limit of tokens per
	// second is refilled, which determines its capacity. An entry enforces only a
	// fraction of a limit. With a short time, the bucket would hold less than the cost
	// of one request, and a workspace that uses half of its limit would be refused.
	tokenBurstTime = 10 * time.Second
	// minRetryAfter and maxRetryAfter limit the time after which the caller of a
	// request that exceeds a rate is told to retry.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// minReportedDemand is the demand, in requests per second, up to which Demands
	// leaves a workspace out.
	minReportedDemand = 0.01
)

// Limiter tracks the usage of each workspace at one entry and enforces its limits.
type Limiter struct {
	// usages holds the usage by workspace.
	usages map[string]*usage
	// lastEvictionAt is the time at which evictIdle last searched for idle workspaces.
	lastEvictionAt time.Time
}

// Demand is the demand of a workspace at one entry, in requests per second, including the
// requests that were refused.
type Demand struct {
	Workspace string  `json:"workspace"`
	PerSecond float64 `json:"per-second"`
}

// usage holds the buckets, the requests in progress and the demand of one workspace at this
// entry.
type usage struct {
	// requests and tokens are the buckets for the limits of requests and of tokens per
	// second.
	requests bucket
	tokens   bucket
	// inProgress is the number of admitted requests that haven't ended.
	inProgress int
	// demand is the exponential average of the requests per second, whether admitted or
	// not, as of lastRequestAt.
	demand        float64
	lastRequestAt time.Time
}

// bucket is a token bucket for one limit. It is full at its first use, when filledAt is
// zero.
type bucket struct {
	// level is the number of requests, or of model tokens for the limit of tokens per
	// second, that may still be used. It can be negative for model tokens, because a
	// request may cost more than is left.
	level float64
	// filledAt is the time of the last refill.
	filledAt time.Time
}

// New returns a Limiter without any usage.
func New() *Limiter { return &Limiter{usages: map[string]*usage{}} }

// Admit counts a request against the limits of the workspace, or returns an error with the
// time to retry after if the request exceeds one. A refused request counts in the demand of
// the workspace too. cost is the expected cost of the request in tokens. share is this
// entry's share of the limits, from 0 to 1. Done must be called when an admitted request
// ends.
func (l *Limiter) Admit(now time.Time, workspace document.Workspace, cost, share float64) error {
	l.evictIdle(now)
	u := l.usages[workspace.Name]
	if u == nil {
		u = &usage{lastRequestAt: now}
		l.usages[workspace.Name] = u
	}
	u.countRequest(now)
	share = math.Min(math.Max(share, 0), 1)
	if limit := workspace.InProgress; limit > 0 && u.inProgress >= max(int(math.Round(float64(limit)*share)), 1) {
		refusal := result.TooManyInProgress.Error("the workspace has too many requests in progress")
		refusal.RetryAfter = time.Second
		return refusal
	}
	rate := workspace.RequestsPerSecond * share
	if workspace.RequestsPerSecond > 0 {
		burst := math.Max(float64(workspace.Burst)*share, 1)
		if wait := u.requests.refill(now, rate, burst, 1); wait > 0 {
			return rateLimited("the workspace sends too many requests", wait)
		}
	}
	if workspace.TokensPerSecond > 0 {
		// A request is admitted unless the bucket's level is negative, and may make
		// the level negative: a single request can cost more than the bucket's
		// capacity.
		rate := workspace.TokensPerSecond * share
		if wait := u.tokens.refill(now, rate, rate*tokenBurstTime.Seconds(), 0); wait > 0 {
			return rateLimited("the workspace uses too many tokens", wait)
		}
		u.tokens.level -= cost
	}
	if workspace.RequestsPerSecond > 0 {
		u.requests.level--
	}
	u.inProgress++
	return nil
}

// Done records the end of an admitted request. correction is the actual cost of the request
// minus the cost that was passed to Admit, in tokens.
func (l *Limiter) Done(workspace string, correction float64) {
	u := l.usages[workspace]
	if u == nil {
		return
	}
	u.inProgress = max(u.inProgress-1, 0)
	if !u.tokens.filledAt.IsZero() {
		u.tokens.level -= correction
	}
}

// InProgress returns the number of admitted requests of the workspace that are in progress
// at this entry.
func (l *Limiter) InProgress(workspace string) int {
	if u := l.usages[workspace]; u != nil {
		return u.inProgress
	}
	return 0
}

// Demands returns the demand of each workspace at this entry, to be reported to the other
// entries, sorted by workspace. Workspaces with a demand of at most minReportedDemand are
// left out.
func (l *Limiter) Demands(now time.Time) []Demand {
	demands := make([]Demand, 0, len(l.usages))
	for name, u := range l.usages {
		if rate := u.demandRate(now); rate > minReportedDemand {
			demands = append(demands, Demand{Workspace: name, PerSecond: rate})
		}
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].Workspace < demands[j].Workspace })
	return demands
}

// evictIdle removes the state of the workspaces that have no request in progress and have
// sent none for idleTimeout. It does so at most once per evictionInterval.
func (l *Limiter) evictIdle(now time.Time) {
	if now.Sub(l.lastEvictionAt) < evictionInterval {
		return
	}
	l.lastEvictionAt = now
	for name, u := range l.usages {
		if u.inProgress == 0 && now.Sub(u.lastRequestAt) > idleTimeout {
			delete(l.usages, name)
		}
	}
}

// countRequest adds a request at the time now to the exponential average of the demand.
func (u *usage) countRequest(now time.Time) {
	u.demand = u.demandRate(now) + 1/demandTimeConstant.Seconds()
	u.lastRequestAt = now
}

// demandRate returns the demand as of now, in requests per second: the average as of the
// last request, decayed since then.
func (u *usage) demandRate(now time.Time) float64 {
	return u.demand * math.Exp(-math.Max(now.Sub(u.lastRequestAt).Seconds(), 0)/demandTimeConstant.Seconds())
}

// refill refills the bucket up to now and returns the time until its level reaches need, or
// 0 if it has. rate is the amount by which the level grows per second, burst its maximum.
// The returned time is at most maxRetryAfter, also for a rate of 0.
func (b *bucket) refill(now time.Time, rate, burst, need float64) time.Duration {
	if b.filledAt.IsZero() {
		b.level = burst
	} else {
		b.level += rate * math.Max(now.Sub(b.filledAt).Seconds(), 0)
	}
	b.level = math.Min(b.level, burst)
	b.filledAt = now
	switch {
	case b.level > 0 && b.level >= need:
		return 0
	case rate <= 0:
		return maxRetryAfter
	}
	seconds := (need - b.level) / rate
	return time.Duration(math.Min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// rateLimited returns a result.RateLimited error that tells the caller to retry after wait.
func rateLimited(message string, wait time.Duration) error {
	refusal := result.RateLimited.Error(message)
	refusal.RetryAfter = min(max(wait, minRetryAfter), maxRetryAfter)
	return refusal
}

// Shares returns the share of a workspace's limits that each entry enforces, from 0 to 1.
// demands holds the demand of the workspace at each entry, in the same order, in requests
// per second. The shares add up to 1, and are equal if there is no demand.
func Shares(demands []float64) []float64 {
	shares := make([]float64, len(demands))
	total := 0.0
	for _, demand := range demands {
		total += math.Max(demand, 0)
	}
	even := 1 / float64(len(demands))
	for index, demand := range demands {
		shares[index] = even
		if total > 0 {
			shares[index] = evenShare*even + (1-evenShare)*math.Max(demand, 0)/total
		}
	}
	return shares
}
