package mirror

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
)

// topicCopies holds the newest record of each key of each topic, for daemons that read
// the topics through this one.
type topicCopies struct {
	mu     sync.Mutex
	topics map[fuchsiarouter.Topic]*topicCopy
}

// topicCopy is the copy of one topic.
type topicCopy struct {
	// records holds the newest record by key. That of a removed key has no value.
	records map[string]fuchsiarouter.KeyedRecord
	// writtenAt holds, by key, the earliest boot time at which each record may have been
	// written.
	writtenAt map[string]time.Duration
	// replaced holds the last replaced records of each declared version's key, the oldest first.
	// Each version has a deadline of its own, also for readers that learn of several at once.
	replaced map[string][]replacedRecord
	// removed holds the last records of the keys that were removed within removalRetention.
	removed map[string]removedRecord
	// epoch is the epoch of the records, and end the offset after the newest one.
	epoch, end int64
	// startEnd is the end of the read that began this copy. The copy lacks the removals before
	// it, other than those of the keys of the copy that it replaced, which ended at replacedEnd.
	// replacedEnd is -1 if there was none of the same epoch.
	startEnd, replacedEnd int64
	// changed is closed when a record is added or the copy is replaced. After an added
	// record, a new channel takes its place for the next change; a copy that replaces this
	// one has its own.
	changed chan struct{}
}

// replacedRecord is a replaced record and the earliest boot time at which it may have been written.
type replacedRecord struct {
	fuchsiarouter.KeyedRecord
	writtenAt time.Duration
}

// maxReplacedRecords is the number of replaced records that are kept of a key.
const maxReplacedRecords = 8

// store updates the copy of a topic with the records of a read. The record of a version that was
// known before has the time of its declaration, also when the record is written or read again.
func (c *topicCopies) store(topic fuchsiarouter.Topic, read topicBatch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.topics == nil {
		c.topics = map[fuchsiarouter.Topic]*topicCopy{}
	}
	older := c.topics[topic]
	kept := older
	if older == nil || read.complete {
		fresh := &topicCopy{
			records: map[string]fuchsiarouter.KeyedRecord{}, writtenAt: map[string]time.Duration{},
			removed: map[string]removedRecord{}, replaced: map[string][]replacedRecord{}, startEnd: read.End, replacedEnd: -1, changed: make(chan struct{}),
		}
		if older != nil {
			if older.epoch == read.Epoch {
				fresh.replacedEnd = older.end
			}
			fresh.addRemovals(older, read)
			close(older.changed)
		}
		kept = fresh
		c.topics[topic] = kept
	}
	for _, record := range read.Records {
		if record.Key != "" {
			writtenAt, ok := read.declaredAt[idOf(record)]
			if !ok {
				writtenAt = read.recordWrittenAt(record)
			}
			if len(record.Value) > 0 {
				delete(kept.removed, record.Key)
			} else {
				kept.rememberRemoval(kept, record.Key, read.receivedAt, false)
			}
			if before, known := kept.records[record.Key]; known && ok && kept == older {
				kept.keepReplaced(before, kept.writtenAt[record.Key])
			}
			kept.records[record.Key] = record
			kept.writtenAt[record.Key] = writtenAt
		}
	}
	kept.epoch, kept.end = read.Epoch, read.End
	if len(read.Records) > 0 && !read.complete {
		close(kept.changed)
		kept.changed = make(chan struct{})
	}
}

// keepReplaced keeps a record that is about to be replaced.
func (c *topicCopy) keepReplaced(record fuchsiarouter.KeyedRecord, writtenAt time.Duration) {
	c.replaced[record.Key] = append(c.replaced[record.Key], replacedRecord{record, writtenAt})
	if len(c.replaced[record.Key]) > maxReplacedRecords {
		c.replaced[record.Key] = c.replaced[record.Key][1:]
	}
}

// addRemovals adds a removal, which is a record without a value, for each key that has a
// value in the older copy or was removed before. The records of the read are stored afterwards
// and replace the removals of the keys that still exist. Readers of the older copy thus learn
// which keys are gone.
func (c *topicCopy) addRemovals(older *topicCopy, read topicBatch) {
	c.removed = maps.Clone(older.removed)
	for key, record := range older.records {
		if len(record.Value) > 0 {
			c.addRemoval(key, read)
			c.rememberRemoval(older, key, read.receivedAt, older.epoch != read.Epoch)
		}
	}
	for key, removed := range older.removed {
		if !removed.missing {
			c.addRemoval(key, read)
		}
	}
}

