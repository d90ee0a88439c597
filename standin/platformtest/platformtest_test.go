// Package platformtest_test runs an ingress, the HTTP proxy that forwards the requests of
// callers to backend servers, with the headers and formats of the users' platform. The store,
// from which the ingress reads its configuration and the registered servers, and the backend
// servers are stand-ins.
package platformtest_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/ingress"
	"github.com/fuchsiarouter/fuchsiarouter/platform"
	"github.com/fuchsiarouter/fuchsiarouter/standin/backendserver"
	"github.com/fuchsiarouter/fuchsiarouter/standin/keyedstore"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

// waitTimeout bounds each wait for a response or a state.
const waitTimeout = 8 * time.Second

// configurationFormat is the platform's configuration. Its formatting verbs stand for the
// version of the configuration and the API keys of workspace w, quoted and separated by
// commas. The routes are /llm/ for streams that can be resumed, /once/ for streams that can't,
// /book/ for non-repeatable requests, /stock/ for repeatable ones, and /order/ and /report/ for
// those with more time.
const configurationFormat = `{"version":%d,"routes":[
 {"name":"draft","host":"h.example","pathPrefix":"/llm/","kind":"stream","timeoutMs":5000,"targetLatencyMs":1000,"priority":1,
  "service":"llm","maxAttempts":2,"sticky":true,"resumable":true},
 {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"stream","timeoutMs":5000,"targetLatencyMs":1000,"priority":1,
  "service":"llm","maxAttempts":2,"sticky":true},
 {"name":"booking","host":"h.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":1000,"service":"plain","maxAttempts":1},
 {"name":"stock","host":"h.example","pathPrefix":"/stock/","kind":"safe","timeoutMs":1000,"service":"plain","maxAttempts":2},
 {"name":"order","host":"h.example","pathPrefix":"/order/","kind":"unsafe","timeoutMs":5000,"service":"plain","maxAttempts":1},
 {"name":"report","host":"h.example","pathPrefix":"/report/","kind":"safe","timeoutMs":5000,"service":"plain","maxAttempts":2}],
 "services":[{"name":"plain"},{"name":"llm","engine":{"slots":4,"models":[{"name":"m"}]}}],
 "limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,"idleTimeoutMs":15000},
 "tenants":[{"name":"w","apiKeys":[%s]}]}`

// testFleet is an ingress with its store, its backend servers and a client. The llm servers
// provide the service llm of the configuration and have the IDs e0 and e1. The plain servers
// provide the service plain and have the IDs p0 and p1.
type testFleet struct {
	t                *testing.T
	store            *keyedstore.Store
	ingress          *ingress.Ingress
	callerAddress    string
	readinessAddress string
	peerAddress      string
	stopGrace        time.Duration
	// maxKeptConnections is that of the ingresses that are started from now on.
	maxKeptConnections int
	// regions, region, zone and directoryAddress are those of the ingresses that are started from
	// now on, which are in region r and availability zone z by default.
	regions                        map[string]string
	region, zone, directoryAddress string
	log                            *zap.Logger
	llmServers                     []*backendserver.Server
	plainServers                   []*backendserver.Server
	client                         *http.Client
}

// lowestPort is the port of the first address that allocateAddress returns. It is below the
// kernel's ephemeral port range, from which listeners on port 0 and outgoing connections get
// their ports.
const lowestPort = 10000

// allocatedPorts counts the ports that allocateAddress returned.
var allocatedPorts atomic.Int32

// allocateAddress returns an address that no other socket on the machine uses: the process
// has its own loopback IP address, and each port is returned once. A port found by closing a
// listener on port 0 could be taken before the ingress listens on it, for example by one of
// the stand-ins.
func allocateAddress() string {
	// A process ID has up to 22 bits. The second byte is at least 64, because other tests
	// use IP addresses in 127.0.0.0/16.
	pid := os.Getpid()
	port := lowestPort + allocatedPorts.Add(1) - 1
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16, pid>>8&0xff, pid&0xff, port)
}

