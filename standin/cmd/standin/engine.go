package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiarouter/fuchsiarouter/standin/engine"
)

// crashExitStatus is the exit status of an engine process that crashes because a prompt
// contains the crash marker.
const crashExitStatus = 3

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "serve a model engine",
		Flags: []cli.Flag{
			addressFlag(),
			journalFlag(),
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "requests that run at once"},
			&cli.DurationFlag{Name: "token-time", Value: 5 * time.Millisecond, Usage: "time to generate one token"},
			&cli.DurationFlag{Name: "prefill-time", Value: 2 * time.Millisecond, Usage: "time to process 1024 bytes of prompt that are not cached"},
			&cli.DurationFlag{Name: "load-lag", Value: 200 * time.Millisecond, Usage: "delay of the reported load behind the actual load"},
			&cli.IntFlag{Name: "cache-blocks", Value: 4096, Usage: "blocks of 64 bytes in the prefix cache"},
			&cli.DurationFlag{Name: "event-lag", Value: 200 * time.Millisecond, Usage: "delay until cache events are published"},
			&cli.FloatFlag{Name: "event-gap", Value: 0.05, Usage: "share of cache events that are lost"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed that determines which cache events are lost"},
			&cli.BoolFlag{Name: "ignore-fence", Usage: "execute orders with an outdated fencing token"},
			&cli.Int64Flag{Name: "memory-bytes", Usage: "memory for weights in bytes; 0 is unlimited"},
			&cli.StringFlag{Name: "crash-marker", Usage: "text in a prompt that makes the process exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			journal, err := openJournal(c.String("journal"))
			if err != nil {
				return err
			}
			e := engine.New(engine.Options{
				Slots:         c.Int("slots"),
				TokenTime:     c.Duration("token-time"),
				PrefillTime:   c.Duration("prefill-time"),
				LoadLag:       c.Duration("load-lag"),
				CacheBlocks:   c.Int("cache-blocks"),
				EventLag:      c.Duration("event-lag"),
				EventLossRate: c.Float("event-gap"),
				Seed:          c.Uint64("seed"),
				IgnoreFence:   c.Bool("ignore-fence"),
				MemoryBytes:   c.Int64("memory-bytes"),
				CrashMarker:   c.String("crash-marker"),
				OnCrash:       func() { os.Exit(crashExitStatus) },
				Journal:       journal,
			})
			return serve(ctx, "engine", c.String("address"), e)
		},
	}
}
