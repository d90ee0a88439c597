package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/standin/backendserver"
	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
	"github.com/fuchsiarouter/fuchsiarouter/standin/link"
)

const (
	// minFaultInterval and maxFaultInterval bound the time between the starts of two
	// faults in a row. minFaultDuration and maxFaultDuration bound the random duration of
	// a fault; the maximum exceeds maxFaultInterval so that faults overlap. A killed entry
	// is started again after a quarter of the duration, and a fault of the link to the store
	// lasts twice as long.
	minFaultInterval = 100 * time.Millisecond
	maxFaultInterval = 900 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// drainTime is how long a replaced server keeps serving after it is registered as
	// draining, so that entries stop sending it requests before it is removed.
	drainTime = 2500 * time.Millisecond
)

// fault is a fault that is scheduled in a run.
type fault struct {
	// startAfter is the time from when the callers start until the fault is injected.
	startAfter time.Duration
	// inject injects the fault. If the fault can be reverted, inject reverts it before it
	// returns.
	inject func(ctx context.Context, f *fleet)
}

// drawFaults draws the random fault schedule of a run, in order of the start times.
func drawFaults(rng *rand.Rand, settings Settings) []fault {
	var faults []fault
	for at := randomDuration(rng, minFaultInterval, maxFaultInterval); at < settings.FaultWindow; at += randomDuration(rng, minFaultInterval, maxFaultInterval) {
		faults = append(faults, fault{startAfter: at, inject: drawFault(rng, settings)})
	}
	faults = append(faults, drawAvailabilityFaults(rng, settings)...)
	return append(faults, drawRestorations(rng, settings)...)
}

// randomDuration returns a random duration of at least low and less than high.
func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// drawFault draws one fault and returns the function that injects it. All random values are
// drawn before the run, so that a seed gives the same faults no matter how long the
// injection of each takes.
func drawFault(rng *rand.Rand, settings Settings) func(context.Context, *fleet) {
	duration := randomDuration(rng, minFaultDuration, maxFaultDuration)
	entryIndex := rng.IntN(settings.Entries)
	serverIndex := rng.IntN(serversPerService)
	service := []string{"plain", "llm"}[rng.IntN(2)]
	linkState := []string{link.Cut, link.Stalled}[rng.IntN(2)]
	// The first key is never revoked, because entry.isServing uses it.
	keyIndex := 1 + rng.IntN(keyCount-1)
	behaviour := []backendserver.Behaviour{
		{StreamEvents: eventsPerStream, RefuseRequests: true},
		{StreamEvents: eventsPerStream, DropResponse: true},
		{StreamEvents: eventsPerStream, CutAfterEvents: 3},
		{StreamEvents: eventsPerStream, Status: 503},
		{StreamEvents: eventsPerStream, ResponseDelay: 700 * time.Millisecond, EventInterval: 150 * time.Millisecond},
	}[rng.IntN(5)]
	injectors := []func(context.Context, *fleet){
		func(ctx context.Context, f *fleet) {
			f.entries[entryIndex].kill()
			sleep(ctx, duration/4)
			_ = f.entries[entryIndex].start()
		},
		func(ctx context.Context, f *fleet) {
			if exited := f.entries[entryIndex].sendSignal(syscall.SIGTERM); exited != nil {
				<-exited
			}
			_ = f.entries[entryIndex].start()
		},
		func(ctx context.Context, f *fleet) {
			f.entries[entryIndex].sendSignal(syscall.SIGSTOP)
			sleep(ctx, duration)
			f.entries[entryIndex].sendSignal(syscall.SIGCONT)
		},
		func(ctx context.Context, f *fleet) {
			holdLinkState(ctx, duration*2, f.entries[entryIndex].storeLink, linkState)
		},
		func(ctx context.Context, f *fleet) {
			f.store.SetUnavailable(true)
			sleep(ctx, duration)
			f.store.SetUnavailable(false)
		},
		func(_ context.Context, f *fleet) {
			f.store.Compact(keyedstore.TopicOperator)
			f.store.Compact(keyedstore.TopicServers)
		},
		func(ctx context.Context, f *fleet) {
			faulty := f.serverAt(service, serverIndex)
			faulty.disturbances.record()
			holdLinkState(ctx, duration, faulty.link, linkState)
			faulty.disturbances.record()
		},
		func(ctx context.Context, f *fleet) {
			failing := f.serverAt(service, serverIndex)
			failing.SetBehaviour(behaviour)
			sleep(ctx, duration)
			failing.SetBehaviour(normalBehaviour)
		},
		func(ctx context.Context, f *fleet) { f.replaceServer(ctx, service, serverIndex) },
		func(_ context.Context, f *fleet) { f.revokeKey(keyIndex) },
		func(_ context.Context, f *fleet) { f.publishConfiguration() },
	}
	return injectors[rng.IntN(len(injectors))]
}

// holdLinkState puts a link into a faulty state, link.Cut or link.Stalled, for a duration and
// then back into the state link.Up.
func holdLinkState(ctx context.Context, duration time.Duration, faulty *link.Link, state string) {
	faulty.SetState(state)
	sleep(ctx, duration)
	faulty.SetState(link.Up)
}

// serverAt returns a registered server of a service: the one at the index modulo the number
// of registered servers of that service.
func (f *fleet) serverAt(service string, index int) *server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[service][index%len(f.servers[service])]
}

// replaceServer adds a server to the service, and then drains and removes the one that
// serverAt returns for the index. It changes nothing if the new server cannot be started.
func (f *fleet) replaceServer(ctx context.Context, service string, index int) {
	if f.addServer(service) != nil {
		return
	}
	f.mu.Lock()
	leaving := f.servers[service][index%len(f.servers[service])]
	f.servers[service] = append(f.servers[service][:0:0], f.servers[service]...)
	for i, candidate := range f.servers[service] {
		if candidate == leaving {
			f.servers[service] = append(f.servers[service][:i], f.servers[service][i+1:]...)
			break
		}
	}
	f.mu.Unlock()
	f.register(leaving.ID, leaving.registration("draining"))
	sleep(ctx, drainTime)
	f.register(leaving.ID, "")
	leaving.disturbances.record()
	leaving.link.SetState(link.Cut)
}
