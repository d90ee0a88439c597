package ingress

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

const (
	// drainAccept is the longest time for which requests are accepted after the signal
	// to stop: callers keep addresses for some seconds. drainShare bounds it as a part
	// of the grace; a long stream takes the rest.
	drainAccept = 3 * time.Second
	drainShare  = 0.37
	// drainMargin is kept before the process is killed.
	drainMargin = 900 * time.Millisecond
	// drainLook is the time between two looks at the requests in progress.
	drainLook = 50 * time.Millisecond
)

// Drain ends the daemon within the grace: the other entries and callers learn at
// once that it is leaving, requests that come are still served, and those in
// progress end. It reports whether all of them did.
func (i *Ingress) Drain() bool {
	began := time.Now()
	i.leaving.Store(true)
	i.log.Info("leaving", zap.Int64("in-progress", i.inFlight.Load()))
	i.broadcast(began, true)
	accept := min(drainAccept, time.Duration(float64(i.settings.StopGrace)*drainShare))
	time.Sleep(accept)
	i.closed.Store(true)
	end := began.Add(i.settings.StopGrace - drainMargin)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := i.callers.ShutdownWithContext(ctx); err != nil {
		i.log.Warn("requests in progress at the end of the grace", zap.Int64("in-progress", i.inFlight.Load()), telemetry.Cause(err))
	}
	for i.inFlight.Load() > 0 && time.Now().Before(end) {
		time.Sleep(drainLook)
	}
	whole := i.inFlight.Load() <= 0
	close(i.stop)
	return whole
}
