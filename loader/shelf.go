package loader

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// shelf holds the verified pieces of one version in memory.
type shelf struct {
	manifest fuchsiarouter.PieceManifest

	mu      sync.Mutex
	pieces  [][]byte
	missing int
	// changed is closed when a piece comes.
	changed chan struct{}
}

func newShelf(manifest fuchsiarouter.PieceManifest) *shelf {
	return &shelf{
		manifest: manifest, pieces: make([][]byte, len(manifest.Digests)), missing: len(manifest.Digests),
		changed: make(chan struct{}),
	}
}

// verify tells whether the content is the piece.
func (s *shelf) verify(piece int, content []byte) bool {
	sum := sha256.Sum256(content)
	return piece >= 0 && piece < len(s.manifest.Digests) && hex.EncodeToString(sum[:]) == s.manifest.Digests[piece]
}

// put keeps a verified piece. It reports false when the piece was there.
func (s *shelf) put(piece int, content []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pieces[piece] != nil {
		return false
	}
	s.pieces[piece] = content
	s.missing--
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// get returns a piece, and waits for it up to wait.
func (s *shelf) get(piece int, wait time.Duration) []byte {
	if piece < 0 || piece >= len(s.pieces) {
		return nil
	}
	var timer *time.Timer
	for {
		s.mu.Lock()
		content, changed := s.pieces[piece], s.changed
		s.mu.Unlock()
		if content != nil || wait <= 0 {
			return content
		}
		if timer == nil {
			timer = time.NewTimer(wait)
			defer timer.Stop()
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		}
	}
}

// left returns the pieces that are missing.
func (s *shelf) left() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var missing []int
	for piece, content := range s.pieces {
		if content == nil {
			missing = append(missing, piece)
		}
	}
	return missing
}
