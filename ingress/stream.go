package ingress

import (
	"bytes"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/exchange"
	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
)

// streamReadBytes is the minimum free space in the buffer for one read of a stream.
// Engines send some hundred bytes at a time.
const streamReadBytes = 4 << 10

// maxEventBytes bounds an event of a stream. Events have some hundred bytes; a server in
// trouble may send one that does not end.
const maxEventBytes = 64 << 10

// errEventTooLong reports an event of more than maxEventBytes.
var errEventTooLong = errors.New("an event of the stream exceeds the limit")

// errCutInsideEvent reports a stream whose server ended it inside an event. However the server
// marks the end of its response, such a stream has been broken off.
var errCutInsideEvent = errors.New("the stream ended inside an event")

// errNoEvent reports a stream whose server closed the connection before the first event.
var errNoEvent = errors.New("the stream ended before its first event")

// errSecondResponse reports a stream in which its server has begun another response.
var errSecondResponse = errors.New("the server wrote another response inside the stream")

// eventSeparators are the ends of an event of a stream, one for each kind of line end.
// eventIDField begins the line with the event's ID.
var (
	eventSeparators = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}
	eventIDField    = []byte("id:")
)

// responseLinePrefix begins the first line of a response, and no line of an event.
var responseLinePrefix = []byte("HTTP/1.")

// eventStreamMediaType is the content type of a stream of events.
const eventStreamMediaType = "text/event-stream"

// maxSeparatorBytes is the length of the longest of eventSeparators.
const maxSeparatorBytes = 3

// eventStream passes the events of a server's response to the caller, whole events only.
// When the server is lost or ends its response inside an event, a resumable stream is
// continued on another server after the last event that was passed to the caller. A response
// that is no stream of events, such as a failure, is passed on as it is.
type eventStream struct {
	ingress  *Ingress
	request  *request
	response *serverResponse
	// buffered holds the bytes that the caller has not read yet; the first completeBytes
	// of them are whole events or, at the end of a response without events, all that is left.
	buffered      []byte
	completeBytes int
	// brokenOff is the error that ended the current server's response after the complete bytes
	// in the buffer, which are passed to the caller first.
	brokenOff error
	// position is how far the stream has arrived. All whole events are passed to the caller
	// before the stream is resumed.
	position streamPosition
	// hasEvent is set once a whole event of the current server's response has arrived.
	hasEvent bool
	// hasMore is set when a lost server had begun an event after the last one that arrived whole.
	hasMore bool
	// atEOF is set once the server's response has ended.
	atEOF bool
	// writeDeadlineSet is the time at which the write deadline of the caller was last set.
	writeDeadlineSet time.Time
	// finished is set once the server is released and the end of the request recorded.
	finished bool
	// firstEventAt is the time at which the first event was read.
	firstEventAt time.Time
	// answerBegan is the time at which the first event of the current server was read.
	answerBegan time.Time
}

// runStream sends the request to servers until it has read the first event of a stream,
// so that a failure before it can still be reported with its own status code. It then
// sets the stream as the response, which the HTTP server reads, or returns the error to
// report to the caller.
func (i *Ingress) runStream(r *request) *result.Error {
	r.position.lastEventID = r.LastEventID
	e := &eventStream{ingress: i, request: r, position: r.position}
	response, failure := i.sendUntilDeliverable(r)
	if failure != nil {
		return failure
	}
	e.response = response
	for e.completeBytes == 0 && !e.atEOF {
		err := e.fill()
		if err == nil {
			continue
		}
		e.discardPartialEvent()
		if e.response, failure = i.replaceInterrupted(r, e.response, err); failure != nil {
			return failure
		}
	}
	if !r.beginAnswer() {
		e.response.http.Close()
		i.releaseServer(r, e.response.server.ID, schedule.Cancelled)
		return r.cancelledAtServer()
	}
	e.firstEventAt, e.answerBegan = time.Now(), time.Now()
	r.timeToFirstEvent = e.firstEventAt.Sub(r.received)
	i.metrics.recordFirstEvent(r.timeToFirstEvent)
	i.copyResponseHead(r, e.response)
	e.extendWriteDeadline(e.firstEventAt)
	r.ctx.Response.SetBodyStream(e, -1)
	return nil
}

// fill reads more of the server's response into the buffer. It returns nil at the regular
// end of the response, and an error if the stream can't be whole there. If it has added
// complete bytes, it returns an error only at the next call.
func (e *eventStream) fill() error {
	if e.brokenOff == nil {
		e.brokenOff = e.readEvents()
	}
	if e.completeBytes > 0 {
		return nil
	}
	return e.brokenOff
}

