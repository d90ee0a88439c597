package ingress

import (
	"encoding/json"
	"maps"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/fuchsiarouter/fuchsiarouter/telemetry"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/roster"
	"github.com/fuchsiarouter/fuchsiarouter/schedule"
)

const (
	// maxMessageBytes is the size of the buffer for a received message, the largest size of
	// a datagram. A longer one is truncated and then ignored as malformed.
	maxMessageBytes = 64 << 10
	// stallRepeatInterval is the time after which a stalled server that is still stalled is
	// reported, or passed on, again.
	stallRepeatInterval = 400 * time.Millisecond
	// registerRetryInterval is the pause before the registry is accessed again after a
	// registration or a read of the registered entries failed.
	registerRetryInterval = 500 * time.Millisecond
	// rosterPollInterval is the interval at which an entry that hears no other one, or a
	// relay that hears no entry of some other availability zone, reads the registered
	// entries from the registry.
	rosterPollInterval = 3 * time.Second
)

// selfEntry returns the description of this entry that the other entries receive.
func (i *Ingress) selfEntry() roster.Entry {
	return roster.Entry{
		Name: i.settings.Name, Started: i.startedUnixMs, PeerAddress: i.settings.PeerAddress, CallerAddress: i.settings.CallerAddress,
		AvailabilityZone: i.settings.AvailabilityZone, Region: i.settings.Region,
		LinkBytesPerSecond: i.settings.LinkBytesPerSecond, Cores: i.settings.Cores,
		Leaving: i.draining.Load(), Unavailable: i.mirror != nil && !i.isAvailable(),
	}
}

// runStatusUpdates runs until the daemon stops. It starts the registration of this entry
// and then, at each roster.ReportInterval, sends what is due to other entries and updates
// the scheduler with this entry's position in its availability zone and with the requests
// of the other entries.
func (i *Ingress) runStatusUpdates() {
	i.background.Go(i.runRegistration)
	ticker := time.NewTicker(roster.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-i.stop:
			return
		case now := <-ticker.C:
			i.sendReports(now, nil, false)
			i.sendZoneDigests(now, nil, false)
			i.mu.Lock()
			position, zoneSize := i.roster.ZonePosition(now)
			i.scheduler.SetEntries(position, zoneSize, i.roster.LiveCount(now)+1)
			i.updateColdView(now, zoneSize)
			i.applyWorkElsewhere(now)
			i.scheduler.SetRequestsElsewhere(now, i.roster.RequestsElsewhere(now))
			silent := i.roster.NewlySilent(now)
			i.mu.Unlock()
			for _, entry := range silent {
				i.log.Warn("entry silent", zap.String("peer", entry.Name), zap.Duration("after", roster.SilenceTimeout))
			}
		}
	}
}

// reportUrgently sends the state of this entry, with the IDs of stalled servers, to the
// relays of its zone at once. If this entry is a relay itself, it also passes the content on.
func (i *Ingress) reportUrgently(now time.Time, stalled []string) {
	i.sendReports(now, stalled, true)
	i.mu.Lock()
	isRelay := i.roster.IsRelay(now)
	i.mu.Unlock()
	if isRelay {
		i.passOn(now, stalled, "")
	}
}

// sendReports sends a report, with the IDs of stalled servers, to the relays that are due
// for one.
func (i *Ingress) sendReports(now time.Time, stalled []string, urgent bool) {
	i.mu.Lock()
	i.roster.SetOwn(i.selfEntry())
	load := i.scheduler.LocalRequests()
	changed := !maps.Equal(load, i.reportedLoad)
	i.reportedLoad = load
	i.roster.SetOwnLoad(load)
	i.roster.SetOwnWork(i.ownWork())
	first, others := i.roster.ReportTargets(now, changed, urgent)
	if first == "" && len(others) == 0 {
		i.mu.Unlock()
		return
	}
	report := i.roster.NewReport(now)
	report.Strikes, report.Stalled, report.Urgent = i.strikes.Strikes(now, maxStrikesPerMessage), stalled, urgent
	report.Parts, report.Leaving = i.partReport(now), i.scheduler.LeavingReport(now)
	i.mu.Unlock()
	if len(others) > 0 {
		i.sendMessage(&roster.Message{Report: &report}, others...)
	}
	if first != "" {
		report.WantLoad = true
		i.sendMessage(&roster.Message{Report: &report}, first)
	}
}

