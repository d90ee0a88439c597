package ingress

import (
	"bytes"
	"context"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/budget"
	"github.com/fuchsiarouter/fuchsiarouter/caller"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
)

const (
	// callerWatchDelay is the time from the arrival of a request after which its
	// connection is watched for the caller's disconnect. A server must learn of the
	// disconnect within 0.5 s.
	callerWatchDelay = 50 * time.Millisecond
	// defaultTimeout is the timeout of a request whose route sets none. The timeout that
	// the caller states, if any, can only be shorter.
	defaultTimeout = 30 * time.Second
	// staleConfigurationAge is the time since the copy had every acknowledged configuration above
	// which a request without a matching route or API key is not rejected for that. It gets the
	// retryable result "not ready" instead, since a newer configuration may allow it.
	staleConfigurationAge = 2500 * time.Millisecond
	// drainingRetryAfter is the retry delay for callers of a draining entry that accepts
	// no new requests; another entry serves them right away.
	drainingRetryAfter = 20 * time.Millisecond
	// notReadyRetryAfter is the retry delay for callers of an entry whose configuration is
	// missing or too old, and for requests that a server refused.
	notReadyRetryAfter = 400 * time.Millisecond
)

// request is the state of a caller's request.
type request struct {
	fuchsiarouter.RequestHead
	ctx *fasthttp.RequestCtx
	// configuration is the one that was current when the request arrived; route, service
	// and workspace were looked up in it. workspace is empty if no API key is needed.
	configuration *catalog.Configuration
	route         *catalog.Route
	service       string
	workspace     string
	rank          int
	// shareRank is the rank in a service that is shared fairly, where that of the workspace goes first.
	shareRank int
	// allowedRegions are the regions that both the route and the workspace allow.
	allowedRegions catalog.RegionSet
	received       time.Time
	// deadline is the time by which the response must be complete.
	deadline time.Time
	// configurationAge is the age that the copy of the configuration had at most when the
	// request arrived.
	configurationAge time.Duration
	// acknowledgedAge is the longest time, when the request arrived, since the copy had every
	// configuration that the registry had acknowledged, also those that a restoration has lost.
	acknowledgedAge time.Duration

	// fingerprint identifies the request by its content. It is the same when the caller
	// sends the request again.
	fingerprint string

	// callerCtx is cancelled when the caller disconnects, or with the cause errStopped.
	callerCtx       context.Context
	cancelCallerCtx context.CancelFunc
	callerWatch     *caller.Watch
	// detachFromStop ends the effect of cancelAtStop. It returns false if that is no longer possible.
	detachFromStop func() bool

	// scheduling is the request in the form that is submitted to the scheduler.
	scheduling schedule.Request
	// urgency is the urgency that the engine of the last attempt is told.
	urgency int
	// activeAttempt is set while the request is in flight at a server.
	activeAttempt *activeAttempt
	// possibleRuns is the number of failed attempts in which a server may have run the
	// request.
	possibleRuns int
	// attempts is the number of times that this entry has sent the request to a server.
	attempts int
	// queueTime is the total time for which the scheduler has queued the request.
	queueTime time.Duration
	// position is how far the stream of the response has arrived. While an attempt is active, its
	// own position is ahead of it.
	position streamPosition
	// timeToFirstEvent is the time from the arrival of the request to the first event of a
	// streamed response, 0 before it.
	timeToFirstEvent time.Duration
	// sinceFirstSend is the result of timeSinceFirstSend: an estimate of the time between
	// the first send of the request by the caller and this one, 0 if this one seems to be
	// the first.
	sinceFirstSend time.Duration
	// lastServer is the ID of the server that the request was sent to last, for the log
	// line at the end of the request. It is empty if the request was never sent.
	lastServer string
	// versions are the weight versions on which the last attempt was based, if the request
	// is for a model.
	versions attemptVersions
	// framing is how the server marks the end of the body of its response, for the log line
	// at the end of the request. It is empty if there was no response.
	framing string
	// partialEventBytes is the number of bytes after the last whole event of a streamed
	// response that has ended.
	partialEventBytes int
	// passedOnBytes is the number of bytes of a streamed response that were passed on to the HTTP
	// server, which writes them to the caller.
	passedOnBytes int
	// bodyHold is the memory of the body, nil if the body is short.
	bodyHold *budget.Hold
	// responseHold is the memory of a large response while it is read, and responseBytes the part
	// of the response for which it has room.
	responseHold  *budget.Hold
	responseBytes int
	// retryAfter is the delay that the response to a refused request states, 0 if none.
	retryAfter time.Duration
	// finished is set once the end of the request is recorded.
	finished bool
}

// streamPosition is how far the stream of a response has arrived.
type streamPosition struct {
	// lastEventID is the ID of the last event that has arrived whole from any server, or before
	// it the one that the caller's request names. It is empty if there is none.
	lastEventID string
	// hasEvents is set if an event has arrived whole from any server, lastAt when the last did.
	hasEvents bool
	lastAt    time.Time
}

// isResumable reports whether another server can send the rest of the stream.
func (p streamPosition) isResumable() bool { return !p.hasEvents || p.lastEventID != "" }

