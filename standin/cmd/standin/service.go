package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiarouter/fuchsiarouter/standin/service"
)

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "serve a plain service",
		Flags: []cli.Flag{
			addressFlag(),
			journalFlag(),
			&cli.DurationFlag{Name: "delay", Usage: "duration of each call"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			journal, err := openJournal(c.String("journal"))
			if err != nil {
				return err
			}
			return serve(ctx, "service", c.String("address"), service.New(c.Duration("delay"), journal))
		},
	}
}
