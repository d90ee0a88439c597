package spread

import (
	"slices"
	"time"
)

// Parameters of a Session.
const (
	// maxAbsentResponses is the number of responses without the chunk after which
	// the next source of the chunk is tried. If the chunk is late at the root, the
	// whole tree waits, and agents that switch to other sources only unbalance the tree.
	// maxLateAbsentResponses applies instead if the chunk is late only for this agent:
	// if the agent has received a chunk whose index is higher by at least lateDistance.
	maxAbsentResponses     = 8
	maxLateAbsentResponses = 2
	lateDistance           = 32
	// minRetryInterval is the minimum time from the start of a request to which the
	// source responds that it lacks the chunk to the next request for the chunk. It
	// prevents a tight loop of requests to a source that responds so immediately. It is
	// also the minimum pause of a chunk for which no source is available.
	minRetryInterval = 500 * time.Millisecond
	// initialStallTimeout is the time without received bytes after which a transfer
	// counts as stalled while no transfer of the session has finished yet. Later the
	// timeout is stallTimeoutBase plus stallTimeoutFactor times the mean transfer time.
	// The base covers the wait for an upload slot.
	initialStallTimeout = 15 * time.Second
	stallTimeoutBase    = 6 * time.Second
	stallTimeoutFactor  = 4
	// maxHedges is the maximum number of stalled requests for whose chunk a second
	// request, the hedge, is in progress. If many requests stall, the cause is at this
	// agent or its link, and more requests would make the stalls longer.
	maxHedges = 2
	// minFrozenGap is the time between two calls of NextActions above which the process
	// is assumed to have been frozen in between.
	minFrozenGap = 3 * time.Second
	// maxLookahead is the maximum number of missing chunks that one call of
	// startRequests considers, which bounds its time.
	maxLookahead = 256
)

// Session decides which requests fetch one version for one agent. The methods that record
// an event take the ID of the request; they ignore the event if the request has ended or
// was canceled. A Session is not safe for concurrent use.
type Session struct {
	options Options
	planner Planner
	// chunks holds the state of each chunk by index.
	chunks []chunk
	// requests are the requests in progress in the order of their start, so that the same
	// events always give the same actions.
	requests []*request
	// cancelIDs are the IDs of the requests that the next call of NextActions returns as
	// canceled.
	cancelIDs []int64
	scores    scores
	// remaining is the number of missing chunks.
	remaining int
	// localLimit is the maximum number of requests of classLocal in progress while the
	// session is not throttled.
	localLimit int
	throttled  bool
	// highestPresent is the highest index of a chunk that the session has received without
	// importing it.
	highestPresent int
	// lastID is the ID of the request that was started last, 0 before the first.
	lastID int64
	// classes holds the limit and the state of each class, indexed by classLocal and
	// classImport.
	classes [2]requestClass
	// meanTransferTime is the moving average of the times from the start of the response
	// to the verified chunk, with a weight of 1/8 for the newest; 0 before the first chunk.
	meanTransferTime time.Duration
	// originBudget is the rest of Options.OriginBudget in chunks, lastRefill the time when
	// it last grew.
	originBudget int
	lastRefill   time.Time
	// lastNext is the time that was passed to the last call of NextActions, zero before
	// the first.
	lastNext time.Time
}

// NewSession returns a session that fetches every chunk for which isPresent returns
// false, from the sources that planner returns. isPresent is called only by NewSession, once
// for each chunk.
func NewSession(options Options, planner Planner, isPresent func(chunk int) bool) *Session {
	setDefault(&options.ImportParallel, DefaultImportParallel)
	setDefault(&options.Transfers, DefaultTransfers)
	setDefault(&options.Wait, DefaultWait)
	setDefault(&options.Grace, DefaultGrace)
	setDefault(&options.OriginBudget, DefaultOriginBudget)
	setDefault(&options.OriginRefill, DefaultOriginRefill)
	s := &Session{
		options:      options,
		chunks:       make([]chunk, options.Chunks),
		scores:       make(scores),
		originBudget: options.OriginBudget,
	}
	for i := range s.chunks {
		s.chunks[i].done = isPresent(i)
		if !s.chunks[i].done {
			s.remaining++
		}
	}
	s.ReplacePlan(planner)
	return s
}

