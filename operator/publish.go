package operator

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiarouter/fuchsiarouter/document"
)

// publishCommand returns the command that signs an edit of a section, appends it to the log
// and waits until it is in force on all VMs.
func (o *Client) publishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "sign and publish a section, and wait until every VM has applied it",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "section", Required: true, Usage: "the `SECTION` that the file holds"},
			&cli.StringFlag{Name: "key", Required: true, Usage: "`FILE` with the private key of an owner"},
			&cli.Int64Flag{Name: "base", Value: -1, Usage: "the `REVISION` that the file was edited from; the current one if omitted"},
			&cli.BoolFlag{Name: "no-wait", Usage: "do not wait until every VM has applied the section"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := parseSectionFlag(c)
			if err != nil {
				return err
			}
			content, err := os.ReadFile(c.Args().First())
			if err != nil {
				return withExitCode(ExitInvalid, err)
			}
			key, err := readPrivateKey(c.String("key"))
			if err != nil {
				return err
			}
			s, err := o.newSession(c)
			if err != nil {
				return err
			}
			defer s.close()
			if s.log == nil {
				return exitErrorf(ExitInvalid, "publish appends to the log: --platform is required")
			}
			ctx, cancel := context.WithTimeout(ctx, s.timeout)
			defer cancel()
			if err := s.loadState(ctx); err != nil {
				return err
			}
			base := c.Int64("base")
			if base < 0 {
				base = s.state.Revision(name)
			}
			given := []document.SectionText{{Section: name, File: c.Args().First(), Content: content}}
			if _, err := document.Read(s.addAcceptedSections(given)); err != nil {
				return withExitCode(ExitInvalid, err)
			}
			p := &publication{session: s, section: name, content: string(content), base: base, key: key}
			if err := p.appendUntilDecided(ctx); err != nil {
				return err
			}
			if c.Bool("no-wait") {
				return p.printResult(-1, -1)
			}
			return p.waitForFleet(ctx)
		},
	}
}

// waitForFleet waits until an entry reports that every VM that is not dead has applied the
// accepted edit, and prints the result. If the timeout passes before, it prints the result so
// far and returns an error.
func (p *publication) waitForFleet(ctx context.Context) error {
	display := newProgress(p.Err)
	defer display.end()
	applied, live := 0, 0
	for {
		if status, err := p.fetchStatus(ctx); err == nil {
			applied, live = p.countApplied(status)
			display.show("%s revision %d is in force on %d of %d VMs", p.section, p.base+1, applied, live)
			if live > 0 && applied == live {
				return p.printResult(applied, live)
			}
		} else if ctx.Err() == nil {
			display.show("%s revision %d is accepted; no entry returned its status", p.section, p.base+1)
		}
		if err := p.waitPollInterval(ctx); err != nil {
			if err := p.printResult(applied, live); err != nil {
				return err
			}
			return exitErrorf(ExitNotConverged, "%s revision %d is accepted, but was seen in force on only %d of %d VMs at the timeout", p.section, p.base+1, applied, live)
		}
	}
}

// printResult prints the new revision, and on how many of all VMs it was seen in force.
// Both counts are -1 if the command did not wait for the VMs.
func (p *publication) printResult(applied, all int) error {
	if p.json {
		return printJSON(p.Out, struct {
			Section   document.Section `json:"section"`
			Revision  int64            `json:"revision"`
			Offset    int64            `json:"offset"`
			Following int              `json:"following"`
			VMs       int              `json:"vms"`
		}{p.section, p.base + 1, p.offset, applied, all})
	}
	text := ""
	if all >= 0 {
		text = fmt.Sprintf(", in force on %d of %d VMs", applied, all)
	}
	_, err := fmt.Fprintf(p.Out, "%s revision %d is accepted%s\n", p.section, p.base+1, text)
	return err
}
