package ingress

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/telemetry"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/exchange"
	"github.com/fuchsiarouter/fuchsiarouter/intake"
	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
)

const (
	// maxResponseBytes bounds a response that is not streamed.
	maxResponseBytes = 8 << 20
	// maxDiscardedBytes bounds the body of a response that is not passed to the caller. The
	// connection of a longer one is closed.
	maxDiscardedBytes = 16 << 10
	// discardTimeout bounds the time for reading such a body. The request is sent again after it.
	discardTimeout = 100 * time.Millisecond
	// minFirstTimeoutShare is the shortest timeout with which callers of a route send a
	// request for the first time, as a fraction of the longest one. The timeouts of
	// callers differ by 15 %.
	minFirstTimeoutShare = 0.84
	// minTimeForAttempt is the time left until the deadline below which a request is not
	// sent again.
	minTimeForAttempt = 3 * time.Millisecond
)

// errReplaced reports an attempt whose response arrived after that of its hedge.
var errReplaced = errors.New("another server has answered first")

// serverResponse is the response of a backend server, of which the head has been read.
type serverResponse struct {
	server *catalog.Server
	http   *exchange.Response
	// reply is the head, parsed by the dialect.
	reply fuchsiarouter.ResponseHead
}

// forward sends the request to one server after another until one gives a response that
// can be passed to the caller, and sets the response to the caller. If the response is not
// streamed, it also records the end of the request. It returns the error to report to the
// caller, if any.
func (i *Ingress) forward(r *request) *result.Error {
	now := time.Now()
	i.withResendBudget(r.service, func(budget *resendBudget) { budget.RecordRequest(now) })
	r.sinceFirstSend = i.timeSinceFirstSend(r)
	r.scheduling = r.newScheduling()
	i.applyShare(r)
	if r.route.Kind == catalog.Stream {
		return i.runStream(r)
	}
	response, failure := i.sendUntilDeliverable(r)
	for {
		if failure != nil {
			return failure
		}
		body, err := response.http.ReadAll(maxResponseBytes, i.bodyProgress(r))
		if err != nil {
			response, failure = i.replaceInterrupted(r, response, err)
			continue
		}
		if isSuccess(response.http.Header.StatusCode()) {
			i.recordSound(r)
		}
		i.copyResponseHead(r, response)
		i.setResponseBody(r, body)
		response.http.Close()
		i.releaseServer(r, response.server.ID, schedule.Completed)
		r.stopCallerWatch()
		i.finish(r, result.OK, "")
		return nil
	}
}

// newScheduling returns the request in the form that is submitted to the scheduler.
func (r *request) newScheduling() schedule.Request {
	targetDelay := r.route.TargetLatency
	if targetDelay <= 0 {
		targetDelay = r.route.Timeout
	}
	scheduling := schedule.Request{
		Service: r.service, Rank: r.rank, Workspace: r.workspace, Arrived: r.received,
		FirstEventTarget: r.received.Add(targetDelay - r.sinceFirstSend), Deadline: r.deadline,
		AllowedRegions: r.allowedRegions,
	}
	if r.route.Patience > 0 {
		scheduling.AbandonAt = r.received.Add(r.route.Patience)
	}
	if r.route.ToModelEngine {
		scheduling.Model, scheduling.OutputTokens = r.Model, r.MaxOutputTokens
		scheduling.PromptTokens, scheduling.GapTarget = r.PromptTokens, r.route.TargetGap
	}
	return scheduling
}

// timeSinceFirstSend estimates a lower bound for the time since the caller first sent the
// request. A caller has one deadline for all its attempts and states in each of them the
// time that is left. First attempts on a route are taken to state at least
// minFirstTimeoutShare of the longest timeout seen on the route. A shorter timeout belongs
// to a retry, and the result is the difference to that minimum; otherwise it is 0.
func (i *Ingress) timeSinceFirstSend(r *request) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.longestTimeouts[r.route.Name] = max(i.longestTimeouts[r.route.Name], r.Timeout)
	minFirstTimeout := time.Duration(float64(i.longestTimeouts[r.route.Name]) * minFirstTimeoutShare)
	if r.Timeout == 0 || r.Timeout >= minFirstTimeout {
		return 0
	}
	return minFirstTimeout - r.Timeout
}

