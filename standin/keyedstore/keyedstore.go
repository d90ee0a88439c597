// Package keyedstore is a stand-in of the store of the users' platform: topics of
// keyed records that are read by offset, of which the newest of each key is kept.
package keyedstore

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Topics that the platform writes.
const (
	Operator = "keyed.op"
	Servers  = "keyed.servers"
)

// pollStep is the time between two looks of a read that waits.
const pollStep = 5 * time.Millisecond

// Store is a running stand-in.
type Store struct {
	address string
	server  *fasthttp.Server

	mu     sync.Mutex
	topics map[string][]record
	first  map[string]int
	down   bool
	calls  int
}

type record struct{ key, value string }

// New starts a stand-in on the loopback.
func New() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{address: listener.Addr().String(), topics: map[string][]record{}, first: map[string]int{}}
	s.server = &fasthttp.Server{Handler: s.handle}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address is where the store listens.
func (s *Store) Address() string { return s.address }

// Close ends the store.
func (s *Store) Close() { _ = s.server.Shutdown() }

// Put writes a record. An empty value removes its key.
func (s *Store) Put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record{key, value})
}

// SetDown makes the store refuse every call, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Forget drops the records of a topic but the newest of each key.
func (s *Store) Forget(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first[topic] = len(s.topics[topic])
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	s.calls++
	down := s.down
	s.mu.Unlock()
	if down {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	topic := string(ctx.QueryArgs().Peek("topic"))
	switch string(ctx.Path()) {
	case "/fuchsiarouter/log-read":
		s.read(ctx, topic)
	case "/fuchsiarouter/log-newest":
		s.newest(ctx, topic)
	case "/fuchsiarouter/log-append":
		body := ctx.PostBody()
		length := int(body[4])
		s.Put(topic, string(body[5:5+length]), string(body[5+length:]))
		ctx.SetBodyString("{}")
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Store) read(ctx *fasthttp.RequestCtx, topic string) {
	from := ctx.QueryArgs().GetUintOrZero("from")
	end := time.Now().Add(time.Duration(ctx.QueryArgs().GetUintOrZero("waitMs")) * time.Millisecond)
	for {
		s.mu.Lock()
		all, first := s.topics[topic], s.first[topic]
		s.mu.Unlock()
		if from < first {
			ctx.SetStatusCode(fasthttp.StatusGone)
			body, _ := json.Marshal(struct {
				First int `json:"first"`
			}{first})
			ctx.SetBody(body)
			return
		}
		if from < len(all) || !time.Now().Before(end) {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
			body = binary.BigEndian.AppendUint64(body, uint64(first))
			for _, one := range all[min(from, len(all)):] {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(one.key)+len(one.value)))
				body = append(append(append(body, byte(len(one.key))), one.key...), one.value...)
			}
			ctx.SetBody(body)
			return
		}
		time.Sleep(pollStep)
	}
}

func (s *Store) newest(ctx *fasthttp.RequestCtx, topic string) {
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
	newest := map[string]item{}
	for offset, one := range s.topics[topic] {
		if one.value == "" {
			delete(newest, one.key)
			continue
		}
		newest[one.key] = item{one.key, base64.StdEncoding.EncodeToString([]byte(one.value)), offset}
	}
	for _, one := range newest {
		answer.Items = append(answer.Items, one)
	}
	answer.End = len(s.topics[topic])
	body, _ := json.Marshal(answer)
	ctx.SetBody(body)
}
