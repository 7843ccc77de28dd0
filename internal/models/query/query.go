// Package query holds one statement of a caller, whatever wire it came by.
package query

// Kinds of statement.
const (
	// Unknown is a text that no wire understands.
	Unknown = iota
	// Begin opens a transaction; ReadOnly tells its mode.
	Begin
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and drops its writes.
	Rollback
	// Read reads one item.
	Read
	// Write writes one item.
	Write
	// Set stores the session value Name.
	Set
	// Prepare declares the prepared statement Name.
	Prepare
	// Execute runs the prepared statement Name.
	Execute
	// Deallocate drops the prepared statement Name.
	Deallocate
	// Reset drops all session values and prepared statements of an
	// instance's connection. Only the proxy sends it.
	Reset
)

var words = map[int]string{
	Unknown:    "unknown",
	Begin:      "begin",
	Commit:     "commit",
	Rollback:   "rollback",
	Read:       "read",
	Write:      "write",
	Set:        "set",
	Prepare:    "prepare",
	Execute:    "execute",
	Deallocate: "deallocate",
	Reset:      "reset",
}

// Word returns a kind's name in logs.
func Word(kind int) string {
	return words[kind]
}

// Query is one statement.
type Query struct {
	// ID is the caller's id of the statement; "-" on the proxy's own.
	ID string
	// Kind is one of the constants of this package.
	Kind int
	// Text is the statement as the caller wrote it.
	Text string
	// Name is the session value's or the prepared statement's name.
	Name string
	// Value is what Set stores, or what Prepare declares.
	Value string
	// Args is what follows the name of an Execute.
	Args string
	// ReadOnly tells that a Begin opens a read-only transaction.
	ReadOnly bool
	// Writes tells that a Prepare declares a writing statement.
	Writes bool
}
