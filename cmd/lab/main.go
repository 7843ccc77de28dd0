// Command lab compares policies, which are sets of tuning parameters, in
// the simulated environment of package simenv, under the same loads and faults. See docs/LAB.md.
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
	"wasabislip.example/wasabislip/internal/lab/result"
	"wasabislip.example/wasabislip/internal/lab/trial"
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
		Usage: "compare tuning policies under the same load and faults",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "experiment",
				Usage:    "file that describes the experiment",
				Required: true,
			},
			&cli.StringFlag{
				Name:  "plots",
				Usage: "directory for plots; no plots when left out",
			},
		},
		Action: compare,
	}
}

// compare runs every load with every policy and prints a table of the results.
func compare(ctx context.Context, cmd *cli.Command) error {
	d, err := design.Load(cmd.String("experiment"))
	if err != nil {
		return err
	}
	klog.SetOutput(io.Discard) // the hosts' logs are not needed
	klog.LogToStderr(false)
	r := &result.Result{
		Name: d.Name,
	}
	for _, load := range d.Loads {
		for _, policy := range d.Policies {
			trial := &trial.Trial{
				Hosts:      d.Hosts,
				Duration:   d.Duration,
				Seed:       d.Seed,
				Priorities: d.Priorities,
				Tuning:     policy.Tuning,
				Load:       load,
				Faults:     d.Faults,
			}
			r.Add(load.Name, policy.Name, trial.Run(ctx))
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
	if dir := cmd.String("plots"); dir != "" {
		if err := r.WritePlots(dir); err != nil {
			return err
		}
	}
	return r.WriteTable(os.Stdout)
}
