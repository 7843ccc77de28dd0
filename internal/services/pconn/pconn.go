// Package pconn tracks the state of a pooled connection to an instance: session
// settings, prepared statements and answers still to come.
package pconn

import (
	"strconv"
	"time"

	"wasabislip.example/wasabislip/internal/models/pairs"
	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/link"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	// ownID is the request id of statements that the proxy sends on its own.
	ownID = "-"
	// maxPrepared bounds the prepared statements of one connection; a connection
	// with more of them is reset before its next use.
	maxPrepared = 200
	// confirmation is prepared after the start of a transaction, and never executed.
	confirmation = "READ transaction-open"
)

// observer is told of answers that an instance repeats.
type observer interface {
	// RecordMismatch records an answer that does not belong to the statement that
	// waited for one, and why.
	RecordMismatch(instance, request, reason string, r *reply.Reply)
	// RepeatsAnswers reports whether the instance was seen to repeat an answer of late.
	RepeatsAnswers() bool
}

// Conn is a pooled connection to an instance for one workspace.
type Conn struct {
	// Workspace is the workspace that the instance was told.
	Workspace string
	// Instance is the id of the instance.
	Instance string
	// Link carries the statements.
	Link link.Link
	// IdleInTransaction is set while a transaction keeps the connection and
	// runs no statement on it.
	IdleInTransaction bool
	// IdleSince is when the connection was last put back into the pool.
	IdleSince time.Time
	// Observer is told of answers that the instance repeats; it may be nil.
	Observer observer

	settings map[string]string
	prepared map[string]string
	// names is how many names of prepared statements are in use.
	names      int
	ownPending int
	// changedInTransaction is set if settings were set or statements prepared
	// since the transaction began. settingsUnknown is set once a rollback may
	// have undone them.
	changedInTransaction bool
	settingsUnknown      bool
	// history holds the answers so far, awaited the statement that the caller waits for.
	history pairs.History
	awaited awaited
	// inTransaction is set between the answers to the start and to the end of a
	// transaction.
	inTransaction bool
	// unsignedAt are the times, by package uptime, of the last unsigned answers.
	unsignedAt []time.Duration
	// unsignedUntil is until when an answer without a signature may come again, and
	// startedUntil until when one that a transaction is open.
	unsignedUntil time.Duration
	startedUntil  time.Duration
	// unusable is set once answers may be missing or may come that belong to no statement.
	unusable bool
	// checkedAt is the last moment, by package uptime, at which nothing lay unread. What is
	// read next may have arrived at any time since.
	checkedAt time.Duration
}

// HasSettings reports whether the connection has exactly these session settings.
func (c *Conn) HasSettings(settings map[string]string) bool {
	if c.settingsUnknown || len(c.settings) != len(settings) {
		return false
	}
	return c.matches(settings)
}

// IsOpen reports whether the instance has left the connection open while it was
// idle. A connection with answers still to come is not checked and counts as
// open.
func (c *Conn) IsOpen() bool {
	if c.ownPending > 0 {
		return true
	}
	if !c.Link.IsOpen() {
		return false
	}
	c.checkedAt = uptime.Now()
	return true
}

// HasNoSettings reports whether no session settings are set on the connection.
func (c *Conn) HasNoSettings() bool {
	return !c.settingsUnknown && len(c.settings) == 0
}

// matches reports whether all settings of the connection are among these.
func (c *Conn) matches(settings map[string]string) bool {
	for name, v := range c.settings {
		if w, ok := settings[name]; !ok || w != v {
			return false
		}
	}
	return true
}

// ApplySettings queues the statements that give the connection exactly these
// session settings. It resets the connection first where that is needed, but
// never inside a transaction: there a session's settings only grow or change.
func (c *Conn) ApplySettings(settings map[string]string) {
	if c.settingsUnknown || c.hasOtherSettings(settings) || c.names > maxPrepared && !c.inTransaction {
		c.reset()
	}
	for name, v := range settings {
		if w, ok := c.settings[name]; ok && w == v {
			continue
		}
		c.sendOwn(query.Query{
			Kind:  query.Set,
			Name:  name,
			Value: v,
		})
		if c.settings == nil {
			c.settings = map[string]string{}
		}
		c.settings[name] = v
	}
}

