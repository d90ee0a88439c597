// Package roster tracks the entries, which are ingress daemons here, and which of them
// callers may use.
//
// Each entry registers once at the platform. While they run, the entries of an availability
// zone report their state several times a second to the relays of the zone, the two entries
// with the most bandwidth. A relay answers each report with a digest of what it knows: the
// live entries, and the requests in flight at the backend servers. The relays of different
// zones send each other a digest of their zone. The number of messages of an entry thus
// depends neither on the number of entries of its zone nor on that of the others; a relay
// handles a number that grows with the entries of its zone and the number of zones.
//
// There is no election: each entry derives the relays from the entries that it knows to be
// live. An entry that receives reports answers them, whether or not it sees itself as a
// relay, so entries that know different members converge. An entry accepts news about the
// members of its own zone only from a relay that precedes it in the order of the relays, so
// a member that has died cannot be kept alive by entries that repeat each other's news.
//
// An entry is live while reports or digests confirm it. An entry that is not live is not
// given to callers.
//
// A Roster has no clock, goroutine or lock of its own. It is not safe for concurrent use.
package roster

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// SilenceTimeout is the time without a message from an entry after which its relays
	// consider it dead. Reports are sent every 150 to 300 ms, and datagrams may be lost.
	SilenceTimeout = 900 * time.Millisecond
	// digestTimeout is the time for which a digest of a relay of the own zone confirms the
	// entries in it. It covers the time until an entry has noticed that its relays are gone
	// and another relay has received the reports of all entries.
	digestTimeout = 1500 * time.Millisecond
	// zoneDigestTimeout is the time for which a digest of another zone confirms the entries
	// in it. It covers the time until the relays of both zones are replaced and have found
	// each other, if all of them end at the same time.
	zoneDigestTimeout = 2 * time.Second
	// registrationTimeout is the time for which an entry whose registration was read may be
	// used as a relay before any message from it was received.
	registrationTimeout = 2 * time.Second
	// forgetAfter is the time without a confirmation after which an entry is removed.
	forgetAfter = 5 * time.Minute
)

