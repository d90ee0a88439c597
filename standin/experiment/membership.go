package experiment

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/fleet"
	"github.com/fuchsiarouter/fuchsiarouter/peer"
)

// Parameters of the membership experiment.
const (
	// Numbers of entries and agents in the full fleet, for which the targets of
	// traffic, processor time and memory are stated.
	membershipEntries = 730
	membershipAgents  = 10_000
	// membershipHeaderBytes is the size of the TCP and IP headers of a request
	// and its answer.
	membershipHeaderBytes = 2 * 52
	// Simulated seconds before and during the measurement.
	membershipWarmUpSeconds   = 20
	membershipMeasuredSeconds = 30
	// Numbers of entries that receive the heartbeats of a member. Entries have
	// two, because an entry reports on other members and its own failure must
	// not go unnoticed.
	membershipAgentWatchers = 1
	membershipEntryWatchers = 2
	// A rollout of one of sixteen models, on 625 of 10,000 VMs, takes each of the
	// 625 through four changes of state within five minutes. The restart rate
	// comes from 3,700 restarts a day in the full fleet. Both rates are for one
	// member, in changes or restarts a second.
	membershipModels      = 16
	membershipChangeRate  = 4.0 / 300
	membershipRestartRate = 3700.0 / 86_400 / (membershipEntries + membershipAgents)
	// membershipMaxChanges limits the membership changes in one message.
	membershipMaxChanges = 1000
)

// Membership measures the control traffic of entries and agents from encoded
// messages at three fleet sizes. Each member sends heartbeats to a few entries,
// its watchers, and the entries pass changes on along a tree (see fleet.Relay).
// The traffic of an entry is fitted to the number of members that send it
// heartbeats, the number of its neighbours in the tree and the rate of changes
// that they pass on. The fit is applied to each of 730 entries, whose watched
// members and neighbours are computed. Processor time and memory are extrapolated
// linearly. Then a region is cut off for an hour, and evictions of live members
// are counted. In the baseline of the traffic every member sends its full state to
// every entry; in that of the evictions the mass-silence guard of package fleet is
// off.
func Membership(seed uint64, report func(Figure)) error {
	var sizes []float64
	samples := map[string][]float64{}
	var traffic regression
	for _, entries := range []int{30, 60, 120} {
		for _, rate := range []float64{1, 6} {
			simulation := newMembershipSimulation(seed, entries, entries*membershipAgents/membershipEntries)
			simulation.changeFactor = rate
			sample, err := simulation.measure()
			if err != nil {
				return err
			}
			for _, entry := range simulation.entries {
				traffic.add(float64(simulation.trafficBytes[entry.ID])/membershipMeasuredSeconds, simulation.trafficFeatures(entry.ID)...)
			}
			if rate > 1 {
				continue
			}
			if sample["plain-entry-bytes"], err = simulation.fullHeartbeatBytes(); err != nil {
				return err
			}
			size := len(simulation.entries) + len(simulation.agents)
			sizes = append(sizes, float64(size))
			for name, value := range sample {
				samples[name] = append(samples[name], value)
				report(Unbounded(fmt.Sprintf("membership-%s-%d", name, size), value, "per daemon"))
			}
		}
	}
	coefficients := traffic.fit()
	for i, name := range []string{"base", "for-each-member", "for-each-neighbour", "for-each-change"} {
		report(Unbounded("membership-entry-bytes-"+name, coefficients[i], "B/s"))
	}
	var fitError, worst float64
	for i, value := range traffic.values {
		fitError = max(fitError, math.Abs(value-predict(coefficients, traffic.features[i])))
	}
	report(Unbounded("membership-entry-bytes-fit-error", fitError, "B/s, largest of all entries"))
	fullFleet := newMembershipSimulation(seed, membershipEntries, membershipAgents)
	for _, entry := range fullFleet.entries {
		worst = max(worst, predict(coefficients, fullFleet.trafficFeatures(entry.ID)))
	}
	extrapolateToFullFleet := func(name string) float64 {
		return extrapolate(sizes, samples[name], membershipEntries+membershipAgents)
	}
	report(AtMost("membership-entry-bytes", worst, "B/s at 10,730, worst entry", 10_000))
	report(AtMost("membership-agent-bytes", extrapolateToFullFleet("agent-bytes"), "B/s at 10,730", 10_000))
	report(AtMost("membership-cpu", 100*extrapolateToFullFleet("cpu"), "% of a core at 10,730", 4.7))
	report(AtMost("membership-memory", extrapolateToFullFleet("memory")/(1<<20), "MiB at 10,730", 256))
	report(Unbounded("membership-baseline-full-entry-bytes", extrapolateToFullFleet("plain-entry-bytes"), "B/s at 10,730"))
	for _, withoutGuard := range []bool{false, true} {
		evicted := evictionsInPartition(withoutGuard)
		if withoutGuard {
			report(Unbounded("membership-baseline-unguarded-evictions", float64(evicted), "members"))
		} else {
			report(AtMost("membership-evictions", float64(evicted), "members", 0))
		}
	}
	return nil
}

