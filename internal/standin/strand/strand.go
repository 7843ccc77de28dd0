// Package strand is a stand-in of a connection to an instance, for tests of
// what holds connections.
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

// Strand answers every statement with success. Its fields are set before use.
type Strand struct {
	// Refuses makes the instance take no more connections.
	Refuses bool
	// Sent are the statements sent, as their kinds.
	Sent []int

	peerClosed atomic.Bool
	closed     atomic.Bool
}

// Break makes the connection one that the instance has closed.
func (s *Strand) Break() {
	s.peerClosed.Store(true)
}

// Closed reports whether the connection was closed.
func (s *Strand) Closed() bool {
	return s.closed.Load()
}

// Hello accepts the session unless Refuses is set.
func (s *Strand) Hello(string, string, string) (reply.Reply, error) {
	if s.Refuses {
		return reply.Reply{
			Outcome: reply.TooManyConnections,
		}, nil
	}
	return reply.Reply{}, nil
}

// Send notes a statement.
func (s *Strand) Send(q *query.Query, _ logpos.Position) {
	s.Sent = append(s.Sent, q.Kind)
}

// Flush does nothing.
func (s *Strand) Flush() error {
	return nil
}

// Receive answers a statement.
func (s *Strand) Receive() (reply.Reply, error) {
	if s.peerClosed.Load() {
		return reply.Reply{}, errors.New("the connection was reset")
	}
	return reply.Reply{}, nil
}

// Status is not answered.
func (s *Strand) Status() (report.Report, reply.Reply, error) {
	return report.Report{}, reply.Reply{}, nil
}

// Hold is not answered.
func (s *Strand) PauseReplication(uint64) (report.Report, reply.Reply, error) {
	return report.Report{}, reply.Reply{}, nil
}

// Release is not answered.
func (s *Strand) ResumeReplication() (report.Report, reply.Reply, error) {
	return report.Report{}, reply.Reply{}, nil
}

// StepDown is not answered.
func (s *Strand) StepDown(uint64) (report.Report, reply.Reply, error) {
	return report.Report{}, reply.Reply{}, nil
}

// SetReadDeadline does nothing.
func (s *Strand) SetReadDeadline(time.Time) error {
	return nil
}

// SetWriteDeadline does nothing.
func (s *Strand) SetWriteDeadline(time.Time) error {
	return nil
}

// Standing reports whether Break was not called.
func (s *Strand) IsOpen() bool {
	return !s.peerClosed.Load()
}

// Close notes the end.
func (s *Strand) Close() error {
	s.closed.Store(true)
	return nil
}