// markResumed tells the scheduler that the caller has a part of the response, if that is so.
func (r *request) markResumed() {
	if !r.position.hasEvents {
		return
	}
	r.scheduling.Resumed = true
	if r.route.Patience > 0 {
		r.scheduling.AbandonAt = r.position.lastAt.Add(r.route.Patience)
	}
}

// serve handles a request of a caller.
func (i *Ingress) serve(ctx *fasthttp.RequestCtx) {
	i.inFlight.Add(1)
	r := &request{ctx: ctx, received: time.Now()}
	if i.draining.Load() || i.callerListener.Open() > i.settings.MaxKeptConnections {
		ctx.SetConnectionClose()
	}
	failure := i.readBody(r)
	if failure == nil {
		failure = i.admit(r)
	}
	if failure == nil {
		i.cancelAtStop(r)
		r.callerWatch = caller.New(ctx.Conn(), callerWatchDelay)
		r.callerWatch.OnClose(r.cancelCallerCtx)
		failure = i.forward(r)
		if failure == nil {
			// The response is set. A streamed one records the end of the request when it
			// is closed.
			return
		}
		r.stopCallerWatch()
	}
	i.writeError(r, failure)
	i.finish(r, failure.Code, failure.Message)
}

// stopCallerWatch stops watching the caller's connection and releases callerCtx.
func (r *request) stopCallerWatch() {
	r.callerWatch.Close()
	r.detachFromStop()
	r.cancelCallerCtx()
}

// admit decides whether a request may be served: it checks the request against the limits
// of the current configuration, looks up its route and workspace there, and refuses a
// request that has crashed servers. It sets the fields of the request that depend on these
// steps, or returns the error to report to the caller.
func (i *Ingress) admit(r *request) *result.Error {
	header := &r.ctx.Request.Header
	if failure := checkFraming(header); failure != nil {
		r.ctx.SetConnectionClose()
		return failure
	}
	if failure := i.takeConfiguration(r); failure != nil {
		return failure
	}
	r.RequestHead = i.dialect.ParseRequest(header)
	limits := r.configuration.Limits
	if limits.HeaderBytes > 0 && len(header.RawHeaders()) > limits.HeaderBytes {
		r.ctx.SetConnectionClose()
		return &result.Error{Code: result.HeadTooLarge, Message: "the head of the request is too large"}
	}
	if limits.BodyBytes > 0 && len(r.ctx.Request.Body()) > limits.BodyBytes {
		return result.BodyTooLarge.Error("the body is too large")
	}
	path, _, _ := bytes.Cut(header.RequestURI(), []byte("?"))
	if failure := i.lookUpRoute(r, hostName(header.Host()), string(path)); failure != nil {
		return failure
	}
	r.fingerprint = requestFingerprint(&r.ctx.Request, r.APIKey)
	if failure := i.checkCrashes(r); failure != nil {
		return failure
	}
	return i.checkStop(r)
}

// takeConfiguration sets the configuration that applies to a request. It returns an error if there is
// none, or if this entry accepts no more requests.
func (i *Ingress) takeConfiguration(r *request) *result.Error {
	if i.rejecting.Load() {
		return leavingError()
	}
	// The age is read before the view, so that the view is never older than the age says.
	r.acknowledgedAge = i.mirror.AcknowledgedAge()
	view, age := i.mirror.ViewWithAge()
	r.configurationAge = age
	if view.Configuration == nil {
		return i.notReady("no configuration is known yet")
	}
	r.configuration = view.Configuration
	return nil
}

// lookUpRoute sets the route and the workspace of a request, for a host without a port and a path
// without a query, and what follows from them.
func (i *Ingress) lookUpRoute(r *request, host, path string) *result.Error {
	r.route = r.configuration.Route(host, path)
	stale := r.acknowledgedAge > staleConfigurationAge
	if r.route == nil {
		if stale {
			return i.notReady("the configuration is too old to say that there is no route")
		}
		return result.UnknownService.Error("no route")
	}
	r.rank, r.shareRank, r.allowedRegions = r.route.Rank, r.route.Rank, r.route.AllowedRegions
	if r.configuration.NeedsKey() && !r.route.Public {
		workspace := r.configuration.Workspace(r.APIKey)
		switch {
		case r.acknowledgedAge > i.settings.KeyRevocation-keyRevocationMargin:
			return i.notReady("a key may have been revoked since the keys were read")
		case workspace == nil && stale:
			return i.notReady("the keys are too old to say that there is none")
		case workspace == nil:
			return result.Unauthenticated.Error("no workspace has the key")
		}
		r.workspace, r.shareRank = workspace.Name, r.configuration.RankOf(r.route, workspace)
		r.allowedRegions = r.allowedRegions.Intersect(workspace.AllowedRegions)
	}
	timeout := r.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	r.deadline = r.received.Add(timeout)
	r.service = r.route.ServiceFor(r.AttemptID)
	return nil
}

// notReady returns the error for a request that this entry cannot serve now, but another
// entry perhaps can.
func (i *Ingress) notReady(message string) *result.Error {
	return &result.Error{Code: result.NotReady, Message: message, RetryAfter: notReadyRetryAfter}
}

