// Package engine is a stand-in of a model engine.
//
// An engine loads versions of models and runs requests on them in a fixed number of
// slots, one request in each. Each generated token is a function of the version, the
// prompt and the token index, so that every wrong response can be detected. Continuous
// batching is approximated by a fixed time per token, whatever the batch size.
//
// An agent, the daemon that manages the engine of its VM, controls the engine by orders:
// HTTP requests that load or unload a version or an adapter, which modifies one version,
// or that set the role, which says whether the engine runs prefill, decode or both. A load
// takes two orders: one begins it, and after the agent has sent the chunks of the weights,
// the other, the commit, makes the version or adapter ready for requests. Each order carries
// a fencing token, a number that is higher after each start of the agent. The engine refuses
// an order with a lower token than it has already seen, because a newer agent process has
// superseded the sender.
//
// A run is one execution of a request. The engine records all runs, so that tests can
// compare them with what callers observed.
package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/standin/lag"
)

// Limits of request bodies, in bytes: maxKVBytes for imported KV cache state, and
// maxBodyBytes for all others.
const (
	maxBodyBytes = 64 << 20
	maxKVBytes   = 64 << 20
)

// Options configures an engine.
type Options struct {
	// Slots is the number of requests that run at the same time.
	Slots int
	// TokenTime is the time to generate one token.
	TokenTime time.Duration
	// PrefillTime is the time to process 1024 bytes of prompt that are not in the
	// prefix cache.
	PrefillTime time.Duration
	// LoadLag is how far the number of running and queued requests in the status lags
	// behind the actual number.
	LoadLag time.Duration
	// CacheBlocks, EventLag, EventLossRate and Seed are the arguments of NewPrefixCache.
	CacheBlocks   int
	EventLag      time.Duration
	EventLossRate float64
	Seed          uint64
	// IgnoreFence and MemoryBytes are the fields of the ModelStore.
	IgnoreFence bool
	MemoryBytes int64
	// OnCrash is called when a request whose prompt contains CrashMarker starts to run. An
	// empty CrashMarker matches no prompt.
	CrashMarker string
	OnCrash     func()
	// Journal receives one JSON line for each start and end of a run. It may be nil.
	Journal io.Writer
}

// Engine serves generation requests over HTTP, and the orders of an agent to load and
// unload versions and adapters and to change the role.
type Engine struct {
	http.Handler
	options Options
	// incarnation is the Unix time of the start in milliseconds. It is part of the status,
	// so that the agent detects a restart.
	incarnation int64
	queue       *Queue
	models      *ModelStore
	cache       *PrefixCache
	runs        *RunRecorder
	// recordedLoad holds the load with its recent changes, as the status reports it with
	// a delay.
	recordedLoad lag.Value[load]
	faults       pendingFaults

	mu sync.Mutex
	// kv holds KV cache state by the key under which a client stored it. Clients can read
	// it again; requests neither use nor change it.
	kv map[string][]byte
}

// load is the number of running and queued requests.
type load struct{ running, queued int }

