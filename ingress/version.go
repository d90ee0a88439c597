package ingress

import (
	"time"

	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/boottime"
)

const (
	// versionSendMargin is subtracted from Settings.VersionDeadline for requests that are
	// about to be sent, because they may be queued briefly at the server.
	versionSendMargin = 600 * time.Millisecond
	// versionCancelMargin is subtracted from Settings.VersionDeadline for requests that
	// are already queued at a server which still holds the older version: they are
	// cancelled there.
	versionCancelMargin = 200 * time.Millisecond
)

// enforceVersionDeadlines makes the scheduler require each declared version whose deadline
// is near or has passed, so that no request is sent to a server with an older one. The
// caller holds the lock.
func (i *Ingress) enforceVersionDeadlines() {
	now := boottime.Now()
	for model, targets := range i.declaredVersions {
		for _, target := range targets {
			if now-target.DeclaredAt > i.settings.VersionDeadline-versionSendMargin {
				i.scheduler.RequireVersion(model, target.Version)
			}
		}
	}
}

// attemptVersions are the weight versions that this entry knows when it sends a request for a
// model to a server.
type attemptVersions struct {
	// held is the version that the server holds, 0 if it holds none.
	held int
	// newest is the newest declared version, 0 if there is none.
	newest int
	// newestDeclaredAt is when the newest version was declared, and sentAt when the request is
	// sent, both as boot times.
	newestDeclaredAt, sentAt time.Duration
}

// versionsFor returns the versions for a request for the model that is sent to the server.
func (i *Ingress) versionsFor(server, model string) attemptVersions {
	i.mu.Lock()
	defer i.mu.Unlock()
	versions := attemptVersions{held: i.scheduler.HeldVersion(time.Now(), server, model), sentAt: boottime.Now()}
	if declared := i.declaredVersions[model]; len(declared) > 0 {
		target := declared[len(declared)-1]
		versions.newest, versions.newestDeclaredAt = target.Version, target.DeclaredAt
	}
	return versions
}

// firstEventTimeout returns how long a request may wait at a server for the first event
// of its response: until versionCancelMargin before the deadline of the first declared
// version that is newer than the one that the server holds. The duration is negative after
// that time. The result is false if there is no such version, so that the wait is not
// bounded.
func (i *Ingress) firstEventTimeout(server, model string) (time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	held := i.scheduler.HeldVersion(time.Now(), server, model)
	for _, target := range i.declaredVersions[model] {
		if target.Version > held {
			return target.DeclaredAt + i.settings.VersionDeadline - versionCancelMargin - boottime.Now(), true
		}
	}
	return 0, false
}

// limitWait cancels an attempt for a model at the end of its firstEventTimeout, unless its request has
// begun to run before.
func (i *Ingress) limitWait(attempt *activeAttempt, model string) {
	timeout, isBounded := i.firstEventTimeout(attempt.server, model)
	if !isBounded {
		return
	}
	attempt.waitTimer = time.AfterFunc(max(timeout, 0), func() {
		i.metrics.requestsOutdated.Inc(1)
		i.requestLog.write("request withdrawn from an older version", []zap.Field{
			zap.String("request-id", attempt.request.AttemptID), zap.String("server", attempt.server),
		})
		attempt.cancel()
	})
}
