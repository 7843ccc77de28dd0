package tasks_test

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/permit"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/task"
	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/internal/routers/tasks"
	"wasabislip.example/wasabislip/internal/services/conns"
	"wasabislip.example/wasabislip/internal/services/link"
	"wasabislip.example/wasabislip/internal/standin/simcon"
)

// host has one instance, which answers everything, and grants every operation.
type host struct {
	pool  *conns.Pool
	dials atomic.Int64
}

func newHost() *host {
	h := &host{}
	h.pool = conns.New(server.Server{
		ID:    "i-1",
		Slots: 3,
	}, h)
	h.pool.Resize(10, 1)
	return h
}

func (h *host) MaySend(string) bool { return true }

func (h *host) Server(id string) (server.Server, bool) {
	return server.Server{
		ID: id,
	}, id == "i-1"
}

func (h *host) Pool(server.Server) *conns.Pool { return h.pool }

func (h *host) Dial(context.Context, string) (link.Link, error) {
	h.dials.Add(1)
	return &simcon.Conn{}, nil
}

func (h *host) Grant(string, permit.Request) (ok bool, after time.Duration, why string) {
	return true, 0, ""
}

// encode returns tasks as another host sends them.
func encode(f testing.TB, list ...*wasabislipv1.Errand) []byte {
	var b bytes.Buffer
	for _, m := range list {
		if _, err := protodelim.MarshalTo(&b, m); err != nil {
			f.Fatal(err)
		}
	}
	return b.Bytes()
}

// answerTime is enough for the answers to some tasks.
const answerTime = 20 * time.Millisecond

// readAll reads until the deadline or the connection's end.
func readAll(conn net.Conn) {
	answers := make([]byte, 1<<16)
	for {
		if _, err := conn.Read(answers); err != nil {
			return
		}
	}
}

// FuzzServe sends bytes as another host's tasks. They may not make the server panic,
// nor leave a task counted as running.
func FuzzServe(f *testing.F) {
	for kind := range int32(task.Admit + 2) {
		f.Add(encode(f, &wasabislipv1.Errand{
			Kind:      kind,
			Instance:  "i-1",
			Workspace: "w",
			TimeoutMs: 50,
		}))
	}
	f.Add(encode(f, &wasabislipv1.Errand{
		Kind:     task.Begin,
		Instance: "i-1",
	}, &wasabislipv1.Errand{
		Kind: task.InTransaction,
	}, &wasabislipv1.Errand{
		Kind: task.Rollback,
	}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, sent []byte) {
		h := newHost()
		s := tasks.New(h, h, h)
		panics := guard.Panics()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.Serve(ctx, l)
		}()
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(sent)
		// Tasks run only while the connection is open.
		_ = conn.SetReadDeadline(time.Now().Add(answerTime))
		readAll(conn)
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Time{})
		readAll(conn) // until the server has closed the connection
		_ = conn.Close()
		_ = l.Close()
		<-done
		if guard.Panics() != panics {
			t.Fatal("the server panicked")
		}
		if s.Busy() != 0 {
			t.Fatalf("%d tasks are counted as running", s.Busy())
		}
	})
}
