package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	hostName = "h.example"
	apiKey   = "k1"
)

// configuration returns a configuration with an unsafe and a safe route to the service
// "plain". timeoutMs is that of both.
func configuration(timeoutMs int) string {
	return fmt.Sprintf(`{"version":1,"routes":[
 {"name":"booking","host":%q,"pathPrefix":"/book/","kind":"unsafe","timeoutMs":%d,"targetLatencyMs":100,"priority":2,"service":"plain","maxAttempts":1,"public":false,"sticky":false},
 {"name":"stock","host":%q,"pathPrefix":"/stock/","kind":"safe","timeoutMs":%d,"targetLatencyMs":100,"priority":2,"service":"plain","maxAttempts":2,"public":false,"sticky":false}],
 "services":[{"name":"plain","healthPath":"/health","maxConns":96}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":60000},
 "tenants":[{"name":"w","apiKeys":[%q]}]}`, hostName, timeoutMs, hostName, timeoutMs, apiKey)
}

// answer is the outcome of one client attempt.
type answer struct {
	id     string
	status int
	sealed bool
	body   []byte
	err    error
	took   time.Duration
}

var attempts atomic.Int64

// newAttemptID returns the id of a client attempt.
func newAttemptID() string { return fmt.Sprintf("%016x", 0x1c41000000000000+attempts.Add(1)) }

// send sends one client attempt on a new connection. The client waits for the deadline and
// then closes the connection.
func send(ctx context.Context, e *entry, id, method, path, contentType string, body []byte, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.address+path, bytes.NewReader(body))
	if err != nil {
		return answer{id: id, err: err}
	}
	request.Host = hostName
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	sent := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return answer{id: id, err: err, took: time.Since(sent)}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return answer{
		id: id, status: response.StatusCode, sealed: response.Header.Get("X-Server-Seal") != "", body: content, err: err, took: time.Since(sent),
	}
}

// String describes the answer for the record.
func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s: no whole answer after %d ms (%v)", a.id, a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%s: status %d, sealed %t, %d bytes after %d ms", a.id, a.status, a.sealed, len(a.body), a.took.Milliseconds())
}
