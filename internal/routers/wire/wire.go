// Package wire defines what a host needs of a connection to a caller. The callers'
// protocol is implemented outside of this package.
package wire

import (
	"errors"
	"fmt"
	"time"

	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
)

// ErrProtocol ends a connection whose caller sent a message that is not understood.
var ErrProtocol = errors.New("message is not understood; check the protocol's version")

// ErrTooLong reports a statement over the limit of the callers' protocol. It is not run; the
// next one can be read.
var ErrTooLong = fmt.Errorf("message over 1 MiB; send smaller statements: %w", ErrProtocol)

// Conn is a connection to a caller. One goroutine uses it at a time. Only the
// deadlines and Close may be called concurrently.
type Conn interface {
	// ReadStartup reads the caller's start-up message: the database and the key.
	ReadStartup() (database, key string, err error)
	// Accept tells the caller that its session has begun.
	Accept() error
	// Reject tells the caller that it is refused.
	Reject(r *reply.Reply) error
	// ReadQuery reads the next statement. After a timeout, the next call goes on
	// where the read stopped.
	ReadQuery() (query.Query, error)
	// WriteReply writes the answer to the statement.
	WriteReply(r *reply.Reply) error
	// Buffered returns how many bytes have been received and not read yet.
	Buffered() int
	// IsClosed reports whether the caller has closed the connection and all that it
	// sent has been read.
	IsClosed() bool
	// SetReadDeadline sets the deadline of reads; the zero time sets none.
	SetReadDeadline(t time.Time) error
	// SetWriteDeadline sets the deadline of writes; the zero time sets none.
	SetWriteDeadline(t time.Time) error
	// Close closes the connection.
	Close() error
}
