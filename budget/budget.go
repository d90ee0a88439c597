// Package budget decides how much memory the requests of callers may hold in a process that
// is killed when it exceeds the memory of its VM.
//
// Each request holds its bytes under one budget. A body that is being read asks for more room
// before it grows. While there is none, the bodies and responses without recent progress are
// dropped, those with the least recent progress first, and the others wait. A part of the budget
// is reserved for small holds, so that ordinary requests get through while large ones fill the
// rest. The package does no input or output; its callers pass the time, except to Await.
package budget

import (
	"math"
	"sync"
	"time"
)

const (
	// SmallBytes is the size up to which a hold may use the reserve. Ordinary callers send a few KB.
	SmallBytes = 64 << 10
	// StallTime is the time without progress after which a hold may be dropped. A link that is
	// congested, or a process that gets the processor late, pauses for up to 100 ms at a time.
	StallTime = 200 * time.Millisecond
	// ProgressBytes is the number of bytes that count as progress. Fewer bytes do not, or a caller
	// could keep a large body by sending a byte from time to time.
	ProgressBytes = 32 << 10
)

// Settings configures a Budget.
type Settings struct {
	// Bytes is the size of the budget. 0 means that there is no limit.
	Bytes int
	// ReserveBytes is the part of Bytes that only holds of up to SmallBytes may use.
	ReserveBytes int
	// FloorBytes is the part of Bytes that Other cannot take.
	FloorBytes int
	// Other returns the bytes that the process holds for callers outside of the budget, such as the
	// buffers of their connections. They reduce the budget. It may be nil.
	Other func() int
}

// Budget is the memory of all requests. It is safe for concurrent use.
type Budget struct {
	settings Settings

	mu sync.Mutex
	// used is the size of all holds in bytes, and freeing the part of it that belongs to dropped
	// holds, which will be released soon.
	used, freeing int
	// droppable are the holds that can be dropped and have not been.
	droppable map[*Hold]struct{}
}

// New returns an empty budget.
func New(settings Settings) *Budget {
	if settings.Bytes == 0 {
		settings = Settings{Bytes: math.MaxInt}
	}
	return &Budget{settings: settings, droppable: map[*Hold]struct{}{}}
}

// Outcome is the decision about more room for a hold.
type Outcome int

const (
	// Granted means that the hold has the room.
	Granted Outcome = iota
	// Wait means that there is no room yet; the caller may ask again later.
	Wait
	// Dropped means that the hold was dropped and must be released.
	Dropped
)

// Hold is the memory of one body or response. A nil Hold holds nothing.
type Hold struct {
	budget *Budget
	bytes  int
	// drop ends the transfer of the bytes.
	drop func()
	// progressAt is the time at which the last ProgressBytes had arrived or, before that, of the
	// start. pending is the number of bytes since then.
	progressAt time.Time
	pending    int
	dropped    bool
}

// Begin returns an empty hold for bytes that are being transferred. The function drop must end the
// transfer. It is called at most once, must not block and must not call the budget.
func (b *Budget) Begin(now time.Time, drop func()) *Hold {
	hold := &Hold{budget: b, drop: drop, progressAt: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.droppable[hold] = struct{}{}
	return hold
}

// Used returns the size of all holds in bytes.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Limit returns the bytes that small holds may use now.
func (b *Budget) Limit() int {
	limit := b.settings.Bytes
	if b.settings.Other != nil {
		limit = max(limit-b.settings.Other(), b.settings.FloorBytes)
	}
	return limit
}

// Grow changes the size of a hold to the given number of bytes, if there is room. If not, it drops
// holds without recent progress, the hold itself among them, if that makes room.
func (h *Hold) Grow(now time.Time, bytes int) Outcome {
	b := h.budget
	limit := b.Limit()
	if bytes > SmallBytes {
		limit -= b.settings.ReserveBytes
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.dropped {
		return Dropped
	}
	excess := b.used - limit + bytes - h.bytes
	if bytes <= h.bytes || excess <= 0 {
		b.used += bytes - h.bytes
		h.bytes = bytes
		return Granted
	}
	if b.stalledBytes(now)+b.freeing >= excess {
		b.makeRoom(now, excess)
	}
	if h.dropped {
		return Dropped
	}
	return Wait
}

// awaitStep is the time between two attempts of Await.
const awaitStep = 20 * time.Millisecond

// Await is Grow, but waits for room for up to a time. It reports whether the hold has the room.
func (h *Hold) Await(bytes int, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); ; time.Sleep(awaitStep) {
		now := time.Now()
		switch h.Grow(now, bytes) {
		case Granted:
			return true
		case Dropped:
			return false
		}
		if !now.Before(end) {
			return false
		}
	}
}

// Add grows a hold by bytes that are already there, whether there is room or not.
func (h *Hold) Add(bytes int) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += bytes
	h.bytes += bytes
	if h.dropped {
		b.freeing += bytes
	}
}

// Trim drops holds without recent progress if the budget is exceeded, as it may be after Add, or
// after the bytes outside of the budget have grown.
func (b *Budget) Trim(now time.Time) {
	limit := b.Limit()
	b.mu.Lock()
	defer b.mu.Unlock()
	if excess := b.used - limit; excess > 0 {
		b.makeRoom(now, excess)
	}
}

// stalledBytes returns the size of the holds that may be dropped.
func (b *Budget) stalledBytes(now time.Time) int {
	bytes := 0
	for hold := range b.droppable {
		if hold.isStalled(now) {
			bytes += hold.bytes
		}
	}
	return bytes
}

// makeRoom drops the holds with the least recent progress until the given number of bytes is being
// freed, or as many as there are.
func (b *Budget) makeRoom(now time.Time, bytes int) {
	for b.freeing < bytes {
		var oldest *Hold
		for hold := range b.droppable {
			if hold.isStalled(now) && (oldest == nil || hold.progressAt.Before(oldest.progressAt)) {
				oldest = hold
			}
		}
		if oldest == nil {
			return
		}
		b.dropHold(oldest)
	}
}

// isStalled reports whether a hold may be dropped for a lack of progress.
func (h *Hold) isStalled(now time.Time) bool {
	return h.bytes > 0 && now.Sub(h.progressAt) >= StallTime
}

// dropHold drops a hold.
func (b *Budget) dropHold(hold *Hold) {
	delete(b.droppable, hold)
	hold.dropped = true
	b.freeing += hold.bytes
	hold.drop()
}

// Progress records that bytes of a hold were transferred.
func (h *Hold) Progress(now time.Time, bytes int) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.pending += bytes; h.pending >= ProgressBytes {
		h.pending, h.progressAt = 0, now
	}
}

// Complete makes a hold one that is not dropped, since its bytes have arrived. It returns false if
// the hold was dropped before.
func (h *Hold) Complete() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.droppable, h)
	return !h.dropped
}

// Drop drops a hold regardless of the room, unless it is complete.
func (h *Hold) Drop() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if _, isDroppable := h.budget.droppable[h]; isDroppable {
		h.budget.dropHold(h)
	}
}

// IsDropped reports whether the hold was dropped.
func (h *Hold) IsDropped() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.dropped
}

// Release returns the bytes of a hold to the budget. Further calls have no effect.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.droppable, h)
	if h.dropped {
		b.freeing -= h.bytes
	}
	b.used -= h.bytes
	h.bytes = 0
}
