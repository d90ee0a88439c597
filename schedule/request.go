package schedule

import "time"

// Request is a request that needs a backend server.
type Request struct {
	Service string
	// Rank is the urgency, 0 first.
	Rank int
	// Workspace is empty for requests without a key.
	Workspace string
	Arrived   time.Time
	// Target is the time by which the answer should begin, counted from the caller's
	// first attempt; Deadline that at which the caller stops waiting.
	Target   time.Time
	Deadline time.Time
	// GivesUp is the time at which the caller leaves when no event has come, zero when it
	// waits until the deadline.
	GivesUp time.Time
	// Resumed is set when the caller has a part of the answer.
	Resumed bool
	// Model names the weights that the request runs on, empty for plain services.
	Model string
	// Tokens is the number of tokens that it asks for, 0 when it does not say.
	Tokens int
	// Tried are the servers that the request was sent to before.
	Tried []string
	// Granted receives the server of a request that had to wait.
	Granted func(Grant)

	// order is the rank among waiting requests, place the order within it.
	order   int
	place   uint64
	waiting bool
	// patience is the time until which it makes sense to wait.
	patience time.Time
}

// late tells whether the answer cannot begin in time any more.
func (r *Request) late(now time.Time) bool { return now.After(r.Target) }

// urgent tells whether the request goes before all others of less urgent ranks: one of the
// most urgent rank, or one whose answer has begun and would be cut.
func (r *Request) urgent() bool { return r.Rank == 0 || r.Resumed }

// Grant is the decision on a waiting request: a server, or a refusal.
type Grant struct {
	// Server is empty for a refusal.
	Server string
	// RetryAfter is the time after which a refused request may come back.
	RetryAfter time.Duration
	// Reason says why a request is refused.
	Reason Reason
	// Waited tells whether the request waits; the grant comes by its function.
	Waited bool
}

// Reason says why a request is refused.
type Reason string

// The reasons.
const (
	// NoServer means that no server of the service can take the request.
	NoServer Reason = "no-server"
	// Overloaded means that the expected wait is longer than the request can bear.
	Overloaded Reason = "overloaded"
	// Expired means that the request has waited for too long.
	Expired Reason = "expired"
)
