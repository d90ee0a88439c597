package entry

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/dispatch"
	"github.com/fuchsiarouter/fuchsiarouter/fleet"
	"github.com/fuchsiarouter/fuchsiarouter/quarantine"
	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/retry"
	"github.com/fuchsiarouter/fuchsiarouter/routing"
	"github.com/fuchsiarouter/fuchsiarouter/trace"
	"github.com/fuchsiarouter/fuchsiarouter/upstream"
)

const (
	// maxAttempts is the maximum number of failed attempts of one request. Preemptions
	// don't count.
	maxAttempts = 8
	// maxServerWait is how long a request waits for a server of its group, so that the
	// requests that arrive during a restart or a rollout are not refused. It exceeds the
	// time after which a silent server becomes suspect plus the time for which a lost
	// server then keeps its position in the ranking.
	maxServerWait = fleet.SuspectAfter + routing.DefaultHoldDown + 2*time.Second
	// serverPollInterval is the interval at which a waiting request looks for a server.
	serverPollInterval = 50 * time.Millisecond
	// maxCancelAttempts and cancelRetryInterval bound how long the entry asks an agent to
	// cancel a request that may not have reached the agent yet.
	maxCancelAttempts   = 10
	cancelRetryInterval = 50 * time.Millisecond
)

// dispatcher chooses a backend server for a request, sends the request to the server's
// agent, and sends it again after a failure if that is safe.
type dispatcher struct {
	log     *zap.Logger
	tracer  *trace.Tracer
	client  *upstream.Client
	members *members
	// attemptIDPrefix and attemptCounter form the ids of attempts. The prefix is random, so
	// that no other entry uses it and no other process can cancel an attempt.
	attemptIDPrefix string
	attemptCounter  atomic.Uint64

	mu     sync.Mutex
	router *routing.Router
	// budget limits how often requests are sent again after an attempt that may have run
	// them.
	budget *retry.Budget
	// quarantineList holds the requests during which servers crashed.
	quarantineList *quarantine.List
	// knownGroups holds the servers of each routing group at the last update of the
	// router. At the next update it shows which groups have disappeared since.
	knownGroups map[string][]routing.Server
}

// acceptedRequest is an attempt that a server has accepted, with the server's response.
// server is the id of the server and address the address of its agent.
type acceptedRequest struct {
	response fuchsiarouter.Response
	server   string
	address  string
	// span is the span of the attempt.
	span trace.Span
}

// attemptHistory records the earlier attempts of a request: the servers to avoid, and
// whether one of the attempts may have run the request.
type attemptHistory struct {
	// excluded are the ids of the servers that may have crashed. They keep their places in
	// the ranking of the group, so that no further server becomes a candidate instead.
	excluded []string
	// skipped are the ids of the servers that are up but failed with a result that
	// routing.AllowsFailover allows, or that were lost while the request waited there. The
	// next servers in the ranking take their places.
	skipped []string
	// failedAttempts is the number of failed attempts without preemptions.
	failedAttempts int
	// wasWaiting is set if the last attempt failed while the request waited in the agent's
	// queue, so that it is not suspected of having crashed the server.
	wasWaiting bool
	// mayHaveRun is the last failure of an attempt that may have run the request.
	mayHaveRun *result.Error
}

// callerFailure returns the failure to report to the caller. After an attempt that may
// have run the request, a refusal of a later attempt must not say that the request did
// not run.
func (h *attemptHistory) callerFailure(failure *result.Error) *result.Error {
	if h.mayHaveRun != nil && failure.Code.Ran == result.RanNo {
		return h.mayHaveRun
	}
	return failure
}

// record stores the failure of an attempt if the attempt may have run the request.
func (h *attemptHistory) record(failure *result.Error) {
	if failure.Code.Ran != result.RanNo {
		h.mayHaveRun = failure
	}
}

// send sends the request to one server after the other until one accepts it, or returns the
// failure to report to the caller. delivered is the number of bytes of the response that were
// passed to the caller; if it is positive, only a server with the same version may continue
// the response.
func (d *dispatcher) send(r *request, history *attemptHistory, delivered int64) (*acceptedRequest, *result.Error) {
	var lastFailure *result.Error
	for {
		if r.caller.IsClosed() {
			return nil, history.callerFailure(result.CallerLeft.Error("the caller left before a backend server took the request"))
		}
		if failure := d.checkQuarantine(r); failure != nil {
			return nil, history.callerFailure(failure)
		}
		server, address, failure := d.chooseServer(r, history, lastFailure, delivered > 0 || r.resumesStream)
		if failure != nil {
			if lastFailure != nil && failure.Code != result.CallerLeft {
				failure = lastFailure
			}
			return nil, history.callerFailure(failure)
		}
		accepted, failure := d.sendAttempt(r, server, address, history)
		if failure == nil {
			return accepted, nil
		}
		lastFailure = failure
		history.record(failure)
		if !d.prepareRetry(r, history, server, failure, delivered) {
			return nil, history.callerFailure(failure)
		}
	}
}

