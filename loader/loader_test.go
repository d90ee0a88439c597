package loader_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/availability"
	"github.com/fuchsiarouter/fuchsiarouter/catalog"
	"github.com/fuchsiarouter/fuchsiarouter/loader"
	"github.com/fuchsiarouter/fuchsiarouter/roster"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
)

const (
	pieceCount  = 24
	model       = "m"
	testTimeout = 10 * time.Second
)

// fakeFleet is an in-memory registry and origin, and the set of the engines of a test. Each
// engine has its own loopback address, and all loaders use the same port.
type fakeFleet struct {
	mu      sync.Mutex
	servers map[string]*catalog.Server
	// version is the declared version.
	version int
	// lastOffset is the offset of the latest change, lastOffsets that of the latest change
	// of each topic.
	lastOffset  int64
	lastOffsets map[fuchsiarouter.Topic]int64
	port        int
	// downloadsByPiece counts the downloads of each piece from the origin.
	downloadsByPiece map[int]int
	// corruptNext is the number of pieces that the origin still sends corrupted.
	corruptNext int
	originDown  bool
	// firstServed is the oldest version that the origin still has.
	firstServed int
	// manifestReads counts the reads of manifests from the origin.
	manifestReads int
	// silentUntil is when the engines begin to answer.
	silentUntil time.Time
	// serversDelay is how long each read of the list of servers takes.
	serversDelay time.Duration
	// entryAddress is the peer address of the only entry, empty if there is none.
	entryAddress string
}

func newFakeFleet(t *testing.T) *fakeFleet {
	listener, err := net.Listen("tcp", "127.0.0.2:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	return &fakeFleet{
		servers: map[string]*catalog.Server{}, version: 1, lastOffsets: map[fuchsiarouter.Topic]int64{},
		port: listener.Addr().(*net.TCPAddr).Port, downloadsByPiece: map[int]int{},
	}
}

// content returns the valid content of a piece.
func content(version, piece int) []byte {
	return fmt.Appendf(nil, "piece %d of version %d", piece, version)
}

func (f *fakeFleet) Read(topic fuchsiarouter.Topic, from fuchsiarouter.Position, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	for deadline := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		batch, err := f.ReadNewest(topic)
		if err != nil {
			return batch, err
		}
		f.mu.Lock()
		offset := f.lastOffsets[topic]
		f.mu.Unlock()
		batch.End = offset + 1
		if offset >= from.Offset {
			for i := range batch.Records {
				batch.Records[i].Offset = offset
			}
			return batch, nil
		}
		if !time.Now().Before(deadline) {
			return fuchsiarouter.KeyedBatch{End: offset + 1}, nil
		}
	}
}

func (f *fakeFleet) ReadNewest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if delay := f.serversDelay; topic == fuchsiarouter.TopicServers && delay > 0 {
		f.mu.Unlock()
		time.Sleep(delay)
		f.mu.Lock()
	}
	batch := fuchsiarouter.KeyedBatch{End: f.lastOffsets[topic] + 1}
	switch topic {
	case fuchsiarouter.TopicOperator:
		batch.Records = []fuchsiarouter.KeyedRecord{{Key: "config", Value: []byte("1")}, {Key: model, Value: []byte(strconv.Itoa(f.version))}}
	case fuchsiarouter.TopicEntries:
		if f.entryAddress != "" {
			value, err := json.Marshal(roster.Entry{Name: "e", PeerAddress: f.entryAddress, AvailabilityZone: "a"})
			if err != nil {
				return batch, err
			}
			batch.Records = []fuchsiarouter.KeyedRecord{{Key: "e", Value: value}}
		}
	case fuchsiarouter.TopicServers:
		for id, server := range f.servers {
			value, err := json.Marshal(server)
			if err != nil {
				return batch, err
			}
			batch.Records = append(batch.Records, fuchsiarouter.KeyedRecord{Key: id, Value: value})
		}
	}
	return batch, nil
}

func (f *fakeFleet) Put(fuchsiarouter.Topic, string, []byte) (int64, error) { return 0, nil }

func (f *fakeFleet) DecodeOperatorChange(record fuchsiarouter.KeyedRecord) (fuchsiarouter.OperatorChange, error) {
	if record.Key == "config" {
		configuration := catalog.NewConfiguration(1, catalog.Limits{})
		configuration.Services["llm"] = &catalog.Service{Name: "llm", Engine: &catalog.Engine{Models: []string{model}, Pieces: pieceCount}}
		configuration.Services["origin"] = &catalog.Service{Name: "origin", OriginAddress: "origin", AvailabilityZone: "a"}
		return fuchsiarouter.OperatorChange{Configuration: configuration}, nil
	}
	version, err := strconv.Atoi(string(record.Value))
	return fuchsiarouter.OperatorChange{Model: record.Key, Version: version}, err
}

