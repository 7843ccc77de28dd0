// Package window limits how many statements one host has in flight at an
// instance. Many hosts share an instance and none knows what the others send, so
// the limit adapts to the instance's refusals by additive increase and
// multiplicative decrease (AIMD), as a TCP congestion window does.
package window

import "time"

const (
	// decreaseFactor multiplies the window at a refusal.
	decreaseFactor = 0.6
	// increase is added to the window after as many successes as its size.
	increase = 1.0
	// minDecreaseInterval is the least time between two decreases, so that the
	// refusals of one burst count once. It is about the time that a statement
	// takes.
	minDecreaseInterval = 30 * time.Millisecond
)

// Window is the limit of one host at one instance. It is not safe for concurrent
// use.
type Window struct {
	// size is the current limit; 0 while only the configured maximum applies.
	size float64
	// decreased is when the window was last decreased.
	decreased time.Time
}

// Limit returns how many statements may be in flight: at least one and at most
// maxInFlight.
func (w *Window) Limit(maxInFlight int) int {
	if w.size == 0 {
		return maxInFlight
	}
	return max(1, min(maxInFlight, int(w.size)))
}

// RecordSuccess records that the instance ran a statement.
func (w *Window) RecordSuccess(maxInFlight int) {
	if w.size == 0 {
		return
	}
	w.size += increase / w.size
	if w.size > float64(maxInFlight) {
		w.size = 0 // only the configured maximum applies again
	}
}

// RecordRefusal records that the instance refused a statement for lack of
// capacity.
func (w *Window) RecordRefusal(now time.Time, maxInFlight int) {
	if now.Sub(w.decreased) < minDecreaseInterval {
		return
	}
	w.decreased = now
	if w.size == 0 {
		w.size = float64(maxInFlight)
	}
	w.size = max(1, w.size*decreaseFactor)
}
