package platformtest_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/loader"
	"github.com/fuchsiarouter/fuchsiarouter/platform"
	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
	"github.com/fuchsiarouter/fuchsiarouter/standin/link"
	"github.com/fuchsiarouter/fuchsiarouter/standin/stagedengine"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

const (
	// wholePieces is the number of pieces of each version.
	wholePieces = 24
	// maxLateness is how long after its arrival a call may be carried out, the longest stop of an
	// engine.
	maxLateness = 5 * time.Second
	// wholeTimeout bounds the time until an engine has the declared version: a few calls without an
	// answer, one after the other.
	wholeTimeout = 8 * maxLateness
	// wholeVersionDeadline is short, so that loads are ordered 0.9 s after the declaration.
	wholeVersionDeadline = 2 * time.Second
)

// wholeFleet is an engine that holds version 1, and a loader that is connected to it over HTTP.
type wholeFleet struct {
	t      *testing.T
	store  *keyedstore.Store
	origin *stagedengine.Origin
	engine *stagedengine.Engine
	ip     string
	// versionDeadline is that of the loaders.
	versionDeadline time.Duration

	mu sync.Mutex
	// fault chooses the fault of a call. It is called with the lock held.
	fault func(stagedengine.Call) stagedengine.Fault
}

// startWholeFleet starts the stand-ins, without a loader.
func startWholeFleet(t *testing.T) *wholeFleet { return startWholeFleetAged(t, time.Minute) }

