package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/placement"
	"github.com/fuchsiarouter/fuchsiarouter/transfer"
	"github.com/fuchsiarouter/fuchsiarouter/weights"
)

const (
	// canaryAgents is the number of agents that load a version before the others,
	// so that a version that fails to load affects only them.
	canaryAgents = 2
	// loadPollInterval is the interval at which a verified version that may not load
	// yet is checked again (see versionManager.mayLoad).
	loadPollInterval = 200 * time.Millisecond
	// loadRetryDelay is the delay before a version that failed to be fetched,
	// verified or loaded is tried again.
	loadRetryDelay = 10 * time.Second
	// unloadDelay is how long a version stays loaded after it is no longer
	// wanted, because entries may still send requests for it.
	unloadDelay = 2 * time.Second
	// maxStatusLag is how far the status of an engine may lag behind the orders that
	// it has executed.
	maxStatusLag = 2 * time.Second
)

// errDigestMismatch reports that the bytes that the engine loaded do not match
// the manifest.
var errDigestMismatch = errors.New("engine reports another digest than the manifest has")

// versionManager fetches, loads and unloads the model versions of the backend server
// and the adapters on them. Here, a version also means an adapter on a version, and
// its digest means its identity (see the package doc). An adapter needs the version
// below it, its base. A version is in use while a request runs on it or on one of
// its adapters, and is unloaded only after its last request.
type versionManager struct {
	log      *zap.Logger
	engine   fuchsiarouter.Engine
	transfer *transfer.Transfer
	store    *weights.Store
	// mayLoad reports whether the agent may load a version that it has verified.
	mayLoad func(placement.Assignment) bool
	// onChange is called by setState, after a version was verified, became ready or
	// failed, so that the agent reports the new state in an early heartbeat. The resets
	// by reloadAll and reconcileStatus don't call it.
	onChange func()

	mu sync.Mutex
	// held holds, by digest, the versions that the agent is fetching or has, and the
	// retired ones whose last request has not ended.
	held map[string]*heldVersion
	// isWantedKnown is set once the wanted versions are known, by setWanted.
	isWantedKnown bool
	// unloadingLeftovers holds the digests of the versions that the engine had
	// although they are not held here, and that it was ordered to unload.
	unloadingLeftovers map[string]bool
	// unloaded holds the digests of the versions that the engine was ordered to load and
	// then to unload, and that are not held. The engine may execute the orders in another
	// sequence.
	unloaded map[string]bool
}

// heldVersion is the state of a version or adapter on the backend server.
type heldVersion struct {
	// want is the assignment for which the version is held.
	want  placement.Assignment
	state fuchsiarouter.VersionState
	// reason says why the state is VersionFailed.
	reason string
	// inProgress is the number of requests that use the version.
	inProgress int
	// readyAt is when the version last became ready.
	readyAt time.Time
	// isWanted is set while the placement assigns the version to this agent, and
	// unwantedSince is when it last ceased to do so.
	isWanted      bool
	unwantedSince time.Time
	// isRetired is set when the version takes no more requests and is unloaded after
	// its last one. It is reset if the version is wanted again before that.
	isRetired bool
	// isUnloading is set while the engine is ordered to unload the version, which is not
	// held any more after that.
	isUnloading bool
	// isOrdered is set once the engine was ordered to load the version.
	isOrdered bool
	// cancelLoad ends the goroutine that fetches and loads the version, and loadEnded is
	// closed when it has ended.
	cancelLoad context.CancelFunc
	loadEnded  chan struct{}
}

// newVersionManager returns a manager that holds no versions. The caller sets mayLoad
// and onChange.
func newVersionManager(log *zap.Logger, engine fuchsiarouter.Engine, transfer *transfer.Transfer, store *weights.Store) *versionManager {
	return &versionManager{
		log: log, engine: engine, transfer: transfer, store: store,
		held: map[string]*heldVersion{}, unloadingLeftovers: map[string]bool{}, unloaded: map[string]bool{},
	}
}

// acquire marks a version as in use by one request until release, if the version is
// ready, and reports whether it is. For an adapter, its base must be ready too and
// is marked as well.
func (v *versionManager) acquire(model, digest string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	required := v.requiredVersions(digest)
	for _, held := range required {
		if held == nil || held.want.Model != model || held.state != fuchsiarouter.VersionReady || held.isRetired {
			return false
		}
	}
	for _, held := range required {
		held.inProgress++
	}
	return true
}

// requiredVersions returns the versions that a request for the identity uses, with nil
// for one that is not held. The caller holds the lock.
func (v *versionManager) requiredVersions(identity string) []*heldVersion {
	required := []*heldVersion{v.held[identity]}
	if base, adapter := fuchsiarouter.SplitIdentity(identity); adapter != "" {
		required = append(required, v.held[base])
	}
	return required
}

// release ends the use of a version by one request, which acquire began.
func (v *versionManager) release(digest string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, held := range v.requiredVersions(digest) {
		if held != nil {
			held.inProgress--
		}
	}
}

