package ledger

import (
	"crypto/rand"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/fuchsiarouter/fuchsiarouter/claim"
)

// noncePrefixBytes is the size of the random prefix of nonces, large enough that two
// generators never share one.
const noncePrefixBytes = 12

// nonceGenerator generates nonces that consist of a random prefix and a counter. It is
// not safe for concurrent use.
type nonceGenerator struct {
	prefix string
	// count is the number of nonces generated so far.
	count uint64
}

func newNonceGenerator() nonceGenerator {
	var random [noncePrefixBytes]byte
	// Read never returns an error: it crashes the process when no randomness is
	// available.
	_, _ = rand.Read(random[:])
	return nonceGenerator{prefix: base64.RawURLEncoding.EncodeToString(random[:]) + "."}
}

// next returns a nonce that no other claim uses.
func (n *nonceGenerator) next() claim.Nonce {
	n.count++
	return claim.Nonce(n.prefix + strconv.FormatUint(n.count, 36))
}

// isOwn reports whether this generator created the nonce.
func (n *nonceGenerator) isOwn(nonce claim.Nonce) bool {
	return strings.HasPrefix(string(nonce), n.prefix)
}
