package caller

import (
	"context"
	"slices"
	"time"

	"wasabislip.example/wasabislip/internal/models/input"
	"wasabislip.example/wasabislip/internal/models/plan"
	"wasabislip.example/wasabislip/internal/modules/declog"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/route"
)

// handleBatch answers one batch. An error ends the session.
func (c *session) handleBatch(ctx context.Context, b *input.Batch) error {
	switch {
	case b.End == input.Terminated:
		return errCallerLeft
	case b.End == input.Malformed:
		return b.Err
	case c.skipToSync:
		return c.skipBatch(b)
	}
	if err := c.checkKey(); err != nil {
		return err
	}
	if b.End == input.FunctionCall {
		return c.refuseBatch(b, nil, fault.New(fault.Unsupported, "function-call messages are not supported", "call the function in a SELECT"))
	}
	if len(b.Messages) == 0 {
		return c.endAnswer(b)
	}
	p, err := plan.Build(b, c.statements)
	if err != nil {
		return c.refuseBatch(b, nil, err)
	}
	if p.Local || len(p.Messages) == 0 || c.inFailedTransaction() {
		return c.answerLocally(b, p)
	}
	return c.forward(ctx, b, p)
}

// forward runs a batch on the coordinator.
func (c *session) forward(ctx context.Context, b *input.Batch, p *plan.Plan) error {
	if b.End == input.Flush && c.status == statusIdle && executesStatement(p) {
		return c.refuseBatch(b, p, fault.New(fault.Unsupported, "a Flush message came before the Sync of statements outside a transaction", "send Sync, or open a transaction with BEGIN first"))
	}
	if c.run == nil && c.server.isDraining() {
		return drainingError()
	}
	r, err := c.chooseRoute(p)
	if err != nil {
		return c.refuseBatch(b, p, err)
	}
	started := time.Now()
	defer func() { c.server.Meter.RecordBatch(r.Kind, time.Since(started)) }()
	deadline := started.Add(c.batchTimeout(r))
	if err := c.admit(ctx, p, deadline); err != nil {
		return c.refuseBatch(b, p, err)
	}
	if c.run == nil {
		if err := c.openRun(ctx, r); err != nil {
			return c.refuseBatch(b, p, err)
		}
	}
	return c.runBatch(b, p, deadline)
}

// chooseRoute returns the route of the batch. A transaction stays on the route
// that it began on.
func (c *session) chooseRoute(p *plan.Plan) (*route.Route, error) {
	if c.run != nil {
		return c.runRoute, nil
	}
	if err := c.server.directory.CheckConfirmed(); err != nil {
		return nil, err
	}
	name := c.routeName
	if p.Route != "" {
		name = p.Route
	}
	cfg, _ := c.server.directory.Current()
	return findRoute(cfg, c.workspace, c.startup.Database, name, c.keyID == "")
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

// checkKey checks the caller's key against the newest configuration.
func (c *session) checkKey() error {
	if c.keyID == "" || c.server.directory.KeyValid(c.workspace, c.keyID) {
		return nil
	}
	return keyWithdrawnError(c.keyID)
}

// refuseBatch logs err and answers the whole batch with it. An open transaction
// fails by it.
func (c *session) refuseBatch(b *input.Batch, p *plan.Plan, err error) error {
	c.logRefusal(err)
	if p != nil {
		p.Revert(0)
	}
	return c.failBatch(b, p, err)
}

// failBatch answers the remainder of a batch with an error and closes the run. A
// transaction that is open then counts as failed, unless the batch ends it.
func (c *session) failBatch(b *input.Batch, p *plan.Plan, err error) error {
	m := errorResponse(severityError, err)
	if m == nil {
		return err
	}
	c.buffer(m)
	open := c.status != statusIdle
	c.closeRun()
	c.status = statusIdle
	if open && (p == nil || !p.EndsTransaction) {
		c.status = statusFailed
	}
	c.skipToSync = b.End == input.Flush
	return c.endAnswer(b)
}

// endAnswer ends the answer to a batch: with ReadyForQuery, unless the batch ended
// with a Flush.
func (c *session) endAnswer(b *input.Batch) error {
	if b.End == input.Flush {
		return c.flush()
	}
	return c.sendReady()
}

// skipBatch drops a batch that follows an error. Its Sync ends the skipping and is
// answered with ReadyForQuery.
func (c *session) skipBatch(b *input.Batch) error {
	if b.End != input.Sync {
		return nil
	}
	c.skipToSync = false
	return c.sendReady()
}

// inFailedTransaction reports whether the caller's transaction has failed and its
// run is closed.
func (c *session) inFailedTransaction() bool {
	return c.status == statusFailed && c.run == nil
}

// logRefusal counts and logs that a batch was refused.
func (c *session) logRefusal(err error) {
	reason := "bad-statement"
	if f := fault.As(err); f != nil {
		reason = f.Kind
	}
	c.server.Meter.RecordRefusal(reason)
	declog.Decision{
		Decision:  "refuse-batch",
		Reason:    reason,
		Workspace: c.workspace,
		Database:  c.startup.Database,
		Position:  c.position,
		Host:      c.server.Host,
	}.LogAlways()
}

// executesStatement reports whether the batch binds or executes a statement.
func executesStatement(p *plan.Plan) bool {
	return slices.Contains(p.Expected, plan.Bound) || slices.Contains(p.Expected, plan.Executed)
}
