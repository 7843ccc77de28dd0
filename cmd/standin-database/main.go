// Command standin-database runs one in-memory database instance that speaks the
// PostgreSQL protocol, for tests. Its data is lost when it stops.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	"wasabislip.example/wasabislip/internal/standin/dbase"
	"wasabislip.example/wasabislip/internal/standin/dbcfg"
)

const defaultConnectDelay = 10 * time.Millisecond

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin-database:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin-database",
		Usage: "run an in-memory database instance, for tests",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "name",
				Value: "instance",
				Usage: "the instance's name in logs",
			},
			&cli.StringFlag{
				Name:  "address",
				Value: "127.0.0.1:0",
				Usage: "ip:port to listen on",
			},
			&cli.IntFlag{
				Name:  "slots",
				Value: 3,
				Usage: "how many statements may run at once",
			},
			&cli.IntFlag{
				Name:  "connections",
				Value: 20,
				Usage: "how many connections are accepted",
			},
			&cli.DurationFlag{
				Name:  "connect-delay",
				Value: defaultConnectDelay,
				Usage: "how long a new connection takes",
			},
			&cli.DurationFlag{
				Name:  "ship-delay",
				Usage: "how long log entries take from the primary to a replica",
			},
			&cli.DurationFlag{
				Name:  "apply-lag",
				Usage: "how long after its arrival a log entry becomes visible to reads",
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
	delay := cmd.Duration("connect-delay")
	if delay == 0 {
		delay = -1 // no delay; 0 means the default in dbcfg.Config
	}
	i := dbase.New(dbcfg.Config{
		Name:         cmd.String("name"),
		Slots:        cmd.Int("slots"),
		Connections:  cmd.Int("connections"),
		ConnectDelay: delay,
		ShipDelay:    cmd.Duration("ship-delay"),
		ApplyLag:     cmd.Duration("apply-lag"),
	})
	var wg conc.WaitGroup
	wg.Go(func() {
		<-ctx.Done()
		i.Close()
	})
	fmt.Println("ready", l.Addr())
	err = i.Serve(l)
	if err == nil {
		wg.Wait()
	}
	return err
}
