package roster

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxCallerAddresses is the number of addresses in one response of the directory that
	// callers use.
	MaxCallerAddresses = 64
	// rotatingAddresses is the number of addresses that differ from response to response
	// for a zone with more entries than a response holds. Callers drop their connections to
	// entries that a new response lacks, so most addresses stay the same.
	rotatingAddresses = 16
)

// CallerAddresses returns the addresses of the entries that callers of an availability
// zone may use, at most MaxCallerAddresses. This entry is among the candidates when
// includeOwn is set. If region is not empty, only entries of this region are returned, as long as
// any of them is live and not leaving, even if it is unavailable. listsOthers is set if entries of
// other regions are returned nevertheless.
//
// Callers choose an address at random and expect to find every entry in some response. If
// all entries fit, all are returned. Otherwise the entries of the callers' zone are
// returned, and the rest is filled with entries of other zones, which are chosen by a hash
// of both zones and weighted by their cores, so that the responses for a zone agree and an
// entry of twice the cores is in about twice as many. If the entries of the callers' zone
// alone do not fit, most of the response is chosen among them in the same way, and the rest
// at random.
func (r *Roster) CallerAddresses(now time.Time, region, zone string, includeOwn bool) (addresses []string, listsOthers bool) {
	var candidates []*peerEntry
	if includeOwn {
		candidates = append(candidates, r.self)
	}
	for _, peer := range r.sorted {
		if peer.isLive(now) && !peer.Leaving && !peer.Unavailable {
			candidates = append(candidates, peer)
		}
	}
	if region != "" {
		if local := r.entriesOfRegion(now, candidates, region); len(local) > 0 {
			candidates = local
		} else {
			listsOthers = len(candidates) > 0
		}
	}
	if len(candidates) > MaxCallerAddresses {
		candidates = selectForCallers(candidates, zone)
	}
	addresses = make([]string, 0, len(candidates))
	for _, candidate := range candidates {
		addresses = append(addresses, candidate.CallerAddress)
	}
	return addresses, listsOthers
}

// entriesOfRegion returns the candidates of a region or, if there are none, its entries that are live
// and not leaving.
func (r *Roster) entriesOfRegion(now time.Time, candidates []*peerEntry, region string) []*peerEntry {
	var local []*peerEntry
	for _, candidate := range candidates {
		if candidate.Region == region {
			local = append(local, candidate)
		}
	}
	if len(local) > 0 {
		return local
	}
	if r.self.Region == region && !r.self.Leaving {
		local = append(local, r.self)
	}
	for _, peer := range r.sorted {
		if peer.Region == region && peer.isLive(now) && !peer.Leaving {
			local = append(local, peer)
		}
	}
	return local
}

// selectForCallers returns MaxCallerAddresses of the candidates for callers of a zone.
func selectForCallers(candidates []*peerEntry, zone string) []*peerEntry {
	var local, others []*peerEntry
	for _, candidate := range candidates {
		if candidate.AvailabilityZone == zone {
			local = append(local, candidate)
		} else {
			others = append(others, candidate)
		}
	}
	byZone := func(candidate *peerEntry) float64 {
		return hashFraction(zone, candidate.CallerAddress)
	}
	if len(local) <= MaxCallerAddresses {
		sortByWeight(others, byZone)
		return append(local, others[:MaxCallerAddresses-len(local)]...)
	}
	const stable = MaxCallerAddresses - rotatingAddresses
	sortByWeight(local, byZone)
	rest := local[stable:]
	sortByWeight(rest, func(*peerEntry) float64 { return 1 - rand.Float64() })
	return local[:MaxCallerAddresses]
}

// sortByWeight sorts the candidates so that each prefix is a sample without replacement in
// which a candidate is included with a probability that grows with its cores (weighted
// rendezvous hashing). fraction returns a number above 0 and up to 1 for each candidate.
func sortByWeight(candidates []*peerEntry, fraction func(*peerEntry) float64) {
	scores := make(map[*peerEntry]float64, len(candidates))
	for _, candidate := range candidates {
		cores := candidate.Cores
		if cores <= 0 {
			cores = 1
		}
		scores[candidate] = -math.Log(fraction(candidate)) / cores
	}
	slices.SortFunc(candidates, func(a, b *peerEntry) int {
		switch {
		case scores[a] < scores[b]:
			return -1
		case scores[a] > scores[b]:
			return 1
		}
		return 0
	})
}

// hashFraction returns a hash of two strings as a number above 0 and up to 1.
func hashFraction(a, b string) float64 {
	digest := xxhash.New()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(a)))
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(a)
	_, _ = digest.WriteString(b)
	return (float64(digest.Sum64()>>11) + 1) / (1 << 53)
}
