package ingress

import (
	"context"
	"io"
	"net"
	"runtime"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/budget"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

const (
	// prefetchedBodyBytes is the size up to which the HTTP server reads a body of known length
	// before it calls the handler. fasthttp has no setting for it.
	prefetchedBodyBytes = 8 << 10
	// firstBodyBytes is the room for the first bytes of a body of unknown length. Larger bodies get
	// bodyGrowth times as much room each time.
	firstBodyBytes = 4 << 10
	bodyGrowth     = 4
	// headRoomBytes is the room for the head of a request that is formatted for a server.
	headRoomBytes = 1 << 10
	// maxMemoryWait is how long a body waits for room. It is below the 3 s that callers wait at
	// least, so that they can send the request to another entry.
	maxMemoryWait = 1500 * time.Millisecond
	// memoryWaitStep is the time between two attempts of such a body.
	memoryWaitStep = 20 * time.Millisecond
	// maxWaitingBodies bounds the bodies that wait for room. Further ones are refused at once.
	maxWaitingBodies = 64
	// memoryRetryAfter is the retry delay for callers whose body was refused for memory.
	memoryRetryAfter = 500 * time.Millisecond
	// bodyReadBytes is how much of a body is read before other requests get the processor. With
	// reads of some MiB, 120 callers with large bodies delayed ordinary requests by 0.45 s.
	bodyReadBytes = 32 << 10
	// tinyPieceBytes is the average size of the chunks of a body below which it is read slowly:
	// such a body costs 100 times the processor time of another one. All of them together are
	// read at a rate of tinyPieceRate chunks per second, tinyPieceReads chunks at a time, which
	// takes a few percent of a core. The first 1,024 chunks of a body are read without a pause;
	// no ordinary body has more.
	tinyPieceBytes = 64
	tinyPieceReads = 1024
	tinyPieceRate  = 100_000
	// maxTinyPiecePause bounds the time until a dropped body is noticed.
	maxTinyPiecePause = 500 * time.Millisecond
	// lingerTime and lingerBytes bound the discarding of what a refused caller still sends. If the
	// connection were closed at once, the caller could lose the response. maxLingering bounds the
	// connections for which this is done.
	lingerTime   = 500 * time.Millisecond
	lingerBytes  = 256 << 10
	maxLingering = 64
)

// bodyLimit returns the size up to which bodies are read.
func (i *Ingress) bodyLimit() int {
	if configuration := i.mirror.View().Configuration; configuration != nil && configuration.Limits.BodyBytes > 0 {
		return min(configuration.Limits.BodyBytes, maxBodyBytes)
	}
	return maxBodyBytes
}

// configureRequest is called when the head of a request was read. Of a body whose announced length is
// above the limit, the HTTP server reads a single byte before it calls the handler, since no more
// may come.
func (i *Ingress) configureRequest(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if header.ContentLength() > i.bodyLimit() {
		return fasthttp.RequestConfig{MaxRequestBodySize: 1}
	}
	return fasthttp.RequestConfig{}
}

// readBody reads the body of a request, under the memory budget if it is not a short one of known
// length. It returns the error to report to the caller if the body is too large, cannot be read, or
// was dropped for lack of memory; the connection is then closed.
func (i *Ingress) readBody(r *request) *result.Error {
	length := r.ctx.Request.Header.ContentLength()
	stream := r.ctx.RequestBodyStream()
	limit := i.bodyLimit()
	switch {
	case stream == nil:
		return nil
	case length >= 0 && length <= min(limit, prefetchedBodyBytes):
		// The buffer of the request holds the whole body.
		return closeBodyStream(&r.ctx.Request)
	case length > limit:
		return i.refuseBody(r, tooLargeError())
	}
	conn := r.ctx.Conn()
	hold := i.memory.Begin(time.Now(), func() { _ = conn.SetReadDeadline(past) })
	stopDropping := context.AfterFunc(i.unanswered, hold.Drop)
	reader := bodyReader{guard: i.memory, hold: hold, stream: stream, length: length, limit: limit}
	body, failure := reader.read()
	stopDropping()
	if failure == nil && !hold.Complete() {
		failure = memoryError()
	}
	if failure == nil {
		r.bodyHold, r.received = hold, time.Now()
		r.ctx.Request.SetBodyRaw(body)
		return nil
	}
	isDropped := hold.IsDropped()
	hold.Release()
	switch {
	case isDropped && i.unanswered.Err() != nil:
		failure = leavingError()
	case failure.Code == result.CallerLeft:
		_ = conn.Close()
		return failure
	}
	return i.refuseBody(r, failure)
}

// closeBodyStream makes the prefetched body that of the request.
func closeBodyStream(request *fasthttp.Request) *result.Error {
	if err := request.CloseBodyStream(); err != nil {
		return result.Malformed.Error("the body cannot be read")
	}
	return nil
}

// refuseBody records that a body was refused, and closes the connection after the response and after
// a part of what the caller still sends was discarded.
func (i *Ingress) refuseBody(r *request, failure *result.Error) *result.Error {
	switch failure.Code {
	case result.BodyTooLarge:
		i.memory.bodiesTooLarge.Inc(1)
	case result.MemoryShort:
		i.memory.recordRefusal()
	}
	i.identify(r)
	r.ctx.SetConnectionClose()
	ctx, raw := r.ctx, r.ctx.Conn()
	// fasthttp calls no function after a response that closes the connection, so the response is
	// written here.
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		defer i.memory.lingering.Add(-1)
		lingers := i.memory.lingering.Add(1) <= maxLingering
		_ = raw.SetWriteDeadline(time.Now().Add(lingerTime))
		if _, err := ctx.Response.WriteTo(conn); err == nil && lingers {
			discardRest(raw, conn)
		}
	})
	return failure
}

