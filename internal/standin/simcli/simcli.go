// Package simcli is a stand-in for a caller: a client that speaks the platform's
// line protocol with a host.
package simcli

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"wasabislip.example/wasabislip/internal/standin/crlf"
)

// sessionCount numbers the sessions, so that no two statements share an id.
var sessionCount atomic.Int64

// Client is one session. One goroutine uses it at a time.
type Client struct {
	// AnswerTimeout bounds the wait for an answer; 0 is no bound.
	AnswerTimeout time.Duration
	// Acknowledged is called with the id of each statement that succeeded; wrote
	// tells that it was a write outside of a transaction. It may be nil.
	Acknowledged func(id string, wrote bool)

	conn       net.Conn
	r          *bufio.Reader
	session    int64
	statements int
}

// Answer is the answer to one statement.
type Answer struct {
	// ID is the id that the statement was sent with.
	ID string
	// Rows are the rows of the result.
	Rows []string
	// Code is the code of the error; empty on success.
	Code string
	// Text is the error's text.
	Text string
	// Signature is what the instance returned as proof that it completed the
	// statement.
	Signature string
	// State is the session's state after the answer: I (idle), T (in a
	// transaction) or E (in a failed transaction).
	State string
	// Lost tells that the connection ended without an answer.
	Lost bool
}

// OK reports whether the statement succeeded.
func (a Answer) OK() bool {
	return a.Code == "" && !a.Lost
}

// Row returns the result's row, or an empty text unless there is exactly one.
func (a Answer) Row() string {
	if len(a.Rows) != 1 {
		return ""
	}
	return a.Rows[0]
}

// Open starts a session on a connection to a host and returns the host's answer.
func Open(conn net.Conn, database, key string, timeout time.Duration) (*Client, Answer) {
	c := &Client{
		AnswerTimeout: timeout,
		conn:          conn,
		r:             bufio.NewReader(conn),
		session:       sessionCount.Add(1),
	}
	_, _ = fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key) // an error shows in the read
	return c, c.read("")
}

// Do sends a statement and reads its answer.
func (c *Client) Do(text string) Answer {
	id := c.Send(text)
	a := c.read(id)
	if a.OK() && c.Acknowledged != nil {
		c.Acknowledged(id, a.State == "I" && strings.HasPrefix(text, "WRITE "))
	}
	return a
}

// Send sends a statement without waiting for its answer, as a caller that leaves does,
// and returns its id.
func (c *Client) Send(text string) string {
	c.statements++
	id := fmt.Sprintf("c%d-%d", c.session, c.statements)
	_, _ = fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text) // an error shows in the read
	return id
}

// Close ends the session.
func (c *Client) Close() {
	_ = c.conn.Close()
}

// read reads one answer. An error in answer to the first message, which has no id,
// ends the answer; in answer to a statement, READY follows.
func (c *Client) read(id string) Answer {
	a := Answer{
		ID: id,
	}
	if c.AnswerTimeout > 0 {
		_ = c.conn.SetReadDeadline(time.Now().Add(c.AnswerTimeout)) // an error shows in the read
	}
	for {
		line, err := crlf.Read(c.r)
		if err != nil {
			a.Lost = true
			return a
		}
		kind, rest, _ := strings.Cut(line, " ")
		switch kind {
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

// GuaranteesNoEffect reports whether the error code guarantees that the statement
// has no effect: it did not run, or it was rolled back.
func (a Answer) GuaranteesNoEffect() bool {
	switch a.Code {
	case "BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT":
		return true
	}
	return false
}
