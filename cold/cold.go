// Package cold decides how many requests an entry may send to a backend server that is cold.
//
// A cold server gets at most a fixed number of requests in any second, from all entries
// together, or it crashes. Entries do not coordinate their requests, so each has a share that
// is safe whatever the others send at the same time:
//
//   - Three quarters of the allowance belong to the entries of the server's availability zone.
//     Each gets an equal part, by the number of entries that it has known in the zone within
//     the last two minutes, including those that it no longer hears.
//   - Entries of other zones send nothing, unless no entry of the server's zone is live. Then
//     those of the next zone in the order of the names share an eighth, those of the zone after
//     it a sixteenth if there is no live entry in both, and so on. These parts are separate, so
//     they are safe if the entries of the server's zone are only cut off from those that take
//     over.
//   - An entry without contact to other entries and to the registry for leaseTime sends
//     nothing. An entry that has just started, was cut off or was suspended begins to send
//     settleTime after it has contact again. By then every entry that still sends knows it.
//   - The rest is not used. It covers entries that know different numbers for a short time.
//
// A request counts from its selection on, again from the time at which it is written, because
// opening a connection takes time, and until its response begins if that takes long, because a
// request may be held up on its way.
//
// After the cold period the limit doubles in each rampStep, until there is none.
//
// A Limiter has no clock, goroutine or lock. Times are boot times, which go on while the machine
// is suspended. It is not safe for concurrent use.
package cold

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// leaseTime is the time without contact after which an entry sends nothing to cold servers.
	// It covers two relays that fail one after the other.
	leaseTime = 3 * time.Second
	// settleTime is the time of uninterrupted contact after which an entry may send to cold
	// servers. It exceeds leaseTime plus 1.5 s, the time for which a message or a copy counts as
	// contact: entries that lost contact before they could learn of a new one have stopped by
	// the time it begins.
	settleTime = 5 * time.Second
	// viewTimeout is the time without an update of the known entries after which this process
	// counts as suspended. They are updated every 150 ms.
	viewTimeout = time.Second
	// rampStep and rampSteps define the slow start after the cold period. In the first step the
	// limit is still that of the cold period, since its end is an estimate.
	rampStep  = 250 * time.Millisecond
	rampSteps = 4
	// registrationDelay is the greatest usual time from writing a registration to its arrival at
	// an entry. A registration that arrives earlier after another sign of coldness may have been
	// written before that.
	registrationDelay = time.Second
	// startTime is how long an entry takes to find the servers that were there before it, some of
	// which may register late if both started at the same time.
	startTime = 5 * time.Second
	// startSequence is the sequence number up to which a registration may be the first one of
	// its server.
	startSequence = 1
	// MaxTime bounds a cold period. Longer ones are taken for malformed.
	MaxTime = time.Minute
	// maxRate bounds the rate of a service, so that an allowance fits into an int.
	maxRate = 1e6
)

// The parts of an allowance: ownNumerator/ownDenominator for the zone of the server, and one
// takeoverDenominator-th for the first zone that takes over.
const (
	ownNumerator        = 3
	ownDenominator      = 4
	takeoverDenominator = 8
)

// Service holds the settings of a service whose servers may be cold.
type Service struct {
	// Time is how long a server is cold after its start.
	Time time.Duration
	// Rate is the rate in requests per second that a cold server can run.
	Rate float64
}

// IsLimited reports whether the service has cold servers.
func (s Service) IsLimited() bool { return s.Rate > 0 }

// Bound is the bound on the requests to a cold server in any second: its rate multiplied by
// Excess, plus Slack.
type Bound struct {
	Excess float64
	Slack  float64
}

// Allowance returns the number of requests that a cold server may get from all entries in any
// second. An excess that is not positive counts as 1, a negative slack as 0.
func (b Bound) Allowance(rate float64) int {
	excess := b.Excess
	if !(excess > 0) {
		excess = 1
	}
	slack := b.Slack
	if !(slack > 0) {
		slack = 0
	}
	return int(math.Floor(min(min(rate, maxRate)*excess+slack, maxRate) + 1e-9))
}

// Zone is what an entry knows of the entries of an availability zone.
type Zone struct {
	Name string
	// Entries are the addresses of the entries that were known recently, whether or not they
	// are live.
	Entries []string
	// Live is set while any of them is live.
	Live bool
}

// View is what an entry knows of all entries.
type View struct {
	// Zones has the zone of this entry, with this entry, and the others.
	Zones []Zone
	// InContact is set if this entry hears other entries of its zone or has a recent copy of the
	// registry. HasRegistry is set if it has the latter.
	InContact   bool
	HasRegistry bool
}

// Limiter limits the requests of an entry to cold servers.
type Limiter struct {
	// self is the address of this entry, zone its availability zone.
	self, zone string
	bound      Bound
	services   map[string]Service

	// zones is the last view, sorted by name, and own the entries of the own zone.
	zones []Zone
	own   []string
	// generation counts the changes of zones, so that shares are computed once for each.
	generation uint64
	// updatedAt is the time of the last view, lastContact that of the last one with contact, and
	// contactSince the time since which there was contact without interruption.
	updatedAt, lastContact, contactSince time.Duration
	hasView, hadContact                  bool
	// startUntil is the end of the start of this entry, 0 until servers are known.
	startUntil time.Duration

	withheld uint64
	events   []Event
}