// readEvents is fill without the delay of an error.
func (e *eventStream) readEvents() error {
	if cap(e.buffered)-len(e.buffered) < streamReadBytes {
		grown := make([]byte, len(e.buffered), 2*cap(e.buffered)+streamReadBytes)
		copy(grown, e.buffered)
		e.buffered = grown
		e.holdStream(cap(grown))
	}
	before := len(e.buffered) - e.completeBytes
	n, err := e.response.http.Read(e.buffered[len(e.buffered):cap(e.buffered)])
	if n > 0 {
		e.request.activeAttempt.endWait()
	}
	buffered, complete, position := e.buffered[:len(e.buffered)+n], e.completeBytes, e.position
	// The separator may begin in the bytes of the previous read.
	searchFrom := max(len(buffered)-n-maxSeparatorBytes+1, complete)
	secondResponse := false
	if at := responseLine(buffered, max(len(buffered)-n-len(responseLinePrefix)+1, complete)); at >= 0 && isEventStream(e.response.http.Header) {
		buffered, secondResponse = buffered[:at], true
	}
	if end := lastEventEnd(buffered[min(searchFrom, len(buffered)):]); end > 0 {
		complete = searchFrom + end
		position.hasEvents, position.lastAt = true, time.Now()
		if id, found := lastEventID(buffered[e.completeBytes:complete]); found {
			position.lastEventID = id
		}
	}
	// A server that sends an event byte by byte makes no progress, one that sends a long event
	// over a slow link does.
	isProgress := before == 0 || complete > e.completeBytes || (before+n)/progressBytes > before/progressBytes
	if n > 0 && isProgress && !e.ingress.advance(time.Now(), e.request.activeAttempt, position) {
		return errReplaced
	}
	e.hasEvent = e.hasEvent || complete > e.completeBytes
	e.buffered, e.completeBytes, e.position = buffered, complete, position
	if secondResponse {
		return errSecondResponse
	}
	if errors.Is(err, io.EOF) {
		e.request.partialEventBytes = e.partialEventBytes()
		if e.request.partialEventBytes > 0 && isEventStream(e.response.http.Header) {
			return errCutInsideEvent
		}
		if e.lacksEvents() {
			return errNoEvent
		}
		e.completeBytes, e.atEOF = len(e.buffered), true
		return nil
	}
	if err == nil && len(e.buffered)-e.completeBytes > maxEventBytes {
		return errEventTooLong
	}
	return err
}

// lacksEvents reports whether the current server's response, which has ended, can't be a whole
// stream since it has no event. The end of a connection doesn't say that a stream is whole. A
// stream that is resumed after its last event has none left, but not if a further one had begun.
func (e *eventStream) lacksEvents() bool {
	if e.hasEvent || !isEventStream(e.response.http.Header) {
		return false
	}
	return e.hasMore || e.position.lastEventID == "" && e.response.http.Framing() == exchange.FramingClose
}

// discardPartialEvent prepares for the response of the next server after the current one was lost.
// All whole events have been read by then.
func (e *eventStream) discardPartialEvent() {
	e.hasMore = e.partialEventBytes() > 0 || e.hasMore && !e.hasEvent
	e.buffered, e.completeBytes, e.hasEvent, e.brokenOff = e.buffered[:0], 0, false, nil
}

// partialEventBytes returns the number of buffered bytes of an event that has not arrived whole.
func (e *eventStream) partialEventBytes() int {
	return len(bytes.TrimLeft(e.buffered[e.completeBytes:], "\r\n"))
}

// lastEventEnd returns the position after the last event that ends in the buffer, or 0 if none
// does.
func lastEventEnd(buffer []byte) int {
	end := 0
	for _, separator := range eventSeparators {
		if at := bytes.LastIndex(buffer, separator); at >= 0 {
			end = max(end, at+len(separator))
		}
	}
	return end
}

// responseLine returns the position at or after from at which a line of the buffer begins like
// the first line of a response, or -1. A response may begin at the start of the buffer.
func responseLine(buffer []byte, from int) int {
	for {
		at := bytes.Index(buffer[from:], responseLinePrefix)
		if at < 0 {
			return -1
		}
		at += from
		if at == 0 || buffer[at-1] == '\n' || buffer[at-1] == '\r' {
			return at
		}
		from = at + 1
	}
}

