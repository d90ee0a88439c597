package agent

import (
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/stream"
)

// errMismatchedEvent reports an event, or a whole answer, of another request or of
// another version than the one that was asked for.
var errMismatchedEvent = errors.New("event belongs to another request or version")

// checkedStream is the body of a streamed answer to an entry. It forwards the events
// of the engine's answer and checks that each belongs to the request and version that
// was asked for. It reads on demand, so that a slow caller slows down only its own
// stream. After an error it ends with an error event.
type checkedStream struct {
	// requestID and digest are the request ID and the version in the call.
	requestID string
	digest    string
	// answer is the answer of the engine, and events reads its body.
	answer fuchsiarouter.Response
	events *stream.Reader
	// toFailure maps an error of the engine to the result for the entry.
	toFailure func(error) *result.Error
	// onEnd is called once, when the stream ends, with the number of forwarded
	// events. failure is nil if the stream was complete or its caller closed it.
	onEnd func(events int, failure *result.Error)

	preempted atomic.Bool
	once      sync.Once
	// pending holds the bytes of the current event that Read has not returned yet.
	pending    []byte
	eventCount int
	// isOver is set once the last event is in pending.
	isOver bool
}

// preempt makes the stream end with an error before its next event, because urgent
// work needs the slot.
func (s *checkedStream) preempt() { s.preempted.Store(true) }

// Read implements io.Reader.
func (s *checkedStream) Read(buffer []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.isOver {
			return 0, io.EOF
		}
		s.readEvent()
	}
	n := copy(buffer, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// Close implements io.Closer. When the stream is closed before its end, the
// caller has disconnected; closing the engine's answer cancels the work there.
func (s *checkedStream) Close() error {
	s.finish(nil)
	return nil
}

// readEvent reads the next event of the engine into pending, or the error event that
// ends the stream.
func (s *checkedStream) readEvent() {
	if s.preempted.Load() {
		s.fail(result.Preempted.Error("urgent work needs the slot"))
		return
	}
	event, err := s.events.Next()
	if err == nil {
		err = s.checkEvent(event)
	}
	if err != nil {
		s.fail(s.toFailure(err))
		return
	}
	s.pending = event.Raw
	if event.IsDone() {
		s.isOver = true
		s.finish(nil)
		return
	}
	s.eventCount++
}

// fail ends the stream with an error event.
func (s *checkedStream) fail(failure *result.Error) {
	s.pending = stream.FormatErrorEvent(failure.Body())
	s.isOver = true
	s.finish(failure)
}

// finish closes the engine's answer and calls onEnd, on the first call only.
func (s *checkedStream) finish(failure *result.Error) {
	s.once.Do(func() {
		_ = s.answer.Body.Close()
		s.onEnd(s.eventCount, failure)
	})
}

// checkEvent returns an error if the event reports an error of the engine or does not
// belong to the request and version.
func (s *checkedStream) checkEvent(event stream.Event) error {
	if event.IsDone() {
		return nil
	}
	if event.Name == stream.ErrorEventName {
		return errors.Errorf("engine failed: %s", event.Data)
	}
	var chunk struct {
		ID      string `json:"id"`
		Version string `json:"system_fingerprint"`
	}
	if err := json.Unmarshal(event.Data, &chunk); err != nil {
		return errors.Wrap(err, "event")
	}
	if chunk.ID != s.requestID || chunk.Version != s.digest {
		return errMismatchedEvent
	}
	return nil
}
