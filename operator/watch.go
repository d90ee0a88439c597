package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiarouter/fuchsiarouter/peer"
)

// statusChange is one change that the watch command prints.
type statusChange struct {
	// Time is when the command saw the change.
	Time time.Time `json:"time"`
	// What names the VM, rollout or revision that changed.
	What string `json:"what"`
	// From and To describe its previous and its new status. An empty text means that it
	// was not in the status of the entry.
	From string `json:"from"`
	To   string `json:"to"`
}

// watchCommand returns the command that prints the changes of VMs, rollouts and revisions
// until it is interrupted or its time has passed.
func (o *Client) watchCommand() *cli.Command {
	return &cli.Command{
		Name:  "watch",
		Usage: "print every change of a VM, a rollout or a revision until stopped",
		Flags: []cli.Flag{&cli.DurationFlag{Name: "for", Usage: "stop after this `TIME`; 0 watches until interrupted"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := o.newSession(c)
			if err != nil {
				return err
			}
			defer s.close()
			if limit := c.Duration("for"); limit > 0 {
				limited, cancel := context.WithTimeout(ctx, limit)
				defer cancel()
				ctx = limited
			}
			printed := map[string]string{}
			warned := false
			for {
				status, err := s.fetchStatus(ctx)
				switch {
				case ctx.Err() != nil:
					return nil
				case err != nil && !warned:
					s.warn("%v; retrying", err)
					warned = true
				case err == nil:
					warned = false
					if err := s.printChanges(printed, status); err != nil {
						return err
					}
				}
				if err := o.waitPollInterval(ctx); err != nil {
					return nil //nolint:nilerr // the end of the watch time is not a failure
				}
			}
		},
	}
}

// printChanges prints what has changed in the status of an entry since the last call.
// printed holds the description of each VM, rollout and revision that was printed last, by
// the name that statusChange.What has; the function updates it.
func (s *session) printChanges(printed map[string]string, status peer.StatusResponse) error {
	current := map[string]string{}
	for _, member := range status.Members {
		current["vm "+member.ID] = statusText(member)
	}
	for _, rollout := range status.Rollouts {
		current["rollout "+rollout.Model+" "+rollout.Version] = fmt.Sprintf("%d of %d ready", rollout.Ready, rollout.Replicas)
	}
	for name, number := range status.Revisions {
		current["revision "+name] = fmt.Sprint(number)
	}
	for _, key := range sortedKeys(current, printed) {
		if current[key] == printed[key] {
			continue
		}
		change := statusChange{Time: time.Now().UTC().Truncate(time.Millisecond), What: key, From: printed[key], To: current[key]}
		if s.json {
			if err := printJSON(s.Out, change); err != nil {
				return err
			}
		} else if _, err := fmt.Fprintf(s.Out, "%s  %s: %s -> %s\n", change.Time.Format(time.TimeOnly), key, textOrNone(change.From), textOrNone(change.To)); err != nil {
			return errors.Wrap(err, "write result")
		}
	}
	clear(printed)
	for key, value := range current {
		printed[key] = value
	}
	return nil
}

// sortedKeys returns the sorted union of the keys of both maps.
func sortedKeys(a, b map[string]string) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}

// textOrNone returns the text, or a placeholder for an empty text.
func textOrNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}