func (f *fakeFleet) DecodeServer(record fuchsiarouter.KeyedRecord) (*catalog.Server, error) {
	server := &catalog.Server{}
	return server, json.Unmarshal(record.Value, server)
}

func (f *fakeFleet) Manifest(_, name string, version int) (fuchsiarouter.PieceManifest, error) {
	f.mu.Lock()
	f.manifestReads++
	f.mu.Unlock()
	manifest := fuchsiarouter.PieceManifest{Model: name, Version: version}
	for piece := range pieceCount {
		sum := sha256.Sum256(content(version, piece))
		manifest.Digests = append(manifest.Digests, hex.EncodeToString(sum[:]))
	}
	return manifest, nil
}

func (f *fakeFleet) Piece(_, _ string, version, piece int) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.originDown {
		return nil, errors.New("origin down")
	}
	if version < f.firstServed {
		return nil, errors.New("version gone")
	}
	f.downloadsByPiece[piece]++
	if f.corruptNext > 0 {
		f.corruptNext--
		return []byte("corrupt"), nil
	}
	return content(version, piece), nil
}

// update changes the fleet and publishes the change to the readers of the topic.
func (f *fakeFleet) update(topic fuchsiarouter.Topic, change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.lastOffset++
	f.lastOffsets[topic] = f.lastOffset
}

// originDownloads returns the number of pieces that were downloaded from the origin,
// counting repeated downloads.
func (f *fakeFleet) originDownloads() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, times := range f.downloadsByPiece {
		total += times
	}
	return total
}

// fakeEngine is an in-memory model engine that loads immediately.
type fakeEngine struct {
	fleet *fakeFleet
	id    string
	// startedAt is the Unix time of its start in milliseconds.
	startedAt int64
	mu        sync.Mutex
	staged    map[int][]byte
	// version is the loaded version, 0 if there is none.
	version        int
	leaving        bool
	acceptedOrders int64
	// readDelay is how long each read of a staged piece takes.
	readDelay time.Duration
	// corruptLoads counts the corrupt or missing pieces of all loads.
	corruptLoads int
}

