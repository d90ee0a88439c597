package experiment

import (
	"math/rand/v2"
	"reflect"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/revision"
)

// configDaemon is a simulated entry or agent that keeps the configuration in the
// real revision.State.
type configDaemon struct {
	id     string
	random *rand.Rand
	state  *revision.State
	// heartbeatPhase is the time from the start of a configHeartbeatInterval to
	// the daemon's heartbeat in it.
	heartbeatPhase time.Duration
	// startedAt is the time of the last restart; 0 if there was none.
	startedAt time.Duration
	// cutOffUntil is the end of the time in which an entry cannot reach the log.
	cutOffUntil time.Duration
	// lastRevisions is the revision of each section at the last comparison with
	// the reference in which the edit in force was not divergent.
	lastRevisions map[string]int64
	// late holds the publications that came into force on this daemon later than
	// configInForceBound; measured counts all that came into force on it. reverts
	// counts how often the revision of a section decreased, divergent how often
	// the edit in force was not the one that the reference accepted for the
	// revision.
	late                         map[configPublication]bool
	measured, reverts, divergent int
}

// configPublication identifies an accepted edit by the section that it replaced
// and the revision that it created.
type configPublication struct {
	section  string
	revision int64
}

// compareWithReference compares the revisions in force on the daemon at the time
// now with the reference state of the simulation, and counts the late, reverted
// and divergent ones. The time until a publication is in force counts from its
// acceptance or, if that is later, from the start of the daemon.
func (d *configDaemon) compareWithReference(now time.Duration, simulation *configSimulation) {
	for _, edit := range d.state.AcceptedEdits() {
		section := string(edit.Record.Section)
		before := d.lastRevisions[section]
		switch {
		case edit.Revision < before:
			d.reverts++
		case edit.Revision == before:
			continue
		}
		accepted := simulation.accepted[section]
		if edit.Revision > int64(len(accepted)) || !reflect.DeepEqual(accepted[edit.Revision-1].Record, edit.Record) {
			d.divergent++
			continue
		}
		for number := before; number < edit.Revision; number++ {
			acceptedAt := simulation.acceptedAt[section][number]
			if acceptedAt < d.startedAt {
				if number < edit.Revision-1 {
					// Replaced before this daemon started.
					continue
				}
				acceptedAt = d.startedAt
			}
			d.measured++
			if now-acceptedAt > configInForceBound {
				d.late[configPublication{section, number + 1}] = true
			}
		}
		d.lastRevisions[section] = edit.Revision
	}
}
