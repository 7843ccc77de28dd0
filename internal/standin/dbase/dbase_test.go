package dbase_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/standin/dbase"
	"wasabislip.example/wasabislip/internal/standin/dbcfg"
)

// cluster holds instances by name; they connect to one another over pipes.
type cluster map[string]*dbase.Instance

func (cl cluster) dial(_ context.Context, _, address string) (net.Conn, error) {
	name, _, _ := strings.Cut(address, ":")
	i, ok := cl[name]
	if !ok {
		return nil, errors.New("no instance is named " + name)
	}
	client, server := net.Pipe()
	go i.ServeConn(server)
	return client, nil
}

func newCluster(t *testing.T, cfg dbcfg.Config, names ...string) cluster {
	t.Helper()
	cl := cluster{}
	cfg.Dial = cl.dial
	for _, n := range names {
		cfg.Name = n
		cl[n] = dbase.New(cfg)
		t.Cleanup(cl[n].Close)
	}
	return cl
}

func (cl cluster) connect(t *testing.T, name string, params ...string) (*pgx.Conn, error) {
	t.Helper()
	cfg, err := pgx.ParseConfig("host=" + name + " port=5432 user=u dbname=d sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	cfg.DialFunc = cl.dial
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) {
		return []string{host}, nil
	}
	for _, p := range params {
		k, v, _ := strings.Cut(p, "=")
		cfg.RuntimeParams[k] = v
	}
	conn, err := pgx.ConnectConfig(t.Context(), cfg)
	if err == nil {
		t.Cleanup(func() { _ = conn.Close(context.Background()) })
	}
	return conn, err
}

func (cl cluster) open(t *testing.T, name string, params ...string) *pgx.Conn {
	t.Helper()
	conn, err := cl.connect(t, name, params...)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// promote makes the instance name the primary of term, and all others its
// replicas.
func (cl cluster) promote(t *testing.T, term int, name string) {
	t.Helper()
	exec(t, cl.open(t, name), fmt.Sprintf("SELECT * FROM ledger_fence(%d)", term))
	exec(t, cl.open(t, name), fmt.Sprintf("SELECT * FROM ledger_promote(%d)", term))
	for n := range cl {
		if n != name {
			exec(t, cl.open(t, n), fmt.Sprintf("SELECT * FROM ledger_follow(%d, '%s:5432')", term, name))
		}
	}
}

func exec(t *testing.T, conn *pgx.Conn, sql string) {
	t.Helper()
	if _, err := conn.Exec(t.Context(), sql); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

// text returns the one value that a query returns.
func text(t *testing.T, conn *pgx.Conn, sql string, args ...any) string {
	t.Helper()
	var v *string
	if err := conn.QueryRow(t.Context(), sql, args...).Scan(&v); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	if v == nil {
		return "NULL"
	}
	return *v
}

// expectError checks that sql fails with the SQLSTATE code.
func expectError(t *testing.T, conn *pgx.Conn, code, sql string) {
	t.Helper()
	_, err := conn.Exec(t.Context(), sql)
	expectCode(t, err, code)
}

func expectCode(t *testing.T, err error, code string) {
	t.Helper()
	var e *pgconn.PgError
	if !errors.As(err, &e) || e.Code != code {
		t.Fatalf("want SQLSTATE %s, got %v", code, err)
	}
}

func TestQueryModes(t *testing.T) {
	modes := []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement,
		pgx.QueryExecModeCacheDescribe,
		pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec,
		pgx.QueryExecModeSimpleProtocol,
	}
	for _, mode := range modes {
		t.Run(mode.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cl := newCluster(t, dbcfg.Config{}, "a")
				cl.promote(t, 1, "a")
				conn := cl.open(t, "a", "ledger.term=1")
				is.Equal(text(t, conn, "SELECT put($1, $2)", mode, "k", "it's"), "it's")
				is.Equal(conn.PgConn().ParameterStatus("ledger.position"), "1/2")
				is.Equal(text(t, conn, "SELECT get($1)", mode, "k"), "it's")
				is.Equal(text(t, conn, "SELECT get($1)", mode, "absent"), "NULL")
				var n int64
				is.NoErr(conn.QueryRow(t.Context(), "SELECT add($1, $2)", mode, "n", int64(-7)).Scan(&n))
				is.Equal(n, int64(-7))
				rows, err := conn.Query(t.Context(), "SELECT rows($1)", mode, int64(1500))
				is.NoErr(err)
				all, err := pgx.CollectRows(rows, pgx.RowTo[string])
				is.NoErr(err)
				is.Equal(len(all), 1500)
				_, err = conn.Exec(t.Context(), "SELECT fail()", mode)
				expectCode(t, err, "22012")
				is.NoErr(conn.Ping(t.Context()))
			})
		})
	}
}

func TestTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, dbcfg.Config{}, "a")
		cl.promote(t, 1, "a")
		one := cl.open(t, "a")
		two := cl.open(t, "a")
		exec(t, one, "BEGIN")
		exec(t, one, "SELECT put('k', '1')")
		is.Equal(text(t, one, "SELECT get('k')"), "1")
		is.Equal(text(t, two, "SELECT get('k')"), "NULL")
		expectError(t, one, "22012", "SELECT fail()")
		expectError(t, one, "25P02", "SELECT get('k')")
		exec(t, one, "COMMIT")
		is.Equal(text(t, two, "SELECT get('k')"), "NULL")
		expectError(t, one, "P0001", "SELECT raise_after_write('k', '2')")
		is.Equal(text(t, two, "SELECT get('k')"), "NULL")
		exec(t, one, "SELECT add('from', 10)")
		expectError(t, one, "23514", "SELECT transfer('from', 'to', 11)")
		exec(t, one, "SELECT transfer('from', 'to', 4)")
		is.Equal(text(t, two, "SELECT get('to')"), "4")
	})
}

func TestPipeline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, dbcfg.Config{}, "a")
		cl.promote(t, 1, "a")
		conn := cl.open(t, "a")
		b := &pgx.Batch{}
		b.Queue("SELECT put($1, $2)", "k", "1")
		b.Queue("SELECT fail()")
		b.Queue("SELECT put($1, $2)", "k", "2")
		expectCode(t, conn.SendBatch(t.Context(), b).Close(), "22012")
		is.Equal(text(t, conn, "SELECT get('k')"), "NULL")
	})
}

func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, dbcfg.Config{
			Connections: 4,
		}, "a", "b")
		cl.promote(t, 1, "a")
		expectError(t, cl.open(t, "b"), "25006", "SELECT put('k', 'v')")
		expectError(t, cl.open(t, "a", "default_transaction_read_only=on"), "25006", "SELECT put('k', 'v')")
		expectError(t, cl.open(t, "a"), "0A000", "COPY t FROM STDIN")
		_, err := cl.connect(t, "a", "ledger.term=1")
		expectCode(t, err, "53300")
	})
}

// cancel sends a cancel request. pgconn can't do it here: it dials the remote
// address of the connection, and that of a pipe names no instance.
func cancel(cl cluster, name string, conn *pgconn.PgConn) {
	pipe, err := cl.dial(context.Background(), "tcp", name)
	if err != nil {
		return
	}
	defer pipe.Close()
	m := &pgproto3.CancelRequest{
		ProcessID: conn.PID(),
		SecretKey: conn.SecretKey(),
	}
	body, err := m.Encode(nil)
	if err == nil {
		_, _ = pipe.Write(body)
	}
}

func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, dbcfg.Config{}, "a")
		conn := cl.open(t, "a")
		go func() {
			time.Sleep(time.Second)
			cancel(cl, "a", conn.PgConn())
		}()
		start := time.Now()
		expectError(t, conn, "57014", "SELECT sleep(60000)")
		is.True(time.Since(start) < 2*time.Second)
	})
}

func TestLaterTermWritesNothingBeforeItsFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, dbcfg.Config{}, "a")
		cl.promote(t, 1, "a")
		expectError(t, cl.open(t, "a", "ledger.term=2"), "25006", "SELECT put('k', 'v')")
		is.Equal(text(t, cl.open(t, "a"), "SELECT get('k')"), "NULL")
	})
}

func TestFenceCutsOffOldTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, dbcfg.Config{}, "a", "b", "c")
		cl.promote(t, 1, "a")
		old := cl.open(t, "a", "ledger.term=1")
		exec(t, old, "BEGIN")
		exec(t, old, "SELECT put('k', 'lost')")
		exec(t, cl.open(t, "a"), "SELECT * FROM ledger_fence(2)")
		expectError(t, old, "LT001", "COMMIT")
		expectError(t, old, "LT001", "SELECT get('k')")
		expectError(t, cl.open(t, "a"), "LT001", "SELECT * FROM ledger_follow(1, 'b:5432')")
		expectError(t, cl.open(t, "b"), "55000", "SELECT * FROM ledger_promote(2)")
		is.Equal(text(t, cl.open(t, "a"), "SELECT get('k')"), "NULL")
	})
}

func TestReplicaLagsAndRewinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, dbcfg.Config{
			ApplyLag: time.Second,
		}, "a", "b", "c")
		cl.promote(t, 1, "a")
		exec(t, cl.open(t, "a"), "SELECT put('k', 'kept')")
		time.Sleep(500 * time.Millisecond)
		is.Equal(text(t, cl.open(t, "b"), "SELECT get('k')"), "NULL")
		time.Sleep(time.Second)
		is.Equal(text(t, cl.open(t, "b"), "SELECT get('k')"), "kept")

		exec(t, cl.open(t, "b"), "SELECT * FROM ledger_fence(2)")
		exec(t, cl.open(t, "c"), "SELECT * FROM ledger_fence(2)")
		exec(t, cl.open(t, "a"), "SELECT put('k', 'divergent')")
		is.Equal(text(t, cl.open(t, "a"), "SELECT get('k')"), "divergent")
		cl.promote(t, 2, "b")
		time.Sleep(2 * time.Second)
		is.Equal(text(t, cl.open(t, "a"), "SELECT get('k')"), "kept")
		var fence, term, role, received, applied, ends string
		err := cl.open(t, "a").QueryRow(t.Context(), "SELECT * FROM ledger_status()").Scan(&fence, &term, &role, &received, &applied, &ends)
		is.NoErr(err)
		is.Equal([]string{fence, term, role, received, applied, ends}, []string{"2", "2", "replica", "2/3", "2/3", "1:2"})
	})
}

func TestConcurrentTransfersKeepTheSum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, dbcfg.Config{
			Slots: 2,
		}, "a")
		cl.promote(t, 1, "a")
		first := cl.open(t, "a")
		exec(t, first, "SELECT add('x', 1000)")
		exec(t, first, "SELECT add('y', 1000)")
		var wg conc.WaitGroup
		for n := range 6 {
			conn := cl.open(t, "a")
			statement := "SELECT transfer('x', 'y', 1)"
			if n%2 == 1 {
				statement = "SELECT transfer('y', 'x', 2)"
			}
			wg.Go(func() {
				for range 50 {
					exec(t, conn, "BEGIN; "+statement+"; SELECT sleep(1); COMMIT")
				}
			})
		}
		wg.Wait()
		is.Equal(text(t, first, "SELECT get('x')"), "1150")
		is.Equal(text(t, first, "SELECT get('y')"), "850")
	})
}

func TestLostCommitAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, dbcfg.Config{}, "a")
		cl.promote(t, 1, "a")
		conn := cl.open(t, "a")
		exec(t, conn, "SELECT * FROM ledger_fault('lose-commit-answers', '1')")
		_, err := conn.Exec(t.Context(), "SELECT put('k', 'v')")
		is.True(err != nil)
		var e *pgconn.PgError
		is.True(!errors.As(err, &e)) // the connection was closed without an answer
		is.Equal(text(t, cl.open(t, "a"), "SELECT get('k')"), "v")
	})
}

func TestReceivedParameters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, dbcfg.Config{
			Password: "instance-password",
		}, "a")
		_, err := cl.connect(t, "a", "password=x")
		expectCode(t, err, "28P01")
		is.True(slices.Contains(cl["a"].ReceivedParameters(), "user=u"))
		is.True(slices.Contains(cl["a"].ReceivedParameters(), "password="))
	})
}
