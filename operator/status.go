package operator

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/fleet"
	"github.com/fuchsiarouter/fuchsiarouter/peer"
)

// statusCommand returns the command that shows the VMs, rollouts, revisions and the
// expected shifts of declared peaks as one entry sees them.
func (o *Client) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the VMs, the rollouts and the revisions in force",
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := o.newSession(c)
			if err != nil {
				return err
			}
			defer s.close()
			ctx, cancel := context.WithTimeout(ctx, s.timeout)
			defer cancel()
			status, err := s.fetchStatus(ctx)
			if err != nil {
				return err
			}
			if s.json {
				return printJSON(o.Out, status)
			}
			return printStatus(o.Out, status)
		},
	}
}

// printStatus prints the status of an entry as tables and lines of text. The columns
// RUNNING and QUEUED count requests: RUNNING is followed by the number of slots. A version
// that is still being fetched is followed by its numbers of verified and of all chunks.
func printStatus(out io.Writer, status peer.StatusResponse) error {
	rows := [][]string{{"VM", "KIND", "ZONE", "STATUS", "RUNNING", "QUEUED", "VERSIONS", "REVISIONS"}}
	for _, member := range status.Members {
		var versions []string
		for _, version := range member.Versions {
			base, adapter := fuchsiarouter.SplitIdentity(version.Digest)
			text := fmt.Sprintf("%s@%.8s %s", version.Model, base, version.State)
			if adapter != "" {
				text = fmt.Sprintf("%s@%.8s+%.8s %s", version.Model, base, adapter, version.State)
			}
			if version.VerifiedChunks < version.TotalChunks {
				text += fmt.Sprintf(" %d/%d", version.VerifiedChunks, version.TotalChunks)
			}
			versions = append(versions, text)
		}
		rows = append(rows, []string{
			member.ID, string(member.Kind), member.AvailabilityZone, statusText(member),
			fmt.Sprintf("%d/%d", member.Load.Running, member.Load.Slots), fmt.Sprint(member.Load.Queued),
			strings.Join(versions, ", "), revisionsText(member.Revisions),
		})
	}
	if err := printTable(out, rows); err != nil {
		return err
	}
	if len(status.Rollouts) > 0 {
		rows = [][]string{{"\nMODEL", "VERSION", "DIGEST", "REPLICAS", "FETCHING", "VERIFIED", "READY", "FAILED"}}
		for _, rollout := range status.Rollouts {
			rows = append(rows, []string{
				rollout.Model, rollout.Version, fmt.Sprintf("%.12s", fuchsiarouter.ContentDigest(rollout.Digest)), fmt.Sprint(rollout.Replicas),
				fmt.Sprint(rollout.Fetching), fmt.Sprint(rollout.Verified), fmt.Sprint(rollout.Ready), fmt.Sprint(rollout.Failed),
			})
		}
		if err := printTable(out, rows); err != nil {
			return err
		}
	}
	if len(status.Ranks) > 0 {
		rows = [][]string{{"\nRANK", "IN PROGRESS", "ANSWERED", "REFUSED"}}
		for _, rank := range status.Ranks {
			rows = append(rows, []string{rank.Rank, fmt.Sprint(rank.InProgress), fmt.Sprint(rank.Answered), fmt.Sprint(rank.Refused)})
		}
		if err := printTable(out, rows); err != nil {
			return err
		}
	}
	for _, shift := range status.Shifts {
		if _, err := fmt.Fprintf(out, "\npeak of %s, %s to %s: expected %s earlier, %s later\n", shift.Model, shift.From, shift.Until,
			time.Duration(shift.EarlierSeconds)*time.Second, time.Duration(shift.LaterSeconds)*time.Second); err != nil {
			return errors.Wrap(err, "write result")
		}
	}
	held := ""
	if status.EvictionHeld {
		held = "; most VMs are silent, so the view is held"
	}
	if _, err := fmt.Fprintf(out, "\nrevisions at %s: %s%s\n", status.ID, revisionsText(status.Revisions), held); err != nil {
		return errors.Wrap(err, "write result")
	}
	return nil
}

// statusText describes the status of a VM, and whether it is leaving or which role its
// engine has.
func statusText(member fleet.Member) string {
	if member.Role != "" && !member.IsLeaving() {
		return string(member.Status) + ", " + string(member.Role)
	}
	if member.IsLeaving() {
		return string(member.Status) + ", leaving"
	}
	return string(member.Status)
}

// revisionsText lists the sections, sorted by name, with their revisions.
func revisionsText(revisions map[string]int64) string {
	var parts []string
	for name, number := range revisions {
		parts = append(parts, fmt.Sprintf("%s %d", name, number))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
