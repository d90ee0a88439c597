package platform

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/zeebo/blake3"
)

// ChunkSize is the size in bytes of every chunk of a model version but the last.
const ChunkSize = 1 << 20

// Manifest lists the digests of the chunks of a model version. ChunkSize and Size, the size
// of all chunks together, are in bytes. Its JSON form is the manifest that the origin
// serves.
type Manifest struct {
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	ChunkSize int64    `json:"chunk-size"`
	Size      int64    `json:"size"`
	Chunks    []string `json:"chunks"`
}

// Content describes the synthetic weights of a model version. The bytes are a function
// of the model's name, the version and the size, so they are generated when needed instead
// of being stored.
type Content struct {
	Model   string
	Version string
	// Size is the size of the weights in bytes.
	Size int64
	// Manifest is the Manifest of the version in JSON.
	Manifest []byte
	// Digest is the hex digest of the manifest and identifies the version.
	Digest string
	// Chunks are the hex digests of the chunks.
	Chunks []string
}

// NewContent describes the weights of a model version with a size in bytes.
func NewContent(model, version string, size int64) (Content, error) {
	content := Content{Model: model, Version: version, Size: size}
	for index := range int((size + ChunkSize - 1) / ChunkSize) {
		content.Chunks = append(content.Chunks, Digest(content.Chunk(index)))
	}
	manifest, err := json.Marshal(Manifest{model, version, ChunkSize, size, content.Chunks})
	if err != nil {
		return Content{}, err
	}
	content.Manifest = manifest
	content.Digest = Digest(manifest)
	return content, nil
}

// Chunk generates the bytes of the chunk at the index.
func (c Content) Chunk(index int) []byte {
	length := min(ChunkSize, c.Size-int64(index)*ChunkSize)
	bytes := make([]byte, length)
	seed := blake3.New()
	_, _ = seed.WriteString(c.Model + "\x00" + c.Version + "\x00")
	_, _ = seed.Write(binary.BigEndian.AppendUint64(nil, uint64(index)))
	// The output of the hash is unlimited, so a full read cannot fail.
	_, _ = io.ReadFull(seed.Digest(), bytes)
	return bytes
}

// Digest returns the BLAKE3 digest of the bytes in hex.
func Digest(bytes []byte) string {
	sum := blake3.Sum256(bytes)
	return hex.EncodeToString(sum[:])
}
