package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
)

const (
	// minIncidents is the number of incidents from which a part of a prompt is refused. An
	// unrelated request is rarely in progress, without having received an answer, at that
	// many.
	minIncidents = 3
	// minIncidentShareDivisor is the reciprocal of the smallest share of the incidents, from
	// its first one on, that a refused part has been involved in. It allows for a few deadly
	// parts at the same time and for crashes with other causes.
	minIncidentShareDivisor = 3
	// incidentWindow is the time within which crashes are one incident. Servers that fail
	// together, as after a loss of power, say nothing about any request.
	incidentWindow = 100 * time.Millisecond
	// soundFor is the time for which a sound answer speaks for its parts: they are not
	// suspected of crashes before it and within this time after it. A part that turns deadly
	// is found after this time.
	soundFor = 10 * time.Second
	// minSoundRequests is the number of sound answers without a part, since its first
	// incident, that are needed to refuse it. Without them, all requests may have the part,
	// and its refusal would refuse them all.
	minSoundRequests = 5
	// partCrashLifetime is the time for which a crash counts against the parts.
	partCrashLifetime = time.Hour
	// reportPeriod is the time for which new facts are reported to other daemons. It covers
	// several messages on each path between daemons.
	reportPeriod = 3 * time.Second
	// maxPartCrashes, maxPartsPerCrash and maxSoundParts bound the memory.
	maxPartCrashes   = 64
	maxPartsPerCrash = 128
	maxSoundParts    = 8192
	// maxReportedCrashes and maxReportedParts bound the size of a report.
	maxReportedCrashes = 12
	maxReportedParts   = 24
)

// Parts finds parts of prompts that crash each server that begins to answer a request with
// them. Requests with such a part have nothing else in common, so the fingerprint of a whole
// request never gathers enough strikes.
//
// At a crash, all parts of the requests in progress there are candidates, except the last part
// of each, which belongs to that request alone, and parts for which a sound answer speaks. What
// is left is involved in incident after incident, and is refused from minIncidents on. An
// incident that a refused part explains no longer counts against other parts: the deadly part's
// requests may all share a sound part as well.
//
// Daemons exchange crashes and cleared parts as ages, which needs no common clock. Each one
// decides by itself from all that it knows.
//
// Parts doesn't read the clock, start goroutines or lock. Calls must be serialized by the
// caller.
type Parts struct {
	// crashes holds the crashes by their ID, which is described at List.RecordCrash.
	crashes map[string]*partCrash
	// crashCounts is the number of crashes with a candidate, by part.
	crashCounts map[string]int
	// soundAt is the time of the last sound answer by part.
	soundAt map[string]time.Time
	// clearedAt is the time at which it was last found that a sound answer speaks for a
	// candidate, by part.
	clearedAt map[string]time.Time
	// soundRequests counts the sound answers.
	soundRequests int
	// refused holds the refused parts.
	refused map[string]bool
	// needed is the result of neededCrashes at the last update.
	needed []string
	// pending is set while only sound answers without it are missing to refuse a part.
	pending bool
	// nextExpiry is the time at which the first crash expires.
	nextExpiry time.Time
}

// partCrash is a crash with the candidates for its cause.
type partCrash struct {
	at time.Time
	// changed is the time at which the crash or a candidate of it became known here.
	changed time.Time
	// positions is the greatest index in a prompt by candidate.
	positions map[string]int
	// soundRequests is the value that Parts.soundRequests would have had at the crash, if all
	// later sound answers that are known had been counted here.
	soundRequests int
}

// NewParts returns a Parts without crashes.
func NewParts() *Parts {
	return &Parts{
		crashes: map[string]*partCrash{}, crashCounts: map[string]int{},
		soundAt: map[string]time.Time{}, clearedAt: map[string]time.Time{}, refused: map[string]bool{},
	}
}

// sharedParts returns the parts of a prompt that other prompts may have: all but the last one.
func sharedParts(promptParts []string) []string {
	return promptParts[:max(len(promptParts)-1, 0)]
}

