package loader

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// fillingFor is the time after a piece for which more are expected. A home of seven pieces
// gets one every 0.6 s from a slow origin.
const fillingFor = 1500 * time.Millisecond

// shelf holds the verified pieces of one version in memory.
type shelf struct {
	manifest fuchsiarouter.PieceManifest

	mu      sync.Mutex
	pieces  [][]byte
	missing int
	// changed is closed when a piece comes, the last of which came at the time at.
	changed chan struct{}
	at      time.Time
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
	s.at = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// get returns a piece, or nil.
func (s *shelf) get(piece int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if piece < 0 || piece >= len(s.pieces) {
		return nil
	}
	return s.pieces[piece]
}

// await returns the first of the wanted pieces that is there, and waits for one up to
// wait. The piece is negative when none comes.
func (s *shelf) await(wanted []int, wait time.Duration) (int, []byte) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		for _, piece := range wanted {
			if piece >= 0 && piece < len(s.pieces) && s.pieces[piece] != nil {
				content := s.pieces[piece]
				s.mu.Unlock()
				return piece, content
			}
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			return -1, nil
		}
	}
}

// isFilling tells whether a piece came lately.
func (s *shelf) isFilling() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.at) < fillingFor
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