// sendZoneDigests sends a digest of this zone, with the IDs of stalled servers, to the
// relays of the zones that are due for one, if this entry is a relay.
func (i *Ingress) sendZoneDigests(now time.Time, stalled []string, urgent bool) {
	i.mu.Lock()
	listed, unlisted := i.roster.ZoneTargets(now, urgent)
	i.mu.Unlock()
	i.sendZoneDigest(now, true, stalled, urgent, listed...)
	i.sendZoneDigest(now, false, stalled, urgent, unlisted...)
}

// sendZoneDigest sends a digest of this zone to the addresses, with a list of its entries if
// listed is set.
func (i *Ingress) sendZoneDigest(now time.Time, listed bool, stalled []string, urgent bool, targets ...string) {
	if len(targets) == 0 {
		return
	}
	i.mu.Lock()
	digest := i.roster.ZoneDigest(now, listed)
	digest.Strikes, digest.Stalled, digest.Urgent = i.strikes.Strikes(now, maxStrikesPerMessage), stalled, urgent
	digest.Parts, digest.Leaving = i.partReport(now), i.scheduler.LeavingReport(now)
	i.mu.Unlock()
	i.sendMessage(&roster.Message{Digest: &digest}, targets...)
}

// sendDigest answers a report with a digest, or sends one without a request that has the
// IDs of stalled servers.
func (i *Ingress) sendDigest(now time.Time, address string, report *roster.Report, stalled []string) {
	i.mu.Lock()
	digest := i.roster.DigestFor(now, address, report.Members, report.Wanted, report.WantLoad)
	digest.Strikes, digest.Stalled = i.strikes.Strikes(now, maxStrikesPerMessage), stalled
	digest.Parts, digest.Leaving = i.partReport(now), i.scheduler.LeavingReport(now)
	i.mu.Unlock()
	i.sendMessage(&roster.Message{Digest: &digest}, address)
}

// partReport returns what other entries need to know of the parts of prompts, or nil if there
// is nothing to tell. The caller holds the lock.
func (i *Ingress) partReport(now time.Time) *fuchsiarouter.PartReport {
	report := i.promptParts.Report(now)
	if report.IsEmpty() {
		return nil
	}
	return &report
}

// passOn sends what this relay knows, with the IDs of stalled servers, to all entries whose
// reports it answers, except the one with the given address, and to the relays of the other
// zones.
func (i *Ingress) passOn(now time.Time, stalled []string, except string) {
	i.passOnInZone(now, stalled, except)
	i.sendZoneDigests(now, stalled, true)
}

// passOnInZone is passOn without the relays of the other zones.
func (i *Ingress) passOnInZone(now time.Time, stalled []string, except string) {
	i.mu.Lock()
	clients := i.roster.Clients(now)
	i.mu.Unlock()
	for _, client := range clients {
		if client != except {
			i.sendDigest(now, client, &roster.Report{}, stalled)
		}
	}
}

// sendMessage sends a message to the addresses.
func (i *Ingress) sendMessage(message *roster.Message, addresses ...string) {
	body, err := message.Encode()
	if err != nil {
		i.log.Error("status message not encoded", telemetry.Cause(err))
		return
	}
	for _, recipient := range addresses {
		address, err := netip.ParseAddrPort(recipient)
		if err != nil {
			i.log.Warn("peer with invalid address ignored", zap.String("peer", recipient), telemetry.Cause(err))
			continue
		}
		if _, err := i.peerSocket.WriteToUDPAddrPort(body, address); err != nil {
			i.metrics.statusFailures.Inc(1)
		}
	}
}

