// Package tcp makes connections that notice when the other side has gone silent.
//
// A machine without power or behind a partition answers nothing, and an open
// connection to it would wait for ever. Bytes that are not acknowledged and probes
// that are not answered within a short time therefore end a connection.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout ends a connection whose bytes are not acknowledged. It is twice
	// the pause that a frozen or squeezed link shows in ordinary trouble.
	userTimeout = 3 * time.Second
	// probeIdle and probeInterval are the keep-alive of an idle connection.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 3
)

var dialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
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

// Dial connects to the address within the timeout.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return dialer.DialContext(ctx, "tcp4", address)
}

// Listen listens at the address with the same bounds for accepted connections.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: dialer.Control, KeepAliveConfig: dialer.KeepAliveConfig}
	return config.Listen(context.Background(), "tcp4", address)
}

// Abort resets a connection. Bytes that are still on their way to the other side are
// dropped, also those that a partition or a frozen machine holds up, so a request that
// was cancelled does not begin when the other side is back.
func Abort(conn net.Conn) {
	if socket, ok := conn.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}

// Pending tells what waits on a connection that should be quiet: bytes or its end.
// Nothing is taken from it.
func Pending(conn net.Conn) bool {
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
