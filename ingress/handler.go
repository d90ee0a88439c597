package ingress

import (
	"bytes"
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/caller"
	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
	"github.com/fuchsiarouter/fuchsiarouter/world"
)

const (
	// watchAfter is the time after which a request that waits for its answer is watched
	// for a caller that leaves. A server must learn of that within 0.5 s.
	watchAfter = 50 * time.Millisecond
	// waitDefault is the deadline of a request that names none on a route without one.
	waitDefault = 30 * time.Second
	// staleConfiguration is the age from which a request that the configuration does
	// not allow gets "not ready": a newer one may allow it.
	staleConfiguration = 2500 * time.Millisecond
	// leavingRetry is the time after which a caller of an entry that is leaving may come
	// back; another entry takes it at once.
	leavingRetry = 20 * time.Millisecond
	// notReadyRetry is the time after which a caller may come back to an entry that
	// cannot serve it now.
	notReadyRetry = 400 * time.Millisecond
)

// request is a caller's request on its way.
type request struct {
	fuchsiarouter.Call
	ctx           *fasthttp.RequestCtx
	configuration *world.Configuration
	route         *world.Route
	service       string
	workspace     string
	rank          int
	received      time.Time
	deadline      time.Time
	// viewAge is how old the configuration may be.
	viewAge time.Duration

	// fingerprint is the same for a request that comes again.
	fingerprint string

	// left ends when the caller leaves.
	left   context.Context
	cancel context.CancelFunc
	watch  *caller.Watch

	schedule schedule.Request
	// sending is set while the request is at a server.
	sending *sending
	// runs is the number of servers that may have run the request.
	runs     int
	attempts int
	waited   time.Duration
	// began is the time from the arrival to the first event of a stream.
	began time.Duration
	// before is how long ago the caller sent the request for the first time.
	before time.Duration
	server string
	ended  bool
}

// serve answers a caller.
func (i *Ingress) serve(ctx *fasthttp.RequestCtx) {
	i.inFlight.Add(1)
	r := &request{ctx: ctx, received: time.Now()}
	if i.leaving.Load() {
		ctx.SetConnectionClose()
	}
	failure := i.admit(r)
	if failure == nil {
		r.left, r.cancel = context.WithCancel(context.Background())
		r.watch = caller.New(ctx.Conn(), watchAfter)
		r.watch.Notify(r.cancel)
		failure = i.run(r)
		if failure == nil {
			// run has set the answer and finishes the request at its end.
			return
		}
		r.release()
	}
	i.fail(r, failure)
	i.finish(r, failure.Code, failure.Message)
}

// release ends the watch on the caller.
func (r *request) release() {
	r.watch.Close()
	r.cancel()
}

// admit finds the route and the workspace of a request under the configuration in
// force, and checks what the caller may send.
func (i *Ingress) admit(r *request) *result.Error {
	header := &r.ctx.Request.Header
	if failure := checkFraming(header); failure != nil {
		r.ctx.SetConnectionClose()
		return failure
	}
	if i.closed.Load() {
		return &result.Error{Code: result.Leaving, Message: "the entry is leaving", RetryAfter: leavingRetry}
	}
	view := i.mirror.View()
	r.viewAge = i.mirror.Age()
	if view.Configuration == nil {
		return i.notReady("no configuration is known yet")
	}
	r.configuration = view.Configuration
	r.Call = i.dialect.Call(header)
	limits := r.configuration.Limits
	if limits.HeaderBytes > 0 && len(header.RawHeaders()) > limits.HeaderBytes {
		r.ctx.SetConnectionClose()
		return &result.Error{Code: result.HeadTooLarge, Message: "the head of the request is too large"}
	}
	if limits.BodyBytes > 0 && len(r.ctx.Request.Body()) > limits.BodyBytes {
		return result.BodyTooLarge.Error("the body is too large")
	}
	path, _, _ := bytes.Cut(header.RequestURI(), []byte("?"))
	r.route = r.configuration.Route(hostName(header.Host()), string(path))
	stale := r.viewAge > staleConfiguration
	if r.route == nil {
		if stale {
			return i.notReady("the configuration is too old to say that there is no route")
		}
		return result.UnknownService.Error("no route")
	}
	r.rank = r.route.Rank
	if r.configuration.NeedsKey() && !r.route.Public {
		workspace := r.configuration.Workspace(r.Key)
		switch {
		case r.viewAge > i.settings.KeyRevocation-keyMargin:
			return i.notReady("the keys are too old")
		case workspace == nil && stale:
			return i.notReady("the keys are too old to say that there is none")
		case workspace == nil:
			return result.Unauthenticated.Error("no workspace has the key")
		}
		r.workspace = workspace.Name
	}
	r.fingerprint = fingerprint(&r.ctx.Request, r.Key)
	if i.isRefused(r.fingerprint) {
		return &result.Error{Code: result.CrashedServers, Message: "the request has crashed servers", RetryAfter: crashRetry}
	}
	wait := r.route.Timeout
	if wait <= 0 {
		wait = waitDefault
	}
	if r.Wait > 0 {
		wait = min(wait, r.Wait)
	}
	r.deadline = r.received.Add(wait)
	r.service = r.route.ServiceFor(r.ID)
	return nil
}

