package entry

import (
	"context"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/fleet"
	"github.com/fuchsiarouter/fuchsiarouter/peer"
	"github.com/fuchsiarouter/fuchsiarouter/quarantine"
	"github.com/fuchsiarouter/fuchsiarouter/revision"
)

const (
	heartbeatInterval = time.Second
	// heartbeatTimeout bounds the exchange with all neighbours. It is below the interval, so
	// that one slow neighbour doesn't delay the next heartbeats.
	heartbeatTimeout = 900 * time.Millisecond
	// maxStrikesPerMessage bounds the number of strikes in one message.
	maxStrikesPerMessage = 64
	// peerListInterval is the minimum time between two updates of the peer list for
	// agents.
	peerListInterval = 200 * time.Millisecond
)

// gossip exchanges heartbeats and changes of the view with the other entries, and
// responds to the heartbeats of agents. The entries that this one sends messages to are
// its neighbours: all others if there are few, otherwise some of them, see
// fleet.Neighbours. A change is an update about one member, see fleet.Change.
type gossip struct {
	log    *zap.Logger
	client *peer.Client
	// seeds are the control addresses of entries from the settings.
	seeds []string
	// controlAddress is the control address of this entry.
	controlAddress string
	// ownMember returns the description of this entry.
	ownMember  func() fuchsiarouter.Member
	members    *members
	follower   *configFollower
	dispatcher *dispatcher
	// requestLeave is called when an operator or the VM list marks this entry's VM as
	// leaving.
	requestLeave func()
	// peakShifts returns the forecast shifts of the daily peaks. Heartbeat responses pass
	// them to the agents, which load and unload the additional replicas accordingly.
	peakShifts func() []fuchsiarouter.PeakShift

	mu sync.Mutex
	// leavingVMs holds, by the id of the VM, the incarnation of the daemon that operators have
	// marked as leaving at this entry.
	leavingVMs map[string]int64
	serials    fleet.SerialCounter
	// peers holds the state of the exchange with each neighbour, by its control address.
	peers map[string]*peerState
	// peerList is the list of members that agents receive.
	peerList *peerList
	// peerListUpdatedAt is when the peer list was last updated.
	peerListUpdatedAt time.Time
}

// peerState tracks what this entry and a neighbour have received from each other. Its
// lock is held while a message is sent and the response awaited.
type peerState struct {
	mu sync.Mutex
	// peerID is the id of the neighbour. It is empty until the neighbour has responded.
	peerID string
	// sentMember is the description of this entry that the neighbour last received. The
	// next heartbeat is short if only fields that a short heartbeat holds, such as the load
	// and the demand, have changed since (see fleet.NeedsFullHeartbeat).
	sentMember fuchsiarouter.Member
	// sentPosition is the position in the change log of this entry up to which the
	// neighbour has received the changes. receivedPosition is the position in the change
	// log of the neighbour up to which this entry has received the changes.
	sentPosition, receivedPosition int64
	// respondedAt is the time of the last response of the neighbour.
	respondedAt time.Time
}

// reset resets the state, so that the next messages carry the whole description of this
// entry and all changes.
func (s *peerState) reset() {
	s.sentMember, s.sentPosition, s.receivedPosition = fuchsiarouter.Member{}, 0, 0
}

