package experiment

import (
	"slices"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/spread"
)

// baselineTreeDepth is the tree depth that the planners of the baselines return.
// A spread.Session derives from the depth how many requests it keeps in progress:
// 24 with this value.
const baselineTreeDepth = 4

// originBaseline is a plan in which every node fetches every chunk from the
// origin.
type originBaseline struct{}

// Sources implements spread.Planner.
func (originBaseline) Sources(string, int) []spread.Source {
	return []spread.Source{{ID: spread.OriginID}}
}

// IsGateway implements spread.Planner.
func (originBaseline) IsGateway(string, int) bool { return true }

// IsBackupGateway implements spread.Planner.
func (originBaseline) IsBackupGateway(string, int) bool { return false }

// TreeDepth implements spread.Planner.
func (originBaseline) TreeDepth(string) int { return baselineTreeDepth }

// Has implements spread.Planner.
func (originBaseline) Has(string) bool { return true }

// treeBaseline is a plan with one binary tree over all nodes, the same for every
// chunk. index is the position of each node in the tree by member ID: 0 is the
// root, which fetches from the origin, and the parent of i is (i-1)/2.
type treeBaseline struct{ index map[string]int }

// Sources implements spread.Planner.
func (t treeBaseline) Sources(self string, _ int) []spread.Source {
	index := t.index[self]
	if index == 0 {
		return []spread.Source{{ID: spread.OriginID}}
	}
	for id, other := range t.index {
		if other == (index-1)/2 {
			return []spread.Source{{ID: id, Address: id}}
		}
	}
	return nil
}

// IsGateway implements spread.Planner.
func (t treeBaseline) IsGateway(self string, _ int) bool { return t.index[self] == 0 }

// IsBackupGateway implements spread.Planner.
func (treeBaseline) IsBackupGateway(string, int) bool { return false }

// TreeDepth implements spread.Planner.
func (treeBaseline) TreeDepth(string) int { return baselineTreeDepth }

// Has implements spread.Planner.
func (treeBaseline) Has(string) bool { return true }

// plannerInstaller returns a function that gives every node of a rollout a
// spread.Session that follows the planner.
func plannerInstaller(planner spread.Planner) func(r *rollout) {
	return func(r *rollout) {
		if tree, ok := planner.(treeBaseline); ok {
			for i, n := range r.nodes {
				tree.index[n.member.ID] = i
			}
		}
		for _, n := range r.nodes {
			n.policy = spread.NewSession(spread.Options{Self: n.member.ID, Chunks: r.scenario.chunks},
				planner, func(int) bool { return false })
		}
	}
}

// swarm is the policy of a node in an unstructured swarm: each node knows which
// chunks some random neighbors have, fetches the rarest chunk first from any of
// them, and knows nothing about regions.
type swarm struct {
	rollout *rollout
	self    *rolloutNode
	// neighbors are the nodes, including the origin, that this node fetches from.
	neighbors []*rolloutNode
	// chunkByRequest is the chunk of each request in progress, by request ID;
	// requested is the set of these chunks.
	chunkByRequest map[int64]int
	requested      map[int]bool
	lastRequestID  int64
	// remaining is the number of chunks that the node does not have yet.
	remaining int
	// retryAfter is the earliest time of the next request for a chunk whose last
	// request failed.
	retryAfter map[int]time.Time
}

const (
	// swarmNeighbors is the number of nodes that are drawn as the neighbors of a
	// node. A node that is drawn for itself has one neighbor less.
	swarmNeighbors = 40
	// swarmMaxRequests limits the requests in progress of a node.
	swarmMaxRequests = 8
	// swarmHaveBytes is the size of the message that tells a neighbor about a
	// new chunk.
	swarmHaveBytes = 40
	// swarmRequestWait is how long a neighbor may delay its answer until it has
	// the chunk.
	swarmRequestWait = time.Second
	// swarmOriginSlots limits the concurrent uploads of the origin, so that the
	// first chunks are complete early and other nodes can pass them on.
	swarmOriginSlots = 16
)

