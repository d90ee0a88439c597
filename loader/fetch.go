package loader

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/supply"
	"github.com/fuchsiarouter/fuchsiarouter/tcp"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
	"github.com/fuchsiarouter/fuchsiarouter/world"
)

const (
	// fetchers is the number of pieces asked for at once, so that the link is not idle
	// while one is on its way.
	fetchers = 4
	// pieceTimeout bounds a piece beyond the wait for it. A piece takes 27 ms on an
	// agent's link, and several loaders ask at once.
	pieceTimeout = 1200 * time.Millisecond
	// roundPause is the pause after a round in which some piece had no source.
	roundPause = 100 * time.Millisecond

	piecePath    = "/piece"
	manifestPath = "/manifest"
)

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

// open returns the shelf of a version; its manifest comes from another loader or
// from the origin.
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

func (l *Loader) findManifest(view *world.View, model string, version int) (fuchsiarouter.PieceManifest, error) {
	for _, source := range l.sources(view, model, version, 0) {
		if source.Origin {
			continue
		}
		body, err := l.ask(source.Address, manifestPath, model, version, 0, 0)
		if err != nil {
			continue
		}
		var manifest fuchsiarouter.PieceManifest
		if json.Unmarshal(body, &manifest) == nil && manifest.Version == version && manifest.Model == model {
			return manifest, nil
		}
	}
	origin := view.Configuration.Origin()
	if origin == nil {
		return fuchsiarouter.PieceManifest{}, errors.New("no source has the manifest")
	}
	return l.origin.Manifest(origin.Origin, model, version)
}

// sources returns where a piece of a version is asked for.
func (l *Loader) sources(view *world.View, model string, version, piece int) []supply.Source {
	var suppliers []supply.Supplier
	self := supply.Supplier{ID: l.settings.IP, AvailabilityZone: l.settings.AvailabilityZone}
	for _, server := range view.Servers {
		if server.Service != l.settings.Service || server.Draining {
			continue
		}
		host, _, err := net.SplitHostPort(server.Address)
		if err != nil || host == l.settings.IP {
			continue
		}
		suppliers = append(suppliers, supply.Supplier{
			ID: host, Address: l.peerAddress(server.Address), AvailabilityZone: server.AvailabilityZone,
			Complete: server.Versions[model] == version,
		})
	}
	suppliers = append(suppliers, self)
	zone := ""
	if origin := view.Configuration.Origin(); origin != nil {
		zone = origin.AvailabilityZone
	}
	return supply.Sources(self, strconv.Itoa(version), piece, suppliers, zone)
}

// fill fetches the missing pieces of a version and stages them.
func (l *Loader) fill(model string, version int, shelf *shelf) error {
	l.reuse(model, shelf)
	mismatches := 0
	for round := 0; ; round++ {
		missing := shelf.left()
		if len(missing) == 0 {
			return nil
		}
		if l.overtaken(model, version) {
			return errOvertaken
		}
		bad, err := l.fetchAll(model, version, shelf, missing)
		if errors.Is(err, errOvertaken) {
			return err
		}
		if mismatches += bad; mismatches > 2*len(shelf.manifest.Digests) {
			l.forget(model, version)
			return errors.New("too many pieces do not match the manifest, it is read anew")
		}
		if err != nil {
			l.log.Info("pieces missing", zap.Int("version", version), zap.Int("missing", len(shelf.left())),
				zap.Int("round", round), zap.Error(err))
			time.Sleep(roundPause)
		}
		select {
		case <-l.stop:
			return errors.New("stopped")
		default:
		}
	}
}

// fetchAll asks for the missing pieces once, several at a time. It begins at another
// piece on each machine, so that the pieces are spread when all begin together.
func (l *Loader) fetchAll(model string, version int, shelf *shelf, missing []int) (int, error) {
	start := 0
	for i, piece := range missing {
		sources := l.sources(l.mirror.View(), model, version, piece)
		if len(sources) > 0 && sources[0].Origin {
			start = i
			break
		}
	}
	var mu sync.Mutex
	next, bad := 0, 0
	var group errgroup.Group
	for range fetchers {
		group.Go(func() error {
			var last error
			for {
				mu.Lock()
				if next >= len(missing) {
					mu.Unlock()
					return last
				}
				piece := missing[(start+next)%len(missing)]
				next++
				mu.Unlock()
				if l.overtaken(model, version) {
					return errOvertaken
				}
				mismatches, err := l.fetch(model, version, piece, shelf)
				mu.Lock()
				bad += mismatches
				mu.Unlock()
				if err != nil {
					last = err
				}
			}
		})
	}
	err := group.Wait()
	return bad, err
}

// fetch asks the sources of a piece in order until one gives it.
func (l *Loader) fetch(model string, version, piece int, shelf *shelf) (int, error) {
	bad := 0
	view := l.mirror.View()
	var last error
	for _, source := range l.sources(view, model, version, piece) {
		content, err := l.take(view, source, model, version, piece)
		if err != nil {
			last = err
			continue
		}
		if !shelf.verify(piece, content) {
			bad++
			l.counters.bad.Inc(1)
			last = errors.Errorf("piece %d of %q does not match its digest", piece, source.ID)
			l.log.Warn("bad piece", zap.Int("piece", piece), zap.Int("version", version), zap.String("source", source.ID),
				zap.Bool("origin", source.Origin), zap.Int("bytes", len(content)))
			continue
		}
		l.counters.fetched.Inc(1)
		if shelf.put(piece, content) {
			return bad, l.engine.Stage(model, piece, content)
		}
		return bad, nil
	}
	return bad, last
}

