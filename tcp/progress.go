package tcp

import (
	"net"
	"time"
)

// ProgressConn is a connection whose read deadline is extended while bytes arrive: a
// large response over a congested link may take longer than a silent peer should be
// waited for.
type ProgressConn struct {
	net.Conn
	// MaxPause is how long a read waits for bytes after an earlier one has returned some.
	MaxPause time.Duration
	// MaxExtension is how long after the deadline that was set with SetReadDeadline bytes
	// may still be read.
	MaxExtension time.Duration

	// latestDeadline is the end of the extension. It is zero if no deadline is set.
	latestDeadline time.Time
}

// SetReadDeadline implements net.Conn. The deadline applies to the first read; each read that
// returns bytes replaces it.
func (p *ProgressConn) SetReadDeadline(deadline time.Time) error {
	p.latestDeadline = time.Time{}
	if !deadline.IsZero() {
		p.latestDeadline = deadline.Add(p.MaxExtension)
	}
	return p.Conn.SetReadDeadline(deadline)
}

// Read implements net.Conn. If it returns bytes, it sets the read deadline to MaxPause from
// now, but at most MaxExtension after the deadline of SetReadDeadline.
func (p *ProgressConn) Read(buffer []byte) (int, error) {
	n, err := p.Conn.Read(buffer)
	if n == 0 || err != nil || p.latestDeadline.IsZero() {
		return n, err
	}
	next := time.Now().Add(p.MaxPause)
	if next.After(p.latestDeadline) {
		next = p.latestDeadline
	}
	return n, p.Conn.SetReadDeadline(next)
}