// startFleet starts an ingress, two llm servers and two plain servers, and waits until the
// ingress is ready. The configuration has version 1 and the API keys k1 and k2. The first epoch of the
// store is settled, as in a deployment that has run before.
func startFleet(t *testing.T) *testFleet { return startFleetWithGrace(t, 3*time.Second) }

// startFleetWithGrace is startFleet with another grace period than 3 s.
func startFleetWithGrace(t *testing.T, stopGrace time.Duration) *testFleet {
	g := gomega.NewWithT(t)
	store, err := keyedstore.New(allocateAddress())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	f := &testFleet{
		t: t, store: store, callerAddress: allocateAddress(), readinessAddress: allocateAddress(),
		peerAddress: allocateAddress(), stopGrace: stopGrace, log: zap.NewNop(), client: &http.Client{Timeout: waitTimeout},
		region: "r", zone: "z",
	}
	store.Put(keyedstore.TopicEntries, "entry.settled-epoch", `{"settled-epoch":1}`)
	f.publishConfiguration(1, "k1", "k2")
	for i := range 2 {
		llm, err := backendserver.New(fmt.Sprint("e", i), backendserver.Behaviour{StreamEvents: 5, EventInterval: 5 * time.Millisecond})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		plain, err := backendserver.New(fmt.Sprint("p", i), backendserver.Behaviour{})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		f.llmServers, f.plainServers = append(f.llmServers, llm), append(f.plainServers, plain)
		store.Put(keyedstore.TopicServers, llm.ID, llm.Registration("llm", "z", "ready", `{"name":"m","version":1}`))
		store.Put(keyedstore.TopicServers, plain.ID, plain.Registration("plain", "z", "ready", ""))
	}
	f.ingress = f.newIngress("e", f.callerAddress, f.readinessAddress, f.peerAddress)
	t.Cleanup(store.Close)
	g.Eventually(f.isReady, waitTimeout).Should(gomega.BeTrue())
	return f
}

// newIngress starts an ingress with the name, which listens for callers, readiness checks and other
// daemons at the addresses.
func (f *testFleet) newIngress(name, callerAddress, readinessAddress, peerAddress string) *ingress.Ingress {
	started, err := ingress.New(ingress.Settings{
		Name: name, AvailabilityZone: f.zone, Region: f.region, Regions: f.regions, DirectoryAddress: f.directoryAddress, CallerAddress: callerAddress, ReadinessAddress: readinessAddress, PeerAddress: peerAddress,
		KeyRevocation: 5 * time.Second, StopGrace: f.stopGrace, VersionDeadline: 8 * time.Second,
		DirectoryTTL: 5 * time.Second, ResendRatio: 0.2, ResendAllowance: 100, ResendWindow: 10 * time.Second,
		MaxKeptConnections: f.maxKeptConnections,
	}, platform.Dialect{}, platform.NewRegistry(f.store.Address()),
		ingress.Handlers{Directory: platform.DirectoryHandler, Readiness: platform.ReadinessHandler},
		f.log, telemetry.NewMetrics("ingress"))
	gomega.NewWithT(f.t).Expect(err).NotTo(gomega.HaveOccurred())
	return started
}

// publishConfiguration puts the configuration with the version and the API keys into the
// store.
func (f *testFleet) publishConfiguration(version int, keys ...string) {
	f.store.Put(keyedstore.TopicOperator, "config", fmt.Sprintf(configurationFormat, version, `"`+strings.Join(keys, `","`)+`"`))
}

