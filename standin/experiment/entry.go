package experiment

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/dispatch"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/settings"
	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
)

// Parameters of the entry experiment.
const (
	// binaryDir is the output directory of make build.
	binaryDir    = "bin"
	entryEngines = 4
	// entryRate is the rate of the latency measurement in requests a second.
	entryRate = 5000
	// entryWorkers is the number of goroutines that share the requests of a load
	// test. Each has at most one request in progress.
	entryWorkers = 250
	// loadTestDuration is the time for which a load test sends requests.
	loadTestDuration = 8 * time.Second
	// entryTimeout is the deadline of a request, and limits each wait for the
	// fleet to start.
	entryTimeout = 30 * time.Second
	// addedLatencyBound is the target for the added time to the first byte, in
	// milliseconds.
	addedLatencyBound = 0.3
	// streamTokens is the length of streamed answers in tokens.
	streamTokens = 64
	// clockTicksPerSecond is the number of clock ticks, the unit of processor
	// times in /proc, in a second.
	clockTicksPerSecond = 100
)

// Entry measures the real daemons on loopback at 5,000 requests a second: how
// much later the first byte of an answer arrives through the entry than from the
// agent, and through both than from the engine itself, and the memory of the
// entry. The engine without daemons is the baseline. The experiment takes less
// than 40 s, short enough to keep a shared machine free of other work meanwhile.
func Entry(_ uint64, report func(Figure)) error {
	return withEntryFleet(func(fleet *entryFleet) { fleet.measureLatency(report) })
}

// EntryProcessor measures the processor time that entry and agent use for a
// request and for a token, at three rates each. Unlike latency, processor time
// depends little on what else runs on the machine.
func EntryProcessor(_ uint64, report func(Figure)) error {
	return withEntryFleet(func(fleet *entryFleet) { fleet.measureProcessorTime(report) })
}