// Entry is the description that an entry sends of itself.
type Entry struct {
	_    struct{} `cbor:",toarray"`
	Name string   `json:"name"`
	// Started is the Unix time of the start in ms, which distinguishes processes that
	// run at the same address one after the other.
	Started int64 `json:"started"`
	// PeerAddress is the address for other daemons, CallerAddress the one for callers.
	PeerAddress      string `json:"peers"`
	CallerAddress    string `json:"callers"`
	AvailabilityZone string `json:"availability-zone"`
	Region           string `json:"region"`
	// LinkBytesPerSecond is the bandwidth of the VM's network link in bytes a second.
	LinkBytesPerSecond float64 `json:"link,omitempty"`
	// Cores is the number of processor cores that the entry may use, possibly a fraction.
	Cores float64 `json:"cores,omitempty"`
	// Unavailable is set while the entry cannot serve any request.
	Unavailable bool `json:"unavailable,omitempty"`
	// Leaving is set once the entry's process got the signal to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// Roster is the set of the entries that an entry knows.
type Roster struct {
	// self is this entry. Only its description is used.
	self *peerEntry
	// peers holds the other entries by their addresses for daemons, sorted the same ones
	// nearest first: those of the own availability zone, then those of the own region, then
	// the rest. The entries of a zone follow each other.
	peers  map[string]*peerEntry
	sorted []*peerEntry
	// ownLoad holds the requests that this entry has in flight.
	ownLoad map[uint32]int
	// ownWork is the work of the workspaces at this entry, nil if it is not measured.
	ownWork *Work
	// zones holds what the relays of the other zones sent last, by availability zone.
	zones map[string]*zoneState
	// wanted holds the zones whose live entries differ from those of the relays.
	wanted map[string]bool
	// relayLoad holds the loads of the last digest of the own first relay.
	relayLoad relayLoad
	// engines holds the recent states of model engines, by the address of the engine.
	engines map[string]*engineNews
}

// peerEntry is another entry. It is called a peer below.
type peerEntry struct {
	Entry
	// fingerprint is a hash of the parts of the description that can change.
	fingerprint uint64
	// liveUntil is the end of the last confirmation, confirmedAt its time.
	liveUntil   time.Time
	confirmedAt time.Time
	// registeredUntil is the end of the time for which a registration makes the peer a
	// possible relay.
	registeredUntil time.Time
	// wasLive is the result of the last check for silence.
	wasLive bool

	// lastSent is the time of the last message to the peer, unansweredSince that of the
	// first one since its last message.
	lastSent        time.Time
	unansweredSince time.Time

	// reportedAt is the time of the last report from the peer, and load its content.
	reportedAt time.Time
	load       map[uint32]int
	work       *Work
	// digestSentAt and remoteLoadSentAt are the times of the last digest to the peer and of
	// the last one with the loads of the other zones.
	digestSentAt     time.Time
	remoteLoadSentAt time.Time
}

// New returns a roster without other entries.
func New(own Entry) *Roster {
	return &Roster{
		self: newPeerEntry(own), peers: map[string]*peerEntry{}, zones: map[string]*zoneState{},
		wanted: map[string]bool{}, engines: map[string]*engineNews{},
	}
}

func newPeerEntry(entry Entry) *peerEntry {
	peer := &peerEntry{}
	peer.setDescription(entry)
	return peer
}

// setDescription replaces the description of the peer.
func (p *peerEntry) setDescription(entry Entry) {
	p.Entry = entry
	digest := xxhash.New()
	_, _ = digest.WriteString(entry.PeerAddress)
	var state [9]byte
	binary.LittleEndian.PutUint64(state[:], uint64(entry.Started))
	if entry.Leaving {
		state[8] |= 1
	}
	if entry.Unavailable {
		state[8] |= 2
	}
	_, _ = digest.Write(state[:])
	p.fingerprint = digest.Sum64()
}

// isLive reports whether the peer is confirmed to be live.
func (p *peerEntry) isLive(now time.Time) bool { return now.Before(p.liveUntil) }

// confirm records a message from the peer, or from a relay, that confirms the peer for the
// given time. It never shortens an earlier confirmation.
func (p *peerEntry) confirm(now time.Time, duration time.Duration) {
	p.confirmedAt = now
	if until := now.Add(duration); until.After(p.liveUntil) {
		p.liveUntil = until
	}
}

// SetOwn replaces the description of this entry.
func (r *Roster) SetOwn(own Entry) { r.self.setDescription(own) }

// SetOwnLoad replaces the requests that this entry has in flight, by the ServerKey of the
// server.
func (r *Roster) SetOwnLoad(load map[uint32]int) { r.ownLoad = load }

// Register adds an entry that is registered at the platform. It is not live until a message
// confirms it. For an address that is known already, a registration with a later start
// replaces the description.
func (r *Roster) Register(now time.Time, entry Entry) {
	if peer := r.peers[entry.PeerAddress]; peer != nil && entry.Started <= peer.Started {
		return
	}
	if peer := r.upsert(now, entry); peer != nil {
		peer.registeredUntil = now.Add(registrationTimeout)
	}
}

// upsert adds an entry or updates its description, and returns it. It returns nil for this
// entry itself and for a process that a newer one has replaced.
func (r *Roster) upsert(now time.Time, entry Entry) *peerEntry {
	if entry.PeerAddress == r.self.PeerAddress || entry.PeerAddress == "" {
		return nil
	}
	peer := r.peers[entry.PeerAddress]
	switch {
	case peer == nil:
		peer = newPeerEntry(entry)
		peer.confirmedAt = now
		r.peers[entry.PeerAddress] = peer
		position, _ := slices.BinarySearchFunc(r.sorted, peer, r.compareDistance)
		r.sorted = slices.Insert(r.sorted, position, peer)
	case entry.Started < peer.Started:
		return nil
	case entry.Started > peer.Started:
		*peer = *newPeerEntry(entry)
		peer.confirmedAt = now
	default:
		// Leaving is final for a process; an older description may arrive late.
		entry.Leaving = entry.Leaving || peer.Leaving
		if entry != peer.Entry {
			peer.setDescription(entry)
		}
	}
	return peer
}

// distance returns 0 for an entry of the own availability zone, 1 for one of the own
// region and 2 for any other.
func (r *Roster) distance(entry *Entry) int {
	switch {
	case entry.AvailabilityZone == r.self.AvailabilityZone:
		return 0
	case entry.Region == r.self.Region:
		return 1
	}
	return 2
}

// compareDistance orders peers nearest first, and by zone and address at the same distance.
func (r *Roster) compareDistance(a, b *peerEntry) int {
	return r.compareEntries(&a.Entry, &b.Entry)
}

// compareEntries is compareDistance for descriptions.
func (r *Roster) compareEntries(a, b *Entry) int {
	return cmp.Or(r.distance(a)-r.distance(b), strings.Compare(a.AvailabilityZone, b.AvailabilityZone),
		strings.Compare(a.PeerAddress, b.PeerAddress))
}

// isLocal reports whether the peer is in the own availability zone.
func (r *Roster) isLocal(peer *peerEntry) bool {
	return peer.AvailabilityZone == r.self.AvailabilityZone
}

// NewlySilent returns the entries that were live at the previous call and are not any more.
// It also removes the entries that were not confirmed for forgetAfter.
func (r *Roster) NewlySilent(now time.Time) []Entry {
	var silent []Entry
	for address, peer := range r.peers {
		live := peer.isLive(now)
		if peer.wasLive && !live {
			silent = append(silent, peer.Entry)
		}
		peer.wasLive = live
		if now.Sub(peer.confirmedAt) >= forgetAfter {
			delete(r.peers, address)
			r.sorted = slices.DeleteFunc(r.sorted, func(other *peerEntry) bool { return other == peer })
		}
	}
	return silent
}

// LiveCount returns the number of the other entries that are live.
func (r *Roster) LiveCount(now time.Time) int {
	count := 0
	for _, peer := range r.sorted {
		if peer.isLive(now) {
			count++
		}
	}
	return count
}

// HasSilentZone reports whether no entry is known to be live in some availability zone in
// which an entry is known.
func (r *Roster) HasSilentZone(now time.Time) bool {
	live := map[string]bool{}
	for _, peer := range r.sorted {
		live[peer.AvailabilityZone] = live[peer.AvailabilityZone] || peer.isLive(now)
	}
	for zone, isLive := range live {
		if !isLive && zone != r.self.AvailabilityZone {
			return true
		}
	}
	return false
}

// Live returns the other entries that are live, nearest first: those of the own
// availability zone, then those of the own region, then the rest.
func (r *Roster) Live(now time.Time) []Entry {
	var live []Entry
	for _, peer := range r.sorted {
		if peer.isLive(now) {
			live = append(live, peer.Entry)
		}
	}
	return live
}

// SortByDistance sorts entries nearest to own first, as Live does.
func SortByDistance(own Entry, entries []Entry) {
	r := New(own)
	slices.SortFunc(entries, func(a, b Entry) int { return r.compareEntries(&a, &b) })
}

// maxZoneReaders is the number of entries of an availability zone that read the platform's
// topics for the others. The second one reads them only when the first fails, so that not
// all entries do so at once.
const maxZoneReaders = 2

// ZoneReaders returns the entries of the own availability zone through which this entry
// reads the platform's topics, the preferred one first: those with the most bandwidth. For
// the first reader of a zone the list is empty, for the second one it holds the first. An
// unavailable entry is left out, unless this entry is unavailable as well: before the
// platform has a configuration and servers, all are.
func (r *Roster) ZoneReaders(now time.Time) []Entry {
	var better []Entry
	for _, peer := range r.sorted {
		if !r.isLocal(peer) {
			break
		}
		usable := (peer.isLive(now) || now.Before(peer.registeredUntil)) && !peer.Leaving && (!peer.Unavailable || r.self.Unavailable)
		if usable && isBetterReader(&peer.Entry, &r.self.Entry) {
			better = append(better, peer.Entry)
		}
	}
	slices.SortFunc(better, func(a, b Entry) int {
		if isBetterReader(&a, &b) {
			return -1
		}
		return 1
	})
	return better[:min(len(better), maxZoneReaders)]
}

// maxFallbackReaders is the number of entries that FallbackReaders returns.
const maxFallbackReaders = 6

// FallbackReaders returns live entries through which this entry can read the platform's
// topics when neither the platform nor the readers of the zone answer: the next entry of
// the own zone, and the best reader of each of some other zones.
func (r *Roster) FallbackReaders(now time.Time) []Entry {
	best := map[string]*peerEntry{}
	var zones []string
	for _, peer := range r.sorted {
		if !peer.isLive(now) || peer.Leaving || peer.Unavailable {
			continue
		}
		if r.isLocal(peer) && (isBetterReader(&peer.Entry, &r.self.Entry) || len(best) > 0) {
			continue
		}
		known := best[peer.AvailabilityZone]
		if known == nil {
			zones = append(zones, peer.AvailabilityZone)
		}
		if known == nil || isBetterReader(&peer.Entry, &known.Entry) {
			best[peer.AvailabilityZone] = peer
		}
	}
	var readers []Entry
	for _, zone := range zones[:min(len(zones), maxFallbackReaders)] {
		readers = append(readers, best[zone].Entry)
	}
	return readers
}

// maxStartPeers is the number of entries that StartPeers returns. Registrations of entries that have
// ended remain, so some of them may not answer.
const maxStartPeers = 16

// StartPeers returns registered entries whose copies of the platform's topics an entry that starts
// can ask for, live or not: those of the own zone, and others at random.
func (r *Roster) StartPeers() []Entry {
	var peers []Entry
	local := 0
	for _, peer := range r.sorted {
		if r.isLocal(peer) {
			local++
		}
		peers = append(peers, peer.Entry)
	}
	for _, part := range [][]Entry{peers[:local], peers[local:]} {
		rand.Shuffle(len(part), func(a, b int) { part[a], part[b] = part[b], part[a] })
	}
	// The other zones get half of the places, since a fault may concern the whole own zone.
	fromZone := min(local, max(maxStartPeers/2, maxStartPeers-(len(peers)-local)))
	return append(slices.Clone(peers[:fromZone]), peers[local:min(len(peers), local+maxStartPeers-fromZone)]...)
}

// isBetterReader reports whether a is preferred to b as a reader or a relay for their
// availability zone: it has more bandwidth or, with the same bandwidth, the lower address.
func isBetterReader(a, b *Entry) bool {
	if a.LinkBytesPerSecond != b.LinkBytesPerSecond {
		return a.LinkBytesPerSecond > b.LinkBytesPerSecond
	}
	return a.PeerAddress < b.PeerAddress
}

// ZonePosition returns the position of this entry among the live entries of its
// availability zone, from 0 and in the order of their addresses, and the number of these
// entries including this one. The scheduler of an entry derives its preferred backend
// servers from both.
func (r *Roster) ZonePosition(now time.Time) (position, count int) {
	count = 1
	for _, peer := range r.sorted {
		if !r.isLocal(peer) {
			break
		}
		if !peer.isLive(now) {
			continue
		}
		count++
		if peer.PeerAddress < r.self.PeerAddress {
			position++
		}
	}
	return position, count
}
