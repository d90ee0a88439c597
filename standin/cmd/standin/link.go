package main

import (
	"context"
	"net"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiarouter/fuchsiarouter/standin/link"
)

func linkCommand() *cli.Command {
	return &cli.Command{
		Name:  "link",
		Usage: "forward TCP connections over a simulated slow link that can be cut or stalled",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.StringFlag{Name: "control", Value: "127.0.0.1:0", Usage: "IP and port that serves POST /cut, /stall and /heal"},
			&cli.StringFlag{Name: "target", Required: true, Usage: "address to forward to"},
			&cli.Int64Flag{Name: "bytes-per-second", Usage: "rate in each direction; 0 is unlimited"},
			&cli.DurationFlag{Name: "delay", Usage: "delay in each direction"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			listener, err := net.Listen("tcp", c.String("address"))
			if err != nil {
				return errors.Wrap(err, "listen")
			}
			control, err := net.Listen("tcp", c.String("control"))
			if err != nil {
				return errors.Wrap(err, "listen for control")
			}
			l := link.New(link.Options{
				Target:         c.String("target"),
				BytesPerSecond: c.Int64("bytes-per-second"),
				Delay:          c.Duration("delay"),
			})
			line := startupLine{Name: "link", Address: listener.Addr().String(), Control: control.Addr().String()}
			if err := printStartupLine(line); err != nil {
				return err
			}
			go func() {
				<-ctx.Done()
				_ = listener.Close()
				l.SetState(link.Cut)
			}()
			// Serve returns once the listener is closed, so its error is of no interest.
			go func() { _ = l.Serve(ctx, listener) }()
			return serveListener(ctx, control, l.ControlHandler())
		},
	}
}
