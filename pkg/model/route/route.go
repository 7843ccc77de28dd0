// Package route describes routes: named rules for where and how callers'
// statements run.
package route

import "time"

// Kinds of route.
const (
	Read  = "read"
	Write = "write"
)

// Freshness classes of a read route.
const (
	// Session allows a read on any instance that has applied the session's own
	// writes (read your writes).
	Session = "session"
	// Bounded allows a read on any instance whose data is at most MaxAge old
	// (bounded staleness).
	Bounded = "bounded"
	// Primary allows a read on the primary only.
	Primary = "primary"
)

// Route declares the rules for the statements that name it.
type Route struct {
	// Name is unique in a configuration file; callers select the route with the
	// parameter wasabislip.route.
	Name string `yaml:"name"`
	// Kind is Read or Write.
	Kind string `yaml:"kind"`
	// Freshness is Session, Bounded or Primary; only on read routes.
	Freshness string `yaml:"freshness,omitempty"`
	// MaxAge bounds the age of the data of a Bounded read.
	MaxAge time.Duration `yaml:"max-age,omitempty"`
	// Idempotent (repeatable in the file) allows a statement whose outcome is
	// unknown to run again.
	Idempotent bool `yaml:"repeatable,omitempty"`
	// Open admits callers without a key.
	Open bool `yaml:"open,omitempty"`
	// Databases names the databases that the route may be used for; all if left
	// out.
	Databases []string `yaml:"databases,omitempty"`
	// Timeout bounds a statement; 0 selects the default.
	Timeout time.Duration `yaml:"timeout,omitempty"`
}
