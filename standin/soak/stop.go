package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/standin/backendserver"
	"github.com/fuchsiarouter/fuchsiarouter/standin/link"
)

const (
	// stopGrace is the grace period of the entries in a run with planned stops.
	stopGrace = 8 * time.Second
	// minStopInterval and maxStopInterval bound the time between two planned stops. A stop
	// takes up to stopGrace, so they overlap.
	minStopInterval = 500 * time.Millisecond
	maxStopInterval = 4 * time.Second
	// besideStop bounds the time between a stop and a change of the configuration, of the servers
	// or of the settings file that is made beside it.
	besideStop = 1500 * time.Millisecond
	// minSilence and maxSilence bound the time for which a sound server falls silent.
	minSilence = 800 * time.Millisecond
	maxSilence = 1400 * time.Millisecond
	// maxEventInterval bounds the time between two events of a stream, and maxResponseDelay
	// the time until a plain response.
	maxEventInterval = 950 * time.Millisecond
	maxResponseDelay = 2 * time.Second

	// stopRoutesFormat has one route of each kind. Its formatting verbs stand for the time-out of
	// the streams in ms, the service of the streams and that of the other routes.
	stopRoutesFormat = `[{"name":"draft","host":"h.example","pathPrefix":"/llm/","kind":"stream","timeoutMs":%[1]d,"targetLatencyMs":1500,
 "priority":1,"service":%[2]q,"maxAttempts":2,"sticky":true,"resumable":true},
 {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"stream","timeoutMs":%[1]d,"targetLatencyMs":1500,
 "priority":1,"service":%[2]q,"maxAttempts":2,"sticky":true},
 {"name":"booking","host":"h.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":4000,"service":%[3]q,"maxAttempts":1},
 {"name":"stock","host":"h.example","pathPrefix":"/stock/","kind":"safe","timeoutMs":4000,"service":%[3]q,"maxAttempts":2}]`
	stopServicesJSON = `[{"name":"plain"},{"name":"llm","engine":{"slots":16,"models":[{"name":"m"}]}},
 {"name":"spare","engine":{"slots":16,"models":[{"name":"m"}]}}]`
)

// StopReport summarizes a run with planned stops.
type StopReport struct {
	Seed     uint64
	Stops    int
	Requests int
	// Outcomes counts the requests by path and status, or "cut" for those without a complete
	// answer.
	Outcomes map[string]int
	// Excused counts the requests without a complete answer by the reason that excuses it.
	Excused map[string]int
	// LatestAccepted is the longest time from a stop signal to the sending of a request that its
	// entry passed on to a server.
	LatestAccepted time.Duration
	// LongestStop is the longest time from a stop signal to the end of the process.
	LongestStop time.Duration
	// Lost describes each request that got no complete answer without an excuse, and each process that
	// exceeded a limit or ended by itself.
	Lost []string
}

// String formats the report as a single line.
func (r StopReport) String() string {
	return fmt.Sprintf("seed %d: %d stops (longest %v), %d requests %v, excused %v, latest accepted %v after a stop, %d lost %q",
		r.Seed, r.Stops, r.LongestStop.Round(time.Millisecond), r.Requests, r.Outcomes, r.Excused,
		r.LatestAccepted.Round(time.Millisecond), len(r.Lost), r.Lost)
}

// stop is a planned stop of an entry.
type stop struct {
	entry   *entry
	at      time.Time
	endedAt time.Time
}

// stopRun is the state of a run with planned stops.
type stopRun struct {
	fleet *fleet
	mu    sync.Mutex
	stops []*stop
	// streamTimeouts holds the time-outs of the streams in the published configurations, in order.
	streamTimeouts []publishedTimeout
}

// publishedTimeout is the time-out of the streams in a configuration.
type publishedTimeout struct {
	at      time.Time
	timeout time.Duration
}

// RunStops stops the entries of a new fleet one after the other, as the seed says, while callers
// send requests on kept connections and servers fall silent, crash and are replaced. It reports the
// requests that got no complete answer.
func RunStops(ctx context.Context, settings Settings) (StopReport, error) {
	setup := plan{
		stopGrace: stopGrace, services: []string{"plain", "llm", "spare"}, servicesJSON: stopServicesJSON,
		routesJSON: fmt.Sprintf(stopRoutesFormat, stopStreamTimeout.Milliseconds(), "llm", "plain"),
	}
	f, err := newFleet(settings, setup)
	if err != nil {
		return StopReport{}, err
	}
	defer f.close()
	if err := f.awaitServing(ctx); err != nil {
		return StopReport{}, errors.Wrap(err, "start fleet")
	}
	run := &stopRun{fleet: f, streamTimeouts: []publishedTimeout{{time.Now(), stopStreamTimeout}}}
	callerCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	callers := make([]*stopCaller, settings.Callers)
	var sending sync.WaitGroup
	for i := range callers {
		callers[i] = newStopCaller(f, rand.New(rand.NewPCG(settings.Seed, uint64(i+1))), i)
		sending.Go(func() { callers[i].sendUntilDone(callerCtx) })
	}
	hostile := f.startCrowd(ctx)
	run.inject(ctx, rand.New(rand.NewPCG(settings.Seed, 0)), settings)
	stopCallers()
	sending.Wait()
	violations := hostile.end()
	var requests []stopRequest
	for _, c := range callers {
		requests = append(requests, c.requests...)
	}
	report := run.report(requests)
	report.Lost = append(report.Lost, violations...)
	report.Seed = settings.Seed
	return report, ctx.Err()
}