// ReplacePlan replaces the plan after the view has changed. Requests in progress continue,
// but a request whose source has left the view must receive bytes within Options.Grace:
// the stall timeout of a transfer between regions is most of a minute, during which a
// whole region waits for the chunk of its gateway.
func (s *Session) ReplacePlan(planner Planner) {
	s.planner = planner
	s.localLimit = s.options.Parallel
	if s.localLimit == 0 {
		s.localLimit = parallelBase + parallelPerLevel*planner.TreeDepth(s.options.Self)
	}
	s.SetThrottled(s.throttled)
	for _, r := range s.requests {
		r.sourceGone = !r.Source.IsOrigin() && !planner.Has(r.Source.ID)
		if limit := s.lastNext.Add(s.options.Grace); r.sourceGone && limit.Before(r.deadline) {
			r.deadline = limit
		}
	}
	for i := range s.chunks {
		s.chunks[i].importing = !s.chunks[i].done && planner.IsGateway(s.options.Self, i)
	}
	s.classes[classLocal].firstMissing = 0
	s.classes[classImport].firstMissing = 0
}

// SetThrottled sets whether the session is limited to one request per class, as it must be
// while a more urgent version is being fetched. Requests in progress continue. One request
// per class stays allowed, so that an urgent version that is unavailable does not block
// the others forever.
func (s *Session) SetThrottled(throttled bool) {
	s.throttled = throttled
	s.classes[classLocal].limit, s.classes[classImport].limit = s.localLimit, s.options.ImportParallel
	if throttled {
		s.classes[classLocal].limit, s.classes[classImport].limit = 1, 1
	}
}

// Remaining returns the number of missing chunks. The fetch is complete when it is 0.
func (s *Session) Remaining() int { return s.remaining }

// NextActions returns the requests to start and to cancel now. It must be called after every
// event, and at least every PollInterval. It also ends the requests that have timed out. If
// more than minFrozenGap has passed since the previous call, it cancels all requests in
// progress.
func (s *Session) NextActions(now time.Time) Actions {
	if !s.lastNext.IsZero() && now.Sub(s.lastNext) > minFrozenGap {
		s.cancelAll()
	}
	s.lastNext = now
	s.handleTimeouts(now)
	s.refillOriginBudget(now)
	var actions Actions
	for _, class := range []int{classImport, classLocal} {
		actions.Start = s.startRequests(actions.Start, class, now)
	}
	actions.Cancel, s.cancelIDs = s.cancelIDs, nil
	return actions
}

// cancelAll cancels every request after the process was frozen, without recording
// failures: the deadlines passed through no fault of the sources.
func (s *Session) cancelAll() {
	for _, r := range slices.Clone(s.requests) {
		s.cancelIDs = append(s.cancelIDs, r.ID)
		s.removeRequest(r.ID)
	}
}

// PollInterval returns the time after which NextActions must be called if no event occurs.
func (s *Session) PollInterval() time.Duration { return minRetryInterval }

// RecordTransferStart records that the source of the request id has the chunk and will send
// it. From then on the request is subject to the stall timeout instead of Options.Wait and
// Options.Grace.
func (s *Session) RecordTransferStart(id int64, now time.Time) {
	if r, ok := s.findRequest(id); ok && r.respondedAt.IsZero() {
		r.respondedAt = now
		r.deadline = now.Add(s.stallTimeout())
	}
}

// RecordProgress records that bytes of the requested chunk have arrived, which extends the
// deadline of the request. A stalled request no longer counts as stalled. The first call for
// a request also records the start of the transfer, if RecordTransferStart hasn't. For a
// source whose client doesn't report arriving bytes, the caller records it once at the start
// of the request.
func (s *Session) RecordProgress(id int64, now time.Time) {
	s.RecordTransferStart(id, now)
	if r, ok := s.findRequest(id); ok {
		r.receiving, r.hedged = true, false
		r.deadline = now.Add(s.stallTimeout())
	}
}

