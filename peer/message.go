// Package peer carries control messages between the daemons of the project, as
// JSON-RPC 2.0 over TCP. An entry is a daemon that accepts the requests of callers,
// and an agent is the daemon on a backend server VM. Both call entries, and so does
// the operator's tool.
//
// A Server answers the methods of an entry through a Handler. A Client keeps one
// connection per address and dials again after a failure. Messages are limited in
// size, and reads and writes in time, so that a stalled or faulty peer costs no
// more than its connection.
//
// The heartbeats and membership changes in the messages are those of package fleet.
// The members of a fleet, its tree and its mesh are explained there.
package peer

import (
	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/fleet"
)

// Names of the JSON-RPC methods. The methods of Handler and ChangeExchanger say
// what they do.
const (
	methodHeartbeat = "heartbeat"
	methodDocument  = "document"
	methodStatus    = "status"
	methodDrain     = "drain"
	methodChanges   = "changes"
)

// HeartbeatRequest is sent about once a second by an agent or an entry to an entry.
type HeartbeatRequest struct {
	// Member is the sender's description of itself. It includes the revisions of
	// the sender's configuration and, from an agent, the crashes that it knows of.
	Member fuchsiarouter.Member `json:"member,omitzero"`
	// ShortHeartbeat replaces Member when only what it holds, such as the load, has
	// changed since the last heartbeat that this entry answered (see
	// fleet.NeedsFullHeartbeat).
	ShortHeartbeat *fleet.ShortHeartbeat `json:"beat,omitempty"`
	// KnownPeerList is the version of the peer list that an agent has from this
	// entry: the HeartbeatResponse.PeerListVersion of an earlier answer, 0 if the
	// agent has none, or NoPeerList.
	KnownPeerList int64 `json:"known,omitempty"`
	// Changes is set when the sender exchanges membership changes with this entry
	// in its heartbeats, as the entries of a mesh do.
	Changes *ChangesRequest `json:"changes,omitempty"`
}

// NoPeerList is the KnownPeerList of an agent that wants no peer list from this
// entry, because it gets the list from another entry.
const NoPeerList = -1

// HeartbeatResponse is the answer of an entry to a heartbeat.
type HeartbeatResponse struct {
	// Incarnation is that of the answering entry (see package fleet). It is sent to
	// entries, and omitted in the answer to a short heartbeat.
	Incarnation int64 `json:"incarnation,omitempty"`
	// NeedsFullMember asks the sender of a short heartbeat to repeat the heartbeat
	// with its Member, which the answering entry does not know. The other fields are
	// then empty.
	NeedsFullMember bool `json:"unknown,omitempty"`
	// Entries is sent to entries. It lists the entries that the answering one does
	// not consider dead, itself first. It is omitted in the answer to a short
	// heartbeat.
	Entries []fuchsiarouter.Member `json:"entries,omitempty"`
	// Peers is sent to agents. The peer list of an entry holds the entry itself and the
	// members that it does not consider dead, without fields that change every second.
	// Peers holds those, other than the agent that is answered, that changed since the
	// version KnownPeerList, and RemovedPeers the IDs of those that are no longer in the
	// list. PeerListVersion is the version of the list after these changes; it is omitted
	// when nothing changed. If IsFullPeerList is set, Peers holds the whole list without
	// that agent.
	Peers           []fuchsiarouter.Member `json:"peers,omitempty"`
	RemovedPeers    []string               `json:"gone,omitempty"`
	PeerListVersion int64                  `json:"known,omitempty"`
	IsFullPeerList  bool                   `json:"whole,omitempty"`
	// Shifts is sent to agents. It lists the peaks in demand that are expected to
	// begin earlier or end later than the configuration declares. It is nil if that
	// has not changed since the version KnownPeerList.
	Shifts []fuchsiarouter.PeakShift `json:"shifts,omitzero"`
	// Changes is set when Changes of the request is. It carries the membership changes
	// of the answering entry that the sender lacks.
	Changes *ChangesResponse `json:"changes,omitempty"`
	// Revisions holds the answering entry's revision of each section of the
	// configuration document. It may be omitted when the sender is not behind it.
	Revisions map[string]int64 `json:"revisions,omitempty"`
	// Leaving tells the sender that its VM is about to be stopped, so that it must
	// end its work.
	Leaving bool `json:"leaving,omitempty"`
	// Strikes is sent to entries. It holds recent crashes of backend servers that
	// the answering entry knows of (see package quarantine).
	Strikes []fuchsiarouter.Strike `json:"strikes,omitempty"`
}

