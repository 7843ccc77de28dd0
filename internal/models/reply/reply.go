// Package reply holds the answer to one statement, whatever wire it takes.
package reply

import (
	"time"

	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// States of a session after an answer.
const (
	// Idle is outside of a transaction.
	Idle = iota
	// Open is inside a transaction.
	Open
	// Broken is inside a transaction that can only be ended.
	Broken
)

// Outcomes of a statement.
const (
	// Done statements ran.
	Done = iota
	// Busy statements did not run: no capacity.
	Busy
	// Aborted transactions keep nothing.
	Aborted
	// Lagging reads did not run: the instance's log lacks the position.
	Lagging
	// NotPrimary statements did not run: the instance is no primary.
	NotPrimary
	// WrongServer connections reached another instance than expected.
	WrongServer
	// TooManyConnections means that the instance takes no more of them.
	TooManyConnections
	// UnknownName statements did not run: the name is not prepared.
	UnknownName
	// Failed statements ran and failed.
	Failed
	// TimedOut statements ran into the instance's own time limit.
	TimedOut
	// InDoubt writes may have run.
	InDoubt
	// KeyRefused callers show a key of no workspace.
	KeyRefused
	// NoDatabase callers name a database without a route.
	NoDatabase
	// Malformed statements are not understood or out of order.
	Malformed
)

// Reply is the answer to one statement.
type Reply struct {
	// Rows are the rows, in order.
	Rows []string
	// Outcome is one of the constants of this package.
	Outcome int
	// Signature is the instance's proof that it ran the statement; "-" on
	// answers of the proxy's own.
	Signature string
	// Message tells the caller why a statement did not succeed.
	Message string
	// RetryAfter is when the caller may come back; 0 when not known.
	RetryAfter time.Duration
	// StartAfter is how long an admitted operation waits for its turn.
	StartAfter time.Duration
	// State is Idle, Open or Broken.
	State int
	// Position is the end of the instance's log; zero when not told.
	Position logpos.Position
}

var words = map[int]string{
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

// Word returns an outcome's name in logs and metrics.
func Word(outcome int) string {
	return words[outcome]
}

// NotRun reports whether the outcome promises that the statement did not run
// at the instance that answered.
func (r *Reply) NotRun() bool {
	switch r.Outcome {
	case Busy, Lagging, NotPrimary, WrongServer, TooManyConnections, UnknownName:
		return true
	}
	return false
}
