package soak

import (
	"fmt"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/standin/backendserver"
)

const (
	// lossSlack is the time after the last byte of a request within which its connection may end
	// without an answer if no server got the request.
	lossSlack = 200 * time.Millisecond
	// lateSendBound is the time after the stop signal up to which a request may be sent that a
	// server is still at work on in the last part of the grace period.
	lateSendBound = 3 * time.Second
	// lastGraceShare is the last part of the grace period.
	lastGraceShare = 6
	// deadlineTolerance allows for the times at which the caller and the entry began to count.
	deadlineTolerance = 150 * time.Millisecond
	// applyBound is the time after the publication of a configuration from which no request is
	// handled under an older one.
	applyBound = 2 * time.Second
)

// stopServerRun is a run on a server.
type stopServerRun struct {
	backendserver.Run
	server *server
}

// stopAround returns the last stop of the entry of a request that began before the end of the request,
// if the request was in progress in its time, up to a second after the grace period.
func (r *stopRun) stopAround(request stopRequest) *stop {
	var last *stop
	for _, stopped := range r.stops {
		if stopped.entry == request.entry && request.endedAt.After(stopped.at) && request.sentAt.Before(stopped.at.Add(stopGrace+time.Second)) {
			last = stopped
		}
	}
	return last
}

// excuse returns why a request may have got no complete answer, or an empty string if nothing
// excuses that.
func (r *stopRun) excuse(request stopRequest, runs []stopServerRun) string {
	if request.notSent {
		return "not read"
	}
	if len(runs) == 0 && request.endedAt.Sub(request.sentWholeAt) <= lossSlack {
		return "crossed the close"
	}
	stopped := r.stopAround(request)
	for _, run := range runs {
		if run.server.disturbances.between(run.StartedAt, request.endedAt) {
			return "server broke off"
		}
		lastPart := time.Time{}
		if stopped != nil {
			lastPart = stopped.at.Add(stopGrace - stopGrace/lastGraceShare)
		}
		atWork := run.EndedAt.IsZero() || !run.EndedAt.Before(lastPart)
		if stopped != nil && atWork && !request.endedAt.Before(lastPart) && request.sentAt.Sub(stopped.at) <= lateSendBound {
			return "server at work at the end of the grace"
		}
	}
	if request.endedAt.Sub(request.sentAt) >= r.timeoutOf(request)-deadlineTolerance {
		return "deadline"
	}
	return ""
}

// timeoutOf returns the time after which a request may end without an answer: the shortest of the
// caller's own and those of the configurations that may have been in force.
func (r *stopRun) timeoutOf(request stopRequest) time.Duration {
	timeout := request.timeout
	if timeout != stopStreamTimeout {
		return timeout
	}
	for index, published := range r.streamTimeouts {
		superseded := index+1 < len(r.streamTimeouts) && r.streamTimeouts[index+1].at.Before(request.sentAt.Add(-applyBound))
		if !superseded && published.at.Before(request.sentWholeAt) {
			timeout = min(timeout, published.timeout)
		}
	}
	return timeout
}

// describe describes a request without a complete answer and its runs.
func (r *stopRun) describe(request stopRequest, runs []stopServerRun) string {
	text := fmt.Sprintf("%s %s %s at %s: status %d, %d bytes, %v, ended %v after its sending", request.id, request.path, request.framing,
		request.entry.name, request.status, request.received, request.err, request.endedAt.Sub(request.sentAt).Round(time.Millisecond))
	if stopped := r.stopAround(request); stopped != nil {
		text += fmt.Sprintf(", sent %v and ended %v after the stop", request.sentAt.Sub(stopped.at).Round(time.Millisecond),
			request.endedAt.Sub(stopped.at).Round(time.Millisecond))
	}
	for _, run := range runs {
		text += fmt.Sprintf(", ran on %s from %v", run.server.ID, run.StartedAt.Sub(request.sentAt).Round(time.Millisecond))
		if !run.EndedAt.IsZero() {
			text += fmt.Sprintf(" to %v", run.EndedAt.Sub(request.sentAt).Round(time.Millisecond))
		}
	}
	return text
}
