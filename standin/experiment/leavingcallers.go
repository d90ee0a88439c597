package experiment

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
	"github.com/fuchsiarouter/fuchsiarouter/standin/engine"
)

// Parameters of the experiment with callers that disconnect.
const (
	// leavingCallers is the number of callers that disconnect.
	leavingCallers = 200
	// stayingCallers is the number of callers that wait for their answers.
	stayingCallers = 40
	// leavingTokens is the length of each answer in tokens.
	leavingTokens = 20
	// leavingDelay is the time from the start of the requests to the disconnect.
	leavingDelay = 500 * time.Millisecond
	// leavingGrace is the time from the disconnect within which the daemons must
	// notice it. No request of a caller that left may start later.
	leavingGrace = 250 * time.Millisecond
	// leavingDeadline is the deadline of each request.
	leavingDeadline = 30 * time.Second
)

// LeavingCallers measures with the real daemons which fraction of the work of a
// full engine goes to callers that have disconnected. 240 requests arrive at
// once at four slots, half of them for a stream, and 200 of the callers
// disconnect after half a second. The run has no baseline: run it with older
// daemons in bin to compare.
func LeavingCallers(_ uint64, report func(Figure)) error {
	dir, err := os.MkdirTemp("", "experiment-leaving-callers-")
	if err != nil {
		return errors.Wrap(err, "create log directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	b, err := bench.New(binaryDir, dir)
	if err != nil {
		return err
	}
	defer b.Close()
	ctx := context.Background()
	fleet, err := startEntryFleet(ctx, b, 1, "--slots", "4", "--token-time", "10ms")
	if err != nil {
		return err
	}
	leavingCtx, disconnect := context.WithCancel(ctx)
	var callers sync.WaitGroup
	startedAt := time.Now()
	for i := range leavingCallers + stayingCallers {
		name, callerCtx := "stays", ctx
		if i%(leavingCallers/stayingCallers+1) > 0 {
			name, callerCtx = "leaves", leavingCtx
		}
		caller := b.NewCaller(fmt.Sprintf("%s-%d", name, i), "mopa", fleet.entry.Address)
		call := bench.Call{
			Model: "rounds", Prompt: fmt.Sprintf("%d", i), Tokens: leavingTokens, Stream: i%2 == 0,
			Idempotent: true, Deadline: leavingDeadline,
		}
		callers.Go(func() { _, _ = caller.Do(callerCtx, call) })
	}
	time.Sleep(leavingDelay)
	disconnect()
	leftAt := time.Now()
	callers.Wait()
	duration := time.Since(startedAt)
	return fleet.reportAbandonedWork(ctx, leftAt, duration, report)
}

// reportAbandonedWork reports which part of the tokens of the runs that the engine
// started after the disconnect, at leftAt, was for callers that had disconnected,
// and how many such runs started more than leavingGrace after the disconnect. It
// also reports the duration, the time from the start of the requests until all
// callers that stayed had their answers.
func (f *entryFleet) reportAbandonedWork(ctx context.Context, leftAt time.Time, duration time.Duration, report func(Figure)) error {
	var answer struct {
		Runs []engine.Run `json:"runs"`
	}
	if err := bench.SendJSON(ctx, http.MethodGet, f.engineAddresses[0]+"/runs", nil, &answer); err != nil {
		return err
	}
	var workAfter, lateStarts, abandonedWork float64
	for _, run := range answer.Runs {
		start := time.UnixMilli(run.StartMs)
		if start.Before(leftAt) {
			continue
		}
		tokens := float64(run.StreamedTokens)
		if run.State == engine.RunDone {
			tokens = leavingTokens
		}
		workAfter += tokens
		// A request ID begins with the name of the caller.
		if strings.HasPrefix(run.RequestID, "leaves") {
			abandonedWork += tokens
			if start.After(leftAt.Add(leavingGrace)) {
				lateStarts++
			}
		}
	}
	report(AtMost("leaving-callers-started-late", lateStarts, "requests", 0))
	report(Unbounded("leaving-callers-share-of-work", abandonedWork/max(workAfter, 1), ""))
	report(Unbounded("leaving-callers-time-for-those-that-stay", duration.Seconds(), "s"))
	return nil
}
