// Command slopes measures, on one machine, how the cost of each role of a host
// grows with the load or the size of the cluster, and prints the figures of
// docs/CAPACITY.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

// measure is a named group of measurements.
type measure struct {
	name string
	run  func(ctx context.Context, program string) error
}

func measures() []measure {
	return []measure{
		{
			name: "configuration",
			run:  configuration,
		},
		{
			name: "placement",
			run:  placement,
		},
		{
			name: "connections",
			run:  connections,
		},
		{
			name: "statements",
			run:  statements,
		},
		{
			name: "control",
			run:  control,
		},
		{
			name: "death",
			run:  death,
		},
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:      "slopes",
		Usage:     "measure how the cost of each role of a host grows with the size of the cluster",
		ArgsUsage: "[MEASURE...]",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "program",
				Value: "bin/wasabislip",
				Usage: "path of the wasabislip program",
			},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			for _, m := range measures() {
				if cmd.Args().Present() && !slices.Contains(cmd.Args().Slice(), m.name) {
					continue
				}
				begin := time.Now()
				if err := m.run(ctx, cmd.String("program")); err != nil {
					return fmt.Errorf("%s: %w", m.name, err)
				}
				fmt.Printf("%s: took %s\n", m.name, time.Since(begin).Round(time.Second))
			}
			return nil
		},
	}
}

// perSecond returns the mean of n per second over d.
func perSecond(n int64, d time.Duration) float64 {
	return float64(n) / d.Seconds()
}

// wait sleeps for d unless ctx ends first.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
