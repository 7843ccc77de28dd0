package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"fmt"

	"github.com/urfave/cli/v3"

	"wasabislip.example/wasabislip/pkg/model/keys"
)

const (
	saltBytes   = 16
	secretBytes = 32
)

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:      "key",
		Usage:     "make a workspace's key; print its entry for the configuration file, and the key itself, which is not stored",
		ArgsUsage: "ID",
		Action: func(_ context.Context, cmd *cli.Command) error {
			id := cmd.Args().First()
			if id == "" {
				return fmt.Errorf("no id given; name the key, for example salons-2")
			}
			salt := make([]byte, saltBytes)
			random := make([]byte, secretBytes)
			_, _ = rand.Read(salt)
			_, _ = rand.Read(random)
			secret := base64.RawURLEncoding.EncodeToString(random)
			saltHex := hex.EncodeToString(salt)
			_, err := fmt.Fprintf(
				cmd.Root().Writer,
				"# for the workspace's keys:\n- id: %s\n  salt: \"%s\"\n  hash: \"%s\"\n# the key, for the caller only; it is not stored:\n# %s\n",
				id, saltHex, keys.Sum(saltHex, secret), secret,
			)
			return err
		},
	}
}
