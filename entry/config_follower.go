package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/fleet"
	"github.com/fuchsiarouter/fuchsiarouter/revision"
)

const (
	maxRecordsPerRead = 256
	// readWait is how long a read waits at the log for new records, and readTimeout bounds
	// the whole read.
	readWait    = 10 * time.Second
	readTimeout = 12 * time.Second
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 250 * time.Millisecond
	// snapshotInterval is the age of the newest snapshot of the configuration at which
	// another one is appended to the log. It is far below the log's retention of several
	// hours.
	snapshotInterval = time.Minute
	// appendTimeout bounds the append of a snapshot.
	appendTimeout = 5 * time.Second
)

// configFollower keeps the configuration of the entry up to date: it reads the log, and
// takes over the state of a peer that has newer revisions.
type configFollower struct {
	log    *zap.Logger
	stream fuchsiarouter.Log
	// onChange is called with each configuration that takes effect.
	onChange func(document.Document)

	mu    sync.Mutex
	state *revision.State
}

// run reads the stream of the configuration until the context ends.
func (f *configFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.readBatch(ctx); err != nil && ctx.Err() == nil {
			f.log.Warn("could not read the configuration from the log", zap.Error(err))
			select {
			case <-ctx.Done():
			case <-time.After(readRetryDelay):
			}
		}
	}
}

// readBatch reads and applies the next records. If they have expired, it continues at the
// oldest retained record.
func (f *configFollower) readBatch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	batch, err := f.stream.Read(ctx, revision.Stream, f.nextOffset(), maxRecordsPerRead, readWait)
	var expired *fuchsiarouter.ExpiredError
	if errors.As(err, &expired) {
		f.mu.Lock()
		f.state.SkipExpired(expired.OldestOffset)
		f.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	before := f.state.Revisions()
	outcomes := f.state.ApplyBatch(batch)
	after := f.state.Revisions()
	f.mu.Unlock()
	for _, outcome := range outcomes {
		f.log.Info("record read", zap.Int64("offset", outcome.Offset), zap.String("verdict", string(outcome.Verdict)),
			zap.String("section", string(outcome.Section)), zap.Int64("revision", outcome.Revision), zap.String("reason", outcome.Reason))
	}
	f.notifyIfChanged(before, after)
	return nil
}

func (f *configFollower) nextOffset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.NextOffset()
}

// merge takes over the configuration of a peer if it is newer than that of this entry.
func (f *configFollower) merge(snapshot revision.Snapshot) error {
	f.mu.Lock()
	before := f.state.Revisions()
	_, err := f.state.Merge(snapshot)
	after := f.state.Revisions()
	f.mu.Unlock()
	f.notifyIfChanged(before, after)
	return err
}

// notifyIfChanged calls onChange if a section has a higher revision after a change of the
// state than before.
func (f *configFollower) notifyIfChanged(before, after map[string]int64) {
	if !revision.IsBehind(before, after) {
		return
	}
	f.mu.Lock()
	doc := f.state.Document()
	f.mu.Unlock()
	f.log.Info("configuration in force", zap.Any("revisions", after))
	f.onChange(doc)
}

func (f *configFollower) revisions() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Revisions()
}

// delta returns the state without the sections of which a peer already has the current
// revision. known holds the revisions of the peer by section.
func (f *configFollower) delta(known map[string]int64) revision.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Delta(known)
}

// appendSnapshotIfDue appends a snapshot to the log if there is none or the newest one is
// older than snapshotInterval, or ten times as old if no other record was appended since. A
// daemon without state thus finds a snapshot that retention has not removed yet.
func (f *configFollower) appendSnapshotIfDue(ctx context.Context) {
	f.mu.Lock()
	offset, snapshotAt := f.state.LastSnapshot()
	hasNewerRecords := offset < 0 || f.state.NextOffset() > offset+1
	due := f.state.HasHistory() && len(f.state.Revisions()) > 0 && (offset < 0 || time.Since(snapshotAt) > snapshotInterval)
	record, err := revision.Record{}, error(nil)
	if due {
		record, err = f.state.SnapshotRecord(uuid.NewString())
	}
	f.mu.Unlock()
	if !due || !hasNewerRecords && time.Since(snapshotAt) < 10*snapshotInterval {
		return
	}
	if err == nil {
		err = f.appendRecord(ctx, record)
	}
	if err != nil {
		f.log.Warn("could not append the snapshot", zap.Error(err))
	}
}

func (f *configFollower) appendRecord(ctx context.Context, record revision.Record) error {
	data, err := record.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = f.stream.Append(ctx, revision.Stream, record.Nonce, data)
	return err
}

// isElectedWriter reports whether this entry is the one of the live entries that appends
// the snapshots of the configuration and of the demand to the log. own is the id of this
// entry. While the views of two entries differ, both may consider themselves elected; then
// each appends, which is harmless.
func isElectedWriter(view *fleet.View, own string) bool {
	ownHash := xxhash.Sum64String("snapshot" + own)
	for _, member := range view.Entries() {
		if member.ID != own && xxhash.Sum64String("snapshot"+member.ID) < ownHash {
			return false
		}
	}
	return true
}
