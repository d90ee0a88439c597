package spread

import "time"

// Options are the parameters of a Session. Self and Chunks must be set. Any other zero field
// gets its default.
type Options struct {
	// Self is the member ID of the agent.
	Self string
	// Chunks is the number of chunks of the version.
	Chunks int
	// Parallel is the maximum number of requests in progress for chunks that the agent
	// receives along the trees of its region, ImportParallel for those that it imports
	// into the region. The default of Parallel grows with the depth of the trees, because
	// an agent waits for its parent, which waits for its own parent.
	Parallel       int
	ImportParallel int
	// Transfers is the number of transfers in progress, among the requests that Parallel
	// limits, at which no further request is started. A request counts as a transfer once
	// its source has responded that it has the chunk; until then the request waits.
	Transfers int
	// Wait is how long a source may delay its response until it has the chunk. A request
	// to a source that has not responded after a further Grace fails.
	Wait  time.Duration
	Grace time.Duration
	// OriginBudget is the number of chunks that the agent may download from the
	// origin in addition to those that it imports into its region.
	OriginBudget int
	// OriginRefill is the time after which one more chunk may be downloaded in this way. The
	// number of chunks that may still be downloaded never exceeds OriginBudget.
	OriginRefill time.Duration
}

// Defaults of Options.
const (
	DefaultImportParallel = 8
	DefaultTransfers      = 6
	DefaultWait           = 3 * time.Second
	DefaultGrace          = time.Second
	DefaultOriginBudget   = 2
	DefaultOriginRefill   = 2 * time.Minute
)

// The default of Options.Parallel is parallelBase plus parallelPerLevel for each level of
// the tree. A chunk takes about 2 s per tree level, since 6 uploads share a link that
// carries one chunk in 0.4 s. To receive at the full rate of its link, an agent needs
// about 5 requests in progress per level above it.
const (
	parallelBase     = 4
	parallelPerLevel = 5
)

// setDefault sets a zero value to its default.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
