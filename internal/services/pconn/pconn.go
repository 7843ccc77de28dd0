// Package pconn keeps track of what a pooled connection to an instance holds:
// session values, prepared statements and answers still to come.
package pconn

import (
	"fmt"
	"strconv"
	"time"

	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/services/link"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	// ownID is the id of statements that the proxy issues itself.
	ownID = "-"
	// maxPrepared bounds the prepared statements of one connection; past it
	// the connection is reset.
	maxPrepared = 200
)

// Conn is a connection to an instance on behalf of one workspace.
type Conn struct {
	// Workspace is who the instance was told that the connection is for.
	Workspace string
	// Instance is the id of the instance.
	Instance string
	// Link carries the statements.
	Link link.Link
	// Resting tells that a transaction keeps the connection and runs nothing
	// on it now.
	Resting bool
	// IdleSince is when the connection was last put back.
	IdleSince time.Time

	values   map[string]string
	prepared map[string]string
	pending  int
	// touched tells that values or names were given since the transaction
	// began; spoiled, that they may be gone with its rollback.
	touched bool
	spoiled bool
}

// Stamp reports whether the connection holds exactly these session values.
func (c *Conn) Stamp(values map[string]string) bool {
	if c.spoiled || len(c.values) != len(values) {
		return false
	}
	return c.within(values)
}

// Standing reports whether the connection was not closed by the instance while
// it was idle.
func (c *Conn) Standing() bool {
	return c.pending > 0 || c.Link.Standing()
}

// Blank reports whether the connection holds no session values.
func (c *Conn) Blank() bool {
	return !c.spoiled && len(c.values) == 0
}

func (c *Conn) within(values map[string]string) bool {
	for name, v := range c.values {
		if w, ok := values[name]; !ok || w != v {
			return false
		}
	}
	return true
}

// Adopt queues what gives the connection exactly these session values. Inside
// a transaction a session's values only grow or change, so that no reset is
// ever queued there.
func (c *Conn) Adopt(values map[string]string) {
	if c.spoiled || c.exceeds(values) || len(c.prepared) > maxPrepared {
		c.own(query.Query{
			Kind: query.Reset,
		})
		clear(c.values)
		clear(c.prepared)
		c.spoiled = false
	}
	for name, v := range values {
		if w, ok := c.values[name]; ok && w == v {
			continue
		}
		c.own(query.Query{
			Kind:  query.Set,
			Name:  name,
			Value: v,
		})
		if c.values == nil {
			c.values = map[string]string{}
		}
		c.values[name] = v
	}
}

// exceeds reports whether the connection holds a value that is not among these.
func (c *Conn) exceeds(values map[string]string) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return false
}

// Prepared returns the connection's own name of a declared statement, and
// queues its preparation when it is new there.
func (c *Conn) Prepared(declared string) string {
	if name, ok := c.prepared[declared]; ok {
		return name
	}
	if c.prepared == nil {
		c.prepared = map[string]string{}
	}
	name := "w" + strconv.Itoa(len(c.prepared)+1)
	c.own(query.Query{
		Kind:  query.Prepare,
		Name:  name,
		Value: declared,
	})
	c.prepared[declared] = name
	return name
}

// Spoil notes that a transaction was rolled back: the instance may have undone
// what was set in it, so that all is set anew before the next use.
func (c *Conn) Spoil() {
	c.spoiled = c.spoiled || c.touched
}

// Begin queues the start of a transaction.
func (c *Conn) Begin(readOnly bool, floor logpos.Position) {
	c.touched = false
	c.Link.Send(&query.Query{
		ID:       ownID,
		Kind:     query.Begin,
		ReadOnly: readOnly,
	}, floor)
}

// Rollback queues the end of a transaction without waiting for its answer.
func (c *Conn) Rollback() {
	c.own(query.Query{
		Kind: query.Rollback,
	})
}

// own queues a statement of the proxy's own whose answer needs no attention
// unless it fails.
func (c *Conn) own(q query.Query) {
	q.ID = ownID
	c.Link.Send(&q, logpos.Position{})
	c.touched = true
	c.pending++
}

// Flush sends what is queued, by the deadline.
func (c *Conn) Flush(deadline time.Time) error {
	if err := c.Link.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return c.Link.Flush()
}

// Receive reads the answer to the oldest statement that the caller waits for,
// past the answers to the proxy's own statements before it.
func (c *Conn) Receive(deadline time.Time) (reply.Reply, error) {
	if err := c.Link.SetReadDeadline(deadline); err != nil {
		return reply.Reply{}, err
	}
	if err := c.settle(); err != nil {
		return reply.Reply{}, err
	}
	return c.Link.Receive()
}

// settle reads the answers to the proxy's own statements.
func (c *Conn) settle() error {
	for c.pending > 0 {
		r, err := c.Link.Receive()
		if err != nil {
			return err
		}
		c.pending--
		if r.Outcome != reply.Done {
			return fault.New(
				fault.Overloaded,
				fmt.Sprintf("the instance refused a session statement: %s", r.Message),
				"use another connection",
			)
		}
	}
	return nil
}
