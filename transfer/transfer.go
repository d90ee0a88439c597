// Package transfer fetches model versions for an agent, the daemon of a backend server
// VM, and serves their chunks to other agents.
//
// A Transfer performs the requests of the sessions of package spread over HTTP. It
// starts the requests that a session returns, verifies every chunk by putting it
// into the store, and reports the result to the session. Chunks of a version that
// is still being fetched are served as soon as they are present, so that a version
// is distributed through the fleet chunk by chunk.
//
// These terms are those of package spread: the origin is the store that publishes the
// weights. The view of a version lists the agents that fetch or hold it. The gateways
// are the few agents of each region that import chunks from the origin or from other
// regions, one for each chunk; the other agents fetch the chunks from agents in their
// own region.
package transfer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/spread"
	"github.com/fuchsiarouter/fuchsiarouter/syntax"
	"github.com/fuchsiarouter/fuchsiarouter/upstream"
	"github.com/fuchsiarouter/fuchsiarouter/weights"
)

// Options are the dependencies and parameters of a Transfer. Self, Store, Origin
// and View are required; any other zero field gets its default.
type Options struct {
	// Self is this agent's membership record, as in its heartbeats.
	Self   fuchsiarouter.Member
	Store  *weights.Store
	Origin fuchsiarouter.Origin
	// View returns the members that want or hold a version. For each version that is
	// being fetched it is called once a second, and more often until the manifest has
	// arrived.
	View func(digest string) spread.View
	// UploadRate is the total rate in bytes per second at which chunks are served;
	// 0 means no limit.
	UploadRate float64
	// RegionLinkRate is the rate in bytes per second at which all agents of a region
	// together may send chunks over the link to another region. The gateways of the
	// region share it equally. 0 means no limit.
	RegionLinkRate float64
	// UploadSlots is the maximum number of chunks that are sent within the region
	// at the same time; each of them holds an upload slot. Chunks for other regions
	// are rate-limited and use no slot, because they would hold it for a long time.
	UploadSlots int
	// MemberWait is how long a fetch waits at its start for other members to appear
	// in the view. Without it every agent of a rollout would start alone and download
	// from the origin.
	MemberWait time.Duration
	// SourceIP is the local IP of the connections to other agents; the operating
	// system chooses one if it is nil.
	SourceIP net.IP
	// Session holds the parameters of the sessions. Its fields Self and Chunks are set
	// by the Transfer.
	Session spread.Options
}

// Defaults of Options.
const (
	DefaultUploadSlots = 6
	DefaultMemberWait  = 2 * time.Second
)

// SendTimeout is how long a requesting agent may accept no bytes of a chunk before the
// response is aborted. A frozen or dead agent would otherwise hold an upload slot.
const SendTimeout = 5 * time.Second

// Parameters of a transfer.
const (
	// viewInterval is the time between two updates of the plan of a running fetch from
	// the current view.
	viewInterval = time.Second
	// progressInterval is the minimum time between two progress events that a request
	// reports to its session while bytes arrive. It is below the minimum time without
	// progress after which a session treats a request as stalled.
	progressInterval = 250 * time.Millisecond
	// dialTimeout is the timeout of opening a connection to another agent, and of writing
	// a request to it.
	dialTimeout = time.Second
	// readTimeout is the timeout of one request to an agent, including the body. A
	// session abandons a stalled request earlier; only the connection may stay open
	// until the timeout.
	readTimeout = 60 * time.Second
)

// Target identifies a version to fetch.
type Target struct {
	Model string
	// Path is the path of the manifest at the origin.
	Path string
	// Digest is the digest of the manifest, which identifies the version.
	Digest string
	// Urgent is set for a version that is fetched before others: while an urgent version is
	// being fetched, the fetches of versions that are not urgent are throttled.
	Urgent bool
}

// Counts are the bytes of chunks received and sent since a Transfer was created.
type Counts struct {
	// FromOrigin and FromPeers are the received bytes of verified chunks, Corrupt
	// those of chunks with a wrong digest.
	FromOrigin int64
	FromPeers  int64
	Corrupt    int64
	// Uploaded is the number of sent bytes, UploadedRemote the part of it that was
	// sent to other regions.
	Uploaded       int64
	UploadedRemote int64
}

// Transfer fetches and serves chunks. It is safe for concurrent use.
type Transfer struct {
	options        Options
	client         *fasthttp.Client
	dialer         *fasthttp.TCPDialer
	uploadLimiter  *rate.Limiter
	regionLimiters *regionLimiters
	// uploadSlots holds a value for each upload slot in use.
	uploadSlots chan struct{}
	// urgentFetches is the number of fetches of urgent versions in progress.
	urgentFetches atomic.Int64
	// ctx is canceled by Close.
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// The values of the fields of Counts, in bytes.
	fromOrigin, fromPeers, corrupt, uploaded, uploadedRemote atomic.Int64

	mu     sync.Mutex
	closed bool
	// versions holds the held versions by the digest of the manifest.
	versions map[string]*heldVersion
	// conns holds the open connections to other agents.
	conns map[net.Conn]struct{}
}

