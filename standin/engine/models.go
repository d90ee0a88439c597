package engine

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/standin/platform"
)

// Errors of orders. They may be wrapped, so errors.Is has to be used to detect them.
var (
	ErrStaleFence   = errors.New("fencing number is lower than one seen before")
	ErrLoadNotBegun = errors.New("no load of this version is in progress")
	ErrIncomplete   = errors.New("chunks are missing")
	ErrCorrupt      = errors.New("bytes do not match the manifest")
	ErrOutOfMemory  = errors.New("memory is full")
	ErrBaseNotReady = errors.New("the version of the adapter is not ready")
	ErrInvalidRole  = errors.New("role must be both, prefill or decode")
	ErrLoadFailed   = errors.New("load failed")
)

// ModelStore holds the versions that are loaded or being loaded, their adapters, and the
// role of the engine. It keeps only the digests of chunks, not their bytes.
type ModelStore struct {
	// MemoryBytes bounds the sum of the sizes of all versions and adapters, including
	// those being loaded; 0 is unlimited.
	MemoryBytes int64
	// IgnoreFence accepts orders with any fencing token, also with one lower than the
	// highest one seen, as an engine does that does not check fencing tokens.
	IgnoreFence bool

	mu sync.Mutex
	// fence is the highest fencing token seen.
	fence int64
	// refused counts the orders that were refused because of a lower fencing token.
	refused  int
	versions []*version
	// role is the role set by the last role change, or empty if there was none.
	role string
	// roleChanged is closed when the role changes, which aborts running requests.
	roleChanged chan struct{}
}

// version is a version or an adapter that is loaded or being loaded.
type version struct {
	model, digest string
	// base is the digest of the version that an adapter applies to. It is empty for a
	// version.
	base string
	// size is the size of the weights in bytes, as the manifest states it.
	size int64
	// chunkDigests are the digests listed in the manifest; received says for each chunk
	// whether it has arrived.
	chunkDigests  []string
	received      []bool
	missingChunks int
	ready         bool
	// unloaded is closed when the version is removed, which aborts its requests.
	unloaded chan struct{}
}

// VersionState is a version or adapter in the reported status of the engine.
type VersionState struct {
	Model string `json:"model"`
	// Base is the digest of the version that an adapter applies to. It is empty for a
	// version.
	Base   string `json:"base,omitempty"`
	Digest string `json:"digest"`
	// State is "loading" or "ready".
	State string `json:"state"`
}

// Order is the JSON body of an order. A role change reads only Role and Fence. The orders
// that load or unload a version or adapter read Model, Digest and Fence; only the one that
// begins a load reads Base, Chunks and Manifest.
type Order struct {
	Model string `json:"model"`
	// Base is the digest of the version that an adapter applies to. It is empty for a
	// version.
	Base string `json:"base,omitempty"`
	// Role is "both", "prefill" or "decode".
	Role string `json:"role,omitempty"`
	// Digest is the digest of the manifest. It identifies the version or adapter.
	Digest string `json:"digest"`
	// Fence is the fencing token of the agent process that sends the order.
	Fence int64 `json:"fence"`
	// Chunks is the number of chunks that the manifest lists.
	Chunks int `json:"chunks,omitempty"`
	// Manifest is a platform.Manifest in JSON.
	Manifest json.RawMessage `json:"manifest,omitempty"`
}

// BeginLoad starts to load a version or adapter: its chunks can then be put, and the load
// can be committed. A load that was not committed is restarted. A version or adapter that
// is ready is left as it is, unless the order has another base; then it is removed and
// loaded again.
func (m *ModelStore) BeginLoad(order Order) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkFence(order.Fence); err != nil {
		return err
	}
	if platform.Digest(order.Manifest) != order.Digest {
		return errors.Wrap(ErrCorrupt, "manifest")
	}
	var manifest struct {
		Size   int64    `json:"size"`
		Chunks []string `json:"chunks"`
	}
	if err := json.Unmarshal(order.Manifest, &manifest); err != nil {
		return errors.Wrap(err, "manifest")
	}
	if len(manifest.Chunks) != order.Chunks {
		return errors.Wrap(ErrCorrupt, "number of chunks")
	}
	if order.Base != "" {
		if base := m.findVersion(order.Model, order.Base); base == nil || !base.ready {
			return ErrBaseNotReady
		}
	}
	if existing := m.findVersion(order.Model, order.Digest); existing != nil {
		if existing.ready && existing.base == order.Base {
			return nil
		}
		m.removeVersion(existing)
	}
	used := manifest.Size
	for _, other := range m.versions {
		used += other.size
	}
	if m.MemoryBytes > 0 && used > m.MemoryBytes {
		return ErrOutOfMemory
	}
	m.versions = append(m.versions, &version{
		model:         order.Model,
		digest:        order.Digest,
		base:          order.Base,
		size:          manifest.Size,
		chunkDigests:  manifest.Chunks,
		received:      make([]bool, len(manifest.Chunks)),
		missingChunks: len(manifest.Chunks),
		unloaded:      make(chan struct{}),
	})
	return nil
}