// RecordCrash records that a server crashed while a request with these parts was in progress
// there of which no sound answer had been seen. crash is the ID of the crash. It returns the
// parts that are refused from now on.
func (p *Parts) RecordCrash(now time.Time, crash string, promptParts []string) []string {
	positions := map[string]int{}
	for position, part := range sharedParts(promptParts) {
		positions[part] = position
	}
	if !p.addCandidates(now, now, crash, positions, 0) {
		return nil
	}
	return p.update(now)
}

// RecordSound records a sound answer to a request with these parts: the server has written it
// for a while or to its end. It returns the parts that are refused from now on.
func (p *Parts) RecordSound(now time.Time, promptParts []string) []string {
	p.soundRequests++
	changed := p.pending
	for _, part := range sharedParts(promptParts) {
		changed = p.clearPart(now, now, part) || changed
	}
	if !changed {
		return nil
	}
	return p.update(now)
}

// Refused returns the first part of a prompt that is refused, or "" if none is.
func (p *Parts) Refused(now time.Time, promptParts []string) string {
	if !p.nextExpiry.IsZero() && !now.Before(p.nextExpiry) {
		p.update(now)
	}
	for _, part := range sharedParts(promptParts) {
		if p.refused[part] {
			return part
		}
	}
	return ""
}

// Merge adds the report of another daemon. It returns the parts that are refused from now on.
func (p *Parts) Merge(now time.Time, report fuchsiarouter.PartReport) []string {
	changed := false
	for _, cleared := range report.Cleared {
		changed = p.clearPart(now, now.Add(-age(cleared.AgeMilliseconds)), cleared.Part) || changed
	}
	for _, crash := range report.Crashes {
		changed = p.addCandidates(now, now.Add(-age(crash.AgeMilliseconds)), crash.CrashID, crash.Positions,
			min(max(crash.SoundRequests, 0), minSoundRequests)) || changed
	}
	if !changed {
		return nil
	}
	return p.update(now)
}

// age converts an age in milliseconds from a message.
func age(milliseconds int64) time.Duration {
	return time.Duration(min(max(milliseconds, 0), partCrashLifetime.Milliseconds())) * time.Millisecond
}

// addCandidates adds parts to a crash, except those with a sound answer that speaks for them,
// and records how many sound answers were seen since the crash. It reports whether that may
// decide what is refused.
func (p *Parts) addCandidates(now, at time.Time, id string, positions map[string]int, soundSince int) bool {
	if id == "" || now.Sub(at) >= partCrashLifetime {
		return false
	}
	crash := p.crashes[id]
	decisive := false
	if crash != nil {
		// A report that was delayed dates the crash too late, so the earliest time is the best.
		decisive = crash.at.Sub(at) > incidentWindow
		if at.Before(crash.at) {
			crash.at = at
		}
		at = crash.at
	}
	if sound := p.soundRequests - soundSince; crash != nil && sound < crash.soundRequests {
		crash.soundRequests = sound
		decisive = decisive || p.pending
	}
	for part, position := range positions {
		if p.isCleared(part, at) {
			p.clearedAt[part] = now
			continue
		}
		if crash == nil {
			p.evictIfFull()
			crash = &partCrash{at: at, positions: map[string]int{}, soundRequests: p.soundRequests - soundSince}
			p.crashes[id] = crash
		}
		known, isCandidate := crash.positions[part]
		if !isCandidate && len(crash.positions) >= maxPartsPerCrash {
			continue
		}
		crash.positions[part] = max(known, position)
		if !isCandidate {
			crash.changed = now
			p.crashCounts[part]++
			decisive = decisive || p.crashCounts[part] >= minIncidents
		}
	}
	return decisive
}

// isCleared reports whether a sound answer speaks for a part in a crash at the given time.
func (p *Parts) isCleared(part string, crashAt time.Time) bool {
	sound, known := p.soundAt[part]
	return known && sound.After(crashAt.Add(-soundFor))
}

// evictIfFull makes room for a new crash by removing the oldest one.
func (p *Parts) evictIfFull() {
	if len(p.crashes) < maxPartCrashes {
		return
	}
	oldest := ""
	for id, crash := range p.crashes {
		if oldest == "" || crash.at.Before(p.crashes[oldest].at) {
			oldest = id
		}
	}
	p.deleteCrash(oldest)
}

// deleteCrash removes a crash.
func (p *Parts) deleteCrash(id string) {
	for part := range p.crashes[id].positions {
		p.uncount(part)
	}
	delete(p.crashes, id)
}

