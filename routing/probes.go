package routing

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxProbesPerRound limits the addresses that are to be probed at the same time. The
	// servers of a region that is cut off are detected by their missing heartbeats, so not
	// all of them need to be probed.
	maxProbesPerRound = 16
	// unreachableAfter is the number of failed probes in a row after which a server
	// counts as unreachable. With a lower limit, the requests of a server that is only
	// busy would be aborted.
	unreachableAfter = 3
)

// Probes decides which servers an entry probes, and detects servers that the entry cannot
// reach although their heartbeats arrive. It sends no probes itself, and identifies the
// servers by their addresses.
//
// Requests and heartbeats use different connections, and either path can stall
// independently. A server is probed while a request to it makes no progress, and
// after a failed probe until a probe succeeds. The zero value is ready for use.
type Probes struct {
	byAddress map[string]*probe
}

// probe is the state of the probing of one address.
type probe struct {
	// lastSentAt is the time at which the caller was last told to probe the address. It
	// is zero before the first probe.
	lastSentAt time.Time
	// failures is the number of failed probes in a row.
	failures int
}

// TakeDue returns the addresses that the caller must probe now, the least recently probed
// ones first, and records that they are probed. It forgets the addresses that are neither
// stalled nor have failed their last probe. stalled are the addresses of servers with a
// request in progress that makes no progress.
func (p *Probes) TakeDue(now time.Time, stalled []string) []string {
	if p.byAddress == nil {
		p.byAddress = map[string]*probe{}
	}
	for _, address := range stalled {
		if p.byAddress[address] == nil {
			p.byAddress[address] = &probe{}
		}
	}
	due := make([]string, 0, len(p.byAddress))
	for address, probe := range p.byAddress {
		if probe.failures == 0 && !slices.Contains(stalled, address) {
			delete(p.byAddress, address)
			continue
		}
		due = append(due, address)
	}
	slices.SortFunc(due, func(a, b string) int {
		if order := p.byAddress[a].lastSentAt.Compare(p.byAddress[b].lastSentAt); order != 0 {
			return order
		}
		return strings.Compare(a, b)
	})
	due = due[:min(len(due), maxProbesPerRound)]
	for _, address := range due {
		p.byAddress[address].lastSentAt = now
	}
	return due
}

// RecordResult records whether a probe of the address was answered. It returns true if the
// address is unreachable; the caller must then abort the requests in progress there. It
// returns true for each further failure too, because a request may have been sent while
// the address became unreachable. A result for an address that is not being probed has no
// effect.
func (p *Probes) RecordResult(address string, answered bool) bool {
	probe := p.byAddress[address]
	if probe == nil {
		return false
	}
	if answered {
		probe.failures = 0
		return false
	}
	probe.failures++
	return probe.failures >= unreachableAfter
}

// IsUnreachable reports whether the address is unreachable: so many probes in a row have
// failed that no request may be sent there until one succeeds.
func (p *Probes) IsUnreachable(address string) bool {
	probe := p.byAddress[address]
	return probe != nil && probe.failures >= unreachableAfter
}

// Forget removes the state of the addresses for which known returns false, such as those of
// VMs that were replaced.
func (p *Probes) Forget(known func(address string) bool) {
	for address := range p.byAddress {
		if !known(address) {
			delete(p.byAddress, address)
		}
	}
}
