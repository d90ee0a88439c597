package loader_test

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
)

// TestSourceBecomesCompleteDuringOffer guards against pieces that are never requested again since their source became complete.
func TestSourceBecomesCompleteDuringOffer(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeFleet(t)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.2:%d", f.port))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	peer := &catalog.Server{ID: "peer", Service: "llm", Address: "127.0.0.2:9", AvailabilityZone: "a", Versions: map[string]int{model: 1}}
	f.update(fuchsiarouter.TopicServers, func() { f.servers[peer.ID] = peer })
	loadOnce := sync.OnceFunc(func() {
		f.update(fuchsiarouter.TopicServers, func() {
			loaded := *peer
			loaded.Versions = map[string]int{model: 2}
			f.servers[peer.ID] = &loaded
		})
		time.Sleep(1200 * time.Millisecond)
	})
	handler := http.NewServeMux()
	handler.HandleFunc("/manifest", func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.Atoi(r.URL.Query().Get("version"))
		manifest, _ := f.Manifest("", model, version)
		_ = json.NewEncoder(w).Encode(manifest)
	})
	handler.HandleFunc("/offer", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("version") == "2" {
			loadOnce()
		}
		first, _, _ := strings.Cut(r.URL.Query().Get("wanted"), ",")
		piece, _ := strconv.Atoi(first)
		_, _ = w.Write(binary.BigEndian.AppendUint32(nil, uint32(piece)))
	})
	handler.HandleFunc("/piece", func(w http.ResponseWriter, r *http.Request) {
		piece, _ := strconv.Atoi(r.URL.Query().Get("piece"))
		version, _ := strconv.Atoi(r.URL.Query().Get("version"))
		_, _ = w.Write(content(version, piece))
	})
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	engine := f.addEngine(t, 3, "a", true)
	time.Sleep(time.Second)
	f.update(fuchsiarouter.TopicOperator, func() { f.version = 2 })
	g.Eventually(versions(engine), 2*testTimeout).Should(gomega.Equal([]int{2}))
}