// checkQuarantine refuses a request that has crashed several servers, and marks one that
// may have crashed a server as suspect. A suspect runs at its server with no other request
// at the same time.
func (d *dispatcher) checkQuarantine(r *request) *result.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch d.quarantineList.Verdict(time.Now(), r.Fingerprint) {
	case quarantine.Refuse:
		return result.Quarantined.Error("backend servers died while they ran this request")
	case quarantine.Exclusive:
		r.Suspect = true
	case quarantine.Run:
		r.Suspect = false
	}
	return nil
}

// chooseServer selects a server, and waits for one if none is available. It reports the
// request to the router as started there, which finishAttempt ends. lastFailure is the
// failure of the previous attempt, or nil. If keepVersion is set, the server must have the
// version that is already set in the request; otherwise chooseServer chooses the version.
func (d *dispatcher) chooseServer(r *request, history *attemptHistory, lastFailure *result.Error, keepVersion bool) (id, address string, failure *result.Error) {
	for end := time.Now().Add(maxServerWait); ; {
		now := time.Now()
		if !now.Before(r.Deadline) {
			return "", "", result.DeadlineUnreachable.Error("the deadline passed before a backend server was found")
		}
		if r.Model != "" && !keepVersion {
			r.Version = d.members.chooseVersion(r.Model, r.adapter, r.Fingerprint)
		}
		d.mu.Lock()
		id, ok := d.router.Choose(now, routing.Request{
			Group: r.group(), Fingerprint: r.Fingerprint, Rank: r.Rank, Excluded: history.excluded, Skipped: history.skipped,
			Suspect: r.Suspect, CrashedServers: d.quarantineList.CrashedServers(r.Fingerprint), Prefix: r.prefix,
		})
		if ok {
			d.router.RecordStart(id, r.Rank)
		}
		d.mu.Unlock()
		if ok {
			return id, d.members.address(id), nil
		}
		if now.After(end) || !isWorthWaiting(lastFailure) {
			return "", "", result.NoServer.Error("no backend server is ready for this request")
		}
		select {
		case <-r.caller.Closed():
			return "", "", result.CallerLeft.Error("the caller left while the request waited for a backend server")
		case <-time.After(serverPollInterval):
		}
	}
}

// isWorthWaiting reports whether a request that found no server may find one later.
// lastFailure is the failure of its previous attempt, or nil if this is the first one. The
// position of a lost server in the ranking passes to another server after the hold-down
// time. A server with a full queue keeps its position, so waiting doesn't help.
func isWorthWaiting(lastFailure *result.Error) bool {
	if lastFailure == nil {
		return true
	}
	switch lastFailure.Code {
	case result.ServerLost, result.StreamCut, result.NotReady, result.Leaving, result.VersionNotLoaded:
		return true
	}
	return false
}

// sendAttempt sends the request to the agent of a server, and records in the history whether
// it failed while it waited there.
func (d *dispatcher) sendAttempt(r *request, server, address string, history *attemptHistory) (*acceptedRequest, *result.Error) {
	now := time.Now()
	call := r.Call
	call.AttemptNumber, call.ReportsQueue = history.failedAttempts, true
	call.AttemptID = d.attemptIDPrefix + strconv.FormatUint(d.attemptCounter.Add(1), 36)
	span, parent := d.tracer.Start(spanContext, "attempt", r.Traceparent)
	call.Traceparent = parent
	out := fasthttp.AcquireRequest()
	call.Encode(out, address, now)
	answered := make(chan struct{})
	r.caller.OnClose(func() { d.cancelAttempt(address, call.AttemptID, answered) })
	response, err := d.client.Do(out)
	r.caller.OnClose(nil)
	close(answered)
	fasthttp.ReleaseRequest(out)
	history.wasWaiting = errors.Is(err, upstream.ErrWaiting)
	var failure *result.Error
	switch {
	case upstream.IsNotSent(err):
		failure = result.NotReady.Error("the agent does not accept connections")
	case err != nil:
		failure = result.ServerLost.Error(err.Error())
	default:
		d.observeLoad(server, response)
		failure = readFailure(response)
	}
	if failure == nil {
		return &acceptedRequest{response: response, server: server, address: address, span: span}, nil
	}
	d.finishAttempt(r, server, failure, 0)
	if !history.wasWaiting {
		d.recordCrash(r, server, address, failure)
	}
	span.End(failure.Code.String())
	return nil, failure
}

// cancelAttempt asks the agent at the address to remove a waiting request from its queue. The
// agent's response to that request then says that it did not run. The cancellation is sent
// several times because it may reach the agent before the request does. attemptID is the id
// of the attempt. answered is closed when the request has its response or has failed.
func (d *dispatcher) cancelAttempt(address, attemptID string, answered <-chan struct{}) {
	for range maxCancelAttempts {
		out := fasthttp.AcquireRequest()
		out.SetRequestURI("http://" + address + dispatch.CancelPathPrefix + attemptID)
		out.Header.SetMethod(fasthttp.MethodDelete)
		response, err := d.client.Do(out)
		fasthttp.ReleaseRequest(out)
		if err != nil {
			return
		}
		_ = response.Body.Close()
		if response.Status == fasthttp.StatusNoContent {
			return
		}
		select {
		case <-answered:
			return
		case <-time.After(cancelRetryInterval):
		}
	}
}