// checkFraming rejects requests whose end a backend server could parse differently
// (request smuggling).
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

// hostName returns a host, with or without a port, in lower case and without the port.
func hostName(host []byte) string {
	name := strings.ToLower(string(host))
	if at := strings.LastIndexByte(name, ':'); at >= 0 {
		if _, err := strconv.Atoi(name[at+1:]); err == nil {
			return name[:at]
		}
	}
	return name
}

// writeError sets the response to a request that ends with an error of this entry.
func (i *Ingress) writeError(r *request, failure *result.Error) {
	response := &r.ctx.Response
	closeConnection := response.ConnectionClose()
	response.Reset()
	response.SetStatusCode(failure.Code.HTTPStatus)
	response.Header.SetContentType("application/json")
	response.Header.Set(result.HeaderResult, failure.Code.String())
	response.Header.Set(result.HeaderRan, string(failure.Code.Ran))
	if failure.RetryAfter > 0 {
		r.retryAfter = failure.RetryAfter
		response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 2, 64))
	}
	response.SetBody(failure.Body())
	if closeConnection || i.draining.Load() {
		response.SetConnectionClose()
	}
}

// handleParseError responds to input of a caller that cannot be read or parsed as a
// request. It closes a connection on which nothing arrived without a response: the caller may
// be sending a request right now and would take the response for that of its request.
func (i *Ingress) handleParseError(ctx *fasthttp.RequestCtx, err error) {
	// fasthttp wraps the error if a part of a request was read.
	if _, isUnused := err.(*net.OpError); isUnused { //nolint:errorlint // Only the bare error shows it.
		_ = ctx.Conn().Close()
		return
	}
	failure := result.Malformed.Error("the request cannot be read")
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		failure = &result.Error{Code: result.HeadTooLarge, Message: "the head of the request is too large"}
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		failure = result.BodyTooLarge.Error("the body is too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		failure = result.RequestTimeout.Error("the request did not arrive in time")
	}
	ctx.SetConnectionClose()
	i.inFlight.Add(1)
	r := &request{ctx: ctx, received: time.Now()}
	i.writeError(r, failure)
	i.finish(r, failure.Code, err.Error())
}

// finish records the end of a request in the metrics and the log, once, and removes the
// request from inFlight. detail explains the result code and may be empty.
func (i *Ingress) finish(r *request, code result.Code, detail string) {
	if r.finished {
		return
	}
	r.finished = true
	r.releaseBody()
	i.inFlight.Add(-1)
	if code != result.OK && r.callerCtx != nil && errors.Is(context.Cause(r.callerCtx), errStopped) {
		i.requestsEndedByStop.Add(1)
	}
	took := time.Since(r.received)
	i.metrics.recordResult(code, took)
	fields := []zap.Field{
		zap.String("request-id", r.AttemptID), zap.Int("code", code.Number), zap.String("result", code.Name),
		zap.Duration("took", took), zap.Duration("waited", r.queueTime), zap.Duration("view-age", r.configurationAge), zap.Duration("acknowledged-age", r.acknowledgedAge),
		zap.Int("attempts", r.attempts),
	}
	if r.configuration != nil {
		fields = append(fields, zap.Int64("configuration", r.configuration.Version))
	}
	if r.timeToFirstEvent > 0 {
		fields = append(fields, zap.Duration("first-event", r.timeToFirstEvent))
	}
	if r.sinceFirstSend > 0 {
		fields = append(fields, zap.Duration("first-sent-before", r.sinceFirstSend))
	}
	if r.route != nil {
		fields = append(fields, zap.String("route", r.route.Name), zap.String("service", r.service))
	}
	if r.lastServer != "" {
		fields = append(fields, zap.String("server", r.lastServer))
	}
	if r.versions.newest > 0 {
		fields = append(fields, zap.Int("held-version", r.versions.held), zap.Int("newest-version", r.versions.newest))
		if r.versions.newestDeclaredAt != catalog.UnknownTime {
			fields = append(fields, zap.Duration("newest-declared-before", r.versions.sentAt-r.versions.newestDeclaredAt))
		}
	}
	if r.workspace != "" {
		fields = append(fields, zap.String("workspace", r.workspace))
	}
	if r.allowedRegions != nil {
		fields = append(fields, zap.Strings("allowed-regions", r.allowedRegions.Names()))
	}
	if r.framing != "" {
		fields = append(fields, zap.String("framing", r.framing))
	}
	if r.partialEventBytes > 0 {
		fields = append(fields, zap.Int("partial-event-bytes", r.partialEventBytes))
	}
	if code != result.OK && r.passedOnBytes > 0 {
		fields = append(fields, zap.Int("passed-on-bytes", r.passedOnBytes))
	}
	if detail != "" {
		fields = append(fields, zap.String("detail", detail))
	}
	if r.retryAfter > 0 {
		fields = append(fields, zap.Duration("retry-after", r.retryAfter))
	}
	fields = append(fields, i.stopFields()...)
	i.requestLog.write("request ended", fields)
}
