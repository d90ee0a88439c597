package fairshare_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/fairshare"
)

// TestCost guards against costs that count requests instead of engine time, and against malformed figures and token counts that make a cost negative, infinite or no number.
func TestCost(t *testing.T) {
	g := gomega.NewWithT(t)
	engine := &catalog.Engine{Slots: 12, StepTime: 7400 * time.Microsecond, PromptTokensPerSecond: 31900, MeanPromptTokens: 319, MeanOutputTokens: 120}
	g.Expect(fairshare.Cost(engine, 3190, 60)).To(gomega.BeNumerically("~", 0.1+60*0.0074/12, 1e-9))
	g.Expect(fairshare.Cost(engine, 0, 0)).To(gomega.BeNumerically("~", 0.01+120*0.0074/12, 1e-9))
	g.Expect(fairshare.Cost(engine, math.MaxInt, math.MaxInt)).To(gomega.BeNumerically("==", 20))
	for _, malformed := range []*catalog.Engine{
		nil,
		{},
		{Slots: -1, StepTime: time.Second},
		{PromptTokensPerSecond: -5},
		{PromptTokensPerSecond: math.NaN()},
		{Slots: 1, StepTime: -time.Second, StepTimePerSequence: -time.Second},
		{PromptTokensPerSecond: math.Inf(1), MeanPromptTokens: -1},
	} {
		g.Expect(fairshare.Cost(malformed, 10, 10)).To(gomega.BeZero())
	}
}

// BenchmarkDecisions measures what a request costs under overload: its wait and the choice of the next workspace, with 24 workspaces in one rank and 3.
func BenchmarkDecisions(b *testing.B) {
	for _, ranks := range []int{1, 3} {
		b.Run(fmt.Sprint(ranks, " ranks"), func(b *testing.B) {
			shares, now := fairshare.New(nil), time.Hour
			var workspaces []string
			for i := range 24 {
				workspaces = append(workspaces, fmt.Sprint("w", i))
				for rank := range ranks {
					shares.Serve(now, rank, workspaces[i], 1)
					shares.Refuse(now, rank, workspaces[i], 1)
					shares.Queue(rank, workspaces[i], 1)
				}
			}
			shares.SetElsewhere(now, nil, 10, 0)
			b.ReportAllocs()
			for b.Loop() {
				shares.Wait(now, 0, workspaces[3], 1)
				shares.Next(now, 0, workspaces[:6], 0, 11)
			}
		})
	}
}
