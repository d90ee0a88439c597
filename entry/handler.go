package entry

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/budget"
	"github.com/fuchsiarouter/fuchsiarouter/caller"
	"github.com/fuchsiarouter/fuchsiarouter/dispatch"
	"github.com/fuchsiarouter/fuchsiarouter/fleet"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

const (
	// maxSuggestedEntries is the maximum number of entries that the response to
	// /v1/entries lists, and of addresses in headerEntries.
	maxSuggestedEntries = 3
	// entryListTTLSeconds is how long a caller may cache the list of entries. It is
	// shorter than the time for which callers may still send new requests to a leaving VM;
	// a leaving entry refuses later ones.
	entryListTTLSeconds = 3
	// headerEntries holds the addresses of other entries, separated by commas, in the
	// response with which a leaving entry refuses a request.
	headerEntries = "Fuchsiarouter-Entries"
	// disconnectWatchDelay is how long a request waits for a response before the
	// connection of its caller is watched. On a server with a free slot most requests get
	// their first token earlier, and so need no goroutine that watches.
	disconnectWatchDelay = 50 * time.Millisecond
)

// handle reads the body of a caller's request and selects its handler by its path.
func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	hold, failure := e.bodies.Read(e.lifetime, ctx, e.settings.MaxBodyBytes)
	if failure != nil {
		failure.Write(&ctx.Response)
		e.bodies.Refuse(ctx, failure)
		return
	}
	path := string(ctx.Path())
	if path == "/v1/chat/completions" && ctx.IsPost() || strings.HasPrefix(path, servicePrefix) {
		e.serve(ctx, hold)
		return
	}
	defer hold.Release()
	switch {
	case path == "/v1/keys" && ctx.IsPost():
		e.serveIssueKey(ctx)
	case path == keyOffsetPath && ctx.IsGet():
		ctx.SetBodyString(strconv.FormatInt(e.issuer.Offset(), 10))
	case path == "/v1/entries":
		e.serveEntries(ctx)
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		if e.config.Load() == nil || e.leaving.Load() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case path == "/metrics":
		e.metricsHandler(ctx)
	default:
		result.Malformed.Error("no such path").Write(&ctx.Response)
	}
}

// serve passes a request through the stages that the package doc lists. hold is the memory of its body,
// which serve releases when the request ends.
func (e *Entry) serve(ctx *fasthttp.RequestCtx, hold *budget.Hold) {
	isAdmitted := false
	defer func() {
		if !isAdmitted {
			hold.Release()
		}
	}()
	now := time.Now()
	config := e.config.Load()
	switch {
	case e.leaving.Load():
		ctx.Response.Header.Set(headerEntries, strings.Join(memberAddresses(e.suggestedEntries()), ","))
		result.Leaving.Error("this entry is leaving").Write(&ctx.Response)
		ctx.SetConnectionClose()
		return
	case config == nil:
		result.NotReady.Error("this entry has no configuration yet").Write(&ctx.Response)
		return
	}
	e.inProgress.Add(1)
	request, failure := classify(config, ctx, now)
	if request != nil {
		ctx.Response.Header.Set(dispatch.HeaderRequestID, request.RequestID)
	}
	if failure == nil {
		e.demand.CountRequest(request.Model)
		failure = e.limits.admit(request, now)
	}
	if failure != nil {
		e.inProgress.Add(-1)
		e.scope.Tagged(map[string]string{"result": failure.Code.Name}).Counter("refused").Inc(1)
		failure.Write(&ctx.Response)
		return
	}
	isAdmitted, request.bodyHold = true, hold
	request.span, request.Traceparent = e.tracer.Start(spanContext, "entry", request.Traceparent)
	request.caller = caller.New(ctx.Conn(), disconnectWatchDelay)
	// A stream that has begun is not watched: its next write fails if the caller
	// disconnects, and a goroutine for each stream in progress would cost memory.
	defer request.caller.Close()
	switch {
	case request.Stream:
		e.serveStream(ctx, request)
	case isAssembled(request):
		e.serveAssembled(ctx, request)
	case request.Idempotent:
		e.serveBuffered(ctx, request)
	default:
		e.serveAtMostOnce(ctx, request)
	}
}

// serveStream responds with the server-sent events of a stream. The first event has
// arrived when serveStream returns; the HTTP server reads the others from the relay.
func (e *Entry) serveStream(ctx *fasthttp.RequestCtx, r *request) {
	relay := &streamRelay{
		dispatcher: e.dispatcher,
		request:    r,
		history:    &attemptHistory{},
		tokens:     r.ResumeOffset,
		onEnd:      func(tokens int, failure *result.Error) { e.finishRequest(r, float64(tokens), failure) },
	}
	if failure := relay.open(); failure != nil {
		relay.current = nil
		relay.finish(failure)
		failure.Write(&ctx.Response)
		return
	}
	relay.conn = ctx.Conn()
	ctx.Response.Header.Set(dispatch.HeaderVersion, r.Version)
	ctx.Response.Header.SetContentType("text/event-stream")
	ctx.Response.SetBodyStream(relay, -1)
}

