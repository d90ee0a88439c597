package fleet

import "github.com/fuchsiarouter/fuchsiarouter"

// MaxMeshEntries is the largest number of entries that form a full mesh, in which
// each receives the heartbeats of all others (see Relay). It leaves room for twice
// the 6 entries of a deployment, since all of them may be replaced at once. At the
// limit an entry sends 15 heartbeats a second to other entries and receives 15
// from them.
const MaxMeshEntries = 16

// Neighbour is an entry to which another entry, the sender, sends messages.
type Neighbour struct {
	fuchsiarouter.Member
	// GetsHeartbeats is set when the sender sends its heartbeats to the neighbour,
	// which is then one of its watchers. ExchangesChanges is set when the sender
	// starts the exchange of membership changes with the neighbour, in which each
	// sends the Changes that the other lacks. In a mesh both are set for every
	// neighbour; in the tree, changes are exchanged only with the parent.
	GetsHeartbeats   bool
	ExchangesChanges bool
}

// Neighbours returns the entries to which the entry self sends messages. The
// argument entries holds the entries that are not dead, including self.
func Neighbours(self fuchsiarouter.Member, entries []fuchsiarouter.Member) []Neighbour {
	isMesh := len(entries) <= MaxMeshEntries
	count := 2
	if isMesh {
		count = MaxMeshEntries
	}
	var neighbours []Neighbour
	for _, watcher := range Watchers(self.ID, self.Region, entries, count) {
		neighbours = append(neighbours, Neighbour{Member: watcher, GetsHeartbeats: true, ExchangesChanges: isMesh})
	}
	if isMesh {
		return neighbours
	}
	parent, ok := Parent(self, entries)
	if !ok {
		return neighbours
	}
	for i := range neighbours {
		if neighbours[i].ID == parent.ID {
			neighbours[i].ExchangesChanges = true
			return neighbours
		}
	}
	return append(neighbours, Neighbour{Member: parent, ExchangesChanges: true})
}

// AgentWatchers returns the number of watchers of an agent in a fleet with this
// number of entries. In a mesh a second watcher prevents an agent from becoming
// suspect at entries that its first watcher cannot reach.
func AgentWatchers(entries int) int {
	if entries <= MaxMeshEntries {
		return 2
	}
	return 1
}
