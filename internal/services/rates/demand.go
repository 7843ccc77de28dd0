package rates

import "time"

const (
	// window is over how long demand is averaged, and riseWindow where that
	// shows that it rises: a host that gets more callers needs its part soon,
	// one that lost them can keep it for a while.
	window     = 3 * time.Second
	riseWindow = time.Second
	// leastLook is the least time over which demand is counted after a start.
	leastLook = 100 * time.Millisecond
	// settleDelay is how old a host's own demand is at least when it divides by
	// it, and at most twice that: as the others know it, after what gossip
	// takes to reach them.
	settleDelay = 500 * time.Millisecond
)

// demand is how many operations a second are asked for.
type demand struct {
	// first is when counting started, since when the count asked began.
	first time.Time
	since time.Time
	asked float64
	// slow and fast are the averages over the two windows, demand the larger.
	slow   float64
	fast   float64
	demand float64
	// settled is demand as it was a while ago; pending will be settled next.
	pending float64
	settled float64
	changed time.Time
	// over is since when the demand exceeds the rate; zero while it does not.
	over time.Time
}

func (d *demand) start(now time.Time) {
	d.first = now
	d.since = now
}

// add counts one operation.
func (d *demand) add(now time.Time) {
	d.asked++
	d.average(now)
}

// average folds the operations asked for since the last call into the demand.
func (d *demand) average(now time.Time) {
	passed := now.Sub(d.since)
	known := now.Sub(d.first)
	if passed < min(window/8, max(leastLook, known/4)) {
		return
	}
	rate := d.asked / passed.Seconds()
	d.slow += (rate - d.slow) * min(1, passed.Seconds()/min(window, known).Seconds())
	d.fast += (rate - d.fast) * min(1, passed.Seconds()/min(riseWindow, known).Seconds())
	d.demand = max(d.slow, d.fast)
	d.asked = 0
	d.since = now
	switch {
	case known < window:
		// Soon after a start an older demand would be none.
		d.settled = d.demand
		d.pending = d.demand
	case now.Sub(d.changed) >= settleDelay:
		d.settled = d.pending
		d.pending = d.demand
		d.changed = now
	}
}

// exceeded returns for how long more than the rate has been asked for.
func (d *demand) exceeded(now time.Time, over bool) time.Duration {
	if !over {
		d.over = time.Time{}
		return 0
	}
	if d.over.IsZero() {
		d.over = now
	}
	return now.Sub(d.over)
}
