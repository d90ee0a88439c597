package operator

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiarouter/fuchsiarouter/fleet"
	"github.com/fuchsiarouter/fuchsiarouter/peer"
)

// drainCommand returns the command that marks a VM as leaving, so that it gets no new
// requests, and waits until its requests in progress have finished. The command sends a
// drain request to an entry. The entry tells the VM in its response to the VM's next
// heartbeat, and the VM then announces in its own heartbeats that it is leaving. Nothing is
// written to the log: a VM that leaves does not come back, so there is no state to keep.
func (o *Client) drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "send no new requests to a VM, and wait until those in progress have finished",
		ArgsUsage: "VM",
		Action: func(ctx context.Context, c *cli.Command) error {
			id := c.Args().First()
			if id == "" {
				return exitErrorf(ExitInvalid, "drain requires the ID of a VM")
			}
			s, err := o.newSession(c)
			if err != nil {
				return err
			}
			defer s.close()
			ctx, cancel := context.WithTimeout(ctx, s.timeout)
			defer cancel()
			if err := s.requestDrain(ctx, id); err != nil {
				return err
			}
			display := newProgress(o.Err)
			defer display.end()
			for {
				status, err := s.fetchStatus(ctx)
				if err == nil {
					inProgress, leaving := drainState(status.Members, id)
					if inProgress == 0 && leaving {
						return s.printDrained(id)
					}
					display.show("%s: leaving %t, %d requests in progress", id, leaving, inProgress)
				}
				if err := o.waitPollInterval(ctx); err != nil {
					return exitErrorf(ExitNotConverged, "%s is marked as leaving, but was not seen idle before the timeout", id)
				}
			}
		},
	}
}

// requestDrain sends the drain request to one entry after the other until one responds that
// it knows the VM. The request names the incarnation of the daemon that is drained, because
// an entry may execute it after the daemon has restarted.
func (s *session) requestDrain(ctx context.Context, id string) error {
	status, err := s.fetchStatus(ctx)
	if err != nil {
		return err
	}
	request := peer.DrainRequest{ID: id}
	for _, member := range status.Members {
		if member.ID == id {
			request.Incarnation = member.Incarnation
		}
	}
	known := false
	err = s.tryEntries(ctx, func(address string) error {
		response, err := s.entryClient.Drain(ctx, address, request)
		if err != nil {
			return err
		}
		known = known || response.Known
		if !response.Known {
			return errors.Errorf("%s does not know the VM %s", address, id)
		}
		return nil
	})
	switch {
	case known:
		return nil
	default:
		return withExitCode(ExitUnavailable, err)
	}
}

// printDrained prints the result of a drain that has finished.
func (s *session) printDrained(id string) error {
	if s.json {
		return printJSON(s.Out, struct {
			ID      string `json:"id"`
			Drained bool   `json:"drained"`
		}{id, true})
	}
	if _, err := fmt.Fprintf(s.Out, "%s is drained\n", id); err != nil {
		return errors.Wrap(err, "write result")
	}
	return nil
}

// drainState returns the number of running and queued requests of a VM, and whether the VM
// is leaving, so that it gets no new requests. A VM that is dead or not among the members
// counts as leaving without requests.
func drainState(members []fleet.Member, id string) (inProgress int, leaving bool) {
	for _, member := range members {
		if member.ID == id && member.Status != fleet.StatusDead {
			return member.Load.Running + member.Load.Queued, member.IsLeaving()
		}
	}
	return 0, true
}
