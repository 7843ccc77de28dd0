// Package query holds one statement of a caller, independent of the protocol by
// which it came.
package query

// Kinds of statement.
const (
	// Unknown is a text that no protocol understands.
	Unknown = iota
	// Begin opens a transaction; ReadOnly is its mode.
	Begin
	// Commit commits the transaction.
	Commit
	// Rollback rolls the transaction back.
	Rollback
	// Read reads one item.
	Read
	// Write writes one item.
	Write
	// Set sets the session setting Name.
	Set
	// Prepare declares the prepared statement Name.
	Prepare
	// Execute runs the prepared statement Name.
	Execute
	// Deallocate drops the prepared statement Name.
	Deallocate
	// Reset drops all session settings and prepared statements of an
	// instance's connection. Only the proxy sends it.
	Reset
	// TooLong is a text over the limit of the protocol, of which nothing is kept.
	TooLong
)

var kindNames = map[int]string{
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
	TooLong:    "too-long",
}

// KindName returns the name of a kind in logs.
func KindName(kind int) string {
	return kindNames[kind]
}

// Query is one statement.
type Query struct {
	// ID is the caller's id of the statement; "-" for the proxy's own ones.
	ID string
	// Kind is one of the kinds above.
	Kind int
	// Text is the statement as the caller wrote it.
	Text string
	// Name is the name of the session setting or the prepared statement.
	Name string
	// Value is the new value of a Set, or the statement of a Prepare.
	Value string
	// Args is what follows the name in an Execute.
	Args string
	// ReadOnly says that a Begin opens a read-only transaction.
	ReadOnly bool
	// Writes says that a Prepare declares a statement that writes.
	Writes bool
}
