package ingress

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/boottime"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
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

// withdrawOutdated cancels the requests that wait at servers with an older version than they may begin
// on soon. It checks them at every tick with the versions that are known by then, by a clock that also
// runs while the VM is suspended: a version may be learned after a request was sent, and a timer that was
// set then would stand still.
func (i *Ingress) withdrawOutdated(now time.Time) {
	attempts := i.stallDetector.waitingAttempts()
	if len(attempts) == 0 {
		return
	}
	// The next tick would be too late for those that are due before it.
	due := boottime.Now() - i.settings.VersionDeadline + versionCancelMargin + tickInterval
	i.mu.Lock()
	outdated := attempts[:0]
	for _, attempt := range attempts {
		// A server that loads weights may say that it holds none.
		held := max(attempt.heldVersion, i.scheduler.HeldVersion(now, attempt.server, attempt.model))
		isOutdated := slices.ContainsFunc(i.declaredVersions[attempt.model], func(target catalog.DeclaredVersion) bool {
			return target.Version > held && target.DeclaredAt < due
		})
		if isOutdated && !attempt.isOutdated {
			attempt.isOutdated = true
			outdated = append(outdated, attempt)
		}
	}
	i.mu.Unlock()
	for _, attempt := range outdated {
		i.metrics.requestsOutdated.Inc(1)
		i.requestLog.write("request withdrawn from an older version", []zap.Field{
			zap.String("request-id", attempt.request.AttemptID), zap.String("server", attempt.server),
		})
		attempt.cancel()
	}
}
