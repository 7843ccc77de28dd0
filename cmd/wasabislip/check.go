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
		Usage:     "check a configuration file, or the settings file of an edge host",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "edge",
				Usage: "check this settings file of an edge host instead",
			},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if name := cmd.String("edge"); name != "" {
				return checkEdge(cmd, name)
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
