package main

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/demo/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run three hosts, in-memory instances and a small load in this process, and inject faults",
		Flags: []cli.Flag{
			&cli.DurationFlag{
				Name:  "for",
				Usage: "how long the load lasts; 0 means until interrupted",
			},
			&cli.BoolFlag{
				Name:  "log",
				Usage: "write the hosts' logs to standard error",
			},
		},
		Action: runDemo,
	}
}

// runDemo runs the demonstration. It fails if an acknowledged write was lost or
// applied twice.
func runDemo(ctx context.Context, cmd *cli.Command) error {
	if !cmd.Bool("log") {
		klog.LogToStderr(false)
		klog.SetOutput(io.Discard)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d := &demo.Demo{
		Out:      cmd.Root().Writer,
		Duration: cmd.Duration("for"),
	}
	return d.Run(ctx)
}
