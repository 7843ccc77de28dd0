// Package runner runs statements on this host's own connections to instances.
package runner

import (
	"context"
	"errors"
	"time"

	"wasabislip.example/wasabislip/internal/models/load"
	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/task"
	"wasabislip.example/wasabislip/internal/modules/count"
	"wasabislip.example/wasabislip/internal/services/conns"
	"wasabislip.example/wasabislip/internal/services/link"
	"wasabislip.example/wasabislip/internal/services/pconn"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// rollbackTimeout bounds the sending of a rollback.
const rollbackTimeout = time.Second

// anonymousWorkspace is what instances are told for callers without a key. Their
// requests are nobody's usage.
const anonymousWorkspace = "-"

// directory looks up instances.
type directory interface {
	Server(id string) (server.Server, bool)
	MaySend(id string) bool
}

// pools holds the connections to instances.
type pools interface {
	Pool(s server.Server) *conns.Pool
}

// Runner runs the statements of one caller, one after the other. Between the
// start of a transaction and its end it keeps the connection. One goroutine
// uses it at a time.
type Runner struct {
	// Counter counts the requests that are sent to instances; nil if no usage is
	// reported. It is set before the first task.
	Counter *count.Counter

	directory directory
	pools     pools

	pool *conns.Pool
	conn *pconn.Conn
	// counted says that the open transaction has been counted.
	counted bool
	// ran says that a statement of the open transaction has been sent.
	ran bool
}

// New returns a runner without a connection.
func New(d directory, p pools) *Runner {
	return &Runner{
		directory: d,
		pools:     p,
	}
}

// Do runs one task. Errors are faults: overloaded, draining and not-run say that the
// statement was not sent, outcome-unknown that no answer came.
func (r *Runner) Do(ctx context.Context, t *task.Task) (reply.Reply, error) {
	switch t.Kind {
	case task.InTransaction:
		return r.runInTransaction(t)
	case task.Rollback:
		r.rollback()
		return reply.Reply{}, nil
	}
	r.rollback() // of a caller that began another transaction without an end
	if err := r.connect(ctx, t); err != nil {
		return reply.Reply{
			Load: r.load(),
		}, err
	}
	if t.Kind == task.Begin {
		r.counted = false
		r.ran = false
		r.conn.Begin(t.ReadOnly, t.MinPosition)
	} else {
		r.send(t)
	}
	return r.flushAndReceive(t, t.Kind == task.Begin)
}

// Close rolls an open transaction back.
func (r *Runner) Close() {
	r.rollback()
}

// connect gets a connection from the pool and sets the session settings on it.
func (r *Runner) connect(ctx context.Context, t *task.Task) error {
	s, ok := r.directory.Server(t.Instance)
	if !ok {
		return fault.New(
			fault.NotRun,
			"instance "+t.Instance+" is not known here",
			"retry; another instance may serve",
		)
	}
	r.pool = r.pools.Pool(s)
	c, err := r.pool.Admit(ctx, &conns.Request{
		Workspace: t.Workspace,
		Settings:  t.SessionValues,
		Priority:  t.Priority,
		Wait:      t.Wait,
		Level:     t.Level,
		Objective: t.Objective,
		Deadline:  t.Deadline,
	})
	if err != nil {
		return err
	}
	if !r.directory.MaySend(t.Instance) {
		r.pool.Put(c)
		return leaving(t.Instance)
	}
	r.conn = c
	c.ApplySettings(t.SessionValues)
	return nil
}

// send queues the statement. A prepared statement has a name of its own on each
// connection.
func (r *Runner) send(t *task.Task) {
	q := t.Query
	if q.Kind == query.Execute {
		q.Name = r.conn.Prepare(t.Prepared)
	}
	r.conn.Send(&q, t.MinPosition)
}

// flushAndReceive sends what is queued and reads the answer. It returns the
// connection to the pool, unless keeps is set and a transaction is open.
func (r *Runner) flushAndReceive(t *task.Task, keeps bool) (reply.Reply, error) {
	request := r.beginRequest(t)
	sentAt := time.Now()
	err := r.conn.Flush(t.Deadline)
	if err != nil {
		request.Refused()
		r.returnConn(false)
		return reply.Reply{}, unsent(t.Instance, err)
	}
	a, err := r.conn.Receive(t.Deadline)
	if err != nil {
		request.Ran() // or may have
		r.returnConn(false)
		return reply.Reply{}, unanswered(t.Instance, err)
	}
	r.endRequest(request, &a)
	switch a.Outcome {
	case reply.Busy:
		r.pool.RecordRefusal()
	case reply.Done:
		r.pool.RecordSuccess(r.conn)
		if t.Kind != task.Begin {
			r.pool.RecordService(time.Since(sentAt))
		}
	}
	if !keeps || !r.conn.InTransaction() || !r.conn.IsUsable() {
		r.returnConn(!r.conn.InTransaction() && r.conn.IsUsable())
	} else {
		r.pool.PauseTransaction(r.conn)
	}
	a.Load = r.load()
	return a, nil
}

// isRequest reports whether a statement that is sent to an instance is counted as a
// request: one outside of a transaction, and the first of a transaction after its begin.
// Without the last condition each statement of a transaction is.
func (r *Runner) isRequest(t *task.Task) bool {
	return t.Kind == task.Autocommit || t.Kind == task.InTransaction && !r.counted
}

// beginRequest counts a statement that is about to be sent; it returns nil if it is not
// counted.
func (r *Runner) beginRequest(t *task.Task) *count.Request {
	if !r.isRequest(t) || r.conn.Workspace == anonymousWorkspace {
		return nil
	}
	r.counted = true
	return r.Counter.Begin(r.conn.Workspace)
}

// endRequest records whether the instance ran a request that it answered.
func (r *Runner) endRequest(request *count.Request, a *reply.Reply) {
	if request == nil {
		return
	}
	if a.NotRun() {
		r.counted = false
		request.Refused()
		return
	}
	request.Ran()
}

// load returns the load of the instance that was used last; nil if it is not reported.
func (r *Runner) load() *load.Report {
	if r.pool == nil {
		return nil
	}
	return r.pool.Load()
}

// runInTransaction runs a statement of the open transaction. No minimum position
// is sent with it: the transaction's start has checked that.
func (r *Runner) runInTransaction(t *task.Task) (reply.Reply, error) {
	if r.conn == nil {
		return reply.Reply{}, fault.New(
			fault.NotRun,
			"no transaction is open here",
			"start the transaction again",
		)
	}
	if !r.ran && !r.directory.MaySend(t.Instance) {
		r.rollback()
		return reply.Reply{}, leaving(t.Instance)
	}
	r.ran = true
	r.pool.ResumeTransaction(r.conn)
	r.conn.ApplySettings(t.SessionValues)
	t.MinPosition = logpos.Position{}
	r.send(t)
	return r.flushAndReceive(t, true)
}

// rollback rolls the open transaction back without waiting for the answer.
func (r *Runner) rollback() {
	if r.conn == nil {
		return
	}
	r.conn.Rollback()
	r.conn.MarkRolledBack()
	r.returnConn(r.conn.Flush(time.Now().Add(rollbackTimeout)) == nil)
}

// returnConn returns the connection to the pool if it is usable, or else closes
// it.
func (r *Runner) returnConn(usable bool) {
	if usable {
		r.pool.Put(r.conn)
	} else {
		r.pool.Drop(r.conn)
	}
	r.conn = nil
}

// leaving returns the fault for a statement that waited until its instance no longer takes
// new work.
func leaving(id string) error {
	return fault.New(
		fault.Draining,
		"instance "+id+" leaves and takes no new work",
		"retry; another instance may serve",
	)
}

// unsent returns the fault for a statement that was not sent whole: what is missing
// includes the end of its line, without which the instance does not run it. A statement that
// can't be written at all is refused with its own fault.
func unsent(id string, err error) error {
	if fault.IsRefusal(err) {
		return err
	}
	return fault.New(
		fault.NotRun,
		"the connection to instance "+id+" failed before the statement was sent",
		"retry; another connection may serve",
	).Wrap(err)
}

// unanswered returns the fault for a statement that was sent but not answered.
func unanswered(id string, err error) error {
	if errors.Is(err, link.ErrAnswerTooLarge) {
		return fault.New(
			fault.OutcomeUnknown,
			"the answer of instance "+id+" is over 16 MiB",
			"read less at a time; the statement has run",
		).Wrap(err)
	}
	return fault.New(
		fault.OutcomeUnknown,
		"instance "+id+" did not answer",
		"the statement may have run",
	).Wrap(err)
}
