package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/standin/stagedengine"
)

const (
	// minLoaderFaultInterval and maxLoaderFaultInterval bound the time between the starts of two
	// faults in a row, minLoaderFault and maxLoaderFault the duration of a fault. Faults of calls
	// last twice as long.
	minLoaderFaultInterval = 100 * time.Millisecond
	maxLoaderFaultInterval = 1200 * time.Millisecond
	minLoaderFault         = 500 * time.Millisecond
	maxLoaderFault         = 5 * time.Second
	// maxLateness is how long after its arrival a call may be carried out.
	maxLateness = 5 * time.Second
	// continueSpread is the time within which a stopped engine carries out waiting calls.
	continueSpread = 300 * time.Millisecond
)

// callFaults draws the faults of the calls to an engine, and records the faults of its machine.
type callFaults struct {
	mu  sync.Mutex
	rng *rand.Rand
	// active counts the running faults of each kind.
	active  map[string]int
	started []startedFault
}

// startedFault is a fault that was injected.
type startedFault struct {
	at   time.Time
	kind string
}

// reset sets the seed.
func (c *callFaults) reset(seed uint64, index int) {
	c.rng, c.active = rand.New(rand.NewPCG(seed, uint64(index+1))), map[string]int{}
}

// record records the start of a fault.
func (c *callFaults) record(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = append(c.started, startedFault{time.Now(), kind})
}

