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

// responseCache holds the latest encoded batch of each topic, because most clients of an
// entry request the same one.
type responseCache struct {
	mu      sync.Mutex
	batches map[fuchsiarouter.Topic]*encodedBatch
}

// encodedBatch is the response body of a batch. It is immutable.
type encodedBatch struct {
	// from is the offset of the read, or negative as in encode. epoch, end, complete and records
	// are those of the batch, records their number. Two batches of a topic that agree in these
	// five have the same records.
	from, epoch, end int64
	complete         bool
	records          int
	data             []byte
	// compressed is set when data is compressed with gzip.
	compressed bool
}

// encode returns the encoded batch for the response to a read. from is the offset of the
// read, negative for a read of the newest records of all keys, and arrived the boot time
// at which the read arrived.
func (r *responseCache) encode(topic fuchsiarouter.Topic, from int64, arrived time.Duration, batch fuchsiarouter.KeyedBatch) (*encodedBatch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cached := r.batches[topic]
	if cached != nil && cached.from == from && cached.epoch == batch.Epoch && cached.end == batch.End && cached.complete == batch.Complete && cached.records == len(batch.Records) {
		return cached, nil
	}
	wire := batchWire{Epoch: batch.Epoch, End: batch.End, Complete: batch.Complete, Records: make([]recordWire, 0, len(batch.Records))}
	for _, record := range batch.Records {
		wire.Records = append(wire.Records, recordWire{
			Offset: record.Offset, Key: record.Key, Value: record.Value, Written: arrived - record.Age,
		})
	}
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(wire); err != nil {
		return nil, errors.Wrap(err, "relay: encode batch")
	}
	response := &encodedBatch{from: from, epoch: batch.Epoch, end: batch.End, complete: batch.Complete, records: len(batch.Records), data: encoded.Bytes()}
	if len(response.data) >= compressThreshold {
		response.data = fasthttp.AppendGzipBytesLevel(nil, response.data, fasthttp.CompressBestSpeed)
		response.compressed = true
	}
	if r.batches == nil {
		r.batches = map[fuchsiarouter.Topic]*encodedBatch{}
	}
	r.batches[topic] = response
	return response, nil
}
