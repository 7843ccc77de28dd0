// Package tuning holds the parameters that decide how long statements wait before
// they are refused or sent to another instance. Hosts use Default; experiments
// use other values.
package tuning

import "time"

// Tuning is one set of parameters.
type Tuning struct {
	// QueueFraction is the fraction of a database's target latency for which a
	// statement may wait for a connection.
	QueueFraction float64 `yaml:"queue"`
	// RateFraction is the fraction of a database's target latency for which an
	// operation may wait for a token of its workspace's rate.
	RateFraction float64 `yaml:"rate"`
	// ChangeFraction is the fraction of a database's timeout for which a
	// statement waits for a new primary during a failover.
	ChangeFraction float64 `yaml:"change"`
	// HedgeDelay is the least time for which a read is unanswered before it is
	// hedged: sent to a second instance as well.
	HedgeDelay time.Duration `yaml:"hedge"`
}

const (
	// defaultQueueFraction is a quarter of the time in which a caller expects the
	// whole operation. A statement that waits longer is late anyway, and it
	// delays others that could be in time.
	defaultQueueFraction = 0.25
	// defaultRateFraction leaves half of that time for the operation itself. It
	// is known at once whether and when there will be a token, and a caller that
	// is refused comes back at a worse time.
	defaultRateFraction = 0.5
	// defaultChangeFraction is less than half of a statement's timeout, so that a
	// caller that is refused can still be served elsewhere. A failover takes
	// about a second: a caller that is refused at once comes back too soon.
	defaultChangeFraction = 0.4
	// defaultHedgeDelay is a few times the usual duration of a read.
	defaultHedgeDelay = 150 * time.Millisecond
)

// Default returns the parameters that hosts use.
func Default() Tuning {
	return Tuning{
		QueueFraction:  defaultQueueFraction,
		RateFraction:   defaultRateFraction,
		ChangeFraction: defaultChangeFraction,
		HedgeDelay:     defaultHedgeDelay,
	}
}
