package engine

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Faults configures injected failures of orders. Each field is how many of the next orders
// to which it applies fail in that way; 0 injects no failure.
type Faults struct {
	// FailCommits fails commits, the orders that end a load, before they make the version or
	// adapter ready.
	FailCommits int `json:"fail-loads"`
	// DropResponses closes the connection without a response after a commit, an unload or
	// a role change took effect. Orders that begin a load are not affected.
	DropResponses int `json:"lose-answers"`
}

// pendingFaults holds the faults that are still to be injected.
type pendingFaults struct {
	mu        sync.Mutex
	remaining Faults
}

// set handles the HTTP request that replaces the pending faults.
func (f *pendingFaults) set(w http.ResponseWriter, r *http.Request) {
	var requested Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&requested); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remaining = requested
}

// consume reports whether the fault that counter selects is pending and, if so, decrements
// the number of orders that are still to fail.
func (f *pendingFaults) consume(counter func(*Faults) *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining := counter(&f.remaining)
	if *remaining == 0 {
		return false
	}
	*remaining--
	return true
}

// failCommits and dropResponses select a counter for pendingFaults.consume.
func failCommits(f *Faults) *int   { return &f.FailCommits }
func dropResponses(f *Faults) *int { return &f.DropResponses }