// identify sets what the log line of a refused request says about its caller.
func (i *Ingress) identify(r *request) {
	r.RequestHead = i.dialect.ParseRequest(&r.ctx.Request.Header)
	if r.configuration = i.mirror.View().Configuration; r.configuration == nil {
		return
	}
	if workspace := r.configuration.Workspace(r.APIKey); workspace != nil {
		r.workspace = workspace.Name
	}
}

// discardRest ends the writing side of a connection and reads what its peer still sends. conn reads
// also what is buffered of the connection raw.
func discardRest(raw, conn net.Conn) {
	if half, ok := raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, conn, lingerBytes)
}

// bodyReader reads one body piece by piece.
type bodyReader struct {
	guard  *memoryGuard
	hold   *budget.Hold
	stream io.Reader
	// length is the announced length, negative for a chunked body.
	length, limit int
}

// read returns the body. It has asked for room for the body and for the request that is formatted
// from it.
func (b *bodyReader) read() ([]byte, *result.Error) {
	var body []byte
	unreported := 0
	for reads := 1; ; reads++ {
		if len(body) == cap(body) {
			if len(body) == b.limit && b.length < 0 {
				return b.endAtLimit(body)
			}
			size := b.nextSize(cap(body))
			// The old buffer stays until it is copied.
			if !b.await(cap(body) + size) {
				return nil, memoryError()
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
		}
		n, err := b.stream.Read(body[len(body):min(cap(body), len(body)+bodyReadBytes)])
		body = body[:len(body)+n]
		if unreported += n; unreported >= budget.ProgressBytes {
			b.hold.Progress(time.Now(), unreported)
			unreported = 0
		}
		if n == bodyReadBytes {
			runtime.Gosched()
		}
		switch {
		case errors.Is(err, io.EOF) && (b.length < 0 || len(body) == b.length):
			return b.finish(body)
		case err != nil:
			return nil, b.readError(err)
		}
		if reads%tinyPieceReads == 0 && len(body) < reads*tinyPieceBytes {
			time.Sleep(min(b.guard.tinyPieces.ReserveN(time.Now(), tinyPieceReads).Delay(), maxTinyPiecePause))
		}
	}
}

// endAtLimit returns a chunked body that has the largest size, if it ends there.
func (b *bodyReader) endAtLimit(body []byte) ([]byte, *result.Error) {
	n, err := b.stream.Read(make([]byte, 1))
	switch {
	case n > 0:
		return nil, tooLargeError()
	case errors.Is(err, io.EOF):
		return b.finish(body)
	}
	return nil, b.readError(err)
}

// finish asks for room for the request that is formatted from the body.
func (b *bodyReader) finish(body []byte) ([]byte, *result.Error) {
	if !b.await(cap(body) + len(body) + headRoomBytes) {
		return nil, memoryError()
	}
	return body, nil
}

// nextSize returns the size of the buffer that follows one of the given size.
func (b *bodyReader) nextSize(size int) int {
	next := max(firstBodyBytes, size*bodyGrowth)
	if b.length >= 0 {
		// A body of known length gets its first bytes already with the head.
		return min(max(next, 2*prefetchedBodyBytes), b.length)
	}
	return min(next, b.limit)
}

// await waits for room. It returns false if there is none in time, or if the body was dropped.
func (b *bodyReader) await(bytes int) bool {
	switch b.hold.Grow(time.Now(), bytes) {
	case budget.Granted:
		return true
	case budget.Dropped:
		return false
	}
	defer b.guard.waiting.Add(-1)
	if b.guard.waiting.Add(1) > maxWaitingBodies {
		return false
	}
	for end := time.Now().Add(maxMemoryWait); time.Now().Before(end); {
		time.Sleep(memoryWaitStep)
		switch b.hold.Grow(time.Now(), bytes) {
		case budget.Granted:
			return true
		case budget.Dropped:
			return false
		}
	}
	return false
}

// readError returns the error to report for a body that cannot be read.
func (b *bodyReader) readError(err error) *result.Error {
	var network net.Error
	switch {
	case b.hold.IsDropped():
		return memoryError()
	case errors.As(err, &network):
		return result.CallerLeft.Error("the body did not arrive")
	}
	return result.Malformed.Error("the body cannot be read")
}

// tooLargeError returns the error for a body above the limit.
func tooLargeError() *result.Error { return result.BodyTooLarge.Error("the body is too large") }

// memoryError returns the error for a body for which there is no memory.
func memoryError() *result.Error {
	return &result.Error{Code: result.MemoryShort, Message: "no memory for the body", RetryAfter: memoryRetryAfter}
}
