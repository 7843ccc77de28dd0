// Package patron is a stand-in of a caller: one session over the platform's
// lines.
package patron

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// opened numbers the sessions, so that no two statements share an id.
var sessionCount atomic.Int64

// Patron is one session. One goroutine uses it at a time.
type Patron struct {
	// Limit bounds the wait for an answer; 0 without limit.
	Limit time.Duration

	conn       net.Conn
	r          *bufio.Reader
	session    int64
	statements int
}

// answer is what a caller got.
type answer struct {
	// ID is the id that the statement was sent with.
	ID string
	// Rows are the rows.
	Rows []string
	// Code is the error's word; empty on success.
	Code string
	// Text is the error's text.
	Text string
	// Signature is the instance's proof.
	Signature string
	// State is the session's state after the answer: I, T or E.
	State string
	// Lost tells that the connection ended without an answer.
	Lost bool
}

// OK reports whether the statement succeeded.
func (a answer) OK() bool {
	return a.Code == "" && !a.Lost
}

// Row returns the only row; empty without one.
func (a answer) Row() string {
	if len(a.Rows) != 1 {
		return ""
	}
	return a.Rows[0]
}

// Open starts a session on a connection to a host.
func Open(c net.Conn, database, key string, limit time.Duration) (*Patron, answer) {
	p := &Patron{
		Limit:   limit,
		conn:    c,
		r:       bufio.NewReader(c),
		session: sessionCount.Add(1),
	}
	_, _ = fmt.Fprintf(c, "STARTUP %s %s\r\n", database, key) // a failure shows at the read
	return p, p.read("")
}

// Do sends a statement and reads its answer.
func (p *Patron) Do(text string) answer {
	p.statements++
	id := fmt.Sprintf("c%d-%d", p.session, p.statements)
	_, _ = fmt.Fprintf(p.conn, "QUERY %s %s\r\n", id, text) // a failure shows at the read
	return p.read(id)
}

// Close ends the session.
func (p *Patron) Close() {
	_ = p.conn.Close()
}

// read reads one answer. An error that answers the first message is its end.
func (p *Patron) read(id string) answer {
	a := answer{
		ID: id,
	}
	if p.Limit > 0 {
		_ = p.conn.SetReadDeadline(time.Now().Add(p.Limit)) // a failure shows at the read
	}
	for {
		line, err := p.r.ReadString('\n')
		if err != nil {
			a.Lost = true
			return a
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.Rows = append(a.Rows, rest)
		case "COMPLETE":
			a.Signature = rest
		case "ERROR":
			a.Code, a.Text, _ = strings.Cut(rest, " ")
			if id == "" {
				return a
			}
		case "READY":
			a.State, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}

// Promises reports whether the answer says that nothing of the statement is
// kept.
func (a answer) Promises() bool {
	switch a.Code {
	case "BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT":
		return true
	}
	return false
}
