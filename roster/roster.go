// Package roster knows which entries there are and which of them callers may use.
//
// Each entry registers once at the platform and sends news to the others several
// times a second. An entry that has not been heard for a while is not named to
// callers. It is still sent news, at a slow pace, so that two entries that were cut
// off from each other find together again.
//
// A Roster holds no clock, goroutine or lock. It is for one goroutine at a time.
package roster

import (
	"sort"
	"time"
)

const (
	// HeardWithin is the silence after which an entry is left out. News comes every
	// 150 ms and datagrams get lost.
	HeardWithin = 900 * time.Millisecond
	// farPace is the time between two pieces of news to an entry of another zone, for
	// each farStep entries there are, up to farSteps: the bytes between zones grow with
	// the square of the number of entries.
	farPace  = 150 * time.Millisecond
	farStep  = 10
	farSteps = 3
	// farHeard is the silence, in paces, after which an entry of another zone is left
	// out, when that is longer than HeardWithin.
	farHeard = 3.5
	// slowPace is the time between two pieces of news to an entry that is silent.
	slowPace = time.Second
	// forgetAfter is the silence after which an entry gets no news. One that comes
	// back later sends news itself.
	forgetAfter = 5 * time.Minute
)

// Entry is an entry as it describes itself.
type Entry struct {
	Name string `json:"name"`
	// Started is the Unix time in ms of the start, which tells incarnations apart.
	Started int64 `json:"started"`
	// Peers is the address for the system's own processes, Callers that for callers.
	Peers            string `json:"peers"`
	Callers          string `json:"callers"`
	AvailabilityZone string `json:"availability-zone"`
	Region           string `json:"region"`
	// Link is the bandwidth of the VM in bytes a second.
	Link float64 `json:"link,omitempty"`
	// Unavailable is set while the entry can serve nobody.
	Unavailable bool `json:"unavailable,omitempty"`
	// Leaving is set from the signal to stop on.
	Leaving bool `json:"leaving,omitempty"`
}

// Roster holds the other entries.
type Roster struct {
	own     Entry
	members map[string]*member
}

type member struct {
	Entry
	heard time.Time
	sent  time.Time
}

// New returns a roster without other entries.
func New(own Entry) *Roster { return &Roster{own: own, members: map[string]*member{}} }

// Register adds an entry that is registered at the platform.
func (r *Roster) Register(now time.Time, entry Entry) {
	if entry.Peers == r.own.Peers {
		return
	}
	known := r.members[entry.Peers]
	if known == nil {
		r.members[entry.Peers] = &member{Entry: entry, heard: now.Add(-HeardWithin)}
		return
	}
	if entry.Started > known.Started {
		known.Entry = entry
	}
}

// Hear takes news of an entry. It reports whether the entry was silent or unknown
// before.
func (r *Roster) Hear(now time.Time, entry Entry) bool {
	if entry.Peers == r.own.Peers {
		return false
	}
	known := r.members[entry.Peers]
	if known != nil && entry.Started < known.Started {
		return false
	}
	if known == nil {
		known = &member{}
		r.members[entry.Peers] = known
	}
	fresh := now.Sub(known.heard) >= r.heardWithin(known)
	known.Entry, known.heard = entry, now
	return fresh
}

// farInterval is the time between two pieces of news to an entry of another zone.
func (r *Roster) farInterval() time.Duration {
	return farPace * time.Duration(min(1+len(r.members)/farStep, farSteps))
}

// heardWithin is the silence after which a member is left out.
func (r *Roster) heardWithin(known *member) time.Duration {
	if known.AvailabilityZone == r.own.AvailabilityZone {
		return HeardWithin
	}
	return max(HeardWithin, time.Duration(farHeard*float64(r.farInterval())))
}

// Silent returns the entries that have become silent since the earlier time.
func (r *Roster) Silent(before, now time.Time) []Entry {
	var silent []Entry
	for _, known := range r.members {
		end := known.heard.Add(r.heardWithin(known))
		if end.After(before) && !end.After(now) {
			silent = append(silent, known.Entry)
		}
	}
	return silent
}

// Recipients returns the addresses that are due for news, or for urgent news, which is
// not held back.
func (r *Roster) Recipients(now time.Time, urgent bool) []string {
	var addresses []string
	// The ticks of the sender vary a little.
	far := r.farInterval() - farPace/2
	for address, known := range r.members {
		silence := now.Sub(known.heard)
		if silence >= forgetAfter {
			delete(r.members, address)
			continue
		}
		near := known.AvailabilityZone == r.own.AvailabilityZone
		since := now.Sub(known.sent)
		if silence < r.heardWithin(known) && (near || urgent || since >= far) || since >= slowPace {
			known.sent = now
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Live returns the other entries that were heard lately, nearest first.
func (r *Roster) Live(now time.Time) []Entry {
	var live []Entry
	for _, known := range r.members {
		if now.Sub(known.heard) < r.heardWithin(known) {
			live = append(live, known.Entry)
		}
	}
	sort.Slice(live, func(i, j int) bool {
		if a, b := r.distance(live[i]), r.distance(live[j]); a != b {
			return a < b
		}
		return live[i].Peers < live[j].Peers
	})
	return live
}

// readers is the number of entries of a zone that read the platform's topics for it.
// The second one reads them only when the first fails, so that not all do at once.
const readers = 2

// Readers returns the entries of the own zone through which the own one reads the
// platform's topics, the preferred one first: those with the most bandwidth. The first
// reader of a zone has none, the second one the first.
func (r *Roster) Readers(now time.Time) []Entry {
	var better []Entry
	for _, entry := range r.Live(now) {
		if entry.AvailabilityZone != r.own.AvailabilityZone {
			break
		}
		if !entry.Leaving && !entry.Unavailable && precedes(entry, r.own) {
			better = append(better, entry)
		}
	}
	sort.Slice(better, func(i, j int) bool { return precedes(better[i], better[j]) })
	return better[:min(len(better), readers)]
}

// precedes tells whether an entry is the better reader.
func precedes(a, b Entry) bool {
	if a.Link != b.Link {
		return a.Link > b.Link
	}
	return a.Peers < b.Peers
}

// Place returns the place of the own entry among the live entries of its zone, and
// their number.
func (r *Roster) Place(now time.Time) (place, count int) {
	count = 1
	for _, entry := range r.Live(now) {
		if entry.AvailabilityZone != r.own.AvailabilityZone {
			break
		}
		count++
		if entry.Peers < r.own.Peers {
			place++
		}
	}
	return place, count
}

func (r *Roster) distance(entry Entry) int {
	switch {
	case entry.AvailabilityZone == r.own.AvailabilityZone:
		return 0
	case entry.Region == r.own.Region:
		return 1
	}
	return 2
}

// ForCallers returns the addresses that callers may use.
func (r *Roster) ForCallers(now time.Time, own bool) []string {
	var addresses []string
	if own {
		addresses = append(addresses, r.own.Callers)
	}
	for _, entry := range r.Live(now) {
		if !entry.Leaving && !entry.Unavailable {
			addresses = append(addresses, entry.Callers)
		}
	}
	return addresses
}
