package intake

import (
	"context"
	"io"
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

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
	// MaxMemoryWait is how long a body waits for room. It is below the 3 s that callers wait at
	// least, so that they can send the request to another entry.
	MaxMemoryWait = 1500 * time.Millisecond
	// MemoryWaitStep is the time between two attempts of such a body.
	MemoryWaitStep = 20 * time.Millisecond
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
	// maxLingering bounds the connections of refused callers that linger.
	maxLingering = 64
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
	// ConnectionBytes is what a connection of a caller holds beside a large body: a read buffer for
	// heads of 16 KiB, the write buffer, a body of up to prefetchedBodyBytes with the request
	// that is formatted from it, and the stack of its goroutine. 974 connections that had each carried
	// a body of 8,000 bytes took 41 MB.
	ConnectionBytes = 40 << 10
)

// Linger bounds the discarding of what a refused caller still sends. If the connection were closed at
// once, the caller could lose the response.
type Linger struct {
	Time  time.Duration
	Bytes int64
}

// discard ends the writing side of a connection and reads what its peer still sends. conn reads also
// what is buffered of the connection raw.
func (l Linger) discard(raw, conn net.Conn) {
	if half, ok := raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = raw.SetReadDeadline(time.Now().Add(l.Time))
	_, _ = io.CopyN(io.Discard, conn, l.Bytes)
}

// BodySettings configures Bodies.
type BodySettings struct {
	// MemoryBytes is the memory of the process, 0 if it is not limited.
	MemoryBytes int
	// Connections returns the number of connections of callers.
	Connections func() int
	// Linger is for callers that were refused.
	Linger Linger
}

// Bodies reads the bodies of requests under a memory budget. Its budget also holds other memory of the
// same process.
type Bodies struct {
	*budget.Budget
	linger     Linger
	log        *zap.Logger
	lastLogged rate.Sometimes
	// waiting is the number of bodies that wait for room, and lingering that of refused callers
	// whose remaining bytes are discarded.
	waiting, lingering atomic.Int64
	// tinyPieces paces the bodies with very small chunks.
	tinyPieces *rate.Limiter
	// refusals is the number of bodies refused for memory since the last log line.
	refusals atomic.Int64
	// refused and tooLarge count the bodies refused for memory and for their size.
	refused, tooLarge tally.Counter
	// responsesCut counts the responses that were cut off for memory.
	responsesCut tally.Counter
}

// NewBodies returns a reader of bodies for a process.
func NewBodies(settings BodySettings, log *zap.Logger, scope tally.Scope) *Bodies {
	share := func(part float64) int { return int(float64(settings.MemoryBytes) * part) }
	return &Bodies{
		Budget: budget.New(budget.Settings{
			Bytes: share(memoryBudgetShare), ReserveBytes: share(memoryReserveShare), FloorBytes: share(memoryFloorShare),
			Other: func() int { return settings.Connections() * ConnectionBytes },
		}),
		linger: settings.Linger, log: log, lastLogged: rate.Sometimes{Interval: logInterval}, tinyPieces: rate.NewLimiter(tinyPieceRate, tinyPieceReads),
		refused: scope.Counter("bodies_refused_for_memory"), tooLarge: scope.Counter("bodies_too_large"),
		responsesCut: scope.Counter("responses_cut_for_memory"),
	}
}

// Read reads the body of a request to a server of NewServer, up to a limit. It returns the
// memory that the body holds, nil if it is a short one of known length. If the body is too large, did
// not arrive or was dropped, it returns the error to report. The end of the context drops the body.
func (b *Bodies) Read(ctx context.Context, r *fasthttp.RequestCtx, limit int) (*budget.Hold, *result.Error) {
	hold, failure := b.readBody(ctx, r, limit)
	if conn := connOf(r.Conn()); failure == nil && conn != nil && !conn.enter(Serving) {
		hold.Release()
		return nil, callerLeftError()
	}
	return hold, failure
}

