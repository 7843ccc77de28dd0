package pconn

import (
	"errors"
	"fmt"
	"time"

	"wasabislip.example/wasabislip/internal/models/pairs"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// errAmbiguous reports an answer that may belong to another statement.
var errAmbiguous = errors.New("it is not known to which statement an answer of the instance belongs; its answers may come twice")

// awaited is a statement that waits for its answer.
type awaited struct {
	// kind is one of the kinds of package pairs.
	kind int
	id   string
	// commit is set for the commit of a transaction, read for a read.
	commit bool
	read   bool
	// confirmed is set for the start of a transaction that a statement follows, whose
	// answer tells whether the transaction is open.
	confirmed bool
}

// Receive reads the answer to the oldest statement that the caller waits for. It
// first reads the answers to the proxy's own statements, and passes over answers that
// belong to earlier statements.
func (c *Conn) Receive(deadline time.Time) (reply.Reply, error) {
	if err := c.Link.SetReadDeadline(deadline); err != nil {
		return reply.Reply{}, err
	}
	defer func() { c.checkedAt = uptime.Now() }()
	if err := c.receiveOwn(); err != nil {
		return reply.Reply{}, err
	}
	r, verdict, err := c.receive(c.awaited)
	if err == nil && c.awaited.confirmed {
		r, err = c.confirmStart(r)
	}
	if err != nil {
		return reply.Reply{}, err
	}
	if verdict == pairs.Ambiguous || r.Outcome != reply.Done && c.repeatsAnswers() && c.mayRepeat() {
		return c.resolve(r, deadline)
	}
	if c.ranOutsideTransaction(&r) {
		return c.doubtOutcome(&r), nil
	}
	c.noteAnswer(&r)
	return r, nil
}

// confirmStart reads the answer to the statement that follows the start of a transaction, if r
// says that the start succeeded. An error from outside of a transaction in its place answers
// the start, and r is that to an earlier one again. After a refusal of the start the answer is
// that to a statement of the proxy itself.
func (c *Conn) confirmStart(r reply.Reply) (reply.Reply, error) {
	if r.Outcome != reply.Done {
		c.ownPending++
		return r, nil
	}
	a, _, err := c.receive(c.awaited)
	if err != nil {
		return r, err
	}
	if a.Outcome == reply.Done {
		c.noteUnsigned(&a)
		return r, nil
	}
	c.unusable = true
	if a.State == reply.Idle {
		c.recordMismatch(c.awaited.id, "outside-transaction", &r)
	}
	return a, nil
}

// noteAnswer records what an answer to the statement that waited says of the connection.
func (c *Conn) noteAnswer(r *reply.Reply) {
	c.noteUnsigned(r)
	c.inTransaction = r.State != reply.Idle
}

// ranOutsideTransaction reports whether an answer to a statement of a transaction shows that
// none is open: what was taken for the answer to its start was the repetition of an earlier
// one.
func (c *Conn) ranOutsideTransaction(r *reply.Reply) bool {
	return c.inTransaction && c.awaited.kind == pairs.Signed && !c.awaited.commit && r.State == reply.Idle
}

// doubtOutcome returns the answer to a statement that ran outside of its transaction, if r
// shows that.
func (c *Conn) doubtOutcome(r *reply.Reply) reply.Reply {
	c.unusable = true
	c.recordMismatch(c.awaited.id, "outside-transaction", r)
	return reply.Reply{
		Outcome: reply.InDoubt,
		Message: errAmbiguous.Error(),
		State:   reply.Broken,
	}
}

// receive reads the next answer that is not the repetition of an earlier one for sure.
func (c *Conn) receive(s awaited) (reply.Reply, int, error) {
	for {
		r, err := c.Link.Receive()
		if err != nil {
			return reply.Reply{}, pairs.Own, err
		}
		verdict, reason := c.history.Match(s.kind, s.id, &r, c.checkedAt, uptime.Now())
		if verdict == pairs.Repeated {
			c.recordMismatch(s.id, reason, &r)
			continue
		}
		return r, verdict, nil
	}
}

// receiveOwn reads the answers to the proxy's own statements. It fails if one of
// them was refused.
func (c *Conn) receiveOwn() error {
	for c.ownPending > 0 {
		r, _, err := c.receive(awaited{
			kind: pairs.Control,
			id:   ownID,
		})
		if err != nil {
			return err
		}
		c.ownPending--
		c.noteUnsigned(&r)
		if r.Outcome != reply.Done {
			return fault.New(
				fault.Overloaded,
				fmt.Sprintf("the instance refused a session statement: %s", r.Message),
				"use another connection",
			)
		}
	}
	return nil
}

func (c *Conn) recordMismatch(id, reason string, r *reply.Reply) {
	if c.Observer != nil {
		c.Observer.RecordMismatch(c.Instance, id, reason, r)
	}
}

// repeatsAnswers reports whether the instance was seen to repeat an answer of late.
func (c *Conn) repeatsAnswers() bool {
	return c.Observer != nil && c.Observer.RepeatsAnswers()
}
