package roster

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// MaxWorkCounters bounds the counters of a message. They are at most 30 bytes long each, so they
// leave room in a datagram.
const MaxWorkCounters = 128

// Work holds the work of the workspaces at some entries.
type Work struct {
	_ struct{} `cbor:",toarray"`
	// Entries is the number of entries that the counters are summed over.
	Entries uint32
	// AgeInMilliseconds is the mean time since the entries measured their counters.
	AgeInMilliseconds uint32
	Counters          []WorkCounter
}

// WorkCounter is the work of a workspace in a service and rank, in units of WorkUnit.
type WorkCounter struct {
	_ struct{} `cbor:",toarray"`
	// Key is the WorkKey of the service and the workspace.
	Key  uint32
	Rank int
	// Served is the work that was sent to servers per second, Sustained the same over a longer time,
	// Refused the refused work per second, and Queued the queued work.
	Served, Sustained, Refused, Queued uint32
}

// WorkUnit is the unit of a WorkCounter, in seconds of engine time. Smaller work is not reported.
const WorkUnit = 1e-4

// WorkKey returns the short form of a service and a workspace in messages. If the keys of two
// workspaces are equal, each of them counts with the work of both.
func WorkKey(service, workspace string) uint32 { return ServerKey(service + "\x00" + workspace) }

// SetOwnWork replaces the work of the workspaces at this entry, nil if it is not measured.
func (r *Roster) SetOwnWork(counters []WorkCounter) {
	r.ownWork = nil
	if counters != nil {
		r.ownWork = &Work{Entries: 1, Counters: counters}
	}
}

// WorkElsewhere returns the sum of the work at the other entries, from the same messages as
// RequestsElsewhere, or nil if none is known.
func (r *Roster) WorkElsewhere(now time.Time) *Work {
	sum := workSum{}
	if r.relayRank(now) == 0 {
		r.addPeerWork(&sum, now, "")
		r.addRemoteWork(&sum, now)
	} else if age := now.Sub(r.relayLoad.receivedAt); age < loadTimeout {
		sum.add(r.relayLoad.work, age)
	}
	return sum.result()
}

// zoneWork returns the sum of the work at the entries of the own zone, without that of the entry with
// the given address, and at those of the other zones if remote is set. It returns nil if none is
// known.
func (r *Roster) zoneWork(now time.Time, except string, remote bool) *Work {
	sum := workSum{}
	sum.add(r.ownWork, 0)
	r.addPeerWork(&sum, now, except)
	if remote {
		r.addRemoteWork(&sum, now)
	}
	return sum.result()
}

func (r *Roster) addPeerWork(sum *workSum, now time.Time, except string) {
	for _, peer := range r.sorted {
		if !r.isLocal(peer) {
			return
		}
		if age := now.Sub(peer.reportedAt); peer.PeerAddress != except && age < loadTimeout {
			sum.add(peer.work, age)
		}
	}
}

func (r *Roster) addRemoteWork(sum *workSum, now time.Time) {
	for _, state := range r.zones {
		if age := now.Sub(state.loadAt); age < zoneLoadTimeout {
			sum.add(state.work, age)
		}
	}
}

// workSum is a sum of Work. It allocates nothing while nothing is added.
type workSum struct {
	counters map[workID]*WorkCounter
	entries  uint64
	// age is the sum of the ages over the entries, in milliseconds.
	age uint64
}

type workID struct {
	key  uint32
	rank int
}

// add adds work that was received some time ago.
func (s *workSum) add(work *Work, age time.Duration) {
	if work == nil || work.Entries == 0 {
		return
	}
	if s.counters == nil {
		s.counters = make(map[workID]*WorkCounter, len(work.Counters))
	}
	s.entries += uint64(work.Entries)
	s.age += uint64(work.Entries) * (uint64(work.AgeInMilliseconds) + uint64(max(age.Milliseconds(), 0)))
	for i := range work.Counters {
		counter := &work.Counters[i]
		sum := s.counters[workID{counter.Key, counter.Rank}]
		if sum == nil {
			sum = &WorkCounter{Key: counter.Key, Rank: counter.Rank}
			s.counters[workID{counter.Key, counter.Rank}] = sum
		}
		sum.Served = addBounded(sum.Served, counter.Served)
		sum.Sustained = addBounded(sum.Sustained, counter.Sustained)
		sum.Refused = addBounded(sum.Refused, counter.Refused)
		sum.Queued = addBounded(sum.Queued, counter.Queued)
	}
}

// addBounded returns the sum, or the largest number if it is larger.
func addBounded(a, b uint32) uint32 {
	return uint32(min(uint64(a)+uint64(b), math.MaxUint32))
}

// result returns the sum, with the largest counters if there are more than MaxWorkCounters, or nil if
// nothing was added.
func (s *workSum) result() *Work {
	if s.entries == 0 {
		return nil
	}
	work := &Work{
		Entries: uint32(min(s.entries, math.MaxUint32)), AgeInMilliseconds: uint32(min(s.age/s.entries, math.MaxUint32)),
		Counters: make([]WorkCounter, 0, len(s.counters)),
	}
	for _, counter := range s.counters {
		work.Counters = append(work.Counters, *counter)
	}
	if len(work.Counters) > MaxWorkCounters {
		slices.SortFunc(work.Counters, func(a, b WorkCounter) int {
			return cmp.Or(cmp.Compare(uint64(b.Sustained)+uint64(b.Refused), uint64(a.Sustained)+uint64(a.Refused)),
				cmp.Compare(a.Key, b.Key), cmp.Compare(a.Rank, b.Rank))
		})
		work.Counters = work.Counters[:MaxWorkCounters]
	}
	return work
}
