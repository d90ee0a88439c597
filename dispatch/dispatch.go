// Package dispatch defines the format of a request from an entry to an agent, the daemon
// on the VM of a backend server.
//
// The path and the body are those of the caller; what the entry has decided about the
// request, such as its rank and its model version, is sent in headers. An agent that does
// not run a request responds with a result (package result) whose field "ran" is "no".
// This proves to the entry that the request did not run, so it may send the request to
// another agent even if the request is not idempotent.
package dispatch

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/trace"
)

// Headers between entry and agent. All but HeaderLoad are request headers that carry the
// field of Call with the same name. Callers also send HeaderDeadline and HeaderVersion to
// an entry.
const (
	HeaderRequestID      = "Fuchsiarouter-Request-Id"
	HeaderWorkspace      = "Fuchsiarouter-Workspace"
	HeaderWeight         = "Fuchsiarouter-Weight"
	HeaderRank           = "Fuchsiarouter-Rank"
	HeaderModel          = "Fuchsiarouter-Model"
	HeaderVersion        = "Fuchsiarouter-Version"
	HeaderIdempotent     = "Fuchsiarouter-Idempotent"
	HeaderAttemptNumber  = "Fuchsiarouter-Attempt"
	HeaderAttemptID      = "Fuchsiarouter-Call"
	HeaderFingerprint    = "Fuchsiarouter-Fingerprint"
	HeaderSuspect        = "Fuchsiarouter-Suspect"
	HeaderExpectedTokens = "Fuchsiarouter-Cost"
	// HeaderDeadline carries the time that is left until Deadline, in ms, so that the
	// clocks of the two VMs need not agree.
	HeaderDeadline       = "Fuchsiarouter-Deadline-Ms"
	HeaderStream         = "Fuchsiarouter-Stream"
	HeaderResumeOffset   = "Fuchsiarouter-Offset"
	HeaderIdempotencyKey = "Fuchsiarouter-Key"
	HeaderReportsQueue   = "Fuchsiarouter-Reports-Queue"
	// HeaderLoad is the response header with the load of the agent's backend server, in
	// the form of FormatLoad.
	HeaderLoad = "Fuchsiarouter-Load"
)

// Informational responses that an agent sends before its response to a call with
// ReportsQueue: WaitingResponse when the call has to wait in the queue, and StartedResponse
// when it then starts, before any of it reaches the backend server. A call that does not wait
// gets neither. They have the same length.
const (
	WaitingResponse = "HTTP/1.1 102 Waiting\r\n\r\n"
	StartedResponse = "HTTP/1.1 102 Started\r\n\r\n"
)

// CancelPathPrefix is the prefix of the path to which an entry sends a DELETE request to
// cancel a call that is queued at an agent. The AttemptID of the call follows.
const CancelPathPrefix = "/v1/calls/"

// Call is a caller's request together with what the entry has decided about it, as the
// entry sends it to an agent.
type Call struct {
	// RequestID is the ID of the caller's request, the same in all attempts.
	RequestID string
	Workspace string
	// Weight is the weight of the workspace in the fair sharing of a server between
	// workspaces. Only its ratio to the weights of the others matters.
	Weight float64
	Rank   document.RankName
	// Model and Version identify the exact model version; both are empty for a service
	// without a model.
	Model   string
	Version string
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Stream is set if the caller asked for a streamed response.
	Stream bool
	// AttemptNumber is the number of failed attempts before this one.
	AttemptNumber int
	// AttemptID identifies this attempt. RequestID does not: a caller may send the same
	// request again, with the same ID, on another connection while the first attempt is
	// still queued.
	AttemptID string
	// Fingerprint is the hash of the request, by which requests that crash servers are
	// recognized.
	Fingerprint string
	// Suspect is set if the request is suspected of crashing servers. It must then run
	// with no other request at the same time.
	Suspect bool
	// ReportsQueue is set if the sender understands WaitingResponse and StartedResponse.
	ReportsQueue bool
	// ExpectedTokens is the expected cost of the request: the maximum number of output
	// tokens, plus a share of the estimated number of prompt tokens. It is 1 for a service
	// without a model.
	ExpectedTokens float64
	// Deadline is the time at which the caller stops waiting for the response.
	Deadline time.Time
	// ResumeOffset is the number of output tokens of the response that the caller already
	// has, 0 unless a stream is resumed. An event with content counts as one token.
	ResumeOffset int
	// IdempotencyKey is the key that the caller sends with a request that may run only
	// once, so that a repetition of the request is recognized. It is empty for other
	// requests.
	IdempotencyKey string
	// Traceparent is the W3C trace context of this attempt.
	Traceparent string
	// Method, Path, which includes the query, ContentType and Body are those of the
	// caller's request.
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Fingerprint returns a hash of a request, in hexadecimal, by which the request is
// recognized when its caller sends it again.
func Fingerprint(workspace, path string, body []byte) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(workspace)
	_, _ = digest.WriteString("\x00" + path + "\x00")
	_, _ = digest.Write(body)
	return strconv.FormatUint(digest.Sum64(), 16)
}

