// Command fuchsiarouter is the operators' client, which publishes the configuration and
// shows the state of the entry and backend server VMs. Its commands are in package
// operator.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/fuchsiarouter/fuchsiarouter/operator"
)

func main() {
	if err := operator.New(os.Stdout).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fuchsiarouter:", err)
		os.Exit(operator.ExitCode(err))
	}
}