// prepareRetry decides whether the request is sent once more after the failure at a server,
// and records in the history which servers the next attempt avoids. delivered is the number
// of bytes of the response that were passed to the caller.
func (d *dispatcher) prepareRetry(r *request, history *attemptHistory, server string, failure *result.Error, delivered int64) bool {
	if failure.Code == result.CallerLeft {
		return false
	}
	if failure.Code == result.Preempted {
		// The agent gave the slot to more urgent work, so this counts neither as a failed
		// attempt nor against the retry budget.
		return time.Now().Before(r.Deadline)
	}
	history.failedAttempts++
	if history.failedAttempts >= maxAttempts || !time.Now().Before(r.Deadline) {
		return false
	}
	decision := retry.Decide(retry.FailedAttempt{
		Code: failure.Code, Idempotent: r.Idempotent, DeliveredBytes: delivered, Resumable: r.Stream,
	})
	switch decision {
	case retry.Stop:
		return false
	case retry.Retry, retry.Resume:
		d.mu.Lock()
		allowed := d.budget.Allow(time.Now())
		d.mu.Unlock()
		if !allowed {
			return false
		}
	case retry.Resend:
	}
	if routing.AllowsFailover(failure.Code) || history.wasWaiting {
		history.skipped = append(history.skipped, server)
	} else {
		history.excluded = append(history.excluded, server)
	}
	d.log.Info("retrying the request", zap.String("request-id", r.RequestID), zap.String("server", server),
		zap.Int("attempt", history.failedAttempts), zap.String("result", failure.Code.String()))
	return true
}

// observeLoad passes the load that an agent reports in its response to the router.
func (d *dispatcher) observeLoad(server string, response fuchsiarouter.Response) {
	load, ok := dispatch.ParseLoad(response.Header[dispatch.HeaderLoad])
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.UpdateLoad(time.Now(), server, load)
}

// finishAttempt reports to the router how an attempt ended. failure is nil if it
// succeeded. tokenInterval is the mean time between the tokens of the response, or 0 if
// that is unknown.
func (d *dispatcher) finishAttempt(r *request, server string, failure *result.Error, tokenInterval time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.RecordEnd(time.Now(), server, r.Rank, outcomeOf(failure), tokenInterval)
}

// recordCrash records that a server crashed while it ran the request, if the failure shows
// that: its agent reports the crash, or the connection broke and the process of the agent
// has ended. An agent that cannot be reached at all may be partitioned from this entry,
// which says nothing about the request.
func (d *dispatcher) recordCrash(r *request, server, address string, failure *result.Error) {
	crash := failure.CrashID
	isBroken := failure.Code == result.ServerLost || failure.Code == result.StreamCut
	switch {
	case crash == "" && (!isBroken || !upstream.RefusesConnections(address)):
		return
	case crash == "":
		incarnation, _ := d.members.incarnation(server)
		crash = server + "/agent-" + strconv.FormatInt(incarnation, 10)
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quarantineList.Merge(now, []fuchsiarouter.Strike{{
		Fingerprint: r.Fingerprint, CrashCount: 1, CrashID: crash, AtMilliseconds: now.UnixMilli(),
	}})
}

// clearSuspect records that a suspect request ran without crashing its server.
func (d *dispatcher) clearSuspect(r *request) {
	if !r.Suspect {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quarantineList.MarkCleared(r.Fingerprint)
}

// outcomeOf returns what the result of an attempt says about the server.
func outcomeOf(failure *result.Error) routing.Outcome {
	switch {
	case failure == nil:
		return routing.Succeeded
	case failure.Code == result.ServerLost || failure.Code == result.StreamCut || failure.Code == result.NotReady:
		return routing.Crashed
	case failure.Code == result.Timeout || failure.Code == result.Internal:
		return routing.Failed
	default:
		return routing.Refused
	}
}

// readFailure returns the failure that a response of an agent reports, or nil. A response
// without a result header comes from the engine or service. It is passed to the caller
// whatever its status, and doesn't count as a failure here.
func readFailure(response fuchsiarouter.Response) *result.Error {
	code, ok := result.Parse(response.Header[result.HeaderResult])
	if !ok || code.Number == result.OK.Number {
		return nil
	}
	failure := code.Error("refused by the agent")
	body, err := readLimited(response.Body, maxFailureBytes)
	_ = response.Body.Close()
	if err != nil {
		return failure
	}
	if parsed, ok := result.ParseBody(body); ok {
		failure.Message, failure.CrashID = parsed.Message, parsed.CrashID
	}
	failure.RetryAfter = parseSeconds(response.Header[fasthttp.HeaderRetryAfter])
	return failure
}