// serveBuffered responds to an idempotent request that is not streamed. It sends no byte
// before the whole response has arrived, so it can request a truncated response again.
func (e *Entry) serveBuffered(ctx *fasthttp.RequestCtx, r *request) {
	history := &attemptHistory{}
	for {
		accepted, failure := e.dispatcher.send(r, history, 0)
		if failure == nil {
			body, err := e.readResponse(r, accepted)
			if err == nil {
				e.finishRequest(r, r.ExpectedTokens, nil)
				e.writeResponse(ctx, r, accepted.response, body)
				return
			}
			failure = result.StreamCut.Error(err.Error())
			history.record(failure)
			if e.dispatcher.prepareRetry(r, history, accepted.server, failure, 0) {
				continue
			}
		}
		e.finishRequest(r, 0, failure)
		failure.Write(&ctx.Response)
		return
	}
}

// readResponse reads the response of an accepted attempt to its end, and reports to the
// router how the attempt ended.
func (e *Entry) readResponse(r *request, accepted *acceptedRequest) ([]byte, error) {
	body, err := readLimited(accepted.response.Body, maxResponseBytes)
	_ = accepted.response.Body.Close()
	var failure *result.Error
	if err != nil {
		failure = result.StreamCut.Error(err.Error())
	}
	e.dispatcher.finishAttempt(r, accepted.server, failure, 0)
	accepted.span.End(result.OK.String())
	return body, err
}

// writeResponse passes a complete response of a server to the caller.
func (e *Entry) writeResponse(ctx *fasthttp.RequestCtx, r *request, response fuchsiarouter.Response, body []byte) {
	ctx.SetStatusCode(response.Status)
	ctx.SetContentType(response.ContentType)
	if r.Version != "" {
		ctx.Response.Header.Set(dispatch.HeaderVersion, r.Version)
	}
	e.bodies.SetResponse(ctx, body)
}

// finishRequest ends an admitted request: the request no longer counts as in progress, its
// expected cost is replaced by actualTokens, and its result is recorded in the trace and
// the metrics, and in the log if it is a failure. failure is nil if the request succeeded;
// a suspect is then cleared of having crashed a server.
func (e *Entry) finishRequest(r *request, actualTokens float64, failure *result.Error) {
	e.limits.finish(r, actualTokens)
	code := result.OK
	if failure == nil {
		e.dispatcher.clearSuspect(r)
	} else {
		code = failure.Code
		e.log.Info("request failed", zap.String("request-id", r.RequestID), zap.String("workspace", r.Workspace),
			zap.String("result", code.String()), zap.Error(failure))
	}
	r.bodyHold.Release()
	r.span.End(code.String())
	e.scope.Tagged(map[string]string{"rank": string(r.Rank), "result": code.Name}).Counter("requests").Inc(1)
	e.inProgress.Add(-1)
}

// serveEntries responds with the entries that the caller should use and the number of
// seconds for which the caller may cache them.
func (e *Entry) serveEntries(ctx *fasthttp.RequestCtx) {
	type entryAddress struct {
		Address          string `json:"address"`
		AvailabilityZone string `json:"availability-zone"`
	}
	var wire struct {
		Entries     []entryAddress `json:"entries"`
		KeepSeconds int            `json:"keep-seconds"`
	}
	wire.KeepSeconds = entryListTTLSeconds
	for _, member := range e.suggestedEntries() {
		wire.Entries = append(wire.Entries, entryAddress{member.Address, member.AvailabilityZone})
	}
	body, err := json.Marshal(wire)
	if err != nil {
		result.Internal.Error(err.Error()).Write(&ctx.Response)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// suggestedEntries returns up to maxSuggestedEntries entries, selected at random with
// probabilities proportional to their spare capacity. A leaving entry is never among
// them.
func (e *Entry) suggestedEntries() []fuchsiarouter.Member {
	var live []fuchsiarouter.Member
	e.members.withView(func(view *fleet.Relay) {
		for _, member := range view.Entries() {
			live = append(live, member.Member)
		}
	})
	if !e.leaving.Load() {
		live = append(live, e.ownMember())
	}
	sortKeys := map[string]float64{}
	for _, member := range live {
		spare := max(member.Load.Slots-member.Load.Running, 1)
		// Of exponentially distributed keys, each with the rate of its member's weight,
		// the smallest belongs to a member with a probability proportional to its weight.
		sortKeys[member.ID] = rand.ExpFloat64() / float64(spare)
	}
	slices.SortFunc(live, func(a, b fuchsiarouter.Member) int { return cmp.Compare(sortKeys[a.ID], sortKeys[b.ID]) })
	return live[:min(len(live), maxSuggestedEntries)]
}

func memberAddresses(members []fuchsiarouter.Member) []string {
	list := make([]string, 0, len(members))
	for _, member := range members {
		list = append(list, member.Address)
	}
	return list
}
