package relay

import (
	"bytes"
	"encoding/gob"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// cache keeps the encoded form of the latest batch of each topic: the clients of an
// entry mostly ask for the same one.
type cache struct {
	mu     sync.Mutex
	bodies map[fuchsiarouter.Topic]*body
}

// body is an encoded batch. It is immutable.
type body struct {
	from, end  int64
	records    int
	bytes      []byte
	compressed bool
}

// encode returns the encoded batch that begins at an offset, negative for the newest
// records of all keys, as the answer to a read that arrived at the boot time.
func (c *cache) encode(topic fuchsiarouter.Topic, from int64, arrived time.Duration, batch fuchsiarouter.KeyedBatch) (*body, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.bodies[topic]
	if known != nil && known.from == from && known.end == batch.End && known.records == len(batch.Records) {
		return known, nil
	}
	wire := batchWire{End: batch.End, Records: make([]recordWire, 0, len(batch.Records))}
	for _, record := range batch.Records {
		wire.Records = append(wire.Records, recordWire{
			Offset: record.Offset, Key: record.Key, Value: record.Value, Written: arrived - record.Age,
		})
	}
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(wire); err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	made := &body{from: from, end: batch.End, records: len(batch.Records), bytes: encoded.Bytes()}
	if len(made.bytes) >= compressFrom {
		made.bytes = fasthttp.AppendGzipBytesLevel(nil, made.bytes, fasthttp.CompressBestSpeed)
		made.compressed = true
	}
	if c.bodies == nil {
		c.bodies = map[fuchsiarouter.Topic]*body{}
	}
	c.bodies[topic] = made
	return made, nil
}
