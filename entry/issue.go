package entry

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/claim"
	"github.com/fuchsiarouter/fuchsiarouter/fleet"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

// keyOffsetPath is the path at which an entry returns the offset of its issuer (see
// ledger.Issuer) as a decimal number.
const keyOffsetPath = "/v1/keys/offset"

// serveIssueKey responds with a new idempotency key. This entry decides itself, without the
// log, whether a call with the key may run, so that such calls continue while the log is
// unavailable.
func (e *Entry) serveIssueKey(ctx *fasthttp.RequestCtx) {
	config := e.config.Load()
	if config == nil {
		result.NotReady.Error("this entry has no configuration yet").Write(&ctx.Response)
		return
	}
	if e.leaving.Load() {
		result.Leaving.Error("this entry is leaving").Write(&ctx.Response)
		return
	}
	if _, failure := config.identify(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))); failure != nil {
		failure.Write(&ctx.Response)
		return
	}
	body, err := json.Marshal(struct {
		Key claim.Key `json:"key"`
	}{e.issuer.Issue()})
	if err != nil {
		result.Internal.Error(err.Error()).Write(&ctx.Response)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// forwardToIssuer forwards a call to the entry that issued its key, since no other entry
// knows whether a call with the key has run. It refuses the call if that entry is gone, or if
// the call was already forwarded once.
//
// The issuer may receive the call long after this entry has given it up. The call therefore
// carries the offset that the issuer has before, so that it doesn't run after another send of
// the key was answered "did not run".
func (e *Entry) forwardToIssuer(ctx *fasthttp.RequestCtx, r *request, issuer claim.IssuerID) {
	address := e.members.issuerAddress(issuer)
	if address == "" || len(ctx.Request.Header.Peek(headerForwarded)) > 0 {
		e.failRequest(ctx, r, result.MayHaveRun.Error("the entry that issued this key is gone"))
		return
	}
	offset, err := e.readKeyOffset(address)
	if err != nil {
		e.failRequest(ctx, r, result.OutcomeUnknown.Error("the entry that issued this key does not answer: "+err.Error()))
		return
	}
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	ctx.Request.CopyTo(out)
	out.SetRequestURI("http://" + address + r.Path)
	out.Header.Set(headerForwarded, e.settings.ID)
	out.Header.Set(headerKeyOffset, strconv.FormatInt(offset, 10))
	response, err := e.client.Do(out)
	if err != nil {
		// An earlier send of the call may have run, whether or not this one arrived at the
		// issuer.
		e.failRequest(ctx, r, result.OutcomeUnknown.Error("the entry that issued this key does not answer: "+err.Error()))
		return
	}
	body, err := readLimited(response.Body, maxResponseBytes)
	_ = response.Body.Close()
	if err != nil {
		e.failRequest(ctx, r, result.OutcomeUnknown.Error(err.Error()))
		return
	}
	for _, header := range []string{result.HeaderResult, result.HeaderRan, fasthttp.HeaderRetryAfter} {
		if value := response.Header[header]; value != "" {
			ctx.Response.Header.Set(header, value)
		}
	}
	e.finishRequest(r, 0, nil)
	e.writeResponse(ctx, r, response, body)
}

// issuerAddress returns the address of the entry that issues keys under the id, or an
// empty string if that entry is gone.
func (m *members) issuerAddress(issuerID claim.IssuerID) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range m.view.Members() {
		holder := claim.Holder{ID: member.ID, Incarnation: member.Incarnation}
		if member.Kind == fuchsiarouter.KindEntry && member.Status != fleet.StatusDead && claim.IssuerIDOf(holder) == issuerID {
			return member.Address
		}
	}
	return ""
}

// readKeyOffset requests the offset of the issuer of the entry at the address.
func (e *Entry) readKeyOffset(address string) (int64, error) {
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	out.SetRequestURI("http://" + address + keyOffsetPath)
	response, err := e.client.Do(out)
	if err != nil {
		return 0, err
	}
	body, err := readLimited(response.Body, maxFailureBytes)
	_ = response.Body.Close()
	if err != nil {
		return 0, err
	}
	return strconv.ParseInt(string(body), 10, 64)
}
