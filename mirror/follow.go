package mirror

import (
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

// topicBatch is the result of one read of a topic.
type topicBatch struct {
	fuchsiarouter.KeyedBatch
	// complete is set when the batch has the newest record of every key, so that it
	// replaces the copy. Other batches add to the copy.
	complete bool
	// partial is set when there are more records after those of the batch. Such a read
	// does not confirm the copy.
	partial bool
	// sentAt is the boot time at which the read was sent, receivedAt that of its response.
	sentAt     time.Duration
	receivedAt time.Duration
	// unchangedUntil is the latest boot time at which the topic is known to have had no record
	// that the copy lacked before the read, or catalog.UnknownTime. It can be later than the
	// time of confirmation, which counts from the sending of a read.
	unchangedUntil time.Duration
	// countStart is the bound of Mirror.countStart after the read, for versions that the copy lacked.
	countStart time.Duration
	// declaredAt holds, by record, when the versions were declared whose records are in the batch.
	// A version may have been known before the read, so its date may be earlier than what
	// recordWrittenAt returns.
	declaredAt map[recordID]time.Duration
	// restoredAt is as in the topicFollower.
	restoredAt time.Duration
	// unknownHaveLeft is set if servers that the copy lacks have left before the restoration. It is
	// for a complete read after that of a peer's copy, which does not tell removals.
	unknownHaveLeft bool
	// settledAtSend is the latest epoch that was known to be settled when the read was sent.
	settledAtSend int64
	// relayDelay is how long failed reads through other daemons have taken since the copy was
	// confirmed, 0 if a source has shown since that the registry does not answer.
	relayDelay time.Duration
}

// recordID identifies a record of a batch. A batch can have several records of a key.
type recordID struct {
	key    string
	offset int64
}

// idOf returns the identity of a record of a batch.
func idOf(record fuchsiarouter.KeyedRecord) recordID { return recordID{record.Key, record.Offset} }

// confirmedAt returns the boot time as of which a read that is not partial confirms the copy.
func (b *topicBatch) confirmedAt() time.Duration { return b.sentAt - b.Age }

// recordWrittenAt returns the earliest boot time at which a record of the batch may have
// been written, or catalog.UnknownTime. The time of the response says nothing about it, since
// the process may have stood still, or the response may have been held up. In a relayed read the
// record itself carries its age.
func (b *topicBatch) recordWrittenAt(record fuchsiarouter.KeyedRecord) time.Duration {
	if b.Relayed {
		return max(b.sentAt-record.Age, b.unchangedUntil)
	}
	return b.unchangedUntil
}

// noLaterRecordAt returns the latest boot time at which the topic is known to have had no record
// after those of the batch. A read of the registry that waits, and returns no record, was
// answered at the end of its wait.
func (b *topicBatch) noLaterRecordAt(wait time.Duration) time.Duration {
	if b.Relayed || b.complete || len(b.Records) > 0 {
		return b.confirmedAt()
	}
	return min(b.sentAt+wait, b.receivedAt)
}

// topicFollower reads a topic continuously, from one source after the other.
type topicFollower struct {
	mirror *Mirror
	topic  fuchsiarouter.Topic
	// wait is how long a read waits for new records, interval the pause after a read.
	wait, interval time.Duration
	// confirmed is the boot time as of which the copy is known to be up to date, in ns.
	confirmed *atomic.Int64
	// apply is called with each successful read.
	apply func(topicBatch)

	selector  sourceSelector
	startedAt time.Duration
	// next is the position of the next read. complete is set if it returns the newest record of
	// every key instead.
	next     fuchsiarouter.Position
	complete bool
	// hasRead is set after the first successful read.
	hasRead bool
	// adopted is set from the adoption of the copy of another daemon to the next successful read.
	adopted bool
	// failing is set from a failed read to the next successful one.
	failing bool
	// unchangedUntil is as in a topicBatch.
	unchangedUntil time.Duration
	// restoredAt is the boot time of the first read after the last restoration of the registry,
	// or catalog.UnknownTime. rereadDue is set until the topic is read anew after
	// restorationGrace, when its records are taken as they are.
	restoredAt time.Duration
	rereadDue  bool
	// restartedAt is the boot time of the last response of another epoch than that of the copy, or
	// catalog.UnknownTime.
	restartedAt time.Duration
	// relayDelay is how long failed reads through other daemons have taken since the copy was
	// confirmed, and registryFailed whether a source has shown since that the registry does not
	// answer.
	relayDelay     time.Duration
	registryFailed bool
}

// follow reads a topic until the mirror is closed.
func (m *Mirror) follow(f *topicFollower) {
	f.mirror, f.complete, f.startedAt = m, true, m.settings.Clock()
	f.unchangedUntil, f.restoredAt, f.restartedAt = catalog.UnknownTime, catalog.UnknownTime, catalog.UnknownTime
	f.adoptPeerCopy()
	for m.sleep(f.read()) {
	}
}

// read sends one read and applies its result. It returns the pause before the next read.
func (f *topicFollower) read() time.Duration {
	sources := f.mirror.sources()
	index, probing := f.selector.choose(time.Now(), len(sources))
	wait := f.wait
	relayed := sources[index] != fuchsiarouter.TopicReader(f.mirror.registry)
	switch {
	case probing, f.failing:
		// A source that answers is found sooner by a read that doesn't wait for records.
		wait = 0
	case relayed && f.mirror.settings.RelayWait > 0:
		wait = f.mirror.settings.RelayWait
	}
	batch, err := f.readTopic(sources[index], wait)
	if err != nil {
		return f.handleError(batch, err, index, len(sources), relayed)
	}
	f.accept(batch, wait, index, relayed)
	switch {
	case batch.complete || batch.partial:
		// The newest records are not read as one atomic snapshot, and a partial read
		// leaves records out: the next read follows at once to complete the copy.
		return 0
	case relayed && f.mirror.settings.RelayWait > 0:
		return relayPause
	}
	return f.interval
}

// handleError decides after a failed read whether to read the topic anew, to repeat the read or
// to go on to the next one of the given number of sources. It returns the pause before that.
func (f *topicFollower) handleError(batch topicBatch, err error, index, sources int, relayed bool) time.Duration {
	confirmed := time.Duration(f.confirmed.Load())
	var expired *fuchsiarouter.ExpiredError
	switch {
	case errors.As(err, &expired):
		f.mirror.log.Info("records expired, the topic is read anew", f.positionFields(zap.Int64("first", expired.OldestOffset))...)
		f.complete = true
		return rereadPause
	case errors.Is(err, errRestored):
		f.mirror.log.Info("registry restored, the topic is read anew",
			f.positionFields(zap.Int64("read-epoch", batch.Epoch), zap.Bool("relayed", relayed))...)
		f.complete = true
		pause := rereadPause
		if batch.receivedAt-f.restartedAt < restorationGrace {
			// The registry has been restored, or its epoch has changed, twice in a row.
			pause = retryInterval
		}
		f.restartedAt = batch.receivedAt
		return pause
	case errors.Is(err, errStale) && f.mirror.settings.Clock()-confirmed < staleAfter[f.topic]:
		// The other daemon has not refreshed its copy since the last read.
		return relayPause
	case relayed && confirmed < 0 && f.mirror.settings.Clock()-f.startedAt < startPatience:
		return startRetryInterval
	}
	pause := retryInterval
	if !f.failing {
		f.mirror.log.Warn("registry lost", f.positionFields(zap.Int("way", index), zap.Bool("relayed", relayed),
			zap.Int64("read-epoch", batch.Epoch), zap.Int64("read-end", batch.End), telemetry.Cause(err))...)
		if sources > 1 {
			// There is another source, which most likely works.
			pause = rereadPause
		}
	}
	f.failing = true
	if relayed && !errors.Is(err, errStale) {
		f.relayDelay += batch.receivedAt - batch.sentAt
	} else {
		f.registryFailed = true
	}
	if !relayed && f.topic == fuchsiarouter.TopicOperator {
		f.mirror.settlement.interrupt()
	}
	f.selector.markFailed(time.Now(), index)
	return pause
}

// accept applies a successful read that waited for the given time.
func (f *topicFollower) accept(batch topicBatch, wait time.Duration, index int, relayed bool) {
	confirmed := time.Duration(f.confirmed.Load())
	if f.failing || f.selector.isSwitch(index) {
		f.mirror.log.Info("registry regained", f.positionFields(zap.Int("way", index), zap.Bool("relayed", relayed),
			zap.Int64("read-epoch", batch.Epoch), zap.Int64("read-end", batch.End), zap.Duration("age", f.mirror.settings.Clock()-confirmed))...)
		f.failing = false
	}
	f.selector.markWorking(index)
	if !f.registryFailed {
		batch.relayDelay = f.relayDelay
	}
	if batch.Epoch != f.next.Epoch && f.hasRead {
		f.restoredAt, f.rereadDue = batch.receivedAt, true
		batch.unknownHaveLeft = f.adopted
	}
	f.adopted = false
	if batch.receivedAt < f.restoredAt+removalRetention {
		f.mirror.keepNewer(f.topic, &batch, batch.receivedAt < f.restoredAt+restorationGrace)
	}
	f.hasRead, batch.restoredAt = true, f.restoredAt
	f.apply(batch)
	f.mirror.raiseEpoch(batch.Epoch)
	// The records are stored before the confirmation: readers take the age of the copy
	// before its records, so the records are never older than that age says.
	f.mirror.copies.store(f.topic, batch)
	f.next = fuchsiarouter.Position{Epoch: batch.Epoch, Offset: batch.End}
	f.complete = f.rereadDue && batch.receivedAt >= f.restoredAt+f.rereadDelay(relayed)
	if f.complete {
		f.rereadDue = false
	}
	if batch.partial {
		return
	}
	f.confirmed.Store(int64(max(confirmed, batch.confirmedAt())))
	until := batch.noLaterRecordAt(wait)
	if f.topic == fuchsiarouter.TopicOperator {
		f.mirror.recordSettlement(&batch, until)
	}
	if until >= f.restoredAt+reregisterGrace {
		// Before that, the absence of a record that a restoration has lost says nothing.
		f.unchangedUntil = max(f.unchangedUntil, until)
		if f.topic == fuchsiarouter.TopicOperator {
			f.mirror.countStart.recordAbsence(until)
		}
	}
	f.relayDelay, f.registryFailed = 0, false
}

// rereadDelay returns the time after a restoration at which the topic is read anew. Other daemons
// do that first, so that their copies have the result.
func (f *topicFollower) rereadDelay(relayed bool) time.Duration {
	if relayed {
		return restorationGrace + reregisterGrace
	}
	return restorationGrace
}

// positionFields returns the fields of a log line about the position of the copy.
func (f *topicFollower) positionFields(fields ...zap.Field) []zap.Field {
	return append([]zap.Field{
		zap.Int("topic", int(f.topic)), zap.Int64("epoch", f.next.Epoch), zap.Int64("position", f.next.Offset),
	}, fields...)
}

// readTopic reads the newest record of every key when complete is set, and otherwise the
// records from the position next on. If the topic ends before this position, the error is errStale
// for a relayed read and an ExpiredError for a read of the registry. If the topic is of
// another epoch, the error is errEarlierEpoch for a relayed read of an earlier one, and
// errRestored for other reads that are not complete.
func (f *topicFollower) readTopic(source fuchsiarouter.TopicReader, wait time.Duration) (topicBatch, error) {
	settledAtSend := f.mirror.SettledEpoch()
	sent := f.mirror.settings.Clock()
	var read fuchsiarouter.KeyedBatch
	var err error
	partial := false
	var check *runCheck
	if source == fuchsiarouter.TopicReader(f.mirror.registry) {
		check = startRunCheck(f.mirror.settings.Clock, sent)
	}
	if f.complete {
		read, err = source.ReadNewest(f.topic)
	} else {
		read, err = source.Read(f.topic, f.next, wait)
		if last := len(read.Records) - 1; err == nil && last >= 0 && !read.Relayed {
			// The size of a response is limited, so it may end before the newest record.
			end := read.Records[last].Offset + 1
			partial = end < read.End
			read.End = end
		}
	}
	received := f.mirror.settings.Clock()
	if check != nil {
		f.mirror.recordReadError(err, sent, received, check.end(received))
	}
	if err == nil && read.Epoch != f.next.Epoch && f.topic == fuchsiarouter.TopicOperator {
		f.mirror.countStart.recordRestoration(received)
	}
	switch {
	case err != nil:
	case read.Relayed && read.Epoch < f.next.Epoch:
		err = errEarlierEpoch
	case f.complete:
	case read.Epoch != f.next.Epoch:
		err = errRestored
	case read.End < f.next.Offset && read.Relayed:
		err = errStale
	case read.End < f.next.Offset:
		err = &fuchsiarouter.ExpiredError{OldestOffset: read.End}
	}
	batch := topicBatch{
		KeyedBatch: read, complete: f.complete || read.Complete, partial: partial, sentAt: sent, receivedAt: received,
		unchangedUntil: f.unchangedUntil, countStart: f.mirror.countStart.bound(), declaredAt: map[recordID]time.Duration{},
		settledAtSend: settledAtSend,
	}
	if err == nil && read.Relayed && read.Epoch == f.next.Epoch && batch.confirmedAt() <= time.Duration(f.confirmed.Load()) {
		err = errStale
	}
	return batch, err
}
