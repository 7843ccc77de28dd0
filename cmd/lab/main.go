// Command lab compares policies on the project's emulator; see docs/LAB.md.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/lab/design"
	"wasabislip.example/wasabislip/internal/lab/play"
	"wasabislip.example/wasabislip/internal/lab/result"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return command().Run(ctx, os.Args)
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "lab",
		Usage: "compare policies under a load and faults",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "experiment",
				Usage:    "the experiment's file",
				Required: true,
			},
			&cli.StringFlag{
				Name:  "plots",
				Usage: "a directory for plots; none without it",
			},
		},
		Action: compare,
	}
}

func compare(ctx context.Context, cmd *cli.Command) error {
	d, err := design.Load(cmd.String("experiment"))
	if err != nil {
		return err
	}
	klog.SetOutput(io.Discard) // what the hosts log is of no use here
	klog.LogToStderr(false)
	r := &result.Result{
		Name: d.Name,
	}
	for _, l := range d.Loads {
		for _, p := range d.Policies {
			one := &play.Play{
				Hosts:      d.Hosts,
				Length:     d.Length,
				Seed:       d.Seed,
				Priorities: d.Priorities,
				Tuning:     p.Tuning,
				Load:       l,
				Faults:     d.Faults,
			}
			r.Add(l.Name, p.Name, one.Run(ctx))
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
	if dir := cmd.String("plots"); dir != "" {
		if err := r.Plots(dir); err != nil {
			return err
		}
	}
	return r.Table(os.Stdout)
}
