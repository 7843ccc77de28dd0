// Command standin-platform runs an in-memory stand-in for the platform's table
// service and object store, for tests. Its data is lost when it stops.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	"wasabislip.example/wasabislip/internal/standin/cloud"
)

const readHeaderTimeout = 10 * time.Second

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin-platform:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin-platform",
		Usage: "run an in-memory substitute for the platform's table service and object store, for tests",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "address",
				Value: "127.0.0.1:0",
				Usage: "ip:port to listen on",
			},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := net.Listen("tcp", cmd.String("address"))
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           cloud.New(),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	var wg conc.WaitGroup
	wg.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	fmt.Println("ready", l.Addr())
	err = server.Serve(l)
	stop()
	wg.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
