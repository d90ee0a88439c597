package exchange

import (
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// maxDirectWriteBytes is the size up to which a request fits into the buffer of its socket.
const maxDirectWriteBytes = 16 << 10

// errNotWritten reports a request that was not written to its end.
var errNotWritten = errors.New("the request was not written to its end")

// past is a time that, set as the write deadline, ends a blocked write immediately.
var past = time.Unix(1, 0)

// requestWrite is the writing of a request to a connection.
type requestWrite struct {
	conn net.Conn
	// ended is closed when writing has ended. err is set before.
	ended chan struct{}
	err   error
}

// startWrite writes a request, a long one in the background: its server may answer before it has
// read the request, and then read on later or close the connection. An error of writing is left to
// the reader of the connection, which first gets what the server has sent.
func startWrite(conn net.Conn, request []byte) *requestWrite {
	w := &requestWrite{conn: conn, ended: make(chan struct{})}
	write := func() {
		_, w.err = conn.Write(request)
		close(w.ended)
	}
	if len(request) > maxDirectWriteBytes {
		go write()
	} else {
		write()
	}
	return w
}

// end ends writing and returns nil if the whole request was written. It stops a write that is
// blocked; one whose bytes are all sent, as the answer of a server that has read them shows, returns
// without an error.
func (w *requestWrite) end() error {
	select {
	case <-w.ended:
	default:
		_ = w.conn.SetWriteDeadline(past)
		<-w.ended
	}
	if errors.Is(w.err, os.ErrDeadlineExceeded) {
		return errNotWritten
	}
	return w.err
}
