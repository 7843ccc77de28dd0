package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"wasabislip.example/wasabislip/internal/models/schema"
)

func schemaCommand() *cli.Command {
	return &cli.Command{
		Name:  "schema",
		Usage: "print the JSON Schema of the configuration file",
		Action: func(_ context.Context, cmd *cli.Command) error {
			text, err := schema.Generate()
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.Root().Writer, string(text))
			return err
		},
	}
}
