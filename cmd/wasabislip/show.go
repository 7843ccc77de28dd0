package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func showCommand() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "print the newest accepted configuration file",
		Flags: hostFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := dial(cmd)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
			defer cancel()
			newest, err := fetchNewest(ctx, c)
			if err != nil {
				return err
			}
			if newest.GetVersion() == 0 {
				return fmt.Errorf("no configuration has been applied yet; apply one")
			}
			if _, err := fmt.Fprintf(cmd.Root().ErrWriter, "version %d by %s\n", newest.GetVersion(), newest.GetOperator()); err != nil {
				return err
			}
			_, err = cmd.Root().Writer.Write(newest.GetBody())
			return err
		},
	}
}