// withEntryFleet starts a fleet with entryEngines engines that generate tokens
// without delay, runs the measurement on it and stops it.
func withEntryFleet(measure func(*entryFleet)) error {
	dir, err := os.MkdirTemp("", "experiment-entry-")
	if err != nil {
		return errors.Wrap(err, "create log directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	b, err := bench.New(binaryDir, dir)
	if err != nil {
		return err
	}
	defer b.Close()
	fleet, err := startEntryFleet(context.Background(), b, entryEngines, "--slots", "128", "--token-time", "0s", "--prefill-time", "0s")
	if err != nil {
		return err
	}
	measure(fleet)
	return nil
}

// measureLatency reports the latencies of requests sent to the engines, to the
// agents and to the entry, and the resident memory of the entry before and after
// the load test through it. An earlier load test through the entry warms it up and
// is not measured.
func (f *entryFleet) measureLatency(report func(Figure)) {
	entry := []string{f.entry.Address}
	fromEngine := f.runLoadTest(loadTest{targets: f.engineAddresses, model: "rounds@" + f.digest, rate: entryRate})
	fromAgent := f.runLoadTest(loadTest{targets: f.agentAddresses, model: "rounds", rate: entryRate, asEntry: true})
	f.runLoadTest(loadTest{targets: entry, model: "rounds", rate: entryRate})
	before := residentKB(f.entry.PID())
	fromEntry := f.runLoadTest(loadTest{targets: entry, model: "rounds", rate: entryRate})
	after := residentKB(f.entry.PID())

	for _, measured := range []struct {
		name    string
		results *loadTestResult
	}{{"entry-baseline-engine", fromEngine}, {"entry-agent", fromAgent}, {"entry-through", fromEntry}} {
		report(Unbounded(measured.name+"-median", measured.results.quantile(0.5), "ms"))
		report(Unbounded(measured.name+"-p95", measured.results.quantile(0.95), "ms"))
	}
	report(AtLeast("entry-rate", fromEntry.answersPerSecond(), "answers a second", 0.99*entryRate))
	report(AtMost("entry-failed", float64(fromEntry.failed), "requests", 0))
	report(AtMost("entry-added-median", fromEntry.quantile(0.5)-fromAgent.quantile(0.5), "ms", addedLatencyBound))
	report(AtMost("entry-and-agent-added-median", fromEntry.quantile(0.5)-fromEngine.quantile(0.5), "ms", addedLatencyBound))
	report(Unbounded("entry-memory-before", before, "KB"))
	report(Unbounded("entry-memory-after", after, "KB"))
}

// measureProcessorTime reports the processor time that the entry and the agents
// use for one request, in load tests with requests for one token, and for one
// token, in load tests with streamed answers.
func (f *entryFleet) measureProcessorTime(report func(Figure)) {
	for _, rate := range []int{1250, 2500, 5000} {
		f.reportProcessorTimePerUnit(report, "request", loadTest{rate: rate}, float64(rate))
	}
	for _, rate := range []int{100, 200, 400} {
		f.reportProcessorTimePerUnit(report, "token", loadTest{rate: rate, tokens: streamTokens}, float64(rate*streamTokens))
	}
}

// reportProcessorTimePerUnit sends a load test to the entry and reports the
// processor time in µs for each unit ("request" or "token"), of the entry and of
// all agents together. perSecond is the number of units a second in the load test.
func (f *entryFleet) reportProcessorTimePerUnit(report func(Figure), unit string, test loadTest, perSecond float64) {
	test.targets, test.model = []string{f.entry.Address}, "rounds"
	entry, agents := cpuSeconds(f.entry), cpuSeconds(f.agentProcesses...)
	results := f.runLoadTest(test)
	units := perSecond * results.duration.Seconds()
	name := fmt.Sprintf("-at-%.0f", perSecond)
	report(Unbounded("entry-cpu-per-"+unit+name, 1e6*(cpuSeconds(f.entry)-entry)/units, "µs"))
	report(Unbounded("agent-cpu-per-"+unit+name, 1e6*(cpuSeconds(f.agentProcesses...)-agents)/units, "µs"))
}

// entryFleet is a fleet of real processes: one entry and a few engines, each
// behind its agent, which serve one version of the model "rounds".
type entryFleet struct {
	entry           *bench.Process
	engineAddresses []string
	agentAddresses  []string
	// digest identifies the version in requests that do not go through the entry.
	digest         string
	agentProcesses []*bench.Process
}

// startEntryFleet starts the fleet, publishes a model version and waits until the
// entry sees it ready on all engines. The options are command-line flags of the
// engines.
func startEntryFleet(ctx context.Context, b *bench.Bench, engines int, options ...string) (*entryFleet, error) {
	fleet := &entryFleet{}
	if err := b.StartPlatform(); err != nil {
		return nil, err
	}
	place := bench.Placement{Region: "norte", AvailabilityZone: "norte-a"}
	var err error
	if fleet.entry, err = b.StartEntry(ctx, "entry-0", place); err != nil {
		return nil, err
	}
	names := []string{}
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i)
		engine, err := b.StartEngine(name, options...)
		if err != nil {
			return nil, err
		}
		names = append(names, name)
		fleet.engineAddresses = append(fleet.engineAddresses, engine.Address)
		agent, err := b.StartAgent(ctx, fmt.Sprintf("agent-%d", i), place, func(s *settings.Agent) { s.EngineAddress = engine.Address })
		if err != nil {
			return nil, err
		}
		fleet.agentAddresses = append(fleet.agentAddresses, agent.Address)
		fleet.agentProcesses = append(fleet.agentProcesses, agent)
	}
	doc := b.NewDocument(document.Region{Name: place.Region, AvailabilityZones: []string{place.AvailabilityZone}})
	doc.AddWorkspace("mopa", 1)
	if fleet.digest, err = doc.AddVersion(ctx, "rounds", "v1", 1<<20, engines); err != nil {
		return nil, err
	}
	if err := doc.Publish(ctx); err != nil {
		return nil, err
	}
	if err := b.AwaitReplicas(ctx, names, "rounds", fleet.digest, engines, entryTimeout); err != nil {
		return nil, err
	}
	return fleet, b.AwaitServing(ctx, "entry-0", "rounds", fleet.digest, engines, entryTimeout)
}

// loadTestResult holds the response times and the number of failures of one load
// test.
type loadTestResult struct {
	// milliseconds holds the times to the answer of the answered requests, in
	// ascending order.
	milliseconds []float64
	// failed counts the requests without a successful answer.
	failed int
	// duration is the time from the start of the load test to the last answer.
	duration time.Duration
}

