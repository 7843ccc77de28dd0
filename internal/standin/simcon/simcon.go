// Package simcon is a stand-in for a connection to an instance, for tests of
// connection pools.
package simcon

import (
	"errors"
	"sync/atomic"
	"time"

	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// Conn answers every statement with success. Its fields are set before use.
type Conn struct {
	// RefuseSessions makes StartSession fail as if the instance had too many connections.
	RefuseSessions bool
	// State is the session's state in all answers.
	State int
	// Outcome is the outcome of all answers.
	Outcome int
	// SentKinds holds the kinds of the statements that were sent.
	SentKinds []int

	peerClosed atomic.Bool
	closed     atomic.Bool
}

// CloseFromPeer makes the connection behave as if the instance had closed it.
func (c *Conn) CloseFromPeer() {
	c.peerClosed.Store(true)
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
}

// Flush does nothing.
func (c *Conn) Flush() error {
	return nil
}

// Receive returns success, or an error after CloseFromPeer.
func (c *Conn) Receive() (reply.Reply, error) {
	if c.peerClosed.Load() {
		return reply.Reply{}, errors.New("the connection was reset")
	}
	return reply.Reply{
		State:   c.State,
		Outcome: c.Outcome,
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

// IsOpen reports whether the connection is open: CloseFromPeer was not called.
func (c *Conn) IsOpen() bool {
	return !c.peerClosed.Load()
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.closed.Store(true)
	return nil
}
