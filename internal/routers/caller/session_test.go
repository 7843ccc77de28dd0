package caller_test

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/limits"
	"wasabislip.example/wasabislip/internal/routers/caller"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

func TestKeys(t *testing.T) {
	backend := newFakeBackend()
	_, address := startServer(t, backend)
	for name, target := range map[string]string{
		"wrong key":         url(address, "wrong"),
		"empty key":         url(address, ""),
		"unknown workspace": "postgres://other:" + secret + "@" + address + "/swap-1?sslmode=disable",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := pgx.Connect(t.Context(), target)
			assertCode(t, err, "28P01")
			e := serverError(t, err)
			is.New(t).Equal(e.Message, "the workspace or its key was not accepted")
		})
	}
	t.Run("no key reaches open routes only", func(t *testing.T) {
		is := is.New(t)
		open := "postgres://open@" + address + "/swap-2?sslmode=disable"
		_, err := pgx.Connect(t.Context(), open)
		assertCode(t, err, "28P01")
		conn, err := pgx.Connect(t.Context(), open+"&wasabislip.route=browse")
		is.NoErr(err)
		assertEcho(t, conn, "sample")
		is.Equal(backend.lastOpen().GetWorkspace(), "")
		_, err = conn.Exec(t.Context(), "set wasabislip.route = 'ledger'")
		assertCode(t, err, "28P01")
		is.NoErr(conn.Close(t.Context()))
	})
	t.Run("a withdrawn key ends a connected caller in mid-transaction", func(t *testing.T) {
		is := is.New(t)
		conn := connect(t, address, "")
		_, err := conn.Begin(t.Context())
		is.NoErr(err)
		backend.set(func(backend *fakeBackend) {
			backend.withdrawn = true
		})
		_, err = conn.Exec(t.Context(), "select 'late'")
		assertCode(t, err, "28000")
		is.True(conn.IsClosed())
		_, err = pgx.Connect(t.Context(), url(address, secret))
		assertCode(t, err, "28P01")
	})
}

func TestTLS(t *testing.T) {
	is := is.New(t)
	issuer := httptest.NewTLSServer(nil)
	defer issuer.Close()
	_, address := startServer(t, newFakeBackend(), func(s *caller.Server) {
		s.TLS = issuer.TLS
		s.AllowPlaintext = false
	})
	_, err := pgx.Connect(t.Context(), url(address, secret))
	assertCode(t, err, "28P01")
	conn, err := pgx.Connect(t.Context(), strings.Replace(url(address, secret), "disable", "require", 1))
	is.NoErr(err)
	assertEcho(t, conn, "sample")
	is.NoErr(conn.Close(t.Context()))
}

func TestConnectionLimits(t *testing.T) {
	for name, limit := range map[string]limits.Limits{
		"host": {
			Connections: 1,
		},
		"workspace": {
			WorkspaceConnections: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := startServer(t, newFakeBackend(), func(s *caller.Server) {
				s.Limits = limit
			})
			connect(t, address, "")
			_, err := pgx.Connect(t.Context(), url(address, secret))
			assertCode(t, err, "53300")
		})
	}
}

// TestUnconfirmed checks that open transactions go on while the configuration is
// unconfirmed, and that new ones and new sessions are refused.
func TestUnconfirmed(t *testing.T) {
	is := is.New(t)
	backend := newFakeBackend()
	_, address := startServer(t, backend)
	conn := connect(t, address, "")
	tx, err := conn.Begin(t.Context())
	is.NoErr(err)
	backend.set(func(backend *fakeBackend) {
		backend.unconfirmed = fault.New(fault.Unconfirmed, "no word for too long", "connect again")
	})
	assertEcho(t, conn, "goes on")
	is.NoErr(tx.Commit(t.Context()))
	_, err = conn.Exec(t.Context(), "select 'x'")
	assertCode(t, err, "57P03")
	_, err = pgx.Connect(t.Context(), url(address, secret))
	assertCode(t, err, "57P03")
}

// TestKeyWithdrawnInPipeline checks that a key withdrawn while queued batches run
// ends the session before the next batch.
func TestKeyWithdrawnInPipeline(t *testing.T) {
	is := is.New(t)
	backend := newFakeBackend()
	backend.onQuery = func(query string) {
		if query == "select 'second'" {
			backend.set(func(backend *fakeBackend) {
				backend.withdrawn = true
			})
		}
	}
	_, address := startServer(t, backend)
	conn := connect(t, address, "")
	p := conn.PgConn().StartPipeline(t.Context())
	for _, query := range []string{"select 'first'", "select 'second'", "select 'third'"} {
		p.SendQueryParams(query, nil, nil, nil, nil)
		is.NoErr(p.Sync())
	}
	var err error
	for err == nil {
		_, err = p.GetResults()
	}
	assertCode(t, err, "28000")
	is.Equal(backend.queries, []string{"select 'first'", "select 'second'"})
	_ = p.Close()
}

