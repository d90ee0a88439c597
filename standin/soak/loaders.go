package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// minDeclareInterval and maxDeclareInterval bound the time between two declared versions.
	minDeclareInterval = 1 * time.Second
	maxDeclareInterval = 4 * time.Second
	// convergenceTimeout is the time within which every engine must hold the newest version after
	// the last fault. It allows for some calls in a row that are carried out late.
	convergenceTimeout = 40 * time.Second
)

// LoaderSettings configures one run of RunLoaders.
type LoaderSettings struct {
	// Binary is the path of the fuchsiarouterd daemon.
	Binary string
	// WorkDir is the directory for the settings files and logs of the loaders.
	WorkDir string
	// Seed determines the schedule of the faults and of the declared versions.
	Seed uint64
	// Loaders is the number of loader processes, each with an engine.
	Loaders int
	// HostileCallers is the number of callers that send requests which do not end or are too large.
	HostileCallers int
	// FaultWindow is the time within which faults begin and versions are declared.
	FaultWindow time.Duration
}

// LoaderReport summarizes a run of RunLoaders.
type LoaderReport struct {
	Seed uint64
	// Faults is the number of faults in the schedule, Versions that of the declared versions, and
	// Loads that of the orders that the engines accepted.
	Faults   int
	Versions int
	Loads    int
	// Violations describes each load with a piece that was missing, of another version or corrupt
	// for too long, and each loader that exceeded a limit or ended by itself. Behind describes each engine that did not get the newest version.
	Violations []string
	Behind     []string
}

// String formats the report as a single line.
func (r LoaderReport) String() string {
	return fmt.Sprintf("seed %d: %d faults, %d versions, %d loads, %d of them wrong %q, %d engines behind %q",
		r.Seed, r.Faults, r.Versions, r.Loads, len(r.Violations), r.Violations, len(r.Behind), r.Behind)
}

// RunLoaders declares versions while it injects the fault schedule of the seed into loader processes
// and their engines. The report lists the loads that were wrong; an error means that the run could
// not be carried out.
func RunLoaders(ctx context.Context, settings LoaderSettings) (LoaderReport, error) {
	f, err := newLoaderFleet(settings)
	if err != nil {
		return LoaderReport{}, err
	}
	defer f.close()
	if behind := f.awaitVersion(ctx, recoveryTimeout); len(behind) > 0 {
		return LoaderReport{}, errors.Errorf("start fleet: %q", behind)
	}
	rng := rand.New(rand.NewPCG(settings.Seed, 0))
	faults := drawLoaderFaults(rng, settings)
	report := LoaderReport{Seed: settings.Seed, Faults: len(faults)}
	hostile := f.startCrowd(ctx, settings)
	began := time.Now()
	var running sync.WaitGroup
	for at := randomDuration(rng, 0, maxDeclareInterval); at < settings.FaultWindow; at += randomDuration(rng, minDeclareInterval, maxDeclareInterval) {
		report.Versions++
		running.Go(func() {
			if sleep(ctx, time.Until(began.Add(at))) {
				f.declareNext()
			}
		})
	}
	for _, scheduled := range faults {
		running.Go(func() {
			if sleep(ctx, time.Until(began.Add(scheduled.startAfter))) {
				scheduled.inject(ctx, f)
			}
		})
	}
	running.Wait()
	report.Behind = f.awaitVersion(ctx, convergenceTimeout)
	report.Violations = hostile.end()
	// Calls of the last faults may still wait at the engines.
	sleep(ctx, maxLateness)
	for _, m := range f.machines {
		report.Loads += len(m.engine.Loads())
		report.Violations = append(report.Violations, m.describeViolations()...)
	}
	return report, ctx.Err()
}
