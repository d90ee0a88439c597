// Package tcp creates connections that detect a silent peer.
//
// A machine that lost power or is behind a partition sends nothing, and an open
// connection to it would wait forever. Therefore a connection is closed if sent bytes are
// not acknowledged, or keep-alive probes are not answered, within a short time.
package tcp

import (
	"context"
	"math"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

const (
	// userTimeout is how long sent bytes may stay unacknowledged before the connection is
	// closed (TCP_USER_TIMEOUT). It is twice as long as the pauses of a link that is frozen
	// or congested for a short time.
	userTimeout = 3 * time.Second
	// keepAliveIdle is the time without traffic after which a keep-alive probe is sent,
	// keepAliveInterval the time between two probes, and keepAliveCount the number of
	// unanswered probes after which the connection is closed.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// acceptInterval is the time between two attempts to accept a connection while resources are
	// lacking.
	acceptInterval = 20 * time.Millisecond
	// lackLogInterval is the shortest time between two log lines about a lack of resources.
	lackLogInterval = time.Second
)

// dialer sets the timeouts and keep-alive probes on the connections that it opens.
var dialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(descriptor uintptr) {
			failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
				int(userTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	},
}

// Dial connects to the address over IPv4 within the timeout.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return dialer.DialContext(ctx, "tcp4", address)
}

// Listen listens on the address over IPv4. Accepted connections have the same timeouts and
// keep-alive probes as those of Dial. Accept waits while the process or the machine lacks
// descriptors or memory for a connection, since HTTP servers stop for good after an error, and logs
// the begin and the end of such a lack.
func Listen(address string, log *zap.Logger) (net.Listener, error) {
	config := net.ListenConfig{Control: dialer.Control, KeepAliveConfig: dialer.KeepAliveConfig}
	inner, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return WaitForResources(inner, log), nil
}

// WaitForResources returns a listener whose Accept waits like that of Listen.
func WaitForResources(inner net.Listener, log *zap.Logger) net.Listener {
	return &listener{Listener: inner, log: log, lackLogged: rate.Sometimes{Interval: lackLogInterval}}
}

// listener is a net.Listener whose Accept waits for resources.
type listener struct {
	net.Listener
	log *zap.Logger
	// lackLogged bounds the log lines while resources are lacking again and again.
	lackLogged rate.Sometimes
}

// SyscallConn implements syscall.Conn.
func (l *listener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return socket.SyscallConn()
}

// SetReceiveBuffer sets the size of the receive buffer of the connections that a listener accepts from
// now on. The operating system adds as much for its own use.
func SetReceiveBuffer(listener net.Listener, bytes int) error {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return syscall.EINVAL
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	})
	if err != nil {
		return err
	}
	return failure
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	var lackingSince time.Time
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !LacksResources(err) {
			if err == nil && !lackingSince.IsZero() {
				l.log.Info("connections accepted again", zap.Stringer("address", l.Addr()), zap.Duration("after", time.Since(lackingSince)))
			}
			return conn, err
		}
		if lackingSince.IsZero() {
			l.lackLogged.Do(func() {
				lackingSince = time.Now()
				l.log.Warn("connections wait for descriptors or memory", zap.Stringer("address", l.Addr()), telemetry.Cause(err))
			})
		}
		time.Sleep(acceptInterval)
	}
}

// DescriptorLimit returns the number of descriptors that the process may have open.
func DescriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// LacksResources reports whether an error says that the process or the machine has no descriptor
// or no memory left.
func LacksResources(err error) bool {
	for _, cause := range []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// Abort closes a TCP connection with a reset. Sent bytes that the peer has not acknowledged
// are dropped and not sent again, including those that a partition or a frozen machine
// delays, so that a cancelled request doesn't start when the peer is reachable again.
func Abort(conn net.Conn) {
	if socket, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}

// HasPendingInput reports whether a connection that should be idle has received bytes or
// was closed, and therefore must not be used for another request. It consumes no bytes. It
// returns false for a connection that gives no access to its socket (syscall.Conn).
func HasPendingInput(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	pending := false
	err = raw.Control(func(descriptor uintptr) {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pending = err != unix.EAGAIN && err != unix.EINTR
	})
	return err != nil || pending
}
