package ingress

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// stallTimeout is the time without progress, which is the arrival of a response's head, of
	// an event or of progressBytes, on all of its requests after which a server that has begun
	// a response is considered frozen or cut off from the network. An engine sends events of
	// its running requests several times per second.
	stallTimeout = 900 * time.Millisecond
	// stallTimeoutBeforeResponse replaces stallTimeout for a server that has not begun a
	// response to any of its requests of this entry: a fully loaded engine begins none for
	// as long as a response takes, and may then load weights for 0.6 s. After this time, which
	// is longer than the silence of a sound server, requests without a response are taken back.
	stallTimeoutBeforeResponse = 2 * time.Second
	// progressBytes is the number of bytes that count as progress, of an event that has not
	// arrived whole or of a body that is no stream.
	progressBytes = 1 << 10
	// ownPauseThreshold is the time between two checks for stalled servers above which
	// this process itself is assumed to have been paused.
	ownPauseThreshold = 400 * time.Millisecond
	// selfFaultDivisor limits the stalls that are reported to other entries: if more than
	// 1/selfFaultDivisor of the servers with requests of this entry are stalled after they
	// have begun a response, the fault is probably in this entry's own network, and none
	// of the stalls is reported.
	selfFaultDivisor = 2
)

// stallDetector finds servers that have requests and make no progress on any of them. The
// VM of such a server may be frozen: it would run its requests long after their callers
// have disconnected.
type stallDetector struct {
	mu      sync.Mutex
	servers map[string]*serverProgress
}

// serverProgress is the progress of a server on the requests of this entry.
type serverProgress struct {
	// lastProgress is the time of the last progress on any response or, if there was none,
	// that at which the first of the attempts was sent. resetTimers sets it anew.
	lastProgress time.Time
	// stalled is set from the time at which the server is found stalled, by this entry or by
	// another one, until it makes progress again.
	stalled  bool
	attempts map[*activeAttempt]struct{}
}

// activeAttempt is a request in flight at a server.
type activeAttempt struct {
	// request is the one that was sent. Its fields that startHedge reads change only while the
	// attempt is not tracked.
	request *request
	// server is the ID of the server that the request was sent to.
	server string
	// cancel resets the connection, which cancels the request at the server and ends the
	// attempt with an error.
	cancel context.CancelFunc
	// resendable is set if the request is idempotent, so that it may be sent to another server
	// when this one stalls.
	resendable bool
	// responseBegun is set once a part of the response has arrived.
	responseBegun bool
	// waitTimer ends the wait for the begin of the run, nil if it is not bounded.
	waitTimer *time.Timer
	// waiting is set while this entry reads from the server. It doesn't while the caller of a
	// stream is slow to read what has arrived.
	waiting bool
	// position is how far the stream of the response has arrived.
	position streamPosition
	// isHedge is set while the attempt belongs to a hedge that has not replaced the first one.
	isHedge bool
	// hedge is the current hedge of the attempt, nil if there is none: it runs, or it has a
	// response that the request has not taken over yet. The next one may begin at nextHedgeAt.
	hedge       *hedge
	nextHedgeAt time.Time
	// hedgeServers are the servers that hedges of this attempt were sent to, hedgeRuns the
	// number of those that may have run the request.
	hedgeServers []string
	hedgeRuns    int
	// promptParts are the parts of the prompt of the request.
	promptParts []string
	// sound is set once the server has written an answer for a while or to its end, so that
	// the request doesn't crash servers.
	sound bool
}

func newStallDetector() *stallDetector { return &stallDetector{servers: map[string]*serverProgress{}} }

// add starts tracking an attempt. If the server had no requests, its stall timeout starts
// now.
func (s *stallDetector) add(now time.Time, attempt *activeAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.servers[attempt.server]
	if server == nil {
		server = &serverProgress{lastProgress: now, attempts: map[*activeAttempt]struct{}{}}
		s.servers[attempt.server] = server
	}
	server.attempts[attempt] = struct{}{}
}

