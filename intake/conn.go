package intake

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/tcp"
)

const (
	// writePieceBytes is how much of a response a peer must read within the write timeout.
	writePieceBytes = 64 << 10
	// maxOverheadBytes bounds what a request may have beside its body: its head, the sizes and
	// extensions of chunks, and trailers. maxOverheadRatio is how much more it may have for each byte
	// of the body; chunks of one byte have five.
	maxOverheadBytes = 128 << 10
	maxOverheadRatio = 16
)

// errOverhead reports a request with too many bytes beside its body.
var errOverhead = errors.New("the request has too many bytes beside its body")

// past is a time that, set as a deadline, ends a blocked read or write immediately.
var past = time.Unix(1, 0)

// Conn is a connection that a Listener has accepted.
type Conn struct {
	net.Conn
	listener *Listener
	// slot is guarded by the listener.
	slot *Slot[*Conn]
	// linger is what Close does, nil if it closes at once.
	linger atomic.Pointer[Linger]
	// receivedBytes is the number of bytes that have arrived for the current request, and bodyBytes
	// that of them which belong to its body. Only the goroutine of the server uses them.
	receivedBytes, bodyBytes int
	// isRefused is set once the request is refused and its rest is discarded.
	isRefused atomic.Bool
	// writeEnded is set if a write deadline has ended writing for good.
	writeEnded atomic.Bool
}

// enter records the phase of the connection. It returns false if the connection was closed for another
// one: the response to its request would be lost. It ends the deadline for reading a request that has
// arrived.
func (c *Conn) enter(phase Phase) bool {
	now := time.Now()
	c.listener.mu.Lock()
	isOpen := c.listener.table.Enter(now, c.slot, phase)
	c.listener.mu.Unlock()
	if phase == Idle {
		c.receivedBytes, c.bodyBytes = 0, 0
	}
	if phase == Serving {
		// The deadline would also end the watch for a peer that leaves.
		_ = c.SetReadDeadline(time.Time{})
	}
	return isOpen
}

// hasInput reports whether bytes have arrived that were not read, or the peer has closed the connection.
func (c *Conn) hasInput() bool { return tcp.HasPendingInput(c.Conn) }

// isOpen reports whether the connection was not closed for another one.
func (c *Conn) isOpen() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return !c.slot.evicted
}

// Read implements net.Conn. It returns errOverhead if a request has too many bytes beside its body.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if c.listener.settings.HasMessages {
		_ = c.enter(Head)
		return n, err
	}
	c.receivedBytes += n
	if c.receivedBytes > maxOverheadBytes+maxOverheadRatio*c.bodyBytes && !c.isRefused.Load() {
		return 0, errOverhead
	}
	return n, err
}

// Write implements net.Conn. If there is a write timeout, it applies to each piece of the bytes.
func (c *Conn) Write(data []byte) (int, error) {
	timeout := c.listener.settings.WriteTimeout
	if timeout == 0 {
		return c.Conn.Write(data)
	}
	written := 0
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		if c.writeEnded.Load() {
			return written, os.ErrDeadlineExceeded
		}
		n, err := c.Conn.Write(data[written:min(len(data), written+writePieceBytes)])
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// SetWriteDeadline implements net.Conn. A deadline that has passed ends all writing.
func (c *Conn) SetWriteDeadline(deadline time.Time) error {
	if !deadline.IsZero() && time.Until(deadline) <= 0 {
		c.writeEnded.Store(true)
	}
	return c.Conn.SetWriteDeadline(deadline)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if linger := c.linger.Swap(nil); linger != nil {
		linger.discard(c, c.Conn)
	}
	c.listener.mu.Lock()
	c.listener.table.Remove(c.slot)
	c.listener.mu.Unlock()
	select {
	case c.listener.room <- struct{}{}:
	default:
	}
	return c.Conn.Close()
}

// LingerOnClose makes Close discard what the peer still sends, after a response to a request that was
// not read to its end.
func (c *Conn) LingerOnClose(linger Linger) {
	c.isRefused.Store(true)
	c.linger.Store(&linger)
}

// CloseWrite ends the writing side of the connection.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what happens to unsent bytes when the connection is closed.
func (c *Conn) SetLinger(seconds int) error {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return socket.SetLinger(seconds)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, syscall.EINVAL
}

// connOf returns the connection of a Listener that a handler got, or nil if it is another one.
func connOf(conn net.Conn) *Conn {
	own, _ := conn.(*Conn)
	return own
}
