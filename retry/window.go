package retry

import "time"

// bucketCount is the number of buckets into which the sliding window is divided.
const bucketCount = 20

// WindowBudget bounds the resends within a sliding window to a ratio of the requests in
// that window plus a fixed allowance. A resend is any further sending of a request for
// which Allow is called, whether or not the request may have run. The bound applies to all
// entries together. Each entry has a WindowBudget, which grants the ratio of its own
// requests and its part of the allowance, so no coordination is needed.
//
// A WindowBudget has no clock, goroutines or locks. It must be used by one goroutine at a
// time.
type WindowBudget struct {
	// ratio is the number of resends that each request allows.
	ratio float64
	// allowance is the number of resends in a window that all entries together may make
	// beyond the ratio.
	allowance   float64
	bucketWidth time.Duration
	// requests and resends hold the counts of each bucket. The bucket with the number n,
	// counted from the Unix epoch, is at the index n % bucketCount.
	requests [bucketCount]int
	resends  [bucketCount]int
	// current is the number of the newest bucket.
	current int64
}

// NewWindowBudget returns a budget for windows of the given duration. ratio is the number
// of resends for each request, allowance the number of further resends of all entries
// together in a window.
func NewWindowBudget(ratio, allowance float64, duration time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, allowance: allowance, bucketWidth: duration / bucketCount}
}

// RecordRequest counts a request, which raises the number of allowed resends. It is called
// when the request is sent for the first time.
func (w *WindowBudget) RecordRequest(now time.Time) {
	w.advance(now)
	w.requests[w.current%bucketCount]++
}

// Allow takes one resend from the budget and returns true. It returns false if the budget
// is used up, and then takes nothing. The allowance is divided equally among the given
// number of entries, which includes this one.
func (w *WindowBudget) Allow(now time.Time, entries int) bool {
	w.advance(now)
	requests, resends := 0, 0
	for i := range bucketCount {
		requests += w.requests[i]
		resends += w.resends[i]
	}
	if float64(resends+1) > w.ratio*float64(requests)+w.allowance/float64(max(entries, 1)) {
		return false
	}
	w.resends[w.current%bucketCount]++
	return true
}

// advance makes the bucket of the given time the newest one and clears the counts of the
// buckets that have left the window.
func (w *WindowBudget) advance(now time.Time) {
	bucket := now.UnixNano() / int64(w.bucketWidth)
	for steps := 0; w.current < bucket && steps < bucketCount; steps++ {
		w.current++
		w.requests[w.current%bucketCount], w.resends[w.current%bucketCount] = 0, 0
	}
	w.current = max(bucket, w.current)
}
