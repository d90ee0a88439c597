package ingress

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/fuchsiarouter/fuchsiarouter/budget"
	"github.com/fuchsiarouter/fuchsiarouter/tcp"
)

const (
	// memoryBudgetShare is the part of the memory of the process for the requests of callers,
	// including the buffers of their connections. The Go runtime may use 60 % of the memory, of
	// which the rest is for the copy of the registry, the stacks and garbage.
	memoryBudgetShare = 0.4
	// memoryReserveShare is the part of the memory for bodies of up to budget.SmallBytes only. At
	// 136 MB these are 80 bodies of the largest such size, and 1,300 of 4 KiB.
	memoryReserveShare = 0.04
	// memoryFloorShare is the part of the memory that the buffers of connections cannot take from
	// bodies. Without the reserve, it holds one body of 4 MiB with the request that is formatted from
	// it at 136 MB.
	memoryFloorShare = 0.12
	// connectionBytes is what a connection of a caller holds beside a large body: the read buffer
	// of headBufferBytes, the write buffer, a body of up to prefetchedBodyBytes with the request
	// that is formatted from it, and the stack of its goroutine. 974 connections that had each carried
	// a body of 8,000 bytes took 41 MB.
	connectionBytes = 40 << 10
	// connectionMemoryShare is the part of the memory that the connections of callers may take. At
	// 136 MB these are 1,218 connections; an entry has some hundred.
	connectionMemoryShare = 0.35
	// maxConnectionShare is the part of the descriptors for connections of callers. Further ones
	// are refused, so that descriptors are left for the connections to servers and daemons.
	maxConnectionShare = 0.75
	// keptConnectionShare is the part of the connections of callers above which they are closed
	// after a response, before further ones are refused.
	keptConnectionShare = 0.8
	// responseWriteTimeout is how long a part of a response may stay unread by the caller before
	// the response is cut off. A link that is frozen or congested for a short time pauses for less
	// than 2 s.
	responseWriteTimeout = 10 * time.Second
	// writeDeadlineStep is the shortest time between two updates of the write deadline of a stream.
	writeDeadlineStep = time.Second
	// largeResponseBytes is the size from which a response that is not streamed counts towards the
	// memory while it is written. Smaller ones fit into the buffer of a socket.
	largeResponseBytes = 16 << 10
	// responsePieceBytes is how much of such a response is written at a time.
	responsePieceBytes = 64 << 10
	// memoryLogInterval is the shortest time between two log lines about refused bodies.
	memoryLogInterval = time.Second
)

// past is a time that, set as a deadline, ends a blocked read or write immediately.
var past = time.Unix(1, 0)

// memoryGuard bounds the memory that the entry holds for callers and servers.
type memoryGuard struct {
	*budget.Budget
	log        *zap.Logger
	lastLogged rate.Sometimes
	// waiting is the number of bodies that wait for room, and lingering that of refused callers
	// whose remaining bytes are discarded.
	waiting, lingering atomic.Int64
	// tinyPieces paces the bodies with very small chunks.
	tinyPieces *rate.Limiter
	// refused is the number of bodies refused for memory.
	refused atomic.Int64
	// bodiesRefused and bodiesTooLarge count the bodies refused for memory and for their size,
	// responsesCut the responses that were cut off for memory, and held is the memory in bytes.
	bodiesRefused  tally.Counter
	bodiesTooLarge tally.Counter
	responsesCut   tally.Counter
	held           tally.Gauge
}

// newMemoryGuard returns the guard for a process with the given memory, which is 0 if there is no
// limit. connections returns the number of connections of callers.
func newMemoryGuard(memoryBytes int, connections func() int, log *zap.Logger, scope tally.Scope) *memoryGuard {
	share := func(part float64) int { return int(float64(memoryBytes) * part) }
	return &memoryGuard{
		Budget: budget.New(budget.Settings{
			Bytes: share(memoryBudgetShare), ReserveBytes: share(memoryReserveShare), FloorBytes: share(memoryFloorShare),
			Other: func() int { return connections() * connectionBytes },
		}),
		log: log, lastLogged: rate.Sometimes{Interval: memoryLogInterval}, tinyPieces: rate.NewLimiter(tinyPieceRate, tinyPieceReads),
		bodiesRefused: scope.Counter("bodies_refused_for_memory"), bodiesTooLarge: scope.Counter("bodies_too_large"),
		responsesCut: scope.Counter("responses_cut_for_memory"), held: scope.Gauge("held_bytes"),
	}
}

// recordRefusal records a body that was refused for memory.
func (m *memoryGuard) recordRefusal() {
	m.bodiesRefused.Inc(1)
	m.refused.Add(1)
	m.lastLogged.Do(func() {
		m.log.Warn("bodies refused for memory", zap.Int64("bodies", m.refused.Swap(0)), zap.Int("held-bytes", m.Used()),
			zap.Int("limit-bytes", m.Limit()), zap.Int64("waiting", m.waiting.Load()))
	})
}

