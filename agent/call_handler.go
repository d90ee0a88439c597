package agent

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/caller"
	"github.com/fuchsiarouter/fuchsiarouter/dispatch"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/quarantine"
	"github.com/fuchsiarouter/fuchsiarouter/rank"
	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/stream"
	"github.com/fuchsiarouter/fuchsiarouter/trace"
	"github.com/fuchsiarouter/fuchsiarouter/upstream"
)

// maxBufferedAnswerBytes limits an answer that is not streamed. One that reaches the
// limit fails.
const maxBufferedAnswerBytes = 16 << 20

// drainPollInterval is the interval at which code that waits for requests in progress
// to end, before a shutdown or an unload, checks for them.
const drainPollInterval = 20 * time.Millisecond

// connectionWatchDelay is how long a call waits in the queue before the connection
// on which it came is watched for closure.
const connectionWatchDelay = 50 * time.Millisecond

// localServerID identifies the one backend server of an agent in its quarantine
// list.
const localServerID = "local"

// enginePriorities maps ranks to engine priorities, which range from 0, the highest,
// to 9.
var enginePriorities = map[document.RankName]int{document.Urgent: 0, document.Normal: 4, document.Overnight: 9}

// callHandler processes calls from entries: it admits or refuses them, queues
// them, forwards them to the engine or service, and accounts for the result. A
// call that it refuses has not run. A call is for a model if its Model is set, and
// otherwise for a service.
type callHandler struct {
	log      *zap.Logger
	tracer   *trace.Tracer
	scope    tally.Scope
	queue    *queue
	versions *versionManager
	engine   fuchsiarouter.Engine
	// serviceAddress is the address of the service on a backend server without a
	// model engine, and empty if there is an engine.
	serviceAddress string
	client         *upstream.Client
	// detectCrash returns the ID of the crash of the engine during which the request
	// with the fingerprint was in progress, or an empty string if there was none or
	// there is no engine (see engineMonitor.detectCrash).
	detectCrash func(fingerprint string) string
	// role returns the role in the heartbeat, which is empty when the engine runs
	// whole requests (see roleManager).
	role func() fuchsiarouter.Role
	// isUp reports whether the engine is running. It is always true for a service.
	isUp func() bool

	// waitingCalls holds the calls in the queue.
	waitingCalls waitingCalls

	// lastTaskID is the ID of the last task.
	lastTaskID atomic.Int64
	// isLeaving is set, and leavingStarted closed, by startLeaving.
	isLeaving      atomic.Bool
	leavingStarted chan struct{}

	// mu guards quarantineList.
	mu             sync.Mutex
	quarantineList *quarantine.List
	// inProgress is the number of calls that have arrived and have not ended,
	// including those in the queue.
	inProgress atomic.Int64
}

// task is one call and its trace span. Its ID is unique in this agent process.
type task struct {
	call dispatch.Call
	id   string
	span trace.Span
	// traceparent is the trace header for the request to the engine or service.
	traceparent string
}

// handle answers a call from an entry.
func (h *callHandler) handle(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	ctx.Response.Header.Set(dispatch.HeaderLoad, dispatch.FormatLoad(h.queue.load()))
	call, err := dispatch.Decode(&ctx.Request, now)
	if err != nil {
		h.writeFailure(ctx, result.Malformed.Error(err.Error()))
		return
	}
	task := &task{call: call, id: strconv.FormatInt(h.lastTaskID.Add(1), 10)}
	task.span, task.traceparent = h.tracer.Start(ctx, "agent", call.Traceparent)
	h.inProgress.Add(1)
	if failure := h.admit(ctx, task); failure != nil {
		h.inProgress.Add(-1)
		task.span.End(failure.Code.String())
		h.writeFailure(ctx, failure)
		return
	}
	h.forwardAndRespond(ctx, task)
}

// admit checks whether the call can run here, queues it and waits until it may start.
// After an error the call holds no slot and does not use the version.
func (h *callHandler) admit(ctx *fasthttp.RequestCtx, task *task) *result.Error {
	call := task.call
	if h.isLeaving.Load() {
		return result.Leaving.Error("the VM is leaving")
	}
	if !h.isUp() {
		// With any other result the entry would send the request to a third
		// backend server, which a request that crashes servers must not reach.
		return result.NotReady.Error("the engine does not answer")
	}
	if role := h.role(); call.Model != "" && role != "" {
		return result.VersionNotLoaded.Error("the backend server has the role " + string(role))
	}
	if call.Model != "" && !h.versions.acquire(call.Model, call.Version) {
		return result.VersionNotLoaded.Error("the backend server does not hold the version " + call.Version)
	}
	failure := h.waitForStart(ctx, task)
	if failure == nil {
		failure = h.checkQuarantine(task)
	}
	if failure != nil && call.Model != "" {
		h.versions.release(call.Version)
	}
	return failure
}

