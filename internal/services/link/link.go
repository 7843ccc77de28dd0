// Package link defines the interface of a connection to an instance. The code
// that speaks the instances' protocol implements it.
package link

import (
	"errors"
	"time"

	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// ErrAnswerTooLarge ends a connection whose instance sent an answer of more than
// reply.MaxBytes. The statement has run.
var ErrAnswerTooLarge = errors.New("an answer is over 16 MiB; read less at a time")

// Link is a connection to an instance. Answers come in the order of the
// statements. Only one goroutine may use it at a time, but Close may be called
// concurrently.
type Link interface {
	// StartSession opens the session and reads the answer. An error for which
	// fault.IsRefusal holds says that the session can't be opened at any instance.
	StartSession(service, workspace, id string) (reply.Reply, error)
	// Send queues a statement. The instance runs it once its log has reached
	// minPosition.
	Send(q *query.Query, minPosition logpos.Position)
	// Flush sends the queued statements. If one of them can't be written, it sends none
	// and returns an error for which fault.IsRefusal holds.
	Flush() error
	// Receive reads the answer to the oldest unanswered statement.
	Receive() (reply.Reply, error)
	// Status asks the instance for its report. The report is valid only if the
	// reply's outcome is reply.Done.
	Status() (report.Report, reply.Reply, error)
	// PauseReplication stops a replica from receiving the log, on behalf of this
	// later term.
	PauseReplication(term uint64) (report.Report, reply.Reply, error)
	// ResumeReplication lets a replica receive the log again.
	ResumeReplication() (report.Report, reply.Reply, error)
	// StepDown makes the instance a replica if it is the primary of an earlier
	// term.
	StepDown(term uint64) (report.Report, reply.Reply, error)
	// SetReadDeadline sets the deadline of later reads.
	SetReadDeadline(t time.Time) error
	// SetWriteDeadline sets the deadline of later writes.
	SetWriteDeadline(t time.Time) error
	// IsOpen reports whether the instance has left an idle connection open.
	// Nothing that was not asked for may have arrived on it.
	IsOpen() bool
	// HasUnread reports whether the instance has sent something on an idle connection.
	HasUnread() bool
	// Close closes the connection. The instance rolls an open transaction back.
	Close() error
}