// readBody is Read without its effect on the phase of the connection.
func (b *Bodies) readBody(ctx context.Context, r *fasthttp.RequestCtx, limit int) (*budget.Hold, *result.Error) {
	length := r.Request.Header.ContentLength()
	stream := r.RequestBodyStream()
	switch {
	case stream == nil:
		return nil, nil
	case length >= 0 && length <= min(limit, prefetchedBodyBytes):
		// The buffer of the request holds the whole body. Closing the stream makes it that of the
		// request.
		if err := r.Request.CloseBodyStream(); err != nil {
			return nil, result.Malformed.Error("the body cannot be read")
		}
		return nil, nil
	case length > limit:
		return nil, tooLargeError()
	}
	conn := r.Conn()
	hold := b.Begin(time.Now(), func() { _ = conn.SetReadDeadline(past) })
	stopDropping := context.AfterFunc(ctx, hold.Drop)
	reader := bodyReader{bodies: b, hold: hold, conn: connOf(conn), stream: stream, length: length, limit: limit}
	body, failure := reader.read()
	stopDropping()
	if failure == nil && !hold.Complete() {
		failure = memoryError()
	}
	if failure != nil {
		hold.Release()
		if failure.Code == result.MemoryShort && ctx.Err() != nil {
			failure = result.Leaving.Error("the daemon is leaving")
		}
		return nil, failure
	}
	r.Request.SetBodyRaw(body)
	return hold, nil
}

// Refuse records that a body was refused with an error, and closes the connection after the response
// and after a part of what the caller still sends was discarded. If the caller has left, it closes the
// connection at once.
func (b *Bodies) Refuse(ctx *fasthttp.RequestCtx, failure *result.Error) {
	switch failure.Code {
	case result.BodyTooLarge:
		b.tooLarge.Inc(1)
	case result.MemoryShort:
		b.recordRefusal()
	case result.CallerLeft:
		_ = ctx.Conn().Close()
		return
	}
	ctx.SetConnectionClose()
	raw := ctx.Conn()
	if conn := connOf(raw); conn != nil {
		conn.isRefused.Store(true)
	}
	// fasthttp calls no function after a response that closes the connection, so the response is
	// written here.
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		defer b.lingering.Add(-1)
		lingers := b.lingering.Add(1) <= maxLingering
		_ = raw.SetWriteDeadline(time.Now().Add(b.linger.Time))
		if _, err := ctx.Response.WriteTo(conn); err == nil && lingers {
			b.linger.discard(raw, conn)
		}
	})
}

// recordRefusal records a body that was refused for memory.
func (b *Bodies) recordRefusal() {
	b.refused.Inc(1)
	b.refusals.Add(1)
	b.lastLogged.Do(func() {
		b.log.Warn("bodies refused for memory", zap.Int64("bodies", b.refusals.Swap(0)), zap.Int("held-bytes", b.Used()),
			zap.Int("limit-bytes", b.Limit()), zap.Int64("waiting", b.waiting.Load()))
	})
}

// bodyReader reads one body piece by piece.
type bodyReader struct {
	bodies *Bodies
	hold   *budget.Hold
	// conn is nil if a Listener has not accepted the connection.
	conn   *Conn
	stream io.Reader
	// length is the announced length, negative for a chunked body.
	length, limit int
}

