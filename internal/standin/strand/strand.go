// Package simcon is a stand-in for a connection to an instance, for tests of
// connection pools.
package strand

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
type Strand struct {
	// RefuseSessions makes Hello fail as if the instance had too many connections.
	Refuses bool
	// SentKinds holds the kinds of the statements that were sent.
	Sent []int

	peerClosed atomic.Bool
	closed     atomic.Bool
}

// CloseFromPeer makes the connection behave as if the instance had closed it.
func (c *Strand) Break() {
	c.peerClosed.Store(true)
}

// Closed reports whether Close was called.
func (c *Strand) Closed() bool {
	return c.closed.Load()
}

// Hello accepts the session unless RefuseSessions is set.
func (c *Strand) Hello(string, string, string) (reply.Reply, error) {
	if c.Refuses {
		return reply.Reply{
			Outcome: reply.TooManyConnections,
		}, nil
	}
	return reply.Reply{}, nil
}

// Send records the kind of a statement.
func (c *Strand) Send(q *query.Query, _ logpos.Position) {
	c.Sent = append(c.Sent, q.Kind)
}

// Flush does nothing.
func (c *Strand) Flush() error {
	return nil
}

// Receive returns success, or an error after CloseFromPeer.
func (c *Strand) Receive() (reply.Reply, error) {
	if c.peerClosed.Load() {
		return reply.Reply{}, errors.New("the connection was reset")
	}
	return reply.Reply{}, nil
}

// Status returns an empty report.
func (c *Strand) Status() (report.Report, reply.Reply, error) {
	return report.Report{}, reply.Reply{}, nil
}

// PauseReplication returns an empty report.
func (c *Strand) PauseReplication(uint64) (report.Report, reply.Reply, error) {
	return report.Report{}, reply.Reply{}, nil
}

// ResumeReplication returns an empty report.
func (c *Strand) ResumeReplication() (report.Report, reply.Reply, error) {
	return report.Report{}, reply.Reply{}, nil
}

// StepDown returns an empty report.
func (c *Strand) StepDown(uint64) (report.Report, reply.Reply, error) {
	return report.Report{}, reply.Reply{}, nil
}

// SetReadDeadline does nothing.
func (c *Strand) SetReadDeadline(time.Time) error {
	return nil
}

// SetWriteDeadline does nothing.
func (c *Strand) SetWriteDeadline(time.Time) error {
	return nil
}

// IsOpen reports whether the connection is open: CloseFromPeer was not called.
func (c *Strand) IsOpen() bool {
	return !c.peerClosed.Load()
}

// Close closes the connection.
func (c *Strand) Close() error {
	c.closed.Store(true)
	return nil
}
