// Package demand records the demand for models in the platform's log, and forecasts from it
// when the peaks of the demand begin and end.
//
// Demand is the number of requests for a model in each time slot of ten minutes. It is
// recorded for the models for which the operators declare a peak: a daily interval with more
// replicas of the model.
//
// A Recorder counts the requests at one entry, a daemon that receives the requests of
// callers, and reads the demand at all entries from a stream of the log. It appends the time
// slots that this entry has to write, and snapshots that preserve the state beyond the
// retention of the log. Package forecast decides which slots this entry writes and computes
// the forecast.
package demand

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/follower"
	"github.com/fuchsiarouter/fuchsiarouter/forecast"
)

const (
	// snapshotInterval is the age of the newest snapshot after which another one is
	// appended. It is well within the retention of the log, the time for which the log keeps
	// a record. The retention is longer than a day, because the records of package claim
	// must be kept as long as their idempotency keys are accepted.
	snapshotInterval = time.Hour
	// appendTimeout is the maximum duration of one append to the log.
	appendTimeout = 5 * time.Second
)

// Settings are the parameters of a Recorder.
type Settings struct {
	// EntryID is the member ID of this entry, the daemon that the Recorder is part of.
	EntryID string
	// Now returns the current time.
	Now func() time.Time
}

// Recorder records the demand at one entry in the platform's log and forecasts the peaks
// from the demand at all entries. It is safe for concurrent use.
type Recorder struct {
	log         *zap.Logger
	platformLog fuchsiarouter.Log
	settings    Settings
	follower    *follower.Follower

	mu        sync.Mutex
	collector *forecast.Collector
	// state is the demand that was read from the log.
	state *forecast.State
	// peaks are the declared peaks.
	peaks document.Peaks
	// readToEnd is set if the last batch reached the end of the stream. snapshotAt is
	// the time of the newest snapshot that was read.
	readToEnd  bool
	snapshotAt time.Time
	// shifts is the forecast of the last call of SetPeaks or Sync.
	shifts []fuchsiarouter.PeakShift
}

// New returns a Recorder that reads the stream forecast.Stream of platformLog until Close.
func New(log *zap.Logger, platformLog fuchsiarouter.Log, settings Settings) *Recorder {
	r := &Recorder{
		log: log, platformLog: platformLog, settings: settings,
		collector: forecast.NewCollector(settings.Now()), state: forecast.NewState(),
	}
	r.follower = follower.New(platformLog, follower.Settings{Stream: forecast.Stream}, follower.Handler{
		Apply:  r.apply,
		Failed: func(err error) { log.Debug("reading demand from the log failed", zap.Error(err)) },
	})
	return r
}

// Close stops reading the stream.
func (r *Recorder) Close() { r.follower.Close() }

// apply merges a batch of records from the stream into the state. It logs an invalid record
// and goes on with the next. The slots that the record would have added are missing from the
// state unless another record has them.
func (r *Recorder) apply(batch fuchsiarouter.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := batch.NextOffset
	for _, record := range batch.Records {
		isSnapshot, err := r.state.Apply(record)
		if err != nil {
			r.log.Warn("invalid demand record", zap.Int64("offset", record.Offset), zap.Error(err))
		}
		if isSnapshot && err == nil {
			r.snapshotAt = record.Time
		}
		next = record.Offset + 1
	}
	r.readToEnd = next >= batch.NextOffset
}

// SetPeaks sets the declared peaks and updates the forecast.
func (r *Recorder) SetPeaks(peaks document.Peaks) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peaks = peaks
	r.shifts = r.state.Shifts(peaks, r.settings.Now())
}

// CountRequest adds a request for the model, whether it is admitted or not, to the counts
// of the current time slot. It ignores a request without a model.
func (r *Recorder) CountRequest(model string) {
	if model == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collector.CountRequest(r.settings.Now(), model)
}

// Report returns the number of requests by model that this entry counted in the last
// complete time slot, for the heartbeats of the entry. It is nil if no peak is declared, and
// after the first tenth of the slot that follows.
func (r *Recorder) Report() *fuchsiarouter.SlotDemand {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.peaks.Peaks) == 0 {
		return nil
	}
	return r.collector.Report(r.settings.Now())
}

// Shifts returns how much earlier each declared peak is forecast to begin and how much
// later to end, as of the last call of SetPeaks or Sync. Peaks that are forecast as declared
// are left out.
func (r *Recorder) Shifts() []fuchsiarouter.PeakShift {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shifts
}

// Sync updates the forecast and appends to the log the time slots and the snapshot that are
// due. The caller must call it at intervals much shorter than a slot, because only the last
// complete slot is written. others are the other live entries, whose heartbeats report their
// counts. writesSnapshots is set if this entry is the one that appends the periodic
// snapshots. Any entry appends a snapshot if the newest one is incomplete.
func (r *Recorder) Sync(ctx context.Context, others []fuchsiarouter.Member, writesSnapshots bool) {
	now := r.settings.Now()
	r.mu.Lock()
	r.collector.Collect(now, r.settings.EntryID, others, r.modelsWithPeaks())
	pending := append([]forecast.SlotCounts(nil), r.collector.Pending()...)
	r.shifts = r.state.Shifts(r.peaks, now)
	snapshotDue := writesSnapshots && now.Sub(r.snapshotAt) > snapshotInterval
	var snapshot []byte
	var err error
	// Before the end of the stream has been read, a snapshot would lack the days that
	// haven't been read yet.
	if r.readToEnd && !r.state.IsEmpty() && (snapshotDue || r.state.IsSnapshotIncomplete()) {
		snapshot, err = r.state.Snapshot()
	}
	r.mu.Unlock()
	if err == nil && snapshot != nil {
		err = r.append(ctx, snapshot)
	}
	if err != nil {
		r.log.Warn("appending the demand snapshot failed", zap.Error(err))
	}
	if len(pending) == 0 {
		return
	}
	data, err := forecast.EncodeSlots(pending)
	if err == nil {
		err = r.append(ctx, data)
	}
	if err != nil {
		// The record may have been appended all the same. The slots stay pending and
		// are appended again, because a second record of the same slots has no effect.
		r.log.Warn("appending demand slots failed", zap.Int("slots", len(pending)), zap.Error(err))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collector.MarkWritten(pending[len(pending)-1].Slot)
}

// modelsWithPeaks returns the model of each declared peak. A model with several peaks is
// listed as often. The caller must hold the lock.
func (r *Recorder) modelsWithPeaks() []string {
	var models []string
	for _, peak := range r.peaks.Peaks {
		models = append(models, peak.Model)
	}
	return models
}

// append appends a record to the stream of the log.
func (r *Recorder) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := r.platformLog.Append(ctx, forecast.Stream, uuid.NewString(), data)
	return err
}
