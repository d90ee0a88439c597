package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// worker is a stand-in of a worker that can crash, start again and go dark.
type worker struct {
	index   int
	service string
	address string
	slots   int
	store   *store
	record  *record
	// run answers a request that the worker runs.
	run func(w *worker, id string, body []byte, response http.ResponseWriter, request *http.Request)

	mu sync.Mutex
	// id and born are those of the current incarnation, starts is the number of starts.
	id     string
	born   int64
	starts int
	// server and conns are nil while the worker is down.
	server   *http.Server
	listener *net.TCPListener
	conns    map[net.Conn]struct{}
	// dark is closed when the worker goes dark: requests that arrive get no answer.
	dark chan struct{}
}

// startWorker starts a worker on a free address and registers it.
func startWorker(s *store, r *record, service string, index, slots int, run func(*worker, string, []byte, http.ResponseWriter, *http.Request)) (*worker, error) {
	address, err := freeAddress(fmt.Sprintf("127.0.78.%d", index+1))
	if err != nil {
		return nil, err
	}
	w := &worker{index: index, service: service, address: address, slots: slots, store: s, record: r, run: run}
	return w, w.start()
}

// start starts a new incarnation at the same address under a new id and registers it.
func (w *worker) start() error {
	listener, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	previous := w.id
	w.starts++
	w.id, w.born = fmt.Sprintf("i-%s-%d-%d", w.service, w.index, w.starts), time.Now().UnixMilli()
	w.conns, w.dark = map[net.Conn]struct{}{}, make(chan struct{})
	w.listener = listener.(*net.TCPListener)
	id := w.id
	w.server = &http.Server{
		Handler: http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) { w.serve(id, response, request) }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			w.mu.Lock()
			defer w.mu.Unlock()
			switch {
			case w.conns == nil:
			case state == http.StateNew:
				w.conns[conn] = struct{}{}
			case state == http.StateClosed:
				delete(w.conns, conn)
			}
		},
	}
	server := w.server
	go func() { _ = server.Serve(listener) }()
	if previous != "" {
		w.store.put(topicServers, previous, "")
	}
	w.store.put(topicServers, w.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":%d,"state":"ready","coldRemainingMs":0,"seq":0,"born":%d}`,
		w.service, w.address, w.slots, w.born))
	w.record.write("worker %s is up at %s", w.id, w.address)
	return nil
}

// serve handles one request as PROTOCOL.md says: it rejects what is for another worker.
func (w *worker) serve(id string, response http.ResponseWriter, request *http.Request) {
	w.mu.Lock()
	dark := w.dark
	w.mu.Unlock()
	select {
	case <-dark:
		<-request.Context().Done()
		return
	default:
	}
	attempt := request.Header.Get("X-Attempt-Id")
	response.Header().Set("X-Attempt-Id", attempt)
	if request.Header.Get("X-Target-Instance") != id {
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	response.Header().Set("X-Server-Seal", id+"."+attempt)
	w.run(w, id, body, response, request)
}

// crash ends the current incarnation as the end of its process does: the port is closed and
// all connections are reset.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		return
	}
	w.record.write("worker %s crashes", w.id)
	_ = w.listener.Close()
	for conn := range w.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	w.server, w.conns = nil, nil
}

// goDark makes the worker silent: it reads nothing more, and connections to it hang, as to a
// machine without power. Its queue of new connections is cut to the least and filled, so that
// the kernel drops further opening packets.
func (w *worker) goDark(ctx context.Context) error {
	w.mu.Lock()
	listener := w.listener
	close(w.dark)
	w.mu.Unlock()
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	// The server stops accepting; the socket goes on listening through a duplicate.
	duplicate := -1
	if err := raw.Control(func(fd uintptr) { duplicate, err = syscall.Dup(int(fd)) }); err != nil {
		return err
	}
	if err != nil {
		return err
	}
	if err := listener.Close(); err != nil {
		return err
	}
	if err := syscall.Listen(duplicate, 0); err != nil {
		return err
	}
	for range 4 {
		dialer := net.Dialer{Timeout: 100 * time.Millisecond}
		if conn, err := dialer.DialContext(ctx, "tcp4", w.address); err == nil {
			context.AfterFunc(ctx, func() { _ = conn.Close() })
		}
	}
	w.record.write("worker %s is dark", w.id)
	context.AfterFunc(ctx, func() { _ = syscall.Close(duplicate) })
	return nil
}