func (e *fakeEngine) Report() (fuchsiarouter.EngineReport, error) {
	e.fleet.mu.Lock()
	silentUntil := e.fleet.silentUntil
	e.fleet.mu.Unlock()
	if time.Now().Before(silentUntil) {
		return fuchsiarouter.EngineReport{}, errors.New("no answer")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	report := fuchsiarouter.EngineReport{AcceptedOrders: e.acceptedOrders, LoadedVersions: map[string]int{}, StartedAt: e.startedAt, Leaving: e.leaving}
	if e.version > 0 {
		report.LoadedVersions[model] = e.version
	}
	return report, nil
}

func (e *fakeEngine) StagedPieces(string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var held []int
	for piece := range e.staged {
		held = append(held, piece)
	}
	return held, nil
}

func (e *fakeEngine) ReadStagedPiece(_ string, piece int) ([]byte, error) {
	e.mu.Lock()
	delay := e.readDelay
	e.mu.Unlock()
	time.Sleep(delay)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.staged[piece], nil
}

func (e *fakeEngine) StagePiece(_ string, piece int, content []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[piece] = content
	return nil
}

func (e *fakeEngine) OpenOrder() (fuchsiarouter.EngineOrder, error) { return e, nil }

func (e *fakeEngine) Close() error { return nil }

func (e *fakeEngine) StartLoad(_ string, version int, expected int64) (fuchsiarouter.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if expected != e.acceptedOrders {
		return fuchsiarouter.OrderRefused, nil
	}
	for piece := range pieceCount {
		if string(e.staged[piece]) != string(content(version, piece)) {
			e.corruptLoads++
		}
	}
	e.acceptedOrders++
	e.version = version
	e.fleet.update(fuchsiarouter.TopicServers, func() {
		server := *e.fleet.servers[e.id]
		server.Versions = map[string]int{model: version}
		e.fleet.servers[e.id] = &server
	})
	return fuchsiarouter.OrderStarted, nil
}

func (e *fakeEngine) state() (version, corruptLoads int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, e.corruptLoads
}

// addEngine starts an engine and its loader at 127.0.0.hostNumber. If loaded is set, the
// engine holds version 1.
func (f *fakeFleet) addEngine(t *testing.T, hostNumber int, zone string, loaded bool) *fakeEngine {
	g := gomega.NewWithT(t)
	ip := fmt.Sprintf("127.0.0.%d", hostNumber)
	added := &fakeEngine{fleet: f, id: "i" + ip, startedAt: time.Now().UnixMilli(), staged: map[int][]byte{}}
	server := &catalog.Server{ID: added.id, Service: "llm", Address: ip + ":9", AvailabilityZone: zone, Versions: map[string]int{}}
	if loaded {
		added.version = 1
		server.Versions[model] = 1
		for piece := range pieceCount {
			added.staged[piece] = content(1, piece)
		}
	}
	f.update(fuchsiarouter.TopicServers, func() { f.servers[added.id] = server })
	daemon, err := loader.New(loader.Settings{
		Name: ip, IP: ip, AvailabilityZone: zone, Region: zone, EngineAddress: ip + ":9", Service: "llm",
		VersionDeadline: time.Second, LinkBandwidth: 1 << 20, PieceAddress: fmt.Sprintf("%s:%d", ip, f.port), PeerPort: f.port,
	}, f, added, f, zap.NewNop(), telemetry.NewMetrics("loader"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { daemon.Drain() })
	return added
}

// versions returns a function that returns the loaded version of each engine.
func versions(engines ...*fakeEngine) func() []int {
	return func() []int {
		var result []int
		for _, engine := range engines {
			version, _ := engine.state()
			result = append(result, version)
		}
		return result
	}
}

// TestAddedEngineFetchesFromPeers guards against the loader of an added engine that
// downloads pieces from the origin although nearby engines have them staged.
func TestAddedEngineFetchesFromPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeFleet(t)
	f.addEngine(t, 2, "a", true)
	f.addEngine(t, 3, "a", true)
	added := f.addEngine(t, 4, "a", false)
	g.Eventually(versions(added), testTimeout).Should(gomega.Equal([]int{1}))
	_, corruptLoads := added.state()
	g.Expect(corruptLoads).To(gomega.BeZero())
	g.Expect(f.originDownloads()).To(gomega.BeZero())
}

// TestServersAreReadBeforeFetching guards against a starting loader that does not know the
// other engines yet and downloads from the origin pieces that these engines hold.
func TestServersAreReadBeforeFetching(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeFleet(t)
	f.addEngine(t, 2, "a", true)
	time.Sleep(100 * time.Millisecond)
	f.mu.Lock()
	f.serversDelay = 300 * time.Millisecond
	f.mu.Unlock()
	added := f.addEngine(t, 3, "a", false)
	g.Eventually(versions(added), testTimeout).Should(gomega.Equal([]int{1}))
	g.Expect(f.originDownloads()).To(gomega.BeZero())
}

// TestStartReadsNoManifests guards against loaders that all read the manifest of the version
// that their engines hold from the origin, because the engines answer later than they do.
func TestStartReadsNoManifests(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeFleet(t)
	f.silentUntil = time.Now().Add(time.Second)
	for i := range 4 {
		f.addEngine(t, 2+i, "a", true)
	}
	g.Consistently(func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.manifestReads
	}, "1500ms").Should(gomega.BeZero())
}

// TestRolloutLimitsOriginDownloads checks that the loaders together download a new version
// from the origin at most one and a half times, and that no engine loads corrupt pieces
// when the origin sends some.
func TestRolloutLimitsOriginDownloads(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeFleet(t)
	var engines []*fakeEngine
	for i, zone := range []string{"a", "a", "b", "b", "c"} {
		engines = append(engines, f.addEngine(t, 2+i, zone, true))
	}
	time.Sleep(time.Second)
	f.update(fuchsiarouter.TopicOperator, func() { f.version, f.corruptNext = 2, 3 })
	g.Eventually(versions(engines...), testTimeout).Should(gomega.Equal([]int{2, 2, 2, 2, 2}))
	for _, engine := range engines {
		_, corruptLoads := engine.state()
		g.Expect(corruptLoads).To(gomega.BeZero())
	}
	g.Expect(f.originDownloads()).To(gomega.BeNumerically("<=", pieceCount*3/2))
}

