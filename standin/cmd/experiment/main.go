// Command experiment runs one of the experiments that measure fuchsiarouter against its
// stated targets. It prints each figure as a JSON line and fails if one misses its target.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiarouter/fuchsiarouter/standin/experiment"
)

// experiments maps the name of each subcommand to its experiment.
var experiments = map[string]experiment.Run{
	"entry":           experiment.Entry,
	"at-most-once":    experiment.AtMostOnce,
	"config":          experiment.Config,
	"control":         experiment.Control,
	"drain":           experiment.Drain,
	"entry-processor": experiment.EntryProcessor,
	"faults":          experiment.Faults,
	"fairness":        experiment.Fairness,
	"flood-overnight": experiment.FloodOvernight,
	"forecast":        experiment.Forecast,
	"flood-urgent":    experiment.FloodUrgent,
	"leaving-callers": experiment.LeavingCallers,
	"membership":      experiment.Membership,
	"outage":          experiment.Outage,
	"poison":          experiment.Poison,
	"prefix":          experiment.Prefix,
	"routing":         experiment.Routing,
	"weights":         experiment.Weights,
}

func main() {
	command := &cli.Command{
		Name:  "experiment",
		Usage: "measure the system against its stated targets",
	}
	for name, run := range experiments {
		flags := []cli.Flag{&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random choices"}}
		if name == "weights" {
			flags = append(flags, &cli.StringFlag{Name: "only", Usage: "run only the parts whose figure names begin with `PREFIX`, such as spread/frozen/600/"})
		}
		command.Commands = append(command.Commands, &cli.Command{
			Name:  name,
			Flags: flags,
			Action: func(_ context.Context, c *cli.Command) error {
				if prefix := c.String("only"); prefix != "" {
					run = experiment.WeightsWithPrefix(prefix)
				}
				return experiment.Print(os.Stdout, run, c.Uint64("seed"))
			},
		})
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
