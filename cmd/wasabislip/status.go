package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the hosts, databases, instances and workspaces",
		Flags: hostFlags(
			&cli.StringFlag{
				Name:  "output",
				Usage: "format: table or json",
				Value: "table",
			},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := dial(cmd)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
			defer cancel()
			resp, err := c.Status(ctx, connect.NewRequest(&wasabislipv1.StatusRequest{}))
			if err != nil {
				return err
			}
			switch cmd.String("output") {
			case "json":
				_, err = fmt.Fprintln(cmd.Root().Writer, protojson.Format(resp.Msg))
				return err
			case "table":
				return printStatus(cmd.Root().Writer, resp.Msg)
			default:
				return fmt.Errorf("output format %q is unknown; use table or json", cmd.String("output"))
			}
		},
	}
}

// printStatus prints a table each of the hosts, databases, instances and
// workspaces.
func printStatus(out io.Writer, s *wasabislipv1.StatusResponse) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(cells ...any) {
		for _, cell := range cells {
			_, _ = fmt.Fprintf(w, "%v\t", cell)
		}
		_, _ = fmt.Fprintln(w)
	}
	row("HOST", "DATA CENTRE", "STATE", "VERSION", "ADDRESS")
	for _, h := range s.GetHosts() {
		row(h.GetHost(), h.GetDataCentre(), h.GetState(), h.GetConfigVersion(), h.GetAddress())
	}
	row()
	// STEWARD is the host that is the database's coordinator.
	row("DATABASE", "TERM", "PRIMARY", "STEWARD")
	for _, d := range s.GetDatabases() {
		row(d.GetDatabase(), d.GetTerm(), d.GetPrimary(), d.GetSteward())
	}
	row()
	row("INSTANCE", "DATABASE", "DATA CENTRE", "ROLE", "RECEIVED", "APPLIED", "LAG", "CONNECTIONS", "STATE")
	for _, d := range s.GetDatabases() {
		for _, in := range d.GetInstances() {
			row(in.GetInstance(), d.GetDatabase(), in.GetDataCentre(), in.GetRole(), position(in.GetReceived()), position(in.GetApplied()), time.Duration(in.GetLagMs())*time.Millisecond, in.GetConnections(), in.GetState())
		}
	}
	row()
	// HOME is the host that owns the token bucket of the workspace's rate.
	row("WORKSPACE", "RATE", "BURST", "USED", "HOME")
	for _, ws := range s.GetWorkspaces() {
		row(ws.GetWorkspace(), ws.GetRate(), ws.GetBurst(), fmt.Sprintf("%.1f", ws.GetUsed()), ws.GetHome())
	}
	return w.Flush()
}

// position formats a position in the log.
func position(p *wasabislipv1.Position) string {
	return fmt.Sprintf("%d/%d", p.GetTerm(), p.GetOffset())
}
