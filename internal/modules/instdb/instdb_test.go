package instdb_test

import (
	"context"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/instdb"
	"wasabislip.example/wasabislip/pkg/model/inst"
)

// instance is an instance on loopback that answers each query with a status whose
// fencing token is the query's number.
type instance struct {
	listener net.Listener
	conns    sync.WaitGroup

	mu      sync.Mutex
	queries int
	// repeatAfter is when an answer is sent again, if not 0.
	repeatAfter time.Duration
	// stuck keeps the fencing token at 1.
	stuck bool
}

func newInstance(t *testing.T) *instance {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	i := &instance{
		listener: l,
	}
	i.conns.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			i.conns.Go(func() { i.serve(conn) })
		}
	})
	return i
}

// client returns a client that is closed before the instance.
func (i *instance) client(t *testing.T) *instdb.Client {
	t.Helper()
	c := instdb.New(instdb.Client{
		Instance: inst.Instance{
			Name:    "a",
			Address: i.listener.Addr().String(),
		},
		Database: "ledger",
		User:     "product",
	})
	t.Cleanup(func() {
		c.Close(context.Background())
		_ = i.listener.Close()
		i.conns.Wait()
	})
	return c
}

func (i *instance) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	b := pgproto3.NewBackend(conn, conn)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.BackendKeyData{
		ProcessID: 1,
		SecretKey: []byte{1, 2, 3, 4},
	})
	b.Send(&pgproto3.ReadyForQuery{
		TxStatus: 'I',
	})
	for b.Flush() == nil {
		if m, err := b.Receive(); err != nil {
			return
		} else if _, ok := m.(*pgproto3.Query); !ok {
			return
		}
		i.mu.Lock()
		i.queries++
		n, again := i.queries, i.repeatAfter
		if i.stuck {
			n = 1
		}
		i.mu.Unlock()
		sendStatus(b, n)
		if again > 0 {
			if b.Flush() != nil {
				return
			}
			time.Sleep(again)
			sendStatus(b, n)
		}
	}
}

func sendStatus(b *pgproto3.Backend, fence int) {
	row := []string{strconv.Itoa(fence), "1", "replica", "0/0", "0/0", ""}
	var fields []pgproto3.FieldDescription
	var values [][]byte
	for _, value := range row {
		fields = append(fields, pgproto3.FieldDescription{
			Name: []byte("column"),
		})
		values = append(values, []byte(value))
	}
	b.Send(&pgproto3.RowDescription{
		Fields: fields,
	})
	b.Send(&pgproto3.DataRow{
		Values: values,
	})
	b.Send(&pgproto3.CommandComplete{
		CommandTag: []byte("SELECT 1"),
	})
	b.Send(&pgproto3.ReadyForQuery{
		TxStatus: 'I',
	})
}

// TestRepeatedAnswers guards against a status that is taken for the answer to a later
// call: a coordinator would go on with a status from before its call.
func TestRepeatedAnswers(t *testing.T) {
	t.Run("a status answered twice", func(t *testing.T) {
		is := is.New(t)
		i := newInstance(t)
		i.repeatAfter = time.Millisecond
		c := i.client(t)
		for n := range 5 {
			s, err := c.Status(t.Context())
			is.NoErr(err)
			is.Equal(s.Fence, uint64(n+1))
			time.Sleep(50 * time.Millisecond)
		}
	})
	t.Run("a connection for statements", func(t *testing.T) {
		is := is.New(t)
		i := newInstance(t)
		i.repeatAfter = 20 * time.Millisecond
		conn, err := i.client(t).Dial(t.Context(), 1, false)
		is.NoErr(err)
		defer conn.Net.Close()
		is.True(conn.IsIdle())
		conn.Frontend.Send(&pgproto3.Query{})
		is.NoErr(conn.Frontend.Flush())
		for range len("TDCZ") {
			_, err := conn.Frontend.Receive()
			is.NoErr(err)
		}
		for range 500 { // until the repeated answer has arrived
			if !conn.IsIdle() {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.Fail() // the repeated answer was not noticed
	})
	t.Run("a fence whose answer has an earlier fencing token", func(t *testing.T) {
		is := is.New(t)
		i := newInstance(t)
		i.stuck = true
		c := i.client(t)
		_, err := c.Fence(t.Context(), 1)
		is.NoErr(err)
		_, err = c.Fence(t.Context(), 2)
		is.True(err != nil)
	})
}
