package experiment

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/fleet"
	"github.com/fuchsiarouter/fuchsiarouter/revision"
)

// Parameters of the configuration experiment. Durations are in virtual time.
const (
	configEntries = 6
	configAgents  = 600
	// configPollingAgents is the number of agents of the polling baseline.
	configPollingAgents = 6
	// configWatchers is the number of entries that an agent sends heartbeats to.
	configWatchers = 3
	// configEdits is the number of edits in the run.
	configEdits = 10_000
	// configTick is the step of the simulation.
	configTick = 10 * time.Millisecond
	// configHeartbeatInterval is the interval at which a daemon sends heartbeats
	// or, in the baseline, reads the log.
	configHeartbeatInterval = time.Second
	// configDuration compresses a day and a half of edits into two minutes: 83
	// edits a second, below the several hundred appends a second that the log
	// accepts.
	configDuration = 120 * time.Second
	// configSettleTime is how long the simulation continues after the last edit,
	// so that every daemon can reach the final state.
	configSettleTime = 15 * time.Second
	// configInForceBound is the target for the time from the acceptance of an
	// edit until it is in force on a daemon.
	configInForceBound = 4 * time.Second
	// configRestarts is the number of daemon restarts in the run: 3,700 restarts
	// a day, scaled from 6,100 edits a day to the edits of the run.
	configRestarts = configEdits * 3700 / 6100
	// configRetention is the age at which the log drops a record.
	configRetention = 60 * time.Second
	// configSnapshotInterval is the interval at which an entry appends a snapshot
	// of its state, from which a daemon without state can start.
	configSnapshotInterval = 10 * time.Second
)

// configSimulation simulates the log, the operators and the daemons. All times
// are virtual, counted from the start of the simulation. The configuration
// consists of sections; each accepted edit replaces one section and increments
// the revision of the section.
type configSimulation struct {
	random *rand.Rand
	// log holds all records by offset; visibleAt is when readers begin to see
	// each of them. Readers no longer see records before firstOffset.
	log       []fuchsiarouter.Record
	visibleAt []time.Duration
	// isLogDown reports whether appends and reads fail at a time.
	isLogDown func(time.Duration) bool
	// reference is a state that applies each record at the moment of its append,
	// without faults. The daemons are compared with it. accepted and acceptedAt
	// hold, for each section, the edits that it accepted and the times of their
	// appends; index i is revision i+1.
	reference  *revision.State
	accepted   map[string][]revision.AcceptedEdit
	acceptedAt map[string][]time.Duration
	entries    []*configDaemon
	agents     []*configDaemon
	privateKey ed25519.PrivateKey
	// logReads counts the read requests to the log.
	logReads    atomic.Int64
	firstOffset int64
	// edits counts the edits that operators appended, each once. lostRaces counts
	// the records that were refused because another record of the section, or the
	// same one appended before, came first. failedAppends counts the appends that
	// failed or were lost before their effect.
	edits         int
	lostRaces     int
	failedAppends int
}

// Config measures in a simulation how soon an accepted edit of the configuration
// is in force on every daemon, and whether the revisions on a daemon go back or
// differ from those of the log while operators edit concurrently, appends are
// lost, the log is down and daemons restart. Entries read the log by long polls
// and agents get the configuration from entries with their heartbeats; in the
// baseline every daemon polls the log.
func Config(seed uint64, report func(Figure)) error {
	for _, polled := range []bool{false, true} {
		agents := configAgents
		if polled {
			// Every daemon of the baseline applies every record itself, which
			// takes many minutes of processor time for 600 agents. The figures
			// of one daemon do not depend on the number of daemons.
			agents = configPollingAgents
		}
		simulation := newConfigSimulation(seed, agents)
		if err := simulation.run(polled); err != nil {
			return err
		}
		simulation.report(polled, report)
	}
	return nil
}