// quantile returns the quantile q, between 0 and 1, of the times to the answer, in
// milliseconds, or 0 if no request was answered.
func (l *loadTestResult) quantile(q float64) float64 {
	if len(l.milliseconds) == 0 {
		return 0
	}
	return l.milliseconds[int(q*float64(len(l.milliseconds)-1))]
}

// answersPerSecond returns the number of successful answers a second over duration.
func (l *loadTestResult) answersPerSecond() float64 {
	return float64(len(l.milliseconds)) / l.duration.Seconds()
}

// loadTest describes the requests of an open-loop load test, which are sent at a
// fixed rate, no matter how long the answers take.
type loadTest struct {
	// targets are the addresses that the requests are distributed over.
	targets []string
	// model is the model name in the body of the requests.
	model string
	// rate is in requests a second.
	rate int
	// tokens is the length of streamed answers; 0 asks for one token without
	// streaming.
	tokens int
	// asEntry adds the headers with the model and version that an entry adds when
	// it dispatches a request to an agent.
	asEntry bool
}

// runLoadTest sends the requests of a load test for loadTestDuration. It measures
// the time to an answer from the scheduled start of the request, which includes the
// delay of a request that its worker sent late.
func (f *entryFleet) runLoadTest(test loadTest) *loadTestResult {
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxConnsPerHost: entryWorkers}
	interval := time.Duration(entryWorkers) * time.Second / time.Duration(test.rate)
	results := &loadTestResult{}
	var mu sync.Mutex
	var workers sync.WaitGroup
	startedAt := time.Now()
	for worker := range entryWorkers {
		workers.Go(func() {
			durations, failed := []float64{}, 0
			offset := interval * time.Duration(worker) / entryWorkers
			for i := 0; ; i++ {
				start := startedAt.Add(offset + interval*time.Duration(i))
				if start.Sub(startedAt) >= loadTestDuration {
					break
				}
				time.Sleep(time.Until(start))
				if f.send(client, test, worker, i) {
					durations = append(durations, float64(time.Since(start).Microseconds())/1000)
				} else {
					failed++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			results.milliseconds = append(results.milliseconds, durations...)
			results.failed += failed
		})
	}
	workers.Wait()
	results.duration = time.Since(startedAt)
	slices.Sort(results.milliseconds)
	return results
}

// send sends request number i of a worker and reports whether it was answered
// successfully.
func (f *entryFleet) send(client *fasthttp.Client, test loadTest, worker, i int) bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	target := test.targets[(worker+i)%len(test.targets)]
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"%d %d"}]}`,
		test.model, test.tokens > 0, max(test.tokens, 1), worker, i)
	call := dispatch.Call{
		Method: fasthttp.MethodPost, Path: "/v1/chat/completions", Body: []byte(body), Rank: document.Normal,
		RequestID: fmt.Sprintf("%d-%d", worker, i), Workspace: "mopa", Idempotent: true, ExpectedTokens: 1,
		Deadline: time.Now().Add(entryTimeout),
	}
	if test.asEntry {
		call.Model, call.Version = test.model, f.digest
	}
	call.Encode(request, target, time.Now())
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer mopa")
	request.Header.Set("Priority", "4")
	return client.Do(request, response) == nil && response.StatusCode() == fasthttp.StatusOK
}

// cpuSeconds returns the processor time that the processes have used so far, in
// seconds, or 0 if it cannot be read.
func cpuSeconds(processes ...*bench.Process) float64 {
	total := 0.0
	for _, process := range processes {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.PID()))
		if err != nil {
			return 0
		}
		// The process name in the second field ends at the last parenthesis and
		// may contain blanks. User and system time are the 12th and 13th fields
		// after it.
		_, rest, _ := strings.Cut(string(text), ") ")
		fields := strings.Fields(rest)
		var user, system float64
		if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
			return 0
		}
		total += (user + system) / clockTicksPerSecond
	}
	return total
}

// residentKB returns the resident memory of a process in KiB, or 0 if it cannot be
// read.
func residentKB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident float64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * float64(os.Getpagesize()) / 1024
}
