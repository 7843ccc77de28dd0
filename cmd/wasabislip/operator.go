package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/user"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
	"wasabislip.example/wasabislip/internal/models/parse"
	"wasabislip.example/wasabislip/internal/modules/client"
	"wasabislip.example/wasabislip/internal/modules/mtls"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

// Exit codes of the commands: any other failure, an invalid file or target, a
// conflict with another operator's change, and a change that not all hosts have
// confirmed in time.
const (
	exitFailed   = 1
	exitBadFile  = 2
	exitConflict = 3
	exitTimeout  = 4
)

const (
	defaultTimeout = 30 * time.Second
	pollInterval   = 500 * time.Millisecond
	callTimeout    = 10 * time.Second
)

// hostFlags returns the flags that name a host and the operator's certificate,
// and more.
func hostFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name:    "address",
			Usage:   "peer address of any host, `ip:port`",
			Value:   "127.0.0.1:7000",
			Sources: cli.EnvVars("WASABISLIP_ADDRESS"),
		},
		&cli.StringFlag{
			Name:    "ca",
			Usage:   "certificate authority of the hosts, PEM `file`",
			Sources: cli.EnvVars("WASABISLIP_CA"),
		},
		&cli.StringFlag{
			Name:    "cert",
			Usage:   "operator's certificate, PEM `file`",
			Sources: cli.EnvVars("WASABISLIP_CERT"),
		},
		&cli.StringFlag{
			Name:    "key",
			Usage:   "private key of the certificate, PEM `file`",
			Sources: cli.EnvVars("WASABISLIP_KEY"),
		},
		&cli.BoolFlag{
			Name:  "plain",
			Usage: "connect without TLS; loopback addresses only",
		},
		&cli.DurationFlag{
			Name:  "timeout",
			Usage: "how long to retry calls and to wait for all hosts",
			Value: defaultTimeout,
		},
	}, more...)
}

// dial returns a client of the host that the flags name.
func dial(cmd *cli.Command) (wasabislipv1connect.AdminServiceClient, error) {
	address := cmd.String("address")
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("address %q is not ip:port; name a host's peer address", address)
	}
	if cmd.Bool("plain") {
		if !addr.Addr().IsLoopback() {
			return nil, fmt.Errorf("%s is not a loopback address; name ca, cert and key instead of plain", address)
		}
		return client.New(nil).Admin(address), nil
	}
	files := mtls.Files{
		Cert: cmd.String("cert"),
		Key:  cmd.String("key"),
		CA:   cmd.String("ca"),
	}
	cfg, err := files.ClientConfig()
	if err != nil {
		return nil, err
	}
	return client.New(cfg).Admin(address), nil
}

// fetchNewest returns the newest accepted configuration file and its version.
// Before the first apply the file is empty and the version is 0.
func fetchNewest(ctx context.Context, c wasabislipv1connect.AdminServiceClient) (*wasabislipv1.ShowResponse, error) {
	var resp *wasabislipv1.ShowResponse
	err := retry(ctx, func(ctx context.Context) error {
		r, err := c.Show(ctx, connect.NewRequest(&wasabislipv1.ShowRequest{}))
		if err == nil {
			resp = r.Msg
		}
		return err
	})
	return resp, err
}

// retry calls f until it succeeds, fails with an error that is not transient, or
// ctx ends.
func retry(ctx context.Context, f func(ctx context.Context) error) error {
	for {
		err := withCallTimeout(ctx, f)
		if err == nil || !isTransient(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return cli.Exit(err.Error(), exitFailed)
		case <-time.After(pollInterval):
		}
	}
}

// withCallTimeout calls f once, with a deadline of callTimeout.
func withCallTimeout(ctx context.Context, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(ctx)
}

// isTransient reports whether the same call may succeed later.
func isTransient(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeUnavailable || code == connect.CodeDeadlineExceeded
}

// readFile returns the name and the content of the file that the first argument
// names.
func readFile(cmd *cli.Command) (string, []byte, error) {
	name := cmd.Args().First()
	if name == "" {
		return "", nil, fmt.Errorf("no file given; name the configuration file")
	}
	body, err := os.ReadFile(name)
	return name, body, err
}

// readSpec reads and validates the file that the first argument names.
func readSpec(cmd *cli.Command) ([]byte, *spec.Spec, error) {
	name, body, err := readFile(cmd)
	if err != nil {
		return nil, nil, err
	}
	file := parse.Parse(name, body)
	if file.Spec == nil {
		return nil, nil, cli.Exit(strings.Join(file.Problems, "\n"), exitBadFile)
	}
	return body, file.Spec, nil
}

// operatorName returns the name of the user who runs the command.
func operatorName() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}
