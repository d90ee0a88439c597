// Package caller detects that the peer of a connection has closed it while its request is
// still waiting for a response.
//
// An HTTP server reads a connection only between requests, so a disconnected caller would
// otherwise be detected only at the first write of the response. A Watch peeks at the socket
// without consuming bytes: pipelined data stays for the next request. The watch begins only
// after a delay, so that a request that is answered quickly costs one timer and no system
// call.
//
// If the caller has sent more data, the close shows only in the state of the socket, which is then read
// as well.
package caller

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// past is a time that, set as the read deadline, aborts a blocked read immediately.
var past = time.Unix(1, 0)

// Watch watches one connection during one request. A nil Watch never reports a close.
type Watch struct {
	conn net.Conn
	// timer starts the goroutine that watches after the delay.
	timer *time.Timer
	// closed is closed when the peer has closed the connection.
	closed chan struct{}
	// released is closed when the goroutine has ended and no longer uses the connection.
	released chan struct{}

	mu sync.Mutex
	// stopped is set once Close was called.
	stopped bool
	// onClosed is the function that OnClose has set, or nil.
	onClosed func()
}

// New returns a watch of the connection that begins after the delay. Nothing else may read
// from the connection until Watch.Close was called. A connection that gives no access to its
// socket (syscall.Conn) is not watched: it is never reported as closed.
func New(conn net.Conn, delay time.Duration) *Watch {
	w := &Watch{conn: conn, closed: make(chan struct{}), released: make(chan struct{})}
	w.timer = time.AfterFunc(delay, w.watch)
	return w
}

// Closed returns a channel that is closed when the peer has closed its connection, even
// if only for writing: a caller that still reads gets the result that its request was
// cancelled.
func (w *Watch) Closed() <-chan struct{} {
	if w == nil {
		return nil
	}
	return w.closed
}

// IsClosed reports whether the peer has closed the connection.
func (w *Watch) IsClosed() bool {
	select {
	case <-w.Closed():
		return true
	default:
		return false
	}
}

// OnClose calls f once in a new goroutine when the peer has closed the connection, or at once
// if that has already happened. f replaces the function of an earlier call of OnClose; nil
// removes that function.
func (w *Watch) OnClose(f func()) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onClosed = f
	if f != nil && w.IsClosed() {
		go f()
	}
}

// Close ends the watch without closing the connection. Afterwards the connection may be read
// again. Further calls have no effect.
func (w *Watch) Close() {
	if w == nil {
		return
	}
	w.mu.Lock()
	alreadyStopped := w.stopped
	w.stopped, w.onClosed = true, nil
	w.mu.Unlock()
	if alreadyStopped || w.timer.Stop() {
		return
	}
	select {
	case <-w.released:
	default:
		_ = w.conn.SetReadDeadline(past)
		<-w.released
	}
	_ = w.conn.SetReadDeadline(time.Time{})
}

// watch is the goroutine that waits until the peer has closed the connection or Close is
// called.
func (w *Watch) watch() {
	defer close(w.released)
	if !w.waitForClose() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.closed)
	if w.onClosed != nil {
		go w.onClosed()
	}
}

// waitForClose blocks until the peer has closed the connection and returns true. It
// returns false if Watch.Close is called first, or if the connection cannot be watched.
func (w *Watch) waitForClose() bool {
	socket, ok := w.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed, peeked := false, make([]byte, 1)
	_ = raw.Read(func(descriptor uintptr) bool {
		n, _, err := syscall.Recvfrom(int(descriptor), peeked, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch err {
		case nil:
			closed = n == 0 || isHungUp(descriptor)
		case syscall.EAGAIN, syscall.EINTR:
		default:
			closed = true
		}
		// Returning false waits for the next event of the socket, without polling.
		return closed
	})
	return closed
}

// isHungUp reports whether the peer has closed a connection, also if there are bytes to read.
func isHungUp(descriptor uintptr) bool {
	const hungUp = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	state := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	_, err := unix.Poll(state, 0)
	return err == nil && state[0].Revents&hungUp != 0
}
