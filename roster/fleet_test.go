package roster_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/fuchsiarouter/fuchsiarouter/roster"
)

// testFleet runs the rosters of a fleet in virtual time, with messages that take a
// millisecond and may be lost.
type testFleet struct {
	now     time.Time
	random  *rand.Rand
	loss    float64
	entries []*testEntry
	byPeer  map[string]*testEntry
	// isCut reports whether messages between two entries are lost.
	isCut  func(from, to *testEntry) bool
	events testEvents
	// sequence orders events of the same time.
	sequence int
}

// testEntry is an entry of a testFleet.
type testEntry struct {
	entry  roster.Entry
	roster *roster.Roster
	// down is set while the entry neither sends nor receives.
	down bool
	// sent and received count messages, bytesSent the bytes of the sent ones.
	sent, received, bytesSent int
	// engines holds the engine states that the entry received from other entries.
	engines []roster.EngineStatus
	// work is the work of the workspaces at the entry, nil if it doesn't measure any.
	work []roster.WorkCounter
}

// testEvent is something that happens at a time.
type testEvent struct {
	at       time.Time
	sequence int
	run      func()
}

// testEvents is a heap of events.
type testEvents []testEvent

func (e testEvents) Len() int { return len(e) }
func (e testEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e testEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *testEvents) Push(x any)   { *e = append(*e, x.(testEvent)) }
func (e *testEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// newTestFleet starts entries in zones, all of which know the registrations of all.
func newTestFleet(seed uint64, zones, perZone int) *testFleet {
	f := &testFleet{now: startTime, random: rand.New(rand.NewPCG(seed, 0)), byPeer: map[string]*testEntry{}, isCut: func(_, _ *testEntry) bool { return false }}
	for zone := range zones {
		for index := range perZone {
			entry := newEntry(fmt.Sprintf("10.%d.0.%d", zone, index), fmt.Sprint("zone-", zone))
			entry.Started, entry.LinkBytesPerSecond, entry.Cores = 1, 5e6, 0.4
			if index < 3 {
				entry.LinkBytesPerSecond, entry.Cores = 25e6, 0.8
			}
			f.start(entry)
		}
	}
	return f
}

// start starts an entry and makes it read all registrations, and registers it with those
// that start later.
func (f *testFleet) start(description roster.Entry) *testEntry {
	entry := &testEntry{entry: description, roster: roster.New(description)}
	f.entries = append(f.entries, entry)
	f.byPeer[description.PeerAddress] = entry
	f.readRegistrations(entry)
	f.after(time.Duration(f.random.Int64N(int64(roster.ReportInterval))), func() { f.tick(entry) })
	return entry
}

// readRegistrations makes an entry read the registrations of all entries.
func (f *testFleet) readRegistrations(entry *testEntry) {
	for _, other := range f.entries {
		entry.roster.Register(f.now, other.entry)
	}
}

// after schedules a function.
func (f *testFleet) after(delay time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.events, testEvent{at: f.now.Add(delay), sequence: f.sequence, run: run})
}

// run lets time pass and calls check, if it is not nil, every 50 ms.
func (f *testFleet) run(duration time.Duration, check func()) {
	end := f.now.Add(duration)
	nextCheck := f.now
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		event := heap.Pop(&f.events).(testEvent)
		f.now = event.at
		if check != nil && !f.now.Before(nextCheck) {
			check()
			nextCheck = f.now.Add(50 * time.Millisecond)
		}
		event.run()
	}
	f.now = end
}

// tick does what an ingress does every report interval.
func (f *testFleet) tick(entry *testEntry) {
	f.after(roster.ReportInterval, func() { f.tick(entry) })
	if entry.down {
		return
	}
	r := entry.roster
	r.SetOwn(entry.entry)
	r.SetOwnLoad(map[uint32]int{roster.ServerKey(entry.entry.Name): 1})
	r.SetOwnWork(entry.work)
	first, others := r.ReportTargets(f.now, true, false)
	message := r.NewReport(f.now)
	f.send(entry, &roster.Message{Report: &message}, others)
	if first != "" {
		message.WantLoad = true
		f.send(entry, &roster.Message{Report: &message}, []string{first})
	}
	listed, unlisted := r.ZoneTargets(f.now, false)
	withList, withoutList := r.ZoneDigest(f.now, true), r.ZoneDigest(f.now, false)
	f.send(entry, &roster.Message{Digest: &withList}, listed)
	f.send(entry, &roster.Message{Digest: &withoutList}, unlisted)
	r.NewlySilent(f.now)
	// An ingress reads the registrations again while it hears nobody.
	if r.LiveCount(f.now) == 0 && f.random.IntN(20) == 0 {
		f.readRegistrations(entry)
	}
}

