package forwd_test

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/task"
	"wasabislip.example/wasabislip/internal/services/forwd"
	"wasabislip.example/wasabislip/pkg/model/host"
)

// answer answers the n-th task of a connection, with n milliseconds.
func answer(n int, numbered bool) *wasabislipv1.ErrandAnswer {
	a := &wasabislipv1.ErrandAnswer{
		StartAfterMs: uint32(n),
	}
	if numbered {
		a.Number = uint64(n)
	}
	return a
}

// TestRepeatedAnswers guards against a task that gets the answer to an earlier one of
// its connection, after a host has answered twice.
func TestRepeatedAnswers(t *testing.T) {
	for _, c := range []struct {
		name     string
		numbered bool
		// repeat sends the answer before again in front of each answer.
		repeat bool
		fails  bool
	}{
		{
			name:     "one answer to each task",
			numbered: true,
		},
		{
			name: "a host of an earlier build",
		},
		{
			name:     "an answer that is repeated while the next task is under way",
			numbered: true,
			repeat:   true,
			fails:    true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			done := make(chan struct{})
			go func() {
				defer close(done)
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				r := bufio.NewReader(conn)
				for n := 1; protodelim.UnmarshalFrom(r, &wasabislipv1.Errand{}) == nil; n++ {
					if c.repeat && n > 1 {
						_, _ = protodelim.MarshalTo(conn, answer(n-1, c.numbered))
					}
					_, _ = protodelim.MarshalTo(conn, answer(n, c.numbered))
				}
			}()
			var conn net.Conn
			defer func() {
				_ = conn.Close()
				_ = l.Close()
				<-done
			}()
			conn, err = net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			f := forwd.New(host.Host{}, nil, nil, nil, func(context.Context, string, string) (net.Conn, error) {
				return conn, nil
			})
			for n := 1; n <= 3; n++ {
				r, err := f.Call(t.Context(), host.Host{
					Name: "h2",
				}, &task.Task{
					Kind:     task.Admit,
					Deadline: time.Now().Add(time.Second),
				})
				if n > 1 && c.fails {
					is.True(err != nil)
					return
				}
				is.NoErr(err)
				is.Equal(r.StartAfter, time.Duration(n)*time.Millisecond)
			}
		})
	}
}
