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

// TestCheck guards against taking a response with an invalid status for a valid one, however its
// bytes arrive.
func TestCheck(t *testing.T) {
	for _, test := range cases {
		for _, reader := range []io.Reader{strings.NewReader(test.text + rest), iotest.OneByteReader(strings.NewReader(test.text + rest))} {
			g := gomega.NewWithT(t)
			buffered := bufio.NewReader(reader)
			err := syntax.Check(buffered)
			if !test.isValid {
				g.Expect(err).To(gomega.MatchError(syntax.ErrInvalid), test.text)
				continue
			}
			g.Expect(err).NotTo(gomega.HaveOccurred(), test.text)
			content, err := io.ReadAll(buffered)
			g.Expect(string(content), err).To(gomega.Equal(test.text + rest))
		}
	}
}

// TestCheckLeavesOtherErrors guards against hiding how a connection ended.
func TestCheckLeavesOtherErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(syntax.Check(bufio.NewReader(strings.NewReader("HTTP/1.1 20")))).To(gomega.MatchError(io.EOF))
	for _, text := range []string{"nonsense\r\n", "HTTP/1.1 \r\n", "HTTP/1.1 2e2 OK\r\n", strings.Repeat("a", 8192)} {
		g.Expect(syntax.Check(bufio.NewReader(strings.NewReader(text)))).To(gomega.Succeed(), text[:4])
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