// send delivers a message through the codec.
func (f *testFleet) send(from *testEntry, message *roster.Message, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	encoded, err := message.Encode()
	if err != nil {
		panic(err)
	}
	for _, address := range addresses {
		from.sent++
		from.bytesSent += len(encoded)
		to := f.byPeer[address]
		if to == nil || f.random.Float64() < f.loss || f.isCut(from, to) {
			continue
		}
		f.after(time.Millisecond, func() { f.receive(to, encoded) })
	}
}

// receive applies a message.
func (f *testFleet) receive(to *testEntry, encoded []byte) {
	if to.down {
		return
	}
	to.received++
	message, err := roster.Decode(encoded)
	if err != nil {
		panic(err)
	}
	if message.Digest != nil {
		to.engines = append(to.engines, message.Digest.Engines...)
		if _, answer := to.roster.ReceiveDigest(f.now, message.Digest); answer {
			digest := to.roster.ZoneDigest(f.now, true)
			f.send(to, &roster.Message{Digest: &digest}, []string{message.Digest.Sender})
		}
		return
	}
	to.engines = append(to.engines, message.Report.Engines...)
	report := message.Report
	if _, accepted := to.roster.ReceiveReport(f.now, report); accepted {
		answer := to.roster.DigestFor(f.now, report.Entry.PeerAddress, report.Members, report.Wanted, report.WantLoad)
		f.send(to, &roster.Message{Digest: &answer}, []string{report.Entry.PeerAddress})
	}
}

// missing returns, for an entry, the names of the running entries that it does not know to
// be live, and of the others that it takes to be live.
func (f *testFleet) missing(entry *testEntry) (missing, dead []string) {
	live := map[string]bool{}
	for _, other := range entry.roster.Live(f.now) {
		live[other.Name] = true
	}
	for _, other := range f.entries {
		switch {
		case other == entry:
		case !other.down && !live[other.entry.Name]:
			missing = append(missing, other.entry.Name)
		case other.down && live[other.entry.Name]:
			dead = append(dead, other.entry.Name)
		}
	}
	return missing, dead
}

// expectAgreement checks that every running entry knows exactly the running entries.
func (f *testFleet) expectAgreement(g *gomega.WithT, situation string) {
	for _, entry := range f.entries {
		if entry.down {
			continue
		}
		missing, dead := f.missing(entry)
		g.Expect(missing).To(gomega.BeEmpty(), "%s: unknown to %s", situation, entry.entry.Name)
		g.Expect(dead).To(gomega.BeEmpty(), "%s: taken to be live by %s", situation, entry.entry.Name)
	}
}

// settleTime is the time after which the members must agree: entries that are gone are left
// out of the directory within 3 s, which is the time for which an entry that stops still
// takes requests.
const settleTime = 3 * time.Second

// TestFleetAgrees guards against entries that stay unknown, or dead ones that stay known,
// after a start, the loss of both relays of a zone, of a whole zone, and their return.
func TestFleetAgrees(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{3, 2}, {1, 1}, {2, 3}, {5, 30}} {
		g := gomega.NewWithT(t)
		f := newTestFleet(1, size.zones, size.perZone)
		f.loss = 0.01
		f.run(settleTime, nil)
		situation := fmt.Sprint(size)
		f.expectAgreement(g, situation+" start")
		for _, entry := range f.entries[:min(2, len(f.entries)-1)] {
			entry.down = true
		}
		f.run(settleTime, nil)
		f.expectAgreement(g, situation+" relays lost")
		for _, entry := range f.entries {
			entry.down = entry.entry.AvailabilityZone == "zone-0" && size.zones > 1
		}
		f.run(settleTime, nil)
		f.expectAgreement(g, situation+" zone lost")
		for _, entry := range f.entries {
			entry.down = false
		}
		f.run(settleTime, nil)
		f.expectAgreement(g, situation+" return")
	}
}

