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

// open starts a run on the route.
func (c *session) open(ctx context.Context, r *route.Route) error {
	_, version := c.server.directory.Current()
	open := &wasabislipv1.Open{
		RequestId:     c.ticket.RequestID(),
		Workspace:     c.workspace,
		Database:      c.hello.Database,
		Route:         r.Name,
		Session:       c.name,
		ConfigVersion: version,
		KeyId:         c.keyID,
		Fenced:        !c.known,
	}
	if c.known {
		open.Floor = &wasabislipv1.Position{
			Term:   c.floor.Term,
			Offset: c.floor.Offset,
		}
	}
	run, err := c.server.relay.Open(ctx, open)
	if err != nil {
		return err
	}
	c.run = run
	c.began = r
	return nil
}

// exchange sends a batch and passes its answer on. An error ends the session.
func (c *session) exchange(b *input.Batch, p *plan.Plan, deadline time.Time) error {
	err := c.run.Send(&wasabislipv1.RunRequest{
		Messages:   p.Messages,
		Statements: p.Statements,
		TimeoutMs:  max(time.Until(deadline).Milliseconds(), 1),
	})
	if err != nil {
		return c.refuse(b, p, err)
	}
	f := answer.New(p.Expected)
	for {
		part, err := c.run.Receive()
		if err == nil {
			err = refused(part.GetRefusal())
		}
		if err != nil {
			c.log(err)
			p.Revert(f.Answered())
			return c.fail(b, p, err)
		}
		c.out, err = f.Process(c.out, part.GetMessages())
		if err != nil {
			return err
		}
		c.raise(part.GetPosition())
		if part.GetReady() {
			return c.settle(b, p, f, part.GetStatus())
		}
		if err := c.flush(); err != nil {
			return err
		}
	}
}

// settle ends the answer that the steward has completed.
func (c *session) settle(b *input.Batch, p *plan.Plan, f *answer.Filter, status string) error {
	var err error
	c.out, err = f.Finish(c.out)
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
	c.skip = f.Failed() && b.End == input.Flush
	err = c.finish(b)
	if c.status == statusIdle {
		c.drop()
	}
	return err
}

// raise keeps the newest position of the session.
func (c *session) raise(p *wasabislipv1.Position) {
	if p == nil {
		return
	}
	position := logpos.Position{
		Term:   p.GetTerm(),
		Offset: p.GetOffset(),
	}
	if !c.known || position.Newer(c.floor) {
		c.floor = position
	}
	c.known = true
}

func (c *session) timeout(r *route.Route) time.Duration {
	if r.Timeout > 0 {
		return r.Timeout
	}
	return c.limit.StatementTimeout
}

// refused returns the fault that a steward's refusal stands for, or nil.
func refused(r *wasabislipv1.Refusal) error {
	if r == nil {
		return nil
	}
	f := fault.New(r.GetKind(), r.GetReason(), r.GetRemedy())
	f.Coordinator = r.GetSteward()
	f.RetryAfter = time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	return f
}
