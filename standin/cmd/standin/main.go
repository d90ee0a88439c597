// Command standin runs the stand-ins of the systems around fuchsiarouter: the
// platform, engines, services and network links. It also runs the demo, the
// replay of traces and the soak test, which start such processes themselves.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	if err := run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:     "standin",
		Usage:    "run stand-ins of the systems around fuchsiarouter",
		Commands: []*cli.Command{platformCommand(), engineCommand(), serviceCommand(), linkCommand(), demoCommand(), replayCommand(), traceCommand(), soakCommand()},
	}
	return command.Run(ctx, args)
}