// run sends a heartbeat, or only changes, to every neighbour at each heartbeatInterval until
// the context ends.
func (g *gossip) run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		g.sendHeartbeats(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendHeartbeats sends a heartbeat, or only changes if the neighbour gets no heartbeats of
// this entry, to all neighbours in parallel and waits for their responses. A failed exchange
// is repeated after heartbeatInterval.
func (g *gossip) sendHeartbeats(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	group := errgroup.Group{}
	for address, neighbour := range g.updateNeighbours() {
		group.Go(func() error {
			if err := g.syncPeer(ctx, address, neighbour); err != nil {
				g.log.Debug("heartbeat failed", zap.String("peer", address), zap.Error(err))
			}
			return nil
		})
	}
	_ = group.Wait()
}

// updateNeighbours determines the neighbours from the view, and returns them by control
// address. They include the seeds that are not in the view yet. updateNeighbours drops the
// peer states of all other entries and closes the connections to them. If the entries have
// begun or ceased to form a full mesh, it drops the peer states of the neighbours as well,
// so that all changes are sent again.
func (g *gossip) updateNeighbours() map[string]fleet.Neighbour {
	neighbours := map[string]fleet.Neighbour{}
	own, meshChanged := g.ownMember(), false
	g.members.withView(func(view *fleet.Relay) {
		entries, known := []fuchsiarouter.Member{own}, map[string]bool{g.controlAddress: true}
		for _, member := range view.Members() {
			if member.Kind == fuchsiarouter.KindEntry && member.ControlAddress != "" && member.Status != fleet.StatusDead {
				entries = append(entries, member.Member)
				known[member.ControlAddress] = true
			}
		}
		for _, neighbour := range fleet.Neighbours(own, entries) {
			neighbours[neighbour.ControlAddress] = neighbour
		}
		for _, seed := range g.seeds {
			if !known[seed] {
				neighbours[seed] = fleet.Neighbour{GetsHeartbeats: true}
			}
		}
		meshChanged = view.SetMesh(len(entries) <= fleet.MaxMeshEntries)
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	if meshChanged {
		g.peers = map[string]*peerState{}
	}
	keep := map[string]bool{}
	for address := range neighbours {
		keep[address] = true
		if g.peers[address] == nil {
			g.peers[address] = &peerState{}
		}
	}
	for address := range g.peers {
		if !keep[address] {
			delete(g.peers, address)
		}
	}
	g.client.CloseExcept(keep)
	return neighbours
}

// syncPeer sends the messages for one neighbour and processes its responses.
func (g *gossip) syncPeer(ctx context.Context, address string, neighbour fleet.Neighbour) error {
	g.mu.Lock()
	state := g.peers[address]
	g.mu.Unlock()
	if state == nil {
		return nil
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	if time.Since(state.respondedAt) > fleet.SuspectAfter {
		// This entry or the neighbour may have declared the other suspect and dropped what
		// it received from there.
		state.reset()
	}
	if !neighbour.GetsHeartbeats {
		return g.exchangeChanges(ctx, address, neighbour.ID, state)
	}
	response, err := g.sendHeartbeat(ctx, address, neighbour, state)
	if err == nil && response.NeedsFullMember {
		state.reset()
		response, err = g.sendHeartbeat(ctx, address, neighbour, state)
	}
	if err != nil {
		return err
	}
	g.mergeStrikes(response.Strikes)
	if response.Leaving {
		g.requestLeave()
	}
	g.fetchNewerConfig(ctx, address, response.Revisions)
	return nil
}

// sendHeartbeat sends a heartbeat, in the short form if that suffices. If ExchangesChanges is
// set for the neighbour, the heartbeat also carries changes of the view. It is set for every
// neighbour if the entries form a full mesh, and otherwise only for this entry's parent in
// the tree of entries.
func (g *gossip) sendHeartbeat(ctx context.Context, address string, neighbour fleet.Neighbour, state *peerState) (peer.HeartbeatResponse, error) {
	g.mu.Lock()
	member := g.serials.Next(g.ownMember())
	g.mu.Unlock()
	request := peer.HeartbeatRequest{Member: member}
	if !fleet.NeedsFullHeartbeat(state.sentMember, member) {
		short := fleet.NewShortHeartbeat(member)
		request = peer.HeartbeatRequest{ShortHeartbeat: &short}
	}
	position := state.sentPosition
	if neighbour.ExchangesChanges {
		request.Changes, position = g.changesFor(neighbour.ID, state)
	}
	response, err := g.client.Heartbeat(ctx, address, request)
	if err != nil || response.NeedsFullMember {
		return response, err
	}
	state.sentMember, state.sentPosition, state.respondedAt = member, position, time.Now()
	if response.Incarnation != 0 && len(response.Entries) > 0 {
		state.peerID = response.Entries[0].ID
	}
	g.addUnknownEntries(response.Entries)
	if response.Changes != nil {
		g.applyChangesResponse(state, *response.Changes)
	}
	return response, nil
}

// addUnknownEntries adds those entries of a heartbeat response to the view that are not in
// it yet. It doesn't change the others: the response doesn't say how old the last heartbeat
// of an entry is, so if being listed counted as a heartbeat, a dead entry would stay live.
func (g *gossip) addUnknownEntries(entries []fuchsiarouter.Member) {
	own := g.ownMember().ID
	g.members.withView(func(view *fleet.Relay) {
		for _, entry := range entries {
			if _, known := view.Member(entry.ID); !known && entry.ID != own {
				view.RecordIndirect(time.Now(), fleet.IndirectReport{Member: entry, AgeMilliseconds: fleet.SuspectAfter.Milliseconds()})
			}
		}
	})
}

// exchangeChanges exchanges changes of the view with this entry's parent in the tree of
// entries, without a heartbeat. id is the id of the parent.
func (g *gossip) exchangeChanges(ctx context.Context, address, id string, state *peerState) error {
	request, position := g.changesFor(id, state)
	request.ID, request.Strikes = g.ownMember().ID, g.recentStrikes()
	response, err := g.client.Changes(ctx, address, *request)
	if err != nil {
		return err
	}
	state.peerID, state.sentPosition, state.respondedAt = id, position, time.Now()
	g.applyChangesResponse(state, response)
	return nil
}

// changesFor returns a request with the changes that a neighbour lacks, and the position
// after them in the change log of this entry.
func (g *gossip) changesFor(id string, state *peerState) (*peer.ChangesRequest, int64) {
	request, position := &peer.ChangesRequest{Since: state.receivedPosition, IsSnapshot: state.sentPosition == 0}, int64(0)
	g.members.withView(func(view *fleet.Relay) {
		request.Changes, position = view.ChangesSince(id, state.sentPosition, math.MaxInt)
	})
	return request, position
}

// applyChangesResponse applies what a neighbour returned for the changes of this entry.
func (g *gossip) applyChangesResponse(state *peerState, response peer.ChangesResponse) {
	g.applyChanges(state.peerID, response.Changes, response.IsSnapshot)
	g.mergeStrikes(response.Strikes)
	if response.Next != 0 {
		state.receivedPosition = response.Next
	}
}

// applyChanges applies the changes that the neighbour with the id sent. If isSnapshot is
// set, they are all that the neighbour has.
func (g *gossip) applyChanges(id string, changes []fleet.Change, isSnapshot bool) {
	g.members.withView(func(view *fleet.Relay) {
		if isSnapshot {
			view.ReceiveSnapshot(time.Now(), id, changes)
		} else {
			view.Receive(time.Now(), id, changes)
		}
	})
}

// Changes implements peer.ChangeExchanger. It applies the changes and strikes that another
// entry sent, and returns those that the other entry lacks.
func (g *gossip) Changes(_ context.Context, request peer.ChangesRequest) (peer.ChangesResponse, error) {
	g.mergeStrikes(request.Strikes)
	response := g.respondToChanges(request.ID, request)
	response.Strikes = g.recentStrikes()
	return *response, nil
}

// respondToChanges applies the changes of the view that the entry with the id sent, and returns
// those that this sender lacks.
func (g *gossip) respondToChanges(id string, request peer.ChangesRequest) *peer.ChangesResponse {
	g.applyChanges(id, request.Changes, request.IsSnapshot)
	response := &peer.ChangesResponse{IsSnapshot: request.Since == 0}
	g.members.withView(func(view *fleet.Relay) {
		response.Changes, response.Next = view.ChangesSince(id, request.Since, math.MaxInt)
	})
	if response.Next == request.Since {
		response.Next = 0
	}
	return response
}

// recentStrikes returns the newest crash records, to be sent to another entry.
func (g *gossip) recentStrikes() []fuchsiarouter.Strike {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	return g.dispatcher.quarantineList.Strikes(time.Now(), maxStrikesPerMessage)
}

// fetchNewerConfig fetches the configuration from a peer if the peer has newer revisions.
func (g *gossip) fetchNewerConfig(ctx context.Context, address string, peerRevisions map[string]int64) {
	own := g.follower.revisions()
	if !revision.IsBehind(own, peerRevisions) {
		return
	}
	snapshot, err := g.client.Document(ctx, address, own)
	if err == nil {
		err = g.follower.merge(snapshot)
	}
	if err != nil {
		g.log.Warn("could not fetch the configuration from a peer", zap.String("peer", address), zap.Error(err))
	}
}

// mergeStrikes adds the crash records of another daemon to those of this entry.
func (g *gossip) mergeStrikes(strikes []fuchsiarouter.Strike) {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	g.dispatcher.quarantineList.Merge(time.Now(), strikes)
}

// Heartbeat implements peer.Handler. It records a heartbeat of an agent or an entry in the
// view, and the strikes in it in the quarantine list. If the view cannot apply a short
// heartbeat, the response only asks for a full one. Otherwise it says whether the sender's
// VM is leaving, and carries this entry's revisions of the configuration if the sender is
// behind. The response to an agent also carries the changes of the peer list if the agent
// asks for them. The response to an entry carries the strikes, the changes of the view if
// the heartbeat carried some, and the known entries if the heartbeat was not short.
func (g *gossip) Heartbeat(_ context.Context, request peer.HeartbeatRequest) (peer.HeartbeatResponse, error) {
	var sender fleet.Member
	known := true
	g.members.withView(func(view *fleet.Relay) {
		// The time is read under the lock, so that the view never holds a later time.
		now, id := time.Now(), request.Member.ID
		if request.ShortHeartbeat != nil {
			known, id = view.RecordShortHeartbeat(now, *request.ShortHeartbeat), request.ShortHeartbeat.ID
		} else {
			view.RecordHeartbeat(now, request.Member)
		}
		sender, _ = view.Member(id)
	})
	if !known {
		return peer.HeartbeatResponse{NeedsFullMember: true}, nil
	}
	response := peer.HeartbeatResponse{Leaving: sender.MarkedLeaving, Revisions: g.follower.revisions()}
	if !revision.IsBehind(sender.Revisions, response.Revisions) {
		response.Revisions = nil
	}
	g.mu.Lock()
	leavingIncarnation, isLeaving := g.leavingVMs[sender.ID]
	response.Leaving = response.Leaving || isLeaving && sender.Incarnation <= leavingIncarnation
	g.mu.Unlock()
	g.mergeStrikes(request.Member.Strikes)
	if sender.Kind == fuchsiarouter.KindAgent {
		if request.KnownPeerList != peer.NoPeerList {
			g.addPeerList(&response, request.KnownPeerList, sender.ID)
		}
		return response, nil
	}
	response.Strikes = g.recentStrikes()
	if request.ShortHeartbeat == nil {
		g.addEntries(&response)
	}
	if request.Changes != nil {
		response.Changes = g.respondToChanges(sender.ID, *request.Changes)
	}
	return response, nil
}

// addPeerList adds the changes of the peer list since the known version to the response to
// the heartbeat of the agent with the id.
func (g *gossip) addPeerList(response *peer.HeartbeatResponse, knownVersion int64, agentID string) {
	own := g.ownMember()
	var members []fleet.Member
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.peerListUpdatedAt) > peerListInterval {
		g.members.withView(func(view *fleet.Relay) { members = view.Members() })
		g.peerList.update(members, own)
		g.peerList.setShifts(g.peakShifts())
		g.peerListUpdatedAt = time.Now()
	}
	g.peerList.fill(response, knownVersion, agentID)
}

// addEntries adds the entries that this one knows to the response to the heartbeat of
// another entry. The first one added is this entry itself.
func (g *gossip) addEntries(response *peer.HeartbeatResponse) {
	own := g.ownMember()
	response.Incarnation, response.Entries = own.Incarnation, []fuchsiarouter.Member{withoutVolatileFields(own)}
	g.members.withView(func(view *fleet.Relay) {
		for _, member := range view.Members() {
			if member.Kind == fuchsiarouter.KindEntry && member.Status != fleet.StatusDead {
				response.Entries = append(response.Entries, withoutVolatileFields(member.Member))
			}
		}
	})
}

// withoutVolatileFields returns the fields that other daemons need to reach a member and
// to know which versions it holds, without those that change every second.
func withoutVolatileFields(member fuchsiarouter.Member) fuchsiarouter.Member {
	member.Load = fuchsiarouter.Load{Slots: member.Load.Slots}
	member.Revisions, member.Strikes, member.WorkspaceDemands, member.SlotDemand = nil, nil, nil, nil
	versions := make([]fuchsiarouter.Version, 0, len(member.Versions))
	for _, version := range member.Versions {
		version.VerifiedChunks, version.TotalChunks, version.Reason = 0, 0, ""
		versions = append(versions, version)
	}
	slices.SortFunc(versions, func(a, b fuchsiarouter.Version) int { return strings.Compare(a.Digest, b.Digest) })
	member.Versions = versions
	return member
}

// Document implements peer.Handler. It returns the accepted configuration records that the
// sender lacks.
func (g *gossip) Document(_ context.Context, request peer.DocumentRequest) (revision.Snapshot, error) {
	return g.follower.delta(request.Known), nil
}

// Drain implements peer.Handler. It marks a VM as leaving; the daemon on the VM learns it
// from the response to its next heartbeat.
func (g *gossip) Drain(_ context.Context, request peer.DrainRequest) (peer.DrainResponse, error) {
	own := g.ownMember()
	known := request.ID == own.ID && (request.Incarnation == 0 || request.Incarnation == own.Incarnation)
	if known {
		g.requestLeave()
	}
	g.members.withView(func(view *fleet.Relay) {
		member, ok := view.Member(request.ID)
		if !ok || request.Incarnation != 0 && request.Incarnation != member.Incarnation {
			return
		}
		request.Incarnation = member.Incarnation
		known = view.MarkLeaving(request.ID) || known
	})
	g.mu.Lock()
	g.leavingVMs[request.ID] = max(g.leavingVMs[request.ID], request.Incarnation)
	g.mu.Unlock()
	return peer.DrainResponse{Known: known}, nil
}

// Status implements peer.Handler. It returns the view of the fleet and the progress of each
// rollout for operators.
func (g *gossip) Status(context.Context, peer.StatusRequest) (peer.StatusResponse, error) {
	own := g.ownMember()
	response := peer.StatusResponse{ID: own.ID, Revisions: g.follower.revisions(), Shifts: g.peakShifts()}
	g.members.withView(func(view *fleet.Relay) {
		response.Members = append(view.Members(), fleet.Member{Member: own, Status: fleet.StatusLive, HeardAt: time.Now()})
		response.EvictionHeld = view.IsMostlySilent()
	})
	g.follower.mu.Lock()
	models := g.follower.state.Document().Models.Models
	g.follower.mu.Unlock()
	for _, model := range models {
		for _, version := range model.Versions {
			rollout := peer.Rollout{Model: model.Name, Version: version.Name, Digest: version.Digest}
			if version.Name == model.Live {
				rollout.Replicas = model.Replicas
			}
			countStates(&rollout, response.Members)
			response.Rollouts = append(response.Rollouts, rollout)
			for _, adapter := range model.Adapters {
				if adapter.Version != version.Name {
					continue
				}
				adapterRollout := peer.Rollout{
					Model: model.Name + adapterSeparator + adapter.Name, Version: version.Name,
					Digest: fuchsiarouter.JoinIdentity(version.Digest, adapter.Digest), Replicas: rollout.Replicas,
				}
				countStates(&adapterRollout, response.Members)
				response.Rollouts = append(response.Rollouts, adapterRollout)
			}
		}
	}
	return response, nil
}

// countStates adds the members that are not dead to the counts of the rollout, by the state
// that its version has at each of them.
func countStates(rollout *peer.Rollout, members []fleet.Member) {
	for _, member := range members {
		for _, version := range member.Versions {
			if member.Status == fleet.StatusDead || version.Digest != rollout.Digest {
				continue
			}
			switch version.State {
			case fuchsiarouter.VersionFetching:
				rollout.Fetching++
			case fuchsiarouter.VersionVerified:
				rollout.Verified++
			case fuchsiarouter.VersionReady:
				rollout.Ready++
			case fuchsiarouter.VersionFailed:
				rollout.Failed++
			}
		}
	}
}

// newQuarantineList returns an empty list for the requests that crash servers.
func newQuarantineList() *quarantine.List { return quarantine.New(quarantine.Settings{}) }