// reset queues the statement that drops session settings and prepared statements.
func (c *Conn) reset() {
	c.sendOwn(query.Query{
		Kind: query.Reset,
	})
	clear(c.settings)
	clear(c.prepared)
	c.names = 0
	c.settingsUnknown = false
}

// hasOtherSettings reports whether the connection has a setting that is not among
// these.
func (c *Conn) hasOtherSettings(settings map[string]string) bool {
	for name := range c.settings {
		if _, ok := settings[name]; !ok {
			return true
		}
	}
	return false
}

// Prepare returns the name of a prepared statement on this connection. It queues
// the preparation if the connection has not prepared the statement yet.
func (c *Conn) Prepare(text string) string {
	if name, ok := c.prepared[text]; ok {
		return name
	}
	if c.prepared == nil {
		c.prepared = map[string]string{}
	}
	name := c.newName()
	c.sendOwn(query.Query{
		Kind:  query.Prepare,
		Name:  name,
		Value: text,
	})
	c.prepared[text] = name
	return name
}

// newName returns a name of a prepared statement that is not in use.
func (c *Conn) newName() string {
	c.names++
	return "w" + strconv.Itoa(c.names)
}

// MarkRolledBack records that a transaction was rolled back. The instance may
// have undone the settings made in it, so that the connection is reset before
// its next use.
func (c *Conn) MarkRolledBack() {
	c.settingsUnknown = c.settingsUnknown || c.changedInTransaction
}

// Send queues a caller's statement. The instance runs it once its log has reached
// minPosition.
func (c *Conn) Send(q *query.Query, minPosition logpos.Position) {
	c.awaited = awaited{
		kind:   pairs.Signed,
		id:     q.ID,
		commit: q.Kind == query.Commit,
		read:   q.Kind == query.Read,
	}
	c.Link.Send(q, minPosition)
}

// Begin queues the start of a transaction. The instance waits until its log has
// reached minPosition. If the answer to an earlier start may come again, a statement follows
// whose answer tells whether the transaction is open.
func (c *Conn) Begin(readOnly bool, minPosition logpos.Position) {
	c.changedInTransaction = false
	c.awaited = awaited{
		kind:      pairs.Begin,
		id:        ownID,
		confirmed: c.checkedAt < c.startedUntil,
	}
	c.Link.Send(&query.Query{
		ID:       ownID,
		Kind:     query.Begin,
		ReadOnly: readOnly,
	}, minPosition)
	if c.awaited.confirmed {
		c.Link.Send(&query.Query{
			ID:    ownID,
			Kind:  query.Prepare,
			Name:  c.newName(),
			Value: confirmation,
		}, logpos.Position{})
	}
}

// Rollback queues the rollback of a transaction without waiting for its answer.
func (c *Conn) Rollback() {
	c.inTransaction = false
	c.sendOwn(query.Query{
		Kind: query.Rollback,
	})
}

// sendOwn queues a statement of the proxy itself. Its answer is read later and
// matters only if it is a failure.
func (c *Conn) sendOwn(q query.Query) {
	q.ID = ownID
	c.Link.Send(&q, logpos.Position{})
	c.changedInTransaction = true
	c.ownPending++
}

// Flush sends the queued statements, by the deadline.
func (c *Conn) Flush(deadline time.Time) error {
	if err := c.Link.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return c.Link.Flush()
}

// IsUsable reports whether the connection may be used again: all answers to its
// statements are known to belong to them.
func (c *Conn) IsUsable() bool {
	return !c.unusable
}

// InTransaction reports whether a transaction is open on the connection.
func (c *Conn) InTransaction() bool {
	return c.inTransaction
}
