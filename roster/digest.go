package roster

import (
	"maps"
	"slices"
	"time"
)

const (
	// loadTimeout is the time after which the requests in flight of an entry that sent no
	// report, and those in a digest without a successor, no longer count.
	loadTimeout = SilenceTimeout
	// zoneLoadTimeout is the same for the digests of other zones. firstRelayPreference is the
	// time for which the loads of the first relay of a zone replace those of the second.
	zoneLoadTimeout      = 1200 * time.Millisecond
	firstRelayPreference = 700 * time.Millisecond
	// zoneListInterval is the time between two digests to another zone that list the live
	// entries although they have not changed and the list is not wanted.
	zoneListInterval = 5 * time.Second
	// remoteLoadInterval is the time between two digests to an entry with the loads of the
	// other zones. It grows with the number of these beyond fewZones, since the loads do.
	remoteLoadInterval = 600 * time.Millisecond
	fewZones           = 8
	// engineRenewal is the time after which an unchanged engine state is passed on again.
	engineRenewal = 500 * time.Millisecond
	// loadTimeTolerance is the difference of the expected times of the next load up to which
	// two engine states are the same.
	loadTimeTolerance = 200 * time.Millisecond
	// reportEngineFor is the time for which an engine state is part of the reports, so that it
	// reaches both relays and may be lost once.
	reportEngineFor = idleReportInterval + ReportInterval
)

// zoneState is what an entry knows of another availability zone.
type zoneState struct {
	// load holds the requests in flight of the entries of the zone, as of loadAt.
	// loadFromFirst is set when the first relay of the zone sent it.
	load          map[uint32]int
	loadAt        time.Time
	loadFromFirst bool
	// work is the work of the workspaces at the entries of the zone, as of loadAt too.
	work *Work
	// digestSentAt is the time of the last digest to the zone, previousDigestSentAt that of
	// the one before it, and sentToAllAt that of the last one to both of its relays.
	digestSentAt, previousDigestSentAt, sentToAllAt time.Time
	// listedAt is the time of the last digest to the zone that listed the live entries, and
	// listed their fingerprint. isListWanted is set when a relay of the zone has asked for
	// the list since.
	listedAt     time.Time
	listed       uint64
	isListWanted bool
	// nextProbe is the index of the next entry to try while none is known to be live.
	nextProbe int
}

// relayLoad holds the requests in flight of the other entries, from a digest.
type relayLoad struct {
	zone, remote map[uint32]int
	receivedAt   time.Time
	// work is the work of the workspaces at the other entries.
	work *Work
}

// origin says from where an engine state came to this entry, which decides where it is
// passed on to: every state goes to the relays of the zone, from there to all entries of
// the zone and the relays of the other zones, and from these to the entries of their zones.
type origin int

const (
	fromLoader origin = iota
	fromZone
	fromOtherZone
)

// engineNews is the recent state of a model engine.
type engineNews struct {
	status EngineStatus
	origin origin
	// loadsAt is the expected time of the next load, zero if none is planned.
	loadsAt time.Time
	// changedAt is the time at which the state was last new, or was to be renewed.
	changedAt time.Time
}

// zone returns the state of another availability zone and creates it on first use.
func (r *Roster) zone(name string) *zoneState {
	state := r.zones[name]
	if state == nil {
		state = &zoneState{}
		r.zones[name] = state
	}
	return state
}

// NewReport returns the report of this entry, without strikes and stalls.
func (r *Roster) NewReport(now time.Time) Report {
	report := Report{Entry: r.self.Entry, Members: r.MembersFingerprint(now), Wanted: slices.Collect(maps.Keys(r.wanted)), Load: r.ownLoad, Work: r.ownWork}
	for _, news := range r.engines {
		if news.origin == fromLoader && now.Sub(news.changedAt) < reportEngineFor {
			report.Engines = append(report.Engines, news.statusAt(now))
		}
	}
	return report
}

// fingerprints returns a hash of the live entries of each availability zone, in which the
// order of the entries does not matter. The own zone includes this entry.
func (r *Roster) fingerprints(now time.Time) map[string]uint64 {
	sums := map[string]uint64{r.self.AvailabilityZone: r.self.fingerprint}
	for start := 0; start < len(r.sorted); {
		zone, sum := r.sorted[start].AvailabilityZone, uint64(0)
		for start < len(r.sorted) && r.sorted[start].AvailabilityZone == zone {
			if r.sorted[start].isLive(now) {
				sum += r.sorted[start].fingerprint
			}
			start++
		}
		if sum != 0 {
			sums[zone] += sum
		}
	}
	return sums
}

