package agent_test

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/blake3"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/agent"
	"github.com/fuchsiarouter/fuchsiarouter/dispatch"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/peer"
	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/revision"
	"github.com/fuchsiarouter/fuchsiarouter/settings"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
	"github.com/fuchsiarouter/fuchsiarouter/trace"
	"github.com/fuchsiarouter/fuchsiarouter/weights"
)

// fakeEntry is an entry with a configuration that only the test changes. It answers a heartbeat with the
// revisions of the configuration and the forecast shifts, a request for the configuration
// with the snapshot, and other requests with an empty response.
type fakeEntry struct {
	snapshot *atomic.Pointer[revision.Snapshot]
	shifts   []fuchsiarouter.PeakShift
	// failures is the number of heartbeats that still fail, heartbeats counts the others.
	failures   atomic.Int64
	heartbeats atomic.Int64
}

func (e *fakeEntry) Heartbeat(context.Context, peer.HeartbeatRequest) (peer.HeartbeatResponse, error) {
	if e.failures.Add(-1) >= 0 {
		return peer.HeartbeatResponse{}, errors.New("not ready")
	}
	e.heartbeats.Add(1)
	revisions := map[string]int64{}
	for section, number := range e.snapshot.Load().Revisions {
		revisions[string(section)] = number
	}
	return peer.HeartbeatResponse{Incarnation: 1, Revisions: revisions, Shifts: e.shifts}, nil
}

func (e *fakeEntry) Document(context.Context, peer.DocumentRequest) (revision.Snapshot, error) {
	return *e.snapshot.Load(), nil
}

func (e *fakeEntry) Status(context.Context, peer.StatusRequest) (peer.StatusResponse, error) {
	return peer.StatusResponse{}, nil
}

func (e *fakeEntry) Drain(context.Context, peer.DrainRequest) (peer.DrainResponse, error) {
	return peer.DrainResponse{}, nil
}

func (e *fakeEntry) Changes(context.Context, peer.ChangesRequest) (peer.ChangesResponse, error) {
	return peer.ChangesResponse{}, nil
}

// fakeOrigin serves the manifests of versions and adapters by path, and their chunks
// by digest.
type fakeOrigin struct {
	manifests map[string][]byte
	chunks    map[string][]byte
}

func (o *fakeOrigin) Manifest(_ context.Context, path string) ([]byte, error) {
	return o.manifests[path], nil
}

// add stores a version or adapter, whose content is the text repeated, at the path, and
// returns the digest of its manifest.
func (o *fakeOrigin) add(path, text string) (string, error) {
	manifest, err := weights.Build("rounds", path, 1024, strings.NewReader(strings.Repeat(text, 512)),
		func(digest string, data []byte) error { o.chunks[digest] = data; return nil })
	if err != nil {
		return "", err
	}
	o.manifests[path], err = manifest.Bytes()
	sum := blake3.Sum256(o.manifests[path])
	return hex.EncodeToString(sum[:]), err
}

func (o *fakeOrigin) Chunk(_ context.Context, digest string) ([]byte, error) {
	return o.chunks[digest], nil
}

// fixture is an agent with a fake engine and a fake entry.
type fixture struct {
	*gomega.WithT
	agent *agent.Agent
	// digest is the digest of the only version of the model "rounds".
	digest string
	// answer is the engine's handler for generation requests.
	answer atomic.Pointer[http.HandlerFunc]
	// reportedDigest is the digest that the engine reports after a load. A test sets
	// another one than digest to simulate an engine that has loaded other bytes than
	// those of the manifest.
	reportedDigest atomic.Pointer[string]
	// replicas, the number of replicas of the model, and peaksSection, the content of
	// the peaks section, go into the configuration document. shifts is the forecast
	// that the entry sends.
	replicas     int
	peaksSection string
	shifts       []fuchsiarouter.PeakShift
	// state, private and snapshot are those of the configuration, see publish.
	state    *revision.State
	private  ed25519.PrivateKey
	snapshot atomic.Pointer[revision.Snapshot]
	// nextDigest is the digest of version v2, which the origin has and only publish declares.
	nextDigest string
	// adapter is the digest of the adapter on the version; hasAdapter adds it to
	// the document. serversSection is the content of the document's servers
	// section.
	adapter        string
	hasAdapter     bool
	serversSection string
	// lateEntry is a second entry, to which the first heartbeat fails.
	lateEntry *fakeEntry
	// statefulEngine keeps track of orders; when it is nil, the engine accepts
	// every order and keeps no state.
	statefulEngine *statefulEngine
	// service is the name of the plain service that the agent has in place of the engine,
	// empty if it has the engine.
	service string
}

