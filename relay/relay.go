// Package relay lets a daemon read the platform's topics through an entry, which is an
// ingress daemon.
//
// An entry answers from its own copy and reports the age of that copy, which the reader
// counts from the time at which it sent the read. Such a read puts no load on the platform
// and works for a daemon that the platform rejects. The age of the reader's copy includes
// the time on the network.
package relay

import (
	"bytes"
	"encoding/gob"
	"net"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/boottime"
	"github.com/fuchsiarouter/fuchsiarouter/syntax"
	"github.com/fuchsiarouter/fuchsiarouter/tcp"
)

const (
	// timeoutMargin is added to the time that a read asks the entry to wait, to get the
	// timeout of the request. It is also the timeout of a dial. The latency between entries
	// is a few ms.
	timeoutMargin = 600 * time.Millisecond
	// maxIdleDuration is how long an unused connection between daemons is kept open.
	maxIdleDuration = 10 * time.Second
	// maxWait limits how long an entry lets a read wait for records.
	maxWait = 5 * time.Second

	// maxResponseBytes bounds a batch, before and after decompression.
	maxResponseBytes = 16 << 20

	recordsPath = "/records"
	// ageHeader carries the age of a batch in ns. The age is not part of the body, so that
	// the same encoded body serves several clients.
	ageHeader = "Age-Ns"
	// arrivedHeader carries the boot time in ns, on the clock of the entry, at which the
	// read arrived. The client computes the ages of the records from it.
	arrivedHeader = "Arrived-Ns"
	// acknowledgedAgeHeader carries the KeyedBatch.AcknowledgedAge in ns, if it is known, and
	// settledEpochHeader the KeyedBatch.SettledEpoch. Daemons of earlier versions send neither.
	acknowledgedAgeHeader = "Acknowledged-Age-Ns"
	settledEpochHeader    = "Settled-Epoch"
	// compressThreshold is the size in bytes from which a body is compressed. A
	// configuration of 1,500 routes has 400 KB, which compression reduces to a tenth; an
	// entry sends it to the other daemons of its availability zone over a link of
	// 40 Mbit/s.
	compressThreshold = 8 << 10
)

// batchWire is the gob encoding of a batch, without its age.
type batchWire struct {
	Epoch int64
	End   int64
	// Complete is as in a KeyedBatch. Daemons of earlier versions ignore it.
	Complete bool
	Records  []recordWire
}

// recordWire is the gob encoding of a record. Written is the earliest time at which the
// record may have been written, as a boot time on the clock of the entry that relays the
// record. Unlike an age, Written is the same for every reader.
type recordWire struct {
	Offset  int64
	Key     string
	Value   []byte
	Written time.Duration
}

// Client reads topics from one entry.
type Client struct {
	address string
	http    *fasthttp.Client
}

var _ fuchsiarouter.TopicReader = (*Client)(nil)

// NewHTTPClient returns an HTTP client that the clients of several entries share. It does not
// retry.
func NewHTTPClient() *fasthttp.Client {
	return &fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			conn, err := tcp.Dial(address, timeoutMargin)
			if err != nil {
				return nil, err
			}
			return syntax.NewConn(conn), nil
		},
		MaxResponseBodySize:       maxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       maxIdleDuration,
		NoDefaultUserAgentHeader:  true,
	}
}

// NewClient returns a client that reads from the entry at the address.
func NewClient(address string, http *fasthttp.Client) *Client {
	return &Client{address: address, http: http}
}

// Read implements fuchsiarouter.TopicReader.
func (c *Client) Read(topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	return c.get("?topic="+strconv.Itoa(int(topic))+"&epoch="+strconv.FormatInt(from.Epoch, 10)+"&from="+strconv.FormatInt(from.Offset, 10)+
		"&wait-ms="+strconv.FormatInt(wait.Milliseconds(), 10), wait)
}

// ReadNewest implements fuchsiarouter.TopicReader.
func (c *Client) ReadNewest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, error) {
	return c.get("?topic="+strconv.Itoa(int(topic))+"&newest=1", 0)
}

