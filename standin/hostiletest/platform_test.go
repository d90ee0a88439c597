package hostiletest_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/standin/backendserver"
	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
)

const (
	// memoryMB and maxDescriptors are limits.memoryMb and limits.maxFds of a daemon. Of its
	// descriptors, reservedDescriptors are for files.
	memoryMB            = 136
	maxDescriptors      = 712
	reservedDescriptors = 200
	// callerBodyBytes is limits.maxBodyBytes of the configuration, controlBodyBytes the size up to
	// which other addresses than that of callers take bodies.
	callerBodyBytes  = 4 << 20
	controlBodyBytes = 4 << 10
	// largeResponseBytes is the size of a large response.
	largeResponseBytes = 3 << 20
)

const nodeFileFormat = `{"nodeName":"n","ip":%q,"zone":"z","region":"r","zones":{"z":"r"},
 "listen":{"front":%q,"readiness":%q,"directory":%q},"internalPorts":[%s,%d],"app":%q,"service":"llm",
 "limits":{"memoryMb":%d,"maxFds":%d,"cpuShare":1,"cores":1,"linkMbps":1000},
 "bounds":{"revokeMs":5000,"graceS":3,"version_ms":8000,"budgetRatio":0.2,"budgetSlack":100,"budgetWindowS":10,"ttl_max_s":5},
 "platform":{"address":%q}}`

const configurationFormat = `{"version":1,"routes":[
 {"name":"booking","host":"h.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":1000,"service":"plain","maxAttempts":1},
 {"name":"report","host":"h.example","pathPrefix":"/report/","kind":"safe","timeoutMs":5000,"service":"large","maxAttempts":2}],
 "services":[{"name":"plain"},{"name":"large"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"w","apiKeys":["k1"]}]}`

// lastPort counts the ports that newAddress has returned.
var lastPort atomic.Int32

// newAddress returns an address that no other socket of the machine uses: this process has a loopback
// IP address of its own, and the port is below those that the kernel gives out.
func newAddress() string {
	const firstPort = 10000
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16, pid>>8&0xff, pid&0xff, firstPort+lastPort.Add(1))
}

// platform is the store with the servers of the configuration.
type platform struct {
	store *keyedstore.Store
	// plain and large are the servers of the services with these names.
	plain, large []*backendserver.Server
}

// startPlatform starts the store and two servers of each service.
func startPlatform(t *testing.T) *platform {
	g := gomega.NewWithT(t)
	store, err := keyedstore.New(newAddress())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(store.Close)
	p := &platform{store: store}
	store.Put(keyedstore.TopicOperator, "config", fmt.Sprintf(configurationFormat, callerBodyBytes))
	for index := range 2 {
		for _, service := range []string{"plain", "large"} {
			behaviour := backendserver.Behaviour{}
			if service == "large" {
				behaviour.ResponseBytes = largeResponseBytes
			}
			server, err := backendserver.New(fmt.Sprint(service, index), behaviour)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			store.Put(keyedstore.TopicServers, server.ID, server.Registration(service, "z", "ready", ""))
			if service == "large" {
				p.large = append(p.large, server)
			} else {
				p.plain = append(p.plain, server)
			}
		}
	}
	return p
}

// expectNoHostileRuns checks that no request of a hostile caller has run whose body did not end.
func (p *platform) expectNoHostileRuns(t *testing.T) {
	for _, server := range slices.Concat(p.plain, p.large) {
		for _, run := range server.Runs() {
			gomega.NewWithT(t).Expect(run.URI).NotTo(gomega.ContainSubstring("hostile"))
		}
	}
}

// client sends each request on a new connection.
var client = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// succeeds reports whether a request gets status 200.
func succeeds(method, url, body string) bool {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return false
	}
	request.Host = "h.example"
	request.Header.Set("Authorization", "Bearer k1")
	request.Header.Set("X-Attempt-Id", fmt.Sprintf("%x", time.Now().UnixNano()))
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ingressAddresses are the addresses of an ingress.
type ingressAddresses struct{ callers, readiness, directory, peers string }

// startIngress starts an ingress beside a platform.
func startIngress(t *testing.T) (*target, *platform, ingressAddresses) {
	g := gomega.NewWithT(t)
	p := startPlatform(t)
	at := ingressAddresses{newAddress(), newAddress(), newAddress(), newAddress()}
	ip, port, err := net.SplitHostPort(at.peers)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	pid := startDaemon(t, "ingress", fmt.Sprintf(nodeFileFormat, ip, at.callers, at.readiness, at.directory, port, 20000, "",
		memoryMB, maxDescriptors, p.store.Address()))
	daemon := &target{
		t: t, pid: pid, address: at.callers, memoryLimit: memoryMB << 20, descriptorLimit: maxDescriptors - reservedDescriptors,
		request: request{
			head:      "POST /book/hostile HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: 1\r\n",
			bodyLimit: callerBodyBytes,
		},
		answers: func() bool {
			return succeeds(http.MethodPost, "http://"+at.callers+"/book/ordinary", "an ordinary body")
		},
	}
	g.Eventually(func() bool {
		return succeeds(http.MethodGet, "http://"+at.readiness+"/fuchsiarouter/readiness", "") && daemon.answers()
	}, waitTimeout).Should(gomega.BeTrue())
	return daemon, p, at
}

// TestCallersOfIngress guards against an ingress that exceeds its limits, or answers no ordinary
// request, because of what callers send.
func TestCallersOfIngress(t *testing.T) {
	runLoads(t, slices.Concat(bodyLoads, headLoads), func(t *testing.T) *target {
		daemon, p, _ := startIngress(t)
		t.Cleanup(func() { p.expectNoHostileRuns(t) })
		return daemon
	})
}

// TestUnreadResponsesOfIngress guards against an ingress that exceeds its memory by large responses
// that callers do not read.
func TestUnreadResponsesOfIngress(t *testing.T) {
	daemon, _, _ := startIngress(t)
	daemon.request.head = "GET /report/large HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: 1\r\n"
	daemon.run(unreadResponses.send)
}

// TestControlAddressesOfIngress guards against an ingress that exceeds its limits, or answers no
// ordinary request, because of what is sent to its addresses other than that of callers.
func TestControlAddressesOfIngress(t *testing.T) {
	for _, control := range []struct {
		name, path string
		address    func(at ingressAddresses) string
	}{
		{"directory", "/fuchsiarouter/resolve", func(at ingressAddresses) string { return at.directory }},
		{"readiness", "/fuchsiarouter/readiness", func(at ingressAddresses) string { return at.readiness }},
		{"peers", "/metrics", func(at ingressAddresses) string { return at.peers }},
	} {
		t.Run(control.name, func(t *testing.T) {
			runLoads(t, allLoads, func(t *testing.T) *target {
				daemon, _, at := startIngress(t)
				daemon.address = control.address(at)
				daemon.request = request{head: "POST " + control.path + " HTTP/1.1\r\nHost: h.example\r\n", bodyLimit: controlBodyBytes}
				answersCallers, url := daemon.answers, "http://"+daemon.address+control.path
				daemon.answers = func() bool { return answersCallers() && succeeds(http.MethodGet, url, "") }
				return daemon
			})
		})
	}
}
