package experiment

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/peer"
	"github.com/fuchsiarouter/fuchsiarouter/settings"
	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
	"github.com/fuchsiarouter/fuchsiarouter/standin/engine"
)

// Parameters of the control experiment.
const (
	controlEntries = 6
	// controlWarmUp lets the exchanges after the start finish before the
	// measurement.
	controlWarmUp = 8 * time.Second
	// controlDuration is the minimum duration of a measurement.
	controlDuration = 10 * time.Second
	// controlTimeout limits each wait for the processes, such as until a version
	// is ready on all agents.
	controlTimeout = 60 * time.Second
	// controlBytesBound is the target for the control traffic of a daemon, in
	// bytes a second.
	controlBytesBound = 10_000
	// controlModel is the only model of a controlFleet and of a processFleet.
	controlModel = "rounds"
	// controlVersionBytes is the size of a published model version.
	controlVersionBytes = 1 << 20
	// controlHeaderBytes is the size of the TCP and IP headers of one TCP segment.
	// A read or write of a short message counts as one segment.
	controlHeaderBytes = 52
)

// controlRegions have one availability zone each, like the regions of the users.
var controlRegions = []string{"norte", "litoral", "cuyo"}

// Control measures the control traffic of the real daemons on loopback, that is,
// messages such as heartbeats, without the requests of callers and the data of
// models. The traffic is what a daemon sends and receives, by its own
// counters, plus the TCP and IP headers. The experiment runs 6 entries with 6, 18
// and 36 agents, idle and while a model version is distributed to all agents. The
// traffic of the busiest idle entry is extrapolated linearly to 82 agents, because
// 82 agents for 6 entries is the ratio of 10,000 agents to 730 entries, the full
// scale. The baseline is the encoded size of full heartbeats from the same members
// to every entry.
func Control(_ uint64, report func(Figure)) error {
	var sizes, worst []float64
	for _, agents := range []int{6, 18, 36} {
		entry, err := measureControl(agents, report)
		if err != nil {
			return errors.Wrapf(err, "%d agents", agents)
		}
		sizes, worst = append(sizes, float64(agents)), append(worst, entry)
	}
	const fullScaleAgents = controlEntries * membershipAgents / membershipEntries
	slope := extrapolate(sizes, worst, 1) - extrapolate(sizes, worst, 0)
	report(Unbounded("control-entry-bytes-for-each-agent", slope, "B/s"))
	report(AtMost(fmt.Sprintf("control-entry-bytes-extrapolated-%d", fullScaleAgents), extrapolate(sizes, worst, fullScaleAgents), "B/s", controlBytesBound))
	return nil
}

