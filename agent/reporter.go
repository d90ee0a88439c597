package agent

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/fleet"
	"github.com/fuchsiarouter/fuchsiarouter/peer"
	"github.com/fuchsiarouter/fuchsiarouter/revision"
)

const (
	heartbeatInterval = time.Second
	// heartbeatTimeout limits one round of heartbeats, including the fetch of newer
	// configuration. It is below heartbeatInterval, so that a stalled entry does not
	// delay the next round.
	heartbeatTimeout = 900 * time.Millisecond
	// minHeartbeatInterval is the minimum time between two rounds of heartbeats when
	// a change triggers one early. A small version passes through all states of its
	// loading within this time, and so takes one heartbeat instead of one for each
	// state.
	minHeartbeatInterval = 250 * time.Millisecond
	// failedEntryTTL is how long an entry that did not answer gets no heartbeats. It
	// is longer than the other entries take to remove a failed entry from their peer
	// lists.
	failedEntryTTL = 30 * time.Second
	// unansweredEntryTTL is the same for an entry that has never answered: it may start at
	// the same time as this agent, and until it gets heartbeats it learns the agent's load
	// late, from other entries.
	unansweredEntryTTL = 3 * time.Second
	// peerListTTL is how long the peer list of an entry is used after the entry last
	// confirmed it.
	peerListTTL = 10 * time.Second
	// knownEntryTTL is how long an entry is kept after it was last in a peer list.
	// Entries from the settings are kept forever.
	knownEntryTTL = time.Minute
)

// reporter sends the agent's heartbeats to its watchers, the entries that report its
// state to the other entries (see package fleet). It processes the answers: the peer
// list, which holds the members that an entry knows, newer configuration, and the
// notice that the VM is leaving.
type reporter struct {
	log    *zap.Logger
	client *peer.Client
	// configuredEntries holds the control addresses of the entries in the settings.
	configuredEntries []string
	// region and id are those of this agent, and member returns its current state.
	region string
	id     string
	member func() fuchsiarouter.Member
	// onRound is called after each round of heartbeats, and onLeave when an entry
	// says that the VM is leaving.
	onRound func()
	onLeave func()
	// trigger asks run for an early round of heartbeats.
	trigger chan struct{}
	// serials numbers the states that are sent, so that a delayed one does not
	// replace a newer one. Only run uses it.
	serials fleet.SerialCounter

	mu            sync.Mutex
	configuration *revision.State
	// entries holds the entries from the peer lists, by ID.
	entries map[string]knownEntry
	// peerLists holds the peer list of each entry, by the entry's control address.
	peerLists map[string]*peerList
	// lastSent holds, by control address, the state of this agent that each entry
	// has from the last heartbeat that the entry answered. The next heartbeat to the
	// entry is short if only fields that a short heartbeat holds, such as the number
	// of running requests, have changed since (see fleet.NeedsFullHeartbeat).
	lastSent map[string]fuchsiarouter.Member
	// failedAt holds, by control address, when the last heartbeat to an entry failed, and
	// answered the entries that have ever answered one.
	failedAt map[string]time.Time
	answered map[string]bool
}

// knownEntry is an entry from a peer list. listedAt is when a peer list with the entry
// was last confirmed.
type knownEntry struct {
	member   fuchsiarouter.Member
	listedAt time.Time
}

// peerList is the list of members from one entry (see peer.HeartbeatResponse).
type peerList struct {
	// version is the version number that the entry gave to the list. The next heartbeat
	// repeats it, so that the entry answers with the changes since then only.
	version int64
	// members holds the members by ID.
	members map[string]fuchsiarouter.Member
	// shifts holds the expected shifts of the declared peaks in demand.
	shifts []fuchsiarouter.PeakShift
	// confirmedAt is when the entry last answered a heartbeat that asked for the
	// list or its changes.
	confirmedAt time.Time
}

// triggerHeartbeat makes a round of heartbeats go out early, after a change that
// entries should know.
func (r *reporter) triggerHeartbeat() {
	select {
	case r.trigger <- struct{}{}:
	default:
	}
}

// run sends a round of heartbeats every heartbeatInterval, or earlier when triggered,
// until the context ends.
func (r *reporter) run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		r.sendHeartbeats(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(minHeartbeatInterval):
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.trigger:
		}
	}
}

