package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// callerTimeout bounds a request, from connecting to the end of the response body. It is
// also sent with the request as the caller's deadline.
const callerTimeout = 4 * time.Second

// callerRequest is a request sent by a caller, with its outcome.
type callerRequest struct {
	// requestID is sent in the header X-Attempt-Id. Backend servers record it with the
	// request.
	requestID string
	path      string
	// keyIndex is the index of the API key, which also determines the workspace.
	keyIndex int
	// entry is the one that the request was sent to.
	entry   *entry
	sentAt  time.Time
	endedAt time.Time
	// status and body are those of the response. The status is 0 if there was none.
	status int
	body   string
	// failed reports a transport error; the body may then be incomplete.
	failed bool
}

// succeeded reports whether the response is complete and has status 200.
func (r callerRequest) succeeded() bool { return !r.failed && r.status == http.StatusOK }

// caller sends requests one at a time over keep-alive connections and records them. It
// chooses the path, the API key and the entry of each request at random.
type caller struct {
	fleet *fleet
	rng   *rand.Rand
	// index distinguishes the request IDs of this caller from those of the others.
	index    int
	client   *http.Client
	requests []callerRequest
}

func newCaller(f *fleet, rng *rand.Rand, index int) *caller {
	return &caller{fleet: f, rng: rng, index: index, client: &http.Client{
		Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2},
	}}
}

// sendUntilDone sends requests until the context ends. It then still waits for the response
// to the request in progress.
func (c *caller) sendUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		request := callerRequest{
			requestID: fmt.Sprintf("c%d-%d", c.index, len(c.requests)),
			path:      []string{"/book/", "/stock/", "/llm/stream"}[c.rng.IntN(3)], keyIndex: c.rng.IntN(keyCount),
		}
		request.entry = c.fleet.entries[c.rng.IntN(len(c.fleet.entries))]
		c.send(&request, request.entry.callerAddress)
		request.endedAt = time.Now()
		c.requests = append(c.requests, request)
		sleep(ctx, time.Duration(c.rng.IntN(40))*time.Millisecond)
	}
}

// send sends a request to the entry at the address and records its outcome.
func (c *caller) send(sent *callerRequest, address string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+sent.path, strings.NewReader("{}"))
	if err != nil {
		sent.failed = true
		return
	}
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", sent.requestID)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	request.Header.Set("X-Model", "m")
	request.Header.Set("Authorization", "Bearer "+apiKey(sent.keyIndex))
	sent.sentAt = time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		sent.failed = true
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	sent.status, sent.body, sent.failed = response.StatusCode, string(body), err != nil
}
