// Package input holds what a caller sent up to the point where it may wait
// for an answer.
package input

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// Ends of a batch.
const (
	// Query is one simple query.
	Query = "query"
	// Sync ends a batch of extended messages.
	Sync = "sync"
	// Flush asks for the answers so far.
	Flush = "flush"
	// Call is a function call, which is not supported.
	Call = "call"
	// Gone says that the caller ended the session or its connection.
	Gone = "gone"
	// Broken says that what the caller sent cannot be read; see Err.
	Broken = "broken"
)

// Batch is a sequence of messages. They are copies and stay valid.
type Batch struct {
	// Messages holds Parse, Bind, Describe, Execute and Close, or one Query.
	Messages []pgproto3.FrontendMessage
	// End is one of the constants of this package; empty while it is open.
	End string
	// Bytes is about what the messages hold, in bytes.
	Bytes int
	// Err is the reason of Broken, a *fault.Fault.
	Err error
}

// overhead is what a message takes besides its texts, in bytes.
const messageOverhead = 64

// Add appends a copy of msg and reports whether the batch has ended by it.
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
		b.End = Call
	case *pgproto3.Terminate:
		b.End = Gone
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

func (b *Batch) appendMessage(msg pgproto3.FrontendMessage, n int) {
	b.Messages = append(b.Messages, msg)
	b.Bytes += messageOverhead + n
}

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