// TestReadYourWrites checks that a run is sent the newest position of its session,
// and that SET wasabislip.session begins a session without a position.
func TestReadYourWrites(t *testing.T) {
	is := is.New(t)
	backend := newFakeBackend()
	_, address := startServer(t, backend)
	conn := connect(t, address, "&options=-c%20wasabislip.route%3Dledger&wasabislip.session=member-7")
	assertSession(t, conn, "member-7")
	is.Equal(len(backend.opens), 0)
	_, err := conn.Exec(t.Context(), "insert 'x'")
	is.NoErr(err)
	first := backend.lastOpen()
	is.True(first.GetFenced())
	is.Equal(first.GetSession(), "member-7")
	is.Equal(first.GetKeyId(), "k1")
	is.Equal(first.GetConfigVersion(), uint64(7))
	_, err = conn.Exec(t.Context(), "/* wasabislip.route=browse */ select 'x'")
	is.NoErr(err)
	second := backend.lastOpen()
	is.True(!second.GetFenced())
	is.Equal(second.GetFloor().GetTerm(), uint64(3))
	is.Equal(second.GetRoute(), "browse")
	_, err = conn.Exec(t.Context(), "set wasabislip.session to 'member-8'")
	is.NoErr(err)
	assertSession(t, conn, "member-8")
	_, err = conn.Exec(t.Context(), "select 'x'")
	is.NoErr(err)
	is.True(backend.lastOpen().GetFenced())
	is.Equal(backend.lastOpen().GetRoute(), "ledger")
}

// assertSession checks what SHOW wasabislip.session returns in the simple and in
// the extended query protocol.
func assertSession(t *testing.T, conn *pgx.Conn, name string) {
	t.Helper()
	is := is.New(t)
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeCacheStatement} {
		var got string
		is.NoErr(conn.QueryRow(t.Context(), "show wasabislip.session", mode).Scan(&got))
		is.Equal(got, name)
	}
}

func TestRefusedStatements(t *testing.T) {
	_, address := startServer(t, newFakeBackend())
	conn := connect(t, address, "")
	for _, query := range []string{
		"copy t from stdin",
		"set search_path = x",
		"listen x",
		"prepare p as select 1",
		"declare c cursor with hold for select 1",
		"create temp table t (a int)",
		"select pg_advisory_lock(1)",
		"select 1; copy t to stdout",
	} {
		t.Run(query, func(t *testing.T) {
			_, err := conn.Exec(t.Context(), query)
			assertCode(t, err, "0A000")
			e := serverError(t, err)
			is.New(t).True(e.Hint != "")
			assertEcho(t, conn, "still usable")
		})
	}
}

func TestRefusals(t *testing.T) {
	backend := newFakeBackend()
	s, address := startServer(t, backend)
	over := fault.New(fault.OverRate, "the rate is used up", "slow down").WithRetryAfter(120 * time.Millisecond)
	t.Run("over the rate, outside and inside a transaction", func(t *testing.T) {
		is := is.New(t)
		conn := connect(t, address, "")
		tx, err := conn.Begin(t.Context())
		is.NoErr(err)
		backend.set(func(backend *fakeBackend) {
			backend.admitErr = over
		})
		_, err = conn.Exec(t.Context(), "select 'x'")
		assertCode(t, err, "53400")
		e := serverError(t, err)
		is.Equal(e.Hint, "slow down; retry after 120 ms")
		is.Equal(e.Detail, "kind=over-rate outcome=not-run retry-after-ms=120")
		is.Equal(conn.PgConn().TxStatus(), byte('E'))
		backend.set(func(backend *fakeBackend) {
			backend.admitErr = nil
		})
		_, err = conn.Exec(t.Context(), "select 'x'")
		assertCode(t, err, "25P02")
		is.NoErr(tx.Rollback(t.Context()))
		assertEcho(t, conn, "again")
	})
	t.Run("of the coordinator", func(t *testing.T) {
		conn := connect(t, address, "")
		backend.set(func(backend *fakeBackend) {
			backend.refusal = &wasabislipv1.Refusal{
				Kind:   fault.OutcomeUnknown,
				Reason: "not confirmed in time",
			}
		})
		_, err := conn.Exec(t.Context(), "insert 'x'")
		assertCode(t, err, "08007")
		backend.set(func(backend *fakeBackend) {
			backend.refusal = nil
		})
		assertEcho(t, conn, "again")
	})
	t.Run("while draining, but for an open transaction", func(t *testing.T) {
		is := is.New(t)
		conn := connect(t, address, "")
		idle := connect(t, address, "")
		tx, err := conn.Begin(t.Context())
		is.NoErr(err)
		s.Drain()
		assertEcho(t, conn, "goes on")
		is.NoErr(tx.Commit(t.Context()))
		_, err = conn.Exec(t.Context(), "select 'x'")
		assertCode(t, err, "57P01")
		_, err = idle.Exec(t.Context(), "select 'x'")
		assertCode(t, err, "57P01")
		_, err = pgx.Connect(t.Context(), url(address, secret))
		assertCode(t, err, "57P01")
	})
}

// TestCancel sends the cancel request to another host than the one of the session.
func TestCancel(t *testing.T) {
	is := is.New(t)
	backend := newFakeBackend()
	backend.block = make(chan struct{})
	_, address := startServer(t, backend)
	_, other := startServer(t, backend)
	conn := connect(t, address, "")
	failed := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "select 'held'")
		failed <- err
	}()
	pid, key := conn.PgConn().PID(), conn.PgConn().SecretKey()
	is.NoErr(cancelAt(t, other, pid, key))
	close(backend.block)
	is.NoErr(<-failed)
	backend.mu.Lock()
	defer backend.mu.Unlock()
	is.Equal(backend.cancelled, []string{"swap-1 " + backend.opens[0].GetRequestId()})
}

// cancelAt sends a cancel request and waits until the host closes the connection.
func cancelAt(t *testing.T, address string, pid uint32, key []byte) error {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	m := &pgproto3.CancelRequest{
		ProcessID: pid,
		SecretKey: key,
	}
	raw, err := m.Encode(nil)
	if err != nil {
		return err
	}
	if _, err := conn.Write(raw); err != nil {
		return err
	}
	_, err = io.ReadAll(conn)
	return err
}