// isReady reports whether the ingress answers a readiness check with status 200.
func (f *testFleet) isReady() bool {
	response, err := f.client.Get("http://" + f.readinessAddress + "/fuchsiarouter/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// send sends a request with the API key to the ingress and returns the status, body and
// headers of the response. The request allows 3 s for the response.
func (f *testFleet) send(method, path, key, body string) (int, string, http.Header, error) {
	return f.sendWithID(fmt.Sprintf("%x", time.Now().UnixNano()), method, path, key, body)
}

// sendWithID is send for a request with an attempt ID.
func (f *testFleet) sendWithID(id, method, path, key, body string) (int, string, http.Header, error) {
	request, err := http.NewRequest(method, "http://"+f.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return 0, "", nil, err
	}
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("X-Model", "m")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := f.client.Do(request)
	if err != nil {
		return 0, "", nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, string(answer), response.Header, err
}

// allRuns returns the requests that ran on any of the servers, those of the first server
// first.
func (f *testFleet) allRuns(servers []*backendserver.Server) []backendserver.Run {
	var runs []backendserver.Run
	for _, server := range servers {
		runs = append(runs, server.Runs()...)
	}
	return runs
}

// streamBody returns the part of the body of a stream that contains the events with the IDs
// from up to and including to.
func streamBody(from, to int) string {
	var body strings.Builder
	for event := from; event <= to; event++ {
		_, _ = fmt.Fprintf(&body, "id: %d\ndata: %d\n\n", event, event)
	}
	return body.String()
}

// TestForwardsUnchanged guards against changes to the URI or body of a request, or to the
// response of its server, and against API keys that are forwarded to servers.
func TestForwardsUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	status, body, header, err := f.send("POST", "/book/a%2fb?x=1", "k1", "booking")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(200))
	g.Expect(body).To(gomega.HavePrefix("answer of p"))
	g.Expect(header.Get("X-Server-Seal")).NotTo(gomega.BeEmpty())
	runs := f.allRuns(f.plainServers)
	g.Expect(runs).To(gomega.HaveLen(1))
	g.Expect(runs[0].URI).To(gomega.Equal("/book/a%2fb?x=1"))
	g.Expect(runs[0].Body).To(gomega.Equal("booking"))
	g.Expect(runs[0].Workspace).To(gomega.Equal("w"))
	g.Expect(runs[0].DeadlineMs).To(gomega.BeNumerically("<=", 1000))
	g.Expect(runs[0].Headers).NotTo(gomega.ContainSubstring("k1"))
	status, body, _, err = f.send("POST", "/llm/stream", "k2", "{}")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(200))
	g.Expect(body).To(gomega.Equal(streamBody(1, 5)))
}

// formBodies are multipart bodies with the boundary "b". An HTTP server that parses the first
// and writes it again drops the type of a part and changes the order of the fields; it rejects
// the second, whose last boundary is missing.
var formBodies = []string{
	"--b\r\nContent-Disposition: form-data; name=\"order\"\r\nContent-Type: application/json\r\n\r\n{}\r\n" +
		"--b\r\nContent-Disposition: form-data; name=\"depot\"\r\n\r\n2\r\n" +
		"--b\r\nContent-Disposition: form-data; name=\"note\"; filename=\"n.txt\"\r\n\r\nstains\r\n--b--\r\n",
	"--b\r\nContent-Disposition: form-data; name=\"order\"\r\n\r\n1",
}

// TestForwardsFormsUnchanged guards against parsing a multipart body and sending another one to
// the server, and against rejecting a body that is no form.
func TestForwardsFormsUnchanged(t *testing.T) {
	f := startFleet(t)
	for index, form := range formBodies {
		for _, framing := range []string{"length", "chunked"} {
			for _, path := range []string{"/book/1", "/stock/1", "/llm/stream"} {
				t.Run(fmt.Sprint("form ", index, " ", framing, " ", path), func(t *testing.T) {
					g := gomega.NewWithT(t)
					id := fmt.Sprintf("%x", time.Now().UnixNano())
					var body io.Reader = strings.NewReader(form)
					if framing == "chunked" {
						// The client sends a reader of unknown length in chunks.
						body = io.MultiReader(body)
					}
					request, err := http.NewRequest(http.MethodPost, "http://"+f.callerAddress+path, body)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					request.Host = "h.example"
					request.Header.Set("X-Attempt-Id", id)
					request.Header.Set("X-Model", "m")
					request.Header.Set("Authorization", "Bearer k1")
					request.Header.Set("Content-Type", "multipart/form-data; boundary=b")
					response, err := f.client.Do(request)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					defer response.Body.Close()
					g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
					runs := slices.DeleteFunc(f.allRuns(slices.Concat(f.llmServers, f.plainServers)), func(run backendserver.Run) bool {
						return run.RequestID != id
					})
					g.Expect(runs).To(gomega.HaveLen(1))
					g.Expect(runs[0].Body).To(gomega.Equal(form))
				})
			}
		}
	}
}