// uncount records that a part is a candidate of one crash less.
func (p *Parts) uncount(part string) {
	p.crashCounts[part]--
	if p.crashCounts[part] == 0 {
		delete(p.crashCounts, part)
	}
}

// clearPart records a sound answer with the part at the given time. It reports whether the part
// was refused and may no longer be.
func (p *Parts) clearPart(now, at time.Time, part string) bool {
	if known := p.soundAt[part]; at.Before(known) {
		at = known
	}
	if len(p.soundAt) >= maxSoundParts {
		maps.DeleteFunc(p.soundAt, func(_ string, sound time.Time) bool { return now.Sub(sound) >= soundFor })
	}
	if len(p.soundAt) < maxSoundParts {
		p.soundAt[part] = at
	}
	if p.crashCounts[part] == 0 {
		return false
	}
	cleared := false
	for id, crash := range p.crashes {
		if _, isCandidate := crash.positions[part]; !isCandidate || !at.After(crash.at.Add(-soundFor)) {
			continue
		}
		cleared = true
		p.uncount(part)
		delete(crash.positions, part)
		if len(crash.positions) == 0 {
			delete(p.crashes, id)
		}
	}
	if cleared {
		p.clearedAt[part] = now
	}
	return cleared && p.refused[part]
}

// involvement is how often a part was a candidate.
type involvement struct {
	part      string
	position  int
	incidents int
	// firstIncident and lastIncident are the indexes of its incidents.
	firstIncident, lastIncident int
	// soundRequests is the number of sound answers before the first crash.
	soundRequests int
}

// update drops what has expired and decides anew which parts are refused. It returns those
// that were not refused before.
func (p *Parts) update(now time.Time) []string {
	for id, crash := range p.crashes {
		if now.Sub(crash.at) >= partCrashLifetime {
			p.deleteCrash(id)
		}
	}
	before := p.refused
	p.decide()
	p.needed = p.neededCrashes()
	var added []string
	for part := range p.refused {
		if !before[part] {
			added = append(added, part)
		}
	}
	slices.Sort(added)
	return added
}

// decide sets the refused parts. Of the crashes that no refused part explains, it refuses the
// part that is involved in the most incidents, until none is involved in enough of them.
func (p *Parts) decide() {
	unexplained := slices.SortedFunc(maps.Values(p.crashes), func(a, b *partCrash) int { return a.at.Compare(b.at) })
	p.nextExpiry = time.Time{}
	if len(unexplained) > 0 {
		p.nextExpiry = unexplained[0].at.Add(partCrashLifetime)
	}
	before := p.refused
	p.refused, p.pending = map[string]bool{}, false
	for {
		suspect, found := p.mostInvolved(unexplained)
		if !found {
			return
		}
		if p.soundRequests-suspect.soundRequests < minSoundRequests && !before[suspect.part] {
			p.pending = true
			return
		}
		p.refused[suspect.part] = true
		unexplained = slices.DeleteFunc(unexplained, func(crash *partCrash) bool {
			_, explained := crash.positions[suspect.part]
			return explained
		})
	}
}

// mostInvolved returns the part that was a candidate in the most incidents of the crashes,
// which are sorted by time, if these are enough to refuse it. Of several parts it is the one
// at the latest position in its prompts, which the fewest prompts share.
func (p *Parts) mostInvolved(crashes []*partCrash) (involvement, bool) {
	byPart := map[string]*involvement{}
	incidents := 0
	var incidentBegan time.Time
	for _, crash := range crashes {
		if incidents == 0 || crash.at.Sub(incidentBegan) > incidentWindow {
			incidents++
			incidentBegan = crash.at
		}
		for part, position := range crash.positions {
			if p.crashCounts[part] < minIncidents {
				continue
			}
			i := byPart[part]
			if i == nil {
				i = &involvement{part: part, firstIncident: incidents, soundRequests: crash.soundRequests}
				byPart[part] = i
			}
			if i.lastIncident != incidents {
				i.incidents++
				i.lastIncident = incidents
			}
			i.position = max(i.position, position)
			i.soundRequests = min(i.soundRequests, crash.soundRequests)
		}
	}
	best, found := involvement{}, false
	for _, i := range byPart {
		if i.incidents < minIncidents || i.incidents*minIncidentShareDivisor < incidents-i.firstIncident+1 {
			continue
		}
		if !found || cmp.Or(cmp.Compare(i.incidents, best.incidents), cmp.Compare(i.position, best.position), cmp.Compare(best.part, i.part)) > 0 {
			best, found = *i, true
		}
	}
	return best, found
}

