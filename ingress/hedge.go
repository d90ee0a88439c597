package ingress

import (
	"context"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
)

// hedgeInterval is the time between the end of a hedge without a response and the next hedge of
// the same attempt.
const hedgeInterval = 500 * time.Millisecond

// hedge is a further attempt of an idempotent request whose server makes no progress. The first
// attempt stays at its server, which may be sound and only silent for a while. If the hedge gets a
// response before the first attempt progresses, the response replaces the first attempt.
type hedge struct {
	// first is the attempt that makes no progress.
	first *activeAttempt
	// request is the request as the hedge sends it. It shares no state with that of the first
	// attempt but the caller's request itself, which may be read only while the hedge is not
	// dropped.
	request *request
	// done is closed when the hedge has ended without being dropped. The lock of the stall
	// detector protects dropped, and response until then. response is nil if no server gave one
	// that can replace the first attempt.
	done     chan struct{}
	dropped  bool
	response *serverResponse
}

// startHedge returns a hedge for an attempt, or nil if the request must not be sent to a further
// server now. The caller holds the lock of the stall detector and runs the hedge.
func startHedge(now time.Time, attempt *activeAttempt) *hedge {
	if !attempt.resendable || !attempt.waiting || attempt.isHedge || attempt.hedge != nil || now.Before(attempt.nextHedgeAt) || !attempt.position.isResumable() {
		return nil
	}
	first := attempt.request
	ctx, cancel := context.WithCancel(first.callerCtx)
	second := &request{
		RequestHead: first.RequestHead, ctx: first.ctx, route: first.route, service: first.service, workspace: first.workspace,
		rank: first.rank, received: first.received, deadline: first.deadline, fingerprint: first.fingerprint,
		callerCtx: ctx, cancelCallerCtx: cancel, scheduling: first.scheduling, position: attempt.position,
		attempts:     first.attempts + len(attempt.hedgeServers),
		possibleRuns: first.possibleRuns + attempt.hedgeRuns + 1,
	}
	if !second.canSendAgain(false) {
		cancel()
		return nil
	}
	second.scheduling.TriedServers = slices.Concat(first.scheduling.TriedServers, attempt.hedgeServers)
	second.markResumed()
	attempt.hedge = &hedge{first: attempt, request: second, done: make(chan struct{})}
	return attempt.hedge
}

// runHedge sends the request of a hedge and, if that gives a response, cancels the first attempt.
func (i *Ingress) runHedge(h *hedge) {
	response := i.sendHedge(h)
	if !i.stallDetector.endHedge(time.Now(), h, response) {
		if response != nil {
			i.discardResponse(h.request, response)
		}
		return
	}
	if response != nil {
		h.first.cancel()
	} else {
		h.request.cancelCallerCtx()
	}
	i.requestLog.write("hedge ended", []zap.Field{
		zap.String("request-id", h.request.AttemptID), zap.String("silent-server", h.first.server),
		zap.String("server", h.request.lastServer), zap.Bool("replaces-first", response != nil),
	})
}

// sendHedge sends the request of a hedge to one server. It returns nil if there is no response
// that can replace the first attempt.
func (i *Ingress) sendHedge(h *hedge) *serverResponse {
	r := h.request
	server, failure := i.acquireServer(r)
	if failure != nil {
		return nil
	}
	var text []byte
	send := func() { text = i.formatRequest(r, server) }
	if i.checkCrashes(r) != nil || !i.allowResend(r, false, true) || !i.stallDetector.recordHedgeSend(h, server, send) {
		i.releaseServer(r, server.ID, schedule.Cancelled)
		return nil
	}
	response, err := i.roundTrip(r, server, text, true)
	if err == nil && h.isReplacement(response) && i.isDeliverable(r, response) {
		return response
	}
	if failed := i.endFailedAttempt(r, server, response, err); failed.notRun {
		i.stallDetector.recordHedgeNotRun(h)
	}
	return nil
}

// isReplacement reports whether a response can replace the first attempt, whose server may still
// answer: it is no failure of the server, and it continues the stream if there is one.
func (h *hedge) isReplacement(response *serverResponse) bool {
	header := response.http.Header
	return header.StatusCode() < fasthttp.StatusInternalServerError && (!h.request.scheduling.Resumed || isEventStream(header))
}

// discardResponse cancels the request of a response that nobody reads, and releases its server.
func (i *Ingress) discardResponse(r *request, response *serverResponse) {
	response.http.Close()
	i.releaseServer(r, response.server.ID, schedule.Cancelled)
}

// dropHedge cancels the hedge of an attempt, if there is one.
func (i *Ingress) dropHedge(attempt *activeAttempt) {
	if h, response := i.stallDetector.dropHedge(attempt); h != nil {
		h.request.cancelCallerCtx()
		if response != nil {
			i.discardResponse(h.request, response)
		}
	}
}

