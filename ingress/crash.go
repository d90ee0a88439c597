package ingress

import (
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/quarantine"
	"github.com/fuchsiarouter/fuchsiarouter/tcp"
)

const (
	// refusalStrikes is the number of strikes, which is the number of crashes of servers
	// while a request was in progress there, from which the request is refused. Requests
	// that were in progress beside the one that caused the crash get one strike for each
	// crash as well.
	refusalStrikes = 3
	// strikeTTL is the time after a crash for which it counts against the requests that
	// were in progress at the crashed server. With a longer time, requests that many
	// callers send would collect strikes from crashes that they did not cause.
	strikeTTL = 40 * time.Second
	// maxStrikesPerMessage bounds the strikes in one status message.
	maxStrikesPerMessage = 20
	// crashProbeDelay is the time between a failed attempt and the probe whether its
	// server has crashed. crashProbeTimeout bounds the probe; only a refused connection
	// counts as a crash.
	crashProbeDelay   = 30 * time.Millisecond
	crashProbeTimeout = 300 * time.Millisecond
	// crashRetryAfter is the retry delay for callers whose request is refused because of
	// its strikes.
	crashRetryAfter = 2 * time.Second
)

// requestFingerprint returns a hash of the method, path, API key and body of a request,
// which is the same when the caller sends the request again.
func requestFingerprint(request *fasthttp.Request, key string) string {
	digest := xxhash.New()
	for _, part := range [][]byte{request.Header.Method(), request.Header.RequestURI(), []byte(key), request.Body()} {
		_, _ = digest.Write(part)
		_, _ = digest.Write([]byte{0})
	}
	return strconv.FormatUint(digest.Sum64(), 16)
}

// isQuarantined reports whether a request with this fingerprint must be refused because
// the fingerprint has refusalStrikes or more.
func (i *Ingress) isQuarantined(fingerprint string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.strikes.Verdict(time.Now(), fingerprint) == quarantine.Refuse
}

// probeForCrash checks whether the server of a failed attempt has crashed, which is the
// case if its address refuses connections, and then records a strike for the request. A
// lost response alone is no evidence of a crash.
func (i *Ingress) probeForCrash(server *catalog.Server, attemptID, fingerprint string, promptParts []string) {
	time.Sleep(crashProbeDelay)
	conn, err := tcp.Dial(server.Address, crashProbeTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	i.mu.Lock()
	i.strikes.RecordBrokenConnection(time.Now(), server.ID, server.ID+"/"+strconv.FormatInt(server.Started, 10), fingerprint)
	i.mu.Unlock()
	i.requestLog.write("server crashed", []zap.Field{
		zap.String("server", server.ID), zap.String("request-id", attemptID), zap.String("fingerprint", fingerprint),
		zap.Strings("prompt-parts", promptParts),
	})
}
