package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/world"
)

// server is the state of a backend server.
type server struct {
	*world.Server
	own int
	// home is set for servers that this entry prefers.
	home bool
	// others counts the requests of other entries by entry.
	others map[string]int
	// failures counts the sendings in a row that the server refused or failed.
	failures int
	// stalls counts how often in a row it made no progress.
	stalls int
	until  time.Time
	// gone is set when another incarnation has answered at its address.
	gone bool
	// ahead is what the agent beside the server says of it, which is newer than its
	// registration until aheadUntil.
	ahead      map[string]int
	loading    bool
	loadsAt    time.Time
	aheadUntil time.Time
}

// fits tells whether the server may run the request.
func (s *server) fits(now time.Time, request *Request, version int) bool {
	if s.Draining || s.gone || slices.Contains(request.Tried, s.ID) {
		return false
	}
	if request.Model == "" {
		return true
	}
	held := s.held(now, request.Model)
	return held > 0 && held >= version
}

// endsTooLate tells whether the server is about to load weights, and the request would
// run for longer than the time until then. The server would take nothing new while it
// waits for it. The most urgent requests, which are short, go there all the same.
func (s *server) endsTooLate(now time.Time, request *Request, group *service) bool {
	if request.urgent() || now.After(s.aheadUntil) || !now.Before(s.loadsAt) {
		return false
	}
	return now.Add(group.runs(request)).After(s.loadsAt.Add(loadSlack))
}

// used is the number of requests of all entries at the server.
func (s *server) used() int {
	used := s.own
	for _, count := range s.others {
		used += count
	}
	return used
}

// load is the share of the slots that are in use.
func (s *server) load() float64 { return float64(s.used()) / float64(max(s.Slots, 1)) }

// places is the number of requests up to which the server takes another one.
func (s *server) places(request *Request, group *service) int {
	slots := max(s.Slots, 1)
	switch {
	case request.Model == "":
		return slots + plainOvercommit
	case request.urgent():
		return slots + urgentOvercommit
	}
	part := batchShare
	if group.exceeds(request.Rank) {
		part -= rankReserve
	}
	return int(math.Ceil(float64(slots) * part))
}

func (s *server) held(now time.Time, model string) int {
	if now.Before(s.aheadUntil) {
		return s.ahead[model]
	}
	return s.Versions[model]
}
