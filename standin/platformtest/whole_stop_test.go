package platformtest_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/stagedengine"
)

// TestEngineRestartsEmptyBeforeOrder guards against an order to an engine that has restarted empty since the verification.
func TestEngineRestartsEmptyBeforeOrder(t *testing.T) {
	t.Parallel()
	for _, during := range []string{"last read", "report", "order"} {
		t.Run("during the "+during, func(t *testing.T) {
			t.Parallel()
			f := startWholeFleet(t)
			verified, restarted := false, false
			restart := func() {
				restarted = true
				f.engine.Restart(0, true)
			}
			f.play(2, func(call stagedengine.Call) stagedengine.Fault {
				isLastRead := call.Kind == stagedengine.Get && call.Version == 2 && call.Piece == wholePieces-1
				switch {
				case restarted:
					return stagedengine.Fault{}
				case isLastRead && during == "last read":
					restart()
				case isLastRead:
					verified = true
				case verified && call.Kind == stagedengine.Report && during == "order":
					verified = false
				case verified && call.Kind == stagedengine.Report || !verified && call.Kind == stagedengine.Order:
					restart()
				}
				return stagedengine.Fault{LastOnConnection: true}
			})
		})
	}
}

// TestLateCallOfEarlierLoader guards against late calls of a killed loader while the next one stages another version.
func TestLateCallOfEarlierLoader(t *testing.T) {
	t.Parallel()
	for _, kind := range []stagedengine.Kind{stagedengine.Put, stagedengine.Order} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			f, late, arrived := startWholeFleet(t), newLateCall(), make(chan struct{})
			calls, puts := 0, 0
			f.setFault(func(call stagedengine.Call) stagedengine.Fault {
				switch {
				case call.Kind == kind && call.Version == 2:
					if calls++; calls == 1 {
						close(arrived)
						return late.fault(false)
					}
				case kind == stagedengine.Order && call.Kind == stagedengine.Put && call.Version == 3:
					if puts++; puts == wholePieces/2 {
						return stagedengine.Fault{After: late.carryOut}
					}
				case kind == stagedengine.Put && call.Kind == stagedengine.Order && call.Version == 3:
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
		})
	}
}

// TestStoppedEngineCarriesOutWaitingCalls guards against waiting calls that a stopped engine carries out among later ones.
func TestStoppedEngineCarriesOutWaitingCalls(t *testing.T) {
	t.Parallel()
	const (
		// spread is the time within which the engine carries out the waiting calls, callTime the
		// time that it then takes for each put and each read.
		spread   = 300 * time.Millisecond
		callTime = 5 * time.Millisecond
	)
	for _, kind := range []stagedengine.Kind{stagedengine.Put, stagedengine.Get, stagedengine.Order} {
		for _, stop := range []time.Duration{2 * time.Second, maxLateness} {
			t.Run(fmt.Sprint(kind, " ", stop), func(t *testing.T) {
				t.Parallel()
				f := startWholeFleet(t)
				stopped := false
				f.play(3, func(call stagedengine.Call) stagedengine.Fault {
					if !stopped && call.Kind == kind && call.Version == 2 && (call.Piece == wholePieces/2 || kind == stagedengine.Order) {
						stopped = true
						f.engine.Stop()
						f.declare(3)
						time.AfterFunc(stop, func() { f.engine.Continue(spread) })
					}
					if call.Kind == stagedengine.Put || call.Kind == stagedengine.Get {
						return stagedengine.Fault{After: func() { time.Sleep(callTime) }}
					}
					return stagedengine.Fault{}
				})
			})
		}
	}
}

const (
	// extraAnswer and extraAcceptance are answers that no call has asked for, after which the caller
	// closes the connection.
	extraAnswer     = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	extraAcceptance = "HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// TestExtraAnswerIsTakenForPut guards against loading a piece whose put got an extra answer and was not carried out.
func TestExtraAnswerIsTakenForPut(t *testing.T) {
	t.Parallel()
	const last = wholePieces - 1
	f, put := startWholeFleet(t), newLateCall()
	puts, reads := 0, 0
	f.play(2, func(call stagedengine.Call) stagedengine.Fault {
		switch {
		case call.Kind == stagedengine.Put && call.Piece == last:
			switch puts++; puts {
			case 1:
				return stagedengine.Fault{Corrupt: true}
			case 2:
				return put.fault(false)
			}
		case call.Kind == stagedengine.Get && call.Piece == last && puts == 1:
			if reads++; reads == 1 {
				return stagedengine.Fault{Extra: extraAnswer}
			}
		case call.Kind == stagedengine.Order:
			return stagedengine.Fault{After: put.release}
		}
		return stagedengine.Fault{}
	})
}

// TestExtraAnswerIsTakenForOrder guards against staging a version while an order with an extra answer may be accepted.
func TestExtraAnswerIsTakenForOrder(t *testing.T) {
	t.Parallel()
	f, order := startWholeFleet(t), newLateCall()
	verified, reports, orders, puts := false, 0, 0, 0
	f.play(3, func(call stagedengine.Call) stagedengine.Fault {
		switch {
		case call.Kind == stagedengine.Get && call.Version == 2 && call.Piece == wholePieces-1 && !verified:
			verified = true
			f.declare(3)
		case call.Kind == stagedengine.Report && verified:
			switch reports++; reports {
			case 1:
				return stagedengine.Fault{Extra: extraAcceptance}
			case 2:
				// The loader fetches version 3 meanwhile.
				return stagedengine.Fault{Before: func() { time.Sleep(500 * time.Millisecond) }}
			}
		case call.Kind == stagedengine.Order:
			if orders++; orders == 1 {
				return order.fault(false)
			}
		case call.Kind == stagedengine.Put && call.Version == 3:
			if puts++; puts == wholePieces/2 {
				return stagedengine.Fault{After: order.carryOut}
			}
		}
		return stagedengine.Fault{}
	})
}
