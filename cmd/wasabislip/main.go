// Command wasabislip is a database proxy with session consistency. It runs a
// host of the proxy and has the operators' commands.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// version is the product's version.
const version = "0.1.0"

func main() {
	err := newApp().Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "wasabislip:", err)
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		os.Exit(exit.ExitCode())
	}
	os.Exit(exitFailed)
}

func newApp() *cli.Command {
	return &cli.Command{
		Name:                  "wasabislip",
		Usage:                 "database proxy with session consistency",
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(),
			edgeCommand(),
			demoCommand(),
			checkCommand(),
			planCommand(),
			applyCommand(),
			showCommand(),
			statusCommand(),
			drainCommand(),
			restoreCommand(),
			keyCommand(),
			schemaCommand(),
			versionCommand(),
		},
	}
}
