package caller_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/routers/caller"
)

// pipeListener is a listener that accepts connections in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	close(p.closed)
	return nil
}

func (p *pipeListener) Addr() net.Addr {
	return &net.TCPAddr{}
}

// TestIdleCallerOfWithdrawnKey checks that the session of a withdrawn key ends within
// two seconds although its caller sends nothing.
func TestIdleCallerOfWithdrawnKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backend := newFakeBackend()
		s := caller.New(backend, backend, backend)
		s.AllowPlaintext = true
		l := &pipeListener{
			conns:  make(chan net.Conn),
			closed: make(chan struct{}),
		}
		go func() {
			_ = s.Serve(l)
		}()
		ours, theirs := net.Pipe()
		defer ours.Close()
		l.conns <- theirs
		c := &testClient{
			t:     t,
			conn:  ours,
			front: pgproto3.NewFrontend(ours, ours),
		}
		c.logIn()
		time.Sleep(time.Minute)
		backend.set(func(backend *fakeBackend) {
			backend.withdrawn = true
			backend.version++
		})
		before := time.Now()
		c.expectEnd("28000")
		is.True(time.Since(before) <= 2*time.Second)
		is.NoErr(s.Shutdown(context.Background()))
	})
}
