package talk

import (
	"context"
	"time"

	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/conns"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/internal/services/pconn"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// openWorkspace is who instances are told that callers without a key are.
const openWorkspace = "-"

// attempt is one try of a statement at one instance.
type attempt struct {
	session *Session
	view    *dbview.View
	server  server.Server
	grant   grant
	// wait is how long it may wait for a connection.
	wait time.Duration
	// deadline is when the statement's time is over.
	deadline time.Time

	pool *conns.Pool
	conn *pconn.Conn
	// sent tells that the statement may have reached the instance.
	sent bool
	// asked is when the statement was sent, on the clock of uptime.
	asked time.Duration
}

func (s *Session) try(v *dbview.View, to server.Server, g grant, wait time.Duration, deadline time.Time) *attempt {
	return &attempt{
		session:  s,
		view:     v,
		server:   to,
		grant:    g,
		wait:     wait,
		deadline: deadline,
		pool:     s.Pools.Pool(to),
	}
}

// connect takes a connection and gives it the session's values.
func (a *attempt) connect(ctx context.Context, values map[string]string) error {
	workspace := a.grant.workspace
	if workspace == "" {
		workspace = openWorkspace
	}
	c, err := a.pool.Get(ctx, workspace, values, a.grant.lane.Priority, a.wait)
	if err != nil {
		if !fault.IsKind(err, fault.Overloaded) {
			a.view.Failed(a.server.ID)
		}
		return err
	}
	a.conn = c
	c.Adopt(values)
	return nil
}

// send sends one statement; prepared is its declaration when it executes one.
func (a *attempt) send(q query.Query, prepared string, floor logpos.Position) error {
	if q.Kind == query.Execute {
		q.Name = a.conn.Prepared(prepared)
	}
	a.asked = uptime.Now()
	a.sent = true
	a.conn.Link.Send(&q, floor)
	return a.conn.Flush(a.deadline)
}

// receive reads the answer and notes what it tells of the instance.
func (a *attempt) receive() (reply.Reply, error) {
	a.view.Begin(a.server.ID)
	r, err := a.conn.Receive(a.deadline)
	if err != nil {
		a.view.Abandoned(a.server.ID)
		a.view.Failed(a.server.ID)
		return r, err
	}
	a.view.Answered(a.server.ID, uptime.Now()-a.asked, r.Position)
	switch r.Outcome {
	case reply.Lagging:
		a.view.Lagging(a.server.ID)
	case reply.Busy:
		a.pool.Refused()
	case reply.Done:
		a.pool.Served()
	}
	a.view.Position(a.server.ID, a.asked, r.Position)
	return r, nil
}

// release gives the connection back, or closes it when it is in doubt.
func (a *attempt) release(usable bool) {
	if a.conn == nil {
		return
	}
	if usable {
		a.pool.Put(a.conn)
	} else {
		a.pool.Drop(a.conn)
	}
	a.conn = nil
}

// run sends one statement outside of a transaction and reads its answer.
func (a *attempt) run(ctx context.Context, q query.Query, values map[string]string, prepared string, floor logpos.Position) (reply.Reply, error) {
	if err := a.connect(ctx, values); err != nil {
		return reply.Reply{}, err
	}
	err := a.send(q, prepared, floor)
	if err != nil {
		a.view.Failed(a.server.ID)
		a.release(false)
		return reply.Reply{}, err
	}
	r, err := a.receive()
	a.release(err == nil && r.State == reply.Idle)
	return r, err
}
