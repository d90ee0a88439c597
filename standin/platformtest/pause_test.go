package platformtest_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
)

// pauseReply returns a response that refuses a request and asks for a pause.
func pauseReply(request *http.Request, retryAfter string) string {
	return frame(request, "length", "503 Service Unavailable\r\nX-Not-Executed: busy\r\nRetry-After: "+retryAfter, "")
}

// TestPausedServerGetsNoRequests guards against requests to a server during the pause that it has
// asked for, and against none after it.
func TestPausedServerGetsNoRequests(t *testing.T) {
	for _, test := range []struct {
		retryAfter   string
		pause, until time.Duration
	}{
		{"1.5", 1500 * time.Millisecond, 3 * time.Second},
		{"soon", 900 * time.Millisecond, 3 * time.Second},
		{"Wed, 21 Oct 2026 07:28:00 GMT", 900 * time.Millisecond, 3 * time.Second},
		{"NaN", 900 * time.Millisecond, 3 * time.Second},
		{"-3", 0, 2 * time.Second},
		{"1e300", waitTimeout, 0},
		{"Inf", waitTimeout, 0},
	} {
		t.Run(test.retryAfter, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := startFleet(t)
			f.removeServers(f.plainServers)
			var paused atomic.Bool
			server := f.newScriptedServer("s0", "plain", func(request *http.Request) string {
				if paused.CompareAndSwap(false, true) {
					return pauseReply(request, test.retryAfter)
				}
				return whole(request)
			})
			awaitRegistrations()
			_, _, _, err := f.send("POST", "/book/x", "k1", "")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			asked := time.Now()
			f.newScriptedServer("s1", "plain", whole)
			awaitRegistrations()
			g.Expect(paused.Load()).To(gomega.BeTrue())
			for time.Since(asked) < test.pause {
				before := server.runs.Load()
				status, _, _, err := f.send("POST", "/book/x", "k1", "")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(status).To(gomega.Equal(http.StatusOK))
				if time.Since(asked) < test.pause {
					g.Expect(server.runs.Load()).To(gomega.Equal(before), "%v into the pause", time.Since(asked))
				}
				time.Sleep(50 * time.Millisecond)
			}
			if test.until == 0 {
				return
			}
			f.store.Put("keyed.servers", "s1", "")
			g.Eventually(func() int {
				status, _, _, _ := f.send("POST", "/book/x", "k1", "")
				return status
			}, test.until).Should(gomega.Equal(http.StatusOK))
			g.Eventually(func() int32 {
				_, _, _, _ = f.send("POST", "/book/x", "k1", "")
				return server.runs.Load()
			}, waitTimeout).Should(gomega.BeNumerically(">", 1))
		})
	}
}

// TestAllServersPaused guards against holding requests that no server takes in time, and against a
// time to come back at which they would be refused again.
func TestAllServersPaused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.removeServers(f.plainServers)
	var requests atomic.Int32
	for _, name := range []string{"s0", "s1"} {
		f.newScriptedServer(name, "plain", func(request *http.Request) string {
			requests.Add(1)
			return pauseReply(request, "3")
		})
	}
	awaitRegistrations()
	for number := range 5 {
		asked := time.Now()
		status, _, header, err := f.send("POST", "/book/x", "k1", "")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(time.Since(asked)).To(gomega.BeNumerically("<", 500*time.Millisecond))
		g.Expect(header.Get("Fuchsiarouter-Result")).To(gomega.Equal("2012 servers-paused"), "request %d", number)
		seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(seconds).To(gomega.BeNumerically(">", 2))
	}
	g.Expect(requests.Load()).To(gomega.BeEquivalentTo(2))
}

// TestReturnAfterPauseIsGradual guards against a burst of requests to a server at the end of its
// pause.
func TestReturnAfterPauseIsGradual(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.removeServers(f.plainServers)
	var paused atomic.Bool
	var active, most atomic.Int32
	f.newScriptedServer("s0", "plain", func(request *http.Request) string {
		if paused.CompareAndSwap(false, true) {
			return pauseReply(request, "1")
		}
		running := active.Add(1)
		defer active.Add(-1)
		if running > most.Load() {
			most.Store(running)
		}
		time.Sleep(150 * time.Millisecond)
		return whole(request)
	})
	awaitRegistrations()
	_, _, _, err := f.send("POST", "/stock/x", "k1", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(1300 * time.Millisecond)
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() { _, _, _, _ = f.send("POST", "/stock/x", "k1", "") })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	g.Expect(most.Load()).To(gomega.BeEquivalentTo(1))
	callers.Wait()
}

