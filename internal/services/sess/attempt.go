package sess

import (
	"context"
	"time"

	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/task"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// anonymousWorkspace is the workspace name that instances are given for callers
// without a key.
const anonymousWorkspace = "-"

// taskRunner runs the tasks of one statement or transaction on an instance,
// where needed through the host that holds the connections to it. Its errors
// are faults: outcome-unknown says that a statement was sent and got no answer,
// all others say that it was not sent.
type taskRunner interface {
	Do(ctx context.Context, t *task.Task) (reply.Reply, error)
	HolderFailed() bool
	Close()
}

// attempt is one try of a statement or a transaction at one instance.
type attempt struct {
	view   *dbview.View
	server server.Server
	grant  grant
	runner taskRunner
	meter  meter
	// maxWait is how long it may wait for a connection.
	maxWait time.Duration
	// deadline is when the statement times out.
	deadline time.Time
}

func (s *Session) newAttempt(v *dbview.View, to server.Server, g grant, maxWait time.Duration, deadline time.Time) *attempt {
	if g.workspace == "" {
		g.workspace = anonymousWorkspace
	}
	return &attempt{
		view:     v,
		server:   to,
		grant:    g,
		runner:   s.Forwarder.Open(to, g.workspace),
		meter:    s.Meter,
		maxWait:  maxWait,
		deadline: deadline,
	}
}

// do runs one task and records in the view what its answer says about the
// instance.
func (a *attempt) do(ctx context.Context, t *task.Task) (reply.Reply, error) {
	t.Instance = a.server.ID
	t.Workspace = a.grant.workspace
	t.Priority = a.grant.priority()
	t.Wait = a.maxWait
	t.Level, t.Objective = a.grant.objective()
	t.Deadline = a.deadline
	if age, leaving := a.view.LeavingFor(a.server.ID); leaving && t.Kind != task.InTransaction {
		a.meter.RecordLeaving(age)
	}
	sentAt := uptime.Now()
	a.view.RecordStart(a.server.ID)
	r, err := a.runner.Do(ctx, t)
	a.view.RecordLoad(a.server.ID, r.Load, sentAt)
	if err != nil {
		a.view.RecordAbandoned(a.server.ID)
		if a.blamesInstance(err) {
			a.view.RecordFailure(a.server.ID)
		}
		return r, err
	}
	a.view.RecordAnswer(a.server.ID, uptime.Now()-sentAt, r.Position)
	a.view.RecordOutcome(a.server.ID, r.Outcome)
	switch {
	case r.Outcome == reply.Lagging:
		a.view.RecordLag(a.server.ID)
	case !t.MinPosition.IsZero() && r.Outcome == reply.Done:
		a.view.RecordCaughtUp(a.server.ID)
	}
	a.view.RecordPosition(a.server.ID, sentAt, r.Position)
	return r, nil
}

// blamesInstance reports whether an error counts as a failure of the instance.
func (a *attempt) blamesInstance(err error) bool {
	if fault.IsKind(err, fault.Overloaded) || fault.IsKind(err, fault.Draining) || fault.IsRefusal(err) {
		return false
	}
	return !a.runner.HolderFailed()
}

// priority orders the statements that wait for an instance; the lowest value
// goes first. It sorts by the priority of the database's rules and then by their
// target latency, so that under overload the statements that can wait longest
// are refused first.
func (g grant) priority() int {
	return g.rules.Priority*int(time.Minute/time.Millisecond) + int(g.rules.TargetLatency/time.Millisecond)
}

// autocommit runs one statement outside of a transaction. The instance waits
// until its log has reached minPosition.
func (a *attempt) autocommit(ctx context.Context, q query.Query, settings map[string]string, prepared string, minPosition logpos.Position) (reply.Reply, error) {
	return a.do(ctx, &task.Task{
		Kind:          task.Autocommit,
		Query:         q,
		SessionValues: settings,
		Prepared:      prepared,
		MinPosition:   minPosition,
	})
}