func (l *Loader) take(view *world.View, source supply.Source, model string, version, piece int) ([]byte, error) {
	if !source.Origin {
		wait := pieceWait
		if source.Complete {
			wait = 0
		}
		return l.ask(source.Address, piecePath, model, version, piece, wait)
	}
	origin := view.Configuration.Origin()
	if origin == nil {
		return nil, errors.New("no origin")
	}
	l.counters.drawn.Inc(1)
	return l.origin.Piece(origin.Origin, model, version, piece)
}

// ask asks another loader.
func (l *Loader) ask(address, path, model string, version, piece int, wait time.Duration) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path + "?model=" + url.QueryEscape(model) + "&version=" + strconv.Itoa(version) +
		"&piece=" + strconv.Itoa(piece) + "&wait-ms=" + strconv.FormatInt(wait.Milliseconds(), 10))
	request.SetTimeout(wait + pieceTimeout)
	if err := l.peerHTTP.Do(request, response); err != nil {
		return nil, errors.Wrap(err, "peer")
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Errorf("peer: status %d", response.StatusCode())
	}
	return bytes.Clone(response.Body()), nil
}

// reuse takes what is staged from before a crash.
func (l *Loader) reuse(model string, shelf *shelf) {
	held, err := l.engine.Held(model)
	if err != nil {
		l.log.Info("staged pieces not read", zap.Error(err))
		return
	}
	for _, piece := range held {
		if shelf.get(piece, 0) != nil {
			continue
		}
		if content, err := l.engine.Staged(model, piece); err == nil && shelf.verify(piece, content) {
			shelf.put(piece, content)
		}
	}
}

// offer makes the pieces of the version that the engine holds available to others:
// they are read back when they are asked for.
func (l *Loader) offer(view *world.View, model string, version int) {
	if l.shelf(model, version) != nil || !l.wanted(view, model, version) {
		return
	}
	origin := view.Configuration.Origin()
	if origin == nil {
		return
	}
	manifest, err := l.origin.Manifest(origin.Origin, model, version)
	if err != nil {
		l.log.Info("manifest not read", zap.Int("version", version), zap.Error(err))
		return
	}
	l.keep(manifest)
}

// wanted tells whether some engine of the service lacks the version.
func (l *Loader) wanted(view *world.View, model string, version int) bool {
	for _, server := range view.Servers {
		if server.Service == l.settings.Service && server.Versions[model] < version {
			return true
		}
	}
	return false
}

// handler serves pieces and manifests to other loaders, and the metrics page.
func (l *Loader) handler(metrics telemetry.Metrics) fasthttp.RequestHandler {
	page := fasthttpadaptor.NewFastHTTPHandler(http.HandlerFunc(metrics.Handler.ServeHTTP))
	return func(ctx *fasthttp.RequestCtx) {
		query := ctx.QueryArgs()
		model, version := string(query.Peek("model")), query.GetUintOrZero("version")
		switch string(ctx.Path()) {
		case "/metrics":
			page(ctx)
		case manifestPath:
			l.serveManifest(ctx, model, version)
		case piecePath:
			piece := query.GetUintOrZero("piece")
			wait := time.Duration(query.GetUintOrZero("wait-ms")) * time.Millisecond
			content := l.piece(model, version, piece, min(wait, pieceWait))
			if content == nil {
				ctx.SetStatusCode(fasthttp.StatusNotFound)
				return
			}
			l.counters.served.Inc(1)
			ctx.Response.SetBodyRaw(content)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

func (l *Loader) serveManifest(ctx *fasthttp.RequestCtx, model string, version int) {
	known := l.shelf(model, version)
	if known == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	body, err := json.Marshal(known.manifest)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

// piece returns a verified piece for another loader. What the engine has staged is
// read back and verified first.
func (l *Loader) piece(model string, version, piece int, wait time.Duration) []byte {
	known := l.shelf(model, version)
	if known == nil {
		// The version may just have been declared, or be the one that the engine held
		// from the start, whose digests only the reader has.
		if wait > 0 {
			return l.awaitPiece(model, version, piece, wait)
		}
		content, err := l.engine.Staged(model, piece)
		if err != nil {
			return nil
		}
		return content
	}
	if content := known.get(piece, 0); content != nil {
		return content
	}
	if content, err := l.engine.Staged(model, piece); err == nil && known.verify(piece, content) {
		known.put(piece, content)
		return content
	}
	return known.get(piece, wait)
}

// awaitPiece waits for a version that this loader does not know yet.
func (l *Loader) awaitPiece(model string, version, piece int, wait time.Duration) []byte {
	const look = 50 * time.Millisecond
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(look) {
		if known := l.shelf(model, version); known != nil {
			return known.get(piece, time.Until(end))
		}
	}
	return nil
}
