package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/tuning"
	"wasabislip.example/wasabislip/internal/modules/conf"
	"wasabislip.example/wasabislip/internal/modules/inet"
	"wasabislip.example/wasabislip/internal/modules/jlog"
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
		Usage: "run one host on the platform, which speaks the line protocol",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "settings",
				Usage:    "path of the host's settings file",
				Sources:  cli.EnvVars(boot.SettingsPathVariable),
				Required: true,
			},
		},
		Action: runEdge,
	}
}

// runEdge runs the host until SIGTERM or SIGINT, and then lets running requests
// finish before it stops.
func runEdge(ctx context.Context, cmd *cli.Command) error {
	// The signals stay handled until the process ends: one that comes while the
	// settings are read or the last log lines are written must not kill it.
	ctx, _ = signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	path := cmd.String("settings")
	settings, err := conf.Load(path)
	if err != nil {
		return err
	}
	log := jlog.New(os.Stdout)
	defer log.Close()
	log.Install()
	go reloadOnHangup(path, settings)
	network := inet.New()
	h := &edge.Host{
		Settings:        settings,
		Store:           rows.New(settings.StoreAddress, network.Dial),
		Decoder:         decode.Decoder{},
		OperatorTable:   decode.OperatorTable,
		ServerTable:     decode.ServerTable,
		Promoter:        order.New(settings.OrderAddress, network.Dial),
		InstanceDialer:  lines.NewDialer(network.Dial),
		Network:         network,
		Tuning:          tuning.Default(),
		NewConn:         lines.NewCallerConn,
		DroppedLogLines: log.Dropped,
	}
	return h.Run(ctx)
}

// reloadOnHangup reads the settings again at each SIGHUP and logs whether they
// changed. Changes take effect only at the next start. It handles the signal
// until the process ends, since an unhandled SIGHUP would kill a host while it
// stops.
func reloadOnHangup(path string, current *conf.Settings) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for range signals {
		next, err := conf.Load(path)
		if err != nil {
			klog.ErrorS(err, "cannot reload the settings; those read at the start stay in force")
			continue
		}
		klog.InfoS("settings reloaded", "changed", *next != *current, "note", "a change takes effect at the next start")
	}
}
