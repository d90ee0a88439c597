package result

import (
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// defaultRetryAfter is used for an error whose RetryAfter is 0.
const defaultRetryAfter = time.Second

// Write writes the error to the response: the status, the result headers and the body, and
// Retry-After, rounded up to whole seconds, if the caller may send the request again.
func (e *Error) Write(response *fasthttp.Response) {
	response.SetStatusCode(e.Code.HTTPStatus)
	response.Header.SetContentType("application/json")
	response.Header.Set(HeaderResult, e.Code.String())
	response.Header.Set(HeaderRan, string(e.Code.Ran))
	if e.Code.Retry != RetryNo {
		after := e.RetryAfter
		if after <= 0 {
			after = defaultRetryAfter
		}
		response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	response.SetBody(e.Body())
}
