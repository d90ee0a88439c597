package transfer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// maxWriteBytes is the size in bytes of the largest write of chunk data to a connection. A
// request of a caller on the same link waits behind at most one such write of each chunk
// that is being sent.
const maxWriteBytes = 8 << 10

// newLimiter returns a token bucket for a rate in bytes per second; 0 means no limit.
func newLimiter(bytesPerSecond float64) *rate.Limiter {
	if bytesPerSecond == 0 {
		return rate.NewLimiter(rate.Inf, maxWriteBytes)
	}
	return rate.NewLimiter(rate.Limit(bytesPerSecond), maxWriteBytes)
}

// regionLimiters hold one token bucket for each other region, which limits the rate at
// which this agent sends chunks to that region.
type regionLimiters struct {
	// linkRate is Options.RegionLinkRate; 0 means no limit.
	linkRate float64

	mu sync.Mutex
	// limiters holds the token buckets by region.
	limiters map[string]*rate.Limiter
}

// limiter returns the token bucket for a region after it has set the bucket's rate to this
// agent's share of linkRate. gateways is the number of agents of this agent's own region
// that share linkRate equally.
func (p *regionLimiters) limiter(region string, gateways int) *rate.Limiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	regionLimiter, ok := p.limiters[region]
	if !ok {
		regionLimiter = newLimiter(p.linkRate)
		p.limiters[region] = regionLimiter
	}
	if p.linkRate > 0 {
		regionLimiter.SetLimit(rate.Limit(p.linkRate / float64(max(1, gateways))))
	}
	return regionLimiter
}

// pacedReader is the body of a response with a chunk. It returns the bytes of the chunk at
// the rate of its token buckets, after it has acquired an upload slot. It holds the slot
// until it is closed.
type pacedReader struct {
	ctx context.Context
	// data holds the bytes that have not been read yet.
	data []byte
	// limiters are the token buckets. Every read takes its bytes from all of them.
	limiters []*rate.Limiter
	// onSent is called with the number of bytes of each read.
	onSent func(n int)
	// uploadSlots is nil for a reader that needs no slot.
	uploadSlots chan struct{}
	holdsSlot   bool
	// conn is the connection that the response is written to.
	conn net.Conn
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	n := min(len(b), len(p.data), maxWriteBytes)
	if n == 0 {
		return 0, io.EOF
	}
	if p.uploadSlots != nil && !p.holdsSlot {
		select {
		case p.uploadSlots <- struct{}{}:
			p.holdsSlot = true
		case <-p.ctx.Done():
			return 0, p.ctx.Err()
		}
	}
	for _, limiter := range p.limiters {
		if err := limiter.WaitN(p.ctx, n); err != nil {
			return 0, err
		}
	}
	// The deadline is extended before each write, so that it limits a stall and not
	// the whole response.
	if err := p.conn.SetWriteDeadline(time.Now().Add(SendTimeout)); err != nil {
		return 0, err
	}
	copy(b, p.data[:n])
	p.data = p.data[n:]
	p.onSent(n)
	return n, nil
}

// Close implements io.Closer. It releases the upload slot.
func (p *pacedReader) Close() error {
	if p.holdsSlot {
		p.holdsSlot = false
		<-p.uploadSlots
	}
	// The deadline is removed, since the connection may be reused for other responses.
	return p.conn.SetWriteDeadline(time.Time{})
}