// TestRejectsInvalidRequests guards against running a request that has no route, no valid
// API key or too large a body.
func TestRejectsInvalidRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	for _, testCase := range []struct {
		path, key, body string
		status          int
	}{
		{"/none/", "k1", "", 404},
		{"/book/", "k9", "", 401},
		{"/book/", "k1", strings.Repeat("x", 10001), 413},
	} {
		status, _, header, err := f.send("POST", testCase.path, testCase.key, testCase.body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status).To(gomega.Equal(testCase.status))
		g.Expect(header.Get("Fuchsiarouter-Ran")).To(gomega.Equal("no"))
	}
	g.Expect(f.allRuns(f.plainServers)).To(gomega.BeEmpty())
}

// TestRejectsAmbiguousFraming guards against request smuggling: a second request hidden
// behind malformed or contradictory framing headers must not run.
func TestRejectsAmbiguousFraming(t *testing.T) {
	f := startFleet(t)
	const requestHead = "POST /book/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: 1\r\n"
	const hidden = "GET /stock/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: 2\r\n\r\n"
	for _, request := range []string{
		requestHead + "Content-Length: 3\r\nContent-Length: 0\r\n\r\nabc" + hidden,
		requestHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		requestHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + hidden,
		requestHead + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + hidden,
		requestHead + "Content-Length : 3\r\n\r\nabc" + hidden,
		requestHead + "Content-Length: +3\r\n\r\nabc" + hidden,
		requestHead + "Content-Length: 3\r\n folded: 1\r\n\r\nabc" + hidden,
		requestHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n" + hidden,
		"POST http://h.example/book/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n",
	} {
		g := gomega.NewWithT(t)
		conn, err := net.Dial("tcp", f.callerAddress)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		_, _ = io.WriteString(conn, request)
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			g.Expect(response.StatusCode).To(gomega.Equal(400), request)
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			_, err = reader.ReadByte()
			g.Expect(err).To(gomega.Equal(io.EOF), request)
		}
		_ = conn.Close()
	}
	gomega.NewWithT(t).Expect(f.allRuns(f.plainServers)).To(gomega.BeEmpty())
}

// TestUnsafeRunsOnce guards against retrying a non-repeatable request whose response was
// lost, and against reporting that the request did not run.
func TestUnsafeRunsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	for _, server := range f.plainServers {
		server.SetBehaviour(backendserver.Behaviour{DropResponse: true})
	}
	status, _, header, err := f.send("POST", "/book/", "k1", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(502))
	g.Expect(header.Get("Fuchsiarouter-Ran")).To(gomega.Equal("maybe"))
	g.Expect(f.allRuns(f.plainServers)).To(gomega.HaveLen(1))
}