// New returns a limiter for an entry, without services.
func New(self, zone string, bound Bound) *Limiter {
	return &Limiter{self: self, zone: zone, bound: bound, generation: 1}
}

// Clone returns a copy without events, with which Allows and Reserve can be called on copies of
// servers.
func (l *Limiter) Clone() *Limiter {
	copied := *l
	copied.events = nil
	return &copied
}

// SetServices replaces the services with cold servers. It reports whether they have changed.
func (l *Limiter) SetServices(services map[string]Service) bool {
	if len(services) == len(l.services) {
		same := true
		for name, service := range services {
			same = same && l.services[name] == service
		}
		if same {
			return false
		}
	}
	l.services = services
	l.generation++
	return true
}

// Service returns the settings of a service. IsLimited is false for one without cold servers.
func (l *Limiter) Service(name string) Service { return l.services[name] }

// SetView replaces what this entry knows of the entries. Without a recent copy of the registry,
// entries that are missing from the view still count: this entry may be one of those that are
// cut off.
func (l *Limiter) SetView(now time.Duration, view View) {
	if !l.hasView || now-l.updatedAt > viewTimeout {
		l.hadContact = false
	}
	l.hasView, l.updatedAt = true, now
	if view.InContact {
		if !l.hadContact || now-l.lastContact > leaseTime {
			l.contactSince = now
		}
		l.hadContact, l.lastContact = true, now
	}
	zones := make([]Zone, 0, len(view.Zones))
	for _, zone := range view.Zones {
		zones = append(zones, Zone{Name: zone.Name, Entries: slices.Clone(zone.Entries), Live: zone.Live})
	}
	if !view.HasRegistry {
		zones = mergeZones(zones, l.zones)
	}
	for i := range zones {
		slices.Sort(zones[i].Entries)
		zones[i].Entries = slices.Compact(zones[i].Entries)
	}
	slices.SortFunc(zones, func(a, b Zone) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	if slices.EqualFunc(zones, l.zones, func(a, b Zone) bool {
		return a.Name == b.Name && a.Live == b.Live && slices.Equal(a.Entries, b.Entries)
	}) {
		return
	}
	l.zones = zones
	l.generation++
	l.own = []string{l.self}
	for _, zone := range zones {
		if zone.Name == l.zone {
			l.own = zone.Entries
			if !slices.Contains(l.own, l.self) {
				l.own = append(slices.Clone(l.own), l.self)
			}
		}
	}
}

// mergeZones adds the entries of earlier zones. A zone that only the earlier ones have is not
// live.
func mergeZones(zones, earlier []Zone) []Zone {
	for _, before := range earlier {
		i := slices.IndexFunc(zones, func(zone Zone) bool { return zone.Name == before.Name })
		if i < 0 {
			zones = append(zones, Zone{Name: before.Name, Entries: slices.Clone(before.Entries)})
			continue
		}
		zones[i].Entries = append(zones[i].Entries, before.Entries...)
	}
	return zones
}

// isSettled reports whether this entry may send to cold servers at all.
func (l *Limiter) isSettled(now time.Duration) bool {
	return l.hasView && now-l.updatedAt <= viewTimeout && l.hadContact && now-l.lastContact <= leaseTime && now-l.contactSince >= settleTime
}

// budget returns the part of an allowance that the entries of the own zone have together for a
// server in the given zone.
func (l *Limiter) budget(zone string, allowance int) int {
	if zone == l.zone {
		return allowance * ownNumerator / ownDenominator
	}
	start := len(l.zones)
	for i, known := range l.zones {
		if known.Name == zone {
			if known.Live {
				return 0
			}
			start = i + 1
			break
		}
		if known.Name > zone {
			start = i
			break
		}
	}
	part := allowance / takeoverDenominator
	for i := range l.zones {
		known := l.zones[(start+i)%len(l.zones)]
		switch {
		case known.Name == zone:
			return 0
		case known.Name == l.zone:
			return part
		case known.Live:
			return 0
		}
		part /= 2
	}
	return 0
}

// share returns the number of requests that this entry may send to a cold server in a second,
// once it is settled. If there are more entries than requests, those with the lowest hashes of
// the server and their address get one each.
func (l *Limiter) share(server *Server) int {
	if server.shareGeneration == l.generation {
		return server.cachedShare
	}
	budget := l.budget(server.zone, l.bound.Allowance(server.service.Rate))
	entries := max(len(l.own), 1)
	share := budget / entries
	if share == 0 && budget > 0 {
		self, before := hash(server.id, l.self), 0
		for _, entry := range l.own {
			if entry != l.self && hash(server.id, entry) < self {
				before++
			}
		}
		if before < budget {
			share = 1
		}
	}
	server.shareGeneration, server.cachedShare = l.generation, share
	return share
}

// hash returns the hash that orders entries for a server.
func hash(server, entry string) uint64 { return xxhash.Sum64String(server + "\x00" + entry) }
