package pconn

import (
	"time"

	"wasabislip.example/wasabislip/internal/models/pairs"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/modules/uptime"
)

// Bounds of the statements that are sent to resolve one error: they hold up the answer. On
// an instance that is known to repeat answers, the outcome is unknown without them.
const (
	maxMarkers          = 16
	maxMarkersRepeating = 64
)

// resolve finds out whether an error answers the statement that waits, or is the
// repetition of an earlier one.
func (c *Conn) resolve(r reply.Reply, deadline time.Time) (reply.Reply, error) {
	repeats := c.repeatsAnswers()
	c.unusable = c.unusable || repeats
	switch {
	case c.awaited.read && !c.inTransaction:
		return c.refuseRead(r), nil
	case repeats && c.ranOutsideTransaction(&r):
		return c.doubtOutcome(&r), nil
	case repeats && (c.awaited.kind == pairs.Begin || c.inTransaction && !c.awaited.commit):
		// The instance rolls the transaction back when the connection is closed.
		r.State = reply.Broken
		return r, nil
	}
	markers := 1 + c.countUnsigned()
	switch {
	case repeats && markers > maxMarkersRepeating:
		return reply.Reply{}, errAmbiguous
	case !repeats && markers > maxMarkers:
		c.unusable = true
		markers = 1
	}
	return c.resolveWithMarkers(markers, r, deadline)
}

// refuseRead returns an error in answer to a read, which may have run all the same. Its own
// answer, if that is still to come, comes before the one to the reset that goes before the
// next statement. If the answer to that could be a repetition, too, the connection is closed.
func (c *Conn) refuseRead(r reply.Reply) reply.Reply {
	if c.countUnsigned() > 0 || r.State != reply.Idle {
		c.unusable = true
	}
	c.settingsUnknown = true
	c.noteUnsigned(&r)
	r.State = reply.Idle
	return r
}

// resolveWithMarkers sends statements that take no slot of the instance, the markers, and
// reads as many answers to them. It returns the last answer before these: the one to the
// statement that waits. All of the answers to markers but one may be repetitions of earlier
// ones; the others come later then. In a transaction a rollback goes before the markers, since
// a failed one refuses them.
//
// For instance, a write waits, an error comes that came before, and there was one unsigned
// answer of late. Two resets are sent. The answers are the repeated unsigned one, that to
// the write, and one to a reset: the write's is the last that is not to a marker.
func (c *Conn) resolveWithMarkers(markers int, r reply.Reply, deadline time.Time) (reply.Reply, error) {
	rollsBack := c.inTransaction
	passed, maxPassed := 0, markers-1
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
		if rollsBack && a.Outcome == reply.Malformed {
			continue // the answer to the rollback, outside of a transaction
		}
		verdict, reason := c.history.Match(c.awaited.kind, c.awaited.id, &a, c.checkedAt, uptime.Now())
		if verdict == pairs.Repeated {
			c.recordMismatch(c.awaited.id, reason, &a)
			if c.awaited.kind == pairs.Begin && pairs.IsUnsigned(&a) {
				passed++
			}
			if passed > maxPassed {
				return reply.Reply{}, errAmbiguous // no transaction is open when the marker is answered
			}
			continue
		}
		c.recordMismatch(c.awaited.id, "repeated-error", &r)
		r = a
	}
	if rollsBack {
		return c.endByRollback(r), nil
	}
	c.noteAnswer(&r)
	return r, nil
}

// sendMarkers queues the statements of resolveWithMarkers.
func (c *Conn) sendMarkers(n int, rollsBack bool) {
	others := c.ownPending
	if rollsBack {
		c.Rollback()
	}
	for range n {
		c.reset()
	}
	c.ownPending = others // resolveWithMarkers reads the answers
}

// isAnswerToMarker reports whether a answers a marker, if r is the last answer before it.
// The answer to the start of a transaction is unsigned too: it opens the transaction that
// r, an error, was outside of.
func (c *Conn) isAnswerToMarker(r, a *reply.Reply) bool {
	if !pairs.IsUnsigned(a) {
		return false
	}
	if c.awaited.kind == pairs.Begin {
		return a.State == r.State
	}
	return a.State == reply.Idle
}

// endByRollback returns the answer to the statement that waited, after its transaction was
// rolled back. What ran in it counts as refused, but for a commit. The connection is closed:
// whether the rollback has had its answer is not known.
func (c *Conn) endByRollback(r reply.Reply) reply.Reply {
	c.unusable = true
	if c.awaited.commit {
		r.State = reply.Idle
		return r
	}
	if r.Outcome == reply.Done && r.State == reply.Idle {
		return c.doubtOutcome(&r)
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

// MayGetRepeatedAnswer reports whether the connection has had an answer of late that, if it
// came again, could be taken for another one: any without a signature.
func (c *Conn) MayGetRepeatedAnswer() bool {
	return c.ownPending > 0 || c.mayRepeat()
}

// mayRepeat reports whether an answer without a signature may come again.
func (c *Conn) mayRepeat() bool {
	return c.checkedAt < c.unsignedUntil
}

// noteUnsigned remembers when an answer came that has no signature, and those among them
// that look like the answer to a marker.
func (c *Conn) noteUnsigned(r *reply.Reply) {
	if r.Outcome == reply.Done && !pairs.IsUnsigned(r) {
		return
	}
	c.unsignedUntil = uptime.Now() + pairs.MaxDelay
	if r.Outcome != reply.Done {
		return
	}
	if r.State == reply.Open {
		c.startedUntil = c.unsignedUntil
	}
	c.unsignedAt = append(c.unsignedAt, uptime.Now())
	if len(c.unsignedAt) > maxMarkersRepeating {
		c.unsignedAt = c.unsignedAt[1:]
	}
}

// countUnsigned returns how many unsigned answers may come again.
func (c *Conn) countUnsigned() int {
	n := 0
	for _, at := range c.unsignedAt {
		if c.checkedAt-at < pairs.MaxDelay {
			n++
		}
	}
	return n
}
