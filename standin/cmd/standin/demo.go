package main

import (
	"context"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiarouter/fuchsiarouter/standin/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet as separate processes and print the results",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "directory of the binaries"},
			&cli.StringFlag{Name: "kill", Usage: "entry or agent to kill with SIGKILL during the rollout, as in entry-0 or agent-3"},
			&cli.StringFlag{Name: "dir", Usage: "directory for logs and journals; a temporary one when empty"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if dir := c.String("dir"); dir != "" {
				return demo.Run(ctx, c.String("bin"), dir, c.String("kill"), os.Stdout)
			}
			dir, err := os.MkdirTemp("", "standin-demo-")
			if err != nil {
				return errors.Wrap(err, "directory for logs")
			}
			if err := demo.Run(ctx, c.String("bin"), dir, c.String("kill"), os.Stdout); err != nil {
				// Keeps the logs to investigate the failure.
				return errors.Wrapf(err, "logs are in %s", dir)
			}
			return os.RemoveAll(dir)
		},
	}
}