// startWholeFleetAged is startWholeFleet with an engine that reports that it has started a time
// before.
func startWholeFleetAged(t *testing.T, age time.Duration) *wholeFleet {
	g := gomega.NewWithT(t)
	f := &wholeFleet{t: t, versionDeadline: wholeVersionDeadline}
	var err error
	f.store, err = keyedstore.New(allocateAddress())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(f.store.Close)
	f.origin, err = stagedengine.NewOrigin(allocateAddress(), wholePieces, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(f.origin.Close)
	f.engine, err = stagedengine.New(stagedengine.Settings{
		Address: allocateAddress(), Model: "m", Pieces: wholePieces, Version: 1, Age: age, LoadTime: 50 * time.Millisecond,
		Fault: func(call stagedengine.Call) stagedengine.Fault {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.fault == nil {
				return stagedengine.Fault{}
			}
			return f.fault(call)
		},
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(f.engine.Close)
	f.ip, _, err = net.SplitHostPort(f.engine.Address())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	f.store.Put(keyedstore.TopicOperator, "config", fmt.Sprintf(`{"version":1,"routes":[],"services":[`+
		`{"name":"llm","engine":{"slots":4,"chunks":%d,"models":[{"name":"m"}]}},{"name":"o","origin":%q,"zone":"z"}]}`, wholePieces, f.origin.Address()))
	f.store.Put(keyedstore.TopicServers, "own", fmt.Sprintf(`{"service":"llm","address":%q,"zone":"z","version":"v1","slots":4,"state":"ready",`+
		`"coldRemainingMs":0,"seq":1,"models":[{"name":"m","version":1}]}`, f.engine.Address()))
	f.declare(1)
	return f
}

// startLoader starts a loader of the engine. The returned function ends its calls and the loader.
func (f *wholeFleet) startLoader() (kill func()) {
	g := gomega.NewWithT(f.t)
	listener, err := net.Listen("tcp", allocateAddress())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	toEngine := link.New(link.Options{Target: f.engine.Address()})
	go func() { _ = toEngine.Serve(ctx, listener) }()
	daemon, err := loader.New(loader.Settings{
		Name: "l", IP: f.ip, AvailabilityZone: "z", Region: "r", EngineAddress: f.engine.Address(), Service: "llm", LinkBandwidth: 1 << 20,
		VersionDeadline: f.versionDeadline, PieceAddress: allocateAddress(), PeerPort: 1,
	}, platform.NewRegistry(f.store.Address()), platform.NewEngine(listener.Addr().String()), platform.NewPieceOrigin(),
		zap.NewNop(), telemetry.NewMetrics("loader"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	kill = sync.OnceFunc(func() {
		toEngine.SetState(link.Cut)
		daemon.Drain()
		cancel()
		_ = listener.Close()
	})
	f.t.Cleanup(kill)
	return kill
}

// declare declares a version.
func (f *wholeFleet) declare(version int) {
	f.store.Put(keyedstore.TopicOperator, "version/m", fmt.Sprintf(`{"model":"m","version":%d}`, version))
}

// setFault sets the function that chooses the faults of the calls from now on.
func (f *wholeFleet) setFault(fault func(stagedengine.Call) stagedengine.Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// play starts a loader, declares version 2 and waits until the engine has the version, which the
// function fault, that chooses the faults of all calls, may declare. It then checks all loads.
func (f *wholeFleet) play(version int, fault func(stagedengine.Call) stagedengine.Fault) {
	f.setFault(fault)
	f.startLoader()
	f.declare(2)
	f.expectWhole(version)
}

// expectWhole waits until the engine has the version and checks all loads.
func (f *wholeFleet) expectWhole(version int) {
	g := gomega.NewWithT(f.t)
	g.Eventually(f.engine.Version, wholeTimeout, "20ms").Should(gomega.Equal(version))
	for _, load := range f.engine.Loads() {
		f.t.Logf("version %d accepted after %v, oldest read %v before: %d violations", load.Version, load.Delay, load.OldestRead, len(load.Violations))
	}
	g.Expect(f.engine.Violations()).To(gomega.BeEmpty())
}

// lateCall is a call that is carried out late.
type lateCall struct {
	release, carriedOut          func()
	whenReleased, whenCarriedOut <-chan struct{}
}

func newLateCall() *lateCall {
	released, carriedOut := make(chan struct{}), make(chan struct{})
	return &lateCall{
		release:      sync.OnceFunc(func() { close(released) }),
		carriedOut:   sync.OnceFunc(func() { close(carriedOut) }),
		whenReleased: released, whenCarriedOut: carriedOut,
	}
}

// fault returns the fault of the call, which is carried out after its release, or after
// maxLateness. If closed is set, its connection is closed before that.
func (c *lateCall) fault(closed bool) stagedengine.Fault {
	const closeAfter = 400 * time.Millisecond
	fault := stagedengine.Fault{
		Before: func() {
			select {
			case <-c.whenReleased:
			case <-time.After(maxLateness):
			}
		},
		After: c.carriedOut,
	}
	if closed {
		fault.CloseAfter = closeAfter
	}
	return fault
}

// carryOut releases the call and waits until it has been carried out.
func (c *lateCall) carryOut() {
	c.release()
	select {
	case <-c.whenCarriedOut:
	case <-time.After(time.Second):
	}
}

// runOpenAndClosed runs a test with a late call whose connection stays open, and with one whose
// connection breaks before the call is carried out.
func runOpenAndClosed(t *testing.T, run func(t *testing.T, closed bool)) {
	for _, closed := range []bool{false, true} {
		t.Run(map[bool]string{false: "connection open", true: "connection closed"}[closed], func(t *testing.T) {
			t.Parallel()
			run(t, closed)
		})
	}
}

// TestLateOrderTakesNextVersion guards against staging a version while an earlier order without an answer may be accepted.
func TestLateOrderTakesNextVersion(t *testing.T) {
	t.Parallel()
	runOpenAndClosed(t, func(t *testing.T, closed bool) {
		f, order := startWholeFleet(t), newLateCall()
		orders, puts := 0, 0
		f.play(3, func(call stagedengine.Call) stagedengine.Fault {
			switch {
			case call.Kind == stagedengine.Order:
				if orders++; orders == 1 {
					f.declare(3)
					return order.fault(closed)
				}
			case call.Kind == stagedengine.Put && call.Version == 3:
				if puts++; puts == wholePieces/2 {
					return stagedengine.Fault{After: order.carryOut}
				}
			}
			return stagedengine.Fault{}
		})
	})
}

// TestLatePutFollowsVerification guards against a late put of the version before that replaces a verified piece.
func TestLatePutFollowsVerification(t *testing.T) {
	t.Parallel()
	runOpenAndClosed(t, func(t *testing.T, closed bool) {
		f, put := startWholeFleet(t), newLateCall()
		puts := 0
		f.play(3, func(call stagedengine.Call) stagedengine.Fault {
			switch {
			case call.Kind == stagedengine.Put && call.Version == 2:
				if puts++; puts == wholePieces/2 {
					f.declare(3)
					return put.fault(closed)
				}
			case call.Kind == stagedengine.Get && call.Version == 3 && call.Piece == wholePieces-1:
				return stagedengine.Fault{After: put.carryOut}
			}
			return stagedengine.Fault{}
		})
	})
}

// TestLatePutPrecedesOrder guards against a late put that replaces a verified piece while the order is on its way.
func TestLatePutPrecedesOrder(t *testing.T) {
	t.Parallel()
	runOpenAndClosed(t, func(t *testing.T, closed bool) {
		f, put := startWholeFleet(t), newLateCall()
		puts := 0
		f.play(3, func(call stagedengine.Call) stagedengine.Fault {
			switch {
			case call.Kind == stagedengine.Put && call.Version == 2:
				if puts++; puts == wholePieces/2 {
					f.declare(3)
					return put.fault(closed)
				}
			case call.Kind == stagedengine.Order && call.Version == 3:
				return stagedengine.Fault{Before: put.carryOut}
			}
			return stagedengine.Fault{}
		})
	})
}

// TestSlowVerification guards against loading a piece that became corrupt over 3 s after it was verified.
func TestSlowVerification(t *testing.T) {
	t.Parallel()
	f := startWholeFleet(t)
	const slowReads = 2 * wholePieces
	reads := 0
	f.play(2, func(call stagedengine.Call) stagedengine.Fault {
		if call.Kind != stagedengine.Get || call.Version != 2 {
			return stagedengine.Fault{}
		}
		reads++
		read, slow := reads, reads <= slowReads
		return stagedengine.Fault{After: func() {
			if read == 1 {
				f.engine.Corrupt(call.Piece)
			}
			if slow {
				time.Sleep(200 * time.Millisecond)
			}
		}}
	})
}

// TestReplacedPieceIsStoredCorrupt guards against loading a replaced piece that is corrupt again.
func TestReplacedPieceIsStoredCorrupt(t *testing.T) {
	t.Parallel()
	f := startWholeFleet(t)
	puts := 0
	f.play(2, func(call stagedengine.Call) stagedengine.Fault {
		if call.Kind == stagedengine.Put && call.Piece == wholePieces/2 {
			puts++
			return stagedengine.Fault{Corrupt: puts <= 2}
		}
		return stagedengine.Fault{}
	})
}
