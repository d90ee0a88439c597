package stagedengine_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/platform"
	"github.com/fuchsiarouter/fuchsiarouter/standin/stagedengine"
)

// startEngine starts an engine of two pieces, which holds no version.
func startEngine(t *testing.T, fault func(stagedengine.Call) stagedengine.Fault) (*stagedengine.Engine, *platform.Engine) {
	engine, err := stagedengine.New(stagedengine.Settings{Address: "127.0.0.1:0", Model: "m", Pieces: 2, Fault: fault})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(engine.Close)
	return engine, platform.NewEngine(engine.Address())
}

// TestLoadViolations guards against violations that are not recorded, and sound loads that are.
func TestLoadViolations(t *testing.T) {
	for _, example := range []struct {
		name string
		// versions are those of the two staged pieces; 0 means that the piece is missing.
		versions [2]int
		prepare  func(engine *stagedengine.Engine)
		want     []string
	}{
		{"sound", [2]int{2, 2}, func(*stagedengine.Engine) {}, nil},
		{"missing", [2]int{2, 0}, func(*stagedengine.Engine) {}, []string{"piece 1 is missing"}},
		{"other version", [2]int{1, 2}, func(*stagedengine.Engine) {}, []string{"piece 0 is of version 1"}},
		{"crash", [2]int{2, 2}, func(engine *stagedengine.Engine) { engine.Restart(0, false) }, nil},
		{"power loss", [2]int{2, 2}, func(engine *stagedengine.Engine) { engine.Restart(0, true) }, []string{"piece 0 is missing", "piece 1 is missing"}},
		{"just corrupt", [2]int{2, 2}, func(engine *stagedengine.Engine) { engine.Corrupt(1) }, nil},
		{"never right", [2]int{2, 1}, func(engine *stagedengine.Engine) { engine.Corrupt(1) }, []string{"piece 1 is corrupt and never was right"}},
		{"long corrupt", [2]int{2, 2}, func(engine *stagedengine.Engine) {
			engine.Corrupt(1)
			time.Sleep(stagedengine.CorruptionAllowance)
		}, []string{"piece 1 became corrupt 3s before"}},
	} {
		t.Run(example.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			engine, client := startEngine(t, nil)
			for piece, version := range example.versions {
				if version > 0 {
					g.Expect(client.StagePiece("m", piece, stagedengine.Content(version, piece))).To(gomega.Succeed())
				}
			}
			example.prepare(engine)
			// A connection that a restart has closed is used once more.
			g.Eventually(func() error { _, err := client.Report(); return err }).Should(gomega.Succeed())
			order, err := client.OpenOrder()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = order.Close() }()
			_, err = order.StartLoad("m", 2, 0)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			loads := engine.Loads()
			g.Expect(loads).To(gomega.HaveLen(1))
			g.Expect(loads[0].Violations).To(gomega.Equal(example.want))
			g.Eventually(engine.Version).Should(gomega.Equal(2))
		})
	}
}

// TestCallsEndWithIncarnation guards against a call that is carried out after a restart.
func TestCallsEndWithIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	engine, client := startEngine(t, func(call stagedengine.Call) stagedengine.Fault {
		if call.Kind == stagedengine.Put {
			close(arrived)
			return stagedengine.Fault{Before: func() { <-release }}
		}
		return stagedengine.Fault{}
	})
	result := make(chan error, 1)
	go func() { result <- client.StagePiece("m", 0, stagedengine.Content(2, 0)) }()
	g.Eventually(arrived).Should(gomega.BeClosed())
	engine.Restart(0, false)
	close(release)
	g.Eventually(result).Should(gomega.Receive(gomega.HaveOccurred()))
	g.Consistently(func() int { return engine.StagedPieces(2) }, "100ms").Should(gomega.BeZero())
}
