package pool_test

import (
	"context"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/dbconn"
	"wasabislip.example/wasabislip/internal/services/pool"
)

// instance accepts connections over loopback.
type instance struct {
	listener net.Listener
	// conns are the instance's sides of the connections.
	conns []net.Conn
}

func newInstance(t *testing.T) *instance {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	i := &instance{
		listener: l,
	}
	t.Cleanup(func() {
		_ = l.Close()
		for _, c := range i.conns {
			_ = c.Close()
		}
	})
	return i
}

// Dial opens a connection.
func (i *instance) Dial(context.Context, uint64, bool) (*dbconn.Conn, error) {
	near, err := net.Dial("tcp", i.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	far, err := i.listener.Accept()
	if err != nil {
		return nil, err
	}
	i.conns = append(i.conns, far)
	return &dbconn.Conn{
		Net:      near,
		Frontend: pgproto3.NewFrontend(near, near),
	}, nil
}

// TestUnreadInput guards against a batch that gets what the instance sent before it:
// the pooled connection was out of step.
func TestUnreadInput(t *testing.T) {
	ready, err := (&pgproto3.ReadyForQuery{
		TxStatus: 'I',
	}).Encode(nil)
	is.New(t).NoErr(err)
	notice, err := (&pgproto3.NoticeResponse{}).Encode(nil)
	is.New(t).NoErr(err)
	for _, c := range []struct {
		name string
		sent []byte
		// read is how many messages are read before the connection is put back.
		read int
		// closed tells that the instance closes the connection.
		closed bool
		used   bool
	}{
		{
			name: "nothing",
			used: true,
		},
		{
			name: "an answer that was read",
			sent: ready,
			read: 1,
			used: true,
		},
		{
			name: "an answer that came late",
			sent: ready,
		},
		{
			name: "an answer that came twice",
			sent: append(append([]byte(nil), ready...), ready...),
			read: 1,
		},
		{
			name: "a notice",
			sent: notice,
		},
		{
			name:   "the end of the connection",
			closed: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			i := newInstance(t)
			p := pool.New(i, 8)
			first, err := p.Get(t.Context(), false)
			is.NoErr(err)
			far := i.conns[0]
			_, err = far.Write(c.sent)
			is.NoErr(err)
			if c.closed {
				is.NoErr(far.Close())
			}
			for range c.read {
				_, err := first.Frontend.Receive()
				is.NoErr(err)
			}
			p.Put(first)
			second, err := p.Get(t.Context(), false)
			is.NoErr(err)
			is.Equal(second == first, c.used)
			is.Equal(p.Open(), 1)
		})
	}
}
