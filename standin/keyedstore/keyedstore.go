// Package keyedstore implements a stand-in for the platform's registry, a durable store of
// keyed records in topics. The records of a topic are read by offset, or as the newest
// record of each key.
package keyedstore

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Names of the topics whose records a test writes in place of the platform.
const (
	// TopicOperator holds what operators publish: the configuration and, for each model, the
	// declared weight version. From a fixed time after the declaration on, no request may
	// begin on an older version.
	TopicOperator = "keyed.op"
	// TopicServers holds the registrations of backend servers.
	TopicServers = "keyed.servers"
	// TopicEntries holds the registrations of entries.
	TopicEntries = "keyed.status"
)

// headerEra is the response header that counts the restorations of the store.
const headerEra = "Store-Era"

// pollInterval is the interval at which a read that waits checks for new records.
const pollInterval = 5 * time.Millisecond

// Store is an HTTP server that holds topics of keyed records in memory.
type Store struct {
	address string
	server  *fasthttp.Server

	mu sync.Mutex
	// topics holds all records by topic; the index of a record is its offset.
	topics map[string][]record
	// firstOffsets holds the first offset that can be read, by topic; see Compact.
	firstOffsets map[string]int
	// era starts at 1 and is increased by Restore.
	era int
	// unavailable is set if every request is answered with status 503. requestCount is the
	// number of HTTP requests so far.
	unavailable  bool
	requestCount int
}

// record is a keyed record, put at the time written. An empty value deletes the key.
type record struct {
	key, value string
	written    time.Time
}

// New starts a store that listens on the address. An ingress that runs longer than the store goes
// on reading from the address, so no other store may use it afterwards.
func New(address string) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{address: listener.Addr().String(), topics: map[string][]record{}, firstOffsets: map[string]int{}, era: 1}
	s.server = &fasthttp.Server{Handler: s.serveHTTP}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns the address on which the store listens.
func (s *Store) Address() string { return s.address }

// Close stops the server of the store.
func (s *Store) Close() { _ = s.server.Shutdown() }

// Put appends a record to the topic. An empty value deletes the key.
func (s *Store) Put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record{key, value, time.Now()})
}

// putInEra is Put for a request that arrived in the era. It reports whether the era is still the
// same.
func (s *Store) putInEra(era int, topic, key, value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era != era {
		return false
	}
	s.topics[topic] = append(s.topics[topic], record{key, value, time.Now()})
	return true
}

// Restore simulates that the store was restored from a backup of the given age: the records
// that were put since are lost, their offsets are given to the next records, and the era in all
// responses increases. Reads from an offset after the end of a topic are answered with status
// 410, and reads that are waiting with status 503.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	since := time.Now().Add(-age)
	for topic, records := range s.topics {
		kept := 0
		for kept < len(records) && records[kept].written.Before(since) {
			kept++
		}
		s.topics[topic] = slices.Clone(records[:kept])
		s.firstOffsets[topic] = min(s.firstOffsets[topic], kept)
	}
}

// SetUnavailable determines whether the store responds to every HTTP request with status 503.
// The method Put works in either case.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// Compact simulates that the store has dropped all records of a topic except the newest of
// each key: reads from an offset before the current end of the topic are answered with
// status 410. Reads of the newest records are not affected.
func (s *Store) Compact(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstOffsets[topic] = len(s.topics[topic])
}

// RequestCount returns the number of HTTP requests since New, including those that were
// answered with status 503.
func (s *Store) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCount
}

func (s *Store) serveHTTP(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	s.requestCount++
	unavailable, era := s.unavailable, s.era
	s.mu.Unlock()
	ctx.Response.Header.Set(headerEra, strconv.Itoa(era))
	if unavailable {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	topic := string(ctx.QueryArgs().Peek("topic"))
	switch string(ctx.Path()) {
	case "/fuchsiarouter/log-read":
		s.serveRead(ctx, topic, era)
	case "/fuchsiarouter/log-newest":
		s.serveNewest(ctx, topic, era)
	case "/fuchsiarouter/log-append":
		// The body has the format of a record in the response of serveRead.
		body := ctx.PostBody()
		keyLength := int(body[4])
		if !s.putInEra(era, topic, string(body[5:5+keyLength]), string(body[5+keyLength:])) {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		ctx.SetBodyString("{}")
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// serveRead responds with the records from an offset on. If there are none, it waits for one
// until the time that the request allows has passed. The response begins with the offset of the
// next record and the first offset that can be read, 8 bytes each. Each record follows as the
// length of its rest in 4 bytes, the length of the key in 1 byte, the key and the value. An
// offset before the first one that can be read is answered with status 410, and so is one after
// the end of the topic once the store was restored. A read that arrived in an earlier era is
// answered with status 503.
func (s *Store) serveRead(ctx *fasthttp.RequestCtx, topic string, era int) {
	from := ctx.QueryArgs().GetUintOrZero("from")
	deadline := time.Now().Add(time.Duration(ctx.QueryArgs().GetUintOrZero("waitMs")) * time.Millisecond)
	for {
		s.mu.Lock()
		records, firstOffset, current := s.topics[topic], s.firstOffsets[topic], s.era
		s.mu.Unlock()
		if current != era {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		if from < firstOffset || era > 1 && from > len(records) {
			ctx.SetStatusCode(fasthttp.StatusGone)
			body, _ := json.Marshal(struct {
				First int `json:"first"`
			}{firstOffset})
			ctx.SetBody(body)
			return
		}
		if from < len(records) || !time.Now().Before(deadline) {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, uint64(firstOffset))
			for _, r := range records[min(from, len(records)):] {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(r.key)+len(r.value)))
				body = append(append(append(body, byte(len(r.key))), r.key...), r.value...)
			}
			ctx.SetBody(body)
			return
		}
		time.Sleep(pollInterval)
	}
}

// serveNewest responds with the newest record of each key that is not deleted, in a single
// page, and with the offset of the next record of the topic.
func (s *Store) serveNewest(ctx *fasthttp.RequestCtx, topic string, era int) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	answer := struct {
		Items     []item `json:"items"`
		Truncated bool   `json:"truncated"`
		End       int    `json:"end"`
	}{Items: []item{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era != era {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	newest := map[string]item{}
	for offset, r := range s.topics[topic] {
		if r.value == "" {
			delete(newest, r.key)
			continue
		}
		newest[r.key] = item{r.key, base64.StdEncoding.EncodeToString([]byte(r.value)), offset}
	}
	for _, latest := range newest {
		answer.Items = append(answer.Items, latest)
	}
	answer.End = len(s.topics[topic])
	body, _ := json.Marshal(answer)
	ctx.SetBody(body)
}
