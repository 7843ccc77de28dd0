package scenes_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sourcegraph/conc/pool"
)

const (
	checkRounds  = 40
	checkCallers = 8
	largeRows    = 20_000
	rowBytes     = 100
	// minAbandonTime is the shortest time after which a caller abandons a large
	// answer.
	minAbandonTime = 3 * time.Millisecond
)

// firstAnswer is the command answers LIMIT WANT COMMAND ...: it repeats a command
// while it fails, until LIMIT. The output of its first success must contain WANT.
func firstAnswer(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	act := actions()[args[2]]
	if act == nil {
		ts.Fatalf("answers: no command %s", args[2])
	}
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		text, err := act(ts.Value(scenarioKey).(*scenario), ts, args[3:])
		if time.Now().After(end) {
			break
		}
		if err != nil {
			last = describe(err)
			continue
		}
		if !strings.Contains(text, args[1]) {
			ts.Fatalf("answers: got %q, want %q", text, args[1])
		}
		return
	}
	ts.Fatalf("answers: none within %s; last: %s", limit, last)
}

// alwaysSucceeds is the command holds DURATION COMMAND ...: it repeats a command
// for the duration. Each run must succeed.
func alwaysSucceeds(sc *scenario, ts *testscript.TestScript, args []string) (string, error) {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return "", err
	}
	act := actions()[args[1]]
	if act == nil {
		return "", fmt.Errorf("no command %s", args[1])
	}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if text, err := act(sc, ts, args[2:]); err != nil {
			return text, err
		}
	}
	return "", nil
}

// dropConn is the command vanish NAME: it closes the TCP connection without
// PostgreSQL's Terminate message.
func dropConn(sc *scenario, _ *testscript.TestScript, args []string) (string, error) {
	conn, err := sc.conn(args[0])
	if err != nil {
		return "", err
	}
	return "", conn.PgConn().Conn().Close()
}

// waitExit is the command await NAME: it waits for a program's end, which must be
// without an error.
func waitExit(sc *scenario, _ *testscript.TestScript, args []string) (string, error) {
	return "", sc.wait(args[0])
}

// setFault is the command fault NAME VALUE INSTANCE ...: it sets an injected fault
// of the instances.
func setFault(_ *scenario, ts *testscript.TestScript, args []string) (string, error) {
	for _, name := range args[2:] {
		ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
		_, err := queryOnce(ctx, ts.Getenv("DIRECT_"+name), fmt.Sprintf("SELECT * FROM ledger_fault('%s', '%s')", args[0], args[1]))
		cancel()
		if err != nil {
			return "", err
		}
	}
	return "", nil
}

// checkOwnAnswers is the command crossed URL ...: it runs callers at the same time.
// Some get large answers, and some close their connection before the answer has
// come. Each answer must be complete and the caller's own.
func checkOwnAnswers(_ *scenario, _ *testscript.TestScript, args []string) (string, error) {
	callers := pool.New().WithErrors()
	for i := range checkCallers {
		callers.Go(func() error { return checkCaller(args[i%len(args)], i) })
	}
	return "", callers.Wait()
}

func checkCaller(url string, i int) error {
	var conn *pgx.Conn
	defer func() { closeConn(conn) }()
	own := fmt.Sprintf("own-%d-", i) + strings.Repeat(strconv.Itoa(i), 300)
	key := fmt.Sprintf("crossed-%d", i)
	if _, err := queryOn(&conn, url, "SELECT put('"+key+"', '"+own+"')"); err != nil {
		return err
	}
	for n := range checkRounds {
		if err := checkPipeline(conn, key, own, i); err != nil {
			return fmt.Errorf("caller %d, round %d: %w", i, n, err)
		}
		if n%4 == 3 {
			abandonQuery(url, n)
		}
	}
	return nil
}

// checkPipeline sends three requests in one pipeline and checks the answers.
func checkPipeline(conn *pgx.Conn, key, own string, i int) error {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	n := largeRows / checkCallers * (i + 1)
	b := &pgx.Batch{}
	b.Queue("SELECT get($1)", key)
	b.Queue("SELECT rows($1)", n)
	b.Queue("SELECT get($1)", key)
	results := conn.SendBatch(ctx, b)
	defer func() { _ = results.Close() }()
	if err := checkValue(results, own); err != nil {
		return err
	}
	rows, err := results.Query()
	if err != nil {
		return err
	}
	count := 0
	for rows.Next() {
		count++
		if len(rows.RawValues()[0]) != rowBytes {
			return fmt.Errorf("got a row of %d bytes", len(rows.RawValues()[0]))
		}
	}
	if rows.Err() != nil || count != n {
		return errors.Join(fmt.Errorf("got %d rows, want %d", count, n), rows.Err())
	}
	return checkValue(results, own)
}

func checkValue(results pgx.BatchResults, own string) error {
	var got string
	if err := results.QueryRow().Scan(&got); err != nil {
		return err
	}
	if got != own {
		return fmt.Errorf("got %.20q, want %.20q", got, own)
	}
	return nil
}

// abandonQuery requests a large answer and closes the connection before it is
// complete. Every other time it sends a cancel request, too.
func abandonQuery(url string, n int) {
	conn, err := pgconn.Connect(context.Background(), url)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), minAbandonTime*time.Duration(n%5+1))
	defer cancel()
	conn.Exec(ctx, fmt.Sprintf("SELECT rows(%d)", largeRows))
	if n%8 == 3 {
		_ = conn.CancelRequest(ctx)
	}
	<-ctx.Done()
	_ = conn.Conn().Close()
}

// checkAbsent is the command absent WORD FILE ...: it fails when a file contains
// WORD, or when a file is empty and so recorded nothing.
func checkAbsent(_ *scenario, ts *testscript.TestScript, args []string) (string, error) {
	for _, name := range args[1:] {
		raw, err := os.ReadFile(ts.MkAbs(name))
		if err != nil {
			return "", err
		}
		if len(raw) == 0 {
			return "", fmt.Errorf("%s is empty", name)
		}
		if bytes.Contains(raw, []byte(args[0])) {
			return "", fmt.Errorf("%s contains %s", name, args[0])
		}
	}
	return "", nil
}
