package ingress

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/fuchsiarouter/fuchsiarouter/explanation"
	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

const (
	// requestLogRate bounds the log lines about requests, in lines per second, and
	// requestLogBurst the number of lines in a burst. In a flood an entry serves about 60
	// requests per second.
	requestLogRate  = 150
	requestLogBurst = 300
)

// requestLog writes log lines about requests at a limited rate.
type requestLog struct {
	log     *zap.Logger
	limiter *rate.Limiter
	// dropped is the number of lines that were dropped since the last one that was
	// written.
	dropped atomic.Int64
}

func newRequestLog(log *zap.Logger) *requestLog {
	return &requestLog{log: log, limiter: rate.NewLimiter(requestLogRate, requestLogBurst)}
}

// write logs a line, or counts it as dropped when the rate limit is exceeded. Before the
// first line after dropped ones, it logs their number.
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

// controlLog writes the log lines of the HTTP servers for other daemons and operators, at the limited
// rate of lines about requests. The error of a connection repeats parts of a request that cannot be
// read, which may be an API key, so of such errors only the kind is written.
type controlLog struct{ log *requestLog }

// Printf implements fasthttp.Logger.
func (l controlLog) Printf(format string, arguments ...any) {
	message := format
	if strings.Contains(format, "accepting") {
		message = fmt.Sprintf(format, arguments...)
	}
	l.log.write("control connection failed", []zap.Field{zap.String("detail", message)})
}

// latencyBuckets are the upper bounds of the buckets of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second,
}

// predictionBuckets are the upper bounds of the buckets of the histograms of prediction errors. The
// targets for first events are some hundreds of milliseconds.
var predictionBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond,
}

// requestMetrics holds the metrics of an ingress.
type requestMetrics struct {
	scope tally.Scope
	// statusFailures counts the status messages that could not be sent or received.
	statusFailures tally.Counter
	// duration is the time from the arrival of a request to its end.
	duration tally.Histogram
	// timeToFirstEvent is the time from the arrival of a request to the first event of its
	// response, for streamed responses only.
	timeToFirstEvent tally.Histogram
	// predictedTooShort and predictedTooLong are the amounts by which first events were later and
	// earlier than predicted, for services that count engine time.
	predictedTooShort tally.Histogram
	predictedTooLong  tally.Histogram
	// firstEvents counts the first events of those services, by the length of the prompt (index 1
	// if it is longer than the mean) and by whether they met their target (index 1).
	firstEvents [2][2]tally.Counter
	inFlight    tally.Gauge
	// configurationAge is the age of the copy of the configuration, in seconds.
	configurationAge tally.Gauge
	// acknowledgedAge is the longest time since that copy had every acknowledged configuration, in seconds.
	acknowledgedAge tally.Gauge
	// serversLeaving counts the servers that have told this entry that they leave, serverPauses the
	// pauses that servers have asked it for, and requestsWithheld the requests that were not sent
	// to a selected server for either reason, or because it may no longer get them where it is.
	serversLeaving   tally.Counter
	serverPauses     tally.Counter
	requestsWithheld tally.Counter
	// requestsOutdated counts the requests that were withdrawn from servers with an older version.
	requestsOutdated tally.Counter
	// coldServers is the number of servers that are cold or in their slow start, and coldWithheld
	// counts how often one was left out because of its limit. coldWithheldSeen is the count that
	// coldWithheld has.
	coldServers      tally.Gauge
	coldWithheld     tally.Counter
	coldWithheldSeen uint64
	// shareServices is the number of services that are shared fairly among the workspaces,
	// shareOverloadedRanks that of their ranks that are overloaded, and shareCountersAge the largest age
	// of the counters of the other entries in seconds. shareRefused counts the requests that were
	// refused because of the share of their workspace, and shareHeld how often a free slot was left to
	// other entries. shareRefusedSeen and shareHeldSeen are the counts that they have.
	shareServices, shareOverloadedRanks, shareCountersAge tally.Gauge
	shareRefused, shareHeld                               tally.Counter
	shareRefusedSeen, shareHeldSeen                       uint64
	// evacuatedZones is the number of evacuated availability zones.
	evacuatedZones tally.Gauge
	// otherRegionsListed counts the responses of the directory that list entries of other regions
	// than the caller's although some requests may be served only in some regions.
	otherRegionsListed tally.Counter
	// explanations counts the explanations of requests that were given to operators.
	explanations tally.Counter
	// serverConnections is the number of open connections to backend servers.
	serverConnections tally.Gauge
}

