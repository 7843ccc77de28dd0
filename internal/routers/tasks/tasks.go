// Package tasks runs the tasks (errands on the wire) that other hosts send to this
// one. Most are statements: this host is the holder of the workspace's connections
// to an instance then (see package forwd). The others ask this host, as the home of a
// workspace's rate, to admit an operation, or tell it the counts of their requests.
package tasks

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"k8s.io/klog/v2"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/load"
	"wasabislip.example/wasabislip/internal/models/permit"
	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/task"
	"wasabislip.example/wasabislip/internal/models/usage"
	"wasabislip.example/wasabislip/internal/modules/alive"
	"wasabislip.example/wasabislip/internal/modules/count"
	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/internal/modules/hostpb"
	"wasabislip.example/wasabislip/internal/services/conns"
	"wasabislip.example/wasabislip/internal/services/runner"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	// writeTimeout bounds the writing of one answer to a host that reads slowly.
	writeTimeout = time.Second
	// acceptPause is the pause after a failed accept.
	acceptPause = 10 * time.Millisecond
	// maxTaskBytes bounds a task. It holds the text of a statement, its arguments and its
	// declaration, of up to 1 MiB each, and up to 8 MiB of session values (see package sess).
	maxTaskBytes = 16 << 20
	// maxTimeout bounds the timeout that another host may set for a statement.
	maxTimeout = time.Minute
	// bufferBytes is the size of a connection's buffers: a usual task fits in.
	bufferBytes = 2048
)

// errAbandoned ends a connection whose other side has given up.
var errAbandoned = errors.New("the other host has closed the connection before its task was run")

// directory looks up instances.
type directory interface {
	Server(id string) (server.Server, bool)
	MaySend(id string) bool
}

// pools holds this host's connections to instances.
type pools interface {
	Pool(s server.Server) *conns.Pool
}

// rates holds the token buckets of the workspaces whose home this host is.
type rates interface {
	Grant(workspace string, request permit.Request) (ok bool, after time.Duration, why string)
}

// reporter takes the counts of other hosts' requests.
type reporter interface {
	Add(m *usage.Message) error
}

// Server runs tasks for other hosts. It is safe for concurrent use.
type Server struct {
	// Counter counts the requests that this host sends to instances, and Reporter
	// takes the counts of other hosts. Both are nil if no usage is reported, and set
	// before Serve.
	Counter  *count.Counter
	Reporter reporter

	directory directory
	pools     pools
	rates     rates

	mu    sync.Mutex
	busy  int
	conns map[net.Conn]struct{}
}

// New returns a server.
func New(d directory, p pools, r rates) *Server {
	return &Server{
		directory: d,
		pools:     p,
		rates:     r,
		conns:     map[net.Conn]struct{}{},
	}
}

// Serve serves other hosts' connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			klog.ErrorS(err, "another host's connection could not be accepted")
			time.Sleep(acceptPause)
			continue
		}
		go guard.Run("task", func() {
			s.serve(ctx, conn)
		})
	}
}

// Busy returns how many connections have a task running or a transaction open.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// Close ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) addBusy(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy += n
}

// serve runs the tasks of one connection.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
	r := runner.New(s.directory, s.pools)
	r.Counter = s.Counter
	c := &peerConn{
		server: s,
		runner: r,
		conn:   conn,
		r:      bufio.NewReaderSize(conn, bufferBytes),
		w:      bufio.NewWriterSize(conn, bufferBytes),
	}
	// After a panic the runner is not closed: its connection to the instance may hold
	// an unread answer, so that it must not go back to the pool.
	defer c.setBusy(false)
	err := c.run(ctx)
	c.runner.Close()
	if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		klog.V(1).InfoS("another host's connection ended", "err", err)
	}
}

// peerConn is a connection from another host. It carries one task at a time.
type peerConn struct {
	server *Server
	runner *runner.Runner
	conn   net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	busy   bool
}

// setBusy counts the connection as busy while a task runs or a transaction is
// open.
func (c *peerConn) setBusy(busy bool) {
	if busy == c.busy {
		return
	}
	c.busy = busy
	if busy {
		c.server.addBusy(1)
	} else {
		c.server.addBusy(-1)
	}
}

// run reads tasks, runs them and writes the answers until the connection fails.
func (c *peerConn) run(ctx context.Context) error {
	options := protodelim.UnmarshalOptions{
		MaxSize: maxTaskBytes,
	}
	for {
		var m wasabislipv1.Errand
		if err := options.UnmarshalFrom(c.r, &m); err != nil {
			return err
		}
		t, invalid := decodeTask(&m)
		if t.Kind != task.Rollback && !c.isAwaited() {
			return errAbandoned
		}
		if invalid != nil && t.Kind != task.Rollback {
			if err := c.writeReply(m.GetNumber(), &reply.Reply{}, invalid); err != nil {
				return err
			}
			continue
		}
		c.setBusy(true)
		r, err := c.runTask(ctx, t)
		if t.Kind == task.Rollback {
			c.setBusy(false)
			continue
		}
		if err := c.writeReply(m.GetNumber(), &r, err); err != nil {
			return err
		}
		c.setBusy(err == nil && r.State != reply.Idle)
	}
}

