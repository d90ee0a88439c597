package demo

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
)

// callInterval is how long a caller waits after each call. It spreads the calls over the time
// in which the next version is loaded.
const callInterval = 100 * time.Millisecond

// startCalls starts callersPerRank callers for each rank. Each of them sends calls of the
// model until stopCalls is closed, and at least minCallsPerCaller. Every other call streams
// its response. Wait of the returned group returns when all callers have ended.
func (d *Demo) startCalls(ctx context.Context, stopCalls <-chan struct{}) *errgroup.Group {
	group, ctx := errgroup.WithContext(ctx)
	for _, rank := range document.RankNames() {
		for number := range callersPerRank {
			caller := d.bench.NewCaller(fmt.Sprintf("%s-%d", rank, number), "mopa", d.entryAddresses...)
			group.Go(func() error {
				for i := 0; i < minCallsPerCaller || !isClosed(stopCalls); i++ {
					call := newModelCall(rank, fmt.Sprintf("%s %d %d", rank, number, i))
					call.Stream = i%2 == 0
					if _, err := caller.Do(ctx, call); err != nil {
						return err
					}
					select {
					case <-time.After(callInterval):
					case <-ctx.Done():
						return ctx.Err()
					}
				}
				return nil
			})
		}
	}
	return group
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// newModelCall returns a call of the model that streams its response. The call is idempotent,
// so that the caller may send it again after any failure.
func newModelCall(rank document.RankName, prompt string) bench.Call {
	return bench.Call{
		Model: modelName, Prompt: prompt, Tokens: tokensPerCall, Stream: true,
		Idempotent: true, Rank: string(rank), Patience: callTimeout,
	}
}