// awaitHedge waits for the end of a hedge of an attempt that has ended, and makes its response that
// of the request. It returns nil if it got none, or if h is nil. In any case the state of the
// attempt, with the sends of its hedges, becomes part of that of the request.
func (i *Ingress) awaitHedge(r *request, attempt *activeAttempt, h *hedge) *serverResponse {
	var response *serverResponse
	if h != nil {
		timer := time.NewTimer(time.Until(r.deadline))
		defer timer.Stop()
		select {
		case <-h.done:
		case <-timer.C:
		case <-r.callerCtx.Done():
		}
		if response = i.stallDetector.stopHedge(h); response == nil {
			h.request.cancelCallerCtx()
		}
	}
	servers, runs, position := i.stallDetector.hedgeSends(attempt)
	r.attempts += len(servers)
	r.possibleRuns += runs
	r.scheduling.TriedServers = append(r.scheduling.TriedServers, servers...)
	r.position = position
	r.markResumed()
	if response == nil {
		return nil
	}
	// The run of the hedge is in progress.
	r.possibleRuns--
	r.lastServer, r.framing = response.server.ID, response.http.Framing()
	r.activeAttempt = h.request.activeAttempt
	i.stallDetector.adopt(r, r.activeAttempt)
	return response
}

// endHedge records the end of a hedge. It returns false if the hedge was dropped.
func (s *stallDetector) endHedge(now time.Time, h *hedge, response *serverResponse) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.dropped {
		return false
	}
	h.response = response
	if response == nil && h.first.hedge == h {
		h.first.hedge, h.first.nextHedgeAt = nil, now.Add(hedgeInterval)
	}
	close(h.done)
	return true
}

// recordHedgeSend calls format, which reads the caller's request, and records that the hedge is
// sent to the server. It returns false if the hedge was dropped.
func (s *stallDetector) recordHedgeSend(h *hedge, server *catalog.Server, format func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.dropped {
		return false
	}
	format()
	h.first.hedgeServers = append(h.first.hedgeServers, server.ID)
	h.first.hedgeRuns++
	return true
}

// recordHedgeNotRun records that the server of a hedge did not run the request.
func (s *stallDetector) recordHedgeNotRun(h *hedge) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.first.hedgeRuns--
}

// hedgeSends returns the servers that the hedges of an attempt were sent to, how many of them may
// have run the request, and the position of the stream.
func (s *stallDetector) hedgeSends(attempt *activeAttempt) (servers []string, runs int, position streamPosition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return attempt.hedgeServers, attempt.hedgeRuns, attempt.position
}

// dropHedge marks the hedge of an attempt as dropped and returns it, with its response if it has
// one already. It returns nil if there is no hedge.
func (s *stallDetector) dropHedge(attempt *activeAttempt) (*hedge, *serverResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := attempt.hedge
	if h == nil {
		return nil, nil
	}
	h.dropped, attempt.hedge = true, nil
	return h, h.response
}

// takeHedge returns the hedge of an attempt that has ended, or nil, so that it is not dropped with
// the attempt. No further hedge of the attempt begins.
func (s *stallDetector) takeHedge(attempt *activeAttempt) *hedge {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := attempt.hedge
	attempt.hedge, attempt.resendable = nil, false
	return h
}

// stopHedge returns the response of a hedge, or drops the hedge if it has none.
func (s *stallDetector) stopHedge(h *hedge) *serverResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.dropped = h.response == nil
	return h.response
}

// adopt makes the attempt of a hedge one of the request, so that it can be hedged itself.
func (s *stallDetector) adopt(r *request, attempt *activeAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempt.request, attempt.isHedge = r, false
}

// advance records that a part of the response to an attempt has arrived, and its position if it is
// a stream. It returns false, and records nothing, if a hedge has replaced the attempt. Otherwise
// the attempt goes on, and a hedge that runs is dropped.
func (i *Ingress) advance(now time.Time, attempt *activeAttempt, position streamPosition) bool {
	dropped, resumed, replaced := i.stallDetector.advance(now, attempt, position)
	if dropped != nil {
		dropped.request.cancelCallerCtx()
	}
	if resumed {
		i.resumeServer(now, attempt.server)
	}
	return !replaced
}

// advance is Ingress.advance. It returns the dropped hedge, whose request is to be cancelled, and
// whether the server was stalled, or that a hedge has replaced the attempt.
func (s *stallDetector) advance(now time.Time, attempt *activeAttempt, position streamPosition) (dropped *hedge, resumed, replaced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt.hedge != nil && attempt.hedge.response != nil {
		return nil, false, true
	}
	resumed = s.recordProgressLocked(now, attempt)
	attempt.position = position
	if dropped = attempt.hedge; dropped != nil {
		dropped.dropped, attempt.hedge = true, nil
	}
	return dropped, resumed, false
}
