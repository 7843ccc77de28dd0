package caller_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/limits"
	"wasabislip.example/wasabislip/internal/routers/caller"
)

// testClient is a caller that sends and reads single messages, over a pipe in
// memory.
type testClient struct {
	t      *testing.T
	conn   net.Conn
	front  *pgproto3.Frontend
	server *caller.Server
}

// dial connects to a new server inside a synctest bubble.
func dial(t *testing.T, backend *fakeBackend, limit limits.Limits) *testClient {
	t.Helper()
	s := caller.New(backend, backend, backend)
	s.AllowPlaintext = true
	s.Limits = limit
	ours, theirs := net.Pipe()
	go s.ServeConn(theirs)
	t.Cleanup(func() {
		ours.Close()
	})
	return &testClient{
		t:      t,
		conn:   ours,
		front:  pgproto3.NewFrontend(ours, ours),
		server: s,
	}
}

// logIn performs the handshake up to the first ReadyForQuery.
func (c *testClient) logIn() {
	c.t.Helper()
	c.send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":     "shop",
			"database": "swap-1",
		},
	})
	c.expect("R")
	c.send(&pgproto3.PasswordMessage{
		Password: secret,
	})
	c.expect("RSSSSSSSSSSKZ")
}

func (c *testClient) send(messages ...pgproto3.FrontendMessage) {
	c.t.Helper()
	for _, m := range messages {
		c.front.Send(m)
	}
	if err := c.front.Flush(); err != nil {
		c.t.Fatal(err)
	}
}

// post is send for use in other goroutines. It reports no failure: the answers
// that the test reads show it.
func (c *testClient) post(messages ...pgproto3.FrontendMessage) {
	for _, m := range messages {
		c.front.Send(m)
	}
	_ = c.front.Flush()
}

// expect reads one message of each of the given types and returns the last one.
func (c *testClient) expect(types string) pgproto3.BackendMessage {
	c.t.Helper()
	var m pgproto3.BackendMessage
	for i := range types {
		var err error
		m, err = c.front.Receive()
		if err != nil {
			c.t.Fatalf("%v where %q was due", err, types[i:])
		}
		raw, _ := m.Encode(nil)
		if raw[0] != types[i] {
			c.t.Fatalf("got %T %+v where %q was due", m, m, types[i:])
		}
	}
	return m
}

// expectEnd reads a fatal error with the SQLSTATE code and then the end of the
// connection.
func (c *testClient) expectEnd(code string) {
	c.t.Helper()
	is := is.New(c.t)
	e, ok := c.expect("E").(*pgproto3.ErrorResponse)
	is.True(ok)
	is.Equal(e.Code, code)
	is.Equal(e.Severity, "FATAL")
	_, err := c.front.Receive()
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

func (c *testClient) expectError(code string) {
	c.t.Helper()
	e, ok := c.expect("E").(*pgproto3.ErrorResponse)
	is.New(c.t).True(ok)
	is.New(c.t).Equal(e.Code, code)
}

func (c *testClient) expectReady(status byte) {
	c.t.Helper()
	z, ok := c.expect("Z").(*pgproto3.ReadyForQuery)
	is.New(c.t).True(ok)
	is.New(c.t).Equal(z.TxStatus, status)
}

func query(text string) pgproto3.FrontendMessage {
	return &pgproto3.Query{
		String: text,
	}
}

// extended returns the messages of one statement without its Sync.
func extended(text string) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{
		&pgproto3.Parse{
			Query: text,
		},
		&pgproto3.Bind{},
		&pgproto3.Describe{
			ObjectType: 'P',
		},
		&pgproto3.Execute{},
	}
}

func TestStartUpInput(t *testing.T) {
	for name, raw := range map[string]string{
		"too short":      "\x00\x00\x00\x04\x00\x00\x00\x00",
		"too long":       "\x7f\xff\xff\xff\x00\x03\x00\x00",
		"no terminators": "\x00\x00\x00\x0c\x00\x03\x00\x00user",
		"too many TLS":   "\x00\x00\x00\x08\x04\xd2\x16\x2f\x00\x00\x00\x08\x04\xd2\x16\x2f\x00\x00\x00\x08\x04\xd2\x16\x2f",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := dial(t, newFakeBackend(), limits.Limits{})
				go func() {
					_, _ = io.WriteString(c.conn, raw)
				}()
				if name == "too many TLS" {
					_, _ = io.ReadFull(c.conn, make([]byte, 3))
				}
				c.expectEnd("08P01")
			})
		})
	}
	t.Run("an unknown parameter is named", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := dial(t, newFakeBackend(), limits.Limits{})
			c.send(&pgproto3.StartupMessage{
				ProtocolVersion: pgproto3.ProtocolVersion30,
				Parameters: map[string]string{
					"user":        "shop",
					"search_path": "x",
				},
			})
			c.expectEnd("0A000")
		})
	})
	t.Run("a newer minor version is negotiated", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := dial(t, newFakeBackend(), limits.Limits{})
			c.send(&pgproto3.StartupMessage{
				ProtocolVersion: pgproto3.ProtocolVersion32 + 7,
				Parameters: map[string]string{
					"user":     "shop",
					"_pq_.new": "1",
				},
			})
			m, ok := c.expect("v").(*pgproto3.NegotiateProtocolVersion)
			is.New(t).True(ok)
			is.New(t).Equal(m.UnrecognizedOptions, []string{"_pq_.new"})
			c.expect("R")
		})
	})
}

