package peer

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/budget"
)

const (
	// MaxMessageBytes limits the size of a message, both compressed and decompressed.
	// The largest message is the configuration document with the records of all
	// sections.
	MaxMessageBytes = 16 << 20
	// compressionThresholdBytes is the size above which a message is compressed.
	compressionThresholdBytes = 64
	// compressionLevel is a level of package flate. Level 1 would ignore the
	// dictionary.
	compressionLevel = 4
	// minReadBytes is the size of the first buffer of a message, maxReadBytes how much of
	// a message is read at a time.
	minReadBytes = 4 << 10
	maxReadBytes = 64 << 10
	// readWait is how long a message waits for memory.
	readWait = 1500 * time.Millisecond
)

// compressionDictionary is the preset dictionary of the compression, with which
// even a short heartbeat becomes smaller. It is part of the protocol: both sides
// need the same bytes.
const compressionDictionary = `{"jsonrpc":"2.0","id":1,"method":"document","params":{"known":{}}}` +
	`"status":"suspect","dead","kind":"entry","address":"127.0.0.1:70","control":"10.0.0.","service":"","strikes":[` +
	`"state":"failed","state":"verified","chunks":0,"of":0}],"reason":"","leaving":true,"peers":[],"entries":[{"id":"entry-` +
	`"revisions":{"fleet":1,"models":1,"owners":1,"peaks":1,"ranks":1,"servers":1,"services":1,"workspaces":1}}` +
	`{"member":{"id":"agent-","kind":"agent","incarnation":17,"address":"10.0.0.1:7000","region":"","availability-zone":"` +
	`","state":"live","model":"","load":{"running":1,"slots":16,"queued":0,"wait-ns":0},"versions":[{"model":"` +
	`{"jsonrpc":"2.0","id":1,"result":{"next":1,"changes":[{"id":"entry-00","i":18,"w":"entry-00","n":1,"s":true},` +
	`{"id":"agent-00","i":18,"w":"entry-00","n":18,"v":[{"model":"model-1","digest":"` +
	`","state":"fetching","chunks":4000,"of":4000}]},{"jsonrpc":"2.0","id":1,"method":"changes","params":{"id":"entry-00","since":1` +
	`{"jsonrpc":"2.0","id":1,"result":{}}{"jsonrpc":"2.0","id":1,"method":"heartbeat","params":{"beat":{"id":"agent-00","i":18,"r":1,"q":1,"w":1}}}`

// compressors and decompressors hold the flate writers and readers with the dictionary
// that are not in use.
var compressors = sync.Pool{New: func() any {
	// The level is valid, so there is no error.
	writer, _ := flate.NewWriterDict(nil, compressionLevel, []byte(compressionDictionary))
	return writer
}}

var decompressors = sync.Pool{New: func() any { return flate.NewReaderDict(nil, []byte(compressionDictionary)) }}

// codec frames JSON messages. Each starts with its length as a varint, whose
// lowest bit is set if the message is compressed; the other bits are the length in
// bytes as sent. A message whose length is above MaxMessageBytes is refused before
// it is read, and one that decompresses to more while it is decompressed.
type codec struct {
	// memory bounds the messages that are being read. drop ends the connection.
	memory *budget.Budget
	drop   func()
}

// newCodec returns a codec without a bound for the memory.
func newCodec() codec { return codec{memory: budget.New(budget.Settings{}), drop: func() {}} }

// Encode returns the framed bytes of a message, the JSON form of the object. It
// compresses a message above compressionThresholdBytes, and fails if the JSON is
// above MaxMessageBytes.
func Encode(object any) ([]byte, error) {
	data, err := json.Marshal(object)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(data) > MaxMessageBytes {
		return nil, errors.Errorf("message of %d bytes exceeds the limit of %d bytes", len(data), MaxMessageBytes)
	}
	flag := uint64(0)
	if len(data) > compressionThresholdBytes {
		var compressed bytes.Buffer
		writer := compressors.Get().(*flate.Writer)
		defer compressors.Put(writer)
		writer.Reset(&compressed)
		if _, err := writer.Write(data); err != nil {
			return nil, errors.Wrap(err, "compress message")
		}
		if err := writer.Close(); err != nil {
			return nil, errors.Wrap(err, "compress message")
		}
		data, flag = compressed.Bytes(), 1
	}
	return append(binary.AppendUvarint(nil, uint64(len(data))<<1|flag), data...), nil
}

// Decode reads one framed message and decodes its JSON into the object. The buffer
// grows with the bytes that arrive, so that an announced length alone allocates
// nothing.
func Decode(r *bufio.Reader, object any) error { return newCodec().ReadObject(r, object) }

// ReadObject implements jsonrpc2.ObjectCodec.
func (c codec) ReadObject(r *bufio.Reader, object any) error {
	header, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	length := header >> 1
	if length > MaxMessageBytes {
		return errors.Errorf("message of %d bytes exceeds the limit of %d bytes", length, MaxMessageBytes)
	}
	hold := c.memory.Begin(time.Now(), c.drop)
	defer hold.Release()
	data, err := readAll(io.LimitReader(r, int64(length)), int(length), hold)
	if err != nil {
		return err
	}
	if uint64(len(data)) < length {
		return io.ErrUnexpectedEOF
	}
	if header&1 == 1 {
		reader := decompressors.Get().(io.ReadCloser)
		defer decompressors.Put(reader)
		if err := reader.(flate.Resetter).Reset(bytes.NewReader(data), []byte(compressionDictionary)); err != nil {
			return errors.Wrap(err, "decompress message")
		}
		// Reading one byte above the limit detects a message that is too long.
		if data, err = readAll(reader, MaxMessageBytes+1, hold); err != nil {
			return errors.Wrap(err, "decompress message")
		}
		if len(data) > MaxMessageBytes {
			return errors.Errorf("message of more than %d bytes", MaxMessageBytes)
		}
	}
	if err := json.Unmarshal(data, object); err != nil {
		return errors.Wrap(err, "decode message")
	}
	return nil
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (codec) WriteObject(w io.Writer, object any) error {
	data, err := Encode(object)
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// readAll reads up to limit bytes. The hold gets the room for them, and for the buffer from which they
// are copied when it grows.
func readAll(source io.Reader, limit int, hold *budget.Hold) ([]byte, error) {
	var data []byte
	held := 0
	for len(data) < limit {
		if len(data) == cap(data) {
			grown := make([]byte, len(data), min(max(minReadBytes, 2*cap(data)), limit))
			held += cap(grown)
			if !hold.Await(held, readWait) {
				return nil, errors.New("no memory for the message")
			}
			copy(grown, data)
			data = grown
		}
		n, err := source.Read(data[len(data):min(cap(data), len(data)+maxReadBytes)])
		data = data[:len(data)+n]
		hold.Progress(time.Now(), n)
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return data, nil
}