// trafficFeatures returns the features for the regression of the traffic of the
// entry with the ID: a constant 1, the number of members that send it heartbeats,
// the number of its neighbours in the tree, and the changes a second in the fleet
// times the neighbours.
func (m *membershipSimulation) trafficFeatures(id string) []float64 {
	watched, neighbours := 0, 0
	for _, watchers := range m.watchers {
		for _, watcher := range watchers {
			if watcher.ID == id {
				watched++
			}
		}
	}
	for child, parent := range m.parents {
		if child == id || parent == id {
			neighbours++
		}
	}
	changes := float64(len(m.agents)) / membershipModels * membershipChangeRate * m.changeFactor
	return []float64{1, float64(watched), float64(neighbours), changes * float64(neighbours)}
}

// extrapolate returns the value at x of the least-squares line through the
// samples.
func extrapolate(xs, ys []float64, x float64) float64 {
	var meanX, meanY, covariance, variance float64
	for i := range xs {
		meanX += xs[i] / float64(len(xs))
		meanY += ys[i] / float64(len(ys))
	}
	for i := range xs {
		covariance += (xs[i] - meanX) * (ys[i] - meanY)
		variance += (xs[i] - meanX) * (xs[i] - meanX)
	}
	return meanY + covariance/variance*(x-meanX)
}

// membershipSimulation is a fleet whose entries run the real fleet.Relay. Their
// messages are encoded and decoded, but sent over no network. Maps are by member
// ID unless noted otherwise.
type membershipSimulation struct {
	random *rand.Rand
	// now is the virtual time.
	now     time.Time
	entries []fuchsiarouter.Member
	// relays holds the relay of each entry.
	relays map[string]*fleet.Relay
	agents []fuchsiarouter.Member
	// lastSent is the state of each member in its last heartbeat. positions is,
	// for each pair of sender and receiver, the position in the sender's changes
	// up to which the receiver has them, as Relay.ChangesSince returns it.
	lastSent  map[string]fuchsiarouter.Member
	positions map[[2]string]int64
	// watchers are the entries that receive the heartbeats of a member; parents
	// are the parents of entries in the tree. Both are computed once because no
	// entry joins or leaves.
	watchers map[string][]fuchsiarouter.Member
	parents  map[string]string
	// trafficBytes counts the bytes that each daemon sent and received, with TCP
	// and IP headers.
	trafficBytes  map[string]int
	lastMessageID uint64
	// changeFactor multiplies membershipChangeRate.
	changeFactor float64
}

// newMembershipSimulation returns a fleet with the given numbers of entries and
// agents, spread evenly over availability zones. Agent number i serves model
// number i modulo membershipModels.
func newMembershipSimulation(seed uint64, entries, agents int) *membershipSimulation {
	m := &membershipSimulation{
		random: rand.New(rand.NewPCG(seed, uint64(entries))), now: time.Unix(1_800_000_000, 0), changeFactor: 1,
		relays: map[string]*fleet.Relay{}, lastSent: map[string]fuchsiarouter.Member{},
		positions: map[[2]string]int64{}, trafficBytes: map[string]int{},
		watchers: map[string][]fuchsiarouter.Member{}, parents: map[string]string{},
	}
	zones := max(2, (entries+12)/25)
	member := func(kind fuchsiarouter.DaemonKind, index int) fuchsiarouter.Member {
		zone := index % zones
		return fuchsiarouter.Member{
			ID: fmt.Sprintf("%s-%05d", kind, index), Kind: kind, Incarnation: m.now.UnixMilli() + int64(index),
			Address: fmt.Sprintf("10.%d.%d.%d:7000", zone, index/250, index%250), State: fuchsiarouter.StateLive,
			Region: fmt.Sprintf("region-%d", zone/4), AvailabilityZone: fmt.Sprintf("region-%d-%c", zone/4, 'a'+zone%4),
			Revisions: map[string]int64{
				"fleet": 12, "owners": 3, "models": 2210, "ranks": 40, "workspaces": 3120, "services": 70, "peaks": 515, "servers": 9,
			},
		}
	}
	for index := range entries {
		entry := member(fuchsiarouter.KindEntry, index)
		entry.ControlAddress = fmt.Sprintf("10.%d.%d.%d:7001", index%zones, index/250, index%250)
		m.entries = append(m.entries, entry)
		m.relays[entry.ID] = fleet.NewRelay(entry.ID, entry.Incarnation, fleet.Settings{})
	}
	for index := range agents {
		agent := member(fuchsiarouter.KindAgent, index)
		agent.Model = fmt.Sprintf("model-%d", index%membershipModels)
		agent.Load = fuchsiarouter.Load{Running: 11, Slots: 16, Queued: 3, ExpectedWait: 40 * time.Millisecond}
		agent.Versions = []fuchsiarouter.Version{{Model: agent.Model, Digest: fmt.Sprintf("%x", sha256.Sum256([]byte(agent.Model))), State: fuchsiarouter.VersionReady, VerifiedChunks: 4000, TotalChunks: 4000}}
		m.agents = append(m.agents, agent)
	}
	for _, agent := range m.agents {
		m.watchers[agent.ID] = fleet.Watchers(agent.ID, agent.Region, m.entries, membershipAgentWatchers)
	}
	for _, entry := range m.entries {
		m.watchers[entry.ID] = fleet.Watchers(entry.ID, entry.Region, m.entries, membershipEntryWatchers)
		if parent, ok := fleet.Parent(entry, m.entries); ok {
			m.parents[entry.ID] = parent.ID
		}
	}
	return m
}

