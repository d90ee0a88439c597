package mirror

import (
	"bytes"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// removalRetention is the time for which the last record of a removed key is kept. The backup
// from which the registry is restored is younger.
const removalRetention = 5 * time.Minute

// restorationGrace is the time after a restoration of the registry until which its records may
// be older than those that are known: lost ones are written again within about 2 s, and the
// registration of a server that has left lapses after three heartbeats, 3.6 s.
const restorationGrace = 6 * time.Second

// removedRecord is the last record of a removed key, and the boot time at which the removal
// was read.
type removedRecord struct {
	fuchsiarouter.KeyedRecord
	at time.Duration
	// missing is set if the key was not removed as far as is known, but is missing in a backup.
	// The same record then counts when it is written again.
	missing bool
}

// rememberRemoval keeps the record that the older copy has of a key that is removed.
func (c *topicCopy) rememberRemoval(older *topicCopy, key string, at time.Duration, missing bool) {
	for other, record := range c.removed {
		if at-record.at >= removalRetention {
			delete(c.removed, other)
		}
	}
	if record := older.records[key]; len(record.Value) > 0 {
		c.removed[key] = removedRecord{record, at, missing}
	}
}

// keepNewer changes the records of a read after a restoration, so that nothing goes back to the
// state of the backup, or to one that is written again: a record that is older than the one in the
// copy is replaced by that one, the record of a key that was removed since it was written is left out,
// and the operator's records that a complete read lacks are added. Servers that are missing are left
// to serverRegistrations, and evacuations that were withdrawn to applyEvacuations, since all their
// records are equal. After restorationGrace, inGrace is not set, and only configurations and declared
// versions are kept: they have an order and are never withdrawn, and the operator may write them again
// later.
func (m *Mirror) keepNewer(topic fuchsiarouter.Topic, read *topicBatch, inGrace bool) {
	if !inGrace && topic != fuchsiarouter.TopicOperator {
		return
	}
	m.copies.mu.Lock()
	defer m.copies.mu.Unlock()
	kept := m.copies.topics[topic]
	if kept == nil {
		return
	}
	records, found := make([]fuchsiarouter.KeyedRecord, 0, len(read.Records)), map[string]bool{}
	for _, record := range read.Records {
		found[record.Key] = true
		known, isKnown := kept.records[record.Key]
		if !isKnown && read.unknownHaveLeft && topic == fuchsiarouter.TopicServers {
			continue
		}
		removed, isRemoved := kept.removed[record.Key]
		isRemoved = isRemoved && inGrace
		if isRemoved {
			known = removed.KeyedRecord
		}
		isOlder := m.precedes(topic, record, known)
		if isRemoved && !removed.missing && (isOlder || bytes.Equal(record.Value, known.Value)) && !m.isEvacuation(topic, record) {
			continue
		}
		if isOlder {
			record.Value = known.Value
		}
		records = append(records, record)
	}
	if topic == fuchsiarouter.TopicOperator && read.complete {
		for key, known := range kept.records {
			if !found[key] && len(known.Value) > 0 && (inGrace || !m.isEvacuation(topic, known)) {
				records = append(records, fuchsiarouter.KeyedRecord{Offset: max(read.End-1, 0), Key: key, Value: known.Value})
			}
		}
	}
	read.Records = records
}

// precedes reports whether a record was certainly written before another one of its key.
func (m *Mirror) precedes(topic fuchsiarouter.Topic, record, other fuchsiarouter.KeyedRecord) bool {
	if len(record.Value) == 0 || len(other.Value) == 0 {
		return false
	}
	if topic == fuchsiarouter.TopicServers {
		server, err := m.registry.DecodeServer(record)
		if err != nil {
			return false
		}
		known, err := m.registry.DecodeServer(other)
		return err == nil && server.Precedes(known)
	}
	change, err := m.registry.DecodeOperatorChange(record)
	if err != nil {
		return false
	}
	known, err := m.registry.DecodeOperatorChange(other)
	if err != nil {
		return false
	}
	if change.Configuration != nil && known.Configuration != nil {
		return change.Configuration.Version < known.Configuration.Version
	}
	return change.Model != "" && change.Model == known.Model && change.Version < known.Version
}
