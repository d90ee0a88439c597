package loader

import (
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/telemetry"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/supply"
)

const (
	// replanInterval is the time after which the sources of missing pieces are
	// recomputed.
	replanInterval = 400 * time.Millisecond
	// failedSourceExclusion is how long a source is excluded after a failure. A frozen
	// machine stays frozen for about 8 s, and each request to it costs a second.
	failedSourceExclusion = 12 * time.Second
	// maxEmptyOffers is the number of consecutive offer requests without a piece after
	// which a source that receives no pieces itself is excluded for
	// emptySourceExclusion.
	maxEmptyOffers       = 3
	emptySourceExclusion = 1500 * time.Millisecond
	// maxOriginDownloads is the number of concurrent piece downloads of one loader from
	// the origin. Downloads in progress are wasted when a newer version is declared.
	maxOriginDownloads = 1
)

// versionFetch fetches the missing pieces of one version. Each source, which is another
// loader or the origin, has its own workers, goroutines that request the pieces assigned
// to the source. A slow source thus delays only its own pieces. Another loader has at most
// one worker at a time, the origin at most maxOriginDownloads.
type versionFetch struct {
	loader  *Loader
	model   string
	version int
	cache   *pieceCache

	mu sync.Mutex
	// inFlight counts, by piece, the workers that are fetching the piece from the origin or
	// from a complete source.
	inFlight map[int]int
	// assigned are the missing pieces by source, as of the last call of assignPieces.
	assigned map[string][]int
	// completeSources have every piece. sharedSources are those of them that may also
	// serve pieces assigned to other sources.
	completeSources map[string]bool
	sharedSources   map[string]bool
	// passedOn holds the missing pieces for which other loaders of the zone wait.
	passedOn map[int]bool
	// workers is the number of running workers by source: 0 or 1 for another loader, 0 to
	// maxOriginDownloads for the origin.
	workers map[string]int
	// excludedUntil is the time until which no piece is assigned to a source, by source.
	excludedUntil map[string]time.Time
	// corruptPieces counts the received pieces that failed verification.
	corruptPieces int
	// stopped tells the workers to end after their current request.
	stopped bool
}

// fetchPieces fetches the missing pieces of a version, after it has added those that are
// still staged at the engine, and returns nil when all are present. It returns an error when
// the version is superseded, the manifest may be corrupt, or the loader ends.
func (l *Loader) fetchPieces(model string, version int, cache *pieceCache) error {
	l.restoreStaged(model, cache)
	f := &versionFetch{
		loader: l, model: model, version: version, cache: cache, inFlight: map[int]int{},
		workers: map[string]int{}, excludedUntil: map[string]time.Time{},
	}
	defer f.stop()
	ticker := time.NewTicker(replanInterval)
	defer ticker.Stop()
	missing, progressAt := 0, time.Now()
	for {
		previous := missing
		if missing = len(cache.missingPieces()); missing == 0 {
			return nil
		}
		if missing != previous {
			progressAt = time.Now()
		}
		if l.isSuperseded(model, version) || l.isAbandoned(model, version, progressAt) {
			return errSuperseded
		}
		if f.isManifestSuspect() {
			l.dropCache(model, version)
			return errors.New("too many pieces do not match the manifest, which will be fetched again")
		}
		f.assignPieces(time.Now())
		cache.mu.Lock()
		changed := cache.changed
		cache.mu.Unlock()
		select {
		case <-l.stop:
			return errStopped
		case <-ticker.C:
		case <-changed:
		}
	}
}

// stop tells the workers to end after their current request. It does not wait for them.
func (f *versionFetch) stop() {
	f.mu.Lock()
	f.stopped = true
	f.mu.Unlock()
}

// isManifestSuspect reports whether the manifest itself may be corrupt, which is assumed when
// more received pieces failed verification than the manifest lists.
func (f *versionFetch) isManifestSuspect() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.corruptPieces > len(f.cache.manifest.Digests)
}

