// Package wire is what the product asks of a connection to a caller.
package wire

import (
	"time"

	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
)

// Wire is a connection to a caller. One goroutine uses it at a time; deadlines
// and Close may be set beside it.
type Wire interface {
	// ReadHello reads the database and the key that the caller starts with.
	ReadHello() (database, key string, err error)
	// Welcome accepts the caller.
	Welcome() error
	// Refuse turns the caller away.
	Refuse(r *reply.Reply) error
	// ReadQuery reads the next statement. After a read that timed out it goes
	// on where it ended.
	ReadQuery() (query.Query, error)
	// WriteReply answers the statement.
	WriteReply(r *reply.Reply) error
	// Buffered tells how many bytes of further statements have arrived.
	Buffered() int
	// SetReadDeadline bounds reads; the zero time doesn't.
	SetReadDeadline(t time.Time) error
	// SetWriteDeadline bounds writes; the zero time doesn't.
	SetWriteDeadline(t time.Time) error
	// Close ends the connection.
	Close() error
}
