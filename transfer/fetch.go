package transfer

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/spread"
	"github.com/fuchsiarouter/fuchsiarouter/weights"
)

// versionFetch is the fetch of one version. It drives a session of package spread, which
// decides which chunk is requested from which source and when.
type versionFetch struct {
	transfer *Transfer
	target   Target
	manifest weights.Manifest
	// session is used only by the goroutine of run. The goroutines of the requests send
	// their events to that goroutine through the channel events.
	session *spread.Session
	events  chan requestEvent
	// cancelFuncs cancel the requests in progress, by request ID.
	cancelFuncs map[int64]context.CancelFunc
}

// requestEvent is an event of a request. versionFetch.run records it in the session, except
// eventFatal, which ends the fetch.
type requestEvent struct {
	// id is the ID of the request.
	id   int64
	kind eventKind
	// err is set for eventFatal only.
	err error
}

type eventKind int

const (
	// eventStarted means that the source has the chunk and will send it.
	eventStarted eventKind = iota
	// eventProgress means that bytes of the chunk have arrived, or that a request to the
	// origin was sent.
	eventProgress
	// eventDone means that the chunk is verified and in the store.
	eventDone
	// eventAbsent means that the source has responded that it lacks the chunk.
	eventAbsent
	// eventFailed means that the request failed before the whole chunk arrived.
	eventFailed
	// eventCorrupt means that the received bytes don't have the digest of the chunk.
	eventCorrupt
	// eventFatal means that the store refused the verified chunk. It ends the fetch, since
	// a chunk from another source would be refused too.
	eventFatal
)

// Fetch returns when every chunk of the version is present and verified. It
// returns an error if ctx ends, if the manifest is malformed, if the store refuses the
// version or a chunk, for example for lack of room, or if the Transfer is closed. It keeps
// retrying while the origin is down. The version is pinned when its manifest has arrived, and
// stays pinned until Forget is called, even after an error.
func (t *Transfer) Fetch(ctx context.Context, target Target) error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return errors.New("transfer is closed")
	}
	t.goroutines.Add(1)
	t.mu.Unlock()
	defer t.goroutines.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(t.ctx, cancel)
	defer stop()
	if target.Urgent {
		t.urgentFetches.Add(1)
		defer t.urgentFetches.Add(-1)
	}
	if err := t.waitForMembers(ctx, target.Digest); err != nil {
		return err
	}
	manifest, err := t.fetchManifest(ctx, target)
	if err != nil {
		return err
	}
	f := &versionFetch{
		transfer: t, target: target, manifest: manifest,
		events: make(chan requestEvent), cancelFuncs: make(map[int64]context.CancelFunc),
	}
	return f.run(ctx)
}

// waitForMembers waits, up to MemberWait, until the view has another member that
// wants or holds the version.
func (t *Transfer) waitForMembers(ctx context.Context, digest string) error {
	deadline := time.Now().Add(t.options.MemberWait)
	for len(t.viewWithSelf(digest).Members) < 2 && time.Now().Before(deadline) {
		if err := sleepContext(ctx, t.options.MemberWait/20); err != nil {
			return err
		}
	}
	return nil
}

// viewWithSelf returns the view of a version. It adds this agent if the received
// heartbeats don't include it yet.
func (t *Transfer) viewWithSelf(digest string) spread.View {
	view := t.options.View(digest)
	for _, member := range view.Members {
		if member.ID == t.options.Self.ID {
			return view
		}
	}
	self := t.options.Self
	self.State = fuchsiarouter.StateLive
	self.Versions = []fuchsiarouter.Version{{Digest: digest, State: fuchsiarouter.VersionFetching}}
	view.Members = append(view.Members[:len(view.Members):len(view.Members)], self)
	return view
}

