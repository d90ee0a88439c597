package spread

import "time"

// request is a Request in progress.
type request struct {
	Request
	// class is the class whose limit the request counts towards, classLocal or
	// classImport.
	class     int
	startedAt time.Time
	// respondedAt is when the source responded that it has the chunk, zero before.
	respondedAt time.Time
	// receiving is set when progress of the transfer has been recorded.
	receiving bool
	// hedged is set while the transfer is stalled, so that a second request for the chunk
	// may be started.
	hedged bool
	// sourceGone is set if the source has left the view.
	sourceGone bool
	// deadline is the time at which handleTimeouts cancels the request or lets it be hedged,
	// unless an event extends the deadline before.
	deadline time.Time
}