// measureControl measures a fleet with the given number of agents and returns
// the traffic of the busiest idle entry, in bytes a second.
func measureControl(agents int, report func(Figure)) (float64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dir, err := os.MkdirTemp("", "experiment-control-")
	if err != nil {
		return 0, errors.Wrap(err, "create log directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	b, err := bench.New(binaryDir, dir)
	if err != nil {
		return 0, err
	}
	defer b.Close()
	fleet := &controlFleet{bench: b, ctx: ctx}
	if err := fleet.start(agents); err != nil {
		return 0, err
	}
	if err := fleet.publish("v1"); err != nil {
		return 0, err
	}
	if err := fleet.awaitServing(); err != nil {
		return 0, err
	}
	time.Sleep(controlWarmUp)
	idle, err := fleet.measure()
	if err != nil {
		return 0, err
	}
	baseline, err := fleet.fullHeartbeatBytes()
	if err != nil {
		return 0, err
	}
	// The measurement begins with the publication, so that it includes the whole
	// distribution. The fleet is asked for its state only afterwards, because
	// these answers count as control traffic too.
	duringRollout, err := fleet.measure(func() error { return fleet.publish("v2") })
	if err != nil {
		return 0, err
	}
	if err := fleet.awaitServing(); err != nil {
		return 0, err
	}
	report(AtMost(fmt.Sprintf("control-entry-bytes-%d", agents), idle.entry, "B/s, worst entry", controlBytesBound))
	report(AtMost(fmt.Sprintf("control-agent-bytes-%d", agents), idle.agent, "B/s, worst agent", controlBytesBound))
	report(Unbounded(fmt.Sprintf("control-entry-payload-%d", agents), idle.payload, "B/s without headers, worst entry"))
	report(AtMost(fmt.Sprintf("control-spread-entry-bytes-%d", agents), duringRollout.entry, "B/s, worst entry", controlBytesBound))
	report(AtMost(fmt.Sprintf("control-spread-agent-bytes-%d", agents), duringRollout.agent, "B/s, worst agent", controlBytesBound))
	report(Unbounded(fmt.Sprintf("control-baseline-full-entry-bytes-%d", agents), baseline, "B/s"))
	return idle.entry, nil
}

// controlFleet is a fleet of real daemon processes whose engines run in the
// process of the experiment.
type controlFleet struct {
	bench    *bench.Bench
	ctx      context.Context
	entries  []*bench.Process
	agents   []*bench.Process
	document *bench.Document
	// digest identifies the version that publish made live last.
	digest string
}

// start starts the platform, the entries and the given number of agents, and
// publishes a configuration document without models.
func (f *controlFleet) start(agents int) error {
	if err := f.bench.StartPlatform(); err != nil {
		return err
	}
	place := func(i int) bench.Placement {
		region := controlRegions[i%len(controlRegions)]
		return bench.Placement{Region: region, AvailabilityZone: region + "-a"}
	}
	for i := range controlEntries {
		entry, err := f.bench.StartEntry(f.ctx, fmt.Sprintf("entry-%d", i), place(i))
		if err != nil {
			return err
		}
		f.entries = append(f.entries, entry)
	}
	for i := range agents {
		address, err := serveEngine(f.ctx, engine.Options{Slots: 8, TokenTime: time.Millisecond})
		if err != nil {
			return err
		}
		agent, err := f.bench.StartAgent(f.ctx, fmt.Sprintf("agent-%d", i), place(i), func(s *settings.Agent) { s.EngineAddress = address })
		if err != nil {
			return err
		}
		f.agents = append(f.agents, agent)
	}
	var regions []document.Region
	for _, region := range controlRegions {
		regions = append(regions, document.Region{Name: region, AvailabilityZones: []string{region + "-a"}})
	}
	f.document = f.bench.NewDocument(regions...)
	f.document.AddWorkspace("mopa", 1)
	return f.document.Publish(f.ctx)
}

// serveEngine serves an engine in this process until the context ends, and
// returns its address.
func serveEngine(ctx context.Context, options engine.Options) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: engine.New(options), ReadHeaderTimeout: entryTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	// Serve returns only when the server is closed.
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// publish makes a new version the live one of controlModel, with a replica on
// every agent.
func (f *controlFleet) publish(version string) error {
	digest, err := f.document.AddVersion(f.ctx, controlModel, version, controlVersionBytes, len(f.agents))
	if err != nil {
		return err
	}
	f.digest = digest
	return f.document.Publish(f.ctx, document.SectionModels)
}

// awaitServing waits until every entry sees the version ready on all agents.
func (f *controlFleet) awaitServing() error {
	for _, entry := range f.entries {
		if err := f.bench.AwaitServing(f.ctx, entry.Name, controlModel, f.digest, len(f.agents), controlTimeout); err != nil {
			return err
		}
	}
	return nil
}

// controlTraffic is the control traffic of the busiest entry and that of the
// busiest agent, in bytes a second. payload is the part of the entry's traffic
// without TCP and IP headers.
type controlTraffic struct{ entry, agent, payload float64 }

// measure runs the steps and returns the control traffic while they run. If they
// take less than controlDuration, it waits and measures for that long.
func (f *controlFleet) measure(steps ...func() error) (controlTraffic, error) {
	before := map[string]controlCounters{}
	for _, process := range slices.Concat(f.entries, f.agents) {
		counters, err := readControlCounters(f.ctx, process.Address)
		if err != nil {
			return controlTraffic{}, err
		}
		before[process.Name] = counters
	}
	startedAt := time.Now()
	for _, step := range steps {
		if err := step(); err != nil {
			return controlTraffic{}, err
		}
	}
	time.Sleep(time.Until(startedAt.Add(controlDuration)))
	var sample controlTraffic
	for _, process := range slices.Concat(f.entries, f.agents) {
		counters, err := readControlCounters(f.ctx, process.Address)
		if err != nil {
			return controlTraffic{}, err
		}
		payload := (counters.bytes - before[process.Name].bytes) / time.Since(startedAt).Seconds()
		headers := controlHeaderBytes * (counters.segments - before[process.Name].segments) / time.Since(startedAt).Seconds()
		if slices.Contains(f.agents, process) {
			sample.agent = max(sample.agent, payload+headers)
		} else if payload+headers > sample.entry {
			sample.entry, sample.payload = payload+headers, payload
		}
	}
	return sample, nil
}

// fullHeartbeatBytes returns the bytes a second at an entry when every member
// sends its full state to every entry once a second and receives the list of all
// entries.
func (f *controlFleet) fullHeartbeatBytes() (float64, error) {
	status, err := f.bench.EntryStatus(f.ctx, f.entries[0].Name)
	if err != nil {
		return 0, err
	}
	response := peer.HeartbeatResponse{Incarnation: 1}
	for _, member := range status.Members {
		if member.Kind == fuchsiarouter.KindEntry {
			response.Entries = append(response.Entries, member.Member)
		}
	}
	answer, err := peer.Encode(response)
	if err != nil {
		return 0, err
	}
	total := 0
	for _, member := range status.Members {
		request, err := peer.Encode(peer.HeartbeatRequest{Member: member.Member})
		if err != nil {
			return 0, err
		}
		exchange := len(request) + len(answer) + 2*controlHeaderBytes
		switch {
		case member.ID == status.ID:
		case member.Kind == fuchsiarouter.KindEntry:
			// Entries send heartbeats both ways.
			total += 2 * exchange
		default:
			total += exchange
		}
	}
	return float64(total), nil
}

// controlCounters are the control traffic counters of a daemon, each the sum of
// sent and received: bytes without TCP and IP headers, and TCP segments.
type controlCounters struct{ bytes, segments float64 }

// readControlCounters reads the counters from the metrics page of the daemon at
// the address.
func readControlCounters(ctx context.Context, address string) (controlCounters, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return controlCounters{}, errors.Wrap(err, "read metrics")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return controlCounters{}, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = response.Body.Close() }()
	var counters controlCounters
	found := 0
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, text, _ := strings.Cut(scanner.Text(), "} ")
		var value float64
		if _, err := fmt.Sscan(text, &value); err != nil {
			continue
		}
		switch {
		case strings.Contains(name, "_control_bytes{"):
			counters.bytes += value
			found++
		case strings.Contains(name, "_control_segments{"):
			counters.segments += value
			found++
		}
	}
	// Both counters have two directions.
	if found != 4 {
		return counters, errors.Errorf("metrics at %s: found %d control traffic counters, want 4", address, found)
	}
	return counters, scanner.Err()
}
