package loader

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// recentPieceWindow is how long after the last received piece a loader expects to receive
// more of them. A loader that downloads seven pieces for its availability zone receives
// one every 0.6 s from a slow origin.
const recentPieceWindow = 1500 * time.Millisecond

// pieceCache holds the verified pieces of one version in memory.
type pieceCache struct {
	manifest fuchsiarouter.PieceManifest

	mu sync.Mutex
	// pieces holds the content of each piece by index, nil for a missing one.
	pieces [][]byte
	// missing is the number of missing pieces.
	missing int
	// changed is closed and replaced when a piece is added.
	changed chan struct{}
	// lastReceivedAt is when the last piece was added.
	lastReceivedAt time.Time
}

func newPieceCache(manifest fuchsiarouter.PieceManifest) *pieceCache {
	return &pieceCache{
		manifest: manifest, pieces: make([][]byte, len(manifest.Digests)), missing: len(manifest.Digests),
		changed: make(chan struct{}),
	}
}

// verify reports whether the content has the piece's digest in the manifest.
func (c *pieceCache) verify(piece int, content []byte) bool {
	sum := sha256.Sum256(content)
	return piece >= 0 && piece < len(c.manifest.Digests) && hex.EncodeToString(sum[:]) == c.manifest.Digests[piece]
}

// put adds a piece that the caller has verified. It returns false if the piece was already
// present.
func (c *pieceCache) put(piece int, content []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pieces[piece] != nil {
		return false
	}
	c.pieces[piece] = content
	c.missing--
	c.lastReceivedAt = time.Now()
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// get returns a piece, or nil if it is missing.
func (c *pieceCache) get(piece int) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if piece < 0 || piece >= len(c.pieces) {
		return nil
	}
	return c.pieces[piece]
}

// waitForAny returns the index and content of a wanted piece that is present, the first in
// the order of wanted. If none is present, it waits for the duration wait at most until
// one arrives, and returns a negative index if none does.
func (c *pieceCache) waitForAny(wanted []int, wait time.Duration) (int, []byte) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		changed := c.changed
		for _, piece := range wanted {
			if piece >= 0 && piece < len(c.pieces) && c.pieces[piece] != nil {
				content := c.pieces[piece]
				c.mu.Unlock()
				return piece, content
			}
		}
		c.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			return -1, nil
		}
	}
}

// receivedRecently reports whether a piece was added within the last recentPieceWindow.
func (c *pieceCache) receivedRecently() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastReceivedAt) < recentPieceWindow
}

// missingPieces returns the indexes of the missing pieces.
func (c *pieceCache) missingPieces() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var missing []int
	for piece, content := range c.pieces {
		if content == nil {
			missing = append(missing, piece)
		}
	}
	return missing
}
