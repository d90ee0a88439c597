package platformtest_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/loader"
	"github.com/fuchsiarouter/fuchsiarouter/platform"
	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

// TestPauseOfUnregisteredEngine guards against a pause that is kept to after the restart of an engine
// whose registration was not known, and against one that ends when its registration appears.
func TestPauseOfUnregisteredEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	store, err := keyedstore.New(allocateAddress())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(store.Close)
	listener, err := net.Listen("tcp", allocateAddress())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var calls atomic.Int32
	engine := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) > 1 {
			_, _ = writer.Write([]byte(`{"born":2,"models":[],"busy":true,"seq":0}`))
			return
		}
		writer.Header().Set("X-Not-Executed", "busy")
		writer.Header().Set("Retry-After", "600")
		writer.WriteHeader(http.StatusServiceUnavailable)
	})}
	go func() { _ = engine.Serve(listener) }()
	t.Cleanup(func() { _ = engine.Close() })
	address := listener.Addr().String()
	store.Put(keyedstore.TopicOperator, "config", `{"version":1,"routes":[],"services":[`+
		`{"name":"llm","engine":{"slots":4,"chunks":4,"chunkBytes":1,"models":[{"name":"m"}]}}]}`)
	store.Put(keyedstore.TopicServers, "other", fmt.Sprintf(oddRegistration, `"born":1`))
	pieceAddress := allocateAddress()
	ip, _, err := net.SplitHostPort(pieceAddress)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	daemon, err := loader.New(loader.Settings{
		Name: "l", IP: ip, AvailabilityZone: "z", Region: "r", EngineAddress: address, Service: "llm", LinkBandwidth: 1 << 20,
		PieceAddress: pieceAddress, PeerPort: 1,
	}, platform.NewRegistry(store.Address()), platform.NewEngine(address), pieceOrigin{}, zap.NewNop(), telemetry.NewMetrics("loader"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { daemon.Drain() })
	g.Eventually(calls.Load, waitTimeout).Should(gomega.BeEquivalentTo(1))
	register := func(started time.Time) {
		born := fmt.Sprintf(`"born":%d`, started.UnixMilli())
		store.Put(keyedstore.TopicServers, "own", strings.Replace(fmt.Sprintf(oddRegistration, born), "127.0.0.1:9", address, 1))
	}
	register(time.Now().Add(-time.Minute))
	g.Consistently(calls.Load, time.Second).Should(gomega.BeEquivalentTo(1))
	register(time.Now())
	g.Eventually(calls.Load, waitTimeout).Should(gomega.BeNumerically(">", 3))
}
