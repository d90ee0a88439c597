package mirror

import (
	"time"

	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/telemetry"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
)

// serverRegistrations maintains the set of registered servers.
type serverRegistrations struct {
	mirror *Mirror
	// servers holds the registered servers by ID, including those in graceUntil.
	servers map[string]*catalog.Server
	// graceUntil holds, by ID, the servers whose registration was removed before
	// outageUntil, with the boot time until which they may register again.
	graceUntil map[string]time.Duration
	// outageUntil is the boot time until which removals are attributed to an outage, 0
	// when there was none. It is reregisterGrace after the first read that followed the
	// outage. A restoration of the registry counts as an outage.
	outageUntil time.Duration
	// epoch is that of the last read.
	epoch int64
}

// applyRecords applies a read of the servers' topic. A server whose registration was
// removed during an outage or shortly after it, before outageUntil, stays in the set until
// then, unless it was draining and the read has a record of the removal. A server whose
// new record cannot be decoded is removed.
func (r *serverRegistrations) applyRecords(read topicBatch) {
	now := r.mirror.settings.Clock()
	if (r.mirror.ServersAge()-read.relayDelay > outageThreshold || read.Epoch != r.epoch) && len(r.servers) > 0 {
		r.outageUntil = now + reregisterGrace
	}
	r.epoch = read.Epoch
	next := make(map[string]*catalog.Server, len(r.servers))
	seen := map[string]bool{}
	if !read.complete {
		for id, server := range r.servers {
			next[id] = server
		}
	}
	for _, record := range read.Records {
		if record.Key == "" {
			continue
		}
		seen[record.Key] = true
		if len(record.Value) == 0 {
			r.remove(next, record.Key, now)
			continue
		}
		server, err := r.mirror.registry.DecodeServer(record)
		if err != nil {
			r.mirror.log.Warn("server entry ignored", zap.String("server", record.Key), telemetry.Cause(err))
			delete(next, record.Key)
			continue
		}
		delete(r.graceUntil, record.Key)
		next[record.Key] = server
	}
	if read.complete {
		for id, server := range r.servers {
			if !seen[id] && now < r.outageUntil {
				next[id] = server
				r.graceUntil[id] = r.outageUntil
			}
		}
	}
	for id, until := range r.graceUntil {
		if now >= until {
			delete(r.graceUntil, id)
			delete(next, id)
		}
	}
	r.logChanges(next)
	r.servers = next
	r.mirror.updateView(func(view *catalog.View) *catalog.View {
		if len(read.Records) == 0 && len(view.Servers) == len(next) {
			return view
		}
		return view.WithServers(next)
	})
}

// remove removes a server from the set next, or keeps the server until outageUntil when
// its registration may have expired because the registry was unreachable. A draining
// server is removed at once.
func (r *serverRegistrations) remove(next map[string]*catalog.Server, id string, now time.Duration) {
	if next[id] == nil || now >= r.outageUntil || next[id].Draining {
		delete(next, id)
		return
	}
	r.graceUntil[id] = r.outageUntil
}

// maxChangesLogged is the number of changed servers of one read up to which each has a log
// line. Of more, only the number is logged: every daemon reads the changes of all servers.
const maxChangesLogged = 8

// logChanges logs the servers that were added, replaced by another incarnation or removed,
// and those that began or stopped draining.
func (r *serverRegistrations) logChanges(next map[string]*catalog.Server) {
	var changed []*catalog.Server
	for id, server := range next {
		before := r.servers[id]
		if before == nil || !before.IsSameIncarnation(server) || before.Draining != server.Draining {
			changed = append(changed, server)
		}
	}
	var gone []string
	for id := range r.servers {
		if next[id] == nil {
			gone = append(gone, id)
		}
	}
	if len(changed)+len(gone) > maxChangesLogged {
		r.mirror.log.Info("many servers changed", zap.Int("registered", len(changed)), zap.Int("gone", len(gone)),
			zap.Int("servers", len(next)))
		return
	}
	for _, server := range changed {
		r.mirror.log.Info("server registered", zap.String("server", server.ID), zap.String("address", server.Address),
			zap.Bool("draining", server.Draining), zap.Any("versions", server.Versions))
	}
	for _, id := range gone {
		r.mirror.log.Info("server gone", zap.String("server", id))
	}
}
