package mirror

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
)

const (
	// rewriteGrace is the time from the first read of an epoch after which it is settled: what the
	// restoration has lost is written again. A failed read of the registry begins it anew.
	rewriteGrace = reregisterGrace
	// adoptionTimeout bounds how long a mirror waits at the start for the copy of another daemon.
	adoptionTimeout = 500 * time.Millisecond
	// freshAcknowledgement is the age up to which the first copy that a peer offers is taken.
	freshAcknowledgement = 2 * time.Second
)

// settlement tracks up to when all changes that the registry has acknowledged are in the copy of the
// operator's topic. A read of the registry shows that only if its epoch is settled. In other epochs it
// holds as of the last read before the restoration, or as another daemon knows it.
type settlement struct {
	mu sync.Mutex
	settlementState
	// epoch is that of the last read, and since the boot time of the first read of it, or
	// catalog.UnknownTime before that and after a failed read.
	epoch int64
	since time.Duration
}

// settlementState is what a settlement tells.
type settlementState struct {
	// settled is the latest epoch that is known to be settled.
	settled int64
	// acknowledgedAt is the latest boot time up to which all acknowledged changes are known to be
	// in the copy, or catalog.UnknownTime.
	acknowledgedAt time.Duration
}

func newSettlement() settlement {
	return settlement{settlementState: settlementState{acknowledgedAt: catalog.UnknownTime}, since: catalog.UnknownTime}
}

// state returns the current state.
func (s *settlement) state() settlementState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settlementState
}

// interrupt records a failed read of the registry. The operator may not have been able to write
// either.
func (s *settlement) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = catalog.UnknownTime
}

// recordSettled records that an epoch is settled.
func (s *settlement) recordSettled(epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settled = max(s.settled, epoch)
}

// recordRead records a read that confirms the copy of the operator's topic as of the boot time until.
// An epoch of 0 is settled, since the registry then does not report restorations.
func (s *settlement) recordRead(read *topicBatch, until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	settled := max(read.settledAtSend, read.SettledEpoch)
	if s.since == catalog.UnknownTime || read.Epoch != s.epoch {
		s.epoch, s.since = read.Epoch, read.receivedAt
	} else if until >= s.since+rewriteGrace {
		settled = max(settled, read.Epoch)
	}
	s.settled = max(s.settled, settled)
	switch {
	case read.Epoch == 0, read.Epoch == settled:
		s.acknowledgedAt = max(s.acknowledgedAt, until)
	case read.complete && read.HasAcknowledgedAge:
		s.acknowledgedAt = max(s.acknowledgedAt, read.sentAt-read.AcknowledgedAge)
	}
}

// recordSettlement records a read that confirms the copy of the operator's topic as of the boot time
// until, and logs what it changes.
func (m *Mirror) recordSettlement(read *topicBatch, until time.Duration) {
	before, known := m.settlement.state(), m.Epoch()
	m.settlement.recordRead(read, until)
	after := m.settlement.state()
	fields := []zap.Field{zap.Int64("epoch", read.Epoch), zap.Int64("settled", after.settled), zap.Bool("relayed", read.Relayed)}
	if after.acknowledgedAt != catalog.UnknownTime {
		fields = append(fields, zap.Duration("acknowledged-age", read.receivedAt-after.acknowledgedAt))
	}
	switch {
	case after.settled > before.settled:
		m.log.Info("epoch of the registry settled", fields...)
	case read.Epoch > after.settled && read.complete:
		m.log.Info("epoch of the registry not settled", append(fields, zap.Int64("known-epoch", known))...)
	}
}

// AcknowledgedAge returns the maximum time since every change of the operator's topic that the registry
// had acknowledged was in the copy. It differs from OperatorAge after a restoration of the registry,
// and is longer than any bound while it is not known.
func (m *Mirror) AcknowledgedAge() time.Duration {
	return m.settings.Clock() - m.settlement.state().acknowledgedAt
}

// SettledEpoch returns the latest epoch of the registry that is known to be settled.
func (m *Mirror) SettledEpoch() int64 { return m.settlement.state().settled }

// RecordSettledEpoch records that another daemon has found an epoch to be settled.
func (m *Mirror) RecordSettledEpoch(epoch int64) { m.settlement.recordSettled(epoch) }

// adoptPeerCopy begins with the copy of another daemon, if the registry may have been restored
// shortly before the start. That copy then takes the place of the one from before the restoration that
// a running daemon has.
func (f *topicFollower) adoptPeerCopy() {
	if f.mirror.settings.Peers == nil {
		return
	}
	peer := f.selectPeer(f.mirror.settings.Peers())
	if peer == nil {
		return
	}
	batch, err := f.readTopic(peer, 0)
	if err != nil {
		return
	}
	f.mirror.log.Info("copy of another daemon adopted", zap.Int("topic", int(f.topic)), zap.Int64("epoch", batch.Epoch),
		zap.Int64("end", batch.End), zap.Duration("acknowledged-age", batch.AcknowledgedAge))
	if batch.Epoch > batch.SettledEpoch {
		f.restoredAt, f.rereadDue = batch.receivedAt, true
	}
	f.accept(batch, 0, 0, true)
	f.adopted = true
}

// selectPeer returns the first of the peers that knows up to when its copy has all acknowledged
// changes, and for which that is recent. If there is none, it returns the one with the most recent
// time that has answered, or nil.
func (f *topicFollower) selectPeer(peers []fuchsiarouter.TopicReader) fuchsiarouter.TopicReader {
	type answer struct {
		peer fuchsiarouter.TopicReader
		age  time.Duration
		ok   bool
	}
	answers := make(chan answer, len(peers))
	for _, peer := range peers {
		go func() {
			// No copy is of epoch 0, so the batch has no records.
			batch, err := peer.Read(f.topic, fuchsiarouter.Position{}, 0)
			answers <- answer{peer, batch.AcknowledgedAge, err == nil && batch.HasAcknowledgedAge}
		}()
	}
	timeout := time.NewTimer(adoptionTimeout)
	defer timeout.Stop()
	var best answer
	for range peers {
		select {
		case given := <-answers:
			if given.ok && (best.peer == nil || given.age < best.age) {
				best = given
			}
			if best.peer != nil && best.age < freshAcknowledgement {
				return best.peer
			}
		case <-timeout.C:
			return best.peer
		case <-f.mirror.closing:
			return nil
		}
	}
	return best.peer
}
