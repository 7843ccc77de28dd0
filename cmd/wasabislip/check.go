package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"wasabislip.example/wasabislip/internal/modules/conf"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a configuration file, also in the platform's form, or the settings file of an edge host",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "edge",
				Usage: "check this settings file of an edge host instead",
			},
			&cli.StringFlag{
				Name:  "configuration",
				Usage: "check this configuration in the platform's form instead",
			},
			&cli.StringFlag{
				Name:  "against",
				Usage: "with --configuration, show what differs from this configuration",
			},
			&cli.IntFlag{
				Name:  "hosts",
				Usage: "with --configuration, the number of hosts of the fleet",
			},
			&cli.StringFlag{
				Name:  "output",
				Usage: "with --configuration, the format: table or json",
				Value: "table",
			},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if name := cmd.String("edge"); name != "" {
				return checkEdge(cmd, name)
			}
			if name := cmd.String("configuration"); name != "" {
				return checkConfiguration(cmd, name)
			}
			for _, flag := range []string{"against", "hosts", "output"} {
				if cmd.IsSet(flag) {
					return fmt.Errorf("--%s needs a configuration; name it with --configuration", flag)
				}
			}
			_, s, err := readSpec(cmd)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(
				cmd.Root().Writer,
				"good: %d data centres, %d databases, %d workspaces, %d routes\n",
				len(s.DataCentres), len(s.Databases), len(s.Workspaces), len(s.Routes),
			)
			return err
		},
	}
}

func checkEdge(cmd *cli.Command, name string) error {
	s, err := conf.Load(name)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "good: host %s in %s\n", s.Host, s.DataCentre)
	return err
}
