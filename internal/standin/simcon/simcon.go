// Package simcon is a stand-in for a connection to an instance, for tests of
// connection pools.
package simcon

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// ownID is the id of statements that the proxy sends on its own.
const ownID = "-"

// Conn answers every statement with success. Its fields are set before use.
type Conn struct {
	// RefuseSessions makes StartSession fail as if the instance had too many connections.
	RefuseSessions bool
	// State is the session's state in all answers but those to the proxy's own statements
	// outside of a transaction.
	State int
	// Outcome is the outcome of callers' statements and of the starts of transactions.
	Outcome int
	// SentKinds holds the kinds of the statements that were sent.
	SentKinds []int

	// unanswered are the statements that were sent and not answered.
	unanswered []query.Query
	signed     int
	// inTransaction is set between the answers to the start and to the end of a transaction.
	inTransaction bool

	unread     atomic.Bool
	peerClosed atomic.Bool
	closed     atomic.Bool
}

// CloseFromPeer makes the connection behave as if the instance had closed it.
func (c *Conn) CloseFromPeer() {
	c.peerClosed.Store(true)
}

// SendUnasked makes the connection behave as if the instance had sent an answer to which no
// statement waits.
func (c *Conn) SendUnasked() {
	c.unread.Store(true)
}

// Closed reports whether Close was called.
func (c *Conn) Closed() bool {
	return c.closed.Load()
}

// StartSession accepts the session unless RefuseSessions is set.
func (c *Conn) StartSession(string, string, string) (reply.Reply, error) {
	if c.RefuseSessions {
		return reply.Reply{
			Outcome: reply.TooManyConnections,
		}, nil
	}
	return reply.Reply{}, nil
}

// Send records the kind of a statement.
func (c *Conn) Send(q *query.Query, _ logpos.Position) {
	c.SentKinds = append(c.SentKinds, q.Kind)
	c.unanswered = append(c.unanswered, *q)
}

// Flush does nothing.
func (c *Conn) Flush() error {
	return nil
}

// Receive returns the answer to the oldest statement without one. It fails after
// CloseFromPeer, and if there is no such statement.
func (c *Conn) Receive() (reply.Reply, error) {
	if c.peerClosed.Load() {
		return reply.Reply{}, errors.New("the connection was reset")
	}
	if len(c.unanswered) == 0 {
		return reply.Reply{}, errors.New("all statements are answered")
	}
	q := c.unanswered[0]
	c.unanswered = c.unanswered[1:]
	if q.Kind == query.Begin || q.Kind == query.Commit || q.Kind == query.Rollback {
		c.inTransaction = q.Kind == query.Begin && c.Outcome == reply.Done
	}
	switch {
	case q.ID == ownID && q.Kind != query.Begin && !c.inTransaction:
		return reply.Reply{
			Signature: ownID,
		}, nil
	case c.Outcome != reply.Done:
		return reply.Reply{
			State:   c.State,
			Outcome: c.Outcome,
		}, nil
	case q.ID == ownID:
		return reply.Reply{
			Signature: ownID,
			State:     c.State,
		}, nil
	}
	c.signed++
	return reply.Reply{
		Signature: fmt.Sprintf("sig-%d", c.signed),
		State:     c.State,
	}, nil
}

// Status returns an empty report.
func (c *Conn) Status() (report.Report, reply.Reply, error) {
	return report.Report{}, reply.Reply{}, nil
}

// PauseReplication returns an empty report.
func (c *Conn) PauseReplication(uint64) (report.Report, reply.Reply, error) {
	return report.Report{}, reply.Reply{}, nil
}

// ResumeReplication returns an empty report.
func (c *Conn) ResumeReplication() (report.Report, reply.Reply, error) {
	return report.Report{}, reply.Reply{}, nil
}

// StepDown returns an empty report.
func (c *Conn) StepDown(uint64) (report.Report, reply.Reply, error) {
	return report.Report{}, reply.Reply{}, nil
}

// SetReadDeadline does nothing.
func (c *Conn) SetReadDeadline(time.Time) error {
	return nil
}

// SetWriteDeadline does nothing.
func (c *Conn) SetWriteDeadline(time.Time) error {
	return nil
}

// IsOpen reports whether the connection is open: neither CloseFromPeer nor SendUnasked was
// called.
func (c *Conn) IsOpen() bool {
	return !c.peerClosed.Load() && !c.unread.Load()
}

// HasUnread reports whether SendUnasked was called.
func (c *Conn) HasUnread() bool {
	return c.unread.Load()
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.closed.Store(true)
	return nil
}