// TestServerThatPausesAgain guards against requests during the pauses of a server that asks for
// another one after each.
func TestServerThatPausesAgain(t *testing.T) {
	const pause, notice, length = time.Second, 500 * time.Millisecond, 6 * time.Second
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.removeServers(f.plainServers)
	var mu sync.Mutex
	var arrivals []time.Time
	f.newScriptedServer("s0", "plain", func(request *http.Request) string {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
		return pauseReply(request, "1")
	})
	f.newScriptedServer("s1", "plain", whole)
	awaitRegistrations()
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if status, body, _, err := f.send("POST", "/stock/x", "k1", ""); err != nil || status != http.StatusOK {
					t.Error(status, body, err)
				}
			}
		})
	}
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	for i, answered := range arrivals {
		for _, arrived := range arrivals[i+1:] {
			since := arrived.Sub(answered)
			g.Expect(since < notice || since >= pause).To(gomega.BeTrue(), "a request %v after the start of a pause", since)
		}
	}
	g.Expect(len(arrivals)).To(gomega.BeNumerically(">", 2), "the server gets requests between its pauses")
}

// TestPauseBeforeRequestIsRead guards against missing a pause that is asked for before a long request is read.
func TestPauseBeforeRequestIsRead(t *testing.T) {
	const pause, notice = 1500 * time.Millisecond, 500 * time.Millisecond
	for _, closes := range []bool{false, true} {
		t.Run(fmt.Sprint("closes ", closes), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := startFleet(t)
			f.removeServers(f.plainServers)
			f.store.Put(keyedstore.TopicOperator, "config", strings.Replace(
				fmt.Sprintf(configurationFormat, 2, `"k1"`), `"maxBodyBytes":10000`, `"maxBodyBytes":16777216`, 1))
			listener, err := net.Listen("tcp", allocateAddress())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { _ = listener.Close() })
			var mu sync.Mutex
			var answered time.Time
			var arrivals []time.Time
			serve := func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					isLong := request.ContentLength > 1<<20
					mu.Lock()
					arrivals = append(arrivals, time.Now())
					if isLong {
						answered = time.Now()
					}
					mu.Unlock()
					if isLong {
						_, _ = io.WriteString(conn, pauseReply(request, "1.5"))
						if closes {
							return
						}
						time.Sleep(pause)
					}
					_, _ = io.Copy(io.Discard, request.Body)
					if !isLong {
						_, _ = io.WriteString(conn, whole(request))
					}
				}
			}
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go serve(conn)
				}
			}()
			f.registerScriptedServer("s0", "plain", listener.Addr().String())
			f.newScriptedServer("s1", "plain", whole)
			awaitRegistrations()
			hasAnswered := func() bool {
				mu.Lock()
				defer mu.Unlock()
				return !answered.IsZero()
			}
			var callers sync.WaitGroup
			callers.Go(func() {
				for end := time.Now().Add(waitTimeout); !hasAnswered() && time.Now().Before(end); {
					status, _, _, err := f.send("POST", "/order/x", "k1", strings.Repeat("x", 15<<20))
					if err != nil || status != http.StatusOK {
						t.Errorf("the long request ended with status %d, %v", status, err)
					}
				}
			})
			g.Eventually(hasAnswered, waitTimeout).Should(gomega.BeTrue())
			for range 8 {
				callers.Go(func() {
					for end := time.Now().Add(pause); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
						_, _, _, _ = f.send("POST", "/stock/x", "k1", "")
					}
				})
			}
			callers.Wait()
			mu.Lock()
			defer mu.Unlock()
			inPause := 0
			for _, arrival := range arrivals {
				if since := arrival.Sub(answered); since > notice && since < pause {
					inPause++
				}
			}
			g.Expect(inPause).To(gomega.BeNumerically("<=", 2))
		})
	}
}
