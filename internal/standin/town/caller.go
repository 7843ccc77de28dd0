package town

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"time"
)

// callerIP is where callers come from.
const callerIP = "10.9.0.1"

// caller is one session with a host.
type caller struct {
	net net.Conn
	r   *bufio.Reader
	id  int
	n   int
}

// answer is what a caller got: rows, "ok" or the error's word, and the state.
type answer struct {
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
	// ID is the id that the statement was sent with.
	ID string
	// Lost tells that the connection ended without an answer.
	Lost bool
}

// OK reports whether the statement succeeded.
func (a answer) OK() bool {
	return a.Code == "" && !a.Lost
}

// Call opens a session with a host.
func (t *Town) Call(host int, database, key string) (*caller, answer) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c, err := t.Net.Dialer(callerIP)(ctx, "tcp", IP(host)+callerPort)
	if err != nil {
		return nil, answer{
			Lost: true,
		}
	}
	t.calls++
	x := &caller{
		id:  t.calls,
		net: c,
		r:   bufio.NewReader(c),
	}
	_, _ = fmt.Fprintf(c, "STARTUP %s %s\r\n", database, key) // a failure shows at the read
	return x, x.read("")
}

// Do sends a statement and reads its answer.
func (c *caller) Do(text string) answer {
	id := c.Send(text)
	return c.read(id)
}

// Send sends a statement without reading its answer, and returns its id.
func (c *caller) Send(text string) string {
	c.n++
	id := fmt.Sprintf("c%d-%d", c.id, c.n)
	_, _ = fmt.Fprintf(c.net, "QUERY %s %s\r\n", id, text) // a failure shows at the read
	return id
}

// Read reads the answer to the statement sent last.
func (c *caller) Read() answer {
	return c.read("")
}

func (c *caller) read(id string) answer {
	a := answer{
		ID: id,
	}
	for {
		line, err := c.r.ReadString('\n')
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

// Close ends the session.
func (c *caller) Close() {
	_ = c.net.Close()
}
