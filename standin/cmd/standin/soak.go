package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiarouter/fuchsiarouter/standin/soak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run entries of the users' platform as separate processes and inject random faults",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "number of consecutive seeds to run"},
			&cli.DurationFlag{Name: "length", Value: 10 * time.Second, Usage: "time for each seed within which faults begin"},
			&cli.IntFlag{Name: "entries", Value: 3, Usage: "number of entry processes"},
			&cli.IntFlag{Name: "callers", Value: 6, Usage: "number of callers"},
			hostileFlag(),
			&cli.BoolFlag{Name: "stops", Usage: "stop the entries one after the other, instead of injecting all kinds of faults"},
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "directory of the binaries"},
		},
		Commands: []*cli.Command{soakLoadersCommand(), soakVersionsCommand()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runSeeds(c, func(dir string, seed uint64) (fmt.Stringer, bool, error) {
				settings := soak.Settings{
					Binary: filepath.Join(c.String("bin"), "fuchsiarouterd"), WorkDir: dir, Seed: seed,
					Entries: c.Int("entries"), Callers: c.Int("callers"), HostileCallers: c.Int("hostile"), FaultWindow: c.Duration("length"),
				}
				if c.Bool("stops") {
					report, err := soak.RunStops(ctx, settings)
					return report, len(report.Lost) == 0, err
				}
				report, err := soak.Run(ctx, settings)
				return report, len(report.Violations) == 0, err
			})
		},
	}
}

func hostileFlag() cli.Flag {
	return &cli.IntFlag{Name: "hostile", Value: 24, Usage: "number of callers that send requests which do not end or are too large"}
}

func soakLoadersCommand() *cli.Command {
	return &cli.Command{
		Name:  "loaders",
		Usage: "run loaders as separate processes beside engines with random faults",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "number of consecutive seeds to run"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "time for each seed within which faults begin"},
			&cli.IntFlag{Name: "loaders", Value: 3, Usage: "number of loader processes"},
			hostileFlag(),
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "directory of the binaries"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runSeeds(c, func(dir string, seed uint64) (fmt.Stringer, bool, error) {
				report, err := soak.RunLoaders(ctx, soak.LoaderSettings{
					Binary: filepath.Join(c.String("bin"), "fuchsiarouterd"), WorkDir: dir, Seed: seed,
					Loaders: c.Int("loaders"), HostileCallers: c.Int("hostile"), FaultWindow: c.Duration("length"),
				})
				return report, len(report.Violations)+len(report.Behind) == 0, err
			})
		},
	}
}

func soakVersionsCommand() *cli.Command {
	return &cli.Command{
		Name:  "versions",
		Usage: "declare weight versions in series while an entry is stopped by a signal, at the load of a day",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "number of consecutive seeds to run"},
			&cli.IntFlag{Name: "rounds", Value: 3, Usage: "number of series of versions in each run"},
			&cli.IntFlag{Name: "engines", Value: 16, Usage: "number of engines, each with a loader process"},
			&cli.BoolFlag{Name: "early-heads", Usage: "let half of the engines send the head of a response while its request waits"},
			&cli.FloatFlag{Name: "rate", Value: 250, Usage: "number of requests a second"},
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "directory of the binaries"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runSeeds(c, func(dir string, seed uint64) (fmt.Stringer, bool, error) {
				report, err := soak.RunVersions(ctx, soak.VersionSettings{
					Binary: filepath.Join(c.String("bin"), "fuchsiarouterd"), WorkDir: dir, Seed: seed,
					Engines: c.Int("engines"), Rounds: c.Int("rounds"), Rate: c.Float("rate"), EarlyHeads: c.Bool("early-heads"),
				})
				return report, report.Late == 0, err
			})
		},
	}
}

// runSeeds runs the function run, which reports whether the invariants hold, for each seed of a
// command, and prints the reports. It keeps the directory of a run with a violation.
func runSeeds(c *cli.Command, run func(dir string, seed uint64) (fmt.Stringer, bool, error)) error {
	failed := 0
	for index := range c.Int("runs") {
		dir, err := os.MkdirTemp("", "standin-soak-")
		if err != nil {
			return errors.Wrap(err, "directory for logs")
		}
		report, holds, err := run(dir, c.Uint64("seed")+uint64(index))
		if err != nil {
			return err
		}
		fmt.Println(report)
		if !holds {
			failed++
			fmt.Println("logs are in", dir)
		} else if err := os.RemoveAll(dir); err != nil {
			return errors.Wrap(err, "logs")
		}
	}
	if failed > 0 {
		return errors.Errorf("%d seeds violated an invariant", failed)
	}
	return nil
}
