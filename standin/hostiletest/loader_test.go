package hostiletest_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
	"github.com/fuchsiarouter/fuchsiarouter/standin/stagedengine"
)

// enginePieces is the number of pieces of a version.
const enginePieces = 24

// startLoader starts a loader beside an engine that holds version 1.
func startLoader(t *testing.T) *target {
	g := gomega.NewWithT(t)
	store, err := keyedstore.New(newAddress())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(store.Close)
	origin, err := stagedengine.NewOrigin(newAddress(), enginePieces, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(origin.Close)
	engine, err := stagedengine.New(stagedengine.Settings{
		Address: newAddress(), Model: "m", Pieces: enginePieces, Version: 1,
		Fault: func(stagedengine.Call) stagedengine.Fault { return stagedengine.Fault{} },
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(engine.Close)
	store.Put(keyedstore.TopicOperator, "config", fmt.Sprintf(`{"version":1,"routes":[],"services":[`+
		`{"name":"llm","engine":{"slots":4,"chunks":%d,"models":[{"name":"m"}]}},{"name":"o","origin":%q,"zone":"z"}]}`, enginePieces, origin.Address()))
	store.Put(keyedstore.TopicOperator, "version/m", `{"model":"m","version":2}`)
	store.Put(keyedstore.TopicServers, "e", fmt.Sprintf(`{"service":"llm","address":%q,"zone":"z","version":"v1","slots":4,`+
		`"state":"ready","coldRemainingMs":0,"seq":1,"models":[{"name":"m","version":1}]}`, engine.Address()))
	address := newAddress()
	ip, port, err := net.SplitHostPort(address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	first := 0
	_, _ = fmt.Sscan(port, &first)
	pid := startDaemon(t, "loader", fmt.Sprintf(nodeFileFormat, ip, "", "", "", fmt.Sprint(first-1), 20000, engine.Address(),
		memoryMB, maxDescriptors, store.Address()))
	url := "http://" + address + "/piece?model=m&version=2&piece=0"
	daemon := &target{
		t: t, pid: pid, address: address, memoryLimit: memoryMB << 20, descriptorLimit: maxDescriptors - reservedDescriptors,
		request: request{head: "POST /piece?model=m&version=2&piece=0 HTTP/1.1\r\nHost: l\r\n", bodyLimit: controlBodyBytes},
		answers: func() bool { return succeeds(http.MethodGet, url, "") },
	}
	g.Eventually(daemon.answers, waitTimeout).Should(gomega.BeTrue())
	return daemon
}

// TestCallersOfLoader guards against a loader that exceeds its limits, or serves no piece, because of
// what is sent to its address.
func TestCallersOfLoader(t *testing.T) {
	runLoads(t, allLoads, startLoader)
}
