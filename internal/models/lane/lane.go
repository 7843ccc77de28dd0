// Package lane holds the rules of one database's statements.
package lane

import "time"

// Lane is what operators declare for the callers of one database.
type Lane struct {
	// Database is the name that callers connect to.
	Database string
	// Service is the group of instances that holds the data.
	Service string
	// Freshness is route.Session, route.Bounded or route.Primary.
	Freshness string
	// MaxAge bounds the age of a read's data; 0 on route.Primary.
	MaxAge time.Duration
	// Timeout bounds one statement.
	Timeout time.Duration
	// Target is how soon callers expect a whole operation to be answered.
	Target time.Duration
	// Priority orders lanes when capacity is short; 0 goes first.
	Priority int
	// Level is how many priorities of other lanes go first.
	Level int
	// Open admits callers without a key.
	Open bool
}