// TestCorruptStagedPiecesAreNotLoaded guards against a load order for pieces that became
// corrupt after they were staged.
func TestCorruptStagedPiecesAreNotLoaded(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeFleet(t)
	holder := f.addEngine(t, 2, "a", true)
	holder.mu.Lock()
	for piece := range pieceCount / 2 {
		holder.staged[piece] = []byte("corrupt")
	}
	holder.mu.Unlock()
	added := f.addEngine(t, 3, "a", false)
	g.Eventually(versions(added), testTimeout).Should(gomega.Equal([]int{1}))
	_, corruptLoads := added.state()
	g.Expect(corruptLoads).To(gomega.BeZero())
}

// TestEngineRestartReusesStagedPieces guards against fetching pieces again that are still
// staged on the machine after an engine crash.
func TestEngineRestartReusesStagedPieces(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeFleet(t)
	crashed := f.addEngine(t, 2, "a", true)
	crashed.mu.Lock()
	crashed.version, crashed.acceptedOrders = 0, 0
	crashed.mu.Unlock()
	f.update(fuchsiarouter.TopicServers, func() {
		server := *f.servers[crashed.id]
		server.Versions = nil
		f.servers[crashed.id] = &server
		f.originDown = true
	})
	g.Eventually(versions(crashed), testTimeout).Should(gomega.Equal([]int{1}))
	g.Expect(f.originDownloads()).To(gomega.BeZero())
}

// TestLeavingEngineIsAnnounced guards against entries that learn too late, while the registry is
// down, that an engine without requests leaves, and against announcing it of the next incarnation.
func TestLeavingEngineIsAnnounced(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeFleet(t)
	entry, err := net.ListenPacket("udp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = entry.Close() })
	f.entryAddress = entry.LocalAddr().String()
	engine := f.addEngine(t, 2, "a", true)
	engine.mu.Lock()
	engine.leaving = true
	engine.mu.Unlock()
	g.Expect(entry.SetReadDeadline(time.Now().Add(testTimeout))).To(gomega.Succeed())
	buffer := make([]byte, 1<<10)
	read := func() *roster.Message {
		n, _, err := entry.ReadFrom(buffer)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		message, err := roster.Decode(buffer[:n])
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return message
	}
	message := read()
	for message.LeavingEngine == nil {
		message = read()
	}
	g.Expect(*message.LeavingEngine).To(gomega.Equal(availability.Server{Address: "127.0.0.2:9", Started: engine.startedAt}))
	// The engine is started again, and does not say when.
	engine.mu.Lock()
	engine.leaving, engine.version = false, 0
	engine.mu.Unlock()
	for message.Engine == nil || len(message.Engine.Versions) > 0 {
		message = read()
	}
	// An announcement that has begun may end after the first one of the new state.
	for range 3 {
		read()
	}
	for range 4 {
		g.Expect(read().LeavingEngine).To(gomega.BeNil())
	}
}

// TestSourceChangesVersionDuringRequest guards against a piece that is never requested again after a failed request.
func TestSourceChangesVersionDuringRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeFleet(t)
	source := f.addEngine(t, 2, "a", true)
	source.mu.Lock()
	// An offer and a piece together take longer than the loader needs to learn of the new version.
	source.readDelay = 700 * time.Millisecond
	for piece := range pieceCount {
		source.staged[piece] = []byte("corrupt")
	}
	source.mu.Unlock()
	added := f.addEngine(t, 3, "a", false)
	time.Sleep(300 * time.Millisecond)
	f.update(fuchsiarouter.TopicServers, func() {
		server := *f.servers[source.id]
		server.Versions = map[string]int{model: 2}
		f.servers[source.id] = &server
	})
	g.Eventually(versions(added), 2*testTimeout).Should(gomega.Equal([]int{1}))
}

// TestVersionThatOriginDroppedIsAbandoned guards against a loader that asks the origin forever for a version that is gone.
func TestVersionThatOriginDroppedIsAbandoned(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeFleet(t)
	engine := f.addEngine(t, 2, "a", true)
	g.Eventually(versions(engine), testTimeout).Should(gomega.Equal([]int{1}))
	f.mu.Lock()
	f.originDown = true
	f.mu.Unlock()
	for version := 2; version <= 4; version++ {
		f.update(fuchsiarouter.TopicOperator, func() { f.version = version })
		// The versions are declared too far apart to supersede each other.
		time.Sleep(2500 * time.Millisecond)
	}
	f.mu.Lock()
	f.originDown, f.firstServed = false, 3
	f.mu.Unlock()
	g.Eventually(versions(engine), testTimeout).Should(gomega.Equal([]int{4}))
}