func (i *Ingress) notReady(message string) *result.Error {
	return &result.Error{Code: result.NotReady, Message: message, RetryAfter: notReadyRetry}
}

// checkFraming refuses a request whose end a server could see elsewhere.
func checkFraming(header *fasthttp.RequestHeader) *result.Error {
	lengths, codings := 0, 0
	for line := range bytes.SplitSeq(header.RawHeaders(), []byte("\n")) {
		name, value, found := bytes.Cut(line, []byte(":"))
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return result.Malformed.Error("a header goes over two lines")
		}
		if !found {
			continue
		}
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(string(bytes.TrimSpace(value)), "chunked") {
				return result.Malformed.Error("unknown transfer coding")
			}
		}
		if bytes.ContainsAny(name, " \t") {
			return result.Malformed.Error("space in the name of a header")
		}
	}
	if lengths > 1 || codings > 1 || lengths > 0 && codings > 0 {
		return result.Malformed.Error("two lengths")
	}
	uri := header.RequestURI()
	if len(uri) == 0 || uri[0] != '/' {
		return result.Malformed.Error("the request names no path")
	}
	return nil
}

// hostName returns the host without its port, in lower case.
func hostName(host []byte) string {
	name := strings.ToLower(string(host))
	if at := strings.LastIndexByte(name, ':'); at >= 0 {
		if _, err := strconv.Atoi(name[at+1:]); err == nil {
			return name[:at]
		}
	}
	return name
}

// fail answers with a failure of the system's own.
func (i *Ingress) fail(r *request, failure *result.Error) {
	response := &r.ctx.Response
	closes := response.ConnectionClose()
	response.Reset()
	response.SetStatusCode(failure.Code.Status)
	response.Header.SetContentType("application/json")
	response.Header.Set(result.Header, failure.Code.String())
	response.Header.Set(result.HeaderRan, string(failure.Code.Ran))
	if failure.RetryAfter > 0 {
		response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 2, 64))
	}
	response.SetBody(failure.Body())
	if closes || i.leaving.Load() {
		response.SetConnectionClose()
	}
}

// malformed answers what cannot be read as a request.
func (i *Ingress) malformed(ctx *fasthttp.RequestCtx, err error) {
	failure := result.Malformed.Error("the request cannot be read")
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		failure = &result.Error{Code: result.HeadTooLarge, Message: "the head of the request is too large"}
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		failure = result.BodyTooLarge.Error("the body is too large")
	}
	ctx.SetConnectionClose()
	i.inFlight.Add(1)
	r := &request{ctx: ctx, received: time.Now()}
	i.fail(r, failure)
	i.finish(r, failure.Code, err.Error())
}

// finish counts and logs the end of a request.
func (i *Ingress) finish(r *request, code result.Code, detail string) {
	if r.ended {
		return
	}
	r.ended = true
	i.inFlight.Add(-1)
	took := time.Since(r.received)
	i.counters.ended(code, took)
	fields := []zap.Field{
		zap.String("request-id", r.ID), zap.Int("code", code.Number), zap.String("result", code.Name),
		zap.Duration("took", took), zap.Duration("waited", r.waited), zap.Duration("view-age", r.viewAge),
		zap.Int("attempts", r.attempts),
	}
	if r.configuration != nil {
		fields = append(fields, zap.Int64("configuration", r.configuration.Version))
	}
	if r.began > 0 {
		fields = append(fields, zap.Duration("first-event", r.began))
	}
	if r.before > 0 {
		fields = append(fields, zap.Duration("first-sent-before", r.before))
	}
	if r.route != nil {
		fields = append(fields, zap.String("route", r.route.Name), zap.String("service", r.service))
	}
	if r.server != "" {
		fields = append(fields, zap.String("server", r.server))
	}
	if r.workspace != "" {
		fields = append(fields, zap.String("workspace", r.workspace))
	}
	if detail != "" {
		fields = append(fields, zap.String("detail", detail))
	}
	i.requests.write("request ended", fields)
}