// reportedVersions returns the versions for the heartbeat: the held ones that are not
// retired.
func (v *versionManager) reportedVersions() []fuchsiarouter.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]fuchsiarouter.Version, 0, len(v.held))
	for digest, held := range v.held {
		if held.isRetired {
			continue
		}
		version := fuchsiarouter.Version{Model: held.want.Model, Digest: digest, State: held.state, Reason: held.reason}
		version.VerifiedChunks, version.TotalChunks = v.transfer.Progress(fuchsiarouter.ContentDigest(digest))
		list = append(list, version)
	}
	return list
}

// reloadAll handles a crash of the engine: it marks every loaded version as verified
// and starts to load it again, which takes effect when the engine is back.
func (v *versionManager) reloadAll() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, held := range v.held {
		if held.state == fuchsiarouter.VersionReady {
			held.state = fuchsiarouter.VersionVerified
			v.startLoad(held)
		}
	}
}

// reconcileStatus compares the versions in the engine's status with the held ones. A
// held version that the engine lost, on its own, by a late order or by an order of
// another agent, is loaded again. Of those that are not held, an adapter, which may be
// left from an earlier agent, and a version that this agent ordered are unloaded once
// the wanted versions are known. Versions of an earlier agent may still run requests.
func (v *versionManager) reconcileStatus(status fuchsiarouter.EngineStatus) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for identity, held := range v.held {
		if held.isRetired || held.state != fuchsiarouter.VersionReady || now.Sub(held.readyAt) < maxStatusLag {
			continue
		}
		if !isReady(status, held.want.Model, identity) {
			v.log.Warn("engine has lost a version", zap.String("model", held.want.Model), zap.String("digest", identity))
			held.state = fuchsiarouter.VersionVerified
			v.startLoad(held)
		}
	}
	if !v.isWantedKnown {
		return
	}
	for _, version := range status.Versions {
		_, adapter := fuchsiarouter.SplitIdentity(version.Digest)
		isLeftover := adapter != "" || v.unloaded[version.Digest]
		if !isLeftover || v.held[version.Digest] != nil || v.unloadingLeftovers[version.Digest] {
			continue
		}
		v.unloadingLeftovers[version.Digest] = true
		go v.unloadLeftover(version.Model, version.Digest)
	}
}

// unloadLeftover orders the engine to unload a version that is not held. The version
// stays in unloadingLeftovers for maxStatusLag after that, so that the order is not
// repeated before the engine's status shows the outcome.
func (v *versionManager) unloadLeftover(model, identity string) {
	if err := v.engine.Unload(context.Background(), model, identity, 0); err != nil {
		v.log.Warn("unload failed", zap.String("digest", identity), zap.Error(err))
	}
	time.Sleep(maxStatusLag)
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.unloadingLeftovers, identity)
}

// setWanted starts to load the wanted versions that are not held, and retires the held
// ones that are no longer wanted, as soon as retireIfUnneeded allows it. It is called
// about once a second.
func (v *versionManager) setWanted(wants []placement.Assignment) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	v.isWantedKnown = true
	wanted := map[string]placement.Assignment{}
	for _, want := range wants {
		wanted[want.Digest] = want
		if known := v.held[want.Digest]; known != nil {
			v.wantAgain(known)
			continue
		}
		held := &heldVersion{want: want, state: fuchsiarouter.VersionFetching, isWanted: true}
		v.held[want.Digest] = held
		delete(v.unloaded, want.Digest)
		v.startLoad(held)
	}
	for digest, held := range v.held {
		if _, ok := wanted[digest]; ok {
			continue
		}
		if held.isWanted {
			held.isWanted, held.unwantedSince = false, now
		}
		v.retireIfUnneeded(held, wants, now)
	}
}

// wantAgain marks a held version as wanted, and loads it if its load was cancelled. A version
// that the engine is unloading is loaded once it is not held any more. The caller holds the lock.
func (v *versionManager) wantAgain(held *heldVersion) {
	if held.isUnloading {
		return
	}
	isCancelled := held.isRetired && held.state != fuchsiarouter.VersionReady
	held.isWanted, held.isRetired = true, false
	if isCancelled {
		v.startLoad(held)
	}
}

// retireIfUnneeded retires a version that has not been wanted for unloadDelay, if all
// wanted versions of its model are ready here, or none is wanted. A retired version
// is unloaded after its last request. The caller holds the lock.
func (v *versionManager) retireIfUnneeded(old *heldVersion, wants []placement.Assignment, now time.Time) {
	if old.isRetired || now.Sub(old.unwantedSince) < unloadDelay {
		return
	}
	for _, want := range wants {
		if want.Model != old.want.Model {
			continue
		}
		if next := v.held[want.Digest]; next == nil || next.state != fuchsiarouter.VersionReady {
			return
		}
	}
	old.isRetired = true
	if old.cancelLoad != nil {
		old.cancelLoad()
	}
	go v.unload(old)
}

