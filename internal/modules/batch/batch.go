// Package batch adapts a caller's batch of PostgreSQL messages to the pooled
// connection that runs it. It adds a Parse for each prepared statement that the
// connection lacks, leaves out a Parse that the connection has run already, and
// matches the answers to what the caller sent. It also closes prepared statements
// beyond the connection's limit.
package batch

import (
	"encoding/binary"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"wasabislip.example/wasabislip/internal/modules/dbconn"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// headerBytes is the size of a message's type byte and length.
const headerBytes = 5

// Actions on the answer to one message: pass it to the caller, keep it from the
// caller, or make it up because the message was not sent.
const (
	forward = iota
	discard
	synthesize
)

// expected is the answer that one frontend message will get. kind is the type
// byte of that message; name is the statement that a Parse prepares.
type expected struct {
	kind   byte
	action int
	name   string
}

// Batch is one batch that runs on one connection.
type Batch struct {
	// Out holds the messages to send to the instance.
	Out []byte

	conn   *dbconn.Conn
	lookup func(name string) (query string, oids []uint32, ok bool)
	// queue holds the answers that are still to come, in order.
	queue []expected
	// pending holds the statements that a Parse of this batch prepares.
	pending map[string]bool
	// ended is set once a Query or Sync was added; nothing may follow it.
	ended bool
}

// New prepares messages for conn. They are one Query, or extended query messages
// that end with Sync. lookup returns the text and parameter types of a statement
// that the messages use without a Parse. Only Parse, Bind, Describe and Close are
// decoded.
func New(conn *dbconn.Conn, messages []byte, lookup func(name string) (string, []uint32, bool)) (*Batch, error) {
	b := &Batch{
		conn:    conn,
		lookup:  lookup,
		pending: make(map[string]bool),
	}
	if len(messages) > 0 && messages[0] != 'Q' {
		if err := b.evict(); err != nil {
			return nil, err
		}
	}
	last := byte(0)
	for len(messages) > 0 {
		if len(messages) < headerBytes {
			return nil, malformed("a message is cut short")
		}
		size := int(binary.BigEndian.Uint32(messages[1:headerBytes])) + 1
		if size < headerBytes || size > len(messages) {
			return nil, malformed("a message is cut short")
		}
		last = messages[0]
		if b.ended || (last == 'Q' && len(b.queue) > 0) {
			// The answer is read up to the first ReadyForQuery. What follows it would
			// be taken for the answer to the connection's next batch.
			return nil, malformed("the batch goes on after a Sync, or holds more than one Query")
		}
		b.ended = last == 'S' || last == 'Q'
		if err := b.addMessage(messages[:size]); err != nil {
			return nil, err
		}
		messages = messages[size:]
	}
	if last != 'S' && last != 'Q' {
		return nil, malformed("the batch does not end with Sync or Query")
	}
	return b, nil
}

// evict adds a Close for each prepared statement beyond the connection's limit,
// least recently used first.
func (b *Batch) evict() error {
	for name := b.conn.StatementToEvict(); name != ""; name = b.conn.StatementToEvict() {
		c := pgproto3.Close{
			ObjectType: 'S',
			Name:       name,
		}
		out, err := c.Encode(b.Out)
		if err != nil {
			return malformed("Close: " + err.Error())
		}
		b.Out = out
		b.conn.RemoveStatement(name)
		b.expect('C', discard, "")
	}
	return nil
}

// malformed returns the fault for messages that break the protocol.
func malformed(reason string) error {
	return fault.New(fault.BadRequest, reason, "use a client that speaks protocol 3.0")
}

// addMessage appends one message of the caller to Out, and before it the Parse
// that it needs.
func (b *Batch) addMessage(m []byte) error {
	body := m[headerBytes:]
	switch m[0] {
	case 'P':
		return b.parse(m, body)
	case 'B':
		var bind pgproto3.Bind
		if err := bind.Decode(body); err != nil {
			return malformed("Bind: " + err.Error())
		}
		if err := b.ensurePrepared(bind.PreparedStatement); err != nil {
			return err
		}
	case 'D':
		var d pgproto3.Describe
		if err := d.Decode(body); err != nil {
			return malformed("Describe: " + err.Error())
		}
		if d.ObjectType == 'S' {
			if err := b.ensurePrepared(d.Name); err != nil {
				return err
			}
		}
	case 'C':
		var c pgproto3.Close
		if err := c.Decode(body); err != nil {
			return malformed("Close: " + err.Error())
		}
		if c.ObjectType == 'S' {
			b.conn.RemoveStatement(c.Name)
			delete(b.pending, c.Name)
		}
	case 'E', 'S', 'Q', 'H':
	default:
		return fault.New(fault.Unsupported, fmt.Sprintf("message %q is not supported in a batch", m[0]), "use simple or extended queries")
	}
	b.Out = append(b.Out, m...)
	if m[0] != 'H' {
		b.expect(m[0], forward, "")
	}
	return nil
}

// parse appends a Parse, or leaves it out when the connection has the statement
// already; its answer is then made up.
func (b *Batch) parse(m, body []byte) error {
	var p pgproto3.Parse
	if err := p.Decode(body); err != nil {
		return malformed("Parse: " + err.Error())
	}
	if p.Name != "" && (b.conn.HasStatement(p.Name) || b.pending[p.Name]) {
		b.expect('P', synthesize, "")
		return nil
	}
	b.Out = append(b.Out, m...)
	b.pending[p.Name] = true
	b.expect('P', forward, p.Name)
	return nil
}

// ensurePrepared adds a Parse for a named statement that the connection lacks. A
// statement that lookup does not know is left to the instance, which answers
// with an error.
func (b *Batch) ensurePrepared(name string) error {
	if name == "" || b.conn.HasStatement(name) || b.pending[name] {
		return nil
	}
	query, oids, ok := b.lookup(name)
	if !ok {
		return nil
	}
	p := pgproto3.Parse{
		Name:          name,
		Query:         query,
		ParameterOIDs: oids,
	}
	out, err := p.Encode(b.Out)
	if err != nil {
		return fault.New(fault.TooLarge, "a prepared statement is too large", "shorten its text")
	}
	b.Out = out
	b.pending[name] = true
	b.expect('P', discard, name)
	return nil
}

// expect queues the answer to a message of type kind.
func (b *Batch) expect(kind byte, action int, name string) {
	b.queue = append(b.queue, expected{
		kind:   kind,
		action: action,
		name:   name,
	})
}

// ProcessAnswer takes the next message that the instance sent. It returns how
// many ParseComplete messages to send to the caller first, and whether to send m
// itself to the caller. An error says that m does not answer the batch, so that the
// connection must not be used again.
func (b *Batch) ProcessAnswer(m pgproto3.BackendMessage) (parsed int, pass bool, err error) {
	switch m.(type) {
	case *pgproto3.NoticeResponse, *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return 0, true, nil
	case *pgproto3.ErrorResponse:
		b.skipToSync()
		return 0, true, nil
	}
	for len(b.queue) > 0 && b.queue[0].action == synthesize {
		parsed++
		b.queue = b.queue[1:]
	}
	if len(b.queue) == 0 {
		return 0, false, mismatch(m, "nothing")
	}
	head := b.queue[0]
	last, ok := answers(head.kind, m)
	if !ok {
		return 0, false, mismatch(m, fmt.Sprintf("the answer to a message %q", head.kind))
	}
	if !last {
		return parsed, true, nil
	}
	b.queue = b.queue[1:]
	if head.kind == 'P' {
		b.conn.AddStatement(head.name)
	}
	return parsed, head.action == forward, nil
}

// mismatch returns the fault for a message that does not answer the batch.
func mismatch(m pgproto3.BackendMessage, due string) error {
	return fault.New(
		fault.OutcomeUnknown,
		fmt.Sprintf("the instance sent %T where %s was due", m, due),
		"look up the batch's effect before sending it again",
	)
}

// skipToSync drops the expected answers up to the next Sync: after an error the
// instance ignores the messages before it.
func (b *Batch) skipToSync() {
	for len(b.queue) > 0 && b.queue[0].kind != 'S' && b.queue[0].kind != 'Q' {
		b.queue = b.queue[1:]
	}
}

// answers reports whether m may answer a frontend message with this type byte, and
// whether it is the last message that does.
func answers(kind byte, m pgproto3.BackendMessage) (last, ok bool) {
	switch m := m.(type) {
	case *pgproto3.ParseComplete:
		return true, kind == 'P'
	case *pgproto3.BindComplete:
		return true, kind == 'B'
	case *pgproto3.CloseComplete:
		return true, kind == 'C'
	case *pgproto3.ParameterDescription:
		return false, kind == 'D'
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return kind == 'D', kind == 'D' || kind == 'Q'
	case *pgproto3.DataRow,
		*pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse,
		*pgproto3.CopyData, *pgproto3.CopyDone:
		return false, kind == 'E' || kind == 'Q'
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return kind == 'E', kind == 'E' || kind == 'Q'
	case *pgproto3.ReadyForQuery:
		known := m.TxStatus == 'I' || m.TxStatus == 'T' || m.TxStatus == 'E'
		return true, known && (kind == 'S' || kind == 'Q')
	}
	return false, false
}
