package caller

import (
	"context"
	"time"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/answer"
	"wasabislip.example/wasabislip/internal/models/input"
	"wasabislip.example/wasabislip/internal/models/plan"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
	"wasabislip.example/wasabislip/pkg/model/route"
)

// openRun opens a run on route r: a transaction, or one batch outside of a
// transaction. It sends the session's position as the floor, the minimum position
// that the run's reads must see. A session without a position is marked as fenced:
// its reads must see all writes that were acknowledged so far.
func (c *session) openRun(ctx context.Context, r *route.Route) error {
	_, version := c.server.directory.Current()
	open := &wasabislipv1.Open{
		RequestId:     c.cancelKey.RequestID(),
		Workspace:     c.workspace,
		Database:      c.startup.Database,
		Route:         r.Name,
		Session:       c.sessionName,
		ConfigVersion: version,
		KeyId:         c.keyID,
		Fenced:        !c.hasPosition,
	}
	if c.hasPosition {
		open.Floor = &wasabislipv1.Position{
			Term:   c.position.Term,
			Offset: c.position.Offset,
		}
	}
	run, err := c.server.relay.Open(ctx, open)
	if err != nil {
		return err
	}
	c.run = run
	c.runRoute = r
	return nil
}

// runBatch sends a batch to the coordinator and passes the answer on to the
// caller. An error ends the session.
func (c *session) runBatch(b *input.Batch, p *plan.Plan, deadline time.Time) error {
	err := c.run.Send(&wasabislipv1.RunRequest{
		Messages:   p.Messages,
		Statements: p.Statements,
		TimeoutMs:  max(time.Until(deadline).Milliseconds(), 1),
	})
	if err != nil {
		return c.refuseBatch(b, p, err)
	}
	f := answer.New(p.Expected)
	for {
		response, err := c.run.Receive()
		if err == nil {
			err = refusalError(response.GetRefusal())
		}
		if err != nil {
			c.logRefusal(err)
			p.Revert(f.Answered())
			return c.failBatch(b, p, err)
		}
		c.outBuf, err = f.Process(c.outBuf, response.GetMessages())
		if err != nil {
			return err
		}
		c.advancePosition(response.GetPosition())
		if response.GetReady() {
			return c.completeAnswer(b, p, f, response.GetStatus())
		}
		if err := c.flush(); err != nil {
			return err
		}
	}
}

// completeAnswer ends the answer to the caller after the coordinator has completed
// its own, and takes over the transaction status.
func (c *session) completeAnswer(b *input.Batch, p *plan.Plan, f *answer.Filter, status string) error {
	var err error
	c.outBuf, err = f.Finish(c.outBuf)
	if err != nil {
		return err
	}
	if f.Failed() {
		p.Revert(f.Answered())
	}
	switch status {
	case "I", "T", "E":
		c.status = status[0]
	default:
		return fault.New(fault.OutcomeUnknown, "the answer has no transaction status", "look up the batch's effect before sending it again")
	}
	c.skipToSync = f.Failed() && b.End == input.Flush
	err = c.endAnswer(b)
	if c.status == statusIdle {
		c.closeRun()
	}
	return err
}

// advancePosition moves the session's position forward to p; an older p changes
// nothing.
func (c *session) advancePosition(p *wasabislipv1.Position) {
	if p == nil {
		return
	}
	position := logpos.Position{
		Term:   p.GetTerm(),
		Offset: p.GetOffset(),
	}
	if !c.hasPosition || position.Newer(c.position) {
		c.position = position
	}
	c.hasPosition = true
}

// batchTimeout returns the timeout of a batch on route r.
func (c *session) batchTimeout(r *route.Route) time.Duration {
	if r.Timeout > 0 {
		return r.Timeout
	}
	return c.limits.StatementTimeout
}

// refusalError returns the coordinator's refusal as a fault, or nil if there is
// none.
func refusalError(r *wasabislipv1.Refusal) error {
	if r == nil {
		return nil
	}
	f := fault.New(r.GetKind(), r.GetReason(), r.GetRemedy())
	f.Coordinator = r.GetSteward()
	f.RetryAfter = time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	return f
}
