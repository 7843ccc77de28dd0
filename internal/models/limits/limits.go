// Package limits holds the limits of callers' sessions.
package limits

import "time"

// Defaults of Limits.
const (
	DefaultStartUpTimeout           = 10 * time.Second
	DefaultIdleTimeout              = 30 * time.Minute
	DefaultIdleInTransactionTimeout = 30 * time.Second
	DefaultWriteTimeout             = 30 * time.Second
	DefaultStatementTimeout         = 30 * time.Second
	DefaultMessageBytes             = 4 << 20
	DefaultBatchBytes               = 8 << 20
	DefaultBatchMessages            = 10_000
	DefaultQueuedBatches            = 64
	DefaultConnections              = 10_000
	DefaultWorkspaceConnections     = 2_000
	DefaultPreparedStatements       = 1_000
)

// Limits bounds the sessions of one host.
type Limits struct {
	// StartUpTimeout bounds the time from the accept to the first
	// ReadyForQuery.
	StartUpTimeout time.Duration
	// IdleTimeout bounds the time between two batches outside of a
	// transaction.
	IdleTimeout time.Duration
	// IdleInTransactionTimeout bounds the time between two batches of a
	// transaction.
	IdleInTransactionTimeout time.Duration
	// WriteTimeout bounds the time that a caller may take to read one part of
	// an answer.
	WriteTimeout time.Duration
	// StatementTimeout bounds a batch on a route that declares no timeout.
	StatementTimeout time.Duration
	// MessageBytes bounds the body of one message.
	MessageBytes int
	// BatchBytes bounds the total size of the batches queued in a session.
	BatchBytes int
	// BatchMessages bounds the number of messages of one batch.
	BatchMessages int
	// QueuedBatches bounds the number of batches queued in a session.
	QueuedBatches int
	// Connections bounds the callers' connections to the host.
	Connections int
	// WorkspaceConnections bounds those of one workspace.
	WorkspaceConnections int
	// PreparedStatements bounds the prepared statements of one session.
	PreparedStatements int
}

// WithDefaults returns l with each zero replaced by the default.
func (l Limits) WithDefaults() Limits {
	setDuration(&l.StartUpTimeout, DefaultStartUpTimeout)
	setDuration(&l.IdleTimeout, DefaultIdleTimeout)
	setDuration(&l.IdleInTransactionTimeout, DefaultIdleInTransactionTimeout)
	setDuration(&l.WriteTimeout, DefaultWriteTimeout)
	setDuration(&l.StatementTimeout, DefaultStatementTimeout)
	setNumber(&l.MessageBytes, DefaultMessageBytes)
	setNumber(&l.BatchBytes, DefaultBatchBytes)
	setNumber(&l.BatchMessages, DefaultBatchMessages)
	setNumber(&l.QueuedBatches, DefaultQueuedBatches)
	setNumber(&l.Connections, DefaultConnections)
	setNumber(&l.WorkspaceConnections, DefaultWorkspaceConnections)
	setNumber(&l.PreparedStatements, DefaultPreparedStatements)
	return l
}

// setDuration replaces a zero duration by the fallback.
func setDuration(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// setNumber replaces a zero number by the fallback.
func setNumber(n *int, fallback int) {
	if *n == 0 {
		*n = fallback
	}
}