// PutChunk verifies that a chunk of a load in progress has the digest in the manifest, and
// marks the chunk as received.
func (m *ModelStore) PutChunk(model, digest string, index int, bytes []byte) error {
	sum := platform.Digest(bytes)
	m.mu.Lock()
	defer m.mu.Unlock()
	loading := m.findVersion(model, digest)
	if loading == nil {
		return ErrLoadNotBegun
	}
	if index < 0 || index >= len(loading.chunkDigests) || loading.chunkDigests[index] != sum {
		return errors.Wrapf(ErrCorrupt, "chunk %d", index)
	}
	if !loading.received[index] {
		loading.received[index] = true
		loading.missingChunks--
	}
	return nil
}

// CommitLoad makes a version or adapter ready and returns its digest. It fails if chunks
// are missing.
func (m *ModelStore) CommitLoad(order Order) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkFence(order.Fence); err != nil {
		return "", err
	}
	loading := m.findVersion(order.Model, order.Digest)
	if loading == nil {
		return "", ErrLoadNotBegun
	}
	if loading.missingChunks > 0 {
		return "", errors.Wrapf(ErrIncomplete, "%d", loading.missingChunks)
	}
	loading.ready = true
	return loading.digest, nil
}

// Unload removes a version with its adapters, or a single adapter, and aborts the requests
// that run on them. It is not an error if the version or adapter is not loaded.
func (m *ModelStore) Unload(order Order) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkFence(order.Fence); err != nil {
		return err
	}
	if loaded := m.findVersion(order.Model, order.Digest); loaded != nil {
		m.removeVersion(loaded)
	}
	return nil
}

// SetRole sets the role of the engine. If the role changes, all running requests are aborted.
func (m *ModelStore) SetRole(order Order) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slices.Contains([]string{roleBoth, "prefill", "decode"}, order.Role) {
		return ErrInvalidRole
	}
	if err := m.checkFence(order.Fence); err != nil {
		return err
	}
	if order.Role != m.currentRole() {
		m.role = order.Role
		if m.roleChanged != nil {
			close(m.roleChanged)
			m.roleChanged = nil
		}
	}
	return nil
}

// roleBoth is the role in which the engine runs both prefill and decode. Requests are
// served only in this role.
const roleBoth = "both"

// currentRole returns the role of the engine, which is roleBoth until the first role
// change. The caller holds the lock.
func (m *ModelStore) currentRole() string {
	if m.role == "" {
		return roleBoth
	}
	return m.role
}

// FindReady looks up the version or adapter that a request names. The name is
// "MODEL@VERSION" or, for an adapter, "MODEL@VERSION+ADAPTER", where VERSION and ADAPTER
// are digests; the returned identity is the part after the @. The channel unloaded is
// closed when the version or adapter is removed, and roleChanged when the role changes.
// FindReady returns false unless the version or adapter is ready and the role is roleBoth.
func (m *ModelStore) FindReady(name string) (identity string, unloaded, roleChanged <-chan struct{}, ok bool) {
	model, identity, _ := strings.Cut(name, "@")
	base, adapter, isAdapter := strings.Cut(identity, "+")
	m.mu.Lock()
	defer m.mu.Unlock()
	loaded := m.findVersion(model, base)
	if isAdapter {
		loaded = m.findVersion(model, adapter)
	}
	if loaded == nil || !loaded.ready || isAdapter != (loaded.base != "") || isAdapter && loaded.base != base || m.currentRole() != roleBoth {
		return "", nil, nil, false
	}
	if m.roleChanged == nil {
		m.roleChanged = make(chan struct{})
	}
	return identity, loaded.unloaded, m.roleChanged, true
}

// Status returns the highest fencing token seen, the role, and the state of every version
// and adapter.
func (m *ModelStore) Status() (fence int64, role string, states []VersionState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	states = []VersionState{}
	for _, v := range m.versions {
		state := "loading"
		if v.ready {
			state = "ready"
		}
		states = append(states, VersionState{v.model, v.base, v.digest, state})
	}
	return m.fence, m.currentRole(), states
}

// RefusedOrders returns the number of orders refused because of their fencing token.
func (m *ModelStore) RefusedOrders() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refused
}

// checkFence returns ErrStaleFence and counts a refused order if the fencing token is lower
// than the highest one seen, unless IgnoreFence is set. Otherwise it keeps the token if it is
// the highest. The caller holds the lock.
func (m *ModelStore) checkFence(fence int64) error {
	if fence < m.fence && !m.IgnoreFence {
		m.refused++
		return ErrStaleFence
	}
	m.fence = max(m.fence, fence)
	return nil
}

// findVersion returns the version or adapter with the digest, or nil. The caller holds the
// lock.
func (m *ModelStore) findVersion(model, digest string) *version {
	for _, v := range m.versions {
		if v.model == model && v.digest == digest {
			return v
		}
	}
	return nil
}

// removeVersion removes a version and its adapters. The caller holds the lock.
func (m *ModelStore) removeVersion(removed *version) {
	close(removed.unloaded)
	m.versions = slices.DeleteFunc(m.versions, func(v *version) bool { return v == removed })
	for _, v := range slices.Clone(m.versions) {
		if v.model == removed.model && v.base == removed.digest {
			m.removeVersion(v)
		}
	}
}
