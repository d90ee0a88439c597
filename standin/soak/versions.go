package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
	"github.com/fuchsiarouter/fuchsiarouter/standin/link"
	"github.com/fuchsiarouter/fuchsiarouter/standin/stagedengine"
)

const (
	// versionBound is the time after the acknowledgement of a version from which no request may begin
	// on an older one. It equals version_ms in the node files.
	versionBound = 8 * time.Second
	// stableTime is how long an entry must have run without a stop for the bound to apply to it.
	stableTime = 3 * time.Second
	// versionInterval is the time between the versions of a round, of which there are versionsPerRound.
	versionInterval  = 2 * time.Second
	versionsPerRound = 3
	// roundInterval is the time between two rounds, and roundLead that before the first version.
	roundInterval = 20 * time.Second
	roundLead     = 4 * time.Second
	// versionCallerTimeout is the deadline of callers.
	versionCallerTimeout = 6 * time.Second
	// heldLoaderDivisor is the number of loaders for each that is stopped in a round. heldLoaderLead is
	// the time from its stop to the first version, and from the bound of that to the end of the stop.
	heldLoaderDivisor = 5
	heldLoaderLead    = time.Second

	// loaderLinkMbps is the bandwidth of the links of the origin and of the VMs with engines.
	loaderLinkMbps = 7.3
	// firstLoaderVM is the index of the first VM with an engine.
	firstLoaderVM = 16

	versionConfigurationFormat = `{"version":1,"routes":[
 {"name":"draft","host":"h.example","pathPrefix":"/draft/","kind":"stream","timeoutMs":6000,"targetLatencyMs":400,"targetGapMs":300,"priority":0,"service":"llm","maxAttempts":3,"sticky":true,"resumable":true},
 {"name":"summary","host":"h.example","pathPrefix":"/summary/","kind":"stream","timeoutMs":6000,"targetLatencyMs":800,"targetGapMs":300,"priority":2,"service":"llm","maxAttempts":3,"sticky":true,"resumable":true},
 {"name":"complaint","host":"h.example","pathPrefix":"/complaint/","kind":"stream","timeoutMs":6000,"targetLatencyMs":250,"targetGapMs":300,"priority":0,"service":"llm","maxAttempts":3,"sticky":true,"resumable":true}],
 "services":[{"name":"llm","engine":{"slots":%d,"stride":6,"step_ms":6.73,"per_seq_ms":0.0219,"read_per_s":30600,"context_per_k":0.0068,"pairs_per_m":0.647,
 "chunk":2048,"chunks":%d,"chunkBytes":%d,"usual":{"prompt":930,"answer":120},"report_lag_ms":200,"models":[{"name":"m","warmS":0.3}]}},{"name":"o","origin":%q,"zone":"cantabria-a"}],
 "limits":{"maxHeaderBytes":8192,"maxBodyBytes":100000,"idleTimeoutMs":15000}}`

	versionNodeFormat = `{"nodeName":%q,"ip":%q,"zone":%q,"region":%q,"zones":{"norte-a":"norte","cantabria-a":"cantabria","ebro-a":"ebro"},
 "internalPorts":[%d,%d],%s"limits":{"memoryMb":%d,"maxFds":2048,"linkMbps":%v},
 "bounds":{"revokeMs":5000,"graceS":8,"version_ms":%d,"budgetRatio":0.2,"budgetSlack":100,"budgetWindowS":10,"ttl_max_s":5},"platform":{"address":%q}}`
)

// versionZones are the availability zones of the entries of a run with versions. The last one has a
// single entry, which is stopped. The zones of the engines repeat engineZones.
var (
	versionZones = []string{"norte-a", "norte-a", "cantabria-a", "cantabria-a", "ebro-a"}
	engineZones  = []string{"norte-a", "cantabria-a", "ebro-a"}
)

// versionRequests are the kinds of requests with their shares, prompt and answer tokens.
var versionRequests = []struct {
	path           string
	share          float64
	prompt, answer int
}{{"/draft/", 0.39, 1330, 144}, {"/summary/", 0.28, 827, 144}, {"/complaint/", 0.33, 647, 72}}

