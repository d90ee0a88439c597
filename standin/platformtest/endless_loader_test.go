package platformtest_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/loader"
	"github.com/fuchsiarouter/fuchsiarouter/platform"
	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

// maxEndlessLoaderHeap is the growth of the heap that a loader on a machine with 152 MB can afford
// beside its runtime and the pieces of two versions.
const maxEndlessLoaderHeap = 64 << 20

// TestEndlessBytesReachLoader guards against a loader that keeps bytes that are no answer, which
// its engine or the origin sends without end, until its memory is used up.
func TestEndlessBytesReachLoader(t *testing.T) {
	const pieces = 96
	for _, example := range []struct{ name, prefix, repeated string }{
		{"no protocol", "", "abc "},
		{"headers", "HTTP/1.1 200 OK\r\n", "X-More: more\r\n"},
		{"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", "aaaa"},
		{"body of a great length", "HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n", "aaaa"},
		{"chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n"},
		{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: more\r\n"},
	} {
		for _, faulty := range []string{"engine", "origin"} {
			t.Run(example.name+" of the "+faulty, func(t *testing.T) {
				g := gomega.NewWithT(t)
				store, err := keyedstore.New(allocateAddress())
				g.Expect(err).NotTo(gomega.HaveOccurred())
				t.Cleanup(store.Close)
				endless := startEndlessServer(t, 0, example.prefix, example.repeated, 0)
				pieceAddress := allocateAddress()
				ip, _, err := net.SplitHostPort(pieceAddress)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				store.Put(keyedstore.TopicOperator, "config", fmt.Sprintf(`{"version":1,"routes":[],"services":[`+
					`{"name":"llm","engine":{"slots":4,"chunks":%d,"chunkBytes":1,"models":[{"name":"m"}]}},{"name":"o","origin":%q,"zone":"z"}]}`,
					pieces, endless.listener.Addr().String()))
				store.Put(keyedstore.TopicOperator, "version/m", `{"model":"m","version":1}`)
				store.Put(keyedstore.TopicServers, "own", strings.Replace(fmt.Sprintf(oddRegistration, `"models":[]`), "127.0.0.1:9", ip+":9", 1))
				engine := fuchsiarouter.StagedEngine(&stagedEngine{startedAt: time.Now().UnixMilli(), staged: map[int][]byte{}})
				origin := fuchsiarouter.PieceOrigin(faultyPieces{platform.NewPieceOrigin(), pieces})
				if faulty == "engine" {
					engine, origin = platform.NewEngine(endless.listener.Addr().String()), pieceOrigin{}
				}
				watch := watchHeap()
				daemon, err := loader.New(loader.Settings{
					Name: "l", IP: ip, AvailabilityZone: "z", Region: "r", EngineAddress: ip + ":9", Service: "llm", LinkBandwidth: 1 << 20,
					PieceAddress: pieceAddress, PeerPort: 1,
				}, platform.NewRegistry(store.Address()), engine, origin, zap.NewNop(), telemetry.NewMetrics("loader"))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				time.Sleep(1500 * time.Millisecond)
				daemon.Drain()
				heap := watch.end()
				t.Logf("heap grew by %d MiB", heap>>20)
				g.Expect(heap).To(gomega.BeNumerically("<", maxEndlessLoaderHeap))
			})
		}
	}
}

// faultyPieces is an origin that sends a sound manifest.
type faultyPieces struct {
	*platform.PieceOrigin
	pieces int
}

func (o faultyPieces) Manifest(_, model string, version int) (fuchsiarouter.PieceManifest, error) {
	return fuchsiarouter.PieceManifest{Model: model, Version: version, Digests: make([]string, o.pieces)}, nil
}
