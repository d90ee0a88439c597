package entry

import (
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/caller"
	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/stream"
)

// streamRelay streams a response to the caller. If the server is lost, it resumes at
// another server with the same version, after the last token that the caller has. It
// reads only on demand, so that a slow caller slows down only its own stream.
type streamRelay struct {
	dispatcher *dispatcher
	request    *request
	history    *attemptHistory
	// onEnd is called once, when the stream has ended. tokens is the number of tokens that
	// the caller has, and failure is nil unless the stream ended with a failure.
	onEnd func(tokens int, failure *result.Error)
	// conn is the connection of the caller once the stream has begun, and nil before. While
	// the stream waits for another server, the connection is watched again. conn stays nil
	// for a response that serveAssembled builds.
	conn net.Conn

	// current is the attempt whose response is relayed, and events reads that response.
	current *acceptedRequest
	events  *stream.Reader
	// pending holds the bytes of the last event that Read has not returned yet.
	pending []byte
	// tokens is the number of tokens that the caller has, including those of an earlier
	// stream that the request resumes.
	tokens int
	// deliveredBytes is the number of bytes that Read has returned.
	deliveredBytes int64
	// firstTokenAt is when the first token from the current server arrived, and tokensBefore
	// the value of tokens before it. They determine the mean interval between the tokens.
	firstTokenAt    time.Time
	tokensBefore    int
	hasFinishReason bool
	// ended is set when no event follows those that are pending.
	ended   bool
	endOnce sync.Once
}

// open sends the request and reads the first event, so that a failure before the first event
// can still be reported with its own HTTP status.
func (r *streamRelay) open() *result.Error {
	if failure := r.connect(); failure != nil {
		return failure
	}
	return r.readNextEvent()
}

// connect sends the request to a server, which is to begin its response with the first token
// that the caller doesn't have.
func (r *streamRelay) connect() *result.Error {
	r.request.ResumeOffset = r.tokens
	accepted, failure := r.dispatcher.send(r.request, r.history, r.deliveredBytes)
	if failure != nil {
		return failure
	}
	r.current, r.events = accepted, stream.NewReader(accepted.response.Body)
	r.firstTokenAt = time.Time{}
	return nil
}

// Read implements io.Reader. A failure that ends the stream is returned as an error event,
// followed by io.EOF.
func (r *streamRelay) Read(buffer []byte) (int, error) {
	for len(r.pending) == 0 {
		if r.ended {
			return 0, io.EOF
		}
		if failure := r.readNextEvent(); failure != nil {
			r.pending = stream.FormatErrorEvent(failure.Body())
			r.ended = true
			r.finish(failure)
		}
	}
	n := copy(buffer, r.pending)
	r.pending = r.pending[n:]
	r.deliveredBytes += int64(n)
	return n, nil
}

// Close implements io.Closer. If a stream is closed before its end, the caller has
// disconnected; closing the response of the server cancels the work.
func (r *streamRelay) Close() error {
	r.finish(nil)
	return nil
}

// readNextEvent reads the next event into pending, from another server if the current one
// fails. It returns the failure if no server can continue the stream.
func (r *streamRelay) readNextEvent() *result.Error {
	for {
		event, err := r.events.Next()
		switch {
		case err == nil && event.Name == stream.ErrorEventName:
			if failure := r.resumeElsewhere(parseErrorEvent(event)); failure != nil {
				return failure
			}
		case err == nil:
			r.forwardEvent(event)
			return nil
		case r.hasFinishReason:
			// All tokens and the finish reason have arrived; only the end marker is
			// missing.
			r.forwardEvent(stream.Event{Data: []byte(stream.DoneMarker), Raw: []byte("data: " + stream.DoneMarker + "\n\n")})
			return nil
		default:
			if failure := r.resumeElsewhere(result.StreamCut.Error(err.Error())); failure != nil {
				return failure
			}
		}
	}
}

// forwardEvent makes an event pending for the caller, and counts its token if it has one.
// After the end marker it finishes the stream.
func (r *streamRelay) forwardEvent(event stream.Event) {
	r.pending = event.Raw
	if event.IsDone() {
		r.ended = true
		r.finish(nil)
		return
	}
	var wire struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(event.Data, &wire); err != nil || len(wire.Choices) == 0 {
		return
	}
	if wire.Choices[0].Delta.Content != "" {
		if r.firstTokenAt.IsZero() {
			r.firstTokenAt, r.tokensBefore = time.Now(), r.tokens
		}
		r.tokens++
	}
	if wire.Choices[0].FinishReason != nil {
		r.hasFinishReason = true
	}
}

// resumeElsewhere ends the attempt at the current server after its failure, and continues
// the stream at another server. It returns the failure to report if that is impossible.
func (r *streamRelay) resumeElsewhere(failure *result.Error) *result.Error {
	lost := r.current
	_ = lost.response.Body.Close()
	r.dispatcher.finishAttempt(r.request, lost.server, failure, r.meanTokenInterval())
	r.dispatcher.recordCrash(r.request, lost.server, lost.address, failure)
	lost.span.End(failure.Code.String())
	r.current = nil
	if failure.Code.Ran == result.RanNo {
		// The server had begun to respond, so its refusal, a preemption, no longer proves
		// that the request did not run.
		r.history.record(result.StreamCut.Error(failure.Error()))
	}
	r.history.record(failure)
	if !r.dispatcher.prepareRetry(r.request, r.history, lost.server, failure, r.deliveredBytes) {
		return r.history.callerFailure(failure)
	}
	if r.conn != nil {
		// The stream waits for a server again, possibly in a queue.
		r.request.caller = caller.New(r.conn, disconnectWatchDelay)
		defer r.request.caller.Close()
	}
	return r.connect()
}

// finish ends the current attempt, if any, as a success and calls onEnd. Only the first call
// has an effect.
func (r *streamRelay) finish(failure *result.Error) {
	r.endOnce.Do(func() {
		if r.current != nil {
			_ = r.current.response.Body.Close()
			r.dispatcher.finishAttempt(r.request, r.current.server, nil, r.meanTokenInterval())
			r.current.span.End(result.OK.String())
		}
		r.onEnd(r.tokens, failure)
	})
}

// meanTokenInterval returns the mean time between the tokens from the current server up to
// now, or 0 if there are fewer than two.
func (r *streamRelay) meanTokenInterval() time.Duration {
	count := r.tokens - r.tokensBefore - 1
	if r.firstTokenAt.IsZero() || count < 1 {
		return 0
	}
	return time.Since(r.firstTokenAt) / time.Duration(count)
}

// parseErrorEvent returns the failure that an agent reports within a stream.
func parseErrorEvent(event stream.Event) *result.Error {
	if failure, ok := result.ParseBody(event.Data); ok {
		return failure
	}
	return result.StreamCut.Error("the agent reported a failure that cannot be read")
}