// addRemoval adds the removal of a key that the read doesn't have.
func (c *topicCopy) addRemoval(key string, read topicBatch) {
	c.records[key] = fuchsiarouter.KeyedRecord{Key: key, Offset: max(read.End-1, 0)}
}

// readFrom returns the newest record of each key for a read that arrived at the given boot
// time, and a channel that is closed when the copy changes. Unless newest is set, these are
// the records from the position on, including those without a value, which stand for removed
// keys, and the replaced ones of declared versions, in the order of their offsets. There are none
// if the copy is of another epoch than the position. If the copy lacks
// removals after the position, the batch has all records and is complete. readFrom returns
// false when the topic was not read yet.
func (c *topicCopies) readFrom(topic fuchsiarouter.Topic, from fuchsiarouter.Position, newest bool, arrived time.Duration) (fuchsiarouter.KeyedBatch, <-chan struct{}, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.topics[topic]
	if kept == nil {
		return fuchsiarouter.KeyedBatch{}, nil, false
	}
	batch := fuchsiarouter.KeyedBatch{Epoch: kept.epoch, End: kept.end}
	if !newest && from.Epoch != kept.epoch {
		return batch, kept.changed, true
	}
	if !newest && from.Offset < kept.startEnd && from.Offset != kept.replacedEnd {
		newest, batch.Complete = true, true
	}
	if !newest {
		for _, records := range kept.replaced {
			for _, record := range records {
				if record.Offset >= from.Offset {
					record.Age = arrived - record.writtenAt
					batch.Records = append(batch.Records, record.KeyedRecord)
				}
			}
		}
	}
	for _, record := range kept.records {
		if newest && len(record.Value) > 0 || !newest && record.Offset >= from.Offset {
			record.Age = arrived - kept.writtenAt[record.Key]
			batch.Records = append(batch.Records, record)
		}
	}
	slices.SortStableFunc(batch.Records, func(a, b fuchsiarouter.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	return batch, kept.changed, true
}

// Read returns the newest record of each key of a topic, if it is at the position or after
// it. When there is none, Read waits up to wait for the first one. When the copy is of
// another epoch than the position, Read returns no record and does not wait. The batch and
// its records have their age at the time of the call, which is negative for what was read
// while Read waited. Read returns false when the mirror has not read the topic yet.
func (m *Mirror) Read(topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, bool) {
	return m.readCopy(topic, from, wait, false)
}

// ReadNewest returns the newest record of every key of a topic that has a value. It
// returns false when the mirror has not read the topic yet.
func (m *Mirror) ReadNewest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, bool) {
	return m.readCopy(topic, fuchsiarouter.Position{}, 0, true)
}

// readCopy implements Read, and ReadNewest when newest is set.
func (m *Mirror) readCopy(topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration, newest bool) (fuchsiarouter.KeyedBatch, bool) {
	// The times are read before the records, so the records may be newer than the ages of the
	// batch say, but never older.
	arrived, confirmed, settlement := m.settings.Clock(), m.confirmedAt(topic), m.settlement.state()
	batch, changed, ok := m.copies.readFrom(topic, from, newest, arrived)
	if ok && len(batch.Records) == 0 && !batch.Complete && batch.Epoch == from.Epoch && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-m.closing:
		}
		confirmed, settlement = m.confirmedAt(topic), m.settlement.state()
		batch, _, ok = m.copies.readFrom(topic, from, newest, arrived)
	}
	batch.Relayed, batch.Age, batch.SettledEpoch = true, arrived-confirmed, settlement.settled
	if settlement.acknowledgedAt != catalog.UnknownTime {
		batch.HasAcknowledgedAge, batch.AcknowledgedAge = true, arrived-settlement.acknowledgedAt
	}
	return batch, ok
}

// confirmedAt returns the latest boot time at which the copy of a topic was known to be up
// to date. It is negative before the first read.
func (m *Mirror) confirmedAt(topic fuchsiarouter.Topic) time.Duration {
	if topic == fuchsiarouter.TopicServers {
		return time.Duration(m.serversConfirmedAt.Load())
	}
	return time.Duration(m.operatorConfirmedAt.Load())
}
