package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"wasabislip.example/wasabislip/internal/models/diff"
	"wasabislip.example/wasabislip/internal/models/parse"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

func planCommand() *cli.Command {
	return &cli.Command{
		Name:      "plan",
		Usage:     "show what a configuration file would change",
		ArgsUsage: "FILE",
		Flags:     hostFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			_, next, err := readSpec(cmd)
			if err != nil {
				return err
			}
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
			return printPlan(cmd.Root().Writer, newest.GetVersion(), newest.GetBody(), next)
		},
	}
}

// printPlan prints the changes from body, the file of that version, to next.
func printPlan(w io.Writer, version uint64, body []byte, next *spec.Spec) error {
	before := parse.Parse("newest", body).Spec
	changes := diff.Between(before, next)
	if _, err := fmt.Fprintf(w, "%d changes against version %d\n", len(changes), version); err != nil {
		return err
	}
	for _, c := range changes {
		if _, err := fmt.Fprintln(w, c); err != nil {
			return err
		}
	}
	return nil
}
