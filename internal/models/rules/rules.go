// Package rules holds the rules for the statements of one database.
package rules

import "time"

// Rules is what operators declare for the callers of one database.
type Rules struct {
	// Database is the name that callers connect to.
	Database string
	// Service is the group of instances that holds the database.
	Service string
	// Freshness is route.Session, route.Bounded or route.Primary.
	Freshness string
	// MaxAge bounds the age of the data that a read returns; 0 on route.Primary.
	MaxAge time.Duration
	// Timeout bounds one statement.
	Timeout time.Duration
	// TargetLatency is the time within which callers expect the answer to a
	// whole operation.
	TargetLatency time.Duration
	// Priority orders the databases when capacity is short; the lowest is
	// served first.
	Priority int
	// Level is the number of lower priorities in use, which are served first.
	Level int
	// Open admits callers without a key.
	Open bool
}
