package weights

import (
	"container/list"
	"context"
	"sync"
)

// Store holds verified chunks in memory by digest, up to a limit of bytes.
//
// A chunk is present while the store holds its bytes. Pin reserves the memory for a whole
// version, so that the transfer of an accepted version never runs out of memory halfway.
// A chunk is referenced while it belongs to a pinned version, and idle if it is present
// but not referenced. Idle chunks are evicted, the first to become idle first, when their
// memory is needed.
//
// The bytes passed to Put and returned by Get are shared and must not be modified.
type Store struct {
	// limit is the maximum of the sum of reservedBytes and idleBytes.
	limit int64

	mu sync.Mutex
	// chunks holds the entries of the chunks by digest.
	chunks map[string]*chunk
	// pins holds the pinned versions by the parameter version of Pin.
	pins map[string]*pin
	// idle lists the digests of the idle chunks, the first to become idle first.
	idle *list.List
	// presentBytes is the total size in bytes of the present chunks, reservedBytes that
	// of the referenced chunks, present or not, and idleBytes that of the idle ones.
	presentBytes  int64
	reservedBytes int64
	idleBytes     int64
}

// chunk is a chunk that is present, referenced by a pinned version, or awaited.
type chunk struct {
	// data is nil while the chunk is not present.
	data []byte
	// size is the size in bytes: that of data, or for a referenced chunk the one in
	// the manifest. references counts the pinned versions with the chunk.
	size       int64
	references int
	// idleElement is the chunk's element of Store.idle, nil while the chunk is not idle.
	idleElement *list.Element
	// arrived is closed when data is set. It is nil until a call of Wait waits for the
	// chunk, and again once it has been closed.
	arrived chan struct{}
	// waiters is the number of calls of Wait that are waiting for the chunk.
	waiters int
}

// pin is a pinned version.
type pin struct {
	// count is the number of calls of Pin that Unpin has not reversed yet.
	count    int
	manifest Manifest
}

// NewStore returns an empty store. limit is the maximum number of bytes of the idle chunks
// and of the chunks of the pinned versions, present or not, together.
func NewStore(limit int64) *Store {
	return &Store{
		limit:  limit,
		chunks: make(map[string]*chunk),
		pins:   make(map[string]*pin),
		idle:   list.New(),
	}
}

// Pin reserves memory for every chunk of the version, and keeps the chunks that are or
// become present until Unpin has been called as often as Pin. version is the name under
// which the manifest is pinned; for a name that is pinned already, the manifest is
// ignored. Pin returns a *FullError if the pinned versions together would exceed the
// limit, and a *SizeError if another manifest or a present chunk has a different size for
// one of the chunks.
func (s *Store) Pin(version string, manifest Manifest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry, ok := s.pins[version]; ok {
		entry.count++
		return nil
	}
	sizes := chunkSizes(manifest)
	required := s.reservedBytes
	for digest, size := range sizes {
		c, ok := s.chunks[digest]
		if !ok || c.references == 0 {
			required += size
		} else if c.size != size {
			return &SizeError{Digest: digest, Want: c.size, Got: size}
		}
		if ok && c.data != nil && int64(len(c.data)) != size {
			return &SizeError{Digest: digest, Want: int64(len(c.data)), Got: size}
		}
	}
	if required > s.limit {
		return &FullError{Limit: s.limit, Need: required}
	}
	s.pins[version] = &pin{count: 1, manifest: manifest}
	for digest, size := range sizes {
		c := s.getOrCreate(digest)
		c.references++
		if c.references > 1 {
			continue
		}
		c.size = size
		s.reservedBytes += size
		if c.idleElement != nil {
			s.idle.Remove(c.idleElement)
			c.idleElement = nil
			s.idleBytes -= size
		}
	}
	s.evict(0)
	return nil
}

// Unpin reverses one call of Pin. The chunks of a version that is no longer pinned
// stay until their memory is needed. A name that is not pinned is ignored.
func (s *Store) Unpin(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.pins[version]
	if !ok {
		return
	}
	entry.count--
	if entry.count > 0 {
		return
	}
	delete(s.pins, version)
	for digest := range chunkSizes(entry.manifest) {
		c := s.chunks[digest]
		c.references--
		if c.references > 0 {
			continue
		}
		s.reservedBytes -= c.size
		if c.data != nil {
			c.idleElement = s.idle.PushBack(digest)
			s.idleBytes += c.size
		}
		s.removeIfUnused(digest, c)
	}
}

