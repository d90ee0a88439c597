package operator

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// diffCommand returns the command that prints the lines in which the accepted revision of
// a section and a file differ.
func (o *Client) diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "compare a file with the accepted revision of its section",
		ArgsUsage: "FILE",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "section", Required: true, Usage: "the `SECTION` that the file holds"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := parseSectionFlag(c)
			if err != nil {
				return err
			}
			content, err := os.ReadFile(c.Args().First())
			if err != nil {
				return withExitCode(ExitInvalid, err)
			}
			s, err := o.newSession(c)
			if err != nil {
				return err
			}
			defer s.close()
			ctx, cancel := context.WithTimeout(ctx, s.timeout)
			defer cancel()
			if err := s.loadState(ctx); err != nil {
				return err
			}
			accepted := ""
			for _, edit := range s.state.AcceptedEdits() {
				if edit.Record.Section == name {
					accepted = edit.Record.Content
				}
			}
			changes := diffLines(splitLines(accepted), splitLines(string(content)))
			if s.json {
				return printJSON(o.Out, struct {
					Section  string   `json:"section"`
					Revision int64    `json:"revision"`
					Changes  []string `json:"changes"`
				}{string(name), s.state.Revision(name), changes})
			}
			for _, change := range changes {
				if _, err := fmt.Fprintln(o.Out, change); err != nil {
					return errors.Wrap(err, "write result")
				}
			}
			return nil
		},
	}
}

// splitLines returns the lines of a text. The line break at the end is optional.
func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

// diffLines returns the lines removed from before, marked with "-" and their line number
// there, and the lines added in after, marked with "+" and their line number there. Time
// and memory grow with the product of the numbers of lines, so equal lines at the start and
// at the end are left out of the comparison.
func diffLines(before, after []string) []string {
	// start and end count the equal lines at the start and at the end.
	start := 0
	for start < len(before) && start < len(after) && before[start] == after[start] {
		start++
	}
	end := 0
	for end < len(before)-start && end < len(after)-start && before[len(before)-1-end] == after[len(after)-1-end] {
		end++
	}
	before, after = before[start:len(before)-end], after[start:len(after)-end]
	// common[i][j] is the length of the longest common subsequence of before[i:]
	// and after[j:].
	common := make([][]int32, len(before)+1)
	for i := range common {
		common[i] = make([]int32, len(after)+1)
	}
	for i := len(before) - 1; i >= 0; i-- {
		for j := len(after) - 1; j >= 0; j-- {
			if before[i] == after[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	changes := []string{}
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case i < len(before) && j < len(after) && before[i] == after[j]:
			i, j = i+1, j+1
		case i < len(before) && (j == len(after) || common[i+1][j] >= common[i][j+1]):
			changes = append(changes, fmt.Sprintf("%d - %s", start+i+1, before[i]))
			i++
		default:
			changes = append(changes, fmt.Sprintf("%d + %s", start+j+1, after[j]))
			j++
		}
	}
	return changes
}
