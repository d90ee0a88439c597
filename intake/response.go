package intake

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/budget"
)

const (
	// ResponseTimeout is how long a part of a response may stay unread by the caller before the
	// response is cut off. A link that is frozen or congested for a short time pauses for less than
	// 2 s.
	ResponseTimeout = 10 * time.Second
	// LargeResponseBytes is the size from which a response that is not streamed counts towards the
	// memory while it is written. Smaller ones fit into the buffer of a socket.
	LargeResponseBytes = 16 << 10
)

// SetResponse sets the body of a response that is not streamed. A large one counts towards the memory
// until it is written, and is cut off if the caller does not read it.
func (b *Bodies) SetResponse(ctx *fasthttp.RequestCtx, body []byte) {
	if len(body) <= LargeResponseBytes {
		ctx.Response.SetBodyRaw(body)
		return
	}
	conn := ctx.Conn()
	response := &heldResponse{ctx: ctx, bodies: b, body: body}
	response.hold = b.Begin(time.Now(), func() { _ = conn.SetWriteDeadline(past) })
	response.hold.Add(len(body))
	ctx.Response.SetBodyStream(response, len(body))
}

// heldResponse is the body of a large response. It is written piece by piece.
type heldResponse struct {
	ctx    *fasthttp.RequestCtx
	bodies *Bodies
	hold   *budget.Hold
	// body is the part that is not written yet.
	body []byte
}

// Read implements io.Reader.
func (h *heldResponse) Read(buffer []byte) (int, error) {
	if len(h.body) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, h.body)
	h.body = h.body[n:]
	return n, nil
}

// WriteTo implements io.WriterTo. Each piece must be read by the caller within ResponseTimeout.
func (h *heldResponse) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for len(h.body) > 0 {
		_ = h.ctx.SetWriteDeadline(time.Now().Add(ResponseTimeout))
		if h.hold.IsDropped() {
			// The deadline that the drop has set may just have been replaced.
			return written, io.ErrClosedPipe
		}
		n, err := w.Write(h.body[:min(len(h.body), writePieceBytes)])
		written += int64(n)
		h.body = h.body[n:]
		if err != nil {
			return written, err
		}
		h.hold.Progress(time.Now(), n)
	}
	return written, nil
}

// Close implements io.Closer.
func (h *heldResponse) Close() error {
	if h.hold.IsDropped() {
		h.bodies.responsesCut.Inc(1)
	}
	h.body = nil
	h.hold.Release()
	return nil
}