// Report returns what other daemons need: the crashes that became known within reportPeriod,
// as many crashes with each refused part as they need to refuse it as well, and the parts that
// were cleared within reportPeriod.
func (p *Parts) Report(now time.Time) fuchsiarouter.PartReport {
	var report fuchsiarouter.PartReport
	if len(p.crashes) == 0 && len(p.clearedAt) == 0 {
		return report
	}
	var recent []string
	for id, crash := range p.crashes {
		if now.Sub(crash.changed) < reportPeriod && !slices.Contains(p.needed, id) {
			recent = append(recent, id)
		}
	}
	slices.SortFunc(recent, p.compareNewestFirst)
	// The needed ones come first: an entry may also start during a wave of crashes.
	for _, id := range append(slices.Clone(p.needed), recent...) {
		if crash := p.crashes[id]; crash != nil && len(report.Crashes) < maxReportedCrashes {
			report.Crashes = append(report.Crashes, fuchsiarouter.PartCrash{
				CrashID: id, AgeMilliseconds: now.Sub(crash.at).Milliseconds(), Positions: p.reportedPositions(crash),
				SoundRequests: min(p.soundRequests-crash.soundRequests, minSoundRequests),
			})
		}
	}
	for part, at := range p.clearedAt {
		if now.Sub(at) >= reportPeriod {
			delete(p.clearedAt, part)
			continue
		}
		if sound, known := p.soundAt[part]; known && len(report.Cleared) < maxReportedParts {
			report.Cleared = append(report.Cleared, fuchsiarouter.ClearedPart{Part: part, AgeMilliseconds: now.Sub(sound).Milliseconds()})
		}
	}
	return report
}

// compareNewestFirst orders the IDs of crashes by time, the newest first.
func (p *Parts) compareNewestFirst(a, b string) int {
	return cmp.Or(p.crashes[b].at.Compare(p.crashes[a].at), cmp.Compare(a, b))
}

// neededCrashes returns the IDs of the crashes that another daemon needs to refuse the parts that
// are refused here: the newest ones with each part, from minIncidents incidents.
func (p *Parts) neededCrashes() []string {
	var needed []string
	lastIncidents, incidentCounts := map[string]time.Time{}, map[string]int{}
	for _, id := range slices.SortedFunc(maps.Keys(p.crashes), p.compareNewestFirst) {
		crash, isNeeded := p.crashes[id], false
		for part := range crash.positions {
			last, known := lastIncidents[part]
			if p.refused[part] && incidentCounts[part] < minIncidents && (!known || last.Sub(crash.at) > incidentWindow) {
				isNeeded = true
				lastIncidents[part] = crash.at
				incidentCounts[part]++
			}
		}
		if isNeeded {
			needed = append(needed, id)
		}
	}
	return needed
}

// reportedPositions returns the candidates of a crash for a report: the refused parts, which
// explain it, or if there are none, as many as a report may have.
func (p *Parts) reportedPositions(crash *partCrash) map[string]int {
	explaining := map[string]int{}
	for part, position := range crash.positions {
		if p.refused[part] {
			explaining[part] = position
		}
	}
	if len(explaining) > 0 {
		return explaining
	}
	return firstPositions(crash.positions)
}

// firstPositions returns up to maxReportedParts of the candidates, those at the latest
// positions in their prompts first.
func firstPositions(positions map[string]int) map[string]int {
	if len(positions) <= maxReportedParts {
		return maps.Clone(positions)
	}
	parts := slices.SortedFunc(maps.Keys(positions), func(a, b string) int {
		return cmp.Or(cmp.Compare(positions[b], positions[a]), cmp.Compare(a, b))
	})
	reported := map[string]int{}
	for _, part := range parts[:maxReportedParts] {
		reported[part] = positions[part]
	}
	return reported
}
