// Package dbconn holds a connection for statements to a database instance, and
// keeps track of the statements that are prepared on it.
package dbconn

import (
	"container/list"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"

	"wasabislip.example/wasabislip/internal/modules/alive"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// StatementLimit is how many prepared statements a connection keeps.
const StatementLimit = 128

// Conn is a connection for statements in one term. It is used by one goroutine at a
// time.
type Conn struct {
	// Net is the network connection.
	Net net.Conn
	// Frontend reads and writes protocol messages on Net.
	Frontend *pgproto3.Frontend
	// Term is the term in which the instance runs the connection's statements.
	Term uint64
	// ReadOnly means that the instance refuses writes on this connection.
	ReadOnly bool
	// ProcessID is the first half of the key that cancel requests send.
	ProcessID uint32
	// SecretKey is the second half of that key.
	SecretKey []byte
	// Tainted means that a statement changed the state of the instance's session,
	// so that the connection is closed after use.
	Tainted bool
	// Committed is the log position of the connection's last commit; zero without
	// one.
	Committed logpos.Position

	// lru holds the names of the prepared statements, most recently used first.
	lru        list.List
	statements map[string]*list.Element
}

// IsIdle reports whether the connection is open and all input was read. Input that
// came after the last ReadyForQuery would be taken for the answer to the next batch.
func (c *Conn) IsIdle() bool {
	return c.Frontend.ReadBufferLen() == 0 && alive.IsOpen(c.Net)
}

// HasStatement reports whether the statement is prepared, and marks it as used.
func (c *Conn) HasStatement(name string) bool {
	e, ok := c.statements[name]
	if ok {
		c.lru.MoveToFront(e)
	}
	return ok
}

// AddStatement records that the statement is prepared.
func (c *Conn) AddStatement(name string) {
	if name == "" || c.HasStatement(name) {
		return
	}
	if c.statements == nil {
		c.statements = make(map[string]*list.Element)
	}
	c.statements[name] = c.lru.PushFront(name)
}

// RemoveStatement records that the statement is no longer prepared.
func (c *Conn) RemoveStatement(name string) {
	if e, ok := c.statements[name]; ok {
		c.lru.Remove(e)
		delete(c.statements, name)
	}
}

// StatementToEvict returns the least recently used statement when more than
// StatementLimit are prepared, and "" otherwise.
func (c *Conn) StatementToEvict() string {
	if c.lru.Len() <= StatementLimit {
		return ""
	}
	name, ok := c.lru.Back().Value.(string)
	if !ok {
		return ""
	}
	return name
}
