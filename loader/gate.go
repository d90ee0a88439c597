package loader

import (
	"sync"
	"time"
)

const (
	// gateMost is the number of pieces that come in at once on a free link: as many as
	// fill it while some are on their way.
	gateMost = 5
	// slowTransfer is the time of a piece from which the link counts as squeezed. Pieces
	// that queue there hold up what callers send and cancel. On a free link five pieces
	// at once take 135 ms.
	slowTransfer = 300 * time.Millisecond
)

// gate bounds the pieces that come in at once by how long they take.
type gate struct {
	mu    sync.Mutex
	free  sync.Cond
	inUse int
	most  int
}

func newGate() *gate {
	g := &gate{most: gateMost}
	g.free.L = &g.mu
	return g
}

// enter waits until another piece may come in.
func (g *gate) enter() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.inUse >= g.most {
		g.free.Wait()
	}
	g.inUse++
	return time.Now()
}

// leave ends a transfer that began at the time.
func (g *gate) leave(began time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inUse--
	if time.Since(began) > slowTransfer {
		g.most = 1
	} else {
		g.most = min(g.most+1, gateMost)
	}
	g.free.Broadcast()
}
