package ingress

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

const (
	// maxDrainAccept is the longest time for which new requests are still accepted after
	// the stop signal: callers cache the addresses of entries for maxDirectoryTTL and send
	// requests here meanwhile. The platform's bound is 3 s from its sending of the signal, and
	// a process with a fraction of a core handles the signal some time after that.
	// drainAcceptShare bounds the time as a fraction of the grace period, Settings.StopGrace;
	// the rest is left for long streams.
	maxDrainAccept   = 2500 * time.Millisecond
	drainAcceptShare = 0.37
	// drainMargin is the time before the end of the grace period, when the process is
	// killed, at which requests without an answer are ended with an error.
	drainMargin = 900 * time.Millisecond
	// exitMargin is the time before the end of the grace period up to which responses are still
	// written to callers, and streams that have begun go on. exitMarginShare bounds it as a
	// fraction of the grace period.
	exitMargin      = 400 * time.Millisecond
	exitMarginShare = 0.125
	// cutTime is the time for closing the connections of the streams that are cut.
	cutTime = 50 * time.Millisecond
)

// errStopped is the cause for which requests are cancelled that would outlast the grace period.
var errStopped = errors.New("the entry stopped")

// Drain stops the daemon within the grace period. The other entries and, through the
// directory, the callers learn immediately that the daemon is draining. New requests are
// still accepted for a while, unless they can outlast the grace period and must not be repeated.
// Requests in progress run to their end. Those that have no answer shortly before the end of the
// grace period get an error. A stream that has begun goes on for as long as the process may run, and
// is cut then. Drain returns when the responses are written, or at the end of the grace period. It
// reports whether all requests ended by themselves.
func (i *Ingress) Drain() bool {
	startedAt, grace := time.Now(), i.settings.StopGrace
	end := startedAt.Add(grace - drainMargin)
	i.drainStart.Store(&startedAt)
	i.drainEnd.Store(&end)
	i.draining.Store(true)
	i.log.Info("leaving", zap.Int64("in-progress", i.inFlight.Load()))
	i.reportUrgently(startedAt, nil)
	accept := min(maxDrainAccept, time.Duration(float64(grace)*drainAcceptShare))
	time.Sleep(accept)
	i.rejecting.Store(true)
	cancelTimer := time.AfterFunc(time.Until(end), func() { i.endUnanswered(errStopped) })
	defer cancelTimer.Stop()
	exitAt := startedAt.Add(grace - min(exitMargin, time.Duration(float64(grace)*exitMarginShare)))
	ctx, cancel := context.WithDeadline(context.Background(), exitAt)
	defer cancel()
	// A request has ended when its response is set. The HTTP server waits until it is written.
	if err := i.callerServer.ShutdownWithContext(ctx); err != nil {
		// Outside of a shutdown, the server leaves one connection out for its listener.
		connections := i.callerServer.GetOpenConnectionsCount() + 1
		i.log.Warn("grace period ended with connections open", zap.Int64("in-progress", i.inFlight.Load()),
			zap.Int32("connections", connections), telemetry.Cause(err))
	}
	if i.inFlight.Load() > 0 {
		i.endLifetime(errStopped)
		time.Sleep(cutTime)
	}
	close(i.stop)
	return i.requestsEndedByStop.Load() == 0
}

// cancelAtStop cancels a request that has no answer when the entry stops, until its answer begins.
func (i *Ingress) cancelAtStop(r *request) {
	ctx, cancel := context.WithCancelCause(i.lifetime)
	r.callerCtx, r.cancelCallerCtx = ctx, func() { cancel(nil) }
	r.detachFromStop = context.AfterFunc(i.unanswered, func() { cancel(context.Cause(i.unanswered)) })
}

// beginAnswer makes the request independent of the time at which requests without an answer are
// ended. It returns false if the request has just been ended.
func (r *request) beginAnswer() bool {
	if r.detachFromStop() {
		return true
	}
	<-r.callerCtx.Done()
	return false
}

// stopFields returns the log fields that say how far the stop of this entry has come. There are none
// before the stop signal.
func (i *Ingress) stopFields() []zap.Field {
	start, phase := i.drainStart.Load(), "accepting"
	switch {
	case start == nil:
		return nil
	case i.unanswered.Err() != nil:
		phase = "ended"
	case i.rejecting.Load():
		phase = "refusing"
	}
	return []zap.Field{zap.Duration("since-stop", time.Since(*start)), zap.String("stop-phase", phase)}
}

// checkStop returns the error for a request that must not be sent to a server, since this entry
// stops: the request could outlast the grace period, and nobody may repeat it.
func (i *Ingress) checkStop(r *request) *result.Error {
	end := i.drainEnd.Load()
	if end == nil || r.route.IsIdempotent() || r.deadline.Before(*end) {
		return nil
	}
	return leavingError()
}

// leavingError returns the error for a request that this entry does not serve since it stops.
func leavingError() *result.Error {
	return &result.Error{Code: result.Leaving, Message: "the entry is leaving", RetryAfter: drainingRetryAfter}
}