// sendHeartbeats sends one heartbeat to every watcher, waits for the answers and then
// calls onRound.
func (r *reporter) sendHeartbeats(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	member := r.serials.Next(r.member())
	group := errgroup.Group{}
	for position, address := range r.chooseWatchers() {
		// The peer list of one watcher is enough.
		group.Go(func() error {
			r.sendHeartbeat(ctx, address, member, position == 0)
			return nil
		})
	}
	_ = group.Wait()
	r.onRound()
}

// sendHeartbeat sends a heartbeat to the entry at the address, processes the answer,
// and fetches the configuration if the entry has a newer one. A heartbeat is repeated
// with the full member if the entry asks for it.
func (r *reporter) sendHeartbeat(ctx context.Context, address string, member fuchsiarouter.Member, wantsPeerList bool) {
	response, err := r.client.Heartbeat(ctx, address, r.buildRequest(address, member, wantsPeerList))
	if err == nil && response.NeedsFullMember {
		r.forgetLastSent(address)
		response, err = r.client.Heartbeat(ctx, address, r.buildRequest(address, member, wantsPeerList))
	}
	if err != nil {
		r.log.Debug("heartbeat failed", zap.String("peer", address), zap.Error(err))
		r.forgetLastSent(address)
		r.markFailed(address)
		return
	}
	r.handleResponse(address, member, wantsPeerList, response)
	if response.Leaving {
		r.onLeave()
	}
	if known := r.revisions(); revision.IsBehind(known, response.Revisions) {
		r.fetchConfiguration(ctx, address, known)
	}
}

// buildRequest returns the heartbeat for the entry at the address, in short form if
// possible. wantsPeerList is set if the answer should contain the peer list.
func (r *reporter) buildRequest(address string, member fuchsiarouter.Member, wantsPeerList bool) peer.HeartbeatRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := peer.HeartbeatRequest{Member: member}
	if sent, ok := r.lastSent[address]; ok && !fleet.NeedsFullHeartbeat(sent, member) {
		heartbeat := fleet.NewShortHeartbeat(member)
		request = peer.HeartbeatRequest{ShortHeartbeat: &heartbeat}
	}
	list := r.peerLists[address]
	switch {
	case !wantsPeerList:
		request.KnownPeerList = peer.NoPeerList
	case list != nil:
		request.KnownPeerList = list.version
	}
	return request
}

// forgetLastSent makes the next heartbeat to the entry a full one.
func (r *reporter) forgetLastSent(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.lastSent, address)
}

// markFailed makes the agent send no heartbeats to the entry for failedEntryTTL or, if it
// has never answered, unansweredEntryTTL. They go to another entry instead, early enough
// that this agent does not become suspect.
func (r *reporter) markFailed(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt[address] = time.Now()
}

// handleResponse records the answer of the entry at the address to a heartbeat with
// this member, and updates the peer list if the heartbeat asked for it.
func (r *reporter) handleResponse(address string, member fuchsiarouter.Member, wantsPeerList bool, response peer.HeartbeatResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSent[address] = member
	r.answered[address] = true
	delete(r.failedAt, address)
	if !wantsPeerList {
		return
	}
	list := r.peerLists[address]
	if list == nil || response.IsFullPeerList {
		list = &peerList{members: map[string]fuchsiarouter.Member{}}
		r.peerLists[address] = list
	}
	for _, id := range response.RemovedPeers {
		delete(list.members, id)
	}
	for _, member := range response.Peers {
		list.members[member.ID] = member
	}
	if response.PeerListVersion != 0 {
		list.version = response.PeerListVersion
	}
	if response.Shifts != nil {
		list.shifts = response.Shifts
	}
	list.confirmedAt = time.Now()
	for _, member := range list.members {
		if member.Kind == fuchsiarouter.KindEntry && member.ControlAddress != "" {
			r.entries[member.ID] = knownEntry{member, list.confirmedAt}
		}
	}
}

