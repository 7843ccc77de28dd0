package caller_test

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/stdlib"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"wasabislip.example/wasabislip/internal/routers/caller"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startServer serves backend on a loopback port until the test ends.
func startServer(t *testing.T, backend *fakeBackend, settings ...func(*caller.Server)) (*caller.Server, string) {
	t.Helper()
	s := caller.New(backend, backend, backend)
	s.AllowPlaintext = true
	s.Version = "test"
	for _, set := range settings {
		set(s)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() {
		served <- s.Serve(l)
	}()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil {
			t.Error(err)
		}
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return s, l.Addr().String()
}

func url(address, password string) string {
	return fmt.Sprintf("postgres://shop:%s@%s/swap-1?sslmode=disable", password, address)
}

func connect(t *testing.T, address, options string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(t.Context(), url(address, secret)+options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close(context.Background())
	})
	return conn
}

// assertEcho runs a statement that returns its parameter, and checks the result.
func assertEcho(t *testing.T, conn *pgx.Conn, value string) {
	t.Helper()
	is := is.New(t)
	var got string
	is.NoErr(conn.QueryRow(t.Context(), "select $1::text", value).Scan(&got))
	is.Equal(got, value)
}

// assertCode checks that err is an error of the server with this SQLSTATE.
func assertCode(t *testing.T, err error, code string) {
	t.Helper()
	is.New(t).Equal(serverError(t, err).Code, code)
}

func serverError(t *testing.T, err error) *pgconn.PgError {
	t.Helper()
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		t.Fatalf("got %v, want an error of the server", err)
	}
	return e
}

func TestQueryExecModes(t *testing.T) {
	_, address := startServer(t, newFakeBackend())
	for _, mode := range []string{"cache_statement", "cache_describe", "describe_exec", "exec", "simple_protocol"} {
		t.Run(mode, func(t *testing.T) {
			conn := connect(t, address, "&default_query_exec_mode="+mode)
			for range 3 {
				assertEcho(t, conn, "sample")
			}
			assertTransaction(t, conn)
			assertBatch(t, conn)
		})
	}
}

func assertTransaction(t *testing.T, conn *pgx.Conn) {
	t.Helper()
	is := is.New(t)
	tx, err := conn.Begin(t.Context())
	is.NoErr(err)
	assertEcho(t, conn, "inside")
	is.NoErr(tx.Commit(t.Context()))
	is.Equal(conn.PgConn().TxStatus(), byte('I'))
}

func assertBatch(t *testing.T, conn *pgx.Conn) {
	t.Helper()
	is := is.New(t)
	b := &pgx.Batch{}
	const n = 20
	for i := range n {
		b.Queue("select $1::text", fmt.Sprint(i))
	}
	results := conn.SendBatch(t.Context(), b)
	for i := range n {
		var got string
		is.NoErr(results.QueryRow().Scan(&got))
		is.Equal(got, fmt.Sprint(i))
	}
	is.NoErr(results.Close())
}

func TestDatabaseSQL(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, newFakeBackend())
	cfg, err := pgx.ParseConfig(url(address, secret))
	is.NoErr(err)
	db := stdlib.OpenDB(*cfg)
	defer func(db *sql.DB) {
		is.NoErr(db.Close())
	}(db)
	stmt, err := db.PrepareContext(t.Context(), "select $1::text")
	is.NoErr(err)
	var got string
	is.NoErr(stmt.QueryRowContext(t.Context(), "held").Scan(&got))
	is.Equal(got, "held")
	is.NoErr(stmt.Close())
	tx, err := db.BeginTx(t.Context(), nil)
	is.NoErr(err)
	is.NoErr(tx.QueryRowContext(t.Context(), "select $1::text", "tx").Scan(&got))
	is.Equal(got, "tx")
	is.NoErr(tx.Rollback())
}
