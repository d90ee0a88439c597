// Package routing chooses the backend server for a request at an entry, a daemon that
// receives the requests of callers. It is used by package entry, where the agent of each
// server queues the requests to that server; package schedule is its counterpart for
// package ingress, where the entry itself queues them.
//
// The servers that can run a request form a group, such as those that have one
// model version ready. Rendezvous hashing with the fingerprint of the request, a
// digest of its content, ranks the servers of the group. The first two of the
// ranking are the candidates, and the less loaded one is chosen. Every entry
// computes the same two, so a request that crashes each server that runs it reaches
// at most two servers, even if its caller sends it to all entries at once.
//
// For the same reason a server keeps its place in the ranking for the hold-down time
// after it crashed or disappeared: the request must not move on to the next server
// before every entry has learned of the crash. A server that is slow or fails requests
// without a crash is ejected: for a time, its requests go to the other candidate, and
// to further servers of the ranking only if that one is ejected too.
//
// The load of a server, in requests, is known from the reports in heartbeats and responses,
// which lag. A Router adds the requests that its own entry has sent since the last report,
// and lets the estimate from an old report decay to the mean of the group.
//
// A Router doesn't read the clock, start goroutines or lock. Calls must be serialized
// by the caller.
package routing

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/document"
)

// Server is a backend server as listed in the membership view, which the entry builds from
// the heartbeats of all daemons.
type Server struct {
	ID string
	// Incarnation changes each time the agent of the server starts.
	Incarnation int64
	// Load is the load as of ReportedAt.
	Load       fuchsiarouter.Load
	ReportedAt time.Time
	// AliveAt is the last time at which the server is known to have been alive, if
	// that is after ReportedAt.
	AliveAt time.Time
}

// Request holds the properties of a request that determine its server.
type Request struct {
	// Group is the name, as passed to Router.Update, of the group of servers that can
	// run the request.
	Group string
	// Fingerprint is a digest of the request's content.
	Fingerprint string
	// Rank determines how load is weighted: urgent requests can preempt overnight
	// ones, so for the other ranks the load of overnight requests counts little.
	Rank document.RankName
	// Prefix, when set, is a digest of the part of the request that the engine
	// can have in its prefix cache. It then determines the first candidate and
	// the fingerprint the second.
	Prefix string
	// Excluded are the IDs of servers that the request was sent to and that may have
	// crashed. They aren't chosen, but keep their places in the ranking, so that no
	// further server becomes a candidate.
	Excluded []string
	// Suspect is set for a request during which a server has crashed and which must
	// run with no other in progress. Every entry chooses the same server for it,
	// regardless of load.
	Suspect bool
	// CrashedServers are the IDs of the servers that crashed while running the
	// suspect.
	CrashedServers []string
	// Skipped are the IDs of servers that the request was sent to and that are up, but
	// returned a result for which AllowsFailover is true. The next servers in the
	// ranking take their places.
	Skipped []string
}

// Outcome tells how a request ended at a server.
type Outcome int

// The outcomes.
const (
	// Succeeded is a complete response, or a failure caused by the request itself.
	Succeeded Outcome = iota
	// Refused is a refusal by a server that works, such as one for lack of capacity. It
	// doesn't affect the failure rate of the server.
	Refused
	// Failed is an error or a timeout from a server that is still up.
	Failed
	// Crashed means that the server or its engine was lost, or the connection to it, so
	// that the request may have crashed it.
	Crashed
	// Cancelled means that the caller disconnected. It doesn't affect the failure rate
	// of the server.
	Cancelled
)

// Settings configures a Router. A field with the zero value takes its default.
type Settings struct {
	// MaxEjectedShare is the share of a group, from 0 to 1, that may be ejected at once.
	MaxEjectedShare float64
	// BaseEjectionTime is the duration of the first ejection of a server. The duration
	// doubles with each further one, up to eight times the base.
	BaseEjectionTime time.Duration
	// SlowFactor is the multiple of the group's median token interval above which a
	// server is ejected as too slow. The token interval is the mean time between the
	// tokens of a response.
	SlowFactor float64
	// SlowStart is the time in which the load sent to a server that is new, restarted or
	// no longer ejected grows to its full share.
	SlowStart time.Duration
	// HoldDown is the time for which a server that the membership view no longer lists
	// as ready keeps its place in the ranking. It must exceed the time in which strikes, the
	// crash records of package quarantine, reach every entry: two heartbeats of one
	// second each. A request whose candidates are both lost waits for as long.
	HoldDown time.Duration
	// HalfLife is the age at which a load report has half of its weight in the estimate
	// of a server's load; the mean load of the group has the other half.
	HalfLife time.Duration
	// RandomKey, if set, returns the hash key that replaces the fingerprint, so that
	// the candidates are random. It serves as a baseline for measurements: a
	// crashing request can then reach any server.
	RandomKey func() uint64
}

// Defaults of Settings.
const (
	DefaultMaxEjectedShare  = 0.4
	DefaultBaseEjectionTime = 5 * time.Second
	DefaultSlowFactor       = 3.0
	DefaultSlowStart        = 3 * time.Second
	DefaultHoldDown         = 5 * time.Second
	DefaultHalfLife         = 4 * time.Second
)

func (s Settings) withDefaults() Settings {
	if s.MaxEjectedShare <= 0 {
		s.MaxEjectedShare = DefaultMaxEjectedShare
	}
	if s.BaseEjectionTime <= 0 {
		s.BaseEjectionTime = DefaultBaseEjectionTime
	}
	if s.SlowFactor <= 0 {
		s.SlowFactor = DefaultSlowFactor
	}
	if s.SlowStart <= 0 {
		s.SlowStart = DefaultSlowStart
	}
	if s.HoldDown <= 0 {
		s.HoldDown = DefaultHoldDown
	}
	if s.HalfLife <= 0 {
		s.HalfLife = DefaultHalfLife
	}
	return s
}
