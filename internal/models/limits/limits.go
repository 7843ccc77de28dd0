// Package limits holds what a caller's session may use.
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
	// StartUp bounds the time from accept to the first ReadyForQuery.
	StartUp time.Duration
	// Idle bounds the time between two batches outside a transaction.
	Idle time.Duration
	// IdleInTransaction bounds the time between two batches inside one.
	IdleInTransaction time.Duration
	// Write bounds the time that a caller may take to read an answer part.
	Write time.Duration
	// Statement bounds a batch on a route that declares no timeout.
	Statement time.Duration
	// MessageBytes bounds the body of one message.
	MessageBytes int
	// BatchBytes bounds the bodies of the batches that wait in a session.
	BatchBytes int
	// BatchMessages bounds the messages of one batch.
	BatchMessages int
	// QueuedBatches bounds the batches that wait in a session.
	QueuedBatches int
	// Connections bounds the connections of the host.
	Connections int
	// PerWorkspace bounds the connections of one workspace on the host.
	PerWorkspace int
	// Statements bounds the prepared statements of one session.
	Statements int
}

// Filled returns l with a default in place of each zero.
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

func setDuration(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

func setNumber(n *int, fallback int) {
	if *n == 0 {
		*n = fallback
	}
}
