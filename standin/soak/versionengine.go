package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/standin/stagedengine"
)

// The engines of a run with versions.
const (
	versionEngineSlots    = 16
	versionEngineQueue    = 32
	versionEnginePieces   = 96
	versionPieceBytes     = 24576
	versionEngineLoadTime = 300 * time.Millisecond
	// promptTokensPerMs is the rate at which prompts are read, tokenTime the time of an output token,
	// and tokensPerEvent the number of output tokens in an event.
	promptTokensPerMs = 30.6
	tokenTime         = 7100 * time.Microsecond
	tokensPerEvent    = 6
)

// begin is the beginning of a request at an engine, which is its first token.
type begin struct {
	requestID, engine string
	// version is the version that the engine held then.
	version     int
	arrived, at time.Time
}

// versionEngine is an engine that serves streams with the version that it has loaded. Requests wait
// for a slot, the most urgent one first, and leave the queue when their connection closes. A load
// begins when no request runs any more, and no request begins until it has ended. An engine with
// early heads sends the head of a response when the request joins the queue.
type versionEngine struct {
	id, zone   string
	address    string
	earlyHeads bool
	staged     *stagedengine.Engine
	server     *http.Server

	mu      sync.Mutex
	running int
	waiting []*waitingRequest
	// loading is set during a load, and idle is closed once no request runs at its start.
	loading bool
	idle    chan struct{}
	begins  []begin
}

// waitingRequest is a request that waits for a slot, which granted is closed for.
type waitingRequest struct {
	urgency int
	granted chan struct{}
}

// newVersionEngine starts an engine that holds version 1.
func newVersionEngine(id, zone, address string, earlyHeads bool) (*versionEngine, error) {
	e := &versionEngine{id: id, zone: zone, address: address, earlyHeads: earlyHeads}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "engine")
	}
	e.staged, err = stagedengine.New(stagedengine.Settings{
		Address: net.JoinHostPort(host, "0"), Model: "m", Pieces: versionEnginePieces, PieceBytes: versionPieceBytes, Version: 1,
		LoadTime: versionEngineLoadTime, BeginLoad: e.beginLoad, EndLoad: e.endLoad,
	})
	if err != nil {
		return nil, errors.Wrap(err, "engine")
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "engine")
	}
	calls := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: e.staged.Address()})
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/fuchsiarouter/") {
			calls.ServeHTTP(w, r)
			return
		}
		e.serve(w, r)
	})}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// close ends the engine.
func (e *versionEngine) close() {
	_ = e.server.Close()
	e.staged.Close()
}

// registration returns the value that registers the engine in the store.
func (e *versionEngine) registration() string {
	return fmt.Sprintf(`{"service":"llm","address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldRemainingMs":0,"seq":1,"models":[{"name":"m","version":%d}]}`,
		e.address, e.zone, versionEngineSlots, e.staged.Version())
}

// allBegins returns the beginnings of all requests so far.
func (e *versionEngine) allBegins() []begin {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.begins)
}

// beginLoad waits until no request runs, and keeps the waiting ones from beginning.
func (e *versionEngine) beginLoad() {
	e.mu.Lock()
	e.loading, e.idle = true, make(chan struct{})
	idle := e.idle
	e.closeIfIdle()
	e.mu.Unlock()
	<-idle
}

// endLoad lets the waiting requests begin.
func (e *versionEngine) endLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = false
	e.grant()
}

// closeIfIdle closes idle if a load waits for it and no request runs. The caller holds the lock.
func (e *versionEngine) closeIfIdle() {
	if e.running == 0 && e.idle != nil {
		close(e.idle)
		e.idle = nil
	}
}

// grant gives free slots to waiting requests. The caller holds the lock.
func (e *versionEngine) grant() {
	for !e.loading && e.running < versionEngineSlots && len(e.waiting) > 0 {
		e.running++
		close(e.waiting[0].granted)
		e.waiting = e.waiting[1:]
	}
}

// release ends a request that runs.
func (e *versionEngine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.grant()
	e.closeIfIdle()
}

// hasRoom reports whether a request that arrives now is not turned away.
func (e *versionEngine) hasRoom() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.waiting) < versionEngineQueue
}

// acquire waits for a slot. It returns false if the queue is full or the context ends.
func (e *versionEngine) acquire(ctx context.Context, urgency int) (acquired, isFull bool) {
	request := &waitingRequest{urgency: urgency, granted: make(chan struct{})}
	e.mu.Lock()
	if len(e.waiting) >= versionEngineQueue {
		e.mu.Unlock()
		return false, true
	}
	at, _ := slices.BinarySearchFunc(e.waiting, urgency+1, func(other *waitingRequest, urgency int) int { return other.urgency - urgency })
	e.waiting = slices.Insert(e.waiting, at, request)
	e.grant()
	e.mu.Unlock()
	select {
	case <-request.granted:
		return true, false
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := slices.Index(e.waiting, request); at >= 0 {
		e.waiting = slices.Delete(e.waiting, at, at+1)
	} else {
		e.running--
		e.grant()
		e.closeIfIdle()
	}
	return false, false
}

// sendHead sends the head of the response to a request.
func (e *versionEngine) sendHead(w http.ResponseWriter, id string) {
	w.Header().Set("X-Server-Seal", e.id+"."+id)
	w.Header().Set("X-Weight-Versions", strconv.Itoa(e.staged.Version()))
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush()
}

// serve runs a request.
func (e *versionEngine) serve(w http.ResponseWriter, r *http.Request) {
	arrived, id := time.Now(), r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if r.Header.Get("X-Target-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	urgency, err := strconv.Atoi(r.Header.Get("X-Request-Urgency"))
	if err != nil {
		urgency = 5
	}
	// The server notices that a connection closes only once the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	isHeadSent := e.earlyHeads && e.hasRoom()
	if isHeadSent {
		e.sendHead(w, id)
	}
	if acquired, isFull := e.acquire(r.Context(), urgency); !acquired {
		if isFull && !isHeadSent {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	defer e.release()
	prompt, answer, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	promptTokens, _ := strconv.Atoi(prompt)
	answerTokens, _ := strconv.Atoi(answer)
	if !sleep(r.Context(), time.Duration(float64(promptTokens)/promptTokensPerMs*float64(time.Millisecond))) {
		return
	}
	version := e.staged.Version()
	e.mu.Lock()
	e.begins = append(e.begins, begin{id, e.id, version, arrived, time.Now()})
	load := fmt.Sprintf("%d,%d,%d", e.running, len(e.waiting), versionEngineSlots)
	e.mu.Unlock()
	if !isHeadSent {
		w.Header().Set("X-Server-Load", load)
		e.sendHead(w, id)
	}
	for event := 1; event <= answerTokens/tokensPerEvent; event++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d\n\n", event, event); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if !sleep(r.Context(), tokensPerEvent*tokenTime) {
			return
		}
	}
}
