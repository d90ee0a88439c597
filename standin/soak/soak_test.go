package soak_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/soak"
)

// seeds are played in CI: some to begin with, and each one that has ever failed, with
// the cause.
var seeds = []uint64{1, 2}

// TestSoak guards against a promise that breaks under faults which come in series and
// overlap.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak starts many processes")
	}
	g := gomega.NewWithT(t)
	bin := t.TempDir()
	build := exec.Command("go", "build", "-buildvcs=false", "-o", bin+string(filepath.Separator), "./cmd/fuchsiarouterd")
	build.Dir = "../.."
	output, err := build.CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), "%s", output)
	for _, seed := range seeds {
		report, err := soak.Run(context.Background(), soak.Settings{
			Binary: filepath.Join(bin, "fuchsiarouterd"), Dir: t.TempDir(), Seed: seed, Entries: 3, Callers: 6,
			Length: 8 * time.Second,
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Log(report)
		g.Expect(report.Broken).To(gomega.BeEmpty(), "seed %d", seed)
		g.Expect(report.Served).To(gomega.BeNumerically(">", 100), "seed %d", seed)
	}
}