// TestLiveEntriesStayKnown guards against a directory that loses entries for a moment while
// relays are replaced: all but the entries that went down are known all the time.
func TestLiveEntriesStayKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(2, 5, 30)
	f.run(settleTime, nil)
	for round := range 4 {
		// Both relays of each zone end at the same time.
		for zone := range 5 {
			for index := range 2 {
				f.entries[zone*30+round*2+index].down = true
			}
		}
		f.run(settleTime, func() {
			for _, entry := range f.entries {
				if !entry.down {
					missing, _ := f.missing(entry)
					g.Expect(missing).To(gomega.BeEmpty(), "round %d: unknown to %s", round, entry.entry.Name)
				}
			}
		})
	}
	f.expectAgreement(g, "end")
}

// TestMessagesDoNotGrowWithFleet guards against a rate of messages that grows with the
// square of the number of entries. The bounds follow from the target of 10 KB/s for the
// control traffic of a daemon.
func TestMessagesDoNotGrowWithFleet(t *testing.T) {
	const controlBytesPerSecond = 10 << 10
	for _, size := range []struct{ zones, perZone int }{{5, 30}, {29, 25}} {
		g := gomega.NewWithT(t)
		f := newTestFleet(3, size.zones, size.perZone)
		f.run(settleTime, nil)
		for _, entry := range f.entries {
			entry.sent, entry.received, entry.bytesSent = 0, 0, 0
		}
		const seconds = 2
		f.run(seconds*time.Second, nil)
		total, members := 0, 0
		for index, entry := range f.entries {
			total += entry.bytesSent
			if index%size.perZone >= 3 {
				members = max(members, entry.bytesSent)
				g.Expect(entry.sent).To(gomega.BeNumerically("<", seconds*12))
				g.Expect(entry.received).To(gomega.BeNumerically("<", seconds*12))
			}
		}
		g.Expect(members).To(gomega.BeNumerically("<", seconds*controlBytesPerSecond))
		g.Expect(total/len(f.entries)).To(gomega.BeNumerically("<", seconds*controlBytesPerSecond), "%v", size)
		t.Logf("%v: %d bytes/s sent by an entry, %d by the average of all", size, members/seconds, total/len(f.entries)/seconds)
	}
}

// TestLoadsAreKnown guards against requests in flight that count twice or not at all: every
// entry has one request at a server of its own, and knows those of all others.
func TestLoadsAreKnown(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{1, 2}, {3, 2}, {3, 3}, {5, 30}} {
		g := gomega.NewWithT(t)
		f := newTestFleet(4, size.zones, size.perZone)
		f.run(settleTime, nil)
		for _, entry := range f.entries {
			counts := entry.roster.RequestsElsewhere(f.now)
			for _, other := range f.entries {
				expected := 1
				if other == entry {
					expected = 0
				}
				g.Expect(counts[roster.ServerKey(other.entry.Name)]).To(gomega.Equal(expected), "%v: %s at %s", size, other.entry.Name, entry.entry.Name)
			}
		}
	}
}

// TestEngineStatesReachAll guards against loader states that stay with the entries that
// received them.
func TestEngineStatesReachAll(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(5, 3, 5)
	f.run(settleTime, nil)
	state := roster.EngineStatus{Address: "engine", Versions: map[string]int{"m": 2}, LoadsInMilliseconds: 900}
	f.entries[4].roster.RecordEngine(f.now, state)
	f.run(time.Second, nil)
	for index, entry := range f.entries {
		if index == 4 {
			continue
		}
		g.Expect(entry.engines).NotTo(gomega.BeEmpty(), entry.entry.Name)
		g.Expect(entry.engines[0].Versions).To(gomega.Equal(state.Versions))
		g.Expect(entry.engines[0].LoadsInMilliseconds).To(gomega.And(gomega.BeNumerically("<", 900), gomega.BeNumerically(">", 200)))
	}
}

// TestHealedPartition checks that two halves of a zone, and two zones, find each other again
// after they were cut off from each other.
func TestHealedPartition(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(6, 3, 10)
	f.run(settleTime, nil)
	half := func(entry *testEntry) bool { return entry.entry.Name[len(entry.entry.Name)-1]%2 == 0 }
	for name, isCut := range map[string]func(from, to *testEntry) bool{
		"zone cut off": func(from, to *testEntry) bool {
			return (from.entry.AvailabilityZone == "zone-1") != (to.entry.AvailabilityZone == "zone-1")
		},
		"halves":        func(from, to *testEntry) bool { return half(from) != half(to) },
		"one direction": func(from, to *testEntry) bool { return half(from) && !half(to) },
	} {
		f.isCut = isCut
		f.run(20*time.Second, nil)
		f.isCut = func(_, _ *testEntry) bool { return false }
		f.run(settleTime, nil)
		f.expectAgreement(g, name)
	}
}
