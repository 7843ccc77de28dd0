// Package detect is the failure detector for primaries. It distinguishes a
// primary that has failed from one that is slow.
package detect

import "time"

// Settings of a detector.
const (
	// SilenceTimeout is how long a primary may give no sign of activity while
	// connections to it are open.
	SilenceTimeout = 1500 * time.Millisecond
	// RefusedTimeout is how long it may give none while connections to it
	// fail.
	RefusedTimeout = 500 * time.Millisecond
	// MaxTimeout bounds the timeout that is granted to a slow primary.
	MaxTimeout = 3 * time.Second
	// LatencyFactor times the slowest recent answer is the least timeout, up
	// to MaxTimeout.
	LatencyFactor = 3
	// MinMissedPolls is the least number of consecutive unanswered polls.
	MinMissedPolls = 3
)

// latencyCount is the number of recent latencies kept.
const latencyCount = 16

// Detector records the outcomes of the polls of one primary. latencies is a ring
// buffer of the newest answers' latencies. Detector is not safe for concurrent
// use.
type Detector struct {
	lastActivity time.Time
	misses       int
	refusals     int
	latencies    [latencyCount]time.Duration
	nextLatency  int
}

// Reset discards all records and starts with another primary at now.
func (d *Detector) Reset(now time.Time) {
	*d = Detector{
		lastActivity: now,
	}
}

// RecordAnswer records an answer to a poll and its latency.
func (d *Detector) RecordAnswer(now time.Time, latency time.Duration) {
	d.RecordActivity(now)
	d.latencies[d.nextLatency%latencyCount] = latency
	d.nextLatency++
}

// RecordActivity records another sign that the primary works, such as new log
// entries that a replica received from it.
func (d *Detector) RecordActivity(now time.Time) {
	d.lastActivity = now
	d.misses = 0
	d.refusals = 0
}

// RecordMiss records a poll interval that passed without an answer.
func (d *Detector) RecordMiss() {
	d.misses++
}

// RecordRefusal records a poll that failed because the connection failed.
func (d *Detector) RecordRefusal() {
	d.misses++
	d.refusals++
}

// Failed reports whether the primary is to be replaced, and why or why not.
// majority tells whether enough instances answer for a promotion.
func (d *Detector) Failed(now time.Time, majority bool) (bool, string) {
	silence := now.Sub(d.lastActivity)
	timeout := d.timeout()
	switch {
	case d.misses < MinMissedPolls || silence < timeout:
		return false, "primary-answers"
	case !majority:
		return false, "no-majority-answers"
	case d.refusals >= MinMissedPolls:
		return true, "primary-refuses-connections"
	}
	return true, "primary-silent"
}

// timeout returns how long the primary may give no sign of activity: longer if
// its recent answers were slow.
func (d *Detector) timeout() time.Duration {
	base := SilenceTimeout
	if d.refusals >= MinMissedPolls {
		base = RefusedTimeout
	}
	slowest := time.Duration(0)
	for _, l := range d.latencies {
		slowest = max(slowest, l)
	}
	return min(max(base, LatencyFactor*slowest), MaxTimeout)
}
