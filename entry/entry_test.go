package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/sha256"
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
	"github.com/google/uuid"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/claim"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/entry"
	"github.com/fuchsiarouter/fuchsiarouter/fleet"
	"github.com/fuchsiarouter/fuchsiarouter/peer"
	"github.com/fuchsiarouter/fuchsiarouter/result"
	"github.com/fuchsiarouter/fuchsiarouter/revision"
	"github.com/fuchsiarouter/fuchsiarouter/settings"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
	"github.com/fuchsiarouter/fuchsiarouter/trace"
)

const (
	// token is the bearer token of the only workspace.
	token = "token-of-mopa"
	// model is the only model in the configuration.
	model = "rounds"
)

// digest is the digest of the only version of the model.
var digest = strings.Repeat("ab", 32)

// memoryPlatform is an in-memory implementation of the platform's log and VM list.
type memoryPlatform struct {
	// isLogDown makes appends fail. Reads still succeed.
	isLogDown atomic.Bool
	mu        sync.Mutex
	streams   map[string][]fuchsiarouter.Record
	// adapters are the digests of the adapters in the configuration, by name.
	adapters map[string]string
}

func (m *memoryPlatform) Append(_ context.Context, stream, _ string, data []byte) (int64, error) {
	if m.isLogDown.Load() {
		return 0, errors.New("down")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	offset := int64(len(m.streams[stream]))
	m.streams[stream] = append(m.streams[stream], fuchsiarouter.Record{Offset: offset, Time: time.Now(), Data: data})
	return offset, nil
}

func (m *memoryPlatform) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (fuchsiarouter.Batch, error) {
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		m.mu.Lock()
		records := m.streams[stream]
		m.mu.Unlock()
		if int64(len(records)) > from || time.Now().After(end) || ctx.Err() != nil {
			upTo := min(int64(len(records)), from+int64(limit))
			return fuchsiarouter.Batch{NextOffset: int64(len(records)), Records: records[from:upTo]}, ctx.Err()
		}
	}
}

// VMs implements fuchsiarouter.VMList. It always fails.
func (m *memoryPlatform) VMs(context.Context) ([]fuchsiarouter.VM, error) {
	return nil, errors.New("no list")
}

// publish appends an edit of each section, signed with the private key. sections holds the
// TOML text of each section.
func (m *memoryPlatform) publish(t *testing.T, private ed25519.PrivateKey, sections map[document.Section]string) {
	for _, section := range document.Sections() {
		content, ok := sections[section]
		if !ok {
			continue
		}
		record := revision.Record{Kind: revision.KindEdit, Section: section, Content: content, Nonce: string(section)}
		record.Sign(private)
		data, err := record.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := m.Append(t.Context(), revision.Stream, record.Nonce, data); err != nil {
			t.Fatal(err)
		}
	}
}

// fixture is an entry with a configuration and fake agents.
type fixture struct {
	*gomega.WithT
	t          *testing.T
	entry      *entry.Entry
	peerClient *peer.Client
	platform   *memoryPlatform
}

