package schedule

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
)

// Request is a caller's request that an entry submits to its scheduler. The same Request
// is submitted again for each further attempt.
type Request struct {
	// Service is the name of the service whose servers can run the request.
	Service string
	// Rank is the priority rank; 0 is the most urgent.
	Rank int
	// Workspace is the name of the workspace whose API key the request carries, empty
	// without a key. The scheduler uses it for fair shares only.
	Workspace string
	// Work is the cost of the request for the fair shares, usually in seconds of engine time. A
	// value that is not positive counts as 1.
	Work float64
	// Arrived is the time at which the request arrived at the entry.
	Arrived time.Time
	// FirstEventTarget is the time by which the response should begin. If the caller has
	// sent the request before, the target is that of its first attempt.
	FirstEventTarget time.Time
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// AbandonAt is the time at which the caller disconnects if it has received no event
	// of the response by then or, for a resumed request, no further event. It is zero if
	// the caller waits until the deadline.
	AbandonAt time.Time
	// Resumed is set when the caller already has a part of the response and its server was
	// lost, so that another server is to continue the response.
	Resumed bool
	// Model is the model that the request runs on, empty for services without a model.
	Model string
	// OutputTokens is the maximum number of tokens that the request asks the model to
	// generate, 0 if unspecified.
	OutputTokens int
	// PromptTokens is the number of tokens of the prompt, 0 if unspecified.
	PromptTokens int
	// GapTarget is the target for the longest pause between the events of the response, 0
	// without one.
	GapTarget time.Duration
	// AllowedRegions are the regions in which the request may be served. Nil allows all.
	AllowedRegions catalog.RegionSet
	// TriedServers are the IDs of the servers that the request was already sent to.
	TriedServers []string
	// OnDecision is called with the final decision on a queued request, unless the request
	// is cancelled. It must not block or call the scheduler.
	OnDecision func(Decision)

	// queuePriority is the place of the request in the queue; 0 goes first. It is the
	// rank, but 0 for a resumed request and lateRankPenalty more for one that has missed
	// its target. sequence orders the requests of one priority by the time of queueing.
	queuePriority int
	sequence      uint64
	// late is set if the request had missed its target when it was submitted.
	late bool
	// queued is set while the request is in the queue.
	queued bool
	// queueDeadline is the time until which the request may be queued; after it, the
	// request is refused as Expired. rankState.queueDeadline gives the time for a request
	// that can still meet its target. For one that has missed it, maxLateWait bounds the
	// time in the queue, and a resumed one may be queued until its deadline. The time is
	// never so late that the response is expected to begin after AbandonAt.
	queueDeadline time.Time
}

// missedTarget reports whether the time by which the response should begin has passed.
func (r *Request) missedTarget(now time.Time) bool { return now.After(r.FirstEventTarget) }

// isLate reports whether the response is worth less than those of requests that can still
// meet their target. A response that has begun is worth as much as they are.
func (r *Request) isLate() bool { return r.late && !r.Resumed }

// isTopPriority reports whether the request may use the capacity that is reserved for the
// most urgent rank: it has this rank, or its response has begun and would be cut off.
func (r *Request) isTopPriority() bool { return r.Rank == 0 || r.Resumed }

// Decision is the result of scheduling a request: a server for it, a place in the queue,
// or a refusal.
type Decision struct {
	// Server is the ID of the selected server, empty for a refusal or a queued request.
	Server string
	// RetryAfter is the delay after which the caller may retry a refused request.
	RetryAfter time.Duration
	// Reason says why a request is refused, empty if it is not.
	Reason RefusalReason
	// Queued is set when the request was queued; its final decision is delivered to
	// OnDecision.
	Queued bool
}

// RefusalReason says why a request is refused.
type RefusalReason string

// Reasons for refusing a request.
const (
	// NoServer means that no server of the service can run the request, even when idle:
	// each one is leaving, was replaced, has been tried or holds no version of the model on which
	// the request may begin.
	NoServer RefusalReason = "no-server"
	// RegionUnavailable is NoServer for a request that may be served only in some regions: no server
	// there can run it.
	RegionUnavailable RefusalReason = "region-unavailable"
	// Paused means that each server that could run the request has asked for a pause, which ends
	// too late for the request.
	Paused RefusalReason = "servers-paused"
	// Overloaded means that the request was not queued because it is expected to be still
	// queued at its queue deadline.
	Overloaded RefusalReason = "overloaded"
	// Expired means that the request was still queued at its queue deadline.
	Expired RefusalReason = "expired"
)
