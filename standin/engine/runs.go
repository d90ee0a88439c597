package engine

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// States of a run.
const (
	RunStarted   = "started"
	RunDone      = "done"
	RunCancelled = "cancelled" // the client disconnected
	RunAborted   = "cut"       // the version or adapter was unloaded, or the role changed
)

// Run is the execution of a request by an engine or by a service without a model, which
// package service simulates.
type Run struct {
	// Number is the index of the run in its RunRecorder, from 0.
	Number    int64  `json:"number"`
	RequestID string `json:"request-id,omitempty"`
	// IdempotencyKey and Path are set only by a service. Path is the method and the path,
	// separated by a space.
	IdempotencyKey string `json:"key,omitempty"`
	Path           string `json:"path,omitempty"`
	// Digest and ResumeOffset are set only by an engine. Digest is the digest of the
	// version or, for an adapter, "VERSION+ADAPTER" with both digests. ResumeOffset is
	// the index of the first token that was generated.
	Digest       string `json:"digest,omitempty"`
	ResumeOffset int    `json:"offset,omitempty"`
	// StartMs is the Unix time of the start in milliseconds.
	StartMs int64 `json:"start-ms"`
	// StreamedTokens is the number of tokens that were streamed so far.
	StreamedTokens int `json:"tokens,omitempty"`
	// State is one of the constants RunStarted, RunDone, RunCancelled and RunAborted.
	State string `json:"state"`
}

// RunRecorder records all runs of a process. The start and the end of each run are also
// appended to the journal as JSON lines, so that they are still known after the process
// is killed.
type RunRecorder struct {
	mu      sync.Mutex
	runs    []Run
	journal io.Writer
}

// NewRunRecorder returns a recorder without runs. If the journal is nil, runs are kept only
// in memory.
func NewRunRecorder(journal io.Writer) *RunRecorder { return &RunRecorder{journal: journal} }

// Start records the start of a run and returns the run's number. Start returns after the
// journal line is written, so the line precedes any effect of the request.
func (r *RunRecorder) Start(run Run) (int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Number = int64(len(r.runs))
	run.StartMs = time.Now().UnixMilli()
	run.State = RunStarted
	r.runs = append(r.runs, run)
	return run.Number, r.write(run)
}

// CountToken counts a streamed token of a run. The count is not journaled until the run
// ends.
func (r *RunRecorder) CountToken(number int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[number].StreamedTokens++
}

// End records the final state of the run with the number.
func (r *RunRecorder) End(number int64, state string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[number].State = state
	return r.write(r.runs[number])
}

// All returns a copy of all runs.
func (r *RunRecorder) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run{}, r.runs...)
}

// write appends a run to the journal.
func (r *RunRecorder) write(run Run) error {
	if r.journal == nil {
		return nil
	}
	line, err := json.Marshal(run)
	if err != nil {
		return err
	}
	_, err = r.journal.Write(append(line, '\n'))
	return err
}
