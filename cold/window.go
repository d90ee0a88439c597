package cold

import "time"

const (
	// bucketTime is the resolution of a window, and windowBuckets the number of buckets that
	// count. A window covers between 1.05 and 1.1 s: a second, and the time by which requests of
	// one entry may be on their way for differently long.
	bucketTime    = 50 * time.Millisecond
	windowBuckets = 22
)

// window counts requests in a sliding window. Its size does not depend on their number.
type window struct {
	counts [windowBuckets]int32
	total  int32
	// latest is the number of the bucket of the last call.
	latest int64
}

// advance drops the buckets that no longer count.
func (w *window) advance(now time.Duration) {
	current := int64(now / bucketTime)
	if current <= w.latest {
		return
	}
	if current-w.latest >= windowBuckets || w.total == 0 {
		*w = window{latest: current}
		return
	}
	for w.latest < current {
		w.latest++
		w.total -= w.counts[w.latest%windowBuckets]
		w.counts[w.latest%windowBuckets] = 0
	}
}

// add counts a request now.
func (w *window) add(now time.Duration) {
	w.advance(now)
	w.counts[w.latest%windowBuckets]++
	w.total++
}

// count returns the requests in the window.
func (w *window) count(now time.Duration) int {
	w.advance(now)
	return int(w.total)
}

// covers reports whether a request that was counted at the given time is still counted.
func (w *window) covers(now, at time.Duration) bool {
	w.advance(now)
	return int64(at/bucketTime) > w.latest-windowBuckets
}

// remove drops a request that was counted at the given time, if it still counts.
func (w *window) remove(now, at time.Duration) {
	if bucket := int64(at/bucketTime) % windowBuckets; w.covers(now, at) && w.counts[bucket] > 0 {
		w.counts[bucket]--
		w.total--
	}
}

// removeOldest drops the request that was counted first.
func (w *window) removeOldest(now time.Duration) {
	w.advance(now)
	if w.total == 0 {
		return
	}
	for bucket := w.latest - windowBuckets + 1; bucket <= w.latest; bucket++ {
		if bucket >= 0 && w.counts[bucket%windowBuckets] > 0 {
			w.counts[bucket%windowBuckets]--
			w.total--
			return
		}
	}
}
