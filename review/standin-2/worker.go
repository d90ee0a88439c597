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

// run is a request that reached a worker.
type run struct {
	worker, attempt, path, tenant string
	at                            time.Time
}

// worker is a stand-in for a worker: it registers itself, answers the requests that name it and can
// crash. It comes back with a new id at the same address.
type worker struct {
	store         *store
	name          string
	address, zone string
	service       string
	// handle answers a request that names this worker.
	handle func(w *worker, rw http.ResponseWriter, r *http.Request)

	mu    sync.Mutex
	id    string
	born  int64
	count int
	seq   int
	up    bool
	conns map[net.Conn]struct{}

	listener net.Listener
	server   *http.Server
	stopped  chan struct{}
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

// start begins a new incarnation.
func (w *worker) start() error {
	listener, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.count++
	w.id, w.born, w.seq, w.up = fmt.Sprintf("i-%s-%d", w.name, w.count), time.Now().UnixMilli(), 0, true
	w.conns, w.listener = map[net.Conn]struct{}{}, listener
	id := w.id
	server := &http.Server{
		Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(id, rw, r) }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			w.mu.Lock()
			defer w.mu.Unlock()
			switch state {
			case http.StateNew:
				w.conns[conn] = struct{}{}
			case http.StateClosed, http.StateHijacked:
				delete(w.conns, conn)
			}
		},
	}
	w.server = server
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	w.register()
	return nil
}

// register writes the entry of a worker that is up.
func (w *worker) register() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.seq++
	id := w.id
	entry, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 6, "state": "ready",
		"coldRemainingMs": 0, "seq": w.seq, "born": w.born,
	})
	w.mu.Unlock()
	w.store.put(topicServers, id, string(entry))
}

func (w *worker) serve(id string, rw http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != id {
		rw.Header().Set("X-Instance-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt := r.Header.Get("X-Attempt-Id"); attempt != "" {
		rw.Header().Set("X-Attempt-Id", attempt)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.handle(w, rw, r)
}

// crash ends the incarnation: all connections are reset and the port refuses new ones. The worker is
// back after the given time; its entry is removed after three heartbeats, as that of any worker that
// has fallen silent.
func (w *worker) crash(downFor time.Duration) {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	id, conns := w.id, w.conns
	w.conns = map[net.Conn]struct{}{}
	listener := w.listener
	w.mu.Unlock()
	_ = listener.Close()
	for conn := range conns {
		if socket, ok := conn.(*net.TCPConn); ok {
			_ = socket.SetLinger(0)
		}
		_ = conn.Close()
	}
	time.AfterFunc(3*heartbeat, func() { w.store.put(topicServers, id, "") })
	time.AfterFunc(downFor, func() {
		select {
		case <-w.stopped:
			return
		default:
		}
		for range 50 {
			if w.start() == nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

func (w *worker) close() {
	close(w.stopped)
	w.mu.Lock()
	w.up = false
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
}

// answer sends a signed answer.
func answer(rw http.ResponseWriter, body string) {
	rw.Header().Set("X-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
	rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
	rw.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(rw, body)
}