// DocumentRequest asks for the accepted records of the configuration document.
// Known holds the sender's revision of each section; sections that still have this
// revision are left out of the response.
type DocumentRequest struct {
	Known map[string]int64 `json:"known,omitempty"`
}

// ChangesRequest is sent once a second by an entry to its parent in the tree of
// entries, or to all other entries of a mesh. It is part of the heartbeat if the
// sender also sends its heartbeats to the receiver. It carries the changes that the
// receiver lacks, and asks for those that the sender lacks.
type ChangesRequest struct {
	// ID is the ID of the sender. It is omitted in a heartbeat, which names the
	// sender itself.
	ID string `json:"id,omitempty"`
	// Since is the position in the receiver's change log up to which the sender
	// has the changes; 0 asks for all changes.
	Since int64 `json:"since"`
	// Changes holds the changes of the sender that the receiver lacks.
	Changes []fleet.Change `json:"changes,omitempty"`
	// IsSnapshot means that Changes holds all changes of the sender.
	IsSnapshot bool `json:"whole,omitempty"`
	// Strikes holds recent crashes of backend servers that the sender knows of.
	// They are passed along the tree, since not every entry receives the heartbeats
	// of every other. They are omitted in a heartbeat (see
	// HeartbeatResponse.Strikes).
	Strikes []fuchsiarouter.Strike `json:"strikes,omitempty"`
}

// ChangesResponse is the answer to a ChangesRequest. It carries the changes of the
// answering entry that the sender of the request lacks.
type ChangesResponse struct {
	// Next is the Since of the next request. It is omitted when it equals Since of
	// this request.
	Next    int64          `json:"next,omitempty"`
	Changes []fleet.Change `json:"changes,omitempty"`
	// IsSnapshot means that Changes holds all changes of the answering entry.
	IsSnapshot bool `json:"whole,omitempty"`
	// Strikes is like that of ChangesRequest.
	Strikes []fuchsiarouter.Strike `json:"strikes,omitempty"`
}

// StatusRequest asks for the status of an entry.
type StatusRequest struct{}

// StatusResponse is the status of an entry for operators.
type StatusResponse struct {
	// ID is the ID of the entry.
	ID string `json:"id"`
	// Members holds the members in the view of the entry, also dead ones, and the
	// entry itself.
	Members []fleet.Member `json:"members"`
	// Rollouts holds one element for each model version and adapter in the
	// configuration.
	Rollouts []Rollout `json:"rollouts,omitempty"`
	// Ranks holds the request counts of each rank. No entry sets it.
	Ranks []RankStatus `json:"ranks,omitempty"`
	// Revisions holds the entry's revision of each section of the configuration
	// document.
	Revisions map[string]int64 `json:"revisions"`
	// Shifts lists the peaks in demand that are expected to begin earlier or end
	// later than the configuration declares.
	Shifts []fuchsiarouter.PeakShift `json:"shifts,omitempty"`
	// EvictionHeld means that more than half of all members are silent at the
	// entry. For a limited time it then does not declare silent members dead that
	// the platform's VM list still has (see package fleet).
	EvictionHeld bool `json:"held,omitempty"`
}

// Rollout is the progress of loading a model version, or an adapter on one, on the
// backend servers. Version is the name of the version, and Digest its identity as
// returned by fuchsiarouter.JoinIdentity.
type Rollout struct {
	// Model is the name of the model. For an adapter, a colon and the adapter's name
	// follow.
	Model   string `json:"model"`
	Version string `json:"version"`
	Digest  string `json:"digest"`
	// Replicas is the number of replicas that the configuration asks for, or 0 if
	// the version is not the live one of its model.
	Replicas int `json:"replicas"`
	// Fetching, Verified, Ready and Failed count the agents that are not dead by
	// the state that they report for the version.
	Fetching int `json:"fetching"`
	Verified int `json:"verified"`
	Ready    int `json:"ready"`
	Failed   int `json:"failed"`
}

// RankStatus counts the requests of one rank, the priority class of a request, at
// the entry that sends the status.
type RankStatus struct {
	Rank       string `json:"rank"`
	InProgress int    `json:"in-progress"`
	Answered   int64  `json:"answered"`
	Refused    int64  `json:"refused"`
}

// DrainRequest asks an entry to mark the VM with the ID as leaving. The daemon on
// the VM then ends its work and stops. A daemon that has started later than the one with
// the incarnation is not affected, also if the request is executed late. Without an
// incarnation, the request is about the one that the entry knows.
type DrainRequest struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation,omitempty"`
}

// DrainResponse is the answer to a DrainRequest. Known reports whether the entry
// knows a member with the ID.
type DrainResponse struct {
	Known bool `json:"known"`
}
