package ingress

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/relay"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

// settledEpochKey is the key, among the registrations of entries, of the latest epoch of the registry
// that an entry has found to be settled. A restored registry has a record of an earlier epoch, or none,
// so an entry that starts sees whether a restoration may have lost what is not written again yet.
const settledEpochKey = "settled-epoch"

// registeredSettlement is what the registrations of entries say about the epoch of the registry.
type registeredSettlement struct {
	// isRead is set once the registrations were read. epoch is the epoch of that read, and settled
	// the one that the record of settledEpochKey names.
	isRead         bool
	epoch, settled int64
}

// awaitRoster waits until the registered entries were read, for up to rosterWait after the start.
func (i *Ingress) awaitRoster() {
	select {
	case <-i.rosterRead:
	case <-i.stop:
	case <-i.rosterWaitOver:
	}
}

// startPeers returns the entries that may know changes which the registry has lost, none if its epoch
// is settled.
func (i *Ingress) startPeers() []fuchsiarouter.TopicReader {
	i.awaitRoster()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.settlement.isRead && i.settlement.epoch == i.settlement.settled {
		return nil
	}
	var peers []fuchsiarouter.TopicReader
	for _, entry := range i.roster.StartPeers() {
		peers = append(peers, relay.NewClient(entry.PeerAddress, i.peerHTTP))
	}
	return peers
}

// receiveSettledEpoch applies the record of settledEpochKey. The caller holds the lock.
func (i *Ingress) receiveSettledEpoch(value []byte) {
	var wire struct {
		SettledEpoch int64 `json:"settled-epoch"`
	}
	if err := json.Unmarshal(value, &wire); err != nil || wire.SettledEpoch > i.settlement.epoch {
		i.log.Warn("malformed settled epoch ignored", zap.Int64("epoch", i.settlement.epoch), zap.Int64("settled", wire.SettledEpoch), telemetry.Cause(err))
		return
	}
	i.settlement.settled = wire.SettledEpoch
	i.mirror.RecordSettledEpoch(wire.SettledEpoch)
}

// hasUnregisteredSettlement reports whether this entry has to write the record of settledEpochKey:
// it is a relay, and knows of a later settled epoch than the record.
func (i *Ingress) hasUnregisteredSettlement(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.roster.IsRelay(now) && i.mirror.SettledEpoch() > i.settlement.settled
}

// registerSettledEpoch writes the record of settledEpochKey if that is due.
func (i *Ingress) registerSettledEpoch(now time.Time) {
	if !i.hasUnregisteredSettlement(now) {
		return
	}
	epoch := i.mirror.SettledEpoch()
	body, err := json.Marshal(struct {
		SettledEpoch int64 `json:"settled-epoch"`
	}{epoch})
	if err != nil {
		i.log.Error("settled epoch not encoded", telemetry.Cause(err))
		return
	}
	if _, err := i.registry.Put(fuchsiarouter.TopicEntries, settledEpochKey, body); err != nil {
		i.log.Warn("settled epoch not written", telemetry.Cause(err))
		return
	}
	i.mu.Lock()
	i.settlement.settled = epoch
	i.mu.Unlock()
	i.log.Info("settled epoch written", zap.Int64("epoch", epoch))
}
