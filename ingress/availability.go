package ingress

import (
	"time"

	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/availability"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
)

// recordAvailability applies what the head of a response says about further requests to its server.
// The other entries are told at once that a server leaves. They are not told of a pause: the server
// asks this entry for it, and perhaps only since this one sends too much.
func (i *Ingress) recordAvailability(r *request, server *catalog.Server, reply fuchsiarouter.ResponseHead) {
	if reply.ServerReplaced || !reply.Leaving && reply.PauseText == "" {
		return
	}
	now := time.Now()
	fields := []zap.Field{
		zap.String("request-id", r.AttemptID), zap.String("server", server.ID), zap.Int64("started", server.Started),
	}
	if reply.Leaving {
		i.mu.Lock()
		added := i.scheduler.MarkLeaving(now, server.Incarnation())
		i.mu.Unlock()
		if added {
			i.metrics.serversLeaving.Inc(1)
			i.log.Info("server leaves", append(fields, zap.String("source", "response"))...)
			i.reportUrgently(now, nil)
		}
	}
	if reply.PauseText == "" {
		return
	}
	if reply.PauseMalformed && !i.pauseMalformed.Swap(true) {
		i.log.Warn("pause of a server is not in seconds, the default applies; logged once", append(fields, zap.String("retry-after", reply.PauseText))...)
	}
	if reply.Pause > 0 {
		i.mu.Lock()
		i.scheduler.Pause(now, server.Incarnation(), reply.Pause)
		i.mu.Unlock()
		i.metrics.serverPauses.Inc(1)
		i.requestLog.write("server pauses", append(fields, zap.String("retry-after", reply.PauseText), zap.Duration("pause", reply.Pause)))
	}
}

// mergeLeaving applies what another entry reports of leaving servers, and reports whether any of
// it is new. The caller holds the lock.
func (i *Ingress) mergeLeaving(now time.Time, servers []availability.Server, source string) bool {
	changed := false
	for _, server := range servers[:min(len(servers), availability.MaxReported)] {
		if server.ID != "" && i.scheduler.MarkLeaving(now, server) {
			changed = true
			i.log.Info("server leaves", zap.String("server", server.ID), zap.Int64("started", server.Started), zap.String("source", source))
		}
	}
	return changed
}

// receiveLeavingEngine applies what the loader of an engine, of which it knows no ID, reports, and
// tells the other entries.
func (i *Ingress) receiveLeavingEngine(now time.Time, engine availability.Server) {
	for _, server := range i.mirror.View().Servers {
		if server.Address != engine.Address || server.Started != engine.Started {
			continue
		}
		i.mu.Lock()
		added := i.scheduler.MarkLeaving(now, server.Incarnation())
		i.mu.Unlock()
		if added {
			i.metrics.serversLeaving.Inc(1)
			i.log.Info("server leaves", zap.String("server", server.ID), zap.Int64("started", server.Started), zap.String("source", "loader"))
			i.reportUrgently(now, nil)
		}
	}
}

// stillTakes reports whether a selected server may still be sent a request. A server whose
// registration was replaced while the request was queued may be in another availability zone than the
// selected one.
func (i *Ingress) stillTakes(r *request, server *catalog.Server) bool {
	i.mu.Lock()
	takes := i.scheduler.Takes(time.Now(), server.Incarnation()) && i.scheduler.AllowsZone(&r.scheduling, server.AvailabilityZone)
	i.mu.Unlock()
	if !takes {
		i.metrics.requestsWithheld.Inc(1)
	}
	return takes
}
