package operator

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// keygenCommand returns the command that generates an Ed25519 key pair, with which a team
// signs its edits.
func (o *Client) keygenCommand() *cli.Command {
	return &cli.Command{
		Name:      "keygen",
		Usage:     "write a new private key to FILE and print its public key",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			path := c.Args().First()
			if path == "" {
				return exitErrorf(ExitInvalid, "keygen requires the name of the file to write")
			}
			public, private, err := ed25519.GenerateKey(nil)
			if err != nil {
				return errors.Wrap(err, "generate key")
			}
			// O_EXCL prevents overwriting an existing private key: nothing could be
			// signed with the lost key again.
			file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
			if err != nil {
				return withExitCode(ExitInvalid, err)
			}
			_, err = fmt.Fprintln(file, hex.EncodeToString(private.Seed()))
			if err := errors.Join(err, file.Close()); err != nil {
				return errors.Wrap(err, "write key")
			}
			text := hex.EncodeToString(public)
			if c.Bool("json") {
				return printJSON(o.Out, struct {
					PublicKey string `json:"public-key"`
				}{text})
			}
			if _, err := fmt.Fprintln(o.Out, text); err != nil {
				return errors.Wrap(err, "write result")
			}
			return nil
		},
	}
}

// readPrivateKey reads a private key from a file that the keygen command wrote.
func readPrivateKey(path string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, withExitCode(ExitInvalid, err)
	}
	seed, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, exitErrorf(ExitInvalid, "%s does not contain a private key of %d hex digits", path, 2*ed25519.SeedSize)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
