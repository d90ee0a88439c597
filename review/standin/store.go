package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: a log with one partition for each
// topic, which is read by offset or as the newest record of each key.
type store struct {
	address string

	mu     sync.Mutex
	topics map[string][]storeRecord
}

// storeRecord is a record of a keyed topic. An empty value drops the key.
type storeRecord struct{ key, value string }

const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
)

func newStore() (*store, error) {
	s := &store{topics: map[string][]storeRecord{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fuchsiarouter/log-read", s.read)
	mux.HandleFunc("GET /fuchsiarouter/log-newest", s.newest)
	mux.HandleFunc("POST /fuchsiarouter/log-append", s.append)
	address, err := serveHTTP(mux)
	s.address = address
	return s, err
}

// put appends a record.
func (s *store) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
}

// read serves log-read. It responds as soon as there is a record at the offset, or after the
// time that the reader waits.
func (s *store) read(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		records := s.topics[topic]
		s.mu.Unlock()
		if from < len(records) || !time.Now().Before(deadline) {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range records[min(from, len(records)):] {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.key)+len(record.value)))
				body = append(body, byte(len(record.key)))
				body = append(body, record.key...)
				body = append(body, record.value...)
			}
			_, _ = w.Write(body)
			return
		}
		time.Sleep(4 * time.Millisecond)
	}
}

// newest serves log-newest, all keys in one page.
func (s *store) newest(w http.ResponseWriter, r *http.Request) {
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
	records := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	newest := map[string]item{}
	for offset, record := range records {
		delete(newest, record.key)
		if record.value != "" {
			newest[record.key] = item{record.key, base64.StdEncoding.EncodeToString([]byte(record.value)), offset}
		}
	}
	for _, latest := range newest {
		answer.Items = append(answer.Items, latest)
	}
	answer.End = len(records)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// append serves log-append for calls with one record.
func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || len(body) < 5+int(body[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	topic, keyEnd := r.URL.Query().Get("topic"), 5+int(body[4])
	if topic == topicOperator || topic == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	offset := len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], storeRecord{string(body[5:keyEnd]), string(body[keyEnd:])})
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": offset + 1})
}
