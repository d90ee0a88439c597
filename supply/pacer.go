package supply

import "time"

// Pacer limits the bandwidth with which a loader serves pieces. It is designed for the load
// of a new version in a zone of any size: every other loader of the zone wants each piece
// that this one imports, all at the same time. A piece is promised only if it can be sent
// before the request for it times out, since a promise that is not redeemed leaves the link
// unused.
//
// A Pacer has no clock or lock of its own. It is not safe for concurrent use.
type Pacer struct {
	// Rate is the maximum rate in bytes per second while the engine serves requests, and
	// IdleRate while it holds no version and sends no responses.
	Rate, IdleRate float64

	// nextSendAt is the earliest time at which another piece may be sent.
	nextSendAt time.Time
}

// Reserve returns the time at which a piece of size bytes may be sent, no later than latest.
// It returns false, and reserves nothing, if the pieces that are promised already take
// longer. An importer does not wait, since the loaders of its whole zone wait for what it
// imports.
func (p *Pacer) Reserve(now, latest time.Time, size int, idle, first bool) (sendAt time.Time, ok bool) {
	sendAt = now
	if p.nextSendAt.After(now) {
		sendAt = p.nextSendAt
	}
	if sendAt.After(latest) && !first {
		return time.Time{}, false
	}
	rate := p.Rate
	if idle {
		rate = p.IdleRate
	}
	p.nextSendAt = sendAt.Add(time.Duration(float64(size) / rate * float64(time.Second)))
	if first {
		sendAt = now
	}
	return sendAt, true
}