// inject carries out the schedule of a run, and waits until it has ended.
func (r *stopRun) inject(ctx context.Context, rng *rand.Rand, settings Settings) {
	began := time.Now()
	var injecting sync.WaitGroup
	at := func(offset time.Duration, change func()) {
		injecting.Go(func() {
			if sleep(ctx, time.Until(began.Add(max(offset, 0)))) {
				change()
			}
		})
	}
	next := rng.IntN(settings.Entries)
	for offset := randomDuration(rng, time.Second, 2*time.Second); offset < settings.FaultWindow; offset += randomDuration(rng, minStopInterval, maxStopInterval) {
		e := r.fleet.entries[next%settings.Entries]
		next++
		repeated, reloaded, changed, replaced := rng.IntN(3) == 0, rng.IntN(2) == 0, rng.IntN(3) > 0, rng.IntN(2) == 0
		at(offset, func() { r.stopEntry(e) })
		if repeated {
			at(offset+randomDuration(rng, 0, besideStop), func() { r.repeatStop(e) })
		}
		if reloaded {
			at(offset+randomDuration(rng, -besideStop, besideStop), func() { e.sendSignal(syscall.SIGHUP) })
		}
		timeout := stopStreamTimeout - randomDuration(rng, 0, stopStreamTimeout/3)
		routes := fmt.Sprintf(stopRoutesFormat, timeout.Milliseconds(), []string{"llm", "spare"}[rng.IntN(2)], []string{"plain", "spare"}[rng.IntN(2)])
		if changed {
			at(offset+randomDuration(rng, -besideStop, besideStop), func() { r.publishRoutes(routes, timeout) })
		}
		service := setupServices[rng.IntN(len(setupServices))]
		if replaced {
			at(offset+randomDuration(rng, -besideStop, besideStop), func() { r.fleet.replaceServer(ctx, service, 0) })
		}
	}
	for offset := time.Duration(0); offset < settings.FaultWindow+stopGrace; offset += 300 * time.Millisecond {
		service, index := setupServices[rng.IntN(len(setupServices))], rng.IntN(serversPerService)
		silence, kind := randomDuration(rng, minSilence, maxSilence), rng.IntN(6)
		behaviour := backendserver.Behaviour{
			StreamEvents: eventsPerStream, EventInterval: randomDuration(rng, 80*time.Millisecond, maxEventInterval),
			ResponseDelay: randomDuration(rng, 5*time.Millisecond, maxResponseDelay),
		}
		at(offset, func() {
			changing := r.fleet.serverAt(service, index)
			changing.SetBehaviour(behaviour)
			switch kind {
			case 0, 1:
				holdLinkState(ctx, silence, changing.link, link.Stalled)
			case 2:
				changing.disturbances.record()
				holdLinkState(ctx, silence/4, changing.link, link.Cut)
			}
		})
	}
	injecting.Wait()
}

// setupServices are the services whose servers change in a run with planned stops.
var setupServices = []string{"plain", "llm", "spare"}

// publishRoutes publishes a configuration with the routes, whose streams have the time-out.
func (r *stopRun) publishRoutes(routes string, timeout time.Duration) {
	r.mu.Lock()
	r.streamTimeouts = append(r.streamTimeouts, publishedTimeout{time.Now(), timeout})
	r.mu.Unlock()
	r.fleet.mu.Lock()
	r.fleet.plan.routesJSON = routes
	r.fleet.mu.Unlock()
	r.fleet.publishConfiguration()
}

// stopEntry sends the stop signal to an entry, unless it is already stopping, and starts it again
// after its end.
func (r *stopRun) stopEntry(e *entry) {
	r.mu.Lock()
	if r.isStopping(e) {
		r.mu.Unlock()
		return
	}
	stopped := &stop{entry: e, at: time.Now()}
	r.stops = append(r.stops, stopped)
	r.mu.Unlock()
	exited := e.sendSignal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(stopGrace):
		e.kill()
	}
	r.mu.Lock()
	stopped.endedAt = time.Now()
	r.mu.Unlock()
	_ = e.start()
}

// repeatStop sends the stop signal once more to an entry that is stopping.
func (r *stopRun) repeatStop(e *entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isStopping(e) {
		e.sendSignal(syscall.SIGTERM)
	}
}

// isStopping reports whether a stop of the entry is in progress. The caller holds the lock.
func (r *stopRun) isStopping(e *entry) bool {
	return slices.ContainsFunc(r.stops, func(s *stop) bool { return s.entry == e && s.endedAt.IsZero() })
}

// report compares the requests with the stops and with what the servers recorded.
func (r *stopRun) report(requests []stopRequest) StopReport {
	r.fleet.mu.Lock()
	servers := r.fleet.allServers
	r.fleet.mu.Unlock()
	runs := map[string][]stopServerRun{}
	for _, server := range servers {
		for _, run := range server.Runs() {
			runs[run.RequestID] = append(runs[run.RequestID], stopServerRun{run, server})
		}
	}
	report := StopReport{Stops: len(r.stops), Requests: len(requests), Outcomes: map[string]int{}, Excused: map[string]int{}}
	for _, stopped := range r.stops {
		report.LongestStop = max(report.LongestStop, stopped.endedAt.Sub(stopped.at))
	}
	for _, request := range requests {
		kind := strings.Split(request.path, "/")[1]
		outcome := fmt.Sprint(kind, " ", request.status)
		if request.err != nil {
			outcome = kind + " cut"
		}
		report.Outcomes[outcome]++
		if during := r.stopAround(request); during != nil && len(runs[request.id]) > 0 && request.sentAt.Before(during.endedAt) {
			report.LatestAccepted = max(report.LatestAccepted, request.sentAt.Sub(during.at))
		}
		if request.err == nil {
			continue
		}
		if excuse := r.excuse(request, runs[request.id]); excuse != "" {
			report.Excused[excuse]++
			continue
		}
		report.Lost = append(report.Lost, r.describe(request, runs[request.id]))
	}
	return report
}