// isAwaited reports whether the other host still waits for the answer to the task that
// was read last. It closes the connection once a task has timed out. Tasks may lie in
// the socket's buffer for long while this process is suspended: a write that ran then
// would come after later ones of its session.
func (c *peerConn) isAwaited() bool {
	return c.r.Buffered() > 0 || alive.IsOpen(c.conn)
}

// runTask runs a statement, or admits an operation. An error says that the instance
// gave no answer.
func (c *peerConn) runTask(ctx context.Context, t *task.Task) (reply.Reply, error) {
	switch t.Kind {
	case task.Admit:
	case task.Usage:
		return reply.Reply{}, c.server.addUsage(t.Usage)
	default:
		return c.runner.Do(ctx, t)
	}
	ok, after, why := c.server.rates.Grant(t.Workspace, t.PermitRequest)
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

// addUsage takes the counts of another host's requests.
func (s *Server) addUsage(m *usage.Message) error {
	if m == nil || s.Reporter == nil {
		return fault.New(
			fault.BadRequest,
			"the field usage of a task is missing, or this host reports no usage",
			"set the field, and report-window on all hosts",
		)
	}
	return s.Reporter.Add(m)
}

// writeReply sends the answer to the task with a number. A failure is sent as a fault: if it is not
// a fault itself, the outcome counts as unknown.
func (c *peerConn) writeReply(number uint64, r *reply.Reply, failure error) error {
	m := &wasabislipv1.ErrandAnswer{
		Rows:         hostpb.RowsToProto(r.Rows),
		Outcome:      int32(r.Outcome),
		Signature:    []byte(r.Signature),
		Message:      []byte(r.Message),
		RetryAfterMs: milliseconds(r.RetryAfter),
		StartAfterMs: milliseconds(r.StartAfter),
		State:        int32(r.State),
		Term:         r.Position.Term,
		Offset:       r.Position.Offset,
		Load:         encodeLoad(r.Load),
		Number:       number,
	}
	if failure != nil {
		m.Fault = fault.OutcomeUnknown
		reason := failure.Error()
		if f := fault.As(failure); f != nil {
			m.Fault = f.Kind
			reason = f.Reason
			if f.Remedy != "" && fault.IsRefusal(f) {
				reason += "; " + f.Remedy
			}
			m.RetryAfterMs = milliseconds(f.RetryAfter)
		}
		m.Reason = []byte(reason)
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := protodelim.MarshalTo(c.w, m); err != nil {
		return err
	}
	return c.w.Flush()
}

// encodeLoad returns the message of a load report; nil without one.
func encodeLoad(r *load.Report) *wasabislipv1.InstanceLoad {
	if r == nil {
		return nil
	}
	return &wasabislipv1.InstanceLoad{
		Instance:      r.Instance,
		Running:       uint32(r.Running),
		Waiting:       uint32(r.Waiting),
		ServiceUs:     uint32(r.Service.Microseconds()),
		CompletedPerS: uint32(r.CompletedPerSecond),
		StartedMs:     r.StartedMs,
	}
}

// milliseconds rounds up, so that no host or caller retries too early.
func milliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

// decodeTask returns the task of a message, with its timeout as a deadline. An error
// says which field is invalid; the task must not run then.
func decodeTask(m *wasabislipv1.Errand) (*task.Task, error) {
	s := m.GetStatement()
	timeout := min(time.Duration(m.GetTimeoutMs())*time.Millisecond, maxTimeout)
	objective := min(time.Duration(m.GetObjectiveMs())*time.Millisecond, maxTimeout)
	level := int(m.GetLevel())
	var err error
	switch {
	case level < 0:
		err = fault.New(
			fault.BadRequest,
			fmt.Sprintf("level %d of a task is below 0", level),
			"send the rank of the statement's priority, from 0",
		)
	case objective == 0:
		// The level is not known: the sender is of an earlier build. Only
		// statements that are known to be most urgent may queue in the instance.
		level = max(level, 1)
	}
	t := &task.Task{
		Kind:          int(m.GetKind()),
		Instance:      m.GetInstance(),
		Workspace:     m.GetWorkspace(),
		SessionValues: hostpb.ValuesFromProto(m.GetValues()),
		Query: query.Query{
			ID:    string(s.GetId()),
			Kind:  int(s.GetKind()),
			Text:  string(s.GetText()),
			Name:  string(s.GetName()),
			Value: string(s.GetValue()),
			Args:  string(s.GetArgs()),
		},
		Prepared: string(m.GetPrepared()),
		ReadOnly: m.GetReadOnly(),
		MinPosition: logpos.Position{
			Term:   m.GetFloorTerm(),
			Offset: m.GetFloorOffset(),
		},
		Priority: int(m.GetPriority()),
		Wait:     time.Duration(m.GetWaitMs()) * time.Millisecond,
		PermitRequest: permit.Request{
			Wait:  time.Duration(m.GetClaimWaitMs()) * time.Millisecond,
			Level: int(m.GetClaimLevel()),
		},
		Usage:     hostpb.UsageFromProto(m.GetUsage()),
		Level:     level,
		Objective: objective,
		Deadline:  time.Now().Add(timeout),
	}
	return t, err
}
