package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiarouter/fuchsiarouter/revision"
)

// historyCommand returns the command that lists the edits that the log still retains, with
// the verdict on each: accepted, or why it was rejected. Without --section, records that
// cannot be decoded are listed too.
func (o *Client) historyCommand() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "show the edits that the log retains, and whether they were accepted",
		Flags: []cli.Flag{&cli.StringFlag{Name: "section", Usage: "show only the edits of this `SECTION`"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := o.newSession(c)
			if err != nil {
				return err
			}
			defer s.close()
			if s.log == nil {
				return exitErrorf(ExitInvalid, "history reads the log: --platform is required")
			}
			ctx, cancel := context.WithTimeout(ctx, s.timeout)
			defer cancel()
			outcomes, err := s.readLog(ctx)
			if err != nil {
				return withExitCode(ExitUnavailable, errors.Wrap(err, "read the log"))
			}
			rows := [][]string{{"OFFSET", "TIME", "VERDICT", "SECTION", "REVISION", "KEY", "REASON"}}
			for _, outcome := range outcomes {
				if outcome.Kind == revision.KindSnapshot || c.String("section") != "" && c.String("section") != string(outcome.Section) {
					continue
				}
				if s.json {
					if err := printJSON(o.Out, outcome); err != nil {
						return err
					}
					continue
				}
				rows = append(rows, []string{
					fmt.Sprint(outcome.Offset), outcome.Time.UTC().Format(time.RFC3339), string(outcome.Verdict),
					string(outcome.Section), fmt.Sprint(outcome.Revision), fmt.Sprintf("%.12s", outcome.Key), outcome.Reason,
				})
			}
			if s.json {
				return nil
			}
			return printTable(o.Out, rows)
		},
	}
}
