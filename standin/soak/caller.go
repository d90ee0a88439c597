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

// callerTimeout is how long a caller waits for an answer.
const callerTimeout = 4 * time.Second

// attempt is one request of a caller and what came of it.
type attempt struct {
	id     string
	path   string
	key    int
	sent   time.Time
	status int
	body   string
	failed bool
}

func (a attempt) served() bool { return !a.failed && a.status == http.StatusOK }

// caller sends one request after the other over connections that it keeps.
type caller struct {
	fleet    *fleet
	random   *rand.Rand
	number   int
	client   *http.Client
	attempts []attempt
}

func newCaller(f *fleet, random *rand.Rand, number int) *caller {
	return &caller{fleet: f, random: random, number: number, client: &http.Client{
		Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2},
	}}
}

// work sends requests until the context ends; the one under way is finished.
func (c *caller) work(ctx context.Context) {
	for ctx.Err() == nil {
		made := attempt{
			id:   fmt.Sprintf("c%d-%d", c.number, len(c.attempts)),
			path: []string{"/book/", "/stock/", "/llm/stream"}[c.random.IntN(3)], key: c.random.IntN(keys),
		}
		c.send(&made, c.fleet.entries[c.random.IntN(len(c.fleet.entries))].callers)
		c.attempts = append(c.attempts, made)
		sleep(ctx, time.Duration(c.random.IntN(40))*time.Millisecond)
	}
}

func (c *caller) send(made *attempt, address string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+made.path, strings.NewReader("{}"))
	if err != nil {
		made.failed = true
		return
	}
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", made.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	request.Header.Set("X-Model", "m")
	request.Header.Set("Authorization", "Bearer "+keyName(made.key))
	made.sent = time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		made.failed = true
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	made.status, made.body, made.failed = response.StatusCode, string(body), err != nil
}
