package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the interval at which a worker writes its entry, heartbeatMs of the settings.
const heartbeat = 1200 * time.Millisecond

// worker is a stand-in for a worker: it registers itself and answers the requests that name it.
type worker struct {
	store         *store
	name          string
	address, zone string
	service       string
	// handle answers a request that names this worker.
	handle func(w *worker, rw http.ResponseWriter, r *http.Request)

	id   string
	born int64

	mu      sync.Mutex
	seq     int
	server  *http.Server
	stopped chan struct{}
}

func newWorker(s *store, name, address, zone, service string, handle func(*worker, http.ResponseWriter, *http.Request)) (*worker, error) {
	w := &worker{store: s, name: name, address: address, zone: zone, service: service, handle: handle, stopped: make(chan struct{})}
	if err := w.start(); err != nil {
		return nil, err
	}
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-w.stopped:
				return
			case <-ticker.C:
				w.register()
			}
		}
	}()
	return w, nil
}

func (w *worker) start() error {
	listener, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	w.id, w.born = "i-"+w.name, time.Now().UnixMilli()
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(listener) }()
	w.register()
	return nil
}

// register writes the entry of the worker.
func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	entry, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 6, "state": "ready",
		"coldRemainingMs": 0, "seq": w.seq, "born": w.born,
	})
	w.store.put(topicServers, w.id, string(entry))
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt := r.Header.Get("X-Attempt-Id"); attempt != "" {
		rw.Header().Set("X-Attempt-Id", attempt)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.handle(w, rw, r)
}

func (w *worker) close() {
	close(w.stopped)
	_ = w.server.Close()
}

// answer sends a signed answer.
func answer(rw http.ResponseWriter, body string) {
	rw.Header().Set("X-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
	rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
	rw.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(rw, body)
}
