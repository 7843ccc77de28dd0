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
	return drainStateCommand("drain", "take a place out of service", true)
}

func restoreCommand() *cli.Command {
	return drainStateCommand("restore", "bring a place back into service", false)
}

func drainStateCommand(name, usage string, drained bool) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: "data-centre|host|instance NAME",
		Flags: hostFlags(
			&cli.StringFlag{
				Name:  "operator",
				Usage: "who applies",
				Value: operatorName(),
			},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			p := edit.Target{
				Kind: cmd.Args().Get(0),
				Name: cmd.Args().Get(1),
			}
			return setDrained(ctx, cmd, p, drained)
		},
	}
}

// setPlace edits the newest file and applies it, again when another operator
// came first.
func setDrained(ctx context.Context, cmd *cli.Command, p edit.Target, drained bool) error {
	c, err := dial(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	for {
		now, err := fetchNewest(ctx, c)
		if err != nil {
			return err
		}
		body, err := p.SetDrained(now.GetBody(), drained)
		if err != nil {
			return cli.Exit(err.Error(), exitBadFile)
		}
		if bytes.Equal(body, now.GetBody()) {
			_, err = fmt.Fprintf(cmd.Root().Writer, "nothing to change in version %d\n", now.GetVersion())
			return err
		}
		version, err := apply(ctx, c, &wasabislipv1.ApplyRequest{
			Body:     body,
			Base:     now.GetVersion(),
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