// sendUntilDeliverable sends the request to one server after another until one gives a
// response that can be passed to the caller. Of this response, the head has been read.
func (i *Ingress) sendUntilDeliverable(r *request) (*serverResponse, *result.Error) {
	for {
		server, failure := i.acquireServer(r)
		if failure != nil {
			return nil, failure
		}
		// What crashes servers may have been found, or this entry asked to stop, since the
		// request arrived.
		failure = i.checkCrashes(r)
		if failure == nil {
			failure = i.checkStop(r)
		}
		if failure != nil {
			i.releaseServer(r, server.ID, schedule.Cancelled)
			return nil, r.withPossibleRun(failure)
		}
		response, err := i.roundTrip(r, server, i.formatRequest(r, server), false)
		if err == nil && i.isDeliverable(r, response) {
			if i.advance(time.Now(), r.activeAttempt, r.position) {
				return response, nil
			}
			err = errReplaced
		}
		if next, failure := i.handleFailedAttempt(r, server, response, err); next != nil || failure != nil {
			return next, failure
		}
	}
}

// acquireServer gets a server for the request from the scheduler, and waits while the
// request is queued. It returns an error if the scheduler refuses the request, the caller
// disconnects, or the selected server has meanwhile been removed.
func (i *Ingress) acquireServer(r *request) (*catalog.Server, *result.Error) {
	decisions := make(chan schedule.Decision, 1)
	r.scheduling.OnDecision = func(decision schedule.Decision) { decisions <- decision }
	submittedAt := time.Now()
	i.mu.Lock()
	decision := i.scheduler.Submit(submittedAt, &r.scheduling)
	server := i.scheduler.Server(decision.Server)
	r.urgency = i.scheduler.Urgency(submittedAt, &r.scheduling)
	i.mu.Unlock()
	if decision.Queued {
		select {
		case decision = <-decisions:
		case <-r.callerCtx.Done():
			i.mu.Lock()
			cancelled := i.scheduler.Cancel(&r.scheduling)
			i.mu.Unlock()
			if !cancelled {
				if decision = <-decisions; decision.Server != "" {
					i.releaseServer(r, decision.Server, schedule.Cancelled)
				}
			}
			return nil, r.withPossibleRun(r.cancelledWhileQueued())
		}
		r.queueTime += time.Since(submittedAt)
		i.mu.Lock()
		server = i.scheduler.Server(decision.Server)
		r.urgency = i.scheduler.Urgency(time.Now(), &r.scheduling)
		i.mu.Unlock()
	}
	if decision.Server == "" {
		return nil, r.withPossibleRun(refusalError(decision))
	}
	if server == nil {
		i.releaseServer(r, decision.Server, schedule.Cancelled)
		return nil, r.withPossibleRun(refusalError(schedule.Decision{Reason: schedule.NoServer}))
	}
	return server, nil
}

// cancelledWhileQueued returns the error for a request whose callerCtx has ended in the queue.
func (r *request) cancelledWhileQueued() *result.Error {
	if errors.Is(context.Cause(r.callerCtx), errStopped) {
		return leavingError()
	}
	return result.CallerLeft.Error("the caller left while its request waited")
}

// cancelledAtServer returns the error for a request whose callerCtx has ended while a server had it.
func (r *request) cancelledAtServer() *result.Error {
	if errors.Is(context.Cause(r.callerCtx), errStopped) {
		return result.ServerLost.Error("the entry stopped before the server answered")
	}
	return result.ServerLost.Error("the caller left while a server had its request")
}

