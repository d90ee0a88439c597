package ingress

import (
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/quarantine"
	"github.com/fuchsiarouter/fuchsiarouter/tcp"
	"github.com/fuchsiarouter/fuchsiarouter/world"
)

const (
	// strikesRefused is the number of crashed servers from which a request is refused.
	// Requests that were in progress beside the one at fault get one strike each time.
	strikesRefused = 3
	// strikesKept is how long a crash counts. Popular requests would collect strikes of
	// unrelated crashes.
	strikesKept = 40 * time.Second
	// strikesTold bounds the strikes in one piece of news.
	strikesTold = 20
	// examineAfter is the time after a broken answer at which the server is looked at,
	// examineTimeout bounds the look.
	examineAfter   = 30 * time.Millisecond
	examineTimeout = 300 * time.Millisecond
	// crashRetry is told to callers of a request that has crashed servers.
	crashRetry = 2 * time.Second
)

// fingerprint names a request by its method, path, key and body.
func fingerprint(request *fasthttp.Request, key string) string {
	digest := xxhash.New()
	for _, part := range [][]byte{request.Header.Method(), request.Header.RequestURI(), []byte(key), request.Body()} {
		_, _ = digest.Write(part)
		_, _ = digest.Write([]byte{0})
	}
	return strconv.FormatUint(digest.Sum64(), 16)
}

// isRefused tells whether a request has crashed too many servers.
func (i *Ingress) isRefused(fingerprint string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.strikes.Verdict(time.Now(), fingerprint) == quarantine.Refuse
}

// examine looks whether a server that broke off an answer has crashed: nothing listens
// there any more. A lost answer alone is no sign of that.
func (i *Ingress) examine(server *world.Server, fingerprint string) {
	time.Sleep(examineAfter)
	conn, err := tcp.Dial(server.Address, examineTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	i.mu.Lock()
	i.strikes.Broken(time.Now(), server.ID, server.ID+"/"+strconv.FormatInt(server.Born, 10), fingerprint)
	i.mu.Unlock()
	i.requests.write("server crashed", []zap.Field{zap.String("server", server.ID), zap.String("fingerprint", fingerprint)})
}
