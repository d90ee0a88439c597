// Package telemetry creates the logger and the metrics of a daemon.
//
// Logs are JSON lines on standard error, or on the writer that NewBoundedLogger gets. Every
// line of a daemon has the fields "daemon", the kind, and "id"; a line about a request has
// "request-id", one about a version "model" and "digest", one about a peer "peer", and one
// about a failure "error", or "cause" without a stack trace. Metrics are published in the
// Prometheus format.
package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"
)

// reportInterval is the interval at which the counted values are passed to the page that
// Metrics.Handler serves.
const reportInterval = time.Second

// NewLogger returns the logger of a daemon, which writes to standard error. daemon is the
// kind of the daemon. level is the lowest level that is logged; if it is empty, that is info.
func NewLogger(daemon, id, level string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.Sampling = nil
	config.DisableStacktrace = true
	config.EncoderConfig.TimeKey = "time"
	config.EncoderConfig.EncodeTime = func(at time.Time, encoder arrayEncoder) {
		encoder.AppendString(at.UTC().Format(time.RFC3339Nano))
	}
	if level != "" {
		parsed, err := zap.ParseAtomicLevel(level)
		if err != nil {
			return nil, errors.Wrap(err, "log level")
		}
		config.Level = parsed
	}
	logger, err := config.Build()
	if err != nil {
		return nil, errors.Wrap(err, "logger")
	}
	return logger.With(zap.String("daemon", daemon), zap.String("id", id)), nil
}

// Metrics holds the metrics of a daemon and the HTTP handler that publishes them.
type Metrics struct {
	// Scope creates the metrics.
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns the metrics of a daemon. Their names begin with "fuchsiarouter_" and
// daemon, the kind of the daemon.
func NewMetrics(daemon string) Metrics {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "fuchsiarouter_" + daemon,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The names of the library's own metrics are invalid in Prometheus, and its
		// reporter panics on them.
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops the updates at reportInterval.
func (m Metrics) Close() error { return m.closer.Close() }
