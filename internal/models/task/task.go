// Package task holds a statement that is forwarded to the host that runs it,
// together with all that this host needs to run it.
package task

import (
	"time"

	"wasabislip.example/wasabislip/internal/models/permit"
	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/usage"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// Kinds of task.
const (
	// Autocommit runs a statement outside of a transaction.
	Autocommit = iota
	// Begin opens a transaction and keeps its connection to the instance.
	Begin
	// InTransaction runs a statement of the open transaction, COMMIT and
	// ROLLBACK included.
	InTransaction
	// Rollback rolls the open transaction back. It has no answer.
	Rollback
	// Admit asks the home of a part of the workspace's rate to admit one
	// operation. The home host owns the part's token bucket.
	Admit
	// Usage tells the counts of the sending host's requests.
	Usage
)

// Task is one forwarded statement (errand on the wire).
type Task struct {
	// Kind is one of the constants of this package.
	Kind int
	// Instance is the id of the instance that is to run the statement.
	Instance string
	// Workspace is the workspace that the statement runs for.
	Workspace string
	// Settings are the settings of the caller's session by name.
	SessionValues map[string]string
	// Query is the statement. Begin and Rollback have none.
	Query query.Query
	// Prepared declares the prepared statement that Query executes.
	Prepared string
	// ReadOnly tells that Begin opens a read-only transaction.
	ReadOnly bool
	// MinPosition is the position that the instance must have applied the log up
	// to (floor on the wire); zero if any will do.
	MinPosition logpos.Position
	// Priority orders the tasks that wait for a connection; the lowest goes
	// first.
	Priority int
	// Wait bounds the time of waiting for a connection.
	Wait time.Duration
	// Level is the rank of the statement's priority, and Objective what is left of
	// the target latency of its operation; both are 0 unless statements are
	// admitted by priority and deadline.
	Level     int
	Objective time.Duration
	// PermitRequest is the request of an Admit.
	PermitRequest permit.Request
	// Usage are the counts of a Usage.
	Usage *usage.Message
	// Deadline is when the statement must have ended.
	Deadline time.Time
}
