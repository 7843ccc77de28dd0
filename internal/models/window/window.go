// Package window limits how much one host sends to an instance at once, by what
// the instance answers: many hosts share it, and none knows what the others
// send.
package window

import "time"

const (
	// shrink is what a refusal leaves of the window.
	shrink = 0.6
	// growth is what a window's worth of successes adds to it.
	growth = 1.0
	// shrinkPause is the least time between two cuts: refusals of one burst
	// count once. It is about the time that a statement takes.
	shrinkPause = 30 * time.Millisecond
)

// Window is one host's limit at one instance. It is not safe for concurrent
// use.
type Window struct {
	size float64
	cut  time.Time
}

// Limit returns how many statements may be under way; at least one and at most
// most.
func (w *Window) Limit(most int) int {
	if w.size == 0 {
		return most
	}
	return max(1, min(most, int(w.size)))
}

// Served notes a statement that the instance ran.
func (w *Window) Served(most int) {
	if w.size == 0 {
		return
	}
	w.size += growth / w.size
	if w.size > float64(most) {
		w.size = 0 // no limit but the usual one
	}
}

// Refused notes that the instance had no room for a statement.
func (w *Window) Refused(now time.Time, most int) {
	if now.Sub(w.cut) < shrinkPause {
		return
	}
	w.cut = now
	if w.size == 0 {
		w.size = float64(most)
	}
	w.size = max(1, w.size*shrink)
}
