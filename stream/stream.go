// Package stream parses and formats the server-sent events of streamed responses.
//
// A response is a sequence of events that ends with the end marker, the event
// "data: [DONE]". A stream without the end marker was truncated. A failure after a part of
// the response has been sent is reported by an event named "error", whose data is the JSON
// body of an error of package result.
package stream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// DoneMarker is the data of the event that is the end marker.
const DoneMarker = "[DONE]"

// ErrorEventName is the name of an event that reports a failure during a response.
const ErrorEventName = "error"

// maxEventBytes bounds the size of an event. A longer one is an error.
const maxEventBytes = 1 << 20

// ErrTruncated reports a stream that ended without its end marker.
var ErrTruncated = errors.New("stream ended without its end marker")

// Event is one server-sent event.
type Event struct {
	// Name is the value of the field "event", empty if the event has none.
	Name string
	// Data holds the values of the fields "data", joined by newlines.
	Data []byte
	// Raw is the event as received, including the blank line that ends it. It is valid
	// until the next call of Next.
	Raw []byte
}

// IsDone reports whether the event is the end marker.
func (e Event) IsDone() bool { return string(e.Data) == DoneMarker }

// Reader parses a stream of events.
type Reader struct {
	buffered *bufio.Reader
	// raw holds the bytes of the current event that were read so far.
	raw []byte
}

// NewReader returns a reader for the events in source.
func NewReader(source io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReader(source)}
}

// Next returns the next event that has a name or data; others, such as comments, are
// skipped. At the end of the stream it returns ErrTruncated, even after the end marker,
// so a caller that has read the end marker does not call Next again.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	event := Event{}
	for {
		line, err := r.buffered.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(r.raw) <= maxEventBytes:
			wholeLine, err := r.readLongLine()
			if err != nil {
				return Event{}, err
			}
			line = wholeLine
		case errors.Is(err, io.EOF):
			return Event{}, ErrTruncated
		case err != nil:
			return Event{}, errors.Wrap(err, "read event")
		case len(r.raw) > maxEventBytes:
			return Event{}, errors.Errorf("event exceeds the limit of %d bytes", maxEventBytes)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if len(event.Data) == 0 && event.Name == "" {
				// A comment or a blank line carries no event.
				r.raw = r.raw[:0]
				continue
			}
			event.Raw = r.raw
			return event, nil
		}
		event.parseLine(line)
	}
}

// readLongLine reads the rest of a line that does not fit into the buffer, whose
// beginning is at the end of raw, and returns the whole line.
func (r *Reader) readLongLine() ([]byte, error) {
	start := bytes.LastIndexByte(r.raw, '\n') + 1
	for {
		part, err := r.buffered.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		switch {
		case err == nil:
			return r.raw[start:], nil
		case errors.Is(err, io.EOF):
			return nil, ErrTruncated
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, errors.Wrap(err, "read event")
		case len(r.raw) > maxEventBytes:
			return nil, errors.Errorf("event exceeds the limit of %d bytes", maxEventBytes)
		}
	}
}

// parseLine adds the field in a line of the stream to the event. Fields other than
// "event" and "data" are ignored.
func (e *Event) parseLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "event":
		e.Name = string(value)
	case "data":
		if len(e.Data) > 0 {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
	}
}

// FormatErrorEvent formats an event that reports a failure. body is the JSON body of an
// error of package result.
func FormatErrorEvent(body []byte) []byte {
	return append(append([]byte("event: "+ErrorEventName+"\ndata: "), body...), '\n', '\n')
}
