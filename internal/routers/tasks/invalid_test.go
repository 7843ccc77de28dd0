package tasks_test

import (
	"bufio"
	"net"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/task"
	"wasabislip.example/wasabislip/internal/routers/tasks"
)

// TestRefusedTask guards against a refused task that shifts the answers of its
// connection.
func TestRefusedTask(t *testing.T) {
	t.Run("a Rollback that can't be decoded has no answer either", func(t *testing.T) {
		is := is.New(t)
		h := newHost()
		s := tasks.New(h, h, h)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.Serve(t.Context(), l)
		}()
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() {
			_ = conn.Close()
			_ = l.Close()
			<-done
		})
		_, err = conn.Write(encode(t, &wasabislipv1.Errand{
			Kind:  task.Rollback,
			Level: -1,
		}, &wasabislipv1.Errand{
			Kind:      task.Admit,
			Workspace: "w",
			TimeoutMs: 800,
			Number:    7,
		}))
		is.NoErr(err)
		var a wasabislipv1.ErrandAnswer
		is.NoErr(protodelim.UnmarshalFrom(bufio.NewReader(conn), &a))
		is.Equal(a.GetFault(), "")
		is.Equal(a.GetNumber(), uint64(7))
	})
}
