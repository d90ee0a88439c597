package main

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiarouter/fuchsiarouter/standin/platform"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve the log, the origin of weights and the VM list",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.IntFlag{Name: "keep-records", Usage: "maximum number of records in each stream; 0 keeps all"},
			&cli.DurationFlag{Name: "keep-for", Usage: "age above which a stream drops records; 0 keeps all"},
			&cli.FloatFlag{Name: "appends-per-second", Value: 400, Usage: "append rate of all streams together; 0 is unlimited"},
			&cli.Int64Flag{Name: "origin-bytes-per-second", Usage: "rate of the origin for all readers together; 0 is unlimited"},
			&cli.DurationFlag{Name: "vm-list-lag", Value: time.Second, Usage: "delay until a change appears in the VM list"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed that determines which chunks are corrupted"},
			&cli.StringSliceFlag{Name: "model", Usage: "model version at the origin as MODEL/VERSION=BYTES; may be repeated"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			p := platform.New(platform.Options{
				Log: platform.LogOptions{
					MaxRecords:       c.Int("keep-records"),
					MaxRecordAge:     c.Duration("keep-for"),
					AppendsPerSecond: c.Float("appends-per-second"),
				},
				OriginBytesPerSecond: c.Int64("origin-bytes-per-second"),
				VMListLag:            c.Duration("vm-list-lag"),
				Seed:                 c.Uint64("seed"),
			})
			for _, text := range c.StringSlice("model") {
				content, err := parseModel(text)
				if err != nil {
					return err
				}
				p.Origin.Add(content)
			}
			return serve(ctx, "platform", c.String("address"), p)
		},
	}
}

// parseModel parses a --model flag of the form MODEL/VERSION=BYTES.
func parseModel(text string) (platform.Content, error) {
	path, sizeText, _ := strings.Cut(text, "=")
	model, version, ok := strings.Cut(path, "/")
	size, err := strconv.ParseInt(sizeText, 10, 64)
	if !ok || err != nil || size <= 0 {
		return platform.Content{}, errors.Errorf("model %q does not have the form MODEL/VERSION=BYTES with a positive size", text)
	}
	return platform.NewContent(model, version, size)
}