func newRequestMetrics(scope tally.Scope) requestMetrics {
	var firstEvents [2][2]tally.Counter
	for long, prompt := range []string{"short", "long"} {
		for met, inTarget := range []string{"no", "yes"} {
			firstEvents[long][met] = scope.Tagged(map[string]string{"prompt": prompt, "in_target": inTarget}).Counter("first_events")
		}
	}
	return requestMetrics{
		scope:              scope,
		firstEvents:        firstEvents,
		predictedTooShort:  scope.Histogram("first_event_late_seconds", predictionBuckets),
		predictedTooLong:   scope.Histogram("first_event_early_seconds", predictionBuckets),
		statusFailures:     scope.Counter("news_failed"),
		duration:           scope.Histogram("request_seconds", latencyBuckets),
		timeToFirstEvent:   scope.Histogram("first_event_seconds", latencyBuckets),
		inFlight:           scope.Gauge("requests_in_flight"),
		configurationAge:   scope.Gauge("view_age_seconds"),
		acknowledgedAge:    scope.Gauge("view_acknowledged_age_seconds"),
		serversLeaving:     scope.Counter("servers_leaving"),
		serverPauses:       scope.Counter("server_pauses"),
		requestsWithheld:   scope.Counter("requests_withheld"),
		requestsOutdated:   scope.Counter("requests_outdated"),
		evacuatedZones:     scope.Gauge("evacuated_zones"),
		otherRegionsListed: scope.Counter("directory_other_regions"),
		explanations:       scope.Counter("explanations"),
		serverConnections:  scope.Gauge("server_connections"),
		coldServers:        scope.Gauge("servers_cold"),
		shareServices:      scope.Gauge("share_services"), shareOverloadedRanks: scope.Gauge("share_overloaded_ranks"), shareCountersAge: scope.Gauge("share_counters_age_seconds"),
		shareRefused: scope.Counter("share_refused"), shareHeld: scope.Counter("share_held"),
		coldWithheld: scope.Counter("cold_withheld"),
	}
}

// recordResult counts a request with its result and records how long it took.
func (c *requestMetrics) recordResult(code result.Code, took time.Duration) {
	c.scope.Tagged(map[string]string{"result": code.Name}).Counter("requests").Inc(1)
	c.duration.RecordDuration(took)
}

// recordFirstEvent records the time from the arrival of a request to the first event of
// its response.
func (c *requestMetrics) recordFirstEvent(took time.Duration) {
	c.timeToFirstEvent.RecordDuration(took)
}

// recordPrediction records the error of a predicted time to the first event.
func (c *requestMetrics) recordPrediction(predicted, took time.Duration) {
	if took >= predicted {
		c.predictedTooShort.RecordDuration(took - predicted)
		return
	}
	c.predictedTooLong.RecordDuration(predicted - took)
}

// recordTarget counts a first event of a service that counts engine time.
func (c *requestMetrics) recordTarget(longPrompt, inTarget bool) {
	long, met := 0, 0
	if longPrompt {
		long = 1
	}
	if inTarget {
		met = 1
	}
	c.firstEvents[long][met].Inc(1)
}

// updateGauges sets the gauges to the current values of the daemon.
func (c *requestMetrics) updateGauges(i *Ingress) {
	c.inFlight.Update(float64(i.inFlight.Load()))
	c.configurationAge.Update(i.mirror.OperatorAge().Seconds())
	c.acknowledgedAge.Update(i.mirror.AcknowledgedAge().Seconds())
	c.evacuatedZones.Update(float64(len(i.mirror.View().EvacuatedZones)))
	c.serverConnections.Update(float64(i.upstream.OpenConnections()))
	i.memory.held.Update(float64(i.memory.Used()))
	i.mu.Lock()
	coldServers, coldWithheld := i.scheduler.ColdServers(), i.scheduler.ColdWithheld()
	i.mu.Unlock()
	c.coldServers.Update(float64(coldServers))
	c.coldWithheld.Inc(int64(coldWithheld - c.coldWithheldSeen))
	c.coldWithheldSeen = coldWithheld
}

// updateShares sets the metrics of the fair shares. The counts begin anew when the shares of a service
// are switched off.
func (c *requestMetrics) updateShares(services, overloadedRanks int, countersAge time.Duration, refused, held uint64) {
	c.shareServices.Update(float64(services))
	c.shareOverloadedRanks.Update(float64(overloadedRanks))
	c.shareCountersAge.Update(countersAge.Seconds())
	c.shareRefused.Inc(int64(refused - min(refused, c.shareRefusedSeen)))
	c.shareHeld.Inc(int64(held - min(held, c.shareHeldSeen)))
	c.shareRefusedSeen, c.shareHeldSeen = refused, held
}

// peerHandler returns the HTTP handler for other daemons: records serves their reads of
// the registry, the path /metrics serves the metrics, and explanation.Path says where a request would
// go.
func (i *Ingress) peerHandler(records fasthttp.RequestHandler, metrics telemetry.Metrics) fasthttp.RequestHandler {
	page := fasthttpadaptor.NewFastHTTPHandler(http.HandlerFunc(metrics.Handler.ServeHTTP))
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/metrics":
			page(ctx)
		case explanation.Path:
			i.serveExplanation(ctx)
		default:
			records(ctx)
		}
	}
}