// refusalError returns the error for a request that the scheduler refused.
func refusalError(decision schedule.Decision) *result.Error {
	code := result.QueueFull
	switch decision.Reason {
	case schedule.NoServer:
		code = result.NoServer
	case schedule.RegionUnavailable:
		code = result.RegionUnavailable
	case schedule.Expired:
		code = result.DeadlineUnreachable
	case schedule.Paused:
		code = result.ServersPaused
	}
	return &result.Error{Code: code, Message: string(decision.Reason), RetryAfter: decision.RetryAfter}
}

// withPossibleRun returns the error to report to the caller in place of failure, which is
// about the last attempt only: if failure states that the request did not run, but a
// server may have run the request in an earlier attempt, it returns ServerLost.
func (r *request) withPossibleRun(failure *result.Error) *result.Error {
	if r.possibleRuns > 0 && failure.Code.Ran == result.RanNo {
		return result.ServerLost.Error(failure.Message + ", after a server that may have run the request was lost")
	}
	return failure
}

// formatRequest returns the bytes of the request for a server. The server is asked to resume the
// stream after the last event that has arrived or, if there is none, after the one that the
// caller's request names, if any.
func (i *Ingress) formatRequest(r *request, server *catalog.Server) []byte {
	remaining := time.Until(r.deadline)
	body := r.ctx.Request.Body()
	urgency := -1
	if r.route.ToModelEngine {
		urgency = r.urgency
	}
	head := make([]byte, 0, 1024+len(body))
	head = i.dialect.AppendHead(head, &r.ctx.Request.Header, fuchsiarouter.UpstreamHeaders{
		ServerID: server.ID, Workspace: r.workspace, Timeout: remaining, Urgency: urgency,
		LastEventID: r.position.lastEventID, BodyLength: len(body),
	})
	return append(head, body...)
}

// roundTrip sends the formatted request to a server and reads the head of the response. It returns
// an error if there is no response. In either case, the attempt is active until releaseServer
// is called. The arrival of the head counts as the first event of the response, but a stream begins to
// run with the first bytes of its body.
func (i *Ingress) roundTrip(r *request, server *catalog.Server, text []byte, isHedge bool) (*serverResponse, error) {
	r.attempts++
	r.lastServer = server.ID
	r.scheduling.TriedServers = append(r.scheduling.TriedServers, server.ID)
	sentAt := time.Now()
	ctx, cancel := context.WithCancel(r.callerCtx)
	if r.scheduling.Model != "" {
		r.versions = i.versionsFor(server.ID, r.scheduling.Model)
	}
	r.activeAttempt = &activeAttempt{
		request: r, server: server.ID, cancel: cancel, resendable: r.route.IsIdempotent(), isHedge: isHedge, waiting: true,
		position: r.position, promptParts: r.PromptParts,
	}
	if r.scheduling.Model != "" {
		i.limitWait(r.activeAttempt, r.scheduling.Model)
	}
	i.stallDetector.add(sentAt, r.activeAttempt)
	var sending schedule.Sending
	httpResponse, err := i.upstream.Send(ctx, exchange.Target{Address: server.Address, ID: server.ID, Incarnation: server.Started},
		text, r.deadline, func(header *fasthttp.ResponseHeader) exchange.Match {
			reply := i.dialect.ParseResponse(header, r.AttemptID)
			i.recordAvailability(r, server, reply)
			i.recordLoad(server, reply)
			i.recordCold(server, reply)
			switch {
			case reply.MatchesRequest:
				return exchange.Belongs
			case reply.LacksRequestID:
				return exchange.Unidentified
			}
			return exchange.Other
		}, func() bool { return i.stillTakes(r, server) && i.beginSending(server, &sending) })
	i.endSending(sending)
	if err != nil {
		r.activeAttempt.endWait()
		return nil, err
	}
	r.framing = httpResponse.Framing()
	if now := time.Now(); i.stallDetector.recordProgress(now, r.activeAttempt) {
		i.resumeServer(now, server.ID)
	}
	if !isEventStream(httpResponse.Header) {
		r.activeAttempt.endWait()
	}
	i.recordFirstEvent(r, server.ID, time.Since(sentAt), isSuccess(httpResponse.Header.StatusCode()))
	return &serverResponse{server: server, http: httpResponse, reply: i.dialect.ParseResponse(httpResponse.Header, r.AttemptID)}, nil
}

