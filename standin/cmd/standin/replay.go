package main

import (
	"context"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiarouter/fuchsiarouter/standin/bench"
	"github.com/fuchsiarouter/fuchsiarouter/standin/replay"
)

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:  "replay",
		Usage: "replay a recorded trace against a whole fleet of separate processes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "trace", Required: true, Usage: "file of the trace"},
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "directory of the binaries"},
			&cli.StringFlag{Name: "configurations", Value: "docs/examples", Usage: "directory of the example documents"},
			&cli.IntFlag{Name: "speed-up", Usage: "factor by which time is sped up, at most that of the trace; 0 uses that of the trace"},
			&cli.StringFlag{Name: "dir", Usage: "directory for logs and journals; a temporary one when empty"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			file, err := os.Open(c.String("trace"))
			if err != nil {
				return errors.Wrap(err, "trace")
			}
			defer func() { _ = file.Close() }()
			trace, err := replay.Read(file)
			if err != nil {
				return errors.Wrap(err, c.String("trace"))
			}
			dir, keepDir := c.String("dir"), true
			if dir == "" {
				keepDir = false
				if dir, err = os.MkdirTemp("", "standin-replay-"); err != nil {
					return errors.Wrap(err, "directory for logs")
				}
			}
			if err := playTrace(ctx, c, dir, trace); err != nil {
				// Keeps the logs to investigate the failure.
				return errors.Wrapf(err, "logs are in %s", dir)
			}
			if keepDir {
				return nil
			}
			return os.RemoveAll(dir)
		},
	}
}

// playTrace replays the trace and prints the report. It returns an error if the replay cannot
// be carried out, or if the report lists failures or violated invariants.
func playTrace(ctx context.Context, c *cli.Command, dir string, trace replay.Trace) error {
	b, err := bench.New(c.String("bin"), dir)
	if err != nil {
		return err
	}
	defer b.Close()
	options := replay.Options{Configurations: c.String("configurations"), SpeedUp: c.Int("speed-up")}
	report, err := replay.Play(ctx, b, trace, options)
	if err != nil {
		return err
	}
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	return report.Err()
}

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "generate a trace from a seed and write it to the standard output",
		ArgsUsage: "mopa-norte|ibarrola",
		Flags:     []cli.Flag{&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random choices"}},
		Action: func(_ context.Context, c *cli.Command) error {
			trace, ok := replay.GenerateTrace(c.Args().First(), c.Uint64("seed"))
			if !ok {
				return errors.Errorf("unknown trace %q", c.Args().First())
			}
			return replay.Write(os.Stdout, trace)
		},
	}
}