// connectionLimits returns the number of connections of callers above which they are closed after a
// response, and the number above which they are refused.
func connectionLimits(settings Settings) (kept, open int) {
	descriptors := tcp.DescriptorLimit()
	if settings.MaxDescriptors > 0 {
		descriptors = min(descriptors, settings.MaxDescriptors)
	}
	kept, open = int(callerConnectionShare*float64(descriptors)), int(maxConnectionShare*float64(descriptors))
	if settings.MemoryBytes > 0 {
		open = max(1, min(open, int(connectionMemoryShare*float64(settings.MemoryBytes))/connectionBytes))
		kept = min(kept, int(keptConnectionShare*float64(open)))
	}
	if settings.MaxKeptConnections > 0 {
		kept = settings.MaxKeptConnections
	}
	return kept, open
}

// releaseBody drops the body of a request that has ended.
func (r *request) releaseBody() {
	r.releaseResponse()
	if r.bodyHold == nil {
		return
	}
	r.ctx.Request.SetBodyRaw(nil)
	r.bodyHold.Release()
	r.bodyHold = nil
}

// setResponseBody sets the body of a response that is not streamed. A large one counts towards the
// memory until it is written, and is cut off if the caller does not read it.
func (i *Ingress) setResponseBody(r *request, body []byte) {
	if len(body) <= largeResponseBytes {
		r.ctx.Response.SetBodyRaw(body)
		return
	}
	conn := r.ctx.Conn()
	response := &heldResponse{ctx: r.ctx, guard: i.memory, body: body}
	response.hold = i.memory.Begin(time.Now(), func() { _ = conn.SetWriteDeadline(past) })
	r.releaseResponse()
	response.hold.Add(len(body))
	r.ctx.Response.SetBodyStream(response, len(body))
}

// awaitResponseMemory asks for room for a response of which total bytes were read, and for its copy,
// and waits if there is none. Large responses are read one at a time, so one of them waits for the
// callers that read earlier ones.
func (i *Ingress) awaitResponseMemory(r *request, total int) {
	if r.responseHold == nil {
		r.responseHold = i.memory.Begin(time.Now(), nil)
		r.responseHold.Complete()
	}
	if total <= r.responseBytes {
		return
	}
	r.responseBytes = min(2*total, maxResponseBytes)
	if r.responseHold.Grow(time.Now(), 2*r.responseBytes) == budget.Granted {
		return
	}
	i.stallDetector.setWaiting(time.Now(), r.activeAttempt, false)
	defer func() { i.stallDetector.setWaiting(time.Now(), r.activeAttempt, true) }()
	for end := time.Now().Add(maxMemoryWait); time.Now().Before(end) && r.callerCtx.Err() == nil; {
		time.Sleep(memoryWaitStep)
		if r.responseHold.Grow(time.Now(), 2*r.responseBytes) == budget.Granted {
			return
		}
	}
	// Drops what has the least progress, although it is not stalled.
	r.responseHold.Grow(time.Now().Add(budget.StallTime), 2*r.responseBytes)
}

// holdStream counts the buffer of a stream towards the memory if it is large. It grows with the
// events, which are bounded by maxEventBytes.
func (e *eventStream) holdStream(bytes int) {
	r := e.request
	if bytes <= largeResponseBytes || bytes <= r.responseBytes {
		return
	}
	if r.responseHold == nil {
		r.responseHold = e.ingress.memory.Begin(time.Now(), nil)
		r.responseHold.Complete()
	}
	r.responseHold.Add(bytes - r.responseBytes)
	r.responseBytes = bytes
}

// releaseResponse drops the room for a response that is being read.
func (r *request) releaseResponse() {
	r.responseHold.Release()
	r.responseHold, r.responseBytes = nil, 0
}

// heldResponse is the body of a large response. It is written piece by piece.
type heldResponse struct {
	ctx   *fasthttp.RequestCtx
	guard *memoryGuard
	hold  *budget.Hold
	// body is the part that is not written yet.
	body []byte
}

// Read implements io.Reader.
func (h *heldResponse) Read(buffer []byte) (int, error) {
	if len(h.body) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, h.body)
	h.body = h.body[n:]
	return n, nil
}

// WriteTo implements io.WriterTo. Each piece must be read by the caller within
// responseWriteTimeout.
func (h *heldResponse) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for len(h.body) > 0 {
		_ = h.ctx.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
		if h.hold.IsDropped() {
			// The deadline that the drop has set may just have been replaced.
			return written, io.ErrClosedPipe
		}
		n, err := w.Write(h.body[:min(len(h.body), responsePieceBytes)])
		written += int64(n)
		h.body = h.body[n:]
		if err != nil {
			return written, err
		}
		h.hold.Progress(time.Now(), n)
	}
	return written, nil
}

// Close implements io.Closer.
func (h *heldResponse) Close() error {
	if h.hold.IsDropped() {
		h.guard.responsesCut.Inc(1)
	}
	h.body = nil
	h.hold.Release()
	return nil
}

// extendWriteDeadline gives the caller of a stream responseWriteTimeout to read what is written next.
func (e *eventStream) extendWriteDeadline(now time.Time) {
	if now.Sub(e.writeDeadlineSet) >= writeDeadlineStep {
		e.writeDeadlineSet = now
		_ = e.request.ctx.SetWriteDeadline(now.Add(responseWriteTimeout))
	}
}
