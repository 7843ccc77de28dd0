// Package errand holds a statement on its way to an instance, together with
// all that a host needs to run it for another.
package errand

import (
	"time"

	"wasabislip.example/wasabislip/internal/models/claim"
	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// Kinds of errand.
const (
	// Single runs a statement outside of a transaction.
	Single = iota
	// Start opens a transaction, whose connection is kept.
	Start
	// Inside runs a statement of the open transaction, its end included.
	Inside
	// Abandon rolls the open transaction back. It has no answer.
	Abandon
	// Admit takes one operation of the workspace from its rate, at its home.
	Admit
)

// Errand is one statement on its way.
type Errand struct {
	// Kind is one of the constants of this package.
	Kind int
	// Instance is the id of the instance that is to run it.
	Instance string
	// Workspace is who it runs for.
	Workspace string
	// Values are the session's values.
	Values map[string]string
	// Query is the statement; unused at Start and Abandon.
	Query query.Query
	// Prepared is the declaration of the statement that Query executes.
	Prepared string
	// ReadOnly is the mode of the transaction that Start opens.
	ReadOnly bool
	// Floor is what the instance's log must hold; zero without a bound.
	Floor logpos.Position
	// Priority orders those who wait for a connection; 0 goes first.
	Priority int
	// Wait bounds the wait for a connection.
	Wait time.Duration
	// Claim is what an Admit asks for.
	Claim claim.Claim
	// Deadline is when the statement's time is over.
	Deadline time.Time
}
