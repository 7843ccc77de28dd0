package main

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version of this program",
		Action: func(_ context.Context, cmd *cli.Command) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return fmt.Errorf("the program has no build information; build it with go build")
			}
			revision := "unknown"
			for _, s := range info.Settings {
				if s.Key == "vcs.revision" {
					revision = s.Value
				}
			}
			_, err := fmt.Fprintf(cmd.Root().Writer, "wasabislip %s, revision %s, %s\n", version, revision, info.GoVersion)
			return err
		},
	}
}
