// Package limits holds the limits of callers' sessions.
package limits

import "time"

// Defaults of Limits.
const (
	DefaultStartUp           = 10 * time.Second
	DefaultIdle              = 30 * time.Minute
	DefaultIdleInTransaction = 30 * time.Second
	DefaultWrite             = 30 * time.Second
	DefaultStatement         = 30 * time.Second
	DefaultMessageBytes      = 4 << 20
	DefaultBatchBytes        = 8 << 20
	DefaultBatchMessages     = 10_000
	DefaultQueuedBatches     = 64
	DefaultConnections       = 10_000
	DefaultPerWorkspace      = 2_000
	DefaultStatements        = 1_000
)

// Limits bounds the sessions of one host.
type Limits struct {
	// StartUpTimeout bounds the time from the accept to the first
	// ReadyForQuery.
	StartUp time.Duration
	// IdleTimeout bounds the time between two batches outside of a
	// transaction.
	Idle time.Duration
	// IdleInTransactionTimeout bounds the time between two batches of a
	// transaction.
	IdleInTransaction time.Duration
	// WriteTimeout bounds the time that a caller may take to read one part of
	// an answer.
	Write time.Duration
	// StatementTimeout bounds a batch on a route that declares no timeout.
	Statement time.Duration
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
	PerWorkspace int
	// PreparedStatements bounds the prepared statements of one session.
	Statements int
}

// WithDefaults returns l with each zero replaced by the default.
func (l Limits) Filled() Limits {
	setDuration(&l.StartUp, DefaultStartUp)
	setDuration(&l.Idle, DefaultIdle)
	setDuration(&l.IdleInTransaction, DefaultIdleInTransaction)
	setDuration(&l.Write, DefaultWrite)
	setDuration(&l.Statement, DefaultStatement)
	setNumber(&l.MessageBytes, DefaultMessageBytes)
	setNumber(&l.BatchBytes, DefaultBatchBytes)
	setNumber(&l.BatchMessages, DefaultBatchMessages)
	setNumber(&l.QueuedBatches, DefaultQueuedBatches)
	setNumber(&l.Connections, DefaultConnections)
	setNumber(&l.PerWorkspace, DefaultPerWorkspace)
	setNumber(&l.Statements, DefaultStatements)
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
