// Command soak runs hosts as processes under random faults and checks what
// callers see. Each seed gives one sequence of faults. See docs/SOAK.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"wasabislip.example/wasabislip/internal/soak"
)

func main() {
	if err := runCommand(); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func runCommand() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return command().Run(ctx, os.Args)
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run hosts as processes, inject faults and check what callers see",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "binary",
				Value: "bin/wasabislip",
				Usage: "path of the wasabislip program",
			},
			&cli.IntFlag{
				Name:  "hosts",
				Value: 6,
				Usage: "number of hosts",
			},
			&cli.IntFlag{
				Name:  "callers",
				Value: 4,
				Usage: "sessions per host",
			},
			&cli.DurationFlag{
				Name:  "for",
				Value: 15 * time.Second,
				Usage: "how long faults are injected",
			},
			&cli.Uint64Flag{
				Name:  "seed",
				Value: 1,
				Usage: "first seed",
			},
			&cli.BoolFlag{
				Name:  "keep",
				Usage: "keep the settings and logs of each run",
			},
			&cli.IntFlag{
				Name:  "seeds",
				Value: 1,
				Usage: "number of seeds to run, one after the other",
			},
		},
		Action: runSeeds,
	}
}

// runSeeds runs all seeds and returns the errors of those that failed.
func runSeeds(ctx context.Context, cmd *cli.Command) error {
	var failed []error
	for i := range cmd.Int("seeds") {
		dir, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return err
		}
		s := &soak.Soak{
			Binary:         cmd.String("binary"),
			Hosts:          cmd.Int("hosts"),
			CallersPerHost: cmd.Int("callers"),
			FaultDuration:  cmd.Duration("for"),
			Seed:           cmd.Uint64("seed") + uint64(i),
			Dir:            dir,
			KeepDir:        cmd.Bool("keep"),
			Out:            os.Stdout,
		}
		if err := s.Run(ctx); err != nil {
			failed = append(failed, err)
		}
	}
	return errors.Join(failed...)
}
