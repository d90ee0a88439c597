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
	"github.com/fuchsiarouter/fuchsiarouter/supply"
	"github.com/fuchsiarouter/fuchsiarouter/tcp"
	"github.com/fuchsiarouter/fuchsiarouter/world"
)

// originPause is the pause after the origin has failed.
const originPause = 100 * time.Millisecond

// manifestTries is the number of sources that are asked for a manifest in a row.
const manifestTries = 4

// counters are the metrics of a loader.
type counters struct {
	fetched tally.Counter
	drawn   tally.Counter
	bad     tally.Counter
	rotten  tally.Counter
	served  tally.Counter
}

func newCounters(scope tally.Scope) counters {
	return counters{
		fetched: scope.Counter("pieces_fetched"), drawn: scope.Counter("pieces_from_origin"),
		bad: scope.Counter("pieces_bad"), rotten: scope.Counter("staged_pieces_replaced"),
		served: scope.Counter("pieces_served"),
	}
}

func newPeerHTTP() *fasthttp.Client {
	return &fasthttp.Client{
		Dial:                      func(address string) (net.Conn, error) { return tcp.Dial(address, pieceTimeout) },
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       3 * time.Second,
		NoDefaultUserAgentHeader:  true,
	}
}

// shelfKey names a version of a model.
func shelfKey(model string, version int) string { return model + "@" + strconv.Itoa(version) }

// shelf returns the pieces of a version, or nil.
func (l *Loader) shelf(model string, version int) *shelf {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.versions[shelfKey(model, version)]
}

// open returns the shelf of a version; its manifest comes from another loader or from
// the origin.
func (l *Loader) open(view *world.View, model string, version int, engine *world.Engine) (*shelf, error) {
	if known := l.shelf(model, version); known != nil {
		return known, nil
	}
	manifest, err := l.findManifest(view, model, version)
	if err != nil {
		return nil, err
	}
	if engine.Pieces > 0 && len(manifest.Digests) != engine.Pieces {
		return nil, errors.Errorf("manifest lists %d pieces, the configuration %d", len(manifest.Digests), engine.Pieces)
	}
	return l.keep(manifest), nil
}

// keep adds a shelf and drops those of the oldest versions.
func (l *Loader) keep(manifest fuchsiarouter.PieceManifest) *shelf {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := shelfKey(manifest.Model, manifest.Version)
	if known := l.versions[key]; known != nil {
		return known
	}
	made := newShelf(manifest)
	l.versions[key] = made
	for key, old := range l.versions {
		if old.manifest.Model == manifest.Model && old.manifest.Version <= manifest.Version-shelves {
			delete(l.versions, key)
		}
	}
	return made
}

// forget drops a shelf whose manifest may be damaged.
func (l *Loader) forget(model string, version int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.versions, shelfKey(model, version))
}

// findManifest takes the manifest by the way of its first piece, so that the origin
// sends it once. Only an agent whose way leads to the origin asks it: after a restart of
// all of them, manifests for each would take as long as a third of the pieces.
func (l *Loader) findManifest(view *world.View, model string, version int) (fuchsiarouter.PieceManifest, error) {
	failed := map[string]bool{}
	for range manifestTries {
		plan, addresses, complete := l.plan(view, model, version, func(id string) bool { return failed[id] })
		source := plan.Source(0)
		if source == supply.Origin {
			return l.drawManifest(view, model, version)
		}
		status, body, err := l.get(addresses[source], manifestPath, model, version, "")
		var manifest fuchsiarouter.PieceManifest
		if err == nil && status == fasthttp.StatusOK && json.Unmarshal(body, &manifest) == nil &&
			manifest.Version == version && manifest.Model == model {
			return manifest, nil
		}
		if complete[source] {
			// Engines that held the version at their start came without a manifest.
			return l.drawManifest(view, model, version)
		}
		failed[source] = true
	}
	return fuchsiarouter.PieceManifest{}, errors.New("no source has the manifest yet")
}

// drawManifest asks the origin for a manifest.
func (l *Loader) drawManifest(view *world.View, model string, version int) (fuchsiarouter.PieceManifest, error) {
	origin := view.Configuration.Origin()
	if origin == nil {
		return fuchsiarouter.PieceManifest{}, errors.New("there is no origin")
	}
	return l.origin.Manifest(origin.Origin, model, version)
}

// reuse takes what is staged from before a crash.
func (l *Loader) reuse(model string, shelf *shelf) {
	held, err := l.engine.Held(model)
	if err != nil {
		l.log.Info("staged pieces not read", zap.String("cause", err.Error()))
		return
	}
	for _, piece := range held {
		if shelf.get(piece) != nil {
			continue
		}
		if content, err := l.engine.Staged(model, piece); err == nil && shelf.verify(piece, content) {
			shelf.put(piece, content)
		}
	}
}