// startEntry starts an entry whose log contains a configuration. The functions in prepare
// may add to the platform before the entry starts. startEntry returns when the entry is
// ready; the entry is closed at the end of the test.
func startEntry(t *testing.T, prepare ...func(*memoryPlatform)) *fixture {
	f := &fixture{WithT: gomega.NewWithT(t), t: t, peerClient: peer.NewClient()}
	public, private, err := ed25519.GenerateKey(nil)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	key := hex.EncodeToString(public)
	hash := sha256.Sum256([]byte(token))
	store := &memoryPlatform{streams: map[string][]fuchsiarouter.Record{}}
	for _, fill := range prepare {
		fill(store)
	}
	adapters := ""
	for name, adapter := range store.adapters {
		adapters += fmt.Sprintf("[[models.adapters]]\nname = %q\nversion = \"v1\"\npath = \"rounds/%s\"\ndigest = %q\n", name, name, adapter)
	}
	store.publish(t, private, map[document.Section]string{
		document.SectionOwners: fmt.Sprintf("schema = 1\n[[owners]]\nteam = \"t\"\nsections = [\"fleet\", \"owners\", \"models\", \"ranks\", \"workspaces\", \"services\", \"peaks\", \"servers\"]\nkeys = [%q]\n", key),
		document.SectionFleet:  "schema = 1\nstore-region = \"norte\"\nwindow-s = 300\ndrain-deadline-s = 5\nclaim-window-s = 600\n[[regions]]\nname = \"norte\"\navailability-zones = [\"norte-a\"]\n",
		document.SectionModels: fmt.Sprintf("schema = 1\n[[models]]\nname = %q\nlive = \"v1\"\nreplicas = 2\n[[models.versions]]\nname = \"v1\"\npath = \"rounds/v1\"\ndigest = %q\n", model, digest) + adapters,
		document.SectionRanks:  "schema = 1\n[[ranks]]\nname = \"urgent\"\nfloor = 0.2\nfirst-token-ms = 1100\n[[ranks]]\nname = \"normal\"\nfloor = 0.2\nfirst-token-ms = 4000\n[[ranks]]\nname = \"overnight\"\nfloor = 0.1\nfirst-token-ms = 60000\npreemptible = true\n",
		document.SectionWorkspaces: fmt.Sprintf("schema = 1\n[[workspaces]]\nname = \"mopa\"\ntoken-hash = %q\nranks = [\"normal\"]\ndefault-rank = \"normal\"\n",
			hex.EncodeToString(hash[:])),
		document.SectionPeaks:    "schema = 1\n[[peaks]]\nmodel = \"rounds\"\nfrom = \"18:30\"\nuntil = \"23:00\"\nreplicas = 2\n",
		document.SectionServices: "schema = 1\n[[services]]\nname = \"booking\"\n",
	})
	f.platform = store
	tracer, err := trace.New(t.Context(), "entry", "entry-1", "")
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.entry, err = entry.New(settings.Entry{
		Common: settings.Common{
			ID: "entry-1", Region: "norte", AvailabilityZone: "norte-a", Address: "127.0.0.1:0",
			BootstrapKey: key, MaxBodyBytes: 64 << 10,
		},
		ControlAddress: "127.0.0.1:0", Capacity: 100,
	}, zap.NewNop(), tracer, telemetry.NewMetrics("entry"), store, store, nil)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(f.entry.Close)
	f.Eventually(func() int { return f.getStatus("/readyz") }, "5s").Should(gomega.Equal(http.StatusOK))
	return f
}

// getStatus returns the status of a GET request.
func (f *fixture) getStatus(path string) int {
	response, err := http.Get("http://" + f.entry.Address() + path)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.Expect(response.Body.Close()).To(gomega.Succeed())
	return response.StatusCode
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	// result is the value of the header result.HeaderResult. It is empty if the response is
	// that of an agent.
	result string
	text   string
}

// startAgent starts a fake agent that is ready with the model and with the adapters, and
// sends its heartbeats until the test ends. adapters are identities, see
// fuchsiarouter.JoinIdentity.
func (f *fixture) startAgent(id string, handler http.HandlerFunc, adapters ...string) {
	f.startBackend(id, "", handler, adapters...)
}

// startBackend starts a fake agent of the plain service with the name, or of the model and
// the adapters if service is empty, and sends its heartbeats until the test ends.
func (f *fixture) startBackend(id, service string, handler http.HandlerFunc, adapters ...string) {
	server := httptest.NewServer(handler)
	member := fuchsiarouter.Member{
		ID: id, Kind: fuchsiarouter.KindAgent, Incarnation: 1, Address: server.Listener.Addr().String(),
		Region: "norte", AvailabilityZone: "norte-a", State: fuchsiarouter.StateLive,
		Load:     fuchsiarouter.Load{Slots: 4},
		Versions: []fuchsiarouter.Version{{Model: model, Digest: digest, State: fuchsiarouter.VersionReady}},
	}
	for _, adapter := range adapters {
		member.Versions = append(member.Versions, fuchsiarouter.Version{Model: model, Digest: adapter, State: fuchsiarouter.VersionReady})
	}
	if service != "" {
		member.Service, member.Versions = service, nil
	}
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		for {
			_, _ = f.peerClient.Heartbeat(context.Background(), f.entry.ControlAddress(), peer.HeartbeatRequest{Member: member})
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	})
	f.t.Cleanup(func() { close(stop); done.Wait(); server.Close() })
}