// fetchConfiguration fetches the sections of the configuration whose revisions differ
// from the known ones from the entry at the address, and merges them into this
// agent's configuration.
func (r *reporter) fetchConfiguration(ctx context.Context, address string, known map[string]int64) {
	snapshot, err := r.client.Document(ctx, address, known)
	if err != nil {
		r.log.Warn("configuration not fetched", zap.String("peer", address), zap.Error(err))
		return
	}
	r.mu.Lock()
	merged, err := r.configuration.Merge(snapshot)
	r.mu.Unlock()
	switch {
	case err != nil:
		r.log.Warn("configuration not accepted", zap.String("peer", address), zap.Error(err))
	case merged:
		r.log.Info("configuration in force", zap.Any("revisions", r.revisions()), zap.String("peer", address))
		r.triggerHeartbeat()
	}
}

// revisions returns the revision of each section of this agent's configuration.
func (r *reporter) revisions() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.configuration.Revisions()
}

// chooseWatchers chooses the watchers among the entries that answer and are not
// leaving, and returns their control addresses, the preferred one first. It forgets
// entries that are listed no more, and closes the connections to all entries but the
// watchers.
func (r *reporter) chooseWatchers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for address, at := range r.failedAt {
		ttl := failedEntryTTL
		if !r.answered[address] {
			ttl = unansweredEntryTTL
		}
		if now.Sub(at) > ttl {
			delete(r.failedAt, address)
		}
	}
	entries := []fuchsiarouter.Member{}
	for id, entry := range r.entries {
		_, isFailed := r.failedAt[entry.member.ControlAddress]
		switch {
		case now.Sub(entry.listedAt) > knownEntryTTL:
			delete(r.entries, id)
		case !isFailed && entry.member.State != fuchsiarouter.StateLeaving:
			entries = append(entries, entry.member)
		}
	}
	count := fleet.AgentWatchers(len(r.entries))
	var addresses []string
	chosen := map[string]bool{}
	add := func(address string) {
		if !chosen[address] {
			addresses = append(addresses, address)
			chosen[address] = true
		}
	}
	for _, entry := range fleet.Watchers(r.id, r.region, entries, count) {
		add(entry.ControlAddress)
	}
	for _, address := range r.configuredEntries {
		if _, isFailed := r.failedAt[address]; !isFailed && len(addresses) < count {
			add(address)
		}
	}
	if len(addresses) == 0 {
		// No entry answers, so all of them are tried again.
		clear(r.failedAt)
		for _, address := range r.configuredEntries {
			add(address)
		}
		for _, entry := range r.entries {
			add(entry.member.ControlAddress)
		}
	}
	for address := range r.lastSent {
		if !chosen[address] {
			// The entry at this address is no longer a watcher and reports this
			// agent as silent. If it becomes one again, it needs a full heartbeat.
			delete(r.lastSent, address)
		}
	}
	r.client.CloseExcept(chosen)
	return addresses
}

// peakShifts returns the forecast shifts of the declared peaks in demand that entries
// confirmed within peerListTTL. Where entries differ, the longer shift is used, so
// that no agent loads a version later than an entry expects.
func (r *reporter) peakShifts() []fuchsiarouter.PeakShift {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	longest := map[fuchsiarouter.PeakShift]fuchsiarouter.PeakShift{}
	for _, list := range r.peerLists {
		if now.Sub(list.confirmedAt) > peerListTTL {
			continue
		}
		for _, shift := range list.shifts {
			peak := fuchsiarouter.PeakShift{Model: shift.Model, From: shift.From, Until: shift.Until}
			shift.EarlierSeconds = max(shift.EarlierSeconds, longest[peak].EarlierSeconds)
			shift.LaterSeconds = max(shift.LaterSeconds, longest[peak].LaterSeconds)
			longest[peak] = shift
		}
	}
	return slices.Collect(maps.Values(longest))
}

// otherAgents returns the agents in the peer lists that entries confirmed within
// peerListTTL, except this one. It drops older lists.
func (r *reporter) otherAgents() []fuchsiarouter.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	newest := map[string]fuchsiarouter.Member{}
	for address, list := range r.peerLists {
		if now.Sub(list.confirmedAt) > peerListTTL {
			delete(r.peerLists, address)
			continue
		}
		for _, member := range list.members {
			known, ok := newest[member.ID]
			if member.Kind == fuchsiarouter.KindAgent && (!ok || known.Incarnation < member.Incarnation) {
				newest[member.ID] = member
			}
		}
	}
	delete(newest, r.id)
	return slices.Collect(maps.Values(newest))
}