// Put adds the bytes of a chunk, and does nothing if the chunk is present. It returns a
// *MismatchError if the bytes do not have the digest, a *SizeError if a pinned manifest
// has a different size for the chunk, and a *FullError if the chunk belongs to no pinned
// version and does not fit.
func (s *Store) Put(digest string, data []byte) error {
	// The digest is computed without holding the lock, since it takes most of the
	// time of Put.
	if got := Digest(data); got != digest {
		return &MismatchError{Want: digest, Got: got}
	}
	size := int64(len(data))
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.chunks[digest]
	if c != nil && c.data != nil {
		return nil
	}
	pinned := c != nil && c.references > 0
	if pinned && c.size != size {
		return &SizeError{Digest: digest, Want: c.size, Got: size}
	}
	if !pinned {
		if required := s.reservedBytes + size; required > s.limit {
			return &FullError{Limit: s.limit, Need: required}
		}
		s.evict(size)
		c = s.getOrCreate(digest)
		c.size = size
		c.idleElement = s.idle.PushBack(digest)
		s.idleBytes += size
	}
	// A nil data field means absent, so an empty chunk needs a non-nil slice.
	if data == nil {
		data = []byte{}
	}
	c.data = data
	s.presentBytes += size
	if c.arrived != nil {
		close(c.arrived)
		c.arrived = nil
	}
	return nil
}

// Get returns the bytes of a chunk, or false if the chunk is not present.
func (s *Store) Get(digest string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.chunks[digest]
	if !ok || c.data == nil {
		return nil, false
	}
	return c.data, true
}

// Has reports whether a chunk is present.
func (s *Store) Has(digest string) bool {
	_, ok := s.Get(digest)
	return ok
}

// Wait waits until a chunk is present and returns its bytes. It returns the error of
// ctx if ctx ends first.
func (s *Store) Wait(ctx context.Context, digest string) ([]byte, error) {
	s.mu.Lock()
	for {
		c := s.getOrCreate(digest)
		if c.data != nil {
			s.mu.Unlock()
			return c.data, nil
		}
		if c.arrived == nil {
			c.arrived = make(chan struct{})
		}
		arrived := c.arrived
		c.waiters++
		s.mu.Unlock()
		var err error
		select {
		case <-arrived:
		case <-ctx.Done():
			err = ctx.Err()
		}
		s.mu.Lock()
		c.waiters--
		if c.data != nil {
			s.mu.Unlock()
			return c.data, nil
		}
		s.removeIfUnused(digest, c)
		if err != nil {
			s.mu.Unlock()
			return nil, err
		}
	}
}

// Missing returns the number of chunks of the manifest that are not present, counting
// equal chunks once.
func (s *Store) Missing(manifest Manifest) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	missing := 0
	for digest := range chunkSizes(manifest) {
		if c, ok := s.chunks[digest]; !ok || c.data == nil {
			missing++
		}
	}
	return missing
}

// Bytes returns the total size of the present chunks in bytes.
func (s *Store) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.presentBytes
}

// getOrCreate returns the entry of a chunk and adds it if there is none.
func (s *Store) getOrCreate(digest string) *chunk {
	c, ok := s.chunks[digest]
	if !ok {
		c = &chunk{}
		s.chunks[digest] = c
	}
	return c
}

// removeIfUnused removes the entry of a chunk that is not present, not referenced and
// not awaited. It does nothing if another entry has replaced c.
func (s *Store) removeIfUnused(digest string, c *chunk) {
	if c.data == nil && c.references == 0 && c.waiters == 0 && s.chunks[digest] == c {
		delete(s.chunks, digest)
	}
}

// evict drops idle chunks, the first to become idle first, until size more bytes fit into
// the limit together with the reserved ones and the remaining idle chunks, or no idle chunk
// is left.
func (s *Store) evict(size int64) {
	for s.reservedBytes+s.idleBytes+size > s.limit {
		front := s.idle.Front()
		if front == nil {
			return
		}
		digest, _ := s.idle.Remove(front).(string)
		c := s.chunks[digest]
		c.idleElement = nil
		c.data = nil
		s.idleBytes -= c.size
		s.presentBytes -= c.size
		s.removeIfUnused(digest, c)
	}
}

// chunkSizes returns the size of each distinct chunk of the manifest by digest, since
// equal chunks are stored once.
func chunkSizes(manifest Manifest) map[string]int64 {
	sizes := make(map[string]int64, len(manifest.Chunks))
	for i, digest := range manifest.Chunks {
		sizes[digest] = manifest.ChunkBytes(i)
	}
	return sizes
}
