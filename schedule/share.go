package schedule

import (
	"math"
	"time"
)

// shareWindow is the time over which the served share of a rank is averaged.
const shareWindow = 4 * time.Second

// rank is the state of one rank of a service.
type rank struct {
	share share
	// granted is the pace at which requests of the rank get places.
	granted pace
	// begin is the time from sending to the first event.
	begin time.Duration
}

// patience returns the time until which it makes sense for a request to wait.
func (r *rank) patience(request *Request) time.Time {
	wait := request.Target.Sub(request.Arrived)
	return request.Arrived.Add(max(wait-r.begin, time.Duration(leastPatience*float64(wait))))
}

func (g *service) rank(order int) *rank {
	known := g.ranks[order]
	if known == nil {
		known = &rank{begin: beginDefault}
		g.ranks[order] = known
	}
	return known
}

// share is the part of the requests of one rank that were granted lately.
type share struct {
	asked   float64
	granted float64
	at      time.Time
}

func (s *share) decay(now time.Time) {
	factor := math.Exp(-now.Sub(s.at).Seconds() / shareWindow.Seconds())
	s.asked *= factor
	s.granted *= factor
	s.at = now
}

func (s *share) ask(now time.Time) {
	s.decay(now)
	s.asked++
}

func (s *share) grant(now time.Time) {
	s.decay(now)
	s.granted++
}

// value is the served part. A rank that asked for nothing counts as served.
func (s *share) value() float64 {
	if s.asked < 1 {
		return 1
	}
	return s.granted / s.asked
}

// pace is an average of events a second. It fades while none comes.
type pace struct {
	rate float64
	at   time.Time
}

// paceWindow is the time over which a pace is averaged.
const paceWindow = 2 * time.Second

func (p *pace) count(now time.Time) {
	p.rate = p.value(now) + 1/paceWindow.Seconds()
	p.at = now
}

func (p *pace) value(now time.Time) float64 {
	return p.rate * math.Exp(-now.Sub(p.at).Seconds()/paceWindow.Seconds())
}