// TestRefusedRequestIsRetried guards against two faults: a non-repeatable request is not sent
// to another server although the first one refused it, or a response that does not prove that
// the request did not run is taken for a refusal.
func TestRefusedRequestIsRetried(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.plainServers[0].SetBehaviour(backendserver.Behaviour{RefuseRequests: true})
	for range 4 {
		status, body, _, err := f.send("POST", "/book/", "k1", "")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status).To(gomega.Equal(200))
		g.Expect(body).To(gomega.Equal("answer of p1"))
	}
	f.plainServers[1].SetBehaviour(backendserver.Behaviour{RefuseRequests: true})
	status, _, header, err := f.send("POST", "/book/", "k1", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(503))
	g.Expect(header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	// A 503 without the X-Not-Executed header does not prove that the request did not run.
	f.plainServers[0].SetBehaviour(backendserver.Behaviour{Status: 503})
	f.plainServers[1].SetBehaviour(backendserver.Behaviour{Status: 503})
	g.Eventually(func() int {
		status, _, _, _ := f.send("POST", "/book/", "k1", "")
		return status
	}, waitTimeout).Should(gomega.Equal(502))
}

// TestSafeRequestIsRetried guards against returning the failure of one server to the caller
// when the request is safe to repeat on another server.
func TestSafeRequestIsRetried(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.plainServers[0].SetBehaviour(backendserver.Behaviour{Status: 500})
	for range 4 {
		status, body, _, err := f.send("GET", "/stock/", "k1", "")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status).To(gomega.Equal(200))
		g.Expect(body).To(gomega.Equal("answer of p1"))
	}
}

// TestStreamResumes guards against a stream that ends when its server fails, and against
// missing, truncated or duplicate events when another server continues the stream.
func TestStreamResumes(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.llmServers[0].SetBehaviour(backendserver.Behaviour{StreamEvents: 5, CutAfterEvents: 2, EventInterval: 10 * time.Millisecond})
	f.llmServers[1].SetBehaviour(backendserver.Behaviour{StreamEvents: 5})
	for range 4 {
		status, body, _, err := f.send("POST", "/llm/stream", "k1", "")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status).To(gomega.Equal(200))
		g.Expect(body).To(gomega.Equal(streamBody(1, 5)))
	}
}

// TestIncompleteStreamFails guards against a stream that looks complete to the caller
// although every server cut it off.
func TestIncompleteStreamFails(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	for _, server := range f.llmServers {
		server.SetBehaviour(backendserver.Behaviour{StreamEvents: 9, CutAfterEvents: 2, EventInterval: 10 * time.Millisecond})
	}
	status, body, _, err := f.send("POST", "/llm/stream", "k1", "")
	g.Expect(err).To(gomega.HaveOccurred(), "%d %q", status, body)
	g.Expect(streamBody(1, 9)).To(gomega.HavePrefix(body))
}

// TestCallerDisconnects guards against a server that keeps working for a caller that has
// disconnected during a stream.
func TestCallerDisconnects(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	for _, server := range f.llmServers {
		server.SetBehaviour(backendserver.Behaviour{StreamEvents: 1000, EventInterval: 20 * time.Millisecond})
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+f.callerAddress+"/llm/stream", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	request.Host = "h.example"
	request.Header.Set("X-Model", "m")
	request.Header.Set("Authorization", "Bearer k1")
	request.Header.Set("X-Attempt-Id", "5")
	response, err := f.client.Do(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.llmServers[0].ActiveRequests() + f.llmServers[1].ActiveRequests()).To(gomega.Equal(1))
	g.Expect(response.Body.Close()).To(gomega.Succeed())
	g.Eventually(func() int { return f.llmServers[0].ActiveRequests() + f.llmServers[1].ActiveRequests() }, waitTimeout).Should(gomega.BeZero())
}

// TestRevokedKey guards against a revoked API key that is accepted again when the store
// returns an earlier configuration, and against API keys that stay accepted while the store
// is down, so that the ingress cannot learn of revocations.
func TestRevokedKey(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	status := func(key string) func() int {
		return func() int {
			status, _, _, _ := f.send("GET", "/stock/", key, "")
			return status
		}
	}
	g.Expect(status("k2")()).To(gomega.Equal(200))
	f.publishConfiguration(2, "k1")
	g.Eventually(status("k2"), 2*time.Second).Should(gomega.Equal(401))
	f.publishConfiguration(1, "k1", "k2")
	f.store.Compact(keyedstore.TopicOperator)
	g.Consistently(status("k2"), time.Second).Should(gomega.Equal(401))
	g.Expect(status("k1")()).To(gomega.Equal(200))
	f.store.SetUnavailable(true)
	g.Eventually(status("k1"), 5*time.Second).Should(gomega.Equal(503))
	f.store.SetUnavailable(false)
	g.Eventually(status("k1"), waitTimeout).Should(gomega.Equal(200))
}

// TestDrainingServer guards against sending new requests to a draining server.
func TestDrainingServer(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.store.Put(keyedstore.TopicServers, "p0", f.plainServers[0].Registration("plain", "z", "draining", ""))
	time.Sleep(time.Second)
	before := len(f.plainServers[0].Runs())
	for range 6 {
		status, _, _, err := f.send("GET", "/stock/", "k1", "")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status).To(gomega.Equal(200))
	}
	g.Expect(f.plainServers[0].Runs()).To(gomega.HaveLen(before))
}