// receiveStatusMessages applies the reports and digests of other entries and the engine
// states that loaders send. It runs until the process ends or, once stop is closed, until
// the next read error.
func (i *Ingress) receiveStatusMessages() {
	buffer := make([]byte, maxMessageBytes)
	for {
		n, _, err := i.peerSocket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			select {
			case <-i.stop:
				return
			default:
				i.metrics.statusFailures.Inc(1)
				continue
			}
		}
		message, err := roster.Decode(buffer[:n])
		if err != nil {
			i.log.Warn("malformed status message ignored", zap.Int("bytes", n), telemetry.Cause(err))
			continue
		}
		now := time.Now()
		switch {
		case message.Engine != nil:
			i.mu.Lock()
			i.roster.RecordEngine(now, *message.Engine)
			i.applyEngines(now, []roster.EngineStatus{*message.Engine})
			i.mu.Unlock()
		case message.LeavingEngine != nil:
			i.receiveLeavingEngine(now, *message.LeavingEngine)
		case message.Report != nil:
			i.receiveReport(now, message.Report)
		case message.Digest != nil:
			i.receiveDigest(now, message.Digest)
		}
	}
}

// receiveReport applies the report of another entry and answers it. What is new in an
// urgent report is passed on to all entries.
func (i *Ingress) receiveReport(now time.Time, report *roster.Report) {
	i.mu.Lock()
	discovered, accepted := i.roster.ReceiveReport(now, report)
	if !accepted {
		i.mu.Unlock()
		return
	}
	i.strikes.Merge(now, report.Strikes)
	i.applyEngines(now, report.Engines)
	stalled := i.takeNewStalls(now, report.Stalled)
	membersChanged := i.noteMembers(now)
	leavingAdded := i.mergeLeaving(now, report.Leaving, report.Entry.Name)
	i.mu.Unlock()
	i.applyPeerStalls(now, stalled)
	i.mergeParts(now, report.Parts)
	i.sendDigest(now, report.Entry.PeerAddress, report, nil)
	if report.Urgent && (len(stalled) > 0 || membersChanged || leavingAdded) {
		i.passOn(now, stalled, report.Entry.PeerAddress)
	}
	if discovered {
		i.log.Info("entry heard", zap.String("peer", report.Entry.Name))
	}
}

// receiveDigest applies the digest of a relay. What is new in an urgent digest of another
// zone is passed on to the entries whose reports this one answers.
func (i *Ingress) receiveDigest(now time.Time, digest *roster.Digest) {
	i.mu.Lock()
	newLoad, answer := i.roster.ReceiveDigest(now, digest)
	if newLoad {
		i.applyWorkElsewhere(now)
		i.scheduler.SetRequestsElsewhere(now, i.roster.RequestsElsewhere(now))
	}
	i.strikes.Merge(now, digest.Strikes)
	i.applyEngines(now, digest.Engines)
	stalled := i.takeNewStalls(now, digest.Stalled)
	membersChanged := i.noteMembers(now)
	leavingAdded := i.mergeLeaving(now, digest.Leaving, digest.Sender)
	i.mu.Unlock()
	i.applyPeerStalls(now, stalled)
	i.mergeParts(now, digest.Parts)
	if answer {
		i.sendZoneDigest(now, true, nil, false, digest.Sender)
	}
	if digest.Urgent && (len(stalled) > 0 || membersChanged || leavingAdded) {
		i.passOnInZone(now, stalled, "")
	}
}