// assignPieces assigns the missing pieces to sources and starts the workers of these sources
// that are not running yet. It shuffles the pieces of a source, so that the loaders that fetch
// from that source request them in different orders, and puts those first that others wait for.
func (f *versionFetch) assignPieces(now time.Time) {
	view := f.loader.mirror.View()
	f.mu.Lock()
	defer f.mu.Unlock()
	plan, addresses, complete := f.loader.sourcePlan(view, f.model, f.version, func(id string) bool {
		return now.Before(f.excludedUntil[id])
	})
	f.assigned, f.sharedSources, f.passedOn = map[string][]int{}, map[string]bool{}, map[int]bool{}
	for _, piece := range f.cache.missingPieces() {
		source := plan.Source(piece)
		f.assigned[source] = append(f.assigned[source], piece)
		if plan.PassesOn(piece) {
			f.passedOn[piece] = true
		}
	}
	for source := range f.assigned {
		rand.Shuffle(len(f.assigned[source]), func(i, j int) {
			wanted := f.assigned[source]
			wanted[i], wanted[j] = wanted[j], wanted[i]
		})
		slices.SortStableFunc(f.assigned[source], func(a, b int) int { return f.passOnOrder(a) - f.passOnOrder(b) })
	}
	f.completeSources = complete
	for _, source := range slices.Sorted(maps.Keys(f.assigned)) {
		f.sharedSources[source] = plan.CanServeUnassigned(source)
		maxWorkers := 1
		if source == supply.Origin {
			maxWorkers = maxOriginDownloads
		}
		for f.workers[source] < maxWorkers {
			f.workers[source]++
			if source == supply.Origin {
				go f.fetchFromOrigin(view)
			} else {
				go f.fetchFromPeer(source, addresses[source])
			}
		}
	}
}

// passOnOrder returns 0 for a piece that this loader passes on and 1 for another one.
func (f *versionFetch) passOnOrder(piece int) int {
	if f.passedOn[piece] {
		return 0
	}
	return 1
}

// passedOnOf returns those of the pieces that this loader passes on.
func (f *versionFetch) passedOnOf(pieces []int) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(pieces), func(piece int) bool { return !f.passedOn[piece] })
}

// unrequestedPieces returns the missing pieces assigned to a source that are not in flight.
// If there are none and the source is one of sharedSources, it returns the pieces of the
// other sources that are not in flight. It returns none when the fetch has stopped.
func (f *versionFetch) unrequestedPieces(source string) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return nil
	}
	notInFlight := func(pieces []int) []int {
		var available []int
		for _, piece := range pieces {
			if f.inFlight[piece] == 0 && f.cache.get(piece) == nil {
				available = append(available, piece)
			}
		}
		return available
	}
	wanted := notInFlight(f.assigned[source])
	if len(wanted) == 0 && f.sharedSources[source] {
		for other, pieces := range f.assigned {
			if other != source {
				wanted = append(wanted, notInFlight(pieces)...)
			}
		}
	}
	return wanted
}

// adjustInFlight adds delta to the number of workers that are fetching each of the pieces.
func (f *versionFetch) adjustInFlight(pieces []int, delta int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, piece := range pieces {
		f.inFlight[piece] += delta
	}
}

// isComplete reports whether a source has every piece.
func (f *versionFetch) isComplete(source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.completeSources[source]
}

// finishWorker records the end of a source's worker. It excludes the source for the time
// exclusion, see excludedUntil; 0 means that the source stays in use.
func (f *versionFetch) finishWorker(source string, exclusion time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[source]--
	if exclusion > 0 {
		f.excludedUntil[source] = time.Now().Add(exclusion)
	}
}

// acceptPiece verifies a received piece and adds it to the cache. It returns false if the piece
// is corrupt.
func (f *versionFetch) acceptPiece(source string, piece int, content []byte) bool {
	if !f.cache.verify(piece, content) {
		f.loader.counters.corrupt.Inc(1)
		f.loader.log.Warn("bad piece", zap.Int("piece", piece), zap.Int("version", f.version),
			zap.String("source", source), zap.Int("bytes", len(content)))
		f.mu.Lock()
		f.corruptPieces++
		f.mu.Unlock()
		return false
	}
	f.loader.counters.fetched.Inc(1)
	f.cache.put(piece, content)
	return true
}

