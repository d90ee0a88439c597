package transfer

import (
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/fuchsiarouter/fuchsiarouter/weights"
)

// Paths and query parameters of the requests between agents.
const (
	chunkPath    = "/v1/chunks/"
	manifestPath = "/v1/manifests/"
	// waitParameter is the time in ms that the response may wait for a missing chunk;
	// with 0 the agent responds at once.
	waitParameter = "wait-ms"
	// regionParameter is the region of the requesting agent. Chunks sent to another
	// region are rate-limited.
	regionParameter = "region"
	// maxWait is the upper bound of waitParameter.
	maxWait = 10 * time.Second
)

// HandleRequest serves a request of another agent for a chunk or a manifest. For any other
// path it does nothing and returns false.
func (t *Transfer) HandleRequest(ctx *fasthttp.RequestCtx) bool {
	path := string(ctx.Path())
	chunk, isChunk := strings.CutPrefix(path, chunkPath)
	manifest, isManifest := strings.CutPrefix(path, manifestPath)
	switch {
	case !isChunk && !isManifest:
		return false
	case !ctx.IsGet():
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	case isChunk && weights.IsDigest(chunk):
		t.serveChunk(ctx, chunk)
	case isManifest && weights.IsDigest(manifest):
		t.serveManifest(ctx, manifest)
	default:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	}
	return true
}

func (t *Transfer) serveManifest(ctx *fasthttp.RequestCtx, digest string) {
	version, ok := t.findVersion(digest)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(version.encodedManifest)
}

// serveChunk sends a chunk at a rate within UploadRate and, if the requesting agent is in
// another region, within this agent's share of RegionLinkRate. It waits for a missing chunk
// up to the time in the request.
func (t *Transfer) serveChunk(ctx *fasthttp.RequestCtx, digest string) {
	// A request with a missing or malformed parameter does not wait.
	milliseconds := ctx.QueryArgs().GetUintOrZero(waitParameter)
	region := string(ctx.QueryArgs().Peek(regionParameter))
	wait := min(time.Duration(milliseconds)*time.Millisecond, maxWait)
	waitCtx, cancel := context.WithTimeout(t.ctx, wait)
	defer cancel()
	data, ok := t.options.Store.Get(digest)
	if !ok && wait > 0 {
		var err error
		data, err = t.options.Store.Wait(waitCtx, digest)
		ok = err == nil
	}
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	limiters := []*rate.Limiter{t.uploadLimiter}
	remote := region != "" && region != t.options.Self.Region
	slots := t.uploadSlots
	if remote {
		slots = nil
		limiters = append(limiters, t.regionLimiters.limiter(region, t.gatewayCount()))
	}
	ctx.SetContentType("application/octet-stream")
	// The headers are sent before the response gets an upload slot, so that the
	// requesting agent can distinguish a busy source from a dead one.
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(&pacedReader{
		ctx: t.ctx, data: data, limiters: limiters, uploadSlots: slots, conn: ctx.Conn(),
		onSent: func(n int) {
			t.uploaded.Add(int64(n))
			if remote {
				t.uploadedRemote.Add(int64(n))
			}
		},
	}, len(data))
}

// gatewayCount returns the number of gateways of this region, which share the links to
// other regions. It is the maximum over the plans of the held versions and at least 1.
func (t *Transfer) gatewayCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 1
	for _, version := range t.versions {
		if version.plan != nil {
			count = max(count, version.plan.GatewayCount(t.options.Self.Region))
		}
	}
	return count
}
