package syntax_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/syntax"
)

// cases are the beginnings of responses and whether the status is valid.
var cases = []struct {
	text    string
	isValid bool
}{
	{"HTTP/1.1 000", false},
	{"HTTP/1.1 000 OK", false},
	{"HTTP/1.1 007 Strange", false},
	{"HTTP/1.1 099 Strange", false},
	{"HTTP/1.1 600 Strange", false},
	{"HTTP/1.1 999 Strange", false},
	{"\r\n\r\nHTTP/1.1  000 OK", false},
	{"HTTP/1.0 600 Strange", false},
	{"HTTP/1.1 200 OK", true},
	{"HTTP/1.1 200", true},
	{"\r\nHTTP/1.1 404 Not Found", true},
	{"HTTP/1.1 599 Strange", true},
	{"HTTP/1.1 421 600", true},
}

const rest = "\r\nContent-Length: 2\r\n\r\nok"

// readers returns readers that return the text whole and byte by byte.
func readers(text string) []*syntax.Reader {
	return []*syntax.Reader{syntax.NewReader(strings.NewReader(text)), syntax.NewReader(iotest.OneByteReader(strings.NewReader(text)))}
}

// TestStatus guards against taking a response with an invalid status for a valid one, however its
// bytes arrive.
func TestStatus(t *testing.T) {
	for _, test := range cases {
		for _, reader := range readers(test.text + rest) {
			g := gomega.NewWithT(t)
			content, err := io.ReadAll(reader)
			if !test.isValid {
				g.Expect(err).To(gomega.MatchError(syntax.ErrInvalid), test.text)
				g.Expect(test.text).To(gomega.HavePrefix(string(content)))
				continue
			}
			g.Expect(string(content), err).To(gomega.Equal(test.text + rest))
		}
	}
}

// TestOtherErrors guards against hiding how a connection ended, and against rejecting what is left to
// the parser.
func TestOtherErrors(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 20", "nonsense\r\n", "HTTP/1.1 \r\n", "HTTP/1.1 2e2 OK\r\n", strings.Repeat("a", 8192)} {
		for _, reader := range readers(text) {
			g := gomega.NewWithT(t)
			content, err := io.ReadAll(reader)
			g.Expect(string(content), err).To(gomega.Equal(text))
		}
	}
	reader := syntax.NewReader(iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("HTTP/1.1 200"))))
	_, err := io.ReadAll(reader)
	gomega.NewWithT(t).Expect(err).To(gomega.MatchError(iotest.ErrTimeout))
}

const tokenBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// before are the bytes in front of a field, in heads and trailers of all kinds.
var before = []string{
	"HTTP/1.1 200 OK\r\n", "HTTP/1.1 404 Not Found\nContent-Length: 3\r\n", "HTTP/1.1 103 Early Hints\r\nA: b\r\n",
	"HTTP/1.1 102 Processing\r\n\r\n\r\nHTTP/1.1 503 Busy\r\nRetry-After: 1\r\n",
	"HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n:HTTP/1.1 200 OK\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 3\r\ncontent-type: a\r\n\r\n\n: HTTP/1.1 200 OK\r\n",
	"HTTP/1.1 200 OK\r\nCONTENT-LENGTH: 3\r\ntransfer-encoding: chunked\r\n\r\n1;a=\" : \"\r\n:\r\n00C\r\n \r\n: 0\r\n\r\n\n\n\r\n0\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 9999999999999999999999\r\nTransfer-Encoding: chunked\r\n\r\n0;x\r\nContent-Length: 1\r\n",
}

// TestFieldNames guards against passing on a whole head or trailer with a field whose name is no token,
// and against rejecting a token.
func TestFieldNames(t *testing.T) {
	for _, before := range before {
		for char := range 256 {
			text := string([]byte{byte(char)})
			for index, name := range []string{text + "Name", "Na" + text + "me", "Name" + text} {
				if char == ':' && index > 0 {
					continue
				}
				for _, reader := range readers(before + name + ": x\r\n\r\n") {
					g := gomega.NewWithT(t)
					content, err := io.ReadAll(reader)
					if strings.Contains(tokenBytes, text) {
						g.Expect(string(content), err).To(gomega.Equal(before+name+": x\r\n\r\n"), "%q after %q", name, before)
						continue
					}
					g.Expect(err).To(gomega.MatchError(syntax.ErrInvalid), "%q after %q", name, before)
					g.Expect(before+name+":").To(gomega.HavePrefix(string(content)), "%q after %q", name, before)
				}
			}
		}
	}
}

// oneByteConn returns one byte in each read.
type oneByteConn struct{ net.Conn }

// Read implements net.Conn.
func (c oneByteConn) Read(buffer []byte) (int, error) {
	return c.Conn.Read(buffer[:min(1, len(buffer))])
}

// TestConn guards against clients of fasthttp that take a response with an invalid status for a valid
// one, on a new connection or after other responses, and against changing valid ones.
func TestConn(t *testing.T) {
	const before = "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nHTTP/1.1 000 OK\n"
	for _, bytewise := range []bool{false, true} {
		for _, test := range cases {
			for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
				g := gomega.NewWithT(t)
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				go func() {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					defer conn.Close()
					reader := bufio.NewReader(conn)
					for _, answer := range []string{before, interim + test.text + rest, before} {
						var request fasthttp.Request
						if request.Read(reader) != nil {
							return
						}
						_, _ = io.WriteString(conn, answer)
					}
				}()
				client := fasthttp.HostClient{
					Addr: listener.Addr().String(), MaxIdemponentCallAttempts: 1,
					RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
					Dial: func(address string) (net.Conn, error) {
						conn, err := net.Dial("tcp", address)
						if bytewise {
							conn = oneByteConn{conn}
						}
						return syntax.NewConn(conn), err
					},
				}
				do := func() (string, error) {
					var request fasthttp.Request
					var response fasthttp.Response
					request.SetRequestURI("http://" + client.Addr + "/")
					err := client.DoTimeout(&request, &response, 3*time.Second)
					return string(response.Body()), err
				}
				g.Expect(do()).To(gomega.Equal("HTTP/1.1 000 OK\n"))
				body, err := do()
				if test.isValid {
					g.Expect(body, err).To(gomega.Equal("ok"), test.text)
					g.Expect(do()).To(gomega.Equal("HTTP/1.1 000 OK\n"))
				} else {
					g.Expect(err).To(gomega.HaveOccurred(), "%q was taken for a response", interim+test.text)
				}
				client.CloseIdleConnections()
				_ = listener.Close()
			}
		}
	}
}
