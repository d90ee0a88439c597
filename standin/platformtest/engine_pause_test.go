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

// TestLoaderHonoursPauseOfEngine guards against calls of a loader to an engine in the pause that the
// engine has asked for, and against none after it or to the next incarnation.
func TestLoaderHonoursPauseOfEngine(t *testing.T) {
	const notice, pause = 500 * time.Millisecond, 2500 * time.Millisecond
	for _, restarts := range []bool{false, true} {
		t.Run(fmt.Sprint("restarts ", restarts), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			store, err := keyedstore.New(allocateAddress())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(store.Close)
			listener, err := net.Listen("tcp", allocateAddress())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			retryAfter := "2.5"
			if restarts {
				retryAfter = "600"
			}
			var mu sync.Mutex
			var asked time.Time
			var arrivals []time.Time
			engine := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				arrivals = append(arrivals, time.Now())
				if !asked.IsZero() {
					_, _ = writer.Write([]byte(`{"born":1,"models":[],"busy":true,"seq":0}`))
					return
				}
				asked = time.Now()
				writer.Header().Set("X-Not-Executed", "busy")
				writer.Header().Set("Retry-After", retryAfter)
				writer.WriteHeader(http.StatusServiceUnavailable)
			})}
			go func() { _ = engine.Serve(listener) }()
			t.Cleanup(func() { _ = engine.Close() })
			address := listener.Addr().String()
			register := func(born int) {
				store.Put(keyedstore.TopicServers, "own", strings.Replace(
					fmt.Sprintf(oddRegistration, fmt.Sprintf(`"born":%d`, born)), "127.0.0.1:9", address, 1))
			}
			store.Put(keyedstore.TopicOperator, "config", `{"version":1,"routes":[],"services":[`+
				`{"name":"llm","engine":{"slots":4,"chunks":4,"chunkBytes":1,"models":[{"name":"m"}]}}]}`)
			register(1)
			pieceAddress := allocateAddress()
			ip, _, err := net.SplitHostPort(pieceAddress)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			daemon, err := loader.New(loader.Settings{
				Name: "l", IP: ip, AvailabilityZone: "z", Region: "r", EngineAddress: address, Service: "llm", LinkBandwidth: 1 << 20,
				PieceAddress: pieceAddress, PeerPort: 1,
			}, platform.NewRegistry(store.Address()), platform.NewEngine(address), pieceOrigin{}, zap.NewNop(), telemetry.NewMetrics("loader"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { daemon.Drain() })
			count := func() int {
				mu.Lock()
				defer mu.Unlock()
				return len(arrivals)
			}
			g.Eventually(count, waitTimeout).Should(gomega.BeNumerically(">", 0))
			if restarts {
				register(2)
			}
			if !restarts {
				time.Sleep(pause)
			}
			g.Eventually(count, waitTimeout).Should(gomega.BeNumerically(">", 3))
			mu.Lock()
			defer mu.Unlock()
			inPause := 0
			for _, arrival := range arrivals {
				if since := arrival.Sub(asked); since > notice && since < pause {
					inPause++
				}
			}
			if !restarts {
				g.Expect(inPause).To(gomega.BeNumerically("<=", 2))
			}
		})
	}
}
