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

// errAmbiguous reports an error that may be the answer to another statement.
var errAmbiguous = errors.New("the instance repeats answers; whether its error answers the statement is not known")

const (
	// maxRepeatDelay is how late a repeated answer is expected at the most.
	maxRepeatDelay = 5 * time.Second
	// maxMarkers bounds the statements that are sent to resolve one error.
	maxMarkers = 4
)

// awaited is a statement that waits for its answer.
type awaited struct {
	// kind is one of the kinds of package pairs.
	kind int
	id   string
	// commit is set for the commit of a transaction, read for a read.
	commit bool
	read   bool
}

// Receive reads the answer to the oldest statement that the caller waits for. It
// first reads the answers to the proxy's own statements, and passes over answers that
// belong to earlier statements.
func (c *Conn) Receive(deadline time.Time) (reply.Reply, error) {
	if err := c.Link.SetReadDeadline(deadline); err != nil {
		return reply.Reply{}, err
	}
	if err := c.receiveOwn(); err != nil {
		return reply.Reply{}, err
	}
	r, verdict, err := c.receive(c.awaited)
	if err != nil {
		return reply.Reply{}, err
	}
	if verdict == pairs.Ambiguous {
		return c.resolve(r, deadline)
	}
	if c.isOutside(&r) {
		c.unusable = true
		c.recordMismatch(c.awaited.id, "outside-transaction", &r)
		return reply.Reply{}, errAmbiguous
	}
	c.noteAnswer(&r)
	return r, nil
}

// noteAnswer records what an answer to the statement that waited says of the connection.
func (c *Conn) noteAnswer(r *reply.Reply) {
	c.noteUnsigned(r)
	c.inTransaction = r.State != reply.Idle
}

// InTransaction reports whether a transaction is open on the connection.
func (c *Conn) InTransaction() bool {
	return c.inTransaction
}

// isOutside reports whether an answer to a statement of a transaction shows that none is
// open: the answer to its start was the repetition of an earlier one.
func (c *Conn) isOutside(r *reply.Reply) bool {
	return c.inTransaction && c.awaited.kind == pairs.Signed && !c.awaited.commit && r.State == reply.Idle
}

// receive reads the next answer that is not the repetition of an earlier one for sure.
func (c *Conn) receive(s awaited) (reply.Reply, int, error) {
	for {
		r, err := c.Link.Receive()
		if err != nil {
			return reply.Reply{}, pairs.Own, err
		}
		verdict, reason := c.history.Match(s.kind, s.id, &r)
		if verdict == pairs.Repeated {
			c.recordMismatch(s.id, reason, &r)
			continue
		}
		return r, verdict, nil
	}
}

// resolve finds out whether an error answers the statement that waits, or is the
// repetition of an earlier one. An instance that was seen to repeat answers gets no
// statement on a connection that had an error before (see MayRepeat), but the connection may
// be in use since before that was seen.
func (c *Conn) resolve(r reply.Reply, deadline time.Time) (reply.Reply, error) {
	repeats := c.repeatsAnswers()
	c.unusable = c.unusable || repeats
	switch {
	case c.awaited.read && !c.inTransaction:
		// A read may be refused although it ran. The reset before the next statement
		// finds an answer that comes late.
		c.settingsUnknown = true
		c.noteAnswer(&r)
		return r, nil
	case !repeats:
		return c.resolveBy(1, r, deadline)
	case c.awaited.kind == pairs.Begin, c.inTransaction && !c.awaited.commit:
		// The instance rolls the transaction back when the connection is closed.
		r.State = reply.Broken
		return r, nil
	}
	markers := 1 + c.countUnsigned()
	if markers > maxMarkers {
		return reply.Reply{}, errAmbiguous
	}
	return c.resolveBy(markers, r, deadline)
}