// waitForStart queues the call and waits until it may start, or returns why it will
// not. After an error the call holds no slot.
func (h *callHandler) waitForStart(ctx *fasthttp.RequestCtx, task *task) *result.Error {
	call := task.call
	start, err := h.queue.push(rank.Item{
		ID:          task.id,
		Workspace:   call.Workspace,
		Weight:      call.Weight,
		Rank:        call.Rank,
		Cost:        call.ExpectedTokens,
		Deadline:    call.Deadline,
		Preemptible: call.Idempotent && call.Stream,
		Exclusive:   call.Suspect,
		Resumed:     call.ResumeOffset > 0,
	})
	if err != nil {
		var refusal *result.Error
		if errors.As(err, &refusal) {
			return refusal
		}
		return result.QueueFull.Error(err.Error())
	}
	select {
	case <-start:
		return nil
	default:
	}
	if call.ReportsQueue {
		// An error shows that the entry closed the connection, which is watched below.
		_, _ = io.WriteString(ctx.Conn(), dispatch.WaitingResponse)
	}
	cancelled := h.waitingCalls.add(call.AttemptID)
	defer h.waitingCalls.remove(call.AttemptID)
	entryConnection := caller.New(ctx.Conn(), connectionWatchDelay)
	defer entryConnection.Close()
	deadline := time.NewTimer(time.Until(call.Deadline))
	defer deadline.Stop()
	var failure *result.Error
	select {
	case <-start:
		reportStart(ctx, call)
		return nil
	case <-deadline.C:
		failure = result.DeadlineUnreachable.Error("the deadline passed in the queue")
	case <-cancelled:
		failure = result.CallerLeft.Error("the caller left while the request waited in the queue")
	case <-entryConnection.Closed():
		failure = result.CallerLeft.Error("the entry closed its connection while the request waited in the queue")
	case <-h.leavingStarted:
		failure = result.Leaving.Error("the VM is leaving")
	}
	if h.queue.removeWaiting(task.id) {
		return failure
	}
	// The call was started concurrently with the other event, so it runs.
	reportStart(ctx, call)
	return nil
}

// reportStart tells the entry that a call which waited starts. The entry then knows which of
// its calls may have crashed the server if this process ends with it.
func reportStart(ctx *fasthttp.RequestCtx, call dispatch.Call) {
	if call.ReportsQueue {
		_, _ = io.WriteString(ctx.Conn(), dispatch.StartedResponse)
	}
}

// checkQuarantine refuses a call that may start but whose request is quarantined by
// now, because backend servers crashed while they ran it, and frees its slot.
func (h *callHandler) checkQuarantine(task *task) *result.Error {
	isRefused := false
	h.withQuarantine(func(list *quarantine.List) {
		isRefused = list.Verdict(time.Now(), task.call.Fingerprint) == quarantine.Refuse
	})
	if !isRefused {
		return nil
	}
	h.queue.finish(task.id, 0)
	return result.Quarantined.Error("backend servers died while they ran this request")
}

// forwardAndRespond forwards an admitted call to the engine or service and writes the
// answer, or starts to stream it, to the entry.
func (h *callHandler) forwardAndRespond(ctx *fasthttp.RequestCtx, task *task) {
	h.withQuarantine(func(list *quarantine.List) { list.RecordStart(localServerID, task.call.Fingerprint) })
	answer, err := h.forward(task)
	if err != nil {
		failure := h.classifyError(task, err)
		h.finish(task, 0, failure)
		h.writeFailure(ctx, failure)
		return
	}
	if task.call.Model != "" && answer.Status == fasthttp.StatusNotFound {
		// The engine answers with this status before it runs a request, when it
		// does not hold the version.
		_ = answer.Body.Close()
		failure := result.VersionNotLoaded.Error("the engine does not hold the version " + task.call.Version)
		h.finish(task, 0, failure)
		h.writeFailure(ctx, failure)
		return
	}
	ctx.Response.SetStatusCode(answer.Status)
	ctx.Response.Header.SetContentType(answer.ContentType)
	if task.call.Model != "" {
		ctx.Response.Header.Set(dispatch.HeaderVersion, task.call.Version)
	}
	if strings.HasPrefix(answer.ContentType, "text/event-stream") {
		checked := &checkedStream{
			requestID: task.call.RequestID,
			digest:    task.call.Version,
			answer:    answer,
			events:    stream.NewReader(answer.Body),
			toFailure: func(err error) *result.Error { return h.classifyError(task, err) },
			onEnd:     func(events int, failure *result.Error) { h.finish(task, events, failure) },
		}
		h.queue.onPreempt(task.id, checked.preempt)
		ctx.Response.SetBodyStream(checked, -1)
		return
	}
	h.respondBuffered(ctx, task, answer)
}

// respondBuffered ends a call whose answer is not a stream. It reads the whole answer
// before it writes any of it to the entry.
func (h *callHandler) respondBuffered(ctx *fasthttp.RequestCtx, task *task, answer fuchsiarouter.Response) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedAnswerBytes))
	_ = answer.Body.Close()
	if err == nil && task.call.Model != "" && answer.Status == fasthttp.StatusOK {
		err = checkCompletion(body, task.call)
	}
	if err == nil && len(body) == maxBufferedAnswerBytes {
		err = errors.Errorf("answer above %d bytes", maxBufferedAnswerBytes)
	}
	if err != nil {
		failure := h.classifyError(task, err)
		h.finish(task, 0, failure)
		h.writeFailure(ctx, failure)
		return
	}
	h.finish(task, int(task.call.ExpectedTokens), nil)
	ctx.Response.SetBodyRaw(body)
}

