package ingress

import (
	"time"

	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/boottime"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/cold"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
)

// coldRegistryAge is the age up to which the copy of the registry shows that this entry is not cut
// off. The copy is confirmed every 0.4 s. Package cold relies on the bound of 1.5 s.
const coldRegistryAge = 1500 * time.Millisecond

// applyColdServices passes the services with cold servers to the scheduler. The caller holds the
// lock.
func (i *Ingress) applyColdServices(view *catalog.View) {
	if view.Configuration == nil {
		return
	}
	for name, service := range view.Configuration.Services {
		if service.ColdMalformed {
			i.warnColdMalformed("service", name)
		}
	}
	for id, server := range view.Servers {
		if server.ColdMalformed {
			i.warnColdMalformed("server", id)
		}
	}
	i.scheduler.SetColdServices(time.Now(), schedule.ColdSettings{
		Entry: i.settings.PeerAddress, Bound: i.settings.ColdBound, Clock: boottime.Now,
	}, view.Configuration.Services)
}

// warnColdMalformed logs the first cold time or rate that is outside the range.
func (i *Ingress) warnColdMalformed(kind, name string) {
	if !i.coldMalformed.Swap(true) {
		i.log.Warn("cold time or rate out of range, the nearest value applies; logged once", zap.String(kind, name))
	}
}

// updateColdView passes what this entry knows of the others to the limiter of cold servers.
// zoneSize is the number of live entries of the own zone with this one. The caller holds the lock.
func (i *Ingress) updateColdView(now time.Time, zoneSize int) {
	if !i.scheduler.LimitsCold() {
		return
	}
	zones := i.roster.RecentZones(now)
	hasRegistry := i.mirror.ServersAge() < coldRegistryAge
	view := cold.View{
		Zones: make([]cold.Zone, 0, len(zones)), HasRegistry: hasRegistry, InContact: hasRegistry && i.rosterKnown || zoneSize > 1,
	}
	for _, zone := range zones {
		view.Zones = append(view.Zones, cold.Zone{Name: zone.Name, Entries: zone.Entries, Live: zone.Live})
	}
	i.scheduler.SetColdView(view)
}

// recordCold applies what the head of a response says about the coldness of its server.
func (i *Ingress) recordCold(server *catalog.Server, reply fuchsiarouter.ResponseHead) {
	if reply.ColdMalformed {
		i.warnColdMalformed("server", server.ID)
	}
	if reply.ColdFor <= 0 || reply.ServerReplaced {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.scheduler.MarkCold(server.Incarnation(), reply.ColdFor)
}

// beginSending reports whether a request may be written to a server as far as it is cold, and
// records it in sending.
func (i *Ingress) beginSending(server *catalog.Server, sending *schedule.Sending) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	var allowed bool
	*sending, allowed = i.scheduler.BeginSending(server.Incarnation())
	return allowed
}

// endSending ends what beginSending has recorded.
func (i *Ingress) endSending(sending schedule.Sending) {
	if sending == (schedule.Sending{}) {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.scheduler.EndSending(sending)
}

// logColdEvents logs the servers that were found cold and those whose slow start has ended.
func (i *Ingress) logColdEvents(events []cold.Event) {
	for _, event := range events {
		if event.Cold {
			i.log.Info("server cold", zap.String("server", event.Server), zap.String("source", string(event.Reason)),
				zap.Duration("remaining", event.For), zap.Int("share", event.Share))
		} else {
			i.log.Info("server no longer cold", zap.String("server", event.Server))
		}
	}
}
