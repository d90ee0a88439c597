package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// stopStreamTimeout and stopPlainTimeout are the times for which callers wait for streams and
	// for other responses.
	stopStreamTimeout = 6 * time.Second
	stopPlainTimeout  = 4 * time.Second
	// maxPiecePause bounds the pause between two pieces of a request.
	maxPiecePause = 120 * time.Millisecond
	// maxCallerPause bounds the pause between two requests of a caller.
	maxCallerPause = 30 * time.Millisecond
)

// stopRequest is a request of a stopCaller, with its outcome.
type stopRequest struct {
	id, path string
	entry    *entry
	// framing is how the end of the body is marked: "length" or "chunked".
	framing string
	timeout time.Duration
	// sentAt and sentWholeAt are the times at which the first and the last byte was sent.
	sentAt, sentWholeAt, endedAt time.Time
	// status is that of the response, 0 if there was none.
	status   int
	received int
	// err says why there was no complete answer, nil if there was one.
	err error
	// notSent is set if the request could not be written whole.
	notSent bool
}

// stopCaller sends requests one at a time on connections that it keeps until the entry says that
// it closes them.
type stopCaller struct {
	fleet    *fleet
	rng      *rand.Rand
	index    int
	conns    map[*entry]*callerConn
	requests []stopRequest
}

type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func newStopCaller(f *fleet, rng *rand.Rand, index int) *stopCaller {
	return &stopCaller{fleet: f, rng: rng, index: index, conns: map[*entry]*callerConn{}}
}

// sendUntilDone sends requests until the context ends. It prefers the entry of its last request, so
// that entries get requests until they refuse connections.
func (c *stopCaller) sendUntilDone(ctx context.Context) {
	current := c.fleet.entries[c.index%len(c.fleet.entries)]
	for ctx.Err() == nil {
		if c.rng.IntN(4) == 0 {
			current = c.fleet.entries[c.rng.IntN(len(c.fleet.entries))]
		}
		conn := c.conns[current]
		if conn == nil {
			dialed, err := net.DialTimeout("tcp", current.callerAddress, time.Second)
			if err != nil {
				current = c.fleet.entries[c.rng.IntN(len(c.fleet.entries))]
				sleep(ctx, maxCallerPause)
				continue
			}
			conn = &callerConn{dialed, bufio.NewReader(dialed)}
			c.conns[current] = conn
		}
		request := stopRequest{
			id: fmt.Sprintf("s%d-%d", c.index, len(c.requests)), entry: current, timeout: stopPlainTimeout,
			path:    []string{"/llm/stream", "/llm/stream", "/once/stream", "/book/x", "/stock/x"}[c.rng.IntN(5)],
			framing: []string{"length", "chunked"}[c.rng.IntN(2)],
		}
		if strings.HasSuffix(request.path, "stream") {
			request.timeout = stopStreamTimeout
		}
		if keep := c.send(conn, &request); !keep {
			_ = conn.Close()
			delete(c.conns, current)
		}
		c.requests = append(c.requests, request)
		sleep(ctx, time.Duration(c.rng.Int64N(int64(maxCallerPause))))
	}
}

// send sends a request, in pieces or at once, and records its outcome. It reports whether the
// connection can be used again.
func (c *stopCaller) send(conn *callerConn, request *stopRequest) (keep bool) {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Model: m\r\nAuthorization: Bearer %s\r\n",
		request.path, request.id, request.timeout.Milliseconds(), apiKey(c.index%keyCount))
	pieces := []string{head + "Content-Length: 12\r\n\r\n", "first ", "second"}
	if request.framing == "chunked" {
		pieces = []string{head + "Transfer-Encoding: chunked\r\n\r\n6\r\nfirst ", "\r\n6\r\nsecond\r\n", "0\r\n\r\n"}
	}
	if c.rng.IntN(2) == 0 {
		pieces = []string{strings.Join(pieces, "")}
	}
	request.sentAt = time.Now()
	defer func() { request.endedAt = time.Now() }()
	_ = conn.SetDeadline(request.sentAt.Add(request.timeout + time.Second))
	for index, piece := range pieces {
		if index > 0 {
			time.Sleep(time.Duration(c.rng.Int64N(int64(maxPiecePause))))
		}
		if _, request.err = io.WriteString(conn, piece); request.err != nil {
			request.notSent = true
			return false
		}
	}
	request.sentWholeAt = time.Now()
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		request.err = err
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	request.status, request.received, request.err = response.StatusCode, len(body), err
	return err == nil && !response.Close
}
