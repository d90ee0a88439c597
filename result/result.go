// Package result defines the numbered result codes that callers receive.
//
// A code says what happened, whether the request ran at the backend server, and whether
// the caller may send the request again. The first digit of its number is the group: 1 for
// an invalid request, 2 for one that did not run, 3 for one that may have run, 4 for one that
// is refused to protect the fleet, and 5 for an internal error. A code says that a request
// did not run only if the system can prove that.
package result

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// Ran says whether a request ran at a backend server.
type Ran string

// The values of Ran.
const (
	RanNo    Ran = "no"
	RanMaybe Ran = "maybe"
	RanYes   Ran = "yes"
)

// Response headers that carry a result.
const (
	// HeaderResult holds the number and the name of the code, as Code.String returns them.
	HeaderResult = "Fuchsiarouter-Result"
	// HeaderRan holds the Ran of the code.
	HeaderRan = "Fuchsiarouter-Ran"
)

// Code is one numbered result with its HTTP status.
type Code struct {
	Number     int
	Name       string
	HTTPStatus int
	Ran        Ran
	// Retry says whether the caller may send the same request again.
	Retry RetryAdvice
}

// RetryAdvice says whether a caller may send a request again.
type RetryAdvice string

// The values of RetryAdvice.
const (
	RetryNo           RetryAdvice = "no"
	RetryYes          RetryAdvice = "yes"
	RetryIfIdempotent RetryAdvice = "if idempotent"
	// RetryWithSameKey means that the caller may send the request again, but only with the
	// same idempotency key.
	RetryWithSameKey RetryAdvice = "with the same key"
)

// The codes. docs/result-codes.md explains them to callers; a test compares the values
// there with these.
var (
	OK              = Code{0, "ok", 200, RanYes, RetryNo}
	Malformed       = Code{1001, "malformed-request", 400, RanNo, RetryNo}
	Unauthenticated = Code{1002, "unauthenticated", 401, RanNo, RetryNo}
	RankNotAllowed  = Code{1003, "rank-not-allowed", 403, RanNo, RetryNo}
	UnknownModel    = Code{1004, "unknown-model", 404, RanNo, RetryNo}
	UnknownService  = Code{1005, "unknown-service", 404, RanNo, RetryNo}
	BodyTooLarge    = Code{1006, "body-too-large", 413, RanNo, RetryNo}
	// KeyRequired means that a call that is not idempotent has no idempotency key.
	KeyRequired  = Code{1007, "key-required", 400, RanNo, RetryNo}
	KeyMalformed = Code{1008, "key-malformed", 400, RanNo, RetryNo}
	// KeyExpired means that the idempotency key is too old to tell whether a call with it
	// has run.
	KeyExpired = Code{1009, "key-expired", 409, RanMaybe, RetryNo}
	// KeyReused means that the idempotency key was used for another request before.
	KeyReused    = Code{1010, "key-reused", 422, RanNo, RetryNo}
	HeadTooLarge = Code{1011, "head-too-large", 431, RanNo, RetryNo}
	RateLimited  = Code{2001, "rate-limited", 429, RanNo, RetryYes}
	// TooManyInProgress means that the workspace has as many requests in progress as its
	// limit allows.
	TooManyInProgress = Code{2002, "too-many-in-progress", 429, RanNo, RetryYes}
	QueueFull         = Code{2003, "queue-full", 503, RanNo, RetryYes}
	// DeadlineUnreachable means that the request was not started because it could not have
	// ended before its deadline, or because the deadline passed while it waited.
	DeadlineUnreachable = Code{2004, "deadline-unreachable", 503, RanNo, RetryYes}
	NoServer            = Code{2005, "no-server", 503, RanNo, RetryYes}
	// Leaving means that the VM of the entry or of the backend server is leaving.
	Leaving = Code{2006, "leaving", 503, RanNo, RetryYes}
	// LogUnavailable means that the platform's log did not respond, so that a call that must
	// not run twice could not be claimed (package ledger).
	LogUnavailable = Code{2007, "log-unavailable", 503, RanNo, RetryYes}
	// VersionNotLoaded means that the backend server does not have the version that was
	// chosen.
	VersionNotLoaded = Code{2008, "version-not-loaded", 503, RanNo, RetryYes}
	// NotReady means that the entry has no current configuration, or that the backend
	// server accepts no requests.
	NotReady = Code{2009, "not-ready", 503, RanNo, RetryYes}
	// Preempted means that more urgent work has taken the slot of the request.
	Preempted = Code{2010, "preempted", 503, RanNo, RetryYes}
	// CallerLeft means that the caller closed its connection before the request ran.
	CallerLeft = Code{2011, "caller-left", 503, RanNo, RetryYes}
	// ServersPaused means that all backend servers which could run the request have asked for a
	// pause.
	ServersPaused = Code{2012, "servers-paused", 503, RanNo, RetryYes}
	// RegionUnavailable means that no backend server can run the request in the regions in which
	// it may be served.
	RegionUnavailable = Code{2013, "region-unavailable", 503, RanNo, RetryYes}
	// MemoryShort means that the entry has no memory for the body of the request.
	MemoryShort = Code{2014, "memory-short", 503, RanNo, RetryYes}
	// RequestTimeout means that the request did not arrive in time.
	RequestTimeout = Code{2015, "request-timeout", 408, RanNo, RetryYes}
	// ServerLost means that no response of the backend server arrived, for example because
	// the connection broke.
	ServerLost = Code{3001, "server-lost", 502, RanMaybe, RetryIfIdempotent}
	// StreamCut means that a response broke off before its end.
	StreamCut = Code{3002, "stream-cut", 502, RanMaybe, RetryIfIdempotent}
	// StillRunning means that a call with the same idempotency key is in progress, or that
	// its claim is not decided yet.
	StillRunning = Code{3003, "still-running", 409, RanMaybe, RetryWithSameKey}
	// MayHaveRun means that a call with the same idempotency key may have run and that
	// its response is lost.
	MayHaveRun = Code{3004, "may-have-run", 409, RanMaybe, RetryNo}
	// OutcomeUnknown means that it cannot be found out at present whether a call with the
	// same idempotency key has run.
	OutcomeUnknown = Code{3006, "outcome-unknown", 503, RanMaybe, RetryWithSameKey}
	Timeout        = Code{3005, "timeout", 504, RanMaybe, RetryIfIdempotent}
	// Quarantined means that the request has crashed backend servers.
	Quarantined = Code{4001, "quarantined", 422, RanNo, RetryNo}
	// CrashedServers is the code with which package ingress refuses a request for the
	// same reason.
	CrashedServers = Code{4002, "crashed-servers", 503, RanNo, RetryNo}
	Internal       = Code{5001, "internal", 500, RanMaybe, RetryIfIdempotent}
)

