package syntax_test

import (
	"bufio"
	"errors"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/syntax"
)

// A parser that reads through a Reader gets no response with a blank in the name of a field.
func ExampleNewReader() {
	const responses = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok"
	reader := bufio.NewReader(syntax.NewReader(strings.NewReader(responses)))
	var response fasthttp.Response
	err := response.Read(reader)
	fmt.Println(string(response.Body()), err)
	err = response.Read(reader)
	fmt.Println(errors.Is(err, syntax.ErrInvalid))
	// Output:
	// ok <nil>
	// true
}
