package tasks_test

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/task"
	"wasabislip.example/wasabislip/internal/routers/tasks"
	"wasabislip.example/wasabislip/internal/services/conns"
	"wasabislip.example/wasabislip/internal/services/forwd"
	"wasabislip.example/wasabislip/pkg/model/fault"
	modelhost "wasabislip.example/wasabislip/pkg/model/host"
)

// requester is a host that uses the connections of a holder, and its own where the
// holder does not answer.
type requester struct {
	own    *host
	holder modelhost.Host
}

func (r *requester) Alive() []modelhost.Host                { return []modelhost.Host{r.holder} }
func (r *requester) Server(id string) (server.Server, bool) { return r.own.Server(id) }
func (r *requester) MaySend(string) bool                    { return true }
func (r *requester) Policy() *policy.Policy                 { return nil }
func (r *requester) Pool(s server.Server) *conns.Pool       { return r.own.Pool(s) }

// newHolder starts a holder that admits by priority, all whose slots are taken.
func newHolder(t *testing.T, is *is.I) net.Listener {
	t.Helper()
	h := newHost()
	h.pool.SetAdmission(true)
	for range 3 {
		_, err := h.pool.Admit(t.Context(), &conns.Request{
			Workspace: "w",
			Level:     2,
			Wait:      time.Second,
			Objective: time.Second,
			Deadline:  time.Now().Add(time.Second),
		})
		is.NoErr(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := tasks.New(h, h, h)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Serve(t.Context(), l)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
		<-done
	})
	return l
}

// newTask returns a statement of the least urgent level.
func newTask() *task.Task {
	return &task.Task{
		Instance:  "i-1",
		Workspace: "w",
		Level:     2,
		Objective: 200 * time.Millisecond,
		Wait:      40 * time.Millisecond,
		Deadline:  time.Now().Add(time.Second),
	}
}

// forward runs a statement at the holder at an address.
func forward(t *testing.T, address string) (own *host, err error) {
	t.Helper()
	r := &requester{
		own: newHost(),
		holder: modelhost.Host{
			Name:       "holder",
			DataCentre: "a",
			RunAddress: address,
			State:      modelhost.Alive,
		},
	}
	var d net.Dialer
	f := forwd.New(modelhost.Host{
		Name:       "requester",
		DataCentre: "b",
	}, r, r, r, d.DialContext)
	x := f.Open(server.Server{
		ID:         "i-1",
		DataCentre: "a",
	}, "w")
	defer x.Close()
	_, err = x.Do(t.Context(), newTask())
	return r.own, err
}

// TestAdmission checks what the requesting host is told of a statement at a holder.
func TestAdmission(t *testing.T) {
	t.Run("a rejection carries the time of the turn and the level", func(t *testing.T) {
		is := is.New(t)
		own, err := forward(t, newHolder(t, is).Addr().String())
		is.True(fault.IsKind(err, fault.Overloaded))
		is.True(fault.As(err).RetryAfter > 0)
		is.True(strings.Contains(err.Error(), "level 2"))
		is.Equal(own.dials.Load(), int64(0))
	})
	t.Run("the own connections are used when the holder is gone", func(t *testing.T) {
		is := is.New(t)
		l := newHolder(t, is)
		_ = l.Close()
		own, err := forward(t, l.Addr().String())
		is.NoErr(err)
		is.Equal(own.dials.Load(), int64(1))
	})
	t.Run("a level below 0 is rejected and nothing runs", func(t *testing.T) {
		is := is.New(t)
		conn, err := net.Dial("tcp", newHolder(t, is).Addr().String())
		is.NoErr(err)
		defer conn.Close()
		_, err = conn.Write(encode(t, &wasabislipv1.Errand{
			Instance: "i-1",
			Level:    -1,
		}))
		is.NoErr(err)
		var a wasabislipv1.ErrandAnswer
		is.NoErr(protodelim.UnmarshalFrom(bufio.NewReader(conn), &a))
		is.Equal(a.GetFault(), fault.BadRequest)
		is.True(strings.Contains(string(a.GetReason()), "level"))
	})
}
