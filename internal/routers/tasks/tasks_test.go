package tasks_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/routers/tasks"
)

// TestSuspended checks that a host which was suspended runs no write that the other
// host has given up: in the soak, seed 6030, two such writes ran 0.6 and 2.7 s late, after
// later writes of their session.
func TestSuspended(t *testing.T) {
	write := encode(t, &wasabislipv1.Errand{
		Instance:  "i-1",
		Workspace: "w",
		Statement: &wasabislipv1.ErrandQuery{
			Id:   []byte("c1-1"),
			Text: []byte("WRITE item 1"),
		},
		TimeoutMs: 800,
	})
	run := func(what string, closed bool, dials int64) {
		t.Run(what, func(t *testing.T) {
			is := is.New(t)
			h := newHost()
			s := tasks.New(h, h, h)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			conn, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			_, err = conn.Write(write)
			is.NoErr(err)
			if closed {
				is.NoErr(conn.(*net.TCPConn).CloseWrite())
			}
			// The host goes on: only now it accepts the connection.
			done := make(chan struct{})
			go func() {
				defer close(done)
				s.Serve(t.Context(), l)
			}()
			if !closed {
				_, err = conn.Read(make([]byte, 1))
				is.NoErr(err)
				is.NoErr(conn.(*net.TCPConn).CloseWrite())
			}
			readAll(conn) // until the host has closed the connection
			is.NoErr(l.Close())
			<-done
			is.Equal(h.dials.Load(), dials)
		})
	}
	run("a task that is waited for runs", false, 1)
	run("a task that was given up does not run", true, 0)
}