// VersionSettings configures one run of RunVersions.
type VersionSettings struct {
	// Binary is the path of the fuchsiarouterd daemon.
	Binary string
	// WorkDir is the directory for the settings files and logs of the daemons.
	WorkDir string
	// Seed determines the schedule and the requests.
	Seed uint64
	// Engines is the number of engines, each with a loader. Rounds is the number of series of
	// versions, and Rate that of the requests a second.
	Engines, Rounds int
	Rate            float64
	// EarlyHeads makes half of the engines send the head of a response while its request waits.
	EarlyHeads bool
}

// versionFleet holds entries and loaders as processes, engines, the store and the origin of weights.
type versionFleet struct {
	settings VersionSettings
	store    *keyedstore.Store
	origin   *stagedengine.Origin
	entries  []*entry
	loaders  []*process
	engines  []*versionEngine
	client   *http.Client
	// cancel ends the link of the origin.
	cancel context.CancelFunc

	mu sync.Mutex
	// version is the newest declared version, and acknowledged holds the time of the
	// acknowledgement of each.
	version      int
	acknowledged map[int]time.Time
	// stops holds the stops of each entry, and sentTo the entry of each request.
	stops  map[*entry][]stoppedTime
	sentTo map[string]*entry
	// requests and served count the requests.
	requests, served int
}

// stoppedTime is the time of a stop, whose end is zero until it has ended.
type stoppedTime struct{ from, to time.Time }

// RunVersions declares versions in series at the load of a day, and stops the only entry of an
// availability zone by a signal around them. The report lists the requests that began on an older
// version after the bound. Engines and store, which decide that, run in this process. Some loaders are
// stopped past the bound, so that there are engines with the older version.
func RunVersions(ctx context.Context, settings VersionSettings) (VersionReport, error) {
	f, err := newVersionFleet(settings)
	if err != nil {
		return VersionReport{}, err
	}
	defer f.close()
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(recoveryTimeout); ; {
		ready := 0
		for _, e := range f.entries {
			if e.isReady(client) {
				ready++
			}
		}
		if ready == len(f.entries) {
			break
		}
		if time.Now().After(deadline) || !sleep(ctx, 50*time.Millisecond) {
			return VersionReport{}, errors.Errorf("%d of %d entries are ready", ready, len(f.entries))
		}
	}
	report := VersionReport{Seed: settings.Seed}
	callerCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var calling, updating sync.WaitGroup
	calling.Go(func() { f.call(callerCtx) })
	updating.Go(func() { f.updateRegistrations(callerCtx) })
	rng := rand.New(rand.NewPCG(settings.Seed, 0))
	began := time.Now()
	for round := range settings.Rounds {
		stops := drawVersionStops(rng, round)
		report.Stops += len(stops)
		first := began.Add(roundLead + time.Duration(round)*roundInterval)
		var running sync.WaitGroup
		for _, stop := range stops {
			running.Go(func() {
				if sleep(ctx, time.Until(first.Add(stop.after))) {
					f.stopEntry(ctx, f.entries[len(f.entries)-1], stop.duration)
				}
			})
		}
		for _, index := range rng.Perm(len(f.loaders))[:len(f.loaders)/heldLoaderDivisor] {
			running.Go(func() { f.holdLoader(ctx, f.loaders[index], first) })
		}
		for index := range versionsPerRound {
			if sleep(ctx, time.Until(first.Add(time.Duration(index)*versionInterval))) {
				f.declareNext()
				report.Versions++
			}
		}
		running.Wait()
		sleep(ctx, time.Until(first.Add(roundInterval-roundLead)))
	}
	stopCallers()
	calling.Wait()
	updating.Wait()
	f.judge(&report)
	if report.LatestDate, err = f.latestDate(); err != nil {
		return report, err
	}
	return report, ctx.Err()
}

// versionStop is a stop of an entry, relative to the first version of a round.
type versionStop struct{ after, duration time.Duration }