// recordProgress records progress on the response to an attempt. This restarts the stall
// timeout of the server, for all its attempts. It reports whether the server was stalled.
func (s *stallDetector) recordProgress(now time.Time, attempt *activeAttempt) (resumed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recordProgressLocked(now, attempt)
}

// recordProgressLocked is recordProgress for callers that hold the lock.
func (s *stallDetector) recordProgressLocked(now time.Time, attempt *activeAttempt) (resumed bool) {
	attempt.responseBegun = true
	if server := s.servers[attempt.server]; server != nil {
		resumed = server.stalled
		server.lastProgress, server.stalled = now, false
	}
	return resumed
}

// endWait records that the server has begun to run the request of an attempt, or that the attempt, which
// may be nil, has ended.
func (a *activeAttempt) endWait() {
	if a != nil && a.waitTimer != nil {
		a.waitTimer.Stop()
		a.waitTimer = nil
	}
}

// markSound marks an attempt as sound. It reports whether it was not marked before.
func (s *stallDetector) markSound(attempt *activeAttempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasSound := attempt.sound
	attempt.sound = true
	return !wasSound
}

// setWaiting records whether this entry reads the response to an attempt, which may be nil. If it
// read none of the server before, the stall timeout of the server restarts.
func (s *stallDetector) setWaiting(now time.Time, attempt *activeAttempt, waiting bool) {
	if attempt == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if server := s.servers[attempt.server]; waiting && server != nil && !server.isAwaited() {
		server.lastProgress = now
	}
	attempt.waiting = waiting
}

// isSound reports whether an attempt is marked as sound. It may be nil.
func (s *stallDetector) isSound(attempt *activeAttempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return attempt != nil && attempt.sound
}

// unsoundAttempts returns the attempts that are not marked as sound and whose prompts have one
// of the parts.
func (s *stallDetector) unsoundAttempts(parts []string) []*activeAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	var attempts []*activeAttempt
	for _, server := range s.servers {
		for attempt := range server.attempts {
			if !attempt.sound && slices.ContainsFunc(attempt.promptParts, func(part string) bool { return slices.Contains(parts, part) }) {
				attempts = append(attempts, attempt)
			}
		}
	}
	return attempts
}

// remove stops tracking an attempt that has ended.
func (s *stallDetector) remove(attempt *activeAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.servers[attempt.server]
	if server == nil {
		return
	}
	delete(server.attempts, attempt)
	if len(server.attempts) == 0 {
		delete(s.servers, attempt.server)
	}
}

// stallReport is the result of a check for stalled servers.
type stallReport struct {
	// servers are the IDs of the stalled servers.
	servers []string
	// confirmed are the IDs of the stalled servers that have begun a response to a request
	// in flight. The other stalled servers may only be fully loaded, so they are not
	// reported to other entries.
	confirmed []string
	// hedges are new hedges for attempts at stalled servers.
	hedges []*hedge
	// takenBack are the attempts that are to be cancelled, because their server has not begun
	// a response for stallTimeoutBeforeResponse. Their requests may be sent to another server.
	takenBack []*activeAttempt
	// activeServers is the number of servers, stalled or not, that have requests of this
	// entry.
	activeServers int
}

// findStalled returns the servers whose stall timeout has passed.
func (s *stallDetector) findStalled(now time.Time) stallReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := stallReport{activeServers: len(s.servers)}
	for id, server := range s.servers {
		if !server.isAwaited() {
			continue
		}
		begun := server.hasBegunResponse()
		timeout := stallTimeoutBeforeResponse
		if begun {
			timeout = stallTimeout
		}
		if now.Sub(server.lastProgress) < timeout {
			continue
		}
		server.stalled = true
		report.servers = append(report.servers, id)
		if begun {
			report.confirmed = append(report.confirmed, id)
		}
		silent := now.Sub(server.lastProgress) >= stallTimeoutBeforeResponse
		for attempt := range server.attempts {
			if silent && attempt.resendable && !attempt.responseBegun && !attempt.request.scheduling.Resumed {
				report.takenBack = append(report.takenBack, attempt)
			} else if hedge := startHedge(now, attempt); hedge != nil {
				report.hedges = append(report.hedges, hedge)
			}
		}
	}
	return report
}

