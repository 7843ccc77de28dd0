package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// answerTimeout is how long a client waits for an answer.
const answerTimeout = 3 * time.Second

// client is one session with a host.
type client struct {
	name   string
	record *record
	conn   net.Conn
	r      *bufio.Reader
	count  int
}

// answer is the answer to one statement. An answer without a code that was not lost is a
// success.
type answer struct {
	rows      []string
	code      string
	signature string
	state     string
	lost      bool
}

func (a answer) isSuccess() bool {
	return a.code == "" && !a.lost
}

// String describes the answer.
func (a answer) String() string {
	switch {
	case a.lost:
		return "no answer: the connection ended"
	case a.code != "":
		return "ERROR " + a.code + ", state " + a.state
	}
	return fmt.Sprintf("success, rows %q, signature %s, state %s", a.rows, a.signature, a.state)
}

// openSession opens a session with a host for the database whose reads run at the primary.
func openSession(rec *record, name, address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		return nil, err
	}
	c := &client{
		name:   name,
		record: rec,
		conn:   conn,
		r:      bufio.NewReader(conn),
	}
	_, _ = fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, accessKey) // an error shows in the read
	if a := c.receive(true); !a.isSuccess() {
		_ = conn.Close()
		return nil, fmt.Errorf("session of %s at %s: %s", name, address, a)
	}
	return c, nil
}

// nextID returns an id that no other statement has.
func (c *client) nextID() string {
	c.count++
	return fmt.Sprintf("%s.%d", c.name, c.count)
}

// do sends a statement and returns its id and its answer.
func (c *client) do(text string) (string, answer) {
	id := c.nextID()
	return id, c.doAs(id, text)
}

// doAs sends a statement with an id.
func (c *client) doAs(id, text string) answer {
	c.record.log("sent by %s: one message, id %s, text %.300s", c.name, id, strconv.Quote(text))
	_, _ = fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text) // an error shows in the read
	a := c.receive(false)
	c.record.log("answered to %s: id %s, %s", c.name, id, a)
	return a
}

func (c *client) receive(startup bool) answer {
	var a answer
	_ = c.conn.SetReadDeadline(time.Now().Add(answerTimeout)) // an error shows in the read
	for {
		message, err := readMessage(c.r)
		if err != nil {
			a.lost = true
			return a
		}
		kind, rest, _ := strings.Cut(message, " ")
		switch kind {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
			if startup {
				return a
			}
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}

func (c *client) close() {
	_ = c.conn.Close()
}
