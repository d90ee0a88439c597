package fuchsiarouter

import (
	"time"

	"github.com/valyala/fasthttp"
)

// RequestHead is the parsed head of a caller's request.
type RequestHead struct {
	// AttemptID is the id that the caller has given to this attempt. The servers repeat
	// it in their responses.
	AttemptID string
	// Timeout is how long the caller waits for the response, or 0 if it doesn't say.
	Timeout time.Duration
	// APIKey is the API key of a workspace. It is empty if the caller sent none.
	APIKey string
	// LastEventID is the id of the last event of the stream that the caller has received.
	// It is empty if the caller doesn't resume a stream.
	LastEventID string
	// Model is empty for requests to plain services.
	Model string
	// PromptTokens is the size of the prompt in tokens, MaxOutputTokens the maximum number
	// of tokens to generate, and EstimatedOutputTokens the caller's estimate of the number
	// of generated tokens. Each is 0 if the caller doesn't say.
	PromptTokens          int
	MaxOutputTokens       int
	EstimatedOutputTokens int
	// PromptParts are the IDs of the parts that make up the prompt, in order. Prompts share
	// parts; the last one belongs to this request or its session alone. It is empty if the
	// caller doesn't say.
	PromptParts []string
}

// UpstreamHeaders are the values that an entry adds to the head of a caller's request
// when it sends the request to a server.
type UpstreamHeaders struct {
	// ServerID is the id of the only server that may run the request.
	ServerID  string
	Workspace string
	// Timeout is how long the server may work on the request.
	Timeout time.Duration
	// Urgency ranges from 0 for the most urgent work to 9 for the least urgent. A
	// negative value is not sent.
	Urgency int
	// RequiredVersion is the only version of the weights that may run the request, or 0
	// for any.
	RequiredVersion int
	// LastEventID is the id of the last event that was delivered to the caller. The
	// server resumes the stream after that event. If LastEventID is empty, the id that the
	// caller sent, if any, is forwarded.
	LastEventID string
	// BodyLength is the length of the body in bytes.
	BodyLength int
}

// ResponseHead is the parsed head of a server's response.
type ResponseHead struct {
	// MatchesRequest reports whether the response has the id that was passed to ParseResponse.
	// LacksRequestID reports whether it is a failure without an id, which may belong to any
	// request on its connection.
	MatchesRequest bool
	LacksRequestID bool
	// NotRun reports whether the server states that it did not run the request.
	NotRun bool
	// ServerReplaced reports whether a server with another id now runs at the address
	// that the request was sent to.
	ServerReplaced bool
	// Signed reports whether the server signed the response. A successful response without
	// a signature is not passed to the caller. The signature itself is not verified.
	Signed bool
	// Leaving reports whether the server states that it leaves and takes no further requests.
	Leaving bool
	// Pause is for how long the server takes no requests of the entry, 0 if it doesn't ask for
	// that. PauseText is the text from which it was read. PauseMalformed reports that the text is
	// not a number of seconds, so that a default applies.
	Pause          time.Duration
	PauseText      string
	PauseMalformed bool
	// ColdFor is for how long the server stays cold, 0 if it doesn't say so. ColdMalformed
	// reports that it is not a number within the range.
	ColdFor       time.Duration
	ColdMalformed bool
	// Running, Waiting and Slots are the load of the server in requests: those that it
	// runs, those that wait there, and the maximum that it runs at the same time. They
	// are valid if HasLoad is set.
	HasLoad bool
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes on the machine of the server now, in relation to the usual
	// time: 1 is as usual, 2 twice as long. It is 0 if the server does not report it, or reports
	// it with a load that is not valid.
	Pace float64
	// LoadMalformed is set if the server reports a load that cannot be read.
	LoadMalformed bool
}

// Dialect parses and formats the heads of requests and responses in the form that the
// callers and backend servers of a platform use.
type Dialect interface {
	// ParseRequest parses the head of a caller's request.
	ParseRequest(header *fasthttp.RequestHeader) RequestHead
	// AppendHead appends the head of a request to a server to dst. The request line, and
	// the headers that values doesn't determine, are taken from header, the head of the
	// caller's request.
	AppendHead(dst []byte, header *fasthttp.RequestHeader, values UpstreamHeaders) []byte
	// ParseResponse parses the head of a server's response. id is the AttemptID of the
	// request that was sent.
	ParseResponse(header *fasthttp.ResponseHeader, id string) ResponseHead
	// IsForwarded reports whether a header of a response is forwarded to the caller.
	IsForwarded(name []byte) bool
}