func TestTimeouts(t *testing.T) {
	limit := limits.Limits{
		StartUpTimeout:           time.Second,
		IdleTimeout:              time.Minute,
		IdleInTransactionTimeout: 5 * time.Second,
	}
	t.Run("start-up", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := dial(t, newFakeBackend(), limit)
			_, err := c.conn.Write([]byte{0, 0})
			is.New(t).NoErr(err)
			assertClosedAfter(t, c, limit.StartUpTimeout)
		})
	})
	t.Run("half a message, then silence", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := dial(t, newFakeBackend(), limit)
			c.logIn()
			_, err := c.conn.Write([]byte{'Q', 0, 0, 0, 90, 's'})
			is.New(t).NoErr(err)
			c.expectEnd("57P05")
		})
	})
	t.Run("idle in a transaction", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			backend := newFakeBackend()
			c := dial(t, backend, limit)
			c.logIn()
			c.send(query("begin"))
			c.expect("TDCZ")
			before := time.Now()
			c.expectEnd("25P03")
			is.New(t).Equal(time.Since(before), limit.IdleInTransactionTimeout)
			is.New(t).Equal(backend.closed, 1)
		})
	})
}

func assertClosedAfter(t *testing.T, c *testClient, d time.Duration) {
	t.Helper()
	before := time.Now()
	_, err := io.ReadAll(c.conn)
	is.New(t).NoErr(err)
	is.New(t).Equal(time.Since(before), d)
}

func TestSessionInput(t *testing.T) {
	t.Run("unknown message type", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := dial(t, newFakeBackend(), limits.Limits{})
			c.logIn()
			_, err := c.conn.Write([]byte{'!', 0, 0, 0, 4})
			is.New(t).NoErr(err)
			c.expectEnd("08P01")
		})
	})
	t.Run("oversized message", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := dial(t, newFakeBackend(), limits.Limits{
				MessageBytes: 100,
			})
			c.logIn()
			_, err := c.conn.Write([]byte{'Q', 0x40, 0, 0, 0})
			is.New(t).NoErr(err)
			c.expectEnd("54000")
		})
	})
	t.Run("batch of too many messages", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := dial(t, newFakeBackend(), limits.Limits{
				BatchMessages: 3,
			})
			c.logIn()
			go c.post(extended("select 'x'")...)
			c.expectEnd("54000")
		})
	})
	t.Run("function call leaves the session usable", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := dial(t, newFakeBackend(), limits.Limits{})
			c.logIn()
			c.send(&pgproto3.FunctionCall{})
			c.expectError("0A000")
			c.expectReady('I')
			c.send(query("select 'x'"))
			c.expect("TDCZ")
		})
	})
	t.Run("batches sent before Terminate all run", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			backend := newFakeBackend()
			c := dial(t, backend, limits.Limits{})
			c.logIn()
			go c.post(query("select '1'"), query("select '2'"), &pgproto3.Terminate{})
			c.expect("TDCZTDCZ")
			_, err := c.front.Receive()
			is.New(t).True(err != nil)
			is.New(t).Equal(len(backend.queries), 2)
		})
	})
}

