package ingress

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/result"
)

// bodyLimit returns the size up to which bodies are read.
func (i *Ingress) bodyLimit() int {
	if configuration := i.mirror.View().Configuration; configuration != nil && configuration.Limits.BodyBytes > 0 {
		return min(configuration.Limits.BodyBytes, maxBodyBytes)
	}
	return maxBodyBytes
}

// readBody reads the body of a request. It returns the error to report to the caller if the body is too
// large, cannot be read, or was dropped for lack of memory; the connection is then closed.
func (i *Ingress) readBody(r *request) *result.Error {
	hold, failure := i.memory.Read(i.unanswered, r.ctx, i.bodyLimit())
	if failure == nil {
		if hold != nil {
			r.bodyHold, r.received = hold, time.Now()
		}
		return nil
	}
	if failure.Code == result.Leaving {
		failure = leavingError()
	}
	i.identify(r)
	i.memory.Refuse(r.ctx, failure)
	return failure
}

// identify sets what the log line of a refused request says about its caller.
func (i *Ingress) identify(r *request) {
	r.RequestHead = i.dialect.ParseRequest(&r.ctx.Request.Header)
	if r.configuration = i.mirror.View().Configuration; r.configuration == nil {
		return
	}
	if workspace := r.configuration.Workspace(r.APIKey); workspace != nil {
		r.workspace = workspace.Name
	}
}
