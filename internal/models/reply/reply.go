// Package reply holds the answer to one statement, independent of the protocol.
package reply

import (
	"time"

	"wasabislip.example/wasabislip/internal/models/load"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// States of a session after an answer.
const (
	// Idle sessions are not in a transaction.
	Idle = iota
	// Open sessions are in a transaction.
	Open
	// Broken sessions are in a failed transaction, which can only be ended.
	Broken
)

// Outcomes of a statement.
const (
	// Done statements ran.
	Done = iota
	// Busy statements did not run: the instance had no capacity.
	Busy
	// Aborted transactions were rolled back.
	Aborted
	// Lagging reads did not run: the replica has not applied the position.
	Lagging
	// NotPrimary statements did not run: the instance is not the primary.
	NotPrimary
	// WrongServer connections reached another instance than expected.
	WrongServer
	// TooManyConnections means that the instance accepts no more connections.
	TooManyConnections
	// UnknownName statements did not run: the name is not prepared.
	UnknownName
	// Failed statements ran and failed.
	Failed
	// TimedOut statements exceeded the instance's own time limit.
	TimedOut
	// InDoubt writes may or may not have run.
	InDoubt
	// KeyRefused callers sent a key that belongs to no workspace.
	KeyRefused
	// NoDatabase callers named a database without a route.
	NoDatabase
	// Malformed statements cannot be parsed or are out of order.
	Malformed
)

const (
	// MaxBytes bounds the rows of one answer, with RowBytes for each, so that an instance
	// that never ends an answer can't exhaust the memory. Answers are a few kilobytes.
	MaxBytes = 16 << 20
	// RowBytes is what a row takes beside its bytes: in memory, and between hosts at most.
	RowBytes = 16
)

// Reply is the answer to one statement.
type Reply struct {
	// Rows are the rows of the result, in order.
	Rows []string
	// Outcome is one of the outcomes above.
	Outcome int
	// Signature is the instance's proof that it ran the statement; "-" in the
	// proxy's own answers.
	Signature string
	// Message says why the statement did not succeed.
	Message string
	// RetryAfter is the time after which the caller may retry; 0 if unknown.
	RetryAfter time.Duration
	// StartAfter is how long an admitted operation waits for its turn.
	StartAfter time.Duration
	// State is Idle, Open or Broken.
	State int
	// Position is the end of the instance's log; zero if the answer did not say.
	Position logpos.Position
	// Load is the load of the instance as the host reported it that holds the
	// connections to it; nil without a report.
	Load *load.Report
}

var outcomeNames = map[int]string{
	Done:               "done",
	Busy:               "busy",
	Aborted:            "aborted",
	Lagging:            "lagging",
	NotPrimary:         "not-primary",
	WrongServer:        "wrong-server",
	TooManyConnections: "too-many-connections",
	UnknownName:        "unknown-name",
	Failed:             "failed",
	TimedOut:           "timed-out",
	InDoubt:            "in-doubt",
	KeyRefused:         "key-refused",
	NoDatabase:         "no-database",
	Malformed:          "malformed",
}

// OutcomeName returns the name of an outcome in logs and metrics.
func OutcomeName(outcome int) string {
	return outcomeNames[outcome]
}

// NotRun reports whether the statement certainly did not run at the instance that
// answered.
func (r *Reply) NotRun() bool {
	switch r.Outcome {
	case Busy, Lagging, NotPrimary, WrongServer, TooManyConnections, UnknownName:
		return true
	}
	return false
}