// MembersFingerprint returns a hash of the live entries of all zones, this one included.
func (r *Roster) MembersFingerprint(now time.Time) uint64 {
	sum := r.self.fingerprint
	for _, peer := range r.sorted {
		if peer.isLive(now) {
			sum += peer.fingerprint
		}
	}
	return sum
}

// ReceiveReport records the report of an entry. It reports whether the entry was not live
// before, and whether the report is accepted: that of a process that a newer one has
// replaced is not.
func (r *Roster) ReceiveReport(now time.Time, report *Report) (discovered, accepted bool) {
	peer := r.upsert(now, report.Entry)
	if peer == nil {
		return false, false
	}
	discovered = !peer.isLive(now)
	peer.unansweredSince = time.Time{}
	peer.confirm(now, SilenceTimeout)
	peer.reportedAt, peer.load, peer.work = now, report.Load, report.Work
	for _, status := range report.Engines {
		r.recordEngine(now, status, fromZone)
	}
	return discovered, true
}

// DigestFor returns the answer to a report, without strikes and stalls. members and wanted
// are those of the report. The requests in flight are included if withLoad is set.
func (r *Roster) DigestFor(now time.Time, address string, members uint64, wanted []string, withLoad bool) Digest {
	digest := Digest{Sender: r.self.PeerAddress, Zone: r.self.AvailabilityZone, Members: r.MembersFingerprint(now)}
	if digest.Members != members {
		for zone, fingerprint := range r.fingerprints(now) {
			entries := ZoneEntries{Zone: zone, Fingerprint: fingerprint}
			if slices.Contains(wanted, zone) {
				entries.Listed, entries.Entries = true, r.liveInZone(now, zone)
			}
			digest.Zones = append(digest.Zones, entries)
		}
	}
	peer := r.peers[address]
	if peer == nil {
		return digest
	}
	for _, news := range r.engines {
		if news.changedAt.After(peer.digestSentAt) {
			digest.Engines = append(digest.Engines, news.statusAt(now))
		}
	}
	peer.digestSentAt = now
	if withLoad {
		digest.HasLoad, digest.Load, digest.Work = true, r.zoneLoad(now, address), r.zoneWork(now, address, true)
		interval := remoteLoadInterval * time.Duration(max(len(r.zones), fewZones)) / fewZones
		if now.Sub(peer.remoteLoadSentAt) >= interval-intervalTolerance {
			peer.remoteLoadSentAt = now
			digest.HasRemoteLoad, digest.RemoteLoad = true, r.remoteLoad(now)
		}
	}
	return digest
}

// liveInZone returns the live entries of a zone, this one included.
func (r *Roster) liveInZone(now time.Time, zone string) []Entry {
	var entries []Entry
	if zone == r.self.AvailabilityZone {
		entries = append(entries, r.self.Entry)
	}
	for _, peer := range r.sorted {
		if peer.AvailabilityZone == zone && peer.isLive(now) {
			entries = append(entries, peer.Entry)
		}
	}
	return entries
}

// ZoneDigest returns the digest of the own availability zone for the relays of the others,
// without strikes and stalls. The live entries are listed if listed is set. ZoneTargets is to
// be called before it.
func (r *Roster) ZoneDigest(now time.Time, listed bool) Digest {
	members := ZoneEntries{Zone: r.self.AvailabilityZone, Fingerprint: r.fingerprints(now)[r.self.AvailabilityZone], Listed: listed}
	if listed {
		members.Entries = r.liveInZone(now, members.Zone)
	}
	since := now
	for _, state := range r.zones {
		if state.previousDigestSentAt.Before(since) {
			since = state.previousDigestSentAt
		}
	}
	digest := Digest{
		Sender: r.self.PeerAddress, Zone: r.self.AvailabilityZone, Secondary: r.relayRank(now) != 0,
		Zones: []ZoneEntries{members}, Wanted: slices.Collect(maps.Keys(r.wanted)), HasLoad: true, Load: r.zoneLoad(now, ""),
		Work: r.zoneWork(now, "", false),
	}
	for _, news := range r.engines {
		if news.origin != fromOtherZone && news.changedAt.After(since) {
			digest.Engines = append(digest.Engines, news.statusAt(now))
		}
	}
	return digest
}

