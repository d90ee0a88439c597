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
	"github.com/fuchsiarouter/fuchsiarouter/loader"
	"github.com/fuchsiarouter/fuchsiarouter/telemetry"
	"github.com/fuchsiarouter/fuchsiarouter/world"
)

const (
	pieces   = 24
	model    = "m"
	patience = 10 * time.Second
)

// fleet is a registry, an origin and engines in memory. The engines have addresses of
// their own on the loopback, and the loaders beside them one port.
type fleet struct {
	mu      sync.Mutex
	servers map[string]*world.Server
	version int
	offset  int64
	changed map[fuchsiarouter.Topic]int64
	port    int
	drawn   map[int]int
	// spoil damages what the origin sends the first so many times.
	spoil int
	down  bool
	// delay holds up reads of the servers.
	delay time.Duration
}

func newFleet(t *testing.T) *fleet {
	listener, err := net.Listen("tcp", "127.0.0.2:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	return &fleet{
		servers: map[string]*world.Server{}, version: 1, changed: map[fuchsiarouter.Topic]int64{},
		port: listener.Addr().(*net.TCPAddr).Port, drawn: map[int]int{},
	}
}

func content(version, piece int) []byte {
	return fmt.Appendf(nil, "piece %d of version %d", piece, version)
}

func (f *fleet) Read(topic fuchsiarouter.Topic, from int64, wait time.Duration) (fuchsiarouter.KeyedBatch, error) {
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		batch, err := f.Newest(topic)
		if err != nil {
			return batch, err
		}
		f.mu.Lock()
		at := f.changed[topic]
		f.mu.Unlock()
		batch.End = at + 1
		if at >= from {
			for i := range batch.Records {
				batch.Records[i].Offset = at
			}
			return batch, nil
		}
		if !time.Now().Before(end) {
			return fuchsiarouter.KeyedBatch{End: at + 1}, nil
		}
	}
}

func (f *fleet) Newest(topic fuchsiarouter.Topic) (fuchsiarouter.KeyedBatch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if delay := f.delay; topic == fuchsiarouter.TopicServers && delay > 0 {
		f.mu.Unlock()
		time.Sleep(delay)
		f.mu.Lock()
	}
	batch := fuchsiarouter.KeyedBatch{End: f.changed[topic] + 1}
	switch topic {
	case fuchsiarouter.TopicOperator:
		batch.Records = []fuchsiarouter.KeyedRecord{{Key: "config", Value: []byte("1")}, {Key: model, Value: []byte(strconv.Itoa(f.version))}}
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

func (f *fleet) Put(fuchsiarouter.Topic, string, []byte) error { return nil }

func (f *fleet) Operator(record fuchsiarouter.KeyedRecord) (fuchsiarouter.OperatorChange, error) {
	if record.Key == "config" {
		configuration := world.NewConfiguration(1, world.Limits{})
		configuration.Services["llm"] = &world.Service{Name: "llm", Engine: &world.Engine{Models: []string{model}, Pieces: pieces}}
		configuration.Services["origin"] = &world.Service{Name: "origin", Origin: "origin", AvailabilityZone: "a"}
		return fuchsiarouter.OperatorChange{Configuration: configuration}, nil
	}
	version, err := strconv.Atoi(string(record.Value))
	return fuchsiarouter.OperatorChange{Model: record.Key, Version: version}, err
}

func (f *fleet) Server(record fuchsiarouter.KeyedRecord) (*world.Server, error) {
	server := &world.Server{}
	return server, json.Unmarshal(record.Value, server)
}

func (f *fleet) Manifest(_, name string, version int) (fuchsiarouter.PieceManifest, error) {
	manifest := fuchsiarouter.PieceManifest{Model: name, Version: version}
	for piece := range pieces {
		sum := sha256.Sum256(content(version, piece))
		manifest.Digests = append(manifest.Digests, hex.EncodeToString(sum[:]))
	}
	return manifest, nil
}

func (f *fleet) Piece(_, _ string, version, piece int) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errors.New("origin down")
	}
	f.drawn[piece]++
	if f.spoil > 0 {
		f.spoil--
		return []byte("spoilt"), nil
	}
	return content(version, piece), nil
}

// set changes the fleet and lets the daemons see it.
func (f *fleet) set(topic fuchsiarouter.Topic, change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.offset++
	f.changed[topic] = f.offset
}

func (f *fleet) draws() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, times := range f.drawn {
		total += times
	}
	return total
}

// engine is a model engine in memory that loads at once.
type engine struct {
	fleet   *fleet
	id      string
	mu      sync.Mutex
	staged  map[int][]byte
	version int
	orders  int64
	bad     int
}

func (e *engine) Report() (fuchsiarouter.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := fuchsiarouter.EngineReport{Orders: e.orders, Versions: map[string]int{}}
	if e.version > 0 {
		report.Versions[model] = e.version
	}
	return report, nil
}

func (e *engine) Held(string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var held []int
	for piece := range e.staged {
		held = append(held, piece)
	}
	return held, nil
}

func (e *engine) Staged(_ string, piece int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if content, ok := e.staged[piece]; ok {
		return content, nil
	}
	return nil, errors.New("not staged")
}

