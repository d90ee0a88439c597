package loader

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

const (
	// Paths of the requests between loaders. An offer request lists wanted pieces, and those of
	// them that the requesting loader passes on to others of its availability zone, and returns
	// the index of one that may be fetched now from piecePath.
	offerPath    = "/offer"
	piecePath    = "/piece"
	manifestPath = "/manifest"
	// pieceWait is the maximum time that the response to an offer or manifest request is
	// delayed while the serving loader lacks the wanted pieces or the manifest, which it may
	// be fetching.
	pieceWait = 500 * time.Millisecond
	// maxOfferDelay is the maximum time from an offer request to its response, when the link
	// is used for other pieces meanwhile. It is below the timeout of the request.
	maxOfferDelay = time.Second
	// pieceTimeout is the time allowed for a response in addition to pieceWait, and the
	// timeout of opening a connection to another loader. Sending a piece takes 27 ms on a
	// loader's link and 220 ms on a congested one, and ten loaders of an availability zone
	// send requests at once.
	pieceTimeout = 800 * time.Millisecond
	// maxLinkShare is the fraction of the link that served pieces may use. The engine's
	// response events share the link and may be delayed by at most 120 ms.
	maxLinkShare = 0.92
	// pieceIndexBytes is the length of the response to an offer request: the index of the
	// offered piece as a big-endian integer.
	pieceIndexBytes = 4
	// maxWantedPieces is the number of wanted pieces that are read from an offer request;
	// more are ignored.
	maxWantedPieces = 4096
)

