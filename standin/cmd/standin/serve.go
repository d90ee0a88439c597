package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// shutdownTimeout is how long requests in progress may continue after SIGINT or SIGTERM.
const shutdownTimeout = 5 * time.Second

// startupLine is the JSON line that a stand-in process prints to the standard output once it
// listens. The process that started the stand-in reads the addresses from this line.
type startupLine struct {
	// Name is the name of the subcommand.
	Name string `json:"name"`
	// Address is the IP and port on which the process listens.
	Address string `json:"address"`
	// Control is the IP and port on which a link is controlled; empty for all others.
	Control string `json:"control,omitempty"`
	PID     int    `json:"pid"`
}

func addressFlag() cli.Flag {
	return &cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "IP and port to listen on; port 0 takes a free one"}
}

func journalFlag() cli.Flag {
	return &cli.StringFlag{Name: "journal", Usage: "file that gets one JSON line for each start and end of a run"}
}

// openJournal opens the journal file for appending and creates it if necessary. For an empty
// path, it returns nil, with which no journal is written.
func openJournal(path string) (io.Writer, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "journal")
	}
	return file, nil
}

// serve listens on the address, prints the startup line with the name, and serves HTTP requests
// until the context ends.
func serve(ctx context.Context, name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if err := printStartupLine(startupLine{Name: name, Address: listener.Addr().String()}); err != nil {
		return err
	}
	return serveListener(ctx, listener, handler)
}

// printStartupLine sets the PID of the line to that of this process and prints the line.
func printStartupLine(line startupLine) error {
	line.PID = os.Getpid()
	return json.NewEncoder(os.Stdout).Encode(line)
}

// serveListener serves HTTP requests until the context ends. It then waits up to
// shutdownTimeout for the requests in progress and closes the remaining connections.
func serveListener(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		err := server.Shutdown(shutdownCtx)
		if errors.Is(err, context.DeadlineExceeded) {
			// Closes connections with long polls and endless streams.
			err = server.Close()
		}
		done <- err
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return <-done
}