// newConfigSimulation returns a simulation with an empty log, configEntries entries
// and the given number of agents.
func newConfigSimulation(seed uint64, agents int) *configSimulation {
	s := &configSimulation{
		random:   rand.New(rand.NewPCG(seed, 1)),
		accepted: map[string][]revision.AcceptedEdit{}, acceptedAt: map[string][]time.Duration{},
		privateKey: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)),
	}
	// The log is down three times, once for longer than a daemon takes to start.
	s.isLogDown = func(now time.Duration) bool {
		for _, outage := range [][2]time.Duration{{25, 27}, {55, 67}, {90, 94}} {
			if now >= outage[0]*time.Second && now < outage[1]*time.Second {
				return true
			}
		}
		return false
	}
	s.reference = s.newState()
	daemon := func(kind string, index int) *configDaemon {
		random := rand.New(rand.NewPCG(seed, uint64(2+index)+uint64(len(kind))<<32))
		return &configDaemon{
			id: fmt.Sprintf("%s-%d", kind, index), random: random, state: s.newState(),
			heartbeatPhase: time.Duration(random.Int64N(int64(configHeartbeatInterval/configTick))) * configTick, lastRevisions: map[string]int64{},
			late: map[configPublication]bool{},
		}
	}
	for index := range configEntries {
		s.entries = append(s.entries, daemon("entry", index))
	}
	for index := range agents {
		s.agents = append(s.agents, daemon("agent", index))
	}
	return s
}

// daemons returns all entries and agents.
func (s *configSimulation) daemons() []*configDaemon { return slices.Concat(s.entries, s.agents) }

// newState returns the empty state of a daemon whose settings contain the public
// key of the operators.
func (s *configSimulation) newState() *revision.State {
	return revision.New([]string{hex.EncodeToString(s.privateKey.Public().(ed25519.PublicKey))})
}

// run appends the section "owners", which allows the key of the operators to edit
// the other sections, and then simulates the edits, snapshots and restarts. With
// polled set it runs the baseline, in which every daemon polls the log.
func (s *configSimulation) run(polled bool) error {
	s.appendRecord(0, s.newEdit(document.SectionOwners, 0, fmt.Sprintf(
		"schema = 1\n[[owners]]\nteam = 'all'\nsections = ['owners', 'services', 'peaks', 'servers']\nkeys = ['%x']\n",
		[]byte(s.privateKey.Public().(ed25519.PublicKey)))))
	sections := []document.Section{document.SectionServices, document.SectionPeaks, document.SectionServers}
	restarts := 0
	for now := configTick; now < configDuration+configSettleTime; now += configTick {
		// Edits that an outage of the log has delayed follow at no more than three
		// calls of editConcurrently a tick.
		for rounds := 0; rounds < 3 && s.edits < int(int64(configEdits)*int64(min(now, configDuration))/int64(configDuration)); rounds++ {
			s.editConcurrently(now, sections[s.random.IntN(len(sections))])
		}
		if now%configSnapshotInterval == 0 && !s.isLogDown(now) {
			if record, err := s.entries[s.random.IntN(configEntries)].state.SnapshotRecord(fmt.Sprint("snapshot-", now)); err == nil {
				s.appendRecord(now, record)
			}
		}
		for now < configDuration && restarts < int(int64(configRestarts)*int64(now)/int64(configDuration)) {
			restarts++
			all := s.daemons()
			s.restart(now, all[s.random.IntN(len(all))])
		}
		if err := s.step(now, polled); err != nil {
			return err
		}
	}
	return nil
}

// editConcurrently lets one to four operators edit the same section from the
// revision that a random entry shows, which may be outdated.
func (s *configSimulation) editConcurrently(now time.Duration, section document.Section) {
	baseRevision := s.entries[s.random.IntN(configEntries)].state.Revision(section)
	for competitors := 1 + s.random.IntN(4); competitors > 0 && s.edits < configEdits; competitors-- {
		if s.isLogDown(now) {
			// The append fails at once and does not count as an edit.
			s.failedAppends++
			continue
		}
		s.edits++
		name := map[document.Section]string{
			document.SectionServices: "[[services]]\nname = 's%d'\n",
			document.SectionPeaks:    "# %d\n", document.SectionServers: "[[servers]]\nid = 's%d'\n",
		}[section]
		record := s.newEdit(section, baseRevision, fmt.Sprintf("schema = 1\n"+name, s.edits))
		fault := s.random.IntN(100)
		if fault == 0 {
			// The append is lost before its effect. The operator reads back,
			// does not find the record and appends it once more.
			s.failedAppends++
		}
		s.appendRecord(now, record)
		if fault < 3 {
			// The answer is lost, and a retry below the client's control brings
			// the same record a second time.
			s.appendRecord(now, record)
		}
	}
}