// installSwarm gives every node a swarm policy, whose neighbors are random nodes
// and the origin.
func installSwarm(r *rollout) {
	r.origin.uploadSlots = swarmOriginSlots
	for _, n := range r.nodes {
		s := &swarm{
			rollout: r, self: n, remaining: r.scenario.chunks,
			chunkByRequest: make(map[int64]int), requested: make(map[int]bool), retryAfter: make(map[int]time.Time),
		}
		for _, i := range r.random.Perm(len(r.nodes))[:min(swarmNeighbors, len(r.nodes))] {
			if r.nodes[i] != n {
				s.neighbors = append(s.neighbors, r.nodes[i])
			}
		}
		s.neighbors = append(s.neighbors, r.origin)
		n.policy = s
	}
}

// NextActions implements transferPolicy.
func (s *swarm) NextActions(now time.Time) spread.Actions {
	var actions spread.Actions
	for len(s.chunkByRequest) < swarmMaxRequests {
		chunk, from, ok := s.rarestChunk(now)
		if !ok {
			break
		}
		s.lastRequestID++
		s.chunkByRequest[s.lastRequestID] = chunk
		s.requested[chunk] = true
		actions.Start = append(actions.Start, spread.Request{
			ID: s.lastRequestID, Chunk: chunk, Wait: swarmRequestWait,
			Source: spread.Source{ID: from.member.ID, Address: from.member.ID},
		})
	}
	return actions
}

// rarestChunk returns the missing chunk that the fewest neighbors with a free
// upload slot have, with ties broken at random, and a random one of these
// neighbors. It returns false if no missing chunk can be requested now.
func (s *swarm) rarestChunk(now time.Time) (int, *rolloutNode, bool) {
	best, fewest, ties := -1, 0, 0
	for chunk := range s.rollout.scenario.chunks {
		if s.self.hasChunk[chunk] || s.requested[chunk] || now.Before(s.retryAfter[chunk]) {
			continue
		}
		count := 0
		for _, n := range s.neighbors {
			if n.hasChunk[chunk] && n.hasFreeUploadSlot() {
				count++
			}
		}
		switch {
		case count == 0:
		case best < 0 || count < fewest:
			best, fewest, ties = chunk, count, 1
		case count == fewest:
			ties++
			if s.rollout.random.IntN(ties) == 0 {
				best = chunk
			}
		}
	}
	if best < 0 {
		return 0, nil, false
	}
	holders := slices.DeleteFunc(slices.Clone(s.neighbors), func(n *rolloutNode) bool { return !n.hasChunk[best] || !n.hasFreeUploadSlot() })
	return best, holders[s.rollout.random.IntN(len(holders))], true
}

// hasFreeUploadSlot reports whether a node of a swarm, whose uploadSlots are always
// limited, can start another upload. The swarm policy of a neighbor may read this,
// because the nodes of a swarm tell their neighbors when they have a free slot.
func (n *rolloutNode) hasFreeUploadSlot() bool { return n.activeUploads < n.uploadSlots }

// finishRequest removes an ended request, so that its chunk can be requested
// again.
func (s *swarm) finishRequest(id int64) {
	delete(s.requested, s.chunkByRequest[id])
	delete(s.chunkByRequest, id)
}

// RecordTransferStart implements transferPolicy.
func (s *swarm) RecordTransferStart(int64, time.Time) {}

// RecordProgress implements transferPolicy.
func (s *swarm) RecordProgress(int64, time.Time) {}

// RecordSuccess implements transferPolicy.
func (s *swarm) RecordSuccess(id int64, _ time.Time) {
	s.finishRequest(id)
	s.remaining--
	s.self.controlBytes += swarmHaveBytes * int64(len(s.neighbors))
}

// RecordAbsent implements transferPolicy.
func (s *swarm) RecordAbsent(id int64, _ time.Time) { s.finishRequest(id) }

// RecordFailure implements transferPolicy.
func (s *swarm) RecordFailure(id int64, now time.Time) {
	s.retryAfter[s.chunkByRequest[id]] = now.Add(time.Second)
	s.finishRequest(id)
}

// RecordCorrupt implements transferPolicy.
func (s *swarm) RecordCorrupt(id int64, _ time.Time) { s.finishRequest(id) }

// Remaining implements transferPolicy.
func (s *swarm) Remaining() int { return s.remaining }
