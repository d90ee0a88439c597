package mirror

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
)

const (
	// maxEvacuationHold is the time after a restoration of the registry for which the known state of
	// an availability zone holds against records that may be older: operators write lost ones again
	// within about 2 s. evacuationHoldShare bounds it as a share of Settings.EvacuationBound, which
	// also has to cover the read of a relay and that of its readers.
	maxEvacuationHold   = 3 * time.Second
	evacuationHoldShare = 0.6
)

// evacuations is the part of the state of evacuated availability zones that is not in the view. The
// records of a zone are all equal, so a restored registry does not show which of them is newer.
type evacuations struct {
	// hold is the time after a restoration in which a changed state is kept in pending.
	hold time.Duration
	// withdrawnAt holds the boot times at which evacuations ended, by zone, for removalRetention.
	withdrawnAt map[string]time.Duration
	// pending holds, by zone, the newest state that was read and contradicts the known one.
	pending map[string]bool
}

func newEvacuations(bound time.Duration) evacuations {
	e := evacuations{hold: maxEvacuationHold, withdrawnAt: map[string]time.Duration{}, pending: map[string]bool{}}
	if bound > 0 {
		e.hold = min(e.hold, time.Duration(evacuationHoldShare*float64(bound)))
	}
	return e
}

// isEvacuation reports whether a record evacuates an availability zone.
func (m *Mirror) isEvacuation(topic fuchsiarouter.Topic, record fuchsiarouter.KeyedRecord) bool {
	if topic != fuchsiarouter.TopicOperator {
		return false
	}
	change, err := m.registry.DecodeOperatorChange(record)
	return err == nil && change.EvacuatedZone != ""
}

// applyEvacuations updates the view with the evacuated availability zones after a read of the
// operator's topic. A zone whose key a complete read lacks is not evacuated. Shortly after a
// restoration, an evacuation that was known to have ended does not begin again, and a known one does
// not end, unless that is still so at the end of the hold.
func (m *Mirror) applyEvacuations(read topicBatch, records []operatorRecord) {
	known, states := m.View().EvacuatedZones, map[string]bool{}
	if read.complete {
		for zone := range known {
			states[zone] = false
		}
		for zone := range m.evacuations.pending {
			states[zone] = false
		}
	}
	for _, record := range records {
		if record.change.EvacuatedZone != "" {
			states[record.change.EvacuatedZone] = record.change.Evacuated
		}
	}
	isHeld := read.receivedAt < read.restoredAt+m.evacuations.hold
	if !isHeld {
		for zone, isEvacuated := range m.evacuations.pending {
			if _, isRead := states[zone]; !isRead {
				states[zone] = isEvacuated
			}
		}
		clear(m.evacuations.pending)
	}
	for zone, isEvacuated := range states {
		delete(m.evacuations.pending, zone)
		if isEvacuated == known[zone] {
			delete(states, zone)
		} else if isHeld && m.evacuations.isKnown(zone, known, read.receivedAt) {
			m.evacuations.pending[zone] = isEvacuated
			delete(states, zone)
			m.log.Info("evacuation held after restoration", zap.String("zone", zone), zap.Bool("evacuated", isEvacuated), zap.Int64("epoch", read.Epoch))
		}
	}
	for zone, isEvacuated := range states {
		m.log.Info("zone evacuation changed", zap.String("zone", zone), zap.Bool("evacuated", isEvacuated),
			zap.Int64("epoch", read.Epoch), zap.Bool("relayed", read.Relayed))
		if !isEvacuated {
			m.evacuations.withdrawnAt[zone] = read.receivedAt
		}
	}
	maps.DeleteFunc(m.evacuations.withdrawnAt, func(_ string, at time.Duration) bool { return read.receivedAt-at >= removalRetention })
	if len(states) > 0 {
		m.updateView(func(view *catalog.View) *catalog.View { return view.WithEvacuatedZones(states) })
	}
}

// isKnown reports whether the state of a zone is known from before the restoration: it is evacuated,
// or an evacuation has ended within removalRetention.
func (e *evacuations) isKnown(zone string, evacuated map[string]bool, now time.Duration) bool {
	at, isWithdrawn := e.withdrawnAt[zone]
	return isWithdrawn && now-at < removalRetention || evacuated[zone]
}
