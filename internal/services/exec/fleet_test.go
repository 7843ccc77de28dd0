package exec_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	v1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/record"
	"wasabislip.example/wasabislip/internal/modules/dbconn"
	"wasabislip.example/wasabislip/internal/services/coord"
	"wasabislip.example/wasabislip/internal/services/exec"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/group"
	"wasabislip.example/wasabislip/pkg/model/inst"
	"wasabislip.example/wasabislip/pkg/model/route"
)

// fakeTable is a fake table with one row.
type fakeTable struct {
	mu  sync.Mutex
	row record.Record
	// loseAnswers is how many of the next writes take effect but return an
	// error.
	loseAnswers int
	// down makes every call fail.
	down bool
}

func (table *fakeTable) Get(context.Context, string, string) (record.Record, error) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if table.down {
		return record.Record{}, errors.New("table down")
	}
	return table.row, nil
}

func (table *fakeTable) Put(_ context.Context, row record.Record, expect uint64) error {
	table.mu.Lock()
	defer table.mu.Unlock()
	if table.down {
		return errors.New("table down")
	}
	if table.row.Version != expect {
		return fault.New(fault.Conflict, "the row was changed", "read it again")
	}
	row.Version = expect + 1
	table.row = row
	if table.loseAnswers > 0 {
		table.loseAnswers--
		return errors.New("answer lost")
	}
	return nil
}

// fakePolicy is a fake policy with a route of each kind.
type fakePolicy struct{}

func (fakePolicy) Route(name string) *route.Route {
	switch name {
	case "write":
		return &route.Route{
			Name: name,
			Kind: route.Write,
		}
	case "session", "primary", "bounded":
		return &route.Route{
			Name:      name,
			Kind:      route.Read,
			Freshness: name,
			MaxAge:    100 * time.Millisecond,
		}
	}
	return nil
}

func (fakePolicy) Share(string, string) float64 {
	return 0.25
}

func (fakePolicy) Weight(string) float64 {
	return 1
}

// freeSlots is a queue that grants every slot at once.
type freeSlots struct{}

func (freeSlots) Acquire(context.Context, string, float64) (func(), error) {
	return func() {}, nil
}

// noCancels ignores cancel requests.
type noCancels struct{}

func (noCancels) Cancel(context.Context, *dbconn.Conn) error {
	return nil
}

// host is one coordinator with its executor.
type host struct {
	*exec.Executor
	ctx         context.Context //nolint:containedctx // the bubble's, not the outer test's
	coordinator *coord.Coordinator
	group       *fakeGroup
}

func database() group.Database {
	d := group.Database{
		Name: "ledger",
	}
	for _, name := range []string{"a", "b", "c"} {
		d.Instances = append(d.Instances, inst.Instance{
			Name:        name,
			Address:     "127.0.0.1:1",
			Slots:       2,
			Connections: 20,
		})
	}
	return d
}

func newHost(ctx context.Context, name string, g *fakeGroup, table *fakeTable) *host {
	s := coord.New(database(), name, "127.0.0.1:2", table, fakePolicy{})
	r := exec.New(s, name, fakePolicy{}, fakePolicy{})
	for _, n := range g.instances {
		s.AddInstance(n)
		r.Add(freeSlots{}, noCancels{})
	}
	go s.Run(ctx)
	return &host{
		Executor:    r,
		ctx:         ctx,
		coordinator: s,
		group:       g,
	}
}

// result is the result of one batch as the caller sees it.
type result struct {
	kind     string
	code     string
	instance string
	count    string
	position *v1.Position
	done     bool
}

// fakeStream is a fake stream of a caller.
type fakeStream struct {
	mu       sync.Mutex
	requests chan *v1.RunRequest
	answers  []byte
	last     *v1.RunResponse
	ready    chan struct{}
}

func (c *fakeStream) Receive(ctx context.Context) (*v1.RunRequest, error) {
	select {
	case r, ok := <-c.requests:
		if !ok {
			return nil, io.EOF
		}
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *fakeStream) Send(r *v1.RunResponse) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, r.GetMessages()...)
	if r.GetReady() {
		c.last = r
		c.ready <- struct{}{}
	}
	return nil
}

func (c *fakeStream) result() result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := result{
		kind:     c.last.GetRefusal().GetKind(),
		position: c.last.GetPosition(),
	}
	f := pgproto3.NewFrontend(&byteReader{
		data: c.answers,
	}, io.Discard)
	for {
		m, err := f.Receive()
		if err != nil {
			return r
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			r.code = m.Code
		case *pgproto3.DataRow:
			r.instance, r.count = string(m.Values[0]), string(m.Values[len(m.Values)-1])
		case *pgproto3.CommandComplete:
			r.done = true
		}
	}
}

type byteReader struct {
	data []byte
}

func (r *byteReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.data)
	r.data = r.data[n:]
	return n, nil
}

func query(text string) []byte {
	q := pgproto3.Query{
		String: text,
	}
	out, _ := q.Encode(nil)
	return out
}

// call runs one batch outside of a transaction.
func (h *host) call(t *testing.T, open *v1.Open, messages []byte, timeout time.Duration, statements ...*v1.Statement) result {
	t.Helper()
	c := &fakeStream{
		requests: make(chan *v1.RunRequest),
		ready:    make(chan struct{}, 8),
	}
	if open.RequestId == "" {
		open.RequestId = "r" + time.Now().String()
	}
	err := h.Run(h.ctx, &v1.RunRequest{
		Open:       open,
		Messages:   messages,
		TimeoutMs:  timeout.Milliseconds(),
		Statements: statements,
	}, c)
	if err != nil {
		t.Errorf("run: %v", err)
		return result{}
	}
	return c.result()
}

func (h *host) write(t *testing.T, text string) result {
	t.Helper()
	return h.call(t, &v1.Open{
		Route: "write",
	}, query("write "+text), 2*time.Second)
}

func (h *host) read(t *testing.T, routeName string, minPosition *v1.Position) result {
	t.Helper()
	return h.call(t, &v1.Open{
		Route:  routeName,
		Floor:  minPosition,
		Fenced: minPosition == nil,
	}, query("read"), 2*time.Second)
}

// withFakeGroup runs test in a synctest bubble with a fake group of instances, a
// fake table and one coordinator.
func withFakeGroup(t *testing.T, test func(is *is.I, ctx context.Context, g *fakeGroup, table *fakeTable, h *host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := newFakeGroup(ctx)
		table := &fakeTable{}
		h := newHost(ctx, "h1", g, table)
		defer func() {
			cancel()
			<-h.coordinator.Done()
			time.Sleep(2 * time.Hour)
		}()
		test(is.New(t), ctx, g, table, h)
	})
}

func (fakePolicy) RecordStatement(string, string) {}

func (fakePolicy) RecordFailover(bool, time.Duration) {}
