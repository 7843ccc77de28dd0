// Package leave decides whether an instance may still get work that has announced that it
// leaves, or whose data centre was taken out of service.
package leave

import "time"

const (
	// queueMargin is the usual time from the choice of an instance to the last check
	// before a statement is sent to it: a wait for a connection. What waits for longer is
	// refused by that check.
	queueMargin = 250 * time.Millisecond
	// wayMargin is the longest time from that check to the statement's arrival.
	wayMargin = 200 * time.Millisecond
	// maxMarginFraction bounds the margins, as fractions of a short timeout.
	maxMarginFraction = 0.25
)

// Bound says for how long after its announcement an instance may get work.
type Bound struct {
	// Timeout is the time from the store's acknowledgement of the announcement to the
	// last arrival of work; 0 for no bound.
	Timeout time.Duration
}

// AcceptsWork reports whether new work may be assigned to an instance that announced at
// most leavingFor ago that it leaves.
func (b Bound) AcceptsWork(leavingFor time.Duration) bool {
	return b.allows(leavingFor, queueMargin+wayMargin)
}

// MaySend reports whether work that was assigned before may be sent now.
func (b Bound) MaySend(leavingFor time.Duration) bool {
	return b.allows(leavingFor, wayMargin)
}

func (b Bound) allows(leavingFor, margin time.Duration) bool {
	if b.Timeout == 0 {
		return true
	}
	margin = min(margin, time.Duration(maxMarginFraction*float64(b.Timeout)))
	return leavingFor < b.Timeout-margin
}
