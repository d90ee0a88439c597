// Package spread plans the peer-to-peer distribution of a model version: it selects the
// sources from which an agent, the daemon of a backend server VM, fetches each chunk.
//
// A Plan is a pure function of the view, which lists the members, that is agents, that
// want or hold a version. In each region, one agent is the gateway of a chunk: it imports
// the chunk into the region, from another region or from the origin, the store that
// publishes the weights. The gateway is the root of a tree with a small fan-out, in which
// the other agents of the region receive the chunk. A Plan gives each agent an ordered
// list of sources for each chunk: its parent in the tree, then alternates of the parent,
// and the origin last. The trees differ from chunk to chunk, so that all agents upload
// about the same amount. Agents with the same view compute the same plan and need no
// coordination messages.
//
// A Session executes the plan for one agent as a state machine. It receives events and
// the current time and returns the requests to start. It bounds their number, and retries
// with the next source if one is dead, slow or sends corrupt bytes. A source whose requests
// fail, or that sends too many corrupt chunks, is avoided: it gets no new requests for some
// time. A source responds when it has the chunk, but sends only a few chunks at the same
// time: a response waits for one of the source's upload slots before it sends bytes. A
// Session does no I/O and reads no clock.
package spread

import (
	"time"

	"github.com/fuchsiarouter/fuchsiarouter"
)

// Source is a member, or the origin, from which a chunk can be fetched.
type Source struct {
	// ID is the member's ID, or OriginID.
	ID      string
	Address string
	// Remote is set if the member is in another region.
	Remote bool
	// Probe is set if the source must respond at once, without waiting for the chunk, and
	// is not asked again for the chunk after it has responded that it lacks it.
	Probe bool
	// Fallback is set if the source is used only while all sources without Fallback are
	// avoided, or after minCorruptForFallback corrupt transfers of the chunk. That those
	// sources lack the chunk is not enough.
	Fallback bool
}

// OriginID is the ID of the origin as a source. It is not a valid member ID.
const OriginID = ""

// IsOrigin reports whether the source is the origin.
func (s Source) IsOrigin() bool { return s.ID == OriginID }

// Planner returns the sources of chunks. Plan is the production implementation;
// experiments use baseline implementations. self is the ID of the agent that fetches,
// chunk the index of a chunk.
type Planner interface {
	// Sources returns the sources from which an agent fetches a chunk, best first.
	Sources(self string, chunk int) []Source
	// IsGateway reports whether the agent is the gateway of the chunk, which imports
	// it into its region.
	IsGateway(self string, chunk int) bool
	// IsBackupGateway reports whether the agent replaces the gateway of the chunk if that
	// fails.
	IsBackupGateway(self string, chunk int) bool
	// TreeDepth returns the depth of the distribution trees in the availability zone of self:
	// the maximum number of consecutive transfers of a chunk from the root to an agent.
	TreeDepth(self string) int
	// Has reports whether the agent is a member of the view that can be a source.
	Has(id string) bool
}

// View is the input from which a plan is computed.
type View struct {
	// Version is the digest of the version's manifest.
	Version string
	// StoreRegion is the region of the store of weights, which is the origin.
	StoreRegion string
	// Members are the members that want or hold the version.
	Members []fuchsiarouter.Member
}

// Request is a request for a chunk that a Session wants to be started.
type Request struct {
	// ID identifies the request within its session.
	ID int64
	// Chunk is the index of the chunk.
	Chunk  int
	Source Source
	// Wait is how long the source may delay its response until it has the chunk.
	Wait time.Duration
}

// Actions are the requests that a Session wants to be started and canceled.
type Actions struct {
	Start []Request
	// Cancel holds the IDs of requests that have timed out or whose chunk has arrived by
	// another request. After the process was frozen it holds all requests in progress.
	Cancel []int64
}
