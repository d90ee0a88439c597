package mirror

import (
	"sync"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// copies keep the newest record of each key, for daemons that read through this one.
type copies struct {
	mu     sync.Mutex
	topics map[fuchsiarouter.Topic]*topicCopy
}

type topicCopy struct {
	records map[string]fuchsiarouter.KeyedRecord
	// written holds the boot times at which the records may have been written at the
	// earliest.
	written map[string]time.Duration
	end     int64
	// changed is closed when a record comes.
	changed chan struct{}
}

func (c *copies) keep(topic fuchsiarouter.Topic, read batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.topics == nil {
		c.topics = map[fuchsiarouter.Topic]*topicCopy{}
	}
	kept := c.topics[topic]
	if kept == nil || read.whole {
		fresh := &topicCopy{
			records: map[string]fuchsiarouter.KeyedRecord{}, written: map[string]time.Duration{}, changed: make(chan struct{}),
		}
		if kept != nil {
			fresh.remove(kept, read)
			close(kept.changed)
		}
		kept = fresh
		c.topics[topic] = kept
	}
	for _, record := range read.Records {
		if record.Key != "" {
			kept.records[record.Key] = record
			kept.written[record.Key] = read.written(record)
		}
	}
	kept.end = read.End
	if len(read.Records) > 0 && !read.whole {
		close(kept.changed)
		kept.changed = make(chan struct{})
	}
}

// remove notes the removal of the keys that a fresh copy lacks, for readers that have
// read the older one.
func (c *topicCopy) remove(older *topicCopy, read batch) {
	for key, record := range older.records {
		if len(record.Value) > 0 {
			c.records[key] = fuchsiarouter.KeyedRecord{Key: key, Offset: max(read.End-1, 0)}
		}
	}
}

// since returns the newest record of each key from the offset on, for a read that arrived
// at the boot time, and a channel that is closed when there are more.
func (c *copies) since(topic fuchsiarouter.Topic, from int64, removals bool, arrived time.Duration) (fuchsiarouter.KeyedBatch, <-chan struct{}, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.topics[topic]
	if kept == nil {
		return fuchsiarouter.KeyedBatch{}, nil, false
	}
	batch := fuchsiarouter.KeyedBatch{End: kept.end}
	for _, record := range kept.records {
		if record.Offset >= from && (removals || len(record.Value) > 0) {
			record.Age = arrived - kept.written[record.Key]
			batch.Records = append(batch.Records, record)
		}
	}
	return batch, kept.changed, true
}

// Read returns what the mirror has of a topic from the offset on, with its age. It
// waits up to wait for a first record. It reports false when the mirror has not read
// the topic yet.
func (m *Mirror) Read(topic fuchsiarouter.Topic, from int64, wait time.Duration) (fuchsiarouter.KeyedBatch, bool) {
	return m.copy(topic, from, wait, true)
}

// Newest returns the newest record of every key of a topic, with its age.
func (m *Mirror) Newest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, bool) {
	return m.copy(topic, 0, 0, false)
}

func (m *Mirror) copy(topic fuchsiarouter.Topic, from int64, wait time.Duration, removals bool) (fuchsiarouter.KeyedBatch, bool) {
	// The age is read before the records: they may be newer than it says, never older.
	arrived, confirmed := m.settings.Clock(), m.confirmedAt(topic)
	batch, changed, ok := m.copies.since(topic, from, removals, arrived)
	if ok && len(batch.Records) == 0 && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-m.stop:
		}
		confirmed = m.confirmedAt(topic)
		batch, _, ok = m.copies.since(topic, from, removals, arrived)
	}
	batch.Relayed, batch.Age = true, arrived-confirmed
	return batch, ok
}

// confirmedAt returns the boot time as of which the copy of a topic is confirmed.
func (m *Mirror) confirmedAt(topic fuchsiarouter.Topic) time.Duration {
	if topic == fuchsiarouter.TopicServers {
		return time.Duration(m.serversAt.Load())
	}
	return time.Duration(m.operatorAt.Load())
}
