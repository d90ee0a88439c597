package roster

import "time"

const (
	// relaysPerZone is the number of relays of an availability zone.
	relaysPerZone = 2
	// ReportInterval is the time between two reports to the first relay while the reported
	// requests change, idleReportInterval the time between two others: to the first relay
	// while nothing changes, and to the second one.
	ReportInterval     = 150 * time.Millisecond
	idleReportInterval = 300 * time.Millisecond
	// relayTimeout is the time for which a relay may leave reports unanswered before another
	// entry is used in its place. A relay answers each report at once.
	relayTimeout = 400 * time.Millisecond
	// probeInterval is the time between two reports to an entry that would be a relay but
	// does not answer.
	probeInterval = time.Second
	// zoneDigestInterval is the time between two digests of the first relay of a zone to the
	// first relay of another one. It is half of that while at most smallFleet other entries
	// are known. From or to a second relay, secondaryFactor times that passes.
	zoneDigestInterval = 300 * time.Millisecond
	smallFleet         = 20
	secondaryFactor    = 3
	// zoneAnswerInterval is the time without a message to a relay of another zone after which
	// its digest is answered at once.
	zoneAnswerInterval = zoneDigestInterval
	// intervalTolerance is subtracted from intervals, because the ticks of the sender vary a
	// little.
	intervalTolerance = ReportInterval / 2
)

// isUnanswered reports whether the peer has left messages unanswered for relayTimeout.
func (p *peerEntry) isUnanswered(now time.Time) bool {
	return !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) >= relayTimeout
}

// recordSent records that a message that expects an answer is sent to the peer.
func (p *peerEntry) recordSent(now time.Time) {
	p.lastSent = now
	if p.unansweredSince.IsZero() {
		p.unansweredSince = now
	}
}

// relays returns the relays of the own availability zone, the first one first, possibly
// with this entry itself: the best readers of those that are live or were registered
// recently, that answer reports and are not leaving.
func (r *Roster) relays(now time.Time) []*peerEntry {
	var best []*peerEntry
	if !r.self.Leaving {
		best = append(best, r.self)
	}
	for _, peer := range r.sorted {
		if !r.isLocal(peer) {
			break
		}
		if (peer.isLive(now) || now.Before(peer.registeredUntil)) && !peer.Leaving && !peer.isUnanswered(now) {
			best = insertRelay(best, peer)
		}
	}
	return best
}

// insertRelay inserts a candidate into the list of the best relaysPerZone ones.
func insertRelay(best []*peerEntry, candidate *peerEntry) []*peerEntry {
	position := len(best)
	for position > 0 && isBetterReader(&candidate.Entry, &best[position-1].Entry) {
		position--
	}
	if position >= relaysPerZone {
		return best
	}
	best = append(best, nil)
	copy(best[position+1:], best[position:])
	best[position] = candidate
	return best[:min(len(best), relaysPerZone)]
}

// relayRank returns the position of this entry among the relays of its zone, or -1.
func (r *Roster) relayRank(now time.Time) int {
	for i, relay := range r.relays(now) {
		if relay == r.self {
			return i
		}
	}
	return -1
}

// IsRelay reports whether this entry is a relay of its zone.
func (r *Roster) IsRelay(now time.Time) bool { return r.relayRank(now) >= 0 }

// ReportTargets returns the addresses of the entries that a report is due for, and records
// that it is sent to them now: the first relay, or "", and others, whose loads this entry
// does not use. changed is set when the requests in flight have changed since the last call.
// An urgent report is due for all relays.
func (r *Roster) ReportTargets(now time.Time, changed, urgent bool) (first string, others []string) {
	send := func(peer *peerEntry) {
		peer.recordSent(now)
		others = append(others, peer.PeerAddress)
	}
	relays := r.relays(now)
	for i, relay := range relays {
		if relay == r.self {
			continue
		}
		interval := idleReportInterval
		if i == 0 && changed || !relay.unansweredSince.IsZero() {
			interval = 0
		}
		switch {
		case !urgent && now.Sub(relay.lastSent) < interval-intervalTolerance:
		case i == 0:
			relay.recordSent(now)
			first = relay.PeerAddress
		default:
			send(relay)
		}
	}
	// The entries that would be relays if they answered.
	var expected []*peerEntry
	for _, peer := range r.sorted {
		if !r.isLocal(peer) {
			break
		}
		if !peer.Leaving {
			expected = insertRelay(expected, peer)
		}
	}
	for _, peer := range expected {
		if now.Sub(peer.lastSent) >= probeInterval && (peer.isUnanswered(now) || !peer.isLive(now)) {
			send(peer)
		}
	}
	return first, others
}

// ZoneTargets returns the addresses of the relays of other availability zones that a digest
// is due for, and records that it is sent to them now: those to which it is to list the live
// entries, and the others. Only the relays of a zone send such digests. An urgent digest is
// due for all zones.
func (r *Roster) ZoneTargets(now time.Time, urgent bool) (listed, unlisted []string) {
	rank := r.relayRank(now)
	if rank < 0 {
		return nil, nil
	}
	fingerprint := r.fingerprints(now)[r.self.AvailabilityZone]
	interval := zoneDigestInterval
	if len(r.peers) <= smallFleet {
		interval /= 2
	}
	secondary := secondaryFactor * interval
	if rank > 0 {
		interval = secondary
	}
	for zone, members := range r.otherZones() {
		state := r.zone(zone)
		if !urgent && now.Sub(state.digestSentAt) < interval-intervalTolerance {
			continue
		}
		state.previousDigestSentAt, state.digestSentAt = state.digestSentAt, now
		var best []*peerEntry
		for _, peer := range members {
			if (peer.isLive(now) || now.Before(peer.registeredUntil)) && !peer.Leaving && !peer.isUnanswered(now) {
				best = insertRelay(best, peer)
			}
		}
		if len(best) == 0 {
			// No entry of the zone is known to be live and to answer: all are tried in turn.
			for range min(relaysPerZone, len(members)) {
				best = append(best, members[state.nextProbe%len(members)])
				state.nextProbe++
			}
		}
		if !urgent && now.Sub(state.sentToAllAt) < secondary-intervalTolerance {
			best = best[:1]
		} else {
			state.sentToAllAt = now
		}
		withList := state.isListWanted || state.listed != fingerprint || now.Sub(state.listedAt) >= zoneListInterval
		if withList {
			state.isListWanted, state.listed, state.listedAt = false, fingerprint, now
		}
		for _, peer := range best {
			peer.recordSent(now)
			if withList {
				listed = append(listed, peer.PeerAddress)
			} else {
				unlisted = append(unlisted, peer.PeerAddress)
			}
		}
	}
	return listed, unlisted
}

// otherZones returns the known entries of the other availability zones by zone.
func (r *Roster) otherZones() map[string][]*peerEntry {
	zones := map[string][]*peerEntry{}
	for _, peer := range r.sorted {
		if !r.isLocal(peer) {
			zones[peer.AvailabilityZone] = append(zones[peer.AvailabilityZone], peer)
		}
	}
	return zones
}

// Clients returns the addresses of the entries whose reports this entry answers.
func (r *Roster) Clients(now time.Time) []string {
	var addresses []string
	for _, peer := range r.sorted {
		if now.Sub(peer.reportedAt) < SilenceTimeout {
			addresses = append(addresses, peer.PeerAddress)
		}
	}
	return addresses
}
