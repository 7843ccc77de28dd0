// Package holder runs statements for other hosts on this host's connections to
// instances.
package holder

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"k8s.io/klog/v2"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/permit"
	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/task"
	"wasabislip.example/wasabislip/internal/services/conns"
	"wasabislip.example/wasabislip/internal/services/runner"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	// writeTimeout bounds one answer to a host that reads slowly.
	writeTimeout = time.Second
	// acceptPause is the pause after a failed accept.
	acceptPause = 10 * time.Millisecond
	// maxErrand bounds one errand, in bytes: a statement of 1 MiB and its
	// session.
	maxTaskBytes = 4 << 20
	// maxTimeout bounds the time that another host may give a statement.
	maxTimeout = time.Minute
	// bufferSize holds a usual errand, in bytes.
	bufferBytes = 2048
)

// directory tells which instances there are.
type directory interface {
	Server(id string) (server.Server, bool)
}

// pools are the connections to instances.
type pools interface {
	Pool(s server.Server) *conns.Pool
}

// rates are the workspaces' rates whose home this host is.
type rates interface {
	Grant(workspace string, c permit.Request) (ok bool, after time.Duration, why string)
}

// Holder serves other hosts. It is safe for concurrent use.
type Holder struct {
	directory directory
	pools     pools
	rates     rates

	mu    sync.Mutex
	busy  int
	conns map[net.Conn]struct{}
}

// New returns a holder.
func New(d directory, p pools, r rates) *Holder {
	return &Holder{
		directory: d,
		pools:     p,
		rates:     r,
		conns:     map[net.Conn]struct{}{},
	}
}

// Serve takes other hosts' connections until the listener closes.
func (h *Holder) Serve(ctx context.Context, l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			klog.ErrorS(err, "another host's connection could not be accepted")
			time.Sleep(acceptPause)
			continue
		}
		go h.serve(ctx, c)
	}
}

// Busy returns how many errands and transactions are under way.
func (h *Holder) Busy() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.busy
}

// Close ends all connections.
func (h *Holder) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		_ = c.Close()
	}
}

func (h *Holder) addBusy(busy int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busy += busy
}

func (h *Holder) serve(ctx context.Context, c net.Conn) {
	h.mu.Lock()
	h.conns[c] = struct{}{}
	h.mu.Unlock()
	defer func() {
		_ = c.Close()
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.conns, c)
	}()
	x := &peerConn{
		server: h,
		runner: runner.New(h.directory, h.pools),
		conn:   c,
		r:      bufio.NewReaderSize(c, bufferBytes),
		w:      bufio.NewWriterSize(c, bufferBytes),
	}
	err := x.run(ctx)
	x.runner.Close()
	x.setBusy(false)
	if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		klog.V(1).InfoS("another host's connection ended", "err", err)
	}
}

// exchange is one connection of another host.
type peerConn struct {
	server *Holder
	runner *runner.Runner
	conn   net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	busy   bool
}

// mark counts the connection while an errand or a transaction is under way.
func (x *peerConn) setBusy(busy bool) {
	if busy == x.busy {
		return
	}
	x.busy = busy
	if busy {
		x.server.addBusy(1)
	} else {
		x.server.addBusy(-1)
	}
}

func (x *peerConn) run(ctx context.Context) error {
	options := protodelim.UnmarshalOptions{
		MaxSize: maxTaskBytes,
	}
	for {
		var m wasabislipv1.Errand
		if err := options.UnmarshalFrom(x.r, &m); err != nil {
			return err
		}
		x.setBusy(true)
		e := decodeTask(&m)
		a, err := x.runTask(ctx, e)
		if e.Kind == task.Rollback {
			x.setBusy(false)
			continue
		}
		if err := x.writeReply(&a, err); err != nil {
			return err
		}
		x.setBusy(err == nil && a.State != reply.Idle)
	}
}

func (x *peerConn) runTask(ctx context.Context, e *task.Task) (reply.Reply, error) {
	if e.Kind != task.Admit {
		return x.runner.Do(ctx, e)
	}
	ok, after, why := x.server.rates.Grant(e.Workspace, e.PermitRequest)
	if ok {
		return reply.Reply{
			StartAfter: after,
		}, nil
	}
	return reply.Reply{
		Outcome:    reply.Busy,
		Message:    why,
		RetryAfter: after,
	}, nil
}

func (x *peerConn) writeReply(a *reply.Reply, failure error) error {
	m := &wasabislipv1.ErrandAnswer{
		Rows:         a.Rows,
		Outcome:      int32(a.Outcome),
		Signature:    a.Signature,
		Message:      a.Message,
		RetryAfterMs: milliseconds(a.RetryAfter),
		StartAfterMs: milliseconds(a.StartAfter),
		State:        int32(a.State),
		Term:         a.Position.Term,
		Offset:       a.Position.Offset,
	}
	if failure != nil {
		m.Fault = fault.OutcomeUnknown
		m.Reason = failure.Error()
		if f := fault.As(failure); f != nil {
			m.Fault = f.Kind
			m.Reason = f.Reason
		}
	}
	if err := x.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := protodelim.MarshalTo(x.w, m); err != nil {
		return err
	}
	return x.w.Flush()
}

// milliseconds rounds up, so that nobody comes too early.
func milliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

func decodeTask(m *wasabislipv1.Errand) *task.Task {
	s := m.GetStatement()
	timeout := min(time.Duration(m.GetTimeoutMs())*time.Millisecond, maxTimeout)
	return &task.Task{
		Kind:          int(m.GetKind()),
		Instance:      m.GetInstance(),
		Workspace:     m.GetWorkspace(),
		SessionValues: m.GetValues(),
		Query: query.Query{
			ID:    s.GetId(),
			Kind:  int(s.GetKind()),
			Text:  s.GetText(),
			Name:  s.GetName(),
			Value: s.GetValue(),
			Args:  s.GetArgs(),
		},
		Prepared: m.GetPrepared(),
		ReadOnly: m.GetReadOnly(),
		Floor: logpos.Position{
			Term:   m.GetFloorTerm(),
			Offset: m.GetFloorOffset(),
		},
		Priority: int(m.GetPriority()),
		Wait:     time.Duration(m.GetWaitMs()) * time.Millisecond,
		PermitRequest: permit.Request{
			Wait:  time.Duration(m.GetClaimWaitMs()) * time.Millisecond,
			Level: int(m.GetClaimLevel()),
		},
		Deadline: time.Now().Add(timeout),
	}
}
