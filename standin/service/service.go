// Package service is a stand-in of a plain service, which is a backend server without a
// model, such as a booking system. Some of its calls must not run twice, but it does not
// deduplicate them: it runs every call that it receives and counts the runs by idempotency
// key, so that tests detect a call that ran twice.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/standin/engine"
	"github.com/fuchsiarouter/fuchsiarouter/standin/platform"
)

// maxBodyBytes bounds every request body.
const maxBodyBytes = 16 << 20

// Response is the response to a call. It repeats the idempotency key, method, path and body
// digest of the call, so that a response that belongs to another call can be detected.
type Response struct {
	Key        string `json:"key"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodyDigest string `json:"body-digest"`
	// Run is the number of the run that served the call, as GET /runs lists it.
	Run int64 `json:"run"`
}

// Service is the HTTP handler of the stand-in. It runs a call on any path, except for two
// paths that tests use: GET /runs lists the recorded runs, and PUT /delay sets how long a
// call takes.
type Service struct {
	http.Handler
	recorder *engine.RunRecorder
	// delay is the duration of a call in nanoseconds.
	delay atomic.Int64
}

// New returns a service whose calls take as long as the delay. The journal receives one JSON
// line for each start and end of a run; it may be nil.
func New(delay time.Duration, journal io.Writer) *Service {
	s := &Service{recorder: engine.NewRunRecorder(journal)}
	s.delay.Store(int64(delay))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", s.listRuns)
	mux.HandleFunc("PUT /delay", s.setDelay)
	mux.HandleFunc("/", s.handleCall)
	s.Handler = mux
	return s
}

// handleCall runs a call and responds after the delay.
func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	requestID := r.Header.Get("Fuchsiarouter-Request-Id")
	if requestID == "" {
		requestID = r.Header.Get("Request-Id")
	}
	number, err := s.recorder.Start(engine.Run{RequestID: requestID, IdempotencyKey: key, Path: r.Method + " " + r.URL.Path})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// Ignores the request context: a call that has started takes effect even if its
	// caller disconnects.
	time.Sleep(time.Duration(s.delay.Load()))
	if err := s.recorder.End(number, engine.RunDone); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, Response{key, r.Method, r.URL.Path, platform.Digest(body), number})
}

// listRuns responds with all runs and the number of runs by idempotency key. Calls without a
// key are counted under the empty one.
func (s *Service) listRuns(w http.ResponseWriter, _ *http.Request) {
	byKey := map[string]int{}
	runs := s.recorder.All()
	for _, run := range runs {
		byKey[run.IdempotencyKey]++
	}
	writeJSON(w, struct {
		ByKey map[string]int `json:"by-key"`
		Runs  []engine.Run   `json:"runs"`
	}{byKey, runs})
}

func (s *Service) setDelay(w http.ResponseWriter, r *http.Request) {
	var request struct {
		DelayMs int64 `json:"delay-ms"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.delay.Store(int64(time.Duration(request.DelayMs) * time.Millisecond))
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// Ignores the error: a client that has disconnected cannot be told of it.
	_ = json.NewEncoder(w).Encode(value)
}
