// Package soak runs real entries as processes on the loopback, injects faults from
// outside them, and checks what callers and backend servers see.
//
// A seed gives the whole schedule of faults: processes that are killed, stopped and
// paused, connections that are cut or silenced by proxies, a store that is down or
// forgets, servers that fail, leave and are replaced, keys that are taken away. Faults
// come in series and overlap. Callers keep their connections until the process is gone.
//
// Promises that hold always: a call that may not be repeated runs at most once, one that
// was refused never, an answer is whole and the caller's own, and a key that was taken
// away runs nothing after its bound. After the last fault every entry serves again.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// recovery is the time after the last fault within which every entry serves.
	recovery = 12 * time.Second
	// settle is the time in which requests that are under way end.
	settle = 2 * time.Second
)

// Settings are those of one run.
type Settings struct {
	// Binary is the daemon.
	Binary string
	// Dir gets settings files and logs.
	Dir     string
	Seed    uint64
	Entries int
	Callers int
	// Length is the time in which faults begin.
	Length time.Duration
}

// Report is what a run has seen.
type Report struct {
	Seed     uint64
	Faults   int
	Requests int
	// Served is the number of requests that got a whole answer.
	Served int
	// Broken are the promises that did not hold.
	Broken []string
}

// String is one line for each run.
func (r Report) String() string {
	return fmt.Sprintf("seed %d: %d faults, %d requests, %d served, %d promises broken %q",
		r.Seed, r.Faults, r.Requests, r.Served, len(r.Broken), r.Broken)
}

// Run plays one seed.
func Run(ctx context.Context, settings Settings) (Report, error) {
	f, err := newFleet(settings)
	if err != nil {
		return Report{}, err
	}
	defer f.close()
	if err := f.await(ctx); err != nil {
		return Report{}, errors.Wrap(err, "the fleet did not start")
	}
	faults := schedule(rand.New(rand.NewPCG(settings.Seed, 0)), settings)
	calling, stop := context.WithCancel(ctx)
	defer stop()
	callers := make([]*caller, settings.Callers)
	var working sync.WaitGroup
	for i := range callers {
		callers[i] = newCaller(f, rand.New(rand.NewPCG(settings.Seed, uint64(i+1))), i)
		working.Go(func() { callers[i].work(calling) })
	}
	began := time.Now()
	var injecting sync.WaitGroup
	for _, one := range faults {
		if !sleep(ctx, time.Until(began.Add(one.at))) {
			break
		}
		injecting.Go(func() { one.inject(ctx, f) })
	}
	injecting.Wait()
	report := Report{Seed: settings.Seed, Faults: len(faults)}
	if err := f.await(ctx); err != nil {
		report.Broken = append(report.Broken, err.Error())
	}
	stop()
	working.Wait()
	sleep(ctx, settle)
	var attempts []attempt
	for _, one := range callers {
		attempts = append(attempts, one.attempts...)
	}
	report.Requests = len(attempts)
	report.Served = len(slices.DeleteFunc(slices.Clone(attempts), func(a attempt) bool { return !a.served() }))
	report.Broken = append(report.Broken, f.check(attempts)...)
	return report, ctx.Err()
}

// sleep reports false when the context ends first.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
