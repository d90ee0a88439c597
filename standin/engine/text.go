package engine

import (
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/zeebo/blake3"
)

// Token returns the token at an index of the response to a prompt. The identity is the
// digest of the version or, for an adapter, "VERSION+ADAPTER" with both digests. The token
// is a hash of the identity, the prompt and the index, so that a checker detects tokens of
// another version, of another request or at the wrong index.
func Token(identity, prompt string, index int) string {
	hash := blake3.New()
	_, _ = hash.WriteString(identity + "\x00" + prompt + "\x00" + strconv.Itoa(index))
	return hex.EncodeToString(hash.Sum(nil)[:4]) + " "
}

// Text returns the tokens of a response from the index from up to but not including until,
// as one text. The identity is that of Token.
func Text(identity, prompt string, from, until int) string {
	var text strings.Builder
	for index := from; index < until; index++ {
		text.WriteString(Token(identity, prompt, index))
	}
	return text.String()
}