// startAgent starts an agent with a fake engine, which reports the digest after a load,
// or the right one if reportedDigest is empty. The functions prepare set fields of the
// fixture before the start.
func startAgent(t *testing.T, reportedDigest string, prepare ...func(*fixture)) *fixture {
	f := &fixture{WithT: gomega.NewWithT(t), replicas: 1}
	for _, set := range prepare {
		set(f)
	}
	origin := &fakeOrigin{chunks: map[string][]byte{}, manifests: map[string][]byte{}}
	var err error
	f.digest, err = origin.add("rounds/v1", "weights ")
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.nextDigest, err = origin.add("rounds/v2", "heavier ")
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.adapter, err = origin.add("rounds/hospital", "adapter ")
	f.Expect(err).NotTo(gomega.HaveOccurred())
	if reportedDigest == "" {
		reportedDigest = f.digest
	}
	f.reportedDigest.Store(&reportedDigest)

	engine := httptest.NewServer(http.HandlerFunc(f.serveEngine))
	t.Cleanup(engine.Close)
	public, private, err := ed25519.GenerateKey(nil)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.state, f.private = f.document(public, private), private
	snapshot := f.state.Snapshot()
	f.snapshot.Store(&snapshot)
	f.lateEntry = &fakeEntry{snapshot: &f.snapshot, shifts: f.shifts}
	f.lateEntry.failures.Store(1)
	var entryAddresses []string
	for _, entry := range []*fakeEntry{{snapshot: &f.snapshot, shifts: f.shifts}, f.lateEntry} {
		control, err := peer.Listen("127.0.0.1:0", entry)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = control.Close() })
		entryAddresses = append(entryAddresses, control.Address())
	}
	tracer, err := trace.New(t.Context(), "agent", "agent-1", "")
	f.Expect(err).NotTo(gomega.HaveOccurred())
	agentSettings := settings.Agent{
		Common: settings.Common{
			ID: "agent-1", Region: "norte", AvailabilityZone: "norte-a", Address: "127.0.0.1:0",
			EntryAddresses: entryAddresses, BootstrapKey: hex.EncodeToString(public), MaxBodyBytes: 1 << 20,
		},
		EngineAddress: engine.Listener.Addr().String(), Slots: 4, CacheBytes: 1 << 20, QueueLimit: 16,
	}
	if f.service != "" {
		agentSettings.Service, agentSettings.Backend, agentSettings.EngineAddress = f.service, agentSettings.EngineAddress, ""
	}
	f.agent, err = agent.New(agentSettings, zap.NewNop(), tracer, telemetry.NewMetrics("agent"), origin, nil)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(f.agent.Close)
	return f
}

// document returns the state of a configuration document with one model, whose
// records are signed with the private key and whose owner has the public one.
func (f *fixture) document(public ed25519.PublicKey, private ed25519.PrivateKey) *revision.State {
	adapter := ""
	if f.hasAdapter {
		adapter = fmt.Sprintf("[[models.adapters]]\nname = \"hospital\"\nversion = \"v1\"\npath = \"rounds/hospital\"\ndigest = %q\n", f.adapter)
	}
	state := revision.New([]string{hex.EncodeToString(public)})
	batch := fuchsiarouter.Batch{}
	for offset, section := range []struct {
		name document.Section
		text string
	}{
		{document.SectionOwners, fmt.Sprintf("schema = 1\n[[owners]]\nteam = \"t\"\nsections = [\"owners\", \"fleet\", \"ranks\", \"models\", \"peaks\", \"servers\"]\nkeys = [%q]\n", hex.EncodeToString(public))},
		{document.SectionFleet, "schema = 1\nstore-region = \"norte\"\nwindow-s = 300\ndrain-deadline-s = 5\nclaim-window-s = 600\n[[regions]]\nname = \"norte\"\navailability-zones = [\"norte-a\"]\n"},
		{document.SectionRanks, "schema = 1\n[[ranks]]\nname = \"urgent\"\nfloor = 0.2\nfirst-token-ms = 1100\n[[ranks]]\nname = \"normal\"\nfloor = 0.2\nfirst-token-ms = 4000\n[[ranks]]\nname = \"overnight\"\nfloor = 0.1\nfirst-token-ms = 60000\npreemptible = true\n"},
		{document.SectionModels, fmt.Sprintf("schema = 1\n[[models]]\nname = \"rounds\"\nlive = \"v1\"\nreplicas = %d\n[[models.versions]]\nname = \"v1\"\npath = \"rounds/v1\"\ndigest = %q\n", f.replicas, f.digest) + adapter},
		{document.SectionPeaks, "schema = 1\n" + f.peaksSection},
		{document.SectionServers, "schema = 1\n" + f.serversSection},
	} {
		record := revision.Record{Kind: revision.KindEdit, Section: section.name, Content: section.text, Nonce: string(section.name)}
		record.Sign(private)
		data, err := record.Encode()
		f.Expect(err).NotTo(gomega.HaveOccurred())
		batch.Records = append(batch.Records, fuchsiarouter.Record{Offset: int64(offset), Time: time.Now(), Data: data})
		batch.NextOffset++
	}
	for _, outcome := range state.ApplyBatch(batch) {
		f.Expect(outcome.Verdict).To(gomega.Equal(revision.VerdictAccepted), outcome.Reason)
	}
	return state
}