// resolveBy sends statements that take no slot of the instance, the markers, and reads as
// many answers to them. It returns the last answer before these: the one to the statement
// that waits. All of the answers to markers but one may be repetitions of earlier ones; the
// others come later then. An open transaction is rolled back by the first marker.
func (c *Conn) resolveBy(markers int, r reply.Reply, deadline time.Time) (reply.Reply, error) {
	rollsBack := c.inTransaction && (!c.awaited.commit || r.State != reply.Idle)
	c.sendMarkers(markers, rollsBack)
	if err := c.Flush(deadline); err != nil {
		return reply.Reply{}, err
	}
	for markers > 0 && (!rollsBack || r.Outcome != reply.Done) {
		a, err := c.Link.Receive()
		if err != nil {
			return reply.Reply{}, err
		}
		if c.isAnswerToMarker(&r, &a) {
			c.noteUnsigned(&a)
			markers--
			continue
		}
		verdict, reason := c.history.Match(c.awaited.kind, c.awaited.id, &a)
		if verdict == pairs.Repeated {
			c.recordMismatch(c.awaited.id, reason, &a)
			continue
		}
		c.recordMismatch(c.awaited.id, "repeated-error", &r)
		r = a
	}
	if !rollsBack {
		c.noteAnswer(&r)
		return r, nil
	}
	return c.endByRollback(r), nil
}

// sendMarkers queues statements without a further effect; see resolveBy. The first one
// rolls a transaction back.
func (c *Conn) sendMarkers(n int, rollsBack bool) {
	if rollsBack {
		c.MarkRolledBack()
		c.Rollback()
		n--
		c.ownPending--
	}
	for range n {
		c.reset()
		c.ownPending--
	}
}

// endByRollback returns the answer to the statement that waited, after its transaction was
// rolled back. What ran in it counts as refused, but for a commit.
func (c *Conn) endByRollback(r reply.Reply) reply.Reply {
	if r.Outcome == reply.Done {
		c.unusable = true // not all markers are answered
	}
	if c.awaited.commit {
		r.State = reply.Idle
		return r
	}
	if r.Outcome == reply.Done {
		r = reply.Reply{
			Outcome: reply.Aborted,
			Message: "the transaction is rolled back: " + errAmbiguous.Error(),
		}
	}
	r.State = reply.Broken
	return r
}

// isAnswerToMarker reports whether a answers a marker of resolveBy, if r is the last
// answer before it. The start of a transaction has an unsigned answer too: it opens the
// transaction that r, an error, was outside of.
func (c *Conn) isAnswerToMarker(r, a *reply.Reply) bool {
	if !pairs.IsUnsigned(a) {
		return false
	}
	return a.State == reply.Idle || c.awaited.kind == pairs.Begin && r.Outcome == reply.Done
}

// MayRepeat reports whether the connection has had an answer of late that, if it came again,
// could be taken for another one: any without a signature.
func (c *Conn) MayRepeat() bool {
	return c.ownPending > 0 || c.unsignedUntil > 0 && uptime.Now() < c.unsignedUntil
}

// noteUnsigned remembers when an answer came that has no signature, and those among them
// that look like the answer to a marker.
func (c *Conn) noteUnsigned(r *reply.Reply) {
	if r.Outcome == reply.Done && !pairs.IsUnsigned(r) {
		return
	}
	c.unsignedUntil = uptime.Now() + maxRepeatDelay
	if r.Outcome != reply.Done || r.State != reply.Idle {
		return
	}
	c.unsignedAt = append(c.unsignedAt, uptime.Now())
	if len(c.unsignedAt) > maxMarkers {
		c.unsignedAt = c.unsignedAt[1:]
	}
}

// countUnsigned returns how many of those answers may come again.
func (c *Conn) countUnsigned() int {
	n := 0
	for _, at := range c.unsignedAt {
		if uptime.Now()-at < maxRepeatDelay {
			n++
		}
	}
	return n
}

// receiveOwn reads the answers to the proxy's own statements. It fails if one of
// them was refused.
func (c *Conn) receiveOwn() error {
	for c.ownPending > 0 {
		r, verdict, err := c.receive(awaited{
			kind: pairs.Control,
			id:   ownID,
		})
		if err != nil {
			return err
		}
		if verdict == pairs.Ambiguous {
			c.recordMismatch(ownID, "repeated-error", &r)
			continue // if it was a refusal, the answers that follow don't fit, and the read times out
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
