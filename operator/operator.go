// Package operator implements the commands of the operators' client.
//
// Operators publish the configuration, which consists of sections such as models and
// owners, as signed edits in the platform's log. An edit replaces a whole section. It is
// accepted if its signer owns the section, if it is based on the current revision and if
// the configuration stays valid; it then creates the next revision. Entries read the log
// and pass the configuration on to the other VMs. An edit is in force on a VM as soon as
// the VM has applied it.
//
// A command writes its results to standard output, as a table or, with --json, as
// JSON values; progress and warnings go to standard error. A command runs in a
// session, which holds the connections to the log and the entries and the accepted
// configuration. The session computes that configuration from the records of the log
// by the same rules as the daemons.
package operator

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiarouter/fuchsiarouter"
	"github.com/fuchsiarouter/fuchsiarouter/platform"
)

// Client creates the commands, and holds their outputs and dependencies.
type Client struct {
	// Out receives results, Err progress and warnings.
	Out io.Writer
	Err io.Writer
	// NewLog and NewVMList return clients of the log and of the VM list of the platform
	// at an address.
	NewLog    func(address string) fuchsiarouter.Log
	NewVMList func(address string) fuchsiarouter.VMList
	// PollInterval is the pause before a command that waits for a condition, or watches
	// the status, requests the status or reads the log again.
	PollInterval time.Duration
}

// requestTimeout bounds one request to the platform's log or VM list, also if the flag
// --timeout allows more time for the whole command.
const requestTimeout = 5 * time.Second

// New returns the root command of a client that reaches the platform over the network. It
// writes its results to out, and progress and warnings to standard error.
func New(out io.Writer) *cli.Command {
	client := &Client{
		Out:          out,
		Err:          os.Stderr,
		NewLog:       func(address string) fuchsiarouter.Log { return platform.NewLog(address, requestTimeout) },
		NewVMList:    func(address string) fuchsiarouter.VMList { return platform.NewVMList(address, requestTimeout) },
		PollInterval: 200 * time.Millisecond,
	}
	return client.Command()
}

// Command returns the root command with all subcommands. An error that the returned
// command's Run returns determines the exit code, see ExitCode.
func (o *Client) Command() *cli.Command {
	root := &cli.Command{
		Name:                  "fuchsiarouter",
		Usage:                 "publish the configuration and observe the VMs",
		Description:           exitCodesHelp,
		EnableShellCompletion: true,
		Writer:                o.Out,
		ErrWriter:             o.Err,
		// Leave the exit to the caller of Run, so that tests can run commands.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "`ADDRESS` of the platform's log and VM list", Sources: cli.EnvVars("FUCHSIAROUTER_PLATFORM")},
			&cli.StringSliceFlag{Name: "entry", Usage: "control `ADDRESS` of an entry; if omitted, the entries in the VM list are used", Sources: cli.EnvVars("FUCHSIAROUTER_ENTRY")},
			&cli.StringSliceFlag{Name: "bootstrap-key", Usage: "public `KEY` that may sign the first revision of the owners section, in hex", Sources: cli.EnvVars("FUCHSIAROUTER_BOOTSTRAP_KEY")},
			&cli.StringFlag{Name: "tls-certificate", Usage: "PEM `FILE` with the certificate presented to entries", Sources: cli.EnvVars("FUCHSIAROUTER_TLS_CERTIFICATE")},
			&cli.StringFlag{Name: "tls-key", Usage: "PEM `FILE` with the private key of the certificate", Sources: cli.EnvVars("FUCHSIAROUTER_TLS_KEY")},
			&cli.StringFlag{Name: "tls-authorities", Usage: "PEM `FILE` with the authorities that sign the certificates of entries", Sources: cli.EnvVars("FUCHSIAROUTER_TLS_AUTHORITIES")},
			&cli.BoolFlag{Name: "json", Usage: "print results as JSON"},
			&cli.DurationFlag{Name: "timeout", Usage: "maximum `TIME` of a command other than watch", Value: 30 * time.Second},
		},
		Commands: []*cli.Command{
			o.validateCommand(), o.diffCommand(), o.publishCommand(), o.statusCommand(), o.historyCommand(), o.watchCommand(), o.drainCommand(),
			o.explainCommand(), o.keygenCommand(),
		},
	}
	for _, command := range append(root.Commands, root) {
		command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return withExitCode(ExitInvalid, err)
		}
	}
	return root
}
