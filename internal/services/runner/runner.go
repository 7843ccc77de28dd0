// Package runner runs statements on this host's own connections to instances.
package runner

import (
	"context"
	"time"

	"wasabislip.example/wasabislip/internal/models/errand"
	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/services/conns"
	"wasabislip.example/wasabislip/internal/services/pconn"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// abandonTimeout bounds the sending of a rollback.
const rollbackTimeout = time.Second

// directory tells which instances there are.
type directory interface {
	Server(id string) (server.Server, bool)
}

// pools are the connections to instances.
type pools interface {
	Pool(s server.Server) *conns.Pool
}

// Runner runs the statements of one caller, one after the other. Between the
// start of a transaction and its end it keeps the connection. One goroutine
// uses it at a time.
type Runner struct {
	directory directory
	pools     pools

	pool *conns.Pool
	conn *pconn.Conn
}

// New returns a runner without a connection.
func New(d directory, p pools) *Runner {
	return &Runner{
		directory: d,
		pools:     p,
	}
}

// Do runs one errand. Errors are faults: overloaded and not-run say that the
// statement was not sent, outcome-unknown that no answer came.
func (r *Runner) Do(ctx context.Context, e *errand.Errand) (reply.Reply, error) {
	switch e.Kind {
	case errand.Inside:
		return r.runInTransaction(e)
	case errand.Abandon:
		r.rollback()
		return reply.Reply{}, nil
	}
	if err := r.connect(ctx, e); err != nil {
		return reply.Reply{}, err
	}
	if e.Kind == errand.Start {
		r.conn.Begin(e.ReadOnly, e.Floor)
	} else {
		r.send(e)
	}
	return r.flushAndReceive(e, e.Kind == errand.Start)
}

// Close rolls an open transaction back.
func (r *Runner) Close() {
	r.rollback()
}

// connect takes a connection and gives it the session's values.
func (r *Runner) connect(ctx context.Context, e *errand.Errand) error {
	s, ok := r.directory.Server(e.Instance)
	if !ok {
		return fault.New(
			fault.NotRun,
			"instance "+e.Instance+" is not known here",
			"retry; another instance may serve",
		)
	}
	r.pool = r.pools.Pool(s)
	c, err := r.pool.Get(ctx, e.Workspace, e.Values, e.Priority, e.Wait)
	if err != nil {
		return err
	}
	r.conn = c
	c.Adopt(e.Values)
	return nil
}

// send queues the statement, under the connection's own name of a prepared one.
func (r *Runner) send(e *errand.Errand) {
	q := e.Query
	if q.Kind == query.Execute {
		q.Name = r.conn.Prepared(e.Prepared)
	}
	r.conn.Link.Send(&q, e.Floor)
}

// answer sends what is queued, reads the answer and gives the connection back
// unless a transaction keeps it.
func (r *Runner) flushAndReceive(e *errand.Errand, keeps bool) (reply.Reply, error) {
	err := r.conn.Flush(e.Deadline)
	if err != nil {
		r.returnConn(false)
		return reply.Reply{}, unanswered(e.Instance, err)
	}
	a, err := r.conn.Receive(e.Deadline)
	if err != nil {
		r.returnConn(false)
		return reply.Reply{}, unanswered(e.Instance, err)
	}
	switch a.Outcome {
	case reply.Busy:
		r.pool.Refused()
	case reply.Done:
		r.pool.Served()
	}
	if a.State == reply.Idle || !keeps {
		r.returnConn(a.State == reply.Idle)
	} else {
		r.pool.Rest(r.conn)
	}
	return a, nil
}

func (r *Runner) runInTransaction(e *errand.Errand) (reply.Reply, error) {
	if r.conn == nil {
		return reply.Reply{}, fault.New(
			fault.NotRun,
			"no transaction is open here",
			"start the transaction again",
		)
	}
	r.pool.Resume(r.conn)
	r.conn.Adopt(e.Values)
	e.Floor = logpos.Position{}
	r.send(e)
	return r.flushAndReceive(e, true)
}

// abandon rolls the open transaction back without waiting for the answer.
func (r *Runner) rollback() {
	if r.conn == nil {
		return
	}
	r.conn.Rollback()
	r.conn.Spoil()
	r.returnConn(r.conn.Flush(time.Now().Add(rollbackTimeout)) == nil)
}

func (r *Runner) returnConn(usable bool) {
	if usable {
		r.pool.Put(r.conn)
	} else {
		r.pool.Drop(r.conn)
	}
	r.conn = nil
}

func unanswered(id string, err error) error {
	return fault.New(
		fault.OutcomeUnknown,
		"instance "+id+" did not answer",
		"the statement may have run",
	).Wrap(err)
}
