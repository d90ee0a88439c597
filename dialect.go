package fuchsiarouter

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Call is what the head of a caller's request says.
type Call struct {
	// ID names this attempt of the caller.
	ID string
	// Wait is how long the caller waits, 0 when it does not say.
	Wait time.Duration
	// Key is the key of a workspace, empty when there is none.
	Key string
	// LastEvent is the id of the last event of a stream that the caller has.
	LastEvent string
	// Model is empty for requests to plain services.
	Model string
	// PromptTokens and AnswerTokens are the size of the prompt and the most tokens
	// that are asked for; LikelyTokens is the caller's estimate of the answer.
	PromptTokens int
	AnswerTokens int
	LikelyTokens int
}

// Sending is what a request says beside what the caller has sent.
type Sending struct {
	// Server is the id of the only server that may run the request.
	Server    string
	Workspace string
	// Wait is how long the server may work.
	Wait time.Duration
	// Urgency is 0 for the most urgent work to 9.
	Urgency int
	// Version is the only version of the weights that may run it, 0 for any.
	Version int
	// LastEvent is the id of the last event that is not needed any more.
	LastEvent string
	// BodyLength is the length of the body in bytes.
	BodyLength int
}

// Reply is what the head of a server's answer says.
type Reply struct {
	// Mine tells that the answer is to the request with the id.
	Mine bool
	// NotRun tells that the server did not run the request.
	NotRun bool
	// Gone tells that another incarnation runs at the address of the server.
	Gone bool
	// Sealed tells that the server signed the answer.
	Sealed bool
	// Running, Waiting and Slots are the server's load, if HasLoad is set.
	HasLoad bool
	Running int
	Waiting int
	Slots   int
}

// Dialect reads and writes the heads of requests and answers as callers and backend
// servers expect them.
type Dialect interface {
	Call(header *fasthttp.RequestHeader) Call
	// AppendHead appends the head of a request to a server. The request line and the
	// other headers are those of the caller.
	AppendHead(dst []byte, header *fasthttp.RequestHeader, sending Sending) []byte
	// Reply reads the head of an answer to the request with the id.
	Reply(header *fasthttp.ResponseHeader, id string) Reply
	// Pass tells whether a header of an answer goes to the caller.
	Pass(name []byte) bool
}
