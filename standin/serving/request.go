package serving

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

// Request is a simulated request of a caller, followed by what happened to it.
type Request struct {
	// ID is unique among the requests of a simulation.
	ID        string
	Workspace string
	// Weight is the weight of the workspace relative to the others in the queue of a rank;
	// see rank.Item.
	Weight float64
	Rank   document.RankName
	// Fingerprint is the same for requests with equal content. The router and the
	// quarantine recognize a request by it.
	Fingerprint string
	// Prefix identifies the start of the prompt that an engine can have in its prefix
	// cache; empty for none.
	Prefix string
	// Prompt and Output are the lengths in tokens.
	Prompt int
	Output int
	// EstimatedOutput is the output length in tokens that the caller announces. Entries and
	// agents only know this length and compute the cost of the request from it.
	EstimatedOutput int
	// Arrival is the time at which the caller sends the request.
	Arrival time.Time
	// Patience is the time from the arrival after which the result is of no use to the
	// caller; 0 means never. The queues of the servers get it as the request's deadline, but
	// the caller does not disconnect.
	Patience time.Duration
	// Entry is the index of the entry that receives the request.
	Entry int
	// CrashesServer is set for a request that crashes each server that runs it.
	CrashesServer bool

	// FirstToken is the time of the first output token at the caller; zero if none came.
	FirstToken time.Time
	// Ended is the time at which the caller received the result; zero while in progress and
	// for a request that the limits of its workspace refused.
	Ended time.Time
	// Result is the result code that the caller received; zero while in progress.
	Result result.Code
	// Dispatches counts how often an entry sent the request to a server, Starts how often a
	// server started it in a slot, which includes the start after a preemption.
	Dispatches int
	Starts     int
	// CrashCount counts the server crashes while the request held a slot.
	CrashCount int
	// Tokens is the number of output tokens that the caller has received. It is updated
	// after a preemption, a crash and the complete response, not with each token.
	Tokens int
	// PausedTime is meant for the time from the loss of a slot to the next token. The
	// simulation does not measure it.
	PausedTime time.Duration
}

// IsServed reports whether the caller has received the complete response.
func (r *Request) IsServed() bool { return r.Result == result.OK && !r.Ended.IsZero() }

// TimeToFirstToken returns the time from the arrival to the first token. It is meaningful
// only if FirstToken is set.
func (r *Request) TimeToFirstToken() time.Duration { return r.FirstToken.Sub(r.Arrival) }

// Latency returns the time from the arrival to the end of the request. It is meaningful
// only if Ended is set.
func (r *Request) Latency() time.Duration { return r.Ended.Sub(r.Arrival) }

// Work returns the work for the whole prompt and the actual output, in units of the decode
// time of one token in an otherwise idle server.
func (r *Request) Work(times TokenTimes) float64 {
	return float64(r.Prompt)*times.Prefill.Seconds()/times.Decode.Seconds() + float64(r.Output)
}

// estimatedCost returns the remaining work according to the announced output length, in the
// unit of Work. The output tokens already received count as a part of the prompt, because a
// resumed request has to prefill them.
func (r *Request) estimatedCost(times TokenTimes) float64 {
	return float64(r.Prompt+r.Tokens)*times.Prefill.Seconds()/times.Decode.Seconds() + float64(max(r.EstimatedOutput-r.Tokens, 1))
}

// TokenTimes are the processing times per token in a slot of a server.
type TokenTimes struct {
	// Prefill is the time for one prompt token.
	Prefill time.Duration
	// Decode is the time for one output token of a request that runs alone.
	Decode time.Duration
	// DecodePerConcurrentRequest is the time that each other request in a slot of the server
	// adds to Decode.
	DecodePerConcurrentRequest time.Duration
}

// DefaultTokenTimes give 27.5 ms between tokens on a full server of 8 slots. That is within
// the 34 ms that experiment "flood-overnight" allows urgent requests.
var DefaultTokenTimes = TokenTimes{Prefill: 150 * time.Microsecond, Decode: 24 * time.Millisecond, DecodePerConcurrentRequest: 500 * time.Microsecond}