// read returns the body. It has asked for room for the body and for the request that is formatted
// from it.
func (r *bodyReader) read() ([]byte, *result.Error) {
	var body []byte
	unreported := 0
	for reads := 1; ; reads++ {
		if len(body) == cap(body) {
			if len(body) == r.limit && r.length < 0 {
				return r.endAtLimit(body)
			}
			size := r.nextSize(cap(body))
			// The old buffer stays until it is copied.
			if !r.await(cap(body) + size) {
				return nil, memoryError()
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
		}
		n, err := r.stream.Read(body[len(body):min(cap(body), len(body)+bodyReadBytes)])
		body = body[:len(body)+n]
		if r.conn != nil {
			r.conn.bodyBytes = len(body)
		}
		if unreported += n; unreported >= budget.ProgressBytes {
			r.hold.Progress(time.Now(), unreported)
			unreported = 0
			if r.conn != nil && !r.conn.enter(Body) {
				return nil, callerLeftError()
			}
		}
		if n == bodyReadBytes {
			runtime.Gosched()
		}
		switch {
		case errors.Is(err, io.EOF) && (r.length < 0 || len(body) == r.length):
			return r.finish(body)
		case err != nil:
			return nil, r.readError(err)
		}
		if reads%tinyPieceReads == 0 && len(body) < reads*tinyPieceBytes {
			r.pause(min(r.bodies.tinyPieces.ReserveN(time.Now(), tinyPieceReads).Delay(), maxTinyPiecePause))
		}
	}
}

// pause waits for a time, or until the body or its connection is dropped.
func (r *bodyReader) pause(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end) && !r.hold.IsDropped() && (r.conn == nil || r.conn.isOpen()); {
		time.Sleep(min(time.Until(end), MemoryWaitStep))
	}
}

// endAtLimit returns a chunked body that has the largest size, if it ends there.
func (r *bodyReader) endAtLimit(body []byte) ([]byte, *result.Error) {
	n, err := r.stream.Read(make([]byte, 1))
	switch {
	case n > 0:
		return nil, tooLargeError()
	case errors.Is(err, io.EOF):
		return r.finish(body)
	}
	return nil, r.readError(err)
}

// finish asks for room for the request that is formatted from the body.
func (r *bodyReader) finish(body []byte) ([]byte, *result.Error) {
	if !r.await(cap(body) + len(body) + headRoomBytes) {
		return nil, memoryError()
	}
	return body, nil
}

// nextSize returns the size of the buffer that follows one of the given size.
func (r *bodyReader) nextSize(size int) int {
	next := max(firstBodyBytes, size*bodyGrowth)
	if r.length >= 0 {
		// A body of known length gets its first bytes already with the head.
		return min(max(next, 2*prefetchedBodyBytes), r.length)
	}
	return min(next, r.limit)
}

// await waits for room. It returns false if there is none in time, or if the body was dropped.
func (r *bodyReader) await(bytes int) bool {
	switch r.hold.Grow(time.Now(), bytes) {
	case budget.Granted:
		return true
	case budget.Dropped:
		return false
	}
	defer r.bodies.waiting.Add(-1)
	if r.bodies.waiting.Add(1) > maxWaitingBodies {
		return false
	}
	for end := time.Now().Add(MaxMemoryWait); time.Now().Before(end); {
		time.Sleep(MemoryWaitStep)
		// The body pauses for the daemon, not for its caller.
		if r.conn != nil && !r.conn.enter(Body) {
			return false
		}
		switch r.hold.Grow(time.Now(), bytes) {
		case budget.Granted:
			return true
		case budget.Dropped:
			return false
		}
	}
	return false
}

// readError returns the error to report for a body that cannot be read.
func (r *bodyReader) readError(err error) *result.Error {
	var network net.Error
	switch {
	case r.hold.IsDropped():
		return memoryError()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.RequestTimeout.Error("the body did not arrive in time")
	case errors.As(err, &network):
		return callerLeftError()
	}
	return result.Malformed.Error("the body cannot be read")
}

// tooLargeError returns the error for a body above the limit.
func tooLargeError() *result.Error { return result.BodyTooLarge.Error("the body is too large") }

// callerLeftError returns the error for a body that did not arrive.
func callerLeftError() *result.Error { return result.CallerLeft.Error("the body did not arrive") }

// memoryError returns the error for a body for which there is no memory.
func memoryError() *result.Error {
	return &result.Error{Code: result.MemoryShort, Message: "no memory for the body", RetryAfter: memoryRetryAfter}
}
