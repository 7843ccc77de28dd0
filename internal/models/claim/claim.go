// Package claim holds what an operation asks of its workspace's rate.
package claim

import "time"

// Claim is one operation that wants to run.
type Claim struct {
	// Wait is how long it can wait for its turn.
	Wait time.Duration
	// Level is how many priorities go before its own when the workspace asks
	// for more than its rate; 0 goes first.
	Level int
}