// get requests a batch from the entry. The entry may wait for records before it responds.
func (c *Client) get(query string, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.address + recordsPath + query)
	request.SetTimeout(wait + timeoutMargin)
	if err := c.http.Do(request, response); err != nil {
		return fuchsiarouter.KeyedBatch{}, errors.Wrap(err, "relay: read records")
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return fuchsiarouter.KeyedBatch{}, errors.Errorf("relay: unexpected status %d", response.StatusCode())
	}
	age, err := strconv.ParseInt(string(response.Header.Peek(ageHeader)), 10, 64)
	if err != nil {
		return fuchsiarouter.KeyedBatch{}, errors.Errorf("relay: invalid age %q", response.Header.Peek(ageHeader))
	}
	arrived, err := strconv.ParseInt(string(response.Header.Peek(arrivedHeader)), 10, 64)
	if err != nil {
		return fuchsiarouter.KeyedBatch{}, errors.Wrap(err, "relay: parse arrival time")
	}
	body, err := response.BodyUncompressedWithLimit(maxResponseBytes)
	if err != nil {
		return fuchsiarouter.KeyedBatch{}, errors.Wrap(err, "relay: decompress batch")
	}
	var wire batchWire
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&wire); err != nil {
		return fuchsiarouter.KeyedBatch{}, errors.Wrap(err, "relay: decode batch")
	}
	batch := fuchsiarouter.KeyedBatch{Epoch: wire.Epoch, End: wire.End, Relayed: true, Age: time.Duration(age), Complete: wire.Complete}
	if age, err := strconv.ParseInt(string(response.Header.Peek(acknowledgedAgeHeader)), 10, 64); err == nil {
		batch.HasAcknowledgedAge, batch.AcknowledgedAge = true, time.Duration(age)
	}
	if epoch, err := strconv.ParseInt(string(response.Header.Peek(settledEpochHeader)), 10, 64); err == nil {
		batch.SettledEpoch = epoch
	}
	for _, record := range wire.Records {
		batch.Records = append(batch.Records, fuchsiarouter.KeyedRecord{
			Offset: record.Offset, Key: record.Key, Value: record.Value, Age: time.Duration(arrived) - record.Written,
		})
	}
	return batch, nil
}

// TopicCopy is the copy of the platform's topics that an entry has read. Its methods are
// those of fuchsiarouter.TopicReader, but return false, in place of an error, when the
// entry has not read the topic yet.
type TopicCopy interface {
	Read(topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, bool)
	ReadNewest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, bool)
}

// Handler returns an HTTP handler that serves the reads of clients from a copy. It
// responds with status 503 when the entry has not read the topic yet, and with status 400 to
// a read from an offset without an epoch, as daemons of earlier versions send it: they would
// take the response to a position of another epoch for the end of the topic.
func Handler(topics TopicCopy) fasthttp.RequestHandler {
	var cache responseCache
	return func(ctx *fasthttp.RequestCtx) {
		arrived := boottime.Now()
		query := ctx.QueryArgs()
		topic := fuchsiarouter.Topic(query.GetUintOrZero("topic"))
		from := int64(-1)
		var batch fuchsiarouter.KeyedBatch
		var found bool
		if string(ctx.Path()) != recordsPath {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		switch {
		case query.Has("newest"):
			batch, found = topics.ReadNewest(topic)
		case !query.Has("epoch"):
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		default:
			from = int64(query.GetUintOrZero("from"))
			wait := min(time.Duration(query.GetUintOrZero("wait-ms"))*time.Millisecond, maxWait)
			batch, found = topics.Read(topic, fuchsiarouter.Position{Epoch: int64(query.GetUintOrZero("epoch")), Offset: from}, wait)
		}
		if !found {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		response, err := cache.encode(topic, from, arrived, batch)
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			return
		}
		ctx.Response.Header.Set(ageHeader, strconv.FormatInt(int64(batch.Age), 10))
		ctx.Response.Header.Set(arrivedHeader, strconv.FormatInt(int64(arrived), 10))
		ctx.Response.Header.Set(settledEpochHeader, strconv.FormatInt(batch.SettledEpoch, 10))
		if batch.HasAcknowledgedAge {
			ctx.Response.Header.Set(acknowledgedAgeHeader, strconv.FormatInt(int64(batch.AcknowledgedAge), 10))
		}
		if response.compressed {
			ctx.Response.Header.SetContentEncoding("gzip")
		}
		ctx.Response.SetBodyRaw(response.data)
	}
}