// fetchFromPeer is the worker of a source that is another loader. It ends when there is no
// piece to request, after a failed request or a second corrupt piece, or when the source
// has offered no piece maxEmptyOffers times in a row and is receiving none itself.
//
// A source that has every piece is asked for one piece, which is marked as in flight, so
// that no other worker requests the same one. Any other source is asked for all
// unrequested pieces and offers the first of them that it has or receives; none is marked,
// since it is not known which one that will be.
func (f *versionFetch) fetchFromPeer(source, address string) {
	emptyOffers, corruptPieces := 0, 0
	for {
		wanted := f.unrequestedPieces(source)
		if len(wanted) == 0 {
			f.finishWorker(source, 0)
			return
		}
		// The source may become complete during the request.
		isComplete := f.isComplete(source)
		if isComplete {
			wanted = wanted[:1]
			f.adjustInFlight(wanted, 1)
		}
		piece, content, err := f.loader.requestPiece(address, f.model, f.version, wanted, f.passedOnOf(wanted))
		if isComplete {
			f.adjustInFlight(wanted, -1)
		}
		switch {
		case err != nil:
			f.loader.log.Info("source failed", zap.String("source", source), zap.Int("version", f.version), telemetry.Cause(err))
			f.finishWorker(source, failedSourceExclusion)
			return
		case piece == piecePending:
			emptyOffers = 0
		case piece == pieceUnavailable:
			if emptyOffers++; emptyOffers >= maxEmptyOffers {
				f.loader.log.Info("source has no piece", zap.String("source", source), zap.Int("version", f.version))
				f.finishWorker(source, emptySourceExclusion)
				return
			}
		case !f.acceptPiece(source, piece, content):
			if corruptPieces++; corruptPieces > 1 {
				f.finishWorker(source, failedSourceExclusion)
				return
			}
		default:
			emptyOffers = 0
		}
	}
}

// fetchFromOrigin is the worker of the origin. It ends when there is no piece to request or
// no origin is configured. After a failed request it waits for originRetryDelay and goes
// on.
func (f *versionFetch) fetchFromOrigin(view *catalog.View) {
	for {
		wanted := f.unrequestedPieces(supply.Origin)
		origin := view.Configuration.Origin()
		if len(wanted) == 0 || origin == nil {
			f.finishWorker(supply.Origin, 0)
			return
		}
		f.adjustInFlight(wanted[:1], 1)
		f.loader.counters.fromOrigin.Inc(1)
		content, err := f.loader.origin.Piece(origin.OriginAddress, f.model, f.version, wanted[0])
		f.adjustInFlight(wanted[:1], -1)
		if err != nil {
			f.loader.log.Info("origin failed", zap.Int("version", f.version), telemetry.Cause(err))
			time.Sleep(originRetryDelay)
		} else {
			f.acceptPiece("origin", wanted[0], content)
		}
	}
}

// sourcePlan returns the plan that selects the source of each piece of a version. It also
// returns, by source id, the addresses of the other loaders and whether their engines have
// loaded the version. A source for which excluded returns true counts as failed.
func (l *Loader) sourcePlan(view *catalog.View, model string, version int, excluded func(string) bool) (*supply.Plan, map[string]string, map[string]bool) {
	addresses, complete := map[string]string{}, map[string]bool{}
	// A restarted engine may still have a stale record besides its current one, so the
	// newest record of each host is used.
	newest := map[string]*catalog.Server{}
	for _, server := range view.Servers {
		if server.Service != l.settings.Service || server.Draining {
			continue
		}
		host, _, err := net.SplitHostPort(server.Address)
		if err != nil || host == l.settings.IP {
			continue
		}
		if previous := newest[host]; previous == nil || server.Started > previous.Started {
			newest[host] = server
		}
	}
	var suppliers []supply.Supplier
	for host, server := range newest {
		isComplete := server.Versions[model] == version
		suppliers = append(suppliers, supply.Supplier{ID: host, AvailabilityZone: server.AvailabilityZone, Complete: isComplete, Failed: excluded(host)})
		addresses[host], complete[host] = l.peerAddress(server.Address), isComplete
	}
	zone := ""
	if origin := view.Configuration.Origin(); origin != nil {
		zone = origin.AvailabilityZone
	}
	self := supply.Supplier{ID: l.settings.IP, AvailabilityZone: l.settings.AvailabilityZone}
	return supply.NewPlan(self, version, suppliers, zone), addresses, complete
}
