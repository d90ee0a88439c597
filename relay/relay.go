// Package relay lets a daemon read the platform's topics through an entry.
//
// An entry answers from its own copy, with the age of that copy, so that a read
// costs the platform nothing and works for a daemon that the platform turns away.
// The age that the reader ends up with counts the time on the way too.
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
	"github.com/fuchsiarouter/fuchsiarouter/tcp"
)

const (
	// margin is added to the wait of a read; entries are a few ms apart.
	margin = 600 * time.Millisecond
	// idle is how long a connection between daemons is kept without use.
	idle = 10 * time.Second
	// longestWait bounds the wait that an entry grants.
	longestWait = 5 * time.Second

	recordsPath = "/records"
	// ageHeader carries the age of a batch in ns. It is not part of the body, so that
	// several clients get the same one.
	ageHeader = "Age-Ns"
	// arrivedHeader carries the boot time in ns at which the read arrived, to which the
	// ages of records in the body refer.
	arrivedHeader = "Arrived-Ns"
	// compressFrom is the size in bytes from which a body is compressed. A configuration
	// of 1,500 routes has 400 KB, of which compression leaves a tenth; an entry passes it
	// on to a zone of others over a link of 40 Mbit/s.
	compressFrom = 8 << 10
)

// batchWire is a batch between daemons, without its age.
type batchWire struct {
	End     int64
	Records []recordWire
}

// recordWire is a record between daemons. Written is a boot time of the daemon that passes
// it on, which is the same for every reader, unlike an age.
type recordWire struct {
	Offset  int64
	Key     string
	Value   []byte
	Written time.Duration
}

// Client reads topics through one entry.
type Client struct {
	address string
	http    *fasthttp.Client
}

var _ fuchsiarouter.KeyedTopics = (*Client)(nil)

// NewHTTP returns the HTTP client that clients of several entries share.
func NewHTTP() *fasthttp.Client {
	return &fasthttp.Client{
		Dial:                      func(address string) (net.Conn, error) { return tcp.Dial(address, margin) },
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       idle,
		NoDefaultUserAgentHeader:  true,
	}
}

// NewClient returns a client of the entry at the address.
func NewClient(address string, http *fasthttp.Client) *Client {
	return &Client{address: address, http: http}
}

// Read implements fuchsiarouter.KeyedTopics.
func (c *Client) Read(topic fuchsiarouter.Topic, from int64, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	return c.get("?topic="+strconv.Itoa(int(topic))+"&from="+strconv.FormatInt(from, 10)+
		"&wait-ms="+strconv.FormatInt(wait.Milliseconds(), 10), wait)
}

// Newest implements fuchsiarouter.KeyedTopics.
func (c *Client) Newest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, error) {
	return c.get("?topic="+strconv.Itoa(int(topic))+"&newest=1", 0)
}

func (c *Client) get(query string, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.address + recordsPath + query)
	request.SetTimeout(wait + margin)
	if err := c.http.Do(request, response); err != nil {
		return fuchsiarouter.KeyedBatch{}, errors.Wrap(err, "relay")
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return fuchsiarouter.KeyedBatch{}, errors.Errorf("relay: status %d", response.StatusCode())
	}
	age, err := strconv.ParseInt(string(response.Header.Peek(ageHeader)), 10, 64)
	if err != nil {
		return fuchsiarouter.KeyedBatch{}, errors.Errorf("relay: age %q", response.Header.Peek(ageHeader))
	}
	arrived, err := strconv.ParseInt(string(response.Header.Peek(arrivedHeader)), 10, 64)
	if err != nil {
		return fuchsiarouter.KeyedBatch{}, errors.Wrap(err, "relay: time of arrival")
	}
	body, err := response.BodyUncompressed()
	if err != nil {
		return fuchsiarouter.KeyedBatch{}, errors.Wrap(err, "relay")
	}
	var wire batchWire
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&wire); err != nil {
		return fuchsiarouter.KeyedBatch{}, errors.Wrap(err, "relay")
	}
	batch := fuchsiarouter.KeyedBatch{End: wire.End, Relayed: true, Age: time.Duration(age)}
	for _, record := range wire.Records {
		batch.Records = append(batch.Records, fuchsiarouter.KeyedRecord{
			Offset: record.Offset, Key: record.Key, Value: record.Value, Age: time.Duration(arrived) - record.Written,
		})
	}
	return batch, nil
}

// Copy is what an entry has read.
type Copy interface {
	Read(topic fuchsiarouter.Topic, from int64, wait time.Duration) (fuchsiarouter.KeyedBatch, bool)
	Newest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, bool)
}

// Handler answers the reads of clients from a copy.
func Handler(copied Copy) fasthttp.RequestHandler {
	var bodies cache
	return func(ctx *fasthttp.RequestCtx) {
		arrived := boottime.Now()
		query := ctx.QueryArgs()
		topic := fuchsiarouter.Topic(query.GetUintOrZero("topic"))
		from := int64(-1)
		var batch fuchsiarouter.KeyedBatch
		var known bool
		if string(ctx.Path()) != recordsPath {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		if query.Has("newest") {
			batch, known = copied.Newest(topic)
		} else {
			from = int64(query.GetUintOrZero("from"))
			wait := min(time.Duration(query.GetUintOrZero("wait-ms"))*time.Millisecond, longestWait)
			batch, known = copied.Read(topic, from, wait)
		}
		if !known {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		body, err := bodies.encode(topic, from, arrived, batch)
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			return
		}
		ctx.Response.Header.Set(ageHeader, strconv.FormatInt(int64(batch.Age), 10))
		ctx.Response.Header.Set(arrivedHeader, strconv.FormatInt(int64(arrived), 10))
		if body.compressed {
			ctx.Response.Header.SetContentEncoding("gzip")
		}
		ctx.Response.SetBodyRaw(body.bytes)
	}
}
