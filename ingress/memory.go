package ingress

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/budget"
	"github.com/fuchsiarouter/fuchsiarouter/intake"
)

// writeDeadlineStep is the shortest time between two updates of the write deadline of a stream.
const writeDeadlineStep = time.Second

// linger bounds the reading of the rest of a refused request after the response was sent.
var linger = intake.Linger{Time: 500 * time.Millisecond, Bytes: 256 << 10}

// memoryGuard bounds the memory that the entry holds for callers and servers.
type memoryGuard struct {
	*intake.Bodies
	// held is the memory in bytes.
	held tally.Gauge
}

// newMemoryGuard returns the guard for a process with the given memory, which is 0 if there is no
// limit. connections returns the number of connections of callers.
func newMemoryGuard(memoryBytes int, connections func() int, log *zap.Logger, scope tally.Scope) *memoryGuard {
	settings := intake.BodySettings{MemoryBytes: memoryBytes, Connections: connections, Linger: linger}
	return &memoryGuard{Bodies: intake.NewBodies(settings, log, scope), held: scope.Gauge("held_bytes")}
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
	r.releaseResponse()
	i.memory.SetResponse(r.ctx, body)
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
	for end := time.Now().Add(intake.MaxMemoryWait); time.Now().Before(end) && r.callerCtx.Err() == nil; {
		time.Sleep(intake.MemoryWaitStep)
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
	if bytes <= intake.LargeResponseBytes || bytes <= r.responseBytes {
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

// extendWriteDeadline gives the caller of a stream intake.ResponseTimeout to read what is written next.
func (e *eventStream) extendWriteDeadline(now time.Time) {
	if now.Sub(e.writeDeadlineSet) >= writeDeadlineStep {
		e.writeDeadlineSet = now
		_ = e.request.ctx.SetWriteDeadline(now.Add(intake.ResponseTimeout))
	}
}