// ReceiveDigest records a digest of a relay. newLoad reports whether the requests in flight
// of the other entries may have changed. answer reports whether the digest is to be answered
// with one of the own zone: the sender is a relay of another zone that was sent none
// recently, because this entry did not know it as a relay.
func (r *Roster) ReceiveDigest(now time.Time, digest *Digest) (newLoad, answer bool) {
	sender := r.peers[digest.Sender]
	if digest.Zone != r.self.AvailabilityZone {
		newLoad = r.receiveZoneDigest(now, digest)
		if slices.Contains(digest.Wanted, r.self.AvailabilityZone) {
			r.zone(digest.Zone).isListWanted = true
		}
		if sender = r.peers[digest.Sender]; sender != nil {
			sender.unansweredSince = time.Time{}
			answer = now.Sub(sender.lastSent) >= zoneAnswerInterval
			if answer {
				sender.lastSent = now
			}
		}
		return newLoad, answer
	}
	if sender == nil {
		return false, false
	}
	sender.unansweredSince = time.Time{}
	sender.confirm(now, SilenceTimeout)
	relays := r.relays(now)
	isFirst := len(relays) > 0 && relays[0] == sender
	if !isBetterReader(&sender.Entry, &r.self.Entry) {
		// News from entries that follow this one in the order of relays would return to
		// them. Entries that are unknown here are only learned of.
		for _, zone := range digest.Zones {
			for _, entry := range zone.Entries {
				if r.peers[entry.PeerAddress] == nil {
					r.Register(now, entry)
				}
			}
		}
		return false, false
	}
	r.receiveMembers(now, digest, sender, isFirst)
	if !isFirst || !digest.HasLoad {
		return false, false
	}
	r.relayLoad.zone, r.relayLoad.receivedAt, r.relayLoad.work = digest.Load, now, digest.Work
	if digest.HasRemoteLoad {
		r.relayLoad.remote = digest.RemoteLoad
	}
	return true, false
}

// receiveMembers applies the live entries in a digest of a relay of the own zone. The views
// of two relays differ for short times, so only the first one adds and removes entries.
func (r *Roster) receiveMembers(now time.Time, digest *Digest, sender *peerEntry, isFirst bool) {
	if digest.Members == r.MembersFingerprint(now) {
		for _, peer := range r.sorted {
			if peer.isLive(now) {
				peer.confirm(now, digestTimeout)
			}
		}
		clear(r.wanted)
		return
	}
	fingerprints := r.fingerprints(now)
	listed := map[string]bool{}
	for i := range digest.Zones {
		zone := &digest.Zones[i]
		listed[zone.Zone] = true
		switch {
		case fingerprints[zone.Zone] == zone.Fingerprint:
			r.confirmZone(now, zone.Zone, digestTimeout)
			delete(r.wanted, zone.Zone)
		case !isFirst:
		case zone.Listed:
			r.receiveList(now, zone, digestTimeout, sender)
			delete(r.wanted, zone.Zone)
		default:
			r.wanted[zone.Zone] = true
		}
	}
	if !isFirst || len(digest.Zones) == 0 {
		return
	}
	for _, peer := range r.sorted {
		if !listed[peer.AvailabilityZone] && peer.isLive(now) {
			peer.liveUntil = now
		}
	}
}

// confirmZone confirms the live entries of a zone.
func (r *Roster) confirmZone(now time.Time, zone string, duration time.Duration) {
	for _, peer := range r.sorted {
		if peer.AvailabilityZone == zone && peer.isLive(now) {
			peer.confirm(now, duration)
		}
	}
}

// receiveList replaces the live entries of a zone. The sender of the list stays live.
func (r *Roster) receiveList(now time.Time, zone *ZoneEntries, duration time.Duration, sender *peerEntry) {
	listed := make(map[*peerEntry]bool, len(zone.Entries))
	for _, entry := range zone.Entries {
		if entry.AvailabilityZone != zone.Zone {
			continue
		}
		if peer := r.upsert(now, entry); peer != nil {
			peer.confirm(now, duration)
			listed[peer] = true
		}
	}
	for _, peer := range r.sorted {
		if peer.AvailabilityZone == zone.Zone && peer != sender && !listed[peer] && peer.isLive(now) {
			peer.liveUntil = now
		}
	}
}

// receiveZoneDigest applies the digest of a relay of another zone. It reports whether this
// entry uses the requests in flight in it.
func (r *Roster) receiveZoneDigest(now time.Time, digest *Digest) (newLoad bool) {
	fingerprint := r.fingerprints(now)[digest.Zone]
	for i := range digest.Zones {
		zone := &digest.Zones[i]
		switch {
		case zone.Zone != digest.Zone:
		case zone.Listed && !digest.Secondary:
			r.receiveList(now, zone, zoneDigestTimeout, nil)
			delete(r.wanted, zone.Zone)
		case zone.Listed:
			for _, entry := range zone.Entries {
				if peer := r.upsert(now, entry); peer != nil {
					peer.confirm(now, zoneDigestTimeout)
				}
			}
		case fingerprint == zone.Fingerprint:
			r.confirmZone(now, zone.Zone, zoneDigestTimeout)
			delete(r.wanted, zone.Zone)
		case !digest.Secondary:
			r.wanted[zone.Zone] = true
		}
	}
	for _, status := range digest.Engines {
		r.recordEngine(now, status, fromOtherZone)
	}
	state := r.zone(digest.Zone)
	if digest.Secondary && state.loadFromFirst && now.Sub(state.loadAt) < firstRelayPreference {
		return false
	}
	state.load, state.loadAt, state.loadFromFirst, state.work = digest.Load, now, !digest.Secondary, digest.Work
	return r.relayRank(now) == 0
}