// newEdit returns a signed edit that replaces the revision base of a section by
// the content, a TOML text.
func (s *configSimulation) newEdit(section document.Section, base int64, content string) revision.Record {
	record := revision.Record{
		Kind: revision.KindEdit, Section: section, Base: base, Content: content, Nonce: fmt.Sprint("edit-", s.edits),
	}
	record.Sign(s.privateKey)
	return record
}

// appendRecord appends a record to the log, which readers see 5 to 24 ms later, and
// applies it at once to the reference state, which decides whether the record is
// accepted. It records an accepted edit and counts a stale one in lostRaces.
func (s *configSimulation) appendRecord(now time.Duration, record revision.Record) {
	data, err := record.Encode()
	if err != nil {
		panic(err)
	}
	s.log = append(s.log, fuchsiarouter.Record{Offset: int64(len(s.log)), Data: data})
	s.visibleAt = append(s.visibleAt, now+time.Duration(5+s.random.IntN(20))*time.Millisecond)
	outcome := s.reference.Apply(s.log[len(s.log)-1])
	switch outcome.Verdict {
	case revision.VerdictAccepted:
		section := string(record.Section)
		for _, accepted := range s.reference.AcceptedEdits() {
			if accepted.Record.Section == record.Section {
				s.accepted[section] = append(s.accepted[section], accepted)
			}
		}
		s.acceptedAt[section] = append(s.acceptedAt[section], now)
	case revision.VerdictStale:
		s.lostRaces++
	default:
	}
}

// restart restarts a daemon at the time now: its state is empty again.
func (s *configSimulation) restart(now time.Duration, daemon *configDaemon) {
	daemon.state = s.newState()
	daemon.lastRevisions = map[string]int64{}
	daemon.startedAt = now
}