// isDeliverable reports whether the response is to be passed to the caller. It is not if
// the server states that it did not run the request, if a successful response is not
// signed, if the status would wrongly promise the caller that the request did not run, or
// if the server failed and the request can be sent to another one.
func (i *Ingress) isDeliverable(r *request, response *serverResponse) bool {
	status := response.http.Header.StatusCode()
	switch {
	case response.reply.NotRun:
		return false
	case isSuccess(status):
		return response.reply.Signed
	case status == fasthttp.StatusServiceUnavailable, status == fasthttp.StatusTooManyRequests,
		status == fasthttp.StatusRequestTimeout:
		// Callers take these codes as a promise that the request did not run, which the
		// server has not made.
		return false
	case status >= fasthttp.StatusInternalServerError:
		return !r.route.IsIdempotent() || r.possibleRuns+1 >= r.route.MaxAttempts || r.attempts >= maxSends
	}
	return true
}

// isSuccess reports whether an HTTP status is a success.
func isSuccess(status int) bool { return status >= 200 && status < 300 }

// failedAttempt is an attempt that has ended without a response that can be passed to the caller.
type failedAttempt struct {
	// notRun is set if the server certainly did not run the request, cancelled if the caller
	// has disconnected or this entry stops.
	notRun, cancelled bool
	// failure is the error to report to the caller if the request is not sent again.
	failure *result.Error
}

// endFailedAttempt ends an attempt without a response that can be passed to the caller,
// and releases its server. response is nil if there was none, and err says why. It counts
// a possible run unless the request certainly did not run, marks a server that was replaced,
// and starts the probe for a crash if the request was sent and there is no whole response,
// unless the caller has disconnected or the deadline has passed.
func (i *Ingress) endFailedAttempt(r *request, server *catalog.Server, response *serverResponse, err error) failedAttempt {
	outcome, failure := schedule.Failed, result.ServerLost.Error("the server gave no answer")
	notRun := errors.Is(err, exchange.ErrNotSent)
	status := 0
	if response != nil {
		status = response.http.Header.StatusCode()
		notRun = response.reply.NotRun
		if response.reply.ServerReplaced {
			i.mu.Lock()
			i.scheduler.MarkReplaced(server.ID)
			i.mu.Unlock()
		}
		response.http.Discard(maxDiscardedBytes, discardTimeout)
	}
	switch {
	case r.callerCtx.Err() != nil:
		outcome, failure = schedule.Cancelled, r.cancelledAtServer()
	case notRun:
		outcome = schedule.Refused
		failure = &result.Error{Code: result.QueueFull, Message: "the server refused the request", RetryAfter: notReadyRetryAfter}
	}
	if errors.Is(err, exchange.ErrWithheld) || outcome != schedule.Cancelled && response != nil && response.reply.Pause > 0 {
		outcome = schedule.AskedForPause
	}
	suspect := crashSuspect{
		attemptID: r.AttemptID, fingerprint: r.fingerprint, promptParts: r.PromptParts, sound: i.stallDetector.isSound(r.activeAttempt),
	}
	// A lack of descriptors here says nothing about the server.
	releaseOutcome := outcome
	if errors.Is(err, exchange.ErrNoResources) {
		releaseOutcome = schedule.Cancelled
	}
	i.releaseServer(r, server.ID, releaseOutcome)
	if !notRun {
		r.possibleRuns++
	}
	if err != nil && outcome == schedule.Failed && time.Until(r.deadline) > 0 {
		i.background.Go(func() { i.probeForCrash(server, suspect) })
	}
	i.requestLog.write("sending failed", []zap.Field{
		zap.String("request-id", r.AttemptID), zap.String("server", server.ID), zap.Int("status", status),
		zap.Bool("not-run", notRun), zap.Int("attempt", r.attempts), telemetry.Cause(err),
	})
	return failedAttempt{notRun: notRun, cancelled: outcome == schedule.Cancelled, failure: failure}
}