// checkCompletion returns an error if the answer is a completion of another request, or
// from another version or adapter than the call names. Some engines fall back to the base version when an
// adapter is missing.
func checkCompletion(body []byte, call dispatch.Call) error {
	var completion struct {
		ID      string `json:"id"`
		Version string `json:"system_fingerprint"`
	}
	if err := json.Unmarshal(body, &completion); err != nil {
		return errors.Wrap(err, "answer")
	}
	if completion.ID != call.RequestID || completion.Version != call.Version {
		return errMismatchedEvent
	}
	return nil
}

// forward sends the request of a call to the engine, or to the service, and returns
// the answer, whose body is still to be read.
func (h *callHandler) forward(task *task) (fuchsiarouter.Response, error) {
	call := task.call
	if call.Model != "" {
		return h.engine.Generate(context.Background(), fuchsiarouter.GenerateRequest{
			RequestID:    call.RequestID,
			Model:        call.Model,
			Digest:       call.Version,
			Priority:     enginePriorities[call.Rank],
			ResumeOffset: call.ResumeOffset,
			Body:         call.Body,
			Traceparent:  task.traceparent,
		})
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + h.serviceAddress + servicePath(call.Path))
	request.Header.SetMethod(call.Method)
	request.Header.SetContentType(call.ContentType)
	request.Header.Set(dispatch.HeaderRequestID, call.RequestID)
	request.Header.Set("Idempotency-Key", call.IdempotencyKey)
	request.Header.Set(trace.Header, task.traceparent)
	request.SetBodyRaw(call.Body)
	return h.client.Do(request)
}

// servicePath returns the path of a request to a service without the prefix
// "/v1/services/" and the name of the service.
func servicePath(path string) string {
	rest := strings.TrimPrefix(path, "/v1/services/")
	_, rest, _ = strings.Cut(rest, "/")
	return "/" + rest
}

// classifyError returns the result that the entry gets for a call that failed with an
// error of the engine or service. It is NotReady if the request was not sent, so that
// it did not run, and ServerLost otherwise. classifyError also checks whether the
// engine crashed, and adds the ID of the crash to ServerLost.
func (h *callHandler) classifyError(task *task, err error) *result.Error {
	if errors.Is(err, upstream.ErrNotSent) {
		h.detectCrash("")
		return result.NotReady.Error("the backend server does not accept connections")
	}
	failure := result.ServerLost.Error(err.Error())
	failure.CrashID = h.detectCrash(task.call.Fingerprint)
	return failure
}

// finish ends a call that had started: it frees the slot and the version, counts the
// call, and records the result in the trace span, and in the log if it is a failure.
// A suspect request that succeeded is cleared of having crashed the server. tokens is
// the cost of the call: the number of events of a stream, the expected cost of
// another answer, or 0 if there is no answer. failure is nil if the call succeeded.
func (h *callHandler) finish(task *task, tokens int, failure *result.Error) {
	h.withQuarantine(func(list *quarantine.List) {
		list.RecordEnd(localServerID, task.call.Fingerprint)
		if task.call.Suspect && failure == nil {
			list.MarkCleared(task.call.Fingerprint)
		}
	})
	h.queue.finish(task.id, float64(tokens))
	if task.call.Model != "" {
		h.versions.release(task.call.Version)
	}
	resultName := result.OK.String()
	if failure != nil {
		resultName = failure.Code.String()
		h.log.Warn("request failed", zap.String("request-id", task.call.RequestID), zap.Error(failure))
	}
	task.span.End(resultName)
	h.scope.Tagged(map[string]string{"rank": string(task.call.Rank)}).Counter("requests").Inc(1)
	h.inProgress.Add(-1)
}

// withQuarantine calls f with the quarantine list locked.
func (h *callHandler) withQuarantine(f func(*quarantine.List)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.quarantineList)
}

// writeFailure writes a result other than success, with the current load, to the
// entry.
func (h *callHandler) writeFailure(ctx *fasthttp.RequestCtx, failure *result.Error) {
	ctx.Response.Header.Set(dispatch.HeaderLoad, dispatch.FormatLoad(h.queue.load()))
	failure.Write(&ctx.Response)
}

// startLeaving makes the handler refuse the calls that wait in the queue and all new
// ones.
func (h *callHandler) startLeaving() {
	if h.isLeaving.CompareAndSwap(false, true) {
		close(h.leavingStarted)
	}
}

// waitUntilIdle waits until no call is in progress, but at most for the timeout, and
// reports whether none is.
func (h *callHandler) waitUntilIdle(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(drainPollInterval) {
		if h.inProgress.Load() == 0 {
			return true
		}
	}
	return h.inProgress.Load() == 0
}
