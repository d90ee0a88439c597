package ingress

import (
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/quarantine"
	"github.com/fuchsiarouter/fuchsiarouter/result"
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
	// soundAnswerAge is the time from the first event of an answer after which its request
	// is not suspected when its server crashes. A deadly request crashes its server when the
	// answer begins.
	soundAnswerAge = 250 * time.Millisecond
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

// checkCrashes returns the error for a request that must be refused since it, or a part of its
// prompt, has crashed servers. It returns nil for any other request.
func (i *Ingress) checkCrashes(r *request) *result.Error {
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	var message string
	switch {
	case i.strikes.Verdict(now, r.fingerprint) == quarantine.Refuse:
		message = "the request has crashed servers"
	case i.promptParts.Refused(now, r.PromptParts) != "":
		message = "a part of the prompt has crashed servers"
	default:
		return nil
	}
	return &result.Error{Code: result.CrashedServers, Message: message, RetryAfter: crashRetryAfter}
}

// probeForCrash checks whether the server of a failed attempt has crashed, which is the
// case if its address refuses connections, and then records a strike for the request. A
// lost response alone is no evidence of a crash. The parts of the prompt are suspected as
// well, unless the server had written the answer for a while. A server in an evacuated availability
// zone is not probed: nothing more is to be sent there, and it may have been stopped on purpose.
func (i *Ingress) probeForCrash(server *catalog.Server, r crashSuspect) {
	failed := time.Now()
	time.Sleep(crashProbeDelay)
	if i.mirror.View().EvacuatedZones[server.AvailabilityZone] {
		return
	}
	conn, err := tcp.Dial(server.Address, crashProbeTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	crash := server.ID + "/" + strconv.FormatInt(server.Started, 10)
	var refused []string
	i.mu.Lock()
	i.strikes.RecordBrokenConnection(time.Now(), server.ID, crash, r.fingerprint)
	if !r.sound {
		refused = i.promptParts.RecordCrash(failed, crash, r.promptParts)
	}
	i.mu.Unlock()
	i.requestLog.write("server crashed", []zap.Field{
		zap.String("server", server.ID), zap.String("request-id", r.attemptID), zap.String("fingerprint", r.fingerprint),
		zap.Strings("prompt-parts", r.promptParts), zap.Bool("answered", r.sound),
	})
	i.cancelRefused(refused)
}

// crashSuspect is what probeForCrash needs of a request, whose other fields may change while it
// runs.
type crashSuspect struct {
	attemptID, fingerprint string
	promptParts            []string
	// sound is set if the server had written an answer for at least soundAnswerAge.
	sound bool
}

// recordSound records that the server of the active attempt has written a sound answer, once
// for each attempt.
func (i *Ingress) recordSound(r *request) {
	if r.activeAttempt == nil || len(r.PromptParts) == 0 || !i.stallDetector.markSound(r.activeAttempt) {
		return
	}
	i.mu.Lock()
	refused := i.promptParts.RecordSound(time.Now(), r.PromptParts)
	i.mu.Unlock()
	i.cancelRefused(refused)
}

// mergeParts adds what another entry reports of the parts of prompts.
func (i *Ingress) mergeParts(now time.Time, report *fuchsiarouter.PartReport) {
	if report == nil {
		return
	}
	i.mu.Lock()
	refused := i.promptParts.Merge(now, *report)
	i.mu.Unlock()
	i.cancelRefused(refused)
}

// cancelRefused cancels the attempts whose prompts have one of the parts, which are refused
// from now on, before they crash their servers.
func (i *Ingress) cancelRefused(parts []string) {
	if len(parts) == 0 {
		return
	}
	attempts := i.stallDetector.unsoundAttempts(parts)
	for _, attempt := range attempts {
		attempt.cancel()
	}
	i.log.Warn("prompt parts refused", zap.Strings("prompt-parts", parts), zap.Int("taken-back", len(attempts)))
}