// RecordSuccess records that the chunk of a request is verified and present.
func (s *Session) RecordSuccess(id int64, now time.Time) {
	r, ok := s.removeRequest(id)
	if !ok {
		return
	}
	s.scores.recordSuccess(r.Source.ID)
	start := r.respondedAt
	if start.IsZero() {
		start = r.startedAt
	}
	transferTime := now.Sub(start)
	if s.meanTransferTime == 0 {
		s.meanTransferTime = transferTime
	}
	s.meanTransferTime += (transferTime - s.meanTransferTime) / 8
	s.markPresent(r.Chunk, now)
}

// RecordAbsent records that the source of a request responded that it lacks the chunk.
func (s *Session) RecordAbsent(id int64, now time.Time) {
	r, ok := s.removeRequest(id)
	if !ok {
		return
	}
	c := &s.chunks[r.Chunk]
	if r.Source.Probe {
		c.probed = true
		return
	}
	c.totalAbsentResponses++
	// The backup gateway keeps waiting while the gateway responds; otherwise it would
	// import the chunk a second time.
	if !s.planner.IsBackupGateway(s.options.Self, r.Chunk) {
		c.absentResponses++
	}
	isLate := !c.importing && s.highestPresent >= r.Chunk+lateDistance
	if c.absentResponses >= maxAbsentResponses || isLate && c.absentResponses >= maxLateAbsentResponses {
		c.absentResponses = 0
		c.skip++
	}
	c.retryAt = laterOf(now, r.startedAt.Add(minRetryInterval))
}

// RecordFailure records that the source of a request did not respond or that the transfer was
// aborted.
func (s *Session) RecordFailure(id int64, now time.Time) {
	if r, ok := s.removeRequest(id); ok {
		s.scores.recordFailure(r.Source.ID, now)
	}
}

// RecordCorrupt records that the bytes received for a request did not have the digest of the
// chunk.
func (s *Session) RecordCorrupt(id int64, now time.Time) {
	if r, ok := s.removeRequest(id); ok {
		s.scores.recordCorrupt(r.Source.ID, now)
		s.chunks[r.Chunk].skip++
		s.chunks[r.Chunk].corruptTransfers++
	}
}

// markPresent marks a chunk as done and cancels the other requests for it. If one of
// them is a hedged request, its hedge was faster, which counts as a failure of the
// stalled source.
func (s *Session) markPresent(index int, now time.Time) {
	c := &s.chunks[index]
	if c.done {
		return
	}
	c.done = true
	s.remaining--
	// Imported chunks don't count, since a gateway is far ahead with them.
	if !c.importing {
		s.highestPresent = max(s.highestPresent, index)
	}
	if c.activeRequests == 0 {
		return
	}
	for _, r := range slices.Clone(s.requests) {
		if r.Chunk == index {
			s.cancelIDs = append(s.cancelIDs, r.ID)
			s.removeRequest(r.ID)
			if r.hedged {
				s.scores.recordFailure(r.Source.ID, now)
			}
		}
	}
}

func (s *Session) findRequest(id int64) (*request, bool) {
	for _, r := range s.requests {
		if r.ID == id {
			return r, true
		}
	}
	return nil, false
}

// removeRequest removes a request from those in progress and returns it. It returns false
// for a request that is not in progress any more.
func (s *Session) removeRequest(id int64) (*request, bool) {
	r, ok := s.findRequest(id)
	if !ok {
		return nil, false
	}
	s.requests = slices.DeleteFunc(s.requests, func(other *request) bool { return other == r })
	s.classes[r.class].activeRequests--
	s.chunks[r.Chunk].activeRequests--
	return r, true
}

// stallTimeout returns the time without received bytes after which a transfer counts as
// stalled.
func (s *Session) stallTimeout() time.Duration {
	if s.meanTransferTime == 0 {
		return initialStallTimeout
	}
	return stallTimeoutBase + stallTimeoutFactor*s.meanTransferTime
}

// handleTimeouts handles the requests whose deadline has passed. It cancels those whose
// source has not responded, has not assigned an upload slot or has left the view. It marks
// those that stalled during the transfer for hedging (request.hedged): a second request to
// the next source starts while the first may still succeed. A stall alone is not recorded as
// a failure, because the link in between may be busy, nor is a missing upload slot. A hedged
// request that stays stalled fails at its next deadline.
func (s *Session) handleTimeouts(now time.Time) {
	for _, r := range slices.Clone(s.requests) {
		if now.Before(r.deadline) {
			continue
		}
		if r.respondedAt.IsZero() || r.hedged || r.sourceGone {
			s.cancelIDs = append(s.cancelIDs, r.ID)
			s.RecordFailure(r.ID, now)
			continue
		}
		if !r.receiving {
			// The request is still waiting for an upload slot, so canceling it wastes
			// no transferred bytes.
			s.cancelIDs = append(s.cancelIDs, r.ID)
			s.removeRequest(r.ID)
			s.chunks[r.Chunk].skip++
			continue
		}
		r.hedged = true
		r.deadline = now.Add(2 * s.stallTimeout())
	}
}

