package operator

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiarouter/fuchsiarouter/explanation"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

// explainCommand returns the command that prints the meaning of a result code, the number
// by which callers learn why a request failed, or where an entry would send a request now.
func (o *Client) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain a result code, or where an entry would send a request now and why",
		ArgsUsage: "[CODE]",
		Description: "With CODE, prints the meaning of a result code.\n\n" +
			"With --host and --path, asks the entry with the peer ADDRESS that --entry names where it would send such a request now. Nothing is sent to a server.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "host", Usage: "`HOST` of the request"},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the request"},
			&cli.StringFlag{Name: "key", Usage: "API `KEY` of the request", Sources: cli.EnvVars("FUCHSIAROUTER_KEY")},
			&cli.StringFlag{Name: "model", Usage: "`MODEL` that the request names"},
			&cli.StringFlag{Name: "request-id", Usage: "`ID` of the attempt, by which a route with several services chooses one"},
			&cli.StringFlag{Name: "region", Usage: "`REGION` to which the request is restricted in addition"},
			&cli.IntFlag{Name: "prompt-tokens", Usage: "`NUMBER` of tokens of the prompt"},
			&cli.IntFlag{Name: "output-tokens", Usage: "maximum `NUMBER` of tokens to generate"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			isRequest := slices.ContainsFunc([]string{"host", "path", "model", "request-id", "region", "prompt-tokens", "output-tokens"}, c.IsSet)
			switch {
			case c.Args().Present() && isRequest:
				return exitErrorf(ExitInvalid, "explain takes either a result code or the flags of a request")
			case isRequest:
				return o.explainRequest(c)
			}
			return o.explainCode(c.Args().First())
		},
	}
}

// explainCode prints the meaning of a result code.
func (o *Client) explainCode(text string) error {
	number, err := strconv.Atoi(text)
	if err != nil {
		return exitErrorf(ExitInvalid, "explain requires the number of a result code, such as 2003, or --entry, --host and --path")
	}
	code, ok := result.ByNumber(number)
	if !ok {
		return exitErrorf(ExitInvalid, "unknown result code %d", number)
	}
	_, err = fmt.Fprintf(o.Out, "%d %s\nHTTP status: %d\nran: %s\nsend again: %s\n",
		code.Number, code.Name, code.HTTPStatus, code.Ran, code.Retry)
	return err
}

// explainRequest asks an entry where it would send the request that the flags describe.
func (o *Client) explainRequest(c *cli.Command) error {
	query := explanation.Query{
		Host: c.String("host"), Path: c.String("path"), Key: c.String("key"), Model: c.String("model"), RequestID: c.String("request-id"),
		Region:       c.String("region"),
		PromptTokens: c.Int("prompt-tokens"), OutputTokens: c.Int("output-tokens"),
	}
	if err := query.Validate(); err != nil {
		return withExitCode(ExitInvalid, err)
	}
	entries := c.StringSlice("entry")
	if len(entries) != 1 {
		return exitErrorf(ExitInvalid, "explain of a request requires --entry with the peer address of one entry")
	}
	if err := explanation.CheckAddress(entries[0]); err != nil {
		return withExitCode(ExitInvalid, err)
	}
	answer, err := explanation.Fetch(entries[0], query, min(c.Duration("timeout"), requestTimeout))
	if err != nil {
		return withExitCode(ExitUnavailable, err)
	}
	if c.Bool("json") {
		return printJSON(o.Out, answer)
	}
	return o.printExplanation(answer)
}

// printExplanation prints an answer as a line for each property and a table of the candidates.
func (o *Client) printExplanation(answer *explanation.Answer) error {
	rows := [][]string{{"entry", fmt.Sprintf("%s in %s, configuration %d, %d ms old", answer.Entry, answer.Zone, answer.Configuration, answer.ConfigurationAgeMs)}}
	if answer.Route != "" {
		rows = append(
			rows,
			[]string{"route", answer.Route},
			[]string{"service", orDash(answer.Service)},
			[]string{"rank", strconv.Itoa(answer.Rank)},
			[]string{"workspace", orDash(answer.Workspace)},
			[]string{"regions", regionsText(answer.AllowedRegions)},
		)
	}
	if answer.Model != "" {
		rows = append(rows, []string{"model", fmt.Sprintf("%s, declared version %d, required version %d", answer.Model, answer.DeclaredVersion, answer.RequiredVersion)})
	}
	rows = append(rows, []string{"decision", decisionText(answer)})
	if err := printTable(o.Out, rows); err != nil || len(answer.Candidates) == 0 {
		return err
	}
	if _, err := fmt.Fprintln(o.Out); err != nil {
		return err
	}
	rows = [][]string{{"SERVER", "ZONE", "REGION", "VERSION", "IN-FLIGHT", "PREFERRED", "PREDICTED", "STATE"}}
	for _, candidate := range answer.Candidates {
		rows = append(rows, []string{
			candidate.Server, candidate.Zone, orDash(candidate.Region), numberText(int64(candidate.HeldVersion), ""),
			fmt.Sprintf("%d/%d", candidate.InFlight, candidate.Slots), map[bool]string{true: "yes", false: "no"}[candidate.Preferred],
			numberText(candidate.PredictedMs, " ms"), stateText(answer, candidate),
		})
	}
	if err := printTable(o.Out, rows); err != nil || answer.Omitted == 0 {
		return err
	}
	_, err := fmt.Fprintf(o.Out, "%d further servers are not listed\n", answer.Omitted)
	return err
}

// stateText returns what the selection makes of a candidate.
func stateText(answer *explanation.Answer, candidate explanation.Candidate) string {
	switch {
	case candidate.Excluded != "":
		return candidate.Excluded
	case candidate.Server == answer.Server:
		return "selected"
	}
	return "usable"
}

// decisionText returns the decision of an answer in words.
func decisionText(answer *explanation.Answer) string {
	switch answer.Decision {
	case explanation.DecisionSend:
		return "send to " + answer.Server
	case explanation.DecisionRefuse:
		return fmt.Sprintf("refuse with %s (%s), retry after %d ms", answer.Result, answer.Reason, answer.RetryAfterMs)
	}
	return answer.Decision
}

// regionsText returns the allowed regions in words.
func regionsText(names []string) string {
	switch {
	case names == nil:
		return "all"
	case len(names) == 0:
		return "none"
	}
	return strings.Join(names, ", ")
}

// numberText returns a number with its unit, or a dash for 0.
func numberText(number int64, unit string) string {
	if number == 0 {
		return "-"
	}
	return strconv.FormatInt(number, 10) + unit
}

// orDash returns the text, or a dash for an empty one.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
