package platformtest_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/backendserver"
)

// dialEntry opens a connection to the entry, which is closed at the end of the test.
func (f *testFleet) dialEntry(g *gomega.WithT) net.Conn {
	conn, err := net.Dial("tcp", f.callerAddress)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	f.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	return conn
}

// hiddenRequest is a request inside the body of another one, which must not run.
const hiddenRequest = "GET /stock/hidden HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: 2\r\n\r\n"

// TestTooLargeBodyIsRefusedAtOnce guards against reading a body above the limit to its end, against a
// caller that gets no response since the connection is reset, and against taking the rest of such a
// body for a request. The limit is 10,000 bytes; the callers send no end and wait.
func TestTooLargeBodyIsRefusedAtOnce(t *testing.T) {
	f := startFleet(t)
	body := strings.Repeat(hiddenRequest, 10002/len(hiddenRequest)+1)
	for _, test := range []struct{ name, framing, sent string }{
		{"announced, nothing sent but a byte", "Content-Length: 10001", "a"},
		{"announced, all sent", fmt.Sprint("Content-Length: ", len(body)), body},
		{"announced far above, all sent", "Content-Length: 67108864", strings.Repeat(body, 20)},
		{"one chunk", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", len(body), body)},
		{"one chunk that is not whole", "Transfer-Encoding: chunked", "7fffff\r\n" + body},
		{"chunks of one byte", "Transfer-Encoding: chunked", strings.Repeat("1\r\na\r\n", 10001)},
		{"many chunks", "Transfer-Encoding: chunked", strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", len(body), body), 20)},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			conn := f.dialEntry(g)
			_, err := io.WriteString(conn, hostileHead(test.framing)+test.sent)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer response.Body.Close()
			g.Expect(response.StatusCode).To(gomega.Equal(http.StatusRequestEntityTooLarge))
			g.Expect(response.Close).To(gomega.BeTrue())
			g.Expect(response.Header.Get("Fuchsiarouter-Ran")).To(gomega.Equal("no"))
			_, err = io.Copy(io.Discard, response.Body)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = reader.ReadByte()
			g.Expect(err).To(gomega.Equal(io.EOF))
		})
	}
	gomega.NewWithT(t).Expect(f.allRuns(f.plainServers)).To(gomega.BeEmpty())
}

// TestBodiesOnOneConnection guards against a body, or a part of one, that is forwarded with another
// request on the same connection, and against closing the connection of an ordinary caller.
func TestBodiesOnOneConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	conn := f.dialEntry(g)
	reader := bufio.NewReader(conn)
	var sent []string
	for _, length := range []int{0, 1, 8191, 8192, 8193, 10000, 5, 10000, 0} {
		for _, framing := range []string{"length", "length in two parts", "chunked", "small chunks", "expectation"} {
			body := strings.Repeat(string(rune('a'+len(sent)%26)), length)
			id := fmt.Sprintf("%x", len(sent))
			head := fmt.Sprintf("POST /book/%s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: %s\r\n", id, id)
			parts := []string{head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, body)}
			switch framing {
			case "length in two parts":
				parts = []string{parts[0][:len(parts[0])-length/2], parts[0][len(parts[0])-length/2:]}
			case "chunked", "small chunks":
				size := max(1, length)
				if framing == "small chunks" {
					size = 100
				}
				text := head + "Transfer-Encoding: chunked\r\n\r\n"
				for chunk := range slices.Chunk([]byte(body), size) {
					text += fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
				}
				parts = []string{text, "0\r\n\r\n"}
			case "expectation":
				parts = []string{head + fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", length), body}
			}
			for index, part := range parts {
				if index > 0 {
					time.Sleep(5 * time.Millisecond)
				}
				_, err := io.WriteString(conn, part)
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			response, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if response.StatusCode == http.StatusContinue {
				response, err = http.ReadResponse(reader, nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			_, err = io.Copy(io.Discard, response.Body)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(response.Body.Close()).To(gomega.Succeed())
			g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK), "%s %d", framing, length)
			g.Expect(response.Close).To(gomega.BeFalse(), "%s %d", framing, length)
			sent = append(sent, body)
		}
	}
	runs := f.allRuns(f.plainServers)
	slices.SortFunc(runs, func(a, b backendserver.Run) int { return a.StartedAt.Compare(b.StartedAt) })
	g.Expect(runs).To(gomega.HaveLen(len(sent)))
	for index, run := range runs {
		g.Expect(run.Body).To(gomega.Equal(sent[index]))
		g.Expect(run.URI).To(gomega.Equal(fmt.Sprintf("/book/%x", index)))
	}
}

// TestStopEndsUnfinishedBodies guards against a stop that waits for a body which does not end, and
// against a caller that is not told that its request did not run.
func TestStopEndsUnfinishedBodies(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	conn := f.dialEntry(g)
	_, err := io.WriteString(conn, hostileHead("Content-Length: 9500")+strings.Repeat("a", 9400))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	f.ingress.Drain()
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 3*time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(response.Header.Get("Fuchsiarouter-Result")).To(gomega.Equal("2006 leaving"))
	g.Expect(response.Header.Get("Fuchsiarouter-Ran")).To(gomega.Equal("no"))
}
