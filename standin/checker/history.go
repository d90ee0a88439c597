package checker

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/result"
)

// History is what callers, backend servers and daemons observed.
type History struct {
	// Digests holds the digests of all published versions by model. The model of an adapter
	// is MODEL:ADAPTER, and its digests are identities as returned by
	// fuchsiarouter.JoinIdentity.
	Digests map[string][]string
	// Calls holds the calls that have ended, Runs the requests that backend servers have
	// started.
	Calls []Call
	Runs  []Run
	// Leaving holds, by the name of a backend server, the time at which its VM was marked
	// as leaving.
	Leaving map[string]time.Time
	// Revisions holds the revisions of the configuration sections that daemons reported, in
	// chronological order.
	Revisions []Revision
}

// Call is something that a caller wanted to be answered, with all attempts that it made.
type Call struct {
	ID string
	// Model, Prompt and Tokens are set for a call to a model. Tokens is the number of
	// tokens that the caller requested.
	Model  string
	Prompt string
	Tokens int
	// Key, the idempotency key, Method, Path and BodyDigest are set for a call to a plain
	// service.
	Key        string
	Method     string
	Path       string
	BodyDigest string
	// Idempotent calls may run any number of times.
	Idempotent bool
	Attempts   []Attempt
	// GaveUp is set if the call was not answered and the caller stopped retrying, because
	// its patience was exhausted, although it was allowed to retry.
	GaveUp bool
}

// Attempt is one request that a caller sent for a call.
type Attempt struct {
	// RequestID is the ID that the caller gave this attempt. It is sent with the request.
	RequestID string
	// Entry is the address of the entry that the request was sent to.
	Entry string
	// Start is the time at which the attempt started.
	Start time.Time
	// FirstToken is the arrival of the first token or, for a model response that is not a
	// stream, of the whole body; zero if none came. End is the time at which the attempt
	// ended, zero if its HTTP request could not be created.
	FirstToken time.Time
	End        time.Time
	// Broken says why the answer is incomplete or malformed, for example because the
	// connection failed. It is empty otherwise.
	Broken string
	// NotSent is set if no byte of the request was sent, for example because no connection
	// to the entry was established.
	NotSent bool
	// Status is the HTTP status, 0 if there was no response.
	Status int
	// Code is the result code of a failure, from a header or an error event of the
	// response; nil if there is none.
	Code *result.Code
	// Ran says whether the request ran, according to the header Fuchsiarouter-Ran
	// or the field "ran" of an error event.
	Ran result.Ran
	// Version is the value of the header Fuchsiarouter-Version: the digest of the version
	// that generated the answer or, if that had an adapter, the identity of the two as
	// returned by fuchsiarouter.JoinIdentity.
	Version string
	// IDs and Fingerprints are the distinct values of the completion ID and of the system
	// fingerprint in the events of the response. In a correct answer there is one of each:
	// the request ID and the value of Version.
	IDs          []string
	Fingerprints []string
	// Text is the part of the answer of a model that was received.
	Text string
	// Complete is set if the end marker of a stream was received or, for a successful
	// response that is not a stream, the whole body was read and decoded.
	Complete bool
	// Answer is the decoded answer of a plain service.
	Answer ServiceAnswer
}

// ServiceAnswer is the answer of the stand-in for a plain service. It repeats the
// idempotency key, method, path and body digest of the request that the service received.
type ServiceAnswer struct {
	Key        string `json:"key"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodyDigest string `json:"body-digest"`
}

// Answered reports whether the caller received what it takes for a complete answer.
func (a Attempt) Answered() bool {
	return a.Status == 200 && a.Code == nil && a.Broken == "" && a.Complete
}

// Run is one request that a backend server started.
type Run struct {
	// Server is the name of the backend server.
	Server string
	// RequestID is the request ID of the attempt; a plain service may not record it.
	RequestID string
	// Key is the idempotency key, and Path the method and path, of a request to a plain
	// service.
	Key  string
	Path string
	// Digest is, for a request to a model engine, the digest or identity of the version that
	// it runs on, as Attempt.Version. It is empty for a plain service.
	Digest string
	Start  time.Time
}

// Revision is the revision of a configuration section that a daemon reported.
type Revision struct {
	Daemon  string
	Section string
	// Incarnation is different after each start of the daemon.
	Incarnation int64
	Revision    int64
}
