// Package input holds a batch: the messages that a caller sends up to the point
// where it may wait for an answer.
package input

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// What ended a batch.
const (
	// Query is a simple query, a batch of its own.
	Query = "query"
	// Sync ends a batch of the extended query protocol.
	Sync = "sync"
	// Flush asks for the answers so far.
	Flush = "flush"
	// FunctionCall is PostgreSQL's message of that name; it is not supported.
	FunctionCall = "call"
	// Terminated means that the caller ended the session or its connection.
	Terminated = "gone"
	// Malformed means that what the caller sent cannot be read; see Err.
	Malformed = "broken"
)

// Batch is a sequence of messages. They are copies, which stay valid when the
// reader reuses its buffers.
type Batch struct {
	// Messages holds Parse, Bind, Describe, Execute and Close messages, or one
	// Query.
	Messages []pgproto3.FrontendMessage
	// End is one of the constants of this package; empty until the batch has
	// ended.
	End string
	// Bytes is the approximate memory that the messages take.
	Bytes int
	// Err is the cause of Malformed, a *fault.Fault.
	Err error
}

// messageOverhead is the memory of a message besides its texts, in bytes.
const messageOverhead = 64

// Add appends a copy of msg and reports whether msg ends the batch.
func (b *Batch) Add(msg pgproto3.FrontendMessage) bool {
	switch m := msg.(type) {
	case *pgproto3.Query:
		b.appendMessage(&pgproto3.Query{String: m.String}, len(m.String))
		b.End = Query
	case *pgproto3.Sync:
		b.End = Sync
	case *pgproto3.Flush:
		b.End = Flush
	case *pgproto3.FunctionCall:
		b.End = FunctionCall
	case *pgproto3.Terminate:
		b.End = Terminated
	case *pgproto3.Parse:
		c := *m
		b.appendMessage(&c, len(m.Name)+len(m.Query)+4*len(m.ParameterOIDs))
	case *pgproto3.Bind:
		b.addBind(m)
	case *pgproto3.Describe:
		c := *m
		b.appendMessage(&c, len(m.Name))
	case *pgproto3.Execute:
		c := *m
		b.appendMessage(&c, len(m.Portal))
	case *pgproto3.Close:
		c := *m
		b.appendMessage(&c, len(m.Name))
	}
	return b.End != ""
}

// appendMessage appends msg, whose texts have n bytes.
func (b *Batch) appendMessage(msg pgproto3.FrontendMessage, n int) {
	b.Messages = append(b.Messages, msg)
	b.Bytes += messageOverhead + n
}

// addBind appends a copy of m and of its parameters.
func (b *Batch) addBind(m *pgproto3.Bind) {
	c := *m
	n := len(m.DestinationPortal) + len(m.PreparedStatement)
	c.Parameters = make([][]byte, len(m.Parameters))
	for i, p := range m.Parameters {
		if p != nil {
			c.Parameters[i] = append(make([]byte, 0, len(p)), p...)
		}
		n += len(p) + 4
	}
	b.appendMessage(&c, n)
}