// heldVersion is a version whose manifest is known and whose chunks are pinned in the
// store, from the arrival of the manifest until Forget.
type heldVersion struct {
	manifest weights.Manifest
	// encodedManifest holds the bytes that the version's digest is computed from.
	encodedManifest []byte
	// plan is the latest plan of a fetch of the version, nil before the first one.
	plan *spread.Plan
}

// New returns a Transfer, which the caller must close.
func New(options Options) *Transfer {
	if options.UploadSlots == 0 {
		options.UploadSlots = DefaultUploadSlots
	}
	if options.MemberWait == 0 {
		options.MemberWait = DefaultMemberWait
	}
	t := &Transfer{
		options: options, dialer: upstream.NewDialer(options.SourceIP), uploadSlots: make(chan struct{}, options.UploadSlots),
		versions: make(map[string]*heldVersion), conns: make(map[net.Conn]struct{}),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.uploadLimiter = newLimiter(options.UploadRate)
	t.regionLimiters = &regionLimiters{linkRate: options.RegionLinkRate, limiters: make(map[string]*rate.Limiter)}
	t.client = &fasthttp.Client{
		Dial:                      t.dial,
		MaxIdemponentCallAttempts: 1,
		StreamResponseBody:        true,
		ReadTimeout:               readTimeout,
		WriteTimeout:              dialTimeout,
		MaxConnsPerHost:           64,
	}
	return t
}

// Close ends every fetch and every chunk response in progress, closes the connections to
// other agents, and waits until the fetches and their requests have ended.
func (t *Transfer) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.mu.Lock()
	for conn := range t.conns {
		_ = conn.Close()
	}
	t.mu.Unlock()
	t.goroutines.Wait()
}

// Progress returns the number of present chunks of a version and the number of all
// its chunks. Both are 0 if the version is not held.
func (t *Transfer) Progress(digest string) (present, all int) {
	version, ok := t.findVersion(digest)
	if !ok {
		return 0, 0
	}
	all = len(version.manifest.Chunks)
	for _, chunk := range version.manifest.Chunks {
		if t.options.Store.Has(chunk) {
			present++
		}
	}
	return present, all
}

// Manifest returns the manifest of a version and the bytes that the version's digest is
// computed from. It returns false if the version is not held.
func (t *Transfer) Manifest(digest string) (weights.Manifest, []byte, bool) {
	version, ok := t.findVersion(digest)
	if !ok {
		return weights.Manifest{}, nil, false
	}
	return version.manifest, version.encodedManifest, true
}

// Forget unpins a version that Fetch has pinned, and no longer serves its manifest. The
// chunks stay in the store until their memory is needed.
func (t *Transfer) Forget(digest string) {
	t.mu.Lock()
	_, ok := t.versions[digest]
	delete(t.versions, digest)
	t.mu.Unlock()
	if ok {
		t.options.Store.Unpin(digest)
	}
}

// Counts returns the bytes of chunks received and sent so far.
func (t *Transfer) Counts() Counts {
	return Counts{
		FromOrigin: t.fromOrigin.Load(), FromPeers: t.fromPeers.Load(), Corrupt: t.corrupt.Load(),
		Uploaded: t.uploaded.Load(), UploadedRemote: t.uploadedRemote.Load(),
	}
}

// findVersion returns the held version with a digest.
func (t *Transfer) findVersion(digest string) (*heldVersion, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	version, ok := t.versions[digest]
	return version, ok
}

// pinVersion adds a version whose manifest has been verified to the held versions and
// pins its chunks in the store.
func (t *Transfer) pinVersion(digest string, manifest weights.Manifest, encoded []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.versions[digest]; ok {
		return nil
	}
	if err := t.options.Store.Pin(digest, manifest); err != nil {
		return errors.Wrap(err, "pin version")
	}
	t.versions[digest] = &heldVersion{manifest: manifest, encodedManifest: encoded}
	return nil
}

// dial opens a connection to another agent. Transfer.Close closes the connection if it is
// still open then.
func (t *Transfer) dial(address string) (net.Conn, error) {
	conn, err := t.dialer.DialTimeout(address, dialTimeout)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = conn.Close()
		return nil, errors.New("transfer is closed")
	}
	t.conns[conn] = struct{}{}
	return syntax.NewConn(&trackedConn{Conn: conn, onClose: func() {
		t.mu.Lock()
		delete(t.conns, conn)
		t.mu.Unlock()
	}}), nil
}

// trackedConn is a connection that calls onClose when it is closed.
type trackedConn struct {
	net.Conn
	once    sync.Once
	onClose func()
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}
