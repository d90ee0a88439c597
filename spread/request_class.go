package spread

// The classes of requests. Each has a limit of its own, so that chunks that this agent
// imports into its region as their gateway don't wait behind chunks that it receives along
// the trees.
const (
	// classLocal is the class of requests for chunks of which the agent is not the gateway.
	classLocal = iota
	// classImport is the class of requests for chunks of which the agent is the gateway.
	classImport
)

// requestClass bounds the requests in progress of one class.
type requestClass struct {
	// limit is the maximum number of requests in progress. Hedges may exceed it.
	limit int
	// activeRequests is the number of requests in progress, including hedges.
	activeRequests int
	// firstMissing is a lower bound of the index of the first missing chunk of the class.
	firstMissing int
}
