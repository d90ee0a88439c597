package roster

import "time"

// recentTimeout is the time for which an entry that is no longer heard is still taken for one that
// may send requests. It may be cut off from this entry only.
const recentTimeout = 2 * time.Minute

// RecentZone holds the entries of an availability zone that were known recently.
type RecentZone struct {
	Name string
	// Entries are their addresses for daemons.
	Entries []string
	// Live is set while any of them is live.
	Live bool
}

// RecentZones returns the availability zones with the entries that were confirmed, or registered
// for the first time, within the last two minutes. Their number is at least the largest number of
// entries that were live at the same time within it. The own zone comes first and includes this
// entry.
func (r *Roster) RecentZones(now time.Time) []RecentZone {
	zones := []RecentZone{{Name: r.self.AvailabilityZone, Entries: []string{r.self.PeerAddress}, Live: true}}
	for _, peer := range r.sorted {
		if now.Sub(peer.confirmedAt) >= recentTimeout {
			continue
		}
		if zones[len(zones)-1].Name != peer.AvailabilityZone {
			zones = append(zones, RecentZone{Name: peer.AvailabilityZone})
		}
		zone := &zones[len(zones)-1]
		zone.Entries = append(zone.Entries, peer.PeerAddress)
		zone.Live = zone.Live || peer.isLive(now)
	}
	return zones
}
