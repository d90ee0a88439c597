package retry

import "time"

// buckets divide the window of a Window.
const buckets = 20

// Window bounds the requests that are sent again within a sliding window: to a share
// of the requests sent for the first time, and a number beside it. All entries
// together have one bound; each keeps to its part of it without asking the others.
//
// A Window holds no clock, goroutine or lock. It is for one goroutine at a time.
type Window struct {
	share float64
	slack float64
	width time.Duration
	first [buckets]int
	again [buckets]int
	at    int64
}

// NewWindow returns a window without requests.
func NewWindow(share, slack float64, width time.Duration) *Window {
	return &Window{share: share, slack: slack, width: width / buckets}
}

// Sent counts a request at its first sending.
func (w *Window) Sent(now time.Time) {
	w.advance(now)
	w.first[w.at%buckets]++
}

// Allow takes one sending again, or reports false when there are too many. The
// entries share the number that is allowed beside the share.
func (w *Window) Allow(now time.Time, entries int) bool {
	w.advance(now)
	first, again := 0, 0
	for i := range buckets {
		first += w.first[i]
		again += w.again[i]
	}
	if float64(again+1) > w.share*float64(first)+w.slack/float64(max(entries, 1)) {
		return false
	}
	w.again[w.at%buckets]++
	return true
}

// advance clears the buckets that have left the window.
func (w *Window) advance(now time.Time) {
	at := now.UnixNano() / int64(w.width)
	for steps := 0; w.at < at && steps < buckets; steps++ {
		w.at++
		w.first[w.at%buckets], w.again[w.at%buckets] = 0, 0
	}
	w.at = max(at, w.at)
}