// applyEngines passes the states of model engines to the scheduler. The caller holds the
// lock.
func (i *Ingress) applyEngines(now time.Time, engines []roster.EngineStatus) {
	for _, engine := range engines {
		i.scheduler.SetEngineState(now, schedule.EngineState{
			Address: engine.Address, Versions: engine.Versions, LoadingWeights: engine.Loading,
			TimeToLoad: time.Duration(engine.LoadsInMilliseconds) * time.Millisecond, Number: engine.Number,
		})
	}
}

// takeNewStalls returns the servers of the list that were not reported as stalled within
// stallRepeatInterval, and records that they are now. The caller holds the lock.
func (i *Ingress) takeNewStalls(now time.Time, servers []string) []string {
	var fresh []string
	for _, server := range servers {
		if now.Sub(i.stallsReportedAt[server]) >= stallRepeatInterval {
			i.stallsReportedAt[server] = now
			fresh = append(fresh, server)
		}
	}
	if len(fresh) > 0 {
		for server, at := range i.stallsReportedAt {
			if now.Sub(at) > time.Minute {
				delete(i.stallsReportedAt, server)
			}
		}
	}
	return fresh
}

// noteMembers reports whether the set of the live entries differs from that of the previous
// call. The caller holds the lock.
func (i *Ingress) noteMembers(now time.Time) bool {
	members := i.roster.MembersFingerprint(now)
	changed := members != i.knownMembers
	i.knownMembers = members
	return changed
}

// runRegistration runs until the daemon stops. It registers this entry in the registry,
// retrying until that succeeds, and again when the registry was restored from a backup,
// which may lack the registration. It reads the registrations of the other entries while no
// other entry is known to be live, or, as a relay, none of another zone. It registers
// before it reads, so that of two entries that start at the same time, at least one finds
// the other and sends it a report, from which the other one learns of the first.
func (i *Ingress) runRegistration() {
	body, err := json.Marshal(i.selfEntry())
	if err != nil {
		i.log.Error("registration not encoded", telemetry.Cause(err))
		return
	}
	registeredIn := int64(-1)
	isRegistered := func() bool { return registeredIn >= i.mirror.Epoch() }
	for first := true; ; first = false {
		i.registerSettledEpoch(time.Now())
		if !isRegistered() {
			if epoch, err := i.registry.Put(fuchsiarouter.TopicEntries, i.settings.PeerAddress, body); err != nil {
				i.log.Warn("registration not written", telemetry.Cause(err))
			} else {
				registeredIn = epoch
			}
		}
		pause := rosterPollInterval
		if !i.readRoster() || !isRegistered() {
			pause = registerRetryInterval
		}
		if first {
			close(i.rosterRead)
		}
		for {
			timer := time.NewTimer(pause)
			select {
			case <-i.stop:
				timer.Stop()
				return
			case <-timer.C:
			}
			i.mu.Lock()
			now := time.Now()
			incomplete := i.roster.LiveCount(now) == 0 || i.roster.IsRelay(now) && i.roster.HasSilentZone(now)
			i.mu.Unlock()
			if incomplete || !isRegistered() || i.hasUnregisteredSettlement(now) {
				break
			}
		}
	}
}

// readRoster reads the registered entries from the registry and adds them to the roster.
// It reports whether they could be read.
func (i *Ingress) readRoster() bool {
	batch, err := i.registry.ReadNewest(fuchsiarouter.TopicEntries)
	if err != nil {
		i.log.Warn("registered entries not read", telemetry.Cause(err))
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.settlement.epoch, i.settlement.isRead = batch.Epoch, true
	for _, record := range batch.Records {
		if record.Key == settledEpochKey {
			i.receiveSettledEpoch(record.Value)
			continue
		}
		var entry roster.Entry
		if err := json.Unmarshal(record.Value, &entry); err != nil || entry.PeerAddress == "" {
			i.log.Warn("malformed registration ignored", zap.String("key", record.Key), telemetry.Cause(err))
			continue
		}
		i.roster.Register(time.Now(), entry)
	}
	i.rosterKnown = true
	return true
}
