package experiment

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/claim"
)

const (
	// Fractions of the dispatches that the service refuses, and of those whose
	// connection is lost before the answer.
	refusedShare = 0.01
	lostShare    = 0.002
	// maxServiceTime is the maximum time that a call takes at the service.
	maxServiceTime = 50 * time.Millisecond
)

// dispatchResult is what an entry learns about a call that it dispatched.
type dispatchResult int

const (
	// dispatchAnswered means that the call ran and its answer arrived.
	dispatchAnswered dispatchResult = iota
	// dispatchRefused means that the service refused the call, which did not run.
	dispatchRefused
	// dispatchLost means that the connection was lost and the call may have run.
	dispatchLost
)

// claimService is a stand-in for a backend service whose calls must not run
// twice. It counts the runs of each key and records what callers were told.
type claimService struct {
	mu     sync.Mutex
	random *rand.Rand
	// runs counts the runs of each key.
	runs map[claim.Key]int
	// reportedNotRun is the time of the last answer that the call with a key did
	// not run.
	reportedNotRun map[claim.Key]time.Time

	// doubleRuns counts the runs beyond the first of each key.
	doubleRuns int
	// falseNotRun counts the answers "did not run" about a call that had run.
	falseNotRun int
	// runsAfterNotRun counts the runs that started after the caller was told "did
	// not run", for a send that had reached an entry before that.
	runsAfterNotRun int
	// swappedAnswers counts the answers that belong to the call of another key.
	swappedAnswers int
}

// newClaimService returns a service that has run no calls.
func newClaimService(seed uint64) *claimService {
	return &claimService{
		random:         rand.New(rand.NewPCG(seed, 2)),
		runs:           map[claim.Key]int{},
		reportedNotRun: map[claim.Key]time.Time{},
	}
}

// run handles a dispatch of the call with the key: it runs the call, refuses it,
// or loses the connection, in which case the call runs with a probability of one
// half. arrivedAt is when the caller's send arrived at the entry.
func (s *claimService) run(key claim.Key, arrivedAt time.Time) (claim.Outcome, dispatchResult) {
	s.mu.Lock()
	chance := s.random.Float64()
	wait := time.Duration(s.random.Int64N(int64(maxServiceTime)))
	if chance < refusedShare {
		s.mu.Unlock()
		return claim.Outcome{}, dispatchRefused
	}
	lost := chance < refusedShare+lostShare
	if !lost || s.random.IntN(2) == 0 {
		s.runs[key]++
		if s.runs[key] > 1 {
			s.doubleRuns++
		}
		if reportedAt, ok := s.reportedNotRun[key]; ok && arrivedAt.Before(reportedAt) {
			s.runsAfterNotRun++
		}
	}
	s.mu.Unlock()
	time.Sleep(wait)
	if lost {
		return claim.Outcome{}, dispatchLost
	}
	return claim.Outcome{Status: 200, ContentType: "text/plain", Body: receiptBody(key)}, dispatchAnswered
}

// recordNotRun records that a caller was told that the call with the key did not
// run.
func (s *claimService) recordNotRun(key claim.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedNotRun[key] = time.Now()
	if s.runs[key] > 0 {
		s.falseNotRun++
	}
}

// checkAnswer counts a swapped answer if body is not the answer to the call with
// the key.
func (s *claimService) checkAnswer(key claim.Key, body []byte) {
	if string(body) != string(receiptBody(key)) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.swappedAnswers++
	}
}

// receiptBody returns the answer to the call with the key.
func receiptBody(key claim.Key) []byte { return fmt.Appendf(nil, "redeemed %s", key) }
