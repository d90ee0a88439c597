package ingress

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

const (
	// logRate bounds the lines about requests, in lines a second, and logBurst how
	// many come at once. An entry serves about 60 requests a second in a flood.
	logRate  = 150
	logBurst = 300
)

// requestLog writes lines about requests, within a bound.
type requestLog struct {
	log     *zap.Logger
	limiter *rate.Limiter
	dropped atomic.Int64
}

func newRequestLog(log *zap.Logger) *requestLog {
	return &requestLog{log: log, limiter: rate.NewLimiter(logRate, logBurst)}
}

func (l *requestLog) write(message string, fields []zap.Field) {
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return
	}
	if dropped := l.dropped.Swap(0); dropped > 0 {
		l.log.Warn("lines about requests left out", zap.Int64("lines", dropped))
	}
	l.log.Info(message, fields...)
}

// latencyBuckets are the bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second,
}

// counters are the metrics of an ingress.
type counters struct {
	scope      tally.Scope
	newsFailed tally.Counter
	total      tally.Histogram
	first      tally.Histogram
	inFlight   tally.Gauge
	viewAge    tally.Gauge
	open       tally.Gauge
}

func newCounters(scope tally.Scope) counters {
	return counters{
		scope:      scope,
		newsFailed: scope.Counter("news_failed"),
		total:      scope.Histogram("request_seconds", latencyBuckets),
		first:      scope.Histogram("first_event_seconds", latencyBuckets),
		inFlight:   scope.Gauge("requests_in_flight"),
		viewAge:    scope.Gauge("view_age_seconds"),
		open:       scope.Gauge("server_connections"),
	}
}

func (c *counters) ended(code result.Code, took time.Duration) {
	c.scope.Tagged(map[string]string{"result": code.Name}).Counter("requests").Inc(1)
	c.total.RecordDuration(took)
}

func (c *counters) firstEvent(took time.Duration) { c.first.RecordDuration(took) }

// report sets the gauges.
func (c *counters) report(i *Ingress) {
	c.inFlight.Update(float64(i.inFlight.Load()))
	c.viewAge.Update(i.mirror.Age().Seconds())
	c.open.Update(float64(i.exchange.Open()))
}

// peerHandler answers other daemons and the metrics page.
func (i *Ingress) peerHandler(records fasthttp.RequestHandler, metrics telemetry.Metrics) fasthttp.RequestHandler {
	page := fasthttpadaptor.NewFastHTTPHandler(http.HandlerFunc(metrics.Handler.ServeHTTP))
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/metrics" {
			page(ctx)
			return
		}
		records(ctx)
	}
}