// post sends a POST request with the token and a deadline of two seconds, and returns the
// response. headers are names, each followed by its value.
func (f *fixture) post(path, body string, headers ...string) callerResponse {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.entry.Address()+path, strings.NewReader(body))
	f.Expect(err).NotTo(gomega.HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+token)
	// Without a deadline, a request waits 10 s for a server if there is none.
	request.Header.Set("Fuchsiarouter-Deadline-Ms", "2000")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	return callerResponse{response.StatusCode, response.Header.Get(result.HeaderResult), string(text)}
}

// TestInvalidRequests checks that each kind of invalid request gets its own result, and
// that valid requests afterwards succeed.
func TestInvalidRequests(t *testing.T) {
	f := startEntry(t)
	const chat = "/v1/chat/completions"
	valid := `{"model":"rounds","messages":[]}`
	for _, bad := range []struct {
		path, body string
		headers    []string
		code       result.Code
	}{
		{chat, "{", nil, result.Malformed},
		{"/v2", valid, nil, result.Malformed},
		{chat, valid, []string{"Authorization", "Bearer wrong"}, result.Unauthenticated},
		{chat, valid, []string{"Authorization", "x"}, result.Unauthenticated},
		{chat, valid, []string{"Fuchsiarouter-Rank", "urgent"}, result.RankNotAllowed},
		{chat, valid, []string{"Fuchsiarouter-Deadline-Ms", "soon"}, result.Malformed},
		{chat, valid, []string{"Fuchsiarouter-Resume-Offset", "3"}, result.Malformed},
		{chat, `{"model":"other"}`, nil, result.UnknownModel},
		{chat, strings.Repeat("x", 65<<10), nil, result.BodyTooLarge},
		{"/v1/services/other/x", "", nil, result.UnknownService},
		{"/v1/services/booking/x", "", nil, result.KeyRequired},
		{"/v1/services/booking/x", "", []string{"Idempotency-Key", "1"}, result.KeyMalformed},
	} {
		got := f.post(bad.path, bad.body, bad.headers...)
		f.Expect(got.result).To(gomega.Equal(bad.code.String()), "%s %.40s %s", bad.path, bad.body, got.text)
		f.Expect(got.status).To(gomega.Equal(bad.code.HTTPStatus))
		f.Expect(got.text).To(gomega.ContainSubstring(`"ran":"no"`))
	}
	f.startAgent("agent-1", respondWithTokens(0, 3, true))
	f.Eventually(func() string { return f.post(chat, valid).text }, "8s").Should(gomega.ContainSubstring("t2"))
}

// TestBodyTooLargeAnsweredWhileSending checks that a caller that is still sending its
// body when the entry refuses it gets the result and not a broken connection.
func TestBodyTooLargeAnsweredWhileSending(t *testing.T) {
	f := startEntry(t)
	conn, err := net.Dial("tcp4", f.entry.Address())
	f.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	const piece, pieces = 16 << 10, 20
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n\r\n", piece*pieces)
	for range pieces {
		_, err := conn.Write(bytes.Repeat([]byte("x"), piece))
		f.Expect(err).NotTo(gomega.HaveOccurred())
		// The response is sent between two pieces.
		time.Sleep(10 * time.Millisecond)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	f.Expect(response.Header.Get(result.HeaderResult)).To(gomega.Equal(result.BodyTooLarge.String()))
}

// TestSharedPrefixGoesToOneServer checks that prompts with a common start are sent to the
// same server. Otherwise each server would compute the start again.
func TestSharedPrefixGoesToOneServer(t *testing.T) {
	f := startEntry(t)
	var mu sync.Mutex
	served := map[string]int{}
	for _, id := range []string{"agent-1", "agent-2", "agent-3", "agent-4"} {
		respond := respondWithTokens(0, 1, true)
		f.startAgent(id, func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			served[id]++
			mu.Unlock()
			respond(w, r)
		})
	}
	sendAll := func(firstMessage string) int {
		clear(served)
		for number := range 20 {
			body := fmt.Sprintf(`{"model":"rounds","messages":[{"role":"system","content":%q},{"role":"user","content":"%d"}]}`, firstMessage, number)
			f.post("/v1/chat/completions", body)
		}
		mu.Lock()
		defer mu.Unlock()
		return len(served)
	}
	f.Eventually(func() int { return sendAll("short") }, "8s").Should(gomega.Equal(4))
	f.Eventually(func() int { return sendAll(strings.Repeat("instruction ", 100)) }, "8s").Should(gomega.Equal(1))
}

