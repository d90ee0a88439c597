package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/claim"
	"github.com/fuchsiarouter/fuchsiarouter/dispatch"
	"github.com/fuchsiarouter/fuchsiarouter/ledger"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

const (
	// headerIdempotencyKey carries the idempotency key of a caller.
	headerIdempotencyKey = "Idempotency-Key"
	// headerFirstSend has the value "true" if the caller has never sent the key before.
	// Without it, a refusal while the log is unavailable cannot say that the call did not
	// run.
	headerFirstSend = "Fuchsiarouter-First-Send"
	// headerForwarded is set if another entry has forwarded the call to this one as the
	// issuer of the key. Its value is the id of that entry. A call with this header is not
	// forwarded again.
	headerForwarded = "Fuchsiarouter-Forwarded"
	// headerKeyOffset of a forwarded call is the offset that the issuer of the key had before
	// the call was sent to it (see ledger.Issuer).
	headerKeyOffset = "Fuchsiarouter-Key-Offset"
)

// claimAuthority records how a call ended whose dispatch it has granted. For keys that
// callers chose, it is the ledger, which grants according to the order of the log; for keys
// that this entry issued, it is the issuer, which needs no log. The nonce identifies the
// grant, and each grant is ended by exactly one of the methods.
type claimAuthority interface {
	// RecordOutcome records the response of the backend server.
	RecordOutcome(nonce claim.Nonce, outcome claim.Outcome)
	// RecordUnknownOutcome records that the call may have run, but that its response was
	// lost.
	RecordUnknownOutcome(nonce claim.Nonce)
	// Release records that the call did not run, so that the key can be granted again.
	Release(nonce claim.Nonce)
}

// serveAtMostOnce responds to a call that must not run twice. The call is dispatched only
// with a grant, the permission to run the call with its key, of which there is one for each
// key. It is sent to another server only after a refusal that proves that it did not run.
func (e *Entry) serveAtMostOnce(ctx *fasthttp.RequestCtx, r *request) {
	key, failure := e.readKey(ctx, r)
	if failure != nil {
		e.failRequest(ctx, r, failure)
		return
	}
	if issuer, issued := key.IssuerID(); issued && !e.issuer.Owns(key) {
		e.forwardToIssuer(ctx, r, issuer)
		return
	}
	authority, answer, failure := e.claimCall(ctx, r, key)
	switch {
	case failure != nil:
		e.failRequest(ctx, r, failure)
	case answer.Nonce == "":
		e.finishRequest(r, 0, nil)
		ctx.SetStatusCode(answer.Outcome.Status)
		ctx.SetContentType(answer.Outcome.ContentType)
		ctx.SetBody(answer.Outcome.Body)
	default:
		e.runOnce(ctx, r, authority, answer.Nonce)
	}
}

// runOnce dispatches a call and records at the authority how the call ended. nonce
// identifies the grant.
func (e *Entry) runOnce(ctx *fasthttp.RequestCtx, r *request, authority claimAuthority, nonce claim.Nonce) {
	accepted, failure := e.dispatcher.send(r, &attemptHistory{}, 0)
	if failure == nil {
		body, err := e.readResponse(r, accepted)
		if err == nil {
			authority.RecordOutcome(nonce, claim.Outcome{
				Status: accepted.response.Status, ContentType: accepted.response.ContentType, Body: body,
			})
			e.finishRequest(r, r.ExpectedTokens, nil)
			e.writeResponse(ctx, r, accepted.response, body)
			return
		}
		failure = result.StreamCut.Error(err.Error())
	}
	if failure.Code.Ran == result.RanNo {
		authority.Release(nonce)
	} else {
		authority.RecordUnknownOutcome(nonce)
		failure = result.MayHaveRun.Error(failure.Error())
	}
	e.failRequest(ctx, r, failure)
}

// failRequest ends a request and responds with the failure.
func (e *Entry) failRequest(ctx *fasthttp.RequestCtx, r *request, failure *result.Error) {
	e.finishRequest(r, 0, failure)
	failure.Write(&ctx.Response)
}

// readKey reads the idempotency key of a call, and sets the key and the fingerprint of the
// request.
func (e *Entry) readKey(ctx *fasthttp.RequestCtx, r *request) (claim.Key, *result.Error) {
	r.IdempotencyKey = string(ctx.Request.Header.Peek(headerIdempotencyKey))
	if r.IdempotencyKey == "" {
		return claim.Key{}, result.KeyRequired.Error("a call that is not idempotent needs the header " + headerIdempotencyKey)
	}
	// Two calls with different keys are different requests, even if their bodies are
	// equal: one must not become a suspect because of the other.
	r.Fingerprint = dispatch.Fingerprint(r.Workspace, r.Path+"\x00"+r.IdempotencyKey, r.Body)
	key, err := e.ledger.ParseKey(r.IdempotencyKey)
	return key, toResultError(err)
}

// claimCall asks for the grant to dispatch a call. It returns the authority that decided,
// and its answer: the nonce of the grant, or the outcome of an earlier send of the call.
func (e *Entry) claimCall(ctx *fasthttp.RequestCtx, r *request, key claim.Key) (claimAuthority, ledger.Answer, *result.Error) {
	call := ledger.Call{
		Key: key, Fingerprint: r.Fingerprint, FirstSend: string(ctx.Request.Header.Peek(headerFirstSend)) == "true",
	}
	if e.issuer.Owns(key) {
		answer, err := e.issuer.Claim(call, e.claimOffset(ctx))
		return e.issuer, answer, toResultError(err)
	}
	deadlineCtx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	startedAt := time.Now()
	answer, err := e.ledger.Claim(deadlineCtx, call)
	e.scope.Timer("claim").Record(time.Since(startedAt))
	return e.ledger, answer, toResultError(err)
}

// claimOffset returns the offset of the issuer from which a call counts: the one that it was
// forwarded with, or the current one if this entry received it from the caller.
func (e *Entry) claimOffset(ctx *fasthttp.RequestCtx) int64 {
	if len(ctx.Request.Header.Peek(headerForwarded)) == 0 {
		return e.issuer.Offset()
	}
	offset, err := strconv.ParseInt(string(ctx.Request.Header.Peek(headerKeyOffset)), 10, 64)
	if err != nil {
		return 0
	}
	return offset
}

// toResultError returns the result that an error carries, or an internal error.
func toResultError(err error) *result.Error {
	if err == nil {
		return nil
	}
	var failure *result.Error
	if errors.As(err, &failure) {
		return failure
	}
	return result.Internal.Error(err.Error())
}