// measure simulates the warm-up and the measured seconds, and returns what a
// daemon used: the traffic of the busiest entry ("entry-bytes") and the mean
// traffic of the agents ("agent-bytes"), both in bytes a second, and the mean
// processor seconds a second ("cpu") and bytes of memory ("memory") of the
// entries. It returns an error if an entry does not know all members at the end.
func (m *membershipSimulation) measure() (map[string]float64, error) {
	var before syscall.Rusage
	for second := range membershipWarmUpSeconds + membershipMeasuredSeconds {
		if second == membershipWarmUpSeconds {
			clear(m.trafficBytes)
			if err := syscall.Getrusage(syscall.RUSAGE_SELF, &before); err != nil {
				return nil, errors.Wrap(err, "read processor time")
			}
		}
		if err := m.simulateSecond(second >= membershipWarmUpSeconds); err != nil {
			return nil, err
		}
	}
	var after syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &after); err != nil {
		return nil, errors.Wrap(err, "read processor time")
	}
	used := time.Duration(after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano())
	worst, sum := 0, 0
	for _, entry := range m.entries {
		worst = max(worst, m.trafficBytes[entry.ID])
	}
	for _, agent := range m.agents {
		sum += m.trafficBytes[agent.ID]
	}
	for id, relay := range m.relays {
		if count := len(relay.Members()); count != len(m.entries)+len(m.agents)-1 {
			return nil, errors.Errorf("entry %s knows %d members, not the whole fleet", id, count)
		}
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return map[string]float64{
		"entry-bytes": float64(worst) / membershipMeasuredSeconds,
		"agent-bytes": float64(sum) / membershipMeasuredSeconds / float64(len(m.agents)),
		// This includes the processor time of the agents' part of the exchanges.
		"cpu":    used.Seconds() / membershipMeasuredSeconds / float64(len(m.entries)),
		"memory": float64(memory.HeapAlloc) / float64(len(m.entries)),
	}, nil
}

// simulateSecond simulates one second of heartbeats and of exchanges of changes
// between entries. If change is set, some agents of the first model change the
// state of their version, as in a rollout of that model, and random agents restart.
func (m *membershipSimulation) simulateSecond(change bool) error {
	m.now = m.now.Add(time.Second)
	if change {
		for i := range m.agents {
			agent := &m.agents[i]
			if i%membershipModels == 0 && m.random.Float64() < membershipChangeRate*m.changeFactor {
				version := agent.Versions[0]
				version.State = map[fuchsiarouter.VersionState]fuchsiarouter.VersionState{
					fuchsiarouter.VersionReady: fuchsiarouter.VersionFetching, fuchsiarouter.VersionFetching: fuchsiarouter.VersionVerified,
					fuchsiarouter.VersionVerified: fuchsiarouter.VersionReady,
				}[version.State]
				agent.Versions = []fuchsiarouter.Version{version}
			}
			if m.random.Float64() < membershipRestartRate {
				agent.Incarnation = m.now.UnixMilli()
			}
		}
	}
	for _, members := range [][]fuchsiarouter.Member{m.agents, m.entries} {
		for _, member := range members {
			if err := m.sendHeartbeats(member); err != nil {
				return err
			}
		}
	}
	for _, entry := range m.entries {
		if parent, ok := m.parents[entry.ID]; ok {
			if err := m.exchangeChanges(entry.ID, parent); err != nil {
				return err
			}
		}
	}
	for _, relay := range m.relays {
		relay.Tick(m.now)
	}
	return nil
}

