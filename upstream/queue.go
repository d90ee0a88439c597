package upstream

import (
	"io"

	"github.com/fuchsiarouter/fuchsiarouter/dispatch"
)

// queueReader reads the response to one request without the informational responses about
// the queue that precede it, which fasthttp does not know. The zero value is ready for use.
type queueReader struct {
	// isWaiting is set between dispatch.WaitingResponse and the bytes that follow it.
	isWaiting bool
	// held holds the bytes read so far that may begin an informational response or, once
	// isPast is set, that the next calls return.
	held []byte
	// isPast is set when the final response has begun.
	isPast bool
}

// read reads from the source into the buffer, as io.Reader does.
func (q *queueReader) read(source io.Reader, buffer []byte) (int, error) {
	for !q.isPast {
		if err := q.readHead(source); err != nil && len(q.held) == 0 {
			return 0, err
		} else if err != nil {
			q.isPast = true
		}
	}
	if len(q.held) > 0 {
		n := copy(buffer, q.held)
		q.held = q.held[n:]
		return n, nil
	}
	return source.Read(buffer)
}

// readHead reads more bytes of the informational response that may follow, at most up to its
// end, and evaluates them.
func (q *queueReader) readHead(source io.Reader) error {
	var chunk [len(dispatch.WaitingResponse)]byte
	n, err := source.Read(chunk[:len(chunk)-len(q.held)])
	q.held = append(q.held, chunk[:n]...)
	switch {
	case string(q.held) == dispatch.WaitingResponse:
		q.isWaiting, q.held = true, nil
	case string(q.held) == dispatch.StartedResponse:
		q.isWaiting, q.held = false, nil
	case dispatch.WaitingResponse[:len(q.held)] != string(q.held) && dispatch.StartedResponse[:len(q.held)] != string(q.held):
		q.isWaiting, q.isPast = false, true
	}
	return err
}