// drawVersionStops draws the stops of a round. That of the first round begins 0.5 s before the first
// version and lasts 3 s.
func drawVersionStops(rng *rand.Rand, round int) []versionStop {
	if round == 0 {
		return []versionStop{{-500 * time.Millisecond, 3 * time.Second}}
	}
	stop := versionStop{
		time.Duration(rng.IntN(versionsPerRound))*versionInterval - randomDuration(rng, 0, time.Second), randomDuration(rng, 1500*time.Millisecond, 3500*time.Millisecond),
	}
	stops := []versionStop{stop}
	if rng.IntN(2) == 0 {
		again := stop.after + stop.duration + randomDuration(rng, 100*time.Millisecond, 1500*time.Millisecond)
		stops = append(stops, versionStop{again, randomDuration(rng, 200*time.Millisecond, 2*time.Second)})
	}
	return stops
}

// newVersionFleet starts the stand-ins and the daemons.
func newVersionFleet(settings VersionSettings) (*versionFleet, error) {
	store, err := keyedstore.New("127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	f := &versionFleet{
		settings: settings, store: store, acknowledged: map[int]time.Time{}, stops: map[*entry][]stoppedTime{}, sentTo: map[string]*entry{},
		client: &http.Client{Timeout: versionCallerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	if f.origin, err = stagedengine.NewOrigin("127.0.0.1:0", versionEnginePieces, versionPieceBytes); err != nil {
		return nil, errors.Wrap(err, "origin")
	}
	originAddress, err := f.limitOrigin()
	if err != nil {
		return nil, err
	}
	store.Put(keyedstore.TopicOperator, "config", fmt.Sprintf(versionConfigurationFormat, versionEngineSlots, versionEnginePieces, versionPieceBytes, originAddress))
	f.declareNext()
	callerPort, readinessPort, directoryPort, ingressPort, loaderPort, enginePort := nextPort(), nextPort(), nextPort(), nextPort(), nextPort(), nextPort()
	for index := range settings.Engines {
		zone, vm := engineZones[index%len(engineZones)], firstLoaderVM+index
		engine, err := newVersionEngine(fmt.Sprint("g", index), zone, vmAddress(vm, enginePort), settings.EarlyHeads && index%2 == 1)
		if err != nil {
			return nil, err
		}
		f.engines = append(f.engines, engine)
		store.Put(keyedstore.TopicServers, engine.id, engine.registration())
		loader := &process{name: fmt.Sprint("loader-", index), command: "loader"}
		f.loaders = append(f.loaders, loader)
		if err := f.writeNode(loader, vm, zone, ingressPort, loaderPort, fmt.Sprintf(`"app":%q,"service":"llm",`, engine.address), 152, loaderLinkMbps); err != nil {
			return nil, err
		}
	}
	for index, zone := range versionZones {
		e := &entry{
			process:       process{name: fmt.Sprintf("entry-%s-%d", zone, index), command: "ingress"},
			callerAddress: vmAddress(index, callerPort), readinessAddress: vmAddress(index, readinessPort), directoryAddress: vmAddress(index, directoryPort),
		}
		f.entries = append(f.entries, e)
		listen := fmt.Sprintf(`"listen":{"front":%q,"readiness":%q,"directory":%q},`, e.callerAddress, e.readinessAddress, e.directoryAddress)
		if err := f.writeNode(&e.process, index, zone, ingressPort, loaderPort, listen, 284, 1000); err != nil {
			return nil, err
		}
	}
	for _, e := range f.entries {
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	for _, loader := range f.loaders {
		if err := loader.start(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// limitOrigin starts the link of the origin and returns its address.
func (f *versionFleet) limitOrigin() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "link of the origin")
	}
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	limited := link.New(link.Options{Target: f.origin.Address(), BytesPerSecond: loaderLinkMbps * 1e6 / 8})
	go func() { _ = limited.Serve(ctx, listener) }()
	return listener.Addr().String(), nil
}

// writeNode writes the node file of a daemon. extra are its further fields.
func (f *versionFleet) writeNode(p *process, vm int, zone string, firstPort, lastPort int, extra string, memoryMB int, linkMbps float64) error {
	p.binary = f.settings.Binary
	p.logFile, p.nodeFile = filepath.Join(f.settings.WorkDir, p.name+".log"), filepath.Join(f.settings.WorkDir, p.name+".json")
	content := fmt.Appendf(nil, versionNodeFormat, p.name, vmIP(vm), zone, strings.TrimSuffix(zone, "-a"), firstPort, lastPort, extra, memoryMB, linkMbps,
		versionBound.Milliseconds(), f.store.Address())
	if err := os.WriteFile(p.nodeFile, content, 0o600); err != nil {
		return errors.Wrap(err, "settings file")
	}
	return nil
}

// close kills the daemons and stops the stand-ins.
func (f *versionFleet) close() {
	for _, e := range f.entries {
		e.kill()
	}
	for _, loader := range f.loaders {
		loader.kill()
	}
	for _, engine := range f.engines {
		engine.close()
	}
	f.cancel()
	f.origin.Close()
	f.store.Close()
}

// declareNext declares the next version and records its acknowledgement.
func (f *versionFleet) declareNext() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.store.Put(keyedstore.TopicOperator, "version/m", fmt.Sprintf(`{"model":"m","version":%d}`, f.version))
	f.acknowledged[f.version] = time.Now()
}

// updateRegistrations updates the registrations of the engines until ctx ends.
func (f *versionFleet) updateRegistrations(ctx context.Context) {
	published := map[*versionEngine]string{}
	for sleep(ctx, registrationInterval) {
		for _, engine := range f.engines {
			if registration := engine.registration(); registration != published[engine] {
				f.store.Put(keyedstore.TopicServers, engine.id, registration)
				published[engine] = registration
			}
		}
	}
}

// holdLoader stops a loader by a signal from before the first version of a round until after its bound,
// so that its engine keeps the older version.
func (f *versionFleet) holdLoader(ctx context.Context, loader *process, first time.Time) {
	sleep(ctx, time.Until(first.Add(-heldLoaderLead)))
	loader.sendSignal(syscall.SIGSTOP)
	sleep(ctx, time.Until(first.Add(versionBound+heldLoaderLead)))
	loader.sendSignal(syscall.SIGCONT)
}

// stopEntry stops an entry by a signal for a duration.
func (f *versionFleet) stopEntry(ctx context.Context, e *entry, duration time.Duration) {
	f.mu.Lock()
	f.stops[e] = append(f.stops[e], stoppedTime{from: time.Now()})
	index := len(f.stops[e]) - 1
	f.mu.Unlock()
	e.sendSignal(syscall.SIGSTOP)
	sleep(ctx, duration)
	e.sendSignal(syscall.SIGCONT)
	f.mu.Lock()
	f.stops[e][index].to = time.Now()
	f.mu.Unlock()
}

// call sends requests at random times until ctx ends, and waits for their ends.
func (f *versionFleet) call(ctx context.Context) {
	rng := rand.New(rand.NewPCG(f.settings.Seed, 1))
	var calls sync.WaitGroup
	next := time.Now()
	for number := 0; ; number++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / f.settings.Rate * float64(time.Second)))
		if !sleep(ctx, time.Until(next)) {
			break
		}
		kind, share := 0, rng.Float64()
		for ; kind < len(versionRequests)-1 && share >= versionRequests[kind].share; kind++ {
			share -= versionRequests[kind].share
		}
		e := f.entries[rng.IntN(len(f.entries))]
		id := fmt.Sprintf("v%d", number)
		calls.Go(func() { f.send(id, kind, e) })
	}
	calls.Wait()
}

// send sends a request of a kind to an entry.
func (f *versionFleet) send(id string, kind int, e *entry) {
	f.mu.Lock()
	f.sentTo[id] = e
	f.requests++
	f.mu.Unlock()
	shape := versionRequests[kind]
	request, err := http.NewRequest(http.MethodPost, "http://"+e.callerAddress+shape.path, strings.NewReader("{}"))
	if err != nil {
		return
	}
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(versionCallerTimeout.Milliseconds()))
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", shape.prompt, shape.answer))
	request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%08x:40,%s:%d", kind+1, fmt.Sprintf("%x", id), shape.prompt-40))
	response, err := f.client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK && strings.Count(string(body), "data:") == shape.answer/tokensPerEvent {
		f.mu.Lock()
		f.served++
		f.mu.Unlock()
	}
}
