package fuchsiarouter

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/world"
)

// Topic names a keyed stream of records of the platform, of which the newest record
// of each key is kept.
type Topic int

// The topics.
const (
	// TopicOperator holds the configuration and the declared weight versions.
	TopicOperator Topic = iota
	// TopicServers holds the registrations of backend servers.
	TopicServers
	// TopicEntries holds the registrations of entries. It belongs to this system.
	TopicEntries
)

// KeyedRecord is a record of a topic. A record without a value removes its key.
type KeyedRecord struct {
	Offset int64
	Key    string
	Value  []byte
	// Age is how old a relayed record may have been when the read arrived. It is negative
	// when the daemon that passes it on has read it since.
	Age time.Duration
}

// KeyedBatch is what was read of a topic.
type KeyedBatch struct {
	// End is the offset after the newest record of the topic.
	End int64
	// Relayed is set when the batch comes from a daemon that passes on what it has read.
	Relayed bool
	// Age is how old a relayed batch was when the read arrived. It is negative when the
	// daemon has read the topic since, while the read waited.
	Age     time.Duration
	Records []KeyedRecord
}

// OperatorChange is what one record of the operator says. At most one of its parts
// is set; none is for a key that has no meaning here.
type OperatorChange struct {
	Configuration *world.Configuration
	Model         string
	Version       int
}

// KeyedTopics are topics that can be read.
type KeyedTopics interface {
	// Read returns the records from the offset on, up to the end. When there are
	// none it waits up to wait. Removed records give an *ExpiredError.
	Read(topic Topic, from int64, wait time.Duration) (KeyedBatch, error)
	// Newest returns the newest record of every key. It is no snapshot: a record
	// written meanwhile may be missing, but lies at or after the returned end.
	Newest(topic Topic) (KeyedBatch, error)
}

// Registry is the platform's store of what must last.
type Registry interface {
	KeyedTopics
	// Put appends a record. After an error it may still be appended.
	Put(topic Topic, key string, value []byte) error
	// Operator decodes a record of TopicOperator.
	Operator(record KeyedRecord) (OperatorChange, error)
	// Server decodes a record of TopicServers.
	Server(record KeyedRecord) (*world.Server, error)
}
