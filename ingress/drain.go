package ingress

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

const (
	// drainListen is the part of the grace for which new connections are accepted:
	// callers keep addresses for a while.
	drainListen = 0.6
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
	i.broadcast(began)
	listen := began.Add(time.Duration(float64(i.settings.StopGrace) * drainListen))
	for time.Now().Before(listen) {
		time.Sleep(drainLook)
	}
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
