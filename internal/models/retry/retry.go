// Package retry decides whether a failed batch of statements is sent again.
package retry

import (
	"time"

	"wasabislip.example/wasabislip/pkg/model/fault"
)

// Attempt describes a failed attempt to run a batch, and the decision about it.
type Attempt struct {
	// Kind is the kind of the fault.
	Kind string
	// Hint names the host that may serve the batch instead.
	Hint string
	// RetryAfter is the time after which the coordinator asked to retry; 0 if
	// it did not.
	RetryAfter time.Duration
	// Made is the number of attempts so far, Limit the highest allowed.
	Made  int
	Limit int
	// Backoff is the wait before the next attempt, unless RetryAfter is longer.
	Backoff time.Duration
	// Remaining is the time until the batch's deadline.
	Remaining time.Duration
	// Read says that the route is read-only, Idempotent that its statements may
	// run more than once.
	Read       bool
	Idempotent bool

	// Retry is the decision, Reason the reason for it, and Wait how long to wait
	// before the next attempt.
	Retry  bool
	Reason string
	Wait   time.Duration
}

// Decide returns a with Retry, Reason and Wait set.
func Decide(a Attempt) Attempt {
	a.Wait = wait(a)
	a.Retry, a.Reason = decide(a)
	return a
}

func decide(a Attempt) (bool, string) {
	switch {
	case a.Made >= a.Limit:
		return false, "attempts-used-up"
	case a.Wait >= a.Remaining:
		return false, "deadline-too-near"
	}
	switch a.Kind {
	case fault.NotCoordinator:
		return true, "not-steward"
	case fault.NotRun, fault.NoPrimary, fault.Superseded, fault.Draining:
		return true, "surely-not-run"
	case fault.OutcomeUnknown:
		return decideUnknown(a)
	}
	return false, "refusal-is-final"
}

// decideUnknown decides about a batch that may have run already.
func decideUnknown(a Attempt) (bool, string) {
	switch {
	case a.Read:
		return true, "read-without-effect"
	case a.Idempotent:
		return true, "repeatable"
	}
	return false, "may-have-run"
}

// wait returns the wait before the next attempt. If the first attempt was
// redirected to the coordinator, the second is sent at once.
func wait(a Attempt) time.Duration {
	if a.Kind == fault.NotCoordinator && a.Hint != "" && a.Made == 1 {
		return 0
	}
	return max(a.Backoff, a.RetryAfter)
}
