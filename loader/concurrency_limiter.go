package loader

import (
	"sync"
	"time"
)

const (
	// maxConcurrentDownloads is the number of concurrent piece downloads from other
	// loaders on an uncongested link: enough to keep the link busy while some of the
	// pieces are still in flight.
	maxConcurrentDownloads = 5
	// slowTransferTime is the transfer time of a piece above which the link counts as
	// congested. Pieces queued on a congested link delay the requests and
	// cancellations of callers. On an uncongested link, five concurrent pieces take
	// 135 ms.
	slowTransferTime = 300 * time.Millisecond
)

// concurrencyLimiter bounds the concurrent piece downloads from other loaders. The limit
// drops to one when a download takes longer than slowTransferTime and grows by one, up to
// maxConcurrentDownloads, with each faster one.
type concurrencyLimiter struct {
	mu sync.Mutex
	// available is signaled when a download ends.
	available sync.Cond
	// inUse is the number of downloads in progress, limit the current maximum.
	inUse int
	limit int
}

func newConcurrencyLimiter() *concurrencyLimiter {
	l := &concurrencyLimiter{limit: maxConcurrentDownloads}
	l.available.L = &l.mu
	return l
}

// acquire waits until a download may start and returns its start time.
func (l *concurrencyLimiter) acquire() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.inUse >= l.limit {
		l.available.Wait()
	}
	l.inUse++
	return time.Now()
}

// release records the end of a download and adapts the limit to how long the download
// took. start is the time that acquire returned.
func (l *concurrencyLimiter) release(start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inUse--
	if time.Since(start) > slowTransferTime {
		l.limit = 1
	} else {
		l.limit = min(l.limit+1, maxConcurrentDownloads)
	}
	l.available.Broadcast()
}