// TestDrainCompletesRequests guards against a graceful shutdown that cuts off requests in
// progress.
func TestDrainCompletesRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	for _, server := range f.llmServers {
		server.SetBehaviour(backendserver.Behaviour{StreamEvents: 20, EventInterval: 40 * time.Millisecond})
	}
	bodies := make(chan string, 4)
	for range 4 {
		go func() {
			_, body, _, _ := f.send("POST", "/llm/stream", "k1", "")
			bodies <- body
		}()
	}
	time.Sleep(100 * time.Millisecond)
	drained := make(chan bool, 1)
	go func() { drained <- f.ingress.Drain() }()
	g.Eventually(f.isReady, waitTimeout).Should(gomega.BeFalse())
	for range 4 {
		g.Eventually(bodies, waitTimeout).Should(gomega.Receive(gomega.Equal(streamBody(1, 20))))
	}
	g.Eventually(drained, waitTimeout).Should(gomega.Receive(gomega.BeTrue()))
}

// TestStalledServer guards against leaving requests at a server whose machine is stalled:
// the requests would run there long after their callers have disconnected. The stalled server
// sends one event and then nothing for an hour; the caller must get the whole stream within
// 3 s, with the rest from the other server.
func TestStalledServer(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.llmServers[0].SetBehaviour(backendserver.Behaviour{StreamEvents: 5, EventInterval: time.Hour})
	f.llmServers[1].SetBehaviour(backendserver.Behaviour{StreamEvents: 5, EventInterval: 5 * time.Millisecond})
	for range 4 {
		start := time.Now()
		_, body, _, err := f.send("POST", "/llm/stream", "k1", "")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal(streamBody(1, 5)))
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 3*time.Second))
	}
}

// TestHalfClosedCaller guards against reporting that a non-repeatable request did not run
// although it reached a server. The caller closes its connection for writing before the
// response, but still reads.
func TestHalfClosedCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	for _, server := range f.plainServers {
		server.SetBehaviour(backendserver.Behaviour{ResponseDelay: 500 * time.Millisecond})
	}
	conn, err := net.Dial("tcp", f.callerAddress)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	_, _ = io.WriteString(conn, "POST /book/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: 8\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	g.Expect(conn.(*net.TCPConn).CloseWrite()).To(gomega.Succeed())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.Header.Get("Fuchsiarouter-Ran")).To(gomega.Equal("maybe"))
	g.Expect(response.StatusCode).To(gomega.Equal(502))
}

// TestUnusedConnection guards against a response on a connection on which no request came: a
// caller that sends its first request at that moment would take the response for its own.
func TestUnusedConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	conn, err := net.Dial("tcp", f.callerAddress)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	// The ingress closes the connection after 20 s.
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	received, err := io.ReadAll(conn)
	g.Expect(string(received)).To(gomega.BeEmpty())
	g.Expect(err).NotTo(gomega.HaveOccurred())
}
