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
				Usage: "version that the file was planned against; the newest version when left out",
			},
			&cli.StringFlag{
				Name:  "request-id",
				Usage: "id of an earlier apply whose outcome is unknown, to retry it",
			},
			&cli.StringFlag{
				Name:  "operator",
				Usage: "name to record as the author of the change",
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
			newest, err := fetchNewest(ctx, c)
			if err != nil {
				return err
			}
			if base == 0 {
				base = newest.GetVersion()
			}
			if err := printPlan(cmd.Root().Writer, newest.GetVersion(), newest.GetBody(), next); err != nil {
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

// apply sends the change until it is accepted or refused, and returns its
// version. All attempts have the same request id, so that the change takes
// effect at most once.
func apply(ctx context.Context, c wasabislipv1connect.AdminServiceClient, r *wasabislipv1.ApplyRequest) (uint64, error) {
	if r.RequestId == "" {
		r.RequestId = uuid.NewString()
	}
	var resp *wasabislipv1.ApplyResponse
	err := retry(ctx, func(ctx context.Context) error {
		attempt, err := c.Apply(ctx, connect.NewRequest(r))
		if err == nil {
			resp = attempt.Msg
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

// waitInForce waits until version, or a later one, is in force on every host
// that is not dead, and prints the progress.
func waitInForce(ctx context.Context, w io.Writer, c wasabislipv1connect.AdminServiceClient, version uint64) error {
	printed := ""
	for {
		waiting, total, err := hostsBehind(ctx, c, version)
		line := fmt.Sprintf("version %d in force on %d of %d hosts", version, total-len(waiting), total)
		if err == nil && line != printed {
			printed = line
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

// hostsBehind returns the hosts that have not confirmed version, and how many
// hosts there are in all. Dead hosts don't count.
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
