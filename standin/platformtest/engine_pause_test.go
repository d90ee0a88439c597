package platformtest_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/loader"
	"github.com/fuchsiarouter/fuchsiarouter/platform"
	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

// pausingEngine is an engine that answers the first call of its loader by asking for a pause.
type pausingEngine struct {
	store   *keyedstore.Store
	address string
	// started is the start of the incarnation that asks for the pause.
	started time.Time

	mu sync.Mutex
	// arrivals are the times of the calls of the loader.
	arrivals []time.Time
}

// startPausingEngine starts an engine, which is registered at first or not, and its loader.
// retryAfter is the pause in seconds.
func startPausingEngine(t *testing.T, retryAfter string, registered bool) *pausingEngine {
	g := gomega.NewWithT(t)
	store, err := keyedstore.New(allocateAddress())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(store.Close)
	listener, err := net.Listen("tcp", allocateAddress())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	e := &pausingEngine{store: store, address: listener.Addr().String(), started: time.Now().Add(-time.Minute)}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.arrivals = append(e.arrivals, time.Now())
		if len(e.arrivals) > 1 {
			_, _ = writer.Write([]byte(`{"born":1,"models":[],"busy":true,"seq":0}`))
			return
		}
		writer.Header().Set("X-Not-Executed", "busy")
		writer.Header().Set("Retry-After", retryAfter)
		writer.WriteHeader(http.StatusServiceUnavailable)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	store.Put(keyedstore.TopicOperator, "config", `{"version":1,"routes":[],"services":[`+
		`{"name":"llm","engine":{"slots":4,"chunks":4,"chunkBytes":1,"models":[{"name":"m"}]}}]}`)
	store.Put(keyedstore.TopicServers, "other", fmt.Sprintf(oddRegistration, `"born":1`))
	if registered {
		e.register(e.started)
	}
	pieceAddress := allocateAddress()
	ip, _, err := net.SplitHostPort(pieceAddress)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	daemon, err := loader.New(loader.Settings{
		Name: "l", IP: ip, AvailabilityZone: "z", Region: "r", EngineAddress: e.address, Service: "llm", LinkBandwidth: 1 << 20,
		PieceAddress: pieceAddress, PeerPort: 1,
	}, platform.NewRegistry(store.Address()), platform.NewEngine(e.address), pieceOrigin{}, zap.NewNop(), telemetry.NewMetrics("loader"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { daemon.Drain() })
	g.Eventually(e.calls, waitTimeout).Should(gomega.BeNumerically(">", 0))
	return e
}

// register registers an incarnation of the engine.
func (e *pausingEngine) register(started time.Time) {
	born := fmt.Sprintf(`"born":%d`, started.UnixMilli())
	e.store.Put(keyedstore.TopicServers, "own", strings.Replace(fmt.Sprintf(oddRegistration, born), "127.0.0.1:9", e.address, 1))
}

// calls returns the number of calls of the loader.
func (e *pausingEngine) calls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.arrivals)
}

// callsInPause returns the number of calls after the notice that a loader may need and before the
// end of the pause.
func (e *pausingEngine) callsInPause(notice, pause time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, arrival := range e.arrivals {
		if since := arrival.Sub(e.arrivals[0]); since > notice && since < pause {
			count++
		}
	}
	return count
}

// TestLoaderHonoursPauseOfEngine guards against calls to an engine in its pause, and against none after it.
func TestLoaderHonoursPauseOfEngine(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	const notice, pause = 500 * time.Millisecond, 2500 * time.Millisecond
	engine := startPausingEngine(t, "2.5", true)
	time.Sleep(pause)
	g.Eventually(engine.calls, waitTimeout).Should(gomega.BeNumerically(">", 3))
	g.Expect(engine.callsInPause(notice, pause)).To(gomega.BeNumerically("<=", 2))
}

// TestPauseEndsWithIncarnationOfEngine guards against a pause that outlasts the engine that asked for it.
func TestPauseEndsWithIncarnationOfEngine(t *testing.T) {
	for _, registered := range []bool{false, true} {
		t.Run(fmt.Sprint("registered before ", registered), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			engine := startPausingEngine(t, "600", registered)
			engine.register(engine.started)
			g.Consistently(engine.calls, time.Second).Should(gomega.Equal(1))
			engine.register(time.Now())
			g.Eventually(engine.calls, waitTimeout).Should(gomega.BeNumerically(">", 3))
		})
	}
}