func (e *engine) Stage(_ string, piece int, content []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[piece] = content
	return nil
}

func (e *engine) Start(_ string, version int, expected int64) (fuchsiarouter.OrderAnswer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if expected != e.orders {
		return fuchsiarouter.OrderRefused, nil
	}
	for piece := range pieces {
		if string(e.staged[piece]) != string(content(version, piece)) {
			e.bad++
		}
	}
	e.orders++
	e.version = version
	e.fleet.set(fuchsiarouter.TopicServers, func() {
		server := *e.fleet.servers[e.id]
		server.Versions = map[string]int{model: version}
		e.fleet.servers[e.id] = &server
	})
	return fuchsiarouter.OrderBegun, nil
}

func (e *engine) state() (version, bad int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, e.bad
}

// add starts an engine with a loader beside it. Engines that are filled hold version 1.
func (f *fleet) add(t *testing.T, number int, zone string, filled bool) *engine {
	g := gomega.NewWithT(t)
	ip := fmt.Sprintf("127.0.0.%d", number)
	made := &engine{fleet: f, id: "i" + ip, staged: map[int][]byte{}}
	server := &world.Server{ID: made.id, Service: "llm", Address: ip + ":9", AvailabilityZone: zone, Versions: map[string]int{}}
	if filled {
		made.version = 1
		server.Versions[model] = 1
		for piece := range pieces {
			made.staged[piece] = content(1, piece)
		}
	}
	f.set(fuchsiarouter.TopicServers, func() { f.servers[made.id] = server })
	daemon, err := loader.New(loader.Settings{
		Name: ip, IP: ip, AvailabilityZone: zone, Region: zone, Engine: ip + ":9", Service: "llm",
		VersionDeadline: time.Second, Link: 1 << 20, Pieces: fmt.Sprintf("%s:%d", ip, f.port), PeerPort: f.port,
	}, f, made, f, zap.NewNop(), telemetry.NewMetrics("loader"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { daemon.Drain() })
	return made
}

func versions(engines ...*engine) func() []int {
	return func() []int {
		var held []int
		for _, one := range engines {
			version, _ := one.state()
			held = append(held, version)
		}
		return held
	}
}

// TestAddedEngineGetsItFromPeers guards against an added engine that draws from the
// origin what engines near by have staged.
func TestAddedEngineGetsItFromPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.add(t, 2, "a", true)
	f.add(t, 3, "a", true)
	added := f.add(t, 4, "a", false)
	g.Eventually(versions(added), patience).Should(gomega.Equal([]int{1}))
	_, bad := added.state()
	g.Expect(bad).To(gomega.BeZero())
	g.Expect(f.draws()).To(gomega.BeZero())
}

// TestServersAreReadFirst guards against a loader that starts, does not know the other
// engines yet, and draws from the origin what they have.
func TestServersAreReadFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.add(t, 2, "a", true)
	time.Sleep(100 * time.Millisecond)
	f.mu.Lock()
	f.delay = 300 * time.Millisecond
	f.mu.Unlock()
	added := f.add(t, 3, "a", false)
	g.Eventually(versions(added), patience).Should(gomega.Equal([]int{1}))
	g.Expect(f.draws()).To(gomega.BeZero())
}

// TestNewVersion guards against an origin that sends more than about one copy, and
// against an engine that loads damaged pieces, when what the origin sends is spoilt.
func TestNewVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	var engines []*engine
	for i, zone := range []string{"a", "a", "b", "b", "c"} {
		engines = append(engines, f.add(t, 2+i, zone, true))
	}
	time.Sleep(time.Second)
	f.set(fuchsiarouter.TopicOperator, func() { f.version, f.spoil = 2, 3 })
	g.Eventually(versions(engines...), patience).Should(gomega.Equal([]int{2, 2, 2, 2, 2}))
	for _, one := range engines {
		_, bad := one.state()
		g.Expect(bad).To(gomega.BeZero())
	}
	g.Expect(f.draws()).To(gomega.BeNumerically("<=", pieces*3/2))
}

// TestStagedPiecesRot guards against an order to load pieces that have turned bad
// after they were staged.
func TestStagedPiecesRot(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	holder := f.add(t, 2, "a", true)
	holder.mu.Lock()
	for piece := range pieces / 2 {
		holder.staged[piece] = []byte("rotten")
	}
	holder.mu.Unlock()
	added := f.add(t, 3, "a", false)
	g.Eventually(versions(added), patience).Should(gomega.Equal([]int{1}))
	_, bad := added.state()
	g.Expect(bad).To(gomega.BeZero())
}

// TestRestartReusesWhatIsStaged guards against fetching again what a crash of the
// engine has left on its machine.
func TestRestartReusesWhatIsStaged(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	crashed := f.add(t, 2, "a", true)
	crashed.mu.Lock()
	crashed.version, crashed.orders = 0, 0
	crashed.mu.Unlock()
	f.set(fuchsiarouter.TopicServers, func() {
		server := *f.servers[crashed.id]
		server.Versions = nil
		f.servers[crashed.id] = &server
		f.down = true
	})
	g.Eventually(versions(crashed), patience).Should(gomega.Equal([]int{1}))
	g.Expect(f.draws()).To(gomega.BeZero())
}
