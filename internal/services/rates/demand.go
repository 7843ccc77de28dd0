package rates

import "time"

const (
	// window is over how long demand is averaged, and riseWindow where that
	// shows that it rises: a host that gets more callers needs its part soon,
	// one that lost them can keep it for a while.
	slowWindow     = 3 * time.Second
	fastWindow = time.Second
	// leastLook is the least time over which demand is counted after a start.
	minSampleTime = 100 * time.Millisecond
	// settleDelay is how old a host's own demand is at least when it divides by
	// it, and at most twice that: as the others know it, after what gossip
	// takes to reach them.
	settleDelay = 500 * time.Millisecond
)

// demand is how many operations a second are asked for.
type demand struct {
	// first is when counting started, since when the count asked began.
	started time.Time
	sampleStart time.Time
	count float64
	// slow and fast are the averages over the two windows, demand the larger.
	slow   float64
	fast   float64
	current float64
	// settled is demand as it was a while ago; pending will be settled next.
	pending float64
	settled float64
	settledAt time.Time
	// over is since when the demand exceeds the rate; zero while it does not.
	exceededSince time.Time
}

func (d *demand) start(now time.Time) {
	d.started = now
	d.sampleStart = now
}

// add counts one operation.
func (d *demand) add(now time.Time) {
	d.count++
	d.average(now)
}

// average folds the operations asked for since the last call into the demand.
func (d *demand) average(now time.Time) {
	passed := now.Sub(d.sampleStart)
	known := now.Sub(d.started)
	if passed < min(slowWindow/8, max(minSampleTime, known/4)) {
		return
	}
	rate := d.count / passed.Seconds()
	d.slow += (rate - d.slow) * min(1, passed.Seconds()/min(slowWindow, known).Seconds())
	d.fast += (rate - d.fast) * min(1, passed.Seconds()/min(fastWindow, known).Seconds())
	d.current = max(d.slow, d.fast)
	d.count = 0
	d.sampleStart = now
	switch {
	case known < slowWindow:
		// Soon after a start an older demand would be none.
		d.settled = d.current
		d.pending = d.current
	case now.Sub(d.settledAt) >= settleDelay:
		d.settled = d.pending
		d.pending = d.current
		d.settledAt = now
	}
}

// exceeded returns for how long more than the rate has been asked for.
func (d *demand) exceededFor(now time.Time, over bool) time.Duration {
	if !over {
		d.exceededSince = time.Time{}
		return 0
	}
	if d.exceededSince.IsZero() {
		d.exceededSince = now
	}
	return now.Sub(d.exceededSince)
}