// between returns the kinds of the faults that started from one time to another.
func (c *callFaults) between(from, to time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kinds []string
	for _, started := range c.started {
		if started.at.After(from) && started.at.Before(to) && !slices.Contains(kinds, started.kind) {
			kinds = append(kinds, started.kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}

// adjust changes the number of running faults of a kind.
func (c *callFaults) adjust(kind string, delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active[kind] += delta
}

// extraResponses are responses that no call has asked for.
var extraResponses = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
}

// callFaultKind is a kind of faults of calls.
type callFaultKind struct {
	name string
	// draw returns the fault of a call to the engine of a machine while the kind is active.
	draw func(rng *rand.Rand, m *machine, call stagedengine.Call) stagedengine.Fault
}

// oneIn reports true for one of n calls on average.
func oneIn(rng *rand.Rand, n int) bool { return rng.IntN(n) == 0 }

// late returns the fault of a call that is carried out late, half of them after their connection
// has been closed.
func late(rng *rand.Rand) stagedengine.Fault {
	lateness, closeAfter := randomDuration(rng, 0, maxLateness), randomDuration(rng, time.Millisecond, time.Second)
	if oneIn(rng, 2) {
		closeAfter = 0
	}
	return stagedengine.Fault{Before: func() { time.Sleep(lateness) }, CloseAfter: closeAfter}
}

// callFaultKinds are the kinds of faults of calls. A load consists of about one call of versionPieces
// for each piece to put it and one to get it, and one order.
var callFaultKinds = []callFaultKind{
	{"lost answers", func(rng *rand.Rand, _ *machine, _ stagedengine.Call) stagedengine.Fault {
		return stagedengine.Fault{LoseAnswer: oneIn(rng, versionPieces)}
	}},
	{"late orders", func(rng *rand.Rand, _ *machine, call stagedengine.Call) stagedengine.Fault {
		if call.Kind != stagedengine.Order {
			return stagedengine.Fault{}
		}
		return late(rng)
	}},
	{"late puts", func(rng *rand.Rand, _ *machine, call stagedengine.Call) stagedengine.Fault {
		if call.Kind != stagedengine.Put || !oneIn(rng, versionPieces) {
			return stagedengine.Fault{}
		}
		return late(rng)
	}},
	{"slow answers", func(rng *rand.Rand, _ *machine, _ stagedengine.Call) stagedengine.Fault {
		delay := randomDuration(rng, 0, 300*time.Millisecond)
		return stagedengine.Fault{After: func() { time.Sleep(delay) }}
	}},
	{"corrupt puts", func(rng *rand.Rand, _ *machine, call stagedengine.Call) stagedengine.Fault {
		return stagedengine.Fault{Corrupt: call.Kind == stagedengine.Put && oneIn(rng, versionPieces)}
	}},
	{"corrupt after reads", func(rng *rand.Rand, m *machine, call stagedengine.Call) stagedengine.Fault {
		if call.Kind != stagedengine.Get || !oneIn(rng, versionPieces/2) {
			return stagedengine.Fault{}
		}
		return stagedengine.Fault{After: func() { m.engine.Corrupt(call.Piece) }}
	}},
	{"restarts during calls", func(rng *rand.Rand, m *machine, call stagedengine.Call) stagedengine.Fault {
		powerLoss := oneIn(rng, 2)
		if call.Kind == stagedengine.Put || !oneIn(rng, versionPieces) {
			return stagedengine.Fault{}
		}
		return stagedengine.Fault{Before: func() { m.engine.Restart(0, powerLoss) }}
	}},
	{"kills during calls", func(rng *rand.Rand, m *machine, call stagedengine.Call) stagedengine.Fault {
		if call.Kind != stagedengine.Order && !oneIn(rng, 4*versionPieces) {
			return stagedengine.Fault{}
		}
		fault := late(rng)
		sleepBefore := fault.Before
		fault.Before = func() {
			m.kill()
			_ = m.start()
			sleepBefore()
		}
		return fault
	}},
	{"silent connections", func(rng *rand.Rand, _ *machine, _ stagedengine.Call) stagedengine.Fault {
		return stagedengine.Fault{Silent: oneIn(rng, 2*versionPieces)}
	}},
	{"closed connections", func(rng *rand.Rand, _ *machine, _ stagedengine.Call) stagedengine.Fault {
		return stagedengine.Fault{LastOnConnection: oneIn(rng, 4)}
	}},
	{"extra answers", func(rng *rand.Rand, _ *machine, _ stagedengine.Call) stagedengine.Fault {
		fault := stagedengine.Fault{Extra: extraResponses[rng.IntN(len(extraResponses))]}
		if !oneIn(rng, versionPieces) {
			fault.Extra = ""
		}
		return fault
	}},
}

// draw returns the fault of a call to the engine of a machine.
func (c *callFaults) draw(m *machine, call stagedengine.Call) stagedengine.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	var drawn stagedengine.Fault
	for _, kind := range callFaultKinds {
		if c.active[kind.name] == 0 {
			continue
		}
		fault := kind.draw(c.rng, m, call)
		drawn.CloseAfter = cmp.Or(drawn.CloseAfter, fault.CloseAfter)
		drawn.Extra = cmp.Or(drawn.Extra, fault.Extra)
		drawn.Corrupt, drawn.Silent = drawn.Corrupt || fault.Corrupt, drawn.Silent || fault.Silent
		drawn.LoseAnswer, drawn.LastOnConnection = drawn.LoseAnswer || fault.LoseAnswer, drawn.LastOnConnection || fault.LastOnConnection
		if fault.Before != nil {
			drawn.Before = fault.Before
		}
		if fault.After != nil {
			drawn.After = fault.After
		}
	}
	return drawn
}

// loaderFault is a fault that is scheduled in a run of RunLoaders.
type loaderFault struct {
	startAfter time.Duration
	// inject injects the fault, and reverts it if it can be reverted.
	inject func(ctx context.Context, f *loaderFleet)
}

// drawLoaderFaults draws the random fault schedule of a run, in order of the start times.
func drawLoaderFaults(rng *rand.Rand, settings LoaderSettings) []loaderFault {
	var faults []loaderFault
	for at := randomDuration(rng, 0, maxLoaderFaultInterval); at < settings.FaultWindow; at += randomDuration(rng, minLoaderFaultInterval, maxLoaderFaultInterval) {
		index, inject := rng.IntN(settings.Loaders), drawLoaderFault(rng)
		faults = append(faults, loaderFault{startAfter: at, inject: func(ctx context.Context, f *loaderFleet) { inject(ctx, f.machines[index]) }})
	}
	return faults
}

// drawLoaderFault draws one fault of a machine and returns the function that injects it.
func drawLoaderFault(rng *rand.Rand) func(context.Context, *machine) {
	duration := randomDuration(rng, minLoaderFault, maxLoaderFault)
	pieces := rng.Perm(versionPieces)[:1+rng.IntN(versionPieces/4)]
	powerLoss := rng.IntN(2) == 0
	callFault := callFaultKinds[rng.IntN(len(callFaultKinds))].name
	kinds := []struct {
		name   string
		inject func(context.Context, *machine)
	}{
		{"kill", func(ctx context.Context, m *machine) {
			m.kill()
			sleep(ctx, duration/4)
			_ = m.start()
		}},
		{"SIGTERM", func(_ context.Context, m *machine) {
			if exited := m.sendSignal(syscall.SIGTERM); exited != nil {
				<-exited
			}
			_ = m.start()
		}},
		{"SIGSTOP", func(ctx context.Context, m *machine) {
			m.sendSignal(syscall.SIGSTOP)
			sleep(ctx, duration)
			m.sendSignal(syscall.SIGCONT)
		}},
		{"engine stop", func(ctx context.Context, m *machine) {
			m.engine.Stop()
			sleep(ctx, duration)
			m.engine.Continue(continueSpread)
		}},
		{"corrupt pieces", func(_ context.Context, m *machine) { m.engine.Corrupt(pieces...) }},
		{"engine restart", func(_ context.Context, m *machine) { m.engine.Restart(duration/4, powerLoss) }},
		{"power loss", func(ctx context.Context, m *machine) {
			m.kill()
			m.engine.Restart(duration/4, true)
			_ = m.start()
		}},
	}
	// Half of the faults are those of calls.
	if chosen := rng.IntN(2 * len(kinds)); chosen < len(kinds) {
		return func(ctx context.Context, m *machine) {
			m.faults.record(kinds[chosen].name)
			kinds[chosen].inject(ctx, m)
		}
	}
	return func(ctx context.Context, m *machine) {
		m.faults.record(callFault)
		m.faults.adjust(callFault, 1)
		sleep(ctx, 2*duration)
		m.faults.adjust(callFault, -1)
	}
}
