package platform

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// throttledWriteBytes is the size of the parts in which a response is written. The rate
// limiter is asked for one part at a time, so its burst has the same size.
const throttledWriteBytes = 16 << 10

// Origin serves the manifests and chunks of model versions at a limited rate. The paths are
// /origin/MODEL/VERSION/manifest.json and /origin/chunks/DIGEST.
type Origin struct {
	faults  *Faults
	limiter *rate.Limiter

	mu     sync.Mutex
	random *rand.Rand
	// versions is keyed by "model/version", chunkLocations by chunk digest, and bytesRead
	// by path below /origin/.
	versions       map[string]Content
	chunkLocations map[string]chunkLocation
	bytesRead      map[string]int64
}

// chunkLocation is a version that contains a chunk, and the index of the chunk in it.
type chunkLocation struct {
	content Content
	index   int
}

// NewOrigin returns an origin without versions. The rate bytesPerSecond applies to all
// readers together; 0 is unlimited. The seed determines which reads return a corrupt chunk
// in ModeCorrupt.
func NewOrigin(faults *Faults, bytesPerSecond int64, seed uint64) *Origin {
	limit := rate.Inf
	if bytesPerSecond > 0 {
		limit = rate.Limit(bytesPerSecond)
	}
	return &Origin{
		faults:         faults,
		limiter:        rate.NewLimiter(limit, throttledWriteBytes),
		random:         rand.New(rand.NewPCG(seed, 0)),
		versions:       map[string]Content{},
		chunkLocations: map[string]chunkLocation{},
		bytesRead:      map[string]int64{},
	}
}

// Add adds a model version, which the origin then serves.
func (o *Origin) Add(content Content) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions[content.Model+"/"+content.Version] = content
	for index, digest := range content.Chunks {
		o.chunkLocations[digest] = chunkLocation{content, index}
	}
}

// BytesRead returns the number of bytes sent to readers, by path below /origin/. A response
// is added when it ends.
func (o *Origin) BytesRead() map[string]int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	bytesRead := make(map[string]int64, len(o.bytesRead))
	for path, n := range o.bytesRead {
		bytesRead[path] = n
	}
	return bytesRead
}

// ServeHTTP serves the paths below /origin/, or responds with status 503 in ModeDown.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mode, corruptPerMille := o.faults.Origin()
	if mode == ModeDown {
		http.Error(w, "origin is down", http.StatusServiceUnavailable)
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/origin/")
	body, ok := o.readPath(path, corruptPerMille)
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	throttled := &throttledWriter{ResponseWriter: w, context: r.Context(), limiter: o.limiter}
	http.ServeContent(throttled, r, "", time.Time{}, bytes.NewReader(body))
	o.mu.Lock()
	o.bytesRead[path] += throttled.written
	o.mu.Unlock()
}

// readPath returns the manifest or chunk at a path below /origin/, or false if there is none.
// It flips a bit in corruptPerMille of 1000 chunks, which are drawn at random.
func (o *Origin) readPath(path string, corruptPerMille int64) ([]byte, bool) {
	if version, ok := strings.CutSuffix(path, "/manifest.json"); ok {
		o.mu.Lock()
		defer o.mu.Unlock()
		content, ok := o.versions[version]
		return content.Manifest, ok
	}
	digest, ok := strings.CutPrefix(path, "chunks/")
	if !ok {
		return nil, false
	}
	o.mu.Lock()
	location, ok := o.chunkLocations[digest]
	corrupt := ok && o.random.Int64N(1000) < corruptPerMille
	o.mu.Unlock()
	if !ok {
		return nil, false
	}
	chunk := location.content.Chunk(location.index)
	if corrupt {
		chunk[len(chunk)/2] ^= 1
	}
	return chunk, true
}

// throttledWriter writes a response at the rate of the limiter and counts its bytes.
type throttledWriter struct {
	http.ResponseWriter
	// context is the context of the request. A write fails when it ends.
	context context.Context
	limiter *rate.Limiter
	// written is the number of bytes of the body that were written.
	written int64
}

// Write writes p in parts and waits for the limiter before each of them.
func (t *throttledWriter) Write(p []byte) (int, error) {
	total := 0
	for len(p) > 0 {
		part := p[:min(len(p), throttledWriteBytes)]
		if err := t.limiter.WaitN(t.context, len(part)); err != nil {
			return total, err
		}
		n, err := t.ResponseWriter.Write(part)
		total += n
		t.written += int64(n)
		if err != nil {
			return total, err
		}
		p = p[n:]
	}
	return total, nil
}