// All returns all codes in the order of their numbers.
func All() []Code {
	return []Code{
		OK, Malformed, Unauthenticated, RankNotAllowed, UnknownModel, UnknownService,
		BodyTooLarge, KeyRequired, KeyMalformed, KeyExpired, KeyReused, HeadTooLarge, RateLimited, TooManyInProgress,
		QueueFull, DeadlineUnreachable, NoServer, Leaving, LogUnavailable, VersionNotLoaded,
		NotReady, Preempted, CallerLeft, ServersPaused, RegionUnavailable, MemoryShort, RequestTimeout, ServerLost, StreamCut, StillRunning, MayHaveRun, Timeout, OutcomeUnknown,
		Quarantined, CrashedServers, Internal,
	}
}

// ByNumber returns the code with the number, or false if there is none.
func ByNumber(number int) (Code, bool) {
	for _, code := range All() {
		if code.Number == number {
			return code, true
		}
	}
	return Code{}, false
}

// String returns the value of the result header, such as "2003 queue-full".
func (c Code) String() string { return strconv.Itoa(c.Number) + " " + c.Name }

// Error returns an error with the code and a human-readable message.
func (c Code) Error(message string) *Error { return &Error{Code: c, Message: message} }

// Error reports a request that failed with a code.
type Error struct {
	Code    Code
	Message string
	// RetryAfter is the time after which the caller may send the request again. If it is 0,
	// Write tells the caller to wait for one second. It has no effect if the code says that
	// the caller may not send the request again.
	RetryAfter time.Duration
	// CrashID identifies the crash of the backend server that ran the request. It is empty
	// if no crash is known. Only agents set it, for the entry.
	CrashID string
}

// Error implements error.
func (e *Error) Error() string { return e.Code.String() + ": " + e.Message }

// Body returns the JSON body of the error for the caller.
func (e *Error) Body() []byte {
	var wire struct {
		Error struct {
			Code    int         `json:"code"`
			Name    string      `json:"name"`
			Message string      `json:"message"`
			Ran     Ran         `json:"ran"`
			Retry   RetryAdvice `json:"retry"`
			Crash   string      `json:"crash,omitempty"`
		} `json:"error"`
	}
	wire.Error.Code = e.Code.Number
	wire.Error.Name = e.Code.Name
	wire.Error.Message = e.Message
	wire.Error.Ran = e.Code.Ran
	wire.Error.Retry = e.Code.Retry
	wire.Error.Crash = e.CrashID
	body, err := json.Marshal(wire)
	if err != nil {
		return []byte(`{"error":{"code":5001,"name":"internal"}}`)
	}
	return body
}

// ParseBody parses the JSON body that Error.Body returns. It returns false for any other
// body, also for one with the code OK.
func ParseBody(body []byte) (*Error, bool) {
	var wire struct {
		Error struct {
			Code    int    `json:"code"`
			Message string `json:"message"`
			Crash   string `json:"crash"`
		} `json:"error"`
	}
	isJSON := json.Unmarshal(body, &wire) == nil
	code, ok := ByNumber(wire.Error.Code)
	if !isJSON || !ok || code.Number == OK.Number {
		return nil, false
	}
	return &Error{Code: code, Message: wire.Error.Message, CrashID: wire.Error.Crash}, true
}

// Parse returns the code from the value of HeaderResult, of which only the number counts. It
// returns false if no code has that number.
func Parse(header string) (Code, bool) {
	text, _, _ := strings.Cut(header, " ")
	number, err := strconv.Atoi(text)
	if err != nil {
		return Code{}, false
	}
	return ByNumber(number)
}
