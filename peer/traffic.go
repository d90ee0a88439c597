package peer

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// Traffic counts the bytes of the control messages on a set of connections, without
// the overhead of TLS, TCP and IP, and the reads and writes. It is safe for
// concurrent use.
type Traffic struct {
	sent, received, writes, reads atomic.Int64
}

// TrafficCounts holds what a Traffic counted in an interval.
type TrafficCounts struct {
	SentBytes     int64
	ReceivedBytes int64
	// Writes and Reads count the calls on the connections. For short messages
	// they are an upper bound of the number of TCP segments.
	Writes int64
	Reads  int64
}

// TakeCounts returns what was counted since the last TakeCounts or Report, and
// resets the counters.
func (t *Traffic) TakeCounts() TrafficCounts {
	return TrafficCounts{
		SentBytes: t.sent.Swap(0), ReceivedBytes: t.received.Swap(0), Writes: t.writes.Swap(0), Reads: t.reads.Swap(0),
	}
}

// Report adds what was counted since the last TakeCounts or Report to the metrics
// of the daemon, and resets the counters.
func (t *Traffic) Report(scope tally.Scope) {
	counts := t.TakeCounts()
	for direction, counted := range map[string][2]int64{
		"sent": {counts.SentBytes, counts.Writes}, "received": {counts.ReceivedBytes, counts.Reads},
	} {
		tagged := scope.Tagged(map[string]string{"direction": direction})
		tagged.Counter("control_bytes").Inc(counted[0])
		tagged.Counter("control_segments").Inc(counted[1])
	}
}
