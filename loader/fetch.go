package loader

import (
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/supply"
	"github.com/fuchsiarouter/fuchsiarouter/syntax"
	"github.com/fuchsiarouter/fuchsiarouter/tcp"
)

// originRetryDelay is the pause between a failed download of a piece from the origin and
// the next attempt.
const originRetryDelay = 100 * time.Millisecond

// maxManifestAttempts is the maximum number of sources from which one call of
// fetchManifest requests the manifest.
const maxManifestAttempts = 4

// counters are the metrics of a loader, counted in pieces.
type counters struct {
	// fetched counts the verified pieces from other loaders and the origin, corrupt the
	// received ones that failed verification.
	fetched tally.Counter
	// fromOrigin counts the requests for pieces to the origin, including failed ones.
	fromOrigin tally.Counter
	corrupt    tally.Counter
	// stagedReplaced counts the staged pieces that were corrupt or unreadable right before
	// a load order.
	stagedReplaced tally.Counter
	// unanswered counts the calls that change the engine and got no answer, by kind of call.
	unansweredStages tally.Counter
	unansweredOrders tally.Counter
	// unknownOrders counts the orders that the engine has accepted without an answer to this
	// loader.
	unknownOrders tally.Counter
	// stagedReadAge is the time from the first read of the staged pieces to the engine's answer to
	// the load order.
	stagedReadAge tally.Histogram
	// served counts the pieces sent to other loaders.
	served tally.Counter
}

func newCounters(scope tally.Scope) counters {
	return counters{
		fetched: scope.Counter("pieces_fetched"), fromOrigin: scope.Counter("pieces_from_origin"),
		corrupt: scope.Counter("pieces_bad"), stagedReplaced: scope.Counter("staged_pieces_replaced"),
		served:           scope.Counter("pieces_served"),
		unansweredStages: scope.Tagged(map[string]string{"call": callStage}).Counter("engine_calls_unanswered"),
		unansweredOrders: scope.Tagged(map[string]string{"call": callOrder}).Counter("engine_calls_unanswered"),
		unknownOrders:    scope.Counter("orders_without_answer"),
		stagedReadAge:    scope.Histogram("staged_read_age_seconds", stagedReadAgeBuckets),
	}
}

// maxPeerResponseBytes bounds a response of another loader, which is a piece at most.
const maxPeerResponseBytes = 16 << 20

// newPeerHTTP returns the client for requests to other loaders. It does not retry: a failed
// source is excluded for a while and its pieces are reassigned.
func newPeerHTTP() *fasthttp.Client {
	return &fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			conn, err := tcp.Dial(address, pieceTimeout)
			if err != nil {
				return nil, err
			}
			return syntax.NewConn(conn), nil
		},
		MaxResponseBodySize:       maxPeerResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       3 * time.Second,
		NoDefaultUserAgentHeader:  true,
	}
}

// cacheKey returns the key of a model version in Loader.caches.
func cacheKey(model string, version int) string { return model + "@" + strconv.Itoa(version) }

// cache returns the piece cache of a version, or nil if there is none.
func (l *Loader) cache(model string, version int) *pieceCache {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.caches[cacheKey(model, version)]
}

// openCache returns the piece cache of a version. If there is none yet, it fetches the
// manifest from another loader or from the origin and adds an empty cache. engine is the
// configuration of the engine: if it sets the number of pieces of a version and the manifest
// lists another number, openCache returns an error.
func (l *Loader) openCache(view *catalog.View, model string, version int, engine *catalog.Engine) (*pieceCache, error) {
	if cached := l.cache(model, version); cached != nil {
		return cached, nil
	}
	manifest, err := l.fetchManifest(view, model, version)
	if err != nil {
		return nil, err
	}
	if engine.Pieces > 0 && len(manifest.Digests) != engine.Pieces {
		return nil, errors.Errorf("manifest lists %d pieces, the configuration expects %d", len(manifest.Digests), engine.Pieces)
	}
	return l.addCache(manifest), nil
}

// addCache adds a piece cache for a manifest, unless there is one, and drops the caches of
// the same model that are cachedVersions or more older.
func (l *Loader) addCache(manifest fuchsiarouter.PieceManifest) *pieceCache {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := cacheKey(manifest.Model, manifest.Version)
	if cached := l.caches[key]; cached != nil {
		return cached
	}
	cache := newPieceCache(manifest)
	l.caches[key] = cache
	for key, old := range l.caches {
		if old.manifest.Model == manifest.Model && old.manifest.Version <= manifest.Version-cachedVersions {
			delete(l.caches, key)
		}
	}
	return cache
}

// dropCache drops a piece cache whose manifest may be corrupt.
func (l *Loader) dropCache(model string, version int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.caches, cacheKey(model, version))
}

// fetchManifest fetches the manifest from the source of the first piece, so that only the
// loader that downloads that piece from the origin asks the origin for the manifest, and
// those whose source returns none although its engine has loaded the version. If every
// loader asked the origin after a restart of all loaders, sending the manifests would take
// the origin as long as sending a third of the pieces.
func (l *Loader) fetchManifest(view *catalog.View, model string, version int) (fuchsiarouter.PieceManifest, error) {
	failed := map[string]bool{}
	for range maxManifestAttempts {
		plan, addresses, complete := l.sourcePlan(view, model, version, func(id string) bool { return failed[id] })
		source := plan.Source(0)
		if source == supply.Origin {
			return l.manifestFromOrigin(view, model, version)
		}
		status, body, err := l.getFromPeer(addresses[source], manifestPath, model, version, "")
		var manifest fuchsiarouter.PieceManifest
		if err == nil && status == fasthttp.StatusOK && json.Unmarshal(body, &manifest) == nil &&
			manifest.Version == version && manifest.Model == model {
			return manifest, nil
		}
		if complete[source] {
			// The source's engine may have held the version from the start. Its loader
			// then never fetched the version and has no manifest.
			if !l.isBehind(model, version) {
				// This engine may hold the version as well. If the loaders of all engines
				// asked the origin when they start, they would exceed its connections.
				return fuchsiarouter.PieceManifest{}, errors.New("no loader has the manifest, and the engine may hold the version")
			}
			return l.manifestFromOrigin(view, model, version)
		}
		failed[source] = true
	}
	return fuchsiarouter.PieceManifest{}, errors.New("no source has the manifest yet")
}

// manifestFromOrigin fetches a manifest from the origin.
func (l *Loader) manifestFromOrigin(view *catalog.View, model string, version int) (fuchsiarouter.PieceManifest, error) {
	origin := view.Configuration.Origin()
	if origin == nil {
		return fuchsiarouter.PieceManifest{}, errors.New("no origin is configured")
	}
	return l.origin.Manifest(origin.OriginAddress, model, version)
}

// restoreStaged adds to the cache the pieces of the version that are still staged, for
// example after an engine crash. It ignores those that fail verification, which may
// belong to another version.
func (l *Loader) restoreStaged(model string, cache *pieceCache) {
	held, err := l.engine.StagedPieces(model)
	if err != nil {
		l.log.Info("staged pieces not read", zap.String("cause", err.Error()))
		return
	}
	for _, piece := range held {
		if cache.get(piece) != nil {
			continue
		}
		if content, err := l.engine.ReadStagedPiece(model, piece); err == nil && cache.verify(piece, content) {
			cache.put(piece, content)
		}
	}
}