// hedgeServer returns new hedges for the attempts at the server with the given ID, which another
// entry has found stalled.
func (s *stallDetector) hedgeServer(now time.Time, server string) []*hedge {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hedges []*hedge
	if progress := s.servers[server]; progress != nil {
		progress.stalled = true
		for attempt := range progress.attempts {
			if hedge := startHedge(now, attempt); hedge != nil {
				hedges = append(hedges, hedge)
			}
		}
	}
	return hedges
}

// resetTimers restarts the stall timeouts of all servers, after this process itself was
// paused.
func (s *stallDetector) resetTimers(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		server.lastProgress = now
	}
}

// hasBegunResponse reports whether the server has begun a response to any of the attempts
// in flight. The caller holds the lock of the detector.
func (p *serverProgress) hasBegunResponse() bool {
	for attempt := range p.attempts {
		if attempt.responseBegun {
			return true
		}
	}
	return false
}

// isAwaited reports whether this entry reads from the server for any of the attempts. The caller
// holds the lock of the detector.
func (p *serverProgress) isAwaited() bool {
	for attempt := range p.attempts {
		if attempt.waiting {
			return true
		}
	}
	return false
}

// checkStalls suspends the servers without progress and hedges their resendable requests.
// Requests at servers that have not begun to respond for long are cancelled, so that they are
// sent to other servers. The stalled servers that have begun a response are also reported to the
// other entries, unless the fault is probably in this entry's own network: after this entry has
// cancelled its requests at a server, the server looks idle to the other entries. If this process
// itself was paused since the last check, checkStalls only restarts the stall timeouts.
func (i *Ingress) checkStalls(now time.Time) {
	paused := now.Sub(i.stallsCheckedAt) > ownPauseThreshold
	i.stallsCheckedAt = now
	if paused {
		i.stallDetector.resetTimers(now)
		return
	}
	report := i.stallDetector.findStalled(now)
	i.suspendStalled(now, report.servers, report.hedges)
	for _, attempt := range report.takenBack {
		attempt.cancel()
	}
	if len(report.takenBack) > 0 {
		i.requestLog.write("requests taken back", []zap.Field{zap.Strings("servers", report.servers), zap.Int("taken-back", len(report.takenBack))})
	}
	if len(report.confirmed) == 0 || len(report.confirmed)*selfFaultDivisor > report.activeServers {
		return
	}
	i.mu.Lock()
	stalled := i.takeNewStalls(now, report.confirmed)
	i.mu.Unlock()
	if len(stalled) > 0 {
		i.reportUrgently(now, stalled)
	}
}

// suspendStalled makes the scheduler suspend the stalled servers and runs the hedges of the
// attempts there.
func (i *Ingress) suspendStalled(now time.Time, servers []string, hedges []*hedge) {
	i.mu.Lock()
	for _, server := range servers {
		i.scheduler.SuspendStalled(now, server)
	}
	i.mu.Unlock()
	for _, hedge := range hedges {
		i.background.Go(func() { i.runHedge(hedge) })
	}
	if len(hedges) > 0 {
		i.requestLog.write("servers stalled", []zap.Field{zap.Strings("servers", servers), zap.Int("hedged", len(hedges))})
	}
}

// resumeServer lets a server that was stalled get requests again.
func (i *Ingress) resumeServer(now time.Time, server string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.scheduler.ResumeStalled(now, server)
}

// applyPeerStalls suspends the servers that another entry reports as stalled, and hedges the
// resendable attempts of this entry there.
func (i *Ingress) applyPeerStalls(now time.Time, servers []string) {
	var hedges []*hedge
	for _, server := range servers {
		hedges = append(hedges, i.stallDetector.hedgeServer(now, server)...)
	}
	if len(servers) > 0 {
		i.suspendStalled(now, servers, hedges)
	}
}