// handler returns the handler of the piece server, which serves pieces and manifests to
// other loaders, and the metrics.
func (l *Loader) handler(metrics telemetry.Metrics) fasthttp.RequestHandler {
	metricsPage := fasthttpadaptor.NewFastHTTPHandler(http.HandlerFunc(metrics.Handler.ServeHTTP))
	return func(ctx *fasthttp.RequestCtx) {
		query := ctx.QueryArgs()
		model, version := string(query.Peek("model")), query.GetUintOrZero("version")
		switch string(ctx.Path()) {
		case "/metrics":
			metricsPage(ctx)
		case manifestPath:
			l.serveManifest(ctx, model, version)
		case offerPath:
			l.serveOffer(ctx, model, version, parsePieces(string(query.Peek("wanted"))), parsePieces(string(query.Peek("passed-on"))))
		case piecePath:
			l.servePiece(ctx, model, version, query.GetUintOrZero("piece"))
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

// serveManifest responds with a manifest. If this loader may still be fetching the
// manifest, it waits up to pieceWait for it.
func (l *Loader) serveManifest(ctx *fasthttp.RequestCtx, model string, version int) {
	cache := l.cache(model, version)
	for deadline := time.Now().Add(pieceWait); cache == nil && time.Now().Before(deadline); {
		time.Sleep(cachePollInterval / 4)
		cache = l.cache(model, version)
	}
	if cache == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	body, err := json.Marshal(cache.manifest)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

// serveOffer responds with the index of a wanted piece that the requesting loader may fetch
// now. If none becomes available within pieceWait, it responds with 204 No Content while
// this loader is still receiving pieces, and with 404 Not Found otherwise. It also responds
// with 204, after pieceWait, if the link is in use for longer than maxOfferDelay. Pieces that
// are passed on and those for other availability zones don't wait for the link: behind the other
// pieces, half of them waited for 0.6 s or more, and many loaders for each of them.
func (l *Loader) serveOffer(ctx *fasthttp.RequestCtx, model string, version int, wanted, passedOn []int) {
	arrived := time.Now()
	piece, content := l.waitForPiece(model, version, wanted)
	if piece < 0 {
		status := fasthttp.StatusNotFound
		if cache := l.cache(model, version); cache != nil && cache.receivedRecently() {
			status = fasthttp.StatusNoContent
		}
		ctx.SetStatusCode(status)
		return
	}
	idle, first := l.heldVersion(model) == 0, slices.Contains(passedOn, piece) || l.isInOtherZone(ctx.RemoteIP().String())
	l.mu.Lock()
	sendAt, ok := l.pacer.Reserve(time.Now(), arrived.Add(maxOfferDelay), len(content), idle, first)
	l.mu.Unlock()
	if !ok {
		time.Sleep(time.Until(arrived.Add(pieceWait)))
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	time.Sleep(time.Until(sendAt))
	ctx.SetBody(binary.BigEndian.AppendUint32(nil, uint32(piece)))
}

// isInOtherZone reports whether the loader with the IP address is known to be in another
// availability zone.
func (l *Loader) isInOtherZone(ip string) bool {
	for _, server := range l.mirror.View().Servers {
		if host, _, err := net.SplitHostPort(server.Address); err == nil && host == ip {
			return server.AvailabilityZone != l.settings.AvailabilityZone
		}
	}
	return false
}

// servePiece responds with the content of a piece.
func (l *Loader) servePiece(ctx *fasthttp.RequestCtx, model string, version, piece int) {
	content := l.pieceContent(model, version, piece)
	if content == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	l.counters.served.Inc(1)
	ctx.Response.SetBodyRaw(content)
}

// pieceContent returns a piece from the cache, or else from the engine's staging area if
// the engine holds the version. It verifies a staged piece if the manifest is known. It
// returns nil if neither has a valid piece.
func (l *Loader) pieceContent(model string, version, piece int) []byte {
	cache := l.cache(model, version)
	if cache != nil {
		if content := cache.get(piece); content != nil {
			return content
		}
	}
	if l.heldVersion(model) != version {
		return nil
	}
	content, err := l.engine.ReadStagedPiece(model, piece)
	if err != nil || cache != nil && !cache.verify(piece, content) {
		return nil
	}
	return content
}

// waitForPiece returns the index and content of one of the wanted pieces. If none is available
// yet but this loader may be fetching the version, it waits up to pieceWait for one. It returns
// a negative index if none becomes available.
func (l *Loader) waitForPiece(model string, version int, wanted []int) (int, []byte) {
	deadline := time.Now().Add(pieceWait)
	cache := l.cache(model, version)
	for cache == nil && l.heldVersion(model) != version && time.Now().Before(deadline) {
		// The version may have been declared just now, with its manifest still on the way.
		time.Sleep(cachePollInterval)
		cache = l.cache(model, version)
	}
	// A piece that is not in the cache is read from the engine, so only the first few are
	// checked there.
	const maxChecked = 3
	for _, piece := range wanted[:min(len(wanted), maxChecked)] {
		if content := l.pieceContent(model, version, piece); content != nil {
			return piece, content
		}
	}
	if cache == nil {
		return -1, nil
	}
	return cache.waitForAny(wanted, time.Until(deadline))
}

// cachePollInterval is the time between two checks whether a requested version has got a
// piece cache. Requests for a manifest check four times as often.
const cachePollInterval = 40 * time.Millisecond

// parsePieces parses the comma-separated piece indexes of an offer request. It ignores
// invalid ones and those after the first maxWantedPieces.
func parsePieces(list string) []int {
	var pieces []int
	for text := range strings.SplitSeq(list, ",") {
		if piece, err := strconv.Atoi(text); err == nil && len(pieces) < maxWantedPieces {
			pieces = append(pieces, piece)
		}
	}
	return pieces
}

// formatPieces returns the form that parsePieces parses.
func formatPieces(pieces []int) string {
	var list strings.Builder
	for i, piece := range pieces {
		if i > 0 {
			list.WriteByte(',')
		}
		list.WriteString(strconv.Itoa(piece))
	}
	return list.String()
}

// Values that requestPiece returns instead of a piece index when the other loader offers
// none of the wanted pieces.
const (
	// piecePending means that the other loader is still receiving pieces.
	piecePending = -1
	// pieceUnavailable means that the other loader doesn't have the version, or has
	// received no piece of it for recentPieceWindow.
	pieceUnavailable = -2
)

// requestPiece sends an offer request for the wanted pieces to another loader and fetches
// the offered one. It returns the index and the unverified content of the piece, or
// piecePending or pieceUnavailable if the other loader offers none. passedOn are those of the
// wanted pieces that this loader passes on.
func (l *Loader) requestPiece(address, model string, version int, wanted, passedOn []int) (int, []byte, error) {
	query := "&wanted=" + formatPieces(wanted)
	if len(passedOn) > 0 {
		query += "&passed-on=" + formatPieces(passedOn)
	}
	status, body, err := l.getFromPeer(address, offerPath, model, version, query)
	switch {
	case err != nil:
		return 0, nil, err
	case status == fasthttp.StatusNoContent:
		return piecePending, nil, nil
	case status == fasthttp.StatusNotFound:
		return pieceUnavailable, nil, nil
	case status != fasthttp.StatusOK || len(body) != pieceIndexBytes:
		return 0, nil, errors.Errorf("offer: status %d, %d bytes", status, len(body))
	}
	piece := int(binary.BigEndian.Uint32(body))
	start := l.downloads.acquire()
	defer l.downloads.release(start)
	status, body, err = l.getFromPeer(address, piecePath, model, version, "&piece="+strconv.Itoa(piece))
	if err == nil && status != fasthttp.StatusOK {
		err = errors.Errorf("piece: status %d", status)
	}
	return piece, body, err
}

// getFromPeer sends a GET request to another loader and returns the status and the body of
// the response. query is empty or holds further parameters, each preceded by "&".
func (l *Loader) getFromPeer(address, path, model string, version int, query string) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path + "?model=" + url.QueryEscape(model) + "&version=" + strconv.Itoa(version) + query)
	request.SetTimeout(pieceWait + pieceTimeout)
	if err := l.peerHTTP.Do(request, response); err != nil {
		return 0, nil, errors.Wrap(err, "peer")
	}
	return response.StatusCode(), bytes.Clone(response.Body()), nil
}
