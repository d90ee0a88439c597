package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Topics of the platform's store that the cases use.
const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
)

// storeRecord is a keyed record. An empty value drops the key.
type storeRecord struct {
	key, value string
	written    time.Time
}

// store is a stand-in for the platform's metadata store: a log with keyed topics, see PROTOCOL.md.
type store struct {
	address string
	server  *http.Server

	mu     sync.Mutex
	topics map[string][]storeRecord
	// changed is closed and replaced with each record and each restoration.
	changed chan struct{}
	era     int
	down    bool
}

func newStore(address string) (*store, error) {
	s := &store{address: address, topics: map[string][]storeRecord{}, changed: make(chan struct{}), era: 1}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put appends a record. The time at which it returns is that of the acknowledgement.
func (s *store) put(topic, key, value string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value, time.Now()})
	s.notify()
	return time.Now()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown makes the store answer every call with 503.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// restore brings back the copy of a time: what was written since is gone, and the era rises by one.
func (s *store) restore(copied time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for topic, records := range s.topics {
		kept := 0
		for kept < len(records) && records[kept].written.Before(copied) {
			kept++
		}
		s.topics[topic] = slices.Clone(records[:kept])
	}
	s.notify()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	era, down := s.era, s.down
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	topic := query.Get("topic")
	switch r.URL.Path {
	case "/fuchsiarouter/log-read":
		from, _ := strconv.Atoi(query.Get("from"))
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.read(w, topic, from, time.Now().Add(time.Duration(wait)*time.Millisecond), era)
	case "/fuchsiarouter/log-newest":
		s.newest(w, topic, era)
	case "/fuchsiarouter/log-append":
		s.appendRecords(w, topic, body, era)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) read(w http.ResponseWriter, topic string, from int, until time.Time, era int) {
	for {
		s.mu.Lock()
		records, changed, current := s.topics[topic], s.changed, s.era
		down := s.down
		s.mu.Unlock()
		if down || current != era {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if from > len(records) {
			writeJSON(w, http.StatusGone, map[string]any{"first": 0})
			return
		}
		if from < len(records) || !time.Now().Before(until) {
			answer := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			answer = binary.BigEndian.AppendUint64(answer, 0)
			for _, record := range records[from:] {
				answer = binary.BigEndian.AppendUint32(answer, uint32(1+len(record.key)+len(record.value)))
				answer = append(answer, byte(len(record.key)))
				answer = append(answer, record.key...)
				answer = append(answer, record.value...)
			}
			_, _ = w.Write(answer)
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		}
	}
}

func (s *store) newest(w http.ResponseWriter, topic string, era int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.era != era {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	byKey := map[string]item{}
	for offset, record := range s.topics[topic] {
		if record.value == "" {
			delete(byKey, record.key)
			continue
		}
		byKey[record.key] = item{record.key, base64.StdEncoding.EncodeToString([]byte(record.value)), offset}
	}
	items := []item{}
	for _, found := range byKey {
		items = append(items, found)
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "end": len(s.topics[topic])})
}

func (s *store) appendRecords(w http.ResponseWriter, topic string, body []byte, era int) {
	if topic == topicOperator || topic == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.era != era {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	offset := len(s.topics[topic])
	for len(body) >= 5 {
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		content := body[4 : 4+size]
		body = body[4+size:]
		length := int(content[0])
		if length >= size {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.topics[topic] = append(s.topics[topic], storeRecord{string(content[1 : 1+length]), string(content[1+length:]), time.Now()})
	}
	s.notify()
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": len(s.topics[topic])})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
