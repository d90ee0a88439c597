package entry

import (
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/intake"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

// linger bounds the reading of the rest of a refused request after the response was sent.
var linger = intake.Linger{Time: 2 * time.Second, Bytes: 16 << 20}

// refuseMalformed responds to a request of which the HTTP server could not read the head.
func refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	if conn, ok := ctx.Conn().(*intake.Conn); ok {
		conn.LingerOnClose(linger)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		result.RequestTimeout.Error("the request did not arrive in time").Write(&ctx.Response)
		return
	}
	result.Malformed.Error("the request cannot be read: " + err.Error()).Write(&ctx.Response)
}
