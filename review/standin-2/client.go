package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// attempts numbers the attempts of all clients.
var attempts atomic.Int64

// call is one attempt of a client, with an id of its own.
type call struct {
	method, path, body, key string
	deadline                time.Duration
}

// outcome is what a client got.
type outcome struct {
	attempt string
	status  int
	sealed  bool
	err     error
	sent    time.Time
	took    time.Duration
}

func (o outcome) String() string {
	if o.err != nil {
		return "no answer"
	}
	return fmt.Sprint(o.status)
}

// send sends a call to a front on a connection of its own.
func (c call) send(f *front, host string) outcome {
	o := outcome{attempt: fmt.Sprintf("a%06d", attempts.Add(1)), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+f.callers()+c.path, strings.NewReader(c.body))
	if err != nil {
		o.err = err
		return o
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", o.attempt)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err == nil {
		o.status, o.sealed = response.StatusCode, response.Header.Get("X-Server-Seal") != ""
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	o.err, o.took = err, time.Since(o.sent)
	return o
}
