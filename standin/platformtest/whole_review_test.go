package platformtest_test

import (
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/stagedengine"
)

// viewTime is the time in which a loader has read the declared versions for the first time.
const viewTime = 1500 * time.Millisecond

// skipUnlessKnownRed skips a test that is listed in KNOWN-RED.txt unless KNOWN_RED is set.
func skipUnlessKnownRed(t *testing.T) {
	if os.Getenv("KNOWN_RED") == "" {
		t.Skip("listed in KNOWN-RED.txt")
	}
}

// TestExtraAnswerSettlesLatePut guards against a late put of the version before whose extra answer was taken for its own.
func TestExtraAnswerSettlesLatePut(t *testing.T) {
	t.Parallel()
	f, put := startWholeFleet(t), newLateCall()
	puts := 0
	f.play(3, func(call stagedengine.Call) stagedengine.Fault {
		switch {
		case call.Kind == stagedengine.Put && call.Version == 2:
			switch puts++; puts {
			case wholePieces / 2:
				return stagedengine.Fault{Extra: extraAnswer}
			case wholePieces/2 + 1:
				f.declare(3)
				return put.fault(false)
			}
		case call.Kind == stagedengine.Order && call.Version == 3:
			return stagedengine.Fault{Before: put.carryOut}
		}
		return stagedengine.Fault{}
	})
}

// TestExtraAnswerIsTakenForReport guards against settling a late put by a report that lacks the start of the engine.
func TestExtraAnswerIsTakenForReport(t *testing.T) {
	t.Parallel()
	const extraList = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 11\r\n\r\n{\"held\":[]}"
	f, put := startWholeFleet(t), newLateCall()
	puts, reports := 0, 0
	var lateAt time.Time
	f.play(3, func(call stagedengine.Call) stagedengine.Fault {
		switch {
		case call.Kind == stagedengine.Put && call.Version == 2:
			if puts++; puts == wholePieces/2 {
				lateAt = time.Now()
				f.declare(3)
				return put.fault(false)
			}
		case call.Kind == stagedengine.Report && !lateAt.IsZero() && time.Since(lateAt) > 1500*time.Millisecond:
			if reports++; reports <= 3 {
				return stagedengine.Fault{Extra: extraList}
			}
		case call.Kind == stagedengine.Order && call.Version == 3:
			return stagedengine.Fault{Before: put.carryOut}
		}
		return stagedengine.Fault{}
	})
}

// TestLatePutOfEarlierLoaderWithNewerView guards against a loader that reads an older declared version than the killed one had staged.
func TestLatePutOfEarlierLoaderWithNewerView(t *testing.T) {
	t.Parallel()
	f, late, arrived := startWholeFleetAged(t, 0), newLateCall(), make(chan struct{})
	f.versionDeadline = 2 * wholeVersionDeadline
	puts2, puts3 := 0, 0
	f.setFault(func(call stagedengine.Call) stagedengine.Fault {
		switch {
		case call.Kind == stagedengine.Put && call.Version == 2:
			if puts2++; puts2 == wholePieces {
				f.declare(3)
			}
		case call.Kind == stagedengine.Put && call.Version == 3:
			if puts3++; puts3 == wholePieces/2 {
				close(arrived)
				return late.fault(false)
			}
		case call.Kind == stagedengine.Order && call.Version == 2:
			return stagedengine.Fault{Before: late.carryOut}
		}
		return stagedengine.Fault{}
	})
	kill := f.startLoader()
	time.Sleep(viewTime)
	f.declare(2)
	gomega.NewWithT(t).Eventually(arrived, wholeTimeout).Should(gomega.BeClosed())
	kill()
	f.declare(2)
	f.startLoader()
	f.expectWhole(2)
}

// TestLatePutOfEarlierLoaderAfterClockStep guards against an engine start that lies in the future of the stepped clock.
func TestLatePutOfEarlierLoaderAfterClockStep(t *testing.T) {
	t.Parallel()
	f, late, arrived := startWholeFleetAged(t, -10*time.Second), newLateCall(), make(chan struct{})
	puts := 0
	f.setFault(func(call stagedengine.Call) stagedengine.Fault {
		switch {
		case call.Kind == stagedengine.Put && call.Version == 2:
			if puts++; puts == wholePieces/2 {
				close(arrived)
				return late.fault(false)
			}
		case call.Kind == stagedengine.Order && call.Version == 3:
			return stagedengine.Fault{Before: late.carryOut}
		}
		return stagedengine.Fault{}
	})
	kill := f.startLoader()
	f.declare(2)
	gomega.NewWithT(t).Eventually(arrived, wholeTimeout).Should(gomega.BeClosed())
	kill()
	f.declare(3)
	f.startLoader()
	f.expectWhole(3)
}

// TestEngineStopsBetweenReports guards against counting a stop of the engine between two reports as time in which it answered.
func TestEngineStopsBetweenReports(t *testing.T) {
	t.Parallel()
	const versionDeadline = 16 * time.Second
	f, put, released := startWholeFleetAged(t, 0), make(chan struct{}), make(chan struct{})
	f.versionDeadline = versionDeadline
	puts := 0
	f.setFault(func(call stagedengine.Call) stagedengine.Fault {
		switch {
		case call.Kind == stagedengine.Put && call.Version == 2:
			switch puts++; puts {
			case wholePieces / 2:
				return stagedengine.Fault{
					CloseAfter: 400 * time.Millisecond,
					Before: func() {
						select {
						case <-released:
						case <-time.After(2 * maxLateness):
						}
					},
					After: func() { close(put) },
				}
			case wholePieces + 1:
				// All pieces of version 2 are staged, one of them again, and the load waits for its turn.
				time.AfterFunc(500*time.Millisecond, f.engine.Stop)
				time.AfterFunc(5*time.Second, func() { f.engine.Continue(0); f.declare(3) })
			}
		case call.Kind == stagedengine.Order && call.Version == 3:
			return stagedengine.Fault{Before: func() { close(released); <-put }}
		}
		return stagedengine.Fault{}
	})
	f.startLoader()
	time.Sleep(viewTime)
	f.declare(2)
	f.expectWhole(3)
}

// TestPieceTurnsCorruptWhileEngineIsStopped guards against an order that a stopped engine accepts over 3 s after the verification.
func TestPieceTurnsCorruptWhileEngineIsStopped(t *testing.T) {
	skipUnlessKnownRed(t)
	t.Parallel()
	f := startWholeFleet(t)
	orders := 0
	f.play(2, func(call stagedengine.Call) stagedengine.Fault {
		if call.Kind == stagedengine.Order {
			if orders++; orders == 1 {
				f.engine.Stop()
				time.AfterFunc(500*time.Millisecond, func() { f.engine.Corrupt(wholePieces / 2) })
				time.AfterFunc(maxLateness, func() { f.engine.Continue(0) })
			}
		}
		return stagedengine.Fault{}
	})
}

// TestRefusedRepeatBlocksNextVersion guards against repeating for ever an order that the engine refuses, with a newer version declared.
func TestRefusedRepeatBlocksNextVersion(t *testing.T) {
	t.Parallel()
	f := startWholeFleet(t)
	orders := 0
	f.play(3, func(call stagedengine.Call) stagedengine.Fault {
		if call.Kind == stagedengine.Order && call.Version == 2 {
			if orders++; orders == 1 {
				f.declare(3)
				return stagedengine.Fault{Reject: true, LoseAnswer: true}
			}
			return stagedengine.Fault{Refuse: true}
		}
		return stagedengine.Fault{}
	})
}
