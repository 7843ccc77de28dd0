package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
	"wasabislip.example/wasabislip/pkg/model/host"
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "apply a configuration file as a whole and wait until it is in force on every host",
		ArgsUsage: "FILE",
		Flags: hostFlags(
			&cli.Uint64Flag{
				Name:  "base",
				Usage: "version that the file was planned against; the newest when left out",
			},
			&cli.StringFlag{
				Name:  "request-id",
				Usage: "id of an earlier apply whose outcome is unknown",
			},
			&cli.StringFlag{
				Name:  "operator",
				Usage: "who applies",
				Value: operatorName(),
			},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			body, next, err := readSpec(cmd)
			if err != nil {
				return err
			}
			c, err := dial(cmd)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
			defer cancel()
			base := cmd.Uint64("base")
			now, err := fetchNewest(ctx, c)
			if err != nil {
				return err
			}
			if base == 0 {
				base = now.GetVersion()
			}
			if err := printPlan(cmd.Root().Writer, now.GetVersion(), now.GetBody(), next); err != nil {
				return err
			}
			version, err := apply(ctx, c, &wasabislipv1.ApplyRequest{
				Body:      body,
				Base:      base,
				RequestId: cmd.String("request-id"),
				Operator:  cmd.String("operator"),
			})
			if err != nil {
				return err
			}
			return waitInForce(ctx, cmd.Root().Writer, c, version)
		},
	}
}

// apply sends the change until it is accepted or refused, under one request
// id, and returns the version it became.
func apply(ctx context.Context, c wasabislipv1connect.AdminServiceClient, r *wasabislipv1.ApplyRequest) (uint64, error) {
	if r.RequestId == "" {
		r.RequestId = uuid.NewString()
	}
	var resp *wasabislipv1.ApplyResponse
	err := retry(ctx, func(ctx context.Context) error {
		answer, err := c.Apply(ctx, connect.NewRequest(r))
		if err == nil {
			resp = answer.Msg
		}
		return err
	})
	switch {
	case err != nil:
		return 0, cli.Exit(fmt.Sprintf("outcome unknown: %v; apply again with --request-id %s", err, r.RequestId), exitFailed)
	case len(resp.GetProblems()) > 0:
		return 0, cli.Exit(strings.Join(resp.GetProblems(), "\n"), exitBadFile)
	case resp.GetConflict() != "":
		return 0, cli.Exit("conflict: "+resp.GetConflict(), exitConflict)
	}
	return resp.GetVersion(), nil
}

// waitInForce waits until every host that answers has version, or a later one,
// in force.
func waitInForce(ctx context.Context, w io.Writer, c wasabislipv1connect.AdminServiceClient, version uint64) error {
	last := ""
	for {
		waiting, total, err := hostsBehind(ctx, c, version)
		line := fmt.Sprintf("version %d in force on %d of %d hosts", version, total-len(waiting), total)
		if err == nil && line != last {
			last = line
			if _, err := fmt.Fprintln(w, line); err != nil {
				return err
			}
		}
		if err == nil && total > 0 && len(waiting) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return cli.Exit(fmt.Sprintf("version %d is accepted and not confirmed by: %s; see status", version, strings.Join(waiting, ", ")), exitTimeout)
		case <-time.After(pollInterval):
		}
	}
}

// behind returns the answering hosts that have not confirmed version, and how
// many answer in all.
func hostsBehind(ctx context.Context, c wasabislipv1connect.AdminServiceClient, version uint64) ([]string, int, error) {
	var waiting []string
	total := 0
	err := withCallTimeout(ctx, func(ctx context.Context) error {
		resp, err := c.Status(ctx, connect.NewRequest(&wasabislipv1.StatusRequest{}))
		if err != nil {
			return err
		}
		for _, h := range resp.Msg.GetHosts() {
			if h.GetState() == host.Dead {
				continue
			}
			total++
			if h.GetConfigVersion() < version {
				waiting = append(waiting, h.GetHost())
			}
		}
		return nil
	})
	return waiting, total, err
}
