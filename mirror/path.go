package mirror

import "time"

// returnInterval is the time after which the preferred way is tried again while
// another one works.
const returnInterval = 1500 * time.Millisecond

// path chooses the way by which a topic is read. The first way is preferred; after a
// failure the next one is tried, and the first again from time to time.
type path struct {
	way      int
	last     int
	failedAt time.Time
}

// choose returns the next way. Probing is set when the preferred way is tried again:
// the read should then not wait.
func (p *path) choose(now time.Time, ways int) (way int, probing bool) {
	p.way %= ways
	if p.way != 0 && now.Sub(p.failedAt) >= returnInterval {
		return 0, true
	}
	return p.way, false
}

// failed notes that a way does not work.
func (p *path) failed(now time.Time, way int) {
	if way == 0 {
		p.failedAt = now
		if p.way != 0 {
			return
		}
	}
	p.way++
}

// changed tells whether the way is another one than the last that worked.
func (p *path) changed(way int) bool { return p.last != way }

// worked notes that a way works.
func (p *path) worked(way int) { p.way, p.last = way, way }
