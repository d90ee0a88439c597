package tcp

import (
	"net"
	"time"
)

// Progress is a connection whose read deadline moves on while bytes come: a large answer
// over a full link may take longer than a silent peer is waited for.
type Progress struct {
	net.Conn
	// Pause is the longest time between two reads that bring bytes, Extra how much later
	// than the deadline an answer may end.
	Pause time.Duration
	Extra time.Duration

	end time.Time
}

// SetReadDeadline implements net.Conn.
func (p *Progress) SetReadDeadline(deadline time.Time) error {
	p.end = time.Time{}
	if !deadline.IsZero() {
		p.end = deadline.Add(p.Extra)
	}
	return p.Conn.SetReadDeadline(deadline)
}

// Read implements net.Conn.
func (p *Progress) Read(buffer []byte) (int, error) {
	n, err := p.Conn.Read(buffer)
	if n == 0 || err != nil || p.end.IsZero() {
		return n, err
	}
	next := time.Now().Add(p.Pause)
	if next.After(p.end) {
		next = p.end
	}
	return n, p.Conn.SetReadDeadline(next)
}
