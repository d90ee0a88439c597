package entry

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxFailureBytes bounds the body of a response in which an agent reports a failure.
	maxFailureBytes = 64 << 10
	// maxResponseBytes bounds a response that is not streamed.
	maxResponseBytes = 16 << 20
)

// spanContext is the parent context of all spans. A request is cancelled by closing its
// connection, not through a context.
var spanContext = context.Background()

// readLimited reads the body of a response to its end, and fails if it has more bytes than
// the limit.
func readLimited(source io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(source, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if int64(len(body)) > limit {
		return nil, errors.Errorf("response above %d bytes", limit)
	}
	return body, nil
}

// parseSeconds parses the value of a header that holds a number of seconds. It returns 0 if
// the value is invalid.
func parseSeconds(text string) time.Duration {
	number, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return time.Duration(number) * time.Second
}
