package talk

import (
	"context"
	"time"

	"wasabislip.example/wasabislip/internal/models/errand"
	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// openWorkspace is who instances are told that callers without a key are.
const openWorkspace = "-"

// carrier takes one statement or transaction to an instance. Its errors are
// faults: outcome-unknown says that no answer came to a statement that was
// sent, all others that it was not sent.
type carrier interface {
	Do(ctx context.Context, e *errand.Errand) (reply.Reply, error)
	HolderFailed() bool
	Close()
}

// attempt is one try of a statement or a transaction at one instance.
type attempt struct {
	view    *dbview.View
	server  server.Server
	grant   grant
	carrier carrier
	// wait is how long it may wait for a connection.
	wait time.Duration
	// deadline is when the statement's time is over.
	deadline time.Time
}

func (s *Session) try(v *dbview.View, to server.Server, g grant, wait time.Duration, deadline time.Time) *attempt {
	if g.workspace == "" {
		g.workspace = openWorkspace
	}
	return &attempt{
		view:     v,
		server:   to,
		grant:    g,
		carrier:  s.Ways.Open(to, g.workspace),
		wait:     wait,
		deadline: deadline,
	}
}

// do sends one errand, reads its answer and notes what it tells of the
// instance.
func (a *attempt) do(ctx context.Context, e *errand.Errand) (reply.Reply, error) {
	e.Instance = a.server.ID
	e.Workspace = a.grant.workspace
	e.Priority = a.grant.urgency()
	e.Wait = a.wait
	e.Deadline = a.deadline
	asked := uptime.Now()
	a.view.Begin(a.server.ID)
	r, err := a.carrier.Do(ctx, e)
	if err != nil {
		a.view.Abandoned(a.server.ID)
		if !fault.IsKind(err, fault.Overloaded) && !a.carrier.HolderFailed() {
			a.view.Failed(a.server.ID)
		}
		return r, err
	}
	a.view.Answered(a.server.ID, uptime.Now()-asked, r.Position)
	switch {
	case r.Outcome == reply.Lagging:
		a.view.Lagging(a.server.ID)
	case !e.Floor.IsZero() && r.Outcome == reply.Done:
		a.view.CaughtUp(a.server.ID)
	}
	a.view.Position(a.server.ID, asked, r.Position)
	return r, nil
}

// urgency orders those who wait for an instance: by the lane's priority, and
// among equals those first who expect their answer sooner. Whoever can wait
// longest is refused first when there is not enough for all.
func (g grant) urgency() int {
	return g.lane.Priority*int(time.Minute/time.Millisecond) + int(g.lane.Target/time.Millisecond)
}

// single runs one statement outside of a transaction.
func (a *attempt) single(ctx context.Context, q query.Query, values map[string]string, prepared string, floor logpos.Position) (reply.Reply, error) {
	return a.do(ctx, &errand.Errand{
		Kind:     errand.Single,
		Query:    q,
		Values:   values,
		Prepared: prepared,
		Floor:    floor,
	})
}
