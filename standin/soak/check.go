package soak

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/fuchsiarouter/fuchsiarouter/standin/stagedengine"
)

// ran is a run and the server that it was on.
type ran struct {
	stagedengine.Run
	server string
}

// check compares what callers and servers have seen, and returns the broken promises.
func (f *fleet) check(attempts []attempt) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := map[string][]ran{}
	for _, one := range f.all {
		for _, run := range one.Runs() {
			runs[run.ID] = append(runs[run.ID], ran{run, one.ID})
		}
	}
	var broken []string
	for _, one := range attempts {
		if fault := f.fault(one, runs[one.id]); fault != "" {
			broken = append(broken, fmt.Sprintf("%s %s: %s (status %d)", one.id, one.path, fault, one.status))
		}
	}
	return broken
}

// fault returns what is wrong with an attempt, or nothing.
func (f *fleet) fault(one attempt, runs []ran) string {
	gone, revoked := f.revoked[keyName(one.key)]
	switch {
	case one.path == "/book/" && len(runs) > 1:
		return fmt.Sprintf("ran %d times", len(runs))
	case promisesNotRun(one.status) && len(runs) > 0:
		return "refused and ran"
	case revoked && one.sent.After(gone.Add(revocation)) && len(runs) > 0:
		return fmt.Sprintf("ran %v after its key was taken away", one.sent.Sub(gone))
	case one.status == http.StatusUnauthorized && !revoked:
		return "a key in force was refused"
	case one.status == http.StatusNotFound:
		return "a route in force was not found"
	case one.status == http.StatusOK && len(runs) == 0:
		return "answered without a run"
	}
	for _, run := range runs {
		if run.Workspace != fmt.Sprintf("w%d", one.key) || run.URI != one.path || run.Body != "{}" {
			return "ran as another request"
		}
	}
	if one.status != http.StatusOK {
		return ""
	}
	if one.path == "/llm/stream" {
		return checkStream(one)
	}
	for _, run := range runs {
		if one.body == "answer of "+run.server {
			return ""
		}
	}
	if one.failed {
		return ""
	}
	return "the answer is not that of its server"
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkStream checks that events come once and in order, and that only a whole stream
// ends as one.
func checkStream(one attempt) string {
	var all strings.Builder
	for event := 1; event <= events; event++ {
		fmt.Fprintf(&all, "id: %d\ndata: %d\n\n", event, event)
	}
	switch {
	case !strings.HasPrefix(all.String(), one.body):
		return fmt.Sprintf("events are missing or double: %q", one.body)
	case !one.failed && one.body != all.String():
		return "the stream looks whole and is not"
	}
	return ""
}