// serveEngine is the handler of the fake engine.
func (f *fixture) serveEngine(w http.ResponseWriter, r *http.Request) {
	if f.statefulEngine != nil && f.statefulEngine.serve(w, r) {
		return
	}
	switch r.URL.Path {
	case "/status":
		fmt.Fprintf(w, `{"incarnation":1,"slots":4,"models":[{"model":"rounds","digest":%q,"state":"ready"}]}`, f.digest)
	case "/orders/commit":
		_ = json.NewEncoder(w).Encode(map[string]string{"digest": *f.reportedDigest.Load()})
	case "/v1/chat/completions":
		(*f.answer.Load())(w, r)
	case "/echo":
		_, _ = io.Copy(w, r.Body)
	}
}

// send sends a call for the version with the normal rank, as an entry does. It returns
// the name of the result in the answer's header, which is empty if the engine's answer
// is forwarded, and the body.
func (f *fixture) send(version string) (string, string) {
	return f.sendRank(version, document.Normal)
}

// sendRank is like send, with another rank.
func (f *fixture) sendRank(version string, rank document.RankName) (string, string) {
	request, response := f.request(version, "", rank), &fasthttp.Response{}
	f.Expect(fasthttp.Do(request, response)).To(gomega.Succeed())
	return string(response.Header.Peek(result.HeaderResult)), string(response.Body())
}

// request returns a call with this attempt ID. All calls share one request ID.
func (f *fixture) request(version, attemptID string, rank document.RankName) *fasthttp.Request {
	request := &fasthttp.Request{}
	call := dispatch.Call{
		RequestID: "r-1", AttemptID: attemptID, Workspace: "mopa", Rank: rank, Model: "rounds", Version: version, Idempotent: true,
		Stream: true, ExpectedTokens: 1, Deadline: time.Now().Add(5 * time.Second), Method: http.MethodPost,
		Path: "/v1/chat/completions", Body: []byte(`{"model":"rounds","stream":true}`),
	}
	call.Encode(request, f.agent.Address(), time.Now())
	return request
}

