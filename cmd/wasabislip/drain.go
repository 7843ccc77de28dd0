package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/edit"
)

func drainCommand() *cli.Command {
	return drainStateCommand("drain", "take a data centre, host or instance out of service", true)
}

func restoreCommand() *cli.Command {
	return drainStateCommand("restore", "bring a data centre, host or instance back into service", false)
}

// drainStateCommand returns the command that marks a data centre, host or
// instance as drained, or as not drained.
func drainStateCommand(name, usage string, drained bool) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: "data-centre|host|instance NAME",
		Flags: hostFlags(
			&cli.StringFlag{
				Name:  "operator",
				Usage: "name to record as the author of the change",
				Value: operatorName(),
			},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			target := edit.Target{
				Kind: cmd.Args().Get(0),
				Name: cmd.Args().Get(1),
			}
			return setDrained(ctx, cmd, target, drained)
		},
	}
}

// setDrained edits the newest configuration file and applies it. When another
// operator's change is accepted first, it starts again from that version.
func setDrained(ctx context.Context, cmd *cli.Command, target edit.Target, drained bool) error {
	c, err := dial(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	for {
		newest, err := fetchNewest(ctx, c)
		if err != nil {
			return err
		}
		body, err := target.SetDrained(newest.GetBody(), drained)
		if err != nil {
			return cli.Exit(err.Error(), exitBadFile)
		}
		if bytes.Equal(body, newest.GetBody()) {
			_, err = fmt.Fprintf(cmd.Root().Writer, "nothing to change in version %d\n", newest.GetVersion())
			return err
		}
		version, err := apply(ctx, c, &wasabislipv1.ApplyRequest{
			Body:     body,
			Base:     newest.GetVersion(),
			Operator: cmd.String("operator"),
		})
		var exit cli.ExitCoder
		if errors.As(err, &exit) && exit.ExitCode() == exitConflict && ctx.Err() == nil {
			time.Sleep(pollInterval)
			continue
		}
		if err != nil {
			return err
		}
		return waitInForce(ctx, cmd.Root().Writer, c, version)
	}
}