// handleFailedAttempt ends an attempt like endFailedAttempt and decides how the request goes on. It
// returns the response of a hedge if there is one, or the error to report to the caller. It returns
// neither if the request is to be sent again.
func (i *Ingress) handleFailedAttempt(r *request, server *catalog.Server, response *serverResponse, err error) (*serverResponse, *result.Error) {
	attempt := r.activeAttempt
	var running *hedge
	if r.callerCtx.Err() == nil {
		running = i.stallDetector.takeHedge(attempt)
	}
	failed := i.endFailedAttempt(r, server, response, err)
	if next := i.awaitHedge(r, attempt, running); next != nil {
		return next, nil
	}
	if failed.cancelled {
		return nil, failed.failure
	}
	if time.Until(r.deadline) < minTimeForAttempt {
		if r.possibleRuns > 0 {
			return nil, result.Timeout.Error("no server answered in time")
		}
		return nil, failed.failure
	}
	if !i.allowResend(r, failed.notRun, !errors.Is(err, exchange.ErrNotSent)) {
		return nil, r.withPossibleRun(failed.failure)
	}
	return nil, nil
}

// handleInterruptedResponse ends an attempt whose response was cut off after its head was
// read, and releases its server. It returns the same as handleFailedAttempt.
func (i *Ingress) handleInterruptedResponse(r *request, response *serverResponse, err error) (*serverResponse, *result.Error) {
	response.http.Close()
	if r.callerCtx.Err() != nil {
		i.releaseServer(r, response.server.ID, schedule.Cancelled)
		return nil, r.cancelledAtServer()
	}
	return i.handleFailedAttempt(r, response.server, nil, errors.Wrap(err, "read response"))
}

// replaceInterrupted ends an attempt like handleInterruptedResponse and returns the response of
// another server, or the error to report to the caller.
func (i *Ingress) replaceInterrupted(r *request, response *serverResponse, err error) (*serverResponse, *result.Error) {
	next, failure := i.handleInterruptedResponse(r, response, err)
	if next != nil || failure != nil {
		return next, failure
	}
	return i.sendUntilDeliverable(r)
}

// bodyProgress returns a function that records the progress of the body of a response, given the
// number of bytes read.
func (i *Ingress) bodyProgress(r *request) func(total int) {
	recorded := 0
	return func(total int) {
		if total > intake.LargeResponseBytes {
			i.awaitResponseMemory(r, total)
		}
		if steps := total / progressBytes; steps > recorded {
			recorded = steps
			// If a hedge has replaced the attempt, the next read fails.
			i.advance(time.Now(), r.activeAttempt, r.position)
		}
	}
}

// copyResponseHead copies the status and the headers of a server's response, except those
// that the dialect does not forward, to the response for the caller.
func (i *Ingress) copyResponseHead(r *request, response *serverResponse) {
	callerResponse := &r.ctx.Response
	closeConnection := callerResponse.ConnectionClose()
	header := response.http.Header
	callerResponse.SetStatusCode(header.StatusCode())
	for name, value := range header.All() {
		if i.dialect.IsForwarded(name) {
			callerResponse.Header.SetBytesKV(name, value)
		}
	}
	if closeConnection || i.draining.Load() {
		callerResponse.SetConnectionClose()
	}
}

// releaseServer ends the active attempt, if any, and cancels its request at the server if
// that is still running. It tells the scheduler that the request is no longer in flight at
// the server with the given ID, and how it ended.
func (i *Ingress) releaseServer(r *request, server string, outcome schedule.Outcome) {
	if r.activeAttempt != nil {
		i.dropHedge(r.activeAttempt)
		i.stallDetector.remove(r.activeAttempt)
		r.activeAttempt.endWait()
		r.activeAttempt.cancel()
		r.activeAttempt = nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.scheduler.RemoveSend(server, &r.scheduling)
	i.scheduler.Release(time.Now(), server, r.service, outcome)
}
