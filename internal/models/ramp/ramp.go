// Package ramp limits how many connections a pool opens after the instance refused one
// because it has too many: no more than it has for a while, then one more, and then
// step by step more as long as the instance accepts them.
//
// It answers a load of up to some 70 pools that meet the limit of one instance at once:
// after a loss of power it counts the connections of the former processes for 3 s.
package ramp

import "time"

const (
	// firstPause is the pause after the first refusal; it doubles up to maxPause, so
	// that a pool at the limit is refused about once a second.
	firstPause = 250 * time.Millisecond
	maxPause   = time.Second
	// firstEmptyPause and maxEmptyPause are the same for a pool that has no
	// connection, whose statements all wait for it.
	firstEmptyPause = 100 * time.Millisecond
	maxEmptyPause   = 250 * time.Millisecond
)

// Ramp is the limit of one pool. It is not safe for concurrent use.
type Ramp struct {
	// limited is set since a refusal until the pool's own limit is reached again.
	limited bool
	// accepted is how many connections the instance surely accepts, and next how
	// many the pool tries to have after paused, step more than before.
	accepted int
	next     int
	step     int
	paused   time.Duration
	pause    time.Duration
	// refused is when the last refusal came.
	refused time.Duration
}

// Limit returns how many connections may be open: at most most.
func (r *Ramp) Limit(now time.Duration, most int) int {
	if !r.limited {
		return most
	}
	if now < r.paused {
		return min(most, r.accepted)
	}
	return min(most, r.next)
}

// Wake returns when the limit rises; 0 if it does not with time alone.
func (r *Ramp) Wake(now time.Duration) time.Duration {
	if !r.limited || now >= r.paused {
		return 0
	}
	return r.paused
}

// RecordRefused records that the instance refused a connection that the pool began to
// open at a moment, when it had open others. Those that were under way at a refusal
// are refused with it, and pause the pool once.
func (r *Ramp) RecordRefused(now, began time.Duration, open int) {
	r.accepted = open
	r.step = 1
	r.next = open + 1
	if r.limited && began < r.refused {
		return
	}
	first, most := firstPause, maxPause
	if open == 0 {
		first, most = firstEmptyPause, maxEmptyPause
	}
	r.pause = min(max(2*r.pause, first), most)
	if !r.limited {
		r.pause = first
	}
	r.limited = true
	r.refused = now
	r.paused = now + r.pause
}

// RecordOpened records that the instance accepted a connection, of which the pool has
// open now, under its own limit most.
func (r *Ramp) RecordOpened(open, most int) {
	if !r.limited || open <= r.accepted {
		return
	}
	r.accepted = open
	r.pause /= 2
	r.limited = open < most
	if open >= r.next {
		r.step *= 2
		r.next = open + r.step
	}
}