// New returns an engine that has no versions loaded.
func New(options Options) *Engine {
	e := &Engine{
		options:     options,
		incarnation: time.Now().UnixMilli(),
		queue:       NewQueue(options.Slots),
		models:      &ModelStore{MemoryBytes: options.MemoryBytes, IgnoreFence: options.IgnoreFence},
		cache:       NewPrefixCache(options.CacheBlocks, options.EventLag, options.EventLossRate, options.Seed),
		runs:        NewRunRecorder(options.Journal),
		kv:          map[string][]byte{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.generate)
	mux.HandleFunc("POST /orders/load", e.beginLoad)
	mux.HandleFunc("PUT /orders/chunks/{model}/{digest}/{index}", e.putChunk)
	mux.HandleFunc("POST /orders/commit", e.commitLoad)
	mux.HandleFunc("POST /orders/unload", e.unload)
	mux.HandleFunc("POST /orders/role", e.changeRole)
	mux.HandleFunc("POST /faults", e.faults.set)
	mux.HandleFunc("GET /status", e.status)
	mux.HandleFunc("GET /events", e.events)
	mux.HandleFunc("GET /runs", e.listRuns)
	mux.HandleFunc("GET /kv/{key}", e.exportKV)
	mux.HandleFunc("PUT /kv/{key}", e.importKV)
	e.Handler = mux
	return e
}

func (e *Engine) beginLoad(w http.ResponseWriter, r *http.Request) {
	e.handleOrder(w, r, func(order Order) (any, error) { return nil, e.models.BeginLoad(order) })
}

// commitLoad handles the order that ends a load, and responds with the digest of the loaded
// version or adapter.
func (e *Engine) commitLoad(w http.ResponseWriter, r *http.Request) {
	e.handleOrder(w, r, func(order Order) (any, error) {
		if e.faults.consume(failCommits) {
			return nil, ErrLoadFailed
		}
		digest, err := e.models.CommitLoad(order)
		e.dropResponseIfInjected(err)
		return struct {
			Digest string `json:"digest"`
		}{digest}, err
	})
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	e.handleOrder(w, r, func(order Order) (any, error) {
		err := e.models.Unload(order)
		e.dropResponseIfInjected(err)
		return nil, err
	})
}

func (e *Engine) changeRole(w http.ResponseWriter, r *http.Request) {
	e.handleOrder(w, r, func(order Order) (any, error) {
		err := e.models.SetRole(order)
		e.dropResponseIfInjected(err)
		return nil, err
	})
}

// dropResponseIfInjected closes the connection of an order without a response if the order
// took effect, as its nil error says, and the DropResponses fault is pending.
func (e *Engine) dropResponseIfInjected(err error) {
	if err == nil && e.faults.consume(dropResponses) {
		panic(http.ErrAbortHandler)
	}
}

// handleOrder decodes an order and executes it. It writes the error, the result or, if there is
// neither, status 204.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request, execute func(Order) (any, error)) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	response, err := execute(order)
	switch {
	case err != nil:
		http.Error(w, err.Error(), httpStatus(err))
	case response == nil:
		w.WriteHeader(http.StatusNoContent)
	default:
		writeJSON(w, response)
	}
}

// putChunk receives a chunk of a load in progress. It carries no fencing token; chunks
// take effect only by a commit.
func (e *Engine) putChunk(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.PathValue("index"))
	if err != nil {
		http.Error(w, "index must be a number", http.StatusBadRequest)
		return
	}
	bytes, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.models.PutChunk(r.PathValue("model"), r.PathValue("digest"), index, bytes); err != nil {
		http.Error(w, err.Error(), httpStatus(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// httpStatus returns the HTTP status of the response to an order that failed with err.
func httpStatus(err error) int {
	switch {
	case errors.Is(err, ErrStaleFence):
		return http.StatusConflict
	case errors.Is(err, ErrLoadNotBegun):
		return http.StatusNotFound
	case errors.Is(err, ErrOutOfMemory):
		return http.StatusInsufficientStorage
	default:
		return http.StatusUnprocessableEntity
	}
}

// status responds with the state of the engine. The numbers of running and queued requests
// are those of LoadLag ago.
func (e *Engine) status(w http.ResponseWriter, _ *http.Request) {
	e.recordLoad()
	reported := e.recordedLoad.Get(time.Now(), e.options.LoadLag)
	fence, role, states := e.models.Status()
	writeJSON(w, struct {
		Incarnation int64          `json:"incarnation"`
		Fence       int64          `json:"fence"`
		Slots       int            `json:"slots"`
		Running     int            `json:"running"`
		Queued      int            `json:"queued"`
		Role        string         `json:"role"`
		Models      []VersionState `json:"models"`
		Refused     int            `json:"refused"`
	}{e.incarnation, fence, e.options.Slots, reported.running, reported.queued, role, states, e.models.RefusedOrders()})
}

// recordLoad records the current load, which the status reports once LoadLag has passed.
func (e *Engine) recordLoad() {
	running, queued := e.queue.Load()
	e.recordedLoad.Set(time.Now(), load{running, queued})
}

// events responds with the events of the prefix cache that readers can see by now, from the
// offset in the query parameter from on, or from 0 if it is missing.
func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	events, next := e.cache.Events(time.Now(), from)
	writeJSON(w, struct {
		Next   int64   `json:"next"`
		Events []Event `json:"events"`
	}{next, events})
}

func (e *Engine) listRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, struct {
		Runs []Run `json:"runs"`
	}{e.runs.All()})
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	value, ok := e.kv[r.PathValue("key")]
	e.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(value)
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxKVBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.kv[r.PathValue("key")] = value
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// Ignores the error: a client that has disconnected cannot be told of it.
	_ = json.NewEncoder(w).Encode(value)
}
