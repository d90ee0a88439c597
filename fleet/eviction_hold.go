package fleet

import "time"

// evictionHold is the state of the mass-silence guard for one failure domain. While
// most members of the domain are silent, but for at most MaxHold, and for
// RecoveryGrace after that, its members are not declared dead.
type evictionHold struct {
	// silentSince is when the current or last mass silence of the domain began.
	silentSince time.Time
	// lastExtended is the last time at which the domain was mass-silent for less
	// than MaxHold. The hold lasts for RecoveryGrace after that, because the
	// members of a recovering domain do not all return within the same second.
	lastExtended time.Time
	// isMassSilent is set while most members of the domain are silent, even after
	// MaxHold.
	isMassSilent bool
}

// failureDomains returns the names of the failure domains of a member: the whole
// view, whose name is empty, the member's region and its availability zone.
func failureDomains(member *Member) [3]string {
	return [3]string{"", "region " + member.Region, "zone " + member.Region + " " + member.AvailabilityZone}
}

// updateHolds starts, extends and removes the holds of failure domains, depending
// on whether most of their members are silent.
func (v *View) updateHolds(now time.Time) {
	if v.settings.DisableGuard {
		return
	}
	type memberCount struct{ silent, total int }
	countsByDomain := map[string]*memberCount{}
	for _, member := range v.members {
		if member.Status == StatusDead || member.unlisted {
			continue
		}
		for _, domain := range failureDomains(member) {
			count := countsByDomain[domain]
			if count == nil {
				count = &memberCount{}
				countsByDomain[domain] = count
			}
			count.total++
			if now.Sub(member.HeardAt) >= v.settings.SuspectAfter {
				count.silent++
			}
		}
	}
	for domain, hold := range v.evictionHolds {
		if count := countsByDomain[domain]; count == nil || !v.isMassSilence(count.silent, count.total) {
			hold.isMassSilent = false
			if now.Sub(hold.lastExtended) > v.settings.RecoveryGrace {
				delete(v.evictionHolds, domain)
			}
		}
	}
	for domain, count := range countsByDomain {
		if !v.isMassSilence(count.silent, count.total) {
			continue
		}
		hold := v.evictionHolds[domain]
		if hold == nil {
			hold = &evictionHold{}
			v.evictionHolds[domain] = hold
		}
		if !hold.isMassSilent {
			hold.isMassSilent, hold.silentSince = true, now
		}
		if now.Sub(hold.silentSince) < v.settings.MaxHold {
			hold.lastExtended = now
		}
	}
}

// isMassSilence reports whether this number of silent members, of all members of a
// failure domain, counts as mass silence.
func (v *View) isMassSilence(silent, total int) bool {
	return total >= v.settings.MinGuardedMembers && 2*silent > total
}

// isMemberHeld reports whether the hold of a failure domain of the member keeps
// the member from being declared dead, provided that the VM list has it.
func (v *View) isMemberHeld(now time.Time, member *Member) bool {
	for _, domain := range failureDomains(member) {
		if hold := v.evictionHolds[domain]; hold != nil && now.Sub(hold.lastExtended) < v.settings.RecoveryGrace {
			return true
		}
	}
	return false
}

// IsMostlySilent reports whether most members of the whole view are silent. Then
// it is more likely that this entry is cut off than that all the others are dead,
// and evictions are held for up to MaxHold. The result stays true after MaxHold
// while the mass silence lasts.
func (v *View) IsMostlySilent() bool {
	hold := v.evictionHolds[""]
	return hold != nil && hold.isMassSilent
}
