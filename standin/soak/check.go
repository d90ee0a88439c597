package soak

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/fuchsiarouter/fuchsiarouter/standin/backendserver"
)

// serverRun is a request that ran on a backend server, with the ID of that server.
type serverRun struct {
	backendserver.Run
	serverID string
}

// findViolations compares the requests that callers sent with the runs that backend servers
// recorded, and returns a description of each request that violates an invariant.
func (f *fleet) findViolations(requests []callerRequest) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := map[string][]serverRun{}
	for _, server := range f.allServers {
		for _, run := range server.Runs() {
			runs[run.RequestID] = append(runs[run.RequestID], serverRun{run, server.ID})
		}
	}
	var violations []string
	for _, run := range runs[hostileID] {
		violations = append(violations, fmt.Sprintf("a hostile request ran on %s with a body of %d bytes", run.serverID, len(run.Body)))
	}
	for _, request := range requests {
		if violation := f.findViolation(request, runs[request.requestID]); violation != "" {
			violations = append(violations, fmt.Sprintf("%s %s: %s (status %d)", request.requestID, request.path, violation, request.status))
		}
	}
	return append(violations, f.findAvailabilityViolations(requests)...)
}

// findViolation returns a description of the invariant that a request violates, given its
// runs on all backend servers, or an empty string if it violates none.
func (f *fleet) findViolation(request callerRequest, runs []serverRun) string {
	revokedAt, revoked := f.revokedAt[apiKey(request.keyIndex)]
	switch {
	case request.path == "/book/" && len(runs) > 1:
		return fmt.Sprintf("ran %d times", len(runs))
	case impliesNotRun(request.status) && len(runs) > 0:
		return "the status says that the request did not run, but it ran"
	case revoked && request.sentAt.After(revokedAt.Add(revocationBound)) && len(runs) > 0:
		return fmt.Sprintf("ran although it was sent %v after its API key was revoked", request.sentAt.Sub(revokedAt))
	case request.status == http.StatusUnauthorized && !revoked:
		return "a valid API key was rejected"
	case request.status == http.StatusNotFound:
		return "a configured route was not found"
	case request.status == http.StatusOK && len(runs) == 0:
		return "succeeded without running on any server"
	}
	for _, run := range runs {
		if run.Workspace != fmt.Sprintf("w%d", request.keyIndex) || run.URI != request.path || run.Body != "{}" {
			return "ran with a different workspace, URI or body"
		}
	}
	if request.status != http.StatusOK {
		return ""
	}
	if request.path == "/llm/stream" {
		return findStreamViolation(request)
	}
	for _, run := range runs {
		if request.body == "answer of "+run.serverID {
			return ""
		}
	}
	if request.failed {
		return ""
	}
	return "the response is from a server that did not run the request"
}

// impliesNotRun reports whether the status of an entry's response guarantees that no backend
// server ran the request.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// findStreamViolation checks that events arrive once and in order, and that a response
// without a transport error contains the whole stream. It returns a description of the
// violation, or an empty string if there is none.
func findStreamViolation(request callerRequest) string {
	var whole strings.Builder
	for event := 1; event <= eventsPerStream; event++ {
		fmt.Fprintf(&whole, "id: %d\ndata: %d\n\n", event, event)
	}
	switch {
	case !strings.HasPrefix(whole.String(), request.body):
		return fmt.Sprintf("stream events are missing, duplicated or out of order: %q", request.body)
	case !request.failed && request.body != whole.String():
		return "the stream ended without an error but is incomplete"
	}
	return ""
}
