package caller

import (
	"context"
	"slices"
	"time"

	"wasabislip.example/wasabislip/internal/models/input"
	"wasabislip.example/wasabislip/internal/models/plan"
	"wasabislip.example/wasabislip/internal/modules/trail"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/route"
)

// handle answers one batch. An error ends the session.
func (c *session) handle(ctx context.Context, b *input.Batch) error {
	switch {
	case b.End == input.Terminated:
		return errGone
	case b.End == input.Malformed:
		return b.Err
	case c.skip:
		return c.skipped(b)
	}
	if err := c.keyInForce(); err != nil {
		return err
	}
	if b.End == input.FunctionCall {
		return c.refuse(b, nil, fault.New(fault.Unsupported, "function-call messages are not supported", "call the function in a SELECT"))
	}
	if len(b.Messages) == 0 {
		return c.finish(b)
	}
	p, err := plan.Build(b, c.table)
	if err != nil {
		return c.refuse(b, nil, err)
	}
	if p.Local || len(p.Messages) == 0 || c.lost() {
		return c.answerHere(b, p)
	}
	return c.pass(ctx, b, p)
}

// pass runs a batch on the steward.
func (c *session) pass(ctx context.Context, b *input.Batch, p *plan.Plan) error {
	if b.End == input.Flush && c.status == statusIdle && runs(p) {
		return c.refuse(b, p, fault.New(fault.Unsupported, "a Flush message came before the Sync of statements outside a transaction", "send Sync, or open a transaction with BEGIN first"))
	}
	if c.run == nil && c.server.drained() {
		return draining()
	}
	r, err := c.way(p)
	if err != nil {
		return c.refuse(b, p, err)
	}
	begun := time.Now()
	defer func() { c.server.Meter.Batch(r.Kind, time.Since(begun)) }()
	deadline := begun.Add(c.timeout(r))
	if err := c.admit(ctx, p, deadline); err != nil {
		return c.refuse(b, p, err)
	}
	if c.run == nil {
		if err := c.open(ctx, r); err != nil {
			return c.refuse(b, p, err)
		}
	}
	return c.exchange(b, p, deadline)
}

// way returns the route of the batch. A transaction stays on the route that
// it began with.
func (c *session) way(p *plan.Plan) (*route.Route, error) {
	if c.run != nil {
		return c.began, nil
	}
	if err := c.server.directory.CheckConfirmed(); err != nil {
		return nil, err
	}
	name := c.route
	if p.Route != "" {
		name = p.Route
	}
	cfg, _ := c.server.directory.Current()
	return reach(cfg, c.workspace, c.hello.Database, name, c.keyID == "")
}

// admit counts the batch's statements against the workspace's rate.
func (c *session) admit(ctx context.Context, p *plan.Plan, deadline time.Time) error {
	if p.StatementCount == 0 {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return c.server.admitter.Admit(ctx, c.workspace, p.StatementCount)
}

// keyInForce checks the caller's key against the newest configuration.
func (c *session) keyInForce() error {
	if c.keyID == "" || c.server.directory.KeyValid(c.workspace, c.keyID) {
		return nil
	}
	return withdrawn(c.keyID)
}

// refuse answers a batch with an error. An open transaction fails by it.
func (c *session) refuse(b *input.Batch, p *plan.Plan, err error) error {
	c.log(err)
	if p != nil {
		p.Revert(0)
	}
	return c.fail(b, p, err)
}

// fail answers the remainder of a batch with an error.
func (c *session) fail(b *input.Batch, p *plan.Plan, err error) error {
	m := errorResponse(severityError, err)
	if m == nil {
		return err
	}
	c.put(m)
	open := c.status != statusIdle
	c.drop()
	c.status = statusIdle
	if open && (p == nil || !p.EndsTransaction) {
		c.status = statusFailed
	}
	c.skip = b.End == input.Flush
	return c.finish(b)
}

// finish ends the answer to a batch.
func (c *session) finish(b *input.Batch) error {
	if b.End == input.Flush {
		return c.flush()
	}
	return c.ready()
}

// skipped drops a batch after an error, up to and with its Sync.
func (c *session) skipped(b *input.Batch) error {
	if b.End != input.Sync {
		return nil
	}
	c.skip = false
	return c.ready()
}

// lost tells that the caller's transaction has failed and its run is over.
func (c *session) lost() bool {
	return c.status == statusFailed && c.run == nil
}

func (c *session) log(err error) {
	reason := "bad-statement"
	if f := fault.As(err); f != nil {
		reason = f.Kind
	}
	c.server.Meter.Refused(reason)
	trail.Decision{
		Decision:  "refuse-batch",
		Reason:    reason,
		Workspace: c.workspace,
		Database:  c.hello.Database,
		Position:  c.floor,
		Host:      c.server.Host,
	}.Refuse()
}

// runs reports whether the batch binds or executes a statement.
func runs(p *plan.Plan) bool {
	return slices.Contains(p.Expected, plan.Bound) || slices.Contains(p.Expected, plan.Executed)
}
