package serving

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/quarantine"
	"github.com/fuchsiarouter/fuchsiarouter/quota"
	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/retry"
	"github.com/fuchsiarouter/fuchsiarouter/routing"
)

const (
	// modelGroup is the routing group, the set of servers to choose from, of the only model.
	modelGroup = "model"
	// maxAttempts is the maximum number of dispatches of a request.
	maxAttempts = 3
	// maxNoServerWait is how long in total an entry holds a request for which it cannot choose
	// a server, if the request was not dispatched yet or its last server was lost or not
	// ready. It exceeds the time to detect a silent server plus the hold-down, the time for
	// which the router then keeps a lost server as a candidate.
	maxNoServerWait = reportTimeout + routing.DefaultHoldDown + 2*time.Second
	// noServerRetryInterval is the time until an entry tries again to choose a server for a
	// request for which it found none.
	noServerRetryInterval = 250 * time.Millisecond
	// reportTimeout is the time without a report after which an entry stops routing to a
	// server.
	reportTimeout = 3 * time.Second
)

// Entry is a simulated entry with the packages that make its decisions and its view of the
// servers, which is as old as their last reports.
type Entry struct {
	fleet      *Fleet
	router     *routing.Router
	budget     *retry.Budget
	limiter    *quota.Limiter
	quarantine *quarantine.List
	// reports holds the last report of each server, by server ID.
	reports map[string]serverReport
	// quotaShares holds this entry's share, from 0 to 1, of the limits of each workspace. A
	// workspace that it lacks has an equal share at every entry.
	quotaShares map[string]float64
	// roundRobinIndex counts the servers considered with Settings.RoundRobin.
	roundRobinIndex int
	// serversByPrefix holds, by prefix, the IDs of the servers that once cached it according
	// to the cache events received. No event reports that a server evicted a prefix.
	serversByPrefix map[string][]string
	// Received counts requests from callers, Dispatches their dispatches to servers,
	// including the repeated ones.
	Received   int
	Dispatches int
	// Retries counts how often a request was to be dispatched again after a dispatch in
	// which it may have run, even if no server was found then. These retries are the ones
	// that need a retry budget.
	Retries int
}

// serverReport is the content of a heartbeat from a server's agent.
type serverReport struct {
	server routing.Server
	// ready is set unless the engine has crashed and not yet restarted.
	ready bool
}

// pendingRequest is a request that an entry has received and not yet completed.
type pendingRequest struct {
	entry   *Entry
	request *Request
	// server and sentAt are those of the last dispatch.
	server        *Server
	sentAt        time.Time
	dispatchCount int
	// excluded and skipped are passed on in routing.Request. They hold the IDs of the servers
	// that were tried: skipped those whose result routing.AllowsFailover accepts, excluded
	// the others, such as those that may have crashed.
	excluded []string
	skipped  []string
	// suspect is set for a request that was in progress at a server when the server
	// crashed, and may have caused the crash. The request must run alone, so that another
	// crash affects no other request.
	suspect bool
	// onDone is called once the request has its final result.
	onDone func()
	// waited is the total time during which no server could be chosen.
	waited time.Duration
	// lastResult is the result of the last dispatch, result.NoServer if no server could be
	// chosen for the first one, and zero before that.
	lastResult result.Code
}

// Receive dispatches a request from a caller, unless the limits of its workspace refuse it.
// done is called once the request has its final result.
func (e *Entry) Receive(r *Request, done func()) {
	now := e.fleet.Clock.Now
	e.Received++
	p := &pendingRequest{entry: e, request: r, onDone: done}
	workspace, limited := e.fleet.Workspaces[r.Workspace]
	if limited {
		share := 1 / float64(len(e.fleet.Entries))
		if known, ok := e.quotaShares[r.Workspace]; ok {
			share = known
		}
		if err := e.limiter.Admit(now, workspace, r.estimatedCost(e.fleet.TokenTimes), share); err != nil {
			refusal := (*result.Error)(nil)
			if errors.As(err, &refusal) {
				r.Result = refusal.Code
			}
			done()
			return
		}
		p.onDone = func() {
			e.limiter.Done(r.Workspace, 0)
			done()
		}
	}
	e.budget.RecordRequest(now)
	p.dispatch()
}