// sendHeartbeats sends the heartbeats of a member to its watchers: in full to the
// first watcher when the state of the member changed in more than a short heartbeat
// holds, in full to all of them when the member is new or has restarted, and short
// otherwise.
func (m *membershipSimulation) sendHeartbeats(member fuchsiarouter.Member) error {
	needsFull := fleet.NeedsFullHeartbeat(m.lastSent[member.ID], member)
	for index, watcher := range m.watchers[member.ID] {
		heartbeat := fleet.NewShortHeartbeat(member)
		request := peer.HeartbeatRequest{ShortHeartbeat: &heartbeat}
		if needsFull && index == 0 || m.lastSent[member.ID].Incarnation != member.Incarnation {
			request = peer.HeartbeatRequest{Member: member}
		}
		var received peer.HeartbeatRequest
		if err := m.sendMessage(member.ID, watcher.ID, "heartbeat", request, &received); err != nil {
			return err
		}
		relay := m.relays[watcher.ID]
		if received.ShortHeartbeat == nil {
			relay.RecordHeartbeat(m.now, received.Member)
		} else if !relay.RecordShortHeartbeat(m.now, *received.ShortHeartbeat) {
			return errors.Errorf("entry %s does not know member %s", watcher.ID, member.ID)
		}
		response := peer.HeartbeatResponse{}
		if err := m.sendMessage(watcher.ID, member.ID, "", response, &peer.HeartbeatResponse{}); err != nil {
			return err
		}
	}
	m.lastSent[member.ID] = member
	return nil
}

// exchangeChanges exchanges membership changes between an entry and its parent in
// the tree, in one request and one response.
func (m *membershipSimulation) exchangeChanges(child, parent string) error {
	up, down := [2]string{child, parent}, [2]string{parent, child}
	changes, position := m.relays[child].ChangesSince(parent, m.positions[up], membershipMaxChanges)
	m.positions[up] = position
	request := peer.ChangesRequest{ID: child, Since: m.positions[down], Changes: changes}
	var received peer.ChangesRequest
	if err := m.sendMessage(child, parent, "changes", request, &received); err != nil {
		return err
	}
	m.relays[parent].Receive(m.now, child, received.Changes)
	changes, position = m.relays[parent].ChangesSince(child, received.Since, membershipMaxChanges)
	var answered peer.ChangesResponse
	if err := m.sendMessage(parent, child, "", peer.ChangesResponse{Next: position, Changes: changes}, &answered); err != nil {
		return err
	}
	m.relays[child].Receive(m.now, parent, answered.Changes)
	m.positions[down] = answered.Next
	return nil
}

// sendMessage encodes a message in its JSON-RPC 2.0 envelope, counts its bytes as
// traffic of both sides and decodes it into received. The message is a request
// with the method, or a response if method is empty.
func (m *membershipSimulation) sendMessage(from, to, method string, message, received any) error {
	m.lastMessageID++
	envelope := struct {
		Version string `json:"jsonrpc"`
		ID      uint64 `json:"id"`
		Method  string `json:"method,omitempty"`
		Params  any    `json:"params,omitempty"`
		Result  any    `json:"result,omitempty"`
	}{Version: "2.0", ID: m.lastMessageID % 100_000, Method: method}
	if method == "" {
		envelope.Result = message
	} else {
		envelope.Params = message
	}
	data, err := peer.Encode(envelope)
	if err != nil {
		return err
	}
	size := len(data) + membershipHeaderBytes/2
	m.trafficBytes[from] += size
	m.trafficBytes[to] += size
	var decoded struct {
		Params json.RawMessage `json:"params"`
		Result json.RawMessage `json:"result"`
	}
	if err := peer.Decode(bufio.NewReader(bytes.NewReader(data)), &decoded); err != nil {
		return err
	}
	if err := json.Unmarshal(append(decoded.Params, decoded.Result...), received); err != nil {
		return errors.Wrap(err, "decode message")
	}
	return nil
}

// fullHeartbeatBytes returns the traffic of the baseline, in bytes a second, at an
// entry to which every member sends its full state once a second, and which
// answers with the list of all entries. It resets trafficBytes.
func (m *membershipSimulation) fullHeartbeatBytes() (float64, error) {
	m.trafficBytes = map[string]int{}
	for _, members := range [][]fuchsiarouter.Member{m.agents, m.entries} {
		for _, member := range members {
			if err := m.sendMessage(member.ID, "plain", "heartbeat", peer.HeartbeatRequest{Member: member}, &peer.HeartbeatRequest{}); err != nil {
				return 0, err
			}
			response := peer.HeartbeatResponse{Entries: m.entries, Revisions: member.Revisions}
			if err := m.sendMessage("plain", member.ID, "", response, &peer.HeartbeatResponse{}); err != nil {
				return 0, err
			}
		}
	}
	return float64(m.trafficBytes["plain"]), nil
}
