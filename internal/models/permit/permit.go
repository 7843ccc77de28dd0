// Package permit describes a request for the permission to run one operation
// under its workspace's rate.
package permit

import "time"

// Request asks the rate limiter to admit one operation.
type Request struct {
	// Wait is how long the operation can wait for its admission.
	Wait time.Duration
	// Level is the number of priorities that are served before the operation's
	// own when the workspace asks for more than its rate; 0 is served first.
	Level int
}
