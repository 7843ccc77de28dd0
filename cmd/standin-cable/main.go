// Command standin-cable relays TCP connections to one address, for tests. It
// can cut the connections, delay them, and restore them, on HTTP requests.
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

	"wasabislip.example/wasabislip/internal/standin/netem"
)

const readHeaderTimeout = 10 * time.Second

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin-cable:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin-cable",
		Usage: "run a TCP relay that can cut and delay connections, for tests",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "address",
				Value: "127.0.0.1:0",
				Usage: "ip:port to listen on",
			},
			&cli.StringFlag{
				Name:     "target",
				Required: true,
				Usage:    "ip:port to relay to",
			},
			&cli.StringFlag{
				Name:  "control",
				Value: "127.0.0.1:0",
				Usage: "ip:port of the HTTP control interface",
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
	control, err := net.Listen("tcp", cmd.String("control"))
	if err != nil {
		return errors.Join(err, l.Close())
	}
	relay := netem.New(cmd.String("target"))
	server := &http.Server{
		Handler:           relay,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(control) })
	wg.Go(func() {
		<-ctx.Done()
		relay.Close()
		_ = server.Close()
	})
	fmt.Println("ready", l.Addr(), "control", control.Addr())
	err = relay.Serve(l)
	stop()
	wg.Wait()
	return err
}