// step simulates the configTick that ends at now: the entries read the log, and
// each daemon whose heartbeat is due sends it to entries and fetches newer
// revisions from them. With polled set, as in the baseline, each daemon instead
// reads the log once per heartbeat interval. step also drops expired records, cuts
// random entries off from the log, and compares the entries, and the agents whose
// heartbeat is due, with the reference.
func (s *configSimulation) step(now time.Duration, polled bool) error {
	for s.firstOffset < int64(len(s.log)) && s.visibleAt[s.firstOffset] < now-configRetention {
		s.firstOffset++
	}
	for _, entry := range s.entries {
		// Every 20 s, each entry is cut off from the log for 10 s with a
		// probability of one in four.
		if now%(20*time.Second) == 0 && entry.random.IntN(4) == 0 {
			entry.cutOffUntil = now + 10*time.Second
		}
		switch {
		case !polled && now >= entry.cutOffUntil:
			// A long poll returns when there is a record, or after a second.
			if s.readLog(now, entry) || now%configHeartbeatInterval == entry.heartbeatPhase {
				s.logReads.Add(1)
			}
		case polled && now%configHeartbeatInterval == entry.heartbeatPhase:
			s.logReads.Add(1)
			s.readLog(now, entry)
		}
		if !polled && now%configHeartbeatInterval == entry.heartbeatPhase {
			for _, other := range s.entries {
				if err := s.exchangeHeartbeat(entry, other); err != nil {
					return err
				}
			}
		}
		entry.compareWithReference(now, s)
	}
	var group errgroup.Group
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	for _, agent := range s.agents {
		if now%configHeartbeatInterval != agent.heartbeatPhase {
			continue
		}
		group.Go(func() error {
			defer agent.compareWithReference(now, s)
			if polled {
				s.logReads.Add(1)
				s.readLog(now, agent)
				return nil
			}
			for _, entry := range s.watchers(agent) {
				if err := s.exchangeHeartbeat(agent, entry); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return group.Wait()
}

// watchers returns the entries that the agent sends heartbeats to and gets the
// configuration from.
func (s *configSimulation) watchers(agent *configDaemon) []*configDaemon {
	members := make([]fuchsiarouter.Member, 0, configEntries)
	for _, entry := range s.entries {
		members = append(members, fuchsiarouter.Member{ID: entry.id})
	}
	var chosen []*configDaemon
	for _, member := range fleet.Watchers(agent.id, "", members, configWatchers) {
		for _, entry := range s.entries {
			if entry.id == member.ID {
				chosen = append(chosen, entry)
			}
		}
	}
	return chosen
}

// exchangeHeartbeat simulates a heartbeat of the daemon to the entry and, when
// the answer shows that the entry has newer revisions, the daemon's fetch of them.
// One message in fifty is lost.
func (s *configSimulation) exchangeHeartbeat(daemon, entry *configDaemon) error {
	if daemon == entry || daemon.random.IntN(50) == 0 {
		return nil
	}
	for section, number := range entry.state.Revisions() {
		if number > daemon.state.Revisions()[section] && daemon.random.IntN(50) > 0 {
			if _, err := daemon.state.Merge(entry.state.Delta(daemon.state.Revisions())); err != nil {
				return err
			}
			return nil
		}
	}
	return nil
}

// readLog applies the records that are visible at now to the daemon's state and
// reports whether there were new ones.
func (s *configSimulation) readLog(now time.Duration, daemon *configDaemon) bool {
	if s.isLogDown(now) {
		return false
	}
	found := false
	for {
		from := max(daemon.state.NextOffset(), s.firstOffset)
		until := from
		for until < int64(len(s.log)) && until < from+256 && s.visibleAt[until] <= now {
			until++
		}
		batch := fuchsiarouter.Batch{OldestOffset: s.firstOffset, NextOffset: int64(len(s.log)), Records: s.log[min(from, until):until]}
		daemon.state.ApplyBatch(batch)
		if len(batch.Records) == 0 {
			return found
		}
		found = true
	}
}

// report reports the figures of the run. With polled set they are those of the
// baseline, which have no bounds. A publication is an accepted edit.
func (s *configSimulation) report(polled bool, report func(Figure)) {
	prefix := "config"
	if polled {
		prefix = "config-baseline-poll"
	}
	var measured, late, reverts, divergent, behind, publications int
	// lateAnywhere are the publications that were late on at least one daemon.
	lateAnywhere := map[configPublication]bool{}
	daemons := s.daemons()
	for _, daemon := range daemons {
		measured += daemon.measured
		late += len(daemon.late)
		reverts += daemon.reverts
		divergent += daemon.divergent
		maps.Copy(lateAnywhere, daemon.late)
		if !reflect.DeepEqual(daemon.state.Revisions(), s.reference.Revisions()) {
			behind++
		}
	}
	for _, times := range s.acceptedAt {
		publications += len(times)
	}
	everywhere := 1 - float64(len(lateAnywhere))/float64(publications)
	onOneDaemon := 1 - float64(late)/float64(max(measured, 1))
	reads := float64(s.logReads.Load()) / (configDuration + configSettleTime).Seconds()
	if polled {
		// The reads are scaled from the daemons of the baseline to all 606.
		report(Unbounded(prefix+"-everywhere-4s", everywhere, "share of publications"))
		report(Unbounded(prefix+"-daemon-4s", onOneDaemon, "share of publications on a daemon"))
		report(Unbounded(prefix+"-reads-606", reads/float64(len(daemons))*(configEntries+configAgents), "1/s"))
		return
	}
	report(AtLeast(prefix+"-everywhere-4s", everywhere, "share of publications", 0.99))
	report(Unbounded(prefix+"-daemon-4s", onOneDaemon, "share of publications on a daemon"))
	report(Unbounded(prefix+"-publications", float64(publications), "accepted edits"))
	report(AtMost(prefix+"-reverts", float64(reverts), "revisions", 0))
	report(AtMost(prefix+"-divergent", float64(divergent), "revisions", 0))
	report(AtMost(prefix+"-behind-at-end", float64(behind), "daemons", 0))
	report(AtLeast(prefix+"-edits", float64(s.edits), "edits", configEdits))
	report(Unbounded(prefix+"-lost-races", float64(s.lostRaces), "edits"))
	report(Unbounded(prefix+"-failed-appends", float64(s.failedAppends), "attempts"))
	report(Unbounded(prefix+"-measured", float64(measured), "publications on a daemon"))
	report(Unbounded(prefix+"-reads", reads, "1/s"))
}
