// Package fault holds the error type that is returned to callers, other hosts
// and operators.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Kinds of fault. Each maps to one SQLSTATE; see Code. NotCoordinator means that
// this host does not lead the database: another host is its coordinator
// (steward on the wire).
const (
	NotRun         = "not-run"
	OutcomeUnknown = "outcome-unknown"
	OverRate       = "over-rate"
	KeyRefused     = "key-refused"
	KeyWithdrawn   = "key-withdrawn"
	Draining       = "draining"
	NoPrimary      = "no-primary"
	TooStale       = "replica-too-stale"
	NotCoordinator = "not-steward"
	Overloaded     = "overloaded"
	Superseded     = "term-superseded"
	BadRequest     = "bad-request"
	TooLarge       = "too-large"
	Unsupported    = "not-supported"
	Unconfirmed    = "configuration-unconfirmed"
	Conflict       = "conflict"
	Platform       = "platform-unavailable"
)

// sqlStates holds the SQLSTATE of each kind. Class 57 means that the server
// could not serve the request, 53 that a resource is exhausted, and 28 that the
// caller was not authorized.
var sqlStates = map[string]string{
	NotRun:         "57P03",
	OutcomeUnknown: "08007",
	OverRate:       "53400",
	KeyRefused:     "28P01",
	KeyWithdrawn:   "28000",
	Draining:       "57P01",
	NoPrimary:      "57P03",
	TooStale:       "57P03",
	NotCoordinator: "57P03",
	Overloaded:     "53000",
	Superseded:     "57P03",
	BadRequest:     "08P01",
	TooLarge:       "54000",
	Unsupported:    "0A000",
	Unconfirmed:    "57P03",
	Conflict:       "40001",
	Platform:       "58000",
}

// Fault is an error with a kind, a reason and a remedy. Every kind except
// OutcomeUnknown guarantees that the request did not run.
type Fault struct {
	// Kind is one of the constants of this package.
	Kind string
	// Reason says what happened.
	Reason string
	// Remedy says what the caller can do.
	Remedy string
	// RetryAfter is how long to wait before a retry; 0 if no time is known.
	RetryAfter time.Duration
	// Coordinator is the host that is expected to lead the database; set on
	// NotCoordinator.
	Coordinator string
	// Err is the cause, not shown to callers.
	Err error
}

// New returns a fault of this kind with its reason and remedy.
func New(kind, reason, remedy string) *Fault {
	return &Fault{
		Kind:   kind,
		Reason: reason,
		Remedy: remedy,
	}
}

// WithRetryAfter returns a copy of f that tells the caller to retry after d.
func (f *Fault) WithRetryAfter(d time.Duration) *Fault {
	g := *f
	g.RetryAfter = d
	return &g
}

// Wrap returns a copy of f with err as its cause.
func (f *Fault) Wrap(err error) *Fault {
	g := *f
	g.Err = err
	return &g
}

// Error returns the kind, the reason, the remedy and the time to retry after.
func (f *Fault) Error() string {
	s := f.Kind + ": " + f.Reason
	if f.Remedy != "" {
		s += "; " + f.Remedy
	}
	if f.RetryAfter > 0 {
		s += fmt.Sprintf("; retry after %s", f.RetryAfter.Round(time.Millisecond))
	}
	return s
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error {
	return f.Err
}

// Code returns the SQLSTATE of the fault's kind.
func (f *Fault) Code() string {
	if c, ok := sqlStates[f.Kind]; ok {
		return c
	}
	return "XX000"
}

// MayHaveRun reports whether the request may have run.
func (f *Fault) MayHaveRun() bool {
	return f.Kind == OutcomeUnknown
}

// As returns the first fault in err's chain, or nil.
func As(err error) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return nil
}

// IsRefusal reports whether err says that the request itself can't be served, wherever it is
// sent: it says nothing of an instance or of another host.
func IsRefusal(err error) bool {
	return IsKind(err, BadRequest) || IsKind(err, TooLarge)
}

// IsKind reports whether the first fault in err's chain is of this kind.
func IsKind(err error, kind string) bool {
	f := As(err)
	return f != nil && f.Kind == kind
}
