package stagedengine

import (
	"bytes"
	"fmt"
	"slices"
	"time"
)

// stagedPiece is the content that is staged for a piece.
type stagedPiece struct {
	content []byte
	// version is the version that the content belongs to, 0 if it is corrupt.
	version int
	// rightVersion and rightUntil tell of a corrupt piece which version it last was the right
	// content of, and until when. rightVersion is 0 if it never was.
	rightVersion int
	rightUntil   time.Time
	// readAt is when the piece was last read.
	readAt time.Time
}

// Content returns the right content of a piece of a version.
func Content(version, piece int) []byte { return fmt.Appendf(nil, "%d/%d: weights", version, piece) }

// paddedContent returns the content of a piece, padded with spaces to the size.
func paddedContent(version, piece, size int) []byte {
	content := Content(version, piece)
	return append(content, bytes.Repeat([]byte{' '}, max(size-len(content), 0))...)
}

// contentVersion returns the version for which the content of a piece of the size is right, 0 if
// there is none.
func contentVersion(piece int, content []byte, size int) int {
	var version int
	prefix := content[:min(len(content), maxVersionDigits)]
	if _, err := fmt.Sscanf(string(prefix), "%d/", &version); err != nil || !bytes.Equal(content, paddedContent(version, piece, size)) {
		return 0
	}
	return version
}

// maxVersionDigits is the number of bytes of a content that its version takes at most.
const maxVersionDigits = 20

// corrupt returns a copy of the content with one wrong byte.
func corrupt(content []byte) []byte {
	changed := bytes.Clone(content)
	changed[len(changed)-1] ^= 1
	return changed
}

// store stages the content of a piece. The caller holds the lock.
func (e *Engine) store(piece int, content []byte) {
	previous := e.staged[piece]
	stored := &stagedPiece{content: bytes.Clone(content), version: contentVersion(piece, content, e.settings.PieceBytes)}
	if previous != nil {
		stored.readAt = previous.readAt
	}
	switch {
	case stored.version > 0 || previous == nil:
	case previous.version > 0:
		stored.rightVersion, stored.rightUntil = previous.version, time.Now()
	default:
		stored.rightVersion, stored.rightUntil = previous.rightVersion, previous.rightUntil
	}
	e.staged[piece] = stored
}

// Corrupt corrupts those of the pieces that are staged.
func (e *Engine) Corrupt(pieces ...int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, piece := range pieces {
		if staged := e.staged[piece]; staged != nil && staged.version > 0 {
			e.store(piece, corrupt(staged.content))
		}
	}
}

// StagedPieces returns the number of pieces that are staged with the content of the version.
func (e *Engine) StagedPieces(version int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, staged := range e.staged {
		if staged.version == version {
			count++
		}
	}
	return count
}

// held returns the indexes of the staged pieces in ascending order.
func (e *Engine) held() []int {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := []int{}
	for piece := range e.staged {
		held = append(held, piece)
	}
	slices.Sort(held)
	return held
}

// read returns the content of a staged piece, nil if it is missing.
func (e *Engine) read(piece int) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	staged := e.staged[piece]
	if staged == nil {
		return nil
	}
	staged.readAt = time.Now()
	return bytes.Clone(staged.content)
}

// oldestRead returns when the piece that was read longest ago was read, or the start of the
// incarnation if that is later. The caller holds the lock.
func (e *Engine) oldestRead() time.Time {
	oldest := time.Now()
	for piece := range e.settings.Pieces {
		readAt := e.startedAt
		if staged := e.staged[piece]; staged != nil && staged.readAt.After(readAt) {
			readAt = staged.readAt
		}
		if readAt.Before(oldest) {
			oldest = readAt
		}
	}
	return oldest
}

// findViolations describes the pieces that must not be loaded as the version now. The caller
// holds the lock.
func (e *Engine) findViolations(version int, now time.Time) []string {
	var violations []string
	for piece := range e.settings.Pieces {
		staged := e.staged[piece]
		switch {
		case staged == nil:
			violations = append(violations, fmt.Sprintf("piece %d is missing", piece))
		case staged.version == version:
		case staged.version > 0:
			violations = append(violations, fmt.Sprintf("piece %d is of version %d", piece, staged.version))
		case staged.rightVersion != version:
			violations = append(violations, fmt.Sprintf("piece %d is corrupt and never was right", piece))
		case now.Sub(staged.rightUntil) > CorruptionAllowance:
			violations = append(violations, fmt.Sprintf("piece %d became corrupt %v before", piece, now.Sub(staged.rightUntil).Round(100*time.Millisecond)))
		}
	}
	return violations
}
