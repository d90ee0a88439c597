// Package quarantine isolates and then refuses requests that crash backend servers.
//
// Requests are identified by their fingerprint, a digest of their content. When a
// backend server crashes, each fingerprint with a request in progress there gets a strike.
// Heartbeats distribute the strikes, and every daemon merges them as a set: a strike
// is identified by its fingerprint and its crash, so that duplicate or reordered
// reports don't matter. A fingerprint with strikes is a suspect. With one strike its
// requests run exclusively, with no other in progress at the server, so that another crash
// affects no other request. With two strikes, the default limit, they are refused.
//
// An agent, the daemon on the VM of a backend server, records the crashes of its engine. If
// an agent is lost together with its server, each entry, a daemon that receives the requests
// of callers, records the crash for the requests that it had sent there.
//
// A List doesn't read the clock, start goroutines or lock. Calls must be serialized by
// the caller.
package quarantine

import (
	"sort"
	"strings"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// Settings configures a List. A field with the zero value takes its default.
type Settings struct {
	// StrikeLifetime is the time after the newest crash of a fingerprint for which its
	// strikes count.
	StrikeLifetime time.Duration
	// MaxSuspects is the maximum number of fingerprints with strikes. If it is
	// reached, a new one evicts the one whose newest crash is the longest ago.
	MaxSuspects int
	// RefuseFrom is the number of strikes from which the requests with a fingerprint are
	// refused.
	RefuseFrom int
}

// Defaults of Settings.
const (
	DefaultStrikeLifetime = time.Hour
	DefaultMaxSuspects    = 10000
)

// DefaultRefuseFrom is the default of Settings.RefuseFrom.
const DefaultRefuseFrom = 2

// maxClockSkew is the maximum time by which a strike may be ahead of the local clock;
// a strike further ahead gets the local time as that of its crash. Otherwise a strike from a
// daemon with a wrong clock would be kept for too long.
const maxClockSkew = time.Minute

// Verdict tells how the requests with a fingerprint must be handled.
type Verdict int

// The verdicts.
const (
	// Run means that the request runs without restrictions.
	Run Verdict = iota
	// Exclusive means that the request runs on a server with no other request in
	// progress.
	Exclusive
	// Refuse means that the request is refused, at every entry.
	Refuse
)

// String returns the name of the verdict, which is "alone" for Exclusive.
func (v Verdict) String() string { return [...]string{"run", "alone", "refuse"}[v] }

// List holds the strikes that a daemon knows and the requests in progress that it has sent
// to servers.
type List struct {
	settings Settings
	// inProgress is the number of requests in progress by server ID and fingerprint.
	inProgress map[string]map[string]int
	// suspects holds the suspects by fingerprint.
	suspects map[string]*suspect
}

// suspect holds the strikes of a fingerprint: one for each crash.
type suspect struct {
	// crashes holds the time of each crash by the ID of the crash, which is described
	// at RecordCrash.
	crashes map[string]time.Time
	// newestCrash is the time of the newest crash.
	newestCrash time.Time
	// cleared is set after a request with the fingerprint ran exclusively without a
	// crash, as observed by this daemon.
	cleared bool
}

// New returns a List without strikes.
func New(settings Settings) *List {
	if settings.RefuseFrom <= 0 {
		settings.RefuseFrom = DefaultRefuseFrom
	}
	if settings.StrikeLifetime <= 0 {
		settings.StrikeLifetime = DefaultStrikeLifetime
	}
	if settings.MaxSuspects <= 0 {
		settings.MaxSuspects = DefaultMaxSuspects
	}
	return &List{
		settings:   settings,
		inProgress: map[string]map[string]int{},
		suspects:   map[string]*suspect{},
	}
}

// RecordStart records that a request with the fingerprint is in progress at the server.
func (l *List) RecordStart(server, fingerprint string) {
	requests := l.inProgress[server]
	if requests == nil {
		requests = map[string]int{}
		l.inProgress[server] = requests
	}
	requests[fingerprint]++
}

// RecordEnd records that a request whose start was recorded has ended without a crash of the
// server.
func (l *List) RecordEnd(server, fingerprint string) {
	requests := l.inProgress[server]
	if requests[fingerprint] > 1 {
		requests[fingerprint]--
		return
	}
	delete(requests, fingerprint)
	if len(requests) == 0 {
		delete(l.inProgress, server)
	}
}

// RecordCrash records a crash of the server. It gives a strike to each fingerprint that was
// in progress there and returns these strikes. The requests count as ended. crash is the ID
// of the crash, which is unique in the whole fleet. It consists of the ID of the server, a
// slash, and a part that distinguishes the crashes of the server, such as the incarnation of
// the engine.
func (l *List) RecordCrash(now time.Time, server, crash string) []fuchsiarouter.Strike {
	var strikes []fuchsiarouter.Strike
	for fingerprint := range l.inProgress[server] {
		strikes = append(strikes, newStrike(now, crash, fingerprint))
	}
	sort.Slice(strikes, func(i, j int) bool { return strikes[i].Fingerprint < strikes[j].Fingerprint })
	delete(l.inProgress, server)
	l.Merge(now, strikes)
	return strikes
}

// RecordBrokenConnection records that the connection of a request broke because its server
// crashed together with its agent. It gives a strike to the fingerprint of this request
// only, and records the end of the request. Other requests to the server may have been sent
// after the crash, so each gets a strike only if its own connection breaks. crash is the ID
// of the crash as for RecordCrash.
func (l *List) RecordBrokenConnection(now time.Time, server, crash, fingerprint string) {
	l.RecordEnd(server, fingerprint)
	l.Merge(now, []fuchsiarouter.Strike{newStrike(now, crash, fingerprint)})
}

// newStrike returns the strike of the fingerprint for a crash at the time now.
func newStrike(now time.Time, crash, fingerprint string) fuchsiarouter.Strike {
	return fuchsiarouter.Strike{
		Fingerprint: fingerprint, CrashCount: 1, CrashID: crash, AtMilliseconds: now.UnixMilli(),
	}
}

// CrashedServers returns the sorted IDs of the servers that crashed while running a request
// with the fingerprint, one ID for each crash. Routing avoids these servers for such
// requests, so that every entry chooses the same server for them.
func (l *List) CrashedServers(fingerprint string) []string {
	s := l.suspects[fingerprint]
	if s == nil {
		return nil
	}
	servers := make([]string, 0, len(s.crashes))
	for crash := range s.crashes {
		if server, _, found := strings.Cut(crash, "/"); found {
			servers = append(servers, server)
		}
	}
	sort.Strings(servers)
	return servers
}

// MarkCleared records that a request with the fingerprint ran exclusively without a crash.
// Such requests then run without restrictions, but the fingerprint keeps its strike, so that
// a second crash still causes their refusal.
func (l *List) MarkCleared(fingerprint string) {
	if s := l.suspects[fingerprint]; s != nil {
		s.cleared = true
	}
}

// Merge adds strikes, such as those that another daemon reported. Strikes that are known,
// expired or without a fingerprint have no effect, and neither have further strikes of a
// fingerprint that has Settings.RefuseFrom.
func (l *List) Merge(now time.Time, strikes []fuchsiarouter.Strike) {
	for _, strike := range strikes {
		at := time.UnixMilli(strike.AtMilliseconds)
		if at.After(now.Add(maxClockSkew)) {
			at = now
		}
		if strike.Fingerprint == "" || now.Sub(at) >= l.settings.StrikeLifetime {
			continue
		}
		s := l.suspects[strike.Fingerprint]
		if s == nil {
			l.evictIfFull(now)
			s = &suspect{crashes: map[string]time.Time{}}
			l.suspects[strike.Fingerprint] = s
		}
		// Once the fingerprint is refused, more crashes would only use memory.
		if _, known := s.crashes[strike.CrashID]; known || len(s.crashes) >= l.settings.RefuseFrom {
			continue
		}
		s.crashes[strike.CrashID] = at
		if at.After(s.newestCrash) {
			s.newestCrash = at
		}
	}
}

// evictIfFull makes room for a new suspect if the list has reached Settings.MaxSuspects. It
// removes the suspects whose strikes have expired or, if there are none, the suspect whose
// newest crash is the longest ago.
func (l *List) evictIfFull(now time.Time) {
	if len(l.suspects) < l.settings.MaxSuspects {
		return
	}
	oldest := ""
	for fingerprint, s := range l.suspects {
		if now.Sub(s.newestCrash) >= l.settings.StrikeLifetime {
			delete(l.suspects, fingerprint)
			continue
		}
		if other := l.suspects[oldest]; other == nil || s.newestCrash.Before(other.newestCrash) {
			oldest = fingerprint
		}
	}
	if len(l.suspects) >= l.settings.MaxSuspects {
		delete(l.suspects, oldest)
	}
}

// Verdict tells how a request with the fingerprint must be handled. It also removes the
// suspect if its strikes have expired.
func (l *List) Verdict(now time.Time, fingerprint string) Verdict {
	s := l.suspects[fingerprint]
	if s == nil {
		return Run
	}
	if now.Sub(s.newestCrash) >= l.settings.StrikeLifetime {
		delete(l.suspects, fingerprint)
		return Run
	}
	switch {
	case len(s.crashes) >= l.settings.RefuseFrom:
		return Refuse
	case s.cleared:
		return Run
	default:
		return Exclusive
	}
}

// Strikes returns up to limit strikes that haven't expired, the newest first, to be reported
// to other daemons.
func (l *List) Strikes(now time.Time, limit int) []fuchsiarouter.Strike {
	var strikes []fuchsiarouter.Strike
	for fingerprint, s := range l.suspects {
		if now.Sub(s.newestCrash) >= l.settings.StrikeLifetime {
			continue
		}
		for crash, at := range s.crashes {
			strikes = append(strikes, fuchsiarouter.Strike{
				Fingerprint: fingerprint, CrashCount: len(s.crashes), CrashID: crash, AtMilliseconds: at.UnixMilli(),
			})
		}
	}
	sort.Slice(strikes, func(i, j int) bool {
		a, b := strikes[i], strikes[j]
		if a.AtMilliseconds != b.AtMilliseconds {
			return a.AtMilliseconds > b.AtMilliseconds
		}
		if a.Fingerprint != b.Fingerprint {
			return a.Fingerprint < b.Fingerprint
		}
		return a.CrashID < b.CrashID
	})
	return strikes[:min(limit, len(strikes))]
}