// RecordEngine records the state of a model engine that its loader sent to this entry.
func (r *Roster) RecordEngine(now time.Time, status EngineStatus) {
	r.recordEngine(now, status, fromLoader)
}

// recordEngine records the state of a model engine, unless it is superseded by a known one. A
// state that is the same as the last one is passed on again only after engineRenewal.
func (r *Roster) recordEngine(now time.Time, status EngineStatus, from origin) {
	news := &engineNews{status: status, origin: from, changedAt: now}
	if status.LoadsInMilliseconds > 0 {
		news.loadsAt = now.Add(time.Duration(status.LoadsInMilliseconds) * time.Millisecond)
	}
	if known := r.engines[status.Address]; known != nil {
		switch {
		case status.Number != 0 && status.Number == known.status.Number:
			known.origin = min(known.origin, from)
			return
		case status.Number.IsSupersededBy(known.status.Number):
			return
		case known.isSame(news) && now.Sub(known.changedAt) < engineRenewal:
			known.origin = min(known.origin, from)
			known.status.Number = status.Number
			return
		}
	}
	r.engines[status.Address] = news
	for address, news := range r.engines {
		if now.Sub(news.changedAt) > forgetAfter {
			delete(r.engines, address)
		}
	}
}

// isSame reports whether two states of an engine differ in nothing but their age.
func (n *engineNews) isSame(other *engineNews) bool {
	return n.status.Loading == other.status.Loading && n.loadsAt.IsZero() == other.loadsAt.IsZero() &&
		n.loadsAt.Sub(other.loadsAt).Abs() < loadTimeTolerance && maps.Equal(n.status.Versions, other.status.Versions)
}

// statusAt returns the state with the time to the next load as of now.
func (n *engineNews) statusAt(now time.Time) EngineStatus {
	status := n.status
	if !n.loadsAt.IsZero() {
		status.LoadsInMilliseconds = max(n.loadsAt.Sub(now).Milliseconds(), 0)
	}
	return status
}

// RequestsElsewhere returns the requests that the other entries have in flight, by the key
// of the server: those that were reported to this entry if it is the first relay of its
// zone, and otherwise those in the last digest of the first relay.
func (r *Roster) RequestsElsewhere(now time.Time) map[uint32]int {
	if r.relayRank(now) == 0 {
		counts := r.remoteLoad(now)
		r.addPeerLoad(counts, now, "")
		return counts
	}
	counts := map[uint32]int{}
	if now.Sub(r.relayLoad.receivedAt) < loadTimeout {
		addLoad(counts, r.relayLoad.zone)
		addLoad(counts, r.relayLoad.remote)
	}
	return counts
}

// zoneLoad returns the requests in flight of the entries of the own zone, this entry
// included, except those of the entry with the given address.
func (r *Roster) zoneLoad(now time.Time, except string) map[uint32]int {
	counts := map[uint32]int{}
	addLoad(counts, r.ownLoad)
	r.addPeerLoad(counts, now, except)
	return counts
}

// addPeerLoad adds the recently reported requests of the other entries of the own zone,
// except those of the entry with the given address, to counts.
func (r *Roster) addPeerLoad(counts map[uint32]int, now time.Time, except string) {
	for _, peer := range r.sorted {
		if !r.isLocal(peer) {
			return
		}
		if peer.PeerAddress != except && now.Sub(peer.reportedAt) < loadTimeout {
			addLoad(counts, peer.load)
		}
	}
}

// remoteLoad returns the requests in flight of the entries of the other zones.
func (r *Roster) remoteLoad(now time.Time) map[uint32]int {
	counts := map[uint32]int{}
	for _, state := range r.zones {
		if now.Sub(state.loadAt) < zoneLoadTimeout {
			addLoad(counts, state.load)
		}
	}
	return counts
}

// addLoad adds a load to counts by server.
func addLoad(counts, load map[uint32]int) {
	for server, count := range load {
		counts[server] += count
	}
}