// refillOriginBudget increases the budget of additional downloads from the origin by one
// chunk for each Options.OriginRefill that has passed, up to Options.OriginBudget.
func (s *Session) refillOriginBudget(now time.Time) {
	if s.lastRefill.IsZero() {
		s.lastRefill = now
	}
	for now.Sub(s.lastRefill) >= s.options.OriginRefill {
		s.lastRefill = s.lastRefill.Add(s.options.OriginRefill)
		s.originBudget = min(s.originBudget+1, s.options.OriginBudget)
	}
}

// startRequests records new requests of a class and appends them to start: first the hedges
// of stalled requests, then requests for missing chunks in the order of the chunks. Hedges
// are limited by maxHedges, the others by the limit of the class, by maxLookahead and, for
// classLocal, by Options.Transfers. The order is the same at every agent, so that the tree of
// a chunk is filled from the root down.
func (s *Session) startRequests(start []Request, class int, now time.Time) []Request {
	state := &s.classes[class]
	importing := class == classImport
	// Hedges ignore the limit of the class: the stalled request counts towards it
	// already.
	for _, r := range s.stalledRequests(class) {
		start = s.startRequest(start, class, r.Chunk, now)
	}
	considered := 0
	inPresentPrefix := true
	for i := state.firstMissing; i < len(s.chunks) && state.activeRequests < state.limit && considered < maxLookahead; i++ {
		if !importing && s.activeTransfers() >= s.options.Transfers {
			break
		}
		c := &s.chunks[i]
		if c.done || c.importing != importing {
			if inPresentPrefix {
				state.firstMissing = i + 1
			}
			continue
		}
		inPresentPrefix = false
		considered++
		if c.activeRequests > 0 || now.Before(c.retryAt) {
			continue
		}
		start = s.startRequest(start, class, i, now)
	}
	return start
}

// activeTransfers returns the number of requests of classLocal whose source is sending
// the chunk or is about to. When an agent catches up, every request that it starts is
// served at once. Without a limit each of these transfers would be slow and would hold
// an upload slot that other agents wait for.
func (s *Session) activeTransfers() int {
	count := 0
	for _, r := range s.requests {
		if r.class == classLocal && !r.respondedAt.IsZero() {
			count++
		}
	}
	return count
}

// stalledRequests returns the stalled requests of a class that have no hedge yet, the oldest
// first, and only as many as may be hedged now within maxHedges.
func (s *Session) stalledRequests(class int) []*request {
	var list []*request
	for _, r := range s.requests {
		if r.hedged && r.class == class && s.chunks[r.Chunk].activeRequests == 1 {
			list = append(list, r)
		}
	}
	runningHedges := 0
	for _, r := range s.requests {
		if r.hedged && s.chunks[r.Chunk].activeRequests > 1 {
			runningHedges++
		}
	}
	return list[:min(len(list), max(0, maxHedges-runningHedges))]
}

// startRequest records a new request for a chunk and appends it to start, if a source is
// available.
func (s *Session) startRequest(start []Request, class, index int, now time.Time) []Request {
	c := &s.chunks[index]
	source, ok := s.chooseSource(index, now)
	if !ok {
		return start
	}
	s.lastID++
	r := &request{
		Request:   Request{ID: s.lastID, Chunk: index, Source: source, Wait: s.options.Wait},
		class:     class,
		startedAt: now,
		deadline:  now.Add(s.options.Wait + s.options.Grace),
	}
	if source.Probe {
		r.Wait, r.deadline = 0, now.Add(s.options.Grace)
	}
	s.requests = append(s.requests, r)
	s.classes[class].activeRequests++
	c.activeRequests++
	return append(start, r.Request)
}