// updatePlan computes the plan of a version from the current view. If the version is held,
// updatePlan also stores the plan for gatewayCount.
func (t *Transfer) updatePlan(digest string) *spread.Plan {
	plan := spread.NewPlan(t.viewWithSelf(digest), 0)
	if version, ok := t.findVersion(digest); ok {
		t.mu.Lock()
		version.plan = plan
		t.mu.Unlock()
	}
	return plan
}

// run drives the session until no chunk is missing: it passes events to the session and
// starts and cancels the requests that the session returns.
func (f *versionFetch) run(ctx context.Context) error {
	t := f.transfer
	options := t.options.Session
	options.Self, options.Chunks = t.options.Self.ID, len(f.manifest.Chunks)
	f.session = spread.NewSession(options, t.updatePlan(f.target.Digest), func(chunk int) bool {
		return t.options.Store.Has(f.manifest.Chunks[chunk])
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(f.session.PollInterval())
	defer ticker.Stop()
	viewUpdatedAt := time.Now()
	for f.session.Remaining() > 0 {
		now := time.Now()
		if now.Sub(viewUpdatedAt) >= viewInterval {
			viewUpdatedAt = now
			f.session.ReplacePlan(t.updatePlan(f.target.Digest))
		}
		f.session.SetThrottled(!f.target.Urgent && t.urgentFetches.Load() > 0)
		actions := f.session.NextActions(now)
		for _, id := range actions.Cancel {
			f.cancelRequest(id)
		}
		for _, request := range actions.Start {
			f.startRequest(ctx, request)
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "fetch version")
		case <-ticker.C:
		case event := <-f.events:
			if err := f.handleEvent(event); err != nil {
				return err
			}
		}
	}
	return nil
}

// cancelRequest ends a request and releases its context. It does nothing for a request
// that has been canceled before.
func (f *versionFetch) cancelRequest(id int64) {
	if cancel, ok := f.cancelFuncs[id]; ok {
		cancel()
		delete(f.cancelFuncs, id)
	}
}

// handleEvent records an event in the session, and ends the request unless the event is
// eventStarted or eventProgress. For eventFatal it only returns the error of the event.
func (f *versionFetch) handleEvent(event requestEvent) error {
	now := time.Now()
	switch event.kind {
	case eventStarted:
		f.session.RecordTransferStart(event.id, now)
		return nil
	case eventProgress:
		f.session.RecordProgress(event.id, now)
		return nil
	case eventDone:
		f.session.RecordSuccess(event.id, now)
	case eventAbsent:
		f.session.RecordAbsent(event.id, now)
	case eventFailed:
		f.session.RecordFailure(event.id, now)
	case eventCorrupt:
		f.session.RecordCorrupt(event.id, now)
	case eventFatal:
		return event.err
	}
	f.cancelRequest(event.id)
	return nil
}

// startRequest starts a goroutine that performs a request and sends its events to run. If
// a request to another agent is canceled before the response starts, the goroutine ends
// when the response starts, or after readTimeout at the latest.
func (f *versionFetch) startRequest(ctx context.Context, request spread.Request) {
	ctx, cancel := context.WithCancel(ctx)
	f.cancelFuncs[request.ID] = cancel
	send := func(event requestEvent) {
		select {
		case f.events <- event:
		case <-ctx.Done():
		}
	}
	f.transfer.goroutines.Go(func() {
		// The client of the origin reports no start of the response and no progress. This
		// event makes the session apply its timeout of a stalled transfer from the beginning.
		if request.Source.IsOrigin() {
			send(requestEvent{id: request.ID, kind: eventProgress})
		}
		data, kind := f.fetchChunk(ctx, request, func(kind eventKind) { send(requestEvent{id: request.ID, kind: kind}) })
		if kind != eventDone {
			send(requestEvent{id: request.ID, kind: kind})
			return
		}
		send(f.storeChunk(request, data))
	})
}

// storeChunk puts a received chunk into the store, which verifies its digest, adds the size
// of a stored or corrupt chunk to the values of Counts, and returns the event that ends the
// request.
func (f *versionFetch) storeChunk(request spread.Request, data []byte) requestEvent {
	t := f.transfer
	err := t.options.Store.Put(f.manifest.Chunks[request.Chunk], data)
	var mismatch *weights.MismatchError
	switch {
	case errors.As(err, &mismatch):
		t.corrupt.Add(int64(len(data)))
		return requestEvent{id: request.ID, kind: eventCorrupt}
	case err != nil:
		return requestEvent{id: request.ID, kind: eventFatal, err: errors.Wrap(err, "put chunk")}
	case request.Source.IsOrigin():
		t.fromOrigin.Add(int64(len(data)))
	default:
		t.fromPeers.Add(int64(len(data)))
	}
	return requestEvent{id: request.ID, kind: eventDone}
}

// fetchChunk requests a chunk from the origin or from another agent. The returned kind is
// eventAbsent, eventFailed, or eventDone if the whole, unverified chunk is returned.
func (f *versionFetch) fetchChunk(ctx context.Context, request spread.Request, report func(eventKind)) ([]byte, eventKind) {
	digest := f.manifest.Chunks[request.Chunk]
	if request.Source.IsOrigin() {
		data, err := f.transfer.options.Origin.Chunk(ctx, digest)
		if err != nil {
			return nil, eventFailed
		}
		return data, eventDone
	}
	query := "?" + waitParameter + "=" + strconv.FormatInt(request.Wait.Milliseconds(), 10) +
		"&" + regionParameter + "=" + f.transfer.options.Self.Region
	data, status, err := f.transfer.getFromPeer(ctx, request.Source.Address, chunkPath+digest+query, readTimeout, f.manifest.ChunkBytes(request.Chunk), report)
	switch {
	case err != nil:
		return nil, eventFailed
	case status == fasthttp.StatusNotFound:
		return nil, eventAbsent
	case status != fasthttp.StatusOK:
		return nil, eventFailed
	default:
		return data, eventDone
	}
}

// getFromPeer sends a GET request to another agent and returns the body and the status of the
// response. For a status other than 200 it returns no body and reports no event. Otherwise it
// reports eventStarted when the response starts and eventProgress while bytes arrive. It
// reads at most one byte more than limit, so that a longer body fails the verification of its
// digest.
func (t *Transfer) getFromPeer(ctx context.Context, address, path string, timeout time.Duration, limit int64, report func(eventKind)) ([]byte, int, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	request.SetTimeout(timeout)
	if err := t.client.Do(request, response); err != nil {
		return nil, 0, errors.Wrap(err, "request to peer")
	}
	status := response.StatusCode()
	if status != fasthttp.StatusOK {
		return nil, status, response.CloseBodyStream()
	}
	report(eventStarted)
	body := response.BodyStream()
	// Closing the body unblocks a pending read and closes the connection.
	if closer, ok := body.(interface{ CloseWithError(err error) error }); ok {
		stop := context.AfterFunc(ctx, func() { _ = closer.CloseWithError(ctx.Err()) })
		defer stop()
	}
	data, err := io.ReadAll(&progressReader{reader: io.LimitReader(body, limit+1), report: report})
	if closeErr := response.CloseBodyStream(); err == nil && closeErr != nil {
		err = closeErr
	}
	if err != nil {
		return nil, status, errors.Wrap(err, "read response")
	}
	return data, status, nil
}

// progressReader reports eventProgress when bytes arrive, at most once per
// progressInterval.
type progressReader struct {
	reader       io.Reader
	report       func(eventKind)
	lastReportAt time.Time
}

// Read implements io.Reader.
func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	if now := time.Now(); n > 0 && now.Sub(r.lastReportAt) >= progressInterval {
		r.lastReportAt = now
		r.report(eventProgress)
	}
	return n, err
}

// sleepContext waits for a duration. It returns the error of ctx if that ends first.
func sleepContext(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