// isEventStream reports whether a response is a stream of events. It is one if it is a success
// and doesn't state another content type.
func isEventStream(header *fasthttp.ResponseHeader) bool {
	mediaType, _, _ := strings.Cut(string(header.ContentType()), ";")
	mediaType = strings.TrimSpace(mediaType)
	return isSuccess(header.StatusCode()) && (mediaType == "" || strings.EqualFold(mediaType, eventStreamMediaType))
}

// Read implements io.Reader. It returns bytes only of events that have arrived whole, except
// of a response without events. It resumes the stream on another server if the current one is lost.
func (e *eventStream) Read(buffer []byte) (int, error) {
	if e.completeBytes == 0 {
		e.ingress.stallDetector.setWaiting(time.Now(), e.request.activeAttempt, true)
	}
	for e.completeBytes == 0 {
		if e.atEOF {
			e.extendWriteDeadline(time.Now())
			return 0, io.EOF
		}
		if err := e.fill(); err != nil {
			if err = e.resume(err); err != nil {
				return 0, err
			}
		}
	}
	now := time.Now()
	e.extendWriteDeadline(now)
	switch {
	case e.answerBegan.IsZero():
		e.answerBegan = now
	case now.Sub(e.answerBegan) >= soundAnswerAge:
		e.ingress.recordSound(e.request)
	}
	e.ingress.stallDetector.setWaiting(now, e.request.activeAttempt, false)
	n := copy(buffer, e.buffered[:e.completeBytes])
	e.request.passedOnBytes += n
	remaining := copy(e.buffered, e.buffered[n:])
	e.buffered, e.completeBytes = e.buffered[:remaining], e.completeBytes-n
	return n, nil
}

// lastEventID returns the ID of the last event that has one. events must begin at the start of a
// line.
func lastEventID(events []byte) (id string, found bool) {
	for len(events) > 0 {
		start := bytes.LastIndexAny(events[:len(events)-1], "\r\n") + 1
		if value, isID := bytes.CutPrefix(events[start:], eventIDField); isID {
			return string(bytes.TrimSpace(value)), true
		}
		events = events[:start]
	}
	return "", false
}

// resume continues the stream on another server after the current one was lost with the
// error cause. If that is not possible, it records the end of the request and returns an
// error, which cuts the response to the caller.
func (e *eventStream) resume(cause error) error {
	r := e.request
	next, failure := e.ingress.handleInterruptedResponse(r, e.response, cause)
	e.response = next
	if failure == nil && (!r.route.Resumable || e.position.lastEventID == "") {
		failure = result.StreamCut.Error("the stream broke off and cannot be resumed")
	}
	if failure == nil {
		e.discardPartialEvent()
		e.answerBegan = time.Time{}
		if next == nil {
			e.response, failure = e.ingress.sendUntilDeliverable(r)
		}
	}
	if failure == nil && !isEventStream(e.response.http.Header) {
		e.response.http.Close()
		e.ingress.releaseServer(r, e.response.server.ID, schedule.Failed)
		e.response, failure = nil, result.StreamCut.Error("the next server did not resume the stream")
	}
	if failure != nil {
		e.finish(result.StreamCut, failure.Message)
		return errors.Wrap(cause, "stream cut")
	}
	return nil
}

// Close implements io.Closer. The HTTP server of the entry closes the stream before its end
// if the caller has disconnected; the request is then cancelled at the backend server.
func (e *eventStream) Close() error {
	if e.atEOF && e.completeBytes == 0 {
		e.finish(result.OK, "")
	} else {
		e.finish(result.CallerLeft, "the caller left during the stream")
	}
	return nil
}

// finish releases the server and records the end of the request, once.
func (e *eventStream) finish(code result.Code, detail string) {
	if e.finished {
		return
	}
	e.finished = true
	if e.response != nil {
		e.response.http.Close()
		outcome := schedule.Cancelled
		if code == result.OK {
			outcome = schedule.Completed
			if e.response.http.Framing() != exchange.FramingClose && isEventStream(e.response.http.Header) {
				e.ingress.recordSound(e.request)
			}
			e.ingress.recordGeneration(e.request, time.Since(e.firstEventAt))
		}
		e.ingress.releaseServer(e.request, e.response.server.ID, outcome)
	}
	e.request.stopCallerWatch()
	e.ingress.finish(e.request, code, detail)
}

// recordGeneration reports to the scheduler how long a complete response took from its
// first to its last event.
func (i *Ingress) recordGeneration(r *request, took time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.scheduler.RecordGeneration(r.service, r.MaxOutputTokens, took)
}
