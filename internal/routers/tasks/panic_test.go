package tasks_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/permit"
	"wasabislip.example/wasabislip/internal/models/task"
	"wasabislip.example/wasabislip/internal/routers/tasks"
)

// panicking admits no operation, but panics.
type panicking struct{}

func (panicking) Grant(string, permit.Request) (ok bool, after time.Duration, why string) {
	panic("injected by the test")
}

// TestPanic guards against a connection that goes on after a panic in the middle of a
// task, whose answer would be missing or come twice, and against a host that counts the
// task as running for ever and never drains.
func TestPanic(t *testing.T) {
	is := is.New(t)
	h := newHost()
	s := tasks.New(h, h, panicking{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Serve(t.Context(), l)
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = conn.Write(encode(t, &wasabislipv1.Errand{
		Kind:      task.Admit,
		Workspace: "w",
		TimeoutMs: 800,
	}))
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	n, err := conn.Read(make([]byte, 100))
	is.Equal(n, 0)
	is.True(errors.Is(err, io.EOF)) // not the deadline
	is.NoErr(l.Close())
	<-done
	for range 100 {
		if s.Busy() == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(s.Busy(), 0)
}