// writeEvent writes an event with one token of the answer to the request with the ID,
// as an engine does that runs the version with the digest.
func writeEvent(w http.ResponseWriter, id, digest, token string) {
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprintf(w, "data: {\"id\":%q,\"system_fingerprint\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, digest, token)
}

// setAnswer sets the engine's handler for generation requests.
func (f *fixture) setAnswer(handler http.HandlerFunc) { f.answer.Store(&handler) }

// TestVersionCheckedOnRequestAndEvents guards against a request that runs on
// another version than the one it names, and against events of another request or
// version that reach the caller.
func TestVersionCheckedOnRequestAndEvents(t *testing.T) {
	f := startAgent(t, "")
	f.setAnswer(func(w http.ResponseWriter, _ *http.Request) {
		writeEvent(w, "r-1", f.digest, "whole")
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
	f.Eventually(func() string { _, text := f.send(f.digest); return text }, "10s").
		Should(gomega.And(gomega.ContainSubstring("whole"), gomega.HaveSuffix("[DONE]\n\n")))
	code, text := f.send(strings.Repeat("0", 64))
	f.Expect(code).To(gomega.Equal(result.VersionNotLoaded.String()))
	f.Expect(text).To(gomega.ContainSubstring(`"ran":"no"`))

	for _, foreign := range []struct{ id, digest string }{{"r-2", f.digest}, {"r-1", "other"}} {
		f.setAnswer(func(w http.ResponseWriter, _ *http.Request) {
			writeEvent(w, "r-1", f.digest, "first")
			writeEvent(w, foreign.id, foreign.digest, "foreign")
			fmt.Fprint(w, "data: [DONE]\n\n")
		})
		_, text := f.send(f.digest)
		f.Expect(text).To(gomega.ContainSubstring("first"))
		f.Expect(text).NotTo(gomega.Or(gomega.ContainSubstring("foreign\""), gomega.ContainSubstring("[DONE]")))
		f.Expect(text).To(gomega.ContainSubstring("event: error"))
	}
}

// TestCompletionOfAnotherRequestIsRejected guards against a completion that is no stream and answers another request.
func TestCompletionOfAnotherRequestIsRejected(t *testing.T) {
	f := startAgent(t, "")
	complete := func(id string) {
		f.setAnswer(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			fmt.Fprintf(w, `{"id":%q,"system_fingerprint":%q,"text":"whole"}`, id, f.digest)
		})
	}
	complete("r-1")
	f.Eventually(func() string { _, text := f.send(f.digest); return text }, "10s").Should(gomega.ContainSubstring("whole"))
	complete("r-2")
	code, text := f.send(f.digest)
	f.Expect(code).To(gomega.Equal(result.ServerLost.String()))
	f.Expect(text).NotTo(gomega.ContainSubstring("whole"))
}

// TestForwardsFormUnchanged guards against parsing a multipart body and sending another one to the
// service.
func TestForwardsFormUnchanged(t *testing.T) {
	const form = "--b\r\nContent-Disposition: form-data; name=\"order\"\r\nContent-Type: application/json\r\n\r\n{}\r\n--b--\r\n"
	f := startAgent(t, "", func(f *fixture) { f.service = "booking" })
	call := dispatch.Call{
		RequestID: "r-1", Workspace: "mopa", Rank: document.Normal, Deadline: time.Now().Add(5 * time.Second), Method: http.MethodPost,
		Path: "/v1/services/booking/echo", ContentType: "multipart/form-data; boundary=b", Body: []byte(form),
	}
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	call.Encode(request, f.agent.Address(), time.Now())
	f.Expect(fasthttp.Do(request, response)).To(gomega.Succeed())
	f.Expect(string(response.Body())).To(gomega.Equal(form))
}

// TestUnverifiedVersion guards against a version that is served although the
// bytes that the engine loaded do not match the manifest.
func TestUnverifiedVersion(t *testing.T) {
	f := startAgent(t, strings.Repeat("1", 64))
	f.setAnswer(func(http.ResponseWriter, *http.Request) { t.Error("the engine got a request") })
	f.Consistently(func() string { code, _ := f.send(f.digest); return code }, "4s", "200ms").
		Should(gomega.Or(gomega.Equal(result.VersionNotLoaded.String()), gomega.Equal(result.NotReady.String())))
}

// TestDrain guards against a draining agent that accepts new work or cuts a
// stream.
func TestDrain(t *testing.T) {
	f := startAgent(t, "")
	arrived, release := make(chan struct{}, 64), make(chan struct{})
	f.setAnswer(func(w http.ResponseWriter, _ *http.Request) {
		writeEvent(w, "r-1", f.digest, "begun")
		w.(http.Flusher).Flush()
		arrived <- struct{}{}
		<-release
		writeEvent(w, "r-1", f.digest, "ended")
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
	answered := make(chan string, 1)
	go func() {
		for {
			code, text := f.send(f.digest)
			if code == "" {
				answered <- text
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	f.Eventually(arrived, "10s").Should(gomega.Receive())
	drained := make(chan bool, 1)
	go func() { drained <- f.agent.Drain() }()
	codes := make(chan string, 64)
	f.Eventually(func() string {
		// The agent may accept a request before it begins to drain, and answers it after release only.
		go func() { code, _ := f.send(f.digest); codes <- code }()
		select {
		case code := <-codes:
			return code
		case <-time.After(100 * time.Millisecond):
			return ""
		}
	}, "2s").Should(gomega.Equal(result.Leaving.String()))
	close(release)
	f.Eventually(answered, "5s").Should(gomega.Receive(gomega.And(gomega.ContainSubstring("ended"), gomega.HaveSuffix("[DONE]\n\n"))))
	f.Eventually(drained, "8s").Should(gomega.Receive(gomega.BeTrue()))
}

// TestEntryThatStartsLate guards against an entry that gets no heartbeats for 30 s because it
// started a moment after the agent: until then it knows the agent's load only through other
// entries, seconds late.
func TestEntryThatStartsLate(t *testing.T) {
	f := startAgent(t, "")
	f.Eventually(f.lateEntry.heartbeats.Load, "8s").Should(gomega.BeNumerically(">", 0))
}

// TestUrgentPreemptsOvernight guards against a request of the urgent rank that waits
// until one of the overnight rank ends. With every slot taken by an endless overnight
// stream, one of them must be cancelled.
func TestUrgentPreemptsOvernight(t *testing.T) {
	f := startAgent(t, "")
	arrived := make(chan struct{}, 64)
	var isTestOver atomic.Bool
	// Closing the agent waits for its streams.
	t.Cleanup(func() { isTestOver.Store(true) })
	f.setAnswer(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Priority") != "9" {
			writeEvent(w, "r-1", f.digest, "urgent")
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		arrived <- struct{}{}
		for r.Context().Err() == nil && !isTestOver.Load() {
			writeEvent(w, "r-1", f.digest, "overnight")
			w.(http.Flusher).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	})
	f.Eventually(func() string { _, text := f.send(f.digest); return text }, "10s").Should(gomega.HaveSuffix("[DONE]\n\n"))
	ended := make(chan string, 4)
	for range 4 {
		go func() {
			_, text := f.sendRank(f.digest, document.Overnight)
			ended <- text
		}()
	}
	for range 4 {
		f.Eventually(arrived, "5s").Should(gomega.Receive())
	}
	_, text := f.sendRank(f.digest, document.Urgent)
	f.Expect(text).To(gomega.HaveSuffix("[DONE]\n\n"))
	f.Eventually(ended, "5s").Should(gomega.Receive(gomega.ContainSubstring(`"name":"preempted"`)))
}

// TestCancelledWaitingCallDoesNotRun guards against a call that runs although its
// entry cancelled it or closed the connection while it waited, and against a
// cancellation that also removes another call with the same request ID.
func TestCancelledWaitingCallDoesNotRun(t *testing.T) {
	f := startAgent(t, "")
	var runs atomic.Int64
	release := make(chan struct{})
	releaseStreams := sync.OnceFunc(func() { close(release) })
	// Closing the agent waits for its streams.
	t.Cleanup(releaseStreams)
	f.setAnswer(func(w http.ResponseWriter, _ *http.Request) {
		if runs.Add(1) > 1 {
			<-release
		}
		writeEvent(w, "r-1", f.digest, "whole")
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
	f.Eventually(func() string { _, text := f.send(f.digest); return text }, "10s").Should(gomega.HaveSuffix("[DONE]\n\n"))
	ended := make(chan string, 8)
	for range 4 {
		go func() { _, text := f.send(f.digest); ended <- text }()
	}
	f.Eventually(runs.Load, "5s").Should(gomega.Equal(int64(5)))

	connection, err := net.Dial("tcp4", f.agent.Address())
	f.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = f.request(f.digest, "closed", document.Normal).WriteTo(connection)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	cancelled := make(chan string, 1)
	for _, call := range []struct {
		name string
		text chan string
	}{{"cancelled", cancelled}, {"stays", ended}} {
		go func() {
			response := &fasthttp.Response{}
			_ = fasthttp.Do(f.request(f.digest, call.name, document.Normal), response)
			call.text <- string(response.Body())
		}()
	}
	cancel := func(name string) func() int {
		return func() int {
			request, response := &fasthttp.Request{}, &fasthttp.Response{}
			request.SetRequestURI("http://" + f.agent.Address() + dispatch.CancelPathPrefix + name)
			request.Header.SetMethod(http.MethodDelete)
			f.Expect(fasthttp.Do(request, response)).To(gomega.Succeed())
			return response.StatusCode()
		}
	}
	queued := func() int {
		response := &fasthttp.Response{}
		f.Expect(fasthttp.Do(f.request("none", "", document.Normal), response)).To(gomega.Succeed())
		load, _ := dispatch.ParseLoad(string(response.Header.Peek(dispatch.HeaderLoad)))
		return load.Queued
	}
	f.Eventually(queued, "5s").Should(gomega.Equal(3))
	f.Expect(cancel("unknown")()).To(gomega.Equal(http.StatusNotFound))
	f.Eventually(cancel("cancelled"), "5s").Should(gomega.Equal(http.StatusNoContent))
	f.Eventually(cancelled, "5s").Should(gomega.Receive(gomega.ContainSubstring(`"name":"caller-left","message":"the caller left while the request waited in the queue","ran":"no"`)))
	f.Expect(connection.Close()).To(gomega.Succeed())
	f.Eventually(queued, "5s").Should(gomega.Equal(1))
	releaseStreams()
	for range 5 {
		f.Eventually(ended, "5s").Should(gomega.Receive(gomega.HaveSuffix("[DONE]\n\n")))
	}
	f.Consistently(runs.Load, "300ms").Should(gomega.Equal(int64(6)))
}