func TestFlush(t *testing.T) {
	t.Run("inside a transaction the answer comes before the Sync", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := dial(t, newFakeBackend(), limits.Limits{})
			c.logIn()
			c.send(query("begin"))
			c.expect("TDCZ")
			c.send(append(extended("select 'x'"), &pgproto3.Flush{})...)
			c.expect("12TDC")
			c.send(&pgproto3.Sync{})
			c.expectReady('T')
		})
	})
	t.Run("outside one it is refused and the rest skipped", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			backend := newFakeBackend()
			c := dial(t, backend, limits.Limits{})
			c.logIn()
			c.send(append(extended("select 'x'"), &pgproto3.Flush{})...)
			c.expectError("0A000")
			c.send(append(extended("select 'y'"), &pgproto3.Sync{})...)
			c.expectReady('I')
			is.New(t).Equal(len(backend.queries), 0)
		})
	})
	// Guards against statements that run after an error although PostgreSQL would have
	// skipped them, and against answers to messages that are skipped.
	t.Run("after an error of the database all is skipped up to the Sync", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			backend := newFakeBackend()
			c := dial(t, backend, limits.Limits{})
			c.logIn()
			c.send(query("begin"))
			c.expect("TDCZ")
			all := append(extended("boom"), &pgproto3.Flush{})
			all = append(all, extended("select '2'")...)
			all = append(all, &pgproto3.Flush{}, query("select '3'"))
			all = append(all, extended("select '4'")...)
			all = append(all, &pgproto3.Sync{}, query("rollback"))
			go c.post(all...)
			c.expect("12T")
			c.expectError("XX001")
			c.expectReady('E')
			c.expect("TDC")
			c.expectReady('I')
			is.New(t).Equal(len(backend.queries), 3) // begin, boom and rollback
		})
	})
	t.Run("a Parse and Describe alone are answered", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := dial(t, newFakeBackend(), limits.Limits{})
			c.logIn()
			c.send(&pgproto3.Parse{
				Name:  "held",
				Query: "select $1",
			}, &pgproto3.Describe{
				ObjectType: 'S',
				Name:       "held",
			}, &pgproto3.Flush{})
			c.expect("1tT")
			c.send(&pgproto3.Sync{})
			c.expectReady('I')
		})
	})
}

func TestPreparedNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := dial(t, newFakeBackend(), limits.Limits{})
		c.logIn()
		bad := &pgproto3.Parse{
			Name:  "a",
			Query: "syntax-error",
		}
		c.send(bad, &pgproto3.Sync{})
		c.expectError("42601")
		c.expectReady('I')
		good := &pgproto3.Parse{
			Name:  "a",
			Query: "select 'a'",
		}
		c.send(good, &pgproto3.Sync{})
		c.expect("1Z")
		c.send(good, &pgproto3.Sync{})
		c.expectError("42P05")
		c.expectReady('I')
		bind := &pgproto3.Bind{
			PreparedStatement: "a",
		}
		c.send(bind, &pgproto3.Execute{}, &pgproto3.Close{
			ObjectType: 'S',
			Name:       "a",
		}, &pgproto3.Sync{})
		c.expect("2DC3Z")
		c.send(bind, &pgproto3.Sync{})
		c.expectError("26000")
		c.expectReady('I')
	})
}

func TestShutdown(t *testing.T) {
	t.Run("an open transaction ends first", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := dial(t, newFakeBackend(), limits.Limits{})
			c.logIn()
			c.send(query("begin"))
			c.expect("TDCZ")
			ended := make(chan error, 1)
			go func() {
				ended <- c.server.Shutdown(context.Background())
			}()
			synctest.Wait()
			c.send(query("select 'x'"))
			c.expect("TDCZ")
			c.send(query("commit"))
			c.expect("TDCZ")
			c.expectEnd("57P01")
			is.New(t).NoErr(<-ended)
			<-c.server.Done()
		})
	})
	t.Run("the shutdown timeout aborts sessions", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := dial(t, newFakeBackend(), limits.Limits{})
			c.logIn()
			c.send(query("begin"))
			c.expect("TDCZ")
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			err := c.server.Shutdown(ctx)
			is.New(t).Equal(err, context.DeadlineExceeded)
			<-c.server.Done()
		})
	})
}

func TestPipeline(t *testing.T) {
	t.Run("an error ends its own batch only", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := dial(t, newFakeBackend(), limits.Limits{
				QueuedBatches: 1,
			})
			c.logIn()
			var all []pgproto3.FrontendMessage
			for _, text := range []string{"select '1'", "boom", "select '3'", "select '4'"} {
				all = append(all, extended(text)...)
				all = append(all, &pgproto3.Sync{})
			}
			go c.post(all...)
			c.expect("12TDCZ12T")
			c.expectError("XX001")
			c.expectReady('I')
			c.expect("12T")
			row, ok := c.expect("D").(*pgproto3.DataRow)
			is.New(t).True(ok)
			is.New(t).Equal(string(row.Values[0]), "3")
			c.expect("CZ12TDCZ")
		})
	})
	t.Run("an error of the database leaves the transaction failed and pinned", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			backend := newFakeBackend()
			c := dial(t, backend, limits.Limits{})
			c.logIn()
			c.send(query("begin"))
			c.expect("TDCZ")
			c.send(query("boom"))
			c.expect("T")
			c.expectError("XX001")
			c.expectReady('E')
			c.send(query("rollback"))
			c.expect("TDC")
			c.expectReady('I')
			is.New(t).Equal(len(backend.opens), 1)
		})
	})
	t.Run("an answer that does not fit ends the session", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			backend := newFakeBackend()
			backend.wrongAnswers = true
			c := dial(t, backend, limits.Limits{})
			c.logIn()
			go c.post(append(extended("select '1'"), &pgproto3.Sync{})...)
			c.expect("1")
			c.expectEnd("08007")
		})
	})
}
