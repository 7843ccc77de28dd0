// Package clock estimates the true time from the wall clocks of all live hosts. A
// decision sorts one number for each host.
package clock

import (
	"slices"
	"time"
)

// quorum is how many clocks make an estimate, unless fewer hosts exist: with three, one
// that is wrong has no effect.
const quorum = 3

// quorumTimeout is how long a host that has just started waits for a quorum. Hosts hear of
// each other within a second.
const quorumTimeout = 10 * time.Second

// Clock is the estimate of one host. The zero value knows no time. It is not safe for
// concurrent use.
type Clock struct {
	offset time.Duration
	known  bool
	// asked is when the first estimate was asked for.
	asked time.Duration
}

// Offset returns the true time since the start of 1970 less the reading of this host's
// clock of uptime; false while it is not known. now is that reading, own and others are
// the same difference by the wall clocks of this host and of the other live hosts,
// hosts the number of hosts that exist. It is the median. With too few clocks the last
// estimate stays, as the clock of uptime has no jumps.
func (c *Clock) Offset(now, own time.Duration, others []time.Duration, hosts int) (time.Duration, bool) {
	if c.asked == 0 {
		c.asked = now
	}
	all := append(slices.Clone(others), own)
	if len(all) < min(quorum, hosts) && (c.known || now-c.asked < quorumTimeout) {
		return c.offset, c.known
	}
	slices.Sort(all)
	c.offset = c.middle(all)
	c.known = true
	return c.offset, true
}

// middle returns the median of sorted values. Of two in the middle it takes the one
// that is nearer to the last estimate, so that it stays if half of the clocks jump.
func (c *Clock) middle(all []time.Duration) time.Duration {
	high := all[len(all)/2]
	if len(all)%2 == 1 {
		return high
	}
	low := all[len(all)/2-1]
	if c.known && (high-c.offset).Abs() < (low-c.offset).Abs() {
		return high
	}
	return low
}
