package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"wasabislip.example/wasabislip/internal/modules/setup"
	"wasabislip.example/wasabislip/internal/routers/serve"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one host that speaks the PostgreSQL protocol",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "settings",
				Usage:    "path of the host's settings file",
				Required: true,
			},
		},
		Action: runServe,
	}
}

// runServe runs the host until SIGTERM or SIGINT, and then lets running requests
// finish before it stops. It prints "ready" once the host accepts callers.
func runServe(ctx context.Context, cmd *cli.Command) error {
	settings, err := setup.Load(cmd.String("settings"))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	host := &serve.Host{
		Settings: settings,
		Version:  version,
		OnReady: func() {
			fmt.Println("ready", settings.CallerAddress)
		},
	}
	return host.Run(ctx)
}
