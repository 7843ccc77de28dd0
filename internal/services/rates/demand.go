package rates

import "time"

const (
	// slowWindow and fastWindow are the time spans of two averages of demand,
	// of which the larger counts: a host that gets more callers needs a larger
	// share of the rate soon, and one that loses callers can keep its share for
	// a while.
	slowWindow = 3 * time.Second
	fastWindow = time.Second
	// minSampleTime is the length of the first sample of demand after a start;
	// later ones grow to slowWindow/8.
	minSampleTime = 100 * time.Millisecond
	// settleDelay is the least age of the own demand by which a host computes
	// its share of the rate; the age is at most twice that. Other hosts compute
	// with a demand of about that age, since gossip takes as long to reach them.
	settleDelay = 500 * time.Millisecond
)

// demand is an average of how many operations a second are asked for.
type demand struct {
	// started is when counting started.
	started time.Time
	// sampleStart and count are the start of the present sample and the number
	// of operations in it.
	sampleStart time.Time
	count       float64
	// slow and fast are the averages over the two windows, current the larger.
	slow    float64
	fast    float64
	current float64
	// settled is an older value of current; pending is the next value of
	// settled, and settledAt when settled last changed.
	pending   float64
	settled   float64
	settledAt time.Time
	// exceededSince is when the demand began to exceed the rate; zero while it
	// does not.
	exceededSince time.Time
}

// start begins counting.
func (d *demand) start(now time.Time) {
	d.started = now
	d.sampleStart = now
}

// add counts one operation that is asked for.
func (d *demand) add(now time.Time) {
	d.count++
	d.average(now)
}

// average adds the present sample to the averages if it is long enough, and
// starts the next one.
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
		// Soon after a start the older demand would be near zero.
		d.settled = d.current
		d.pending = d.current
	case now.Sub(d.settledAt) >= settleDelay:
		d.settled = d.pending
		d.pending = d.current
		d.settledAt = now
	}
}

// exceededFor returns for how long the demand has exceeded the rate; over tells
// whether it does now.
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
