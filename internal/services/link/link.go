// Package link is what the product asks of a connection to an instance.
package link

import (
	"time"

	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// Link is a connection to an instance. Answers come in the order of the
// statements. One goroutine uses it at a time; only Close may run beside it.
type Link interface {
	// Hello opens the session and reads the answer.
	Hello(service, workspace, id string) (reply.Reply, error)
	// Send queues a statement that needs the instance's log to hold floor.
	Send(q *query.Query, floor logpos.Position)
	// Flush sends what is queued.
	Flush() error
	// Receive reads the answer to the oldest unanswered statement.
	Receive() (reply.Reply, error)
	// Status asks the instance for its report. The reply's outcome tells
	// whether the report is one.
	Status() (report.Report, reply.Reply, error)
	// Hold stops a replica from receiving for the sake of a later term.
	Hold(term uint64) (report.Report, reply.Reply, error)
	// Release lets a replica receive again.
	Release() (report.Report, reply.Reply, error)
	// StepDown makes a primary of a term below this one a replica.
	StepDown(term uint64) (report.Report, reply.Reply, error)
	// SetReadDeadline bounds the reads that follow.
	SetReadDeadline(t time.Time) error
	// SetWriteDeadline bounds the writes that follow.
	SetWriteDeadline(t time.Time) error
	// Standing reports whether an idle connection was not closed by the
	// instance.
	Standing() bool
	// Close ends the connection; an open transaction is rolled back.
	Close() error
}
