package weights

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// Bounds of a manifest. They limit the memory that a wrong or malicious manifest, or one
// of its chunks, can allocate before the digest is verified.
const (
	// DefaultChunkSize is the chunk size of new manifests in bytes.
	DefaultChunkSize = 1 << 20
	// MaxChunkSize is the maximum chunk size in bytes. It limits the memory that the
	// transfer of one chunk takes.
	MaxChunkSize = 16 << 20
	// MaxChunks is the maximum number of chunks of a version. It allows 256 GiB at the
	// default chunk size.
	MaxChunks = 1 << 18
	// MaxManifestBytes is the maximum size of an encoded manifest in bytes, enough for
	// MaxChunks digests in JSON.
	MaxManifestBytes = 32 << 20
	// MaxNameBytes is the maximum length in bytes of the name of a model or a version.
	MaxNameBytes = 256
)

// Manifest lists the chunks of a model version in order.
type Manifest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// ChunkSize is the size in bytes of every chunk except the last.
	ChunkSize int64 `json:"chunk-size"`
	// Size is the total size of the version in bytes.
	Size int64 `json:"size"`
	// Chunks holds the digests of the chunks in the order of their bytes.
	Chunks []string `json:"chunks"`
}

// ParseManifest decodes and validates an encoded manifest.
func ParseManifest(data []byte) (Manifest, error) {
	if len(data) > MaxManifestBytes {
		return Manifest{}, errors.Errorf("manifest has %d bytes, at most %d are allowed", len(data), MaxManifestBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var manifest Manifest
	if err := decoder.Decode(&manifest); err != nil {
		return Manifest{}, errors.Wrap(err, "decode manifest")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Manifest{}, errors.New("manifest has data after its end")
	}
	if err := manifest.validate(); err != nil {
		return Manifest{}, err
	}
	return manifest, nil
}

// Build splits the bytes of r into chunks of chunkSize bytes and returns the manifest.
// It passes each chunk and its digest to put, which may retain the bytes.
func Build(model, version string, chunkSize int64, r io.Reader, put func(digest string, data []byte) error) (Manifest, error) {
	manifest := Manifest{Model: model, Version: version, ChunkSize: chunkSize}
	if chunkSize < 1 || chunkSize > MaxChunkSize {
		return Manifest{}, errors.Errorf("chunk size %d is not within 1 to %d", chunkSize, MaxChunkSize)
	}
	for {
		data := make([]byte, chunkSize)
		n, err := io.ReadFull(r, data)
		if errors.Is(err, io.EOF) {
			break
		}
		last := errors.Is(err, io.ErrUnexpectedEOF)
		if err != nil && !last {
			return Manifest{}, errors.Wrap(err, "read weights")
		}
		data = data[:n:n]
		digest := Digest(data)
		if err := put(digest, data); err != nil {
			return Manifest{}, errors.Wrap(err, "put chunk")
		}
		manifest.Chunks = append(manifest.Chunks, digest)
		manifest.Size += int64(n)
		if last {
			break
		}
	}
	if err := manifest.validate(); err != nil {
		return Manifest{}, err
	}
	return manifest, nil
}

// Bytes returns the canonical encoding of the manifest. The Digest of the encoding
// identifies the version.
func (m Manifest) Bytes() ([]byte, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode manifest")
	}
	return data, nil
}

// ChunkBytes returns the size in bytes of the chunk at an index.
func (m Manifest) ChunkBytes(index int) int64 {
	return min(m.ChunkSize, m.Size-int64(index)*m.ChunkSize)
}

// validate returns an error if a field is out of bounds, a chunk's digest is malformed, or
// the total size doesn't fit the number of chunks.
func (m Manifest) validate() error {
	switch {
	case m.Model == "" || len(m.Model) > MaxNameBytes:
		return errors.Errorf("manifest: model name has %d bytes, 1 to %d are allowed", len(m.Model), MaxNameBytes)
	case m.Version == "" || len(m.Version) > MaxNameBytes:
		return errors.Errorf("manifest: version name has %d bytes, 1 to %d are allowed", len(m.Version), MaxNameBytes)
	case m.ChunkSize < 1 || m.ChunkSize > MaxChunkSize:
		return errors.Errorf("manifest: chunk size %d is not within 1 to %d", m.ChunkSize, MaxChunkSize)
	case len(m.Chunks) < 1 || len(m.Chunks) > MaxChunks:
		return errors.Errorf("manifest: %d chunks, 1 to %d are allowed", len(m.Chunks), MaxChunks)
	}
	// The size is checked against bounds, since computing the number of chunks from
	// the size by rounding up could overflow.
	maxSize := int64(len(m.Chunks)) * m.ChunkSize
	if m.Size > maxSize || m.Size <= maxSize-m.ChunkSize {
		return errors.Errorf("manifest: size %d does not fit %d chunks of %d bytes", m.Size, len(m.Chunks), m.ChunkSize)
	}
	for i, digest := range m.Chunks {
		if !IsDigest(digest) {
			return errors.Errorf("manifest: chunk %d has no blake3 digest in lower-case hex", i)
		}
	}
	return nil
}