// Encode sets the fields of an HTTP request that sends the call to the agent at the given
// address. The request refers to the body of the call and does not copy it.
func (c Call) Encode(request *fasthttp.Request, address string, now time.Time) {
	request.SetRequestURI("http://" + address + c.Path)
	request.Header.SetMethod(c.Method)
	if c.ContentType != "" {
		request.Header.SetContentType(c.ContentType)
	}
	header := &request.Header
	// The header names are in canonical form already.
	header.DisableNormalizing()
	header.Set(HeaderRequestID, c.RequestID)
	header.Set(HeaderWorkspace, c.Workspace)
	header.Set(HeaderWeight, strconv.FormatFloat(c.Weight, 'g', -1, 64))
	header.Set(HeaderRank, string(c.Rank))
	header.Set(HeaderModel, c.Model)
	header.Set(HeaderVersion, c.Version)
	header.Set(HeaderIdempotent, strconv.FormatBool(c.Idempotent))
	header.Set(HeaderStream, strconv.FormatBool(c.Stream))
	header.Set(HeaderAttemptNumber, strconv.Itoa(c.AttemptNumber))
	header.Set(HeaderAttemptID, c.AttemptID)
	header.Set(HeaderFingerprint, c.Fingerprint)
	header.Set(HeaderSuspect, strconv.FormatBool(c.Suspect))
	header.Set(HeaderReportsQueue, strconv.FormatBool(c.ReportsQueue))
	header.Set(HeaderExpectedTokens, strconv.FormatFloat(c.ExpectedTokens, 'g', -1, 64))
	header.Set(HeaderDeadline, strconv.FormatInt(max(c.Deadline.Sub(now).Milliseconds(), 0), 10))
	header.Set(HeaderResumeOffset, strconv.Itoa(c.ResumeOffset))
	header.Set(HeaderIdempotencyKey, c.IdempotencyKey)
	header.Set(trace.Header, c.Traceparent)
	request.SetBodyRaw(c.Body)
}

// Decode parses a request that Encode has formatted. It returns an error if the request ID
// is missing, or if a header with a number is missing or malformed. Other missing headers
// leave their fields empty or false. Decode copies everything that it returns, because
// fasthttp reuses the request after the handler returns.
func Decode(request *fasthttp.Request, now time.Time) (Call, error) {
	header := &request.Header
	value := func(key string) string { return string(header.Peek(key)) }
	call := Call{
		RequestID:      value(HeaderRequestID),
		Workspace:      value(HeaderWorkspace),
		Rank:           document.RankName(value(HeaderRank)),
		Model:          value(HeaderModel),
		Version:        value(HeaderVersion),
		Idempotent:     value(HeaderIdempotent) == "true",
		Stream:         value(HeaderStream) == "true",
		AttemptID:      value(HeaderAttemptID),
		Fingerprint:    value(HeaderFingerprint),
		Suspect:        value(HeaderSuspect) == "true",
		ReportsQueue:   value(HeaderReportsQueue) == "true",
		IdempotencyKey: value(HeaderIdempotencyKey),
		Traceparent:    value(trace.Header),
		Method:         string(header.Method()),
		Path:           string(request.URI().RequestURI()),
		ContentType:    string(header.ContentType()),
		Body:           append([]byte(nil), request.Body()...),
	}
	var err error
	if call.Weight, err = strconv.ParseFloat(value(HeaderWeight), 64); err != nil {
		return Call{}, errors.Wrap(err, HeaderWeight)
	}
	if call.ExpectedTokens, err = strconv.ParseFloat(value(HeaderExpectedTokens), 64); err != nil {
		return Call{}, errors.Wrap(err, HeaderExpectedTokens)
	}
	if call.AttemptNumber, err = strconv.Atoi(value(HeaderAttemptNumber)); err != nil {
		return Call{}, errors.Wrap(err, HeaderAttemptNumber)
	}
	if call.ResumeOffset, err = strconv.Atoi(value(HeaderResumeOffset)); err != nil {
		return Call{}, errors.Wrap(err, HeaderResumeOffset)
	}
	remainingMs, err := strconv.ParseInt(value(HeaderDeadline), 10, 64)
	if err != nil {
		return Call{}, errors.Wrap(err, HeaderDeadline)
	}
	call.Deadline = now.Add(time.Duration(remainingMs) * time.Millisecond)
	if call.RequestID == "" {
		return Call{}, errors.Errorf("%s is missing", HeaderRequestID)
	}
	return call, nil
}