// unload waits for the last request of a retired version and for the end of its load,
// orders the engine to unload the version, also if the load was not confirmed, and forgets
// its chunks. It does nothing if the version is wanted again before that.
func (v *versionManager) unload(old *heldVersion) {
	digest := old.want.Digest
	for v.isRetiredInUse(old) {
		time.Sleep(drainPollInterval)
	}
	v.mu.Lock()
	loadEnded := old.loadEnded
	v.mu.Unlock()
	<-loadEnded
	v.mu.Lock()
	old.isUnloading = old.isRetired
	isWantedAgain, isOrdered := !old.isRetired, old.isOrdered
	v.mu.Unlock()
	if isWantedAgain {
		return
	}
	if isOrdered {
		if err := v.engine.Unload(context.Background(), old.want.Model, digest, 0); err != nil {
			v.log.Warn("unload failed", zap.String("digest", digest), zap.Error(err))
		}
	}
	v.transfer.Forget(fuchsiarouter.ContentDigest(digest))
	v.mu.Lock()
	delete(v.held, digest)
	v.unloaded[digest] = isOrdered
	v.mu.Unlock()
	v.log.Info("version unloaded", zap.String("model", old.want.Model), zap.String("digest", digest))
}

// isRetiredInUse reports whether the version is still retired and a request uses it.
func (v *versionManager) isRetiredInUse(held *heldVersion) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return held.inProgress > 0 && held.isRetired
}

// startLoad fetches and loads a version in the background, and tries again after a
// failure. It cancels an earlier load of the version and waits for its end, so that the
// orders of the two do not mix. The caller holds the lock.
func (v *versionManager) startLoad(held *heldVersion) {
	earlierEnded := held.loadEnded
	if held.cancelLoad != nil {
		held.cancelLoad()
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	held.cancelLoad, held.loadEnded = cancel, ended
	go func() {
		defer close(ended)
		if earlierEnded != nil {
			<-earlierEnded
		}
		for ctx.Err() == nil {
			err := v.fetchAndLoad(ctx, held)
			if err == nil || ctx.Err() != nil {
				return
			}
			v.setFailed(held, err)
			select {
			case <-ctx.Done():
			case <-time.After(loadRetryDelay):
			}
		}
	}()
}

// fetchAndLoad fetches and verifies a version, waits until it may be loaded, and orders
// the engine to load it. The version is ready only if the engine reports its digest.
func (v *versionManager) fetchAndLoad(ctx context.Context, held *heldVersion) error {
	want, content := held.want, fuchsiarouter.ContentDigest(held.want.Digest)
	err := v.transfer.Fetch(ctx, transfer.Target{Model: want.Model, Path: want.Path, Digest: content, Urgent: want.Urgent})
	if err != nil {
		return errors.Wrap(err, "fetch")
	}
	v.setState(held, fuchsiarouter.VersionVerified, "")
	for !v.mayLoad(want) || !v.isBaseReady(want) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(loadPollInterval):
		}
	}
	manifest, encoded, ok := v.transfer.Manifest(content)
	if !ok {
		return errors.New("the manifest is gone")
	}
	v.mu.Lock()
	held.isOrdered = true
	v.mu.Unlock()
	digest, err := v.engine.Load(ctx, fuchsiarouter.LoadOrder{
		Model:      want.Model,
		Digest:     want.Digest,
		Manifest:   encoded,
		ChunkCount: len(manifest.Chunks),
		ReadChunk: func(_ context.Context, index int) ([]byte, error) {
			chunk, ok := v.store.Get(manifest.Chunks[index])
			if !ok {
				return nil, errors.Errorf("chunk %d is gone", index)
			}
			return chunk, nil
		},
	})
	if err != nil {
		return errors.Wrap(err, "load")
	}
	if digest != want.Digest {
		return errors.Wrap(errDigestMismatch, fmt.Sprintf("got %s", digest))
	}
	v.setState(held, fuchsiarouter.VersionReady, "")
	v.log.Info("version ready", zap.String("model", want.Model), zap.String("digest", want.Digest))
	return nil
}

// isBaseReady reports whether the base of an adapter is ready. It is true for a version
// that is not an adapter.
func (v *versionManager) isBaseReady(want placement.Assignment) bool {
	base, adapter := fuchsiarouter.SplitIdentity(want.Digest)
	if adapter == "" {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	held := v.held[base]
	return held != nil && held.state == fuchsiarouter.VersionReady
}

// setState sets the state of a version and calls onChange. reason is empty unless the
// state is VersionFailed.
func (v *versionManager) setState(held *heldVersion, state fuchsiarouter.VersionState, reason string) {
	v.mu.Lock()
	held.state, held.reason = state, reason
	if state == fuchsiarouter.VersionReady {
		held.readyAt = time.Now()
	}
	v.mu.Unlock()
	v.onChange()
}

// setFailed logs the error and sets the state of a version to VersionFailed.
func (v *versionManager) setFailed(held *heldVersion, err error) {
	v.log.Error("version failed", zap.String("model", held.want.Model), zap.String("digest", held.want.Digest), zap.Error(err))
	v.setState(held, fuchsiarouter.VersionFailed, err.Error())
}