// dispatch chooses a server and sends the request to it, unless the quarantine refuses the
// request or no server can take it.
func (p *pendingRequest) dispatch() {
	e, now := p.entry, p.entry.fleet.Clock.Now
	if !e.fleet.DisableQuarantine {
		switch e.quarantine.Verdict(now, p.request.Fingerprint) {
		case quarantine.Refuse:
			p.complete(result.Quarantined)
			return
		case quarantine.Exclusive:
			p.suspect = true
		}
	}
	id, ok := e.chooseServer(p)
	if !ok {
		p.waitOrStop()
		return
	}
	p.server, p.sentAt = e.fleet.server(id), now
	p.dispatchCount++
	p.request.Dispatches++
	e.Dispatches++
	e.router.RecordStart(id, p.request.Rank)
	e.quarantine.RecordStart(id, p.request.Fingerprint)
	e.fleet.afterMessageDelay(func() { p.server.receive(p, p.suspect) })
}

// waitOrStop handles a request for which no server could be chosen. If the last dispatch
// failed because its server was lost or not ready, or if there was none, it repeats dispatch
// after noServerRetryInterval, for maxNoServerWait in total. Within that time the router
// replaces lost candidates by the next servers in the request's ranking. Otherwise it
// completes the request with the last result.
func (p *pendingRequest) waitOrStop() {
	if p.lastResult == (result.Code{}) {
		p.lastResult = result.NoServer
	}
	lost := p.lastResult == result.NoServer || p.lastResult == result.NotReady || p.lastResult == result.ServerLost
	if !lost || p.waited >= maxNoServerWait {
		p.complete(p.lastResult)
		return
	}
	p.waited += noServerRetryInterval
	p.entry.fleet.Clock.After(noServerRetryInterval, p.dispatch)
}

// chooseServer returns the ID of the server for the request by the policy that Settings
// selects. It returns false if no server can take the request.
func (e *Entry) chooseServer(p *pendingRequest) (string, bool) {
	if id, ok := e.chooseByCacheEvents(p); ok {
		return id, true
	}
	if e.fleet.RoundRobin {
		for range e.fleet.Servers {
			e.roundRobinIndex++
			server := e.fleet.Servers[e.roundRobinIndex%len(e.fleet.Servers)]
			if e.reports[server.ID].ready {
				return server.ID, true
			}
		}
		return "", false
	}
	request := routing.Request{
		Group: modelGroup, Fingerprint: p.request.Fingerprint, Rank: p.request.Rank, Excluded: p.excluded, Skipped: p.skipped,
	}
	if p.suspect {
		request.CrashedServers = e.quarantine.CrashedServers(p.request.Fingerprint)
	}
	if e.fleet.RouteByPrefix {
		request.Prefix = p.request.Prefix
	}
	return e.router.Choose(e.fleet.Clock.Now, request)
}

// chooseByCacheEvents returns the ID of the server with the fewest running and queued
// requests among those that have the request's prefix cached according to cache events, even
// if its last report says that it is not ready. It returns false if there is none, and for
// every dispatch but the first.
func (e *Entry) chooseByCacheEvents(p *pendingRequest) (string, bool) {
	best, least := "", 0
	for _, id := range e.serversByPrefix[p.request.Prefix] {
		load := e.reports[id].server.Load
		if pending := load.Running + load.Queued; best == "" || pending < least {
			best, least = id, pending
		}
	}
	return best, best != "" && p.dispatchCount == 0
}

// observeLoad passes a server's load that came with a response to the router.
func (p *pendingRequest) observeLoad(load fuchsiarouter.Load) {
	p.entry.router.UpdateLoad(p.entry.fleet.Clock.Now, p.server.ID, load)
}

// handleFirstToken handles the first token of an execution. It records the time as that of
// the request's first token, unless the request already got a token before a preemption or a
// crash interrupted it, and passes the server's load that came with the token to the router.
func (p *pendingRequest) handleFirstToken(load fuchsiarouter.Load) {
	now := p.entry.fleet.Clock.Now
	if p.request.FirstToken.IsZero() {
		p.request.FirstToken = now
	}
	p.observeLoad(load)
}

