package stagedengine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"strings"

	"github.com/valyala/fasthttp"
)

// Origin is an HTTP server that publishes all versions of a model.
type Origin struct{ listener net.Listener }

// NewOrigin starts an origin that listens on the address. Each version has the number of pieces,
// which are padded to the size pieceBytes, or not if that is 0.
func NewOrigin(address string, pieces, pieceBytes int) (*Origin, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	handler := func(ctx *fasthttp.RequestCtx) {
		name, model, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), pathPrefix), "/")
		version := ctx.QueryArgs().GetUintOrZero("version")
		switch name {
		case "manifest":
			ctx.SetBody(manifest(model, version, pieces, pieceBytes))
		case "piece":
			ctx.SetBody(paddedContent(version, ctx.QueryArgs().GetUintOrZero("quantity"), pieceBytes))
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
	go func() { _ = fasthttp.Serve(listener, handler) }()
	return &Origin{listener: listener}, nil
}

// Address returns the address on which the origin listens.
func (o *Origin) Address() string { return o.listener.Addr().String() }

// Close stops the origin.
func (o *Origin) Close() { _ = o.listener.Close() }

// manifest returns the manifest of a version.
func manifest(model string, version, pieces, pieceBytes int) []byte {
	var digests []string
	for piece := range pieces {
		sum := sha256.Sum256(paddedContent(version, piece, pieceBytes))
		digests = append(digests, hex.EncodeToString(sum[:]))
	}
	body, err := json.Marshal(struct {
		Model   string   `json:"model"`
		Version int      `json:"version"`
		Layers  int      `json:"layers"`
		Digests []string `json:"digests"`
	}{model, version, 1, digests})
	if err != nil {
		panic(err)
	}
	return body
}
