package scenes_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sourcegraph/conc"
)

const (
	sendersPerHost = 4
	// rateExceeded is the SQLSTATE of a statement that was refused because its
	// workspace is over its rate (configuration_limit_exceeded).
	rateExceeded = "53400"
)

// checkRate is the command
//
//	flood DURATION RATE BURST LEAST URL ...
//
// It sends more statements than the rate to all hosts for DURATION. It fails when
// more than RATE times the time taken plus BURST were admitted, when less than
// LEAST times RATE times the time taken were, or when nothing was refused.
func checkRate(_ *scenario, _ *testscript.TestScript, args []string) (string, error) {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return "", err
	}
	rate, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return "", err
	}
	burst, err := strconv.ParseFloat(args[2], 64)
	if err != nil {
		return "", err
	}
	least, err := strconv.ParseFloat(args[3], 64)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var admitted, refused, failed atomic.Int64
	var callers conc.WaitGroup
	begin := time.Now()
	for _, url := range args[4:] {
		for range sendersPerHost {
			callers.Go(func() { sendStatements(ctx, url, &admitted, &refused, &failed) })
		}
	}
	callers.Wait()
	took := time.Since(begin).Seconds()
	n := float64(admitted.Load())
	text := fmt.Sprintf("admitted=%d refused=%d failed=%d in %.1f s\n", admitted.Load(), refused.Load(), failed.Load(), took)
	if n > rate*took+burst {
		return text, fmt.Errorf("%sadmitted more than %g a second and a burst of %g", text, rate, burst)
	}
	if n < least*rate*took || refused.Load() == 0 {
		return text, fmt.Errorf("%sadmitted less than %g of %g a second, or refused nothing", text, least, rate)
	}
	return text, nil
}

// sendStatements sends statements without a pause until ctx is done, and counts
// those with an answer as admitted.
func sendStatements(ctx context.Context, url string, admitted, refused, failed *atomic.Int64) {
	var conn *pgx.Conn
	defer func() { closeConn(conn) }()
	for ctx.Err() == nil {
		_, err := queryOn(&conn, url, "SELECT 1")
		var pg *pgconn.PgError
		switch {
		case err == nil:
			admitted.Add(1)
		case errors.As(err, &pg) && pg.Code == rateExceeded:
			refused.Add(1)
		default:
			failed.Add(1)
		}
	}
}

// pauseInTurn is the command blink DURATION NAME ...: it pauses programs one after
// another, each for DURATION.
func pauseInTurn(sc *scenario, _ *testscript.TestScript, args []string) (string, error) {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return "", err
	}
	for _, name := range args[1:] {
		if err := sc.signal(name, syscall.SIGSTOP); err != nil {
			return "", err
		}
		time.Sleep(d)
		if err := sc.signal(name, syscall.SIGCONT); err != nil {
			return "", err
		}
	}
	return "", nil
}
