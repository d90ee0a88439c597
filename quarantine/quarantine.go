// Package quarantine keeps a request that crashes backend servers away from
// them.
//
// When a backend server dies, each fingerprint in progress there gets a strike.
// Strikes travel on heartbeats, and every daemon merges them as a set: a strike
// is identified by its fingerprint and the death, so that the order and number
// of reports do not matter. A fingerprint with one strike is a suspect and runs
// alone, so its next crash hits nobody else. One with two strikes is refused.
//
// An agent records the deaths of its engine. An entry records the death of a
// server whose agent died too, for the requests that it had sent there.
//
// A List holds no clock, goroutine or lock. It is for one goroutine at a time.
package quarantine

import (
	"sort"
	"strings"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// Settings configures a List. The zero value of a field stands for its default.
type Settings struct {
	// Keep is how long after its death a strike counts.
	Keep time.Duration
	// Limit bounds the fingerprints with strikes; the oldest are dropped first.
	Limit int
	// RefuseFrom is the number of strikes from which a fingerprint is refused.
	RefuseFrom int
}

// Defaults of Settings.
const (
	DefaultKeep  = time.Hour
	DefaultLimit = 10000
)

// DefaultRefuseFrom is the default number of strikes from which a fingerprint is
// refused.
const DefaultRefuseFrom = 2

// maxSkew bounds how far ahead of the own clock the time of a strike may be.
// A strike from a daemon with a wrong clock would else be kept for too long.
const maxSkew = time.Minute

// Verdict says what happens with a request.
type Verdict int

// The verdicts.
const (
	// Run admits the request as usual.
	Run Verdict = iota
	// Alone admits it on a server with nothing else in progress.
	Alone
	// Refuse refuses it at all entries.
	Refuse
)

// String returns the word for the verdict.
func (v Verdict) String() string { return [...]string{"run", "alone", "refuse"}[v] }

// List holds the strikes that a daemon knows and the fingerprints in progress.
type List struct {
	settings Settings
	// inProgress counts the requests by server and fingerprint.
	inProgress map[string]map[string]int
	suspects   map[string]*suspect
}

// suspect is a fingerprint with strikes.
type suspect struct {
	// deaths holds the time of each death.
	deaths map[string]time.Time
	newest time.Time
	// cleared is set after a run alone that succeeded here.
	cleared bool
}

// New returns a List without strikes.
func New(settings Settings) *List {
	if settings.RefuseFrom <= 0 {
		settings.RefuseFrom = DefaultRefuseFrom
	}
	if settings.Keep <= 0 {
		settings.Keep = DefaultKeep
	}
	if settings.Limit <= 0 {
		settings.Limit = DefaultLimit
	}
	return &List{
		settings:   settings,
		inProgress: map[string]map[string]int{},
		suspects:   map[string]*suspect{},
	}
}

// Started counts a request in progress at the server.
func (l *List) Started(server, fingerprint string) {
	requests := l.inProgress[server]
	if requests == nil {
		requests = map[string]int{}
		l.inProgress[server] = requests
	}
	requests[fingerprint]++
}

// Finished ends a request that did not crash the server.
func (l *List) Finished(server, fingerprint string) {
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

// Crashed records the death of the server and returns the strikes of the
// requests in progress there, which have thereby ended. crash identifies the
// death everywhere: the id of the server, a slash, and what tells its deaths
// apart, such as the incarnation of the engine.
func (l *List) Crashed(now time.Time, server, crash string) []fuchsiarouter.Strike {
	var strikes []fuchsiarouter.Strike
	for fingerprint := range l.inProgress[server] {
		strikes = append(strikes, newStrike(now, crash, fingerprint))
	}
	sort.Slice(strikes, func(i, j int) bool { return strikes[i].Fingerprint < strikes[j].Fingerprint })
	delete(l.inProgress, server)
	l.Merge(now, strikes)
	return strikes
}

// Broken records the death of a server with its agent for one request whose
// connection broke, and ends it. Other requests to the server may have been sent
// after its death, so each counts by its own connection.
func (l *List) Broken(now time.Time, server, crash, fingerprint string) {
	l.Finished(server, fingerprint)
	l.Merge(now, []fuchsiarouter.Strike{newStrike(now, crash, fingerprint)})
}

func newStrike(now time.Time, crash, fingerprint string) fuchsiarouter.Strike {
	return fuchsiarouter.Strike{
		Fingerprint: fingerprint, Count: 1, Crash: crash, AtMilliseconds: now.UnixMilli(),
	}
}

// Lost returns the servers that died with the fingerprint. A suspect does not go
// there again, so that it goes to the same server from every entry.
func (l *List) Lost(fingerprint string) []string {
	s := l.suspects[fingerprint]
	if s == nil {
		return nil
	}
	servers := make([]string, 0, len(s.deaths))
	for crash := range s.deaths {
		if server, _, found := strings.Cut(crash, "/"); found {
			servers = append(servers, server)
		}
	}
	sort.Strings(servers)
	return servers
}

// Cleared records that the suspect ran alone and its server lived. It then runs
// as usual, but keeps its strike, so a second crash still has it refused.
func (l *List) Cleared(fingerprint string) {
	if s := l.suspects[fingerprint]; s != nil {
		s.cleared = true
	}
}

// Merge adds the strikes of another daemon. Strikes that are known already or
// too old change nothing.
func (l *List) Merge(now time.Time, strikes []fuchsiarouter.Strike) {
	for _, strike := range strikes {
		at := time.UnixMilli(strike.AtMilliseconds)
		if at.After(now.Add(maxSkew)) {
			at = now
		}
		if strike.Fingerprint == "" || now.Sub(at) >= l.settings.Keep {
			continue
		}
		s := l.suspects[strike.Fingerprint]
		if s == nil {
			l.makeRoom(now)
			s = &suspect{deaths: map[string]time.Time{}}
			l.suspects[strike.Fingerprint] = s
		}
		// Above the refusal limit more deaths change nothing but the memory.
		if _, known := s.deaths[strike.Crash]; known || len(s.deaths) >= l.settings.RefuseFrom {
			continue
		}
		s.deaths[strike.Crash] = at
		if at.After(s.newest) {
			s.newest = at
		}
	}
}

// makeRoom drops expired suspects, or the oldest one, when the list is full.
func (l *List) makeRoom(now time.Time) {
	if len(l.suspects) < l.settings.Limit {
		return
	}
	oldest := ""
	for fingerprint, s := range l.suspects {
		if now.Sub(s.newest) >= l.settings.Keep {
			delete(l.suspects, fingerprint)
			continue
		}
		if other := l.suspects[oldest]; other == nil || s.newest.Before(other.newest) {
			oldest = fingerprint
		}
	}
	if len(l.suspects) >= l.settings.Limit {
		delete(l.suspects, oldest)
	}
}

// Verdict says what happens with a request of the fingerprint.
func (l *List) Verdict(now time.Time, fingerprint string) Verdict {
	s := l.suspects[fingerprint]
	if s == nil {
		return Run
	}
	if now.Sub(s.newest) >= l.settings.Keep {
		delete(l.suspects, fingerprint)
		return Run
	}
	switch {
	case len(s.deaths) >= l.settings.RefuseFrom:
		return Refuse
	case s.cleared:
		return Run
	default:
		return Alone
	}
}

// Strikes returns up to limit strikes to report, the newest first.
func (l *List) Strikes(now time.Time, limit int) []fuchsiarouter.Strike {
	var strikes []fuchsiarouter.Strike
	for fingerprint, s := range l.suspects {
		if now.Sub(s.newest) >= l.settings.Keep {
			continue
		}
		for crash, at := range s.deaths {
			strikes = append(strikes, fuchsiarouter.Strike{
				Fingerprint: fingerprint, Count: len(s.deaths), Crash: crash, AtMilliseconds: at.UnixMilli(),
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
		return a.Crash < b.Crash
	})
	return strikes[:min(limit, len(strikes))]
}