// respondWithTokens returns a handler that streams the tokens "t0", "t1" and so on, up to the
// given number, beginning at the offset that the entry requests. Unless isComplete is set, it
// aborts the connection before the token with the number abortBefore. A request that isn't for
// a stream gets three tokens.
func respondWithTokens(abortBefore, tokens int, isComplete bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		offset := 0
		_, _ = fmt.Sscan(r.Header.Get("Fuchsiarouter-Offset"), &offset)
		id := r.Header.Get("Fuchsiarouter-Request-Id")
		if r.Header.Get("Fuchsiarouter-Stream") != "true" {
			fmt.Fprintf(w, `{"id":%q,"text":"t0t1t2"}`, id)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := offset; i < tokens; i++ {
			if !isComplete && i == abortBefore {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"t%d\"}}]}\n\n", id, i)
			w.(http.Flusher).Flush()
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

// TestStreamResumesAfterServerLoss checks that a stream is neither truncated nor repeats tokens
// if its server is lost: one of two agents aborts every stream after two tokens, and
// every response must still be complete.
func TestStreamResumesAfterServerLoss(t *testing.T) {
	f := startEntry(t)
	f.startAgent("agent-1", respondWithTokens(2, 6, false))
	f.startAgent("agent-2", respondWithTokens(0, 6, true))
	f.Eventually(func() string {
		text := f.post("/v1/chat/completions", `{"model":"rounds","stream":true}`).text
		return text
	}, "8s").Should(gomega.ContainSubstring("[DONE]"))
	for i := range 20 {
		text := f.post("/v1/chat/completions", fmt.Sprintf(`{"model":"rounds","stream":true,"n":%d}`, i)).text
		f.Expect(contentOf(text)).To(gomega.Equal("t0t1t2t3t4t5"), text)
		f.Expect(text).To(gomega.HaveSuffix("data: [DONE]\n\n"))
	}
}

// TestCutStreamHasNoEndMarker checks that a truncated stream doesn't look complete if
// there is no other server: it ends with an error event and without the end marker.
func TestCutStreamHasNoEndMarker(t *testing.T) {
	f := startEntry(t)
	f.startAgent("agent-1", respondWithTokens(2, 6, false))
	f.Eventually(func() string {
		text := f.post("/v1/chat/completions", `{"model":"rounds","stream":true}`).text
		return text
	}, "8s").Should(gomega.ContainSubstring("t1"))
	text := f.post("/v1/chat/completions", `{"model":"rounds","stream":true,"n":1}`).text
	f.Expect(text).NotTo(gomega.ContainSubstring("[DONE]"))
}

// TestRefusalAfterPossibleRun checks that the refusal of a later attempt doesn't hide an
// earlier attempt that may have run the request: the caller must not be told that the
// request did not run.
func TestRefusalAfterPossibleRun(t *testing.T) {
	f := startEntry(t)
	var runs atomic.Int64
	f.startAgent("agent-1", func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	})
	f.startAgent("agent-2", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(result.HeaderResult, result.QueueFull.String())
		w.WriteHeader(result.QueueFull.HTTPStatus)
		_, _ = w.Write(result.QueueFull.Error("full").Body())
	})
	f.Eventually(func() string { return f.post("/v1/chat/completions", `{"model":"rounds"}`).result }, "8s").
		ShouldNot(gomega.Equal(result.NoServer.String()))
	for i := range 10 {
		before := runs.Load()
		got := f.post("/v1/chat/completions", fmt.Sprintf(`{"model":"rounds","n":%d}`, i))
		if runs.Load() > before {
			f.Expect(got.text).To(gomega.ContainSubstring(`"ran":"maybe"`))
		}
	}
	f.Expect(runs.Load()).To(gomega.BeNumerically(">", 0))
}

// TestCallerResumesStream checks that a caller can continue a stream at another entry by
// sending the version that generated the stream and the number of tokens that it has.
func TestCallerResumesStream(t *testing.T) {
	f := startEntry(t)
	f.startAgent("agent-1", respondWithTokens(0, 6, true))
	f.Eventually(func() string {
		text := f.post("/v1/chat/completions", `{"model":"rounds","stream":true}`,
			"Fuchsiarouter-Resume-Offset", "4", "Fuchsiarouter-Version", digest).text
		return contentOf(text)
	}, "8s").Should(gomega.Equal("t4t5"))
}

// contentOf returns the concatenated tokens of a streamed response: the first "content"
// value of each line of text.
func contentOf(text string) string {
	var all bytes.Buffer
	scanner := bufio.NewScanner(strings.NewReader(text))
	for scanner.Scan() {
		_, rest, ok := strings.Cut(scanner.Text(), `"content":"`)
		if ok {
			content, _, _ := strings.Cut(rest, `"`)
			all.WriteString(content)
		}
	}
	return all.String()
}

// TestIssuedKeyWithoutLog checks that calls that must not run twice continue during an
// outage of the log if their keys were issued by the entry, which then decides without the
// log whether they may run, and that such a call doesn't run twice.
func TestIssuedKeyWithoutLog(t *testing.T) {
	f := startEntry(t)
	var runs atomic.Int64
	f.startBackend("agent-booking", "booking", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"run":%d}`, runs.Add(1))
	})
	const path = "/v1/services/booking/x"
	f.platform.isLogDown.Store(true)
	var issued struct{ Key string }
	f.Expect(json.Unmarshal([]byte(f.post("/v1/keys", "").text), &issued)).To(gomega.Succeed())
	f.Expect(f.post(path, "", "Idempotency-Key", issued.Key).text).To(gomega.Equal(`{"run":1}`))
	f.Expect(f.post(path, "", "Idempotency-Key", issued.Key).text).To(gomega.Equal(`{"run":1}`))
	f.Expect(f.post(path, "other", "Idempotency-Key", issued.Key).result).To(gomega.Equal(result.KeyReused.String()))

	callerKey, err := uuid.NewV7()
	f.Expect(err).NotTo(gomega.HaveOccurred())
	refused := f.post(path, "", "Idempotency-Key", callerKey.String(), "Fuchsiarouter-First-Send", "true")
	f.Expect(refused.result).To(gomega.Equal(result.LogUnavailable.String()))

	unknownIssuerKey := claim.NewIssuedKey(claim.IssuerIDOf(claim.Holder{ID: "entry-9", Incarnation: 1}), time.Now(), 1)
	f.Expect(f.post(path, "", "Idempotency-Key", unknownIssuerKey.String()).result).To(gomega.Equal(result.MayHaveRun.String()))
	f.Expect(runs.Load()).To(gomega.Equal(int64(1)))
}

// TestRepeatedForm guards against parsing a multipart body: it would reach the service changed, and
// a repetition of the call, whose fields then have another order, would count as another call.
func TestRepeatedForm(t *testing.T) {
	const (
		path        = "/v1/services/booking/x"
		contentType = "multipart/form-data; boundary=b"
	)
	var form strings.Builder
	for field := range 6 {
		fmt.Fprintf(&form, "--b\r\nContent-Disposition: form-data; name=\"f%d\"\r\nContent-Type: text/plain\r\n\r\n%d\r\n", field, field)
	}
	form.WriteString("--b--\r\n")
	f := startEntry(t)
	var runs atomic.Int64
	f.startBackend("agent-booking", "booking", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		runs.Add(1)
		_, _ = w.Write(body)
	})
	var issued struct{ Key string }
	f.Expect(json.Unmarshal([]byte(f.post("/v1/keys", "").text), &issued)).To(gomega.Succeed())
	for range 3 {
		f.Expect(f.post(path, form.String(), "Idempotency-Key", issued.Key, "Content-Type", contentType).text).To(gomega.Equal(form.String()))
	}
	f.Expect(runs.Load()).To(gomega.Equal(int64(1)))
}

// TestDrainFinishesRequests checks that a draining entry completes a request in progress
// and refuses new ones.
func TestDrainFinishesRequests(t *testing.T) {
	f := startEntry(t)
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	f.startAgent("agent-1", func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		respondWithTokens(0, 3, true)(w, r)
	})
	f.Eventually(func() int { return f.getStatus("/v1/entries") }, "5s").Should(gomega.Equal(http.StatusOK))
	answered := make(chan string, 1)
	go func() {
		text := f.post("/v1/chat/completions", `{"model":"rounds"}`).text
		answered <- text
	}()
	f.Eventually(arrived, "8s").Should(gomega.Receive())
	drained := make(chan bool, 1)
	go func() { drained <- f.entry.Drain() }()
	f.Eventually(func() string {
		return f.post("/v1/chat/completions", `{"model":"rounds"}`).result
	}, "5s").Should(gomega.Equal(result.Leaving.String()))
	close(release)
	f.Eventually(answered, "5s").Should(gomega.Receive(gomega.ContainSubstring("t2")))
	f.Eventually(drained, "10s").Should(gomega.Receive(gomega.BeTrue()))
}

// TestShortHeartbeats checks that an entry doesn't accept a short heartbeat of a member whose
// incarnation it doesn't know: of an agent, a short heartbeat holds only the id, the
// incarnation and the load. It also checks that an agent that has the list of members
// receives only changes of the list.
func TestShortHeartbeats(t *testing.T) {
	f := startEntry(t)
	send := func(request peer.HeartbeatRequest) peer.HeartbeatResponse {
		response, err := f.peerClient.Heartbeat(t.Context(), f.entry.ControlAddress(), request)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		return response
	}
	member := fuchsiarouter.Member{ID: "agent-1", Kind: fuchsiarouter.KindAgent, Incarnation: 1, State: fuchsiarouter.StateLive}
	shortHeartbeat := fleet.NewShortHeartbeat(member)
	f.Expect(send(peer.HeartbeatRequest{ShortHeartbeat: &shortHeartbeat}).NeedsFullMember).To(gomega.BeTrue())
	full := send(peer.HeartbeatRequest{Member: member})
	f.Expect(full.IsFullPeerList).To(gomega.BeTrue())
	f.Expect(full.Peers).To(gomega.HaveLen(1), "the entry itself")
	f.Expect(full.Revisions).NotTo(gomega.BeEmpty())
	again := send(peer.HeartbeatRequest{ShortHeartbeat: &shortHeartbeat, KnownPeerList: full.PeerListVersion})
	f.Expect(again.NeedsFullMember || again.IsFullPeerList).To(gomega.BeFalse())
	f.Expect(again.Revisions).NotTo(gomega.BeEmpty(), "the agent is still behind")

	other := member
	other.ID = "agent-2"
	send(peer.HeartbeatRequest{Member: other, KnownPeerList: peer.NoPeerList})
	var changed peer.HeartbeatResponse
	f.Eventually(func() []fuchsiarouter.Member {
		changed = send(peer.HeartbeatRequest{ShortHeartbeat: &shortHeartbeat, KnownPeerList: full.PeerListVersion})
		return changed.Peers
	}, "5s").Should(gomega.ContainElement(gomega.HaveField("ID", "agent-2")))
	f.Expect(changed.IsFullPeerList).To(gomega.BeFalse())
	f.Expect(send(peer.HeartbeatRequest{ShortHeartbeat: &shortHeartbeat, KnownPeerList: 7}).IsFullPeerList).To(gomega.BeTrue(), "a list version from before a restart")
	shortHeartbeat.Incarnation = 2
	f.Expect(send(peer.HeartbeatRequest{ShortHeartbeat: &shortHeartbeat}).NeedsFullMember).To(gomega.BeTrue(), "a restarted agent")
}

// TestDrainIsNotForALaterProcess guards against a drain request that stops a later process on the VM.
func TestDrainIsNotForALaterProcess(t *testing.T) {
	f := startEntry(t)
	isLeaving := func(incarnation int64) bool {
		member := fuchsiarouter.Member{ID: "agent-1", Kind: fuchsiarouter.KindAgent, Incarnation: incarnation, State: fuchsiarouter.StateLive}
		response, err := f.peerClient.Heartbeat(t.Context(), f.entry.ControlAddress(), peer.HeartbeatRequest{Member: member})
		f.Expect(err).NotTo(gomega.HaveOccurred())
		return response.Leaving
	}
	drain := func() {
		_, err := f.peerClient.Drain(t.Context(), f.entry.ControlAddress(), peer.DrainRequest{ID: "agent-1", Incarnation: 1})
		f.Expect(err).NotTo(gomega.HaveOccurred())
	}
	f.Expect(isLeaving(1)).To(gomega.BeFalse())
	drain()
	f.Expect(isLeaving(1)).To(gomega.BeTrue())
	f.Expect(isLeaving(2)).To(gomega.BeFalse(), "drained before the start")
	drain()
	f.Expect(isLeaving(2)).To(gomega.BeFalse(), "an earlier drain request that is executed late")
}

// TestForwardedCallDoesNotRunAfterNotRun guards against a forwarded call that runs after its key was answered "did not run".
func TestForwardedCallDoesNotRunAfterNotRun(t *testing.T) {
	f := startEntry(t)
	const path = "/v1/services/booking/x"
	issueKey := func() string {
		var issued struct{ Key string }
		f.Expect(json.Unmarshal([]byte(f.post("/v1/keys", "").text), &issued)).To(gomega.Succeed())
		return issued.Key
	}
	forward := func(key, offset string) callerResponse {
		return f.post(path, "", "Idempotency-Key", key, "Fuchsiarouter-Forwarded", "entry-2", "Fuchsiarouter-Key-Offset", offset)
	}
	keyOffset := func() string {
		response, err := http.Get("http://" + f.entry.Address() + "/v1/keys/offset")
		f.Expect(err).NotTo(gomega.HaveOccurred())
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		return string(text)
	}
	key, offset := issueKey(), keyOffset()
	f.Expect(f.post(path, "", "Idempotency-Key", key).text).To(gomega.ContainSubstring(`"ran":"no"`), "no server is ready")

	var runs atomic.Int64
	f.startBackend("agent-booking", "booking", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, `{"run":%d}`, runs.Add(1)) })
	f.Expect(forward(issueKey(), keyOffset()).text).To(gomega.Equal(`{"run":1}`))
	f.Expect(forward(key, offset).text).To(gomega.ContainSubstring(`"ran":"no"`))
	f.Expect(runs.Load()).To(gomega.Equal(int64(1)))
	f.Expect(f.post(path, "", "Idempotency-Key", key).text).To(gomega.Equal(`{"run":2}`), "a later send")
}

// TestForwardsToIssuerWithItsOffset guards against a forwarded call without the offset that its issuer had before.
func TestForwardsToIssuerWithItsOffset(t *testing.T) {
	f := startEntry(t)
	issuer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/keys/offset" {
			fmt.Fprint(w, "7")
			return
		}
		fmt.Fprint(w, r.Header.Get("Fuchsiarouter-Forwarded"), " ", r.Header.Get("Fuchsiarouter-Key-Offset"))
	}))
	t.Cleanup(issuer.Close)
	holder := claim.Holder{ID: "entry-2", Incarnation: 1}
	member := fuchsiarouter.Member{
		ID: holder.ID, Kind: fuchsiarouter.KindEntry, Incarnation: holder.Incarnation, Address: issuer.Listener.Addr().String(),
		Region: "norte", AvailabilityZone: "norte-a", State: fuchsiarouter.StateLive,
	}
	_, err := f.peerClient.Heartbeat(t.Context(), f.entry.ControlAddress(), peer.HeartbeatRequest{Member: member})
	f.Expect(err).NotTo(gomega.HaveOccurred())
	key := claim.NewIssuedKey(claim.IssuerIDOf(holder), time.Now(), 1)
	f.Expect(f.post("/v1/services/booking/x", "", "Idempotency-Key", key.String()).text).To(gomega.Equal("entry-1 7"))
}
