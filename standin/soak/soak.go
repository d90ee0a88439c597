// Package soak runs entry processes on the loopback interface, injects external faults,
// and checks the records of callers and backend servers against invariants.
//
// An entry is a fuchsiarouterd process in its ingress mode: the HTTP proxy that forwards
// the requests of callers to the backend servers of the users' platform. It reads the
// configuration and the registered backend servers from the platform's store. The store,
// the backend servers and the callers are stand-ins that run in this process.
//
// The seed determines the whole fault schedule: entry processes are killed, stopped
// gracefully and paused, proxied connections are cut or stalled, the store is down, drops
// older records or is restored from a backup, servers fail, drain, leave, ask for pauses and
// are replaced, and API keys are revoked.
// Faults follow each other closely and overlap. Callers keep their connections open
// between requests, until the entry process exits.
//
// Hostile callers send requests that do not end or are too large, to all addresses of the entries.
//
// Invariants: no process ends by itself or exceeds its memory or descriptors, no hostile request runs,
// a non-repeatable request runs at most once, a refused request never runs, a
// response is complete and belongs to the request of its caller, and a revoked API key
// runs no requests once revocationBound has passed, and a server that has told an entry that
// it leaves, or has asked it for a pause, gets no more requests of it. Within recoveryTimeout after the last
// fault, every entry serves requests again.
//
// RunLoaders does the same for loader processes, each beside a stand-in engine that loads staged
// pieces. Calls to an engine are carried out late, or lose their answers; engines stop, restart and
// lose pieces; loaders are killed, stopped gracefully and paused; and versions are declared all the
// while. Invariants: an engine loads no piece that is missing, of another version, or corrupt for
// longer than stagedengine.CorruptionAllowance. Within convergenceTimeout after the last fault, every
// engine holds the newest version.
//
// RunVersions declares versions in series at the load of a day, beside entries, loaders and engines,
// and stops an entry by a signal around them. Invariants: a request that an entry in touch has sent begins
// on no version whose successor was acknowledged more than versionBound before, and no daemon dates a
// version after its acknowledgement.
//
// RunStops is a run of another kind: entries are stopped in series while callers use all kinds of
// requests, servers fall silent, crash and are replaced, and the configuration changes. No request
// may lose its connection without a complete answer, except as excuse says.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// recoveryTimeout is the time within which every entry must be serving again after the
	// last fault has been reverted. It also bounds the start of the fleet.
	recoveryTimeout = 12 * time.Second
	// settleTime is how long the run waits after the callers have stopped, so that servers
	// have recorded requests that were still on their way.
	settleTime = 2 * time.Second
)

// Settings configures one run.
type Settings struct {
	// Binary is the path of the fuchsiarouterd daemon.
	Binary string
	// WorkDir is the directory for the settings files and logs of the entries.
	WorkDir string
	// Seed determines the fault schedule and the sequence of requests of each caller.
	Seed uint64
	// Entries is the number of entry processes, Callers the number of callers.
	Entries int
	Callers int
	// HostileCallers is the number of callers that send requests which do not end or are too large.
	HostileCallers int
	// FaultWindow is the time from the start of the callers within which faults begin.
	FaultWindow time.Duration
}

// Report summarizes a run.
type Report struct {
	Seed uint64
	// Faults is the number of faults in the schedule, Requests the number of requests
	// that callers sent.
	Faults   int
	Requests int
	// Succeeded is the number of requests that got a complete response with status 200.
	Succeeded int
	// Violations describes each request that violated an invariant, and an entry that was
	// not serving in time after the last fault.
	Violations []string
}

// String formats the report as a single line.
func (r Report) String() string {
	return fmt.Sprintf("seed %d: %d faults, %d requests, %d served, %d promises broken %q",
		r.Seed, r.Faults, r.Requests, r.Succeeded, len(r.Violations), r.Violations)
}

// Run injects the fault schedule of the seed into a new fleet while callers send requests.
// The report lists the invariants that were violated; an error means that the run could not
// be carried out.
func Run(ctx context.Context, settings Settings) (Report, error) {
	f, err := newFleet(settings, faultPlan)
	if err != nil {
		return Report{}, err
	}
	defer f.close()
	if err := f.awaitServing(ctx); err != nil {
		return Report{}, errors.Wrap(err, "start fleet")
	}
	faults := drawFaults(rand.New(rand.NewPCG(settings.Seed, 0)), settings)
	callerCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	callers := make([]*caller, settings.Callers)
	var sending sync.WaitGroup
	for i := range callers {
		callers[i] = newCaller(f, rand.New(rand.NewPCG(settings.Seed, uint64(i+1))), i)
		sending.Go(func() { callers[i].sendUntilDone(callerCtx) })
	}
	hostile := f.startCrowd(ctx)
	began := time.Now()
	var injecting sync.WaitGroup
	slices.SortFunc(faults, func(a, b fault) int { return cmp.Compare(a.startAfter, b.startAfter) })
	for _, scheduled := range faults {
		if !sleep(ctx, time.Until(began.Add(scheduled.startAfter))) {
			break
		}
		injecting.Go(func() { scheduled.inject(ctx, f) })
	}
	injecting.Wait()
	report := Report{Seed: settings.Seed, Faults: len(faults)}
	if err := f.awaitServing(ctx); err != nil {
		report.Violations = append(report.Violations, err.Error())
	}
	stopCallers()
	sending.Wait()
	report.Violations = append(report.Violations, hostile.end()...)
	sleep(ctx, settleTime)
	var requests []callerRequest
	for _, c := range callers {
		requests = append(requests, c.requests...)
	}
	report.Requests = len(requests)
	report.Succeeded = len(slices.DeleteFunc(slices.Clone(requests), func(r callerRequest) bool { return !r.succeeded() }))
	report.Violations = append(report.Violations, f.findViolations(requests)...)
	return report, ctx.Err()
}

// sleep waits for the duration. It returns false if the context ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
