package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
	"github.com/fuchsiarouter/fuchsiarouter/standin/link"
	"github.com/fuchsiarouter/fuchsiarouter/standin/stagedengine"
)

const (
	// leastPause and mostPause bound the time between two faults; a fault lasts for
	// leastFault to mostFault, so that some overlap.
	leastPause = 100 * time.Millisecond
	mostPause  = 900 * time.Millisecond
	leastFault = 200 * time.Millisecond
	mostFault  = 4 * time.Second
	// drainTime is how long a server that leaves still serves.
	drainTime = 2500 * time.Millisecond
)

// fault is one fault of the schedule.
type fault struct {
	at     time.Duration
	inject func(ctx context.Context, f *fleet)
}

// schedule draws the faults of a run.
func schedule(random *rand.Rand, settings Settings) []fault {
	var faults []fault
	for at := between(random, leastPause, mostPause); at < settings.Length; at += between(random, leastPause, mostPause) {
		faults = append(faults, fault{at: at, inject: draw(random, settings)})
	}
	return faults
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// draw draws one fault. All that is random is drawn here, so that a seed gives the same
// faults however long each takes.
func draw(random *rand.Rand, settings Settings) func(context.Context, *fleet) {
	lasting := between(random, leastFault, mostFault)
	number := random.IntN(settings.Entries)
	place := random.IntN(servers)
	service := []string{"plain", "llm"}[random.IntN(2)]
	state := []string{link.Cut, link.Stalled}[random.IntN(2)]
	// The first key is for looks at the entries and stays.
	key := 1 + random.IntN(keys-1)
	behaviour := []stagedengine.Behaviour{
		{Events: events, Refuse: true},
		{Events: events, LoseAnswer: true},
		{Events: events, CutAfter: 3},
		{Events: events, Status: 503},
		{Events: events, Hold: 700 * time.Millisecond, Pause: 150 * time.Millisecond},
	}[random.IntN(5)]
	kinds := []func(context.Context, *fleet){
		func(ctx context.Context, f *fleet) {
			f.entries[number].kill()
			sleep(ctx, lasting/4)
			_ = f.entries[number].start()
		},
		func(ctx context.Context, f *fleet) {
			if exited := f.entries[number].signal(syscall.SIGTERM); exited != nil {
				<-exited
			}
			_ = f.entries[number].start()
		},
		func(ctx context.Context, f *fleet) {
			f.entries[number].signal(syscall.SIGSTOP)
			sleep(ctx, lasting)
			f.entries[number].signal(syscall.SIGCONT)
		},
		func(ctx context.Context, f *fleet) { during(ctx, lasting*2, f.entries[number].store, state) },
		func(ctx context.Context, f *fleet) {
			f.store.SetDown(true)
			sleep(ctx, lasting)
			f.store.SetDown(false)
		},
		func(_ context.Context, f *fleet) {
			f.store.Forget(keyedstore.Operator)
			f.store.Forget(keyedstore.Servers)
		},
		func(ctx context.Context, f *fleet) { during(ctx, lasting, f.server(service, place).link, state) },
		func(ctx context.Context, f *fleet) {
			failing := f.server(service, place)
			failing.Set(behaviour)
			sleep(ctx, lasting)
			failing.Set(normal)
		},
		func(ctx context.Context, f *fleet) { f.replace(ctx, service, place) },
		func(_ context.Context, f *fleet) { f.revoke(key) },
		func(_ context.Context, f *fleet) { f.configure() },
	}
	return kinds[random.IntN(len(kinds))]
}

// during puts a link into a state for a while.
func during(ctx context.Context, lasting time.Duration, faulty *link.Link, state string) {
	faulty.Set(state)
	sleep(ctx, lasting)
	faulty.Set(link.Up)
}

func (f *fleet) server(service string, place int) *server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[service][place%len(f.servers[service])]
}

// replace adds a server and lets another one leave.
func (f *fleet) replace(ctx context.Context, service string, place int) {
	if f.addServer(service) != nil {
		return
	}
	f.mu.Lock()
	leaving := f.servers[service][place%len(f.servers[service])]
	f.servers[service] = append(f.servers[service][:0:0], f.servers[service]...)
	for i, one := range f.servers[service] {
		if one == leaving {
			f.servers[service] = append(f.servers[service][:i], f.servers[service][i+1:]...)
			break
		}
	}
	f.mu.Unlock()
	f.store.Put(keyedstore.Servers, leaving.ID, leaving.entry("draining"))
	sleep(ctx, drainTime)
	f.store.Put(keyedstore.Servers, leaving.ID, "")
	leaving.link.Set(link.Cut)
}
