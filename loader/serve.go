package loader

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

const (
	offerPath    = "/offer"
	piecePath    = "/piece"
	manifestPath = "/manifest"
	// pieceWait bounds how long a loader waits for a piece that another one is fetching.
	pieceWait = 500 * time.Millisecond
	// pieceTimeout bounds an answer beyond that wait. A piece takes 27 ms on an agent's
	// link, 220 ms on one that is squeezed, and ten loaders of a zone ask at once.
	pieceTimeout = 800 * time.Millisecond
	// linkShare is the part of the link that pieces may use. Events of the engine share
	// the link and may be late by 120 ms at most.
	linkShare = 0.92
	// pieceHeader is the length of the number of an offered piece.
	pieceHeader = 4
	// wantedLimit bounds the pieces that a request names.
	wantedLimit = 4096
)

// pacer spreads what is sent over time, one piece at a time.
type pacer struct {
	mu sync.Mutex
	// rate is in bytes a second.
	rate float64
	free time.Time
}

// wait returns when so many bytes may be sent. An idle link may be filled.
func (p *pacer) wait(size int, idle bool) {
	p.mu.Lock()
	now := time.Now()
	at := p.free
	if at.Before(now) {
		at = now
	}
	rate := p.rate
	if idle {
		rate /= linkShare
	}
	p.free = at.Add(time.Duration(float64(size) / rate * float64(time.Second)))
	p.mu.Unlock()
	time.Sleep(at.Sub(now))
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
		case offerPath:
			l.serveOffer(ctx, model, version, parseWanted(string(query.Peek("wanted"))))
		case piecePath:
			l.servePiece(ctx, model, version, query.GetUintOrZero("piece"))
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

func (l *Loader) serveManifest(ctx *fasthttp.RequestCtx, model string, version int) {
	known := l.shelf(model, version)
	for end := time.Now().Add(pieceWait); known == nil && time.Now().Before(end); {
		time.Sleep(shelfLook / 4)
		known = l.shelf(model, version)
	}
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

// serveOffer answers with one of the wanted pieces that may be fetched now, with no
// content when none came in time but others did, or that it is not found.
func (l *Loader) serveOffer(ctx *fasthttp.RequestCtx, model string, version int, wanted []int) {
	piece, content := l.offer(model, version, wanted)
	if piece < 0 {
		status := fasthttp.StatusNotFound
		if known := l.shelf(model, version); known != nil && known.isFilling() {
			status = fasthttp.StatusNoContent
		}
		ctx.SetStatusCode(status)
		return
	}
	l.pacer.wait(len(content), l.held(model) == 0)
	ctx.SetBody(binary.BigEndian.AppendUint32(nil, uint32(piece)))
}

// servePiece answers with a piece that was offered.
func (l *Loader) servePiece(ctx *fasthttp.RequestCtx, model string, version, piece int) {
	content := l.content(model, version, piece)
	if content == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	l.counters.served.Inc(1)
	ctx.Response.SetBodyRaw(content)
}

// content returns a piece, verified where the digests are known. What the engine has
// staged is read back.
func (l *Loader) content(model string, version, piece int) []byte {
	known := l.shelf(model, version)
	if known != nil {
		if content := known.get(piece); content != nil {
			return content
		}
	}
	if l.held(model) != version {
		return nil
	}
	content, err := l.engine.Staged(model, piece)
	if err != nil || known != nil && !known.verify(piece, content) {
		return nil
	}
	return content
}

// offer returns one of the wanted pieces, and waits for one that is on its way.
func (l *Loader) offer(model string, version int, wanted []int) (int, []byte) {
	end := time.Now().Add(pieceWait)
	known := l.shelf(model, version)
	for known == nil && l.held(model) != version && time.Now().Before(end) {
		// The version may just have been declared.
		time.Sleep(shelfLook)
		known = l.shelf(model, version)
	}
	const looked = 3
	for _, piece := range wanted[:min(len(wanted), looked)] {
		if content := l.content(model, version, piece); content != nil {
			return piece, content
		}
	}
	if known == nil {
		return -1, nil
	}
	return known.await(wanted, time.Until(end))
}

// shelfLook is the time between two looks for a version that is not known yet.
const shelfLook = 40 * time.Millisecond

func parseWanted(list string) []int {
	var wanted []int
	for text := range strings.SplitSeq(list, ",") {
		if piece, err := strconv.Atoi(text); err == nil && len(wanted) < wantedLimit {
			wanted = append(wanted, piece)
		}
	}
	return wanted
}

// Numbers in place of a piece: the other loader has none of them yet, and gets others or
// gets none.
const (
	pieceLater = -1
	pieceNone  = -2
)

// ask asks another loader for one of the pieces.
func (l *Loader) ask(address, model string, version int, wanted []int) (int, []byte, error) {
	var list strings.Builder
	for i, piece := range wanted {
		if i > 0 {
			list.WriteByte(',')
		}
		list.WriteString(strconv.Itoa(piece))
	}
	status, body, err := l.get(address, offerPath, model, version, "&wanted="+list.String())
	switch {
	case err != nil:
		return 0, nil, err
	case status == fasthttp.StatusNoContent:
		return pieceLater, nil, nil
	case status == fasthttp.StatusNotFound:
		return pieceNone, nil, nil
	case status != fasthttp.StatusOK || len(body) != pieceHeader:
		return 0, nil, errors.Errorf("offer: status %d, %d bytes", status, len(body))
	}
	piece := int(binary.BigEndian.Uint32(body))
	began := l.gate.enter()
	defer l.gate.leave(began)
	status, body, err = l.get(address, piecePath, model, version, "&piece="+strconv.Itoa(piece))
	if err == nil && status != fasthttp.StatusOK {
		err = errors.Errorf("piece: status %d", status)
	}
	return piece, body, err
}

func (l *Loader) get(address, path, model string, version int, query string) (int, []byte, error) {
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
