package entry

import (
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiarouter/fuchsiarouter/fleet"
)

const (
	probeInterval = time.Second
	probeTimeout  = time.Second
	// stalledAfter is the time without a byte of the response after which the server of a
	// request is probed.
	stalledAfter = 2 * time.Second
)

// probeStalled probes the servers at which a request makes no progress, to detect that the
// network path for requests has stalled although the heartbeats of the server arrive. If
// several probes in a row fail, it aborts the requests in progress there, so that idempotent
// ones are sent to another server. No further requests are sent to such a server until it
// responds to a probe.
func (e *Entry) probeStalled() {
	e.members.withView(func(view *fleet.Relay) {
		known := map[string]bool{}
		for _, member := range view.Members() {
			known[member.Address] = true
		}
		e.probesMu.Lock()
		defer e.probesMu.Unlock()
		e.probes.Forget(func(address string) bool { return known[address] })
	})
	now := time.Now()
	stalled := e.client.StalledAddresses(now, stalledAfter)
	e.probesMu.Lock()
	due := e.probes.TakeDue(now, stalled)
	e.probesMu.Unlock()
	group := errgroup.Group{}
	for _, address := range due {
		group.Go(func() error {
			healthy := e.client.CheckHealth(address, probeTimeout)
			e.probesMu.Lock()
			unreachable := e.probes.RecordResult(address, healthy)
			e.probesMu.Unlock()
			if unreachable {
				e.log.Warn("server cannot be reached; its requests are given up", zap.String("peer", address))
				e.client.CloseConnections(address)
			}
			return nil
		})
	}
	// The functions return no error; a failed probe is recorded as a result.
	_ = group.Wait()
}

// isUnreachable reports whether so many probes of the address in a row have failed that no
// request may be sent there until one succeeds.
func (e *Entry) isUnreachable(address string) bool {
	e.probesMu.Lock()
	defer e.probesMu.Unlock()
	return e.probes.IsUnreachable(address)
}
