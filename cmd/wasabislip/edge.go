package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/tuning"
	"wasabislip.example/wasabislip/internal/modules/inet"
	"wasabislip.example/wasabislip/internal/modules/jlog"
	"wasabislip.example/wasabislip/internal/modules/local"
	"wasabislip.example/wasabislip/internal/routers/edge"
	"wasabislip.example/wasabislip/platform/boot"
	"wasabislip.example/wasabislip/platform/decode"
	"wasabislip.example/wasabislip/platform/lines"
	"wasabislip.example/wasabislip/platform/order"
	"wasabislip.example/wasabislip/platform/rows"
)

func edgeCommand() *cli.Command {
	return &cli.Command{
		Name:  "edge",
		Usage: "run one host on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "settings",
				Usage:    "the host's settings file",
				Sources:  cli.EnvVars(boot.PathVariable),
				Required: true,
			},
		},
		Action: runEdge,
	}
}

// runEdge runs the host until SIGTERM or SIGINT, and then stops it without
// cutting a request.
func runEdge(ctx context.Context, cmd *cli.Command) error {
	name := cmd.String("settings")
	settings, err := local.Load(name)
	if err != nil {
		return err
	}
	log := jlog.New(os.Stdout)
	defer log.Close()
	log.Install()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reloadOnHangup(name, settings)
	machine := inet.New()
	h := &edge.Host{
		Settings:      settings,
		Store:         rows.New(settings.StoreAddress, machine.Dial),
		Decoder:       decode.Decoder{},
		OperatorTable: decode.OperatorTable,
		ServerTable:   decode.ServerTable,
		Orders:        order.New(settings.OrderAddress, machine.Dial),
		Instances:     lines.Dialer(machine.Dial),
		Network:       machine,
		Tuning:        tuning.Default(),
		Wire:          lines.Caller,
		Dropped:       log.Dropped,
	}
	return h.Run(ctx)
}

// reload reads the settings again at each SIGHUP, until the process ends: a
// SIGHUP that nobody takes would kill a host in the middle of its stop. What a
// running host uses of the settings stays the same for its life, so that only
// a difference is told.
func reloadOnHangup(name string, current *local.Settings) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	for range hup {
		next, err := local.Load(name)
		if err != nil {
			klog.ErrorS(err, "the settings can't be reloaded; those of the start stay in force")
			continue
		}
		klog.InfoS("settings reloaded", "changed", *next != *current, "note", "a change takes effect at the next start")
	}
}
