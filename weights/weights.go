// Package weights identifies versions of model weights by content and stores their
// chunks in memory.
//
// The bytes of a model version are split into chunks of equal size, except the last. A
// model version is described by a Manifest, an ordered list of chunk digests. The
// digest of the encoded manifest identifies the version, so two daemons that hold a
// version of the same digest hold the same bytes. A Store holds chunks by digest. It
// verifies every chunk before adding it, stays within a limit of bytes, and never
// drops a chunk of a pinned version.
package weights

import (
	"encoding/hex"
	"fmt"

	"github.com/zeebo/blake3"
)

// Digest returns the hex-encoded BLAKE3 digest of data. It identifies chunks and
// manifests.
func Digest(data []byte) string {
	sum := blake3.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// IsDigest reports whether text has the format of a digest: 64 lower-case hex digits.
func IsDigest(text string) bool {
	if len(text) != digestLength {
		return false
	}
	for i := range len(text) {
		c := text[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// digestLength is the number of hex digits of a digest.
const digestLength = 64

// MismatchError reports bytes that do not have the expected digest.
type MismatchError struct {
	// Want is the expected digest, Got that of the bytes.
	Want string
	Got  string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("weights: digest is %s, want %s", e.Got, e.Want)
}

// SizeError reports that a chunk is put or pinned with another size than the Store knows
// from a pinned manifest or from the bytes of the present chunk.
type SizeError struct {
	// Digest is the digest of the chunk.
	Digest string
	// Want is the size in bytes that the Store knows, Got the one that was given to Put or
	// Pin.
	Want int64
	Got  int64
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("weights: chunk %s has %d bytes, want %d", e.Digest, e.Got, e.Want)
}

// FullError reports that a version or a chunk does not fit into a Store: together with the
// pinned versions it needs Need bytes, more than the Limit of the store.
type FullError struct {
	// Limit and Need are in bytes.
	Limit int64
	Need  int64
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("weights: %d bytes needed, limit is %d bytes", e.Need, e.Limit)
}
