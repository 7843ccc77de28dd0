// Package detect tells a primary that is gone from one that is slow.
package detect

import "time"

// Default settings of a detector.
const (
	// SilentAfter is how long a primary may stay silent while its
	// connection stands.
	SilentAfter = 1500 * time.Millisecond
	// RefusedAfter is how long it may stay silent while connections to it
	// fail.
	RefusedAfter = 500 * time.Millisecond
	// SilentLimit bounds the silence that a slow primary is granted.
	SilentLimit = 3 * time.Second
	// LatencyFactor multiplies the slowest recent answer to the silence
	// that is granted.
	LatencyFactor = 3
	// MissedPolls is how many polls at least went unanswered.
	MissedPolls = 3
)

const latencyCount = 16

// Detector follows the polls of one primary. It is not safe for concurrent
// use.
type Detector struct {
	lastActivity time.Time
	misses       int
	refusals     int
	latencies    [latencyCount]time.Duration
	nextLatency  int
}

// Reset starts over with a new primary at now.
func (d *Detector) Reset(now time.Time) {
	*d = Detector{
		lastActivity: now,
	}
}

// Answered notes an answer after latency.
func (d *Detector) Answered(now time.Time, latency time.Duration) {
	d.Heard(now)
	d.latencies[d.nextLatency%latencyCount] = latency
	d.nextLatency++
}

// Heard notes another sign that the primary works, as a replica that
// received new entries from it.
func (d *Detector) Heard(now time.Time) {
	d.lastActivity = now
	d.misses = 0
	d.refusals = 0
}

// Missed notes a poll interval that passed without an answer.
func (d *Detector) Missed() {
	d.misses++
}

// Refused notes a poll that failed because the connection did.
func (d *Detector) Refused() {
	d.misses++
	d.refusals++
}

// Dead reports whether the primary is to be replaced, and why. majority tells
// whether the instances that answer suffice for a promotion.
func (d *Detector) Dead(now time.Time, majority bool) (bool, string) {
	silence := now.Sub(d.lastActivity)
	granted := d.timeout()
	switch {
	case d.misses < MissedPolls || silence < granted:
		return false, "primary-answers"
	case !majority:
		return false, "no-majority-answers"
	case d.refusals >= MissedPolls:
		return true, "primary-refuses-connections"
	}
	return true, "primary-silent"
}

func (d *Detector) timeout() time.Duration {
	base := SilentAfter
	if d.refusals >= MissedPolls {
		base = RefusedAfter
	}
	worst := time.Duration(0)
	for _, l := range d.latencies {
		worst = max(worst, l)
	}
	return min(max(base, LatencyFactor*worst), SilentLimit)
}
