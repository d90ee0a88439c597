package soak_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/soak"
)

// seeds are the seeds to run in CI: an initial set, and each seed that ever failed, with a
// comment on the cause of the failure.
var seeds = []uint64{1, 2}

// hostileCallers is the number of hostile callers in each run.
const hostileCallers = 12

// TestSoak guards against invariants that are violated when several faults follow each
// other closely or overlap.
func TestSoak(t *testing.T) {
	g := gomega.NewWithT(t)
	binary := buildDaemon(t)
	for _, seed := range seeds {
		report, err := soak.Run(context.Background(), soak.Settings{
			Binary: binary, WorkDir: t.TempDir(), Seed: seed, Entries: 3, Callers: 6, HostileCallers: hostileCallers,
			FaultWindow: 8 * time.Second,
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Log(report)
		g.Expect(report.Violations).To(gomega.BeEmpty(), "seed %d", seed)
		g.Expect(report.Succeeded).To(gomega.BeNumerically(">", 100), "seed %d", seed)
	}
}

// stopSeeds are the seeds of the run with planned stops in CI.
var stopSeeds = []uint64{1}

// loaderSeeds are the seeds of RunLoaders in CI, each of which has failed: 21 and 31 loaded missing
// pieces after a restart of an engine, 32 an order that was accepted late.
var loaderSeeds = []uint64{21, 31, 32}

// TestSoakLoaders guards against loads of missing, corrupt or foreign pieces under overlapping faults.
func TestSoakLoaders(t *testing.T) {
	for _, report := range runLoaders(t, loaderSeeds...) {
		gomega.NewWithT(t).Expect(report.Loads).To(gomega.BeNumerically(">", 3), "seed %d", report.Seed)
		gomega.NewWithT(t).Expect(report.Violations).To(gomega.BeEmpty(), "seed %d", report.Seed)
	}
}

// convergeSeeds are the seeds of TestSoakLoadersConverge: those of TestSoakLoaders and two that have
// failed.
var convergeSeeds = append(slices.Clone(loaderSeeds), 25, 35)

// TestSoakLoadersConverge guards against engines that lack the newest version after the last fault.
func TestSoakLoadersConverge(t *testing.T) {
	skipKnownRed(t)
	for _, report := range runLoaders(t, convergeSeeds...) {
		gomega.NewWithT(t).Expect(report.Behind).To(gomega.BeEmpty(), "seed %d", report.Seed)
	}
}

// runLoaders runs the seeds at the same time and returns their reports.
func runLoaders(t *testing.T, seeds ...uint64) []soak.LoaderReport {
	binary := buildDaemon(t)
	reports := make([]soak.LoaderReport, len(seeds))
	var running sync.WaitGroup
	for index, seed := range seeds {
		workDir := t.TempDir()
		running.Go(func() {
			report, err := soak.RunLoaders(context.Background(), soak.LoaderSettings{
				Binary: binary, WorkDir: workDir, Seed: seed, Loaders: 3, HostileCallers: hostileCallers, FaultWindow: 16 * time.Second,
			})
			if err != nil {
				t.Error(err)
			}
			t.Log(report)
			reports[index] = report
		})
	}
	running.Wait()
	return reports
}

// skipKnownRed skips a test that KNOWN-RED.txt lists, unless KNOWN_RED is set.
func skipKnownRed(t *testing.T) {
	if os.Getenv("KNOWN_RED") == "" {
		t.Skip("passed over, see KNOWN-RED.txt")
	}
}

// TestStopsLoseNoRequest guards against requests without an answer around planned stops in series.
func TestStopsLoseNoRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	binary := buildDaemon(t)
	for _, seed := range stopSeeds {
		report, err := soak.RunStops(context.Background(), soak.Settings{
			Binary: binary, WorkDir: t.TempDir(), Seed: seed, Entries: 3, Callers: 24, HostileCallers: hostileCallers, FaultWindow: 5 * time.Second,
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Log(report)
		g.Expect(report.Lost).To(gomega.BeEmpty(), "seed %d", seed)
		g.Expect(report.Stops).To(gomega.BeNumerically(">", 0), "seed %d", seed)
		g.Expect(report.Outcomes["llm 200"]).To(gomega.BeNumerically(">", 20), "seed %d", seed)
	}
}

// versionSeed is the seed of the run with versions in CI.
const versionSeed = 1

// TestVersionsAroundStop guards against requests that begin on an older version after its deadline when an entry was stopped by a signal while the newer one was declared (VERSION).
func TestVersionsAroundStop(t *testing.T) {
	g := gomega.NewWithT(t)
	report, err := soak.RunVersions(context.Background(), soak.VersionSettings{
		Binary: buildDaemon(t), WorkDir: t.TempDir(), Seed: versionSeed, Engines: 6, Rounds: 1, Rate: 80, EarlyHeads: true,
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Log(report)
	g.Expect(report.Violations).To(gomega.BeEmpty())
	g.Expect(report.LatestDate).To(gomega.BeNumerically("<=", 0))
	g.Expect(report.Served).To(gomega.BeNumerically(">", report.Requests/2))
	g.Expect(report.Stops).To(gomega.Equal(1))
}

// buildDaemon builds the daemon and returns the path of the binary.
func buildDaemon(t *testing.T) string {
	if testing.Short() {
		t.Skip("the soak test starts many processes")
	}
	bin := t.TempDir()
	build := exec.Command("go", "build", "-buildvcs=false", "-o", bin+string(filepath.Separator), "./cmd/fuchsiarouterd")
	build.Dir = "../.."
	output, err := build.CombinedOutput()
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred(), "%s", output)
	return filepath.Join(bin, "fuchsiarouterd")
}
