package fuchsiarouter

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
)

// Topic identifies a keyed stream of the platform's registry. The registry retains the
// newest record of each key and may remove the older ones.
type Topic int

// The topics.
const (
	// TopicOperator holds the configuration, the declared weight versions and the evacuated
	// availability zones.
	TopicOperator Topic = iota
	// TopicServers holds the registrations of backend servers.
	TopicServers
	// TopicEntries holds the registrations of entries. It is the only topic that this
	// project writes and whose format it defines.
	TopicEntries
)

// Position is a place in a topic. Only the offsets of positions of one epoch can be compared.
type Position struct {
	// Epoch is the number of the registry's history that the position belongs to. It
	// increases whenever the registry is restored from a backup, which loses the newest
	// records and reuses their offsets. It is 0 if the registry does not report it.
	Epoch  int64
	Offset int64
}

// KeyedRecord is a record of a topic. A record without a value removes its key.
type KeyedRecord struct {
	// Offset is the position of the record in the topic.
	Offset int64
	Key    string
	Value  []byte
	// Age is set if the record comes from a daemon that relays it, see KeyedBatch. It is
	// an upper bound of the time from the writing of the record to the arrival of the read
	// at that daemon. It is negative if the daemon received the record after the read
	// arrived, while the read was waiting.
	Age time.Duration
}

// KeyedBatch is the result of a read of a topic.
type KeyedBatch struct {
	// Epoch is the epoch of the records and of End, see Position.
	Epoch int64
	// End is the offset after the newest record of the topic.
	End int64
	// Relayed is set if the batch comes from another daemon, which relays the records that
	// it has read, and not from the platform.
	Relayed bool
	// Age is set if Relayed is. It is the time from the last moment at which the daemon's
	// copy of the topic was known to be complete to the arrival of the read at that daemon.
	// It is negative if that moment is later, because the read waited for new records.
	Age time.Duration
	// Complete is set if a read from a position returns the newest record of every key instead
	// of the records from there on. Keys that are not in the batch don't exist.
	Complete bool
	// AcknowledgedAge is set if HasAcknowledgedAge is. It is the time from the last moment up to
	// which every acknowledged change is known to be in the copy of the daemon that relays the
	// batch, to the arrival of the read there. It is larger than Age after a restoration of the
	// registry, which may lack changes that it has acknowledged.
	AcknowledgedAge    time.Duration
	HasAcknowledgedAge bool
	// SettledEpoch is set if Relayed is. It is the latest epoch that the daemon knows to be
	// settled: what the restoration that began it has lost is written again.
	SettledEpoch int64
	Records      []KeyedRecord
}

// OperatorChange is the decoded content of one record of TopicOperator: a configuration, the
// declared version of a model, or the evacuation of an availability zone or its end. All fields are
// empty if the key is unknown to this project.
type OperatorChange struct {
	Configuration *catalog.Configuration
	// Model is the name of a model, and Version the number of the version of its weights
	// that the servers of the model have to load.
	Model   string
	Version int
	// EvacuatedZone is the name of an availability zone. If Evacuated is set, its servers must get
	// no further requests; otherwise the record is removed, and they get requests again.
	EvacuatedZone string
	Evacuated     bool
}

// UnavailableError is the error of a read that the registry refused or did not answer, for a reason
// that has nothing to do with the read or the daemon that sent it. Only reads of the registry itself
// return it.
type UnavailableError struct {
	// Refused is set if the registry refused the read explicitly. Otherwise it did not answer,
	// which may also be the result of a pause of this process.
	Refused bool
	Err     error
}

// Error implements error.
func (e *UnavailableError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// TopicReader reads topics, either from the platform or through a relaying daemon.
type TopicReader interface {
	// Read returns the records from the position on, up to the end of the topic. If there
	// are none, it waits for the first one, but no longer than wait. If records in this
	// range have been removed, it returns an *ExpiredError. If the topic is of another epoch
	// than the position, it returns a batch of that epoch without records.
	Read(topic Topic, from Position, wait time.Duration) (KeyedBatch, error)
	// ReadNewest returns the newest record of every key. The result is not a consistent
	// snapshot: a record that is written during the read may be missing, but then its
	// offset is not below the End of the batch, so that a Read from there returns it.
	ReadNewest(topic Topic) (KeyedBatch, error)
}

// Registry is the platform's durable store of the topics.
type Registry interface {
	TopicReader
	// Put appends a record and returns the epoch in which it was appended, see Position. If
	// it returns an error, the record may still have been appended.
	Put(topic Topic, key string, value []byte) (epoch int64, err error)
	// DecodeOperatorChange decodes the value of a record of TopicOperator.
	DecodeOperatorChange(record KeyedRecord) (OperatorChange, error)
	// DecodeServer decodes the value of a record of TopicServers.
	DecodeServer(record KeyedRecord) (*catalog.Server, error)
}