// handleSuccess completes a request whose server has sent the complete response.
func (p *pendingRequest) handleSuccess() {
	e, now := p.entry, p.entry.fleet.Clock.Now
	e.router.RecordEnd(now, p.server.ID, p.request.Rank, routing.Succeeded, now.Sub(p.request.FirstToken)/time.Duration(p.request.Output))
	e.quarantine.RecordEnd(p.server.ID, p.request.Fingerprint)
	if p.suspect {
		e.quarantine.MarkCleared(p.request.Fingerprint)
	}
	p.request.Tokens = p.request.Output
	p.complete(result.OK)
}

// handleCrash ends a dispatch whose server crashed, and retries the request if that is
// allowed. ran is set if the request held a slot at that time. strikes are those that the
// agent reports for the crash; there are none if the agent crashed too.
func (p *pendingRequest) handleCrash(ran bool, strikes []fuchsiarouter.Strike) {
	e, now, id := p.entry, p.entry.fleet.Clock.Now, p.server.ID
	e.router.RecordEnd(now, id, p.request.Rank, routing.Crashed, 0)
	if p.server.CrashesAgent {
		// The entry cannot tell which requests were running, so each request at the
		// server is a suspect.
		crash := fmt.Sprintf("%s/%d/lost", id, e.reports[id].server.Incarnation)
		e.quarantine.RecordBrokenConnection(now, id, crash, p.request.Fingerprint)
	} else {
		e.quarantine.RecordEnd(id, p.request.Fingerprint)
		e.quarantine.Merge(now, strikes)
	}
	code := result.ServerLost
	if !ran && !p.server.CrashesAgent {
		code = result.NotReady
	}
	p.retryOrStop(code)
}

// handleFailure ends a dispatch with an error from the agent, and retries the request if that
// is allowed. refused is set if the error proves that the request did not run.
func (p *pendingRequest) handleFailure(code result.Code, refused bool) {
	e, now, id := p.entry, p.entry.fleet.Clock.Now, p.server.ID
	outcome := routing.Failed
	if refused {
		outcome = routing.Refused
	}
	if code == result.ServerLost || code == result.NotReady {
		outcome = routing.Crashed
	}
	e.router.RecordEnd(now, id, p.request.Rank, outcome, 0)
	e.quarantine.RecordEnd(id, p.request.Fingerprint)
	p.retryOrStop(code)
}

// retryOrStop dispatches the request again if the result and the retry budget allow it,
// and otherwise completes it with the result.
func (p *pendingRequest) retryOrStop(code result.Code) {
	e, r := p.entry, p.request
	p.lastResult = code
	delivered := int64(0)
	if !r.FirstToken.IsZero() {
		delivered = 1
	}
	decision := retry.Decide(retry.FailedAttempt{Code: code, Idempotent: true, DeliveredBytes: delivered, Resumable: true})
	switch {
	case decision == retry.Stop || p.dispatchCount >= maxAttempts:
		p.complete(code)
		return
	case decision == retry.Retry, decision == retry.Resume:
		if !e.fleet.DisableRetryBudget && !e.budget.Allow(e.fleet.Clock.Now) {
			p.complete(code)
			return
		}
		e.Retries++
	}
	if routing.AllowsFailover(code) {
		p.skipped = append(p.skipped, p.server.ID)
	} else {
		p.excluded = append(p.excluded, p.server.ID)
	}
	p.dispatch()
}

// complete records the final result of the request and calls onDone.
func (p *pendingRequest) complete(code result.Code) {
	p.request.Result = code
	p.request.Ended = p.entry.fleet.Clock.Now
	p.onDone()
}

// updateRouter replaces the router's list of servers by those whose last report says that
// they are ready and is not older than reportTimeout.
func (e *Entry) updateRouter() {
	now := e.fleet.Clock.Now
	var servers []routing.Server
	for _, server := range e.fleet.Servers {
		report, ok := e.reports[server.ID]
		if ok && report.ready && now.Sub(report.server.ReportedAt) < reportTimeout {
			servers = append(servers, report.server)
		}
	}
	e.router.Update(now, modelGroup, servers, nil)
}
